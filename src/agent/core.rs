//! Actor that holds the state of an agent: admission of requests, links to entries and requests in progress.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chervilledge_link::connection::Sender;
use chervilledge_link::message::{Reply, Start, StartBody, ToAgent, ToEntry};
use chervilledge_policy::admission::{self, Action, Admission, Finished, Offer, Priority};
use chervilledge_policy::clock::Clock;
use chervilledge_policy::code::Code;
use chervilledge_policy::collections::{Map, Set};
use chervilledge_policy::id::{BootId, Name, RequestId};
use chervilledge_policy::membership::{Heartbeat, Load, LoadDelta};
use chervilledge_policy::request::{Origin, Outcome};
use chervilledge_policy::rollout::{Source, Stamp};
use chervilledge_worker::backend::Backend;
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use serde_json::{Value, json};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::agent::dial::{self, LinkId};
use crate::agent::exchange::{BodyPart, Exchange, Route, RouteAsked, open_credit};
use crate::agent::tasks;
use crate::rollout::Enforced;

/// Time for an entry to send the documents that it was asked for, before another one is asked.
const WANT_TIMEOUT: Duration = Duration::from_secs(2);

/// Message to the actor.
#[derive(Debug)]
pub enum Message {
    /// Something happened on a link.
    Dial(dial::Event),
    /// Links to an address are to end once nothing is in progress on them, or to stay after all.
    Retire {
        /// Address of an entry's link listener.
        address: SocketAddr,
        /// Whether they are to end.
        is_retired: bool,
    },
    /// The backend server takes requests, or no longer does.
    Ready(bool),
    /// The head of an answer is there.
    AnswerReady {
        /// The request.
        request: RequestId,
        /// Takes the route of the answer.
        asked: RouteAsked,
    },
    /// A request has left the backend server.
    Finished {
        /// The request.
        request: RequestId,
        /// How it left.
        finished: Finished,
    },
    /// Time to send heartbeats and to refuse what waited too long.
    Tick,
    /// No new work is to be taken.
    Drain,
    /// Asks whether a drain has ended.
    IsDrained(RpcReplyPort<bool>),
    /// Asks for the load.
    Load(RpcReplyPort<Load>),
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
    /// Service of the backend server.
    pub service: Name,
    /// Limits of the worker, within which the configuration sets those of the service.
    pub limits: admission::Settings,
    /// Client of the backend server.
    pub backend: Backend,
    /// Configuration that the agent enforces.
    pub enforced: Arc<Enforced>,
    /// Takes entries that were heard of.
    pub entries: mpsc::UnboundedSender<Vec<chervilledge_link::message::EntryAddress>>,
    /// Actor that holds the batch tasks.
    pub tasks: ActorRef<tasks::Message>,
}

/// Link to one entry.
struct Link {
    id: LinkId,
    sender: Sender<ToEntry>,
    sequence: u64,
    /// Load that the entry knows.
    reported: Load,
    needs_whole: bool,
    close: CancellationToken,
    /// Highest configuration version that the entry announced.
    enforced: Option<Stamp>,
}

/// Request that waits for a slot or runs.
struct Held {
    /// The request, until it is started.
    start: Option<Box<Start>>,
    /// Entry that waits for the answer.
    entry: BootId,
    /// Sends parts of a streamed body; `None` once the answer is no longer wanted, which breaks off a body without its end.
    parts: Option<mpsc::UnboundedSender<BodyPart>>,
    /// Taken by the exchange.
    parts_taken: Option<mpsc::UnboundedReceiver<BodyPart>>,
    credit: Arc<Semaphore>,
    abandoned: watch::Sender<bool>,
    /// Link that the entry waits on, while it is open; replaced when the entry asks on another one.
    link: Option<LinkId>,
    /// Sends on that link.
    sender: Sender<ToEntry>,
    /// Question for the answer's route that waits for the entry's next link.
    asked: Option<RouteAsked>,
}

/// State of the actor.
#[expect(missing_debug_implementations, reason = "only the actor's runtime holds it")]
pub struct State {
    boot: BootId,
    clock: Clock,
    service: Name,
    limits: admission::Settings,
    admission: Admission,
    backend: Backend,
    is_backend_ready: bool,
    enforced: Arc<Enforced>,
    /// Link on which documents were asked for, and when.
    wanted: Option<(LinkId, Duration)>,
    entries: mpsc::UnboundedSender<Vec<chervilledge_link::message::EntryAddress>>,
    tasks: ActorRef<tasks::Message>,
    links: Map<BootId, Link>,
    /// Links whose place another link to the same entry has taken; they end once nothing is in progress on them.
    leaving: Vec<Link>,
    /// Addresses whose links are to end once nothing is in progress on them.
    retired: Set<SocketAddr>,
    held: Map<RequestId, Held>,
    links_opened: u64,
    links_closed: u64,
    dropped_messages: u64,
}

/// The actor.
#[derive(Debug)]
pub struct Core;

impl Actor for Core {
    type Msg = Message;
    type State = State;
    type Arguments = Arguments;

    async fn pre_start(&self, _: ActorRef<Message>, args: Arguments) -> Result<State, ActorProcessingErr> {
        Ok(State {
            boot: args.boot,
            clock: args.clock,
            admission: Admission::open(args.boot, args.limits),
            service: args.service,
            limits: args.limits,
            backend: args.backend,
            is_backend_ready: false,
            enforced: args.enforced,
            wanted: None,
            entries: args.entries,
            tasks: args.tasks,
            links: Map::default(),
            leaving: Vec::new(),
            retired: Set::default(),
            held: Map::default(),
            links_opened: 0,
            links_closed: 0,
            dropped_messages: 0,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Message::Dial(event) => state.on_dial(&myself, event),
            Message::Retire { address, is_retired } => state.on_retire(&myself, address, is_retired),
            Message::Ready(is_ready) => {
                state.is_backend_ready = is_ready;
                state.refresh_ready(&myself);
            }
            Message::AnswerReady { request, asked } => state.on_answer_ready(request, asked),
            Message::Finished { request, finished } => state.on_finished(&myself, request, finished),
            Message::Tick => state.on_tick(&myself),
            Message::Drain => state.on_drain(&myself),
            Message::IsDrained(reply) => answer(reply, state.admission.is_drained()),
            Message::Load(reply) => answer(reply, state.admission.load()),
            Message::Dump(reply) => answer(reply, state.dump()),
        }
        Ok(())
    }
}

/// Answers a question; whoever asked may have gone away.
fn answer<T: Send + 'static>(reply: RpcReplyPort<T>, value: T) {
    drop(reply.send(value));
}

impl State {
    fn on_dial(&mut self, myself: &ActorRef<Message>, event: dial::Event) {
        match event {
            dial::Event::Open { link: id, welcome, sender, close } => {
                self.links_opened += 1;
                self.tell_tasks(tasks::Message::Linked { entry: welcome.entry, link: id, sender: sender.clone() });
                let reported = Load::default();
                let enforced = welcome.enforced;
                let link = Link { id, sender, sequence: 0, reported, needs_whole: true, close, enforced };
                // A version that came into force after the link's first message was made is told here.
                if let Some(stamp) = self.enforced.stamp() {
                    link.sender.post(ToEntry::Enforced(stamp));
                }
                self.leaving.extend(self.links.insert(welcome.entry, link));
                self.hear_of(welcome.entries);
                self.want_configuration();
            }
            dial::Event::Message { link, entry, message } => self.on_message(myself, link, entry, message),
            dial::Event::Closed { link, entry, error } => {
                self.links_closed += u64::from(entry.is_some());
                log::info!(
                    event = "link_closed", address:% = link.address, code = error.code().number(), error:% = error; ""
                );
                if let Some(entry) = entry {
                    self.tell_tasks(tasks::Message::Unlinked { entry, link });
                    self.close_link(entry, link);
                }
            }
        }
    }

    fn tell_tasks(&self, message: tasks::Message) {
        // The actor stops with the process only.
        drop(self.tasks.cast(message));
    }

    fn hear_of(&self, entries: Vec<chervilledge_link::message::EntryAddress>) {
        // The keeper of links ends with the process only.
        drop(self.entries.send(entries));
    }

    /// Finds an open link, also one that is leaving.
    fn find_link(&self, id: LinkId) -> Option<&Link> {
        self.links.values().chain(&self.leaving).find(|link| link.id == id)
    }

    /// Forgets a link; what waits on it waits for the entry's question on another one.
    fn close_link(&mut self, entry: BootId, id: LinkId) {
        if self.links.get(&entry).is_some_and(|link| link.id == id) {
            self.links.remove(&entry);
        }
        self.leaving.retain(|link| link.id != id);
        for held in self.held.values_mut().filter(|held| held.link == Some(id)) {
            held.link = None;
        }
    }

    fn on_message(&mut self, myself: &ActorRef<Message>, link: LinkId, entry: BootId, message: ToAgent) {
        match message {
            ToAgent::Start(start) => self.on_start(myself, link, entry, start),
            ToAgent::Body(chunk) => {
                let part = BodyPart::Chunk { offset_bytes: chunk.offset_bytes, bytes: Bytes::from(chunk.bytes) };
                self.on_body(chunk.request, part);
            }
            ToAgent::BodyEnd { request, total_bytes } => self.on_body(request, BodyPart::End { total_bytes }),
            ToAgent::Cancel { request } => {
                let actions = self.admission.cancel(self.clock.now(), request);
                self.perform(myself, actions);
            }
            ToAgent::Ask { origin, agent } => self.on_ask(link, origin, agent),
            ToAgent::Window { request, bytes } => self.on_window(request, bytes),
            ToAgent::WholeHeartbeat => {
                if let Some(link) = self.links.get_mut(&entry) {
                    link.needs_whole = true;
                }
            }
            ToAgent::Entries(entries) => self.hear_of(entries),
            ToAgent::Drain => self.on_drain(myself),
            ToAgent::Enforced(stamp) => self.on_enforced(entry, stamp),
            ToAgent::WantConfiguration => self.hand_on_configuration(entry),
            ToAgent::Configuration(configuration) => {
                self.enforced.offer_text(&configuration.accepted, Source::Peer);
                self.apply_configuration(myself);
            }
            ToAgent::Tasks(commands) => self.tell_tasks(tasks::Message::Commands { entry, commands }),
            ToAgent::Heartbeat { .. } => {}
            ToAgent::Welcome(_) | ToAgent::Refused(_) => self.dropped_messages += 1,
        }
    }

    fn on_enforced(&mut self, entry: BootId, stamp: Stamp) {
        if let Some(link) = self.links.get_mut(&entry) {
            link.enforced = Some(stamp);
        }
        self.want_configuration();
    }

    /// Asks for the documents of a version that goes before the one in force, one entry at a time.
    fn want_configuration(&mut self) {
        let now = self.clock.now();
        let is_open = |id| self.links.values().any(|link| link.id == id);
        if self.wanted.is_some_and(|(id, asked)| is_open(id) && now < asked + WANT_TIMEOUT) {
            return;
        }
        let lacks = |link: &&Link| link.enforced.is_some_and(|stamp| self.enforced.lacks(stamp));
        let newest = self.links.values().filter(lacks).max_by_key(|link| link.enforced.map(|stamp| stamp.version));
        if let Some(link) = newest {
            link.sender.post(ToEntry::WantConfiguration);
            self.wanted = Some((link.id, now));
        }
    }

    fn hand_on_configuration(&self, entry: BootId) {
        if let (Some(link), Some(configuration)) = (self.links.get(&entry), self.enforced.to_hand_on()) {
            link.sender.post(ToEntry::Configuration(configuration));
        }
    }

    /// Puts the version in force to use and tells every entry of it.
    fn apply_configuration(&mut self, myself: &ActorRef<Message>) {
        self.wanted = None;
        if let Some(settings) = self.configured_admission() {
            let actions = self.admission.set_settings(self.clock.now(), settings);
            self.perform(myself, actions);
        }
        self.refresh_ready(myself);
        let Some(stamp) = self.enforced.stamp() else { return };
        for link in self.links.values() {
            link.sender.post(ToEntry::Enforced(stamp));
        }
    }

    /// Limits of the configuration in force, never above what the worker can hold.
    fn configured_admission(&self) -> Option<admission::Settings> {
        let in_force = self.enforced.in_force().ok()?;
        let service = in_force.document.services.get(&self.service)?;
        Some(admission::Settings {
            slots: service.slots.min(self.limits.slots),
            connections: service.connections.min(self.limits.connections),
            queue: service.queue_limit.min(self.limits.queue),
            queue_wait: service.queue_wait_ms,
            ..self.limits
        })
    }

    /// Lets requests in while the backend server takes them and a configuration is in force.
    fn refresh_ready(&mut self, myself: &ActorRef<Message>) {
        let is_ready = self.is_backend_ready && self.enforced.stamp().is_some();
        if self.admission.load().ready != is_ready {
            self.admission.set_ready(is_ready);
            self.on_tick(myself);
        }
    }

    fn on_start(&mut self, myself: &ActorRef<Message>, link: LinkId, entry: BootId, start: Box<Start>) {
        let Some(link) = self.find_link(link) else { return };
        let link = (link.id, link.sender.clone());
        let now = self.clock.now();
        let offer = Offer {
            agent_boot: start.agent,
            deadline: now + start.remaining_ms,
            id: start.request,
            priority: if start.sheddable { Priority::Batch } else { Priority::LatencyCritical },
        };
        let actions = self.admission.offer(now, &offer);
        if actions.contains(&Action::Drop(offer.id)) {
            self.dropped_messages += 1;
        } else {
            let held = hold(entry, link, start);
            self.held.insert(offer.id, held);
        }
        self.perform(myself, actions);
    }

    fn on_body(&mut self, request: RequestId, part: BodyPart) {
        let parts = self.held.get(&request).and_then(|held| held.parts.as_ref());
        let is_taken = parts.is_some_and(|parts| parts.send(part).is_ok());
        self.dropped_messages += u64::from(!is_taken);
    }

    fn on_window(&mut self, request: RequestId, bytes: u64) {
        if let Some(held) = self.held.get(&request) {
            let free = Semaphore::MAX_PERMITS - held.credit.available_permits();
            held.credit.add_permits(usize::try_from(bytes).unwrap_or(usize::MAX).min(free));
        }
    }

    fn on_ask(&mut self, link: LinkId, origin: Origin, agent: BootId) {
        let Some(link) = self.find_link(link) else { return };
        let (id, sender) = (link.id, link.sender.clone());
        let outcome = self.admission.query_outcome(self.clock.now(), origin.id, agent, origin.epoch);
        sender.post(ToEntry::Request(Reply::Outcome { origin, outcome }));
        let Some(held) = self.held.get_mut(&origin.id) else { return };
        if outcome != Outcome::Running {
            return;
        }
        held.link = Some(id);
        held.sender = sender;
        if let Some(asked) = held.asked.take() {
            self.on_answer_ready(origin.id, asked);
        }
    }

    /// Gives an answer its route, or keeps the question until the entry asks on a new link.
    fn on_answer_ready(&mut self, request: RequestId, asked: RouteAsked) {
        let Some(held) = self.held.get_mut(&request) else { return };
        if *held.abandoned.borrow() {
            return;
        }
        if held.link.is_none() {
            held.asked = Some(asked);
            return;
        }
        let Some(epoch) = self.admission.begin_answer(request) else { return };
        let route = Route { sender: held.sender.clone(), origin: Origin { id: request, epoch } };
        // The exchange waits for the route until it ends.
        drop(asked.send(route));
    }

    fn on_finished(&mut self, myself: &ActorRef<Message>, request: RequestId, finished: Finished) {
        let actions = self.admission.finished(self.clock.now(), request, finished);
        if finished == Finished::Ran {
            self.held.remove(&request);
        }
        self.perform(myself, actions);
    }

    fn on_tick(&mut self, myself: &ActorRef<Message>) {
        let actions = self.admission.tick(self.clock.now());
        self.perform(myself, actions);
        self.want_configuration();
        let load = self.admission.load();
        for link in self.links.values_mut() {
            let is_retired = self.retired.contains(&link.id.address);
            // An entry sends no new work to a worker that isn't ready.
            let load = Load { ready: load.ready && !is_retired, ..load };
            send_heartbeat(self.boot, link, &load);
            let is_idle = !self.held.values().any(|held| held.link == Some(link.id));
            if is_retired && is_idle && link.sequence > 1 {
                link.close.cancel();
            }
        }
        self.tick_leaving(&load);
    }

    /// Keeps links that are leaving alive for what is in progress on them, and ends the others.
    fn tick_leaving(&mut self, load: &Load) {
        for link in &mut self.leaving {
            send_heartbeat(self.boot, link, &Load { ready: false, ..*load });
            if !self.held.values().any(|held| held.link == Some(link.id)) {
                link.close.cancel();
            }
        }
    }

    fn on_retire(&mut self, myself: &ActorRef<Message>, address: SocketAddr, is_retired: bool) {
        let is_changed = if is_retired { self.retired.insert(address) } else { self.retired.remove(&address) };
        if is_changed {
            self.on_tick(myself);
        }
    }

    fn on_drain(&mut self, myself: &ActorRef<Message>) {
        if self.admission.load().draining {
            return;
        }
        log::info!(event = "drain_started"; "");
        let actions = self.admission.drain(self.clock.now());
        self.perform(myself, actions);
        self.on_tick(myself);
    }

    fn perform(&mut self, myself: &ActorRef<Message>, actions: Vec<Action>) {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Start(request) => self.start(myself, request),
                Action::NotStarted { id, code, retry_after } => self.refuse(id, code, retry_after),
                Action::Abort(request) => {
                    if let Some(held) = self.held.get_mut(&request) {
                        held.abandoned.send_replace(true);
                        held.asked = None;
                        held.parts = None;
                    }
                }
                Action::Drop(_) => {}
            }
        }
    }

    fn start(&mut self, myself: &ActorRef<Message>, request: RequestId) {
        let Some(held) = self.held.get_mut(&request) else { return };
        let (Some(start), Some(body)) = (held.start.take(), held.parts_taken.take()) else { return };
        if matches!(start.body, StartBody::Streamed { .. }) {
            let window = chervilledge_link::message::WINDOW_BYTES;
            held.sender.post(ToEntry::Request(Reply::Started { request }));
            held.sender.post(ToEntry::Request(Reply::Window { request, bytes: window }));
        }
        let exchange = Exchange {
            start: *start,
            body,
            sender: held.sender.clone(),
            credit: Arc::clone(&held.credit),
            abandoned: held.abandoned.subscribe(),
        };
        let backend = self.backend.clone();
        let core = myself.clone();
        let (tasks, asker_tasks) = (self.tasks.clone(), self.tasks.clone());
        let (clock, began) = (self.clock.clone(), self.clock.now());
        self.tell_tasks(tasks::Message::RequestStarted(request));
        tokio::spawn(async move {
            let asker = core.clone();
            let ask_route = move |asked| {
                let latency = clock.now().saturating_sub(began);
                drop(asker_tasks.cast(tasks::Message::RequestAnswered { request, latency }));
                // An actor that has stopped leaves the question unanswered.
                drop(asker.cast(Message::AnswerReady { request, asked }));
            };
            let finished = exchange.run(backend, ask_route).await;
            drop(tasks.cast(tasks::Message::RequestLeft(request)));
            drop(core.cast(Message::Finished { request, finished }));
        });
    }

    fn refuse(&mut self, request: RequestId, code: Code, retry_after: Duration) {
        let Some(held) = self.held.remove(&request) else { return };
        let retry_after_ms = u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX);
        let reply = Reply::NotStarted { request, code, retry_after_ms };
        held.sender.post(ToEntry::Request(reply));
    }

    fn dump(&self) -> Value {
        let links: Vec<Value> = self
            .links
            .iter()
            .map(|(entry, link)| json!({ "entry": entry, "address": link.id.address, "heartbeats": link.sequence }))
            .collect();
        let requests: Vec<Value> = self
            .held
            .iter()
            .map(|(request, held)| json!({ "request": request, "entry": held.entry, "started": held.start.is_none() }))
            .collect();
        json!({
            "boot": self.boot,
            "configuration": self.enforced.dump(),
            "load": self.admission.load(),
            "outcomes_kept": self.admission.outcomes_len(),
            "links": links,
            "links_opened": self.links_opened,
            "links_closed": self.links_closed,
            "dropped_messages": self.dropped_messages,
            "requests": requests,
        })
    }
}

fn hold(entry: BootId, (link, sender): (LinkId, Sender<ToEntry>), start: Box<Start>) -> Held {
    let (parts, parts_taken) = mpsc::unbounded_channel();
    Held {
        start: Some(start),
        entry,
        parts: Some(parts),
        parts_taken: Some(parts_taken),
        credit: open_credit(),
        abandoned: watch::Sender::new(false),
        link: Some(link),
        sender,
        asked: None,
    }
}

fn send_heartbeat(boot: BootId, link: &mut Link, load: &Load) {
    let delta = if link.needs_whole { LoadDelta::full(load) } else { LoadDelta::between(&link.reported, load) };
    let heartbeat = Heartbeat { agent_boot: boot, link: link.id.number, load: delta, sequence: link.sequence + 1 };
    // The sequence number counts what was queued: a heartbeat that didn't fit leaves no gap behind.
    if link.sender.try_send(ToEntry::Heartbeat(heartbeat)) {
        link.sequence += 1;
        link.reported = *load;
        link.needs_whole = false;
    }
}
