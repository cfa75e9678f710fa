//! Reports of crashes of the worker, with the runs that it had.
//!
//! A crashed worker lists no ends, and the placer that ordered its runs may be gone: the agent keeps each crash until
//! a placer has made it durable.

use std::time::Duration;

use chervilledge_cell::worker::{CrashReport, CrashedRun, Life};
use chervilledge_policy::collections::Set;

use super::{RunId, State};
use crate::clock::unix_ms;
use crate::message::FromAgent;

/// Number of crashes that the agent keeps: more than a worker has while no placer can settle them.
const CRASHES_MAX: usize = 16;

/// Time after the last sign of a run within which it counts as still there although no poll waits for its end: few runs
/// end so soon.
const UNSEEN_END_MIN: Duration = Duration::from_millis(50);

impl State {
    /// Age of the worker's next life, of which a response or report has just been read.
    ///
    /// Its own clock tells the age at which it wrote that, which may be seconds ago. Its wall clock is used if it agrees
    /// with that clock and with the last sign of the former life.
    pub(super) fn next_life_age(&self, born_unix_ms: u64, clock_ms: u64, now: Duration) -> Duration {
        let written_at_age = Duration::from_millis(clock_ms);
        let wall_age = Duration::from_millis(unix_ms().saturating_sub(born_unix_ms));
        let reading = self.tracked.as_ref().and_then(|tracked| tracked.reading);
        let age_max = reading.map_or(Duration::MAX, |reading| now.saturating_sub(reading.received));
        if (written_at_age..=age_max).contains(&wall_age) { wall_age } else { written_at_age }
    }

    /// Reports that the worker's present life has ended in a crash, unless its end was announced; `life_age` is the age
    /// of the next life, if it has begun.
    pub(super) fn report_crash(&mut self, life_age: Duration, now: Duration) {
        if let Some(report) = self.crash_report(life_age, now) {
            self.add_crash(report);
        }
    }

    /// Reports a silent life of the worker as crashed when another one is heard of.
    pub(super) fn confirm_silent_crash(&mut self, life: &Life) {
        if let Some(report) = self.silent_life.take_if(|report| report.life != *life) {
            self.add_crash(report);
        }
        self.silent_life = None;
    }

    /// The worker's present life and its runs as a crash; `None` without a worker that has answered, or if its end was
    /// announced.
    ///
    /// Without the runs that were started within `life_age`: the next life took those.
    pub(super) fn crash_report(&self, life_age: Duration, now: Duration) -> Option<CrashReport> {
        let tracked =
            self.tracked.as_ref().filter(|tracked| tracked.is_confirmed() && tracked.worker.leaves_in.is_none())?;
        let crashed_at = tracked.failing_since.unwrap_or(now).min(now.saturating_sub(life_age));
        let is_unresolved =
            |run: &&RunId| self.pending_starts.contains_key(*run) || self.pending_stops.contains_key(*run);
        let sent = self.pending_starts.iter().filter(|(_, starting)| starting.attempts > 0).map(|(run, _)| *run);
        let runs: Set<RunId> = tracked
            .running
            .iter()
            .map(|report| (report.task, report.run))
            .chain(self.acknowledged_starts.keys().copied())
            .chain(sent)
            .chain(self.unanswered.keys().filter(is_unresolved).copied())
            .collect();
        let is_watched = tracked.unwatched_since.is_none_or(|since| since >= crashed_at);
        let crashed_run = |run: RunId| {
            let last_sign = self.last_sign(run);
            // The worker may have taken an unanswered order just before it crashed.
            let started_at = self.started_at.get(&run).copied().filter(|_| last_sign.is_some()).unwrap_or(crashed_at);
            // A run that ended unseen before the crash had no part in it.
            let is_seen = |at: Duration| is_watched || crashed_at.saturating_sub(at) <= UNSEEN_END_MIN;
            let is_unconfirmed = !last_sign.is_some_and(is_seen);
            CrashedRun { task: run.0, run: run.1, age: crashed_at.saturating_sub(started_at), is_unconfirmed }
        };
        let is_of_next_life =
            |run: &RunId| self.started_at.get(run).is_some_and(|at| now.saturating_sub(*at) < life_age);
        let runs = runs.into_iter().filter(|run| !is_of_next_life(run)).map(crashed_run).collect();
        Some(CrashReport { life: tracked.worker.life.clone(), runs })
    }

    /// When the worker last showed that it had a run.
    fn last_sign(&self, run: RunId) -> Option<Duration> {
        let tracked = self.tracked.as_ref()?;
        let answered = self.acknowledged_starts.get(&run).filter(|taken| !taken.is_doubtful).map(|taken| taken.at);
        let is_listed = tracked.running.iter().any(|report| (report.task, report.run) == run);
        let listed = tracked.reading.filter(|_| is_listed).map(|reading| reading.received);
        answered.max(listed)
    }

    fn add_crash(&mut self, report: CrashReport) {
        log::info!(event = "worker_crashed", worker = &*report.life.worker, runs = report.runs.len(),
            youngest_ms = report.runs.iter().map(|run| crate::clock::whole_ms(run.age)).min().unwrap_or_default(); "");
        if self.placer_knows_crashes {
            self.send_to_placer(FromAgent::Crashed(report.clone()));
        }
        // Nothing has to last of a crash that no run can be blamed for.
        if report.runs.is_empty() {
            return;
        }
        if self.crashes.len() == CRASHES_MAX
            && let Some(dropped) = self.crashes.pop_front()
        {
            log::warn!(event = "crash_forgotten", worker = &*dropped.life.worker, runs = dropped.runs.len(); "");
        }
        self.crashes.push_back(report);
    }

    /// Updates when the runs on the worker were started, from a poll.
    pub(super) fn update_started_at(&mut self, now: Duration) {
        let Some(tracked) = &self.tracked else { return };
        for report in &tracked.running {
            self.started_at.entry((report.task, report.run)).or_insert(now);
        }
        let is_running = |run: &RunId| tracked.running.iter().any(|report| (report.task, report.run) == *run);
        self.started_at.retain(|run, _| {
            self.pending_starts.contains_key(run)
                || self.acknowledged_starts.contains_key(run)
                || self.unanswered.contains_key(run)
                || is_running(run)
        });
    }
}
