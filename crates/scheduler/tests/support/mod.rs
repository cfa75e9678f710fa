//! A store in memory with faults.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod agent;
pub mod narrow;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chervilledge_cell::configuration::{Configuration, Limits, Queue, Service};
use chervilledge_cell::job::{Job, JobId, Step, Terms};
use chervilledge_policy::clock::Clock;
use chervilledge_policy::collections::Map;
use chervilledge_policy::id::Name;
use chervilledge_scheduler::store::{
    Change, ConfigurationUpdate, Evacuations, Handle, Outcome, Page as Asked, Partition, ReadError, Row, Rows as Page,
    Store, Table, Transaction,
};
use tokio::time::Instant;

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(10);

/// Time beyond the wait of a feed after which a client of the store gives up an answer.
const WATCH_MARGIN: Duration = Duration::from_secs(3);

/// What the store does with calls; only the silent and the slow one treat reads differently.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Answers.
    None,
    /// Takes effect without an answer, for so many calls.
    LoseAnswers(u32),
    /// Takes effect without an answer once, and refuses from then on.
    LoseAnswerThenRefuse,
    /// Refuses.
    Refuse,
    /// Neither takes effect nor answers.
    Silent,
    /// Breaks every connection at once, also those of calls that wait.
    Broken,
    /// Breaks the connections of new calls at once.
    BrokenAnew,
    /// Answers this much later.
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
    /// Requests to evacuate domains and their removals, with the revision of each.
    evacuations: BTreeMap<Name, (u64, bool)>,
    /// Feeds from a revision below this one have lost their history.
    history_from: u64,
}

/// The store; clones share it.
#[derive(Clone, Debug)]
pub struct Rows {
    state: Arc<Mutex<State>>,
}

impl Rows {
    pub fn with(fault: Fault) -> Self {
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

    pub fn set(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    pub fn has(&self, table: Table, key: &str) -> bool {
        self.lock().rows.contains_key(&(table.name(), Arc::from(key)))
    }

    pub fn value(&self, table: Table, key: &str) -> Option<Vec<u8>> {
        self.lock().rows.get(&(table.name(), Arc::from(key))).map(|(value, _)| value.clone())
    }

    /// Revision of a row; 0 without it.
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

    /// Requests the evacuation of a domain or removes the request, as the operator does.
    pub fn evacuate(&self, domain: &str, is_requested: bool) {
        let mut state = self.lock();
        state.revision += 1;
        let standing = (state.revision, is_requested);
        state.evacuations.insert(Arc::from(domain), standing);
    }

    /// Forgets what changed up to now, as a store that was restored does.
    pub fn lose_history(&self) {
        let mut state = self.lock();
        state.revision += 1;
        state.history_from = state.revision;
    }

    /// Writes or removes a row, as another process does.
    pub fn write(&self, table: Table, key: &str, value: Option<Vec<u8>>) {
        let change = Change { table, key: Arc::from(key), value };
        self.lock().commit(&Transaction { conditions: Vec::new(), changes: vec![change] });
    }

    /// Answer to a read, as soon as there is one or after `wait`; none comes when the store is silent meanwhile.
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
        let told = |state: &State| {
            let written = state.configuration.filter(|(_, revision)| *revision > after);
            let configuration = written.map(|(version, _)| configuration(version));
            // A whole read doesn't know what was removed.
            let is_told = |(revision, is_requested): &(u64, bool)| *revision > after && (after > 0 || *is_requested);
            let told = state.evacuations.iter().filter(|(_, standing)| is_told(standing));
            let domains = told.map(|(domain, standing)| (Arc::clone(domain), standing.0, standing.1)).collect();
            let evacuations = Evacuations { is_whole: after == 0, domains };
            ConfigurationUpdate { configuration, evacuations, revision: state.revision.max(after).max(1) }
        };
        if after > 0 && after < self.lock().history_from {
            return Err(ReadError::HistoryLost);
        }
        let wait = if after == 0 { Duration::ZERO } else { wait };
        let is_news = |told: &ConfigurationUpdate| told.configuration.is_some() || !told.evacuations.domains.is_empty();
        Ok(self.answer(wait, |state| Some(told(state)).filter(is_news), told).await)
    }

    /// Ends once the store breaks connections.
    async fn breaks(&self) {
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
        let (watches, follows) = (self.clone(), self.clone());
        Arc::new(Store {
            commit: Box::new(move |transaction| {
                let rows = commits.clone();
                Box::pin(async move {
                    tokio::time::sleep(ANSWER_TIME).await;
                    let answer = rows.lock().take(&transaction);
                    match answer {
                        Some(outcome) => outcome,
                        None => std::future::pending().await,
                    }
                })
            }),
            read: Box::new(move |(Asked { table, partition, from, .. }, _)| {
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
                let rows = follows.clone();
                Box::pin(async move {
                    let told = rows.clone();
                    in_time(rows, wait, async move { told.watch_configuration(after, wait).await }).await.flatten()
                })
            }),
        })
    }
}

/// Gives an answer up as a client of the store does.
async fn in_time<T>(rows: Rows, wait: Duration, answer: impl Future<Output = T>) -> Result<T, ReadError> {
    if rows.lock().fault == Fault::BrokenAnew {
        return Err(ReadError::Broken);
    }
    tokio::select! {
        answer = tokio::time::timeout(wait + WATCH_MARGIN, answer) => answer.or(Err(ReadError::Silent)),
        () = rows.breaks() => Err(ReadError::Broken),
    }
}

impl State {
    /// Rows that were changed after a revision.
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

    /// Answer to a transaction; `None` when it never comes.
    fn take(&mut self, transaction: &Transaction) -> Option<Outcome> {
        match self.fault {
            Fault::None | Fault::Slow(_) | Fault::LoseAnswers(0) => Some(self.commit(transaction)),
            Fault::Refuse => Some(Outcome::Refused),
            Fault::Silent => None,
            Fault::Broken | Fault::BrokenAnew => Some(Outcome::Broken),
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

/// Clock that follows the runtime's, which tests may pause.
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

/// Configuration of the queue and service of a job.
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
