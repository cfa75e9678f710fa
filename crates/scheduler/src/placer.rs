//! Drives a cell: links to agents, rows of jobs and progress, and the placer's authority.

mod backlog;
mod effects;
mod evacuating;
mod expiry;
mod feed;
mod links;
mod loading;
mod notes;
mod urgencies;
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
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::clock::{unix_ms, whole_ms};
use crate::message::{FromAgent, ToAgent};
use crate::metrics::Metrics;
use crate::peer::{Pending, Waiting};
use crate::roster::Roster;
use crate::rows::{self, BEAT, PLACER};
use crate::store::{Change, Handle, Outcome, Row, Table, Transaction};

/// Interval of looks at what time alone changes.
const TICK: Duration = Duration::from_millis(100);
/// Interval of looks for runs that stand still, or stand in an evacuated failure domain.
const WATCH_INTERVAL: Duration = Duration::from_millis(300);
/// Times the duration of a pass after which the next one may follow, so that passes take a quarter of the processor.
const PLACE_DUTY: u32 = 4;
/// Least time between two batches of progress that show the end of a job, so that ends gather.
const URGENT_BATCH_GAP: Duration = Duration::from_millis(20);
/// The same while only tasks have ended, which nobody waits for: seven calls to the store a second at most.
const BATCH_GAP: Duration = Duration::from_millis(150);
/// Pause after a write that didn't take effect.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Interval of looks for jobs and agents whose rows may go.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(2);

/// What a placer works with.
#[derive(Clone, Debug)]
pub struct Context {
    /// Name of the entry.
    pub name: Name,
    /// Clock of the process.
    pub clock: Clock,
    /// The store.
    pub store: Handle,
    /// The cell's processes.
    pub roster: watch::Receiver<Option<Arc<Roster>>>,
    /// Configuration in force.
    pub configuration: watch::Receiver<Option<Arc<Configuration>>>,
    /// Failure domains in which nothing may start; known before the configuration.
    pub evacuated: watch::Receiver<Arc<EvacuatedDomains>>,
    /// Term of the placer.
    pub term: u64,
    /// Revision of the placer's row.
    pub revision: u64,
    /// When the claim was made.
    pub claimed: Duration,
    /// Row of the former placer; `None` when there was none.
    pub former: Option<rows::Placer>,
    /// Whether the former placer knew that none before it acts any more.
    pub is_former_alone: bool,
    /// Longest lease that is granted.
    pub lease: Duration,
    /// Time after its acceptance within which a cancellation stops the tasks of a job.
    pub cancellation_apply: Duration,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Time for which ended jobs are kept.
    pub ended_jobs_kept: Duration,
}

/// Message to the placer.
#[derive(Debug)]
pub enum Message {
    /// Time for the next step.
    Tick,
    /// The store confirmed the term.
    Confirmed {
        /// When the write was sent.
        asked: Duration,
        /// Revision at which it took effect.
        revision: u64,
    },
    /// Another placer has taken the cell.
    Deposed(&'static str),
    /// Rows of jobs and progress at the takeover.
    Loaded {
        /// Rows of jobs.
        jobs: Vec<Row>,
        /// Rows of progress.
        progress: Vec<Row>,
        /// Revision up to which the jobs are read.
        revision: u64,
    },
    /// Changed rows of jobs.
    Jobs {
        /// The rows.
        rows: Vec<Row>,
        /// Revision up to which the jobs are read.
        revision: u64,
    },
    /// A job that another process has stored.
    Submitted(Box<Job>),
    /// A cancellation that another process has stored.
    Canceled(JobId),
    /// The rows of the cell have changed.
    Roster,
    /// The known evacuations have changed.
    Evacuations,
    /// A configuration is in force.
    Configured,
    /// No former placer acts any more, for certain.
    PredecessorOver(&'static str),
    /// A link to an agent is open.
    Linked {
        /// Agent.
        agent: Name,
        /// Number of the link.
        link: u64,
        /// Sends on it.
        sender: Sender<ToAgent>,
    },
    /// A link to an agent has ended.
    Unlinked {
        /// Agent.
        agent: Name,
        /// Number of the link.
        link: u64,
    },
    /// Message of an agent.
    FromAgent {
        /// Agent.
        agent: Name,
        /// Number of the link.
        link: u64,
        /// The message.
        message: Box<FromAgent>,
    },
    /// What became of a batch of progress.
    Written {
        /// The batch.
        batch: Box<Batch>,
        /// What became of it.
        outcome: Outcome,
        /// When it was sent.
        asked: Duration,
    },
    /// Rows of these jobs are gone.
    Expired(Vec<JobId>),
    /// Asks for the state of a job; `None` when it isn't known. There is no answer until the jobs are read, and none without the
    /// authority to tell it.
    State(JobId, RpcReplyPort<Option<JobState>>),
    /// Asks whether a job is known to be stored. There is no answer until the jobs are read.
    IsStored(JobId, RpcReplyPort<bool>),
    /// Asks for what waits; `None` until the jobs are read.
    Pending(RpcReplyPort<Option<Pending>>),
    /// Asks for a dump of the state.
    Dump(RpcReplyPort<Value>),
    /// The entry ends: the cell is given up.
    Retire(RpcReplyPort<()>),
}

/// Link to an agent.
#[derive(Debug)]
struct AgentLink {
    number: u64,
    sender: Sender<ToAgent>,
    /// What the agent was told of its worker's failure domain.
    told: Option<(Name, Standing)>,
}

/// Task that keeps a link to an agent open.
#[derive(Debug)]
struct Dialer {
    address: SocketAddr,
    task: JoinHandle<()>,
    since: Duration,
}

/// State of the placer.
#[derive(Debug)]
pub struct State {
    context: Context,
    myself: ActorRef<Message>,
    cell: Cell,
    authority: Authority,
    had_authority: bool,
    /// When it became known that no former placer acts any more.
    predecessor_over: Option<Duration>,
    /// The same, for the sign of life.
    is_alone: watch::Sender<bool>,
    is_loaded: bool,
    /// Revision of the placer's row in the view of the cell's rows. From that of the claim on, no agent of the predecessor
    /// is missing from the view.
    roster_revision: u64,
    links: Map<Name, AgentLink>,
    dialers: Map<Name, Dialer>,
    next_link: u64,
    /// Cancellations of jobs whose row hasn't come yet.
    early_cancels: Set<JobId>,
    /// Jobs whose progress can't be read: what is done of them isn't known, so that nothing of them may start.
    unreadable: Set<JobId>,
    /// When the last batch was sent.
    batch_sent: Duration,
    /// When tasks may be placed again.
    place_due: Duration,
    watch_due: Duration,
    evacuation_due: Duration,
    effects_due: Duration,
    backlog_due: Duration,
    /// What entries are told of the backlog.
    backlog_told: Arc<Backlog>,
    /// When the backlog was last logged, and whether work waited then.
    backlog_logged: (Duration, bool),
    /// When what is known of pairs of images was last kept.
    effects_kept: Duration,
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

/// The actor.
#[derive(Debug)]
pub struct Placer;

/// Starts to place under a claimed term.
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
        let is_alone = watch::Sender::new(false);
        let tasks = vec![
            tokio::spawn(tick(myself.clone())),
            tokio::spawn(feed::confirm(context.clone(), is_alone.subscribe(), myself.clone())),
            tokio::spawn(feed::follow_jobs(context.clone(), myself.clone())),
            tokio::spawn(feed::ask_predecessor(context.clone(), myself.clone())),
            tokio::spawn(follow(context.roster.clone(), myself.clone(), || Message::Roster)),
            tokio::spawn(follow(context.configuration.clone(), myself.clone(), || Message::Configured)),
            tokio::spawn(follow(context.evacuated.clone(), myself.clone(), || Message::Evacuations)),
        ];
        let cell = Cell::new(context.term, context.lease);
        let mut state = State {
            cell,
            authority,
            had_authority: true,
            predecessor_over: None,
            is_alone,
            is_loaded: false,
            roster_revision: 0,
            links: Map::default(),
            dialers: Map::default(),
            next_link: 1,
            early_cancels: Set::default(),
            unreadable: Set::default(),
            batch_sent: Duration::ZERO,
            place_due: Duration::ZERO,
            watch_due: Duration::ZERO,
            evacuation_due: Duration::ZERO,
            effects_due: Duration::ZERO,
            backlog_due: Duration::ZERO,
            backlog_told: Arc::default(),
            backlog_logged: (Duration::ZERO, false),
            effects_kept: Duration::ZERO,
            urgencies_due: Duration::ZERO,
            expiry_due: context.clock.now() + EXPIRY_INTERVAL,
            is_expiring: false,
            tasks,
            context,
            myself,
        };
        state.take_roster();
        state.take_configuration();
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
            message => state.take(message),
        }
        state.drive();
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
    fn take(&mut self, message: Message) {
        let now = self.context.clock.now();
        match message {
            Message::Tick => self.tick(now),
            Message::Confirmed { asked, revision } => self.confirmed(asked, revision),
            Message::Loaded { jobs, progress, revision } => {
                self.load(&jobs, &progress, now);
                self.cell.jobs_read(revision);
            }
            Message::Jobs { rows, revision } => {
                self.take_jobs(&rows, now);
                self.cell.jobs_read(revision);
            }
            Message::Submitted(job) => self.submitted(*job, None, now),
            Message::Canceled(id) => self.cancel(id, now),
            Message::Roster => self.take_roster(),
            Message::Evacuations => self.take_evacuations(),
            Message::Configured => self.take_configuration(),
            Message::PredecessorOver(by) => {
                log::info!(event = "predecessor_over", by = by, agents_unheard = self.cell.unresolved(); "");
                self.predecessor_over = Some(now);
                self.is_alone.send_replace(true);
                self.cell.predecessor_over(now);
            }
            Message::Linked { agent, link, sender } => self.linked(agent, link, sender),
            Message::Unlinked { agent, link } => self.unlinked(&agent, link),
            Message::FromAgent { agent, link, message } => {
                if self.links.get(&agent).is_some_and(|known| known.number == link) {
                    self.take_agent_message(&agent, *message, now);
                }
            }
            Message::Written { batch, outcome, asked } => self.written(&batch, outcome, asked, now),
            Message::Expired(jobs) => {
                self.is_expiring = false;
                for job in jobs {
                    self.cell.forget(job);
                }
            }
            Message::State(id, reply) => {
                // Until the rows are read, a job that isn't known may be there; no answer says so.
                if self.may_tell(now) {
                    drop(reply.send(self.cell.state(id)));
                }
            }
            Message::IsStored(id, reply) => {
                if self.is_loaded {
                    drop(reply.send(self.cell.knows(id)));
                }
            }
            Message::Pending(reply) => {
                let waiting =
                    || Waiting { counts: self.cell.pending().clone(), backlog: Arc::clone(&self.backlog_told) };
                drop(reply.send(self.may_tell(now).then(|| Arc::new(waiting()))));
            }
            Message::Dump(reply) => {
                drop(reply.send(self.dump(now)));
            }
            Message::Deposed(_) | Message::Retire(_) => {}
        }
    }

    fn tick(&mut self, now: Duration) {
        let holds = self.authority.holds(now);
        if holds != self.had_authority {
            let age_ms = self.authority.age(now).map_or(0, whole_ms);
            log::warn!(event = "authority", term = self.context.term, holds = holds, confirmed_ms_ago = age_ms; "");
            self.had_authority = holds;
        }
        self.context.metrics.placer(self.cell.waiting(), self.authority.age(now).unwrap_or_default());
        self.measure_evacuations();
        self.cell.open_due(unix_ms(), now);
        self.cell.ask_placing();
        if now >= self.watch_due {
            self.watch_due = now + WATCH_INTERVAL;
            if holds {
                self.cell.lapse_agents(self.authority.last_confirmed(), now);
                self.cell.watch_runs(now);
            }
        }
        if holds && self.is_loaded {
            self.cell.save_checkpoints(now);
            self.context.metrics.unsaved(self.cell.unsaved().core_ms);
        }
        self.share_effects(now);
        self.tell_urgencies(now);
        self.sample_backlog(now);
        if now >= self.expiry_due && !self.is_expiring {
            self.expiry_due = now + EXPIRY_INTERVAL;
            self.expire(now);
        }
    }

    /// Places, orders, writes and logs what the cell has decided.
    fn drive(&mut self) {
        let now = self.context.clock.now();
        let knows_roster = self.roster_revision >= self.context.revision;
        let may_place = self.is_loaded && knows_roster && self.authority.holds(now);
        if may_place && now >= self.place_due && self.cell.needs_placing() {
            self.cell.place(now);
            let took = self.context.clock.now().saturating_sub(now);
            self.place_due = now + took * PLACE_DUTY;
        }
        if may_place && now >= self.evacuation_due && !self.cell.needs_placing() {
            self.evacuation_due = now + WATCH_INTERVAL;
            self.cell.move_evacuated(now);
        }
        let gap = if self.cell.has_urgent_write() { URGENT_BATCH_GAP } else { BATCH_GAP };
        if now >= self.batch_sent + gap
            && self.is_loaded
            && let Some(batch) = self.cell.next_batch()
        {
            self.batch_sent = now;
            self.write(batch, now);
        }
        for action in self.cell.take_actions() {
            self.carry_out(action);
        }
        for note in self.cell.take_notes() {
            self.take_note(&note);
        }
    }

    fn carry_out(&mut self, action: Action) {
        let (agent, message) = match action {
            Action::Start { agent, life, order } => {
                self.tell_evacuation(&agent);
                (agent, ToAgent::Start { life, order })
            }
            Action::Stop { agent, life, task, run, reason } => {
                log::info!(event = "stop_ordered", task:% = task, run = run, agent = &*agent, reason = reason; "");
                (agent, ToAgent::Stop { life, task, run })
            }
            Action::Settle { agent, life, cursor } => (agent, ToAgent::Settle { life, cursor }),
        };
        // Without a link the order is lost; the agent's next inventory shows that.
        if let Some(link) = self.links.get(&agent) {
            link.sender.post(message);
        }
    }

    fn confirmed(&mut self, asked: Duration, revision: u64) {
        self.authority.confirmed(asked);
        self.cell.store_revision_seen(asked, revision);
        // What is stored after this revision was stored when the former placer was over.
        if self.predecessor_over.is_some_and(|over| asked >= over) {
            self.cell.set_fresh_from(revision);
        }
    }

    fn submitted(&mut self, job: Job, revision: Option<u64>, now: Duration) {
        let id = job.id;
        // Until the rows are read, what is durable of the job isn't known.
        if !self.is_loaded || self.cell.knows(id) || self.unreadable.contains(&id) || !rows::is_valid(&job) {
            return;
        }
        self.cell.submit(job, revision, now);
        if self.early_cancels.remove(&id) {
            self.cell.cancel(id, now);
        }
    }

    fn cancel(&mut self, id: JobId, now: Duration) {
        if self.cell.knows(id) {
            self.cell.cancel(id, now);
        } else {
            self.early_cancels.insert(id);
        }
    }

    /// Whether callers may be told what the placer knows. Without authority there may be a successor that knows more, and the
    /// rows tell what it has made durable.
    fn may_tell(&self, now: Duration) -> bool {
        self.is_loaded && self.authority.holds(now)
    }

    fn take_configuration(&mut self) {
        let configuration = self.context.configuration.borrow().clone();
        // Told before the configuration, so that it is there with the first one.
        self.take_evacuations();
        if let Some(configuration) = configuration {
            self.cell.configure(configuration);
        }
    }

    /// Gives the cell up, so that another entry takes it at once.
    async fn retire(&mut self) {
        let now = self.context.clock.now();
        self.authority.revoke();
        if let Some(batch) = self.cell.next_batch() {
            self.write(batch, now);
        }
        let roster = self.context.roster.borrow().clone();
        let Some(address) = roster.and_then(|roster| roster.placer.as_ref().map(|(placer, _)| placer.address)) else {
            return;
        };
        let row = rows::Placer { term: self.context.term, holder: None, address };
        let transaction = Transaction {
            conditions: vec![self.is_placer()],
            changes: vec![Change { table: Table::Cell, key: Arc::from(PLACER), value: Some(rows::encode(&row)) }],
        };
        let outcome = (self.context.store.commit)(transaction).await;
        log::info!(event = "cell_given_up", term = self.context.term, outcome:? = outcome; "");
    }
}

/// Write of the placer's sign of life.
fn beat_change(term: u64, is_alone: bool) -> Change {
    let beat = rows::Beat { term, is_alone };
    Change { table: Table::Cell, key: Arc::from(BEAT), value: Some(rows::encode(&beat)) }
}

impl State {
    fn inventory_taken(&mut self, agent: &Name, inventory: Inventory, now: Duration) {
        self.cell.agent_linked(agent, inventory, now);
        self.tell_evacuation(agent);
        let described = self.cell.run_traits(agent);
        if let Some(link) = self.links.get(agent).filter(|_| !described.is_empty()) {
            link.sender.post(ToAgent::Describe(described));
        }
    }
}
