//! Orders to start and stop runs.

use std::time::Duration;

use chervilledge_cell::evacuation::Standing;
use chervilledge_cell::grant::is_clock_continued;
use chervilledge_cell::worker::{Life, Refusal, StartOrder};
use chervilledge_policy::id::Name;

use super::leases::LATE_CALL_BOUND;
use super::{AcknowledgedStart, Message, PendingStart, PendingStop, RunId, State, TrackedWorker};
use crate::clock::whole_ms;
use crate::message::FromAgent;
use crate::worker::{OrderOutcome, StartOutcome};

/// Time for which a start without an answer is repeated; users expect a lasting task to run within three seconds where
/// there is capacity. The run is stopped afterwards, which ensures that it never starts.
const START_PATIENCE: Duration = Duration::from_secs(3);
/// Minimum interval between two calls for one order; a call that gets no answer takes longer than a broken connection.
const ORDER_RETRY: Duration = Duration::from_millis(250);

impl State {
    pub(super) fn start(&mut self, life: &Life, order: StartOrder, now: Duration) {
        let run = (order.task, order.run);
        let tracked = self.tracked.as_ref().filter(|tracked| tracked.worker.life == *life);
        let refusal = match tracked {
            // The incarnation that was meant has ended, so the run never starts.
            None => Some(Refusal::Leaving),
            Some(tracked) if tracked.worker.leaves_in.is_some() => Some(Refusal::Leaving),
            Some(_) if self.is_evacuated() => Some(Refusal::Evacuated),
            Some(tracked) if tracked.is_silent() => Some(Refusal::Late),
            Some(_) if !self.grant.holds(now) => Some(Refusal::Late),
            Some(_) if self.newest_term.holds_starts(now) => return self.newest_term.hold(life, order),
            Some(_) => self.term_refusal(now),
        };
        if refusal == Some(Refusal::Evacuated) {
            self.context.metrics.start_refused_evacuated();
        }
        if let Some(refusal) = refusal {
            self.refuse(run, refusal);
            return;
        }
        self.traits.insert(run, order.traits.clone());
        let starting = PendingStart { order, since: now, attempts: 0, is_calling: false, due: now };
        self.pending_starts.insert(run, starting);
        if !self.send_start(run, now) {
            self.refuse(run, Refusal::Late);
        }
    }

    /// Whether the worker's failure domain is evacuated, so that nothing may start.
    pub(super) fn is_evacuated(&self) -> bool {
        self.tracked.as_ref().is_some_and(|tracked| self.evacuated.is_evacuated(&tracked.worker.failure_domain))
    }

    /// Applies the evacuation state of a failure domain; an older revision than the known one is ignored.
    pub(super) fn apply_evacuation(&mut self, domain: &Name, standing: Standing) {
        if self.evacuated.note(domain, standing) {
            log::info!(event = "evacuation_obeyed", domain = &**domain, is_requested = standing.is_requested,
                revision = standing.revision, starting = self.pending_starts.len(); "");
        }
    }

    fn refuse(&mut self, run: RunId, refusal: Refusal) {
        self.pending_starts.remove(&run);
        self.traits.remove(&run);
        self.send_to_placer(FromAgent::Refused { task: run.0, run: run.1, refusal });
    }

    /// Sends an attempt at a start, as soon as it is certain which incarnation takes it; returns whether the worker may be
    /// called.
    fn send_start(&mut self, run: RunId, now: Duration) -> bool {
        if self.tracked.as_ref().is_some_and(TrackedWorker::is_doubtful) {
            return true;
        }
        let (Some(target), Some(lease_end)) = (self.target(), self.offer_lease(now)) else { return false };
        let Some(life) = self.tracked.as_ref().map(|tracked| tracked.worker.life.clone()) else { return false };
        let Some(starting) = self.pending_starts.get_mut(&run) else { return false };
        starting.attempts += 1;
        starting.is_calling = true;
        starting.due = now + ORDER_RETRY;
        // A run that the worker lists was started by an earlier attempt.
        let is_listed = |tracked: &TrackedWorker| tracked.running.iter().any(|report| (report.task, report.run) == run);
        if !self.tracked.as_ref().is_some_and(is_listed) {
            self.started_at.insert(run, now);
        }
        let call = (self.context.calls.start)((target, starting.order.clone(), lease_end));
        let myself = self.myself.clone();
        tokio::spawn(async move {
            let result = call.await;
            // The agent may have ended.
            drop(myself.cast(Message::Started { run, life, sent: now, result }));
        });
        true
    }

    /// Repeats the starts that got no answer, as soon as the worker answers polls, or ensures that they never happen.
    ///
    /// One answered attempt ends the wait of the task, whereas a start elsewhere first needs an answered stop and a poll
    /// after it.
    pub(super) fn repeat_pending_starts(&mut self, now: Duration) {
        let may_start =
            !self.is_evacuated() && self.tracked.as_ref().is_some_and(|tracked| tracked.worker.leaves_in.is_none());
        let due: Vec<(RunId, Duration, u32)> = self
            .pending_starts
            .iter()
            .filter(|(_, starting)| !starting.is_calling && now >= starting.due)
            .map(|(run, starting)| (*run, starting.since, starting.attempts))
            .collect();
        for (run, since, attempts) in due {
            if may_start && now.saturating_sub(since) < START_PATIENCE {
                self.send_start(run, now);
            } else if attempts == 0 {
                self.refuse(run, Refusal::Late);
            } else {
                // An attempt may still be executed.
                self.ensure_absent(run, now);
            }
        }
    }

    pub(super) fn handle_start_outcome(
        &mut self,
        run: RunId,
        life: &Life,
        sent: Duration,
        result: StartOutcome,
        now: Duration,
    ) {
        let is_doubtful = self.check_for_restart(life, sent, result, now);
        self.end_lease_start(sent, result, is_doubtful, now);
        let is_present = self.tracked.as_ref().is_some_and(|tracked| tracked.worker.life == *life);
        let Some(starting) = self.pending_starts.get_mut(&run).filter(|_| is_present) else { return };
        starting.is_calling = false;
        let attempts = starting.attempts;
        if !matches!(result, StartOutcome::Running { .. }) {
            log::info!(event = "start_not_taken", task:% = run.0, run = run.1, attempt = attempts, result:? = result; "");
        }
        if result == StartOutcome::Unknown {
            self.prune_unanswered(now);
            self.unanswered.insert(run, now);
        }
        match result {
            StartOutcome::Running { .. } => {
                self.pending_starts.remove(&run);
                self.acknowledged_starts.insert(run, AcknowledgedStart { at: now, is_doubtful });
                self.send_to_placer(FromAgent::Started { task: run.0, run: run.1 });
                self.pace_new_run(run);
            }
            StartOutcome::Unknown => self.repeat_pending_starts(now),
            // A delayed attempt may have been executed, so the worker has to say what became of the run.
            StartOutcome::Outdated => self.ensure_absent(run, now),
            StartOutcome::Refused(_) if attempts > 1 => self.ensure_absent(run, now),
            StartOutcome::Refused(refusal) => self.refuse(run, refusal),
            StartOutcome::OtherLife => self.handle_worker_end("other_life", now),
        }
    }

    /// Records the result of a start, which carries a lease.
    fn end_lease_start(&mut self, sent: Duration, result: StartOutcome, is_doubtful: bool, now: Duration) {
        let executed_until = match result {
            StartOutcome::Running { .. } => Some(now).filter(|_| is_doubtful),
            StartOutcome::Unknown => Some(sent + LATE_CALL_BOUND),
            StartOutcome::Refused(_) | StartOutcome::Outdated | StartOutcome::OtherLife => None,
        };
        self.lease_calls.end(sent, executed_until);
    }

    /// Detects a response to a start that another incarnation of the worker may have given; returns whether it may.
    fn check_for_restart(&mut self, life: &Life, sent: Duration, result: StartOutcome, now: Duration) -> bool {
        let Some(tracked) = self.tracked.as_mut().filter(|tracked| tracked.worker.life == *life) else { return true };
        let is_doubtful = match result {
            StartOutcome::Running { clock_ms: Some(clock_ms) } => {
                tracked.reading.is_some_and(|reading| !is_clock_continued(reading, clock_ms, sent))
            }
            StartOutcome::Unknown => true,
            StartOutcome::Running { clock_ms: None }
            | StartOutcome::Refused(_)
            | StartOutcome::Outdated
            | StartOutcome::OtherLife => false,
        };
        if is_doubtful {
            log::info!(event = "worker_doubtful", worker = &*life.worker, result:? = result; "");
            tracked.mark_maybe_restarted(now);
        }
        if result == StartOutcome::Unknown {
            tracked.failing_since.get_or_insert(now);
        }
        is_doubtful
    }

    /// Drops unanswered starts that can no longer be executed.
    pub(super) fn prune_unanswered(&mut self, now: Duration) {
        self.unanswered.retain(|_, at| now.saturating_sub(*at) < LATE_CALL_BOUND);
    }

    pub(super) fn ensure_absent(&mut self, run: RunId, now: Duration) {
        self.pending_starts.remove(&run);
        self.pending_stops.entry(run).or_insert_with(|| PendingStop::new(now));
        self.send_pending_stops(now);
    }

    pub(super) fn stop(&mut self, life: &Life, run: RunId, now: Duration) {
        self.newest_term.forget_held(Some(run));
        // A start meant for a previous incarnation may have been executed by a later one with the same name.
        let may_run_here = |tracked: &TrackedWorker| {
            tracked.worker.life.worker == life.worker && tracked.worker.life.born_unix_ms >= life.born_unix_ms
        };
        if !self.tracked.as_ref().is_some_and(may_run_here) {
            if self.has_life_ended(life, now) {
                self.send_to_placer(FromAgent::Absent { task: run.0, run: run.1 });
            } else {
                // The placer repeats the order after the inventory that follows.
                log::info!(event = "stop_deferred", task:% = run.0, run = run.1, worker = &*life.worker; "");
            }
            return;
        }
        // A pending response to the start is ignored from now on.
        self.ensure_absent(run, now);
    }

    /// Whether an incarnation other than the current one has certainly ended.
    ///
    /// Right after a start of the agent this isn't certain while no worker, or only an earlier incarnation, is known.
    fn has_life_ended(&self, life: &Life, now: Duration) -> bool {
        match &self.tracked {
            Some(tracked) => tracked.worker.life.born_unix_ms >= life.born_unix_ms,
            None => now >= self.empty_at,
        }
    }

    /// Sends the stops that the worker hasn't acknowledged.
    pub(super) fn send_pending_stops(&mut self, now: Duration) {
        let Some(target) = self.target() else { return };
        let Some(life) = self.tracked.as_ref().map(|tracked| tracked.worker.life.clone()) else { return };
        for (run, stopping) in &mut self.pending_stops {
            if stopping.acknowledged_at.is_some() || stopping.is_calling || now < stopping.due {
                continue;
            }
            stopping.is_calling = true;
            stopping.attempts += 1;
            stopping.due = now + ORDER_RETRY;
            let call = (self.context.calls.stop)((target.clone(), run.0, run.1));
            let (run, life, myself) = (*run, life.clone(), self.myself.clone());
            tokio::spawn(async move {
                let result = call.await;
                // The agent may have ended.
                drop(myself.cast(Message::Stopped { run, life, result }));
            });
        }
    }

    pub(super) fn handle_stop_outcome(&mut self, run: RunId, life: &Life, result: OrderOutcome, now: Duration) {
        if self.tracked.as_ref().is_none_or(|tracked| tracked.worker.life != *life) {
            return;
        }
        let Some(stopping) = self.pending_stops.get_mut(&run) else { return };
        stopping.is_calling = false;
        let stopping_ms = whole_ms(now.saturating_sub(stopping.since));
        match result {
            OrderOutcome::Taken => {
                log::info!(event = "stop_taken", task:% = run.0, run = run.1, attempts = stopping.attempts,
                    stopping_ms = stopping_ms; "");
                stopping.acknowledged_at = Some(now);
                if let Some(tracked) = &mut self.tracked {
                    tracked.poll_due = now;
                }
            }
            OrderOutcome::Fenced | OrderOutcome::Unknown => {
                log::info!(event = "stop_not_taken", task:% = run.0, run = run.1, attempt = stopping.attempts,
                    stopping_ms = stopping_ms, result:? = result; "");
                self.send_pending_stops(now);
            }
        }
    }

    pub(super) fn settle(&mut self, life: &Life, cursor: u64, now: Duration) {
        let Some(tracked) = self.tracked.as_mut().filter(|tracked| tracked.worker.life == *life) else { return };
        tracked.cursor = tracked.cursor.max(cursor);
        tracked.ends.retain(|end| end.number > cursor);
        if tracked.ends.is_empty() {
            tracked.poll_due = now;
        }
    }

    /// Reports stopped runs that the worker neither runs nor lists, according to a poll sent after the stop was
    /// acknowledged.
    pub(super) fn report_absent(&mut self, sent: Duration, now: Duration) {
        let Some(tracked) = &self.tracked else { return };
        let is_listed = |run: &RunId| {
            tracked.running.iter().any(|report| (report.task, report.run) == *run)
                || tracked.ends.iter().any(|end| (end.task, end.run) == *run)
        };
        let absent: Vec<RunId> = self
            .pending_stops
            .iter()
            .filter(|(run, stopping)| stopping.acknowledged_at.is_some_and(|taken| taken <= sent) && !is_listed(run))
            .map(|(run, _)| *run)
            .collect();
        for run in absent {
            if let Some(stopping) = self.pending_stops.remove(&run) {
                let acknowledged = stopping.acknowledged_at.unwrap_or(now);
                log::info!(event = "absence_confirmed", task:% = run.0, run = run.1,
                    stopping_ms = whole_ms(now.saturating_sub(stopping.since)),
                    acknowledged_ms = whole_ms(now.saturating_sub(acknowledged)); "");
            }
            self.traits.remove(&run);
            self.send_to_placer(FromAgent::Absent { task: run.0, run: run.1 });
        }
    }

    /// Runs that may be on the worker, or may still start there, whatever the last poll showed: unanswered starts,
    /// unconfirmed stops, and starts acknowledged after the poll was sent.
    pub(super) fn unconfirmed_runs(&self) -> Vec<RunId> {
        self.pending_starts
            .keys()
            .chain(self.pending_stops.keys())
            .chain(self.acknowledged_starts.keys())
            .copied()
            .chain(self.newest_term.held_runs())
            .collect()
    }

    /// Drops the pending orders and other state of runs that have ended.
    pub(super) fn clear_ended(&mut self) {
        let Some(tracked) = &self.tracked else { return };
        for end in &tracked.ends {
            let run = (end.task, end.run);
            self.pending_stops.remove(&run);
            self.acknowledged_starts.remove(&run);
            self.started_at.remove(&run);
            self.traits.remove(&run);
            self.ordered_paces.remove(&run);
            if self.pending_starts.remove(&run).is_some() {
                log::info!(event = "run_ended_before_answer", task:% = run.0, run = run.1; "");
            }
        }
    }
}
