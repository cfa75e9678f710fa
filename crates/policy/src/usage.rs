//! Correction of declared sizes by measured usage.
//!
//! Measurements arrive late and only affect the placement score and the suggested size of later tasks. A task always
//! reserves its declared size, so that memory is never overcommitted.

use std::time::Duration;

use crate::capacity::Resources;
use crate::collections::Map;
use crate::kind::KindId;

/// Half-life of the weight of a measurement.
const HALF_LIFE: Duration = Duration::from_hours(6);

/// Weight of the declared size, in measurements.
const PRIOR_WEIGHT: f64 = 4.0;

/// Factor by which a suggested size exceeds the expected usage.
const HEADROOM: f64 = 1.2;

#[derive(Clone, Copy, Debug, Default)]
struct UsageRatio {
    processor: f64,
    /// Peak memory ratio, which decays towards newer measurements.
    memory: f64,
    weight: f64,
    updated_at: Duration,
}

/// Ratio of used to declared resources, by task kind.
#[derive(Debug, Default)]
pub struct Usage {
    ratios: Map<KindId, UsageRatio>,
}

impl Usage {
    /// Records the usage of one task.
    pub fn observe(&mut self, kind: KindId, declared: &Resources, used: &Resources, now: Duration) {
        let processor = ratio(used.processor_millicores, declared.processor_millicores);
        let memory = ratio(used.memory_bytes, declared.memory_bytes);
        let average = self.ratios.entry(kind).or_default();
        let old_weight = average.weight * decay(now.saturating_sub(average.updated_at));
        let weight = old_weight + 1.0;
        average.processor = (average.processor * old_weight + processor) / weight;
        average.memory = memory.max((average.memory * old_weight + memory) / weight);
        average.weight = weight;
        average.updated_at = average.updated_at.max(now);
    }

    /// Returns the expected usage of a task, for the placement score.
    #[must_use]
    pub fn expected(&self, kind: KindId, declared: &Resources) -> Resources {
        self.ratios.get(&kind).map_or(*declared, |ratio| Resources {
            processor_millicores: scale(declared.processor_millicores, blend_with_prior(ratio.processor, ratio.weight)),
            memory_bytes: scale(declared.memory_bytes, blend_with_prior(ratio.memory, ratio.weight)),
            accelerators: declared.accelerators,
        })
    }

    /// Returns the size to declare for the kind's next tasks.
    #[must_use]
    pub fn suggested(&self, kind: KindId, declared: &Resources) -> Resources {
        let expected = self.expected(kind, declared);
        Resources {
            processor_millicores: scale(expected.processor_millicores, HEADROOM),
            memory_bytes: scale(expected.memory_bytes, HEADROOM),
            accelerators: expected.accelerators,
        }
    }
}

fn blend_with_prior(ratio: f64, weight: f64) -> f64 {
    (PRIOR_WEIGHT + ratio * weight) / (PRIOR_WEIGHT + weight)
}

fn decay(age: Duration) -> f64 {
    (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
}

#[expect(clippy::cast_precision_loss, reason = "sizes stay far below 2^53")]
fn ratio(used: u64, declared: u64) -> f64 {
    if declared == 0 { 1.0 } else { used as f64 / declared as f64 }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "sizes are positive and stay far below 2^53"
)]
fn scale(amount: u64, factor: f64) -> u64 {
    (amount as f64 * factor).ceil() as u64
}
