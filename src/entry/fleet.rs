//! Workers known to an entry, and the links to their agents.

use std::fmt;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use chervilledge_link::connection::Sender;
use chervilledge_link::message::{Hello, Reply, ToAgent, Welcome};
use chervilledge_policy::clock::Clock;
use chervilledge_policy::code::Code;
use chervilledge_policy::collections::Map;
use chervilledge_policy::id::{BootId, Name, RequestId};
use chervilledge_policy::membership::{self, AnnouncementEffect, Change, Heartbeat, HeartbeatEffect, Member, Members};
use chervilledge_policy::peers::EntryRow;
use chervilledge_policy::retry::{self, RetryBudget};
use chervilledge_policy::rollout::{self, Stamp};
use chervilledge_policy::routing::{self, Choice, Finished, Table};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::{Value, json};
use tokio::sync::{mpsc, watch};

use crate::sync::lock;

use crate::entry::peers::entry_key;

/// Event of a link that concerns one dispatch, sent to the driver of its request.
#[derive(Debug)]
pub enum LinkEvent {
    /// Reply from the agent.
    Reply(Reply),
    /// The link that carried the dispatch has ended.
    LinkLost(RequestId),
}

/// Dispatches on one link that may still receive replies; `None` once the link has ended.
type Pending = Option<Map<RequestId, mpsc::UnboundedSender<LinkEvent>>>;

/// Link to one agent.
#[derive(Clone, Debug)]
pub struct Link {
    /// Number of the link, unique within this process.
    pub number: u64,
    /// Worker of the agent.
    pub worker: Name,
    /// Boot identifier of the agent process.
    pub agent: BootId,
    sender: Sender<ToAgent>,
    pending: Arc<Mutex<Pending>>,
}

impl Link {
    /// Creates a link that sends with `sender`.
    #[must_use]
    pub fn new(number: u64, worker: Name, agent: BootId, sender: Sender<ToAgent>) -> Self {
        Self { number, worker, agent, sender, pending: Arc::new(Mutex::new(Some(Map::default()))) }
    }

    /// Identity of the agent process in the rollout of configurations.
    fn process(&self) -> rollout::Process {
        rollout::Process { name: Name::clone(&self.worker), boot: self.agent }
    }

    /// Routes replies about `request` to `link_events`; returns `false` if the link has ended.
    #[must_use]
    pub fn register(&self, request: RequestId, link_events: mpsc::UnboundedSender<LinkEvent>) -> bool {
        match lock(&self.pending).as_mut() {
            Some(pending) => {
                pending.insert(request, link_events);
                true
            }
            None => false,
        }
    }

    /// Stops routing replies about `request`.
    pub fn unregister(&self, request: RequestId) {
        if let Some(pending) = lock(&self.pending).as_mut() {
            pending.remove(&request);
        }
    }

    /// Routes a reply to its driver; returns `false` if no driver is registered for it any more.
    #[must_use]
    pub fn deliver(&self, reply: Reply) -> bool {
        let link_events = lock(&self.pending).as_ref().and_then(|pending| pending.get(&reply.request()).cloned());
        link_events.is_some_and(|link_events| link_events.send(LinkEvent::Reply(reply)).is_ok())
    }

    /// Notifies every registered driver that the link has ended.
    pub fn close(&self) {
        let pending = lock(&self.pending).take().unwrap_or_default();
        for (request, link_events) in pending {
            // A driver that has ended doesn't need the event.
            drop(link_events.send(LinkEvent::LinkLost(request)));
        }
    }

    /// Sends a message, waiting while the link's queue is full.
    pub async fn send(&self, message: ToAgent) -> bool {
        self.sender.send(message).await.is_ok()
    }

    /// Sends a message without waiting.
    pub fn post(&self, message: ToAgent) {
        self.sender.post(message);
    }
}

/// Counters of an entry's links.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Links opened.
    pub links_opened: u64,
    /// Links closed.
    pub links_closed: u64,
    /// Connections refused before they became links.
    pub links_refused: u64,
    /// Replies without a registered driver.
    pub late_replies: u64,
}

struct Inner {
    members: Members,
    tables: Map<Name, Table>,
    links: Map<Name, Link>,
    retries: Map<Name, Arc<Mutex<RetryBudget>>>,
    versions: rollout::FleetVersions,
    rng: SmallRng,
    next_link: u64,
    counters: Counters,
}

/// Workers known to an entry.
pub struct Fleet {
    inner: Mutex<Inner>,
    clock: Clock,
    own_domain: Name,
    seed: u64,
    /// Silence after which a process is dropped from the rollout.
    forget_after: Duration,
    /// Number of links opened, so that drivers can wait for the next one.
    link_opened: watch::Sender<u64>,
}

impl fmt::Debug for Fleet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Fleet").field("own_domain", &self.own_domain).finish_non_exhaustive()
    }
}

/// Reason why no further link to an agent process will be opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextLinkError {
    /// Another boot of the agent has replaced the process.
    Replaced,
}

impl Fleet {
    /// Creates an empty fleet for an entry in the failure domain `own_domain`.
    #[must_use]
    pub fn new(clock: Clock, own_domain: Name, bounds: membership::Settings, seed: u64) -> Self {
        let inner = Inner {
            members: Members::new(bounds),
            tables: Map::default(),
            links: Map::default(),
            retries: Map::default(),
            versions: rollout::FleetVersions::new(),
            rng: SmallRng::seed_from_u64(seed),
            next_link: 1,
            counters: Counters::default(),
        };
        let forget_after = bounds.remove_after;
        Self { inner: Mutex::new(inner), clock, own_domain, seed, forget_after, link_opened: watch::Sender::new(0) }
    }

    /// Processes the first message of a link and replies with `welcome` before anything else is sent on the link.
    ///
    /// # Errors
    ///
    /// [`Code::LinkBoot`] when a newer boot or link of the agent is known.
    pub fn open_link(&self, hello: &Hello, sender: Sender<ToAgent>, welcome: Welcome) -> Result<Link, Code> {
        let now = self.clock.now();
        let announcement = &hello.announcement;
        let mut inner = lock(&self.inner);
        if inner.members.announce(now, announcement.clone()) == AnnouncementEffect::Stale {
            return Err(Code::LinkBoot);
        }
        let worker = Name::clone(&announcement.worker);
        let number = inner.next_link;
        inner.next_link += 1;
        inner.counters.links_opened += 1;
        let link = Link::new(number, Name::clone(&worker), announcement.agent_boot, sender);
        let own_domain = &self.own_domain;
        let table = inner
            .tables
            .entry(Name::clone(&announcement.service))
            .or_insert_with(|| Table::new(Name::clone(own_domain), routing::Settings::default()));
        table.upsert(now, announcement);
        table.set_load(&worker, &hello.load);
        table.set_open(&worker, hello.load.ready && !hello.load.draining);
        if hello.load.draining {
            inner.members.drain(&worker, announcement.agent_boot);
        }
        link.post(ToAgent::Welcome(welcome));
        // Dispatches in progress on the previous link continue there until it ends.
        inner.links.insert(worker, link.clone());
        drop(inner);
        self.link_opened.send_modify(|count| *count += 1);
        Ok(link)
    }

    /// Processes a heartbeat; returns whether a full heartbeat is needed.
    pub fn heartbeat(&self, link: &Link, heartbeat: &Heartbeat) -> bool {
        let now = self.clock.now();
        let mut inner = lock(&self.inner);
        let heartbeat_result = inner.members.heartbeat(now, &link.worker, heartbeat);
        inner.versions.observe(now, link.process(), None);
        inner.update_routing(&link.worker);
        heartbeat_result == HeartbeatEffect::NeedsFull
    }

    /// Records the configuration version that an agent enforces, if it has one.
    pub fn record_enforced(&self, link: &Link, stamp: Option<Stamp>) {
        lock(&self.inner).versions.observe(self.clock.now(), link.process(), stamp);
    }

    /// Records the configuration versions that other entries enforce according to their rows.
    pub fn observe_entries<'a>(&self, rows: impl Iterator<Item = &'a EntryRow>) {
        let now = self.clock.now();
        let mut inner = lock(&self.inner);
        for row in rows {
            // Named by the table key, so that a worker with the name of an entry doesn't collide with it.
            let process = rollout::Process { name: Name::from(entry_key(&row.name)), boot: row.boot };
            inner.versions.observe(now, process, row.enforced);
        }
    }

    /// Returns the open links to agents that enforce neither `target` nor a higher version.
    #[must_use]
    pub fn lagging_links(&self, target: Stamp) -> Vec<Link> {
        let inner = lock(&self.inner);
        let laggards = inner.versions.laggards(self.clock.now(), target);
        let link = |laggard: &rollout::Laggard| inner.links.get(&laggard.process.name).cloned();
        laggards.iter().filter_map(link).collect()
    }

    /// Calls `read` with the known configuration versions of processes.
    pub fn with_versions<T>(&self, read: impl FnOnce(&rollout::FleetVersions) -> T) -> T {
        read(&lock(&self.inner).versions)
    }

    /// Closes a link, and stops routing to its worker unless a newer link is open.
    pub fn close_link(&self, link: &Link) {
        link.close();
        let mut inner = lock(&self.inner);
        inner.counters.links_closed += 1;
        let is_current = inner.links.get(&link.worker).is_some_and(|current| current.number == link.number);
        if is_current {
            inner.links.remove(&link.worker);
            inner.set_open(&link.worker, false);
        }
    }

    /// Chooses a backend server of `service` that isn't on an excluded worker, and counts the request as in progress.
    ///
    /// A sheddable request leaves room in the queues for other requests.
    ///
    /// # Errors
    ///
    /// The reason why no backend server can be chosen.
    pub fn choose(&self, service: &str, sheddable: bool, excluded: &[Name]) -> Result<(Choice, Link), Code> {
        let now = self.clock.now();
        let mut guard = lock(&self.inner);
        let inner = &mut *guard;
        let table = inner.tables.get_mut(service).ok_or(Code::NoBackendServer)?;
        let choice = if sheddable {
            table.choose_batch(now, excluded, &mut inner.rng)?
        } else {
            table.choose(now, excluded, &mut inner.rng)?
        };
        let link = inner.links.get(&choice.worker).cloned().ok_or(Code::NoBackendServer)?;
        table.started(&choice);
        Ok((choice, link))
    }

    /// Records the end of a dispatch that [`Fleet::choose`] counted.
    pub fn dispatch_finished(&self, service: &str, choice: &Choice, finished: Finished) {
        let now = self.clock.now();
        let change = lock(&self.inner).tables.get_mut(service).and_then(|table| table.finished(now, choice, finished));
        if let Some(change) = change {
            log::warn!(event = "backend_outlier", worker = &*choice.worker, change:? = change; "");
        }
    }

    /// Returns the retry budget of a service, updated to `settings`.
    pub fn retry_budget(&self, service: &Name, settings: retry::Settings) -> Arc<Mutex<RetryBudget>> {
        let mut inner = lock(&self.inner);
        let seed = self.seed;
        let retries = inner
            .retries
            .entry(Name::clone(service))
            .or_insert_with(|| Arc::new(Mutex::new(RetryBudget::new(settings, seed))));
        let retries = Arc::clone(retries);
        drop(inner);
        if *lock(&retries).settings() != settings {
            lock(&retries).set_settings(settings);
        }
        retries
    }

    /// Waits for an open link, other than number `lost_number`, to the same agent process.
    ///
    /// # Errors
    ///
    /// [`NextLinkError::Replaced`] once another boot of the agent is linked.
    pub async fn next_link(&self, worker: &str, agent: BootId, lost_number: u64) -> Result<Link, NextLinkError> {
        let mut opened = self.link_opened.subscribe();
        loop {
            opened.mark_unchanged();
            let link = lock(&self.inner).links.get(worker).cloned();
            match link {
                Some(link) if link.agent != agent => return Err(NextLinkError::Replaced),
                Some(link) if link.number != lost_number => return Ok(link),
                _ => {}
            }
            // The sender lives as long as the fleet, so this only returns when a new link opens.
            drop(opened.changed().await);
        }
    }

    /// Returns the open link to a worker's agent.
    #[must_use]
    pub fn link(&self, worker: &str) -> Option<Link> {
        lock(&self.inner).links.get(worker).cloned()
    }

    /// Returns all open links.
    #[must_use]
    pub fn links(&self) -> Vec<Link> {
        lock(&self.inner).links.values().cloned().collect()
    }

    /// Returns the membership record of a worker.
    #[must_use]
    pub fn member(&self, worker: &str) -> Option<Member> {
        lock(&self.inner).members.get(worker).cloned()
    }

    /// Counts a connection refused before it became a link.
    pub fn count_refused_link(&self) {
        lock(&self.inner).counters.links_refused += 1;
    }

    /// Counts a reply without a registered driver.
    pub fn count_late_reply(&self) {
        lock(&self.inner).counters.late_replies += 1;
    }

    /// Suspects and removes silent workers, and readmits ejected backend servers.
    pub fn tick(&self) {
        let now = self.clock.now();
        let mut inner = lock(&self.inner);
        for change in inner.members.sweep(now) {
            match change {
                Change::Suspected(worker) => inner.set_open(&worker, false),
                Change::Removed(worker) => inner.remove(&worker),
            }
        }
        inner.versions.expire(now, self.forget_after);
        for table in inner.tables.values_mut() {
            table.tick(now);
        }
    }

    /// Returns the membership records of all workers.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        lock(&self.inner).members.iter().cloned().collect()
    }

    /// Dumps the state as JSON.
    #[must_use]
    pub fn dump(&self) -> Value {
        let now = self.clock.now();
        let inner = lock(&self.inner);
        let workers: Vec<Value> = inner.members.iter().map(|member| dump_member(now, member, &inner)).collect();
        let counters = inner.counters;
        json!({
            "workers": workers,
            "links_opened": counters.links_opened,
            "links_closed": counters.links_closed,
            "links_refused": counters.links_refused,
            "late_replies": counters.late_replies,
        })
    }
}

impl Inner {
    fn set_open(&mut self, worker: &str, open: bool) {
        let Some(member) = self.members.get(worker) else { return };
        if let Some(table) = self.tables.get_mut(&member.announcement.service) {
            table.set_open(worker, open);
        }
    }

    /// Copies the state of a member to the routing table.
    fn update_routing(&mut self, worker: &str) {
        let Some(member) = self.members.get(worker) else { return };
        let is_live = member.standing == membership::Standing::Live;
        let is_open = is_live && member.load.ready && self.links.contains_key(worker);
        if let Some(table) = self.tables.get_mut(&member.announcement.service) {
            table.set_load(worker, &member.load);
            table.set_open(worker, is_open);
        }
    }

    fn remove(&mut self, worker: &str) {
        for table in self.tables.values_mut() {
            table.remove(worker);
        }
    }
}

fn dump_member(now: Duration, member: &Member, inner: &Inner) -> Value {
    let announcement = &member.announcement;
    let view = inner
        .tables
        .get(&announcement.service)
        .and_then(|table| table.iter().find(|view| view.choice.worker == announcement.worker));
    json!({
        "worker": announcement.worker,
        "service": announcement.service,
        "agent": announcement.agent_boot,
        "failure_domain": announcement.failure_domain,
        "rack": announcement.rack,
        "capacity": announcement.capacity,
        "standing": format!("{:?}", member.standing),
        "load": member.load,
        "silent_ms": duration_ms(now.saturating_sub(member.heard)),
        "link": inner.links.get(&announcement.worker).map(|link| link.number),
        "own_in_progress": view.as_ref().map(|view| view.own),
        "ejected": view.as_ref().map(|view| view.ejected),
        "latency_us": view.and_then(|view| view.latency).map(|latency| latency.as_micros().to_string()),
    })
}

fn duration_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
