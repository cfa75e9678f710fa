//! Placement of waiting tasks.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::collections::{Map, Set};
use chervilledge_policy::id::Name;

use super::agents::{Contact, tasks_of_step};
use super::crashed::{CALM_WAIT_MAX, RepeatedCrashes};
use super::jobs::{JobEntry, need};
use super::task::{Run, Task};
use super::{Action, Agent, Cell, Note};
use crate::colocation;
use crate::evacuation::RETURN_START_GAP;
use crate::job::{JobId, Step, TaskId};
use crate::pace::FULL_PERCENT;
use crate::packing::{self, Load, Need};
use crate::urgency::{self, Rank, Remaining, Urgency};
use crate::worker::{RunTraits, StartOrder, Worker};

/// Tasks that one pass places, and steps for which it searches for capacity.
const PASS_LIMITS: PassLimits = PassLimits { placed: 512, steps: 128 };

/// Number of workers per serving image from which images are kept apart.
const WORKERS_PER_IMAGE: usize = 4;
/// Penalty per image that serves on a worker, for a serving task of another image where images are kept apart, in
/// thousandths of a core: more than that of a worker without serving runs, which in turn is more than the largest
/// worker has.
const MIXED_IMAGE_PENALTY: i64 = 160_000;
/// Penalty per serving run of another image where images share workers, in thousandths of a core.
const MIXED_RUN_PENALTY: i64 = 3_000;

/// Penalty for a worker whose agent stops, in thousandths of a core: more than any other penalty, so that only tasks
/// which fit nowhere else go there.
const RETIRING_PENALTY: i64 = 1_000_000_000;

/// Penalty for an overdue task on a worker on which a suspect of crashes has just started, in thousandths of a core: more
/// than any other penalty, since that worker may crash at any moment.
const SUSPECT_STARTING_PENALTY: i64 = 2_000_000_000;

/// Time without any run after which a job is placed wherever its resources fit, however slow its run would be there;
/// users take a job that makes no progress for 3 s beside free capacity as lost.
const STARVED_AFTER: Duration = Duration::from_secs(2);

/// Processor time that such a run may ask for beyond the unused part: more than filling runs ask for on any worker.
const STARVED_EXCESS_MILLICORES: u64 = 1_000_000_000;

/// Limits of one pass, so that messages don't wait for long.
#[derive(Clone, Copy, Debug)]
struct PassLimits {
    /// Number of placed tasks.
    placed: usize,
    /// Number of steps for which capacity is searched.
    steps: usize,
}

/// Identical tasks: job, occurrence and step.
pub(super) type TaskGroup = (JobId, u32, u32);

/// Worker that may run the tasks of a step, with the need that all of them have there.
struct Candidate {
    agent: Name,
    need: Need,
}

/// Properties of a step's tasks that are the same on all workers.
#[derive(Clone, Copy, Default)]
pub(super) struct StepContext {
    /// The cell has many workers for each serving image.
    has_many_workers_per_image: bool,
    /// See [`Need::largest_millicores`].
    largest_millicores: u64,
}

/// Task that waits for capacity.
pub(super) struct WaitingTask {
    pub(super) rank: Rank,
    /// The task isn't suspect of crashing workers. Suspects go first, so that they find the workers with the fewest
    /// other runs.
    is_trusted: bool,
    /// No run of the task was displaced; tasks with displaced runs go first among those of equal rank.
    is_new: bool,
    pub(super) task: TaskId,
}

/// Task for which a worker is searched.
pub(super) struct TaskToPlace<'a> {
    task: TaskId,
    step: &'a Step,
    /// Expected run time at full pace.
    run_time: Duration,
    pub(super) state: &'a Task,
    now: Duration,
    /// It starts beside suspects of crashes as well; a crash is put down to these.
    is_overdue: bool,
}

impl TaskToPlace<'_> {
    /// Cost of placing the task on an agent's worker under `load`; `None` when it doesn't fit.
    pub(super) fn cost(&self, name: &Name, agent: &Agent, load: &Load, need: &Need) -> Option<i64> {
        let waited = self.now.saturating_sub(self.state.ready_since);
        let disturbs_none = need.disturbed == 0;
        let fits = (disturbs_none || colocation::is_worth_starting(self.run_time, need.pace_percent, waited))
            && !agent.is_start_deferred(self.now)
            // A sound run isn't given up for a worker that may be lost.
            && (!agent.is_retiring || self.state.runs.is_empty())
            && self.state.runs.iter().all(|run| run.agent != *name)
            && self.step.per_worker_max.is_none_or(|max| siblings(agent, self.task) < max)
            && (self.step.lasting || waited >= CALM_WAIT_MAX || !agent.has_last_attempt(&self.state.crashes));
        let crash_risk = agent.crash_risk(&self.state.crashes, self.now);
        let crash_risk = crash_risk.or(self.is_overdue.then_some(SUSPECT_STARTING_PENALTY))?;
        let risk = crash_risk.saturating_add(if agent.is_retiring { RETIRING_PENALTY } else { 0 });
        fits.then(|| packing::cost(load, need)).flatten().map(|cost| cost.saturating_add(risk))
    }

    /// The same task, which has waited for too long.
    pub(super) const fn overdue(self) -> Self {
        Self { is_overdue: true, ..self }
    }

    pub(super) fn avoids(&self, name: &Name) -> bool {
        self.state.avoided.contains(name)
    }
}

impl Cell {
    /// Places the waiting tasks that fit.
    ///
    /// While unseen runs of a predecessor may go on, only jobs that it can't know are placed.
    pub fn place(&mut self, now: Duration) {
        if self.configuration.is_none() {
            return;
        }
        self.needs_placing = false;
        self.decide_verdicts(now);
        self.estimate_run_times(now);
        let waiting = self.rank_waiting(now);
        let mut applied = self.apply_reservations(now);
        self.place_reserved(&waiting, &mut applied, now);
        self.revert_reservations(applied);
        self.place_overdue(&waiting, now);
        let applied = self.apply_reservations(now);
        self.place_ranked(waiting, now);
        self.revert_reservations(applied);
        self.preempt(now);
    }

    fn place_ranked(&mut self, waiting: Vec<WaitingTask>, now: Duration) {
        let mut starved = self.starved(&waiting, now);
        // Tasks of a step are identical but for suspects: where one doesn't fit, the others don't either.
        let mut without_capacity: Set<TaskGroup> = Set::default();
        let mut candidates: (Option<TaskGroup>, Vec<Candidate>) = (None, Vec::new());
        let mut budget = PASS_LIMITS;
        for WaitingTask { task, .. } in waiting {
            let group = group(task);
            let is_starved = starved.contains(&task.job);
            let is_exhausted = budget.placed == 0 || budget.steps == 0;
            let is_served = !self.ready.contains(&task) || self.reserved.contains_key(&task);
            if is_served || without_capacity.contains(&group) || (is_exhausted && !is_starved) {
                continue;
            }
            if candidates.0 != Some(group) {
                candidates = (Some(group), self.candidates(task, now));
                budget.steps = budget.steps.saturating_sub(1);
            }
            let is_gang = self.step_of(task).is_some_and(|step| step.gang);
            let is_placed =
                if is_gang { self.place_gang(task, now) } else { self.place_task(task, &mut candidates.1, now) }
                    || (is_starved && !is_gang && self.place_starved(task, &mut candidates.1, now));
            if is_placed {
                starved.remove(&task.job);
                budget.placed = budget.placed.saturating_sub(1);
            } else if !self.is_suspect(task) {
                without_capacity.insert(group);
            }
        }
    }

    /// Jobs with waiting tasks that have been without any run for too long.
    fn starved(&self, waiting: &[WaitingTask], now: Duration) -> Set<JobId> {
        let mut idle_since: Map<JobId, Duration> = Map::default();
        for WaitingTask { task, .. } in waiting {
            let Some(state) = self.jobs.get(&task.job).and_then(|entry| entry.tasks.get(&task.key)) else { continue };
            let since = idle_since.entry(task.job).or_default();
            *since = state.ready_since.max(*since);
        }
        let has_runs =
            |id: &JobId| self.jobs.get(id).is_some_and(|entry| entry.tasks.values().any(|task| !task.runs.is_empty()));
        let is_starved = |(id, since): &(JobId, Duration)| now.saturating_sub(*since) >= STARVED_AFTER && !has_runs(id);
        idle_since.into_iter().filter(is_starved).map(|(id, _)| id).collect()
    }

    /// Places a task whatever it disturbs and whatever processor time is left for filling runs.
    fn place_starved(&mut self, task: TaskId, candidates: &mut [Candidate], now: Duration) -> bool {
        let original_needs: Vec<Need> = candidates.iter().map(|candidate| candidate.need).collect();
        for candidate in candidates.iter_mut() {
            candidate.need = full_pace(candidate.need);
        }
        let is_placed = self.place_task(task, candidates, now);
        for (candidate, need) in candidates.iter_mut().zip(original_needs) {
            candidate.need = need;
        }
        is_placed
    }

    /// Whether something has changed since the last pass.
    #[must_use]
    pub const fn needs_placing(&self) -> bool {
        self.needs_placing
    }

    /// Requests a pass, since time alone may have freed capacity.
    pub fn ask_placing(&mut self) {
        self.needs_placing |= !self.ready.is_empty();
    }

    /// Waiting tasks, the most urgent first.
    pub(super) fn rank_waiting(&self, now: Duration) -> Vec<WaitingTask> {
        let mut ranks: Map<(JobId, u32), Rank> = Map::default();
        let mut waiting = Vec::with_capacity(self.ready.len());
        for task in &self.ready {
            let is_open = |entry: &&JobEntry| self.unresolved.is_empty() || entry.is_fresh;
            let Some(entry) = self.jobs.get(&task.job).filter(is_open) else { continue };
            let state = entry.tasks.get(&task.key);
            let is_lasting = entry.job.step(task.key).is_some_and(|step| step.lasting);
            if state.is_none_or(|state| state.not_before > now || self.awaits_calm(state, is_lasting, now)) {
                continue;
            }
            let rank = ranks.entry((task.job, task.key.step)).or_insert_with(|| self.rank(entry, task.key.step, now));
            let is_new = state.is_none_or(|state| state.displacements == 0);
            let is_trusted = state.is_none_or(|state| !state.crashes.is_suspect());
            waiting.push(WaitingTask { rank: *rank, is_trusted, is_new, task: *task });
        }
        waiting.sort_unstable_by_key(|waiting| (waiting.is_trusted, waiting.rank, waiting.is_new, waiting.task));
        waiting
    }

    pub(super) fn rank(&self, entry: &JobEntry, step: u32, now: Duration) -> Rank {
        let left = entry.chains.get(step as usize).copied().unwrap_or_default();
        let is_lasting = entry.job.steps.get(step as usize).is_some_and(|step| step.lasting);
        let age = if entry.job.schedule.is_some() { Duration::ZERO } else { entry.age(now) };
        let terms = self.terms_of(entry);
        let remaining = Remaining { chain: entry.chain(), left, work: entry.remaining_work() };
        urgency::rank(terms, is_lasting, age, &remaining)
    }

    pub(super) fn step_of(&self, task: TaskId) -> Option<&Step> {
        self.jobs.get(&task.job)?.job.step(task.key)
    }

    fn place_task(&mut self, task: TaskId, candidates: &mut [Candidate], now: Duration) -> bool {
        let Some(agent) = self.choose_among(task, candidates, None, now) else { return false };
        self.start(task, &agent, None, now);
        if let Some(candidate) = candidates.iter_mut().find(|candidate| candidate.agent == agent)
            && candidate.need.disturbed > 0
            && let (Some(known), Some(step)) = (self.agents.get(&agent), self.step_of(task))
        {
            candidate.need.pace_percent = self.expected_pace_percent(known, step, &[]);
        }
        true
    }

    /// Places every member of a gang, or none.
    fn place_gang(&mut self, task: TaskId, now: Duration) -> bool {
        let Some(entry) = self.jobs.get(&task.job) else { return false };
        let members = tasks_of_step(entry, task.key.occurrence, task.key.step);
        // A member that still runs has to end before the gang starts again.
        let are_all_ready = members.iter().all(|member| self.ready.contains(member));
        if !are_all_ready {
            return false;
        }
        let racks = if self.step_of(task).is_some_and(|step| step.same_rack) { self.racks() } else { vec![None] };
        for rack in racks {
            if let Some(places) = self.choose_all(&members, rack.as_ref(), now) {
                self.share_checkpoint(&members);
                let starts = self.gang_starts(&members);
                for (member, agent) in members.iter().zip(&places) {
                    self.start(*member, agent, Some(starts), now);
                }
                return true;
            }
        }
        false
    }

    /// Chooses a worker for each member, or for none; leaves the loads unchanged.
    fn choose_all(&mut self, members: &[TaskId], rack: Option<&Name>, now: Duration) -> Option<Vec<Name>> {
        let mut places = Vec::with_capacity(members.len());
        for member in members {
            let Some(agent) = self.choose(*member, rack, now) else { break };
            self.add_to_load(*member, &agent);
            places.push(agent);
        }
        for (member, agent) in members.iter().zip(&places) {
            self.remove_from_load(*member, agent);
        }
        (places.len() == members.len()).then_some(places)
    }

    pub(super) fn add_to_load(&mut self, task: TaskId, agent: &Name) {
        let Some((need, image)) = self.task_usage(task) else { return };
        if let Some(agent) = self.agents.get_mut(agent) {
            agent.occupy(&need, image);
            agent.load.kept = agent.load.kept.checked_add(&Load::counted(&need)).unwrap_or(agent.load.total);
            agent.runs.insert((task, 0));
        }
    }

    pub(super) fn remove_from_load(&mut self, task: TaskId, agent: &Name) {
        let Some((need, image)) = self.task_usage(task) else { return };
        if let Some(agent) = self.agents.get_mut(agent) {
            agent.vacate(&need, image);
            agent.load.kept = agent.load.kept.saturating_sub(&Load::counted(&need));
            agent.runs.remove(&(task, 0));
        }
    }

    fn gang_starts(&self, members: &[TaskId]) -> u64 {
        let starts = |member: &TaskId| self.jobs.get(&member.job)?.tasks.get(&member.key).map(|state| state.starts);
        members.iter().filter_map(starts).max().unwrap_or(0) + 1
    }

    fn racks(&self) -> Vec<Option<Name>> {
        let mut racks: Vec<Option<Name>> =
            self.agents.values().filter_map(|agent| agent.worker.as_ref()).map(|worker| worker.rack.clone()).collect();
        racks.sort_unstable();
        racks.dedup();
        racks.push(None);
        racks
    }

    /// Chooses a worker for a task.
    pub(crate) fn choose(&self, task: TaskId, rack: Option<&Name>, now: Duration) -> Option<Name> {
        self.choose_among(task, &self.candidates(task, now), rack, now)
    }

    /// Workers that may run the tasks of a step, regardless of their free capacity.
    fn candidates(&self, task: TaskId, now: Duration) -> Vec<Candidate> {
        let context = self.context(task);
        let candidate = |(name, agent): (&Name, &Agent)| {
            let need = self.need_at(task, agent, &[], context, now)?;
            Some(Candidate { agent: Arc::clone(name), need })
        };
        self.agents.iter().filter_map(candidate).collect()
    }

    /// What a task needs of an agent's worker once the runs in `without` are over; `None` when it may not run there.
    pub(super) fn need_at(
        &self,
        task: TaskId,
        agent: &Agent,
        without: &[(TaskId, u64)],
        context: StepContext,
        now: Duration,
    ) -> Option<Need> {
        self.need_on(task, agent, open_worker(agent, now)?, without, context)
    }

    /// What a task needs of an agent's worker, whether or not that worker is open.
    pub(super) fn need_on(
        &self,
        task: TaskId,
        agent: &Agent,
        worker: &Worker,
        without: &[(TaskId, u64)],
        context: StepContext,
    ) -> Option<Need> {
        let entry = self.jobs.get(&task.job)?;
        let step = entry.job.step(task.key)?;
        let terms = self.terms_of(entry);
        if worker.service != terms.service
            || self.evacuating.domains.is_evacuated(&worker.failure_domain)
            || step.required_label.as_ref().is_some_and(|label| !worker.has_label(label))
        {
            return None;
        }
        let disturbed = if step.filling { self.disturbed(agent, step) } else { 0 };
        Some(Need {
            is_far: step.data_rack.is_some() && step.data_rack != worker.rack,
            disturbed,
            effect_thousandths: if disturbed > 0 { self.largest_effect_thousandths(agent, step) } else { 0 },
            mixed_image_penalty: if step.lasting {
                mixed_image_penalty(agent, step, context.has_many_workers_per_image)
            } else {
                0
            },
            pace_percent: if disturbed > 0 { self.expected_pace_percent(agent, step, without) } else { FULL_PERCENT },
            largest_millicores: context.largest_millicores,
            ending_millicores: if context.largest_millicores > 0 {
                self.ending_millicores(agent, entry.run_time(task.key.step))
            } else {
                0
            },
            ..need(&entry.job, task.key)
        })
    }

    /// Properties of a step's tasks that are the same on all workers.
    pub(super) fn context(&self, task: TaskId) -> StepContext {
        let Some(entry) = self.jobs.get(&task.job) else { return StepContext::default() };
        let Some(step) = entry.job.step(task.key) else { return StepContext::default() };
        let is_sized = self.is_prioritized(entry) && packing::counts_size(&need(&entry.job, task.key), step.count);
        StepContext {
            has_many_workers_per_image: step.lasting && self.has_many_workers_per_image(),
            largest_millicores: if is_sized { self.largest_millicores() } else { 0 },
        }
    }

    /// Processors of the largest worker, in thousandths of a core; 0 when all workers have the same.
    fn largest_millicores(&self) -> u64 {
        let sizes =
            || self.agents.values().filter_map(|agent| Some(agent.worker.as_ref()?.resources.processor_millicores));
        let (smallest, largest) = (sizes().min().unwrap_or(0), sizes().max().unwrap_or(0));
        if smallest == largest { 0 } else { largest }
    }

    /// Processor time that runs on a worker are expected to free within `window`, averaged over it, in thousandths of
    /// a core.
    fn ending_millicores(&self, agent: &Agent, window: Duration) -> u64 {
        let window_ms = window.as_millis();
        if window_ms == 0 {
            return 0;
        }
        let mut sum = 0;
        for (task, number) in &agent.runs {
            let Some(other) = self.step_of(*task).filter(|other| !other.lasting) else { continue };
            let Some(run) = self.run(*task, *number) else { continue };
            let run_time = self.jobs.get(&task.job).map_or(Duration::ZERO, |entry| entry.run_time(task.key.step));
            let pace_percent = if other.filling { run.pace_percent } else { FULL_PERCENT };
            let left_percent = if run.is_stopping { 0 } else { FULL_PERCENT.saturating_sub(run.percent) };
            let left_ms = (run_time * left_percent / pace_percent.max(1)).as_millis();
            let used = u128::from(other.resources.processor_millicores) * u128::from(pace_percent) / 100;
            sum += used * window_ms.saturating_sub(left_ms) / window_ms;
        }
        u64::try_from(sum).unwrap_or(u64::MAX)
    }

    /// Whether the cell has many workers for each serving image.
    fn has_many_workers_per_image(&self) -> bool {
        let images: Set<&Name> = self.agents.values().flat_map(|agent| agent.serving.keys()).collect();
        self.agents.len() >= images.len() * WORKERS_PER_IMAGE
    }

    /// The task together with the state that its placement depends on.
    pub(super) fn seeker(&self, task: TaskId, now: Duration) -> Option<TaskToPlace<'_>> {
        let entry = self.jobs.get(&task.job)?;
        let step = entry.job.step(task.key)?;
        let state = entry.tasks.get(&task.key)?;
        Some(TaskToPlace { task, step, run_time: entry.run_time(task.key.step), state, now, is_overdue: false })
    }

    fn choose_among(&self, task: TaskId, candidates: &[Candidate], rack: Option<&Name>, now: Duration) -> Option<Name> {
        let seeker = self.seeker(task, now)?;
        let eligible = |candidate: &Candidate| -> Option<i64> {
            let agent = self.agents.get(&candidate.agent)?;
            let is_in_rack = |rack| agent.worker.as_ref().is_some_and(|worker| worker.rack.as_ref() == Some(rack));
            rack.is_none_or(is_in_rack)
                .then(|| seeker.cost(&candidate.agent, agent, &agent.load, &candidate.need))
                .flatten()
        };
        let best = |is_avoiding: bool| {
            candidates
                .iter()
                .filter(|candidate| !is_avoiding || !seeker.avoids(&candidate.agent))
                .filter_map(|candidate| Some((eligible(candidate)?, &candidate.agent)))
                .min()
                .map(|(_, name)| Arc::clone(name))
        };
        best(true).or_else(|| if seeker.state.avoided.is_empty() { None } else { best(false) })
    }

    /// Agent on whose worker a filling task fits and disturbs nobody.
    pub(crate) fn undisturbing_worker(&self, task: TaskId, now: Duration) -> Option<Name> {
        let name = self.choose(task, None, now)?;
        let agent = self.agents.get(&name)?;
        self.step_of(task).is_some_and(|step| self.disturbed(agent, step) == 0).then_some(name)
    }

    /// Orders a run; `starts` is given for members of a gang, which share their run number.
    pub(crate) fn start(&mut self, task: TaskId, name: &Name, starts: Option<u64>, now: Duration) {
        let urgency = self.urgency(task, Urgency::UNKNOWN, now);
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        let job = Arc::clone(&entry.job);
        let age = entry.age(now);
        let is_first = !entry.has_started && entry.tasks.values().all(|task| task.starts == 0);
        let Some(step) = job.step(task.key) else { return };
        let need = need(&job, task.key);
        let Some(agent) = self.agents.get_mut(name) else { return };
        let Some(life) = agent.worker.as_ref().map(|worker| worker.life.clone()) else { return };
        let Some(state) = entry.tasks.get_mut(&task.key) else { return };
        let (is_suspect, repeated) = (state.crashes.is_suspect(), RepeatedCrashes::of(&state.crashes));
        let is_copy = !state.runs.is_empty();
        state.starts = starts.unwrap_or(state.starts + 1);
        let (number, checkpoint) = (state.starts, Arc::clone(&state.checkpoint.text));
        agent.occupy(&need, step.image.clone());
        let run = self.run_number(number);
        let Some(agent) = self.agents.get_mut(name) else { return };
        agent.runs.insert((task, run));
        if is_suspect {
            agent.add_trial(task, run, None);
        }
        agent.add_repeated(task, run, repeated);
        agent.last_start = now;
        agent.next_start = now + RETURN_START_GAP;
        if let Some(state) = self.task_mut(task) {
            state.checkpoint.run = run;
            let restored_percent = if state.checkpoint.text.is_empty() { 0 } else { state.checkpoint.percent };
            state.runs.push(Run { urgency, restored_percent, ..Run::new(run, name, now) });
        }
        if !is_copy {
            self.count_start(task, now);
        }
        self.ready.remove(&task);
        self.counters.starts += 1;
        self.lasting.add_start(&need);
        let traits = RunTraits::of(step, urgency);
        let order = StartOrder { task, run, spec: Arc::clone(&job.spec), checkpoint, traits };
        self.actions.push_back(Action::Start { agent: Arc::clone(name), life, order });
        let waiting = self.ready.len();
        self.notes.push(Note::Placed { task, run, agent: Arc::clone(name), job_age: age, is_first, waiting });
    }
}

/// The need of a task that is placed whatever it disturbs and whatever processor time is left for filling runs.
pub(super) const fn full_pace(need: Need) -> Need {
    Need { excess_millicores: STARVED_EXCESS_MILLICORES, pace_percent: FULL_PERCENT, ..need }
}

/// Group that a task belongs to.
pub(super) const fn group(task: TaskId) -> TaskGroup {
    (task.job, task.key.occurrence, task.key.step)
}

/// The worker of an agent, if tasks may be placed on it.
pub(super) fn open_worker(agent: &Agent, now: Duration) -> Option<&Worker> {
    let is_open = agent.contact == Contact::Linked
        && agent.unmatched_runs.is_empty()
        && now >= agent.paused_until
        && !agent.health.is_ejected(now);
    agent.worker.as_ref().filter(|worker| is_open && worker.leaves_in.is_none())
}

/// Penalty for serving beside other images on a worker, for the tasks of a step, in thousandths of a core.
///
/// Each image that serves on a worker leaves fewer filling images that disturb nobody there. A cell with many workers
/// per image keeps images apart; in a small one they have to share workers, and only the runs of other images count.
fn mixed_image_penalty(agent: &Agent, step: &Step, has_many_workers_per_image: bool) -> i64 {
    let image = step.image.clone().unwrap_or_default();
    if !has_many_workers_per_image {
        let others = agent.serving.iter().filter(|(serving, _)| **serving != image);
        return others.map(|(_, count)| MIXED_RUN_PENALTY * i64::from(*count)).sum();
    }
    let has_image = agent.serving.contains_key(&image);
    if has_image { 0 } else { MIXED_IMAGE_PENALTY * i64::try_from(agent.serving.len()).unwrap_or(i64::MAX / 8) }
}

/// Runs of the same step and occurrence on an agent's worker, including those that aren't matched to their tasks.
pub(super) fn siblings(agent: &Agent, task: TaskId) -> u32 {
    let is_sibling = |other: &TaskId| {
        other.job == task.job && other.key.occurrence == task.key.occurrence && other.key.step == task.key.step
    };
    let count = agent.runs.iter().chain(&agent.unmatched_runs).filter(|(other, _)| is_sibling(other)).count();
    u32::try_from(count).unwrap_or(u32::MAX)
}
