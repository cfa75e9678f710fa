//! An agent and its worker, as the walk models them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::authority::AUTHORITY_PERIOD;
use chervilledge_cell::cell::Inventory;
use chervilledge_cell::grant::Grant;
use chervilledge_cell::job::TaskId;
use chervilledge_cell::worker::{CrashReport, CrashedRun, End, EndKind, Life, RunReport, Worker};
use chervilledge_policy::id::Name;

use crate::MILLICORES;
use crate::support::{life, worker};

/// Ends that a worker lists at a time.
const PAGE_ENDS: usize = 3;

/// A run on a worker.
pub struct Run {
    pub started: Duration,
    /// Time that the whole task takes.
    pub time: Duration,
    /// Part of it that has passed, also in the runs before.
    pub worked: Duration,
    /// Checkpoint; empty when there is none.
    pub saved: Name,
    /// All members of its gang were present at some time.
    pub has_begun: bool,
    /// When it will have stopped.
    pub stops_at: Option<Duration>,
}

/// End that a worker lists.
#[derive(Clone)]
pub struct ListedEnd {
    pub end: End,
    /// The worker's lease has ended since.
    pub has_lapsed: bool,
}

pub struct Agent {
    /// Number of the worker's life.
    pub born: u64,
    pub millicores: u64,
    /// Until when no worker runs.
    pub worker_down: Duration,
    /// When the process last started again.
    pub forgot_at: Option<Duration>,
    /// Until when the machine is off.
    pub off_until: Duration,
    /// When the process ends after SIGTERM.
    pub exits_at: Option<Duration>,
    /// Time for which the machine is off then.
    pub off_for: Duration,
    /// Crashes that aren't settled.
    pub crashes: Vec<CrashReport>,
    /// Grows when placers need a new inventory.
    pub generation: u64,
    pub term: u64,
    /// Newest term, once the agent has read it from the store since it started.
    pub newest_term: Option<u64>,
    pub grant: Grant,
    /// Highest term that the worker has seen.
    pub fence: u64,
    pub lease_until: Duration,
    pub running: BTreeMap<(TaskId, u64), Run>,
    /// Runs that were stopped; the worker refuses these and older ones.
    pub stopped: BTreeMap<TaskId, u64>,
    pub ends: Vec<ListedEnd>,
    pub next_end: u64,
    /// Until when placers can't reach the agent, nor the agent the store.
    pub cut: Duration,
    /// Former placers reach it nevertheless.
    pub is_cut_from_newest_only: bool,
}

impl Default for Agent {
    fn default() -> Self {
        Self {
            born: 1,
            millicores: MILLICORES,
            worker_down: Duration::ZERO,
            forgot_at: None,
            off_until: Duration::ZERO,
            exits_at: None,
            off_for: Duration::ZERO,
            crashes: Vec::new(),
            generation: 0,
            term: 0,
            newest_term: None,
            grant: Grant::default(),
            fence: 0,
            lease_until: Duration::ZERO,
            running: BTreeMap::new(),
            stopped: BTreeMap::new(),
            ends: Vec::new(),
            next_end: 0,
            cut: Duration::ZERO,
            is_cut_from_newest_only: false,
        }
    }
}

impl Agent {
    /// The worker's life ends, and with it all that it knows.
    pub fn lose_worker(&mut self, until: Duration) {
        self.born += 1;
        self.worker_down = until;
        self.generation += 1;
        self.fence = 0;
        self.lease_until = Duration::ZERO;
        self.running.clear();
        self.stopped.clear();
        self.ends.clear();
        self.next_end = 0;
    }

    /// The agent's process starts again.
    pub fn restart(&mut self, now: Duration) {
        self.forgot_at = Some(now.max(self.off_until));
        self.term = 0;
        self.newest_term = None;
        self.grant = Grant::default();
        self.crashes.clear();
        self.exits_at = None;
    }

    /// Reads the newest term from the store, unless the agent is cut off.
    pub fn read_term(&mut self, newest: u64, now: Duration) {
        if now >= self.off_until.max(self.cut) {
            self.newest_term.get_or_insert(newest);
        }
    }

    /// Whether a placer that the agent obeys can't have been deposed before it started.
    pub fn is_term_certain(&self, now: Duration) -> bool {
        self.newest_term.is_some() || self.forgot_at.is_none_or(|started| now >= started + AUTHORITY_PERIOD)
    }

    /// What the agent knows of the runs that the worker has when it crashes.
    pub fn crash_report(&self, name: &Name, now: Duration) -> CrashReport {
        let crashed = |((task, run), state): (&(TaskId, u64), &Run)| CrashedRun {
            task: *task,
            run: *run,
            age: now.saturating_sub(state.started),
            is_unconfirmed: false,
        };
        CrashReport { life: self.life(name), runs: self.running.iter().map(crashed).collect() }
    }

    pub fn life(&self, name: &Name) -> Life {
        Life { born_unix_ms: self.born, ..life(name) }
    }

    pub fn worker(&self, name: &Name) -> Worker {
        Worker { life: self.life(name), ..worker(name, self.millicores) }
    }

    pub fn end(&mut self, run: (TaskId, u64), kind: EndKind) {
        let Some(Run { saved: checkpoint, .. }) = self.running.remove(&run) else { return };
        self.next_end += 1;
        let end = End { number: self.next_end, task: run.0, run: run.1, kind, checkpoint };
        self.ends.push(ListedEnd { end, has_lapsed: false });
    }

    /// Whether there are ends behind the first page.
    fn has_more_ends(&self) -> bool {
        self.ends.len() > PAGE_ENDS
    }

    /// Tasks whose capacity is taken: it becomes free when the end is listed.
    pub fn occupying(&self) -> impl Iterator<Item = TaskId> {
        let unlisted = self.ends.iter().skip(PAGE_ENDS).map(|listed| listed.end.task);
        self.running.keys().map(|(task, _)| *task).chain(unlisted)
    }

    /// Forgets ends; placers get the whole inventory when the first page has become the only one.
    pub fn forget_ends(&mut self, cursor: u64) -> Vec<ListedEnd> {
        let had_more = self.has_more_ends();
        let forgotten = self.ends.extract_if(.., |listed| listed.end.number <= cursor).collect();
        self.generation += u64::from(had_more && !self.has_more_ends());
        forgotten
    }

    /// Ends that the agent tells placers.
    pub fn listed_ends(&self) -> Vec<End> {
        self.ends.iter().take(PAGE_ENDS).map(|listed| listed.end.clone()).collect()
    }

    pub fn reports(&self) -> Vec<RunReport> {
        let report = |((task, run), state): (&(TaskId, u64), &Run)| RunReport {
            task: *task,
            run: *run,
            checkpoint: Arc::clone(&state.saved),
            percent: state.percent(),
            measured: 0,
            pace_percent: 100,
        };
        self.running.iter().map(report).collect()
    }

    pub fn inventory(&self, agent: &Name, now: Duration) -> Inventory {
        let is_down = now < self.worker_down;
        Inventory {
            worker: (!is_down).then(|| self.worker(agent)),
            running: self.reports(),
            starting: Vec::new(),
            ends: self.listed_ends(),
            crashes: self.crashes.clone(),
            is_empty: is_down,
            is_partial: self.has_more_ends(),
            foreign_lease: None,
        }
    }
}

impl Run {
    fn percent(&self) -> u32 {
        u32::try_from(self.worked.as_millis() * 100 / self.time.as_millis().max(1)).unwrap_or(100).min(100)
    }
}
