//! Learnt slowdown of a latency-critical service by each kind of batch task beside it.

use std::time::Duration;

use crate::collections::Map;
use crate::kind::KindId;

/// Time after which a measurement has half its weight.
const HALF_LIFE: Duration = Duration::from_hours(1);

/// Weight of the prior against that of one measurement.
const PRIOR_WEIGHT: f64 = 4.0;

/// Slowdown expected of a kind that has no prior: latency grows by a tenth for each task.
const PRIOR_DEFAULT: f64 = 0.1;

/// Share of a measurement that is spread evenly over the kinds present, so that a kind once thought harmless is learnt.
const EVEN_SHARE: f64 = 0.2;

#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean: f64,
    weight: f64,
    at: Duration,
}

/// Expected slowdowns of services by batch kinds.
///
/// A slowdown is the growth of latency over the service alone that one task of the kind causes: 0.3 means 30% longer.
#[derive(Debug, Default)]
pub struct Interference {
    estimates: Map<(KindId, KindId), Estimate>,
    priors: Map<KindId, f64>,
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
        self.estimates.get(&(service, batch)).map_or(prior, |estimate| {
            let weight = estimate.weight * decay(now.saturating_sub(estimate.at));
            (prior * PRIOR_WEIGHT + estimate.mean * weight) / (PRIOR_WEIGHT + weight)
        })
    }

    /// Notes that the service was slowed by `slowdown` beside the given numbers of tasks of each kind.
    ///
    /// The slowdown is shared out in proportion to what was expected of each kind, and a part of it evenly.
    pub fn observe(&mut self, service: KindId, beside: &[(KindId, u32)], slowdown: f64, now: Duration) {
        let tasks: f64 = beside.iter().map(|(_, count)| f64::from(*count)).sum();
        if tasks == 0.0 || !slowdown.is_finite() {
            return;
        }
        let weigh = |kind: KindId| self.expected(service, kind, now);
        let expected: f64 = beside.iter().map(|(kind, count)| weigh(*kind) * f64::from(*count)).sum();
        let shares: Vec<(KindId, f64)> = beside
            .iter()
            .filter(|(_, count)| *count > 0)
            .map(|(kind, _)| (*kind, share(weigh(*kind), expected, tasks) * slowdown.max(0.0)))
            .collect();
        for (kind, per_task) in shares {
            self.learn(service, kind, per_task, now);
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

    fn learn(&mut self, service: KindId, batch: KindId, slowdown: f64, now: Duration) {
        let old = self.estimates.entry((service, batch)).or_insert(Estimate { mean: 0.0, weight: 0.0, at: now });
        let kept = old.weight * decay(now.saturating_sub(old.at));
        old.weight = kept + 1.0;
        old.mean = (old.mean * kept + slowdown) / old.weight;
        old.at = old.at.max(now);
    }
}

/// Part of the whole slowdown that one task of a kind accounts for.
fn share(own: f64, expected: f64, tasks: f64) -> f64 {
    let proportional = if expected > 0.0 { own / expected } else { 1.0 / tasks };
    proportional * (1.0 - EVEN_SHARE) + EVEN_SHARE / tasks
}

fn decay(age: Duration) -> f64 {
    (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
}
