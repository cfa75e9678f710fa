//! Requests of callers.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::job::{Job, JobId, JobState};
use chervilledge_cell::progress::Outcome;
use chervilledge_policy::code::Code;
use chervilledge_policy::id::Name;
use rand::Rng;

use super::{Entry, PlacerRoute, Reply, lock};
use crate::clock::whole_ms;
use crate::message::{FromEntry, StoreOutcome, ToEntry};
use crate::placer;
use crate::progress_rows;
use crate::repeat;
use crate::rows;
use crate::store::{Row, Table};

/// Timeout for the placer to return a job's state before the rows are read instead.
const STATE_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout for each of the two row reads that determine a state. Together with the placer's timeout they stay below the
/// time that callers wait.
const ROW_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum age of the counts of waiting jobs given to callers. Callers may receive figures that are two seconds old,
/// and a takeover takes as long.
const PENDING_MAX_AGE: Duration = Duration::from_secs(6);
/// Retry time for a caller refused because of a store outage.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Upper bound of the random delay added while the store breaks connections. All callers are refused then, and those
/// refused at the same moment would otherwise retry together.
const OUTAGE_RETRY_SPREAD: Duration = Duration::from_secs(1);
/// How long a job whose outcome was unknown isn't reported as refused: longer than a delayed write can take to take
/// effect in the store, and longer than callers retry.
const UNDECIDED_RETENTION: Duration = Duration::from_secs(20);
/// Part of the caller's timeout reserved for the reply.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// Timeout for a peer to store a row.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Maximum number of peers that are asked to store a row.
const RELAYS_MAX: usize = 2;

impl Entry {
    /// Accepts a job; it is durable once the reply says so.
    pub async fn submit(&self, job: Job, timeout: Duration) -> Reply {
        let id = job.id;
        let queue = Arc::clone(&job.queue);
        let deadline = self.now() + timeout.saturating_sub(ANSWER_MARGIN);
        let began = self.now();
        if let Some(reply) = self.refuse_for_backlog(&job).await {
            return self.record_reply("submit", reply, began);
        }
        let mut stored = self.inner.submitter.store_job(job.clone(), deadline).await;
        let mut by = "own";
        if stored == StoreOutcome::Refused {
            stored = self
                .relay(deadline, |question| ToEntry::Relay { question, job: Some(Box::new(job.clone())), cancel: None })
                .await;
            by = "relay";
        }
        let took_ms = whole_ms(self.now().saturating_sub(began));
        log::info!(event = "submitted", job:% = id, queue = &*queue, stored:? = stored, by = by, took_ms = took_ms; "");
        stored = self.correct_refusal(id, stored).await;
        if stored == StoreOutcome::Done {
            self.notify_placer(ToEntry::Submitted(Box::new(job)));
        }
        self.record_reply("submit", self.reply(stored, Reply::Accepted), began)
    }

    /// Corrects a refusal that an earlier attempt with the same identifier has made untrue.
    ///
    /// The placer knows only stored jobs. An attempt through this entry whose outcome is unknown may still take effect.
    async fn correct_refusal(&self, id: JobId, stored: StoreOutcome) -> StoreOutcome {
        let now = self.now();
        match stored {
            StoreOutcome::Done => {}
            StoreOutcome::Unknown => {
                let mut undecided = lock(&self.inner.undecided);
                undecided.retain(|_, at| now.saturating_sub(*at) < UNDECIDED_RETENTION);
                undecided.insert(id, now);
            }
            StoreOutcome::Refused => {
                if self.is_stored(id).await {
                    log::info!(event = "refusal_corrected", job:% = id, by = "placer"; "");
                    return StoreOutcome::Done;
                }
                if self.is_undecided(id) {
                    log::info!(event = "refusal_corrected", job:% = id, by = "earlier_attempt"; "");
                    return StoreOutcome::Unknown;
                }
            }
        }
        stored
    }

    /// Stores a job for a peer. An earlier attempt through this entry that may still take effect would make a refusal
    /// untrue.
    pub(super) async fn store_for_peer(&self, job: Job, deadline: Duration) -> StoreOutcome {
        let id = job.id;
        match self.inner.submitter.store_job(job, deadline).await {
            StoreOutcome::Refused if self.is_undecided(id) => StoreOutcome::Unknown,
            stored => stored,
        }
    }

    /// Whether an attempt through this entry had an unknown outcome and may still take effect.
    pub(super) fn is_undecided(&self, id: JobId) -> bool {
        let now = self.now();
        lock(&self.inner.undecided).get(&id).is_some_and(|at| now.saturating_sub(*at) < UNDECIDED_RETENTION)
    }

    /// Cancels a job.
    pub async fn cancel(&self, id: JobId, timeout: Duration) -> Reply {
        let began = self.now();
        let deadline = began + timeout.saturating_sub(ANSWER_MARGIN);
        match self.known_state(id).await {
            Ok(Some(_)) => {}
            Ok(None) => return self.record_reply("cancel", Reply::NoJob, began),
            Err(()) => return self.record_reply("cancel", self.unavailable(), began),
        }
        let mut stored = self.inner.submitter.store_cancel(id, deadline).await;
        if stored == StoreOutcome::Refused {
            stored = self.relay(deadline, |question| ToEntry::Relay { question, job: None, cancel: Some(id) }).await;
        }
        log::info!(event = "cancelled", job:% = id, stored:? = stored; "");
        if stored == StoreOutcome::Done {
            self.notify_placer(ToEntry::Canceled(id));
        }
        self.record_reply("cancel", self.reply(stored, Reply::Cancelled), began)
    }

    /// Returns the state of a job.
    pub async fn state(&self, id: JobId) -> Reply {
        let began = self.now();
        let reply = match self.known_state(id).await {
            Ok(Some(state)) => Reply::State(state),
            Ok(None) => Reply::NoJob,
            Err(()) => self.unavailable(),
        };
        self.record_reply("state", reply, began)
    }

    /// Records the metrics of a reply.
    fn record_reply(&self, kind: &'static str, reply: Reply, began: Duration) -> Reply {
        let answer = match &reply {
            Reply::Accepted | Reply::Cancelled => "done",
            Reply::State(_) | Reply::Pending(_) => "told",
            Reply::NoJob => "no_job",
            Reply::Refused { code: Code::BacklogTooLong, .. } => "backlog_too_long",
            Reply::Refused { .. } => "refused",
            Reply::Undecided => "undecided",
        };
        self.inner.metrics.request(kind, answer, self.now().saturating_sub(began));
        reply
    }

    /// Number of accepted jobs in a queue that wait for their first start.
    #[must_use]
    pub fn pending(&self, queue: &str) -> Reply {
        let known = lock(&self.inner.pending).clone();
        match known {
            Some((counts, at)) if self.now().saturating_sub(at) < PENDING_MAX_AGE => {
                Reply::Pending(counts.counts.get(queue).copied().unwrap_or(0))
            }
            _ => self.unavailable(),
        }
    }

    fn notify_placer(&self, message: ToEntry) {
        let placer_route = self.inner.placer_route.borrow().clone();
        match (placer_route, message) {
            (PlacerRoute::Local(placer), ToEntry::Submitted(job)) => drop(placer.cast(placer::Message::Submitted(job))),
            (PlacerRoute::Local(placer), ToEntry::Canceled(id)) => drop(placer.cast(placer::Message::Canceled(id))),
            (PlacerRoute::Remote(link), message) => link.notify(message),
            (PlacerRoute::Local(_) | PlacerRoute::Opening(_) | PlacerRoute::None, _) => {}
        }
    }

    /// State of a job; `Ok(None)` when there is no such job, an error when that can't be determined.
    async fn known_state(&self, id: JobId) -> Result<Option<JobState>, ()> {
        if let Some(state) = self.placer_state(id).await {
            return Ok(Some(state));
        }
        self.state_from_rows(id).await
    }

    /// State of a job as the placer knows it.
    async fn placer_state(&self, id: JobId) -> Option<JobState> {
        self.query_placer(id).await.flatten()
    }

    /// Asks the placer for a job's state: `Some(None)` when it doesn't know the job, `None` when it can't answer.
    pub(super) async fn query_placer(&self, id: JobId) -> Option<Option<JobState>> {
        let placer_route = self.inner.placer_route.borrow().clone();
        match placer_route {
            PlacerRoute::Local(placer) => {
                let timeout_ms = u64::try_from(STATE_TIMEOUT.as_millis()).unwrap_or(u64::MAX);
                ractor::call_t!(placer, placer::Message::State, timeout_ms, id).ok()
            }
            PlacerRoute::Remote(link) => {
                match link.query(STATE_TIMEOUT, |question| ToEntry::State { question, job: id }).await {
                    Some(FromEntry::State { state, is_placer: true, .. }) => Some(state),
                    _ => None,
                }
            }
            PlacerRoute::Opening(_) | PlacerRoute::None => None,
        }
    }

    /// Whether the placer knows that a job is stored. This holds even for a placer without authority, whose job states
    /// may be outdated.
    async fn is_stored(&self, id: JobId) -> bool {
        let placer_route = self.inner.placer_route.borrow().clone();
        match placer_route {
            PlacerRoute::Local(placer) => {
                let timeout_ms = u64::try_from(STATE_TIMEOUT.as_millis()).unwrap_or(u64::MAX);
                ractor::call_t!(placer, placer::Message::IsStored, timeout_ms, id).unwrap_or(false)
            }
            PlacerRoute::Remote(link) => {
                let answer = link.query(STATE_TIMEOUT, |question| ToEntry::State { question, job: id }).await;
                matches!(answer, Some(FromEntry::State { is_stored: true, .. }))
            }
            PlacerRoute::Opening(_) | PlacerRoute::None => false,
        }
    }

    /// State of a job according to its rows.
    async fn state_from_rows(&self, id: JobId) -> Result<Option<JobState>, ()> {
        let key = rows::job_key(id);
        let progress = self.read_row(Table::Progress, &key).await?;
        if let Some(value) = progress.and_then(|row| row.value) {
            // A job whose progress can't be decoded has run, but it isn't known how far.
            let outcome = progress_rows::decode_outcome(id, &value).ok_or(())?;
            return Ok(Some(match outcome {
                Some(Outcome::Completed) => JobState::Completed,
                Some(Outcome::Failed) => JobState::Failed,
                Some(Outcome::Canceled) => JobState::Canceled,
                None => JobState::Running,
            }));
        }
        let job = self.read_row(Table::Jobs, &key).await?;
        Ok(job.map(|_| JobState::Queued))
    }

    async fn read_row(&self, table: Table, key: &Name) -> Result<Option<Row>, ()> {
        let row = repeat::read(ROW_TIMEOUT, |_| (self.inner.store.read_one)((table, Arc::clone(key)))).await;
        row.map_err(|error| {
            log::info!(event = "state_unread", job = &**key, table = table.name(), error:% = error; "");
        })
    }

    /// Asks other entries to write a row.
    async fn relay(&self, deadline: Duration, message: impl Fn(u64) -> ToEntry) -> StoreOutcome {
        let Some(roster) = self.roster() else { return StoreOutcome::Refused };
        let others = roster.entries.iter().filter(|(name, _)| **name != self.inner.settings.name);
        for (name, address) in others.take(RELAYS_MAX) {
            let left = deadline.saturating_sub(self.now());
            if left.is_zero() {
                return StoreOutcome::Refused;
            }
            let Some(link) = self.relay_link(name, *address).await else { continue };
            match link.query(left.min(RELAY_TIMEOUT), &message).await {
                Some(FromEntry::Relayed { stored: StoreOutcome::Refused, .. }) => {}
                Some(FromEntry::Relayed { stored, .. }) => return stored,
                // The peer may have written it.
                _ => return StoreOutcome::Unknown,
            }
        }
        StoreOutcome::Refused
    }

    fn reply(&self, stored: StoreOutcome, done: Reply) -> Reply {
        match stored {
            StoreOutcome::Done => done,
            StoreOutcome::Refused => self.unavailable(),
            StoreOutcome::Unknown => Reply::Undecided,
        }
    }

    fn unavailable(&self) -> Reply {
        let spread = if self.inner.submitter.health().is_broken() { OUTAGE_RETRY_SPREAD } else { Duration::ZERO };
        let retry_after = OUTAGE_RETRY_AFTER + spread.mul_f64(rand::rng().random());
        Reply::Refused { code: Code::PlatformUnavailable, retry_after }
    }
}
