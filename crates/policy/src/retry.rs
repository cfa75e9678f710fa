//! Retries of requests, and the retry delay reported to callers.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Limits on retries and hedges.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Maximum number of dispatches of one request, including the first and hedges; at least 1.
    pub attempts_max: u32,
    /// Retry tokens earned with each request.
    pub budget_ratio: f64,
    /// Capacity of the budget in retry tokens, and its initial balance.
    pub budget_max: f64,
    /// Mean delay before the first retry.
    #[serde(rename = "backoff_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub backoff: Duration,
    /// Maximum delay before a retry.
    #[serde(rename = "backoff_max_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub backoff_max: Duration,
    /// Delay before an idempotent request is hedged to a second backend server; never if absent.
    #[serde(rename = "hedge_after_ms")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub hedge_after: Option<Duration>,
    /// Minimum retry delay reported to a caller.
    #[serde(rename = "retry_after_min_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub retry_after_min: Duration,
    /// Maximum retry delay reported to a caller.
    #[serde(rename = "retry_after_max_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub retry_after_max: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            attempts_max: 3,
            budget_ratio: 0.1,
            budget_max: 20.0,
            backoff: Duration::from_millis(2),
            backoff_max: Duration::from_millis(100),
            hedge_after: None,
            retry_after_min: Duration::from_secs(1),
            retry_after_max: Duration::from_secs(30),
        }
    }
}

/// Retry budget and jitter of one service in one entry.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    rng: StdRng,
    settings: Settings,
    /// Available retry tokens, from 0 to `budget_max`.
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self { rng: StdRng::seed_from_u64(seed), settings, tokens: settings.budget_max }
    }

    /// Replaces the limits.
    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
        self.tokens = self.tokens.min(settings.budget_max);
    }

    /// Returns the current limits.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the available retry tokens.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Adds the tokens earned by a new request.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.settings.budget_ratio).min(self.settings.budget_max);
    }

    /// Spends one token; returns `false` if none is left.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the delay before dispatch number `attempt`, counted from 1; zero for the first.
    pub fn backoff(&mut self, attempt: u32) -> Duration {
        const DOUBLINGS_MAX: u32 = 16;
        if attempt <= 1 {
            return Duration::ZERO;
        }
        let factor = 1 << (attempt - 2).min(DOUBLINGS_MAX);
        let mean = self.settings.backoff.saturating_mul(factor).min(self.settings.backoff_max);
        jitter(mean, &mut self.rng).min(self.settings.backoff_max)
    }

    /// Returns the retry delay to report to a caller whose expected wait is `hint`.
    pub fn retry_after(&mut self, hint: Duration) -> Duration {
        retry_after(&self.settings, hint, &mut self.rng)
    }
}

/// Returns the time to serve `waiting` requests over `slots`, each taking `mean_service_time`.
#[must_use]
pub fn expected_wait(waiting: u32, slots: u32, mean_service_time: Duration) -> Duration {
    mean_service_time.saturating_mul(waiting) / slots.max(1)
}

/// Returns the retry delay to report to a caller: the expected wait with jitter, within the bounds.
pub fn retry_after(settings: &Settings, expected: Duration, rng: &mut impl Rng) -> Duration {
    let delay_min = settings.retry_after_min.max(expected);
    // Jitter is only added, so that callers refused together don't retry together, nor before the wait ends.
    (delay_min + jitter(delay_min, rng) / 2).clamp(settings.retry_after_min, settings.retry_after_max)
}

/// Returns a uniformly distributed delay between half and one and a half times `mean`.
fn jitter(mean: Duration, rng: &mut impl Rng) -> Duration {
    mean.mul_f64(rng.random_range(0.5..1.5))
}
