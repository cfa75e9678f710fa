//! Judges what must always hold by the ledgers of workers.
//!
//! The events of several workers can be given together, in any order; their times are of one machine's clock.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use chervilledge_policy::id::Name;

use crate::ledger::{Event, What};

/// Something that must never happen, as found in ledgers.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// A worker was given more than it can hold.
    OverCapacity(Event),
    /// A task executed on two workers at once.
    OnTwoWorkers {
        /// Task.
        task: Name,
        /// Worker that executed it already.
        first: Name,
        /// Worker that began to execute it as well.
        second: Name,
        /// When the second began.
        at: Duration,
    },
    /// One epoch of a task was started more than once.
    StartRepeated {
        /// Task.
        task: Name,
        /// Epoch that was started again.
        epoch: u64,
    },
    /// The effect of a task happened more than once.
    EffectRepeated {
        /// Task.
        task: Name,
        /// Epoch of the later effect.
        epoch: u64,
    },
    /// A request was executed more than once.
    RequestRepeated {
        /// Identifier of the request.
        request_id: Name,
    },
    /// Requests with one idempotency key were executed more than once.
    KeyRepeated {
        /// Idempotency key.
        key: Name,
    },
    /// A request was executed although its caller was told that it wasn't run.
    ExecutedButNotRun {
        /// Identifier of the request.
        request_id: Name,
    },
}

/// Finds moments when a worker was given more slots, connections or resources than it has.
#[must_use]
pub fn over_capacity(events: &[Event]) -> Vec<Violation> {
    let is_over = |what: &What| {
        matches!(what, What::OverSlots { .. } | What::OverConnections { .. } | What::OverResources { .. })
    };
    events.iter().filter(|event| is_over(&event.what)).cloned().map(Violation::OverCapacity).collect()
}

/// What a task does on one worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Execution {
    running: bool,
    share_percent: u8,
}

impl Execution {
    fn executes(self) -> bool {
        self.running && self.share_percent > 0
    }
}

/// Finds tasks that executed on two workers at once; a task at share zero doesn't execute.
#[must_use]
pub fn on_two_workers(events: &[Event]) -> Vec<Violation> {
    let mut events: Vec<&Event> = events.iter().collect();
    // A stable sort keeps a worker's own order; at one moment ends come before starts.
    events.sort_by_key(|event| (event.at, begins(&event.what)));
    let mut executions: BTreeMap<&Name, BTreeMap<&Name, Execution>> = BTreeMap::new();
    let mut violations = Vec::new();
    for event in events {
        let Some(task) = task(&event.what) else { continue };
        let workers = executions.entry(task).or_default();
        let before = workers.get(&event.worker).copied().unwrap_or(Execution { running: false, share_percent: 100 });
        let after = step(before, &event.what);
        workers.insert(&event.worker, after);
        if before.executes() || !after.executes() {
            continue;
        }
        let other = workers.iter().find(|(worker, execution)| **worker != &event.worker && execution.executes());
        if let Some((first, _)) = other {
            let (first, second) = (Name::clone(first), Name::clone(&event.worker));
            violations.push(Violation::OnTwoWorkers { task: Name::clone(task), first, second, at: event.at });
        }
    }
    violations
}

fn task(what: &What) -> Option<&Name> {
    match what {
        What::TaskStarted { task, .. }
        | What::TaskResumed { task, .. }
        | What::TaskThrottled { task, .. }
        | What::TaskSuspended { task, .. }
        | What::TaskStopped { task, .. }
        | What::TaskCompleted { task, .. } => Some(task),
        _ => None,
    }
}

fn begins(what: &What) -> bool {
    match what {
        What::TaskStarted { .. } | What::TaskResumed { .. } => true,
        What::TaskThrottled { share_percent, .. } => *share_percent > 0,
        _ => false,
    }
}

fn step(before: Execution, what: &What) -> Execution {
    match what {
        What::TaskStarted { .. } => Execution { running: true, share_percent: 100 },
        What::TaskResumed { .. } => Execution { running: true, ..before },
        What::TaskThrottled { share_percent, .. } => Execution { share_percent: *share_percent, ..before },
        _ => Execution { running: false, ..before },
    }
}

/// Finds epochs of tasks that were started more than once.
#[must_use]
pub fn repeated_starts(events: &[Event]) -> Vec<Violation> {
    let started = events.iter().filter_map(|event| match &event.what {
        What::TaskStarted { task, epoch, .. } => Some((task, *epoch)),
        _ => None,
    });
    let violation = |(task, epoch): (&Name, u64)| Violation::StartRepeated { task: Name::clone(task), epoch };
    repeated(started).map(violation).collect()
}

/// Finds tasks whose effect happened more than once, whatever the epochs.
#[must_use]
pub fn repeated_effects(events: &[Event]) -> Vec<Violation> {
    let mut seen = HashSet::new();
    let mut violations = Vec::new();
    for event in events {
        if let What::TaskEffect { task, epoch } = &event.what
            && !seen.insert(task)
        {
            violations.push(Violation::EffectRepeated { task: Name::clone(task), epoch: *epoch });
        }
    }
    violations
}

/// Finds requests that were executed more than once.
///
/// An idempotent request may be; the caller leaves out the violations of those.
#[must_use]
pub fn repeated_requests(events: &[Event]) -> Vec<Violation> {
    let started = events.iter().filter_map(|event| match &event.what {
        What::RequestStarted { request_id, .. } => Some(request_id),
        _ => None,
    });
    repeated(started).map(|id| Violation::RequestRepeated { request_id: Name::clone(id) }).collect()
}

/// Finds idempotency keys whose requests were executed more than once, whatever the identifiers of the requests.
#[must_use]
pub fn repeated_keys(events: &[Event]) -> Vec<Violation> {
    let started = events.iter().filter_map(|event| match &event.what {
        What::RequestStarted { idempotency_key, .. } => idempotency_key.as_ref(),
        _ => None,
    });
    repeated(started).map(|key| Violation::KeyRepeated { key: Name::clone(key) }).collect()
}

/// Finds requests that were executed although their callers were told that they weren't run.
#[must_use]
pub fn executed_but_not_run<'a>(events: &[Event], not_run: impl IntoIterator<Item = &'a str>) -> Vec<Violation> {
    let not_run: HashSet<&str> = not_run.into_iter().collect();
    let executed = events.iter().filter_map(|event| match &event.what {
        What::RequestStarted { request_id, .. } if not_run.contains(&**request_id) => Some(request_id),
        _ => None,
    });
    executed.map(|id| Violation::ExecutedButNotRun { request_id: Name::clone(id) }).collect()
}

/// Every violation that the ledgers show without knowing what callers were told.
///
/// Repeated requests are left out, since idempotent ones may be repeated.
#[must_use]
pub fn violations(events: &[Event]) -> Vec<Violation> {
    let checks = [over_capacity, on_two_workers, repeated_starts, repeated_effects, repeated_keys];
    checks.iter().flat_map(|check| check(events)).collect()
}

/// Items that were seen before, once for each further time.
fn repeated<T: Copy + Eq + std::hash::Hash>(items: impl Iterator<Item = T>) -> impl Iterator<Item = T> {
    let mut seen = HashSet::new();
    items.filter(move |item| !seen.insert(*item))
}
