//! Order of tasks that wait for room.
//!
//! Answers a load that exceeds the room for a while: work that can still meet its objective goes first, by the time that
//! is left to start it, so that a burst of large jobs doesn't make everything late by the same amount.

use std::time::Duration;

use crate::job::Terms;

/// Times the objective after which a result is worth no more than at any later time.
const LATE_FACTOR: u32 = 3;

/// Rank of a waiting task; the smallest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    class: Class,
    /// Milliseconds that are left, or that the job waits for less than others.
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

/// Time that a job should take, for its longest chain of work.
#[must_use]
pub fn objective(terms: &Terms, chain: Duration) -> Duration {
    chain.mul_f64(terms.stretch.max(1.0)) + terms.latency_objective
}

/// Ranks a task of a job.
///
/// `age` is the job's, `chain` its longest chain of work, `left` what is left of the chain from the task on.
#[must_use]
pub fn rank(terms: &Terms, is_lasting: bool, age: Duration, chain: Duration, left: Duration) -> Rank {
    if is_lasting {
        return Rank { class: Class::Lasting, key_ms: -milliseconds(age) };
    }
    let objective = objective(terms, chain);
    let spent = milliseconds(age) + milliseconds(left);
    let slack_ms = milliseconds(objective) - spent;
    if slack_ms >= 0 {
        return Rank { class: Class::InTime, key_ms: slack_ms };
    }
    let late_ms = milliseconds(objective * LATE_FACTOR) - spent;
    if late_ms >= 0 {
        return Rank { class: Class::Late, key_ms: late_ms };
    }
    Rank { class: Class::Overdue, key_ms: -milliseconds(age) }
}

fn milliseconds(duration: Duration) -> i64 {
    i64::try_from(duration.as_millis()).unwrap_or(i64::MAX / 8)
}
