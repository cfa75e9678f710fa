//! An agent and its worker, as the walk models them.

use std::collections::BTreeMap;
use std::time::Duration;

use chervilledge_cell::cell::Inventory;
use chervilledge_cell::grant::Grant;
use chervilledge_cell::job::TaskId;
use chervilledge_cell::worker::{End, EndKind, RunReport};
use chervilledge_policy::id::Name;

use crate::MILLICORES;
use crate::support::{name, worker};

#[derive(Default)]
pub struct Agent {
    pub term: u64,
    pub grant: Grant,
    /// Highest term that the worker has seen.
    pub fence: u64,
    pub lease_until: Duration,
    /// Runs with the times at which they end.
    pub running: BTreeMap<(TaskId, u64), Duration>,
    /// Runs that were stopped; the worker refuses these and older ones.
    pub stopped: BTreeMap<TaskId, u64>,
    /// Runs that are being stopped, and until when.
    pub stopping: BTreeMap<(TaskId, u64), Duration>,
    pub ends: Vec<End>,
    pub next_end: u64,
    /// Until when placers can't reach the agent.
    pub cut: Duration,
    /// Former placers reach it nevertheless.
    pub is_cut_from_newest_only: bool,
}

impl Agent {
    pub fn end(&mut self, run: (TaskId, u64), kind: EndKind) {
        self.running.remove(&run);
        self.stopping.remove(&run);
        self.next_end += 1;
        let end = End { number: self.next_end, task: run.0, run: run.1, kind, checkpoint: name("") };
        self.ends.push(end);
    }

    pub fn inventory(&self, agent: &Name) -> Inventory {
        let report = |(task, run): &(TaskId, u64)| RunReport {
            task: *task,
            run: *run,
            checkpoint: name(""),
            percent: 1,
            measured: 0,
            pace_percent: 100,
        };
        Inventory {
            worker: Some(worker(agent, MILLICORES)),
            running: self.running.keys().map(report).collect(),
            starting: Vec::new(),
            ends: self.ends.clone(),
            crashes: Vec::new(),
            is_empty: false,
            is_partial: false,
        }
    }
}
