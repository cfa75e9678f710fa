//! Actor that holds the batch tasks of an agent's worker.
//!
//! It alone decides what the worker holds. After a start it first takes stock of the worker, and admits nothing before.
//! A task executes while the lease that covers its claim is valid; the worker is told the end of each lease and
//! enforces it by itself.

pub mod calls;
pub mod held;

mod colocation;
mod commands;
mod leases;
mod stock;

use std::sync::Arc;
use std::time::Duration;

use chervilledge_link::connection::Sender;
use chervilledge_link::message::ToEntry;
use chervilledge_link::task::{ClaimId, End, TaskCommand, TaskReport, WorkerState};
use chervilledge_policy::capacity::Resources;
use chervilledge_policy::clock::Clock;
use chervilledge_policy::code::Code;
use chervilledge_policy::collections::Map;
use chervilledge_policy::id::{BootId, Name, RequestId};
use chervilledge_policy::lease::Holder;
use chervilledge_policy::reservation::Reservations;
use chervilledge_policy::task::TaskId;
use chervilledge_worker::runtime::Runtime;
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use crate::agent::dial::LinkId;
use crate::agent::tasks::calls::{Call, Called, Calls, Order};
use crate::agent::tasks::colocation::Colocation;
use crate::agent::tasks::held::{Stage, Task};
use crate::rollout::Enforced;
use crate::settings::batch::Batch;

/// Time within which the worker obeys a start or never does; it is renewed to the whole lease afterwards.
///
/// A restarted agent takes stock only after this time, so that no start of its predecessor can follow.
const START_LEASE: Duration = Duration::from_secs(1);

/// Time between two reports of something that an entry hasn't settled.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two reports of nothing but another latency.
const LATENCY_INTERVAL: Duration = Duration::from_secs(2);

/// Steps in which latency is reported, in thousandths of its target.
const LATENCY_STEP_PERMILLE: u64 = 100;

/// Message to the actor.
#[derive(Debug)]
pub enum Message {
    /// A link to an entry is open.
    Linked {
        /// Start of the entry.
        entry: BootId,
        /// Which link it is.
        link: LinkId,
        /// Sends on the link.
        sender: Sender<ToEntry>,
    },
    /// A link to an entry has ended.
    Unlinked {
        /// Start of the entry.
        entry: BootId,
        /// Which link it was.
        link: LinkId,
    },
    /// Commands of an entry.
    Commands {
        /// Start of the entry.
        entry: BootId,
        /// The commands.
        commands: Vec<TaskCommand>,
    },
    /// Result of a call to the worker.
    Called(Called),
    /// The backend server was given a request.
    RequestStarted(RequestId),
    /// The backend server has begun to answer a request.
    RequestAnswered {
        /// The request.
        request: RequestId,
        /// Time that it took.
        latency: Duration,
    },
    /// A request has left the backend server, answered or not.
    RequestLeft(RequestId),
    /// Time for the next step.
    Tick,
    /// No new task is to be taken, and those held are to be evicted.
    Drain,
    /// Asks whether a drain has ended.
    IsDrained(RpcReplyPort<bool>),
    /// Asks for a dump of the state.
    Dump(RpcReplyPort<Value>),
}

/// What the actor is made of.
#[derive(Debug)]
pub struct Arguments {
    /// Start of the agent.
    pub boot: BootId,
    /// Clock of the process.
    pub clock: Clock,
    /// Client of the worker's task runtime.
    pub runtime: Runtime,
    /// What the worker can hold.
    pub capacity: Resources,
    /// Settings of batch work.
    pub settings: Batch,
    /// Service of the backend server.
    pub service: Name,
    /// Configuration that the agent enforces.
    pub enforced: Arc<Enforced>,
}

/// Link to one entry.
#[derive(Debug)]
struct Peer {
    link: LinkId,
    sender: Sender<ToEntry>,
    /// Lease that the entry holds, once it has named it.
    lease: Option<BootId>,
    joined: Option<Duration>,
    /// When the entry was last told the state.
    told_at: Duration,
    /// State that the entry was told.
    told: WorkerState,
}

/// End of a claim that no entry has settled yet.
#[derive(Clone, Copy, Debug)]
struct Unsettled {
    end: End,
    /// Lease that covered the claim.
    lease: Option<BootId>,
    reported: Option<Duration>,
}

/// State of the actor.
#[derive(Debug)]
pub struct State {
    boot: BootId,
    clock: Clock,
    settings: Batch,
    calls: Calls,
    reservations: Reservations,
    colocation: Colocation,
    tasks: Map<TaskId, Task>,
    unsettled: Map<ClaimId, Unsettled>,
    peers: Map<BootId, Peer>,
    holders: Map<BootId, Holder>,
    /// Time from which a list of the worker's tasks is complete.
    stock_from: Duration,
    /// When the list that is under way was asked for.
    listing: Option<Duration>,
    next_cover: u64,
    is_draining: bool,
}

/// The actor.
#[derive(Debug)]
pub struct Tasks;

impl Actor for Tasks {
    type Msg = Message;
    type State = State;
    type Arguments = Arguments;

    async fn pre_start(&self, myself: ActorRef<Message>, args: Arguments) -> Result<State, ActorProcessingErr> {
        let now = args.clock.now();
        // The actor stops with the process only.
        let called = move |called| drop(myself.cast(Message::Called(called)));
        Ok(State {
            boot: args.boot,
            calls: calls::spawn(args.runtime, args.clock.clone(), called),
            clock: args.clock,
            settings: args.settings,
            reservations: Reservations::open(args.capacity, args.boot),
            colocation: Colocation::open(args.service, args.enforced, now),
            tasks: Map::default(),
            unsettled: Map::default(),
            peers: Map::default(),
            holders: Map::default(),
            stock_from: now + START_LEASE,
            listing: None,
            next_cover: 1,
            is_draining: false,
        })
    }

    async fn handle(
        &self,
        _: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Message::Linked { entry, link, sender } => {
                let peer = Peer {
                    link,
                    sender,
                    lease: None,
                    joined: None,
                    told_at: Duration::ZERO,
                    told: WorkerState::default(),
                };
                state.peers.insert(entry, peer);
                state.join(state.clock.now());
            }
            Message::Unlinked { entry, link } => {
                if state.peers.get(&entry).is_some_and(|peer| peer.link == link) {
                    state.peers.remove(&entry);
                }
            }
            Message::Commands { entry, commands } => state.on_commands(entry, commands),
            Message::Called(called) => state.on_called(called),
            Message::RequestStarted(request) => state.colocation.request_started(request, state.clock.now()),
            Message::RequestAnswered { request, latency } => {
                state.colocation.request_ended(request, latency, state.clock.now());
            }
            Message::RequestLeft(request) => state.colocation.request_left(request),
            Message::Tick => state.on_tick(),
            Message::Drain => state.drain(),
            Message::IsDrained(reply) => drop(reply.send(state.tasks.is_empty() && state.unsettled.is_empty())),
            Message::Dump(reply) => drop(reply.send(state.dump())),
        }
        Ok(())
    }
}

/// Starts to send ticks to the actor.
#[must_use]
pub fn spawn_ticks(tasks: ActorRef<Message>, interval: Duration) -> JoinHandle<()> {
    tokio::spawn(async move {
        while tasks.cast(Message::Tick).is_ok() {
            tokio::time::sleep(interval).await;
        }
    })
}

impl State {
    fn on_tick(&mut self) {
        let now = self.clock.now();
        if self.listing.is_none() {
            self.listing = Some(now);
            self.calls.push(Call::List);
        }
        self.join(now);
        self.tell_state();
        self.keep_leases(now);
        if self.is_draining {
            self.drain();
        }
        self.keep_tasks(now);
        self.control_colocation(now);
        self.report_unsettled(now);
    }

    /// Announces the worker's tasks on links that don't know of them yet, once stock has been taken.
    fn join(&mut self, now: Duration) {
        if !self.reservations.is_stock_taken() {
            return;
        }
        let state = self.worker_state();
        for peer in self.peers.values_mut() {
            let is_due = peer.joined.is_none_or(|joined| now >= joined + REPEAT_INTERVAL);
            if peer.lease.is_none() && is_due {
                peer.joined = Some(now);
                peer.told = state;
                peer.report(TaskReport::Joined(state));
            }
        }
    }

    fn tell_state(&mut self) {
        let now = self.clock.now();
        let state = self.worker_state();
        for peer in self.peers.values_mut().filter(|peer| peer.joined.is_some() && peer.told != state) {
            let is_latency_only = WorkerState { latency_permille: state.latency_permille, ..peer.told } == state;
            if is_latency_only && now < peer.told_at + LATENCY_INTERVAL {
                continue;
            }
            peer.told_at = now;
            peer.told = state;
            peer.report(TaskReport::State(state));
        }
    }

    fn worker_state(&self) -> WorkerState {
        let free = if self.is_draining { Resources::default() } else { self.reservations.free() };
        let latency = self.colocation.latency_permille() / LATENCY_STEP_PERMILLE * LATENCY_STEP_PERMILLE;
        let latency_permille = u32::try_from(latency).unwrap_or(u32::MAX);
        WorkerState { free, used: self.reservations.reserved(), latency_permille }
    }

    /// Evicts every task with its progress, so that it goes on elsewhere.
    fn drain(&mut self) {
        self.is_draining = true;
        self.tell_state();
        let held: Vec<ClaimId> =
            self.tasks.iter().map(|(task, held)| ClaimId { task: task.clone(), epoch: held.epoch }).collect();
        for claim in held {
            self.evict(&claim, Code::Draining);
        }
    }

    /// Stops a task and reports the progress that it had.
    fn evict(&mut self, claim: &ClaimId, code: Code) {
        let Some(task) = self.tasks.get_mut(&claim.task).filter(|task| task.epoch == claim.epoch) else { return };
        if matches!(task.stage, Stage::Held) {
            task.stage = Stage::Stopping(End::Evicted { code, progress_ms: 0 });
            self.calls.order(claim, Order::Checkpoint);
            self.calls.order(claim, Order::Stop);
        }
    }

    /// Notes the end of a claim, and reports it.
    fn end(&mut self, claim: ClaimId, end: End, lease: Option<BootId>) {
        log::info!(event = "claim_ended", task:% = claim.task, epoch = claim.epoch.0, end:? = end; "");
        self.unsettled.insert(claim, Unsettled { end, lease, reported: None });
        self.tell_state();
        self.report_unsettled(self.clock.now());
    }

    fn report_unsettled(&mut self, now: Duration) {
        for (claim, unsettled) in &mut self.unsettled {
            if unsettled.reported.is_some_and(|reported| now < reported + REPEAT_INTERVAL) {
                continue;
            }
            let own = self.peers.values().find(|peer| peer.lease.is_some() && peer.lease == unsettled.lease);
            let Some(peer) = own.or_else(|| self.peers.values().find(|peer| peer.lease.is_some())) else { return };
            unsettled.reported = Some(now);
            peer.report(TaskReport::Ended { claim: claim.clone(), end: unsettled.end });
        }
    }

    /// Link to the entry that holds a lease.
    fn peer_of(&self, lease: BootId) -> Option<&Peer> {
        self.peers.values().find(|peer| peer.lease == Some(lease))
    }

    fn dump(&self) -> Value {
        let now = self.clock.now();
        let tasks: Vec<Value> = self
            .tasks
            .iter()
            .map(|(task, held)| {
                json!({
                    "task": task.to_string(), "epoch": held.epoch, "kind": held.kind, "lease": held.lease,
                    "stage": format!("{:?}", held.stage), "state": held.state, "share_percent": held.share_percent,
                })
            })
            .collect();
        let leases: Vec<Value> =
            self.holders.iter().map(|(lease, holder)| json!({ "lease": lease, "phase": holder.phase(now) })).collect();
        json!({
            "stock_taken": self.reservations.is_stock_taken(),
            "reserved": self.reservations.reserved(),
            "tasks": tasks,
            "unsettled": self.unsettled.len(),
            "leases": leases,
        })
    }
}

impl Peer {
    fn report(&self, report: TaskReport) {
        self.sender.post(ToEntry::Tasks(vec![report]));
    }
}
