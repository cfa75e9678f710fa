//! Background tasks of the placer: confirming the term, following the jobs, and the end of former placers.

use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::authority::{AUTHORITY_PERIOD, leases_end};
use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use ractor::ActorRef;
use tokio::sync::{Notify, watch};

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

/// Writes the placer's heartbeat at intervals and on request, on condition that it is still the placer.
pub(super) async fn confirm(
    context: Context,
    mut is_alone: watch::Receiver<bool>,
    confirm_now: Arc<Notify>,
    placer: ActorRef<Message>,
) {
    let mut is_lost = false;
    loop {
        let pause = if is_lost { CONFIRM_RETRY } else { HEARTBEAT_INTERVAL };
        // Published at once, since a successor that doesn't know it would have to wait for the full authority time.
        let wake = async {
            tokio::select! { _ = is_alone.changed() => {}, () = confirm_now.notified() => {} }
        };
        drop(tokio::time::timeout(pause, wake).await);
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

/// Determines when no previous placer can act any more.
///
/// None can once the authority of whichever was active before this claim has expired. Before that, the previous placer
/// can't when there is evidence of its end, and the placers before it can't when it knew so.
pub(super) async fn await_predecessor_end(context: Context, placer: ActorRef<Message>) {
    let evidence = async {
        if context.is_predecessor_alone { evidence_of_end(&context).await } else { std::future::pending().await }
    };
    let by = tokio::time::timeout(AUTHORITY_PERIOD, evidence).await.unwrap_or("authority_ended");
    // The placer may have ended in the meantime.
    drop(placer.cast(Message::PredecessorEnded(by)));
}

/// Waits for evidence that the previous placer has ended: it released the cell, it was an earlier start of this process,
/// nothing listens at its address, or it reports that it doesn't place.
async fn evidence_of_end(context: &Context) -> &'static str {
    let Some(predecessor) = &context.predecessor else { return "none" };
    match &predecessor.holder {
        None => return "given_up",
        Some(holder) if *holder == context.name => return "same_process",
        Some(_) => {}
    }
    loop {
        match peer::query_term(predecessor.address).await {
            TermAnswer::NotThere => return "not_there",
            TermAnswer::Running { term, .. } if term != Some(predecessor.term) => return "says_so",
            TermAnswer::Running { .. } | TermAnswer::Unknown => tokio::time::sleep(PREDECESSOR_RETRY).await,
        }
    }
}

/// Determines when all leases have ended that former placers have granted, or still grant with their witnesses. Each
/// former placer renews its term with all of its witnesses, so one of them that answers is enough.
pub(super) async fn await_former_leases_end(context: Context, placer: ActorRef<Message>) {
    let Some(former) = &context.former_witnesses else { return };
    let renewals = former.iter().map(|witnesses| last_renewal(&context, witnesses));
    let renewed = join_all(renewals).await.into_iter().fold(context.former_renewed, Duration::max);
    let end = leases_end(renewed, context.lease);
    if placer.cast(Message::FormerLeasesEnd(end)).is_err() {
        return;
    }
    tokio::time::sleep(end.saturating_sub(context.clock.now())).await;
    // The placer may have ended in the meantime.
    drop(placer.cast(Message::PredecessorEnded("leases_ended")));
}

/// Latest time at which a former placer may have renewed its term with these witnesses; waits until one answers.
async fn last_renewal(context: &Context, witnesses: &[SocketAddr]) -> Duration {
    let ask = async |address: SocketAddr| loop {
        if let Some(renewed_ago) = peer::end_terms(address, context.term).await {
            return context.clock.now().saturating_sub(renewed_ago);
        }
        tokio::time::sleep(PREDECESSOR_RETRY).await;
    };
    let mut answers: FuturesUnordered<_> = witnesses.iter().map(|address| ask(*address)).collect();
    match answers.next().await {
        Some(renewed) => renewed,
        None => std::future::pending().await,
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
