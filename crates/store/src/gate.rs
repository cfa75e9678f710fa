//! Decides which calls may be made while the platform is away and just after it returned.

use std::time::Duration;

/// Bounds of a [`Gate`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Bounds {
    /// Calls in progress at the same time when the platform is well.
    pub(crate) concurrent_calls: u32,
    /// Failures in a row after which the platform counts as away.
    pub(crate) failures_until_away: u32,
    /// Time that a call may take.
    pub(crate) call_timeout: Duration,
    /// Bound of the wait before the first probe; doubles with each probe.
    pub(crate) backoff_first: Duration,
    /// Bound of the wait before any probe.
    pub(crate) backoff_limit: Duration,
}

/// Permission to make one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Admission {
    /// Share of the concurrent calls that this call takes up.
    pub(crate) weight: u32,
    /// The call finds out whether the platform has returned.
    pub(crate) probe: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// Calls take up `weight` of the concurrent calls; 1 when the platform is well.
    Up { failures: u32, weight: u32 },
    /// Nothing is called before `probe_at`.
    Away { probe_at: Duration, probes: u32 },
}

/// Stops calls to a platform that is away and widens them step by step when it returns.
#[derive(Debug)]
pub(crate) struct Gate {
    bounds: Bounds,
    state: State,
}

impl Gate {
    pub(crate) fn new(bounds: Bounds) -> Self {
        Self { bounds, state: State::Up { failures: 0, weight: 1 } }
    }

    /// Tells whether a call may be made now.
    pub(crate) fn admit(&mut self, now: Duration) -> Option<Admission> {
        match &mut self.state {
            State::Up { weight, .. } => Some(Admission { weight: *weight, probe: false }),
            State::Away { probe_at, .. } if now < *probe_at => None,
            State::Away { probe_at, .. } => {
                // A probe that is dropped half-way must not close the gate for good.
                *probe_at = now + self.bounds.call_timeout;
                Some(Admission { weight: self.bounds.concurrent_calls, probe: true })
            }
        }
    }

    /// Takes note of an answer.
    pub(crate) fn answered(&mut self) {
        let weight = match self.state {
            State::Up { weight, .. } => (weight / 2).max(1),
            State::Away { .. } => self.bounds.concurrent_calls,
        };
        self.state = State::Up { failures: 0, weight };
    }

    /// Takes note of a call without an answer; `jitter` is drawn from 0 to 1.
    pub(crate) fn failed(&mut self, now: Duration, admission: Admission, jitter: f64) {
        match self.state {
            State::Up { failures, weight } if failures + 1 < self.bounds.failures_until_away => {
                self.state = State::Up { failures: failures + 1, weight };
            }
            State::Up { .. } => self.wait(now, 0, jitter),
            State::Away { probes, .. } if admission.probe => self.wait(now, probes + 1, jitter),
            State::Away { .. } => {}
        }
    }

    fn wait(&mut self, now: Duration, probes: u32, jitter: f64) {
        let bound = self.bounds.backoff_first.saturating_mul(1 << probes.min(16)).min(self.bounds.backoff_limit);
        // Half fixed and half drawn: processes that failed together don't probe together, and none probes at once.
        let wait = bound / 2 + (bound / 2).mul_f64(jitter);
        self.state = State::Away { probe_at: now + wait, probes };
    }

    /// Tells whether the platform counts as away.
    pub(crate) fn is_away(&self) -> bool {
        matches!(self.state, State::Away { .. })
    }
}

#[cfg(test)]
#[path = "../tests/unit/gate.rs"]
mod tests;
