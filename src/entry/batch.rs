//! Actor that holds an entry's part of batch work: its shards of the queue, its claims and its lease.
//!
//! The table decides. Whatever this actor knows of a row may be old; each change is a write that is conditional on the
//! version known, and a lost write brings the row as it is.

pub mod explain;
pub mod jobs;
pub mod rows;

mod claims;
mod ends;
mod leases;
mod placing;
mod poll;
mod reports;
mod shards;
mod steps;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_link::message::ToAgent;
use chervilledge_link::task::{ClaimId, TaskCommand, TaskReport, WorkerState};
use chervilledge_policy::capacity::Resources;
use chervilledge_policy::clock::Clock;
use chervilledge_policy::collections::Map;
use chervilledge_policy::id::{BootId, Name};
use chervilledge_policy::interference::Interference;
use chervilledge_policy::kind::Kinds;
use chervilledge_policy::lease::RenewalRequest;
use chervilledge_policy::placement::{self, WorkerId};
use chervilledge_policy::queue::{Aging, Queue};
use chervilledge_policy::rollout::Stamp;
use chervilledge_policy::task::TaskId;
use chervilledge_policy::usage::Usage;
use chervilledge_store::client::Client;
use chervilledge_store::group::Group;
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use crate::entry::batch::claims::{Held, Stage};
use crate::entry::batch::explain::{Event, History};
use crate::entry::batch::leases::{Own, Renewed, Seen};
use crate::entry::batch::poll::Polled;
use crate::entry::batch::reports::Found;
use crate::entry::batch::rows::{JobRecord, TaskRecord};
use crate::entry::batch::shards::{Loaded, Shards};
use crate::entry::batch::steps::Written;
use crate::entry::fleet::{Fleet, Link};
use crate::rollout::Enforced;
use crate::settings::batch::Batch as Settings;

/// Message to the actor.
#[derive(Debug)]
pub enum Message {
    /// Reports of an agent.
    Reports {
        /// Link that carried them.
        link: Link,
        /// The reports.
        reports: Vec<TaskReport>,
    },
    /// Time for the next step.
    Tick,
    /// The table has changed through this entry.
    Changed,
    /// Result of a look at the table.
    Polled(Box<Polled>),
    /// Tasks of a job in one shard.
    Loaded(Box<Loaded>),
    /// Result of a write of the entry's own lease.
    Renewed(Renewed),
    /// Result of a take of another entry's lease.
    LeaseTaken(BootId),
    /// Result of a write of a shard's row; the version, if it took effect.
    ShardWritten {
        /// Row that was written.
        row: chervilledge_policy::shard::ShardRow,
        /// Version of the row, if the write took effect.
        version: Option<u64>,
    },
    /// The mark of a job in a shard was deleted, or couldn't be.
    MarkDeleted {
        /// Shard of the mark.
        shard: u32,
        /// Job of the mark.
        job: Name,
        /// Whether it was deleted.
        is_deleted: bool,
    },
    /// Result of a write of a task's row.
    Written {
        /// Claim that the write was about.
        claim: ClaimId,
        /// The result.
        written: Written,
    },
    /// Row of a claim that an agent has reported and this entry doesn't hold.
    Found(Box<Found>),
    /// The entry is about to end: others are to take its shards.
    Retire,
    /// Asks what happened to a task.
    Explain(TaskId, RpcReplyPort<Vec<Event>>),
    /// Asks for a dump of the state.
    Dump(RpcReplyPort<Value>),
}

/// What the actor is connected to.
#[derive(Clone, Debug)]
pub struct Context {
    /// Client of the platform.
    pub platform: Client,
    /// Gathers writes of tasks.
    pub commits: Group,
    /// Clock of the process.
    pub clock: Clock,
    /// Workers known to the entry.
    pub fleet: Arc<Fleet>,
    /// Configuration that the entry enforces.
    pub enforced: Arc<Enforced>,
    /// Settings of batch work.
    pub settings: Settings,
    /// Start of the entry.
    pub boot: BootId,
}

/// Worker whose agent is linked to this entry.
#[derive(Debug)]
struct Agent {
    link: Link,
    /// Newest ask under the entry's present lease.
    ask: Option<RenewalRequest>,
    /// When that ask came.
    asked: Option<Duration>,
    /// When a renewal was last granted.
    granted: Option<Duration>,
    state: WorkerState,
    /// Number in placement, once a renewal was granted.
    worker: Option<WorkerId>,
}

/// State of the actor.
#[derive(Debug)]
pub struct State {
    context: Context,
    myself: ActorRef<Message>,
    commits: Group,
    own: Own,
    seen: Map<BootId, Seen>,
    agents: Map<Name, Agent>,
    workers: placement::Fleet,
    kinds: Kinds,
    interference: Interference,
    usage: Usage,
    queue: Queue,
    shards: Shards,
    jobs: Map<Name, Arc<JobRecord>>,
    claims: Map<TaskId, Held>,
    /// Rows, with their versions, of tasks in owned shards that have one and whose claim this entry doesn't hold.
    known: Map<TaskId, (TaskRecord, u64)>,
    /// Marks to be rewritten, so that the owners of the shards look at their jobs again.
    touched: BTreeSet<(u32, Name)>,
    /// Stops that agents haven't answered, with the time when they were last sent.
    stops: Map<ClaimId, (Name, Duration)>,
    history: History,
    /// Configuration whose quotas the queue knows.
    enforced: Option<Stamp>,
    started: Duration,
    poll_due: Duration,
    is_polling: bool,
    place_due: Duration,
    /// When tasks were last placed.
    placed: Duration,
    counters: Counters,
}

/// Counters of batch work since the start of the entry.
#[derive(Clone, Copy, Debug, Default)]
struct Counters {
    claims: u64,
    starts: u64,
    completions: u64,
    failures: u64,
    evictions: u64,
    expirations: u64,
    handovers: u64,
    conflicts: u64,
    renewals: u64,
    polls: u64,
}

/// The actor.
#[derive(Debug)]
pub struct Batch;

impl Actor for Batch {
    type Msg = Message;
    type State = State;
    type Arguments = Context;

    async fn pre_start(&self, myself: ActorRef<Message>, args: Context) -> Result<State, ActorProcessingErr> {
        let context = args;
        let now = context.clock.now();
        Ok(State {
            commits: context.commits.clone(),
            own: Own::open(context.settings.lease, now),
            seen: Map::default(),
            agents: Map::default(),
            workers: placement::Fleet::open(context.boot.0),
            kinds: Kinds::default(),
            interference: Interference::default(),
            usage: Usage::default(),
            queue: Queue::open(Aging::default()),
            shards: Shards::default(),
            jobs: Map::default(),
            claims: Map::default(),
            known: Map::default(),
            touched: BTreeSet::new(),
            stops: Map::default(),
            history: History::default(),
            enforced: None,
            started: now,
            poll_due: now,
            is_polling: false,
            place_due: now,
            placed: Duration::ZERO,
            counters: Counters::default(),
            context,
            myself,
        })
    }

    async fn handle(
        &self,
        _: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Message::Reports { link, reports } => state.on_reports(&link, reports),
            Message::Tick => state.on_tick(),
            Message::Changed => state.poll_due = Duration::ZERO,
            Message::Polled(polled) => state.on_polled(&polled),
            Message::Loaded(loaded) => state.on_loaded(*loaded),
            Message::Renewed(renewed) => state.on_renewed(renewed),
            Message::LeaseTaken(lease) => state.on_lease_taken(lease),
            Message::ShardWritten { row, version } => state.on_shard_written(row, version),
            Message::MarkDeleted { shard, job, is_deleted } => state.on_mark_deleted(shard, &job, is_deleted),
            Message::Written { claim, written } => state.on_written(&claim, written),
            Message::Found(found) => state.on_found(*found),
            Message::Retire => state.retire(),
            Message::Explain(task, reply) => drop(reply.send(state.history.of(&task, state.now()))),
            Message::Dump(reply) => drop(reply.send(state.dump())),
        }
        state.place();
        Ok(())
    }
}

/// Starts to send ticks to the actor.
#[must_use]
pub fn spawn_ticks(batch: ActorRef<Message>, interval: Duration) -> JoinHandle<()> {
    tokio::spawn(async move {
        while batch.cast(Message::Tick).is_ok() {
            tokio::time::sleep(interval).await;
        }
    })
}

impl State {
    fn now(&self) -> Duration {
        self.context.clock.now()
    }

    fn on_tick(&mut self) {
        let now = self.now();
        self.renew();
        self.drop_closed_links();
        self.retry_writes(now);
        self.expire_claims(now);
        self.repeat_commands(now);
        self.touch_marks();
        if now >= self.poll_due && !self.is_polling {
            self.poll(now);
        }
    }

    /// Runs `work` beside the actor; its result comes back as a message.
    fn run(&self, work: impl Future<Output = Message> + Send + 'static) {
        let myself = self.myself.clone();
        tokio::spawn(async move {
            let message = work.await;
            // The actor stops with the process only.
            drop(myself.cast(message));
        });
    }

    /// Sends a command to a worker's agent, if it is linked.
    fn send(&self, worker: &str, command: TaskCommand) {
        if let Some(agent) = self.agents.get(worker) {
            agent.link.post(ToAgent::Tasks(vec![command]));
        }
    }

    fn drop_closed_links(&mut self) {
        let fleet = &self.context.fleet;
        let is_open =
            |agent: &Agent| fleet.link(&agent.link.worker).is_some_and(|link| link.number == agent.link.number);
        let closed: Vec<Name> =
            self.agents.iter().filter(|(_, agent)| !is_open(agent)).map(|(name, _)| Name::clone(name)).collect();
        for name in closed {
            self.own.bar(&name);
            if let Some(worker) = self.agents.remove(&name).and_then(|agent| agent.worker) {
                self.workers.leave(worker);
            }
        }
    }

    fn dump(&self) -> Value {
        let count = |stage: Stage| self.claims.values().filter(|held| held.stage == stage).count();
        let counters = self.counters;
        let agents: Vec<Value> = self
            .agents
            .iter()
            .map(
                |(name, agent)| json!({ "worker": name, "free": agent.state.free, "granted": agent.granted.is_some() }),
            )
            .collect();
        json!({
            "lease": self.own.id(),
            "lease_registered": self.own.is_registered(),
            "leases_seen": self.seen.len(),
            "shards_owned": self.shards.owned_count(),
            "jobs": self.jobs.len(),
            "queued": self.queue.len(),
            "claiming": count(Stage::Claiming),
            "sent": count(Stage::Sent),
            "started": count(Stage::Started),
            "claims": counters.claims,
            "starts": counters.starts,
            "completions": counters.completions,
            "failures": counters.failures,
            "evictions": counters.evictions,
            "expirations": counters.expirations,
            "handovers": counters.handovers,
            "conflicts": counters.conflicts,
            "renewals": counters.renewals,
            "polls": counters.polls,
            "platform_away": self.context.platform.is_away(),
            "agents": agents,
        })
    }

    /// Number of claims of this entry, by team.
    fn running(&self) -> Map<Name, u32> {
        let mut running: Map<Name, u32> = Map::default();
        for held in self.claims.values().filter(|held| held.is_charged) {
            *running.entry(Name::clone(&held.job.row.team)).or_default() += 1;
        }
        running
    }

    /// Resources that the claims of this entry hold, by team.
    fn used(&self) -> std::collections::BTreeMap<Name, Resources> {
        let mut used: std::collections::BTreeMap<Name, Resources> = std::collections::BTreeMap::new();
        for held in self.claims.values().filter(|held| held.is_charged) {
            let team = used.entry(Name::clone(&held.job.row.team)).or_default();
            *team = team.checked_add(&held.job.row.declared).unwrap_or(*team);
        }
        used
    }
}
