//! Run times of the tasks of each job, estimated from the queue's accuracy and from the job's own runs.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::id::Name;

use super::Cell;
use super::jobs::JobEntry;
use crate::job::TaskId;
use crate::pace::FULL_PERCENT;
use crate::run_time::EstimateAccuracy;

/// Interval at which run times are estimated again: half of that at which agents report the progress of runs.
const ESTIMATE_INTERVAL: Duration = Duration::from_millis(300);

impl JobEntry {
    /// Estimates the run times again, by the queue's accuracy and by all runs so far.
    pub(crate) fn estimate_run_times(&mut self, accuracy: &EstimateAccuracy) {
        let mut measured = self.measured.clone();
        for (key, task) in self.tasks.iter().filter(|(_, task)| !task.is_done) {
            let Some(measured) = measured.get_mut(key.step as usize) else { continue };
            for run in &task.runs {
                measured.add(run.progress_time, run.percent.saturating_sub(run.restored_percent));
            }
        }
        let steps = self.job.steps.iter().zip(&measured);
        self.run_times = steps.map(|(step, measured)| accuracy.run_time(step.estimate, measured)).collect();
        let longest = self.job.steps.iter().zip(&self.run_times).zip(&self.failed_time);
        let longest: Vec<Duration> = longest
            .map(|((step, run_time), failed)| run_time.mul_f64(accuracy.longest_ratio(step.count)) + *failed)
            .collect();
        self.chains = self.job.chains(&longest);
    }

    /// Expected run time of a step's tasks at full pace.
    pub(crate) fn run_time(&self, step: u32) -> Duration {
        self.run_times.get(step as usize).copied().unwrap_or_default()
    }

    /// Expected core time of a task of a step.
    pub(crate) fn task_work(&self, step: u32) -> Duration {
        self.job.steps.get(step as usize).map_or(Duration::ZERO, |known| known.work_in(self.run_time(step)))
    }
}

impl Cell {
    /// Accuracy of a queue's estimates, as far as it is known.
    pub(super) fn accuracy(&self, queue: &Name) -> EstimateAccuracy {
        self.accuracies.get(queue).copied().unwrap_or_default()
    }

    /// Estimates the run times of all open jobs again, unless that was done recently.
    pub(super) fn estimate_run_times(&mut self, now: Duration) {
        if now.saturating_sub(self.run_times_estimated_at) < ESTIMATE_INTERVAL {
            return;
        }
        self.run_times_estimated_at = now;
        for entry in self.jobs.values_mut().filter(|entry| entry.outcome.is_none()) {
            entry.estimate_run_times(&self.accuracies.get(&entry.job.queue).copied().unwrap_or_default());
        }
    }

    /// Takes account of a failed run, which the users' objective includes.
    pub(super) fn note_failed_time(&mut self, task: TaskId, time: Duration) {
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        let (Some(state), Some(longest)) =
            (entry.tasks.get_mut(&task.key), entry.failed_time.get_mut(task.key.step as usize))
        else {
            return;
        };
        state.failed_time += time;
        *longest = state.failed_time.max(*longest);
    }

    /// Takes account of a run that did `percent` of a task.
    pub(super) fn note_run_time(&mut self, task: TaskId, time: Duration, percent: u32) {
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        let Some(stated) = entry.job.step(task.key).filter(|step| !step.lasting).map(|step| step.estimate) else {
            return;
        };
        let Some(measured) = entry.measured.get_mut(task.key.step as usize) else { return };
        let others = *measured;
        measured.add(time, percent);
        if stated.is_zero() {
            return;
        }
        let queue = Arc::clone(&entry.job.queue);
        let whole_time = time * FULL_PERCENT / percent;
        let accuracy = self.accuracies.entry(Arc::clone(&queue)).or_default();
        let distance = (whole_time.as_secs_f64() / (stated.as_secs_f64() * accuracy.ratio()) - 1.0).abs();
        accuracy.note(stated, whole_time, &others);
        self.note_spread(&queue, distance);
    }
}
