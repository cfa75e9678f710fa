//! Monitors an entry's calls to the store, and probes a store that breaks connections.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chervilledge_cell::outage::{CallOutcome, Outage, Standing, probe_interval};
use chervilledge_policy::clock::Clock;
use rand::Rng;
use tokio::sync::Notify;

use crate::metrics::Metrics;
use crate::rows::PLACER_KEY;
use crate::store::{Call, Handle, Outcome, ReadError, Store, Table};

/// Timeout after which a probe counts as silent; equals the time after which a transaction is sent once more.
const PROBE_TIMEOUT: Duration = Duration::from_millis(450);

/// Returns the known number of entries in the cell.
pub type EntryCount = Arc<dyn Fn() -> usize + Send + Sync>;

/// Health of the store as seen by one process; clones share it.
#[derive(Clone)]
pub struct StoreHealth {
    outage: Arc<Mutex<Outage>>,
    standing_changed: Arc<Notify>,
    clock: Clock,
    metrics: Arc<Metrics>,
    entries: EntryCount,
}

impl std::fmt::Debug for StoreHealth {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("View").field("standing", &self.standing()).finish_non_exhaustive()
    }
}

/// Creates the health of a store that responds.
#[must_use]
pub fn open(clock: &Clock, metrics: &Arc<Metrics>, entries: EntryCount) -> StoreHealth {
    StoreHealth {
        outage: Arc::default(),
        standing_changed: Arc::default(),
        clock: clock.clone(),
        metrics: Arc::clone(metrics),
        entries,
    }
}

impl StoreHealth {
    /// Current assessment of the store.
    #[must_use]
    pub fn standing(&self) -> Standing {
        self.lock().standing()
    }

    /// Whether the store breaks connections, so that callers are refused.
    #[must_use]
    pub fn is_broken(&self) -> bool {
        self.standing() == Standing::Broken
    }

    /// Whether a caller's request may be sent to the store now.
    #[must_use]
    pub fn admits(&self) -> bool {
        self.lock().admits(self.clock.now())
    }

    /// Records the outcome of a caller's request that was sent at `began`.
    pub fn record_write(&self, outcome: &Outcome, began: Duration) {
        let probe_delay = self.first_probe();
        self.update(|outage, now| outage.request_ended(call_outcome(outcome), began, now, probe_delay));
    }

    fn record_read<T>(&self, result: &Result<T, ReadError>, began: Duration) {
        let probe_delay = self.first_probe();
        self.update(|outage, now| outage.read_ended(read_outcome(result), began, now, probe_delay));
    }

    fn first_probe(&self) -> Duration {
        probe_interval((self.entries)()).mul_f64(rand::rng().random())
    }

    fn update(&self, change: impl FnOnce(&mut Outage, Duration)) {
        let now = self.clock.now();
        let (previous, current) = {
            let mut outage = self.lock();
            let previous = outage.standing();
            change(&mut outage, now);
            (previous, outage.standing())
        };
        let (previous, current) = (previous.as_str(), current.as_str());
        if previous == current {
            return;
        }
        self.metrics.store_standing(current);
        if current == Standing::Up.as_str() {
            log::info!(event = "store_regained", by = "submissions", former = previous; "");
        } else if previous == Standing::Up.as_str() {
            log::warn!(event = "store_lost", by = "submissions", standing = current; "");
        } else {
            log::info!(event = "store_standing", former = previous, standing = current; "");
        }
        self.standing_changed.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, Outage> {
        self.outage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Probes the store while it breaks connections, by reading a row that belongs to no caller; never returns.
    pub async fn run_probes(&self, store: &Handle) {
        loop {
            let interval = probe_interval((self.entries)());
            let wait = self.lock().until_next_probe(interval, self.clock.now());
            match wait {
                None => self.standing_changed.notified().await,
                Some(Duration::ZERO) => {
                    let read = (store.read_one)((Table::Cell, Arc::from(PLACER_KEY)));
                    let result = tokio::time::timeout(PROBE_TIMEOUT, read).await.unwrap_or(Err(ReadError::Silent));
                    let probe_outcome = read_outcome(&result);
                    self.metrics.probe(outcome_name(probe_outcome));
                    self.update(|outage, now| outage.probe_ended(probe_outcome, now));
                }
                Some(wait) => drop(tokio::time::timeout(wait, self.standing_changed.notified()).await),
            }
        }
    }

    /// Wraps a store so that the outcomes of its reads are recorded here.
    #[must_use]
    pub fn observe(&self, store: &Handle) -> Handle {
        let commit = Arc::clone(store);
        Arc::new(Store {
            commit: Box::new(move |transaction| (commit.commit)(transaction)),
            read: self.observe_call(store, |store| &store.read),
            read_one: self.observe_call(store, |store| &store.read_one),
            watch: self.observe_call(store, |store| &store.watch),
            watch_configuration: self.observe_call(store, |store| &store.watch_configuration),
        })
    }

    fn observe_call<A: 'static, T: 'static>(
        &self,
        store: &Handle,
        call: fn(&Store) -> &Call<A, Result<T, ReadError>>,
    ) -> Call<A, Result<T, ReadError>> {
        let (health, store) = (self.clone(), Arc::clone(store));
        Box::new(move |arguments| {
            let health = health.clone();
            let (began, answer) = (health.clock.now(), call(&store)(arguments));
            Box::pin(async move {
                let answer = answer.await;
                health.record_read(&answer, began);
                answer
            })
        })
    }
}

const fn call_outcome(outcome: &Outcome) -> CallOutcome {
    match outcome {
        Outcome::Done(_) | Outcome::Conflict(_) | Outcome::Refused => CallOutcome::Answered,
        Outcome::Unknown => CallOutcome::Silent,
        Outcome::NotThere | Outcome::Broken => CallOutcome::Broke,
    }
}

const fn read_outcome<T>(result: &Result<T, ReadError>) -> CallOutcome {
    match result {
        Ok(_) | Err(ReadError::Refused | ReadError::HistoryLost | ReadError::Malformed) => CallOutcome::Answered,
        Err(ReadError::Silent | ReadError::Unreachable) => CallOutcome::Silent,
        Err(ReadError::Broken) => CallOutcome::Broke,
    }
}

const fn outcome_name(probe_outcome: CallOutcome) -> &'static str {
    match probe_outcome {
        CallOutcome::Answered => "answered",
        CallOutcome::Silent => "silent",
        CallOutcome::Broke => "broke",
    }
}
