//! Run times of tasks at full pace, estimated from what their job stated and from what its runs show.
//!
//! Handles estimates that are wrong by a factor of two and more: by them alone, a job that could still meet its
//! objective counts as late, or a large one as small. The tasks of a step are alike, so the progress of a few of them
//! tells more about the others than the stated estimate does.

use std::time::Duration;

/// Bounds of the ratio of a run time to its estimate.
const RATIO_BOUNDS: (f64, f64) = (0.1, 10.0);
/// Weight of a new run in what is known of a queue.
const SMOOTHING: f64 = 0.05;
/// Deviation of run times from their estimates that is assumed before runs have ended, as a natural logarithm.
const DEVIATION_UNKNOWN: f64 = 0.5;
/// Least deviation that is assumed between the tasks of a step, as a natural logarithm; progress is reported in
/// percent and some time after it was made.
const TASK_DEVIATION_MIN: f64 = 0.1;

/// Standard deviation of a normal distribution over its mean deviation.
const DEVIATION_TO_STANDARD: f64 = 1.253;

/// Work that runs of a step's tasks have done.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MeasuredWork {
    /// Time that the runs took, scaled to full pace.
    pub time: Duration,
    /// Part of the tasks that was done in that time, in tasks.
    pub tasks: f64,
}

impl MeasuredWork {
    /// Adds the progress of a run.
    pub fn add(&mut self, time: Duration, percent: u32) {
        if percent > 0 {
            self.time = self.time.saturating_add(time);
            self.tasks += f64::from(percent) / 100.0;
        }
    }

    /// Mean run time of a task; `None` before there is any progress.
    fn mean_seconds(&self) -> Option<f64> {
        (self.tasks > 0.0 && !self.time.is_zero()).then(|| self.time.as_secs_f64() / self.tasks)
    }
}

/// How run times of a queue's tasks compare with the stated estimates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EstimateAccuracy {
    /// Mean logarithm of the ratio of run times to estimates.
    log_ratio: f64,
    /// Mean deviation of single logarithms from it.
    deviation: f64,
    /// Mean deviation of the logarithm of a task's run time from that of its step.
    task_deviation: f64,
}

impl Default for EstimateAccuracy {
    fn default() -> Self {
        Self { log_ratio: 0.0, deviation: DEVIATION_UNKNOWN, task_deviation: DEVIATION_UNKNOWN / 2.0 }
    }
}

impl EstimateAccuracy {
    /// Takes account of a task that took `time` at full pace; `others` is what other tasks of its step showed.
    pub fn note(&mut self, stated: Duration, time: Duration, others: &MeasuredWork) {
        if stated.is_zero() || time.is_zero() {
            return;
        }
        let log_ratio = log_ratio(time.as_secs_f64(), stated);
        self.deviation += ((log_ratio - self.log_ratio).abs() - self.deviation) * SMOOTHING;
        self.log_ratio += (log_ratio - self.log_ratio) * SMOOTHING;
        if let Some(mean) = others.mean_seconds() {
            let distance = (log_ratio - self::log_ratio(mean, stated)).abs();
            self.task_deviation += (distance - self.task_deviation) * SMOOTHING;
        }
    }

    /// Usual ratio of a run time to its estimate.
    #[must_use]
    pub fn ratio(&self) -> f64 {
        self.log_ratio.exp()
    }

    /// Ratio of the run time to expect of the longest of `count` tasks to that of each.
    #[must_use]
    pub fn longest_ratio(&self, count: u32) -> f64 {
        (largest_deviate(count) * self.task_deviation * DEVIATION_TO_STANDARD).exp()
    }

    /// Run time to expect of a step's tasks at full pace: the stated estimate, corrected by the queue's usual ratio,
    /// and what their own runs show, each weighted by how far it is usually off.
    #[must_use]
    pub fn run_time(&self, stated: Duration, measured: &MeasuredWork) -> Duration {
        if stated.is_zero() {
            return Duration::ZERO;
        }
        let log = match measured.mean_seconds() {
            None => self.log_ratio,
            Some(mean) => {
                let task_deviation = self.task_deviation.max(TASK_DEVIATION_MIN);
                let stated_weight =
                    1.0 / (self.deviation * self.deviation).max(TASK_DEVIATION_MIN * TASK_DEVIATION_MIN);
                let measured_weight = measured.tasks / (task_deviation * task_deviation);
                (self.log_ratio * stated_weight + log_ratio(mean, stated) * measured_weight)
                    / (stated_weight + measured_weight)
            }
        };
        stated.mul_f64(log.exp())
    }
}

/// Mean of the largest of `count` normally distributed values, in standard deviations above their mean.
fn largest_deviate(count: u32) -> f64 {
    if count < 2 {
        return 0.0;
    }
    let root = (2.0 * f64::from(count).ln()).sqrt();
    (root - (f64::from(count).ln().ln() + (4.0 * std::f64::consts::PI).ln()) / (2.0 * root)).max(0.0)
}

fn log_ratio(seconds: f64, stated: Duration) -> f64 {
    (seconds / stated.as_secs_f64()).clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1).ln()
}
