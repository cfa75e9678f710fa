//! Agent: the process beside a backend server, and the only authority on what its worker holds.

pub mod core;
pub mod dial;
pub mod exchange;
pub mod links;
pub mod tasks;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use chervilledge_link::message::{Hello, VERSION};
use chervilledge_operator::listen::{self, Routes};
use chervilledge_operator::metrics::Reader;
use chervilledge_operator::secret::Secrets;
use chervilledge_policy::admission;
use chervilledge_policy::clock::Clock;
use chervilledge_policy::id::{BootId, Name};
use chervilledge_policy::membership::{Announcement, Load};
use chervilledge_policy::rollout::Stamp;
use chervilledge_worker::{backend, runtime};
use ractor::{Actor, ActorRef};
use serde_json::json;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::agent::core::{Arguments, Core, Message};
use crate::rollout::Enforced;
use crate::settings;
use crate::start::Error;

/// Time between two attempts to reach the backend server.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Time for one attempt to reach the backend server.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for the actor to answer a question.
const ASK_TIMEOUT_MS: u64 = 1_000;

/// Time that evicted tasks get until their ends are recorded.
const BATCH_DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between two looks at whether a drain has ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Time that the last messages get to leave on the links.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// Running agent; it ends at once when it is dropped.
#[derive(Debug)]
pub struct Agent {
    core: ActorRef<Message>,
    batch: ActorRef<tasks::Message>,
    operators: listen::Handle,
    tasks: Vec<JoinHandle<()>>,
    drain_timeout: Duration,
}

/// Starts an agent.
///
/// # Errors
///
/// The reason why it can't start.
pub async fn spawn(settings: settings::Agent, clock: Clock, boot: BootId) -> Result<Agent, Error> {
    let link_secrets = Secrets::open(&settings.link_secrets)?;
    let operator_secrets = Secrets::open(&settings.operator_secrets)?;
    let backend_connections = settings.capacity.connections as usize;
    let (entries, entries_heard) = mpsc::unbounded_channel();
    let enforced = Arc::new(Enforced::new(Name::clone(&settings.site)));
    let (batch, _) = Actor::spawn(None, tasks::Tasks, batch_arguments(&settings, &clock, boot, &enforced)).await?;
    let arguments = Arguments {
        boot,
        enforced: Arc::clone(&enforced),
        clock,
        service: Name::clone(&settings.service),
        limits: admission_settings(&settings),
        backend: backend::open(settings.backend_address, backend_connections),
        entries,
        tasks: batch.clone(),
    };
    let (core, _) = Actor::spawn(None, Core, arguments).await?;
    let operators = listen::bind(
        settings.operators_address,
        listen::Settings::new(operator_secrets),
        routes(&core, &batch, Name::clone(&settings.worker)),
    )
    .await?;
    let tasks = vec![
        tasks::spawn_ticks(batch.clone(), settings.batch.tick_ms),
        spawn_ticks(core.clone(), settings.bounds.heartbeat_interval_ms),
        spawn_probe(core.clone(), settings.backend_address),
        spawn_links(&core, &settings, &link_secrets, boot, enforced, entries_heard),
    ];
    Ok(Agent { core, batch, operators, tasks, drain_timeout: settings.bounds.drain_timeout_ms })
}

impl Agent {
    /// Address of the operators' listener.
    #[must_use]
    pub fn operators_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Takes no new work, finishes what is in progress within the drain timeout, and ends.
    pub async fn drain(self) {
        drop(self.batch.cast(tasks::Message::Drain));
        drop(self.core.cast(Message::Drain));
        let drained = wait_drained(&self.core);
        if tokio::time::timeout(self.drain_timeout, drained).await.is_err() {
            log::warn!(event = "drain_timed_out"; "");
        }
        let bound = self.drain_timeout.min(BATCH_DRAIN_TIMEOUT);
        if tokio::time::timeout(bound, wait_evicted(&self.batch)).await.is_err() {
            log::warn!(event = "evictions_timed_out"; "");
        }
        tokio::time::sleep(FLUSH_TIME).await;
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        self.core.kill();
        self.batch.kill();
    }
}

async fn wait_evicted(batch: &ActorRef<tasks::Message>) {
    while let Ok(false) = ractor::call_t!(batch, tasks::Message::IsDrained, ASK_TIMEOUT_MS) {
        tokio::time::sleep(DRAIN_POLL).await;
    }
}

async fn wait_drained(core: &ActorRef<Message>) {
    while let Ok(false) = ractor::call_t!(core, Message::IsDrained, ASK_TIMEOUT_MS) {
        tokio::time::sleep(DRAIN_POLL).await;
    }
}

fn batch_arguments(
    settings: &settings::Agent,
    clock: &Clock,
    boot: BootId,
    enforced: &Arc<Enforced>,
) -> tasks::Arguments {
    tasks::Arguments {
        boot,
        clock: clock.clone(),
        runtime: runtime::open(settings.runtime_address),
        capacity: settings.capacity.resources,
        settings: settings.batch.clone(),
        service: Name::clone(&settings.service),
        enforced: Arc::clone(enforced),
    }
}

fn admission_settings(settings: &settings::Agent) -> admission::Settings {
    admission::Settings {
        slots: settings.capacity.slots,
        connections: settings.capacity.connections,
        queue: settings.bounds.agent_queue_max,
        ..admission::Settings::default()
    }
}

fn routes(core: &ActorRef<Message>, batch: &ActorRef<tasks::Message>, worker: Name) -> Routes {
    let core = core.clone();
    let batch = batch.clone();
    let dump = move |_| {
        let core = core.clone();
        let batch = batch.clone();
        let worker = Name::clone(&worker);
        async move {
            let state = ractor::call_t!(core, Message::Dump, ASK_TIMEOUT_MS).unwrap_or_default();
            let batch = ractor::call_t!(batch, tasks::Message::Dump, ASK_TIMEOUT_MS).unwrap_or_default();
            Ok(json!({ "role": "agent", "name": worker, "agent": state, "batch": batch }))
        }
    };
    Routes::new().route(http::Method::GET, "/state", dump).metrics(Reader::new())
}

fn spawn_ticks(core: ActorRef<Message>, interval: Duration) -> JoinHandle<()> {
    tokio::spawn(async move {
        while core.cast(Message::Tick).is_ok() {
            tokio::time::sleep(interval).await;
        }
    })
}

/// Watches whether the backend server accepts connections.
fn spawn_probe(core: ActorRef<Message>, backend: SocketAddr) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut was_ready = None;
        loop {
            let connected = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(backend)).await;
            let is_ready = matches!(connected, Ok(Ok(_)));
            if was_ready != Some(is_ready) {
                log::info!(event = "backend_probed", ready = is_ready; "");
                was_ready = Some(is_ready);
            }
            if core.cast(Message::Ready(is_ready)).is_err() {
                return;
            }
            tokio::time::sleep(if is_ready { PROBE_INTERVAL * 10 } else { PROBE_INTERVAL }).await;
        }
    })
}

fn spawn_links(
    core: &ActorRef<Message>,
    settings: &settings::Agent,
    secrets: &Secrets,
    boot: BootId,
    enforced: Arc<Enforced>,
    entries: mpsc::UnboundedReceiver<Vec<chervilledge_link::message::EntryAddress>>,
) -> JoinHandle<()> {
    let links = links::Settings {
        worker: Name::clone(&settings.worker),
        bootstrap: settings.entry_addresses.clone(),
        links_max: settings.links_max,
        secret: secrets.presented().to_owned(),
        silence: settings.bounds.link_silence_ms,
        backoff_max: settings.bounds.link_backoff_max_ms,
    };
    let announcement = announcement(settings, boot);
    let hello_core = core.clone();
    let last_link = AtomicU64::new(0);
    let hello = move || {
        let core = hello_core.clone();
        let link = last_link.fetch_add(1, Ordering::Relaxed) + 1;
        let announcement = Announcement { link, ..announcement.clone() };
        let enforced = enforced.stamp();
        async move { hello(&core, announcement, enforced).await }
    };
    let events_core = core.clone();
    let retire_core = core.clone();
    // The actor stops with the process only.
    let events = move |event| drop(events_core.cast(Message::Dial(event)));
    let retire = move |address, is_retired| drop(retire_core.cast(Message::Retire { address, is_retired }));
    links::spawn(links, links::Ports { hello, events, retire }, entries)
}

async fn hello(core: &ActorRef<Message>, announcement: Announcement, enforced: Option<Stamp>) -> Hello {
    let load =
        ractor::call_t!(core, Message::Load, ASK_TIMEOUT_MS).unwrap_or(Load { draining: true, ..Load::default() });
    Hello { version: VERSION, announcement, load, enforced }
}

fn announcement(settings: &settings::Agent, boot: BootId) -> Announcement {
    Announcement {
        agent_boot: boot,
        capacity: settings.capacity,
        failure_domain: Name::clone(&settings.failure_domain),
        link: 0,
        queue: settings.bounds.agent_queue_max,
        rack: Name::clone(&settings.rack),
        service: Name::clone(&settings.service),
        worker: Name::clone(&settings.worker),
    }
}
