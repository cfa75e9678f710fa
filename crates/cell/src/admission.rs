//! Admission of jobs by the work that is ahead of them.
//!
//! Answers submissions that exceed for a while what a cell can do: a job that can no longer end within three times its
//! objective is refused when it is submitted, so that it takes no capacity from jobs that can. A job that might still be
//! served is admitted; where something isn't known, the job is admitted too.

use std::collections::VecDeque;
use std::time::Duration;

use chervilledge_policy::id::Name;
use serde::{Deserialize, Serialize};

use crate::job::{Job, Step, Terms};
use crate::urgency::{LATE_FACTOR, objective};

/// Age from which a view of the backlog isn't acted on: it is told every 500 ms, and a large job's place in the order
/// changes within a few seconds.
pub const VIEW_AGE_MAX: Duration = Duration::from_secs(2);
/// Time for which a task has found no capacity before its pool counts as having waiting work: longer than a filling task
/// waits for a worker where it disturbs nobody, which says nothing of the load.
pub const WAITING_MIN: Duration = Duration::from_secs(2);
/// Time with waiting work over which the rate is measured; some lives of the longest usual runs.
const RATE_WINDOW: Duration = Duration::from_secs(10);
/// Measured time from which a rate is used; the longest usual runs take about as long.
const RATE_WINDOW_MIN: Duration = Duration::from_secs(3);
/// Longest interval that counts: in a longer one the placer stood still, and work may have waited for that.
const SAMPLE_MAX: Duration = Duration::from_secs(2);
/// Part of the cores in use that a rate is at least, in percent. A smaller one was measured while little could run, such
/// as beside a task that fits nowhere; work that is lost with stopped runs is less than that.
const RATE_IN_USE_PERCENT: u32 = 50;
/// Least margin on what a job may take, in percent, however well estimates fit. Jobs that are submitted as an overload ends
/// may be served after all: with 25%, 5 such jobs were refused in eight overloads of 60 s, with 50% 1.
const MARGIN_MIN_PERCENT: u32 = 50;
/// Spread of run times relative to estimates that is assumed before runs have ended, in percent.
pub const SPREAD_UNKNOWN_PERCENT: u32 = 50;
/// Shortest time after which a refused caller is asked to come again; two intervals at which the view may change.
const RETRY_MIN: Duration = Duration::from_millis(500);
/// Longest such time: loads change, and a caller that waits longer may find free capacity unused.
const RETRY_MAX: Duration = Duration::from_secs(10);
/// Shortest time over which retries are spread.
const RETRY_SPREAD_MIN: Duration = Duration::from_secs(1);
/// Largest step from one slot of an entry to the next, as a part of the time over which retries are spread. Multiples of
/// the golden section never come near each other soon, so that slots of the next round fall between those of the last.
const SLOT_STEP_MAX: f64 = 0.381_966;

/// Work by the size of the jobs that it belongs to, in core-milliseconds. Position `k` holds the work of all jobs with
/// less than 2^(k+1) left; sizes above the last position add nothing.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct WorkBySize(Vec<u64>);

impl WorkBySize {
    /// Adds work of a job of which `size` is left.
    pub fn add(&mut self, size: Duration, work: Duration) {
        let class = class(size);
        let largest = self.total();
        if self.0.len() <= class {
            self.0.resize(class + 1, largest);
        }
        self.0[class..].iter_mut().for_each(|sum| *sum = sum.saturating_add(milliseconds(work)));
    }

    /// Work that goes before a job of some size. Of the job's own class a part counts, as if sizes were even within it.
    #[must_use]
    pub fn ahead(&self, size: Duration) -> Duration {
        let class = class(size);
        let smaller = class.checked_sub(1).map_or(0, |below| self.upto(below));
        let same = self.upto(class).saturating_sub(smaller);
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

    fn upto(&self, class: usize) -> u64 {
        self.0.get(class).copied().unwrap_or_else(|| self.total())
    }
}

/// Binary logarithm of a size in core-milliseconds, rounded down.
fn class(size: Duration) -> usize {
    milliseconds(size).max(1).ilog2() as usize
}

/// Tasks that compete for the same capacity: those of one service, filling ones apart, since they aren't counted against
/// workers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pool {
    /// Service of the tasks.
    pub service: Name,
    /// The tasks are filling ones.
    pub is_filling: bool,
    /// A task that could still be in time for something has found no capacity for [`WAITING_MIN`].
    pub is_waiting: bool,
    /// Rate at which work is done while some waits, in thousandths of a core; `None` before it is measured.
    pub rate_millicores: Option<u32>,
    /// Work of jobs that can still meet their objective.
    pub in_time: WorkBySize,
    /// Work of jobs that can still end within three times their objective.
    pub late: WorkBySize,
}

/// What run times say of the estimates of a queue.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Estimates {
    /// Name of the queue.
    pub queue: Name,
    /// Run times in percent of estimates.
    pub ratio_percent: u32,
    /// Mean distance of single run times from that, in percent of it.
    pub spread_percent: u32,
}

/// What the placer knows of the work that a new job would find.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Backlog {
    /// Pools with work or a measured rate.
    pub pools: Vec<Pool>,
    /// Queues whose jobs may be refused and of which runs have ended.
    pub queues: Vec<Estimates>,
}

impl Backlog {
    /// The part that can lead to a refusal, which is what entries are told; mostly empty.
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

/// Why a job can't be served in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Work that goes before the job, in core time.
    pub ahead: Duration,
    /// Rate at which it is done, in thousandths of a core.
    pub rate_millicores: u32,
    /// Time until the work ahead is done.
    pub drain: Duration,
    /// Longest chain of the job.
    pub chain: Duration,
    /// Time within which the job should end.
    pub objective: Duration,
    /// Time that it would have to exceed to be refused.
    pub limit: Duration,
    /// Time for which the job itself would take the whole rate.
    pub slot: Duration,
}

/// What becomes of a job that was submitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It is taken.
    Admit,
    /// It would end later than any use of it.
    Refuse(Refusal),
}

/// Decides about a job on a view of the backlog that is `view_age` old.
///
/// Jobs that repeat, last, need a gang or a certain label, have no objective or are of priority 0 are always admitted.
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

/// Whether tasks of a step wait for nothing but capacity that any worker of their service may have.
#[must_use]
pub fn is_plain(step: &Step) -> bool {
    !step.lasting && !step.gang && step.required_label.is_none()
}

fn refusal(pool: &Pool, job: &Job, estimates: Option<&Estimates>) -> Option<Refusal> {
    let rate_millicores = pool.rate_millicores.filter(|rate| *rate > 0)?;
    let (ratio_percent, spread_percent) = estimates
        .map_or((100, SPREAD_UNKNOWN_PERCENT), |estimates| (estimates.ratio_percent, estimates.spread_percent));
    let size = percent(job.work(), ratio_percent);
    let chain = job.chain();
    // What makes runs longer than estimates gives the job more time, but isn't held against it.
    let objective = objective(&job.terms, percent(chain, ratio_percent.max(100)));
    let chain = percent(chain, ratio_percent.min(100));
    let margin_percent = 100 + spread_percent.max(MARGIN_MIN_PERCENT);
    let in_time = pool.in_time.ahead(size);
    // Until its objective has passed, the job goes before everything that is late.
    let is_first = drain(in_time, rate_millicores).saturating_add(chain) <= percent(objective, margin_percent);
    let ahead = in_time.saturating_add(pool.late.ahead(size));
    let drain_all = drain(ahead, rate_millicores);
    let limit = percent(objective.saturating_mul(LATE_FACTOR), margin_percent);
    let slot = drain(size, rate_millicores);
    let is_refused = !is_first && drain_all.saturating_add(chain) > limit;
    is_refused.then_some(Refusal { ahead, rate_millicores, drain: drain_all, chain, objective, limit, slot })
}

/// Time that work takes at a rate above 0.
fn drain(work: Duration, rate_millicores: u32) -> Duration {
    work.saturating_mul(1_000) / rate_millicores
}

fn percent(duration: Duration, percent: u32) -> Duration {
    duration.saturating_mul(percent) / 100
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Which of a cell's entries assigns a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntryShare {
    /// Position among the entries.
    pub position: u32,
    /// Number of entries, at least 1.
    pub entries: u32,
}

/// Slots in which refused callers are asked to come again; each entry assigns every n-th of them.
#[derive(Clone, Debug, Default)]
pub struct RetrySlots {
    next: Duration,
}

impl RetrySlots {
    /// Takes the next slot; tells the time until then.
    ///
    /// The first slot is where a job of the size would end within its objective. Slots follow one another as fast as such
    /// jobs are done, over at least half of the time in which the work ahead is done, and then start over between the
    /// former ones.
    pub fn take(&mut self, refusal: &Refusal, share: EntryShare, now: Duration) -> Duration {
        let spread = (refusal.drain / 2).clamp(RETRY_SPREAD_MIN, RETRY_MAX.saturating_sub(RETRY_MIN));
        let in_objective = refusal.drain.saturating_add(refusal.chain).saturating_sub(refusal.objective);
        let first = now + in_objective.clamp(RETRY_MIN, RETRY_MAX.saturating_sub(spread));
        let entries = share.entries.max(1);
        let step = refusal.slot.saturating_mul(entries).min(spread.mul_f64(SLOT_STEP_MAX));
        let mut at = if self.next < first { first + step * share.position / entries } else { self.next };
        while at > first + spread {
            at -= spread;
        }
        self.next = at + step;
        at.saturating_sub(now).clamp(RETRY_MIN, RETRY_MAX)
    }
}

/// Measures the rate at which the work of a pool is done.
#[derive(Clone, Debug, Default)]
pub struct RateMeter {
    /// Intervals in which work waited, the newest last.
    samples: VecDeque<Sample>,
    /// Work that was done since the last sample, in core time.
    done: Duration,
    sampled: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    elapsed: Duration,
    done: Duration,
    /// Capacity of the workers, in core time.
    capacity: Duration,
}

impl RateMeter {
    /// Counts work that was done, in core time.
    pub fn done(&mut self, work: Duration) {
        self.done = self.done.saturating_add(work);
    }

    /// Ends an interval; `millicores` is what the workers have.
    pub fn sample(&mut self, millicores: u32, is_waiting: bool, now: Duration) {
        let done = std::mem::take(&mut self.done);
        let Some(before) = self.sampled.replace(now) else { return };
        let elapsed = now.saturating_sub(before);
        let capacity = elapsed.saturating_mul(millicores) / 1_000;
        if !is_waiting || capacity.is_zero() || elapsed > SAMPLE_MAX {
            return;
        }
        self.samples.push_back(Sample { elapsed, done, capacity });
        while let Some(oldest) = self.samples.front()
            && self.measured().saturating_sub(oldest.elapsed) >= RATE_WINDOW
        {
            self.samples.pop_front();
        }
    }

    fn measured(&self) -> Duration {
        self.samples.iter().map(|sample| sample.elapsed).sum()
    }

    /// Rate in thousandths of a core with workers that have `millicores`, of which runs ask for `in_use_millicores`.
    ///
    /// The rate goes with the capacity of the workers, so that what was measured while some were away doesn't stand when
    /// they are back.
    #[must_use]
    pub fn rate_millicores(&self, millicores: u32, in_use_millicores: u32) -> Option<u32> {
        if self.measured() < RATE_WINDOW_MIN {
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
