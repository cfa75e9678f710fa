//! Admission of jobs by the work ahead of them.
//!
//! Handles submissions that temporarily exceed the capacity of a cell: a job that can no longer end within three
//! times its objective is refused on submission, so that it takes no capacity from jobs that can. A job that might
//! still be served is admitted, and so is a job about which something isn't known.

use std::collections::VecDeque;
use std::time::Duration;

use chervilledge_policy::id::Name;
use serde::{Deserialize, Serialize};

use crate::job::{Job, Step, Terms};
use crate::urgency::{LATE_FACTOR, objective};

/// Age from which a view of the backlog is ignored: it is sent every 500 ms, and a large job's place in the order
/// changes within a few seconds.
pub const VIEW_AGE_MAX: Duration = Duration::from_secs(2);
/// Time without capacity for a task from which its pool counts as waiting: longer than a filling task waits for a
/// worker where it disturbs nobody, which says nothing about the load.
pub const WAITING_MIN: Duration = Duration::from_secs(2);
/// Time with waiting work over which the rate is measured; a multiple of the longest usual run times.
const RATE_WINDOW: Duration = Duration::from_secs(10);
/// Measured time from which the rate is used; the longest usual runs take about as long.
const RATE_WINDOW_MIN: Duration = Duration::from_secs(3);
/// Longest interval that counts: in a longer one the placer was blocked, and work may have waited for that reason.
const SAMPLE_MAX: Duration = Duration::from_secs(2);
/// Lower bound of the rate, in percent of the cores in use. A lower rate was measured while little could run, for
/// instance beside a task that fits nowhere; work lost with stopped runs is less than that.
const RATE_IN_USE_PERCENT: u32 = 50;
/// Least margin on the time that a job may take, in percent, however accurate the estimates are. Jobs submitted as an
/// overload ends may still be served: with 25%, 5 such jobs were refused in eight overloads of 60 s, with 50% 1.
const MARGIN_MIN_PERCENT: u32 = 50;
/// Spread of run times relative to estimates that is assumed before runs have ended, in percent.
pub const SPREAD_UNKNOWN_PERCENT: u32 = 50;
/// Shortest retry delay of a refused caller; two intervals at which the view may change.
const RETRY_MIN: Duration = Duration::from_millis(500);
/// Longest retry delay: loads change, and a caller that waits longer may leave free capacity unused.
const RETRY_MAX: Duration = Duration::from_secs(10);
/// Shortest period over which retries are spread.
const RETRY_SPREAD_MIN: Duration = Duration::from_secs(1);
/// Largest step between two consecutive slots of an entry, as a fraction of the period over which retries are spread.
/// Multiples of the golden section stay apart for long, so that slots of the next round fall between those of the
/// last.
const SLOT_STEP_MAX: f64 = 0.381_966;

/// Work by the size of the jobs that it belongs to, in core-milliseconds. Position `k` holds the work of all jobs
/// with less than 2^(k+1) left; sizes above the last position add nothing.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct WorkBySize(Vec<u64>);

impl WorkBySize {
    /// Adds work of a job with `size` left.
    pub fn add(&mut self, size: Duration, work: Duration) {
        let class = class(size);
        let largest = self.total();
        if self.0.len() <= class {
            self.0.resize(class + 1, largest);
        }
        self.0[class..].iter_mut().for_each(|sum| *sum = sum.saturating_add(milliseconds(work)));
    }

    /// Work of jobs that go before a job of some size. Work of the job's own class counts in part, as if sizes were
    /// evenly distributed within it.
    #[must_use]
    pub fn ahead(&self, size: Duration) -> Duration {
        let class = class(size);
        let smaller = class.checked_sub(1).map_or(0, |below| self.up_to(below));
        let same = self.up_to(class).saturating_sub(smaller);
        let floor_ms = 1_u64 << class;
        let above_ms = milliseconds(size).saturating_sub(floor_ms).min(floor_ms);
        let part = u128::from(same) * u128::from(above_ms) / u128::from(floor_ms);
        Duration::from_millis(smaller.saturating_add(u64::try_from(part).unwrap_or(u64::MAX)))
    }

    /// Work of all sizes.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0.last().copied().unwrap_or(0)
    }

    fn up_to(&self, class: usize) -> u64 {
        self.0.get(class).copied().unwrap_or_else(|| self.total())
    }
}

/// Binary logarithm of a size in core-milliseconds, rounded down.
fn class(size: Duration) -> usize {
    milliseconds(size).max(1).ilog2() as usize
}

/// Tasks that compete for the same capacity: those of one service, with filling ones in a separate pool, since they
/// aren't counted against workers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pool {
    /// Service of the tasks.
    pub service: Name,
    /// The tasks are filling ones.
    pub is_filling: bool,
    /// A task that could still be useful has had no capacity for [`WAITING_MIN`].
    pub is_waiting: bool,
    /// Rate at which work is completed while some waits, in thousandths of a core; `None` before it is measured.
    pub rate_millicores: Option<u32>,
    /// Work of jobs that can still meet their objective.
    pub in_time: WorkBySize,
    /// Work of jobs that can still end within three times their objective.
    pub late: WorkBySize,
}

/// Accuracy of the estimates of a queue, by its run times.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Estimates {
    /// Name of the queue.
    pub queue: Name,
    /// Ratio of run times to estimates, in percent.
    pub ratio_percent: u32,
    /// Mean deviation of single run times from that ratio, in percent of it.
    pub spread_percent: u32,
}

/// Work ahead of a new job, as known to the placer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Backlog {
    /// Pools with work or a measured rate.
    pub pools: Vec<Pool>,
    /// Queues whose jobs may be refused and that have completed runs.
    pub queues: Vec<Estimates>,
}

impl Backlog {
    /// The part that can lead to a refusal, which is sent to entries; mostly empty.
    #[must_use]
    pub fn refusing(&self) -> Self {
        let is_refusing = |pool: &&Pool| pool.is_waiting && pool.rate_millicores.is_some();
        let pools: Vec<Pool> = self.pools.iter().filter(is_refusing).cloned().collect();
        let queues = if pools.is_empty() { Vec::new() } else { self.queues.clone() };
        Self { pools, queues }
    }
}

/// Whether a queue's jobs may be refused.
#[must_use]
pub fn is_bounded(terms: &Terms) -> bool {
    terms.priority > 0 && (terms.stretch > 0.0 || !terms.latency_objective.is_zero())
}

/// Reason why a job can't be served in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Work that goes before the job, in core time.
    pub ahead: Duration,
    /// Rate at which work is completed, in thousandths of a core.
    pub rate_millicores: u32,
    /// Time until the work ahead is completed.
    pub drain: Duration,
    /// Longest chain of the job.
    pub chain: Duration,
    /// Time within which the job should end, its objective.
    pub objective: Duration,
    /// Time that the job must be expected to exceed to be refused.
    pub limit: Duration,
    /// Time that the job takes at the whole rate.
    pub slot: Duration,
}

/// Decision on a submitted job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The job is admitted.
    Admit,
    /// The job is refused, since it would end too late to be of use.
    Refuse(Refusal),
}

/// Decides about a job by a view of the backlog that is `view_age` old.
///
/// Jobs that repeat, are lasting, need a gang or a certain label, have no objective or have priority 0 are always
/// admitted.
#[must_use]
pub fn decide(backlog: &Backlog, job: &Job, view_age: Duration) -> Decision {
    if view_age > VIEW_AGE_MAX || !is_in_scope(job) {
        return Decision::Admit;
    }
    let concerns = |pool: &&Pool| {
        pool.is_waiting
            && pool.service == job.terms.service
            && job.steps.iter().any(|step| step.filling == pool.is_filling)
    };
    let estimates = backlog.queues.iter().find(|estimates| estimates.queue == job.queue);
    let refusals = backlog.pools.iter().filter(concerns).filter_map(|pool| refusal(pool, job, estimates));
    refusals.max_by_key(|refusal| refusal.drain).map_or(Decision::Admit, Decision::Refuse)
}

fn is_in_scope(job: &Job) -> bool {
    job.schedule.is_none() && is_bounded(&job.terms) && job.steps.iter().all(is_plain)
}

/// Whether tasks of a step wait only for capacity that any worker of their service may have.
#[must_use]
pub fn is_plain(step: &Step) -> bool {
    !step.lasting && !step.gang && step.required_label.is_none()
}

fn refusal(pool: &Pool, job: &Job, estimates: Option<&Estimates>) -> Option<Refusal> {
    let rate_millicores = pool.rate_millicores.filter(|rate| *rate > 0)?;
    let (ratio_percent, spread_percent) = estimates
        .map_or((100, SPREAD_UNKNOWN_PERCENT), |estimates| (estimates.ratio_percent, estimates.spread_percent));
    let size = scale_percent(job.work(), ratio_percent);
    let chain = job.chain();
    // A ratio above 1 extends the objective of the job, but doesn't count as a longer chain.
    let objective = objective(&job.terms, scale_percent(chain, ratio_percent.max(100)));
    let chain = scale_percent(chain, ratio_percent.min(100));
    let margin_percent = 100 + spread_percent.max(MARGIN_MIN_PERCENT);
    let in_time = pool.in_time.ahead(size);
    // Until its objective has passed, the job goes before all late work.
    let is_first = drain(in_time, rate_millicores).saturating_add(chain) <= scale_percent(objective, margin_percent);
    let ahead = in_time.saturating_add(pool.late.ahead(size));
    let drain_all = drain(ahead, rate_millicores);
    let limit = scale_percent(objective.saturating_mul(LATE_FACTOR), margin_percent);
    let slot = drain(size, rate_millicores);
    let is_refused = !is_first && drain_all.saturating_add(chain) > limit;
    is_refused.then_some(Refusal { ahead, rate_millicores, drain: drain_all, chain, objective, limit, slot })
}

/// Time that work takes at a rate, which must be above 0.
fn drain(work: Duration, rate_millicores: u32) -> Duration {
    work.saturating_mul(1_000) / rate_millicores
}

fn scale_percent(duration: Duration, percent: u32) -> Duration {
    duration.saturating_mul(percent) / 100
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Position of an entry among those of its cell that assign retry slots.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntryShare {
    /// Position among the entries.
    pub position: u32,
    /// Number of entries, at least 1.
    pub entries: u32,
}

/// Times at which refused callers are asked to retry; each of n entries assigns every n-th slot.
#[derive(Clone, Debug, Default)]
pub struct RetrySlots {
    next_slot: Duration,
}

impl RetrySlots {
    /// Takes the next slot; returns the time until then.
    ///
    /// The first slot is the time at which a job of this size could be submitted and end within its objective. Slots
    /// follow one another at the rate at which such jobs are completed, over at least half of the time until the work
    /// ahead is completed, and then start over between the previous ones.
    pub fn take(&mut self, refusal: &Refusal, share: EntryShare, now: Duration) -> Duration {
        let spread = (refusal.drain / 2).clamp(RETRY_SPREAD_MIN, RETRY_MAX.saturating_sub(RETRY_MIN));
        let in_objective = refusal.drain.saturating_add(refusal.chain).saturating_sub(refusal.objective);
        let first = now + in_objective.clamp(RETRY_MIN, RETRY_MAX.saturating_sub(spread));
        let entries = share.entries.max(1);
        let step = refusal.slot.saturating_mul(entries).min(spread.mul_f64(SLOT_STEP_MAX));
        let mut at = if self.next_slot < first { first + step * share.position / entries } else { self.next_slot };
        while at > first + spread {
            at -= spread;
        }
        self.next_slot = at + step;
        at.saturating_sub(now).clamp(RETRY_MIN, RETRY_MAX)
    }
}

/// Measures the rate at which the work of a pool is done.
#[derive(Clone, Debug, Default)]
pub struct RateMeter {
    /// Intervals with waiting work, the newest last.
    samples: VecDeque<Sample>,
    /// Work completed since the last sample, in core time.
    done: Duration,
    last_sample: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    elapsed: Duration,
    done: Duration,
    /// Capacity of the workers, in core time.
    capacity: Duration,
}

impl RateMeter {
    /// Counts completed work, in core time.
    pub fn done(&mut self, work: Duration) {
        self.done = self.done.saturating_add(work);
    }

    /// Ends an interval; `millicores` is the capacity of the workers.
    pub fn sample(&mut self, millicores: u32, is_waiting: bool, now: Duration) {
        let done = std::mem::take(&mut self.done);
        let Some(before) = self.last_sample.replace(now) else { return };
        let elapsed = now.saturating_sub(before);
        let capacity = elapsed.saturating_mul(millicores) / 1_000;
        if !is_waiting || capacity.is_zero() || elapsed > SAMPLE_MAX {
            return;
        }
        self.samples.push_back(Sample { elapsed, done, capacity });
        while let Some(oldest) = self.samples.front()
            && self.measured_time().saturating_sub(oldest.elapsed) >= RATE_WINDOW
        {
            self.samples.pop_front();
        }
    }

    fn measured_time(&self) -> Duration {
        self.samples.iter().map(|sample| sample.elapsed).sum()
    }

    /// Rate in thousandths of a core with workers that have `millicores`, of which runs ask for `in_use_millicores`.
    ///
    /// The rate scales with the capacity of the workers, so that a rate measured while some were away doesn't persist
    /// when they are back.
    #[must_use]
    pub fn rate_millicores(&self, millicores: u32, in_use_millicores: u32) -> Option<u32> {
        if self.measured_time() < RATE_WINDOW_MIN {
            return None;
        }
        let done = self.samples.iter().fold(Duration::ZERO, |sum, sample| sum.saturating_add(sample.done));
        let capacity: Duration = self.samples.iter().map(|sample| sample.capacity).sum();
        let measured = (done.as_millis() * u128::from(millicores)).checked_div(capacity.as_millis())?;
        let in_use = u64::from(in_use_millicores) * u64::from(RATE_IN_USE_PERCENT) / 100;
        let rate = u32::try_from(measured.max(u128::from(in_use))).unwrap_or(u32::MAX);
        (rate > 0).then_some(rate)
    }
}
