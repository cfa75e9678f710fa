//! Entry of a cell: accepts callers' jobs, answers queries about them, and runs the cell's placer when elected.

mod admission;
mod announce;
mod election;
mod links;
mod operator;
mod requests;
mod retirement;

use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chervilledge_caller::budget::{self, Budget, Limits};
use chervilledge_cell::admission::RetrySlots;
use chervilledge_cell::configuration::Configuration;
use chervilledge_cell::evacuation::EvacuatedDomains;
use chervilledge_cell::job::{JobId, JobState};
use chervilledge_cell::response::RecentReadTimes;
use chervilledge_cell::witness::Witness;
use chervilledge_policy::clock::Clock;
use chervilledge_policy::collections::Map;
use chervilledge_policy::id::Name;
use ractor::{ActorRef, ActorStatus};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::candidate::Unlinked;
use crate::clock::whole_ms;
use crate::feed;
use crate::metrics::Metrics;
use crate::outage;
use crate::peer::{Link, SharedWaitingWork};
use crate::placer;
use crate::roster::{self, Roster};
use crate::settings;
use crate::store::Handle;
use crate::submit::{self, Submitter};

/// Timeout for a dump of the placer's state.
const DUMP_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for the placer to release the cell in the store.
const RETIRE_TIMEOUT_MS: u64 = 2_000;

/// Reply to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The job is stored.
    Accepted,
    /// The job is cancelled.
    Cancelled,
    /// State of a job.
    State(JobState),
    /// Number of accepted jobs in the queue of which no task has started.
    Pending(usize),
    /// There is no such job.
    NoJob,
    /// Nothing was done; the caller may retry after the given time.
    Refused {
        /// Reason, a code listed in `docs/ERRORS.md`.
        code: chervilledge_policy::code::Code,
        /// Time to wait before a retry.
        retry_after: Duration,
    },
    /// It isn't known whether the request took effect.
    Undecided,
}

/// Route from this entry to the cell's placer.
#[derive(Clone)]
enum PlacerRoute {
    /// The placer runs in this process.
    Local(ActorRef<placer::Message>),
    /// The placer runs in another entry.
    Remote(Arc<Link>),
    /// The placer runs in another entry to which no link is open yet.
    Opening(Unlinked),
    /// No placer is known.
    None,
}

impl fmt::Debug for PlacerRoute {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Local(_) => "here",
            Self::Remote(_) => "there",
            Self::Opening(_) | Self::None => "none",
        })
    }
}

/// Handle to a running entry; clones share it.
#[derive(Clone, Debug)]
pub struct Entry {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    settings: settings::Entry,
    clock: Clock,
    store: Handle,
    metrics: Arc<Metrics>,
    submitter: Submitter,
    configuration: watch::Receiver<Option<Arc<Configuration>>>,
    evacuated: watch::Receiver<Arc<EvacuatedDomains>>,
    operator_rows_read: watch::Receiver<Duration>,
    roster: roster::Reader,
    /// Durations of the last reads that measure the store.
    read_times: Mutex<RecentReadTimes>,
    /// Placer of this process, with its term.
    local_placer: Mutex<Option<(u64, ActorRef<placer::Message>)>>,
    placer_route: watch::Sender<PlacerRoute>,
    /// Waiting work as last received from the placer, and when.
    pending: Mutex<Option<(SharedWaitingWork, Duration)>>,
    /// Retry times assigned to callers whose jobs were refused because of the backlog.
    retry_slots: Mutex<RetrySlots>,
    relays: Mutex<Map<Name, Arc<Link>>>,
    /// Jobs whose caller was told that the outcome is unknown, and when.
    undecided: Mutex<Map<JobId, Duration>>,
    /// Terms that this entry renews as a witness.
    witness: Mutex<Witness>,
    is_stopping: AtomicBool,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl Drop for Inner {
    fn drop(&mut self) {
        lock(&self.tasks).iter().for_each(JoinHandle::abort);
    }
}

/// Starts an entry.
///
/// # Errors
///
/// The error of the operating system when the address for links can't be bound.
pub async fn spawn(
    settings: settings::Entry,
    clock: Clock,
    store: Handle,
    metrics: Arc<Metrics>,
) -> std::io::Result<Entry> {
    let budget = budget::open(Limits::default(), clock.clone());
    spawn_within(settings, clock, store, metrics, &budget).await
}

/// As [`spawn`], with a budget for links that the entry shares with its other listeners.
///
/// # Errors
///
/// As [`spawn`].
pub async fn spawn_within(
    settings: settings::Entry,
    clock: Clock,
    store: Handle,
    metrics: Arc<Metrics>,
    budget: &Budget,
) -> std::io::Result<Entry> {
    let listener = TcpListener::bind(settings.links_address).await?;
    let (configuration_sender, configuration) = watch::channel(None);
    let (evacuated_sender, evacuated) = watch::channel(Arc::default());
    let (read_sender, operator_rows_read) = watch::channel(Duration::ZERO);
    let entries = Arc::new(AtomicUsize::new(1));
    let entry_count = Arc::clone(&entries);
    let health = outage::open(&clock, &metrics, Arc::new(move || entry_count.load(Ordering::Relaxed)));
    let unobserved_store = store;
    let store = health.observe(&unobserved_store);
    let roster = roster::spawn(Arc::clone(&store), clock.clone());
    let submitter = submit::spawn_with(&unobserved_store, &clock, health);
    let witness = Witness::new(clock.now());
    let inner = Inner {
        settings,
        clock,
        store: Arc::clone(&store),
        metrics,
        submitter,
        configuration,
        evacuated,
        operator_rows_read,
        roster,
        read_times: Mutex::default(),
        local_placer: Mutex::new(None),
        placer_route: watch::channel(PlacerRoute::None).0,
        pending: Mutex::new(None),
        retry_slots: Mutex::default(),
        relays: Mutex::default(),
        undecided: Mutex::default(),
        witness: Mutex::new(witness),
        is_stopping: AtomicBool::new(false),
        tasks: Mutex::default(),
    };
    let entry = Entry { inner: Arc::new(inner) };
    let tasks = vec![
        tokio::spawn(operator::follow(operator::OperatorFeed {
            store: Arc::clone(&store),
            clock: entry.inner.clock.clone(),
            metrics: Arc::clone(&entry.inner.metrics),
            timing: feed::Timing::within(entry.inner.settings.operator_rows_known()),
            configuration_sender,
            evacuated_sender,
            read_sender,
        })),
        tokio::spawn(announce::run(entry.clone())),
        tokio::spawn(count_entries(entry.inner.roster.view.clone(), entries)),
        tokio::spawn(links::accept_all(listener, entry.clone(), budget.clone())),
        tokio::spawn(election::run(entry.clone())),
        tokio::spawn(links::follow_placer(entry.clone())),
    ];
    *lock(&entry.inner.tasks) = tasks;
    Ok(entry)
}

impl Entry {
    /// Current configuration, once one is known.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.inner.configuration.borrow().clone()
    }

    /// Whether the entry can serve callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let is_routed = matches!(*self.inner.placer_route.borrow(), PlacerRoute::Local(_) | PlacerRoute::Remote(_));
        let has_route = self.roster().is_some() || is_routed;
        !self.inner.is_stopping.load(Ordering::Relaxed) && self.configuration().is_some() && has_route
    }

    /// State dump of the entry and of its placer.
    pub async fn dump(&self) -> Value {
        let placer = match self.local_placer() {
            Some((_, placer)) => {
                let timeout_ms = u64::try_from(DUMP_TIMEOUT.as_millis()).unwrap_or(u64::MAX);
                ractor::call_t!(placer, placer::Message::Dump, timeout_ms).unwrap_or(Value::Null)
            }
            None => Value::Null,
        };
        json!({
            "name": self.inner.settings.name,
            "is_ready": self.is_ready(),
            "configuration_version": self.configuration().map(|configuration| configuration.version),
            "domains_evacuated": self.inner.evacuated.borrow().requested().collect::<Vec<_>>(),
            "way_to_placer": format!("{:?}", *self.inner.placer_route.borrow()),
            "store": self.inner.submitter.health().standing().as_str(),
            "store_response_ms": self.store_latency().map(whole_ms),
            "claim_wait_ms": whole_ms(self.claim_wait()),
            "backlog": self.backlog_dump(),
            "placer": placer,
        })
    }

    fn roster(&self) -> Option<Arc<Roster>> {
        self.inner.roster.view.borrow().clone()
    }

    /// Placer of this process with its term, while it runs.
    fn local_placer(&self) -> Option<(u64, ActorRef<placer::Message>)> {
        let own = lock(&self.inner.local_placer).clone()?;
        matches!(own.1.get_status(), ActorStatus::Running | ActorStatus::Starting | ActorStatus::Upgrading)
            .then_some(own)
    }

    fn now(&self) -> Duration {
        self.inner.clock.now()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Maintains the number of entries in the cell.
async fn count_entries(mut view: watch::Receiver<Option<Arc<Roster>>>, entries: Arc<AtomicUsize>) {
    while view.changed().await.is_ok() {
        let count = view.borrow_and_update().as_ref().map_or(1, |roster| roster.entries.len().max(1));
        entries.store(count, Ordering::Relaxed);
    }
}
