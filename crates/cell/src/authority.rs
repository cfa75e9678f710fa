//! Time for which a placer may act, and for which its successor waits.

use std::time::Duration;

/// Time after its last confirmation by the store for which a placer may act.
///
/// Longer than the store's usual outages, during which no successor could act either; only a takeover with a silent
/// agent has to wait for it.
pub const AUTHORITY_PERIOD: Duration = Duration::from_secs(10);

/// Fraction by which a worker's clock may be slow.
const CLOCK_ERROR: f64 = 0.02;

/// Allowance for delays that can't be measured: the latency of a call to the worker and a late timer.
pub const LEASE_SLACK: Duration = Duration::from_millis(400);

/// Time after which a lease of `lease` has certainly ended, counted from the reading that it was granted for.
#[must_use]
pub fn lapse_after(lease: Duration) -> Duration {
    lease.mul_f64(1.0 + CLOCK_ERROR) + LEASE_SLACK
}

/// Time that a new placer waits for an agent that doesn't answer.
#[must_use]
pub fn takeover_wait(lease: Duration) -> Duration {
    AUTHORITY_PERIOD + lapse_after(lease)
}

/// Authority of a placer to act, by its last confirmation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Authority {
    /// When the last confirmation was requested, not when it was answered.
    confirmed: Option<Duration>,
}

impl Authority {
    /// Records that the store confirmed the term, in answer to a call that was sent at `asked`.
    pub fn confirmed(&mut self, asked: Duration) {
        self.confirmed = Some(self.confirmed.map_or(asked, |earlier| earlier.max(asked)));
    }

    /// Ends the authority immediately.
    pub fn revoke(&mut self) {
        self.confirmed = None;
    }

    /// Whether the placer may act now.
    #[must_use]
    pub fn holds(&self, now: Duration) -> bool {
        self.confirmed.is_some_and(|confirmed| now < confirmed + AUTHORITY_PERIOD)
    }

    /// Whether starts may be decided by rows that were last read at `read` and that must be known within `limit`.
    ///
    /// They may while the store is silent: no successor could act either. Once it has confirmed the term again, rows
    /// that were written meanwhile may have been in force for long.
    #[must_use]
    pub fn covers_rows(&self, read: Duration, limit: Duration) -> bool {
        self.confirmed.is_none_or(|confirmed| confirmed <= read.saturating_add(limit))
    }

    /// When the last confirmation was requested.
    #[must_use]
    pub const fn last_confirmed(&self) -> Option<Duration> {
        self.confirmed
    }

    /// Age of the last confirmation.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.saturating_sub(confirmed))
    }
}
