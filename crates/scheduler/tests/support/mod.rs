//! A store in memory with faults.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod agent;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chervilledge_cell::configuration::{Configuration, Limits};
use chervilledge_cell::job::{Job, JobId, Step, Terms};
use chervilledge_policy::clock::Clock;
use chervilledge_policy::collections::Map;
use chervilledge_policy::id::Name;
use chervilledge_scheduler::store::{
    Configured, Handle, Outcome, ReadError, Row, Rows as Page, Store, Table, Transaction,
};
use tokio::time::Instant;

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(10);

/// Time beyond the wait of a feed after which a client of the store gives up an answer.
const WATCH_MARGIN: Duration = Duration::from_secs(3);

/// What the store does with transactions; a silent one answers no read of the configuration either.
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
    /// Answers this much later.
    Slow(Duration),
}

#[derive(Debug)]
struct State {
    rows: BTreeMap<(&'static str, Name), (Vec<u8>, u64)>,
    writes: BTreeMap<(&'static str, Name), u32>,
    revision: u64,
    fault: Fault,
    /// Version of the configuration and the revision at which it was written.
    configuration: Option<(u64, u64)>,
}

/// The store; clones share it.
#[derive(Clone, Debug)]
pub struct Rows {
    state: Arc<Mutex<State>>,
}

impl Rows {
    pub fn with(fault: Fault) -> Self {
        let state = State { rows: BTreeMap::new(), writes: BTreeMap::new(), revision: 0, fault, configuration: None };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    pub fn set(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    pub fn has(&self, table: Table, key: &str) -> bool {
        self.lock().rows.contains_key(&(table.name(), Arc::from(key)))
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

    /// Answer to a read of the configuration; none comes when the store is silent while it is held.
    async fn watch_configuration(&self, after: u64, wait: Duration) -> Result<Configured, ReadError> {
        let due = Instant::now() + if after == 0 { Duration::ZERO } else { wait };
        loop {
            tokio::time::sleep(ANSWER_TIME).await;
            let (fault, revision, written) = {
                let state = self.lock();
                (state.fault, state.revision, state.configuration.filter(|(_, revision)| *revision > after))
            };
            if fault == Fault::Silent {
                return std::future::pending().await;
            }
            if written.is_some() || Instant::now() >= due {
                if let Fault::Slow(more) = fault {
                    tokio::time::sleep(more).await;
                }
                let configuration = written.map(|(version, _)| configuration(version));
                return Ok(Configured { configuration, revision: revision.max(after).max(1) });
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The store as the scheduler uses it.
    pub fn store(&self) -> Handle {
        let (commits, follows) = (self.clone(), self.clone());
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
            read: Box::new(|_| Box::pin(async { Ok(Page::default()) })),
            read_one: Box::new(|_| Box::pin(async { Ok(None) })),
            watch: Box::new(|_| Box::pin(async { Err(ReadError::Unreachable) })),
            watch_configuration: Box::new(move |(after, wait)| {
                let rows = follows.clone();
                Box::pin(async move {
                    let answer = rows.watch_configuration(after, wait);
                    tokio::time::timeout(wait + WATCH_MARGIN, answer).await.unwrap_or(Err(ReadError::Silent))
                })
            }),
        })
    }
}

impl State {
    /// Answer to a transaction; `None` when it never comes.
    fn take(&mut self, transaction: &Transaction) -> Option<Outcome> {
        match self.fault {
            Fault::None | Fault::Slow(_) | Fault::LoseAnswers(0) => Some(self.commit(transaction)),
            Fault::Refuse => Some(Outcome::Refused),
            Fault::Silent => None,
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
            match &change.value {
                Some(value) => {
                    self.rows.insert(key.clone(), (value.clone(), self.revision));
                    *self.writes.entry(key).or_default() += 1;
                }
                None => {
                    self.rows.remove(&key);
                }
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
