//! Evacuation of failure domains.
//!
//! An operator takes a domain out of use: none of its workers is a candidate until the request is removed. Lasting
//! runs, and long ones that save checkpoints, move as far as other workers have room; the rest end where they are. No
//! run is stopped before capacity is reserved for its task elsewhere, which no other task may use until the task takes
//! it or the reservation lapses.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::collections::Map;
use chervilledge_policy::id::Name;

use super::agents::tasks_of_step;
use super::jobs::JobEntry;
use super::reservations::AppliedReservation;
use super::task::Run;
use super::{Agent, Cell, Note};
use crate::evacuation::{self, EvacuatedDomains, Held, HoldReason, Standing};
use crate::job::TaskId;
use crate::pace::FULL_PERCENT;

/// Number of workers per run that saves checkpoints and is moved at the same time.
const WORKERS_PER_MOVE: usize = 7;
/// Shortest time between two log entries on the evacuation of a domain.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a domain without any worker is reported as a likely mistake; agents link within a few seconds of
/// a takeover.
const NO_WORKER_WARNING_AFTER: Duration = Duration::from_secs(5);

/// Status of the evacuation of a domain.
#[derive(Clone, Copy, Debug, Default)]
struct EvacuationStatus {
    /// When the request was received.
    since: Duration,
    workers: usize,
    held: Held,
    /// Runs that were last logged, and when.
    last_logged: Option<(Held, Duration)>,
    has_warned: bool,
}

/// State of the evacuations of a cell.
#[derive(Debug, Default)]
pub(crate) struct EvacuationState {
    /// Failure domains in which nothing may start.
    pub(super) domains: EvacuatedDomains,
    /// Tasks that are being moved, with the run that was ordered to stop.
    moves: Map<TaskId, u64>,
    progress: BTreeMap<Name, EvacuationStatus>,
    /// Every worker stands in an evacuated domain, and that was logged.
    are_all_evacuated: bool,
}

/// A run on a worker of an evacuated domain.
struct EvacuatedRun {
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
    /// Known workers of the domain.
    pub workers: usize,
    /// Runs on its workers, by what keeps them there.
    pub held: Held,
}

impl Cell {
    /// Updates the evacuated domains with newer requests and removals.
    pub fn evacuate(&mut self, domains: &EvacuatedDomains, now: Duration) {
        for domain in self.evacuating.domains.merge(domains) {
            let Standing { revision, is_requested } = self.evacuating.domains.standing(&domain);
            let names: Vec<Name> = self.workers_of(&domain).map(|(name, _)| Arc::clone(name)).collect();
            let runs = self.workers_of(&domain).map(|(_, agent)| agent.runs.len()).sum();
            let workers = names.len();
            if is_requested {
                let progress = EvacuationStatus { since: now, workers, ..EvacuationStatus::default() };
                self.evacuating.progress.insert(Arc::clone(&domain), progress);
            } else {
                self.evacuating.progress.remove(&domain);
                for name in &names {
                    if let Some(agent) = self.agents.get_mut(name) {
                        agent.spread_starts_until = evacuation::starts_spread_until(now, agent.cold_until);
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

    /// Evacuated domains, as of the last pass over their runs.
    #[must_use]
    pub fn evacuations(&self) -> Vec<Evacuation> {
        let all = self.evacuating.progress.iter();
        all.map(|(domain, EvacuationStatus { workers, held, .. })| Evacuation {
            domain: Arc::clone(domain),
            workers: *workers,
            held: *held,
        })
        .collect()
    }

    /// Moves the runs that may move off the workers of evacuated domains.
    ///
    /// Must be called after a placement pass, so that capacity taken by waiting tasks isn't counted on.
    pub fn move_evacuated(&mut self, now: Duration) {
        if self.evacuating.progress.is_empty() && self.evacuating.moves.is_empty() {
            return;
        }
        self.forget_finished_moves();
        let mut applied = self.apply_reservations(now);
        let mut held: BTreeMap<Name, Held> = BTreeMap::new();
        let mut remaining = self.remaining_runs();
        remaining.sort_unstable_by_key(|run| (run.unsaved, run.task));
        let moves_max = self.agents.len().div_ceil(WORKERS_PER_MOVE);
        for EvacuatedRun { domain, task, run, unsaved } in remaining {
            let holding = match self.hold_reason(task, run) {
                None if !self.may_start_move(unsaved.is_some(), moves_max) => HoldReason::Moving,
                None => self.try_move(task, run, &mut applied, now),
                Some(holding) => holding,
            };
            held.entry(domain).or_default().count(holding);
        }
        self.revert_reservations(applied);
        self.log_evacuations(&held, now);
    }

    /// Whether a run is on a worker of an evacuated domain.
    pub(super) fn is_evacuated(&self, run: &Run) -> bool {
        self.domain_of(&run.agent).is_some_and(|(_, standing)| standing.is_requested)
    }

    /// Removes finished moves.
    fn forget_finished_moves(&mut self) {
        let is_over = |(task, old_run): (&TaskId, &u64)| self.is_move_over(*task, *old_run);
        let over: Vec<TaskId> =
            self.evacuating.moves.iter().filter(|moved| is_over(*moved)).map(|(task, _)| *task).collect();
        for task in over {
            self.evacuating.moves.remove(&task);
        }
    }

    /// Whether the task needs no run any more, or has a new one, which must be working if it is lasting.
    fn is_move_over(&self, task: TaskId, old_run: u64) -> bool {
        let Some(entry) = self.jobs.get(&task.job).filter(|entry| entry.is_open()) else { return true };
        let Some(state) = entry.tasks.get(&task.key).filter(|state| !state.is_done) else { return true };
        let is_lasting = entry.job.step(task.key).is_some_and(|step| step.lasting);
        state.runs.iter().any(|run| run.number != old_run && (!is_lasting || is_working(run)))
    }

    fn remaining_runs(&self) -> Vec<EvacuatedRun> {
        let mut remaining = Vec::new();
        for domain in self.evacuating.domains.requested() {
            for (_, agent) in self.workers_of(domain) {
                for (task, run) in &agent.runs {
                    let unsaved = self.unsaved_work(*task, *run);
                    remaining.push(EvacuatedRun { domain: Arc::clone(domain), task: *task, run: *run, unsaved });
                }
            }
        }
        remaining
    }

    /// Work of a run since its last checkpoint, in core-milliseconds; `None` for a lasting run.
    fn unsaved_work(&self, task: TaskId, number: u64) -> Option<u64> {
        let step = self.step_of(task).filter(|step| !step.lasting)?;
        let run = self.run(task, number)?;
        let state = self.jobs.get(&task.job)?.tasks.get(&task.key)?;
        let percent = u64::from(state.unsaved_percent(run, step.checkpointing));
        let run_time = self.jobs.get(&task.job)?.run_time(task.key.step);
        let estimate_ms = u64::try_from(run_time.as_millis()).unwrap_or(u64::MAX);
        Some(estimate_ms.saturating_mul(step.resources.processor_millicores).saturating_mul(percent) / 100_000)
    }

    /// What keeps a run where it is; `None` if its job allows a move.
    fn hold_reason(&self, task: TaskId, number: u64) -> Option<HoldReason> {
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
        let is_worth_it = step.checkpointing
            && evacuation::is_worth_moving(
                entry.run_time(task.key.step),
                run.percent,
                run.pace_percent.min(FULL_PERCENT),
            );
        (!is_worth_it).then_some(HoldReason::ShortTask)
    }

    /// Whether another task of the same step and occurrence is being moved.
    fn is_group_moving(&self, task: TaskId) -> bool {
        let group = |task: &TaskId| (task.job, task.key.occurrence, task.key.step);
        self.evacuating.moves.keys().any(|moved| group(moved) == group(&task))
    }

    /// Whether another move may start; only runs that save checkpoints are limited.
    fn may_start_move(&self, is_bounded: bool, moves_max: usize) -> bool {
        let is_counted = |task: &&TaskId| self.step_of(**task).is_some_and(|step| !step.lasting);
        !is_bounded || self.evacuating.moves.keys().filter(is_counted).count() < moves_max
    }

    /// Stops a run if a worker elsewhere has room for its task now, and reserves that capacity.
    fn try_move(
        &mut self,
        task: TaskId,
        number: u64,
        applied: &mut Vec<AppliedReservation>,
        now: Duration,
    ) -> HoldReason {
        // The task wouldn't be started while unseen runs of a predecessor may go on.
        if !self.unresolved.is_empty() {
            return HoldReason::NoRoom;
        }
        let is_filling = self.step_of(task).is_some_and(|step| step.filling);
        let choice = if is_filling { self.undisturbing_worker(task, now) } else { self.choose(task, None, now) };
        let Some(target) = choice else { return HoldReason::NoRoom };
        self.reserve(task, &target, applied, now);
        self.evacuating.moves.insert(task, number);
        self.counters.evacuated += 1;
        self.stop_runs(task, "evacuated", |run| run.number == number);
        HoldReason::Moving
    }

    /// Logs the progress of the evacuations, and conditions that need the operator's attention.
    fn log_evacuations(&mut self, held: &BTreeMap<Name, Held>, now: Duration) {
        let domains: Vec<Name> = self.evacuating.progress.keys().cloned().collect();
        for domain in domains {
            let workers = self.workers_of(&domain).count();
            let held = held.get(&domain).copied().unwrap_or_default();
            let is_known = self.unresolved.is_empty();
            let Some(progress) = self.evacuating.progress.get_mut(&domain) else { continue };
            (progress.workers, progress.held) = (workers, held);
            let is_due =
                progress.last_logged.is_none_or(|(logged, at)| logged != held && now >= at + PROGRESS_INTERVAL);
            if is_due {
                progress.last_logged = Some((held, now));
                self.notes.push(Note::EvacuationProgress { domain: Arc::clone(&domain), held });
            }
            let has_no_worker = workers == 0 && is_known && now >= progress.since + NO_WORKER_WARNING_AFTER;
            if has_no_worker && !std::mem::replace(&mut progress.has_warned, true) {
                self.notes.push(Note::EvacuationDoubtful { domain: Some(domain), reason: "no_worker" });
            }
        }
        let mut workers = self.agents.values().filter_map(|agent| agent.worker.as_ref()).peekable();
        let are_all_evacuated = workers.peek().is_some()
            && workers.all(|worker| self.evacuating.domains.is_evacuated(&worker.failure_domain));
        if are_all_evacuated && !self.evacuating.are_all_evacuated {
            self.notes.push(Note::EvacuationDoubtful { domain: None, reason: "no_other_domain" });
        }
        self.evacuating.are_all_evacuated = are_all_evacuated;
    }

    /// Agents whose worker is in a domain.
    fn workers_of<'a>(&'a self, domain: &'a Name) -> impl Iterator<Item = (&'a Name, &'a Agent)> {
        let is_of_domain = |agent: &Agent| agent.worker.as_ref().is_some_and(|worker| worker.failure_domain == *domain);
        self.agents.iter().filter(move |(_, agent)| is_of_domain(agent))
    }
}

impl Agent {
    /// Stores how long the worker reports to remain slow.
    pub(super) fn report_cold(&mut self, cold_for: Duration, is_released: bool, now: Duration) {
        self.cold_until = now + cold_for;
        if is_released && !cold_for.is_zero() {
            self.spread_starts_until = self.spread_starts_until.max(evacuation::slow_until(now, self.cold_until));
        }
    }

    /// Whether starts are still spread out after the worker came back into use, and its last one is too recent.
    pub(super) fn is_start_deferred(&self, now: Duration) -> bool {
        now < self.next_start && now < self.spread_starts_until
    }
}

/// Whether a lasting run does its work.
pub(super) fn is_working(run: &Run) -> bool {
    run.started.is_some() && run.percent > 0 && !run.is_stopping
}

/// Number of tasks in the step and occurrence without a working run, or whose run is about to stop.
fn unavailable(entry: &JobEntry, task: TaskId) -> u32 {
    let is_available = |task: &TaskId| {
        let state = entry.tasks.get(&task.key);
        state.is_some_and(|state| state.is_done || state.runs.iter().any(is_working))
    };
    let tasks = tasks_of_step(entry, task.key.occurrence, task.key.step);
    u32::try_from(tasks.iter().filter(|task| !is_available(task)).count()).unwrap_or(u32::MAX)
}
