//! Polls of the worker: lease renewal, runs and ends.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::grant::ClockReading;
use chervilledge_cell::pace::FULL_PERCENT;
use chervilledge_cell::worker::{Life, RunReport, Worker};
use chervilledge_policy::capacity::Resources;

use super::leases::LATE_CALL_BOUND;
use super::{Message, State};
use crate::message::FromAgent;
use crate::worker::{PollError, PollRequest, PollResponse};

/// How long a poll waits for the end of a run when nothing else is expected.
const IDLE_POLL_WAIT: Duration = Duration::from_secs(1);
/// The same while filling runs share the worker with serving ones; the worker measures over half a second.
const COLOCATED_POLL_WAIT: Duration = Duration::from_millis(450);
/// Pause before the next poll while ends aren't settled, since the worker then answers at once.
const UNSETTLED_PAUSE: Duration = Duration::from_millis(150);
/// Pause after a failed poll.
const FAILURE_PAUSE: Duration = Duration::from_millis(150);
/// Consecutive refused connections after which the worker counts as ended.
const REFUSED_CONNECTIONS_MAX: u32 = 2;
/// Minimum interval between two progress reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(600);

impl State {
    /// Polls the worker when a poll is due, unless one is in flight that suffices.
    ///
    /// A poll that waits is likely to be in flight when the worker crashes, and its next life may execute it. So it carries
    /// neither a lease nor a cursor; these are sent with a poll that is answered at once.
    pub(super) fn poll_if_due(&mut self, now: Duration) {
        let wait = self.poll_wait(now);
        let Some(tracked) = &self.tracked else { return };
        if tracked.is_polling || now < tracked.poll_due || self.term == 0 {
            return;
        }
        let lease_end_ms = if wait.is_zero() { self.offer_lease(now) } else { None };
        let (Some(target), Some(tracked)) = (self.target(), self.tracked.as_mut()) else { return };
        tracked.is_polling = true;
        if !wait.is_zero() {
            tracked.unwatched_since = None;
        }
        // The numbering of ends restarts with each incarnation.
        let cursor = if wait.is_zero() && !tracked.is_doubtful() { tracked.cursor } else { 0 };
        let request = PollRequest { cursor, lease_end_ms, wait };
        let (life, term) = (tracked.worker.life.clone(), self.term);
        let call = (self.context.calls.poll)((target, request));
        let myself = self.myself.clone();
        tokio::spawn(async move {
            let response = call.await;
            // The agent may have ended.
            drop(myself.cast(Message::Polled { life, term, sent: now, request, response }));
        });
    }

    /// How long the next poll waits for the end of a run; zero if something is to be sent or learnt at once.
    fn poll_wait(&self, now: Duration) -> Duration {
        let Some(tracked) = &self.tracked else { return Duration::ZERO };
        let is_urgent = self.inventory_due.is_some()
            || self.other_report.is_some()
            || self.pending_stops.values().any(|stopping| stopping.acknowledged_at.is_some())
            || !tracked.ends.is_empty()
            || tracked.is_doubtful();
        let has_newer_grant = self.grant.holds(now) && self.grant.until > tracked.lease_until;
        let may_outlive_grant = self.has_grant_ended(now) && !tracked.running.is_empty();
        if is_urgent || has_newer_grant || may_outlive_grant || tracked.cursor > tracked.forgotten {
            return Duration::ZERO;
        }
        let wait = if self.is_colocated() { COLOCATED_POLL_WAIT } else { IDLE_POLL_WAIT };
        // The poll after it shows whether runs have outlived the grant.
        if self.grant.holds(now) { wait.min(self.grant.until.saturating_sub(now)) } else { wait }
    }

    /// Records the result of a poll that carried a lease.
    fn end_lease_poll(
        &mut self,
        life: &Life,
        sent: Duration,
        response: &Result<PollResponse, PollError>,
        now: Duration,
    ) {
        let executed_until = match response {
            Ok(response) if response.born_unix_ms.is_some_and(|born| born != life.born_unix_ms) => Some(now),
            Ok(_) | Err(PollError::Fenced | PollError::NotThere | PollError::OtherLife) => None,
            Err(PollError::Unknown) => Some(sent + LATE_CALL_BOUND),
        };
        self.lease_calls.end(sent, executed_until);
    }

    pub(super) fn handle_poll(
        &mut self,
        life: &Life,
        term: u64,
        sent: Duration,
        request: PollRequest,
        response: Result<PollResponse, PollError>,
        now: Duration,
    ) {
        if request.lease_end_ms.is_some() {
            self.end_lease_poll(life, sent, &response, now);
        }
        let Some(tracked) = self.tracked.as_mut().filter(|tracked| tracked.worker.life == *life) else { return };
        tracked.is_polling = false;
        tracked.unwatched_since.get_or_insert(now);
        let result = if response.is_ok() { "done" } else { "failed" };
        self.context.metrics.worker_poll(result, now.saturating_sub(sent));
        match response {
            Ok(PollResponse { clock_ms, born_unix_ms: Some(born_unix_ms), .. })
                if born_unix_ms != life.born_unix_ms =>
            {
                let (worker, address) = (tracked.worker.clone(), tracked.address);
                // Its capacity isn't known before its own report.
                let resources = Resources::default();
                let worker =
                    Worker { life: Life { born_unix_ms, ..life.clone() }, leaves_in: None, resources, ..worker };
                let life_age = self.next_life_age(born_unix_ms, clock_ms, now);
                self.handle_worker_restart(life_age, now);
                self.track_worker(worker, address, 0, Some(ClockReading { worker_ms: clock_ms, received: now }), now);
                self.confirm_worker(true);
                self.apply_other_report(now);
            }
            Ok(response) => {
                tracked.forgotten = tracked.forgotten.max(request.cursor);
                self.confirm_worker(response.born_unix_ms.is_some());
                self.reject_other_report(sent);
                self.apply_poll(response, term, sent, now);
                self.stop_runs_without_grant(sent, now);
                self.repeat_pending_starts(now);
            }
            Err(error) => self.handle_poll_failure(error, now),
        }
    }

    fn handle_poll_failure(&mut self, error: PollError, now: Duration) {
        let Some(tracked) = &mut self.tracked else { return };
        tracked.failed_polls += 1;
        tracked.failing_since.get_or_insert(now);
        tracked.mark_maybe_restarted(now);
        tracked.poll_due = now + FAILURE_PAUSE;
        tracked.refused_connections = if error == PollError::NotThere { tracked.refused_connections + 1 } else { 0 };
        let (failed_polls, refused_connections) = (tracked.failed_polls, tracked.refused_connections);
        log::info!(event = "look_failed", error:? = error, failures = failed_polls; "");
        if error == PollError::OtherLife {
            self.handle_worker_end("other_life", now);
        } else if refused_connections >= REFUSED_CONNECTIONS_MAX {
            self.handle_worker_end("not_there", now);
        }
    }

    fn apply_poll(&mut self, response: PollResponse, term: u64, sent: Duration, now: Duration) {
        let outlives_grant = self.has_grant_ended(sent) && !response.running.is_empty();
        let Some(tracked) = &mut self.tracked else { return };
        tracked.failed_polls = 0;
        tracked.refused_connections = 0;
        tracked.failing_since = None;
        tracked.maybe_restarted_since = tracked.maybe_restarted_since.filter(|since| *since > sent);
        tracked.reading = Some(ClockReading { worker_ms: response.clock_ms, received: now });
        tracked.running = response.running;
        let cursor = tracked.cursor;
        // Another response may have overtaken this one, or the worker hasn't forgotten them.
        let is_forgotten = response.ends.iter().all(|end| end.number > cursor);
        if !is_forgotten {
            tracked.forgotten = 0;
        }
        tracked.ends = response.ends.into_iter().filter(|end| end.number > cursor).collect();
        tracked.ends.sort_unstable_by_key(|end| end.number);
        tracked.has_more_ends = response.has_more_ends;
        let has_more_ends = response.has_more_ends;
        let is_answered_at_once = !tracked.ends.is_empty() || !is_forgotten || outlives_grant;
        tracked.poll_due = if is_answered_at_once { now + UNSETTLED_PAUSE } else { now };
        self.acknowledged_starts.retain(|_, taken| taken.at > sent);
        self.clear_ended();
        // A run that isn't listed may have ended as done.
        if !has_more_ends {
            self.report_absent(sent, now);
        }
        self.update_started_at(now);
        let is_inventory_due = term == self.term && self.inventory_due.is_some_and(|due| sent >= due);
        if is_inventory_due && !(has_more_ends && self.is_inventory_partial) {
            self.send_inventory();
        } else if self.is_inventory_sent() {
            self.report_ends();
        }
        self.update_paces(now);
    }

    fn report_ends(&mut self) {
        let Some(tracked) = &mut self.tracked else { return };
        let reported_end = tracked.reported_end;
        let ends: Vec<_> = tracked.ends.iter().filter(|end| end.number > reported_end).cloned().collect();
        let Some(last) = ends.last().map(|end| end.number) else { return };
        tracked.reported_end = last;
        let life = tracked.worker.life.clone();
        self.send_to_placer(FromAgent::Ends { life, ends });
    }

    /// Reports the progress of runs that has changed since the last report.
    pub(super) fn report_progress(&mut self, now: Duration) {
        if now < self.report_due || !self.is_inventory_sent() || self.link.is_none() {
            return;
        }
        self.report_due = now + REPORT_INTERVAL;
        let Some(tracked) = &mut self.tracked else { return };
        let mut changed = Vec::new();
        for report in &tracked.running {
            let run = (report.task, report.run);
            let pace = self.ordered_paces.get(&run).copied().unwrap_or(FULL_PERCENT).min(FULL_PERCENT);
            let state = (report.percent, pace, Arc::clone(&report.checkpoint));
            if tracked.reported_progress.get(&run) != Some(&state) {
                tracked.reported_progress.insert(run, state);
                changed.push(RunReport { pace_percent: pace, ..report.clone() });
            }
        }
        let running = &tracked.running;
        tracked.reported_progress.retain(|run, _| running.iter().any(|report| (report.task, report.run) == *run));
        if !changed.is_empty() {
            self.send_to_placer(FromAgent::Running(changed));
        }
        self.report_headroom();
    }
}
