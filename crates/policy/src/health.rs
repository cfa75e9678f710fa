//! Avoidance of workers that fail what they start, with a slow return.

use std::time::Duration;

/// Failures in a row after which a worker is avoided.
const FAILURES_MAX: u32 = 3;

/// First time for which a worker is avoided.
const AVOID_FIRST: Duration = Duration::from_secs(30);

/// Longest time for which a worker is avoided.
const AVOID_MAX: Duration = Duration::from_mins(30);

/// Record of one worker's task starts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    /// Failures since the last success.
    failures: u32,
    avoided_until: Duration,
    /// One task is on trial after a time of avoidance; no other is placed until it has ended.
    on_trial: bool,
}

impl Health {
    /// Tells whether a task may be placed now.
    #[must_use]
    pub fn is_open(&self, now: Duration) -> bool {
        self.failures < FAILURES_MAX || (!self.on_trial && now >= self.avoided_until)
    }

    /// Notes that a task was placed.
    pub const fn placed(&mut self) {
        if self.failures >= FAILURES_MAX {
            self.on_trial = true;
        }
    }

    /// Notes that a placed task ended without telling anything about the worker.
    pub const fn withdrawn(&mut self) {
        self.on_trial = false;
    }

    /// Record of the worker after it has left and come back, with nothing on trial.
    #[must_use]
    pub const fn returned(self) -> Self {
        Self { on_trial: false, ..self }
    }

    /// Notes that a task ended well.
    pub const fn succeeded(&mut self) {
        self.failures = 0;
        self.on_trial = false;
    }

    /// Notes that a task failed; the time of avoidance doubles with each further failure.
    pub fn failed(&mut self, now: Duration) {
        self.failures = self.failures.saturating_add(1);
        self.on_trial = false;
        if let Some(exponent) = self.failures.checked_sub(FAILURES_MAX) {
            let avoid = AVOID_FIRST.saturating_mul(1 << exponent.min(10));
            self.avoided_until = now + avoid.min(AVOID_MAX);
        }
    }

    /// Tells whether the worker has failed too often since its last success.
    #[must_use]
    pub const fn is_suspect(&self) -> bool {
        self.failures >= FAILURES_MAX
    }
}
