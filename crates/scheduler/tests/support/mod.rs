//! In-memory store with faults.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod agent;
pub mod narrow;
pub mod ports;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chervilledge_cell::configuration::{Configuration, Limits, Queue, Service};
use chervilledge_cell::job::{Job, JobId, Step, Terms};
use chervilledge_policy::clock::Clock;
use chervilledge_policy::collections::Map;
use chervilledge_policy::id::Name;
use chervilledge_scheduler::entry::{self, Entry};
use chervilledge_scheduler::store::{
    Change, ConfigurationUpdate, Evacuations, Handle, Outcome, Page as PageRequest, Partition, ReadError, Row,
    Rows as Page, Store, Table, Transaction,
};
use chervilledge_scheduler::{clock, metrics, settings};
use tokio::time::Instant;

/// Response time of the store.
const ANSWER_TIME: Duration = Duration::from_millis(10);

/// Limits of the platform's store: bytes of a row, and entries and bytes of a call.
const ROW_BYTES_MAX: usize = 65_536;
const CALL_ENTRIES_MAX: usize = 100;
const CALL_BYTES_MAX: usize = 1_000_000;

/// Time beyond a feed's wait after which a client of the store gives up on a response.
const WATCH_MARGIN: Duration = Duration::from_secs(3);

/// Fault of the store. Only the silent and the slow store treat reads differently.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Responds normally.
    None,
    /// Applies this many calls without responding.
    LoseAnswers(u32),
    /// Applies one call without responding, then refuses all calls.
    LoseAnswerThenRefuse,
    /// Refuses all calls.
    Refuse,
    /// Neither applies calls nor responds.
    Silent,
    /// Breaks all connections at once, including those of waiting calls.
    Broken,
    /// Breaks the connections of new calls at once.
    BrokenForNewCalls,
    /// Responds with this additional delay.
    Slow(Duration),
}

#[derive(Debug)]
struct State {
    rows: BTreeMap<(&'static str, Name), (Vec<u8>, u64)>,
    removed: BTreeMap<(&'static str, Name), u64>,
    writes: BTreeMap<(&'static str, Name), u32>,
    revision: u64,
    fault: Fault,
    /// Version of the configuration and the revision at which it was written.
    configuration: Option<(u64, u64)>,
    /// Requests to evacuate domains and their removals, with their revisions.
    evacuations: BTreeMap<Name, (u64, bool)>,
    /// Feeds from an earlier revision have lost their history.
    history_from: u64,
}

/// In-memory store; clones share it.
#[derive(Clone, Debug)]
pub struct MemoryStore {
    state: Arc<Mutex<State>>,
}

impl MemoryStore {
    pub fn with_fault(fault: Fault) -> Self {
        let state = State {
            rows: BTreeMap::new(),
            removed: BTreeMap::new(),
            writes: BTreeMap::new(),
            revision: 0,
            fault,
            configuration: None,
            evacuations: BTreeMap::new(),
            history_from: 0,
        };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    pub fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    pub fn has(&self, table: Table, key: &str) -> bool {
        self.lock().rows.contains_key(&(table.name(), Arc::from(key)))
    }

    pub fn value(&self, table: Table, key: &str) -> Option<Vec<u8>> {
        self.lock().rows.get(&(table.name(), Arc::from(key))).map(|(value, _)| value.clone())
    }

    /// Revision of a row; 0 if it doesn't exist.
    pub fn revision(&self, table: Table, key: &str) -> u64 {
        self.lock().rows.get(&(table.name(), Arc::from(key))).map_or(0, |(_, revision)| *revision)
    }

    pub fn writes(&self, table: Table, key: &str) -> u32 {
        self.lock().writes.get(&(table.name(), Arc::from(key))).copied().unwrap_or(0)
    }

    /// Writes a version of the configuration, as the operator does.
    pub fn configure(&self, version: u64) {
        let mut state = self.lock();
        state.revision += 1;
        state.configuration = Some((version, state.revision));
    }

    /// Requests the evacuation of a domain, or removes the request, as the operator does.
    pub fn evacuate(&self, domain: &str, is_requested: bool) {
        let mut state = self.lock();
        state.revision += 1;
        let standing = (state.revision, is_requested);
        state.evacuations.insert(Arc::from(domain), standing);
    }

    /// Drops the history of changes, as happens when a store is restored.
    pub fn lose_history(&self) {
        let mut state = self.lock();
        state.revision += 1;
        state.history_from = state.revision;
    }

    /// Writes or deletes a row, as another process does.
    pub fn write(&self, table: Table, key: &str, value: Option<Vec<u8>>) {
        let change = Change { table, key: Arc::from(key), value };
        self.lock().commit(&Transaction { conditions: Vec::new(), changes: vec![change] });
    }

    /// Response to a read: sent when `found` has a result or after `wait`. It is never sent if the store becomes silent
    /// before that.
    async fn answer<T>(&self, wait: Duration, found: impl Fn(&State) -> Option<T>, nothing: impl Fn(&State) -> T) -> T {
        let due = Instant::now() + wait;
        loop {
            tokio::time::sleep(ANSWER_TIME).await;
            let (fault, answer) = {
                let state = self.lock();
                (state.fault, found(&state).or_else(|| (Instant::now() >= due).then(|| nothing(&state))))
            };
            if fault == Fault::Silent {
                return std::future::pending().await;
            }
            if let Some(answer) = answer {
                if let Fault::Slow(more) = fault {
                    tokio::time::sleep(more).await;
                }
                return answer;
            }
        }
    }

    async fn read(&self, table: Table, partition: Partition, from: Name) -> Page {
        let found = |state: &State| {
            Some(
                state.page(|(name, key)| *name == table.name() && table.partition(key) == partition && *key >= from, 0),
            )
        };
        self.answer(Duration::ZERO, found, |_| Page::default()).await
    }

    async fn watch(&self, table: Table, after: u64, wait: Duration) -> Page {
        let changed = |state: &State| state.page(|(name, _)| *name == table.name(), after);
        self.answer(wait, |state| Some(changed(state)).filter(|page| !page.rows.is_empty()), changed).await
    }

    async fn watch_configuration(&self, after: u64, wait: Duration) -> Result<ConfigurationUpdate, ReadError> {
        let update = |state: &State| {
            let written = state.configuration.filter(|(_, revision)| *revision > after);
            let configuration = written.map(|(version, _)| configuration(version));
            // A read of the whole state doesn't show what was removed.
            let is_included =
                |(revision, is_requested): &(u64, bool)| *revision > after && (after > 0 || *is_requested);
            let changed = state.evacuations.iter().filter(|(_, standing)| is_included(standing));
            let domains = changed.map(|(domain, standing)| (Arc::clone(domain), standing.0, standing.1)).collect();
            let evacuations = Evacuations { is_whole: after == 0, domains };
            ConfigurationUpdate { configuration, evacuations, revision: state.revision.max(after).max(1) }
        };
        if after > 0 && after < self.lock().history_from {
            return Err(ReadError::HistoryLost);
        }
        let wait = if after == 0 { Duration::ZERO } else { wait };
        let has_changes =
            |update: &ConfigurationUpdate| update.configuration.is_some() || !update.evacuations.domains.is_empty();
        Ok(self.answer(wait, |state| Some(update(state)).filter(has_changes), update).await)
    }

    /// Returns once the store breaks connections.
    async fn wait_until_broken(&self) {
        while self.lock().fault != Fault::Broken {
            tokio::time::sleep(ANSWER_TIME).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The store as the scheduler uses it.
    pub fn store(&self) -> Handle {
        let (commits, reads, reads_one) = (self.clone(), self.clone(), self.clone());
        let (watches, configuration_watches) = (self.clone(), self.clone());
        Arc::new(Store {
            commit: Box::new(move |transaction| {
                let rows = commits.clone();
                Box::pin(async move {
                    tokio::time::sleep(ANSWER_TIME).await;
                    let answer = rows.lock().apply(&transaction);
                    match answer {
                        Some(outcome) => outcome,
                        None => std::future::pending().await,
                    }
                })
            }),
            read: Box::new(move |(PageRequest { table, partition, from, .. }, _)| {
                let rows = reads.clone();
                Box::pin(in_time(rows.clone(), Duration::ZERO, async move { rows.read(table, partition, from).await }))
            }),
            read_one: Box::new(move |(table, key)| {
                let rows = reads_one.clone();
                Box::pin(in_time(rows.clone(), Duration::ZERO, async move {
                    let page = rows.read(table, table.partition(&key), Arc::clone(&key)).await;
                    page.rows.into_iter().next().filter(|row| row.key == key)
                }))
            }),
            watch: Box::new(move |(table, after, wait, _)| {
                let rows = watches.clone();
                Box::pin(in_time(rows.clone(), wait, async move { rows.watch(table, after, wait).await }))
            }),
            watch_configuration: Box::new(move |(after, wait, _)| {
                let rows = configuration_watches.clone();
                Box::pin(async move {
                    let store = rows.clone();
                    in_time(rows, wait, async move { store.watch_configuration(after, wait).await }).await.flatten()
                })
            }),
        })
    }
}

/// Gives up on a response as a client of the store does.
async fn in_time<T>(rows: MemoryStore, wait: Duration, answer: impl Future<Output = T>) -> Result<T, ReadError> {
    if rows.lock().fault == Fault::BrokenForNewCalls {
        return Err(ReadError::Broken);
    }
    tokio::select! {
        answer = tokio::time::timeout(wait + WATCH_MARGIN, answer) => answer.or(Err(ReadError::Silent)),
        () = rows.wait_until_broken() => Err(ReadError::Broken),
    }
}

impl State {
    /// Rows that changed after a revision.
    fn page(&self, is_wanted: impl Fn(&(&'static str, Name)) -> bool, after: u64) -> Page {
        let row = |key: &Name, value: Option<&Vec<u8>>, revision: u64| Row {
            key: Arc::clone(key),
            value: value.cloned(),
            revision,
        };
        let kept = self.rows.iter().filter(|(id, (_, revision))| is_wanted(id) && *revision > after);
        let mut rows: Vec<Row> = kept.map(|(id, (value, revision))| row(&id.1, Some(value), *revision)).collect();
        if after > 0 {
            let removed = self.removed.iter().filter(|(id, revision)| is_wanted(id) && **revision > after);
            rows.extend(removed.map(|(id, revision)| row(&id.1, None, *revision)));
            rows.sort_by_key(|row| row.revision);
        }
        Page { rows, revision: self.revision, has_more: false }
    }

    /// Response to a transaction; `None` if it is never sent.
    fn apply(&mut self, transaction: &Transaction) -> Option<Outcome> {
        if !is_within_limits(transaction) && matches!(self.fault, Fault::None | Fault::Slow(_)) {
            return Some(Outcome::Refused);
        }
        match self.fault {
            Fault::None | Fault::Slow(_) | Fault::LoseAnswers(0) => Some(self.commit(transaction)),
            Fault::Refuse => Some(Outcome::Refused),
            Fault::Silent => None,
            Fault::Broken | Fault::BrokenForNewCalls => Some(Outcome::Broken),
            Fault::LoseAnswers(left) => {
                self.fault = Fault::LoseAnswers(left - 1);
                self.commit(transaction);
                None
            }
            Fault::LoseAnswerThenRefuse => {
                self.fault = Fault::Refuse;
                self.commit(transaction);
                None
            }
        }
    }

    fn commit(&mut self, transaction: &Transaction) -> Outcome {
        let revision_of = |state: &Self, table: Table, key: &Name| {
            state.rows.get(&(table.name(), Arc::clone(key))).map_or(0, |(_, revision)| *revision)
        };
        let conflicts = transaction
            .conditions
            .iter()
            .any(|condition| revision_of(self, condition.table, &condition.key) != condition.revision);
        if conflicts {
            let row = |condition: &chervilledge_scheduler::store::Condition| {
                let (value, revision) = self.rows.get(&(condition.table.name(), Arc::clone(&condition.key)))?;
                let row = Row { key: Arc::clone(&condition.key), value: Some(value.clone()), revision: *revision };
                Some((Arc::from(condition.table.name()), row))
            };
            return Outcome::Conflict(transaction.conditions.iter().filter_map(row).collect());
        }
        self.revision += 1;
        for change in &transaction.changes {
            let key = (change.table.name(), Arc::clone(&change.key));
            if let Some(value) = &change.value {
                self.removed.remove(&key);
                self.rows.insert(key.clone(), (value.clone(), self.revision));
                *self.writes.entry(key).or_default() += 1;
            } else {
                self.rows.remove(&key);
                self.removed.insert(key, self.revision);
            }
        }
        Outcome::Done(self.revision)
    }
}

/// Whether the platform's store takes a transaction; contents count in Base64.
fn is_within_limits(transaction: &Transaction) -> bool {
    let base64_bytes = |change: &Change| change.value.as_ref().map_or(0, |value| value.len().div_ceil(3) * 4);
    let entries = transaction.conditions.len() + transaction.changes.len();
    let bytes: usize = transaction.changes.iter().map(|change| base64_bytes(change) + change.key.len()).sum();
    let is_row_small = |change: &Change| base64_bytes(change) <= ROW_BYTES_MAX;
    entries <= CALL_ENTRIES_MAX && bytes <= CALL_BYTES_MAX && transaction.changes.iter().all(is_row_small)
}

/// Clock that follows the runtime's clock, which tests may pause.
pub fn tokio_clock() -> Clock {
    thread_local! {
        static ORIGIN: Instant = Instant::now();
    }
    let origin = ORIGIN.with(|origin| *origin);
    Clock::new(move || origin.elapsed())
}

fn configuration(version: u64) -> Configuration {
    let limits = Limits { body_bytes_max: 1 << 18, head_bytes_max: 1 << 14, head_timeout: Duration::from_secs(3) };
    Configuration { version, queues: Vec::new(), services: Map::default(), limits }
}

/// Settings of an entry.
pub fn entry_settings(name: &str, links_address: SocketAddr) -> settings::Entry {
    settings::Entry {
        name: name.into(),
        links_address,
        processor_share: 1.0,
        worker_lease_max: Duration::from_secs(5),
        configuration_apply: Duration::from_secs(2),
        evacuation_apply: None,
        cancellation_apply: Duration::from_secs(3),
        ended_jobs_kept: Duration::from_mins(2),
        stop_timeout: Duration::from_secs(6),
    }
}

/// Starts an entry on a free port.
pub async fn spawn_entry(name: &str, store: Handle) -> Entry {
    let settings = entry_settings(name, ports::free_address());
    entry::spawn(settings, clock::system(), store, metrics::open()).await.expect("an entry")
}

/// Configuration with the queue and service of a job.
pub fn configuration_of(job: &Job) -> Arc<Configuration> {
    let queue = Queue {
        name: Arc::clone(&job.queue),
        host: Arc::from("host"),
        path_prefix: Arc::from("/"),
        terms: job.terms.clone(),
    };
    let mut services = Map::default();
    services.insert(Arc::clone(&job.terms.service), Service::default());
    Arc::new(Configuration { queues: vec![queue], services, ..configuration(1) })
}

pub fn job(id: u64) -> Job {
    Job {
        id: JobId(id),
        queue: Arc::from("quotes"),
        terms: Terms {
            service: Arc::from("portal"),
            priority: 0,
            attempts_max: 3,
            stretch: 1.5,
            latency_objective: Duration::from_millis(250),
        },
        spec: Arc::from("text"),
        steps: vec![Step { count: 1, ..Step::default() }],
        schedule: None,
        accepted_unix_ms: 0,
    }
}
