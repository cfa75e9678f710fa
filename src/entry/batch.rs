//! Actor for an entry's share of batch scheduling: the queue shards that it owns, its claims and its lease.
//!
//! The table is the source of truth. The actor's copies of rows may be stale, so each change is written conditionally
//! on the version that the actor knows, and a version conflict returns the current row.

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

use crate::entry::batch::claims::{Stage, TrackedTask};
use crate::entry::batch::explain::{Event, History};
use crate::entry::batch::leases::{ObservedLease, OwnLease, RenewalResult};
use crate::entry::batch::poll::Polled;
use crate::entry::batch::reports::ReportedClaimRows;
use crate::entry::batch::rows::{JobRecord, TaskRecord};
use crate::entry::batch::shards::{Loaded, Shards};
use crate::entry::batch::steps::WriteResult;
use crate::entry::fleet::{Fleet, Link};
use crate::rollout::Enforced;
use crate::settings::batch::Batch as Settings;

/// Message to the actor.
#[derive(Debug)]
pub enum Message {
    /// Reports from an agent.
    Reports {
        /// Link on which they arrived.
        link: Link,
        /// The reports.
        reports: Vec<TaskReport>,
    },
    /// Periodic tick that runs the timed work.
    Tick,
    /// This entry has changed the table, so the actor polls it at the next tick.
    Changed,
    /// Result of a poll of the table.
    Polled(Box<Polled>),
    /// Rows of a job's tasks in one shard.
    Loaded(Box<Loaded>),
    /// Result of a write of the entry's own lease.
    Renewed(RenewalResult),
    /// Another entry's lease was taken over.
    LeaseTaken(BootId),
    /// Result of a write of a shard's row.
    ShardWritten {
        /// Row that was written.
        row: chervilledge_policy::shard::ShardRow,
        /// New version of the row, if the write took effect.
        version: Option<u64>,
    },
    /// Result of a deletion of a job's queue marker in a shard.
    MarkerDeleted {
        /// Shard of the marker.
        shard: u32,
        /// Job of the marker.
        job: Name,
        /// Whether it was deleted.
        is_deleted: bool,
    },
    /// Result of a write of a task's row.
    TaskWritten {
        /// Claim whose task row was written.
        claim: ClaimId,
        /// The result.
        result: WriteResult,
    },
    /// Rows of a claim that an agent has reported and that this entry doesn't track.
    ReportedClaimRead(Box<ReportedClaimRows>),
    /// The entry is shutting down and hands its shards over to other entries.
    Retire,
    /// Requests the recent events of a task.
    Explain(TaskId, RpcReplyPort<Vec<Event>>),
    /// Requests a dump of the state.
    Dump(RpcReplyPort<Value>),
}

/// Dependencies of the actor.
#[derive(Clone, Debug)]
pub struct Context {
    /// Client of the platform.
    pub platform: Client,
    /// Group commit for writes of task rows.
    pub commits: Group,
    /// Clock of the process.
    pub clock: Clock,
    /// Workers known to the entry.
    pub fleet: Arc<Fleet>,
    /// Configuration that the entry enforces.
    pub enforced: Arc<Enforced>,
    /// Settings of batch work.
    pub settings: Settings,
    /// Boot identifier of the entry process.
    pub boot: BootId,
}

/// Worker whose agent is linked to this entry.
#[derive(Debug)]
struct Agent {
    link: Link,
    /// Newest renewal request under the entry's current lease.
    renewal_request: Option<RenewalRequest>,
    /// When that request arrived.
    last_requested: Option<Duration>,
    /// When a renewal was last granted.
    last_granted: Option<Duration>,
    state: WorkerState,
    /// Identifier in placement, assigned when the first renewal is granted.
    worker: Option<WorkerId>,
}

/// State of the actor.
#[derive(Debug)]
pub struct State {
    context: Context,
    myself: ActorRef<Message>,
    commits: Group,
    own_lease: OwnLease,
    other_leases: Map<BootId, ObservedLease>,
    agents: Map<Name, Agent>,
    workers: placement::Fleet,
    kinds: Kinds,
    interference: Interference,
    usage: Usage,
    queue: Queue,
    shards: Shards,
    jobs: Map<Name, Arc<JobRecord>>,
    claims: Map<TaskId, TrackedTask>,
    /// Existing rows, with their versions, of tasks in owned shards that aren't in `claims`.
    untracked: Map<TaskId, (TaskRecord, u64)>,
    /// Queue markers to rewrite, so that the shards' owners reload the jobs.
    markers_to_touch: BTreeSet<(u32, Name)>,
    /// Stop commands that agents haven't answered: worker, and time at which the command was last sent.
    pending_stops: Map<ClaimId, (Name, Duration)>,
    history: History,
    /// Version of the configuration whose quotas the queue applies.
    enforced: Option<Stamp>,
    started: Duration,
    poll_at: Duration,
    is_polling: bool,
    place_at: Duration,
    /// Time of the last placement round.
    last_placed: Duration,
    counters: Counters,
}

/// Batch scheduling counters since the entry started.
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
            own_lease: OwnLease::open(context.settings.lease, now),
            other_leases: Map::default(),
            agents: Map::default(),
            workers: placement::Fleet::open(context.boot.0),
            kinds: Kinds::default(),
            interference: Interference::default(),
            usage: Usage::default(),
            queue: Queue::open(Aging::default()),
            shards: Shards::default(),
            jobs: Map::default(),
            claims: Map::default(),
            untracked: Map::default(),
            markers_to_touch: BTreeSet::new(),
            pending_stops: Map::default(),
            history: History::default(),
            enforced: None,
            started: now,
            poll_at: now,
            is_polling: false,
            place_at: now,
            last_placed: Duration::ZERO,
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
            Message::Changed => state.poll_at = Duration::ZERO,
            Message::Polled(polled) => state.on_polled(&polled),
            Message::Loaded(loaded) => state.on_loaded(*loaded),
            Message::Renewed(result) => state.on_renewed(result),
            Message::LeaseTaken(lease) => state.on_lease_taken(lease),
            Message::ShardWritten { row, version } => state.on_shard_written(row, version),
            Message::MarkerDeleted { shard, job, is_deleted } => state.on_marker_deleted(shard, &job, is_deleted),
            Message::TaskWritten { claim, result } => state.on_task_written(&claim, result),
            Message::ReportedClaimRead(found) => state.on_reported_claim_read(*found),
            Message::Retire => state.retire(),
            Message::Explain(task, reply) => drop(reply.send(state.history.events_of(&task, state.now()))),
            Message::Dump(reply) => drop(reply.send(state.dump())),
        }
        state.place_tasks();
        Ok(())
    }
}

/// Spawns a task that sends ticks to the actor at `interval`.
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
        self.resend_commands(now);
        self.touch_markers();
        if now >= self.poll_at && !self.is_polling {
            self.poll(now);
        }
    }

    /// Runs `work` in a separate task, and sends its result to the actor as a message.
    fn run_in_background(&self, work: impl Future<Output = Message> + Send + 'static) {
        let myself = self.myself.clone();
        tokio::spawn(async move {
            let message = work.await;
            // Sending fails only while the process shuts down, since the actor lives as long as the process.
            drop(myself.cast(message));
        });
    }

    /// Sends a command to a worker's agent, if the agent is linked.
    fn send_command(&self, worker: &str, command: TaskCommand) {
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
            self.own_lease.block_grants(&name);
            if let Some(worker) = self.agents.remove(&name).and_then(|agent| agent.worker) {
                self.workers.leave(worker);
            }
        }
    }

    fn dump(&self) -> Value {
        let count = |stage: Stage| self.claims.values().filter(|tracked| tracked.stage == stage).count();
        let counters = self.counters;
        let agents: Vec<Value> = self
            .agents
            .iter()
            .map(|(name, agent)| {
                json!({
                    "worker": name, "free": agent.state.free, "granted": agent.last_granted.is_some(),
                })
            })
            .collect();
        json!({
            "lease": self.own_lease.id(),
            "lease_registered": self.own_lease.is_registered(),
            "leases_seen": self.other_leases.len(),
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

    /// Number of this entry's claims that count against a quota, by team.
    fn running_by_team(&self) -> Map<Name, u32> {
        let mut running: Map<Name, u32> = Map::default();
        for tracked in self.claims.values().filter(|tracked| tracked.is_charged) {
            *running.entry(Name::clone(&tracked.job.row.team)).or_default() += 1;
        }
        running
    }

    /// Resources of this entry's claims that count against a quota, by team.
    fn used_by_team(&self) -> std::collections::BTreeMap<Name, Resources> {
        let mut used: std::collections::BTreeMap<Name, Resources> = std::collections::BTreeMap::new();
        for tracked in self.claims.values().filter(|tracked| tracked.is_charged) {
            let team = used.entry(Name::clone(&tracked.job.row.team)).or_default();
            *team = team.checked_add(&tracked.job.row.declared).unwrap_or(*team);
        }
        used
    }
}
