//! Release of the cell at a planned end of the placer.

use std::sync::Arc;

use super::State;
use crate::clock::whole_ms;
use crate::rows::{self, HANDOVER_KEY, PLACER_KEY};
use crate::store::{Change, Table, Transaction};

impl State {
    /// Releases the cell, so that another entry can claim it at once.
    pub(super) async fn retire(&mut self) {
        let now = self.context.clock.now();
        self.authority.revoke();
        if let Some(batch) = self.cell.next_batch() {
            self.write_batch(batch, now);
        }
        let row = rows::Placer { term: self.context.term, holder: None, address: self.context.address };
        let leases_ms = self.cell.unlinked_leases(now).map(|(name, left)| (name, whole_ms(left) + 1));
        let handover = rows::encode_handover(self.context.term, leases_ms);
        let change = |key: &str, value| Change { table: Table::Cell, key: Arc::from(key), value: Some(value) };
        let transaction = Transaction {
            conditions: vec![self.placer_condition()],
            changes: vec![change(PLACER_KEY, rows::encode(&row)), change(HANDOVER_KEY, handover)],
        };
        let outcome = (self.context.store.commit)(transaction).await;
        log::info!(event = "cell_given_up", term = self.context.term, outcome:? = outcome; "");
    }
}
