//! What workers have been told and have listed, and the rules on it.

use std::collections::{BTreeMap, BTreeSet};

use chervilledge_cell::job::{Job, JobId, TaskId, TaskKey};
use chervilledge_cell::worker::StartOrder;
use chervilledge_policy::id::Name;

use crate::agent::ListedEnd;

/// What has happened on workers, in any order of their names.
#[derive(Default)]
pub struct Ledger {
    /// Checkpoints that runs have saved, by task, or by the first member of a gang.
    saved: BTreeSet<(TaskId, Name)>,
    /// Checkpoint that the members of a gang's run start with, by the first member and the number of the run.
    gangs: BTreeMap<(TaskId, u64), Name>,
    /// Runs that have ended as done.
    done: BTreeMap<TaskId, BTreeSet<u64>>,
    /// Tasks of which a worker was told that it may forget such an end.
    noted: BTreeSet<TaskId>,
    /// Crashes of workers under tasks.
    crashes: BTreeMap<TaskId, u32>,
    /// Those of `done` after which the task was started again.
    restarted: BTreeSet<(TaskId, u64)>,
}

impl Ledger {
    pub fn saved(&mut self, job: &Job, task: TaskId, checkpoint: &Name) {
        self.saved.insert((representative(job, task), Name::clone(checkpoint)));
    }

    /// Records a start; returns the first rule that it breaks. Ends that were taken note of before it bind only machines
    /// that are in touch.
    pub fn started(&mut self, job: &Job, order: &StartOrder, is_in_touch: bool, unix_ms: u64) -> Result<(), String> {
        let StartOrder { task, run, checkpoint, .. } = order;
        let (task, run) = (*task, *run);
        let step = job.step(task.key).ok_or_else(|| format!("UNASKED: {task} isn't in its job"))?;
        if let Some(earlier) = step.after.iter().find(|earlier| !self.is_step_done(job, task, **earlier)) {
            return Err(format!("ORDER: {task} starts before step {earlier} is done"));
        }
        if job.due_unix_ms(task.key.occurrence).is_some_and(|due| unix_ms < due) {
            return Err(format!("ORDER: {task} starts before it is due"));
        }
        if !checkpoint.is_empty() && !self.saved.contains(&(representative(job, task), Name::clone(checkpoint))) {
            return Err(format!("UNASKED: {task} starts with the checkpoint {checkpoint}, which no run saved"));
        }
        if step.gang {
            let first = self.gangs.entry((representative(job, task), run)).or_insert_with(|| Name::clone(checkpoint));
            if first != checkpoint {
                return Err(format!(
                    "GANG: run {run} of {task} starts with {checkpoint:?}, another member with {first:?}"
                ));
            }
        }
        if is_in_touch && self.noted.contains(&task) {
            return Err(format!("TWICE: {task} starts after its end was taken note of"));
        }
        self.restarted.extend(self.done.get(&task).into_iter().flatten().map(|run| (task, *run)));
        Ok(())
    }

    pub fn ended_done(&mut self, task: TaskId, run: u64) {
        self.done.entry(task).or_default().insert(run);
    }

    /// Records that a worker was told to forget a listed end of a run that was done; returns the rule that this breaks.
    pub fn noted(&mut self, job: &Job, end: &ListedEnd) -> Result<(), String> {
        let task = end.end.task;
        // After the end of the lease, the task may run again although its end is taken note of later.
        if end.has_lapsed {
            return Ok(());
        }
        if self.restarted.contains(&(task, end.end.run)) {
            return Err(format!("TWICE: {task} has started again after an end that is taken note of"));
        }
        let is_gang = job.step(task.key).is_some_and(|step| step.gang);
        let count = job.step(task.key).map_or(0, |step| step.count);
        let members = if is_gang { (0..count).map(|index| with_index(task, index)).collect() } else { vec![task] };
        self.noted.extend(members);
        Ok(())
    }

    pub fn crashed(&mut self, task: TaskId) {
        *self.crashes.entry(task).or_default() += 1;
    }

    pub fn has_crashed(&self, task: TaskId) -> bool {
        self.crashes.contains_key(&task)
    }

    /// Whether a job may be shown as failed: users allow a task to be given up under which two workers have crashed.
    pub fn may_fail(&self, job: JobId) -> bool {
        self.crashes.iter().any(|(task, crashes)| task.job == job && *crashes >= 2)
    }

    fn is_step_done(&self, job: &Job, task: TaskId, step: u32) -> bool {
        let count = job.steps[step as usize].count;
        let key = |index| TaskKey { step, index, ..task.key };
        (0..count).all(|index| self.done.contains_key(&TaskId { key: key(index), ..task }))
    }
}

/// The task, or the first member of its gang.
pub fn representative(job: &Job, task: TaskId) -> TaskId {
    if job.step(task.key).is_some_and(|step| step.gang) { with_index(task, 0) } else { task }
}

fn with_index(task: TaskId, index: u32) -> TaskId {
    TaskId { key: TaskKey { index, ..task.key }, ..task }
}
