//! Processing of run ends.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::id::Name;

use super::agents::{counts_as_success, tasks_of_step};
use super::{Action, Cell, Note};
use crate::job::{TaskId, TaskKey};
use crate::pace::FULL_PERCENT;
use crate::progress::Outcome;
use crate::worker::{End, EndKind};

/// Delay before a failed task starts again; doubles with each failure.
const RETRY_FIRST: Duration = Duration::from_millis(20);
/// Longest such delay.
const RETRY_MAX: Duration = Duration::from_millis(500);

impl Cell {
    /// Processes ends that a worker reports.
    ///
    /// Each is settled once its consequences are durable.
    pub fn runs_ended(&mut self, name: &Name, mut ends: Vec<End>, now: Duration) {
        ends.sort_unstable_by_key(|end| end.number);
        for end in ends {
            let Some(agent) = self.agents.get_mut(name) else { return };
            if end.number <= agent.last_end {
                continue;
            }
            agent.last_end = end.number;
            let Some(life) = agent.worker.as_ref().map(|worker| worker.life.clone()) else { return };
            if !self.jobs.contains_key(&end.task.job) {
                self.keep_unread_end(name, life, end, now);
                continue;
            }
            self.record_end(name, &end, now);
            self.writes.add_end(Arc::clone(name), life, end.number, end.task.job);
        }
    }

    /// Settles the ends again that an agent lists although they are settled: the order was lost with its link.
    pub(crate) fn settle_again(&mut self, name: &Name, ends: &[End]) {
        let Some(agent) = self.agents.get(name) else { return };
        let Some(life) = agent.worker.as_ref().map(|worker| worker.life.clone()) else { return };
        let unsettled_from = self.writes.first_unsettled_end(name, &life).unwrap_or(u64::MAX);
        let is_settled = |number: &u64| *number <= agent.last_end && *number < unsettled_from;
        if let Some(cursor) = ends.iter().map(|end| end.number).filter(is_settled).max() {
            self.actions.push_back(Action::Settle { agent: Arc::clone(name), life, cursor });
        }
    }

    pub(crate) fn record_end(&mut self, name: &Name, end: &End, now: Duration) {
        self.open_reported_occurrence(end.task, now);
        self.remove_unmatched(name, (end.task, end.run));
        let was_known = self.release(name, end.task, end.run);
        let done_work = self.run_mut(end.task, end.run).and_then(|run| {
            run.count_time(now);
            run.started.map(|_| (run.full_pace_time, FULL_PERCENT.saturating_sub(run.restored_percent)))
        });
        if matches!(end.kind, EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone) {
            self.keep_final_checkpoint(end);
        }
        if let Some(started) = self.run(end.task, end.run).and_then(|run| run.started) {
            self.clear_crashes(end.task, now.saturating_sub(started));
        }
        // The run is removed first, so that what follows only affects the task's other runs.
        if let Some(task) = self.task_mut(end.task) {
            task.runs.retain(|run| run.number != end.run);
        }
        if was_known {
            self.judge_worker(name, end.kind, now);
        }
        match end.kind {
            EndKind::Done => self.task_done(end.task, done_work, now),
            EndKind::Failed => {
                self.note_failed_time(end.task, done_work.map_or(Duration::ZERO, |(time, _)| time));
                self.task_failed(name, end.task, end.run, was_known, now);
            }
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => {}
        }
        if was_known {
            self.remove_run(end.task, end.run, end.kind.as_str(), now);
        }
        self.log_end(name, end);
    }

    fn judge_worker(&mut self, name: &Name, kind: EndKind, now: Duration) {
        let Some(is_good) = counts_as_success(kind) else { return };
        let Some(agent) = self.agents.get_mut(name) else { return };
        if agent.health.run_ended(is_good, now) {
            self.notes.push(Note::WorkerEjected { agent: Arc::clone(name), reason: "failures" });
        }
    }

    fn log_end(&mut self, name: &Name, end: &End) {
        let how = end.kind.as_str();
        let failures = self.task_mut(end.task).map_or(0, |task| task.failed_runs.len());
        self.notes.push(Note::Ended { task: end.task, run: end.run, agent: Arc::clone(name), how, failures });
    }

    fn keep_final_checkpoint(&mut self, end: &End) {
        let percent = self.run(end.task, end.run).map(|run| run.percent);
        let Some(task) = self.task_mut(end.task).filter(|task| !task.is_done) else { return };
        if !task.take_checkpoint(end.run, &end.checkpoint, percent) {
            return;
        }
        let Some(entry) = self.jobs.get_mut(&end.task.job).filter(|entry| entry.is_open()) else { return };
        entry.store_checkpoint(end.task.key);
        self.mark_dirty(end.task.job);
    }

    /// Records a task that is done; `work` is the time at full pace and the progress of the run that did it.
    fn task_done(&mut self, task: TaskId, work: Option<(Duration, u32)>, now: Duration) {
        self.counters.done += 1;
        if let Some((time, percent)) = work.filter(|(_, percent)| *percent > 0) {
            self.note_run_time(task, time, percent);
        }
        let Some(entry) = self.jobs.get(&task.job) else { return };
        // A lasting task starts again however it ends; the members of a gang end together.
        let done = match entry.job.step(task.key) {
            Some(step) if step.lasting => return,
            Some(step) if step.gang => tasks_of_step(entry, task.key.occurrence, task.key.step),
            _ => vec![task],
        };
        let is_open = entry.is_open();
        for task in done {
            self.mark_done(task);
        }
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        let is_step_done = entry.is_step_done(task.key.occurrence, task.key.step);
        if is_step_done && entry.is_occurrence_done(task.key.occurrence) {
            entry.fold_completed_occurrences(&[task.key.occurrence]);
        }
        if !is_open {
            return;
        }
        self.mark_dirty(task.job);
        self.needs_placing = true;
        // Only the end of a whole step makes other tasks due.
        if is_step_done {
            let TaskKey { occurrence, step, .. } = task.key;
            self.queue_due_tasks(task.job, occurrence, |later| later.after.contains(&step), now);
            self.finish_if_done(task.job, now);
        }
    }

    fn mark_done(&mut self, task: TaskId) {
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        let Some(state) = entry.tasks.get_mut(&task.key) else { return };
        if state.is_done {
            return;
        }
        state.is_done = true;
        if let Some(left) = entry.left.get_mut(&(task.key.occurrence, task.key.step)) {
            *left = left.saturating_sub(1);
        }
        entry.progress.done.insert(task.key);
        entry.progress.failures.remove(&task.key);
        entry.progress.crashes.remove(&task.key);
        entry.forget_checkpoint(task.key);
        self.count_done(task);
        self.ready.remove(&task);
        self.stop_runs(task, "done_elsewhere", |_| true);
    }

    fn task_failed(&mut self, name: &Name, task: TaskId, run: u64, was_known: bool, now: Duration) {
        self.counters.failed += 1;
        let Some(entry) = self.jobs.get_mut(&task.job).filter(|entry| entry.is_open()) else { return };
        let Some(step) = entry.job.step(task.key) else { return };
        let (is_lasting, is_gang) = (step.lasting, step.gang);
        let Some(state) = entry.tasks.get_mut(&task.key).filter(|state| !state.is_done) else { return };
        if !state.failed_runs.insert(run) {
            return;
        }
        let failures = state.failed_runs.len();
        state.not_before = now + RETRY_FIRST.saturating_mul(1 << failures.min(6)).min(RETRY_MAX);
        if was_known && !state.avoided.contains(name) {
            state.avoided.push(Arc::clone(name));
        }
        if is_lasting {
            return;
        }
        let failed_runs = state.failed_runs.clone();
        entry.progress.failures.insert(task.key, failed_runs);
        let failures = if is_gang { self.gang_failures(task) } else { failures };
        self.mark_dirty(task.job);
        let terms = self.jobs.get(&task.job).map(|entry| self.queue_terms(entry));
        if terms.is_some_and(|terms| failures >= terms.attempts_max.max(1) as usize) {
            self.end_job(task.job, Outcome::Failed, Some(task), now);
        }
    }

    /// Number of failed runs of a gang; its members share run numbers.
    fn gang_failures(&self, task: TaskId) -> usize {
        let Some(entry) = self.jobs.get(&task.job) else { return 0 };
        let failed: BTreeSet<u64> = tasks_of_step(entry, task.key.occurrence, task.key.step)
            .iter()
            .filter_map(|member| entry.tasks.get(&member.key))
            .flat_map(|state| state.failed_runs.iter().copied())
            .collect();
        failed.len()
    }
}
