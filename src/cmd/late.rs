//! Why completed jobs were late: `chervilledge trace --late`.
//!
//! Everything is taken from the log lines of placers. The lines of a job may lie in several files, in any order, since
//! another placer may have taken over. Memory is bounded: the events of a job are dropped once it is known to be in time,
//! and of late and open jobs a bounded number is kept.

mod causes;
mod report;
mod scan;

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::io::{self, Read};
use std::mem;

use chervilledge_policy::collections::{Map, Set};
use serde::Deserialize;

use causes::{Causes, Event, Kind, Reason};
pub use report::{QueueReport, Report};
pub use scan::BLOCK_BYTES;

/// Most events that are kept of late and open jobs: 50 MB, twice that while lists grow. 1 GB of lines has about 3 million
/// events of all jobs.
pub const EVENTS_MAX: usize = 1 << 21;
/// What a job counts for, in events, beside its own: its place in the map.
const JOB_EVENTS: usize = 4;
/// Identifiers of ended jobs of which further lines are passed over, in each of two generations: 10 MB each. Few lines
/// follow the end of a job, and most within a second.
const ENDED_MAX: usize = 1 << 19;
/// Reason of runs that were stopped for one beyond those that can be numbered.
const OTHER_REASON: &str = "other";
/// Reason of a run whose end no line tells: its worker or agent was lost.
const LOST_REASON: &str = "lost";

/// What is needed of a log line. All four kinds of lines have some of these fields.
#[derive(Debug, Deserialize)]
struct Line<'a> {
    at: &'a str,
    event: &'a str,
    task: Option<&'a str>,
    run: Option<u64>,
    how: Option<&'a str>,
    #[serde(borrow)]
    reason: Option<Cow<'a, str>>,
    job: Option<&'a str>,
    state: Option<&'a str>,
    #[serde(borrow)]
    queue: Option<Cow<'a, str>>,
    age_ms: Option<u64>,
    objective_ms: Option<u64>,
}

/// End of a late job.
#[derive(Clone, Copy, Debug)]
struct End {
    at_ms: u32,
    age_ms: u64,
    objective_ms: u64,
    queue: usize,
}

/// Job that may have been late.
#[derive(Debug, Default)]
struct Job {
    events: Vec<Event>,
    end: Option<End>,
    /// Position in the order in which jobs were first seen.
    number: u64,
}

/// Sums over the completed jobs of a queue that have an objective.
#[derive(Debug, Default)]
struct Queue {
    name: String,
    completed: u64,
    late: u64,
    late_age_ms: u64,
    late_objective_ms: u64,
    causes: Causes,
}

/// Late jobs by queue, from log lines.
#[derive(Debug)]
pub struct Late {
    events_max: usize,
    /// Events of all jobs, and [`JOB_EVENTS`] for each job.
    kept: usize,
    jobs: Map<u64, Job>,
    jobs_seen: u64,
    /// Jobs whose further lines are passed over, the newer generation first.
    ended: [Set<u64>; 2],
    queues: Vec<Queue>,
    reasons: Vec<String>,
    without_objective: u64,
    lines_malformed: u64,
    jobs_dropped: u64,
}

impl Default for Late {
    fn default() -> Self {
        Self::new(EVENTS_MAX)
    }
}

impl Late {
    /// Of no line yet; `events_max` as in [`EVENTS_MAX`].
    #[must_use]
    pub fn new(events_max: usize) -> Self {
        Self {
            events_max,
            kept: 0,
            jobs: Map::default(),
            jobs_seen: 0,
            ended: [Set::default(), Set::default()],
            queues: Vec::new(),
            reasons: Vec::new(),
            without_objective: 0,
            lines_malformed: 0,
            jobs_dropped: 0,
        }
    }

    /// Takes in all lines of a file.
    ///
    /// # Errors
    ///
    /// The first error of the reader.
    pub fn read(&mut self, reader: &mut dyn Read) -> io::Result<()> {
        scan::lines(reader, &mut |line| self.take(line))
    }

    fn take(&mut self, text: &[u8]) {
        let start = text.iter().position(|byte| *byte == b'{').unwrap_or(text.len());
        let line = serde_json::from_slice(&text[start..]).ok();
        // Lines that were cut off, or that another program wrote.
        if line.and_then(|line| self.take_line(&line)).is_none() {
            self.lines_malformed += 1;
        }
    }

    /// `None` when the line lacks something.
    fn take_line(&mut self, line: &Line<'_>) -> Option<()> {
        let at_ms = parse_time(line.at)?;
        if line.event == "job_ended" {
            return self.take_end(line, at_ms);
        }
        let task = Task::parse(line.task?)?;
        if self.ended.iter().any(|ended| ended.contains(&task.job)) {
            return Some(());
        }
        let kind = match (line.event, line.how) {
            ("placed", _) => Kind::Placed,
            ("stop_ordered", _) => match line.reason.as_deref()? {
                // The first order of a stop has its reason.
                "stop_repeated" => return Some(()),
                reason => Kind::StopOrdered(self.reason(reason)),
            },
            ("run_ended", Some("done")) => Kind::Done,
            ("run_ended", Some("failed")) => Kind::Failed,
            ("run_ended", Some(how)) => Kind::Over(self.reason(how)),
            _ => return None,
        };
        let event = Event { at_ms, step: task.step, index: task.index, run: line.run?, kind };
        self.job(task.job).events.push(event);
        self.kept += 1;
        self.limit();
        Some(())
    }

    fn take_end(&mut self, line: &Line<'_>, at_ms: u32) -> Option<()> {
        let (job, state, age_ms) = (parse_job(line.job?)?, line.state?, line.age_ms?);
        // A successor may decide the end again, if the first one wasn't stored.
        let is_known = self.ended.iter().any(|ended| ended.contains(&job))
            || self.jobs.get(&job).is_some_and(|job| job.end.is_some());
        if is_known {
            return Some(());
        }
        let objective_ms = line.objective_ms.filter(|objective_ms| *objective_ms > 0);
        let (true, Some(objective_ms), Some(queue)) = (state == "Completed", objective_ms, line.queue.as_deref())
        else {
            self.without_objective += u64::from(state == "Completed");
            self.forget(job);
            return Some(());
        };
        let queue = self.queue(queue);
        self.queues[queue].completed += 1;
        if age_ms <= objective_ms {
            self.forget(job);
            return Some(());
        }
        self.job(job).end = Some(End { at_ms, age_ms, objective_ms, queue });
        self.limit();
        Some(())
    }

    fn job(&mut self, id: u64) -> &mut Job {
        let (kept, seen) = (&mut self.kept, &mut self.jobs_seen);
        self.jobs.entry(id).or_insert_with(|| {
            *kept += JOB_EVENTS;
            *seen += 1;
            Job { number: *seen, ..Job::default() }
        })
    }

    /// Drops what is known of a job, and passes its further lines over.
    fn forget(&mut self, id: u64) -> Option<Job> {
        if self.ended[0].len() >= ENDED_MAX {
            self.ended.swap(0, 1);
            self.ended[0] = Set::default();
        }
        self.ended[0].insert(id);
        self.remove(id)
    }

    fn remove(&mut self, id: u64) -> Option<Job> {
        let job = self.jobs.remove(&id)?;
        self.kept -= job.events.len() + JOB_EVENTS;
        Some(job)
    }

    /// Keeps to the limit: counts late jobs before all their lines may be known, those first that were seen first. If that
    /// isn't enough, drops what is known of jobs that haven't ended.
    fn limit(&mut self) {
        if self.kept <= self.events_max {
            return;
        }
        let mut order: Vec<(bool, u64, u64)> =
            self.jobs.iter().map(|(id, job)| (job.end.is_none(), job.number, *id)).collect();
        order.sort_unstable();
        for (is_open, _, id) in order {
            // A quarter is freed at once, so that the order isn't made for every line.
            if self.kept <= self.events_max / 4 * 3 {
                break;
            }
            if is_open {
                self.remove(id);
                self.jobs_dropped += 1;
            } else if let Some(job) = self.forget(id) {
                self.count(&job);
            }
        }
    }

    fn count(&mut self, job: &Job) {
        let Some(end) = job.end else { return };
        let queue = &mut self.queues[end.queue];
        queue.late += 1;
        queue.late_age_ms += end.age_ms;
        queue.late_objective_ms += end.objective_ms;
        queue.causes.add(&causes::causes(end.at_ms, end.age_ms, &job.events));
    }

    fn queue(&mut self, name: &str) -> usize {
        self.queues.iter().position(|queue| queue.name == name).unwrap_or_else(|| {
            self.queues.push(Queue { name: name.to_owned(), ..Queue::default() });
            self.queues.len() - 1
        })
    }

    fn reason(&mut self, text: &str) -> Reason {
        let known = self.reasons.iter().position(|reason| reason == text);
        let position = known.unwrap_or_else(|| {
            let position = self.reasons.len();
            if position < usize::from(Reason::MAX) {
                self.reasons.push(text.to_owned());
            }
            position
        });
        Reason::try_from(position).unwrap_or(Reason::MAX)
    }

    /// Counts the jobs that are left, and gives the result.
    #[must_use]
    pub fn finish(mut self) -> Report {
        for job in mem::take(&mut self.jobs).into_values() {
            self.count(&job);
        }
        self.queues.sort_by(|left, right| left.name.cmp(&right.name));
        let queues = mem::take(&mut self.queues);
        let queues = queues.into_iter().map(|queue| self.report(queue)).collect();
        Report {
            queues,
            without_objective: self.without_objective,
            lines_malformed: self.lines_malformed,
            jobs_dropped: self.jobs_dropped,
        }
    }

    fn report(&self, queue: Queue) -> QueueReport {
        let Queue { name, completed, late, late_age_ms, late_objective_ms, causes } = queue;
        let mut stopped_ms: BTreeMap<String, u64> = BTreeMap::new();
        for (reason, time) in &causes.stopped {
            let reason = match reason {
                Some(reason) => self.reasons.get(usize::from(*reason)).map_or(OTHER_REASON, String::as_str),
                None => LOST_REASON,
            };
            *stopped_ms.entry(reason.to_owned()).or_default() += time;
        }
        QueueReport {
            name,
            completed,
            late,
            late_age_ms,
            late_objective_ms,
            waiting_first_ms: causes.waiting_first,
            waiting_again_ms: causes.waiting_again,
            stopped_ms,
            failed_ms: causes.failed,
            beyond_median_ms: causes.beyond_median,
            median_ms: causes.median,
            unexplained_ms: causes.unexplained,
        }
    }
}

/// Task as lines name it: job, occurrence, step, index.
struct Task {
    job: u64,
    step: u16,
    index: u16,
}

impl Task {
    /// Jobs that repeat have no objective, so that the occurrence doesn't matter.
    fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        let job = parse_job(parts.next()?)?;
        let _occurrence: u32 = parts.next()?.parse().ok()?;
        let (step, index) = (parts.next()?.parse().ok()?, parts.next()?.parse().ok()?);
        parts.next().is_none().then_some(Self { job, step, index })
    }
}

fn parse_job(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}

/// Milliseconds of the day, from `HH:MM:SS.mmm`.
fn parse_time(text: &str) -> Option<u32> {
    let mut sum = 0;
    let parts = [(0, 2, 3_600_000), (3, 5, 60_000), (6, 8, 1_000), (9, 12, 1)];
    for (from, to, unit_ms) in parts {
        sum += text.get(from..to)?.parse::<u32>().ok()? * unit_ms;
    }
    Some(sum)
}
