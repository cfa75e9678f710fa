//! Ejection of backend servers that fail much more often than the others.
//!
//! A backend server that fails fast appears idle and would attract requests. It is ejected based on its success rate,
//! for a duration that grows with each ejection, and returns with a small share of requests that grows over time.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Parameters of the detection.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Maximum share of backend servers that are ejected at the same time, from 0 to 1.
    pub max_ejected_share: f64,
    /// Consecutive failures that eject a backend server regardless of its number of requests.
    pub consecutive_failures: u32,
    /// Decayed number of requests below which the success rate of a backend server isn't evaluated.
    pub min_requests: f64,
    /// Ratio of a backend server's success rate to that of the rest of the service below which it is ejected.
    pub success_ratio: f64,
    /// Half-life of the weight of an observation; positive.
    #[serde(rename = "half_life_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub half_life: Duration,
    /// Duration of the first ejection; doubles with each further one.
    #[serde(rename = "eject_for_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub eject_for: Duration,
    /// Maximum duration of an ejection.
    #[serde(rename = "eject_for_max_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub eject_for_max: Duration,
    /// Time over which a returning backend server regains its full share; positive.
    #[serde(rename = "return_over_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub return_over: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_ejected_share: 0.3,
            consecutive_failures: 5,
            min_requests: 5.0,
            success_ratio: 0.6,
            half_life: Duration::from_secs(5),
            eject_for: Duration::from_secs(5),
            eject_for_max: Duration::from_mins(2),
            return_over: Duration::from_secs(10),
        }
    }
}

/// Success rate with exponential decay.
#[derive(Clone, Copy, Debug)]
struct SuccessRate {
    successes: f64,
    total: f64,
    updated_at: Duration,
}

impl SuccessRate {
    fn new(now: Duration) -> Self {
        Self { successes: 0.0, total: 0.0, updated_at: now }
    }

    fn record_outcome(&mut self, now: Duration, succeeded: bool, half_life: Duration) {
        let decay_factor = (-now.saturating_sub(self.updated_at).as_secs_f64() / half_life.as_secs_f64()).exp2();
        self.updated_at = self.updated_at.max(now);
        self.successes = self.successes * decay_factor + if succeeded { 1.0 } else { 0.0 };
        self.total = self.total * decay_factor + 1.0;
    }

    fn ratio(&self) -> f64 {
        if self.total > 0.0 { self.successes / self.total } else { 1.0 }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Active,
    /// Takes no requests; counts against the maximum share.
    Ejected {
        until: Duration,
    },
    /// Takes a growing share of requests.
    Returning {
        since: Duration,
    },
}

/// Health of one backend server.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    /// Consecutive failures since the latest success.
    failures: u32,
    rate: SuccessRate,
    state: State,
    /// Number of ejections since the last full return.
    ejections: u32,
}

impl Record {
    /// Creates the record of a backend server without observations.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self { failures: 0, rate: SuccessRate::new(now), state: State::Active, ejections: 0 }
    }

    /// Returns whether the backend server is ejected and takes no requests.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        matches!(self.state, State::Ejected { .. })
    }
}

/// Change to log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The backend server is ejected until this time.
    Ejected {
        /// End of the ejection.
        until: Duration,
    },
    /// The backend server would be ejected, but the maximum share is reached.
    Capped,
}

/// Detects outliers among the backend servers of one service.
#[derive(Clone, Debug)]
pub struct Detector {
    /// Number of ejected records; within the maximum share whenever one is added.
    ejected: u32,
    service_rate: SuccessRate,
    settings: Settings,
}

impl Detector {
    /// Creates a detector for one service.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self { ejected: 0, service_rate: SuccessRate::new(Duration::ZERO), settings }
    }

    /// Replaces the parameters; current ejections keep their duration.
    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Records the result of a request on a service of `total` backend servers, and ejects an outlier.
    pub fn observe(&mut self, now: Duration, record: &mut Record, succeeded: bool, total: u32) -> Option<Change> {
        record.failures = if succeeded { 0 } else { record.failures.saturating_add(1) };
        record.rate.record_outcome(now, succeeded, self.settings.half_life);
        self.service_rate.record_outcome(now, succeeded, self.settings.half_life);
        self.finish_return(now, record);
        if succeeded || record.is_ejected() || !self.is_outlier(record) {
            return None;
        }
        if !self.may_eject(total) {
            return Some(Change::Capped);
        }
        Some(self.eject(now, record))
    }

    /// Completes a return that has reached its full share.
    fn finish_return(&self, now: Duration, record: &mut Record) {
        if let State::Returning { since } = record.state
            && now.saturating_sub(since) >= self.settings.return_over
        {
            record.state = State::Active;
            record.ejections = 0;
        }
    }

    /// Returns whether the record is an outlier compared with the rest of the service.
    fn is_outlier(&self, record: &Record) -> bool {
        let rest_total = self.service_rate.total - record.rate.total;
        if rest_total < self.settings.min_requests {
            return false;
        }
        let rest_ratio = (self.service_rate.successes - record.rate.successes) / rest_total;
        let judged = record.rate.total >= self.settings.min_requests;
        let has_low_success_rate = judged && record.rate.ratio() < rest_ratio * self.settings.success_ratio;
        has_low_success_rate || (self.has_failure_streak(record) && rest_ratio >= self.settings.success_ratio)
    }

    /// Returns whether the latest requests all failed; fewer failures suffice while the backend server returns.
    fn has_failure_streak(&self, record: &Record) -> bool {
        const RETURNING_FAILURES_MIN: u32 = 2;
        let streak_min = match record.state {
            State::Returning { .. } => RETURNING_FAILURES_MIN.min(self.settings.consecutive_failures),
            State::Active | State::Ejected { .. } => self.settings.consecutive_failures,
        };
        record.failures >= streak_min
    }

    fn may_eject(&self, total: u32) -> bool {
        // One backend server may always be ejected, unless it is the only one.
        let ejected_max = (f64::from(total) * self.settings.max_ejected_share).max(if total > 1 { 1.0 } else { 0.0 });
        f64::from(self.ejected) + 1.0 <= ejected_max
    }

    fn eject(&mut self, now: Duration, record: &mut Record) -> Change {
        const DOUBLINGS_MAX: u32 = 16;
        let factor = 1 << record.ejections.min(DOUBLINGS_MAX);
        let until = now + self.settings.eject_for.saturating_mul(factor).min(self.settings.eject_for_max);
        record.state = State::Ejected { until };
        record.ejections = record.ejections.saturating_add(1);
        self.ejected += 1;
        Change::Ejected { until }
    }

    /// Begins the return of a record whose ejection has ended; returns whether it did.
    pub fn end_ejection(&mut self, now: Duration, record: &mut Record) -> bool {
        match record.state {
            State::Ejected { until } if now >= until => {
                record.state = State::Returning { since: now };
                record.rate = SuccessRate::new(now);
                record.failures = 0;
                self.forget_ejected();
                true
            }
            _ => false,
        }
    }

    /// Removes an ejected record from the count, when the record is dropped.
    pub fn forget_ejected(&mut self) {
        self.ejected = self.ejected.saturating_sub(1);
    }

    /// Returns the share of its usual load that the backend server should take now, above 0 and at most 1.
    #[must_use]
    pub fn share(&self, now: Duration, record: &Record) -> f64 {
        const SHARE_MIN: f64 = 0.05;
        match record.state {
            State::Returning { since } => {
                let progress = now.saturating_sub(since).as_secs_f64() / self.settings.return_over.as_secs_f64();
                progress.clamp(SHARE_MIN, 1.0)
            }
            State::Active | State::Ejected { .. } => 1.0,
        }
    }
}
