//! Choice of a worker for a task.
//!
//! Serving tasks, filling tasks and short tasks share workers. Serving tasks are kept together, so that most filling
//! tasks run where they disturb nobody; short tasks go beside serving ones, whose processors they may use without
//! disturbing them.

use chervilledge_policy::capacity::Resources;

/// Load of a worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Capacity of the worker.
    pub total: Resources,
    /// Resources reserved by its runs, without the processor time of filling runs.
    pub used: Resources,
    /// Part of `used` of tasks that haven't started and for which room is kept.
    pub kept: Resources,
    /// Processor time that filling runs ask for, in thousandths of a core.
    pub filling_millicores: u64,
    /// Part of `filling_millicores` that those runs can't use at their pace.
    pub withheld_millicores: u64,
    /// Processor time reserved by serving runs, part of `used`.
    pub serving_millicores: u64,
    /// Number of serving runs.
    pub serving: u32,
}

/// What a task needs of a worker, and what placing it there would cost.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Need {
    /// Resources.
    pub resources: Resources,
    /// The task only uses processor time that others leave unused.
    pub is_filling: bool,
    /// The task is lasting and serves requests.
    pub is_serving: bool,
    /// Its data is in another rack than the worker.
    pub is_far: bool,
    /// Number of serving runs on the worker that a filling task would disturb.
    pub disturbed: u32,
    /// Largest effect per core of a filling task on one of them, in thousandths of the logarithm of the factor.
    pub effect_thousandths: u32,
    /// Expected pace of a filling task there, in percent.
    pub pace_percent: u32,
    /// Penalty for a serving task beside other images, in thousandths of a core.
    pub mixed_image_penalty: i64,
    /// Processor time that a filling task may ask for beyond the unused part, in thousandths of a core.
    pub excess_millicores: u64,
    /// Processors of the largest worker, in thousandths of a core, if free processor time counts relative to a
    /// worker's size; 0 otherwise.
    pub largest_millicores: u64,
    /// Processor time that runs on the worker free during the task, averaged over its estimate, in thousandths of a
    /// core; only used with `largest_millicores`.
    pub ending_millicores: u64,
}

/// Processor time from which a filling task counts as large, in thousandths of a core. Tasks of large jobs ask for
/// 1.8 to 3.5 cores, those of jobs that a person waits for 0.3 to 0.6.
const LARGE_MILLICORES: u64 = 1_500;
/// Number of tasks from which a step counts as wide. Large jobs have 20 to 80 tasks in a step, the others 10.
const WIDE_TASKS: u32 = 16;

/// Part of a worker's processors that filling runs may ask for beyond the unused part, in percent of the total.
///
/// Serving runs use less than they reserve most of the time.
const OVERCOMMIT_PERCENT: u64 = 10;
/// Part of a serving run's processor time that is assumed to be used, in percent.
const SERVING_USE_PERCENT: u64 = 60;
/// Penalty for slowing filling runs, in thousandths of a core.
const SLOWED_FILLING_PENALTY: i64 = 8_000;
/// Penalty per serving run that a filling run disturbs, in thousandths of a core.
const DISTURBED_RUN_PENALTY: i64 = 4_000;
/// Penalty per thousandth of the largest effect, in thousandths of a core: an effect by which a few cores raise a
/// tail from a usual level to its target outweighs the free capacity of a worker.
const EFFECT_PENALTY: i64 = 60;
/// Penalty for placing a serving task on a worker without serving runs, where filling runs disturb nobody, in
/// thousandths of a core: more than the largest worker has.
const FIRST_SERVING_PENALTY: i64 = 128_000;
/// Penalty for data in another rack, in thousandths of a core.
const FAR_PENALTY: i64 = 64_000;

impl Load {
    /// Processor time that filling runs may still ask for, in thousandths of a core; negative when they ask for too
    /// much.
    #[must_use]
    pub fn filling_left_millicores(&self) -> i64 {
        let total = self.total.processor_millicores;
        let idle_serving = self.serving_millicores * (100 - SERVING_USE_PERCENT) / 100;
        let used = self.used.processor_millicores.saturating_sub(idle_serving);
        signed(total) - signed(used) - signed(self.filling_millicores.saturating_sub(self.withheld_millicores))
    }

    /// Whether the runs need more than the worker has, since its capacity has shrunk. Such a worker has no room, not even
    /// for a task of which only a part counts.
    #[must_use]
    pub fn is_exceeded(&self) -> bool {
        !self.total.covers(&self.used.saturating_sub(&self.kept))
    }

    /// Free capacity of the worker.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.total.saturating_sub(&self.used)
    }

    /// Resources of a task that count against the worker, without the processor time of a filling task.
    #[must_use]
    pub fn counted(need: &Need) -> Resources {
        if need.is_filling { Resources { processor_millicores: 0, ..need.resources } } else { need.resources }
    }

    /// Adds a task.
    pub fn add(&mut self, need: &Need) {
        let counted = Self::counted(need);
        self.used = self.used.checked_add(&counted).unwrap_or(self.total);
        if need.is_filling {
            self.filling_millicores += need.resources.processor_millicores;
        }
        if need.is_serving {
            self.serving += 1;
            self.serving_millicores += need.resources.processor_millicores;
        }
    }

    /// Removes a task.
    pub fn remove(&mut self, need: &Need) {
        self.used = self.used.saturating_sub(&Self::counted(need));
        if need.is_filling {
            self.filling_millicores = self.filling_millicores.saturating_sub(need.resources.processor_millicores);
        }
        if need.is_serving {
            self.serving = self.serving.saturating_sub(1);
            self.serving_millicores = self.serving_millicores.saturating_sub(need.resources.processor_millicores);
        }
    }
}

/// Whether free processor time counts relative to the worker's size, for the tasks of a step with `count` of them.
#[must_use]
pub const fn counts_size(need: &Need, count: u32) -> bool {
    !need.is_serving
        && (count >= WIDE_TASKS || (need.is_filling && need.resources.processor_millicores >= LARGE_MILLICORES))
}

/// Free processor time of a worker after placing the task, scaled by its size where that counts.
fn left_in_proportion(load: &Load, need: &Need, left: i64) -> i64 {
    if need.largest_millicores == 0 {
        return left;
    }
    let after = left + signed(need.ending_millicores) - signed(need.resources.processor_millicores);
    after * signed(need.largest_millicores) / signed(load.total.processor_millicores).max(1)
}

/// Cost of placing a task on a worker, lower is better; `None` when the task doesn't fit.
#[must_use]
pub fn cost(load: &Load, need: &Need) -> Option<i64> {
    if load.is_exceeded() || !load.free().covers(&Load::counted(need)) {
        return None;
    }
    let far = if need.is_far { FAR_PENALTY } else { 0 };
    let processor = signed(need.resources.processor_millicores);
    if need.is_filling {
        let left = load.filling_left_millicores();
        let spare =
            signed((load.total.processor_millicores / 100 * OVERCOMMIT_PERCENT).saturating_add(need.excess_millicores));
        if left + spare < processor {
            return None;
        }
        let disturbed =
            DISTURBED_RUN_PENALTY * i64::from(need.disturbed) + EFFECT_PENALTY * i64::from(need.effect_thousandths);
        return Some(far + disturbed - left_in_proportion(load, need, left));
    }
    let free = signed(load.free().processor_millicores);
    if need.is_serving {
        // Keeping identical serving runs together leaves filling images that disturb none of them.
        let disturbing = signed(load.filling_millicores);
        let first = if load.serving > 0 { 0 } else { FIRST_SERVING_PENALTY };
        return Some(far + first + disturbing + free + need.mixed_image_penalty);
    }
    // A short task takes processor time from filling ones.
    let slows_filling = if load.filling_left_millicores() < processor { SLOWED_FILLING_PENALTY } else { 0 };
    let without_serving = if load.serving > 0 { 0 } else { SLOWED_FILLING_PENALTY / 2 };
    Some(far + slows_filling + without_serving - left_in_proportion(load, need, free))
}

fn signed(amount: u64) -> i64 {
    i64::try_from(amount).unwrap_or(i64::MAX / 8)
}
