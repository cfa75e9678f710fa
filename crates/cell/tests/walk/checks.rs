//! Rules that hold at every step, and at the end of a series.

use std::collections::BTreeSet;
use std::time::Duration;

use chervilledge_cell::authority::AUTHORITY_PERIOD;
use chervilledge_cell::job::{Job, JobId, JobState, TaskId, TaskKey};
use chervilledge_policy::id::Name;

use crate::agent::{Agent, Run};
use crate::placer::Placer;
use crate::support::name;
use crate::world::World;

/// Time after its last run for which a lasting task may wait.
const LASTING_WAIT: Duration = Duration::from_secs(6);
/// Time without faults that is needed for that.
const CALM_TIME: Duration = Duration::from_secs(7);

/// Numbers of runs that each term has.
const RUNS_PER_TERM: u64 = 10_000;

impl World {
    pub fn check(&mut self) {
        let mut running = BTreeSet::new();
        let runs = self.agents.values().flat_map(|agent| agent.running.keys().map(|(task, _)| *task));
        if let Some(twice) = runs.into_iter().find(|task| !running.insert(*task)) {
            self.violate(&format!("TWICE: {twice} runs twice"));
        }
        self.check_lasting();
        let stranded = |placer: &Placer| Some((placer.term, *placer.cell.stranded().first()?));
        if let Some((term, task)) = self.placers.iter().find_map(stranded) {
            self.violate(&format!("LOST: {task} neither waits nor runs in term {term}"));
        }
    }

    /// Whether the newest placer shows every job as ended.
    pub fn has_ended(&self) -> bool {
        self.placers.last().is_some_and(|placer| self.store.jobs.keys().all(|id| self.has_job_ended(placer, *id)))
    }

    pub fn check_end(&mut self) {
        let Some(placer) = self.placers.last() else { return self.violate("no placer is left") };
        let open = self.store.jobs.keys().find(|id| !self.has_job_ended(placer, **id));
        if let Some(violation) = open.map(|id| format!("LOST: job {id} is {:?}", placer.cell.state(*id))) {
            self.violate(&violation);
        }
    }

    /// Whether a job has ended as it may; one that lasts, whether all its tasks run.
    fn has_job_ended(&self, placer: &Placer, id: JobId) -> bool {
        let (job, _) = &self.store.jobs[&id];
        match placer.cell.state(id) {
            Some(JobState::Completed) => !job.is_lasting(),
            Some(JobState::Canceled) => self.cancelled.contains(&id),
            Some(JobState::Failed) => self.ledger.may_fail(id),
            _ => {
                job.is_lasting()
                    && !self.cancelled.contains(&id)
                    && lasting_tasks(job).all(|task| self.is_running(task))
            }
        }
    }

    fn is_running(&self, task: TaskId) -> bool {
        self.agents.values().any(|agent| agent.running.keys().any(|(running, _)| *running == task))
    }

    /// A lasting task doesn't wait beside room for more than 6 s of which nothing disturbed the last 3 s and the 4 s before.
    fn check_lasting(&mut self) {
        let open = self.store.jobs.values().filter(|(job, _)| self.is_wanted(job.id));
        let tasks: Vec<TaskId> = open.flat_map(|(job, _)| lasting_tasks(job)).collect();
        for task in tasks {
            if self.is_running(task) {
                self.idle_since.remove(&task);
                continue;
            }
            let idle_since = *self.idle_since.entry(task).or_insert(self.now);
            let is_long = self.now >= idle_since + LASTING_WAIT && self.now >= self.calm_since + CALM_TIME;
            if is_long && self.placers.len() == 1 && self.has_room_elsewhere(0, &name(""), task) {
                self.violate(&format!("LOST: {task} lasts and doesn't run, beside room, since {idle_since:?}"));
            }
        }
    }

    /// Whether a former placer counts as in touch with an agent. It doesn't once the agent has started again, and so may
    /// have forgotten the newest term, while the placer can't reach the store.
    pub fn is_in_touch(&self, position: usize, agent: &Name) -> bool {
        let is_newest = self.placers[position].term == self.store.term;
        is_newest || self.agents[agent].forgot_at.is_none_or(|at| self.now >= at + AUTHORITY_PERIOD)
    }

    /// No run has just started on the worker of a stopping agent with room for it on another.
    pub fn check_stopping(&mut self, position: usize) {
        let term = self.placers[position].term;
        if term != self.store.term {
            return;
        }
        let stopping = self.agents.iter().filter(|(_, agent)| agent.exits_at.is_some());
        let started = stopping.flat_map(|(name, agent)| {
            let is_new =
                |(_, number): &(TaskId, u64), run: &Run| run.started == self.now && number / RUNS_PER_TERM + 1 == term;
            let new = agent.running.iter().filter(move |(key, run)| is_new(key, run));
            new.map(move |((task, _), _)| (name, *task))
        });
        // A task under which a worker has crashed is kept apart from others of that kind.
        let is_avoidable = |(name, task): &(&Name, TaskId)| {
            !self.ledger.has_crashed(*task) && self.has_room_elsewhere(position, name, *task)
        };
        let violation = started
            .into_iter()
            .find(is_avoidable)
            .map(|(name, task)| format!("LOST: {task} starts on {name}, which stops, with room on another"));
        if let Some(violation) = violation {
            self.violate(&violation);
        }
    }

    /// Whether a job is to run: neither cancelled nor ended.
    fn is_wanted(&self, id: JobId) -> bool {
        let has_outcome = self.store.progress.get(&id).is_some_and(|(progress, _)| progress.outcome.is_some());
        !self.cancelled.contains(&id) && !has_outcome
    }

    /// Whether a worker other than that of `besides` has room for a task twice over, which a placer is linked with and
    /// whose agent doesn't stop.
    pub fn has_room_elsewhere(&self, position: usize, besides: &Name, task: TaskId) -> bool {
        let need = self.step(task).map_or(u64::MAX, |step| step.resources.processor_millicores);
        let has_room = |(name, agent): (&Name, &Agent)| {
            let has_suspect = agent.running.keys().any(|(task, _)| self.ledger.has_crashed(*task));
            let used: u64 = agent.occupying().map(|task| self.millicores(task)).sum();
            name != besides
                && self.now >= agent.worker_down
                && agent.exits_at.is_none()
                && self.placers[position].links.contains_key(name)
                && !has_suspect
                && used + 2 * need <= agent.millicores
        };
        self.agents.iter().any(has_room)
    }

    pub fn millicores(&self, task: TaskId) -> u64 {
        self.step(task).map_or(0, |step| step.resources.processor_millicores)
    }
}

/// Tasks of a job that last until it is cancelled.
fn lasting_tasks(job: &Job) -> impl Iterator<Item = TaskId> {
    let steps = job.steps.iter().enumerate().filter(|(_, step)| step.lasting);
    steps.flat_map(move |(position, step)| {
        let position = u32::try_from(position).unwrap_or(u32::MAX);
        let key = move |index| TaskKey { occurrence: 0, step: position, index };
        (0..step.count).map(move |index| TaskId { job: job.id, key: key(index) })
    })
}
