//! Order of tasks that wait for capacity, and of filling runs that share the latency headroom of a worker.
//!
//! Handles a load that temporarily exceeds the capacity: jobs that can still meet their objective go first, and among
//! them the one with the least remaining work, so that a burst of large jobs doesn't make everything late by the same
//! amount.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::job::Terms;

/// Multiple of the objective after which a later result loses no further value.
pub const LATE_FACTOR: u32 = 3;

/// Rank of a waiting task; the smallest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    class: Class,
    /// Remaining work in milliseconds, or the negated age of the job.
    key_ms: i64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Class {
    /// Serves its own users until it is cancelled.
    Lasting,
    /// Can still meet its objective.
    InTime,
    /// Can still end before it is entirely late.
    Late,
    /// Is entirely late.
    Overdue,
}

/// Ratio of the remaining work of two jobs from which a run of the larger one is stopped for the smaller one: a stop
/// and a restore cost 1.5 s, which a smaller difference doesn't regain.
const WELL_BEFORE_FACTOR: f64 = 1.25;

impl Rank {
    /// Whether this rank is so much more urgent than `other` that it justifies a stop.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "work is far below 2^53 ms")]
    pub fn is_well_before(&self, other: &Self) -> bool {
        let is_less_work = self.key_ms as f64 * WELL_BEFORE_FACTOR < other.key_ms as f64;
        self.class < other.class
            || (self.class == other.class && matches!(self.class, Class::InTime | Class::Late) && is_less_work)
    }

    /// Whether the job can still meet its objective, or has none.
    #[must_use]
    pub const fn is_in_time(&self) -> bool {
        matches!(self.class, Class::Lasting | Class::InTime)
    }

    /// Whether the job can no longer end before it is entirely late.
    #[must_use]
    pub fn is_overdue(&self) -> bool {
        self.class == Class::Overdue
    }
}

/// Time that a job should take, given its longest chain of work.
#[must_use]
pub fn objective(terms: &Terms, chain: Duration) -> Duration {
    chain.mul_f64(terms.stretch.max(1.0)) + terms.latency_objective
}

/// Remaining work of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Remaining {
    /// Longest chain of the whole job, including the part that is done.
    pub chain: Duration,
    /// Remaining part of the chain, from the task on.
    pub left: Duration,
    /// Core time of the tasks that aren't done.
    pub work: Duration,
}

/// Ranks a task of a job of the given age.
#[must_use]
pub fn rank(terms: &Terms, is_lasting: bool, age: Duration, remaining: &Remaining) -> Rank {
    if is_lasting {
        return Rank { class: Class::Lasting, key_ms: -milliseconds(age) };
    }
    let objective = objective(terms, remaining.chain);
    let end = age + remaining.left;
    if end <= objective {
        Rank { class: Class::InTime, key_ms: milliseconds(remaining.work) }
    } else if end <= objective * LATE_FACTOR {
        Rank { class: Class::Late, key_ms: milliseconds(remaining.work) }
    } else {
        Rank { class: Class::Overdue, key_ms: -milliseconds(age) }
    }
}

fn milliseconds(duration: Duration) -> i64 {
    i64::try_from(duration.as_millis()).unwrap_or(i64::MAX / 8)
}

/// Work of a job above which urgencies don't differ, in core-milliseconds: twelve days.
const WORK_MAX_MS: u64 = 1 << 30;
/// Factor between the urgencies of late jobs and of jobs that can meet their objective: larger than between any two
/// of either.
const LATE_URGENCY_FACTOR: u64 = 1 << 31;
/// Urgency of every entirely late job; none of them gains by going before another.
const OVERDUE_URGENCY: u64 = 1 << 62;
/// Fraction of the objective within which a late job has to end to count as in time again. Progress is reported in
/// steps, so jobs at the limit would otherwise change their place with every report.
const IN_TIME_AGAIN_FRACTION: f64 = 0.9;

/// Urgency of a filling run in sharing the headroom of a worker; the smallest goes first.
///
/// It is proportional to the remaining work of the job, so that a ratio of two urgencies is one of work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Urgency(pub u64);

impl Urgency {
    /// Urgency of a run whose job has no objective, or of which nothing is known.
    pub const UNKNOWN: Self = Self(u64::MAX);

    /// Whether it is smaller by a factor of at least 1.25. Smaller differences don't change the order, so that runs
    /// don't alternate.
    #[must_use]
    pub const fn is_clearly_before(self, other: Self) -> bool {
        self.0 < other.0 && self.0.saturating_add(self.0 / 4) <= other.0
    }

    const fn is_late(self) -> bool {
        self.0 >= LATE_URGENCY_FACTOR
    }
}

impl Default for Urgency {
    fn default() -> Self {
        Self::UNKNOWN
    }
}

/// Urgency of a run of a job of the given age; `previous` is its last one.
#[must_use]
pub fn urgency(terms: &Terms, age: Duration, remaining: &Remaining, previous: Urgency) -> Urgency {
    if terms.stretch <= 0.0 && terms.latency_objective.is_zero() {
        return Urgency::UNKNOWN;
    }
    let work_ms = u64::try_from(remaining.work.as_millis()).unwrap_or(WORK_MAX_MS).clamp(1, WORK_MAX_MS);
    let late = Urgency(work_ms * LATE_URGENCY_FACTOR);
    match rank(terms, false, age, remaining).class {
        Class::Lasting | Class::InTime => {
            let has_been_late = previous != Urgency::UNKNOWN && previous.is_late();
            let regained = objective(terms, remaining.chain).mul_f64(IN_TIME_AGAIN_FRACTION);
            if has_been_late && age + remaining.left > regained { late } else { Urgency(work_ms) }
        }
        Class::Late => late,
        Class::Overdue => Urgency(OVERDUE_URGENCY),
    }
}
