//! The worker that an agent tracks, as it was reported and polled.

use std::net::SocketAddr;
use std::time::Duration;

use chervilledge_cell::grant::ClockReading;
use chervilledge_cell::worker::{End, RunReport, Worker};
use chervilledge_policy::collections::Map;
use chervilledge_policy::id::Name;

use super::RunId;

/// Consecutive failed polls from which a worker counts as silent; a single one may have been lost.
const SILENT_POLLS: u32 = 2;

/// Worker with its reported and polled state.
#[derive(Debug)]
pub(super) struct TrackedWorker {
    pub(super) worker: Worker,
    pub(super) address: SocketAddr,
    /// Number of the latest report that was applied.
    pub(super) sequence: u64,
    /// Number of the latest report below `sequence`, and when it was received.
    pub(super) outdated_report: Option<(u64, Duration)>,
    /// When the worker stops being slow after its start, according to its latest report.
    pub(super) cold_until: Duration,
    pub(super) reading: Option<ClockReading>,
    /// Latest end of the leases that were sent to the worker.
    pub(super) lease_until: Duration,
    /// Runs that ended up to this position are durable, and the worker may forget them.
    pub(super) cursor: u64,
    /// Position up to which the worker has answered that it forgets ends; never above `cursor`.
    pub(super) forgotten: u64,
    /// Latest end that was reported to the placer.
    pub(super) reported_end: u64,
    /// Ends that aren't settled yet, as far as the worker lists them.
    pub(super) ends: Vec<End>,
    /// Whether there may be further ends.
    pub(super) has_more_ends: bool,
    pub(super) running: Vec<RunReport>,
    /// Progress as last reported to the placer.
    pub(super) reported_progress: Map<RunId, (u32, u32, Name)>,
    /// Consecutive failed polls.
    pub(super) failed_polls: u32,
    /// Consecutive refused connections.
    pub(super) refused_connections: u32,
    /// When the first call failed since the last successful poll.
    pub(super) failing_since: Option<Duration>,
    /// What shows that this incarnation is the worker beside the agent.
    pub(super) identity: Identity,
    /// Since when the worker may have restarted. Nothing is settled until a poll confirms the incarnation.
    pub(super) maybe_restarted_since: Option<Duration>,
    pub(super) is_polling: bool,
    pub(super) poll_due: Duration,
    /// Since when no poll has waited for the ends of runs, so that a run may have ended unseen.
    pub(super) unwatched_since: Option<Duration>,
}

/// Evidence of an incarnation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Identity {
    /// Its report alone, which another writer may have sent.
    Reported,
    /// It answers polls, without telling when it started.
    Answers,
    /// It answers polls and tells when it started.
    AnswersWithStart,
}

impl TrackedWorker {
    /// Whether this incarnation has answered a poll of this agent.
    pub(super) fn is_confirmed(&self) -> bool {
        self.identity != Identity::Reported
    }

    /// Whether the worker has left polls unanswered.
    pub(super) const fn is_silent(&self) -> bool {
        self.failed_polls >= SILENT_POLLS
    }

    /// Records that the worker may have restarted, which the next poll shows.
    pub(super) fn mark_maybe_restarted(&mut self, now: Duration) {
        self.maybe_restarted_since = Some(now);
        // One in flight that waits may be answered much later.
        if self.is_polling && self.unwatched_since.is_none() {
            self.is_polling = false;
            self.poll_due = now;
        }
    }

    /// Whether another incarnation may answer the calls to this one, which carry nothing then that holds for one only.
    pub(super) const fn is_doubtful(&self) -> bool {
        self.maybe_restarted_since.is_some()
    }
}
