//! Arithmetic of an agent's lease on its worker.

use std::time::Duration;

/// Part of a lease that is used on the worker's clock, which may be slow.
const CLOCK_MARGIN: f64 = 0.98;

/// Grant of a placer, by the agent's own clock.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Grant {
    /// Until when the worker's lease may last.
    pub until: Duration,
}

impl Grant {
    /// Takes a grant of `lease` that was asked for at `asked`; an older one never shortens it.
    pub fn extend(&mut self, asked: Duration, lease: Duration) {
        self.until = self.until.max(asked + lease);
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
    /// When the answer with the reading came; the clock showed it no later than that.
    pub received: Duration,
}

/// End of the worker's lease on the worker's clock, so that it has ended at `until` for certain.
///
/// `None` when that is past, or has no reading: a lease by a clock that can't be right might never end.
#[must_use]
pub fn lease_end_ms(reading: ClockReading, until: Duration) -> Option<u64> {
    let left = until.checked_sub(reading.received)?.mul_f64(CLOCK_MARGIN);
    reading.worker_ms.checked_add(u64::try_from(left.as_millis()).ok()?)
}

/// Whether the worker's clock may show `worker_ms` in answer to a call that was sent at `sent`, after a reading.
///
/// The clock of a worker's next life begins anew.
#[must_use]
pub fn is_clock_continued(reading: ClockReading, worker_ms: u64, sent: Duration) -> bool {
    let passed = sent.saturating_sub(reading.received).mul_f64(CLOCK_MARGIN);
    let least = Duration::from_millis(reading.worker_ms) + passed;
    Duration::from_millis(worker_ms.saturating_add(1)) >= least
}
