//! Reports of lasting tasks that don't run.
//!
//! Finds the lasting tasks that may run but have no run at work, and what each of them waits for. It only observes, so
//! that the log tells why a task wasn't placed or why the placer counts on a run that isn't at work.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::capacity::Resources;
use chervilledge_policy::collections::{Map, Set};
use chervilledge_policy::id::Name;

use super::agents::{Contact, tasks_of_step};
use super::evacuating::is_working;
use super::jobs::JobEntry;
use super::placing::{StepContext, TaskGroup, TaskToPlace, group, siblings};
use super::task::{Run, Task};
use super::{Agent, Cell, Note, task_id};
use crate::job::{JobId, TaskId};
use crate::packing::{self, Load, Need};

/// Time without a run at work after which a task is reported; users take a lasting task that doesn't run for 3 s
/// beside free capacity as lost.
const REPORT_AFTER: Duration = Duration::from_secs(2);
/// Time between two reports of the same step and reason.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Limit on the reports of one pass, since some compare a step with every worker; the others follow in later passes.
const REPORTS_PER_PASS_MAX: usize = 16;

/// What a lasting task waits for.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum WaitReason {
    /// The placer may not place at all.
    PlacementPaused,
    /// Agents of the former placer, which may have a run of the task, haven't answered.
    AgentsUnheard,
    /// A pause after a failed run.
    BackingOff,
    /// Other tasks of its gang don't wait yet.
    GangIncomplete,
    /// No worker has capacity.
    NoCapacity,
    /// A worker has capacity, but no pass has placed the task yet.
    NotPlaced,
    /// The task has no run and isn't queued either, which is a fault of the placer.
    NotQueued,
    /// Its run was ordered, and the start isn't confirmed.
    StartUnconfirmed,
    /// Its run was ordered to stop, and the end isn't known.
    StopUnconfirmed,
    /// Its run has started but reports no work.
    RunIdle,
    /// Its run is on the worker of an agent without a link.
    AgentSilent,
    /// Its run isn't among those of its agent, which is a fault of the placer.
    RunUntracked,
}

impl WaitReason {
    /// Lower-case form, for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::PlacementPaused => "placement_paused",
            Self::AgentsUnheard => "agents_unheard",
            Self::BackingOff => "backing_off",
            Self::GangIncomplete => "gang_incomplete",
            Self::NoCapacity => "no_capacity",
            Self::NotPlaced => "not_placed",
            Self::NotQueued => "not_queued",
            Self::StartUnconfirmed => "start_unconfirmed",
            Self::StopUnconfirmed => "stop_unconfirmed",
            Self::RunIdle => "run_idle",
            Self::AgentSilent => "agent_silent",
            Self::RunUntracked => "run_untracked",
        }
    }
}

/// Whether a worker can run a task now, or the first reason why not.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Suitability {
    /// It has capacity.
    HasCapacity,
    /// Its free capacity is too small.
    NoCapacity,
    /// Its free capacity is reserved for other tasks.
    Reserved,
    /// It has as many tasks of the step as one worker may have.
    PerWorkerMax,
    /// Starts are spread out after its failure domain came back into use.
    StartDeferred,
    /// A run of a task that may crash workers has just started there.
    SuspectStarting,
    /// Serving runs that the task would disturb have no headroom left.
    Disturbing,
    /// Its agent may have runs of a former placer and hasn't answered.
    Unheard,
    /// Its agent has no link, or hasn't reported its runs yet.
    NotLinked,
    /// Its agent knows of no worker.
    NoWorker,
    /// It belongs to another service.
    OtherService,
    /// It lacks the required label.
    NoLabel,
    /// Its failure domain is evacuated.
    Evacuated,
    /// It has announced that it leaves.
    Leaving,
    /// It has runs that aren't matched to a task.
    UnmatchedRuns,
    /// It has refused a start a moment ago.
    Paused,
    /// It is ejected.
    Ejected,
}

impl Suitability {
    /// Lower-case form, for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::HasCapacity => "has_capacity",
            Self::NoCapacity => "no_capacity",
            Self::Reserved => "reserved",
            Self::PerWorkerMax => "per_worker_max",
            Self::StartDeferred => "start_deferred",
            Self::SuspectStarting => "suspect_starting",
            Self::Disturbing => "disturbing",
            Self::Unheard => "unheard",
            Self::NotLinked => "not_linked",
            Self::NoWorker => "no_worker",
            Self::OtherService => "other_service",
            Self::NoLabel => "no_label",
            Self::Evacuated => "evacuated",
            Self::Leaving => "leaving",
            Self::UnmatchedRuns => "unmatched_runs",
            Self::Paused => "paused",
            Self::Ejected => "ejected",
        }
    }
}

/// What a task that waits for capacity needs, and what it is compared with.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CapacityWait {
    /// Resources that the task needs.
    pub need: Resources,
    /// The open worker with the most free processors, and what is free there.
    pub roomiest: Option<(Name, Resources)>,
    /// Workers whose free capacity is enough, by what rules them out.
    pub ruled_out: BTreeMap<Suitability, RuledOut>,
    /// Other tasks that were started since the task began to wait.
    pub starts_meanwhile: u64,
    /// Processor time that those of them ask for that aren't lasting and count against a worker's capacity, in
    /// thousandths of a core.
    pub started_millicores: u64,
}

/// Workers with enough free capacity for a task that are ruled out for the same reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RuledOut {
    /// Number of the workers.
    pub workers: usize,
    /// The one with the most free processors.
    pub roomiest: Name,
    /// Free processors there, in thousandths of a core.
    pub free_millicores: u64,
}

/// Lasting tasks that may run and have no run at work, as of the last pass.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LastingWaits {
    /// Number of the tasks.
    pub tasks: usize,
    /// Longest time for which one of them has waited.
    pub longest: Duration,
}

/// Tasks of a step that wait for the same reason.
#[derive(Clone, Copy, Debug)]
struct WaitingGroup {
    /// The task that has waited longest.
    task: TaskId,
    since: Duration,
    tasks: usize,
}

/// Step whose waiting tasks were reported.
#[derive(Debug)]
struct ReportedStep {
    task: TaskId,
    /// Largest number of tasks that waited at the same time.
    tasks: usize,
    /// Longest wait.
    waited: Duration,
    /// When the next report for a reason is due.
    due: Map<WaitReason, Duration>,
}

/// Starts under this term.
#[derive(Clone, Copy, Debug, Default)]
struct StartSums {
    starts: u64,
    /// Processor time that short tasks among them ask for, in thousandths of a core.
    short_millicores: u64,
}

/// Lasting tasks under observation.
#[derive(Debug, Default)]
pub(crate) struct LastingState {
    /// Jobs with a lasting step; those that have ended are removed by the next pass.
    jobs: Set<JobId>,
    /// Since when each task has had no run at work, and the starts until then.
    waiting_since: Map<TaskId, (Duration, StartSums)>,
    starts: StartSums,
    reported: Map<TaskGroup, ReportedStep>,
    waits: LastingWaits,
}

impl LastingState {
    /// Adds a job if it has a lasting step.
    pub(super) fn add_job(&mut self, entry: &JobEntry) {
        if entry.job.is_lasting() {
            self.jobs.insert(entry.job.id);
        }
    }

    /// Counts a start.
    pub(super) fn add_start(&mut self, need: &Need) {
        self.starts.starts += 1;
        if !need.is_serving {
            self.starts.short_millicores += Load::counted(need).processor_millicores;
        }
    }
}

impl Cell {
    /// Reports the lasting tasks that have had no run at work for long, and those that run again.
    ///
    /// `may_place` tells whether the placer may place at present.
    pub fn watch_lasting(&mut self, may_place: bool, now: Duration) {
        let jobs = &self.jobs;
        self.lasting.jobs.retain(|id| jobs.get(id).is_some_and(JobEntry::is_open));
        let waiting = self.waiting_lasting_tasks(may_place, now);
        let mut groups: BTreeMap<(TaskGroup, WaitReason), WaitingGroup> = BTreeMap::new();
        let mut waits = LastingWaits::default();
        let starts = self.lasting.starts;
        let known = std::mem::take(&mut self.lasting.waiting_since);
        let since = |task: &TaskId, since: &Duration| known.get(task).copied().unwrap_or((*since, starts));
        self.lasting.waiting_since = waiting.iter().map(|(task, _, at)| (*task, since(task, at))).collect();
        for (task, reason, since) in waiting {
            let waited = now.saturating_sub(since);
            waits.tasks += 1;
            waits.longest = waits.longest.max(waited);
            if waited >= REPORT_AFTER {
                let known = groups.entry((group(task), reason)).or_insert(WaitingGroup { task, since, tasks: 0 });
                known.tasks += 1;
                if (since, task) < (known.since, known.task) {
                    (known.since, known.task) = (since, task);
                }
            }
        }
        self.lasting.waits = waits;
        self.report_waiting(&groups, now);
        self.report_running(&groups, now);
    }

    /// Lasting tasks without a run at work, as of the last pass.
    #[must_use]
    pub const fn lasting_waits(&self) -> LastingWaits {
        self.lasting.waits
    }

    /// Lasting tasks that may run and have no run at work, with the reason and the time since when.
    fn waiting_lasting_tasks(&self, may_place: bool, now: Duration) -> Vec<(TaskId, WaitReason, Duration)> {
        let mut waiting = Vec::new();
        let is_unlinked = |(_, agent): &(&Name, &Agent)| agent.contact != Contact::Linked;
        let unlinked: Set<&Name> = self.agents.iter().filter(is_unlinked).map(|(name, _)| name).collect();
        let is_at_work = |run: &Run| is_working(run) && !unlinked.contains(&run.agent);
        for entry in self.lasting.jobs.iter().filter_map(|id| self.jobs.get(id)) {
            for (key, state) in &entry.tasks {
                let is_lasting = entry.job.step(*key).is_some_and(|step| step.lasting);
                if !is_lasting || state.is_done || state.runs.iter().any(is_at_work) {
                    continue;
                }
                let task = task_id(entry.job.id, *key);
                if let Some(reason) = self.wait_reason(entry, task, state, may_place, now) {
                    waiting.push((task, reason, self.waiting_since(task).unwrap_or(now)));
                }
            }
        }
        waiting
    }

    fn waiting_since(&self, task: TaskId) -> Option<Duration> {
        self.lasting.waiting_since.get(&task).map(|(since, _)| *since)
    }

    /// Time for which a lasting task has had no run at work; `None` if it has one or another reason not to run.
    pub(super) fn lasting_wait(&self, task: TaskId, now: Duration) -> Option<Duration> {
        self.waiting_since(task).map(|since| now.saturating_sub(since))
    }

    /// What a lasting task without a run at work waits for; `None` if that is another step.
    fn wait_reason(
        &self,
        entry: &JobEntry,
        task: TaskId,
        state: &Task,
        may_place: bool,
        now: Duration,
    ) -> Option<WaitReason> {
        if let Some(run) = state.runs.last() {
            return Some(self.run_wait_reason(task, run));
        }
        if !entry.is_due(task.key) {
            return None;
        }
        Some(match () {
            () if !self.ready.contains(&task) => WaitReason::NotQueued,
            () if !may_place => WaitReason::PlacementPaused,
            () if !self.unresolved.is_empty() && !entry.is_fresh => WaitReason::AgentsUnheard,
            () if state.not_before > now => WaitReason::BackingOff,
            () => WaitReason::NoCapacity,
        })
    }

    fn run_wait_reason(&self, task: TaskId, run: &Run) -> WaitReason {
        let agent = self.agents.get(&run.agent).filter(|agent| agent.runs.contains(&(task, run.number)));
        match agent {
            None => WaitReason::RunUntracked,
            Some(agent) if agent.contact != Contact::Linked => WaitReason::AgentSilent,
            Some(_) if run.is_stopping => WaitReason::StopUnconfirmed,
            Some(_) if run.started.is_none() => WaitReason::StartUnconfirmed,
            Some(_) => WaitReason::RunIdle,
        }
    }

    /// Reports the groups that are due, those that have waited longest first.
    fn report_waiting(&mut self, groups: &BTreeMap<(TaskGroup, WaitReason), WaitingGroup>, now: Duration) {
        let is_due = |step: &TaskGroup, reason: &WaitReason| {
            let due = self.lasting.reported.get(step).and_then(|reported| reported.due.get(reason));
            due.is_none_or(|due| now >= *due)
        };
        let mut due: Vec<_> = groups.iter().filter(|((step, reason), _)| is_due(step, reason)).collect();
        due.sort_unstable_by_key(|(key, group)| (group.since, **key));
        for ((step, reason), WaitingGroup { task, since, tasks }) in due.into_iter().take(REPORTS_PER_PASS_MAX) {
            let (task, tasks, waited) = (*task, *tasks, now.saturating_sub(*since));
            let reported = self.lasting.reported.entry(*step);
            let reported = reported.or_insert(ReportedStep { task, tasks, waited, due: Map::default() });
            reported.due.insert(*reason, now + REPORT_INTERVAL);
            let (reason, workers) = match reason {
                WaitReason::NoCapacity => self.placement_wait_reason(task, now),
                WaitReason::AgentsUnheard => (*reason, self.suitable_workers(task, now)),
                reason => (*reason, BTreeMap::new()),
            };
            let state = self.jobs.get(&task.job).and_then(|entry| entry.tasks.get(&task.key));
            let run = state.and_then(|state| state.runs.last()).map(|run| (Arc::clone(&run.agent), run.number));
            let failures = state.map_or(0, |state| state.failed_runs.len());
            let capacity = (reason == WaitReason::NoCapacity).then(|| self.capacity_wait(task, now));
            self.notes.push(Note::LastingTasksWaiting {
                task,
                tasks,
                reason,
                waited,
                run,
                failures,
                workers,
                capacity,
            });
        }
    }

    /// Reports the steps of which no task has waited for long any more.
    fn report_running(&mut self, groups: &BTreeMap<(TaskGroup, WaitReason), WaitingGroup>, now: Duration) {
        let mut waiting: Map<TaskGroup, (Duration, usize)> = Map::default();
        for ((step, _), WaitingGroup { since, tasks, .. }) in groups {
            let known = waiting.entry(*step).or_insert((*since, 0));
            *known = (known.0.min(*since), known.1 + tasks);
        }
        let mut running = Vec::new();
        self.lasting.reported.retain(|step, reported| {
            if let Some((since, tasks)) = waiting.get(step) {
                reported.waited = reported.waited.max(now.saturating_sub(*since));
                reported.tasks = reported.tasks.max(*tasks);
                return true;
            }
            running.push((reported.task, reported.tasks, reported.waited));
            false
        });
        running.sort_unstable();
        for (task, tasks, waited) in running {
            let entry = self.jobs.get(&task.job).filter(|entry| entry.is_open());
            let has_run =
                entry.and_then(|entry| entry.tasks.get(&task.key)).is_some_and(|state| !state.runs.is_empty());
            if has_run {
                self.notes.push(Note::LastingTasksRunning { task, tasks, waited });
            }
        }
    }

    /// Why a task that may be placed isn't, and the number of workers by whether they can run it.
    fn placement_wait_reason(&self, task: TaskId, now: Duration) -> (WaitReason, BTreeMap<Suitability, usize>) {
        let workers = self.suitable_workers(task, now);
        let has_capacity = workers.contains_key(&Suitability::HasCapacity);
        let entry = self.jobs.get(&task.job);
        let reason = match entry.filter(|entry| entry.job.step(task.key).is_some_and(|step| step.gang)) {
            None if has_capacity => WaitReason::NotPlaced,
            None => WaitReason::NoCapacity,
            // A gang is placed only as a whole, so capacity for one member isn't enough.
            Some(entry) => {
                let members = tasks_of_step(entry, task.key.occurrence, task.key.step);
                let are_all_ready = members.iter().all(|member| self.ready.contains(member));
                if are_all_ready { WaitReason::NoCapacity } else { WaitReason::GangIncomplete }
            }
        };
        (reason, workers)
    }

    /// What a task that waits for capacity needs, and what is free and was started meanwhile.
    fn capacity_wait(&self, task: TaskId, now: Duration) -> CapacityWait {
        let context = self.context(task);
        let is_open = |agent: &Agent| self.need_at(task, agent, &[], context, now).is_some();
        let open = self.agents.iter().filter(|(_, agent)| is_open(agent));
        let roomiest = open
            .map(|(name, agent)| (agent.load.free(), name))
            .max_by_key(|(free, name)| (free.processor_millicores, *name))
            .map(|(free, name)| (Arc::clone(name), free));
        let starts = self.lasting.starts;
        let before = self.lasting.waiting_since.get(&task).map_or(starts, |(_, before)| *before);
        CapacityWait {
            need: self.task_usage(task).map(|(need, _)| need.resources).unwrap_or_default(),
            roomiest,
            ruled_out: self.ruled_out(task, now),
            starts_meanwhile: starts.starts - before.starts,
            started_millicores: starts.short_millicores - before.short_millicores,
        }
    }

    /// Number of workers by whether they can run a task now.
    fn suitable_workers(&self, task: TaskId, now: Duration) -> BTreeMap<Suitability, usize> {
        let mut workers = BTreeMap::new();
        for (_, _, suitability) in self.workers_by_suitability(task, now) {
            *workers.entry(suitability).or_default() += 1;
        }
        workers
    }

    /// Workers with enough free capacity for a task, by what rules them out.
    fn ruled_out(&self, task: TaskId, now: Duration) -> BTreeMap<Suitability, RuledOut> {
        let mut ruled_out: BTreeMap<Suitability, RuledOut> = BTreeMap::new();
        let Some((need, _)) = self.task_usage(task) else { return ruled_out };
        let has_room = |agent: &Agent| agent.worker.is_some() && packing::cost(&agent.load, &need).is_some();
        for (name, agent, suitability) in self.workers_by_suitability(task, now) {
            if suitability == Suitability::HasCapacity || !has_room(agent) {
                continue;
            }
            let free_millicores = agent.load.free().processor_millicores;
            let known = ruled_out.entry(suitability).or_insert_with(|| RuledOut {
                workers: 0,
                roomiest: Arc::clone(name),
                free_millicores,
            });
            known.workers += 1;
            if (free_millicores, name) > (known.free_millicores, &known.roomiest) {
                (known.free_millicores, known.roomiest) = (free_millicores, Arc::clone(name));
            }
        }
        ruled_out
    }

    /// Each worker with whether it can run a task now.
    fn workers_by_suitability(&self, task: TaskId, now: Duration) -> Vec<(&Name, &Agent, Suitability)> {
        let Some(seeker) = self.seeker(task, now) else { return Vec::new() };
        let context = self.context(task);
        let reserved = self.reserved_needs(task);
        let suitability = |(name, agent): (&Name, &Agent)| {
            let reserved = reserved.get(name).map_or(&[][..], Vec::as_slice);
            self.suitability(task, &seeker, (name, agent), reserved, context, now)
        };
        self.agents.iter().map(|(name, agent)| (name, agent, suitability((name, agent)))).collect()
    }

    /// Whether a worker can run a task now; `reserved` is what other tasks have reserved there.
    fn suitability(
        &self,
        task: TaskId,
        seeker: &TaskToPlace<'_>,
        (name, agent): (&Name, &Agent),
        reserved: &[Need],
        context: StepContext,
        now: Duration,
    ) -> Suitability {
        let Some(need) = self.need_at(task, agent, &[], context, now) else {
            return self.exclusion(task, name, agent, now);
        };
        let fits = |load: &Load| seeker.cost(name, agent, load, &need).is_some();
        if !fits(&agent.load) {
            let per_worker_max = self.step_of(task).and_then(|step| step.per_worker_max);
            return if agent.is_start_deferred(now) {
                Suitability::StartDeferred
            } else if per_worker_max.is_some_and(|max| siblings(agent, task) >= max) {
                Suitability::PerWorkerMax
            } else if packing::cost(&agent.load, &need).is_none() {
                Suitability::NoCapacity
            } else if agent.crash_risk(&seeker.state.crashes, now).is_none() {
                Suitability::SuspectStarting
            } else {
                Suitability::Disturbing
            };
        }
        let mut load = agent.load;
        for need in reserved {
            load.add(need);
        }
        if fits(&load) { Suitability::HasCapacity } else { Suitability::Reserved }
    }

    /// Why no task of a step may run on a worker, whatever its free capacity.
    fn exclusion(&self, task: TaskId, name: &Name, agent: &Agent, now: Duration) -> Suitability {
        let service = self.jobs.get(&task.job).map(|entry| &self.terms_of(entry).service);
        let label = self.step_of(task).and_then(|step| step.required_label.as_ref());
        match &agent.worker {
            _ if self.unresolved.contains(name) => Suitability::Unheard,
            _ if agent.contact != Contact::Linked => Suitability::NotLinked,
            None => Suitability::NoWorker,
            Some(worker) if service != Some(&worker.service) => Suitability::OtherService,
            Some(worker) if label.is_some_and(|label| !worker.has_label(label)) => Suitability::NoLabel,
            Some(worker) if self.evacuating.domains.is_evacuated(&worker.failure_domain) => Suitability::Evacuated,
            Some(worker) if worker.leaves_in.is_some() => Suitability::Leaving,
            Some(_) if !agent.unmatched_runs.is_empty() => Suitability::UnmatchedRuns,
            Some(_) if now < agent.paused_until => Suitability::Paused,
            Some(_) => Suitability::Ejected,
        }
    }
}
