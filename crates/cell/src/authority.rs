//! Time for which a placer may act, and for which its successor waits.
//!
//! A successor can't tell a placer that is lost from one that it can't reach, and neither can it tell so of an agent. So
//! every lease that a placer grants ends within a bound from the last time at which its term was renewed: by a heartbeat
//! in the store, which the successor has seen, or by the witnesses that the store names ([`crate::witness`]), which the
//! successor asks.

use std::time::Duration;

/// Time after its last confirmation by the store for which a placer may act.
///
/// Longer than the store's usual outages, during which no successor could act either; only a takeover with a silent
/// agent has to wait for it.
pub const AUTHORITY_PERIOD: Duration = Duration::from_secs(10);

/// Interval at which a placer renews its term in the store.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

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

/// Time after the renewal of a term within which leases of up to `lease` end that are granted under it.
///
/// The interval between two renewals comes on top, so that a lease has its full length while the store answers.
#[must_use]
pub fn lease_bound(lease: Duration) -> Duration {
    lease + RENEWAL_INTERVAL
}

/// When every lease has certainly ended that was granted under terms that were last renewed at `renewed`.
#[must_use]
pub fn leases_end(renewed: Duration, lease: Duration) -> Duration {
    renewed + lapse_after(lease_bound(lease))
}

/// Authority of a placer to act, by its last confirmation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Authority {
    /// When the last confirmation was requested, not when it was answered.
    confirmed: Option<Duration>,
    /// When the last renewal was requested; a successor knows of each.
    renewed: Option<Duration>,
}

impl Authority {
    /// Records that the store confirmed the term, in answer to a call that was sent at `asked`.
    pub fn confirmed(&mut self, asked: Duration) {
        self.confirmed = self.confirmed.max(Some(asked));
    }

    /// Records that the term was renewed by a heartbeat in the store or by the witnesses, on a request sent at `asked`.
    pub fn renewed(&mut self, asked: Duration) {
        self.renewed = self.renewed.max(Some(asked));
    }

    /// Ends the authority immediately.
    pub fn revoke(&mut self) {
        *self = Self::default();
    }

    /// Time at which every lease of up to `lease` that is granted now has to end.
    #[must_use]
    pub fn leases_until(&self, lease: Duration) -> Option<Duration> {
        self.renewed.map(|renewed| renewed + lease_bound(lease))
    }

    /// Age of the last renewal.
    #[must_use]
    pub fn renewal_age(&self, now: Duration) -> Option<Duration> {
        self.renewed.map(|renewed| now.saturating_sub(renewed))
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
