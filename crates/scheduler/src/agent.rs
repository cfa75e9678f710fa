//! The agent beside a worker: the only process that talks to it.
//!
//! It obeys one placer at a time, the one with the highest term, and renews the worker's lease only under that placer's
//! grants.

mod links;
mod looks;
mod orders;
mod paces;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::authority::{LEASE_SLACK, lapse_after};
use chervilledge_cell::evacuation::EvacuatedDomains;
use chervilledge_cell::grant::{Grant, Reading, lease_end_ms};
use chervilledge_cell::interference::Interference;
use chervilledge_cell::job::TaskId;
use chervilledge_cell::pace::Paces;
use chervilledge_cell::worker::{End, Life, RunReport, RunTraits, Worker};
use chervilledge_link::connection::Sender;
use chervilledge_policy::clock::Clock;
use chervilledge_policy::collections::Map;
use chervilledge_policy::id::Name;
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::clock::whole_ms;
use crate::message::{FromAgent, HEARTBEAT_INTERVAL, ToAgent};
use crate::metrics::Metrics;
use crate::rows::{self, AGENT_PREFIX, Process};
use crate::settings;
use crate::settings::LEASE_MAX;
use crate::store::{Change, Handle, Outcome, Table, Transaction};
use crate::worker::{Calls, OrderOutcome, PollError, PollResponse, Report, StartOutcome, Target};

/// Interval of looks at what time alone changes.
const TICK: Duration = Duration::from_millis(100);
/// Time without a placer's link after which the agent announces itself again.
const ANNOUNCE_AFTER: Duration = Duration::from_secs(3);
/// Attempts at an announcement; the next one follows anyway while no placer calls.
const ANNOUNCE_ATTEMPTS: u32 = 8;
/// Pause after an announcement that wasn't written.
const ANNOUNCE_RETRY: Duration = Duration::from_millis(250);

/// Number and task of a run.
type RunId = (TaskId, u64);

/// Message to the agent.
#[derive(Debug)]
pub enum Message {
    /// Time for the next step.
    Tick,
    /// The worker reports of itself.
    Report(Box<Report>),
    /// The worker of this name says that it ends.
    Leave(Name),
    /// A placer has opened a link.
    Linked {
        /// Number of the link.
        link: u64,
        /// Sends on it.
        sender: Sender<FromAgent>,
    },
    /// A link has ended.
    Unlinked(u64),
    /// Message of a placer.
    FromPlacer {
        /// Number of the link.
        link: u64,
        /// The message.
        message: Box<ToAgent>,
    },
    /// Result of a look at the worker.
    Polled {
        /// Life that was looked at.
        life: Life,
        /// Term under which it was.
        term: u64,
        /// When the call was sent.
        sent: Duration,
        /// Result.
        response: Result<PollResponse, PollError>,
    },
    /// Result of an order to start.
    Started {
        /// The run.
        run: RunId,
        /// Life that was meant.
        life: Life,
        /// When the call was sent.
        sent: Duration,
        /// Result.
        result: StartOutcome,
    },
    /// Result of an order to stop.
    Stopped {
        /// The run.
        run: RunId,
        /// Life that was meant.
        life: Life,
        /// Result.
        result: OrderOutcome,
    },
    /// Result of an order to set the pace.
    Paced {
        /// The run.
        run: RunId,
        /// Pace in percent.
        percent: u32,
        /// Result.
        result: OrderOutcome,
    },
    /// Asks for a dump of the state.
    Dump(RpcReplyPort<Value>),
}

/// What an agent works with.
#[derive(Clone, Debug)]
pub struct Context {
    /// Settings.
    pub settings: settings::Agent,
    /// Clock of the process.
    pub clock: Clock,
    /// Calls to the worker.
    pub calls: Arc<Calls>,
    /// The store, in which the agent announces itself.
    pub store: Handle,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
}

/// The worker and what is known of it.
#[derive(Debug)]
struct TrackedWorker {
    worker: Worker,
    address: SocketAddr,
    sequence: u64,
    /// Until when the worker is slow, by its newest report.
    cold_until: Duration,
    reading: Option<Reading>,
    /// Until when the worker's lease may last, by what was sent to it.
    lease_until: Duration,
    /// Every end up to here may be forgotten.
    cursor: u64,
    /// Highest end that the placer was told of.
    reported_end: u64,
    /// Ends that aren't settled.
    ends: Vec<End>,
    running: Vec<RunReport>,
    /// Progress as the placer knows it.
    reported_progress: Map<RunId, (u32, u32, Name)>,
    /// Looks without an answer in a row.
    failed_polls: u32,
    /// Refused connections in a row.
    refused_connections: u32,
    /// Since when the worker may have begun another life; nothing is settled before a look shows this one again.
    maybe_restarted_since: Option<Duration>,
    is_polling: bool,
    poll_due: Duration,
}

impl TrackedWorker {
    /// Takes note that the worker may have begun another life.
    fn mark_maybe_restarted(&mut self, now: Duration) {
        self.maybe_restarted_since = Some(now);
    }
}

/// A start that the worker hasn't answered.
#[derive(Debug)]
struct PendingStart {
    order: chervilledge_cell::worker::StartOrder,
    attempts: u32,
}

/// A stop that isn't certain yet.
#[derive(Debug)]
struct PendingStop {
    /// When the worker took the order.
    acknowledged_at: Option<Duration>,
    is_calling: bool,
    due: Duration,
}

/// State of the agent.
#[derive(Debug)]
pub struct State {
    context: Context,
    myself: ActorRef<Message>,
    /// Highest term that was heard of.
    term: u64,
    link: Option<(u64, Sender<FromAgent>)>,
    /// Links that haven't said their term.
    unidentified_links: Map<u64, Sender<FromAgent>>,
    /// The placer of the link waits for an inventory, from a look that was sent after this time.
    inventory_due: Option<Duration>,
    grant: Grant,
    /// Failure domains in which nothing may start, by what any placer has told.
    evacuated: EvacuatedDomains,
    tracked: Option<TrackedWorker>,
    /// Life of the worker that the placer counts with, when that isn't the present one.
    previous_life: Option<Life>,
    /// When a worker that is gone, or was never known, can't run anything any more.
    empty_at: Duration,
    pending_starts: Map<RunId, PendingStart>,
    /// Starts of which an attempt had no answer, and when that was.
    unanswered: Map<RunId, Duration>,
    /// Starts that the worker took, and when it said so, until a look that was sent after that.
    acknowledged_starts: Map<RunId, Duration>,
    pending_stops: Map<RunId, PendingStop>,
    traits: Map<RunId, RunTraits>,
    ordered_paces: Map<RunId, u32>,
    /// Paces of filling runs as they are decided, by the serving runs beside them and their urgencies.
    decided_paces: Paces,
    /// What the placer was told that the tails of serving images leave.
    reported_headroom: Map<Name, f64>,
    interference: Interference,
    /// When the last look was taken in that said something of interference.
    observed_at: Duration,
    effects_due: Duration,
    grant_request_due: Duration,
    report_due: Duration,
    unlinked_since: Duration,
    announce_due: Duration,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for State {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// The actor.
#[derive(Debug)]
pub struct Agent;

/// Starts an agent.
///
/// # Errors
///
/// The error of the operating system when the address for links can't be bound.
pub async fn spawn(context: Context) -> std::io::Result<ActorRef<Message>> {
    let listener = TcpListener::bind(context.settings.links_address).await?;
    let (actor, _) = Actor::spawn(None, Agent, context).await.map_err(std::io::Error::other)?;
    tokio::spawn(links::accept_all(listener, actor.clone()));
    Ok(actor)
}

impl Actor for Agent {
    type Msg = Message;
    type State = State;
    type Arguments = Context;

    async fn pre_start(&self, myself: ActorRef<Message>, args: Context) -> Result<State, ActorProcessingErr> {
        let context = args;
        let now = context.clock.now();
        let tasks = vec![tokio::spawn(tick(myself.clone()))];
        Ok(State {
            myself,
            term: 0,
            link: None,
            unidentified_links: Map::default(),
            inventory_due: None,
            grant: Grant::default(),
            evacuated: EvacuatedDomains::default(),
            tracked: None,
            previous_life: None,
            empty_at: now + lapse_after(LEASE_MAX),
            pending_starts: Map::default(),
            unanswered: Map::default(),
            acknowledged_starts: Map::default(),
            pending_stops: Map::default(),
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
        match message {
            Message::Tick => state.tick(now),
            Message::Report(report) => state.handle_report(*report, now),
            Message::Leave(name) => state.handle_leave(&name, now),
            Message::Linked { link, sender } => {
                state.unidentified_links.insert(link, sender);
            }
            Message::Unlinked(link) => state.handle_link_closed(link, now),
            Message::FromPlacer { link, message } => state.handle_placer_message(link, *message, now),
            Message::Polled { life, term, sent, response } => state.handle_poll(&life, term, sent, response, now),
            Message::Started { run, life, sent, result } => state.handle_start_outcome(run, &life, sent, result, now),
            Message::Stopped { run, life, result } => state.handle_stop_outcome(run, &life, result, now),
            Message::Paced { run, percent, result } => state.handle_pace_outcome(run, percent, result),
            Message::Dump(reply) => drop(reply.send(state.dump(now))),
        }
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
            self.send_to_placer(FromAgent::Ask { asked: now });
        }
        self.announce_if_due(now);
        self.expire_silent_worker(now);
        self.send_pending_stops(now);
        self.report_progress(now);
        self.report_effects(now);
        if self.tracked.is_none() && self.inventory_due.is_some() && now >= self.empty_at {
            self.send_inventory();
        }
    }

    /// Writes where the agent takes links, when it has a worker and no placer has called for some time.
    fn announce_if_due(&mut self, now: Duration) {
        if now < self.announce_due || self.link.is_some() || self.tracked.is_none() {
            return;
        }
        self.announce_due = now + ANNOUNCE_AFTER;
        let content = Process { address: self.context.settings.links_address };
        self.write_row(Some(rows::encode(&content)));
    }

    /// Writes or removes the agent's row.
    fn write_row(&self, value: Option<Vec<u8>>) {
        let key = Arc::from(format!("{AGENT_PREFIX}{}", self.context.settings.name));
        let change = Change { table: Table::Cell, key, value };
        let store = Arc::clone(&self.context.store);
        tokio::spawn(async move {
            for _ in 0..ANNOUNCE_ATTEMPTS {
                let transaction = Transaction { conditions: Vec::new(), changes: vec![change.clone()] };
                let outcome = (store.commit)(transaction).await;
                log::info!(event = "agent_row", is_present = change.value.is_some(), outcome:? = outcome; "");
                if matches!(outcome, Outcome::Done(_)) {
                    return;
                }
                tokio::time::sleep(ANNOUNCE_RETRY).await;
            }
        });
    }

    /// Takes in what the worker says of itself.
    fn handle_report(&mut self, report: Report, now: Duration) {
        let received = now;
        let reading = report.clock_ms.map(|worker_ms| Reading { worker_ms, received });
        if let Some(tracked) = &mut self.tracked {
            if tracked.worker.life == report.worker.life {
                if report.sequence <= tracked.sequence {
                    return;
                }
                tracked.sequence = report.sequence;
                tracked.address = report.address;
                let has_changed = tracked.worker.leaves_in.is_some() != report.worker.leaves_in.is_some()
                    || tracked.worker.resources != report.worker.resources
                    || tracked.worker.service != report.worker.service
                    || tracked.worker.cold_for.is_zero() != report.worker.cold_for.is_zero();
                tracked.cold_until = now + report.worker.cold_for;
                tracked.worker = report.worker.clone();
                if has_changed {
                    log::info!(event = "worker_changed", worker = &*report.worker.life.worker,
                        leaves = report.worker.leaves_in.is_some(); "");
                    self.send_to_placer(FromAgent::Worker(report.worker));
                }
                return;
            }
            if report.worker.life.born_unix_ms < tracked.worker.life.born_unix_ms {
                log::info!(event = "report_of_former_life", worker = &*report.worker.life.worker; "");
                return;
            }
            if tracked.worker.life.worker == report.worker.life.worker {
                self.handle_worker_restart(now);
            } else {
                self.handle_worker_end("replaced", now);
            }
        }
        self.track_worker(report.worker, report.address, report.sequence, reading, now);
    }

    /// Takes note of a life of the worker.
    fn track_worker(
        &mut self,
        worker: Worker,
        address: SocketAddr,
        sequence: u64,
        reading: Option<Reading>,
        now: Duration,
    ) {
        log::info!(event = "worker_registered", worker = &*worker.life.worker,
            born_unix_ms = worker.life.born_unix_ms, address:% = address; "");
        self.tracked = Some(TrackedWorker {
            cold_until: now + worker.cold_for,
            worker,
            address,
            sequence,
            reading,
            lease_until: Duration::ZERO,
            cursor: 0,
            reported_end: 0,
            ends: Vec::new(),
            running: Vec::new(),
            reported_progress: Map::default(),
            failed_polls: 0,
            refused_connections: 0,
            maybe_restarted_since: None,
            is_polling: false,
            poll_due: now,
        });
        if self.link.is_some() {
            self.inventory_due = Some(now);
        }
    }

    fn handle_leave(&mut self, name: &Name, now: Duration) {
        if self.tracked.as_ref().is_some_and(|tracked| tracked.worker.life.worker == *name) {
            self.handle_worker_end("left", now);
            // Nobody has to wait for an agent whose worker has left.
            self.write_row(None);
        }
    }

    /// Prepares for the next life of a worker that came back under its name.
    ///
    /// Orders name the worker, not its life, so those that were meant for the former one may have been carried out in the
    /// next, or may still be. The placer learns of the change by the inventory, which names such runs.
    fn handle_worker_restart(&mut self, now: Duration) {
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
        self.pending_starts.clear();
        self.acknowledged_starts.clear();
        self.traits.clear();
        self.ordered_paces.clear();
        self.pending_stops = uncertain_runs
            .into_iter()
            .map(|run| (run, PendingStop { acknowledged_at: None, is_calling: false, due: now }))
            .collect();
        self.empty_at = self.empty_at.max(now);
    }

    /// Takes note that the worker's life is over.
    fn handle_worker_end(&mut self, reason: &'static str, now: Duration) {
        let Some(tracked) = self.tracked.take() else { return };
        log::info!(event = "worker_over", worker = &*tracked.worker.life.worker, reason = reason,
            runs = tracked.running.len(), starting = self.pending_starts.len(); "");
        self.pending_starts.clear();
        self.acknowledged_starts.clear();
        self.pending_stops.clear();
        self.traits.clear();
        self.ordered_paces.clear();
        // Before the first lease of a predecessor of this process has ended, there may be a life that isn't known.
        self.empty_at = self.empty_at.max(now);
        if let Some(previous_life) = self.previous_life.take() {
            self.send_to_placer(FromAgent::Gone(previous_life));
        }
        self.send_to_placer(FromAgent::Gone(tracked.worker.life));
    }

    /// Declares a worker over that doesn't answer and whose lease has ended.
    fn expire_silent_worker(&mut self, now: Duration) {
        let is_over = self
            .tracked
            .as_ref()
            .is_some_and(|tracked| tracked.failed_polls >= 2 && now >= tracked.lease_until + LEASE_SLACK);
        // A worker that never had a lease from this agent may have one from its predecessor.
        if is_over && now >= self.empty_at {
            self.handle_worker_end("silent", now);
        }
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

    /// End of a lease that may be given to the worker now, on its own clock; takes note that it was given.
    fn offer_lease(&mut self, now: Duration) -> Option<u64> {
        let until = self.grant.until;
        let tracked = self.tracked.as_mut()?;
        if !self.grant.holds(now) {
            return None;
        }
        let end = lease_end_ms(tracked.reading?, until)?;
        tracked.lease_until = tracked.lease_until.max(until);
        Some(end)
    }

    fn dump(&self, now: Duration) -> Value {
        json!({
            "term": self.term,
            "is_linked": self.link.is_some(),
            "granted_for_ms": whole_ms(self.grant.until.saturating_sub(now)),
            "worker": self.tracked.as_ref().map(|tracked| tracked.worker.life.worker.to_string()),
            "is_evacuated": self.is_evacuated(),
            "running": self.tracked.as_ref().map_or(0, |tracked| tracked.running.len()),
            "starting": self.pending_starts.len(),
            "stopping": self.pending_stops.len(),
            "paces_percent": self.ordered_paces.iter().map(|((task, run), percent)| (format!("{task}#{run}"), *percent)).collect::<Vec<_>>(),
            "rooms": self.decided_paces.rooms(),
            "serving_order": self.decided_paces.runs().map(|(task, run)| {
                let urgency = self.traits.get(&(task, run)).map(|traits| traits.urgency.0);
                json!({"run": format!("{task}#{run}"), "percent": self.decided_paces.percent((task, run)), "urgency": urgency})
            }).collect::<Vec<_>>(),
        })
    }
}
