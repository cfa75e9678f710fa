//! What the time of one job was spent on, from what its log lines tell.
//!
//! The times of all causes add up to the job's age.

use std::collections::BTreeMap;

use chervilledge_policy::collections::Map;

/// Tolerance when an end and the start that follows it were logged by two placers, whose clocks may differ.
const CLOCK_TOLERANCE_MS: i64 = 50;
/// Milliseconds of a day: times of log lines have no date.
const DAY_MS: i64 = 24 * 60 * 60 * 1_000;

/// Position of a reason in the list that the caller keeps.
pub type Reason = u8;

/// What a log line tells of a run.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// It was ordered.
    Placed,
    /// Its stop was ordered.
    StopOrdered(Reason),
    /// It is over, and the task is done.
    Done,
    /// It is over, and has failed.
    Failed,
    /// It is over in another way; the reason stands for that way.
    Over(Reason),
}

/// Log line of a run. It is kept small, since many are kept.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Event {
    /// Time of the day, in milliseconds.
    pub at_ms: u32,
    /// Step of the task.
    pub step: u16,
    /// Position of the task within the step.
    pub index: u16,
    /// Number of the run.
    pub run: u64,
    /// What happened.
    pub kind: Kind,
}

/// Sums of what time was spent on, in milliseconds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Causes {
    /// Waiting for a first run.
    pub waiting_first: u64,
    /// Waiting after a run that didn't do the task.
    pub waiting_again: u64,
    /// In runs that were stopped or lost, by reason; `None` for runs whose end isn't known.
    pub stopped: BTreeMap<Option<Reason>, u64>,
    /// In runs that failed.
    pub failed: u64,
    /// In the run that did the task, beyond the median of its step.
    pub beyond_median: u64,
    /// In the run that did the task, up to the median of its step.
    pub median: u64,
    /// What the lines don't explain.
    pub unexplained: u64,
}

impl Causes {
    /// Adds those of another job.
    pub fn add(&mut self, other: &Self) {
        self.waiting_first += other.waiting_first;
        self.waiting_again += other.waiting_again;
        for (reason, time) in &other.stopped {
            *self.stopped.entry(*reason).or_default() += time;
        }
        self.failed += other.failed;
        self.beyond_median += other.beyond_median;
        self.median += other.median;
        self.unexplained += other.unexplained;
    }
}

/// Run of a task. Times are milliseconds since the job was submitted.
#[derive(Clone, Copy, Debug, Default)]
struct Run {
    start: Option<i64>,
    end: Option<i64>,
    is_done: bool,
    has_failed: bool,
    reason: Option<Reason>,
}

/// Step of a job.
#[derive(Clone, Debug, Default)]
struct Step {
    first_start: Option<i64>,
    /// The task that ended last and its run that did it.
    last: Option<(u16, Run)>,
    median: i64,
}

/// Breaks the time of a job down that was `age_ms` old when it ended at `ended_at_ms` of the day.
///
/// Steps are followed back from the one that ended last: a step began when the last of the others ended that had ended
/// before its first run was ordered. Lines don't tell which step waits for which.
#[must_use]
pub fn causes(ended_at_ms: u32, age_ms: u64, events: &[Event]) -> Causes {
    let age = i64::try_from(age_ms).unwrap_or(i64::MAX);
    let tasks = runs(ended_at_ms, age, events);
    let steps = steps(&tasks);
    let mut causes = Causes::default();
    let mut until = age;
    let mut step = steps.iter().filter_map(|(step, state)| Some((state.last?.1.end?, *step))).max();
    while let Some((end, number)) = step {
        let state = &steps[&number];
        let Some((task, run)) = state.last else { break };
        causes.unexplained += whole(until - end);
        until = until.min(end).max(0);
        let former = former_step(&steps, number, end);
        let first_start = state.first_start.unwrap_or(end);
        let begin = former.map_or(0, |(end, _)| end).min(first_start).clamp(0, until);
        divide(&mut causes, &tasks[&(number, task)], &run, state.median, (begin, until));
        until = begin;
        step = former;
    }
    causes.unexplained += whole(until);
    causes
}

/// Step that ended last before the first run of another one.
fn former_step(steps: &Map<u16, Step>, number: u16, end: i64) -> Option<(i64, u16)> {
    let limit = steps[&number].first_start? + CLOCK_TOLERANCE_MS;
    let ends = steps.iter().filter_map(|(step, state)| Some((state.last?.1.end?, *step)));
    // Ends get smaller with each step that is followed, so that this comes to an end.
    ends.filter(|(other, _)| *other <= limit && *other < end).max()
}

/// Divides the time of a task from the moment when its step began until its end.
fn divide(causes: &mut Causes, runs: &[Run], last: &Run, median: i64, (begin, end): (i64, i64)) {
    let last_start = last.start.unwrap_or(end).clamp(begin, end);
    let mut now = begin;
    let mut is_first = true;
    let started: Vec<(i64, &Run)> = runs.iter().filter_map(|run| Some((run.start?, run))).collect();
    for (at, (start, run)) in started.iter().enumerate() {
        if *start >= last_start {
            break;
        }
        wait(causes, &mut is_first, start - now);
        let next = started.get(at + 1).map_or(last_start, |(next, _)| *next);
        let until = run.end.unwrap_or(next).min(last_start);
        now = now.max(*start);
        let time = whole(until - now);
        if run.has_failed {
            causes.failed += time;
        } else {
            *causes.stopped.entry(run.reason).or_default() += time;
        }
        now = now.max(until);
    }
    if last.start.is_none() {
        causes.unexplained += whole(end - now);
        return;
    }
    wait(causes, &mut is_first, last_start - now);
    let time = end - last_start;
    let in_median = time.min(median);
    causes.median += whole(in_median);
    causes.beyond_median += whole(time - in_median);
}

fn wait(causes: &mut Causes, is_first: &mut bool, time: i64) {
    let sum = if *is_first { &mut causes.waiting_first } else { &mut causes.waiting_again };
    *sum += whole(time);
    *is_first = false;
}

/// Runs of each task, in the order in which they were ordered.
fn runs(ended_at_ms: u32, age: i64, events: &[Event]) -> Map<(u16, u16), Vec<Run>> {
    let mut known: BTreeMap<(u16, u16, u64), Run> = BTreeMap::new();
    let mut events: Vec<(i64, &Event)> =
        events.iter().map(|event| (age - before(ended_at_ms, event.at_ms), event)).collect();
    events.sort_unstable();
    for (at, event) in events {
        let run = known.entry((event.step, event.index, event.run)).or_default();
        match event.kind {
            Kind::Placed => run.start = run.start.or(Some(at)),
            Kind::StopOrdered(reason) => run.reason = run.reason.or(Some(reason)),
            Kind::Done | Kind::Failed | Kind::Over(_) if run.end.is_some() => {}
            kind => {
                run.end = Some(at);
                run.is_done = kind == Kind::Done;
                run.has_failed = kind == Kind::Failed;
                if let Kind::Over(reason) = kind {
                    run.reason = run.reason.or(Some(reason));
                }
            }
        }
    }
    let mut tasks: Map<(u16, u16), Vec<Run>> = Map::default();
    for ((step, index, _), run) in known {
        tasks.entry((step, index)).or_default().push(run);
    }
    for runs in tasks.values_mut() {
        runs.sort_by_key(|run| run.start);
    }
    tasks
}

fn steps(tasks: &Map<(u16, u16), Vec<Run>>) -> Map<u16, Step> {
    let mut steps: Map<u16, Step> = Map::default();
    let mut times: Map<u16, Vec<i64>> = Map::default();
    for ((step, index), runs) in tasks {
        let state = steps.entry(*step).or_default();
        let first = runs.iter().filter_map(|run| run.start).min();
        state.first_start = [state.first_start, first].into_iter().flatten().min();
        let done = runs.iter().filter(|run| run.is_done).min_by_key(|run| run.end);
        let Some(done) = done.copied() else { continue };
        let rank = |(index, run): &(u16, Run)| (run.end, *index);
        let candidate = (*index, done);
        if state.last.as_ref().is_none_or(|last| rank(last) < rank(&candidate)) {
            state.last = Some(candidate);
        }
        if let (Some(start), Some(end)) = (done.start, done.end) {
            // Clocks of two placers may put the end first.
            times.entry(*step).or_default().push((end - start).max(0));
        }
    }
    for (step, mut times) in times {
        times.sort_unstable();
        // Of two in the middle the shorter one: in a step of two tasks the other one is the measure of the last.
        let median = times[(times.len() - 1) / 2];
        steps.entry(step).or_default().median = median;
    }
    steps
}

/// Time from `at_ms` to `end_ms` of the day; negative after the end. Jobs are younger than half a day.
fn before(end_ms: u32, at_ms: u32) -> i64 {
    (i64::from(end_ms) - i64::from(at_ms) + DAY_MS / 2).rem_euclid(DAY_MS) - DAY_MS / 2
}

fn whole(time: i64) -> u64 {
    u64::try_from(time).unwrap_or(0)
}
