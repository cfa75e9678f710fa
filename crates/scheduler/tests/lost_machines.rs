//! What runs again, and when, after machines of the cell are lost for good.

mod support;

use std::sync::Arc;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use chervilledge_cell::job::{Job, JobId, Step};
use chervilledge_cell::worker::Life;
use chervilledge_scheduler::entry::Entry;
use chervilledge_scheduler::rows::{self, PLACER_KEY};
use chervilledge_scheduler::store::Table;
use support::agent::{self, RunningAgent};
use support::{Fault, MemoryStore, job};

/// Users take a lasting task as lost that doesn't run for 3 s, from 6 s after its last run on.
const LOST_AFTER: Duration = Duration::from_secs(9);
/// Timeout for conditions that should be met soon.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

async fn spawn_entry(name: &str, rows: &MemoryStore) -> Entry {
    support::spawn_entry(name, rows.store()).await
}

async fn spawn_agent(number: u64, rows: &MemoryStore) -> RunningAgent {
    let agent = agent::spawn_named(&format!("agent-{number}"), rows.clone()).await;
    agent.report(Life { worker: Arc::from(format!("worker-{number}")), born_unix_ms: 7 });
    agent
}

/// An agent on a machine of its own, which can be lost, with or without an entry on another one: nothing answers any
/// more, and nothing refuses.
struct LostMachines {
    agent: RunningAgent,
    lose: mpsc::Sender<()>,
}

impl LostMachines {
    fn spawn(rows: &MemoryStore, has_entry: bool) -> Self {
        let (rows, (lose, never_sent)) = (rows.clone(), mpsc::channel::<()>());
        let (started, agent) = mpsc::channel();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            runtime.block_on(async move {
                let _entry = if has_entry { Some(spawn_entry("entry-1", &rows).await) } else { None };
                started.send(spawn_agent(1, &rows).await).expect("the test");
                while never_sent.try_recv().is_err() {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                // Blocks the runtime, and with it the entry and the agent.
                never_sent.recv().expect_err("the test has ended");
            });
        });
        Self { agent: agent.recv().expect("an agent"), lose }
    }
}

async fn wait_for(what: &str, is_met: impl Fn() -> bool) {
    let met = async {
        while !is_met() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(tokio::time::timeout(WAIT_LIMIT, met).await.is_ok(), "{what}: not within {WAIT_LIMIT:?}");
}

fn is_placer(rows: &MemoryStore, name: &str) -> bool {
    let row = rows.value(Table::Cell, PLACER_KEY).and_then(|value| rows::decode::<rows::Placer>(PLACER_KEY, &value));
    row.and_then(|placer| placer.holder).is_some_and(|holder| &*holder == name)
}

async fn start_lasting_task(rows: &MemoryStore, machines: &LostMachines) {
    wait_for("the first placer", || is_placer(rows, "entry-1")).await;
    let lasting = Job { steps: vec![Step { count: 1, lasting: true, ..Step::default() }], ..job(1) };
    rows.write(Table::Jobs, &rows::job_key(JobId(1)), Some(rows::encode(&lasting)));
    machines.agent.worker.wait_for("the first start", |script| !script.starts.is_empty()).await;
}

/// A new placer must not wait for silent agents as if its predecessor could still act.
#[tokio::test]
async fn a_lasting_task_stays_stopped_when_its_machine_and_the_placer_are_lost_together() {
    let rows = MemoryStore::with_fault(Fault::None);
    rows.configure(1);
    let machines = LostMachines::spawn(&rows, true);
    start_lasting_task(&rows, &machines).await;
    let _others = [spawn_entry("entry-2", &rows).await, spawn_entry("entry-3", &rows).await];
    let agent = spawn_agent(2, &rows).await;
    agent.worker.wait_for("a poll", |script| script.polls.len() > 2).await;
    // The remaining entries are known to the placer, and its next heartbeats are written.
    tokio::time::sleep(Duration::from_secs(3)).await;
    machines.lose.send(()).expect("the machines run");
    let lost_at = Instant::now();
    agent.worker.wait_for("a start elsewhere", |script| !script.starts.is_empty()).await;
    let stopped = lost_at.elapsed();
    assert!(stopped < LOST_AFTER, "started elsewhere after {stopped:?}");
}

/// A planned change of the placer must not begin the wait for silent agents anew.
#[tokio::test]
async fn a_lasting_task_stays_stopped_while_placers_hand_over_one_after_the_other() {
    let rows = MemoryStore::with_fault(Fault::None);
    rows.configure(1);
    let machines = LostMachines::spawn(&rows, false);
    let mut entries = vec![spawn_entry("entry-1", &rows).await];
    start_lasting_task(&rows, &machines).await;
    for name in ["entry-2", "entry-3", "entry-4"] {
        entries.push(spawn_entry(name, &rows).await);
    }
    let agent = spawn_agent(2, &rows).await;
    agent.worker.wait_for("a poll", |script| script.polls.len() > 2).await;
    machines.lose.send(()).expect("the machine runs");
    let lost_at = Instant::now();
    let handovers = async {
        for _ in 0..3 {
            tokio::time::sleep(Duration::from_millis(2_500)).await;
            for entry in &entries {
                if entry.dump().await["placer"].is_object() {
                    entry.retire(Duration::ZERO).await;
                }
            }
        }
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = handovers => {}
        () = agent.worker.wait_for("a start elsewhere", |script| !script.starts.is_empty()) => {}
    }
    let stopped = lost_at.elapsed();
    assert!(stopped < LOST_AFTER, "started elsewhere after {stopped:?}");
}
