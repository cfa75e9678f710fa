//! Entry: accepts callers' requests and chooses the workers that run them.

pub mod answering;
pub mod batch;
pub mod bodies;
pub mod exchange;
pub mod fleet;
pub mod journal;
pub mod keys;
pub mod links;
pub mod metrics;
pub mod operators;
pub mod peers;
pub mod requests;
pub mod upload;
pub mod work;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use chervilledge_caller::budget::{self, Limits};
use chervilledge_caller::listener::{self, HeadLimits};
use chervilledge_operator::listen;
use chervilledge_operator::secret::Secrets;
use chervilledge_policy::clock::Clock;
use chervilledge_policy::id::{BootId, Name};
use chervilledge_policy::membership;
use chervilledge_policy::peers::EntryRow;
use chervilledge_store::{client, group};
use ractor::{Actor, ActorRef};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::entry::exchange::{Context, RequestCounters};
use crate::entry::fleet::Fleet;
use crate::entry::journal::Journal;
use crate::entry::keys::Keys;
use crate::entry::links::{Listener as LinkListener, OnTasks};
use crate::entry::metrics::Metrics;
use crate::entry::peers::CommitShare;
use crate::entry::requests::Requests;
use crate::rollout::Enforced;
use crate::settings;
use crate::start::Error;

/// Time between two sweeps of the fleet.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Silence after which a worker is removed, as a multiple of the silence limit of links.
const REMOVE_AFTER_SILENCES: u32 = 20;

/// Time limit for the arrival of a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time limit for a draining entry to delete its row.
const RETIRE_TIMEOUT: Duration = Duration::from_secs(2);

/// Minimum time between two commits of idempotency keys by one entry.
const KEY_COMMIT_INTERVAL: Duration = Duration::from_millis(50);

/// Number of pauses between two probes of an unavailable store that fit into the length of a lease.
const BACKOFFS_PER_LEASE: u32 = 6;

/// Commits of idempotency keys per second of all entries; with those of tasks, well below the platform's limit.
const KEY_COMMITS_PER_S: u32 = 60;

/// Commits of tasks per second of all entries together.
const TASK_COMMITS_PER_S: u32 = 140;

/// Running entry; dropping it stops it at once.
#[derive(Debug)]
pub struct Entry {
    callers: Option<listener::Listener>,
    callers_address: SocketAddr,
    links: LinkListener,
    operators: listen::Handle,
    requests: Arc<Requests>,
    /// Keeps the instruments registered.
    _metrics: Metrics,
    peers: peers::Context,
    batch: ActorRef<batch::Message>,
    batch_ticks: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
    drain_timeout: Duration,
}

/// Starts an entry.
///
/// # Errors
///
/// The reason why it can't start.
pub async fn spawn(settings: settings::Entry, clock: Clock, boot: BootId) -> Result<Entry, Error> {
    let link_secrets = Secrets::open(&settings.link_secrets)?;
    let operator_secrets = Secrets::open(&settings.operator_secrets)?;
    let fleet = Arc::new(open_fleet(&settings, &clock, boot));
    let enforced = Arc::new(Enforced::new(Name::clone(&settings.site)));
    let live = watch::Sender::new(Vec::new());
    let platform = client::open(platform_settings(&settings), boot, clock.clone());
    let commits = open_commits(&platform, settings.batch.commit_gather_ms);
    let batch = batch::Context {
        platform: platform.clone(),
        commits: commits.clone(),
        clock: clock.clone(),
        fleet: Arc::clone(&fleet),
        enforced: Arc::clone(&enforced),
        settings: settings.batch.clone(),
        boot,
    };
    let (batch_actor, _) = Actor::spawn(None, batch::Batch, batch.clone()).await?;
    let links = links::Context {
        fleet: Arc::clone(&fleet),
        secrets: Arc::new(link_secrets),
        settings: links::Settings {
            silence: settings.bounds.link_silence_ms,
            heartbeat_interval: settings.bounds.heartbeat_interval_ms,
        },
        boot,
        live: live.subscribe(),
        enforced: Arc::clone(&enforced),
        on_tasks: on_tasks(&batch_actor),
    };
    let links = links::bind(settings.links_address, links).await?;
    let key_commits = open_commits(&platform, KEY_COMMIT_INTERVAL);
    let keys = Keys::new(platform.clone(), key_commits.clone());
    let key_sweeps = keys.spawn_sweeps();
    let requests = Arc::new(open_requests(&settings, &clock, boot, &fleet, &enforced, keys));
    let metrics = metrics::open(&requests.context);
    let routes = operators::routes(&requests, &platform, &metrics, (&batch, &batch_actor), Name::clone(&settings.name));
    let operators = listen::bind(settings.operators_address, listen::Settings::new(operator_secrets), routes).await?;
    let callers = bind_callers(&settings, &requests, clock.clone()).await?;
    let peers = peers::Context {
        platform,
        clock,
        fleet: Arc::clone(&fleet),
        enforced,
        row: EntryRow {
            name: Name::clone(&settings.name),
            boot,
            failure_domain: Name::clone(&settings.failure_domain),
            address: Name::from(settings.links_advertised_address.unwrap_or(links.address()).to_string()),
            counter: 0,
            enforced: None,
        },
        live,
    };
    let shares = [
        CommitShare { group: commits, commits_per_s: TASK_COMMITS_PER_S, base: settings.batch.commit_gather_ms },
        CommitShare { group: key_commits, commits_per_s: KEY_COMMITS_PER_S, base: KEY_COMMIT_INTERVAL },
    ];
    let commit_pacing = peers::spawn_commit_pacing(peers.live.subscribe(), shares);
    let history_sweeps = peers::spawn_history_sweeps(peers.platform.clone(), peers.live.subscribe());
    let mut tasks = peers::spawn_configuration(peers.clone());
    tasks.push(history_sweeps);
    tasks.push(commit_pacing);
    tasks.push(peers::spawn_announcements(peers.clone()));
    tasks.push(spawn_sweeps(fleet));
    let batch_ticks = batch::spawn_ticks(batch_actor.clone(), settings.batch.tick_ms);
    tasks.push(key_sweeps);
    Ok(Entry {
        callers_address: callers.address(),
        callers: Some(callers),
        links,
        operators,
        requests,
        _metrics: metrics,
        peers,
        batch: batch_actor,
        batch_ticks,
        tasks,
        drain_timeout: settings.bounds.drain_timeout_ms,
    })
}

impl Entry {
    /// Address for callers.
    #[must_use]
    pub const fn callers_address(&self) -> SocketAddr {
        self.callers_address
    }

    /// Address for agents' links.
    #[must_use]
    pub const fn links_address(&self) -> SocketAddr {
        self.links.address()
    }

    /// Address of the operator listener.
    #[must_use]
    pub fn operators_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Refuses new requests, waits up to the drain timeout for those in progress, and stops.
    pub async fn drain(mut self) {
        self.requests.is_draining.store(true, Ordering::Relaxed);
        self.stop_tasks();
        // The actor keeps renewing its lease, so that tasks continue to run until the entry ends.
        drop(self.batch.cast(batch::Message::Retire));
        let retired = tokio::time::timeout(RETIRE_TIMEOUT, peers::retire(&self.peers));
        let Some(callers) = self.callers.take() else { return };
        let drained = tokio::time::timeout(self.drain_timeout, callers.drain());
        let (_, drained) = tokio::join!(retired, drained);
        if drained.is_err() {
            log::warn!(event = "drain_timed_out"; "");
        }
    }

    fn stop_tasks(&self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.stop_tasks();
        self.batch_ticks.abort();
        self.batch.kill();
    }
}

fn open_commits(platform: &client::Client, interval: Duration) -> group::Group {
    group::spawn(platform.clone(), group::Settings { interval, ..group::Settings::default() })
}

fn open_fleet(settings: &settings::Entry, clock: &Clock, boot: BootId) -> Fleet {
    let silence = settings.bounds.link_silence_ms;
    let bounds = membership::Settings { suspect_after: silence, remove_after: silence * REMOVE_AFTER_SILENCES };
    Fleet::new(clock.clone(), Name::clone(&settings.failure_domain), bounds, boot.0)
}

fn open_requests(
    settings: &settings::Entry,
    clock: &Clock,
    boot: BootId,
    fleet: &Arc<Fleet>,
    enforced: &Arc<Enforced>,
    keys: Keys,
) -> Requests {
    let context = Context {
        fleet: Arc::clone(fleet),
        clock: clock.clone(),
        boot,
        sequence: AtomicU64::new(0),
        counters: RequestCounters::default(),
        journal: Journal::default(),
    };
    Requests {
        context: Arc::new(context),
        enforced: Arc::clone(enforced),
        keys,
        bounds: settings.bounds.clone(),
        is_draining: AtomicBool::new(false),
    }
}

fn platform_settings(settings: &settings::Entry) -> client::Settings {
    let defaults = client::Settings::default();
    // A pause must not outlast the time that the entry has to renew its lease once the store is available again.
    let backoff_limit = defaults.backoff_limit.min(settings.batch.lease.length / BACKOFFS_PER_LEASE);
    client::Settings { address: settings.platform_address, backoff_limit, ..defaults }
}

async fn bind_callers(
    settings: &settings::Entry,
    requests: &Arc<Requests>,
    clock: Clock,
) -> io::Result<listener::Listener> {
    let heads = HeadLimits { bytes_max: settings.bounds.head_bytes_max, timeout: HEAD_TIMEOUT };
    let limits = Limits {
        bytes_max: settings.bounds.callers_bytes_max,
        connections_max: settings.bounds.caller_connections_max,
    };
    let budget = budget::open(limits, clock);
    let requests = Arc::clone(requests);
    let handler = move |request| {
        let requests = Arc::clone(&requests);
        async move { requests::serve(&requests, request).await }
    };
    listener::bind(settings.callers_address, &budget, move || heads, handler).await
}

/// Builds the handler that passes reports on batch tasks to the batch actor.
fn on_tasks(batch: &ActorRef<batch::Message>) -> OnTasks {
    let batch = batch.clone();
    OnTasks(Arc::new(move |link, reports| {
        // Sending fails only while the process shuts down, since the actor lives as long as the process.
        drop(batch.cast(batch::Message::Reports { link: link.clone(), reports }));
    }))
}

fn spawn_sweeps(fleet: Arc<Fleet>) -> JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            fleet.tick();
        }
    })
}
