//! State of a cell, as its placer holds it.
//!
//! The placer feeds in what it learns from rows, agents and callers, and carries out the [`Action`]s and
//! [`Write`](writes::Write)s that come out.

mod agents;
mod backlog;
mod checkpoints;
mod ends;
mod evacuating;
mod filling;
mod jobs;
mod placing;
mod preempt;
mod reservations;
mod rooms;
mod stragglers;
mod unread;
mod urgencies;
pub mod writes;

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::collections::{Map, Set};
use chervilledge_policy::id::Name;

pub use self::agents::{Contact, Inventory};
use self::backlog::PoolKey;
use self::checkpoints::Checkpoints;
pub use self::checkpoints::Unsaved;
use self::evacuating::Evacuating;
pub use self::evacuating::Evacuation;
pub use self::filling::Filling;
use self::jobs::JobEntry;
use self::preempt::Preemptions;
use self::reservations::Reservation;
use self::unread::Unread;
pub use self::urgencies::Changes;
use self::writes::Writes;
use crate::admission::{Backlog, RateMeter};
use crate::configuration::{Configuration, Queue};
use crate::evacuation::HeldRuns;
use crate::health::Health;
use crate::interference::{Effects, Evidence, Interference, Pair};
use crate::job::{JobId, JobState, TaskId, TaskKey};
use crate::packing::Load;
use crate::worker::{Life, StartOrder, Worker};

/// Weight of what a former placer knew of pairs of images: a few new observations outweigh it.
const RECALLED_PART: f64 = 0.25;

/// Runs of a task that one term can number.
const RUNS_PER_TERM: u64 = 10_000;

/// What the placer is to tell an agent.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a run.
    Start {
        /// Agent to tell.
        agent: Name,
        /// Life of its worker that is meant.
        life: Life,
        /// The order.
        order: StartOrder,
    },
    /// Stop a run, or make sure that it never starts.
    Stop {
        /// Agent to tell.
        agent: Name,
        /// Life of its worker that is meant.
        life: Life,
        /// Task of the run.
        task: TaskId,
        /// Number of the run.
        run: u64,
        /// Why, for the log.
        reason: &'static str,
    },
    /// Let the worker forget ends.
    Settle {
        /// Agent to tell.
        agent: Name,
        /// Life of its worker that is meant.
        life: Life,
        /// Every end up to this number is durable.
        cursor: u64,
    },
}

/// Something that was decided or learnt, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// A task was given to a worker.
    Placed {
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: u64,
        /// Agent of the worker.
        agent: Name,
        /// Age of the job.
        job_age: Duration,
        /// No other task of the job was placed by this placer.
        is_first: bool,
        /// Tasks that waited for room at the time.
        waiting: usize,
    },
    /// A run is over.
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
    /// A job has ended.
    JobEnded {
        /// The job.
        job: JobId,
        /// How.
        state: JobState,
        /// Its age.
        age: Duration,
        /// Time within which it should have ended, when it has an objective.
        objective: Option<Duration>,
        /// Its queue.
        queue: Name,
        /// Task that decided it, when one did.
        task: Option<TaskId>,
    },
    /// Checkpoints of jobs that are written next.
    CheckpointsChosen {
        /// Jobs that are written, and the work that this saves.
        chosen: Unsaved,
        /// Their tasks with a new checkpoint.
        tasks: usize,
        /// What is left for later.
        left: Unsaved,
    },
    /// A run that is slowed down is stopped, since its task is expected to end sooner elsewhere.
    RunMoved {
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: u64,
        /// Agent of the worker.
        agent: Name,
        /// Agent of the worker where room is held for the task.
        to: Name,
        /// Expected time until its end where it is.
        here: Duration,
        /// The same with the move.
        there: Duration,
    },
    /// A run that is slowed down is stopped in favor of a more urgent task.
    RunYielded {
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: u64,
        /// Agent of the worker.
        agent: Name,
        /// Task that gets its room.
        to: TaskId,
    },
    /// A run is stopped for a task of a more important queue.
    Preempted {
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: u64,
        /// Agent of the worker.
        agent: Name,
        /// Task that gets its room.
        to: TaskId,
        /// Processor time of one core that the stop may lose.
        unsaved: Duration,
    },
    /// A worker is left out for a while.
    WorkerEjected {
        /// Agent of the worker.
        agent: Name,
        /// Why.
        reason: &'static str,
    },
    /// The operator's request to evacuate a failure domain, or its removal, is in force.
    Evacuation {
        /// The domain.
        domain: Name,
        /// Revision of the row or of its removal.
        revision: u64,
        /// Nothing starts in the domain any more; otherwise it takes work again.
        is_requested: bool,
        /// Workers of the domain that are known.
        workers: usize,
        /// Runs on them.
        runs: usize,
    },
    /// The evacuation of a failure domain has got on.
    EvacuationProgress {
        /// The domain.
        domain: Name,
        /// Runs on its workers.
        held: HeldRuns,
    },
    /// An evacuation may not be what the operator means.
    EvacuationDoubtful {
        /// The domain; `None` when all of them are meant.
        domain: Option<Name>,
        /// Why.
        reason: &'static str,
    },
    /// An agent has another standing.
    AgentChanged {
        /// The agent.
        agent: Name,
        /// What is believed of it now.
        standing: &'static str,
        /// Runs on its worker.
        runs: usize,
    },
}

/// Counters of a cell since the placer took it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Jobs that became known.
    pub jobs: u64,
    /// Orders to start a run.
    pub starts: u64,
    /// Runs that ended as done.
    pub done: u64,
    /// Runs that ended as failed.
    pub failed: u64,
    /// Runs that were lost with their worker or lease.
    pub lost: u64,
    /// Orders to start that were refused.
    pub refused: u64,
    /// Second copies of slow runs.
    pub copies: u64,
    /// Runs stopped because they stood still or were slow.
    pub restarts: u64,
    /// Runs stopped because they were slowed down for the sake of others and have room elsewhere.
    pub moves: u64,
    /// Checkpoints of running tasks that were chosen to become durable.
    pub checkpoints: u64,
    /// Changed urgencies of runs that agents were told.
    pub urgencies: u64,
    /// Runs stopped because they were slowed down and a more urgent task can use their room.
    pub yields: u64,
    /// Runs stopped for tasks of more important queues.
    pub preemptions: u64,
    /// Runs stopped because their failure domain is evacuated and there is room elsewhere.
    pub evacuated: u64,
}

/// An agent and its worker.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) contact: Contact,
    pub(crate) worker: Option<Worker>,
    /// Until when the worker's lease may last, by the grants that were given.
    pub(crate) lease_until: Duration,
    pub(crate) load: Load,
    /// Images of serving runs on the worker, with their number.
    pub(crate) serving: Map<Name, u32>,
    /// What the tail of each of these images leaves for filling runs, as last told: the logarithm of a factor.
    pub(crate) rooms: Map<Name, f64>,
    /// Runs that count against `load`, by task and number.
    pub(crate) runs: Set<(TaskId, u64)>,
    /// Runs on the worker that aren't, or not yet, runs of a task; nothing is placed beside them.
    pub(crate) strays: Set<(TaskId, u64)>,
    pub(crate) health: Health,
    /// Nothing is placed before this time, after a refusal.
    pub(crate) paused_until: Duration,
    /// Highest end of the worker's life that was taken note of.
    pub(crate) ends_seen: u64,
    /// When the leaving of the worker became known.
    pub(crate) leaving_since: Option<Duration>,
    /// Until when the worker is slow, by its report.
    pub(crate) cold_until: Duration,
    /// Until when starts are spread, since the failure domain has come back into use.
    pub(crate) returning_until: Duration,
    /// When the next start is due while they are spread.
    pub(crate) start_due: Duration,
}

/// State of a cell.
#[derive(Debug)]
pub struct Cell {
    term: u64,
    lease: Duration,
    configuration: Option<Arc<Configuration>>,
    /// Queues that were ever configured, so that work of a removed queue can end.
    queues: Map<Name, Queue>,
    jobs: Map<JobId, JobEntry>,
    /// Jobs with a schedule that haven't ended.
    scheduled: Set<JobId>,
    agents: Map<Name, Agent>,
    /// Services whose queues differ in priority.
    prioritized: Set<Name>,
    /// Tasks that wait for room.
    ready: BTreeSet<TaskId>,
    /// Room that is held for tasks, since runs were stopped for their sake.
    reserved: Map<TaskId, Reservation>,
    preemptions: Preemptions,
    /// Runs by task, for those that are active.
    pending_by_queue: Map<Name, usize>,
    /// Agents of the predecessor's cell that haven't answered; no task that may run there is started elsewhere.
    unresolved: Set<Name>,
    /// What agents told of jobs that aren't known, in the order in which it was told.
    unread: Vec<Unread>,
    /// The former placer doesn't act any more.
    is_predecessor_over: bool,
    /// What was stored after this revision can't have been started by a former placer.
    fresh_from: Option<u64>,
    actions: VecDeque<Action>,
    notes: Vec<Note>,
    writes: Writes,
    checkpoints: Checkpoints,
    /// Ratio of the time that runs take to their estimates, by queue.
    estimates: Map<Name, f64>,
    /// Mean distance of single run times from that ratio, as a part of it, by queue.
    spreads: Map<Name, f64>,
    /// Rates at which work is done.
    meters: Map<PoolKey, RateMeter>,
    /// The work that a new job would find, as of the last sample.
    backlog: Arc<Backlog>,
    counters: Counters,
    needs_placing: bool,
    evacuating: Evacuating,
    /// What each agent has learnt of pairs of images.
    learnt: Map<Name, Map<Pair, Evidence>>,
    /// What former placers knew, where the agents know less.
    recalled: Map<Pair, Evidence>,
    /// The same of all agents together.
    interference: Interference,
    /// What follows from it.
    effects: Effects,
}

impl Cell {
    /// Starts with an empty cell under `term`; `lease` is the longest grant.
    #[must_use]
    pub fn new(term: u64, lease: Duration) -> Self {
        Self {
            term,
            lease,
            configuration: None,
            queues: Map::default(),
            jobs: Map::default(),
            scheduled: Set::default(),
            agents: Map::default(),
            prioritized: Set::default(),
            ready: BTreeSet::new(),
            reserved: Map::default(),
            preemptions: Preemptions::default(),
            pending_by_queue: Map::default(),
            unresolved: Set::default(),
            unread: Vec::new(),
            is_predecessor_over: term == 1,
            fresh_from: (term == 1).then_some(0),
            actions: VecDeque::new(),
            notes: Vec::new(),
            writes: Writes::default(),
            checkpoints: Checkpoints::default(),
            estimates: Map::default(),
            spreads: Map::default(),
            meters: Map::default(),
            backlog: Arc::default(),
            counters: Counters::default(),
            needs_placing: false,
            evacuating: Evacuating::default(),
            learnt: Map::default(),
            recalled: Map::default(),
            interference: Interference::default(),
            effects: Effects::default(),
        }
    }

    /// Term of the placer.
    #[must_use]
    pub const fn term(&self) -> u64 {
        self.term
    }

    /// Puts a configuration in force; an older one is ignored.
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

    /// Takes in what an agent has learnt of pairs of images.
    pub fn store_evidence(&mut self, agent: &Name, effects: Vec<(Pair, Evidence)>) {
        let learnt = self.learnt.entry(Arc::clone(agent)).or_default();
        learnt.extend(effects);
    }

    /// Takes in what a former placer knew of pairs of images; it counts less, since effects change.
    pub fn restore_evidence(&mut self, effects: Vec<(Pair, Evidence)>) {
        let weaken = |(pair, evidence): (Pair, Evidence)| (pair, evidence.weakened(RECALLED_PART));
        self.recalled = effects.into_iter().map(weaken).collect();
        self.merge_evidence();
    }

    /// Puts together what the agents have learnt.
    pub fn merge_evidence(&mut self) {
        self.interference = Interference::default();
        for effects in self.learnt.values() {
            self.interference.merge(effects.iter());
        }
        self.interference.fill(self.recalled.iter());
        self.effects = self.interference.effects();
    }

    /// Whether runs of an image serve on an agent's worker.
    #[must_use]
    pub fn serves(&self, agent: &Name, image: &Name) -> bool {
        self.agents.get(agent).is_some_and(|agent| agent.serving.contains_key(image))
    }

    /// What all agents have learnt of pairs of images.
    #[must_use]
    pub fn evidence_table(&self) -> Vec<(Pair, Evidence)> {
        self.interference.table()
    }

    /// Takes the actions that are due.
    pub fn take_actions(&mut self) -> Vec<Action> {
        self.actions.drain(..).collect()
    }

    /// Takes what is to be logged.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Counters since the placer took the cell.
    #[must_use]
    pub const fn counters(&self) -> Counters {
        self.counters
    }

    /// State of a job as far as it is durable; `None` when the job isn't known here.
    #[must_use]
    pub fn state(&self, id: JobId) -> Option<JobState> {
        self.jobs.get(&id).map(JobEntry::state)
    }

    /// Accepted jobs of each queue of which no task has started.
    #[must_use]
    pub fn pending(&self) -> &Map<Name, usize> {
        &self.pending_by_queue
    }

    /// Tasks that wait for room.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.ready.len()
    }

    /// Tasks for which room is held while runs are stopped for their sake.
    #[must_use]
    pub fn reserved(&self) -> usize {
        self.reserved.len()
    }

    /// Jobs that are known, and those of them that haven't ended.
    #[must_use]
    pub fn job_counts(&self) -> (usize, usize) {
        (self.jobs.len(), self.jobs.values().filter(|entry| entry.outcome.is_none()).count())
    }

    /// Agents that are known, with their contact and runs.
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

    fn note_agent(&mut self, name: &Name, standing: &'static str) {
        let runs = self.agents.get(name).map_or(0, |agent| agent.runs.len());
        self.notes.push(Note::AgentChanged { agent: Arc::clone(name), standing, runs });
    }
}

/// Name of a task of a job.
pub(crate) const fn task_id(job: JobId, key: TaskKey) -> TaskId {
    TaskId { job, key }
}
