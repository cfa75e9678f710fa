//! Crashes of workers under a task: which of the runs on a worker is to blame, and when a task is given up.
//!
//! A crash ends every run on its worker, and none of them reports an end. A task that crashes workers does so soon after
//! each of its starts, so the age of a run tells whether it is suspect, and a suspect is started beside no other suspect:
//! the next crash under it then has one suspect only. A run that lives well beyond the crashes under its task refutes
//! them.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Age of a run up to which its start may have crashed the worker. A worker that fails at a start does so while it loads
/// the program, and its agent may notice 150 ms later, which is the pause between two polls.
pub const SUSPECT_AGE_MAX: Duration = Duration::from_millis(300);
/// Multiple of the age of a crashed run that another run of the task has to live to refute that the task crashes workers
/// so early.
const REFUTED_FACTOR: u32 = 2;
/// Longest time that a run has to live for that: longer than the time between two crashes of a worker in its worst hour.
const REFUTED_MAX: Duration = Duration::from_secs(10);
/// Part of an age by which another may be greater and still count as the same: one in this many.
const AGE_TOLERANCE_DIVISOR: u32 = 4;
/// Time by which it may be greater besides, since agents notice a crash late.
const AGE_TOLERANCE: Duration = Duration::from_millis(200);
/// Crashes in which a task was suspect from which it is given up, if no other run on the worker had just started at the
/// last one.
const SOLE_CRASHES_MAX: usize = 2;
/// The same if some other run had just started as well, or while workers crash without a suspect.
const SUSPECT_CRASHES_MAX: usize = 3;
/// Crashes among these with the run known to have been on the worker: users allow a task to be given up under which two
/// workers have crashed.
const CONFIRMED_CRASHES_MIN: usize = 2;
/// Crashes soon after the start from which a task is given up whatever else happened: users take three more starts after
/// three crashes as too many.
const YOUNG_CRASHES_MAX: usize = 4;
/// Crashes at about the same age from which a task is given up whatever else happened; it crashes workers later in its
/// run.
const ALIKE_CRASHES_MAX: usize = 5;

/// Part of a run in the crash of its worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Blame {
    /// A suspect was beside the run, or it hadn't just started.
    Bystander,
    /// One of several runs that may have crashed the worker.
    Suspect,
    /// The only such run.
    Sole,
}

impl Blame {
    /// Lower-case form, for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Bystander => "bystander",
            Self::Suspect => "suspect",
            Self::Sole => "sole",
        }
    }
}

/// Crash of a worker under a run.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// Time from the start of the run to the crash.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "age_ms")]
    pub age: Duration,
    /// Part of the run in it.
    pub blame: Blame,
    /// Whether the run may not have been on the worker. Versions before 0.6.0 don't tell.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_unconfirmed: bool,
}

/// Crashes under a task that no later run has refuted, by run number.
///
/// Kept by number instead of a count, since an unsettled crash is reported again to the next placer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct CrashHistory(BTreeMap<u64, Crash>);

impl CrashHistory {
    /// Whether no crash is held against the task.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of crashes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the crash under a run is known.
    #[must_use]
    pub fn contains(&self, run: u64) -> bool {
        self.0.contains_key(&run)
    }

    /// Whether the task may be one that crashes workers.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.young() > 1 || self.0.values().any(|crash| crash.blame != Blame::Bystander)
    }

    /// Number of crashes soon after the start.
    fn young(&self) -> usize {
        self.0.values().filter(|crash| crash.age <= SUSPECT_AGE_MAX).count()
    }

    /// Adds a crash, unless it is known; returns whether it was added.
    pub fn add(&mut self, run: u64, crash: Crash) -> bool {
        if self.contains(run) {
            return false;
        }
        self.clear_after(crash.age);
        self.0.insert(run, crash);
        true
    }

    /// Forgets the crashes that a run of this age refutes: the task doesn't crash each worker that early.
    pub fn clear_after(&mut self, age: Duration) {
        self.0.retain(|_, crash| {
            let refuted_from = crash.age.max(SUSPECT_AGE_MAX).saturating_mul(REFUTED_FACTOR).min(REFUTED_MAX);
            age <= refuted_from
        });
    }

    /// Whether the task was suspect in so many crashes that it is given up although workers crash for other reasons too.
    #[must_use]
    pub fn is_certain(&self) -> bool {
        self.suspect().count() >= SUSPECT_CRASHES_MAX
    }

    /// Crashes in which the task was suspect.
    fn suspect(&self) -> impl Iterator<Item = &Crash> {
        self.0.values().filter(|crash| crash.blame != Blame::Bystander)
    }

    /// Whether so many workers crashed under the task as users take for enough to give it up.
    fn is_confirmed(&self) -> bool {
        self.suspect().filter(|crash| !crash.is_unconfirmed).count() >= CONFIRMED_CRASHES_MIN
    }

    /// What the crashes tell of the task.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        let last = self.0.values().next_back().map(|crash| crash.blame);
        let suspect_max = if last == Some(Blame::Sole) { SOLE_CRASHES_MAX } else { SUSPECT_CRASHES_MAX };
        if self.young() >= YOUNG_CRASHES_MAX || (self.len() >= ALIKE_CRASHES_MAX && self.are_ages_alike()) {
            Verdict::GivenUp
        } else if self.suspect().count() >= suspect_max && last != Some(Blame::Bystander) && self.is_confirmed() {
            Verdict::Doubtful
        } else {
            Verdict::Tolerated
        }
    }

    /// Holds the last crash against the task no longer, since other workers crashed at the same time.
    pub fn excuse_last(&mut self) {
        if let Some(mut crash) = self.0.last_entry() {
            crash.get_mut().blame = Blame::Bystander;
        }
    }

    fn are_ages_alike(&self) -> bool {
        let ages = || self.0.values().map(|crash| crash.age);
        let (least, greatest) = (ages().min().unwrap_or_default(), ages().max().unwrap_or_default());
        greatest <= least + least / AGE_TOLERANCE_DIVISOR + AGE_TOLERANCE
    }
}

/// Consequence of the crashes under a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It may start again.
    Tolerated,
    /// It is given up unless the last crash may have another cause: others at the same time, or workers that crash
    /// without a suspect.
    Doubtful,
    /// It is given up.
    GivenUp,
}

/// A run on a worker that crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Victim {
    /// Age of the run.
    pub age: Duration,
    /// Whether its task was suspect before.
    pub is_suspect: bool,
}

/// Part of each run in the crash of a worker.
#[must_use]
pub fn blames(runs: &[Victim]) -> Vec<Blame> {
    let is_young = |run: &Victim| run.age <= SUSPECT_AGE_MAX;
    let has_suspect = runs.iter().any(|run| is_young(run) && run.is_suspect);
    let is_accused = |run: &Victim| is_young(run) && run.is_suspect == has_suspect;
    let blame = if runs.iter().filter(|run| is_young(run)).count() == 1 { Blame::Sole } else { Blame::Suspect };
    runs.iter().map(|run| if is_accused(run) { blame } else { Blame::Bystander }).collect()
}
