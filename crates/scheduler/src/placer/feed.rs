//! Background tasks of the placer that talk to the store: confirming the term, and following the jobs.

use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::authority::AUTHORITY_PERIOD;
use ractor::ActorRef;
use tokio::sync::watch;

use super::{Context, Message, heartbeat_change};
use crate::candidate::HEARTBEAT_INTERVAL;
use crate::feed::{self, Feed, Timing};
use crate::peer::{self, TermAnswer};
use crate::repeat;
use crate::rows::PLACER_KEY;
use crate::scan;
use crate::store::{Condition, Outcome, ReadError, Rows, Table, Transaction};

/// Pause after a failed confirmation.
const CONFIRM_RETRY: Duration = Duration::from_millis(250);
/// Pause before the previous placer is queried again.
const PREDECESSOR_RETRY: Duration = Duration::from_millis(200);
/// Pause after changes were read. Entries notify the placer of their jobs directly; the feed serves those that can't.
const FEED_PAUSE: Duration = Duration::from_millis(250);

/// Writes the placer's heartbeat at intervals, on condition that it is still the placer.
pub(super) async fn confirm(context: Context, mut is_alone: watch::Receiver<bool>, placer: ActorRef<Message>) {
    let mut is_lost = false;
    loop {
        let pause = if is_lost { CONFIRM_RETRY } else { HEARTBEAT_INTERVAL };
        // Published at once, since a successor that doesn't know it would have to wait for the full authority time.
        drop(tokio::time::timeout(pause, is_alone.changed()).await);
        let is_alone = *is_alone.borrow_and_update();
        let sent_at = context.clock.now();
        let transaction = Transaction {
            conditions: vec![Condition { table: Table::Cell, key: Arc::from(PLACER_KEY), revision: context.revision }],
            changes: vec![heartbeat_change(context.term, is_alone)],
        };
        let outcome = repeat::commit(&context.store, transaction).await;
        let message = match outcome {
            Outcome::Done(revision) => {
                if std::mem::take(&mut is_lost) {
                    log::info!(event = "store_regained", by = "confirmation", term = context.term; "");
                }
                Message::Confirmed { sent_at, revision }
            }
            Outcome::Conflict(_) => Message::Deposed("confirmation"),
            Outcome::Refused | Outcome::NotThere | Outcome::Unknown | Outcome::Broken => {
                if !std::mem::replace(&mut is_lost, true) {
                    log::warn!(event = "store_lost", by = "confirmation", outcome:? = outcome, term = context.term; "");
                }
                continue;
            }
        };
        if placer.cast(message).is_err() {
            return;
        }
    }
}

/// Determines when no previous placer can act any more: when the previous one has ended, if it knew that those before
/// it had, and at the latest when the authority of whichever was active before this claim has expired.
pub(super) async fn await_predecessor_end(context: Context, placer: ActorRef<Message>) {
    let authority_left = (context.claimed + AUTHORITY_PERIOD).saturating_sub(context.clock.now());
    let by = if context.is_predecessor_alone {
        tokio::time::timeout(authority_left, observe_predecessor_end(&context)).await.unwrap_or("authority_ended")
    } else {
        tokio::time::sleep(authority_left).await;
        "authority_ended"
    };
    // The placer may have ended in the meantime.
    drop(placer.cast(Message::PredecessorEnded(by)));
}

/// Waits for evidence that the previous placer can't act any more: it released the cell, it was an earlier start of this
/// process, nothing listens at its address, or it reports that it doesn't place.
async fn observe_predecessor_end(context: &Context) -> &'static str {
    match &context.predecessor {
        None => "none",
        Some(predecessor) if predecessor.holder.is_none() => "given_up",
        Some(predecessor) if predecessor.holder.as_ref() == Some(&context.name) => "same_process",
        Some(predecessor) => loop {
            match peer::query_term(predecessor.address).await {
                TermAnswer::NotThere => break "not_there",
                TermAnswer::Term(term) if term != Some(predecessor.term) => break "says_so",
                TermAnswer::Term(_) | TermAnswer::Unknown => tokio::time::sleep(PREDECESSOR_RETRY).await,
            }
        },
    }
}

/// Reads all jobs and their progress, then follows changes to the jobs.
pub(super) async fn follow_jobs(context: Context, placer: ActorRef<Message>) {
    let mut feed = feed::open("jobs", Timing::within(context.cancellation_apply), context.clock.clone());
    let mut is_loaded = false;
    loop {
        let (message, after) = read_all(&context, is_loaded).await;
        if placer.cast(message).is_err() || follow_from(&context, &placer, &mut feed, after).await.is_break() {
            return;
        }
        is_loaded = true;
    }
}

/// Reads all jobs, and their progress unless that is loaded; returns the revision from which to follow changes.
async fn read_all(context: &Context, is_loaded: bool) -> (Message, u64) {
    let jobs = scan::read_all(&context.store, Table::Jobs).await;
    let revision = jobs.revision;
    if is_loaded {
        return (Message::Jobs { rows: jobs.rows, revision }, revision);
    }
    let progress = scan::read_all(&context.store, Table::Progress).await.rows;
    (Message::Loaded { jobs: jobs.rows, progress, revision }, revision)
}

/// Follows the jobs until the history of the feed is lost; breaks when the placer has ended.
async fn follow_from(
    context: &Context,
    placer: &ActorRef<Message>,
    feed: &mut Feed<Rows>,
    mut after: u64,
) -> ControlFlow<()> {
    loop {
        match feed.next(after, |wait, arrival| (context.store.watch)((Table::Jobs, after, wait, arrival))).await {
            Ok(changes) => {
                after = after.max(changes.revision);
                let is_changed = !changes.rows.is_empty();
                if placer.cast(Message::Jobs { rows: changes.rows, revision: changes.revision }).is_err() {
                    return ControlFlow::Break(());
                }
                if is_changed {
                    tokio::time::sleep(FEED_PAUSE).await;
                }
            }
            Err(ReadError::HistoryLost) => return ControlFlow::Continue(()),
            // The feed logs the error and repeats the request.
            Err(_) => {}
        }
    }
}
