//! Choice of a worker for a task.
//!
//! Answers a cell where serving tasks, tasks that fill unused processor time and short tasks share workers. Serving
//! tasks are kept together, so that most filling tasks run where they disturb nobody; short tasks go beside serving
//! ones, whose processors they may use without disturbing them.

use chervilledge_policy::capacity::Resources;

/// Load of a worker as the choice sees it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// What the worker can hold.
    pub total: Resources,
    /// What its runs hold; processor time of filling runs isn't part of it.
    pub used: Resources,
    /// Processor time that filling runs ask for, in thousandths of a core.
    pub filling_millicores: u64,
    /// Part of `filling_millicores` that the pace of those runs keeps them from using.
    pub withheld_millicores: u64,
    /// Processor time that serving runs hold, part of `used`.
    pub serving_millicores: u64,
    /// Runs that serve.
    pub serving: u32,
}

/// What a task needs of a worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Need {
    /// Resources.
    pub resources: Resources,
    /// Takes what others leave unused.
    pub is_filling: bool,
    /// Lasts and has a latency target.
    pub is_serving: bool,
    /// Its data is on another rack than the worker.
    pub is_far: bool,
    /// Serving runs on the worker that the task, a filling one, would disturb.
    pub disturbed: u32,
    /// Largest effect of the task on one of them for each core, in thousandths of the logarithm of the factor.
    pub effect_thousandths: u32,
    /// Pace at which the task, a filling one, is expected to run there, in percent.
    pub pace_percent: u32,
    /// What speaks against serving beside other images there, for a serving task, in thousandths of a core.
    pub mixed_image_penalty: i64,
    /// Processor time beyond what is left that the task, a filling one, may ask for, in thousandths of a core.
    pub excess_millicores: u64,
    /// Processors of the largest worker, in thousandths of a core, where what is left counts in proportion to a worker's size;
    /// 0 elsewhere.
    pub largest_millicores: u64,
    /// Processor time that runs on the worker give back within the task's time, as a mean over that time, in thousandths of a
    /// core; only with `largest_millicores`.
    pub ending_millicores: u64,
}

/// Processor time from which a filling task counts as large, in thousandths of a core. Large jobs' tasks ask for 1.8 to 3.5
/// cores, those of jobs that a person waits for 0.3 to 0.6.
const LARGE_MILLICORES: u64 = 1_500;
/// Tasks from which a step counts as wide. Large jobs have 20 to 80 in a step, the others 10.
const WIDE_TASKS: u32 = 16;

/// Part of the processors of a worker that filling runs may ask for beyond what is left, in percent of the total.
///
/// Serving runs hold more than they use most of the time.
const OVERCOMMIT_PERCENT: u64 = 10;
/// Part of a serving run's processor time that is taken as used, in percent.
const SERVING_USE_PERCENT: u64 = 60;
/// Score of pressing a filling run, in thousandths of a core.
const SLOWED_FILLING_PENALTY: i64 = 8_000;
/// Score of each serving run that a filling one disturbs, in thousandths of a core.
const DISTURBED_RUN_PENALTY: i64 = 4_000;
/// Score of a thousandth of the largest effect, in thousandths of a core: an effect by which a few cores bring a tail from a
/// usual level to its target outweighs the room of a worker.
const EFFECT_PENALTY: i64 = 60;
/// Score of a worker without serving runs, on which filling runs disturb nobody, for a serving task, in thousandths of a
/// core: more than the largest worker has.
const FIRST_SERVING_PENALTY: i64 = 128_000;
/// Score of data on another rack, in thousandths of a core.
const FAR_PENALTY: i64 = 64_000;

impl Load {
    /// Processor time that filling runs may still ask for, in thousandths of a core; negative when there is too much.
    #[must_use]
    pub fn filling_left_millicores(&self) -> i64 {
        let total = self.total.processor_millicores;
        let idle_serving = self.serving_millicores * (100 - SERVING_USE_PERCENT) / 100;
        let used = self.used.processor_millicores.saturating_sub(idle_serving);
        signed(total) - signed(used) - signed(self.filling_millicores.saturating_sub(self.withheld_millicores))
    }

    /// What the worker can still hold.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.total.saturating_sub(&self.used)
    }

    /// Resources that a task takes, without processor time that isn't counted.
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

    /// Takes a task away.
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

/// Whether the worker's size counts for the tasks of a step that has `count` of them.
#[must_use]
pub const fn counts_size(need: &Need, count: u32) -> bool {
    !need.is_serving
        && (count >= WIDE_TASKS || (need.is_filling && need.resources.processor_millicores >= LARGE_MILLICORES))
}

/// What is left of a worker's processors once the task is there, in proportion to its size where that counts.
fn left_in_proportion(load: &Load, need: &Need, left: i64) -> i64 {
    if need.largest_millicores == 0 {
        return left;
    }
    let after = left + signed(need.ending_millicores) - signed(need.resources.processor_millicores);
    after * signed(need.largest_millicores) / signed(load.total.processor_millicores).max(1)
}

/// Rates a worker for a task; the smallest is the best, `None` when the task has no room.
#[must_use]
pub fn cost(load: &Load, need: &Need) -> Option<i64> {
    if !load.free().covers(&Load::counted(need)) {
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
        // Workers whose serving runs are alike each have filling images that disturb none of them.
        let disturbing = signed(load.filling_millicores);
        let first = if load.serving > 0 { 0 } else { FIRST_SERVING_PENALTY };
        return Some(far + first + disturbing + free + need.mixed_image_penalty);
    }
    // A short task takes processor time from filling ones.
    let pressed = if load.filling_left_millicores() < processor { SLOWED_FILLING_PENALTY } else { 0 };
    let beside = if load.serving > 0 { 0 } else { SLOWED_FILLING_PENALTY / 2 };
    Some(far + pressed + beside - left_in_proportion(load, need, free))
}

fn signed(amount: u64) -> i64 {
    i64::try_from(amount).unwrap_or(i64::MAX / 8)
}
