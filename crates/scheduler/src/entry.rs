//! An entry: takes callers' jobs, answers what became of them, and places for the cell when it is its turn.

mod admission;
mod announce;
mod election;
mod links;
mod operator;
mod requests;

use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chervilledge_cell::admission::RetrySlots;
use chervilledge_cell::configuration::Configuration;
use chervilledge_cell::evacuation::EvacuatedDomains;
use chervilledge_cell::job::{JobId, JobState};
use chervilledge_cell::response::RecentReadTimes;
use chervilledge_policy::clock::Clock;
use chervilledge_policy::collections::Map;
use chervilledge_policy::id::Name;
use ractor::{ActorRef, ActorStatus};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::clock::whole_ms;
use crate::feed;
use crate::metrics::Metrics;
use crate::outage;
use crate::peer::{Link, Pending};
use crate::placer;
use crate::roster::{self, Roster};
use crate::settings;
use crate::store::Handle;
use crate::submit::{self, Submitter};

/// Time that a dump of the placer may take.
const DUMP_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for the placer to give the cell up in the store.
const RETIRE_TIMEOUT_MS: u64 = 2_000;

/// Answer to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The job is stored.
    Accepted,
    /// The job is cancelled.
    Cancelled,
    /// State of a job.
    State(JobState),
    /// Accepted jobs of the queue of which no task has started.
    Pending(usize),
    /// There is no such job.
    NoJob,
    /// Nothing was done; the caller may come back after this time.
    Refused {
        /// Why, as a number of `docs/ERRORS.md`.
        code: chervilledge_policy::code::Code,
        /// When to come back.
        retry_after: Duration,
    },
    /// It isn't known whether the request took effect.
    Undecided,
}

/// Where the placer is, as seen from this entry.
#[derive(Clone)]
enum Way {
    /// This entry places.
    Here(ActorRef<placer::Message>),
    /// Another entry places.
    There(Arc<Link>),
    /// No placer can be reached.
    None,
}

impl fmt::Debug for Way {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Here(_) => "here",
            Self::There(_) => "there",
            Self::None => "none",
        })
    }
}

/// Running entry; clones share it.
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
    roster: roster::Reader,
    /// Times of the last reads that measure the store.
    responses: Mutex<RecentReadTimes>,
    /// The placer that this process runs.
    own_placer: Mutex<Option<(u64, ActorRef<placer::Message>)>>,
    way: watch::Sender<Way>,
    /// What waits, as last told, and when.
    pending: Mutex<Option<(Pending, Duration)>>,
    /// Slots in which callers come again whose jobs the backlog left no time.
    slots: Mutex<RetrySlots>,
    relays: Mutex<Map<Name, Arc<Link>>>,
    /// Jobs whose outcome was unknown, with the time when that was told.
    undecided: Mutex<Map<JobId, Duration>>,
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
    let listener = TcpListener::bind(settings.links_address).await?;
    let (configured, configuration) = watch::channel(None);
    let (evacuations_told, evacuated) = watch::channel(Arc::default());
    let entries = Arc::new(AtomicUsize::new(1));
    let counted = Arc::clone(&entries);
    let view = outage::open(&clock, &metrics, Arc::new(move || counted.load(Ordering::Relaxed)));
    let unwatched = store;
    let store = view.watched(&unwatched);
    let roster = roster::spawn(Arc::clone(&store), clock.clone());
    let submitter = submit::spawn_with(&unwatched, &clock, view);
    let inner = Inner {
        settings,
        clock,
        store: Arc::clone(&store),
        metrics,
        submitter,
        configuration,
        evacuated,
        roster,
        responses: Mutex::default(),
        own_placer: Mutex::new(None),
        way: watch::channel(Way::None).0,
        pending: Mutex::new(None),
        slots: Mutex::default(),
        relays: Mutex::default(),
        undecided: Mutex::default(),
        is_stopping: AtomicBool::new(false),
        tasks: Mutex::default(),
    };
    let entry = Entry { inner: Arc::new(inner) };
    let tasks = vec![
        tokio::spawn(operator::follow(operator::Following {
            store: Arc::clone(&store),
            clock: entry.inner.clock.clone(),
            metrics: Arc::clone(&entry.inner.metrics),
            timing: feed::Timing::within(entry.inner.settings.operator_rows_known()),
            configured,
            evacuations_told,
        })),
        tokio::spawn(announce::run(entry.clone())),
        tokio::spawn(count_entries(entry.inner.roster.view.clone(), entries)),
        tokio::spawn(links::accept_all(listener, entry.clone())),
        tokio::spawn(election::run(entry.clone())),
        tokio::spawn(links::follow_placer(entry.clone())),
    ];
    *lock(&entry.inner.tasks) = tasks;
    Ok(entry)
}

impl Entry {
    /// Configuration in force, once one is known.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.inner.configuration.borrow().clone()
    }

    /// Whether the entry can serve callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let has_way = self.roster().is_some() || !matches!(*self.inner.way.borrow(), Way::None);
        !self.inner.is_stopping.load(Ordering::Relaxed) && self.configuration().is_some() && has_way
    }

    /// Gives the cell up if this entry places, and takes no new role.
    pub async fn retire(&self) {
        self.inner.is_stopping.store(true, Ordering::Relaxed);
        if let Some((_, placer)) = self.own_placer() {
            // A placer that has ended meanwhile needs no answer.
            drop(ractor::call_t!(placer, placer::Message::Retire, RETIRE_TIMEOUT_MS));
        }
    }

    /// Dump of the state.
    pub async fn dump(&self) -> Value {
        let placer = match self.own_placer() {
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
            "way_to_placer": format!("{:?}", *self.inner.way.borrow()),
            "store": self.inner.submitter.view().standing().as_str(),
            "store_response_ms": self.response().map(whole_ms),
            "claim_wait_ms": whole_ms(self.claim_wait()),
            "backlog": self.backlog_dump(),
            "placer": placer,
        })
    }

    fn roster(&self) -> Option<Arc<Roster>> {
        self.inner.roster.view.borrow().clone()
    }

    /// The placer of this process, while it runs, with its term.
    fn own_placer(&self) -> Option<(u64, ActorRef<placer::Message>)> {
        let own = lock(&self.inner.own_placer).clone()?;
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

/// Keeps the number of entries of the cell.
async fn count_entries(mut view: watch::Receiver<Option<Arc<Roster>>>, entries: Arc<AtomicUsize>) {
    while view.changed().await.is_ok() {
        let count = view.borrow_and_update().as_ref().map_or(1, |roster| roster.entries.len().max(1));
        entries.store(count, Ordering::Relaxed);
    }
}
