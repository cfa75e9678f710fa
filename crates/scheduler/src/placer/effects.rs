//! Interference between pairs of images: sent to agents, and stored for successors.
//!
//! Storing it covers a power loss of all processes. Without it, every filling run would count as disturbing until the
//! pairs have been measured again, which takes about ten seconds.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::interference::{Evidence, Pair};

use super::State;
use crate::message::ToAgent;
use crate::rows::{self, EFFECTS_KEY, Effect};
use crate::store::{Change, Outcome, Row, Table, Transaction};

/// Interval at which agents receive what the others have measured.
const SEND_INTERVAL: Duration = Duration::from_millis(1_500);
/// Interval at which the data is stored for successors.
const SAVE_INTERVAL: Duration = Duration::from_secs(5);
/// Minimum evidence for a pair to be stored: that of a few observations.
const INFORMATION_MIN: f64 = 100.0;

impl State {
    /// When due, sends each agent the effects on the images that serve on its worker, and stores all of them.
    pub(super) fn share_effects(&mut self, now: Duration) {
        if now < self.effects_due {
            return;
        }
        self.effects_due = now + SEND_INTERVAL;
        self.cell.merge_evidence();
        let effects = self.cell.evidence_table();
        if effects.is_empty() {
            return;
        }
        for (name, link) in &self.links {
            let is_served_here = |(pair, _): &&(Pair, Evidence)| self.cell.serves(name, &pair.serving);
            let relevant: Vec<Effect> = effects.iter().filter(is_served_here).map(Effect::from_evidence).collect();
            if !relevant.is_empty() {
                link.sender.post(ToAgent::Effects(relevant));
            }
        }
        if now >= self.effects_saved_at + SAVE_INTERVAL && self.is_loaded && self.may_act(now) {
            self.effects_saved_at = now;
            self.save_effects(effects);
            self.log_filling();
        }
    }

    /// Logs how far filling runs are slowed down across the cell.
    fn log_filling(&self) {
        let filling = self.cell.filling();
        log::info!(event = "filling", waiting = self.cell.waiting(), runs = filling.runs,
            asked_millicores = filling.asked_millicores, paced_millicores = filling.paced_millicores,
            disturbing_runs = filling.disturbing_runs,
            disturbing_paced_millicores = filling.disturbing_paced_millicores,
            serving_workers = filling.serving_workers, serving_images = filling.serving_images; "");
    }

    /// Stores the pairs with the most evidence. A failed write isn't retried; the next one follows at the interval.
    fn save_effects(&self, mut effects: Vec<(Pair, Evidence)>) {
        effects.retain(|(_, evidence)| evidence.information >= INFORMATION_MIN);
        let pairs = effects.len();
        let content = rows::encode_effects(effects.iter().map(Effect::from_evidence).collect());
        let change = Change { table: Table::Progress, key: Arc::from(EFFECTS_KEY), value: Some(content) };
        let transaction = Transaction { conditions: vec![self.placer_condition()], changes: vec![change] };
        let answer = (self.context.store.commit)(transaction);
        tokio::spawn(async move {
            let outcome = answer.await;
            if !matches!(outcome, Outcome::Done(_)) {
                log::info!(event = "effects_not_kept", pairs = pairs, outcome:? = outcome; "");
            }
        });
    }

    /// Loads what a previous placer stored.
    pub(super) fn load_effects(&mut self, progress: &[Row]) {
        let stored = progress.iter().find(|row| &*row.key == EFFECTS_KEY).and_then(|row| row.value.as_deref());
        let Some(effects) = stored.and_then(|value| rows::decode::<Vec<Effect>>(EFFECTS_KEY, value)) else { return };
        log::info!(event = "effects_recalled", pairs = effects.len(); "");
        self.cell.restore_evidence(effects.into_iter().map(Effect::into_evidence).collect());
        self.effects_due = Duration::ZERO;
    }
}
