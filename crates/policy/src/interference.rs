//! Learnt slowdown of a latency-critical service by each kind of batch task beside it.

use std::time::Duration;

use crate::collections::Map;
use crate::kind::KindId;

/// Time after which half of what was learnt is forgotten in favour of the prior.
const HALF_LIFE: Duration = Duration::from_hours(1);

/// Part of the error of a prediction by which one measurement corrects the estimates.
const LEARNING_RATE: f64 = 0.05;

/// Smallest latency of a service alone, as a multiple of the reference.
const ALONE_MIN: f64 = 0.01;

/// Slowdown expected of a kind that has no prior: latency grows by a tenth for each task.
const PRIOR_DEFAULT: f64 = 0.1;

#[derive(Clone, Copy, Debug)]
struct Estimate {
    /// Never negative.
    slowdown: f64,
    at: Duration,
}

/// Expected slowdowns of services by batch kinds.
///
/// A slowdown is the growth of latency over the service alone that one task of the kind causes: 0.3 means 30% longer.
#[derive(Debug, Default)]
pub struct Interference {
    estimates: Map<(KindId, KindId), Estimate>,
    priors: Map<KindId, f64>,
    /// Latency of each service without batch work, as a multiple of its reference. At least `ALONE_MIN`.
    alone: Map<KindId, f64>,
}

impl Interference {
    /// Sets the slowdown expected of a batch kind before anything is measured.
    pub fn set_prior(&mut self, batch: KindId, slowdown: f64) {
        self.priors.insert(batch, slowdown.max(0.0));
    }

    /// Slowdown of the service expected of one more task of the kind.
    #[must_use]
    pub fn expected(&self, service: KindId, batch: KindId, now: Duration) -> f64 {
        let prior = self.priors.get(&batch).copied().unwrap_or(PRIOR_DEFAULT);
        self.estimates
            .get(&(service, batch))
            .map_or(prior, |estimate| prior + (estimate.slowdown - prior) * decay(now.saturating_sub(estimate.at)))
    }

    /// Notes the latency of the service beside tasks of the given kinds, as a multiple of a fixed reference.
    ///
    /// Each kind comes with its number of whole tasks: a task throttled to half its share counts as half. Latency is
    /// taken to be that of the service alone plus a part for each task; the error of this sum corrects the parts, and
    /// the latency alone with them (normalised least mean squares). The service therefore needn't ever run alone.
    pub fn observe(&mut self, service: KindId, beside: &[(KindId, f64)], latency_ratio: f64, now: Duration) {
        if !latency_ratio.is_finite() {
            return;
        }
        let alone = *self.alone.entry(service).or_insert(latency_ratio.max(ALONE_MIN));
        let slowdown: f64 = beside.iter().map(|(kind, count)| self.expected(service, *kind, now) * count).sum();
        let norm: f64 = 1.0 + beside.iter().map(|(_, count)| count.powi(2)).sum::<f64>();
        let step = (latency_ratio - alone * (1.0 + slowdown)) * LEARNING_RATE / norm;
        self.alone.insert(service, (alone + step).max(ALONE_MIN));
        for (kind, count) in beside.iter().filter(|(_, count)| *count > 0.0) {
            let corrected = self.expected(service, *kind, now) + step * count / alone;
            self.estimates.insert((service, *kind), Estimate { slowdown: corrected.max(0.0), at: now });
        }
    }

    /// Number of pairs that something was learnt about.
    #[must_use]
    pub fn len(&self) -> usize {
        self.estimates.len()
    }

    /// Tells whether nothing was learnt yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.estimates.is_empty()
    }
}

fn decay(age: Duration) -> f64 {
    (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
}
