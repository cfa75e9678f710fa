//! Urgencies of filling runs, sent to agents with each start and again when they have changed.
//!
//! Filling runs share what serving runs leave of a worker; agents give it to the most urgent run first
//! ([`crate::pace`]). The urgency of a job changes as its tasks end and its time runs out.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::id::Name;

use super::Cell;
use super::jobs::{JobEntry, UnfinishedProgress};
use crate::job::TaskId;
use crate::pace::FULL_PERCENT;
use crate::urgency::{self, Remaining, Urgency};

/// Time for which a computed progress is reused, so that a pass with many starts doesn't count each job's tasks again
/// for every start.
const PROGRESS_AGE_MAX: Duration = Duration::from_millis(300);

/// Changed urgencies of an agent's runs: task, run, urgency.
pub type UrgencyChanges = Vec<(TaskId, u64, Urgency)>;

impl JobEntry {
    /// Computes the progress of the unfinished tasks, unless that was done recently.
    fn count_unfinished_progress(&mut self, now: Duration) {
        if self.unfinished.counted_at.is_some_and(|counted| now.saturating_sub(counted) < PROGRESS_AGE_MAX) {
            return;
        }
        let mut advance = UnfinishedProgress { counted_at: Some(now), ..UnfinishedProgress::default() };
        for (key, state) in self.tasks.iter().filter(|(_, state)| !state.is_done) {
            let percent = state.runs.iter().map(|run| run.percent.min(FULL_PERCENT)).max().unwrap_or(0);
            advance.work += self.task_work(key.step).saturating_mul(percent) / FULL_PERCENT;
            let least = advance.least_percent.entry((key.occurrence, key.step)).or_insert(FULL_PERCENT);
            *least = percent.min(*least);
        }
        self.unfinished = advance;
    }
}

impl Cell {
    /// Urgency of a filling run of a task; `previous` is its last one.
    pub(super) fn urgency(&mut self, task: TaskId, previous: Urgency, now: Duration) -> Urgency {
        let Some(entry) = self.jobs.get_mut(&task.job) else { return Urgency::UNKNOWN };
        if !entry.job.step(task.key).is_some_and(|step| step.filling && !step.lasting) {
            return Urgency::UNKNOWN;
        }
        entry.count_unfinished_progress(now);
        let least_percent = entry.unfinished.least_percent.get(&(task.key.occurrence, task.key.step)).copied();
        let done = entry.run_time(task.key.step) * least_percent.unwrap_or(0) / FULL_PERCENT;
        let left = entry.chains.get(task.key.step as usize).copied().unwrap_or_default().saturating_sub(done);
        let work = entry.remaining_work().saturating_sub(entry.unfinished.work);
        let terms = self.queues.get(&entry.job.queue).map_or(&entry.job.terms, |queue| &queue.terms);
        // Occurrences of a schedule have no objective of their own.
        let age = if entry.job.schedule.is_some() { Duration::ZERO } else { entry.age(now) };
        let remaining = Remaining { chain: entry.chain(), left, work };
        urgency::urgency(terms, age, &remaining, previous)
    }

    /// Filling runs whose urgency has changed clearly, by agent, on workers where some run is below full pace. The
    /// changes count as sent from then on: an agent whose link is lost gets all urgencies again from
    /// [`Cell::run_traits`].
    pub fn changed_urgencies(&mut self, now: Duration) -> Vec<(Name, UrgencyChanges)> {
        self.estimate_run_times(now);
        let mut by_agent = Vec::new();
        for (name, runs) in self.slowed_workers() {
            let mut changes = UrgencyChanges::new();
            for (task, number) in runs {
                let Some(previous) = self.run(task, number).map(|run| run.urgency) else { continue };
                let urgency = self.urgency(task, previous, now);
                if urgency.is_clearly_before(previous) || previous.is_clearly_before(urgency) {
                    changes.push((task, number, urgency));
                    self.counters.urgencies += 1;
                    if let Some(run) = self.run_mut(task, number) {
                        run.urgency = urgency;
                    }
                }
            }
            if !changes.is_empty() {
                by_agent.push((name, changes));
            }
        }
        by_agent
    }

    /// Agents on whose workers a filling run is below its full pace, with the filling runs there.
    fn slowed_workers(&self) -> Vec<(Name, Vec<(TaskId, u64)>)> {
        let is_filling = |(task, _): &&(TaskId, u64)| self.step_of(*task).is_some_and(|step| step.filling);
        let is_slowed = |(task, number): &(TaskId, u64)| {
            self.run(*task, *number).is_some_and(|run| run.pace_percent < FULL_PERCENT)
        };
        let filling = |(name, agent): (&Name, &super::Agent)| {
            let runs: Vec<(TaskId, u64)> = agent.runs.iter().filter(is_filling).copied().collect();
            runs.iter().any(is_slowed).then(|| (Arc::clone(name), runs))
        };
        self.agents.iter().filter(|(_, agent)| agent.contact == super::Contact::Linked).filter_map(filling).collect()
    }
}
