//! Runs a cell's placer: links to agents, rows of jobs and progress, and the placer's authority.

mod backlog;
mod effects;
mod evacuating;
mod expiry;
mod feed;
mod links;
mod loading;
mod notes;
mod pauses;
mod release;
mod urgencies;
mod versions;
mod witnesses;
mod writing;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::admission::Backlog;
use chervilledge_cell::authority::Authority;
use chervilledge_cell::cell::writes::Batch;
use chervilledge_cell::cell::{Action, Cell, Inventory};
use chervilledge_cell::configuration::Configuration;
use chervilledge_cell::evacuation::{EvacuatedDomains, Standing};
use chervilledge_cell::job::{Job, JobId, JobState};
use chervilledge_link::connection::Sender;
use chervilledge_policy::clock::Clock;
use chervilledge_policy::collections::{Map, Set};
use chervilledge_policy::id::Name;
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use serde_json::Value;
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;

use crate::clock::{unix_ms, whole_ms};
use crate::message::{FromAgent, ToAgent};
use crate::metrics::Metrics;
use crate::peer::{SharedWaitingWork, WaitingWork};
use crate::roster::Roster;
use crate::rows::{self, HEARTBEAT_KEY};
use crate::store::{Change, Handle, Outcome, Row, Table};
use pauses::Pause;
use versions::Versions;

/// Interval of the checks that depend only on time.
const TICK: Duration = Duration::from_millis(100);
/// Interval of the checks for stalled runs, for runs in evacuated failure domains and for waiting lasting tasks.
const WATCH_INTERVAL: Duration = Duration::from_millis(300);
/// The next placement pass may start this many pass durations after the start of the last one, which limits passes to
/// a quarter of the processor.
const PLACE_PERIOD_FACTOR: u32 = 4;
/// Minimum interval between two progress batches that contain the end of a job, so that several ends share a batch.
const URGENT_BATCH_GAP: Duration = Duration::from_millis(20);
/// The same for batches in which only tasks have ended, which nobody waits for: at most seven calls to the store a
/// second.
const BATCH_GAP: Duration = Duration::from_millis(150);
/// Pause after a write that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Interval of the checks for jobs and agents whose rows may be deleted.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(2);

/// Dependencies and parameters of a placer.
#[derive(Clone, Debug)]
pub struct Context {
    /// Name of the entry.
    pub name: Name,
    /// Clock of the process.
    pub clock: Clock,
    /// The store.
    pub store: Handle,
    /// Processes of the cell.
    pub roster: watch::Receiver<Option<Arc<Roster>>>,
    /// Current configuration.
    pub configuration: watch::Receiver<Option<Arc<Configuration>>>,
    /// Failure domains in which nothing may start; known before the configuration.
    pub evacuated: watch::Receiver<Arc<EvacuatedDomains>>,
    /// When the operator's rows were last read.
    pub operator_rows_read: watch::Receiver<Duration>,
    /// Time after the request within which starts in an evacuated failure domain must cease; `None` where no domain is
    /// ever evacuated.
    pub evacuation_apply: Option<Duration>,
    /// Term of this placer.
    pub term: u64,
    /// Revision of the placer's row.
    pub revision: u64,
    /// When this placer claimed the cell.
    pub claimed: Duration,
    /// Address at which the entry accepts links, as in the placer's row.
    pub address: SocketAddr,
    /// Row of the previous placer; `None` when there was none.
    pub predecessor: Option<rows::Placer>,
    /// Whether the previous placer knew that no earlier placer was still active.
    pub is_predecessor_alone: bool,
    /// Witnesses of each former placer that may still act; `None` if not all of them are known.
    pub former_witnesses: Option<Vec<Vec<SocketAddr>>>,
    /// When the last heartbeat of a former placer was seen; the claim depended on there being no later one.
    pub former_renewed: Duration,
    /// When the leases end at the latest of agents that had no link to a predecessor which released the cell.
    pub handed_over_leases: Map<Name, Duration>,
    /// Longest lease to grant.
    pub lease: Duration,
    /// Time after its acceptance within which a cancellation must stop the tasks of a job.
    pub cancellation_apply: Duration,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// How long ended jobs are kept.
    pub ended_jobs_kept: Duration,
}

/// Message to the placer.
#[derive(Debug)]
pub enum Message {
    /// Periodic timer.
    Tick,
    /// The store confirmed that the term is current.
    Confirmed {
        /// When the write was sent.
        sent_at: Duration,
        /// Revision at which the write took effect.
        revision: u64,
    },
    /// Another placer has taken over the cell; the value names the source of that information.
    Deposed(&'static str),
    /// Rows of jobs and progress read at the takeover.
    Loaded {
        /// Rows of jobs.
        jobs: Vec<Row>,
        /// Rows of progress.
        progress: Vec<Row>,
        /// Revision up to which the jobs have been read.
        revision: u64,
    },
    /// Rows of jobs that have changed.
    Jobs {
        /// The rows.
        rows: Vec<Row>,
        /// Revision up to which the jobs have been read.
        revision: u64,
    },
    /// Another process has stored a job.
    Submitted(Box<Job>),
    /// Another process has stored a cancellation.
    Canceled(JobId),
    /// The rows of the cell have changed.
    Roster,
    /// The set of known evacuations has changed.
    Evacuations,
    /// A new configuration is in force.
    Configured,
    /// No previous placer can act any more; the value names the evidence.
    PredecessorEnded(&'static str),
    /// All leases granted by former placers will have ended at this time.
    FormerLeasesEnd(Duration),
    /// All witnesses renewed the term, on requests sent at this time.
    Renewed(Duration),
    /// A link to an agent is open.
    Linked {
        /// Agent.
        agent: Name,
        /// Link identifier.
        link: u64,
        /// Sending half of the link.
        sender: Sender<ToAgent>,
    },
    /// A link to an agent has ended.
    Unlinked {
        /// Agent.
        agent: Name,
        /// Link identifier.
        link: u64,
    },
    /// Message from an agent.
    FromAgent {
        /// Agent.
        agent: Name,
        /// Link identifier.
        link: u64,
        /// The message.
        message: Box<FromAgent>,
    },
    /// A write of a progress batch has finished.
    Written {
        /// The batch.
        batch: Box<Batch>,
        /// Outcome of the write.
        outcome: Outcome,
        /// When it was sent.
        sent_at: Duration,
    },
    /// The rows of these jobs have been deleted.
    Expired(Vec<JobId>),
    /// Requests the state of a job; `None` when the job is unknown. Unanswered until the jobs have been read, and while
    /// the placer has no authority.
    State(JobId, RpcReplyPort<Option<JobState>>),
    /// Asks whether a job is known to be stored. Unanswered until the jobs have been read.
    IsStored(JobId, RpcReplyPort<bool>),
    /// Requests the waiting work; `None` until the jobs have been read, and without authority.
    Pending(RpcReplyPort<Option<SharedWaitingWork>>),
    /// Requests a dump of the state.
    Dump(RpcReplyPort<Value>),
    /// The entry is shutting down or handing over: release the cell.
    Retire(RpcReplyPort<()>),
}

/// Link to an agent.
#[derive(Debug)]
struct AgentLink {
    number: u64,
    sender: Sender<ToAgent>,
    /// Evacuation state of the worker's failure domain that was last sent to the agent.
    sent_evacuation: Option<(Name, Standing)>,
}

/// Task that keeps a link to an agent open, and reconnects.
#[derive(Debug)]
struct Dialer {
    address: SocketAddr,
    task: JoinHandle<()>,
    /// Smallest identifier of its links; those of earlier dialers are smaller.
    first_link: u64,
    unlinked_since: Duration,
}

/// State of the placer.
#[derive(Debug)]
pub struct State {
    context: Context,
    myself: ActorRef<Message>,
    cell: Cell,
    authority: Authority,
    had_authority: bool,
    /// Since when starts are paused because the operator's rows are out of date.
    starts_paused_since: Option<Duration>,
    /// Present time in which the placer may not place.
    pause: Option<Pause>,
    /// When it became known that no previous placer can act any more.
    predecessor_ended_at: Option<Duration>,
    /// Whether that is known, as published with the heartbeat.
    is_alone: watch::Sender<bool>,
    /// When the last heartbeat that the store confirmed was sent.
    stored_renewal: Duration,
    /// Whether the store has left the term without a renewal for so long that the witnesses are asked.
    is_renewal_overdue: watch::Sender<bool>,
    /// Requests a heartbeat at once.
    confirm_now: Arc<Notify>,
    is_loaded: bool,
    /// Revision of the placer's row in the latest roster. Once it reaches the revision of the claim, the roster
    /// contains every agent of the previous placer.
    roster_revision: u64,
    links: Map<Name, AgentLink>,
    /// Versions of the agents that have linked; `None` for one that doesn't tell it.
    agent_versions: Map<Name, Option<Name>>,
    /// Versions as last logged.
    logged_versions: Versions,
    dialers: Map<Name, Dialer>,
    next_link: u64,
    /// Cancellations of jobs whose row hasn't been read yet.
    early_cancels: Set<JobId>,
    /// Jobs whose progress row can't be decoded. It isn't known which of their tasks have run, so none may start.
    unreadable_jobs: Set<JobId>,
    /// Number of further rows that the progress of a job may have.
    progress_parts: Map<JobId, u32>,
    /// When the last batch was sent.
    last_batch_sent: Duration,
    /// Earliest time of the next placement pass.
    place_due: Duration,
    watch_due: Duration,
    evacuation_due: Duration,
    effects_due: Duration,
    backlog_due: Duration,
    /// Backlog as published to the entries.
    published_backlog: Arc<Backlog>,
    /// When the backlog was last logged, and whether work was waiting then.
    backlog_logged: (Duration, bool),
    /// When the interference data was last written to the store.
    effects_saved_at: Duration,
    urgencies_due: Duration,
    expiry_due: Duration,
    is_expiring: bool,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for State {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
        self.dialers.values().for_each(|dialer| dialer.task.abort());
    }
}

/// Actor that schedules for a cell.
#[derive(Debug)]
pub struct Placer;

/// Starts a placer for a claimed term.
///
/// # Errors
///
/// The runtime's error when the actor can't be started.
pub async fn spawn(context: Context) -> Result<ActorRef<Message>, ractor::SpawnErr> {
    let (actor, _) = Actor::spawn(None, Placer, context).await?;
    Ok(actor)
}

impl Actor for Placer {
    type Msg = Message;
    type State = State;
    type Arguments = Context;

    async fn pre_start(&self, myself: ActorRef<Message>, args: Context) -> Result<State, ActorProcessingErr> {
        let context = args;
        log::info!(event = "placer_started", term = context.term, revision = context.revision; "");
        let mut authority = Authority::default();
        authority.confirmed(context.claimed);
        authority.renewed(context.claimed);
        let (is_alone, is_renewal_overdue) = (watch::Sender::new(false), watch::Sender::new(false));
        let confirm_now = Arc::new(Notify::new());
        let tasks = vec![
            tokio::spawn(tick(myself.clone())),
            tokio::spawn(feed::confirm(
                context.clone(),
                is_alone.subscribe(),
                Arc::clone(&confirm_now),
                myself.clone(),
            )),
            tokio::spawn(feed::await_former_leases_end(context.clone(), myself.clone())),
            tokio::spawn(witnesses::run(
                context.clone(),
                is_alone.subscribe(),
                is_renewal_overdue.subscribe(),
                myself.clone(),
            )),
            tokio::spawn(feed::follow_jobs(context.clone(), myself.clone())),
            tokio::spawn(feed::await_predecessor_end(context.clone(), myself.clone())),
            tokio::spawn(follow(context.roster.clone(), myself.clone(), || Message::Roster)),
            tokio::spawn(follow(context.configuration.clone(), myself.clone(), || Message::Configured)),
            tokio::spawn(follow(context.evacuated.clone(), myself.clone(), || Message::Evacuations)),
        ];
        let cell = Cell::new(context.term, context.lease);
        let mut state = State {
            cell,
            authority,
            had_authority: true,
            starts_paused_since: None,
            pause: None,
            predecessor_ended_at: None,
            is_alone,
            stored_renewal: context.claimed,
            is_renewal_overdue,
            confirm_now,
            is_loaded: false,
            roster_revision: 0,
            links: Map::default(),
            agent_versions: Map::default(),
            logged_versions: Versions::default(),
            dialers: Map::default(),
            next_link: 1,
            early_cancels: Set::default(),
            unreadable_jobs: Set::default(),
            progress_parts: Map::default(),
            last_batch_sent: Duration::ZERO,
            place_due: Duration::ZERO,
            watch_due: Duration::ZERO,
            evacuation_due: Duration::ZERO,
            effects_due: Duration::ZERO,
            backlog_due: Duration::ZERO,
            published_backlog: Arc::default(),
            backlog_logged: (Duration::ZERO, false),
            effects_saved_at: Duration::ZERO,
            urgencies_due: Duration::ZERO,
            expiry_due: context.clock.now() + EXPIRY_INTERVAL,
            is_expiring: false,
            tasks,
            context,
            myself,
        };
        state.apply_roster();
        state.apply_configuration();
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Message::Deposed(by) => {
                log::warn!(event = "placer_deposed", term = state.context.term, by = by; "");
                myself.stop(None);
                return Ok(());
            }
            Message::Retire(reply) => {
                state.retire().await;
                drop(reply.send(()));
                myself.stop(None);
                return Ok(());
            }
            message => state.handle_message(message),
        }
        state.advance();
        Ok(())
    }
}

async fn tick(placer: ActorRef<Message>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if placer.cast(Message::Tick).is_err() {
            return;
        }
    }
}

async fn follow<T>(mut view: watch::Receiver<T>, placer: ActorRef<Message>, message: fn() -> Message) {
    while view.changed().await.is_ok() {
        if placer.cast(message()).is_err() {
            return;
        }
    }
}

impl State {
    fn handle_message(&mut self, message: Message) {
        let now = self.context.clock.now();
        match message {
            Message::Tick => self.tick(now),
            Message::Confirmed { sent_at, revision } => self.handle_confirmation(sent_at, revision),
            Message::Loaded { jobs, progress, revision } => {
                self.load(&jobs, &progress, now);
                self.cell.jobs_read(revision);
            }
            Message::Jobs { rows, revision } => {
                self.apply_job_rows(&rows, now);
                self.cell.jobs_read(revision);
            }
            Message::Submitted(job) => self.add_job(*job, None, now),
            Message::Canceled(id) => self.cancel_job(id, now),
            Message::Roster => self.apply_roster(),
            Message::Evacuations => self.apply_evacuations(),
            Message::Configured => self.apply_configuration(),
            // The evidence that comes first counts.
            Message::PredecessorEnded(_) if self.predecessor_ended_at.is_some() => {}
            Message::PredecessorEnded(by) => {
                log::info!(event = "predecessor_over", by = by, agents_unheard = self.cell.unresolved(); "");
                self.predecessor_ended_at = Some(now);
                self.is_alone.send_replace(true);
                self.cell.predecessor_over(now);
            }
            Message::FormerLeasesEnd(end) => {
                log::info!(event = "former_leases_end", in_ms = whole_ms(end.saturating_sub(now)),
                    agents_unheard = self.cell.unresolved(); "");
                self.cell.former_leases_end(end);
            }
            Message::Renewed(asked) => self.authority.renewed(asked),
            Message::Linked { agent, link, sender } => self.handle_link_opened(agent, link, sender),
            Message::Unlinked { agent, link } => self.handle_link_closed(&agent, link),
            Message::FromAgent { agent, link, message } => {
                if self.links.get(&agent).is_some_and(|known| known.number == link) {
                    self.handle_agent_message(&agent, *message, now);
                }
            }
            Message::Written { batch, outcome, sent_at } => self.handle_write_outcome(&batch, outcome, sent_at, now),
            Message::Expired(jobs) => {
                self.is_expiring = false;
                for job in jobs {
                    self.progress_parts.remove(&job);
                    self.cell.forget(job);
                }
            }
            Message::State(id, reply) => {
                // Until the rows have been read, an unknown job may still exist, so the request stays unanswered.
                if self.may_answer(now) {
                    drop(reply.send(self.cell.state(id)));
                }
            }
            Message::IsStored(id, reply) => {
                if self.is_loaded {
                    drop(reply.send(self.cell.knows(id)));
                }
            }
            Message::Pending(reply) => {
                let waiting = || WaitingWork {
                    counts: self.cell.pending().clone(),
                    backlog: Arc::clone(&self.published_backlog),
                };
                drop(reply.send(self.may_answer(now).then(|| Arc::new(waiting()))));
            }
            Message::Dump(reply) => {
                drop(reply.send(self.dump(now)));
            }
            Message::Deposed(_) | Message::Retire(_) => {}
        }
    }

    fn tick(&mut self, now: Duration) {
        let holds = self.may_act(now);
        if holds != self.had_authority {
            let age_ms = self.authority.age(now).map_or(0, whole_ms);
            let renewed_ms = self.authority.renewal_age(now).map_or(0, whole_ms);
            log::warn!(event = "authority", term = self.context.term, holds = holds, confirmed_ms_ago = age_ms,
                renewed_ms_ago = renewed_ms; "");
            self.had_authority = holds;
        }
        self.context.metrics.placer(self.cell.waiting(), self.authority.age(now).unwrap_or_default());
        self.record_evacuations();
        self.cell.open_due(unix_ms(), now);
        self.cell.ask_placing();
        let is_overdue = now >= self.stored_renewal + witnesses::RENEWAL_OVERDUE_AFTER;
        self.is_renewal_overdue.send_if_modified(|known| std::mem::replace(known, is_overdue) != is_overdue);
        let confirmed = self.authority.last_confirmed();
        if self.cell.awaits_confirmation(confirmed, now) {
            self.confirm_now.notify_one();
        }
        let is_watch_due = now >= self.watch_due;
        if is_watch_due {
            self.watch_due = now + WATCH_INTERVAL;
            // Before the agents lapse: the tasks that this frees are only placed afterwards.
            self.cell.watch_lasting(self.pause.is_none(), now);
            self.context.metrics.lasting_waits(self.cell.lasting_waits());
            self.cell.watch_restarts(now);
            self.context.metrics.restarts(self.cell.restart_counts());
        }
        if holds {
            self.cell.lapse_agents(confirmed, now);
        }
        if is_watch_due && holds && self.knows_evacuations() {
            self.cell.watch_runs(now);
        }
        if holds && self.is_loaded {
            self.cell.save_checkpoints(now);
            self.context.metrics.unsaved(self.cell.unsaved().core_ms);
        }
        self.share_effects(now);
        self.send_urgencies(now);
        self.sample_backlog(now);
        if now >= self.expiry_due && !self.is_expiring {
            self.expiry_due = now + EXPIRY_INTERVAL;
            self.expire(now);
        }
    }

    /// Runs placement and sends the orders, writes and log lines that the cell has produced.
    fn advance(&mut self) {
        let now = self.context.clock.now();
        let may_place = self.may_place(now);
        if may_place && now >= self.place_due && self.cell.needs_placing() {
            self.cell.place(now);
            let took = self.context.clock.now().saturating_sub(now);
            self.place_due = now + took * PLACE_PERIOD_FACTOR;
        }
        if may_place && now >= self.evacuation_due && !self.cell.needs_placing() {
            self.evacuation_due = now + WATCH_INTERVAL;
            self.cell.move_evacuated(now);
        }
        let gap = if self.cell.has_urgent_write() { URGENT_BATCH_GAP } else { BATCH_GAP };
        if now >= self.last_batch_sent + gap
            && self.is_loaded
            && let Some(batch) = self.cell.next_batch()
        {
            self.last_batch_sent = now;
            self.write_batch(batch, now);
        }
        for action in self.cell.take_actions() {
            self.execute(action);
        }
        for note in self.cell.take_notes() {
            self.record_note(&note);
        }
    }

    fn execute(&mut self, action: Action) {
        let (agent, message) = match action {
            Action::Start { agent, life, order } => {
                self.send_evacuation(&agent);
                (agent, ToAgent::Start { life, order })
            }
            Action::Stop { agent, life, task, run, reason } => {
                log::info!(event = "stop_ordered", task:% = task, run = run, agent = &*agent, reason = reason; "");
                (agent, ToAgent::Stop { life, task, run })
            }
            Action::Settle { agent, life, cursor } => (agent, ToAgent::Settle { life, cursor }),
            Action::SettleCrash { agent, life } => (agent, ToAgent::SettleCrash(life)),
        };
        // Without a link the order is dropped; the agent's next inventory reveals that.
        if let Some(link) = self.links.get(&agent) {
            link.sender.post(message);
        }
    }

    fn handle_confirmation(&mut self, sent_at: Duration, revision: u64) {
        self.authority.confirmed(sent_at);
        self.authority.renewed(sent_at);
        self.stored_renewal = sent_at;
        self.cell.store_revision_seen(sent_at, revision);
        // Rows stored after this revision were stored after the previous placer had ended.
        if self.predecessor_ended_at.is_some_and(|over| sent_at >= over) {
            self.cell.set_fresh_from(revision);
        }
    }

    fn add_job(&mut self, job: Job, revision: Option<u64>, now: Duration) {
        let id = job.id;
        // Until the rows have been read, the durable progress of the job is unknown.
        if !self.is_loaded || self.cell.knows(id) || self.unreadable_jobs.contains(&id) || !rows::is_valid(&job) {
            return;
        }
        self.cell.submit(job, revision, now);
        if self.early_cancels.remove(&id) {
            self.cell.cancel(id, now);
        }
    }

    fn cancel_job(&mut self, id: JobId, now: Duration) {
        if self.cell.knows(id) {
            self.cell.cancel(id, now);
        } else {
            self.early_cancels.insert(id);
        }
    }

    /// Whether callers may be told what the placer knows. Without authority there may be a successor with newer
    /// knowledge; the rows then contain what it has made durable.
    fn may_answer(&self, now: Duration) -> bool {
        self.is_loaded && self.may_act(now)
    }

    /// Whether the placer may start runs and grant leases.
    fn may_act(&self, now: Duration) -> bool {
        let leases_until = self.authority.leases_until(self.context.lease);
        self.authority.holds(now) && leases_until.is_some_and(|until| now < until)
    }

    fn apply_configuration(&mut self) {
        let configuration = self.context.configuration.borrow().clone();
        // Applied before the configuration, so that evacuations are known when the first configuration comes into
        // force.
        self.apply_evacuations();
        if let Some(configuration) = configuration {
            self.cell.configure(configuration);
        }
    }
}

/// Change that writes the placer's heartbeat.
fn heartbeat_change(term: u64, is_alone: bool) -> Change {
    let beat = rows::Heartbeat { term, is_alone };
    Change { table: Table::Cell, key: Arc::from(HEARTBEAT_KEY), value: Some(rows::encode(&beat)) }
}

impl State {
    fn handle_inventory(&mut self, agent: &Name, inventory: Inventory, now: Duration) {
        self.cell.agent_linked(agent, inventory, now);
        self.send_evacuation(agent);
        let described = self.cell.run_traits(agent);
        if let Some(link) = self.links.get(agent).filter(|_| !described.is_empty()) {
            link.sender.post(ToAgent::Describe(described));
        }
    }
}
