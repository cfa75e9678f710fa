//! Evacuation of failure domains.
//!
//! Answers an operator who takes a domain out of use: no worker of it is a candidate until the request is removed. Runs
//! that last, and long ones that save checkpoints, move as far as others have room for them; the rest ends where it is.
//! Nothing is stopped without room for it, which is kept free until the task takes it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::collections::Map;
use chervilledge_policy::id::Name;

use super::agents::tasks_of_step;
use super::jobs::{JobEntry, Run};
use super::reservations::HeldRoom;
use super::{Agent, Cell, Note};
use crate::evacuation::{self, EvacuatedDomains, HeldRuns, HoldReason, Standing};
use crate::job::TaskId;
use crate::pace::FULL_PERCENT;

/// Workers for each of which one run that saves checkpoints is moved at one time.
const WORKERS_PER_MOVE: usize = 7;
/// Least time between two notes of how far the evacuation of a domain is.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a domain without any worker is taken for a mistake; agents link within a few seconds of a takeover.
const WORKERLESS_AFTER: Duration = Duration::from_secs(5);

/// How far the evacuation of a domain is.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    /// When the request became known.
    since: Duration,
    workers: usize,
    held: HeldRuns,
    /// What was last noted, and when.
    noted: Option<(HeldRuns, Duration)>,
    is_warned: bool,
}

/// State of the evacuations of a cell.
#[derive(Debug, Default)]
pub(crate) struct Evacuating {
    /// Failure domains in which nothing may start.
    pub(super) domains: EvacuatedDomains,
    /// Tasks that are being moved, with the run that was told to stop.
    moves: Map<TaskId, u64>,
    progress: BTreeMap<Name, Progress>,
    /// Every worker stands in an evacuated domain, and that was noted.
    is_without_other: bool,
}

/// A run on a worker of an evacuated domain.
struct Remaining {
    domain: Name,
    task: TaskId,
    run: u64,
    /// Work that a stop would lose, in core-milliseconds; `None` for a lasting run.
    unsaved: Option<u64>,
}

/// Evacuation of a domain, for metrics and the dump.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Evacuation {
    /// The domain.
    pub domain: Name,
    /// Workers of the domain that are known.
    pub workers: usize,
    /// Runs on them, by what keeps them there.
    pub held: HeldRuns,
}

impl Cell {
    /// Takes in which failure domains are evacuated, as far as that is newer than what is known.
    pub fn evacuate(&mut self, domains: &EvacuatedDomains, now: Duration) {
        for domain in self.evacuating.domains.merge(domains) {
            let Standing { revision, is_requested } = self.evacuating.domains.standing(&domain);
            let names: Vec<Name> = self.workers_of(&domain).map(|(name, _)| Arc::clone(name)).collect();
            let runs = self.workers_of(&domain).map(|(_, agent)| agent.runs.len()).sum();
            let workers = names.len();
            if is_requested {
                let progress = Progress { since: now, workers, ..Progress::default() };
                self.evacuating.progress.insert(Arc::clone(&domain), progress);
            } else {
                self.evacuating.progress.remove(&domain);
                for name in &names {
                    if let Some(agent) = self.agents.get_mut(name) {
                        agent.returning_until = evacuation::returns_until(now, agent.cold_until);
                    }
                }
            }
            self.notes.push(Note::Evacuation { domain, revision, is_requested, workers, runs });
            self.needs_placing = true;
        }
    }

    /// Failure domain of an agent's worker, and whether it is evacuated.
    #[must_use]
    pub fn domain_of(&self, agent: &Name) -> Option<(&Name, Standing)> {
        let domain = &self.agents.get(agent)?.worker.as_ref()?.failure_domain;
        Some((domain, self.evacuating.domains.standing(domain)))
    }

    /// Evacuated domains, as of the last look at their runs.
    #[must_use]
    pub fn evacuations(&self) -> Vec<Evacuation> {
        let all = self.evacuating.progress.iter();
        all.map(|(domain, Progress { workers, held, .. })| Evacuation {
            domain: Arc::clone(domain),
            workers: *workers,
            held: *held,
        })
        .collect()
    }

    /// Moves what may move off the workers of evacuated domains.
    ///
    /// Call after a pass of placing, so that room which waiting tasks take isn't counted on.
    pub fn move_evacuated(&mut self, now: Duration) {
        if self.evacuating.progress.is_empty() && self.evacuating.moves.is_empty() {
            return;
        }
        self.end_moves();
        let mut rooms = self.hold_reserved(now);
        let mut held: BTreeMap<Name, HeldRuns> = BTreeMap::new();
        let mut remaining = self.remaining_runs();
        remaining.sort_unstable_by_key(|run| (run.unsaved, run.task));
        let moves_max = self.agents.len().div_ceil(WORKERS_PER_MOVE);
        for Remaining { domain, task, run, unsaved } in remaining {
            let holding = match self.holding(task, run) {
                None if !self.has_place_for_move(unsaved.is_some(), moves_max) => HoldReason::Moving,
                None => self.try_move(task, run, &mut rooms, now),
                Some(holding) => holding,
            };
            held.entry(domain).or_default().count(holding);
        }
        self.release_held(rooms);
        self.note_progress(&held, now);
    }

    /// Whether a run stands on a worker of an evacuated domain.
    pub(super) fn is_evacuated(&self, run: &Run) -> bool {
        self.domain_of(&run.agent).is_some_and(|(_, standing)| standing.is_requested)
    }

    /// Forgets moves that are over.
    fn end_moves(&mut self) {
        let is_over = |(task, former): (&TaskId, &u64)| self.is_move_over(*task, *former);
        let over: Vec<TaskId> =
            self.evacuating.moves.iter().filter(|moved| is_over(*moved)).map(|(task, _)| *task).collect();
        for task in over {
            self.evacuating.moves.remove(&task);
        }
    }

    /// Whether the task has a run again, which is at work if it lasts, or needs none.
    fn is_move_over(&self, task: TaskId, former: u64) -> bool {
        let Some(entry) = self.jobs.get(&task.job).filter(|entry| entry.is_open()) else { return true };
        let Some(state) = entry.tasks.get(&task.key).filter(|state| !state.is_done) else { return true };
        let is_lasting = entry.job.step(task.key).is_some_and(|step| step.lasting);
        state.runs.iter().any(|run| run.number != former && (!is_lasting || is_at_work(run)))
    }

    fn remaining_runs(&self) -> Vec<Remaining> {
        let mut remaining = Vec::new();
        for domain in self.evacuating.domains.requested() {
            for (_, agent) in self.workers_of(domain) {
                for (task, run) in &agent.runs {
                    let unsaved = self.unsaved_work(*task, *run);
                    remaining.push(Remaining { domain: Arc::clone(domain), task: *task, run: *run, unsaved });
                }
            }
        }
        remaining
    }

    /// Work of a run since its last checkpoint, in core-milliseconds; `None` for one that lasts.
    fn unsaved_work(&self, task: TaskId, number: u64) -> Option<u64> {
        let step = self.step_of(task).filter(|step| !step.lasting)?;
        let run = self.run(task, number)?;
        let state = self.jobs.get(&task.job)?.tasks.get(&task.key)?;
        let percent = u64::from(state.unsaved_percent(run, step.checkpointing));
        let estimate_ms = u64::try_from(step.estimate.as_millis()).unwrap_or(u64::MAX);
        Some(estimate_ms.saturating_mul(step.resources.processor_millicores).saturating_mul(percent) / 100_000)
    }

    /// What keeps a run where it is; `None` when it may move as far as its job is concerned.
    fn holding(&self, task: TaskId, number: u64) -> Option<HoldReason> {
        let Some(run) = self.run(task, number) else { return Some(HoldReason::ShortTask) };
        if run.is_stopping || self.evacuating.moves.contains_key(&task) {
            return Some(HoldReason::Moving);
        }
        let Some(entry) = self.jobs.get(&task.job) else { return Some(HoldReason::ShortTask) };
        let Some(step) = entry.job.step(task.key).filter(|step| !step.gang) else { return Some(HoldReason::ShortTask) };
        if step.lasting {
            let is_allowed = unavailable(entry, task) < step.unavailable_max.unwrap_or(1);
            return (!is_allowed || self.is_group_moving(task)).then_some(HoldReason::UnavailableMax);
        }
        let ratio = self.estimates.get(&entry.job.queue).copied().unwrap_or(1.0);
        let is_worth_it = step.checkpointing
            && evacuation::is_worth_moving(step.estimate, ratio, run.percent, run.pace_percent.min(FULL_PERCENT));
        (!is_worth_it).then_some(HoldReason::ShortTask)
    }

    /// Whether another task of the same step and occurrence is being moved.
    fn is_group_moving(&self, task: TaskId) -> bool {
        let group = |task: &TaskId| (task.job, task.key.occurrence, task.key.step);
        self.evacuating.moves.keys().any(|moved| group(moved) == group(&task))
    }

    /// Whether one more run may be moved at present; only those that save checkpoints are bounded.
    fn has_place_for_move(&self, is_bounded: bool, moves_max: usize) -> bool {
        let is_counted = |task: &&TaskId| self.step_of(**task).is_some_and(|step| !step.lasting);
        !is_bounded || self.evacuating.moves.keys().filter(is_counted).count() < moves_max
    }

    /// Stops a run if a worker elsewhere has room for its task now, and keeps that room.
    fn try_move(&mut self, task: TaskId, number: u64, rooms: &mut Vec<HeldRoom>, now: Duration) -> HoldReason {
        // While runs of a predecessor may go on unseen, the task wouldn't be started.
        if !self.unresolved.is_empty() {
            return HoldReason::NoRoom;
        }
        let is_filling = self.step_of(task).is_some_and(|step| step.filling);
        let room = if is_filling { self.calm_room(task, now) } else { self.choose(task, None, now) };
        let Some(target) = room else { return HoldReason::NoRoom };
        self.hold(task, &target, rooms, now);
        self.evacuating.moves.insert(task, number);
        self.counters.evacuated += 1;
        self.stop_runs(task, "evacuated", |run| run.number == number);
        HoldReason::Moving
    }

    /// Takes note of how far the evacuations are, and of what the operator should look at.
    fn note_progress(&mut self, held: &BTreeMap<Name, HeldRuns>, now: Duration) {
        let domains: Vec<Name> = self.evacuating.progress.keys().cloned().collect();
        for domain in domains {
            let workers = self.workers_of(&domain).count();
            let held = held.get(&domain).copied().unwrap_or_default();
            let is_known = self.unresolved.is_empty();
            let Some(progress) = self.evacuating.progress.get_mut(&domain) else { continue };
            (progress.workers, progress.held) = (workers, held);
            let is_news = progress.noted.is_none_or(|(noted, at)| noted != held && now >= at + PROGRESS_INTERVAL);
            if is_news {
                progress.noted = Some((held, now));
                self.notes.push(Note::EvacuationProgress { domain: Arc::clone(&domain), held });
            }
            let is_mistaken = workers == 0 && is_known && now >= progress.since + WORKERLESS_AFTER;
            if is_mistaken && !std::mem::replace(&mut progress.is_warned, true) {
                self.notes.push(Note::EvacuationDoubtful { domain: Some(domain), reason: "no_worker" });
            }
        }
        let mut workers = self.agents.values().filter_map(|agent| agent.worker.as_ref()).peekable();
        let is_without_other = workers.peek().is_some()
            && workers.all(|worker| self.evacuating.domains.is_evacuated(&worker.failure_domain));
        if is_without_other && !self.evacuating.is_without_other {
            self.notes.push(Note::EvacuationDoubtful { domain: None, reason: "no_other_domain" });
        }
        self.evacuating.is_without_other = is_without_other;
    }

    /// Agents whose worker stands in a domain.
    fn workers_of<'a>(&'a self, domain: &'a Name) -> impl Iterator<Item = (&'a Name, &'a Agent)> {
        let is_of_domain = |agent: &Agent| agent.worker.as_ref().is_some_and(|worker| worker.failure_domain == *domain);
        self.agents.iter().filter(move |(_, agent)| is_of_domain(agent))
    }
}

impl Agent {
    /// Takes note of the time for which the worker will still be slow, by its report.
    pub(super) fn report_cold(&mut self, cold_for: Duration, is_released: bool, now: Duration) {
        self.cold_until = now + cold_for;
        if is_released && !cold_for.is_zero() {
            self.returning_until = self.returning_until.max(evacuation::slow_until(now, self.cold_until));
        }
    }

    /// Whether the worker has come back into use so recently that its last start is to be waited for.
    pub(super) fn is_held_back(&self, now: Duration) -> bool {
        now < self.start_due && now < self.returning_until
    }
}

/// Whether a lasting run does what it is there for.
fn is_at_work(run: &Run) -> bool {
    run.started.is_some() && run.percent > 0 && !run.is_stopping
}

/// Tasks of a task's step and occurrence that aren't at work, or won't be soon.
fn unavailable(entry: &JobEntry, task: TaskId) -> u32 {
    let is_available = |task: &TaskId| {
        let state = entry.tasks.get(&task.key);
        state.is_some_and(|state| state.is_done || state.runs.iter().any(is_at_work))
    };
    let tasks = tasks_of_step(entry, task.key.occurrence, task.key.step);
    u32::try_from(tasks.iter().filter(|task| !is_available(task)).count()).unwrap_or(u32::MAX)
}
