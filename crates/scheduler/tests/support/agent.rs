//! Agent beside a scripted worker, and the placer's end of a link to it.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chervilledge_cell::job::{JobId, TaskId, TaskKey};
use chervilledge_cell::worker::{End, Life, RunTraits, StartOrder, Worker};
use chervilledge_link::connection::{self, Receiver, Sender};
use chervilledge_policy::capacity::Resources;
use chervilledge_policy::id::Name;
use chervilledge_scheduler::agent::{self, Context, Message};
use chervilledge_scheduler::message::{FromAgent, LINK_TIMEOUT, NO_SECRET, ToAgent};
use chervilledge_scheduler::worker::{Calls, OrderOutcome, PollError, PollRequest, PollResponse, Report, StartOutcome};
use chervilledge_scheduler::{clock, metrics};
use chervilledge_scheduler::{rows, settings};
use ractor::ActorRef;

use super::ports::free_address;
use super::{Fault, MemoryStore};

/// Timeout for conditions that should be met soon.
const WAIT_LIMIT: Duration = Duration::from_secs(20);
/// Time after which a call without an answer is given up.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// Ends that a worker lists at a time.
const PAGE_ENDS: usize = 500;
/// Lease granted by the placer's end.
const LEASE: Duration = Duration::from_secs(5);

/// Responses of the worker, and the requests that it received.
#[derive(Debug)]
pub struct Script {
    pub start: StartOutcome,
    /// Whether responses to starts are held back.
    pub delays_start_responses: bool,
    pub stop: OrderOutcome,
    /// Number of orders to start or stop that get no answer from now on.
    pub unanswered_orders: u32,
    pub poll: Result<PollResponse, PollError>,
    /// Ends that the worker lists page by page instead of those in `poll`, ascending by number.
    pub paged_ends: Vec<End>,
    /// Responses to polls of other workers than that of [`life`], by name.
    pub other_polls: BTreeMap<Name, Result<PollResponse, PollError>>,
    /// Duration of a poll after the worker has composed its response.
    pub poll_delay: Duration,
    pub starts: Vec<(TaskId, u64, u64)>,
    /// Ends of the leases that the starts carried, on the worker's clock.
    pub start_leases_ms: Vec<u64>,
    pub stops: Vec<(TaskId, u64, u64)>,
    pub polls: Vec<PollRequest>,
    /// Ordered paces, in percent.
    pub paces: Vec<(TaskId, u32)>,
}

impl Script {
    /// Next page of the paged ends, if there are any.
    fn page_after(&self, cursor: u64) -> Option<PollResponse> {
        if self.paged_ends.is_empty() {
            return None;
        }
        let first = self.paged_ends.partition_point(|end| end.number <= cursor);
        let ends: Vec<End> = self.paged_ends[first..].iter().take(PAGE_ENDS).cloned().collect();
        Some(PollResponse { has_more_ends: ends.len() == PAGE_ENDS, ends, ..idle_poll() })
    }

    /// Whether the next order gets no answer.
    fn loses_order(&mut self) -> bool {
        let is_lost = self.unanswered_orders > 0;
        self.unanswered_orders = self.unanswered_orders.saturating_sub(1);
        is_lost
    }
}

/// Worker that follows a script; clones share it.
#[derive(Clone, Debug)]
pub struct ScriptedWorker(Arc<Mutex<Script>>);

impl ScriptedWorker {
    pub fn change<T>(&self, change: impl FnOnce(&mut Script) -> T) -> T {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Waits until the script meets a condition.
    pub async fn wait_for(&self, what: &str, is_met: impl Fn(&Script) -> bool) {
        let met = async {
            while !self.change(|script| is_met(script)) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        assert!(tokio::time::timeout(WAIT_LIMIT, met).await.is_ok(), "{what}: not within {WAIT_LIMIT:?}");
    }

    fn calls(&self) -> Calls {
        let (starts, stops, polls, paces) = (self.clone(), self.clone(), self.clone(), self.clone());
        Calls {
            start: Box::new(move |(target, order, lease_end_ms)| {
                let (answer, is_lost) = starts.change(|script| {
                    script.start_leases_ms.push(lease_end_ms);
                    script.starts.push((order.task, order.run, target.term));
                    (script.start, script.loses_order())
                });
                let script = starts.clone();
                Box::pin(async move {
                    if is_lost {
                        tokio::time::sleep(ORDER_TIMEOUT).await;
                        return StartOutcome::Unknown;
                    }
                    script.wait_for("answers to starts", |script| !script.delays_start_responses).await;
                    answer
                })
            }),
            stop: Box::new(move |(target, task, run)| {
                let (answer, is_lost) = stops.change(|script| {
                    script.stops.push((task, run, target.term));
                    (script.stop, script.loses_order())
                });
                Box::pin(async move {
                    if is_lost {
                        tokio::time::sleep(ORDER_TIMEOUT).await;
                        return OrderOutcome::Unknown;
                    }
                    answer
                })
            }),
            pace: Box::new(move |(_, task, _, percent)| {
                paces.change(|script| script.paces.push((task, percent)));
                Box::pin(async { OrderOutcome::Taken })
            }),
            poll: Box::new(move |(target, ask)| {
                let (answer, takes) = polls.change(|script| {
                    let page = script.page_after(ask.cursor);
                    script.polls.push(ask);
                    let answer = script.other_polls.get(&target.worker).unwrap_or(&script.poll);
                    (page.map_or_else(|| answer.clone(), Ok), script.poll_delay)
                });
                Box::pin(async move {
                    tokio::time::sleep(takes.max(Duration::from_millis(5))).await;
                    answer
                })
            }),
        }
    }
}

/// Response of a worker on which nothing runs.
pub fn idle_poll() -> PollResponse {
    PollResponse { clock_ms: 1_000, born_unix_ms: Some(7), running: Vec::new(), ends: Vec::new(), has_more_ends: false }
}

pub fn life() -> Life {
    Life { worker: Arc::from("worker-1"), born_unix_ms: 7 }
}

pub fn task(id: u64) -> TaskId {
    TaskId { job: JobId(id), key: TaskKey { occurrence: 0, step: 0, index: 0 } }
}

/// Running agent.
#[derive(Debug)]
pub struct RunningAgent {
    pub actor: ActorRef<Message>,
    pub address: SocketAddr,
    pub worker: ScriptedWorker,
    pub rows: MemoryStore,
}

/// Starts an agent whose worker has reported its identity, resources, address and clock.
pub async fn spawn() -> RunningAgent {
    let agent = spawn_without_report().await;
    agent.report(life());
    agent
}

/// Starts an agent whose worker hasn't reported yet.
pub async fn spawn_without_report() -> RunningAgent {
    spawn_named("agent-1", MemoryStore::with_fault(Fault::None)).await
}

/// Starts an agent that announces itself in a store; its worker hasn't reported yet.
pub async fn spawn_named(name: &str, rows: MemoryStore) -> RunningAgent {
    let address = free_address();
    let script = Script {
        start: StartOutcome::Running { clock_ms: None },
        delays_start_responses: false,
        stop: OrderOutcome::Taken,
        unanswered_orders: 0,
        poll: Ok(idle_poll()),
        paged_ends: Vec::new(),
        other_polls: BTreeMap::new(),
        poll_delay: Duration::ZERO,
        starts: Vec::new(),
        start_leases_ms: Vec::new(),
        stops: Vec::new(),
        polls: Vec::new(),
        paces: Vec::new(),
    };
    let worker = ScriptedWorker(Arc::new(Mutex::new(script)));
    let context = Context {
        settings: settings::Agent {
            name: Arc::from(name),
            links_address: address,
            worker_lease_max: Duration::from_secs(10),
            latency_harm_after: Duration::from_secs(4),
            stop_timeout: Duration::from_secs(6),
        },
        clock: clock::system(),
        calls: Arc::new(worker.calls()),
        store: rows.store(),
        metrics: metrics::open(),
    };
    let actor = agent::spawn(context).await.expect("agent");
    RunningAgent { actor, address, worker, rows }
}

impl RunningAgent {
    /// Sends a report of the worker.
    pub fn report(&self, life: Life) {
        self.report_resources(life, 1, Resources { processor_millicores: 16_000, ..Resources::default() });
    }

    /// Sends a report of the worker with these resources.
    pub fn report_resources(&self, life: Life, sequence: u64, resources: Resources) {
        self.report_state(life, sequence, resources, None);
    }

    /// Sends a report of the worker that it leaves soon.
    pub fn report_leaving(&self, life: Life, sequence: u64) {
        let resources = Resources { processor_millicores: 16_000, ..Resources::default() };
        self.report_state(life, sequence, resources, Some(Duration::from_secs(5)));
    }

    fn report_state(&self, life: Life, sequence: u64, resources: Resources, leaves_in: Option<Duration>) {
        let report = Report {
            worker: Worker {
                life,
                service: Arc::from("portal"),
                failure_domain: Arc::from("a"),
                resources,
                kind: None,
                rack: None,
                leaves_in,
                cold_for: Duration::ZERO,
            },
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            sequence,
            clock_ms: Some(1_000),
        };
        self.actor.cast(Message::Report(Box::new(report))).expect("report");
    }
}

/// The placer's end of a link.
pub struct Link {
    pub sender: Sender<ToAgent>,
    receiver: Receiver,
    /// Lease that it grants.
    lease: Duration,
}

/// Opens a link under the given term.
pub async fn link(agent: &RunningAgent, term: u64) -> Link {
    link_of_version(agent, term, Some(rows::VERSION)).await
}

/// Opens a link as a placer of another version.
pub async fn link_of_version(agent: &RunningAgent, term: u64, version: Option<&str>) -> Link {
    let (sender, receiver) = connection::connect::<ToAgent>(agent.address, NO_SECRET).await.expect("link");
    sender.post(ToAgent::Hello { term, version: version.map(Name::from) });
    Link { sender, receiver, lease: LEASE }
}

/// Opens a link of a placer that grants leases of no length, as one does that doesn't know the runs on the worker.
pub async fn link_without_grants(agent: &RunningAgent, term: u64) -> Link {
    Link { lease: Duration::ZERO, ..link(agent, term).await }
}

impl Link {
    /// Waits for a message for which `choose` returns a value; meanwhile grants the leases that the agent requests.
    pub async fn wait_for<T>(&mut self, what: &str, choose: impl Fn(FromAgent) -> Option<T>) -> T {
        let chosen = async {
            loop {
                let message = self.receiver.receive::<FromAgent>(LINK_TIMEOUT).await.expect("message");
                if let FromAgent::Ask { asked, .. } | FromAgent::Inventory { asked, .. } = &message {
                    self.sender.post(ToAgent::Grant { asked: *asked, lease: self.lease });
                }
                if let Some(chosen) = choose(message) {
                    return chosen;
                }
            }
        };
        let Ok(chosen) = tokio::time::timeout(WAIT_LIMIT, chosen).await else {
            panic!("{what}: not within {WAIT_LIMIT:?}");
        };
        chosen
    }

    /// Keeps the link alive and grants leases until the worker's script meets a condition.
    pub async fn serve_until(&mut self, worker: &ScriptedWorker, what: &str, is_met: impl Fn(&Script) -> bool) {
        tokio::select! {
            () = worker.wait_for(what, is_met) => {}
            () = self.wait_for("nothing", |_| None) => {}
        }
    }

    /// Running and starting runs in the next inventory.
    pub async fn inventory(&mut self) -> Vec<(TaskId, u64)> {
        self.wait_for("inventory", |message| match message {
            FromAgent::Inventory { running, starting, .. } => {
                Some(running.into_iter().map(|report| (report.task, report.run)).chain(starting).collect())
            }
            _ => None,
        })
        .await
    }

    /// Orders a start.
    pub fn start(&self, task: TaskId, run: u64) {
        let order =
            StartOrder { task, run, spec: Arc::from("text"), checkpoint: Arc::from(""), traits: RunTraits::default() };
        self.sender.post(ToAgent::Start { life: life(), order });
    }
}
