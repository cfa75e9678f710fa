//! Jobs as submitted, and the identifiers of their tasks.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::capacity::Resources;
use chervilledge_policy::id::Name;
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, DurationMilliSeconds, SerializeDisplay, serde_as};

/// Hexadecimal digits of a [`JobId`].
const JOB_ID_DIGITS: usize = 16;

/// Limit on the tasks of one occurrence of a job; a larger job is refused before it is stored.
pub const TASKS_MAX: u64 = 10_000;

/// Limit on the steps of a job.
pub const STEPS_MAX: usize = 1_000;

/// Upper bound of a task's estimate and of a latency objective. The work of [`TASKS_MAX`] such tasks still fits into
/// a [`Duration`].
const ESTIMATE_MAX: Duration = Duration::from_hours(365 * 24);

/// Upper bound of a stretch.
const STRETCH_MAX: f64 = 1_000.0;

/// Thousandths of a core.
const MILLICORES: u32 = 1_000;

/// Upper bound of times computed from estimates, which callers choose: sums and multiples of such times can't
/// overflow.
pub(crate) const WORK_MAX: Duration = Duration::from_secs(1 << 40);

/// Identifier that the caller chose for a job.
#[derive(Clone, Copy, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay)]
pub struct JobId(pub u64);

/// Error for a text that isn't a valid identifier.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParseError;

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not an identifier")
    }
}

impl std::error::Error for ParseError {}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_canonical = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != JOB_ID_DIGITS || !text.bytes().all(is_canonical) {
            return Err(ParseError);
        }
        u64::from_str_radix(text, 16).map(Self).or(Err(ParseError))
    }
}

/// Identifier of a task within its job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskKey {
    /// Occurrence of the job, 0 for a job without a schedule.
    pub occurrence: u32,
    /// Position of the step.
    pub step: u32,
    /// Position within the step.
    pub index: u32,
}

/// Identifier of a task.
#[derive(Clone, Copy, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay)]
pub struct TaskId {
    /// Job of the task.
    pub job: JobId,
    /// Task within the job.
    pub key: TaskKey,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.key.occurrence, self.key.step, self.key.index)
    }
}

impl FromStr for TaskId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('.');
        let job = parts.next().ok_or(ParseError)?.parse()?;
        let mut number = || parts.next().and_then(|part| part.parse().ok()).ok_or(ParseError);
        let key = TaskKey { occurrence: number()?, step: number()?, index: number()? };
        if parts.next().is_some() {
            return Err(ParseError);
        }
        Ok(Self { job, key })
    }
}

/// Identical tasks of a job.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
#[expect(clippy::struct_excessive_bools, reason = "each is a property that the caller states or not")]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// What each task needs.
    pub resources: Resources,
    /// Approximate run time of a task, as stated by its owner.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "estimate_ms")]
    pub estimate: Duration,
    /// Steps that must be done first, by position. Each is smaller than the position of this step.
    pub after: Vec<u32>,
    /// Tasks save their progress.
    pub checkpointing: bool,
    /// Tasks can only run together and end together.
    pub gang: bool,
    /// Tasks are slow unless they run in the same rack.
    pub same_rack: bool,
    /// Label that the worker must have.
    pub required_label: Option<Name>,
    /// Rack that holds the data.
    pub data_rack: Option<Name>,
    /// Limit on the tasks of the step and occurrence on one worker.
    pub per_worker_max: Option<u32>,
    /// Copies of a task may run at the same time.
    pub speculative: bool,
    /// Tasks run until the job is cancelled.
    pub lasting: bool,
    /// Program that the tasks run; tasks of the same image behave alike.
    pub image: Option<Name>,
    /// Limit for the tail latency of a serving task's answers.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "latency_target_ms")]
    pub latency_target: Option<Duration>,
    /// Tasks only use processor time that others leave unused; it isn't counted against the worker.
    pub filling: bool,
    /// Limit on the tasks of the step that the scheduler may make unavailable at the same time.
    pub unavailable_max: Option<u32>,
}

/// Times at which a job repeats.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Schedule {
    /// Due time of the first occurrence, in milliseconds since 1970.
    pub first_unix_ms: u64,
    /// Time between two occurrences.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "interval_ms")]
    pub interval: Duration,
    /// Number of occurrences, at least 1.
    pub occurrences: u32,
}

/// Terms that apply to the jobs of a queue.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Terms {
    /// Service whose workers run the tasks.
    pub service: Name,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of a task at which the job fails.
    pub attempts_max: u32,
    /// A job's objective is its longest chain of work times this, plus `latency_objective`.
    pub stretch: f64,
    /// See `stretch`.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "latency_objective_ms")]
    pub latency_objective: Duration,
}

impl Terms {
    /// Limits implausible figures to their upper bounds.
    pub(crate) fn bound(&mut self) {
        self.latency_objective = self.latency_objective.min(ESTIMATE_MAX);
        self.stretch = self.stretch.clamp(0.0, STRETCH_MAX);
    }
}

/// A job as it is stored.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Job {
    /// Identifier.
    pub id: JobId,
    /// Name of the queue.
    pub queue: Name,
    /// Terms of the queue when the job was accepted.
    pub terms: Terms,
    /// Opaque text for the worker.
    pub spec: Arc<str>,
    /// At least one step.
    pub steps: Vec<Step>,
    /// Present when the job repeats.
    pub schedule: Option<Schedule>,
    /// When the job was accepted, by the wall clock of the entry; used for ordering only.
    pub accepted_unix_ms: u64,
}

/// Reason why a job isn't accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// There is no step, or a step without tasks.
    Empty,
    /// A step depends on itself, on a later step or on one that doesn't exist.
    Order,
    /// There are too many tasks or steps.
    Size,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Empty => "a job needs a step, and a step needs a task",
            Self::Order => "a step may only wait for earlier steps",
            Self::Size => "the job has too many tasks",
        })
    }
}

impl std::error::Error for Fault {}

impl Job {
    /// Checks the constraints that the types don't express.
    ///
    /// # Errors
    ///
    /// The first violation.
    pub fn check(&self) -> Result<(), Fault> {
        if self.steps.is_empty() || self.steps.iter().any(|step| step.count == 0) {
            return Err(Fault::Empty);
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > TASKS_MAX || self.steps.len() > STEPS_MAX {
            return Err(Fault::Size);
        }
        for (position, step) in self.steps.iter().enumerate() {
            if step.after.iter().any(|earlier| *earlier as usize >= position) {
                return Err(Fault::Order);
            }
        }
        Ok(())
    }

    /// Limits figures to their upper bounds: sums and multiples of what a caller or an operator may write could
    /// overflow a [`Duration`] or 64 bits.
    pub(crate) fn bound(&mut self) {
        for step in &mut self.steps {
            step.estimate = step.estimate.min(ESTIMATE_MAX);
            let processor = &mut step.resources.processor_millicores;
            *processor = (*processor).min(u64::from(u32::MAX));
        }
        self.terms.bound();
    }

    /// Step of a task, if the job has it.
    #[must_use]
    pub fn step(&self, key: TaskKey) -> Option<&Step> {
        self.steps.get(key.step as usize).filter(|step| key.index < step.count)
    }

    /// Occurrences of the job; 1 without a schedule.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences.max(1))
    }

    /// Due time of an occurrence, in milliseconds since 1970; `None` when the job has no schedule.
    #[must_use]
    pub fn due_unix_ms(&self, occurrence: u32) -> Option<u64> {
        let schedule = self.schedule?;
        let interval_ms = u64::try_from(schedule.interval.as_millis()).unwrap_or(u64::MAX);
        Some(schedule.first_unix_ms.saturating_add(interval_ms.saturating_mul(u64::from(occurrence))))
    }

    /// Whether any step lasts until the job is cancelled.
    #[must_use]
    pub fn is_lasting(&self) -> bool {
        self.steps.iter().any(|step| step.lasting)
    }

    /// Longest chain of estimates of an occurrence.
    #[must_use]
    pub fn chain(&self) -> Duration {
        let estimates: Vec<Duration> = self.steps.iter().map(|step| step.estimate).collect();
        self.chains(&estimates).into_iter().max().unwrap_or_default()
    }

    /// Longest chain from each step to the end, that step included, given the run time of each step's tasks.
    #[must_use]
    pub fn chains(&self, run_times: &[Duration]) -> Vec<Duration> {
        let mut longest = vec![Duration::ZERO; self.steps.len()];
        for position in (0..self.steps.len()).rev() {
            let run_time = run_times.get(position).copied().unwrap_or_default();
            longest[position] = longest[position].saturating_add(run_time).min(WORK_MAX);
            for earlier in &self.steps[position].after {
                let earlier = *earlier as usize;
                longest[earlier] = longest[earlier].max(longest[position]);
            }
        }
        longest
    }

    /// Core time of an occurrence, by its estimates.
    #[must_use]
    pub fn work(&self) -> Duration {
        let work = self.steps.iter().map(|step| step.work().saturating_mul(step.count));
        work.fold(Duration::ZERO, Duration::saturating_add).min(WORK_MAX)
    }
}

impl Step {
    /// Core time of a task, by its estimate.
    #[must_use]
    pub fn work(&self) -> Duration {
        self.work_in(self.estimate)
    }

    /// Core time of a task that takes `run_time`.
    #[must_use]
    pub fn work_in(&self, run_time: Duration) -> Duration {
        let millicores = u32::try_from(self.resources.processor_millicores).unwrap_or(u32::MAX);
        (run_time.saturating_mul(millicores) / MILLICORES).min(WORK_MAX)
    }
}

/// State of a job, as callers see it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// Some task has started.
    Running,
    /// Every task is done.
    Completed,
    /// A task failed as often as it may.
    Failed,
    /// A caller cancelled it.
    Canceled,
}

impl JobState {
    /// Lower-case form, for logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Canceled => "canceled",
        }
    }
}
