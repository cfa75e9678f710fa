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
use chervilledge_cell::grant::{ClockReading, Grant, lease_end_ms};
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
use crate::message::{BEAT_INTERVAL, FromAgent, ToAgent};
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
    Looked {
        /// Life that was looked at.
        life: Life,
        /// Term under which it was.
        term: u64,
        /// When the call was sent.
        sent: Duration,
        /// Result.
        look: Result<PollResponse, PollError>,
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
struct Own {
    worker: Worker,
    address: SocketAddr,
    sequence: u64,
    /// Until when the worker is slow, by its newest report.
    cold_until: Duration,
    reading: Option<ClockReading>,
    /// Until when the worker's lease may last, by what was sent to it.
    lease_until: Duration,
    /// Every end up to here may be forgotten.
    cursor: u64,
    /// Highest end that the placer was told of.
    told: u64,
    /// Ends that aren't settled.
    ends: Vec<End>,
    running: Vec<RunReport>,
    /// Progress as the placer knows it.
    reported: Map<RunId, (u32, u32, Name)>,
    /// Looks without an answer in a row.
    failures: u32,
    /// Refused connections in a row.
    absences: u32,
    /// Since when the worker may have begun another life; nothing is settled before a look shows this one again.
    doubtful_since: Option<Duration>,
    is_looking: bool,
    look_due: Duration,
}

impl Own {
    /// Takes note that the worker may have begun another life.
    fn doubt(&mut self, now: Duration) {
        self.doubtful_since = Some(now);
    }
}

/// A start that the worker hasn't answered.
#[derive(Debug)]
struct Starting {
    order: chervilledge_cell::worker::StartOrder,
    attempts: u32,
}

/// A stop that isn't certain yet.
#[derive(Debug)]
struct Stopping {
    /// When the worker took the order.
    taken: Option<Duration>,
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
    new_links: Map<u64, Sender<FromAgent>>,
    /// The placer of the link waits for an inventory, from a look that was sent after this time.
    inventory_due: Option<Duration>,
    grant: Grant,
    /// Failure domains in which nothing may start, by what any placer has told.
    evacuated: EvacuatedDomains,
    own: Option<Own>,
    /// Life of the worker that the placer counts with, when that isn't the present one.
    former: Option<Life>,
    /// When a worker that is gone, or was never known, can't run anything any more.
    empty_at: Duration,
    starting: Map<RunId, Starting>,
    /// Starts of which an attempt had no answer, and when that was.
    unanswered: Map<RunId, Duration>,
    /// Starts that the worker took, and when it said so, until a look that was sent after that.
    taken: Map<RunId, Duration>,
    stopping: Map<RunId, Stopping>,
    traits: Map<RunId, RunTraits>,
    paces: Map<RunId, u32>,
    /// Paces of filling runs as they are decided, by the serving runs beside them and their urgencies.
    run_paces: Paces,
    /// What the placer was told that the tails of serving images leave.
    rooms_told: Map<Name, f64>,
    interference: Interference,
    /// When the last look was taken in that said something of interference.
    observed: Duration,
    effects_due: Duration,
    ask_due: Duration,
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
            new_links: Map::default(),
            inventory_due: None,
            grant: Grant::default(),
            evacuated: EvacuatedDomains::default(),
            own: None,
            former: None,
            empty_at: now + lapse_after(LEASE_MAX),
            starting: Map::default(),
            unanswered: Map::default(),
            taken: Map::default(),
            stopping: Map::default(),
            traits: Map::default(),
            paces: Map::default(),
            run_paces: Paces::new(context.settings.latency_harm_after),
            rooms_told: Map::default(),
            interference: Interference::default(),
            observed: Duration::ZERO,
            effects_due: Duration::ZERO,
            ask_due: Duration::ZERO,
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
            Message::Report(report) => state.report(*report, now),
            Message::Leave(name) => state.leave(&name, now),
            Message::Linked { link, sender } => {
                state.new_links.insert(link, sender);
            }
            Message::Unlinked(link) => state.unlinked(link, now),
            Message::FromPlacer { link, message } => state.take_placer_message(link, *message, now),
            Message::Looked { life, term, sent, look } => state.looked(&life, term, sent, look, now),
            Message::Started { run, life, sent, result } => state.started(run, &life, sent, result, now),
            Message::Stopped { run, life, result } => state.stopped(run, &life, result, now),
            Message::Paced { run, percent, result } => state.paced(run, percent, result),
            Message::Dump(reply) => drop(reply.send(state.dump(now))),
        }
        state.look_if_due(now);
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
        if now >= self.ask_due && self.link.is_some() {
            self.ask_due = now + BEAT_INTERVAL;
            self.tell(FromAgent::Ask { asked: now });
        }
        self.announce_if_due(now);
        self.give_up_worker_if_lapsed(now);
        self.repeat_stops(now);
        self.report_progress(now);
        self.tell_effects(now);
        if self.own.is_none() && self.inventory_due.is_some() && now >= self.empty_at {
            self.send_inventory();
        }
    }

    /// Writes where the agent takes links, when it has a worker and no placer has called for some time.
    fn announce_if_due(&mut self, now: Duration) {
        if now < self.announce_due || self.link.is_some() || self.own.is_none() {
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
    fn report(&mut self, report: Report, now: Duration) {
        let received = now;
        let reading = report.clock_ms.map(|worker_ms| ClockReading { worker_ms, received });
        if let Some(own) = &mut self.own {
            if own.worker.life == report.worker.life {
                if report.sequence <= own.sequence {
                    return;
                }
                own.sequence = report.sequence;
                own.address = report.address;
                let is_news = own.worker.leaves_in.is_some() != report.worker.leaves_in.is_some()
                    || own.worker.resources != report.worker.resources
                    || own.worker.service != report.worker.service
                    || own.worker.cold_for.is_zero() != report.worker.cold_for.is_zero();
                own.cold_until = now + report.worker.cold_for;
                own.worker = report.worker.clone();
                if is_news {
                    log::info!(event = "worker_changed", worker = &*report.worker.life.worker,
                        leaves = report.worker.leaves_in.is_some(); "");
                    self.tell(FromAgent::Worker(report.worker));
                }
                return;
            }
            if report.worker.life.born_unix_ms < own.worker.life.born_unix_ms {
                log::info!(event = "report_of_former_life", worker = &*report.worker.life.worker; "");
                return;
            }
            if own.worker.life.worker == report.worker.life.worker {
                self.begin_next_life(now);
            } else {
                self.worker_over("replaced", now);
            }
        }
        self.register(report.worker, report.address, report.sequence, reading, now);
    }

    /// Takes note of a life of the worker.
    fn register(
        &mut self,
        worker: Worker,
        address: SocketAddr,
        sequence: u64,
        reading: Option<ClockReading>,
        now: Duration,
    ) {
        log::info!(event = "worker_registered", worker = &*worker.life.worker,
            born_unix_ms = worker.life.born_unix_ms, address:% = address; "");
        self.own = Some(Own {
            cold_until: now + worker.cold_for,
            worker,
            address,
            sequence,
            reading,
            lease_until: Duration::ZERO,
            cursor: 0,
            told: 0,
            ends: Vec::new(),
            running: Vec::new(),
            reported: Map::default(),
            failures: 0,
            absences: 0,
            doubtful_since: None,
            is_looking: false,
            look_due: now,
        });
        if self.link.is_some() {
            self.inventory_due = Some(now);
        }
    }

    fn leave(&mut self, name: &Name, now: Duration) {
        if self.own.as_ref().is_some_and(|own| own.worker.life.worker == *name) {
            self.worker_over("left", now);
            // Nobody has to wait for an agent whose worker has left.
            self.write_row(None);
        }
    }

    /// Prepares for the next life of a worker that came back under its name.
    ///
    /// Orders name the worker, not its life, so those that were meant for the former one may have been carried out in the
    /// next, or may still be. The placer learns of the change by the inventory, which names such runs.
    fn begin_next_life(&mut self, now: Duration) {
        let Some(own) = self.own.take() else { return };
        self.forget_late_orders(now);
        let doubtful: Vec<RunId> =
            self.starting.keys().chain(self.stopping.keys()).chain(self.unanswered.keys()).copied().collect();
        log::info!(event = "worker_reborn", worker = &*own.worker.life.worker, runs = own.running.len(),
            doubtful = doubtful.len(); "");
        self.former.get_or_insert(own.worker.life);
        self.starting.clear();
        self.taken.clear();
        self.traits.clear();
        self.paces.clear();
        self.stopping =
            doubtful.into_iter().map(|run| (run, Stopping { taken: None, is_calling: false, due: now })).collect();
        self.empty_at = self.empty_at.max(now);
    }

    /// Takes note that the worker's life is over.
    fn worker_over(&mut self, reason: &'static str, now: Duration) {
        let Some(own) = self.own.take() else { return };
        log::info!(event = "worker_over", worker = &*own.worker.life.worker, reason = reason,
            runs = own.running.len(), starting = self.starting.len(); "");
        self.starting.clear();
        self.taken.clear();
        self.stopping.clear();
        self.traits.clear();
        self.paces.clear();
        // Before the first lease of a predecessor of this process has ended, there may be a life that isn't known.
        self.empty_at = self.empty_at.max(now);
        if let Some(former) = self.former.take() {
            self.tell(FromAgent::Gone(former));
        }
        self.tell(FromAgent::Gone(own.worker.life));
    }

    /// Declares a worker over that doesn't answer and whose lease has ended.
    fn give_up_worker_if_lapsed(&mut self, now: Duration) {
        let is_over = self.own.as_ref().is_some_and(|own| own.failures >= 2 && now >= own.lease_until + LEASE_SLACK);
        // A worker that never had a lease from this agent may have one from its predecessor.
        if is_over && now >= self.empty_at {
            self.worker_over("silent", now);
        }
    }

    fn tell(&self, message: FromAgent) {
        if let Some((_, sender)) = &self.link {
            sender.post(message);
        }
    }

    fn target(&self) -> Option<Target> {
        let own = self.own.as_ref()?;
        Some(Target { address: own.address, worker: Arc::clone(&own.worker.life.worker), term: self.term })
    }

    /// End of a lease that may be given to the worker now, on its own clock; takes note that it was given.
    fn lease(&mut self, now: Duration) -> Option<u64> {
        let until = self.grant.until;
        let own = self.own.as_mut()?;
        if !self.grant.holds(now) {
            return None;
        }
        let end = lease_end_ms(own.reading?, until)?;
        own.lease_until = own.lease_until.max(until);
        Some(end)
    }

    fn dump(&self, now: Duration) -> Value {
        json!({
            "term": self.term,
            "is_linked": self.link.is_some(),
            "granted_for_ms": whole_ms(self.grant.until.saturating_sub(now)),
            "worker": self.own.as_ref().map(|own| own.worker.life.worker.to_string()),
            "is_evacuated": self.is_evacuated(),
            "running": self.own.as_ref().map_or(0, |own| own.running.len()),
            "starting": self.starting.len(),
            "stopping": self.stopping.len(),
            "paces_percent": self.paces.iter().map(|((task, run), percent)| (format!("{task}#{run}"), *percent)).collect::<Vec<_>>(),
            "rooms": self.run_paces.headrooms(),
            "serving_order": self.run_paces.runs().map(|(task, run)| {
                let urgency = self.traits.get(&(task, run)).map(|traits| traits.urgency.0);
                json!({"run": format!("{task}#{run}"), "percent": self.run_paces.percent((task, run)), "urgency": urgency})
            }).collect::<Vec<_>>(),
        })
    }
}
