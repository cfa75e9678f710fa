//! Estimated slowdown of a latency-critical service by each kind of colocated batch task.

use std::time::Duration;

use crate::collections::Map;
use crate::kind::KindId;

/// Half-life with which an estimate decays to its prior.
const HALF_LIFE: Duration = Duration::from_hours(1);

/// Fraction of the prediction error by which one measurement corrects the estimates.
const LEARNING_RATE: f64 = 0.05;

/// Minimum baseline latency of a service, as a multiple of the reference.
const BASELINE_MIN: f64 = 0.01;

/// Prior slowdown of a kind that has none configured: each task adds 10% latency.
const PRIOR_DEFAULT: f64 = 0.1;

#[derive(Clone, Copy, Debug)]
struct Estimate {
    /// Never negative.
    slowdown: f64,
    updated_at: Duration,
}

/// Expected slowdowns of services by batch kinds.
///
/// A slowdown is the relative latency increase over the baseline caused by one task of the kind: 0.3 means 30% longer.
#[derive(Debug, Default)]
pub struct Interference {
    estimates: Map<(KindId, KindId), Estimate>,
    priors: Map<KindId, f64>,
    /// Estimated latency of each service without batch tasks, as a multiple of its reference. At least `BASELINE_MIN`.
    baseline: Map<KindId, f64>,
}

impl Interference {
    /// Sets the slowdown expected of a batch kind before any measurement.
    pub fn set_prior(&mut self, batch: KindId, slowdown: f64) {
        self.priors.insert(batch, slowdown.max(0.0));
    }

    /// Returns the slowdown of the service expected from one more task of the kind.
    #[must_use]
    pub fn expected(&self, service: KindId, batch: KindId, now: Duration) -> f64 {
        let prior = self.priors.get(&batch).copied().unwrap_or(PRIOR_DEFAULT);
        self.estimates.get(&(service, batch)).map_or(prior, |estimate| {
            prior + (estimate.slowdown - prior) * decay(now.saturating_sub(estimate.updated_at))
        })
    }

    /// Records the latency of the service with colocated tasks of the given kinds, as a multiple of a fixed reference.
    ///
    /// Each kind comes with its number of full-share tasks: a task throttled to half its share counts as 0.5. Latency
    /// is modelled as the baseline plus a contribution of each task; the prediction error corrects the contributions
    /// and the baseline (normalised least mean squares). The service therefore never needs to run without batch tasks.
    pub fn observe(&mut self, service: KindId, colocated: &[(KindId, f64)], latency_ratio: f64, now: Duration) {
        if !latency_ratio.is_finite() {
            return;
        }
        let baseline = *self.baseline.entry(service).or_insert(latency_ratio.max(BASELINE_MIN));
        let slowdown: f64 = colocated.iter().map(|(kind, count)| self.expected(service, *kind, now) * count).sum();
        let norm: f64 = 1.0 + colocated.iter().map(|(_, count)| count.powi(2)).sum::<f64>();
        let correction = (latency_ratio - baseline * (1.0 + slowdown)) * LEARNING_RATE / norm;
        self.baseline.insert(service, (baseline + correction).max(BASELINE_MIN));
        for (kind, count) in colocated.iter().filter(|(_, count)| *count > 0.0) {
            let corrected = self.expected(service, *kind, now) + correction * count / baseline;
            self.estimates.insert((service, *kind), Estimate { slowdown: corrected.max(0.0), updated_at: now });
        }
    }

    /// Returns the number of service and kind pairs with an estimate.
    #[must_use]
    pub fn len(&self) -> usize {
        self.estimates.len()
    }

    /// Returns whether there are no estimates.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.estimates.is_empty()
    }
}

fn decay(age: Duration) -> f64 {
    (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
}
