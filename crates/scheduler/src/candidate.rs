//! Takes the cell over when it has no placer.
//!
//! A takeover is safe at any time, since the term fences the former placer; waiting only spares needless ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::id::Name;

use crate::repeat;
use crate::roster::Roster;
use crate::rows::{self, BEAT, PLACER};
use crate::store::{Change, Condition, Handle, Outcome, Table, Transaction};

/// Interval of the placer's signs of life in the store.
pub const BEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Age of the last sign of life from which the cell is taken over: two intervals less the time of a takeover.
pub const STALE_AFTER: Duration = Duration::from_millis(1_900);
/// The same, once the link to the placer is lost as well.
const STALE_AFTER_LINK_LOST: Duration = Duration::from_millis(500);
/// Time for the last look before a claim; the next one follows soon.
const LOOK_GIVE_UP: Duration = Duration::from_millis(900);
/// Age of a read after which it says nothing of the present.
const READ_FRESH: Duration = Duration::from_millis(2_600);

/// Whether the cell should be taken over now.
#[must_use]
pub fn is_due(roster: &Roster, me: &str, link_lost: Option<Duration>, now: Duration) -> bool {
    let Some((placer, _)) = &roster.placer else { return true };
    match &placer.holder {
        None => return true,
        // The row is of an earlier start of this process, or of a claim whose answer was lost.
        Some(holder) if &**holder == me => return true,
        Some(_) => {}
    }
    let silent = now.saturating_sub(roster.beat_seen);
    let is_read = now.saturating_sub(roster.read) < READ_FRESH;
    let is_unlinked = link_lost.is_some_and(|lost| now.saturating_sub(lost) >= STALE_AFTER_LINK_LOST);
    is_read && (silent >= STALE_AFTER || (is_unlinked && silent >= STALE_AFTER_LINK_LOST))
}

/// Claims the cell; gives the term and the revision of the placer's row when the claim took effect for certain.
pub async fn claim(store: &Handle, roster: &Roster, me: &Name, address: SocketAddr) -> Option<(u64, u64)> {
    let (former, revision) = roster.placer.as_ref().map_or((0, 0), |(placer, revision)| (placer.term, *revision));
    if revision > 0 && !is_still_silent(store, roster).await {
        return None;
    }
    let term = former + 1;
    let beat = rows::Beat { term, is_alone: false };
    let row = rows::Placer { term, holder: Some(Arc::clone(me)), address };
    let transaction = Transaction {
        conditions: vec![Condition { table: Table::Cell, key: Arc::from(PLACER), revision }],
        changes: vec![
            Change { table: Table::Cell, key: Arc::from(PLACER), value: Some(rows::encode(&row)) },
            Change { table: Table::Cell, key: Arc::from(BEAT), value: Some(rows::encode(&beat)) },
        ],
    };
    let outcome = (store.commit)(transaction).await;
    log::info!(event = "claim", term = term, beat_revision = roster.beat_revision, outcome:? = outcome; "");
    match outcome {
        Outcome::Done(revision) => Some((term, revision)),
        // A claim that takes effect later shows in the row, and is followed by another one under a new term.
        Outcome::Conflict(_) | Outcome::Refused | Outcome::NotThere | Outcome::Unknown | Outcome::Broken => None,
    }
}

/// Gives up a cell that an earlier start of this process held, so that every entry may claim it now.
pub async fn give_up(store: &Handle, roster: &Roster) {
    let Some((placer, revision)) = &roster.placer else { return };
    let row = rows::Placer { holder: None, ..placer.clone() };
    let transaction = Transaction {
        conditions: vec![Condition { table: Table::Cell, key: Arc::from(PLACER), revision: *revision }],
        changes: vec![Change { table: Table::Cell, key: Arc::from(PLACER), value: Some(rows::encode(&row)) }],
    };
    let outcome = (store.commit)(transaction).await;
    log::info!(event = "cell_given_up", term = placer.term, outcome:? = outcome; "");
}

/// Reads the sign of life past the feed, which may lag.
async fn is_still_silent(store: &Handle, roster: &Roster) -> bool {
    match repeat::read(LOOK_GIVE_UP, |_| (store.read_one)((Table::Cell, Arc::from(BEAT)))).await {
        Ok(row) => row.is_none_or(|row| row.revision <= roster.beat_revision),
        Err(_) => false,
    }
}
