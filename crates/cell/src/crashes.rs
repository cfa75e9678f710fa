//! Crashes of workers under a task: which of the runs on a worker is to blame, and when a task is given up.
//!
//! A crash ends every run on its worker, and none of them reports an end. Most tasks that crash workers do so soon after
//! each of their starts, so the age of a run tells whether it is suspect, and a suspect is started beside no other
//! suspect: the next crash under it then has one suspect only. A run that lives well beyond the crashes under its task
//! refutes them.
//!
//! A task may also crash its workers late in its run, or at random. What tells such a task from those beside it is that
//! every one of its runs ends in a crash: crashes in a row count whatever their ages, but for those with another cause.

use std::collections::BTreeMap;
use std::ops::Bound;
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
/// Life of a run that clears its task of earlier crashes even if it ends in a crash as well: a task that lasts sees
/// crashes with other causes in its life.
const LONG_LIFE: Duration = Duration::from_mins(2);
/// Crashes in which a task was suspect from which it is given up, if no other run on the worker had just started at the
/// last one.
const SOLE_CRASHES_MAX: usize = 2;
/// The same if some other run had just started as well, or while workers crash without a suspect.
const SUSPECT_CRASHES_MAX: usize = 3;
/// Crashes among these with the run known to have been on the worker: users allow a task to be given up under which two
/// workers have crashed.
const CONFIRMED_CRASHES_MIN: usize = 2;
/// Crashes soon after the start from which a task is given up whatever else happened.
const YOUNG_CRASHES_MAX: usize = 4;
/// Crashes in a row from which a task is given up, whatever their ages, unless several have another cause.
const REPEATED_CRASHES_MAX: usize = 4;
/// Crashes without another cause among these: one may coincide with others by chance.
const UNEXCUSED_CRASHES_MIN: usize = 3;
/// Crashes in a row from which a task is given up whatever their ages and causes: users take three more starts after
/// three crashes as too many.
const CRASHES_MAX: usize = 5;
/// Probability below which crashes in a row aren't taken for those that any task meets: less than one in the runs of a
/// day.
const IMPROBABLE: f64 = 1e-7;
/// Crashes in a row without another cause from which a task is kept apart from others like it.
const REPEATED_CRASHES_MIN: usize = 2;

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
    /// Whether the crash is put down to another cause. Versions before 0.7.0 don't tell.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_excused: bool,
}

impl Crash {
    /// Life of another run of the task that refutes that the task crashes each worker so early; at most `longest`.
    fn refuted_from(&self, longest: Duration) -> Duration {
        self.age.max(SUSPECT_AGE_MAX).saturating_mul(REFUTED_FACTOR).min(longest)
    }
}

/// Crashes in a row under a task, by run number: none of its runs since the first one has refuted them.
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

    /// Whether the task may be one that crashes workers soon after its start.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.young() > 1 || self.suspect().next().is_some()
    }

    /// Number of crashes without another cause if the task may be one that crashes workers at any age; else 0.
    #[must_use]
    pub fn repeated(&self) -> usize {
        Some(self.unexcused()).filter(|crashes| *crashes >= REPEATED_CRASHES_MIN).unwrap_or(0)
    }

    /// Whether the task is given up at its next crash, whatever the cause.
    #[must_use]
    pub fn is_last_attempt(&self) -> bool {
        self.len() + 1 >= CRASHES_MAX
    }

    /// Age of the first crashed run.
    #[must_use]
    pub fn first_age(&self) -> Duration {
        self.0.values().next().map_or(Duration::ZERO, |crash| crash.age)
    }

    /// Number of crashes that aren't put down to another cause.
    #[must_use]
    pub fn unexcused(&self) -> usize {
        self.0.values().filter(|crash| !crash.is_excused).count()
    }

    /// Crashes that no later run has outlived, although it ended in a crash as well: the task doesn't crash each worker
    /// that early.
    fn not_outlived(&self) -> impl Iterator<Item = &Crash> {
        let longest_after = |run: u64| {
            let later = self.0.range((Bound::Excluded(run), Bound::Unbounded));
            later.map(|(_, crash)| crash.age).max().unwrap_or_default()
        };
        let is_standing = move |(run, crash): &(&u64, &Crash)| longest_after(**run) <= crash.refuted_from(REFUTED_MAX);
        self.0.iter().filter(is_standing).map(|(_, crash)| crash)
    }

    /// Number of crashes soon after the start.
    fn young(&self) -> usize {
        self.not_outlived().filter(|crash| crash.age <= SUSPECT_AGE_MAX).count()
    }

    /// Adds a crash, unless it is known; returns whether it was added.
    pub fn add(&mut self, run: u64, crash: Crash) -> bool {
        if self.contains(run) {
            return false;
        }
        if crash.age >= LONG_LIFE {
            self.0.clear();
        }
        self.0.insert(run, crash);
        true
    }

    /// Forgets the crashes that a run which lived for `age` and didn't crash its worker refutes.
    pub fn clear_after(&mut self, age: Duration) {
        self.0.retain(|_, crash| age <= crash.refuted_from(LONG_LIFE));
    }

    /// Whether a suspect is given up although workers crash for other reasons too.
    #[must_use]
    pub fn is_certain(&self) -> bool {
        self.suspect().count() >= SUSPECT_CRASHES_MAX
    }

    /// Crashes in which the task was suspect.
    fn suspect(&self) -> impl Iterator<Item = &Crash> {
        self.not_outlived().filter(|crash| crash.blame != Blame::Bystander)
    }

    /// Whether the task was suspect in the last crash, and often enough to be given up.
    #[must_use]
    pub fn is_suspect_again(&self) -> bool {
        let last = self.0.values().next_back().map(|crash| crash.blame);
        let suspect_max = if last == Some(Blame::Sole) { SOLE_CRASHES_MAX } else { SUSPECT_CRASHES_MAX };
        self.suspect().count() >= suspect_max && last != Some(Blame::Bystander) && are_confirmed(self.suspect())
    }

    /// Whether the task crashes workers soon after its start, whatever else happened.
    #[must_use]
    pub fn is_always_young(&self) -> bool {
        self.young() >= YOUNG_CRASHES_MAX
    }

    /// Whether an innocent task would have met so many crashes with a probability below [`IMPROBABLE`] where a worker
    /// crashes `rate` times a second.
    #[must_use]
    pub fn are_improbable(&self, rate: f64) -> bool {
        let lived = self.0.values().map(|crash| crash.age).fold(Duration::ZERO, Duration::saturating_add);
        let mean = rate * lived.as_secs_f64();
        // Terms of a Poisson distribution.
        let (mut term, mut fewer) = ((-mean).exp(), 0.0);
        for (crashes, _) in (1_u32..).zip(&self.0) {
            fewer += term;
            term *= mean / f64::from(crashes);
        }
        1.0 - fewer < IMPROBABLE
    }

    fn is_repeated_often(&self) -> bool {
        self.len() >= REPEATED_CRASHES_MAX
            && self.unexcused() >= UNEXCUSED_CRASHES_MIN
            && are_confirmed(self.0.values())
    }

    /// What the crashes tell of the task.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        if self.is_always_young() || self.len() >= CRASHES_MAX {
            Verdict::GivenUp
        } else if self.is_suspect_again() || self.is_repeated_often() {
            Verdict::Doubtful
        } else {
            Verdict::Tolerated
        }
    }

    /// Holds the last crash against the task no longer, since other workers crashed at the same time.
    pub fn excuse_last(&mut self) {
        if let Some(mut crash) = self.0.last_entry() {
            crash.get_mut().blame = Blame::Bystander;
            crash.get_mut().is_excused = true;
        }
    }

    /// Forgets the crash under a run that was a bystander in it; returns whether it was one.
    pub fn forget_bystander(&mut self, run: u64) -> bool {
        self.0.extract_if(.., |known, crash| *known == run && crash.blame == Blame::Bystander).next().is_some()
    }

    /// Puts the crash under a run down to another cause; returns whether that is new. The run stays suspect of having
    /// crashed its worker soon after its start.
    pub fn excuse(&mut self, run: u64) -> bool {
        self.0.get_mut(&run).is_some_and(|crash| !std::mem::replace(&mut crash.is_excused, true))
    }
}

/// Whether so many of the crashes are confirmed as users take for enough to give a task up.
fn are_confirmed<'a>(crashes: impl Iterator<Item = &'a Crash>) -> bool {
    crashes.filter(|crash| !crash.is_unconfirmed).count() >= CONFIRMED_CRASHES_MIN
}

/// Consequence of the crashes under a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It may start again.
    Tolerated,
    /// It is given up unless the last crash may have another cause: others at the same time, or workers that crash
    /// without a suspect.
    Doubtful,
    /// It is given up; a lasting one whose runs crashed late only if crashes elsewhere don't explain its own.
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
