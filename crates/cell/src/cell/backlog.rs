//! Work ahead of a new job, sampled for the entries that decide about its admission.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::collections::{Map, Set};
use chervilledge_policy::id::Name;

use super::jobs::JobEntry;
use super::placing::open_worker;
use super::{Agent, Cell};
use crate::admission::{
    Backlog, Estimates, Pool, SPREAD_UNKNOWN_PERCENT, WAITING_MIN, WorkBySize, is_bounded, is_plain,
};
use crate::job::{JobId, Step, TaskId, WORK_MAX};

/// Progress of a task that is done, in percent.
const DONE_PERCENT: u32 = 100;
/// Weight of a new run in the spread of run times; the same as in their ratio to estimates.
const SPREAD_SMOOTHING: f64 = 0.05;

/// Service, and whether the pool holds its filling tasks.
pub(super) type PoolKey = (Name, bool);

impl Cell {
    /// Work ahead of a new job, as of the last sample.
    #[must_use]
    pub const fn backlog(&self) -> &Arc<Backlog> {
        &self.backlog
    }

    /// Samples the waiting and running work, and the rate at which work is completed.
    ///
    /// The sample is empty in a cell that has no queue whose jobs may be refused.
    pub fn sample_backlog(&mut self, now: Duration) {
        let queues = self.configuration.iter().flat_map(|configuration| &configuration.queues);
        let bounded: Set<Name> =
            queues.filter(|queue| is_bounded(&queue.terms)).map(|queue| Arc::clone(&queue.name)).collect();
        if bounded.is_empty() {
            self.backlog = Arc::default();
            return;
        }
        self.count_progress();
        // The running work isn't known until every agent of the predecessor has answered.
        if !self.unresolved.is_empty() {
            self.backlog = Arc::default();
            return;
        }
        let mut pools = self.pools(now);
        let capacity = self.open_millicores(now);
        let in_use = self.millicores_in_use();
        for (key, pool) in &mut pools {
            let millicores = capacity.get(&key.0).copied().unwrap_or(0);
            let meter = self.meters.entry(key.clone()).or_default();
            meter.sample(millicores, pool.is_waiting, now);
            pool.rate_millicores = meter.rate_millicores(millicores, in_use.get(key).copied().unwrap_or(0));
        }
        let mut pools: Vec<Pool> =
            pools.into_values().filter(|pool| pool.in_time.total() + pool.late.total() > 0).collect();
        pools.sort_unstable_by(|one, other| (&one.service, one.is_filling).cmp(&(&other.service, other.is_filling)));
        let mut queues: Vec<Estimates> = self
            .accuracies
            .iter()
            .filter(|(queue, _)| bounded.contains(*queue))
            .map(|(queue, accuracy)| self.estimates_of(queue, accuracy.ratio()))
            .collect();
        queues.sort_unstable_by(|one, other| one.queue.cmp(&other.queue));
        self.backlog = Arc::new(Backlog { pools, queues });
    }

    fn estimates_of(&self, queue: &Name, ratio: f64) -> Estimates {
        let spread_percent = self.spreads.get(queue).copied().map_or(SPREAD_UNKNOWN_PERCENT, percent);
        Estimates { queue: Arc::clone(queue), ratio_percent: percent(ratio), spread_percent }
    }

    /// Updates the spread of a queue with a run's deviation from the queue's ratio.
    pub(super) fn note_spread(&mut self, queue: &Name, distance: f64) {
        let known = self.spreads.entry(Arc::clone(queue)).or_insert(f64::from(SPREAD_UNKNOWN_PERCENT) / 100.0);
        *known += (distance - *known) * SPREAD_SMOOTHING;
    }

    /// Work by pool of open jobs that can still end before they are entirely late.
    fn pools(&self, now: Duration) -> Map<PoolKey, Pool> {
        let mut pools: Map<PoolKey, Pool> = Map::default();
        for (service, is_filling) in self.meters.keys() {
            pool(&mut pools, service, *is_filling);
        }
        let progressed = self.work_under_way();
        for entry in self.jobs.values().filter(|entry| entry.is_open()) {
            let Some(rank) = first_unfinished_step(entry).map(|step| self.rank(entry, step, now)) else { continue };
            if rank.is_overdue() || entry.job.is_lasting() {
                continue;
            }
            let service = self.service(entry);
            let size = entry.remaining_work();
            for is_filling in [false, true] {
                let of_pool = |(position, left): (&(u32, u32), &u32)| {
                    let step = entry.job.steps.get(position.1 as usize)?;
                    (step.filling == is_filling && is_plain(step))
                        .then(|| entry.task_work(position.1).saturating_mul(*left))
                };
                let left: Duration =
                    entry.left.iter().filter_map(of_pool).fold(Duration::ZERO, Duration::saturating_add).min(WORK_MAX);
                let done = progressed.get(&(entry.job.id, is_filling)).copied().unwrap_or_default();
                let work = left.saturating_sub(done);
                if !work.is_zero() {
                    let pool = pool(&mut pools, service, is_filling);
                    let sizes = if rank.is_in_time() { &mut pool.in_time } else { &mut pool.late };
                    sizes.add(size, work);
                }
            }
        }
        self.mark_waiting(&mut pools, now);
        pools
    }

    /// Marks each pool that has a task without capacity for [`WAITING_MIN`], of a job that can still be served.
    fn mark_waiting(&self, pools: &mut Map<PoolKey, Pool>, now: Duration) {
        // Tasks of a step are identical, and the set keeps them together.
        let mut last_group = None;
        for task in &self.ready {
            let group = (task.job, task.key.occurrence, task.key.step);
            let Some(entry) = self.jobs.get(&task.job).filter(|_| last_group != Some(group)) else { continue };
            let Some(step) = entry.job.step(task.key).filter(|step| is_plain(step)) else { continue };
            let Some(state) = entry.tasks.get(&task.key) else { continue };
            if now.saturating_sub(state.ready_since.max(state.not_before)) < WAITING_MIN {
                continue;
            }
            last_group = Some(group);
            if !self.rank(entry, task.key.step, now).is_overdue() {
                pool(pools, self.service(entry), step.filling).is_waiting = true;
            }
        }
    }

    /// Work that running tasks have done and might still lose, by job and filling.
    fn work_under_way(&self) -> Map<(JobId, bool), Duration> {
        let mut done: Map<(JobId, bool), Duration> = Map::default();
        for (task, step, run_percent) in self.running() {
            if is_plain(step) {
                let work = self.jobs.get(&task.job).map_or(Duration::ZERO, |entry| entry.task_work(task.key.step));
                *done.entry((task.job, step.filling)).or_default() += completed_part(work, run_percent);
            }
        }
        done
    }

    /// Processor time that runs ask for, by pool, in thousandths of a core.
    fn millicores_in_use(&self) -> Map<PoolKey, u32> {
        let mut in_use: Map<PoolKey, u32> = Map::default();
        for (task, step, _) in self.running().filter(|(_, step, _)| !step.lasting) {
            let Some(entry) = self.jobs.get(&task.job) else { continue };
            let sum = in_use.entry((Arc::clone(self.service(entry)), step.filling)).or_default();
            *sum = sum.saturating_add(u32::try_from(step.resources.processor_millicores).unwrap_or(u32::MAX));
        }
        in_use
    }

    /// Tasks with a run, with their step and the progress of the run.
    fn running(&self) -> impl Iterator<Item = (TaskId, &Step, u32)> {
        let runs = self.agents.values().flat_map(|agent| &agent.runs);
        runs.filter_map(|(task, number)| Some((*task, self.step_of(*task)?, self.run(*task, *number)?.percent)))
    }

    /// Processor time of the workers that accept tasks, by service, in thousandths of a core.
    fn open_millicores(&self, now: Duration) -> Map<Name, u32> {
        let mut capacity: Map<Name, u32> = Map::default();
        for worker in self.agents.values().filter_map(|agent: &Agent| open_worker(agent, now)) {
            let millicores = u32::try_from(worker.resources.processor_millicores).unwrap_or(u32::MAX);
            let sum = capacity.entry(Arc::clone(&worker.service)).or_default();
            *sum = sum.saturating_add(millicores);
        }
        capacity
    }

    /// Counts the progress of runs since the last call as completed work.
    fn count_progress(&mut self) {
        let progress: Vec<(TaskId, u32)> = self.running().map(|(task, _, run_percent)| (task, run_percent)).collect();
        for (task, run_percent) in progress {
            self.count_task_progress(task, run_percent);
        }
    }

    /// Counts a task as completed work.
    pub(super) fn count_done(&mut self, task: TaskId) {
        self.count_task_progress(task, DONE_PERCENT);
    }

    /// Counts a task's progress as completed work. Work that was lost with a run and is repeated by its successor
    /// counts once.
    fn count_task_progress(&mut self, task: TaskId, run_percent: u32) {
        let Some(entry) = self.jobs.get(&task.job) else { return };
        let Some(step) = entry.job.step(task.key).filter(|step| !step.lasting) else { return };
        let (work, is_filling) = (entry.task_work(task.key.step), step.filling);
        let key = (Arc::clone(self.service(entry)), is_filling);
        let Some(state) = self.task_mut(task) else { return };
        let gained = run_percent.min(DONE_PERCENT).saturating_sub(state.counted_percent);
        state.counted_percent += gained;
        if gained > 0 {
            self.meters.entry(key).or_default().done(completed_part(work, gained));
        }
    }

    fn service<'a>(&'a self, entry: &'a JobEntry) -> &'a Name {
        self.queues.get(&entry.job.queue).map_or(&entry.job.terms.service, |queue| &queue.terms.service)
    }
}

/// Step with unfinished tasks that has the longest chain to the end.
fn first_unfinished_step(entry: &JobEntry) -> Option<u32> {
    let chain = |step: &u32| entry.chains.get(*step as usize).copied().unwrap_or_default();
    entry.left.iter().filter(|(_, left)| **left > 0).map(|((_, step), _)| *step).max_by_key(chain)
}

fn pool<'a>(pools: &'a mut Map<PoolKey, Pool>, service: &Name, is_filling: bool) -> &'a mut Pool {
    pools.entry((Arc::clone(service), is_filling)).or_insert_with(|| Pool {
        service: Arc::clone(service),
        is_filling,
        is_waiting: false,
        rate_millicores: None,
        in_time: WorkBySize::default(),
        late: WorkBySize::default(),
    })
}

fn completed_part(work: Duration, percent_done: u32) -> Duration {
    work.saturating_mul(percent_done.min(DONE_PERCENT)) / DONE_PERCENT
}

/// Converts a ratio to percent.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "ratios are positive and bounded")]
fn percent(ratio: f64) -> u32 {
    (ratio * 100.0).round() as u32
}
