//! Choice of runs that are stopped for a task of a more important queue.
//!
//! Answers small jobs that a person waits for beside a cell that large runs fill: a small task finds room after a bounded
//! wait and one stop, and the large jobs lose a bounded amount of work. Little that isn't saved is lost first.

use std::time::Duration;

use crate::job::TaskId;

/// Time that a task waits for room before runs are stopped for it: most room that comes up by itself does so earlier, and a
/// person who waits for the result takes twice as long as immediate.
pub const WAIT_MIN: Duration = Duration::from_millis(300);
/// Progress above which a run isn't stopped, in percent: it ends about as soon as a stop would.
pub const PERCENT_MAX: u32 = 85;
/// Stops of a task's runs in favor of others, at most: more would keep a job from ever ending.
pub const DISPLACED_MAX: u32 = 2;
/// Time for which the number of stops is bounded.
pub const WINDOW: Duration = Duration::from_millis(300);
/// Workers for each of which one run is stopped in a [`WINDOW`]; with a stop of 0.9 s, three in seven workers have one under
/// way at most.
pub const WORKERS_PER_STOP: usize = 7;
/// Runs that are stopped for one task at most.
const STOPS_PER_TASK_MAX: usize = 4;

/// A run that may be stopped.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Candidate {
    /// Processor time of one core that a stop may lose: work since the last checkpoint, times cores.
    pub unsaved: Duration,
    /// Progress, in percent.
    pub percent: u32,
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
}

/// Runs on one worker that are stopped together.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Choice {
    /// What the stops may lose together.
    pub unsaved: Duration,
    /// The runs.
    pub runs: Vec<Candidate>,
}

/// Chooses runs on a worker whose stops together make room, those that lose least first; `None` when no few do.
///
/// `makes_room` tells it for runs by task and number; more runs never make less room.
#[must_use]
pub fn choose(mut candidates: Vec<Candidate>, makes_room: impl Fn(&[(TaskId, u64)]) -> bool) -> Option<Choice> {
    let run_ids = |runs: &[Candidate]| runs.iter().map(|run| (run.task, run.run)).collect::<Vec<_>>();
    candidates.retain(|run| run.percent <= PERCENT_MAX);
    if !makes_room(&run_ids(&candidates)) {
        return None;
    }
    candidates.sort_unstable();
    let count = (1..=candidates.len()).find(|count| makes_room(&run_ids(&candidates[..*count])))?;
    let mut runs = candidates;
    runs.truncate(count);
    // A cheap run that adds nothing to the room stays; the last one is needed in any case.
    for position in (0..runs.len() - 1).rev() {
        let run = runs.remove(position);
        if !makes_room(&run_ids(&runs)) {
            runs.insert(position, run);
        }
    }
    let unsaved = runs.iter().map(|run| run.unsaved).sum();
    (runs.len() <= STOPS_PER_TASK_MAX).then_some(Choice { unsaved, runs })
}

/// Bound on the stops of a cell.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    window_start: Option<Duration>,
    stops: usize,
}

impl Budget {
    /// Takes `stops` from what a cell with `workers` may stop at present; tells whether there was enough.
    ///
    /// What one task needs is always allowed once in a window, so that small cells aren't without preemption.
    pub fn take(&mut self, stops: usize, workers: usize, now: Duration) -> bool {
        if self.window_start.is_none_or(|since| now.saturating_sub(since) >= WINDOW) {
            *self = Self { window_start: Some(now), stops: 0 };
        }
        let is_allowed = self.stops == 0 || self.stops + stops <= workers.div_ceil(WORKERS_PER_STOP);
        if is_allowed {
            self.stops += stops;
        }
        is_allowed
    }
}
