//! Computation of an agent's lease on its worker.

use std::time::Duration;

/// Fraction of a lease that is used on the worker's clock, which may be slow.
const CLOCK_MARGIN: f64 = 0.98;

/// Lease granted by a placer, on the agent's own clock.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Grant {
    /// Latest time at which the worker's lease may end; zero before the first grant.
    pub until: Duration,
}

impl Grant {
    /// Extends the grant by a `lease` that was requested at `asked`; an older grant never shortens it.
    ///
    /// A placer that doesn't know the runs on the worker grants a lease of no length. That ends none, and isn't a grant.
    pub fn extend(&mut self, asked: Duration, lease: Duration) {
        if !lease.is_zero() {
            self.until = self.until.max(asked + lease);
        }
    }

    /// Whether the grant covers `now`.
    #[must_use]
    pub fn holds(&self, now: Duration) -> bool {
        now < self.until
    }
}

/// A reading of the worker's clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClockReading {
    /// What the worker's clock showed, in milliseconds.
    pub worker_ms: u64,
    /// When the answer with the reading arrived; the clock showed it no later than that.
    pub received: Duration,
}

/// End of the worker's lease on the worker's clock, such that it has certainly ended at `until`.
///
/// `None` if that is past or can't be represented: a lease on a clock that must be wrong might never end.
#[must_use]
pub fn lease_end_ms(reading: ClockReading, until: Duration) -> Option<u64> {
    let left = until.checked_sub(reading.received)?.mul_f64(CLOCK_MARGIN);
    reading.worker_ms.checked_add(u64::try_from(left.as_millis()).ok()?)
}

/// Whether a reading of `worker_ms`, in answer to a call sent at `sent`, is possible after an earlier reading of the
/// same clock.
///
/// The clock starts again in the worker's next life. The call may have been answered before the reading was taken.
#[must_use]
pub fn is_clock_continued(reading: ClockReading, worker_ms: u64, sent: Duration) -> bool {
    let passed = sent.saturating_sub(reading.received).mul_f64(CLOCK_MARGIN);
    let overtaken = reading.received.saturating_sub(sent).div_f64(CLOCK_MARGIN);
    let least = (Duration::from_millis(reading.worker_ms) + passed).saturating_sub(overtaken);
    Duration::from_millis(worker_ms.saturating_add(1)) >= least
}
