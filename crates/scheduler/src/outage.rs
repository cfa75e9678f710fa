//! Watches an entry's calls to the store, and probes a store that breaks connections.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chervilledge_cell::outage::{CallOutcome, Outage, Standing, probe_interval};
use chervilledge_policy::clock::Clock;
use rand::Rng;
use tokio::sync::Notify;

use crate::metrics::Metrics;
use crate::rows::PLACER;
use crate::store::{Call, Handle, Outcome, ReadError, Store, Table};

/// Time without an answer after which a probe counts as silent: as long as a transaction takes to be sent once more.
const PROBE_TIMEOUT: Duration = Duration::from_millis(450);

/// Number of entries of the cell, as far as it is known.
pub type Entries = Arc<dyn Fn() -> usize + Send + Sync>;

/// View of the store that the parts of one process share; clones share it.
#[derive(Clone)]
pub struct View {
    outage: Arc<Mutex<Outage>>,
    breaks: Arc<Notify>,
    clock: Clock,
    metrics: Arc<Metrics>,
    entries: Entries,
}

impl std::fmt::Debug for View {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("View").field("standing", &self.standing()).finish_non_exhaustive()
    }
}

/// Opens a view in which the store answers.
#[must_use]
pub fn open(clock: &Clock, metrics: &Arc<Metrics>, entries: Entries) -> View {
    View { outage: Arc::default(), breaks: Arc::default(), clock: clock.clone(), metrics: Arc::clone(metrics), entries }
}

impl View {
    /// What is believed of the store.
    #[must_use]
    pub fn standing(&self) -> Standing {
        self.lock().standing()
    }

    /// Whether the store breaks connections, so that callers are refused.
    #[must_use]
    pub fn is_broken(&self) -> bool {
        self.standing() == Standing::Broken
    }

    /// Whether a caller's request may go to the store now.
    #[must_use]
    pub fn admits(&self) -> bool {
        self.lock().admits(self.clock.now())
    }

    /// Takes note of what became of a caller's request that was sent at `began`.
    pub fn written(&self, outcome: &Outcome, began: Duration) {
        let first = self.first_probe();
        self.change(|outage, now| outage.request_ended(ending(outcome), began, now, first));
    }

    fn read<T>(&self, result: &Result<T, ReadError>, began: Duration) {
        let first = self.first_probe();
        self.change(|outage, now| outage.read_ended(read_ending(result), began, now, first));
    }

    fn first_probe(&self) -> Duration {
        probe_interval((self.entries)()).mul_f64(rand::rng().random())
    }

    fn change(&self, change: impl FnOnce(&mut Outage, Duration)) {
        let now = self.clock.now();
        let (former, present) = {
            let mut outage = self.lock();
            let former = outage.standing();
            change(&mut outage, now);
            (former, outage.standing())
        };
        let (former, present) = (former.as_str(), present.as_str());
        if former == present {
            return;
        }
        self.metrics.store_standing(present);
        if present == Standing::Up.as_str() {
            log::info!(event = "store_regained", by = "submissions", former = former; "");
        } else if former == Standing::Up.as_str() {
            log::warn!(event = "store_lost", by = "submissions", standing = present; "");
        } else {
            log::info!(event = "store_standing", former = former, standing = present; "");
        }
        self.breaks.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, Outage> {
        self.outage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Probes the store while it breaks connections, by a read of a row that concerns no caller; never ends.
    pub async fn probe(&self, store: &Handle) {
        loop {
            let interval = probe_interval((self.entries)());
            let wait = self.lock().until_next_probe(interval, self.clock.now());
            match wait {
                None => self.breaks.notified().await,
                Some(Duration::ZERO) => {
                    let read = (store.read_one)((Table::Cell, Arc::from(PLACER)));
                    let result = tokio::time::timeout(PROBE_TIMEOUT, read).await.unwrap_or(Err(ReadError::Silent));
                    let ending = read_ending(&result);
                    self.metrics.probe(ending_name(ending));
                    self.change(|outage, now| outage.probe_ended(ending, now));
                }
                Some(wait) => drop(tokio::time::timeout(wait, self.breaks.notified()).await),
            }
        }
    }

    /// The same store, whose reads tell the view what became of them.
    #[must_use]
    pub fn watched(&self, store: &Handle) -> Handle {
        let commit = Arc::clone(store);
        Arc::new(Store {
            commit: Box::new(move |transaction| (commit.commit)(transaction)),
            read: self.observed(store, |store| &store.read),
            read_one: self.observed(store, |store| &store.read_one),
            watch: self.observed(store, |store| &store.watch),
            watch_configuration: self.observed(store, |store| &store.watch_configuration),
        })
    }

    fn observed<A: 'static, T: 'static>(
        &self,
        store: &Handle,
        call: fn(&Store) -> &Call<A, Result<T, ReadError>>,
    ) -> Call<A, Result<T, ReadError>> {
        let (view, store) = (self.clone(), Arc::clone(store));
        Box::new(move |arguments| {
            let view = view.clone();
            let (began, answer) = (view.clock.now(), call(&store)(arguments));
            Box::pin(async move {
                let answer = answer.await;
                view.read(&answer, began);
                answer
            })
        })
    }
}

const fn ending(outcome: &Outcome) -> CallOutcome {
    match outcome {
        Outcome::Done(_) | Outcome::Conflict(_) | Outcome::Refused => CallOutcome::Answered,
        Outcome::Unknown => CallOutcome::Silent,
        Outcome::NotThere | Outcome::Broken => CallOutcome::Broke,
    }
}

const fn read_ending<T>(result: &Result<T, ReadError>) -> CallOutcome {
    match result {
        Ok(_) | Err(ReadError::Refused | ReadError::HistoryLost | ReadError::Malformed) => CallOutcome::Answered,
        Err(ReadError::Silent | ReadError::Unreachable) => CallOutcome::Silent,
        Err(ReadError::Broken) => CallOutcome::Broke,
    }
}

const fn ending_name(ending: CallOutcome) -> &'static str {
    match ending {
        CallOutcome::Answered => "answered",
        CallOutcome::Silent => "silent",
        CallOutcome::Broke => "broke",
    }
}
