//! Agent beside a worker; the only process that calls it.
//!
//! It obeys one placer at a time, the one with the highest term, and renews the worker's lease only under that placer's
//! grants. A worker that restarts keeps its name and becomes a new incarnation, identified by its `Life`.

mod crashes;
mod leases;
mod links;
mod looks;
mod orders;
mod paces;
mod reports;
mod retirement;
mod row;
mod terms;
mod tracked;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_caller::budget::{self, Budget, Limits};
use chervilledge_cell::authority::{LEASE_SLACK, lapse_after};
use chervilledge_cell::evacuation::EvacuatedDomains;
use chervilledge_cell::grant::{Grant, lease_end_ms};
use chervilledge_cell::interference::Interference;
use chervilledge_cell::job::TaskId;
use chervilledge_cell::pace::Paces;
use chervilledge_cell::worker::{CrashReport, Life, RunTraits};
use chervilledge_link::connection::Sender;
use chervilledge_policy::clock::Clock;
use chervilledge_policy::collections::Map;
use chervilledge_policy::id::Name;
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use self::leases::LeaseCalls;
use self::reports::OtherReport;
use self::retirement::Retirement;
pub use self::retirement::retire;
use self::terms::NewestTerm;
use self::tracked::{Identity, TrackedWorker};
use crate::clock::whole_ms;
use crate::message::{FromAgent, HEARTBEAT_INTERVAL, ToAgent};
use crate::metrics::Metrics;
use crate::settings;
use crate::settings::LEASE_MAX;
use crate::store::Handle;
use crate::worker::{Calls, OrderOutcome, PollError, PollRequest, PollResponse, Report, StartOutcome, Target};

/// Interval of the checks that depend only on time.
const TICK: Duration = Duration::from_millis(100);

/// Task and number of a run.
type RunId = (TaskId, u64);

/// Message to the agent.
#[derive(Debug)]
pub enum Message {
    /// Periodic timer.
    Tick,
    /// The worker has reported its state.
    Report(Box<Report>),
    /// The worker with this name has announced its end.
    Leave(Name),
    /// A placer has opened a link.
    Linked {
        /// Link identifier.
        link: u64,
        /// Sending half of the link.
        sender: Sender<FromAgent>,
    },
    /// A link has ended.
    Unlinked(u64),
    /// Message from a placer.
    FromPlacer {
        /// Link identifier.
        link: u64,
        /// The message.
        message: Box<ToAgent>,
    },
    /// A poll of the worker has finished.
    Polled {
        /// Incarnation that was polled.
        life: Life,
        /// Term under which it was polled.
        term: u64,
        /// When the call was sent.
        sent: Duration,
        /// What was sent.
        request: PollRequest,
        /// Response.
        response: Result<PollResponse, PollError>,
    },
    /// An order to start has finished.
    Started {
        /// The run.
        run: RunId,
        /// Incarnation that the order was meant for.
        life: Life,
        /// When the call was sent.
        sent: Duration,
        /// Result.
        result: StartOutcome,
    },
    /// An order to stop has finished.
    Stopped {
        /// The run.
        run: RunId,
        /// Incarnation that the order was meant for.
        life: Life,
        /// Result.
        result: OrderOutcome,
    },
    /// An order to set the pace has finished.
    Paced {
        /// The run.
        run: RunId,
        /// Pace in percent.
        percent: u32,
        /// Result.
        result: OrderOutcome,
    },
    /// The newest term in the store.
    NewestTerm(u64),
    /// The agent's row has been written.
    Announced,
    /// Requests a dump of the state.
    Dump(RpcReplyPort<Value>),
    /// Announces that the process stops.
    Retire {
        /// Time after which it stops.
        within: Duration,
        /// Answered once no worker needs the agent any more.
        idle: RpcReplyPort<()>,
    },
}

/// Dependencies of an agent.
#[derive(Clone, Debug)]
pub struct Context {
    /// Settings.
    pub settings: settings::Agent,
    /// Clock of the process.
    pub clock: Clock,
    /// Client of the worker.
    pub calls: Arc<Calls>,
    /// Store that holds the agent's row.
    pub store: Handle,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
}

/// Order to start that the worker hasn't answered yet.
#[derive(Debug)]
struct PendingStart {
    order: chervilledge_cell::worker::StartOrder,
    /// When the first attempt was sent.
    since: Duration,
    attempts: u32,
    is_calling: bool,
    /// When the next attempt may be sent.
    due: Duration,
}

/// Order to start that the worker has acknowledged.
#[derive(Clone, Copy, Debug)]
struct AcknowledgedStart {
    at: Duration,
    /// Another incarnation of the worker may have given the answer.
    is_doubtful: bool,
}

/// Order to stop whose effect isn't confirmed yet.
#[derive(Debug)]
struct PendingStop {
    /// When the run was to be stopped.
    since: Duration,
    /// Calls that were sent.
    attempts: u32,
    /// When the worker acknowledged the order.
    acknowledged_at: Option<Duration>,
    is_calling: bool,
    due: Duration,
}

impl PendingStop {
    const fn new(now: Duration) -> Self {
        Self { since: now, attempts: 0, acknowledged_at: None, is_calling: false, due: now }
    }
}

/// State of the agent.
#[derive(Debug)]
pub struct State {
    context: Context,
    myself: ActorRef<Message>,
    /// Highest term of a placer that was obeyed.
    term: u64,
    newest_term: NewestTerm,
    link: Option<(u64, Sender<FromAgent>)>,
    /// Links whose placer hasn't sent its term yet.
    unidentified_links: Map<u64, Sender<FromAgent>>,
    /// When the placer requested an inventory, which must come from a poll sent after this time.
    inventory_due: Option<Duration>,
    /// Whether an inventory without all ends was sent; the whole one follows when the worker lists the last of them.
    is_inventory_partial: bool,
    grant: Grant,
    /// Failure domains in which nothing may start, as learned from any placer.
    evacuated: EvacuatedDomains,
    tracked: Option<TrackedWorker>,
    /// Latest report of an incarnation other than the confirmed one.
    other_report: Option<OtherReport>,
    /// Previous incarnation of the worker, while the placer still counts on it.
    previous_life: Option<Life>,
    /// Calls from which the worker's next life may get a lease.
    lease_calls: LeaseCalls,
    /// Latest end of the leases that calls meant for former lives may have granted.
    foreign_lease_until: Duration,
    /// Time from which a worker that has ended, or was never known, can't run anything any more.
    empty_at: Duration,
    pending_starts: Map<RunId, PendingStart>,
    /// Starts with an unanswered attempt, and the time of the last one.
    unanswered: Map<RunId, Duration>,
    /// Acknowledged starts; kept until a poll that was sent after the acknowledgement.
    acknowledged_starts: Map<RunId, AcknowledgedStart>,
    pending_stops: Map<RunId, PendingStop>,
    /// When the start of each run was last sent before the worker listed it, or when it was first listed.
    started_at: Map<RunId, Duration>,
    /// Crashes of the worker that the placer hasn't settled, the oldest first.
    crashes: VecDeque<CrashReport>,
    /// Silent life of the worker that was given up, and has crashed unless it is heard of again.
    silent_life: Option<CrashReport>,
    /// Whether the placer records crashes.
    placer_knows_crashes: bool,
    traits: Map<RunId, RunTraits>,
    ordered_paces: Map<RunId, u32>,
    /// Target paces of filling runs, derived from the serving runs beside them and from their urgencies.
    decided_paces: Paces,
    /// Latency headroom of serving images as last reported to the placer.
    reported_headroom: Map<Name, f64>,
    interference: Interference,
    /// When interference was last measured from a poll.
    observed_at: Duration,
    effects_due: Duration,
    grant_request_due: Duration,
    report_due: Duration,
    unlinked_since: Duration,
    announce_due: Duration,
    /// When the agent last handled a message.
    active_at: Duration,
    /// End of the last pause of the process in which its row may have been deleted.
    resumed_at: Option<Duration>,
    /// A placer may have ordered the deletion of the row, which may take effect late, and spares only a newer one.
    is_row_doubtful: bool,
    retirement: Option<Retirement>,
    /// Latest write of the agent's row, and whether it leaves one.
    row_write: Option<(bool, JoinHandle<()>)>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for State {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Actor that controls a worker.
#[derive(Debug)]
pub struct Agent;

/// Starts an agent.
///
/// # Errors
///
/// The error of the operating system when the address for links can't be bound.
pub async fn spawn(context: Context) -> std::io::Result<ActorRef<Message>> {
    let budget = budget::open(Limits::default(), context.clock.clone());
    spawn_within(context, &budget).await
}

/// As [`spawn`], with a budget for links that the agent shares with its other listeners.
///
/// # Errors
///
/// As [`spawn`].
pub async fn spawn_within(context: Context, budget: &Budget) -> std::io::Result<ActorRef<Message>> {
    let listener = TcpListener::bind(context.settings.links_address).await?;
    let (actor, _) = Actor::spawn(None, Agent, context).await.map_err(std::io::Error::other)?;
    tokio::spawn(links::accept_all(listener, actor.clone(), budget.clone()));
    Ok(actor)
}

impl Actor for Agent {
    type Msg = Message;
    type State = State;
    type Arguments = Context;

    async fn pre_start(&self, myself: ActorRef<Message>, args: Context) -> Result<State, ActorProcessingErr> {
        let context = args;
        let now = context.clock.now();
        let tasks = vec![
            tokio::spawn(tick(myself.clone())),
            tokio::spawn(terms::read_newest(Arc::clone(&context.store), myself.clone())),
        ];
        Ok(State {
            myself,
            term: 0,
            newest_term: NewestTerm::unknown(now),
            link: None,
            unidentified_links: Map::default(),
            inventory_due: None,
            is_inventory_partial: false,
            grant: Grant::default(),
            evacuated: EvacuatedDomains::default(),
            tracked: None,
            other_report: None,
            previous_life: None,
            lease_calls: LeaseCalls::default(),
            foreign_lease_until: Duration::ZERO,
            empty_at: now + lapse_after(LEASE_MAX),
            pending_starts: Map::default(),
            unanswered: Map::default(),
            acknowledged_starts: Map::default(),
            pending_stops: Map::default(),
            started_at: Map::default(),
            crashes: VecDeque::new(),
            silent_life: None,
            placer_knows_crashes: false,
            traits: Map::default(),
            ordered_paces: Map::default(),
            decided_paces: Paces::new(context.settings.latency_harm_after),
            reported_headroom: Map::default(),
            interference: Interference::default(),
            observed_at: Duration::ZERO,
            effects_due: Duration::ZERO,
            grant_request_due: Duration::ZERO,
            report_due: Duration::ZERO,
            unlinked_since: now,
            announce_due: now,
            active_at: now,
            resumed_at: None,
            is_row_doubtful: false,
            retirement: None,
            row_write: None,
            tasks,
            context,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.context.clock.now();
        state.detect_pause(now);
        match message {
            Message::Tick => state.tick(now),
            Message::Report(report) => state.handle_report(*report, now),
            Message::Leave(name) => state.handle_leave(&name, now),
            Message::Linked { link, sender } => {
                state.unidentified_links.insert(link, sender);
            }
            Message::Unlinked(link) => state.handle_link_closed(link, now),
            Message::FromPlacer { link, message } => state.handle_placer_message(link, *message, now),
            Message::Polled { life, term, sent, request, response } => {
                state.handle_poll(&life, term, sent, request, response, now);
            }
            Message::Started { run, life, sent, result } => state.handle_start_outcome(run, &life, sent, result, now),
            Message::Stopped { run, life, result } => state.handle_stop_outcome(run, &life, result, now),
            Message::Paced { run, percent, result } => state.handle_pace_outcome(run, percent, result),
            Message::NewestTerm(term) => state.handle_newest_term(term, now),
            Message::Announced => state.is_row_doubtful = false,
            Message::Dump(reply) => drop(reply.send(state.dump(now))),
            Message::Retire { within, idle } => state.retire(within, idle, now),
        }
        state.end_retirement_if_idle(now);
        state.poll_if_due(now);
        Ok(())
    }
}

async fn tick(agent: ActorRef<Message>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if agent.cast(Message::Tick).is_err() {
            return;
        }
    }
}

impl State {
    fn tick(&mut self, now: Duration) {
        if now >= self.grant_request_due && self.link.is_some() {
            self.grant_request_due = now + HEARTBEAT_INTERVAL;
            self.request_grant(now);
        }
        self.announce_if_due(now);
        self.expire_silent_worker(now);
        self.release_held_starts(now);
        self.repeat_pending_starts(now);
        self.send_pending_stops(now);
        self.report_progress(now);
        self.report_effects(now);
        if self.tracked.is_none() && self.inventory_due.is_some() && now >= self.empty_at {
            self.send_inventory();
        }
    }

    fn request_grant(&self, now: Duration) {
        self.send_to_placer(FromAgent::Ask { asked: now, stops_in: self.stops_in(now) });
    }

    fn handle_leave(&mut self, name: &Name, now: Duration) {
        if self.tracked.as_ref().is_some_and(|tracked| tracked.worker.life.worker == *name) {
            // Another worker is tracked from its next report on, after the row is deleted.
            self.other_report = None;
            self.handle_worker_end("left", now);
            // No placer has to wait for an agent whose worker has left.
            self.write_row(None);
        }
    }

    /// Handles a worker that has restarted under the same name.
    ///
    /// Orders name the worker and not its incarnation, so orders meant for the previous one may have been executed by
    /// the new one, or may still be. The placer learns of the restart from the inventory, which lists such runs.
    ///
    /// `life_age` is the age of the new one.
    fn handle_worker_restart(&mut self, life_age: Duration, now: Duration) {
        self.report_crash(life_age, now);
        let Some(tracked) = self.tracked.take() else { return };
        self.prune_unanswered(now);
        let uncertain_runs: Vec<RunId> = self
            .pending_starts
            .keys()
            .chain(self.pending_stops.keys())
            .chain(self.unanswered.keys())
            .copied()
            .collect();
        log::info!(event = "worker_reborn", worker = &*tracked.worker.life.worker, runs = tracked.running.len(),
            doubtful = uncertain_runs.len(); "");
        self.previous_life.get_or_insert(tracked.worker.life);
        self.started_at.clear();
        self.pending_starts.clear();
        self.acknowledged_starts.clear();
        self.traits.clear();
        self.ordered_paces.clear();
        self.pending_stops = uncertain_runs.into_iter().map(|run| (run, PendingStop::new(now))).collect();
        self.empty_at = self.empty_at.max(now);
    }

    /// Records that the worker has ended.
    fn handle_worker_end(&mut self, reason: &'static str, now: Duration) {
        match reason {
            "left" => {}
            "silent" => self.silent_life = self.crash_report(Duration::ZERO, now),
            _ => self.report_crash(Duration::ZERO, now),
        }
        let Some(tracked) = self.tracked.take() else { return };
        log::info!(event = "worker_over", worker = &*tracked.worker.life.worker, reason = reason,
            runs = tracked.running.len(), starting = self.pending_starts.len(); "");
        self.started_at.clear();
        self.pending_starts.clear();
        self.acknowledged_starts.clear();
        self.pending_stops.clear();
        self.traits.clear();
        self.ordered_paces.clear();
        // Until any lease granted by an earlier start of this agent has certainly ended, an unknown incarnation may be
        // running.
        self.empty_at = self.empty_at.max(now);
        if let Some(previous_life) = self.previous_life.take() {
            self.send_to_placer(FromAgent::Gone(previous_life));
        }
        self.send_to_placer(FromAgent::Gone(tracked.worker.life));
        self.apply_other_report(now);
    }

    /// Gives up a worker that doesn't respond and whose lease has ended.
    fn expire_silent_worker(&mut self, now: Duration) {
        let is_over = self
            .tracked
            .as_ref()
            .is_some_and(|tracked| tracked.is_silent() && now >= tracked.lease_until + LEASE_SLACK);
        // A worker that never had a lease from this agent may have one from an earlier start of the agent.
        if is_over && now >= self.empty_at.max(self.foreign_lease_until) {
            self.handle_worker_end("silent", now);
        }
    }

    /// Requires an inventory from a poll that is sent from now on.
    fn request_inventory(&mut self, now: Duration) {
        self.inventory_due = Some(now);
        self.is_inventory_partial = false;
    }

    /// Whether the placer has an inventory of the present incarnation, even if it is a partial one.
    const fn is_inventory_sent(&self) -> bool {
        self.inventory_due.is_none() || self.is_inventory_partial
    }

    fn send_to_placer(&self, message: FromAgent) {
        if let Some((_, sender)) = &self.link {
            sender.post(message);
        }
    }

    fn target(&self) -> Option<Target> {
        let tracked = self.tracked.as_ref()?;
        Some(Target { address: tracked.address, worker: Arc::clone(&tracked.worker.life.worker), term: self.term })
    }

    /// End of a lease to send to the worker now, on its own clock; records that it was sent.
    ///
    /// A silent worker gets none: extending its lease would only prolong the wait for its end. Neither does one that may
    /// have restarted: the lease is computed from the clock of the former life.
    fn offer_lease(&mut self, now: Duration) -> Option<u64> {
        let until = self.grant.until;
        let tracked = self.tracked.as_mut().filter(|tracked| !tracked.is_silent() && !tracked.is_doubtful())?;
        if !self.grant.holds(now) {
            return None;
        }
        let end = lease_end_ms(tracked.reading?, until)?;
        tracked.lease_until = tracked.lease_until.max(until);
        self.lease_calls.add(&tracked.worker.life, now);
        Some(end)
    }

    fn dump(&self, now: Duration) -> Value {
        json!({
            "term": self.term,
            "is_term_certain": self.newest_term.is_certain(now),
            "is_linked": self.link.is_some(),
            "granted_for_ms": whole_ms(self.grant.until.saturating_sub(now)),
            "foreign_lease_for_ms": whole_ms(self.foreign_lease_until.saturating_sub(now)),
            "worker": self.tracked.as_ref().map(|tracked| tracked.worker.life.worker.to_string()),
            "stops_in_ms": self.stops_in(now).map(whole_ms),
            "is_evacuated": self.is_evacuated(),
            "running": self.tracked.as_ref().map_or(0, |tracked| tracked.running.len()),
            "starting": self.pending_starts.len(),
            "stopping": self.pending_stops.len(),
            "paces_percent": self.ordered_paces.iter().map(|((task, run), percent)| (format!("{task}#{run}"), *percent)).collect::<Vec<_>>(),
            "rooms": self.decided_paces.log_headroom_by_image(),
            "serving_order": self.decided_paces.runs().map(|(task, run)| {
                let urgency = self.traits.get(&(task, run)).map(|traits| traits.urgency.0);
                json!({"run": format!("{task}#{run}"), "percent": self.decided_paces.percent((task, run)), "urgency": urgency})
            }).collect::<Vec<_>>(),
        })
    }
}
