//! Takes over a cell that has no placer.
//!
//! A takeover is safe at any time, since its term fences the previous placer; waiting only avoids unnecessary ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::authority::RENEWAL_INTERVAL;
use chervilledge_policy::id::Name;

use crate::repeat;
use crate::roster::Roster;
use crate::rows::{self, HEARTBEAT_KEY, PLACER_KEY, WITNESSES_KEY};
use crate::store::{Change, Condition, Handle, Outcome, Table, Transaction};

/// Interval of the placer's heartbeats in the store.
pub const HEARTBEAT_INTERVAL: Duration = RENEWAL_INTERVAL;
/// Age of the last heartbeat from which the cell is taken over: two intervals less the duration of a takeover.
pub const HEARTBEAT_STALE_AFTER: Duration = Duration::from_millis(1_900);
/// The same, if the link to the placer is lost as well.
const HEARTBEAT_STALE_AFTER_LINK_LOST: Duration = Duration::from_millis(500);
/// Timeout of the last read before a claim; if it fails, the next attempt follows soon.
const LAST_READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Age from which the last read no longer describes the current state.
const READ_MAX_AGE: Duration = Duration::from_millis(2_600);

/// Lack of a link to the placer of a term.
#[derive(Clone, Copy, Debug)]
pub struct Unlinked {
    /// Term of the placer.
    pub term: u64,
    /// When the link was lost, or the first attempt to open it began.
    pub since: Duration,
}

/// Whether the cell should be taken over now.
///
/// Lacking a link counts only against the placer of that term: it says nothing about the next one.
#[must_use]
pub fn is_takeover_due(roster: &Roster, own_name: &str, unlinked: Option<Unlinked>, now: Duration) -> bool {
    let Some((placer, _)) = &roster.placer else { return true };
    match &placer.holder {
        None => return true,
        // The row was written by an earlier start of this process, or by a claim whose response was lost.
        Some(holder) if &**holder == own_name => return true,
        Some(_) => {}
    }
    let heartbeat_age = now.saturating_sub(roster.heartbeat_seen_at);
    let is_read = now.saturating_sub(roster.read_at) < READ_MAX_AGE;
    let is_unlinked = unlinked.is_some_and(|unlinked| {
        unlinked.term == placer.term && now.saturating_sub(unlinked.since) >= HEARTBEAT_STALE_AFTER_LINK_LOST
    });
    is_read
        && (heartbeat_age >= HEARTBEAT_STALE_AFTER || (is_unlinked && heartbeat_age >= HEARTBEAT_STALE_AFTER_LINK_LOST))
}

/// Claims the cell; returns the term and the revision of the placer's row if the claim has certainly taken effect.
///
/// The claim fails if there is a heartbeat that the roster doesn't show: it would have renewed the previous term later
/// than the new placer knows.
pub async fn claim(store: &Handle, roster: &Roster, own_name: &Name, address: SocketAddr) -> Option<(u64, u64)> {
    let (previous_term, revision) = roster.last_claim();
    if revision > 0 && !is_heartbeat_unchanged(store, roster).await {
        return None;
    }
    let term = previous_term + 1;
    let heartbeat = rows::Heartbeat { term, is_alone: false };
    let witnesses = rows::Witnesses { term, members: Vec::new(), earlier: roster.acting_witnesses() };
    let row = rows::Placer { term, holder: Some(Arc::clone(own_name)), address };
    let transaction = Transaction {
        conditions: vec![
            Condition { table: Table::Cell, key: Arc::from(PLACER_KEY), revision },
            Condition { table: Table::Cell, key: Arc::from(HEARTBEAT_KEY), revision: roster.heartbeat_row_revision },
            Condition { table: Table::Cell, key: Arc::from(WITNESSES_KEY), revision: roster.witnesses_row_revision },
        ],
        changes: vec![
            Change { table: Table::Cell, key: Arc::from(PLACER_KEY), value: Some(rows::encode(&row)) },
            Change { table: Table::Cell, key: Arc::from(HEARTBEAT_KEY), value: Some(rows::encode(&heartbeat)) },
            Change { table: Table::Cell, key: Arc::from(WITNESSES_KEY), value: Some(rows::encode(&witnesses)) },
        ],
    };
    let outcome = (store.commit)(transaction).await;
    log::info!(event = "claim", term = term, beat_revision = roster.heartbeat_revision, outcome:? = outcome; "");
    match outcome {
        Outcome::Done(revision) => Some((term, revision)),
        // If the claim takes effect later, the row shows it, and another claim follows under a new term.
        Outcome::Conflict(_) | Outcome::Refused | Outcome::NotThere | Outcome::Unknown | Outcome::Broken => None,
    }
}

/// Releases a cell that an earlier start of this process held, so that every entry may claim it now.
pub async fn release(store: &Handle, roster: &Roster) {
    let Some((placer, revision)) = &roster.placer else { return };
    let row = rows::Placer { holder: None, ..placer.clone() };
    let transaction = Transaction {
        conditions: vec![Condition { table: Table::Cell, key: Arc::from(PLACER_KEY), revision: *revision }],
        changes: vec![Change { table: Table::Cell, key: Arc::from(PLACER_KEY), value: Some(rows::encode(&row)) }],
    };
    let outcome = (store.commit)(transaction).await;
    log::info!(event = "cell_given_up", term = placer.term, outcome:? = outcome; "");
}

/// Reads the heartbeat directly, since the feed may lag behind.
async fn is_heartbeat_unchanged(store: &Handle, roster: &Roster) -> bool {
    match repeat::read(LAST_READ_TIMEOUT, |_| (store.read_one)((Table::Cell, Arc::from(HEARTBEAT_KEY)))).await {
        Ok(row) => row.is_none_or(|row| row.revision <= roster.heartbeat_revision),
        Err(_) => false,
    }
}
