//! Order of tasks that wait for room.
//!
//! Answers a load that exceeds the room for a while: jobs that can still meet their objective go first, and among them
//! the one with the least work left, so that a burst of large jobs doesn't make everything late by the same amount.

use std::time::Duration;

use crate::job::Terms;

/// Times the objective after which a result is worth no more than at any later time.
pub const LATE_FACTOR: u32 = 3;

/// Rank of a waiting task; the smallest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    class: Class,
    /// Milliseconds of work that is left, or, negative, that the job has waited.
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

impl Rank {
    /// Whether the job can still meet its objective.
    #[must_use]
    pub fn is_in_time(&self) -> bool {
        self.class <= Class::InTime
    }

    /// Whether the job can no longer end before it is entirely late.
    #[must_use]
    pub fn is_overdue(&self) -> bool {
        self.class == Class::Overdue
    }
}

/// Time that a job should take, for its longest chain of work.
#[must_use]
pub fn objective(terms: &Terms, chain: Duration) -> Duration {
    chain.mul_f64(terms.stretch.max(1.0)) + terms.latency_objective
}

/// What is left of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Remaining {
    /// Longest chain of the whole job, done or not.
    pub chain: Duration,
    /// What is left of the chain from the task on.
    pub left: Duration,
    /// Processor time of one core that all tasks take that aren't done.
    pub work: Duration,
}

/// Ranks a task of a job of some age.
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
