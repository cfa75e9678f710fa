//! An agent and its worker, as the walk models them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::cell::Inventory;
use chervilledge_cell::grant::Grant;
use chervilledge_cell::job::TaskId;
use chervilledge_cell::worker::{End, EndKind, RunReport};
use chervilledge_policy::id::Name;

use crate::MILLICORES;
use crate::support::worker;

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

#[derive(Default)]
pub struct Agent {
    pub term: u64,
    pub grant: Grant,
    /// Highest term that the worker has seen.
    pub fence: u64,
    pub lease_until: Duration,
    pub running: BTreeMap<(TaskId, u64), Run>,
    /// Runs that were stopped; the worker refuses these and older ones.
    pub stopped: BTreeMap<TaskId, u64>,
    pub ends: Vec<ListedEnd>,
    pub next_end: u64,
    /// Until when placers can't reach the agent.
    pub cut: Duration,
    /// Former placers reach it nevertheless.
    pub is_cut_from_newest_only: bool,
}

impl Agent {
    pub fn end(&mut self, run: (TaskId, u64), kind: EndKind) {
        let Some(Run { saved: checkpoint, .. }) = self.running.remove(&run) else { return };
        self.next_end += 1;
        let end = End { number: self.next_end, task: run.0, run: run.1, kind, checkpoint };
        self.ends.push(ListedEnd { end, has_lapsed: false });
    }

    /// Ends that the agent tells placers.
    pub fn listed_ends(&self) -> Vec<End> {
        self.ends.iter().map(|listed| listed.end.clone()).collect()
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

    pub fn inventory(&self, agent: &Name) -> Inventory {
        Inventory {
            worker: Some(worker(agent, MILLICORES)),
            running: self.reports(),
            starting: Vec::new(),
            ends: self.listed_ends(),
            crashes: Vec::new(),
            is_empty: false,
            is_partial: false,
        }
    }
}

impl Run {
    fn percent(&self) -> u32 {
        u32::try_from(self.worked.as_millis() * 100 / self.time.as_millis().max(1)).unwrap_or(100).min(100)
    }
}
