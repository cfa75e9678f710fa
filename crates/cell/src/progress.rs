//! Durable progress of a job.

use std::collections::{BTreeMap, BTreeSet};

use chervilledge_policy::id::Name;
use serde::{Deserialize, Serialize};

use crate::crashes::CrashHistory;
use crate::job::TaskKey;

/// How a job ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// Every task is done.
    Completed,
    /// A task failed as often as it may.
    Failed,
    /// A caller cancelled it.
    Canceled,
}

/// Origin of a stored checkpoint.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Checkpointed {
    /// Newest run that saved it or started from it; a late report about an earlier run doesn't replace it.
    pub run: u64,
    /// Progress of the task, in percent.
    pub percent: u32,
}

/// Size of a progress row up to which every version can read it, in bytes. Larger progress has a compact form.
const PLAIN_BYTES_MAX: usize = 32 << 10;
/// Size of a task key in a plain row, in bytes.
const KEY_BYTES: usize = 30;
/// Size of a run number, in bytes.
const RUN_BYTES: usize = 5;
/// Size of a crash, in bytes.
const CRASH_BYTES: usize = 64;
/// Size of a checkpoint in a plain row without its text, in bytes: the key twice, run and percent.
const CHECKPOINT_BYTES: usize = 2 * KEY_BYTES + 24;
/// Size of an occurrence and step in the compact form, and of a range of occurrences, in bytes.
const GROUP_BYTES: usize = 16;
/// Size of a task key in the compact form, in bytes.
const COMPACT_KEY_BYTES: usize = 12;

/// Set of occurrences, as ranges.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Occurrences(
    /// Last occurrence of each range by its first one. Ranges neither overlap nor touch.
    BTreeMap<u32, u32>,
);

impl Occurrences {
    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether an occurrence is contained.
    #[must_use]
    pub fn contains(&self, occurrence: u32) -> bool {
        self.last_of_range(occurrence).is_some()
    }

    /// Last occurrence of the range that contains an occurrence; `None` if it isn't contained.
    #[must_use]
    pub fn last_of_range(&self, occurrence: u32) -> Option<u32> {
        self.0.range(..=occurrence).next_back().map(|(_, last)| *last).filter(|last| occurrence <= *last)
    }

    /// Adds an occurrence.
    pub fn insert(&mut self, occurrence: u32) {
        if self.contains(occurrence) {
            return;
        }
        let next = occurrence.checked_add(1).and_then(|next| self.0.remove(&next));
        let last = next.unwrap_or(occurrence);
        match self.0.range_mut(..occurrence).next_back() {
            Some((_, previous)) if *previous + 1 == occurrence => *previous = last,
            _ => {
                self.0.insert(occurrence, last);
            }
        }
    }
}

/// Content of a job's progress row: what a new placer can't get from agents.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Progress {
    /// Occurrences of which every task is done, of a job with many of them; their tasks aren't in `done`. Only the
    /// compact form has them.
    #[serde(skip)]
    pub completed: Occurrences,
    /// Tasks that are done.
    pub done: BTreeSet<TaskKey>,
    /// Numbers of the failed runs of tasks that aren't done.
    ///
    /// Stored as numbers instead of a count, since an unsettled end is reported again to the next placer.
    pub failures: BTreeMap<TaskKey, BTreeSet<u64>>,
    /// Crashes of workers under tasks that may have caused them and aren't done; of a limited number of tasks.
    #[serde(default)]
    pub crashes: BTreeMap<TaskKey, CrashHistory>,
    /// Newest stored checkpoint of tasks that aren't done.
    pub checkpoints: BTreeMap<TaskKey, Name>,
    /// Origin of these checkpoints.
    #[serde(default)]
    pub checkpointed: BTreeMap<TaskKey, Checkpointed>,
    /// Present once the job has ended.
    pub outcome: Option<Outcome>,
}

impl Progress {
    /// Whether the progress is stored in its compact form, which versions before 0.5.0 can't read.
    #[must_use]
    pub fn is_compact(&self) -> bool {
        !self.completed.is_empty() || self.plain_bytes() > PLAIN_BYTES_MAX
    }

    /// Approximate size of the stored form, in bytes.
    #[must_use]
    pub fn stored_bytes(&self) -> usize {
        if self.is_compact() { self.compact_bytes() } else { self.plain_bytes() }
    }

    /// Approximate size of another checkpoint in the stored form, in bytes.
    #[must_use]
    pub fn checkpoint_bytes(text: &str) -> usize {
        CHECKPOINT_BYTES + text.len()
    }

    /// Approximate size of a checkpoint in the compact form, in bytes.
    pub(crate) fn compact_checkpoint_bytes(text: &str) -> usize {
        2 * COMPACT_KEY_BYTES + text.len()
    }

    fn plain_bytes(&self) -> usize {
        (self.done.len() + self.failures.len() + self.crashes.len()) * KEY_BYTES
            + self.failures.values().map(BTreeSet::len).sum::<usize>() * RUN_BYTES
            + self.crash_bytes()
            + self.checkpoints.values().map(|text| Self::checkpoint_bytes(text)).sum::<usize>()
    }

    fn compact_bytes(&self) -> usize {
        // The last task of each occurrence and step decides on the length of its bitmap; the keys ascend.
        let bitmaps: BTreeMap<(u32, u32), usize> =
            self.done.iter().map(|key| ((key.occurrence, key.step), key.index as usize / 8 + 1)).collect();
        (self.completed.0.len() + bitmaps.len()) * GROUP_BYTES
            + bitmaps.values().sum::<usize>()
            + (self.failures.len() + self.crashes.len()) * COMPACT_KEY_BYTES
            + self.failures.values().map(BTreeSet::len).sum::<usize>() * RUN_BYTES
            + self.crash_bytes()
            + self.checkpoints.values().map(|text| Self::compact_checkpoint_bytes(text)).sum::<usize>()
    }

    fn crash_bytes(&self) -> usize {
        self.crashes.values().map(CrashHistory::len).sum::<usize>() * CRASH_BYTES
    }
}
