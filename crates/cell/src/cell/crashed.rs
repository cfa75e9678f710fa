//! Crashes of workers, and the runs that may have caused them.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::id::Name;

use super::task::Run;
use super::{Agent, Cell, Note};
use crate::crashes::{self, Blame, Crash, CrashHistory, SUSPECT_AGE_MAX, Verdict, Victim};
use crate::job::{TaskId, TaskKey};
use crate::progress::{Outcome, Progress};
use crate::worker::{CrashReport, CrashedRun};

/// Tasks of a job whose crashes are stored, so that the row stays small.
const STORED_TASKS_MAX: usize = 200;
/// Penalty per run on the worker for a suspect task, in thousandths of a core: the next crash ends these runs as well.
const BYSTANDER_PENALTY: i64 = 10_000;
/// Penalty for a suspect task on a worker on which another run has just started, in thousandths of a core: more than
/// that of any other reason to avoid a worker, as a crash couldn't be put down to one of the two.
const RECENT_START_PENALTY: i64 = 1_000_000;

/// Time around a crash in which others count as having the same cause; agents notice a crash within 0.4 s.
const COMMON_CAUSE_PERIOD: Duration = Duration::from_millis(400);
/// Time for which a crash without a suspect lets others count as unexplained too.
const UNEXPLAINED_PERIOD: Duration = Duration::from_mins(1);
/// Other crashes in that time from which a common cause is assumed, in a small cell.
const COMMON_WORKERS_MIN: usize = 2;
/// The same in a large cell, as the number of agents per such crash.
const AGENTS_PER_COMMON_WORKER: usize = 10;

/// Crashes that others are compared with, and the decisions that wait for that.
#[derive(Debug, Default)]
pub(super) struct CrashState {
    recent: Vec<RecentCrash>,
    /// When a worker last crashed on which no run had just started.
    unexplained_at: Option<Duration>,
    pending: Vec<PendingVerdict>,
}

#[derive(Clone, Debug)]
struct RecentCrash {
    /// When it was reported.
    at: Duration,
    /// Tasks that were suspect in it.
    accused: Vec<TaskId>,
}

/// Task that is given up unless its last crash has another cause.
#[derive(Clone, Debug)]
struct PendingVerdict {
    task: TaskId,
    /// When the crash was reported.
    crashed_at: Duration,
}

/// Run of a suspect task that hasn't shown yet that its start is harmless.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Trial {
    task: TaskId,
    run: u64,
    /// When it will have shown that; `None` until the start is confirmed.
    until: Option<Duration>,
}

impl Agent {
    pub(crate) fn add_trial(&mut self, task: TaskId, run: u64, until: Option<Duration>) {
        self.end_trial(task, run);
        self.trials.push(Trial { task, run, until });
    }

    pub(crate) fn end_trial(&mut self, task: TaskId, run: u64) {
        self.trials.retain(|trial| (trial.task, trial.run) != (task, run));
    }

    /// Cost of the risk that a start on the worker brings, in thousandths of a core; `None` where a crash couldn't be
    /// put down to one task.
    pub(super) fn crash_risk(&self, is_suspect: bool, now: Duration) -> Option<i64> {
        let has_trial = self.trials.iter().any(|trial| trial.until.is_none_or(|until| now < until));
        if has_trial {
            return None;
        }
        if !is_suspect {
            return Some(0);
        }
        let bystanders = BYSTANDER_PENALTY * i64::try_from(self.runs.len()).unwrap_or(i64::MAX / 2_000_000);
        let is_other_young = now < self.last_start + SUSPECT_AGE_MAX;
        Some(bystanders + if is_other_young { RECENT_START_PENALTY } else { 0 })
    }
}

impl Cell {
    /// Records that a life of an agent's worker has ended in a crash, and which runs it had.
    ///
    /// A report is repeated until it is settled, and may come from a former placer's time.
    pub fn worker_crashed(&mut self, name: &Name, report: &CrashReport, now: Duration) {
        self.crash_runs(name, &report.runs, now);
        if let Some(agent) = self.agents.get_mut(name) {
            agent.crashed_life = Some(report.life.clone());
        }
        let jobs = report.runs.iter().map(|run| run.task.job);
        self.writes.add_crash(Arc::clone(name), report.life.clone(), jobs);
    }

    /// Records the crash of a worker whose agent doesn't report crashes, or didn't see this one.
    pub fn crash_unreported(&mut self, name: &Name, now: Duration) {
        let Some(agent) = self.agents.get(name).filter(|agent| agent.leaving_since.is_none()) else { return };
        // When the worker crashed isn't known, nor whether a run was still there, only until when each has made progress.
        let crashed_run = |(task, number): &(TaskId, u64)| {
            let lived = |run: &Run| Some(run.progressed_at.saturating_sub(run.started?));
            let age = self.run(*task, *number).and_then(lived).unwrap_or_default();
            CrashedRun { task: *task, run: *number, age, is_unconfirmed: true }
        };
        let runs: Vec<CrashedRun> = agent.runs.iter().map(crashed_run).collect();
        self.crash_runs(name, &runs, now);
    }

    fn crash_runs(&mut self, name: &Name, runs: &[CrashedRun], now: Duration) {
        let victims: Vec<Victim> =
            runs.iter().map(|run| Victim { age: run.age, is_suspect: self.is_suspect(run.task) }).collect();
        let blames = crashes::blames(&victims);
        let accused = runs.iter().zip(&blames).filter(|(_, blame)| **blame != Blame::Bystander);
        let accused = accused.map(|(run, _)| run.task).collect();
        self.crashes.recent.push(RecentCrash { at: now, accused });
        if victims.iter().all(|victim| victim.age > SUSPECT_AGE_MAX) {
            self.crashes.unexplained_at = Some(now);
        }
        for (run, blame) in runs.iter().zip(blames) {
            let crash = Crash { age: run.age, blame, is_unconfirmed: run.is_unconfirmed };
            if self.jobs.contains_key(&run.task.job) {
                self.crash_run(name, run.task, run.run, crash, now);
            } else {
                self.keep_unread_crash(name, run.task, run.run, crash, now);
            }
        }
    }

    /// Records the crash of a worker under a run, and gives the task up if it is to blame too often.
    pub(crate) fn crash_run(&mut self, name: &Name, task: TaskId, run: u64, crash: Crash, now: Duration) {
        self.open_reported_occurrence(task, now);
        let Some(entry) = self.jobs.get_mut(&task.job).filter(|entry| entry.is_open()) else { return };
        let Some(state) = entry.tasks.get_mut(&task.key).filter(|state| !state.is_done) else { return };
        if !state.crashes.add(run, crash) {
            return;
        }
        let (crashes, verdict) = (state.crashes.len(), state.crashes.verdict());
        if verdict == Verdict::Doubtful {
            state.not_before = now + COMMON_CAUSE_PERIOD;
            self.crashes.pending.push(PendingVerdict { task, crashed_at: now });
        }
        if store_crashes(&mut entry.progress, task.key, &state.crashes) {
            self.mark_dirty(task.job);
        }
        self.counters.crashed += 1;
        self.notes.push(Note::RunCrashed { task, run, agent: Arc::clone(name), crash, crashes });
        if verdict == Verdict::GivenUp {
            self.give_up(task, now);
        }
    }

    /// Decides on tasks that are to blame for a crash unless it has another cause.
    pub(super) fn decide_verdicts(&mut self, now: Duration) {
        self.crashes.recent.retain(|crash| now < crash.at + COMMON_CAUSE_PERIOD * 3);
        let due = self.crashes.pending.extract_if(.., |pending| now >= pending.crashed_at + COMMON_CAUSE_PERIOD);
        for PendingVerdict { task, crashed_at } in due.collect::<Vec<_>>() {
            let is_other = |crash: &&RecentCrash| {
                !crash.accused.contains(&task) && crash.at.abs_diff(crashed_at) <= COMMON_CAUSE_PERIOD
            };
            let common = self.crashes.recent.iter().filter(is_other).count();
            let is_common = common >= COMMON_WORKERS_MIN.max(self.agents.len() / AGENTS_PER_COMMON_WORKER);
            let is_unexplained = self.crashes.unexplained_at.is_some_and(|at| now < at + UNEXPLAINED_PERIOD);
            let Some(entry) = self.jobs.get_mut(&task.job) else { continue };
            let Some(state) = entry.tasks.get_mut(&task.key) else { continue };
            let reason = if is_common {
                state.crashes.excuse_last();
                store_crashes(&mut entry.progress, task.key, &state.crashes);
                "common_cause"
            } else if is_unexplained && !state.crashes.is_certain() {
                "unexplained_crashes"
            } else {
                self.give_up(task, now);
                continue;
            };
            self.notes.push(Note::CrashExcused { task, reason, workers: common });
        }
    }

    fn give_up(&mut self, task: TaskId, now: Duration) {
        let state =
            self.jobs.get(&task.job).filter(|entry| entry.is_open()).and_then(|entry| entry.tasks.get(&task.key));
        let Some(crashes) = state.filter(|state| !state.is_done).map(|state| state.crashes.len()) else { return };
        self.notes.push(Note::TaskGivenUp { task, crashes });
        self.end_job(task.job, Outcome::Failed, Some(task), now);
    }

    /// Forgets the crashes under a task that a run of it has refuted.
    pub(crate) fn clear_crashes(&mut self, task: TaskId, lived: Duration) {
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        let Some(state) = entry.tasks.get_mut(&task.key).filter(|state| !state.crashes.is_empty()) else { return };
        state.crashes.clear_after(lived);
        store_crashes(&mut entry.progress, task.key, &state.crashes);
    }

    pub(crate) fn is_suspect(&self, task: TaskId) -> bool {
        let state = self.jobs.get(&task.job).and_then(|entry| entry.tasks.get(&task.key));
        state.is_some_and(|state| state.crashes.is_suspect())
    }

    /// Notes that the start of a suspect run is confirmed.
    pub(crate) fn confirm_trial(&mut self, name: &Name, task: TaskId, run: u64, now: Duration) {
        if self.is_suspect(task)
            && let Some(agent) = self.agents.get_mut(name)
        {
            agent.add_trial(task, run, Some(now + SUSPECT_AGE_MAX));
        }
    }

    /// Whether the crash under a run is known.
    pub(crate) fn is_crash_known(&self, task: TaskId, run: u64) -> bool {
        let state = self.jobs.get(&task.job).and_then(|entry| entry.tasks.get(&task.key));
        state.is_some_and(|state| state.crashes.contains(run))
    }
}

/// Updates the stored crashes under a task; returns whether they are stored. A single crash that nobody is suspect of
/// isn't worth a write.
fn store_crashes(progress: &mut Progress, key: TaskKey, crashes: &CrashHistory) -> bool {
    if let Some(stored) = progress.crashes.get_mut(&key) {
        stored.clone_from(crashes);
        return true;
    }
    let may_store = (crashes.len() > 1 || crashes.is_suspect()) && progress.crashes.len() < STORED_TASKS_MAX;
    if may_store {
        progress.crashes.insert(key, crashes.clone());
    }
    may_store
}
