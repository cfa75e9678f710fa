//! Leases that calls meant for a former life of the worker may grant to the present one.
//!
//! A lease ends at a time of the worker's clock, which starts anew with each life, and a call names the worker but not its
//! life. The next life therefore takes the lease of such a call for one of any length, up to the longest that it accepts,
//! and its runs go on for longer than the placer has granted.

use std::collections::BTreeMap;
use std::time::Duration;

use chervilledge_cell::authority::lapse_after;
use chervilledge_cell::worker::Life;

use super::State;
use crate::clock::whole_ms;

/// Time after which an unanswered call can no longer be executed: users state twelve seconds, plus a margin.
pub(super) const LATE_CALL_BOUND: Duration = Duration::from_secs(15);
/// Time before the end of a grant from which the leases under it have ended, unless the worker's clock is slow.
const LAPSE_MARGIN: Duration = Duration::from_millis(100);

/// Calls with a lease that may still be executed by another life than the one that they were meant for.
#[derive(Debug, Default)]
pub(super) struct LeaseCalls {
    /// Life that the latest call was meant for.
    life: Option<Life>,
    /// Number of calls without a result, by the time at which they were sent.
    pending: BTreeMap<Duration, usize>,
    /// Until when a call may be executed that got no answer.
    unanswered_until: Option<Duration>,
}

impl LeaseCalls {
    pub(super) fn add(&mut self, life: &Life, sent: Duration) {
        self.life = Some(life.clone());
        *self.pending.entry(sent).or_default() += 1;
    }

    /// Records the result of the call sent at `sent`; `executed_until` is the latest time at which another life may execute
    /// it, `None` if none can.
    pub(super) fn end(&mut self, sent: Duration, executed_until: Option<Duration>) {
        if let Some(count) = self.pending.get_mut(&sent) {
            *count -= 1;
            if *count == 0 {
                self.pending.remove(&sent);
            }
        }
        self.unanswered_until = self.unanswered_until.max(executed_until);
    }

    /// Until when `life` may execute calls that were meant for former lives of the same worker; `None` if there are none.
    fn executed_until(&self, life: &Life) -> Option<Duration> {
        let former = self.life.as_ref()?;
        if former.worker != life.worker || former == life {
            return None;
        }
        let pending_until = self.pending.last_key_value().map(|(sent, _)| *sent + LATE_CALL_BOUND);
        pending_until.max(self.unanswered_until)
    }
}

impl State {
    /// Extends the bound of the leases on the worker, of which another life begins, by those of calls meant for its former
    /// lives.
    pub(super) fn add_foreign_leases(&mut self, life: &Life, now: Duration) {
        let Some(executed_until) = self.lease_calls.executed_until(life) else { return };
        let until = executed_until + lapse_after(self.context.settings.worker_lease_max);
        if until > self.foreign_lease_until && until > now {
            self.foreign_lease_until = until;
            log::info!(event = "foreign_lease", worker = &*life.worker, born_unix_ms = life.born_unix_ms,
                calls = self.lease_calls.pending.len(), until_ms = whole_ms(until.saturating_sub(now)); "");
        }
    }

    /// Time for which runs on the worker may go on without a grant.
    pub(super) fn foreign_lease_left(&self, now: Duration) -> Option<Duration> {
        Some(self.foreign_lease_until.saturating_sub(now)).filter(|left| !left.is_zero())
    }

    /// Whether every lease under the grants so far has ended at `at`.
    pub(super) fn has_grant_ended(&self, at: Duration) -> bool {
        let until = self.grant.until;
        !until.is_zero() && at + LAPSE_MARGIN >= until
    }

    /// Stops the runs that a poll lists although it was sent after the end of every lease that was granted: the placer
    /// takes them for ended.
    pub(super) fn stop_runs_without_grant(&mut self, poll_sent: Duration, now: Duration) {
        let Some(tracked) = self.tracked.as_ref().filter(|_| self.has_grant_ended(poll_sent)) else { return };
        let runs: Vec<_> = tracked
            .running
            .iter()
            .map(|report| (report.task, report.run))
            .filter(|run| !self.pending_stops.contains_key(run))
            .collect();
        if runs.is_empty() {
            return;
        }
        log::warn!(event = "runs_outlive_grant", worker = &*tracked.worker.life.worker, runs = runs.len(),
            ended_ms = whole_ms(now.saturating_sub(self.grant.until)); "");
        for run in runs {
            self.ensure_absent(run, now);
        }
    }
}
