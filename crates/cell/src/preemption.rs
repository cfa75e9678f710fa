//! Choice of the runs that are stopped for a task of a queue with higher priority.
//!
//! Handles small jobs that a person waits for in a cell filled by large runs: a small task gets capacity after a
//! bounded wait and one stop, and the large jobs lose a bounded amount of work. The runs with the least unsaved work
//! are stopped first.

use std::time::Duration;

use crate::job::TaskId;

/// Time that a task waits before runs are stopped for it: most capacity that becomes free anyway does so earlier, and
/// a person who waits for the result takes twice this time as immediate.
pub const WAIT_MIN: Duration = Duration::from_millis(300);
/// Progress above which a run isn't stopped, in percent: it ends about as soon as a stop would take effect.
pub const PERCENT_MAX: u32 = 85;
/// Limit on the displaced runs of a task: more would keep a job from ever ending.
pub const DISPLACED_MAX: u32 = 2;
/// Period for which the number of stops is bounded.
pub const WINDOW: Duration = Duration::from_millis(300);
/// Number of workers per run that is stopped in a [`WINDOW`]; as a stop takes 0.9 s, at most three in seven workers
/// have one in progress.
pub const WORKERS_PER_STOP: usize = 7;
/// Limit on the runs stopped for one task.
const STOPS_PER_TASK_MAX: usize = 4;

/// A run that may be stopped.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Candidate {
    /// Core time that a stop may lose: work since the last checkpoint, times cores.
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
    /// Work that the stops may lose in total.
    pub unsaved: Duration,
    /// The runs.
    pub runs: Vec<Candidate>,
}

/// Chooses runs on a worker whose stops together make room, those that lose the least work first; `None` if too many
/// would be needed.
///
/// `makes_room` decides for a set of runs, by task and number; more runs never make less room.
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
    // A cheap run that isn't needed for the room is kept; the last one is always needed.
    for position in (0..runs.len() - 1).rev() {
        let run = runs.remove(position);
        if !makes_room(&run_ids(&runs)) {
            runs.insert(position, run);
        }
    }
    let unsaved = runs.iter().map(|run| run.unsaved).sum();
    (runs.len() <= STOPS_PER_TASK_MAX).then_some(Choice { unsaved, runs })
}

/// Limit on the stops of a cell.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    window_start: Option<Duration>,
    stops: usize,
}

impl Budget {
    /// Takes `stops` from the budget of a cell with `workers`; returns whether it sufficed.
    ///
    /// The stops for one task are always allowed once per window, so that small cells have preemption too.
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
