//! Correction of declared sizes by measured usage.
//!
//! Usage arrives late and only informs the score of a placement and the size to be declared next. What a task reserves
//! is what was declared, so that memory is never overcommitted.

use std::time::Duration;

use crate::capacity::Resources;
use crate::collections::Map;
use crate::kind::KindId;

/// Time after which a measurement has half its weight.
const HALF_LIFE: Duration = Duration::from_hours(6);

/// Weight of the declared size against that of one measurement.
const PRIOR_WEIGHT: f64 = 4.0;

/// Part added to a suggested size above the measured peak.
const HEADROOM: f64 = 1.2;

#[derive(Clone, Copy, Debug, Default)]
struct Ratio {
    processor: f64,
    /// Largest ratio of memory, decaying towards the newest one.
    memory: f64,
    weight: f64,
    at: Duration,
}

/// Ratio of used to declared resources for each kind.
#[derive(Debug, Default)]
pub struct Usage {
    ratios: Map<KindId, Ratio>,
}

impl Usage {
    /// Notes the usage of one task.
    pub fn observe(&mut self, kind: KindId, declared: &Resources, used: &Resources, now: Duration) {
        let processor = ratio(used.processor_millicores, declared.processor_millicores);
        let memory = ratio(used.memory_bytes, declared.memory_bytes);
        let old = self.ratios.entry(kind).or_default();
        let kept = old.weight * decay(now.saturating_sub(old.at));
        let weight = kept + 1.0;
        old.processor = (old.processor * kept + processor) / weight;
        old.memory = memory.max((old.memory * kept + memory) / weight);
        old.weight = weight;
        old.at = old.at.max(now);
    }

    /// Size that a task is expected to use, for the score of a placement.
    #[must_use]
    pub fn expected(&self, kind: KindId, declared: &Resources) -> Resources {
        self.ratios.get(&kind).map_or(*declared, |ratio| Resources {
            processor_millicores: scale(declared.processor_millicores, blend(ratio.processor, ratio.weight)),
            memory_bytes: scale(declared.memory_bytes, blend(ratio.memory, ratio.weight)),
            accelerators: declared.accelerators,
        })
    }

    /// Size to be declared for the kind's next tasks.
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

fn blend(ratio: f64, weight: f64) -> f64 {
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
