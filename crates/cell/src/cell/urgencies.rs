//! Urgencies of filling runs, told to agents with each start and anew when they have changed.
//!
//! Answers jobs that share what serving runs leave of the workers: agents give it to the most urgent run first
//! ([`crate::pace`]), and how urgent a job is changes as its tasks end and its time runs out.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::collections::Map;
use chervilledge_policy::id::Name;

use super::Cell;
use super::jobs::JobEntry;
use crate::job::TaskId;
use crate::pace::FULL_PERCENT;
use crate::urgency::{self, Remaining, Urgency};

/// Time for which a count of a job's progress is used, so that a pass over many starts doesn't count each job's tasks for
/// each of them.
const COUNTED_FOR: Duration = Duration::from_millis(300);

/// Changed urgencies of an agent's runs: task, run, urgency.
pub type Changes = Vec<(TaskId, u64, Urgency)>;

/// How far the tasks of a job are that aren't done.
#[derive(Clone, Debug, Default)]
pub(crate) struct Advance {
    /// When it was counted; `None` before the first time.
    counted: Option<Duration>,
    /// Processor time of one core that they have taken, by their estimates.
    work: Duration,
    /// The least progress among the tasks of each occurrence and step, in percent.
    least_percent: Map<(u32, u32), u32>,
}

impl JobEntry {
    /// Counts how far the tasks are, unless that was done a moment ago.
    fn count_advance(&mut self, now: Duration) {
        if self.advance.counted.is_some_and(|counted| now.saturating_sub(counted) < COUNTED_FOR) {
            return;
        }
        let mut advance = Advance { counted: Some(now), ..Advance::default() };
        for (key, state) in self.tasks.iter().filter(|(_, state)| !state.is_done) {
            let Some(step) = self.job.step(*key) else { continue };
            let percent = state.runs.iter().map(|run| run.percent.min(FULL_PERCENT)).max().unwrap_or(0);
            advance.work += step.work().saturating_mul(percent) / FULL_PERCENT;
            let least = advance.least_percent.entry((key.occurrence, key.step)).or_insert(FULL_PERCENT);
            *least = percent.min(*least);
        }
        self.advance = advance;
    }
}

impl Cell {
    /// Urgency of a filling run of a task; `former` is the one that it had.
    pub(super) fn urgency(&mut self, task: TaskId, former: Urgency, now: Duration) -> Urgency {
        let Some(entry) = self.jobs.get_mut(&task.job) else { return Urgency::UNKNOWN };
        let Some(step) = entry.job.step(task.key).filter(|step| step.filling && !step.lasting) else {
            return Urgency::UNKNOWN;
        };
        let estimate = step.estimate;
        entry.count_advance(now);
        let ratio = self.estimates.get(&entry.job.queue).copied().unwrap_or(1.0);
        let least_percent = entry.advance.least_percent.get(&(task.key.occurrence, task.key.step)).copied();
        let done = estimate * least_percent.unwrap_or(0) / FULL_PERCENT;
        let left = entry.chains.get(task.key.step as usize).copied().unwrap_or_default().saturating_sub(done);
        let work = entry.remaining_work().saturating_sub(entry.advance.work);
        let terms = self.queues.get(&entry.job.queue).map_or(&entry.job.terms, |queue| &queue.terms);
        // Occurrences of a schedule have no objective of their own.
        let age = if entry.job.schedule.is_some() { Duration::ZERO } else { entry.age(now) };
        let remaining =
            Remaining { chain: entry.chain().mul_f64(ratio), left: left.mul_f64(ratio), work: work.mul_f64(ratio) };
        urgency::urgency(terms, age, &remaining, former)
    }

    /// Urgencies that have changed by a step, of filling runs on workers where one is below its full pace; by agent. They
    /// count as told from then on: an agent whose link is lost is told all of them by [`Cell::run_traits`].
    pub fn changed_urgencies(&mut self, now: Duration) -> Vec<(Name, Changes)> {
        let mut told = Vec::new();
        for (name, runs) in self.slowed_workers() {
            let mut changes = Changes::new();
            for (task, number) in runs {
                let Some(former) = self.run(task, number).map(|run| run.urgency) else { continue };
                let urgency = self.urgency(task, former, now);
                if urgency.is_clearly_before(former) || former.is_clearly_before(urgency) {
                    changes.push((task, number, urgency));
                    self.counters.urgencies += 1;
                    if let Some(run) = self.run_mut(task, number) {
                        run.urgency = urgency;
                    }
                }
            }
            if !changes.is_empty() {
                told.push((name, changes));
            }
        }
        told
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
