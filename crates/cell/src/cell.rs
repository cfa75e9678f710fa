//! State of a cell, as held by its placer.
//!
//! The placer feeds in what it reads from rows and receives from agents and callers, and carries out the resulting
//! [`Action`]s and [`Write`](writes::Write)s.

mod agents;
mod backlog;
mod checkpoints;
mod crashed;
mod ends;
mod evacuating;
mod filling;
mod headroom;
mod jobs;
mod lasting;
mod overdue;
mod placing;
mod preempt;
mod reservations;
mod restarts;
mod run_times;
mod runs;
mod stragglers;
mod task;
mod unread;
mod urgencies;
pub mod writes;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::collections::{Map, Set};
use chervilledge_policy::id::Name;

pub use self::agents::{Contact, Inventory};
use self::backlog::PoolKey;
use self::checkpoints::CheckpointSelection;
pub use self::checkpoints::UnsavedWork;
use self::crashed::{CrashState, RepeatedCrashes, Trial};
pub use self::evacuating::Evacuation;
use self::evacuating::EvacuationState;
pub use self::filling::FillingUsage;
use self::jobs::JobEntry;
use self::lasting::LastingState;
pub use self::lasting::{CapacityWait, LastingWaits, RuledOut, Suitability, WaitReason};
use self::overdue::OverdueState;
use self::preempt::PreemptionState;
use self::reservations::Reservation;
use self::restarts::RestartState;
pub use self::restarts::{RestartCounts, RestartingTask};
use self::unread::UnreadReports;
pub use self::urgencies::UrgencyChanges;
use self::writes::Writes;
use crate::admission::{Backlog, RateMeter};
use crate::configuration::{Configuration, Queue};
use crate::crashes::Crash;
use crate::evacuation::Held;
use crate::health::Health;
use crate::interference::{Effects, Evidence, Interference, Pair};
use crate::job::{JobId, JobState, TaskId, TaskKey};
use crate::packing::Load;
use crate::run_time::EstimateAccuracy;
use crate::worker::{Life, StartOrder, Worker};

/// Weight of a former placer's evidence on image pairs: a few new observations outweigh it.
const RESTORED_WEIGHT: f64 = 0.25;

/// Run numbers of a task that are reserved for one term.
const RUNS_PER_TERM: u64 = 10_000;

/// Order from the placer to an agent.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a run.
    Start {
        /// Agent that receives the order.
        agent: Name,
        /// Life of its worker that the order is for.
        life: Life,
        /// The order.
        order: StartOrder,
    },
    /// Stop a run, or make sure that it never starts.
    Stop {
        /// Agent that receives the order.
        agent: Name,
        /// Life of its worker that the order is for.
        life: Life,
        /// Task of the run.
        task: TaskId,
        /// Number of the run.
        run: u64,
        /// Reason, for the log.
        reason: &'static str,
    },
    /// Let the worker forget reported ends.
    Settle {
        /// Agent that receives the order.
        agent: Name,
        /// Life of its worker that the order is for.
        life: Life,
        /// Every end up to this number is durable.
        cursor: u64,
    },
    /// Let the agent forget a reported crash, which is durable.
    SettleCrash {
        /// Agent that receives the order.
        agent: Name,
        /// Life of its worker that ended in the crash.
        life: Life,
    },
}

/// Decision or observation for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// A task was assigned to a worker.
    Placed {
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: u64,
        /// Agent of the worker.
        agent: Name,
        /// Age of the job.
        job_age: Duration,
        /// This placer has placed no other task of the job.
        is_first: bool,
        /// Tasks that were waiting for capacity at the time.
        waiting: usize,
    },
    /// A run has ended.
    Ended {
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: u64,
        /// Agent of the worker.
        agent: Name,
        /// How it ended.
        how: &'static str,
        /// Failed runs of the task so far.
        failures: usize,
    },
    /// A run was lost with its worker, or with the worker's lease.
    RunLost {
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: u64,
        /// Agent of the worker.
        agent: Name,
        /// Time since the start of the run; `None` if the start isn't confirmed.
        ran: Option<Duration>,
        /// Why it is lost.
        how: &'static str,
    },
    /// The worker crashed under a run.
    RunCrashed {
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: u64,
        /// Agent of the worker.
        agent: Name,
        /// Its age and its part in the crash.
        crash: Crash,
        /// Crashes under the task so far.
        crashes: usize,
    },
    /// A task is given up because workers crash under it.
    TaskGivenUp {
        /// The task.
        task: TaskId,
        /// Crashes under the task.
        crashes: usize,
    },
    /// A task isn't given up for the last crash under it, which may have another cause.
    CrashExcused {
        /// The task.
        task: TaskId,
        /// That cause.
        reason: &'static str,
        /// Number of other workers that crashed at the same time.
        workers: usize,
    },
    /// A job has ended.
    JobEnded {
        /// The job.
        job: JobId,
        /// Final state.
        state: JobState,
        /// Age of the job.
        age: Duration,
        /// Time within which the job should have ended, if it has an objective.
        objective: Option<Duration>,
        /// Queue of the job.
        queue: Name,
        /// Task that decided the outcome, if one did.
        task: Option<TaskId>,
    },
    /// Jobs were selected whose checkpoints are written next.
    CheckpointsChosen {
        /// Selected jobs, and the unsaved work that the writes cover.
        chosen: UnsavedWork,
        /// Tasks of these jobs with a new checkpoint.
        tasks: usize,
        /// Unsaved work that wasn't selected.
        left: UnsavedWork,
    },
    /// A slowed run is stopped because its task is expected to end sooner on another worker.
    RunMoved {
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: u64,
        /// Agent of the worker.
        agent: Name,
        /// Agent of the worker where capacity is reserved for the task.
        to: Name,
        /// Expected remaining time without the move.
        here: Duration,
        /// Expected remaining time with the move.
        there: Duration,
    },
    /// A slowed run is stopped in favor of a more urgent task.
    RunYielded {
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: u64,
        /// Agent of the worker.
        agent: Name,
        /// Task that takes over its capacity.
        to: TaskId,
    },
    /// A run is stopped for a task of a queue with higher priority.
    Preempted {
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: u64,
        /// Agent of the worker.
        agent: Name,
        /// Task that takes over its capacity.
        to: TaskId,
        /// Work that the stop may lose, in core time.
        unsaved: Duration,
    },
    /// A worker is excluded from placement for a while.
    WorkerEjected {
        /// Agent of the worker.
        agent: Name,
        /// Reason for the ejection.
        reason: &'static str,
    },
    /// The operator's request to evacuate a failure domain, or its removal, has taken effect.
    Evacuation {
        /// The domain.
        domain: Name,
        /// Revision of the row or of its removal.
        revision: u64,
        /// The domain is evacuated and nothing starts in it; `false` when it takes work again.
        is_requested: bool,
        /// Known workers of the domain.
        workers: usize,
        /// Runs on them.
        runs: usize,
    },
    /// The runs in an evacuated failure domain have changed.
    EvacuationProgress {
        /// The domain.
        domain: Name,
        /// Runs on its workers, by what keeps them there.
        held: Held,
    },
    /// An evacuation may not be what the operator intends.
    EvacuationDoubtful {
        /// The domain; `None` when every domain is evacuated.
        domain: Option<Name>,
        /// Reason for the doubt.
        reason: &'static str,
    },
    /// Lasting tasks of a step have had no run at work for long.
    LastingTasksWaiting {
        /// The task that has waited longest.
        task: TaskId,
        /// Number of the step's tasks that wait for this reason.
        tasks: usize,
        /// What they wait for.
        reason: WaitReason,
        /// Time for which `task` has waited.
        waited: Duration,
        /// Agent and number of the run of `task` that the placer counts on.
        run: Option<(Name, u64)>,
        /// Failed runs of `task` so far.
        failures: usize,
        /// Workers by whether they can run the tasks; empty unless the tasks wait for capacity or for agents.
        workers: BTreeMap<Suitability, usize>,
        /// Need of `task` and free capacity; only if the tasks wait for capacity.
        capacity: Option<CapacityWait>,
    },
    /// No task of a step of which [`Note::LastingTasksWaiting`] was reported waits for long any more.
    LastingTasksRunning {
        /// The task that was reported first.
        task: TaskId,
        /// Largest number of tasks that waited at the same time.
        tasks: usize,
        /// Longest time for which one of them waited.
        waited: Duration,
    },
    /// A task of a job starts again and again without progress; reported for the task with the most starts.
    TaskRestarts {
        /// The task.
        task: TaskId,
        /// Starts since its last progress.
        starts: u32,
        /// Time since the first of them.
        lasted: Duration,
        /// How the last run ended; empty if none has.
        how: &'static str,
    },
    /// The state of an agent has changed.
    AgentChanged {
        /// The agent.
        agent: Name,
        /// Its new state.
        standing: &'static str,
        /// Runs on its worker.
        runs: usize,
    },
}

/// Counters of a cell since the placer took it over.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Jobs that were loaded or submitted.
    pub jobs: u64,
    /// Orders to start a run.
    pub starts: u64,
    /// Runs that ended as done.
    pub done: u64,
    /// Runs that ended as failed.
    pub failed: u64,
    /// Runs that were lost with their worker or lease.
    pub lost: u64,
    /// Runs that were on a worker when it crashed.
    pub crashed: u64,
    /// Start orders that were refused.
    pub refused: u64,
    /// Second copies of slow runs.
    pub copies: u64,
    /// Runs stopped because they were stalled or slow.
    pub restarts: u64,
    /// Slowed runs stopped because there is room for them where they disturb nobody.
    pub moves: u64,
    /// Checkpoints of running tasks that were selected for writing.
    pub checkpoints: u64,
    /// Changed urgencies of runs that were sent to agents.
    pub urgencies: u64,
    /// Slowed runs stopped because a more urgent task can use their capacity.
    pub yields: u64,
    /// Runs stopped for tasks of queues with higher priority.
    pub preemptions: u64,
    /// Runs stopped because their failure domain is evacuated and another domain has room.
    pub evacuated: u64,
}

/// An agent and its worker.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) contact: Contact,
    /// The agent was asked to stop. Its machine may start it again or be removed with the worker.
    pub(crate) is_retiring: bool,
    pub(crate) worker: Option<Worker>,
    /// Latest time at which the worker's lease can end, by the leases granted so far.
    pub(crate) lease_until: Duration,
    /// The same by leases that were meant for former lives of the worker.
    pub(crate) foreign_lease_until: Duration,
    pub(crate) load: Load,
    /// Number of serving runs on the worker, by image.
    pub(crate) serving: Map<Name, u32>,
    /// Latency headroom that each of these images leaves for filling runs, as last reported: the logarithm of a
    /// factor.
    pub(crate) headrooms: Map<Name, f64>,
    /// Runs that count against `load`, by task and number.
    pub(crate) runs: Set<(TaskId, u64)>,
    /// Runs on the worker that aren't, or not yet, matched to a run of a task; nothing is placed beside them.
    pub(crate) unmatched_runs: Set<(TaskId, u64)>,
    /// When a start on the worker was last ordered.
    pub(crate) last_start: Duration,
    /// Suspect runs on the worker that have just started.
    pub(crate) trials: Vec<Trial>,
    /// Runs on the worker of tasks with repeated crashes.
    pub(crate) repeated: Map<(TaskId, u64), RepeatedCrashes>,
    /// Latest life of the worker whose crash the agent has reported.
    pub(crate) crashed_life: Option<Life>,
    pub(crate) health: Health,
    /// Nothing is placed before this time after a refusal.
    pub(crate) paused_until: Duration,
    /// Highest number of an end that was processed in the worker's life.
    pub(crate) last_end: u64,
    /// When the worker announced that it leaves.
    pub(crate) leaving_since: Option<Duration>,
    /// Until when the worker is slow after its start, by its report.
    pub(crate) cold_until: Duration,
    /// Until when starts are spread out after the failure domain came back into use.
    pub(crate) spread_starts_until: Duration,
    /// Earliest time of the next start while starts are spread out.
    pub(crate) next_start: Duration,
}

/// State of a cell.
#[derive(Debug)]
pub struct Cell {
    term: u64,
    lease: Duration,
    configuration: Option<Arc<Configuration>>,
    /// Every queue that was ever configured, so that work of a removed queue can end.
    queues: Map<Name, Queue>,
    jobs: Map<JobId, JobEntry>,
    /// Jobs with a schedule that haven't ended.
    scheduled: Set<JobId>,
    lasting: LastingState,
    overdue: OverdueState,
    restarts: RestartState,
    agents: Map<Name, Agent>,
    /// Services whose queues differ in priority.
    prioritized: Set<Name>,
    /// Tasks that wait for capacity.
    ready: BTreeSet<TaskId>,
    /// Capacity reserved for tasks for whose sake runs were stopped.
    reserved: Map<TaskId, Reservation>,
    preemptions: PreemptionState,
    crashes: CrashState,
    /// Accepted jobs of which no task has started, by queue.
    pending_by_queue: Map<Name, usize>,
    /// Agents of the predecessor's cell that haven't answered yet; no task that may run there is started elsewhere.
    unresolved: Set<Name>,
    /// Runs and ends that agents reported of unknown jobs, in the order of the reports.
    unread_reports: UnreadReports,
    /// The former placer no longer acts.
    is_predecessor_over: bool,
    /// When all leases granted by former placers will have ended, once known.
    former_leases_end: Option<Duration>,
    /// Jobs stored after this revision can't have been started by a former placer.
    fresh_from: Option<u64>,
    actions: VecDeque<Action>,
    notes: Vec<Note>,
    writes: Writes,
    checkpoints: CheckpointSelection,
    /// Accuracy of the stated estimates, by queue.
    accuracies: Map<Name, EstimateAccuracy>,
    /// When the run times of the open jobs were last estimated.
    run_times_estimated_at: Duration,
    /// Mean relative deviation of single run times from the usual ratio to their estimates, by queue.
    spreads: Map<Name, f64>,
    /// Measured rates of work.
    meters: Map<PoolKey, RateMeter>,
    /// Work ahead of a new job, as of the last sample.
    backlog: Arc<Backlog>,
    counters: Counters,
    needs_placing: bool,
    evacuating: EvacuationState,
    /// Interference evidence that each agent has reported.
    evidence_by_agent: Map<Name, Map<Pair, Evidence>>,
    /// Evidence of former placers, used where agents have less.
    restored_evidence: Map<Pair, Evidence>,
    /// Merged evidence of all agents.
    interference: Interference,
    /// Effects derived from it.
    effects: Effects,
}

impl Cell {
    /// Creates an empty cell under `term`; `lease` is the longest lease that is granted.
    #[must_use]
    pub fn new(term: u64, lease: Duration) -> Self {
        Self {
            term,
            lease,
            configuration: None,
            queues: Map::default(),
            jobs: Map::default(),
            scheduled: Set::default(),
            lasting: LastingState::default(),
            overdue: OverdueState::default(),
            restarts: RestartState::default(),
            agents: Map::default(),
            prioritized: Set::default(),
            ready: BTreeSet::new(),
            reserved: Map::default(),
            preemptions: PreemptionState::default(),
            crashes: CrashState::default(),
            pending_by_queue: Map::default(),
            unresolved: Set::default(),
            unread_reports: UnreadReports::new(),
            is_predecessor_over: term == 1,
            former_leases_end: None,
            fresh_from: (term == 1).then_some(0),
            actions: VecDeque::new(),
            notes: Vec::new(),
            writes: Writes::default(),
            checkpoints: CheckpointSelection::default(),
            accuracies: Map::default(),
            run_times_estimated_at: Duration::ZERO,
            spreads: Map::default(),
            meters: Map::default(),
            backlog: Arc::default(),
            counters: Counters::default(),
            needs_placing: false,
            evacuating: EvacuationState::default(),
            evidence_by_agent: Map::default(),
            restored_evidence: Map::default(),
            interference: Interference::default(),
            effects: Effects::default(),
        }
    }

    /// Term of the placer.
    #[must_use]
    pub const fn term(&self) -> u64 {
        self.term
    }

    /// Applies a configuration unless it is older than the present one.
    pub fn configure(&mut self, configuration: Arc<Configuration>) {
        if self.configuration.as_ref().is_some_and(|present| present.version >= configuration.version) {
            return;
        }
        for queue in &configuration.queues {
            let mut queue = queue.clone();
            queue.terms.bound();
            self.queues.insert(Arc::clone(&queue.name), queue);
        }
        self.prioritized = configuration.prioritized();
        self.configuration = Some(configuration);
        self.needs_placing = true;
    }

    /// Whether a configuration is known; nothing is placed before.
    #[must_use]
    pub const fn is_configured(&self) -> bool {
        self.configuration.is_some()
    }

    /// Stores interference evidence reported by an agent.
    pub fn store_evidence(&mut self, agent: &Name, effects: Vec<(Pair, Evidence)>) {
        let known = self.evidence_by_agent.entry(Arc::clone(agent)).or_default();
        known.extend(effects);
    }

    /// Restores a former placer's interference evidence, at a lower weight because effects change.
    pub fn restore_evidence(&mut self, effects: Vec<(Pair, Evidence)>) {
        let weaken = |(pair, evidence): (Pair, Evidence)| (pair, evidence.weakened(RESTORED_WEIGHT));
        self.restored_evidence = effects.into_iter().map(weaken).collect();
        self.merge_evidence();
    }

    /// Merges the evidence of all agents.
    pub fn merge_evidence(&mut self) {
        self.interference = Interference::default();
        for effects in self.evidence_by_agent.values() {
            self.interference.add_evidence(effects.iter());
        }
        self.interference.fill_missing(self.restored_evidence.iter());
        self.effects = self.interference.effects();
    }

    /// Whether an agent's worker has serving runs of an image.
    #[must_use]
    pub fn serves(&self, agent: &Name, image: &Name) -> bool {
        self.agents.get(agent).is_some_and(|agent| agent.serving.contains_key(image))
    }

    /// Merged interference evidence of all agents.
    #[must_use]
    pub fn evidence_table(&self) -> Vec<(Pair, Evidence)> {
        self.interference.table()
    }

    /// Takes the pending actions.
    pub fn take_actions(&mut self) -> Vec<Action> {
        self.actions.drain(..).collect()
    }

    /// Takes the entries for the log.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Counters since the placer took the cell over.
    #[must_use]
    pub const fn counters(&self) -> Counters {
        self.counters
    }

    /// Durable state of a job; `None` when the job isn't known here.
    #[must_use]
    pub fn state(&self, id: JobId) -> Option<JobState> {
        self.jobs.get(&id).map(JobEntry::state)
    }

    /// Accepted jobs of each queue of which no task has started.
    #[must_use]
    pub fn pending(&self) -> &Map<Name, usize> {
        &self.pending_by_queue
    }

    /// Number of tasks that wait for capacity.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.ready.len()
    }

    /// Number of tasks with reserved capacity.
    #[must_use]
    pub fn reserved(&self) -> usize {
        self.reserved.len()
    }

    /// Number of known jobs, and of those that haven't ended.
    #[must_use]
    pub fn job_counts(&self) -> (usize, usize) {
        (self.jobs.len(), self.jobs.values().filter(|entry| entry.outcome.is_none()).count())
    }

    /// Known agents, with their contact and number of runs.
    pub fn agents(&self) -> impl Iterator<Item = (&Name, Contact, usize)> {
        self.agents.iter().map(|(name, agent)| (name, agent.contact, agent.runs.len()))
    }

    fn queue_terms(&self, entry: &JobEntry) -> crate::job::Terms {
        self.queues.get(&entry.job.queue).map_or_else(|| entry.job.terms.clone(), |queue| queue.terms.clone())
    }

    fn terms_of<'a>(&'a self, entry: &'a JobEntry) -> &'a crate::job::Terms {
        self.queues.get(&entry.job.queue).map_or(&entry.job.terms, |queue| &queue.terms)
    }

    fn run_number(&self, starts: u64) -> u64 {
        (self.term - 1) * RUNS_PER_TERM + starts
    }

    fn log_agent(&mut self, name: &Name, standing: &'static str) {
        let runs = self.agents.get(name).map_or(0, |agent| agent.runs.len());
        self.notes.push(Note::AgentChanged { agent: Arc::clone(name), standing, runs });
    }
}

/// Identifier of a task of a job.
pub(crate) const fn task_id(job: JobId, key: TaskKey) -> TaskId {
    TaskId { job, key }
}
