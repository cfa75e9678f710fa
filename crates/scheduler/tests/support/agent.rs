//! An agent beside a scripted worker, and the placer's end of a link to it.

#![allow(dead_code, reason = "each test file uses a part")]

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chervilledge_cell::job::{JobId, TaskId, TaskKey};
use chervilledge_cell::worker::{Life, RunTraits, StartOrder, Worker};
use chervilledge_link::connection::{self, Receiver, Sender};
use chervilledge_policy::capacity::Resources;
use chervilledge_scheduler::agent::{self, Context, Message};
use chervilledge_scheduler::message::{FromAgent, NO_SECRET, SILENCE, ToAgent};
use chervilledge_scheduler::settings;
use chervilledge_scheduler::worker::{Calls, OrderOutcome, PollError, PollRequest, PollResponse, Report, StartOutcome};
use chervilledge_scheduler::{clock, metrics};
use ractor::ActorRef;

use super::{Fault, Rows};

/// Time for which a test waits for something that should happen soon.
const PATIENCE: Duration = Duration::from_secs(20);
/// Lease that the placer's end grants.
const LEASE: Duration = Duration::from_secs(5);

/// How the worker answers, and what it was asked.
#[derive(Debug)]
pub struct Script {
    pub start: StartOutcome,
    /// Answers to starts are held back.
    pub holds_starts: bool,
    pub stop: OrderOutcome,
    pub look: Result<PollResponse, PollError>,
    /// Time that a look takes, after the worker has made up its answer.
    pub look_takes: Duration,
    pub starts: Vec<(TaskId, u64, u64)>,
    pub stops: Vec<(TaskId, u64, u64)>,
    pub looks: Vec<PollRequest>,
    /// Orders of a pace, in percent.
    pub paces: Vec<(TaskId, u32)>,
}

/// The script; clones share it.
#[derive(Clone, Debug)]
pub struct Scripted(Arc<Mutex<Script>>);

impl Scripted {
    pub fn change<T>(&self, change: impl FnOnce(&mut Script) -> T) -> T {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Waits until the script fulfils a condition.
    pub async fn wait_for(&self, what: &str, is_met: impl Fn(&Script) -> bool) {
        let met = async {
            while !self.change(|script| is_met(script)) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        assert!(tokio::time::timeout(PATIENCE, met).await.is_ok(), "{what}: not within {PATIENCE:?}");
    }

    fn calls(&self) -> Calls {
        let (starts, stops, looks, paces) = (self.clone(), self.clone(), self.clone(), self.clone());
        Calls {
            start: Box::new(move |(target, order, _)| {
                let answer = starts.change(|script| {
                    script.starts.push((order.task, order.run, target.term));
                    script.start
                });
                let script = starts.clone();
                Box::pin(async move {
                    script.wait_for("answers to starts", |script| !script.holds_starts).await;
                    answer
                })
            }),
            stop: Box::new(move |(target, task, run)| {
                let answer = stops.change(|script| {
                    script.stops.push((task, run, target.term));
                    script.stop
                });
                Box::pin(async move { answer })
            }),
            pace: Box::new(move |(_, task, _, percent)| {
                paces.change(|script| script.paces.push((task, percent)));
                Box::pin(async { OrderOutcome::Taken })
            }),
            poll: Box::new(move |(_, ask)| {
                let (answer, takes) = looks.change(|script| {
                    script.looks.push(ask);
                    (script.look.clone(), script.look_takes)
                });
                Box::pin(async move {
                    tokio::time::sleep(takes.max(Duration::from_millis(5))).await;
                    answer
                })
            }),
        }
    }
}

/// A worker on which nothing runs.
pub fn empty_look() -> PollResponse {
    PollResponse { clock_ms: 1_000, born_unix_ms: Some(7), running: Vec::new(), ends: Vec::new() }
}

pub fn life() -> Life {
    Life { worker: Arc::from("worker-1"), born_unix_ms: 7 }
}

pub fn task(id: u64) -> TaskId {
    TaskId { job: JobId(id), key: TaskKey { occurrence: 0, step: 0, index: 0 } }
}

/// A running agent.
#[derive(Debug)]
pub struct Running {
    pub actor: ActorRef<Message>,
    pub address: SocketAddr,
    pub worker: Scripted,
}

/// Starts an agent whose worker has reported.
pub async fn spawn() -> Running {
    let agent = spawn_without_report().await;
    agent.report(life());
    agent
}

/// Starts an agent whose worker hasn't reported yet.
pub async fn spawn_without_report() -> Running {
    let free = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("free port");
    let address = free.local_addr().expect("address");
    drop(free);
    let script = Script {
        start: StartOutcome::Running { clock_ms: None },
        holds_starts: false,
        stop: OrderOutcome::Taken,
        look: Ok(empty_look()),
        look_takes: Duration::ZERO,
        starts: Vec::new(),
        stops: Vec::new(),
        looks: Vec::new(),
        paces: Vec::new(),
    };
    let worker = Scripted(Arc::new(Mutex::new(script)));
    let context = Context {
        settings: settings::Agent {
            name: Arc::from("agent-1"),
            links_address: address,
            latency_harm_after: Duration::from_secs(4),
        },
        clock: clock::system(),
        calls: Arc::new(worker.calls()),
        store: Rows::with(Fault::None).store(),
        metrics: metrics::open(),
    };
    let actor = agent::spawn(context).await.expect("agent");
    Running { actor, address, worker }
}

impl Running {
    /// Reports the worker.
    pub fn report(&self, life: Life) {
        let report = Report {
            worker: Worker {
                life,
                service: Arc::from("portal"),
                failure_domain: Arc::from("a"),
                resources: Resources { processor_millicores: 16_000, ..Resources::default() },
                kind: None,
                rack: None,
                leaves_in: None,
                cold_for: Duration::ZERO,
            },
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            sequence: 1,
            clock_ms: Some(1_000),
        };
        self.actor.cast(Message::Report(Box::new(report))).expect("report");
    }
}

/// The placer's end of a link.
pub struct Link {
    pub sender: Sender<ToAgent>,
    receiver: Receiver,
}

/// Opens a link under a term.
pub async fn link(agent: &Running, term: u64) -> Link {
    let (sender, receiver) = connection::connect::<ToAgent>(agent.address, NO_SECRET).await.expect("link");
    sender.post(ToAgent::Hello { term });
    Link { sender, receiver }
}

impl Link {
    /// Waits for a message for which `choose` gives something; grants what the agent asks for meanwhile.
    pub async fn wait_for<T>(&mut self, what: &str, choose: impl Fn(FromAgent) -> Option<T>) -> T {
        let chosen = async {
            loop {
                let message = self.receiver.receive::<FromAgent>(SILENCE).await.expect("message");
                if let FromAgent::Ask { asked } | FromAgent::Inventory { asked, .. } = &message {
                    self.sender.post(ToAgent::Grant { asked: *asked, lease: LEASE });
                }
                if let Some(chosen) = choose(message) {
                    return chosen;
                }
            }
        };
        let Ok(chosen) = tokio::time::timeout(PATIENCE, chosen).await else {
            panic!("{what}: not within {PATIENCE:?}");
        };
        chosen
    }

    /// Runs and starts that the next inventory names.
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
