//! Ejection of backend servers that fail much more often than the others.
//!
//! A backend server that fails fast looks idle and would attract requests. It is ejected by its success rate for a
//! time that grows with each ejection, and returns with a small share that grows.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Bounds of the detection.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Share of backend servers that may be out at the same time, from 0 to 1.
    pub max_ejected_share: f64,
    /// Failures in a row that eject a backend server however few requests it has had.
    pub consecutive_failures: u32,
    /// Decayed number of requests below which a backend server isn't judged.
    pub min_requests: f64,
    /// A backend server is ejected when its success rate is below this share of the service's.
    pub success_ratio: f64,
    /// Time in which the weight of an observation halves; positive.
    #[serde(rename = "half_life_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub half_life: Duration,
    /// Length of the first ejection; doubles with each further one.
    #[serde(rename = "eject_for_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub eject_for: Duration,
    /// Longest ejection.
    #[serde(rename = "eject_for_max_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub eject_for_max: Duration,
    /// Time in which a returning backend server gets back to its full share; positive.
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

/// Successes and requests, decayed with time.
#[derive(Clone, Copy, Debug)]
struct Rate {
    successes: f64,
    total: f64,
    updated: Duration,
}

impl Rate {
    fn new(now: Duration) -> Self {
        Self { successes: 0.0, total: 0.0, updated: now }
    }

    fn add(&mut self, now: Duration, succeeded: bool, half_life: Duration) {
        let kept = (-now.saturating_sub(self.updated).as_secs_f64() / half_life.as_secs_f64()).exp2();
        self.updated = self.updated.max(now);
        self.successes = self.successes * kept + if succeeded { 1.0 } else { 0.0 };
        self.total = self.total * kept + 1.0;
    }

    fn ratio(&self) -> f64 {
        if self.total > 0.0 { self.successes / self.total } else { 1.0 }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    In,
    /// Takes nothing; counts against the cap.
    Ejected {
        until: Duration,
    },
    /// Takes a growing share.
    Returning {
        since: Duration,
    },
}

/// Health of one backend server.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    /// Failures since the latest success.
    failures: u32,
    rate: Rate,
    state: State,
    /// Ejections without a full return between them.
    ejections: u32,
}

impl Record {
    /// Makes the record of a backend server that hasn't been judged.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self { failures: 0, rate: Rate::new(now), state: State::In, ejections: 0 }
    }

    /// Tells whether the backend server takes no requests.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        matches!(self.state, State::Ejected { .. })
    }
}

/// Something to log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The backend server is out until this time.
    Ejected {
        /// End of the ejection.
        until: Duration,
    },
    /// The backend server would be ejected, but too many are out.
    Capped,
}

/// Judges the backend servers of one service.
#[derive(Clone, Debug)]
pub struct Detector {
    /// Ejected records; within the cap whenever one is added.
    out: u32,
    service: Rate,
    settings: Settings,
}

impl Detector {
    /// Makes a detector for one service.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self { out: 0, service: Rate::new(Duration::ZERO), settings }
    }

    /// Puts other bounds in force; ejections that have begun keep their length.
    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Takes in one end of a request on a service of `total` backend servers, and judges the record.
    pub fn observe(&mut self, now: Duration, record: &mut Record, succeeded: bool, total: u32) -> Option<Change> {
        record.failures = if succeeded { 0 } else { record.failures.saturating_add(1) };
        record.rate.add(now, succeeded, self.settings.half_life);
        self.service.add(now, succeeded, self.settings.half_life);
        self.settle(now, record);
        if succeeded || record.is_ejected() || !self.is_outlier(record) {
            return None;
        }
        if !self.may_eject(total) {
            return Some(Change::Capped);
        }
        Some(self.eject(now, record))
    }

    /// Ends a return that has reached its full share.
    fn settle(&self, now: Duration, record: &mut Record) {
        if let State::Returning { since } = record.state
            && now.saturating_sub(since) >= self.settings.return_over
        {
            record.state = State::In;
            record.ejections = 0;
        }
    }

    /// Compares the record with the rest of the service.
    fn is_outlier(&self, record: &Record) -> bool {
        let rest_total = self.service.total - record.rate.total;
        if rest_total < self.settings.min_requests {
            return false;
        }
        let rest_ratio = (self.service.successes - record.rate.successes) / rest_total;
        let judged = record.rate.total >= self.settings.min_requests;
        let fails_often = judged && record.rate.ratio() < rest_ratio * self.settings.success_ratio;
        fails_often || (self.fails_always(record) && rest_ratio >= self.settings.success_ratio)
    }

    /// Tells whether all of the latest requests failed; a returning backend server is given fewer.
    fn fails_always(&self, record: &Record) -> bool {
        const RETURNING_FAILURES: u32 = 2;
        let bound = match record.state {
            State::Returning { .. } => RETURNING_FAILURES.min(self.settings.consecutive_failures),
            State::In | State::Ejected { .. } => self.settings.consecutive_failures,
        };
        record.failures >= bound
    }

    fn may_eject(&self, total: u32) -> bool {
        // One may always be out, unless it is the only one.
        let cap = (f64::from(total) * self.settings.max_ejected_share).max(if total > 1 { 1.0 } else { 0.0 });
        f64::from(self.out) + 1.0 <= cap
    }

    fn eject(&mut self, now: Duration, record: &mut Record) -> Change {
        const DOUBLINGS_MAX: u32 = 16;
        let factor = 1 << record.ejections.min(DOUBLINGS_MAX);
        let until = now + self.settings.eject_for.saturating_mul(factor).min(self.settings.eject_for_max);
        record.state = State::Ejected { until };
        record.ejections = record.ejections.saturating_add(1);
        self.out += 1;
        Change::Ejected { until }
    }

    /// Begins the return of a record whose ejection has ended; tells whether it did.
    pub fn release(&mut self, now: Duration, record: &mut Record) -> bool {
        match record.state {
            State::Ejected { until } if now >= until => {
                record.state = State::Returning { since: now };
                record.rate = Rate::new(now);
                record.failures = 0;
                self.forget_out();
                true
            }
            _ => false,
        }
    }

    /// Takes an ejected record that is dropped out of the count.
    pub fn forget_out(&mut self) {
        self.out = self.out.saturating_sub(1);
    }

    /// Share of its usual load that the backend server should take now, above 0 and at most 1.
    #[must_use]
    pub fn share(&self, now: Duration, record: &Record) -> f64 {
        const SHARE_MIN: f64 = 0.05;
        match record.state {
            State::Returning { since } => {
                let returned = now.saturating_sub(since).as_secs_f64() / self.settings.return_over.as_secs_f64();
                returned.clamp(SHARE_MIN, 1.0)
            }
            State::In | State::Ejected { .. } => 1.0,
        }
    }
}
