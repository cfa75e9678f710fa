//! An entry: takes callers' jobs, answers what became of them, and places for the cell when it is its turn.

mod admission;
mod election;
mod links;
mod requests;

use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chervilledge_cell::admission::Slots;
use chervilledge_cell::configuration::Configuration;
use chervilledge_cell::job::{JobId, JobState};
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
use crate::peer::{Link, Pending};
use crate::placer;
use crate::roster::{self, Roster};
use crate::rows::{self, ENTRY_PREFIX, Process};
use crate::settings;
use crate::store::{Change, Configured, Handle, Outcome, ReadError, Table, Transaction};
use crate::submit::{self, Submitter};

/// Pause after an announcement that wasn't written.
const ANNOUNCE_RETRY: Duration = Duration::from_millis(250);
/// Time that a dump of the placer may take.
const DUMP_TIMEOUT: Duration = Duration::from_millis(500);

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
    roster: roster::Reader,
    /// The placer that this process runs.
    own_placer: Mutex<Option<(u64, ActorRef<placer::Message>)>>,
    way: watch::Sender<Way>,
    /// What waits, as last told, and when.
    pending: Mutex<Option<(Pending, Duration)>>,
    /// Slots in which callers come again whose jobs the backlog left no time.
    slots: Mutex<Slots>,
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
    let roster = roster::spawn(Arc::clone(&store), clock.clone());
    let submitter = submit::spawn(&store, &clock);
    let inner = Inner {
        settings,
        clock,
        store: Arc::clone(&store),
        metrics,
        submitter,
        configuration,
        roster,
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
        tokio::spawn(follow_configuration(
            Arc::clone(&store),
            entry.inner.clock.clone(),
            Arc::clone(&entry.inner.metrics),
            feed::Timing::within(entry.inner.settings.configuration_apply),
            configured,
        )),
        tokio::spawn(announce(store, entry.inner.settings.clone())),
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
            drop(ractor::call_t!(placer, placer::Message::Retire, 2_000));
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
            "way_to_placer": format!("{:?}", *self.inner.way.borrow()),
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

/// Follows the configuration; an older version never replaces a newer one.
async fn follow_configuration(
    store: Handle,
    clock: Clock,
    metrics: Arc<Metrics>,
    timing: feed::Timing,
    configured: watch::Sender<Option<Arc<Configuration>>>,
) {
    let mut feed = feed::open("configuration", timing, clock);
    let mut after = 0;
    loop {
        let age = feed.age();
        let known = configured.borrow().as_ref().map_or(0, |known| known.version);
        metrics.configuration(known, age);
        match feed.next(after, |wait, arrival| (store.watch_configuration)((after, wait, arrival))).await {
            Ok(Configured { configuration, revision }) => {
                after = revision;
                let Some(configuration) = configuration else { continue };
                let is_newer = configuration.version > known;
                log::info!(event = "configuration", version = configuration.version, former = known,
                    queues = configuration.queues.len(), is_newer = is_newer, revision = revision,
                    age_ms = whole_ms(age); "");
                if is_newer {
                    configured.send_replace(Some(Arc::new(configuration)));
                }
            }
            Err(ReadError::HistoryLost) => after = 0,
            // The feed logs why, and repeats the request.
            Err(_) => {}
        }
    }
}

/// Writes where the entry takes links.
async fn announce(store: Handle, settings: settings::Entry) {
    let content = Process { address: settings.links_address };
    let key: Name = Arc::from(format!("{ENTRY_PREFIX}{}", settings.name));
    loop {
        let change = Change { table: Table::Cell, key: Arc::clone(&key), value: Some(rows::encode(&content)) };
        let outcome = (store.commit)(Transaction { conditions: Vec::new(), changes: vec![change] }).await;
        if matches!(outcome, Outcome::Done(_)) {
            return;
        }
        tokio::time::sleep(ANNOUNCE_RETRY).await;
    }
}
