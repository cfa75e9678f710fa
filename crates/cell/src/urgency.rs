//! Order of tasks that wait for room.
//!
//! Answers a load that exceeds the room for a while: jobs that can still meet their objective go first, and among them
//! the one with the least work left, so that a burst of large jobs doesn't make everything late by the same amount.

use std::time::Duration;

use crate::job::Terms;

/// Times the objective after which a result is worth no more than at any later time.
const LATE_FACTOR: u32 = 3;

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

/// Factor between the work left of two jobs from which a run of the larger one is stopped for the smaller one: a stop and
/// a restore cost 1.5 s, which a smaller difference doesn't win back.
const WELL_BEFORE_FACTOR: f64 = 1.25;

impl Rank {
    /// Whether a task of this rank is so much more urgent than one of `other` that it is worth a stop.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "work is far below 2^53 ms")]
    pub fn is_well_before(&self, other: &Self) -> bool {
        let is_less_work = self.key_ms as f64 * WELL_BEFORE_FACTOR < other.key_ms as f64;
        self.class < other.class
            || (self.class == other.class && matches!(self.class, Class::InTime | Class::Late) && is_less_work)
    }

    /// Whether the job can still meet its objective, or has none to meet.
    #[must_use]
    pub const fn is_in_time(&self) -> bool {
        matches!(self.class, Class::Lasting | Class::InTime)
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
