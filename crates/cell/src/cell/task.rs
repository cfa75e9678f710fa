//! Tasks of a job and their runs.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::id::Name;

use super::restarts::Restarts;
use crate::crashes::CrashHistory;
use crate::job::TaskKey;
use crate::pace::FULL_PERCENT;
use crate::progress::Progress;
use crate::urgency::Urgency;

/// A run that was ordered and hasn't ended.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) number: u64,
    pub(crate) agent: Name,
    /// When the worker accepted it, or was first seen to run it.
    pub(crate) started: Option<Duration>,
    pub(crate) percent: u32,
    /// When `percent` last changed.
    pub(crate) progressed_at: Duration,
    /// The run was ordered to stop.
    pub(crate) is_stopping: bool,
    /// Pace in percent, as last reported.
    pub(crate) pace_percent: u32,
    /// Since when the run has been continuously slowed for the sake of serving runs.
    pub(crate) slowed_since: Option<Duration>,
    /// Urgency, as last sent to the agent.
    pub(crate) urgency: Urgency,
    /// Progress at the start of the slowdown, in percent.
    pub(crate) slowed_from_percent: u32,
    /// Time that the run has taken, scaled to full pace.
    pub(crate) full_pace_time: Duration,
    /// Up to when that time is counted.
    pub(crate) timed_at: Duration,
    /// `full_pace_time` when `percent` last changed.
    pub(crate) progress_time: Duration,
    /// Progress of the checkpoint that the run started from, in percent.
    pub(crate) restored_percent: u32,
}

impl Run {
    /// Creates a run that was just ordered, or just found on a worker.
    pub(crate) fn new(number: u64, agent: &Name, now: Duration) -> Self {
        Self {
            number,
            agent: Arc::clone(agent),
            started: None,
            percent: 0,
            progressed_at: now,
            is_stopping: false,
            pace_percent: FULL_PERCENT,
            slowed_since: None,
            urgency: Urgency::UNKNOWN,
            slowed_from_percent: 0,
            full_pace_time: Duration::ZERO,
            timed_at: now,
            progress_time: Duration::ZERO,
            restored_percent: 0,
        }
    }

    /// Adds the time since the last call, at the pace of that time.
    pub(crate) fn count_time(&mut self, now: Duration) {
        let passed = now.saturating_sub(std::mem::replace(&mut self.timed_at, now));
        if self.started.is_some() {
            self.full_pace_time += passed * self.pace_percent / FULL_PERCENT;
        }
    }

    /// Updates whether the run is slowed, at a progress of `percent`.
    pub(crate) fn update_slowed(&mut self, is_slowed: bool, percent: u32, now: Duration) {
        if !is_slowed {
            // A lack of progress before this says nothing about the worker.
            if self.slowed_since.take().is_some() {
                self.progressed_at = now;
            }
        } else if self.slowed_since.is_none() {
            self.slowed_since = Some(now);
            self.slowed_from_percent = percent;
        }
    }
}

/// A task of a job.
#[derive(Clone, Debug, Default)]
pub(crate) struct Task {
    pub(crate) is_done: bool,
    /// Progress that was counted as completed work, in percent.
    pub(crate) counted_percent: u32,
    pub(crate) runs: Vec<Run>,
    /// Starts under this term.
    pub(crate) starts: u64,
    /// Numbers of its failed runs.
    pub(crate) failed_runs: BTreeSet<u64>,
    /// Crashes of workers under it.
    pub(crate) crashes: CrashHistory,
    /// Time that its failed runs took at full pace.
    pub(crate) failed_time: Duration,
    pub(crate) checkpoint: Checkpoint,
    pub(crate) restarts: Restarts,
    /// When the task last began to wait for capacity.
    pub(crate) ready_since: Duration,
    /// Earliest time of the next start.
    pub(crate) not_before: Duration,
    /// Agents on whose workers the task failed or stalled.
    pub(crate) avoided: Vec<Name>,
    /// Number of runs that were stopped in favor of other tasks.
    pub(crate) displacements: u32,
}

impl Task {
    /// Progress of a run that a stop may lose, in percent.
    pub(crate) fn unsaved_percent(&self, run: &Run, is_checkpointing: bool) -> u32 {
        let is_saved = is_checkpointing && self.checkpoint.run == run.number;
        run.percent.saturating_sub(if is_saved { self.checkpoint.percent } else { 0 })
    }
}

/// Checkpoint that the next run of a task starts from.
#[derive(Clone, Debug)]
pub(crate) struct Checkpoint {
    /// Opaque text for the worker; empty when there is none.
    pub(crate) text: Name,
    /// Newest run that saved it or started from it.
    pub(crate) run: u64,
    /// Progress of the task in the report that first named it.
    pub(crate) percent: u32,
}

impl Default for Checkpoint {
    fn default() -> Self {
        Self { text: Arc::from(""), run: 0, percent: 0 }
    }
}

impl Checkpoint {
    /// Checkpoint of a task as stored in a row.
    pub(crate) fn stored(progress: &Progress, key: TaskKey) -> Self {
        let Some(text) = progress.checkpoints.get(&key) else { return Self::default() };
        let by = progress.checkpointed.get(&key).copied().unwrap_or_default();
        Self { text: Arc::clone(text), run: by.run, percent: by.percent }
    }
}
