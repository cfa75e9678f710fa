//! Avoidance of workers whose tasks fail, with a single probe task before full return.

use std::time::Duration;

/// Consecutive failures after which a worker is avoided.
const FAILURES_MAX: u32 = 3;

/// Duration of the first avoidance.
const AVOID_MIN: Duration = Duration::from_secs(30);

/// Maximum duration of an avoidance.
const AVOID_MAX: Duration = Duration::from_mins(30);

/// Health record of one worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    /// Consecutive failures since the last success.
    failures: u32,
    avoided_until: Duration,
    /// A probe task was placed after an avoidance; no other task is placed until it ends.
    probing: bool,
}

impl Health {
    /// Returns whether a task may be placed now.
    #[must_use]
    pub fn is_open(&self, now: Duration) -> bool {
        self.failures < FAILURES_MAX || (!self.probing && now >= self.avoided_until)
    }

    /// Records that a task was placed.
    pub const fn placed(&mut self) {
        if self.failures >= FAILURES_MAX {
            self.probing = true;
        }
    }

    /// Records that a placed task ended in a way that says nothing about the worker's health.
    pub const fn withdrawn(&mut self) {
        self.probing = false;
    }

    /// Returns the record to use when the worker rejoins, with no probe task running.
    #[must_use]
    pub const fn rejoined(self) -> Self {
        Self { probing: false, ..self }
    }

    /// Records that a task succeeded.
    pub const fn succeeded(&mut self) {
        self.failures = 0;
        self.probing = false;
    }

    /// Records that a task failed; the avoidance doubles with each further failure.
    pub fn failed(&mut self, now: Duration) {
        self.failures = self.failures.saturating_add(1);
        self.probing = false;
        if let Some(exponent) = self.failures.checked_sub(FAILURES_MAX) {
            let avoid = AVOID_MIN.saturating_mul(1 << exponent.min(10));
            self.avoided_until = now + avoid.min(AVOID_MAX);
        }
    }

    /// Returns whether the worker has failed too often since its last success.
    #[must_use]
    pub const fn is_suspect(&self) -> bool {
        self.failures >= FAILURES_MAX
    }
}
