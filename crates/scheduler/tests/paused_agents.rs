//! When the worker of an agent is used again after a pause of the agent's process.

mod support;

use std::sync::mpsc;
use std::time::{Duration, Instant};

use chervilledge_cell::job::{Job, JobId, Step};
use chervilledge_scheduler::message::AGENT_ROW_RETENTION;
use chervilledge_scheduler::rows;
use chervilledge_scheduler::store::Table;
use support::agent::{self, RunningAgent, life};
use support::{Fault, MemoryStore, job, spawn_entry};

/// Users take a lasting task as lost that doesn't run for this long beside free capacity.
const LOST_AFTER: Duration = Duration::from_secs(3);
/// Timeout for conditions that should be met soon.
const WAIT_LIMIT: Duration = Duration::from_secs(20);
/// Row of the agent.
const ROW: &str = "agent/agent-1";

/// An agent whose process can be paused, together with its worker: each message pauses or resumes it.
struct PausableMachine {
    agent: RunningAgent,
    toggle: mpsc::Sender<()>,
}

impl PausableMachine {
    fn spawn(rows: &MemoryStore) -> Self {
        let (rows, (toggle, toggled)) = (rows.clone(), mpsc::channel::<()>());
        let (started, agent) = mpsc::channel();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            runtime.block_on(async move {
                let agent = agent::spawn_named("agent-1", rows).await;
                agent.report(life());
                started.send(agent).expect("the test");
                loop {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                    // Blocks the runtime, and with it the agent.
                    let ended = match toggled.try_recv() {
                        Ok(()) => toggled.recv().is_err(),
                        Err(error) => error == mpsc::TryRecvError::Disconnected,
                    };
                    if ended {
                        return;
                    }
                }
            });
        });
        Self { agent: agent.recv().expect("an agent"), toggle }
    }

    fn toggle(&self) {
        self.toggle.send(()).expect("the machine runs");
    }
}

/// A placer deletes the row of an agent that it hasn't reached for long, and the deletion may take effect late.
#[tokio::test]
async fn a_late_deletion_of_its_row_hides_an_agent_that_is_linked_again() {
    let rows = MemoryStore::with_fault(Fault::None);
    let agent = agent::spawn_named("agent-1", rows.clone()).await;
    agent.report(life());
    let mut placer = agent::link(&agent, 1).await;
    placer.inventory().await;
    let is_written = async {
        while !rows.has(Table::Cell, ROW) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WAIT_LIMIT, is_written).await.expect("a row");
    let known = rows.revision(Table::Cell, ROW);
    rows.set_fault(Fault::Refuse);
    drop(placer);
    // Between the agent's announcements, each of which is attempted for 2 s.
    tokio::time::sleep(AGENT_ROW_RETENTION.saturating_sub(Duration::from_millis(500))).await;
    rows.set_fault(Fault::None);
    let mut placer = agent::link(&agent, 1).await;
    placer.inventory().await;
    let written_again = tokio::time::timeout(
        LOST_AFTER,
        placer.wait_for("a new row", |_| (rows.revision(Table::Cell, ROW) > known).then_some(())),
    );
    assert!(written_again.await.is_ok(), "a deletion of the row that the placer knows takes effect");
}

/// An agent whose row was deleted meanwhile waited for a placer for 3 s before it wrote the row again.
#[tokio::test]
async fn a_lasting_task_waits_beside_the_worker_of_an_agent_that_was_paused() {
    let rows = MemoryStore::with_fault(Fault::None);
    let lasting = Job { steps: vec![Step { count: 1, lasting: true, ..Step::default() }], ..job(1) };
    rows.configure(1);
    let _entry = spawn_entry("entry-1", rows.store()).await;
    let machine = PausableMachine::spawn(&rows);
    rows.write(Table::Jobs, &rows::job_key(JobId(1)), Some(rows::encode(&lasting)));
    machine.agent.worker.wait_for("the first start", |script| script.starts.len() == 1).await;
    machine.toggle();
    let is_deleted = async {
        while rows.has(Table::Cell, ROW) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WAIT_LIMIT, is_deleted).await.expect("the row of an agent that doesn't answer is deleted");
    machine.toggle();
    let resumed = Instant::now();
    machine.agent.worker.wait_for("a second start", |script| script.starts.len() == 2).await;
    assert!(resumed.elapsed() < LOST_AFTER, "started {:?} after the end of the pause", resumed.elapsed());
}
