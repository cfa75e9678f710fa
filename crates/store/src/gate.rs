//! Circuit breaker for calls to the platform, with gradual recovery after an outage.

use std::time::Duration;

/// Configuration of a [`CircuitBreaker`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Config {
    /// Maximum number of concurrent calls while the platform is available.
    pub(crate) concurrent_calls: u32,
    /// Consecutive failures after which the platform is considered unavailable.
    pub(crate) failures_until_away: u32,
    /// Timeout of a call.
    pub(crate) call_timeout: Duration,
    /// Upper bound of the delay before the first probe; doubles with each probe.
    pub(crate) backoff_first: Duration,
    /// Upper bound of the delay before any probe.
    pub(crate) backoff_limit: Duration,
}

/// Permission to make one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Admission {
    /// Number of concurrency permits that this call takes.
    pub(crate) weight: u32,
    /// Whether the call tests if the platform is available again.
    pub(crate) is_probe: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// Each call takes `weight` permits; 1 in normal operation.
    Up { failures: u32, weight: u32 },
    /// No call is admitted before `probe_at`.
    Away { probe_at: Duration, probes: u32 },
}

/// Rejects calls while the platform is unavailable and raises concurrency step by step when it recovers.
#[derive(Debug)]
pub(crate) struct CircuitBreaker {
    config: Config,
    state: State,
}

impl CircuitBreaker {
    pub(crate) fn new(config: Config) -> Self {
        Self { config, state: State::Up { failures: 0, weight: 1 } }
    }

    /// Admits a call, or returns `None` while calls are rejected.
    pub(crate) fn admit(&mut self, now: Duration) -> Option<Admission> {
        match &mut self.state {
            State::Up { weight, .. } => Some(Admission { weight: *weight, is_probe: false }),
            State::Away { probe_at, .. } if now < *probe_at => None,
            State::Away { probe_at, .. } => {
                // Schedules the next probe, so that a cancelled probe does not reject calls forever.
                *probe_at = now + self.config.call_timeout;
                Some(Admission { weight: self.config.concurrent_calls, is_probe: true })
            }
        }
    }

    /// Records a call that was answered.
    pub(crate) fn record_answer(&mut self) {
        let weight = match self.state {
            State::Up { weight, .. } => (weight / 2).max(1),
            State::Away { .. } => self.config.concurrent_calls,
        };
        self.state = State::Up { failures: 0, weight };
    }

    /// Records a call without an answer; `jitter` is a random number from 0 to 1.
    pub(crate) fn record_failure(&mut self, now: Duration, admission: Admission, jitter: f64) {
        match self.state {
            State::Up { failures, weight } if failures + 1 < self.config.failures_until_away => {
                self.state = State::Up { failures: failures + 1, weight };
            }
            State::Up { .. } => self.schedule_probe(now, 0, jitter),
            State::Away { probes, .. } if admission.is_probe => self.schedule_probe(now, probes + 1, jitter),
            State::Away { .. } => {}
        }
    }

    fn schedule_probe(&mut self, now: Duration, probes: u32, jitter: f64) {
        let bound = self.config.backoff_first.saturating_mul(1 << probes.min(16)).min(self.config.backoff_limit);
        // Half fixed, half random: processes that failed together probe at different times, and none immediately.
        let wait = bound / 2 + (bound / 2).mul_f64(jitter);
        self.state = State::Away { probe_at: now + wait, probes };
    }

    /// Returns whether the platform is considered unavailable.
    pub(crate) fn is_away(&self) -> bool {
        matches!(self.state, State::Away { .. })
    }
}

#[cfg(test)]
#[path = "../tests/unit/gate.rs"]
mod tests;
