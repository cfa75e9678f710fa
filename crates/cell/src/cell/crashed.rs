//! Crashes of workers, and the runs that may have caused them.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::id::Name;

use super::placing::group;
use super::task::{Run, Task};
use super::{Agent, Cell, Note};
use crate::crashes::{self, Blame, Crash, CrashHistory, SUSPECT_AGE_MAX, Verdict, Victim};
use crate::job::{JobId, TaskId, TaskKey};
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

/// Time for which crashes are kept to be put down to a task that is given up later.
const RECENT_PERIOD: Duration = Duration::from_mins(1);
/// Number of crashes that are kept for that.
const RECENT_CRASHES_MAX: usize = 256;
/// Time without a crash of any worker after which a task is started that is given up at its next crash.
const CALM_PERIOD: Duration = Duration::from_secs(6);
/// Longest time for which such a task waits for that.
pub(super) const CALM_WAIT_MAX: Duration = Duration::from_secs(30);
/// The same for a lasting task: users take it as lost if it waits beside room for 3 s.
const LASTING_CALM_WAIT_MAX: Duration = Duration::from_secs(2);
/// Penalty for a start beside a run of a task with repeated crashes, in thousandths of a core.
const REPEATED_PENALTY: i64 = 10_000;
/// Factor of that penalty for each crash that both tasks have: the next one couldn't be put down to one of them.
const REPEATED_FACTOR: i64 = 4;
/// Crashes of the task from which tasks without crashes avoid its worker as well.
const LIKELY_CRASHES_MIN: usize = 3;

/// Crashes that others are compared with, and the decisions that wait for that.
#[derive(Debug, Default)]
pub(super) struct CrashState {
    /// In the order in which they were recorded.
    recent: VecDeque<RecentCrash>,
    /// When a worker last crashed.
    last_at: Option<Duration>,
    /// When a worker last crashed on which no run had just started.
    unexplained_at: Option<Duration>,
    pending: Vec<PendingVerdict>,
}

#[derive(Clone, Debug)]
struct RecentCrash {
    /// When it was recorded.
    at: Duration,
    /// The crash was reported when it happened, so that it can be compared with others.
    is_timely: bool,
    /// Whether it has been compared with all others of its time.
    is_compared: bool,
    /// Runs that the worker had.
    runs: Vec<(TaskId, u64)>,
    /// Tasks that were suspect in it.
    accused: Vec<TaskId>,
}

impl RecentCrash {
    fn has_victim(&self, task: TaskId) -> bool {
        self.runs.iter().any(|(victim, _)| *victim == task)
    }
}

/// Task that is given up unless its last crash has another cause.
#[derive(Clone, Debug)]
struct PendingVerdict {
    task: TaskId,
    /// When the crash was recorded, if it can be compared with others.
    crashed_at: Option<Duration>,
    /// When the verdict is decided.
    due: Duration,
}

/// Run of a suspect task that hasn't shown yet that its start is harmless.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Trial {
    task: TaskId,
    run: u64,
    /// When it will have shown that; `None` until the start is confirmed.
    until: Option<Duration>,
}

/// Crashes under the task of a run, which may be one that crashes workers at any age.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RepeatedCrashes {
    /// Number of those without another cause.
    unexcused: usize,
    /// The task is given up at its next crash, whatever the cause.
    is_last_attempt: bool,
}

impl RepeatedCrashes {
    /// The crashes under a task; `None` if there are too few to keep it apart from others.
    pub(crate) fn of(crashes: &CrashHistory) -> Option<Self> {
        let (unexcused, is_last_attempt) = (crashes.repeated(), crashes.is_last_attempt());
        (unexcused > 0 || is_last_attempt).then_some(Self { unexcused, is_last_attempt })
    }
}

impl Agent {
    pub(crate) fn add_repeated(&mut self, task: TaskId, run: u64, repeated: Option<RepeatedCrashes>) {
        if let Some(repeated) = repeated {
            self.repeated.insert((task, run), repeated);
        }
    }

    pub(crate) fn add_trial(&mut self, task: TaskId, run: u64, until: Option<Duration>) {
        self.end_trial(task, run);
        self.trials.push(Trial { task, run, until });
    }

    pub(crate) fn end_trial(&mut self, task: TaskId, run: u64) {
        self.trials.retain(|trial| (trial.task, trial.run) != (task, run));
    }

    /// Cost of the risk that a start on the worker brings, in thousandths of a core; `None` where a crash couldn't be
    /// put down to one task. `crashes` are those under the task that starts.
    pub(super) fn crash_risk(&self, crashes: &CrashHistory, now: Duration) -> Option<i64> {
        let has_trial = self.trials.iter().any(|trial| trial.until.is_none_or(|until| now < until));
        if has_trial {
            return None;
        }
        let (is_suspect, repeated) = (crashes.is_suspect(), crashes.repeated());
        if !is_suspect && repeated == 0 {
            let is_likely = self.repeated.values().any(|other| other.unexcused >= LIKELY_CRASHES_MIN);
            return Some(if is_likely { REPEATED_PENALTY } else { 0 });
        }
        let penalty = |other: &RepeatedCrashes| {
            let common = u32::try_from(repeated.min(other.unexcused)).unwrap_or(u32::MAX);
            REPEATED_PENALTY.saturating_mul(REPEATED_FACTOR.saturating_pow(common))
        };
        let beside = self.repeated.values().map(penalty).fold(0, i64::saturating_add);
        let bystanders = BYSTANDER_PENALTY * i64::try_from(self.runs.len()).unwrap_or(i64::MAX / 2_000_000);
        let is_other_young = is_suspect && now < self.last_start + SUSPECT_AGE_MAX;
        Some(beside.saturating_add(bystanders + if is_other_young { RECENT_START_PENALTY } else { 0 }))
    }

    /// Whether the worker runs a task that is given up at its next crash, as the one with these crashes is.
    pub(super) fn has_last_attempt(&self, crashes: &CrashHistory) -> bool {
        crashes.is_last_attempt() && self.repeated.values().any(|other| other.is_last_attempt)
    }
}

impl Cell {
    /// Records that a life of an agent's worker has just ended in a crash, and which runs it had.
    pub fn worker_crashed(&mut self, name: &Name, report: &CrashReport, now: Duration) {
        self.record_report(name, report, true, now);
    }

    /// Records a crash that the agent reports again. A report is repeated until it is settled, and may come from a former
    /// placer's time.
    pub(crate) fn worker_had_crashed(&mut self, name: &Name, report: &CrashReport, now: Duration) {
        self.record_report(name, report, false, now);
    }

    fn record_report(&mut self, name: &Name, report: &CrashReport, is_timely: bool, now: Duration) {
        self.crash_runs(name, &report.runs, is_timely, now);
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
        self.crash_runs(name, &runs, true, now);
    }

    fn crash_runs(&mut self, name: &Name, runs: &[CrashedRun], is_timely: bool, now: Duration) {
        let victims: Vec<Victim> =
            runs.iter().map(|run| Victim { age: run.age, is_suspect: self.is_suspect(run.task) }).collect();
        let blames = crashes::blames(&victims);
        let accused = runs.iter().zip(&blames).filter(|(_, blame)| **blame != Blame::Bystander);
        let accused = accused.map(|(run, _)| run.task).collect();
        if self.crashes.recent.len() == RECENT_CRASHES_MAX {
            self.crashes.recent.pop_front();
        }
        self.crashes.recent.push_back(RecentCrash {
            at: now,
            is_timely,
            is_compared: !is_timely,
            runs: runs.iter().map(|run| (run.task, run.run)).collect(),
            accused,
        });
        self.crashes.last_at = Some(now);
        if victims.iter().all(|victim| victim.age > SUSPECT_AGE_MAX) {
            self.crashes.unexplained_at = Some(now);
        }
        for (run, blame) in runs.iter().zip(blames) {
            let crash = Crash { age: run.age, blame, is_unconfirmed: run.is_unconfirmed, is_excused: false };
            if self.jobs.contains_key(&run.task.job) {
                self.crash_run(name, (run.task, run.run), crash, is_timely, now);
            } else {
                self.keep_unread_crash(name, run.task, run.run, crash, now);
            }
        }
    }

    /// Records the crash of a worker under a run, and gives the task up if it is to blame too often.
    ///
    /// `is_timely` tells that it has just happened, so that it can be compared with others.
    pub(crate) fn crash_run(
        &mut self,
        name: &Name,
        (task, run): (TaskId, u64),
        crash: Crash,
        is_timely: bool,
        now: Duration,
    ) {
        self.open_reported_occurrence(task, now);
        let Some(entry) = self.jobs.get_mut(&task.job).filter(|entry| entry.is_open()) else { return };
        let Some(state) = entry.tasks.get_mut(&task.key).filter(|state| !state.is_done) else { return };
        if !state.crashes.add(run, crash) {
            return;
        }
        let (crashes, verdict) = (state.crashes.len(), state.crashes.verdict());
        if verdict == Verdict::Doubtful {
            let due = now + COMMON_CAUSE_PERIOD;
            state.not_before = due;
            self.crashes.pending.push(PendingVerdict { task, crashed_at: is_timely.then_some(now), due });
        }
        if store_crashes(&mut entry.progress, task.key, &state.crashes) {
            self.mark_dirty(task.job);
        }
        self.counters.crashed += 1;
        self.notes.push(Note::RunCrashed { task, run, agent: Arc::clone(name), crash, crashes });
        if verdict == Verdict::GivenUp {
            self.give_up_unless_expected(task, now);
        }
    }

    /// Gives a task up with too many crashes in a row, unless workers crash so often that any task would have met them.
    fn give_up_unless_expected(&mut self, task: TaskId, now: Duration) {
        let Some(state) = self.task(task) else { return };
        let is_expected = self.are_expected(task, &state.crashes, now);
        if state.crashes.is_always_young() || !is_expected {
            self.give_up(task, now);
        } else {
            self.notes.push(Note::CrashExcused { task, reason: "frequent_crashes", workers: 0 });
        }
    }

    /// Whether a lasting task would have met so many crashes by chance, as often as workers crash now.
    fn are_expected(&self, task: TaskId, crashes: &CrashHistory, now: Duration) -> bool {
        let is_lasting = self.step_of(task).is_some_and(|step| step.lasting);
        is_lasting && !crashes.are_improbable(self.other_crash_rate(task, crashes, now))
    }

    /// Crashes a second of a worker, without those under a task, that have a common cause, since the first of the crashes
    /// in a row under the task began to run.
    fn other_crash_rate(&self, task: TaskId, crashes: &CrashHistory, now: Duration) -> f64 {
        let is_held = |crash: &&RecentCrash| crash.runs.iter().any(|run| run.0 == task && crashes.contains(run.1));
        let first = self.crashes.recent.iter().find(is_held);
        let since =
            first.map_or(now.saturating_sub(RECENT_PERIOD), |crash| crash.at.saturating_sub(crashes.first_age()));
        let is_other =
            |crash: &&RecentCrash| crash.at >= since && !crash.has_victim(task) && self.is_wave(crash, task.job);
        let others = u32::try_from(self.crashes.recent.iter().filter(is_other).count()).unwrap_or(u32::MAX);
        let workers = self.agents.values().filter(|agent| agent.worker.is_some()).count();
        let worker_time = now.saturating_sub(since) * u32::try_from(workers).unwrap_or(u32::MAX).max(1);
        f64::from(others) / worker_time.as_secs_f64().max(1.0)
    }

    /// Whether a crash has a common cause with others, one of which at least can't be put down to a job.
    fn is_wave(&self, crash: &RecentCrash, job: JobId) -> bool {
        let is_of_job = |crash: &RecentCrash| crash.runs.iter().any(|(task, _)| task.job == job);
        self.is_common_cause(self.crashes_beside(crash)) && self.common_crashes(crash.at, is_of_job) > 0
    }

    /// Decides on tasks that are to blame for a crash unless it has another cause.
    pub(super) fn decide_verdicts(&mut self, now: Duration) {
        self.crashes.recent.retain(|crash| now < crash.at + RECENT_PERIOD);
        self.excuse_common_causes(now);
        let due = self.crashes.pending.extract_if(.., |pending| now >= pending.due);
        let mut due: Vec<PendingVerdict> = due.collect();
        // A crash under several tasks is put down to the one with the most crashes.
        due.sort_by_cached_key(|pending| Reverse(self.task(pending.task).map_or(0, |state| state.crashes.unexcused())));
        for PendingVerdict { task, crashed_at, .. } in due {
            let common = |at: Duration| self.common_crashes(at, |crash| crash.accused.contains(&task));
            let common = crashed_at.map_or(0, common);
            let is_shared = self.is_shared(task);
            let is_expected = self.task(task).is_some_and(|state| self.are_expected(task, &state.crashes, now));
            let is_common = self.is_common_cause(common);
            let is_unexplained = self.crashes.unexplained_at.is_some_and(|at| now < at + UNEXPLAINED_PERIOD);
            let Some(state) = self.task_mut(task).filter(|state| !state.is_done) else { continue };
            if is_common {
                state.crashes.excuse_last();
            }
            let crashes = state.crashes.clone();
            self.update_stored_crashes(task);
            let reason = if crashes.verdict() == Verdict::Tolerated {
                if is_common { "common_cause" } else { "other_task" }
            } else if is_shared {
                "shared"
            } else if !crashes.is_suspect_again() && is_expected {
                "frequent_crashes"
            } else if crashes.is_suspect_again() && is_unexplained && !crashes.is_certain() {
                "unexplained_crashes"
            } else {
                self.give_up(task, now);
                continue;
            };
            self.notes.push(Note::CrashExcused { task, reason, workers: common });
        }
    }

    /// Puts crashes down to a common cause when enough other workers crashed at the same time.
    fn excuse_common_causes(&mut self, now: Duration) {
        let is_due = |crash: &RecentCrash| !crash.is_compared && now >= crash.at + COMMON_CAUSE_PERIOD;
        let mut excused = Vec::new();
        for crash in self.crashes.recent.iter().filter(|crash| is_due(crash)) {
            if !self.is_common_cause(self.crashes_beside(crash)) {
                continue;
            }
            let others = |task: TaskId| self.common_crashes(crash.at, |other| self.has_part(other, task));
            excused.extend(crash.runs.iter().filter(|(task, _)| self.is_common_cause(others(*task))).copied());
        }
        self.crashes.recent.iter_mut().filter(|crash| is_due(crash)).for_each(|crash| crash.is_compared = true);
        for (task, run) in excused {
            self.excuse_crash(task, run);
        }
    }

    /// Whether a task, or another member of its gang, was on the worker that crashed.
    fn has_part(&self, crash: &RecentCrash, task: TaskId) -> bool {
        let is_gang = self.step_of(task).is_some_and(|step| step.gang);
        crash.has_victim(task) || (is_gang && crash.runs.iter().any(|(victim, _)| group(*victim) == group(task)))
    }

    /// Whether another task is as much to blame for the last crash under a task, whose ages tell nothing.
    fn is_shared(&self, task: TaskId) -> bool {
        let Some(state) = self.task(task).filter(|state| !state.crashes.is_suspect_again()) else { return false };
        let is_as_likely = |other: TaskId| {
            let other = self.task(other).filter(|other| !other.is_done);
            other.is_some_and(|other| other.crashes.unexcused() >= state.crashes.unexcused())
        };
        let last = self.crashes.recent.iter().rev().find(|crash| crash.has_victim(task));
        last.is_some_and(|crash| crash.runs.iter().any(|(other, _)| other.job != task.job && is_as_likely(*other)))
    }

    /// Number of crashes at about the same time as one that was recorded at `at`, but for the `excluded` ones.
    fn common_crashes(&self, at: Duration, excluded: impl Fn(&RecentCrash) -> bool) -> usize {
        let is_near = |crash: &&RecentCrash| crash.is_timely && crash.at.abs_diff(at) <= COMMON_CAUSE_PERIOD;
        self.crashes.recent.iter().filter(is_near).filter(|crash| !excluded(crash)).count()
    }

    /// Number of other crashes at about the same time.
    fn crashes_beside(&self, crash: &RecentCrash) -> usize {
        self.common_crashes(crash.at, |other| std::ptr::eq(other, crash))
    }

    /// Whether so many other crashes at the same time have the same cause.
    fn is_common_cause(&self, others: usize) -> bool {
        others >= COMMON_WORKERS_MIN.max(self.agents.len() / AGENTS_PER_COMMON_WORKER)
    }

    fn excuse_crash(&mut self, task: TaskId, run: u64) {
        if let Some(state) = self.task_mut(task)
            && state.crashes.excuse(run)
        {
            self.update_stored_crashes(task);
        }
    }

    /// Updates the stored crashes under a task; the change needs no write of its own.
    fn update_stored_crashes(&mut self, task: TaskId) {
        let Some(entry) = self.jobs.get_mut(&task.job).filter(|entry| entry.is_open()) else { return };
        let Some(state) = entry.tasks.get(&task.key).filter(|state| !state.is_done) else { return };
        store_crashes(&mut entry.progress, task.key, &state.crashes);
    }

    fn give_up(&mut self, task: TaskId, now: Duration) {
        let state =
            self.jobs.get(&task.job).filter(|entry| entry.is_open()).and_then(|entry| entry.tasks.get(&task.key));
        let Some(crashes) = state.filter(|state| !state.is_done).map(|state| state.crashes.len()) else { return };
        self.notes.push(Note::TaskGivenUp { task, crashes });
        self.end_job(task.job, Outcome::Failed, Some(task), now);
        let explained = self.crashes.recent.iter().filter(|crash| crash.has_victim(task));
        let others = explained.flat_map(|crash| {
            let is_accused = crash.accused.contains(&task);
            crash.runs.iter().map(move |(other, run)| (*other, *run, is_accused))
        });
        for (other, run, is_accused) in others.collect::<Vec<_>>() {
            self.excuse_crash(other, run);
            // A lasting task meets every crash of its worker; one at the start of a task that is given up is explained.
            let is_lasting = self.step_of(other).is_some_and(|step| step.lasting);
            if is_accused && is_lasting && self.task_mut(other).is_some_and(|state| state.crashes.forget_bystander(run))
            {
                self.update_stored_crashes(other);
            }
        }
    }

    /// Whether the task isn't started yet since it would be given up at its next crash: that one must be its own.
    pub(super) fn awaits_calm(&self, state: &Task, is_lasting: bool, now: Duration) -> bool {
        let longest = if is_lasting { LASTING_CALM_WAIT_MAX } else { CALM_WAIT_MAX };
        state.crashes.is_last_attempt()
            && now < state.ready_since + longest
            && self.crashes.last_at.is_some_and(|at| now < at + CALM_PERIOD)
    }

    /// Forgets the crashes under a task that a run of it has refuted.
    pub(crate) fn clear_crashes(&mut self, task: TaskId, lived: Duration) {
        if let Some(state) = self.task_mut(task).filter(|state| !state.crashes.is_empty()) {
            state.crashes.clear_after(lived);
            self.update_stored_crashes(task);
        }
    }

    pub(crate) fn is_suspect(&self, task: TaskId) -> bool {
        self.task(task).is_some_and(|state| state.crashes.is_suspect())
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

/// Updates the stored crashes under a task; returns whether they are stored.
fn store_crashes(progress: &mut Progress, key: TaskKey, crashes: &CrashHistory) -> bool {
    if crashes.is_empty() {
        return progress.crashes.remove(&key).is_some();
    }
    if !progress.crashes.contains_key(&key) && progress.crashes.len() >= STORED_TASKS_MAX {
        let least = progress.crashes.iter().min_by_key(|(_, stored)| stored.len());
        let Some(replaced) = least.filter(|(_, stored)| stored.len() < crashes.len()).map(|(key, _)| *key) else {
            return false;
        };
        progress.crashes.remove(&replaced);
    }
    progress.crashes.insert(key, crashes.clone());
    true
}
