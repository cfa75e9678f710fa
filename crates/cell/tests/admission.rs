//! Which jobs are refused because of the work ahead of them, and when their callers are asked to retry.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::admission::{
    Backlog, Decision, EntryShare, Pool, RateMeter, Refusal, RetrySlots, WorkBySize, decide,
};
use chervilledge_cell::cell::{Action, Note};
use chervilledge_cell::configuration::{Configuration, Queue};
use chervilledge_cell::job::{Job, JobId, Schedule, Step, TaskId};
use chervilledge_cell::urgency::{LATE_FACTOR, objective};
use chervilledge_cell::worker::{EndKind, RunReport};
use chervilledge_policy::id::Name;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use support::{World, configuration, job, name, step};

const TICK_MS: u64 = 100;
/// Time during which jobs are submitted, and time by which they may end.
const SUBMITTED_MS: u64 = 60_000;
const ENDED_MS: u64 = 90_000;
const VIEW_MS: u64 = 500;
/// Workers of 16 cores: 320 core-seconds a second.
const WORKERS: usize = 20;

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Jobs of a small queue (7% of the cell) and of a large one, with their times of submission.
fn submissions(seed: u64, large_every_ms: u64) -> Vec<(u64, Job)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut jobs = Vec::new();
    for at in (0..SUBMITTED_MS).step_by(300) {
        jobs.push((at, Job { queue: name("small"), ..job(1_000_000 + at, vec![step(6, 1_800)]) }));
    }
    let mut at = 0;
    while at < SUBMITTED_MS {
        at += rng.random_range(1..2 * large_every_ms);
        jobs.push((at, large(rng.random(), rng.random_range(10..30))));
    }
    jobs.sort_by_key(|(at, _)| *at);
    jobs
}

fn large(id: u64, tasks: u32) -> Job {
    let first = Step { estimate: Duration::from_millis(2_200), ..step(tasks, 4_000) };
    let second = Step { after: vec![0], ..first.clone() };
    let mut job = Job { queue: name("large"), ..job(id, vec![first, second]) };
    job.terms.priority = 2;
    job.terms.latency_objective = Duration::from_secs(1);
    job
}

/// Outcome of the jobs: age at the end, or time and reason of the refusal.
#[derive(Default)]
struct Outcomes {
    ages: BTreeMap<JobId, Duration>,
    refused: BTreeMap<JobId, (u64, Refusal)>,
}

/// Simulates a cell that processes the submissions; refused jobs aren't submitted again.
fn simulate(submissions: &[(u64, Job)], is_admitting: bool) -> Outcomes {
    let mut world = World::with_workers(WORKERS, 16_000);
    let mut both = configuration();
    both.version = 2;
    for queue in [large(0, 1), Job { queue: name("small"), ..job(0, Vec::new()) }] {
        both.queues.push(Queue { name: queue.queue, terms: queue.terms, ..both.queues[0].clone() });
    }
    world.cell.configure(Arc::new(both));
    let mut outcomes = Outcomes::default();
    let mut rng = SmallRng::seed_from_u64(7);
    let mut running: BTreeMap<(TaskId, u64), (Name, Duration, Duration)> = BTreeMap::new();
    let mut arriving = submissions.iter().peekable();
    let mut view = (Arc::new(Backlog::default()), 0);
    for at in (0..ENDED_MS).step_by(usize::try_from(TICK_MS).unwrap_or(1)) {
        world.advance_ms(TICK_MS);
        let over: Vec<_> =
            running.iter().filter(|(_, (_, _, until))| *until <= world.now).map(|(run, _)| *run).collect();
        for (task, run) in over {
            let (agent, ..) = running.remove(&(task, run)).expect("a run");
            world.end(&agent, task, run, EndKind::Done);
        }
        if at % VIEW_MS == 0 {
            let reports: Vec<RunReport> = running.iter().map(|(id, times)| report(*id, times, world.now)).collect();
            world.cell.runs_reported(&reports, world.now);
            world.cell.sample_backlog(world.now);
            view = (Arc::clone(world.cell.backlog()), at);
        }
        while let Some((_, job)) = arriving.next_if(|(due, _)| *due <= at) {
            let age = Duration::from_millis(at - view.1);
            match decide(&view.0, job, age) {
                Decision::Refuse(refusal) if is_admitting => {
                    outcomes.refused.insert(job.id, (at, refusal));
                }
                Decision::Refuse(_) | Decision::Admit => world.submit(job.clone()),
            }
        }
        world.cell.place(world.now);
        for action in world.cell.take_actions() {
            if let Action::Start { agent, order, .. } = &action {
                let step = &submissions.iter().find(|(_, job)| job.id == order.task.job).expect("a job").1.steps[0];
                let until = world.now + step.estimate.mul_f64(rng.random_range(0.7..1.4));
                running.insert((order.task, order.run), (Arc::clone(agent), world.now, until));
            }
            world.carry_out(&action);
        }
        for note in world.cell.take_notes() {
            if let Note::JobEnded { job, age, .. } = note {
                outcomes.ages.insert(job, age);
            }
        }
    }
    outcomes
}

fn report((task, run): (TaskId, u64), (_, began, until): &(Name, Duration, Duration), now: Duration) -> RunReport {
    let done = now.saturating_sub(*began).as_millis() * 100 / until.saturating_sub(*began).as_millis();
    let percent = u32::try_from(done).unwrap_or(100);
    RunReport { task, run, checkpoint: name(""), percent, measured: 0, pace_percent: 100 }
}

fn ended_within(outcomes: &Outcomes, job: &Job, factor: u32) -> bool {
    let objective = objective(&job.terms, job.chain());
    outcomes.ages.get(&job.id).is_some_and(|age| *age <= objective * factor)
}

fn count_ended_in_time(outcomes: &Outcomes, jobs: &[(u64, Job)], queue: &str) -> usize {
    jobs.iter().filter(|(_, job)| &*job.queue == queue && ended_within(outcomes, job, 1)).count()
}

/// Fails if jobs are refused that would have been served, if nothing is refused in an overload, or if refusals cost
/// jobs of priority 0.
#[rstest]
#[case(1, false)]
#[case(2, false)]
#[case(3, true)]
fn refused_jobs_would_have_been_of_no_use(#[case] seed: u64, #[case] is_filling: bool) {
    let mut jobs = submissions(seed, 300);
    for (_, job) in jobs.iter_mut().filter(|(_, job)| &*job.queue == "large") {
        job.steps.iter_mut().for_each(|step| step.filling = is_filling);
    }
    let (all, admitted) = (simulate(&jobs, false), simulate(&jobs, true));
    let refused: Vec<&Job> =
        jobs.iter().map(|(_, job)| job).filter(|job| admitted.refused.contains_key(&job.id)).collect();
    let useful = refused.iter().filter(|job| ended_within(&all, job, LATE_FACTOR)).count();
    println!("{} of {} refused, {useful} of them would have been of use", refused.len(), jobs.len());
    println!(
        "large in time: {} without refusals, {} with",
        count_ended_in_time(&all, &jobs, "large"),
        count_ended_in_time(&admitted, &jobs, "large")
    );
    assert!(refused.len() >= 20, "only {} jobs were refused", refused.len());
    assert!(useful * 20 <= refused.len(), "{useful} of {} refused jobs would have been of use", refused.len());
    assert!(refused.iter().all(|job| job.terms.priority > 0), "a job of priority 0 was refused");
    let small = jobs.iter().filter(|(_, job)| &*job.queue == "small").count();
    assert_eq!(count_ended_in_time(&admitted, &jobs, "small"), small);
}

/// Fails if jobs are refused although the cell keeps up with the submissions.
#[test]
fn nothing_is_refused_without_overload() {
    assert!(simulate(&submissions(1, 1_500), true).refused.is_empty());
}

fn overloaded() -> Backlog {
    let mut in_time = WorkBySize::default();
    in_time.add(seconds(100), seconds(30_000));
    let pool = Pool {
        service: name(support::SERVICE),
        is_filling: false,
        is_waiting: true,
        rate_millicores: Some(320_000),
        in_time,
        late: WorkBySize::default(),
    };
    Backlog { pools: vec![pool], queues: Vec::new() }
}

/// Fails if a job is refused although something isn't known, or although this backlog doesn't decide when it ends.
#[rstest]
#[case::refused(|_: &mut Backlog, _: &mut Job| (), 2_000, false)]
#[case::old_view(|_: &mut Backlog, _: &mut Job| (), 2_001, true)]
#[case::no_rate(|backlog: &mut Backlog, _: &mut Job| backlog.pools[0].rate_millicores = None, 0, true)]
#[case::nothing_waits(|backlog: &mut Backlog, _: &mut Job| backlog.pools[0].is_waiting = false, 0, true)]
#[case::other_service(|backlog: &mut Backlog, _: &mut Job| backlog.pools[0].service = name("other"), 0, true)]
#[case::only_filling_waits(|backlog: &mut Backlog, _: &mut Job| backlog.pools[0].is_filling = true, 0, true)]
#[case::first_priority(|_: &mut Backlog, job: &mut Job| job.terms.priority = 0, 0, true)]
#[case::lasting(|_: &mut Backlog, job: &mut Job| job.steps[0].lasting = true, 0, true)]
#[case::label(|_: &mut Backlog, job: &mut Job| job.steps[0].required_label = Some(name("disk")), 0, true)]
#[case::smaller(|_: &mut Backlog, job: &mut Job| job.steps.truncate(1), 0, false)]
#[case::smallest(|_: &mut Backlog, job: &mut Job| job.steps = vec![step(1, 100)], 0, true)]
#[case::schedule(|_: &mut Backlog, job: &mut Job| job.schedule = Some(Schedule { first_unix_ms: 0, interval: seconds(60), occurrences: 2 }), 0, true)]
#[case::no_objective(|_: &mut Backlog, job: &mut Job| (job.terms.stretch, job.terms.latency_objective) = (0.0, seconds(0)), 0, true)]
fn what_is_not_known_is_admitted(
    #[case] change: fn(&mut Backlog, &mut Job),
    #[case] view_age_ms: u64,
    #[case] is_admitted: bool,
) {
    let (mut backlog, mut job) = (overloaded(), large(1, 60));
    change(&mut backlog, &mut job);
    let decision = decide(&backlog, &job, Duration::from_millis(view_age_ms));
    assert_eq!(decision == Decision::Admit, is_admitted, "{decision:?}");
}

/// Fails if estimates that overflow a sum make the placer or an entry panic.
#[test]
fn the_largest_estimates_stop_nothing() {
    let mut huge = large(1, 1_000);
    huge.steps.iter_mut().for_each(|step| step.estimate = Duration::from_millis(u64::MAX));
    assert!(matches!(decide(&overloaded(), &huge, Duration::ZERO), Decision::Admit | Decision::Refuse(_)));
    let mut world = World::with_workers(1, 16_000);
    let mut both = Configuration { version: 2, ..configuration() };
    both.queues.push(Queue { name: name("large"), terms: huge.terms.clone(), ..both.queues[0].clone() });
    world.cell.configure(Arc::new(both));
    world.submit(huge);
    world.place();
    world.cell.sample_backlog(world.now);
    assert_eq!(world.cell.backlog().pools.len(), 1);
}

/// Takes samples of a second each, with 100 cores that complete `done_cores` of work.
fn measured(samples: u32, done_cores: u64, is_waiting: bool) -> RateMeter {
    let mut meter = RateMeter::default();
    for number in 0..=samples {
        meter.done(seconds(done_cores));
        meter.sample(100_000, is_waiting, seconds(100) + seconds(1) * number);
    }
    meter
}

/// Fails if a rate is derived from too few samples, from a time without load, or from workers that are gone.
#[rstest]
#[case::usual(measured(10, 60, true), 100_000, 80_000, Some(60_000))]
#[case::measured_for_too_short(measured(2, 60, true), 100_000, 80_000, None)]
#[case::nothing_waited(measured(10, 60, false), 100_000, 80_000, None)]
#[case::half_of_the_workers_lost(measured(10, 60, true), 50_000, 40_000, Some(30_000))]
#[case::all_workers_lost(measured(10, 60, true), 0, 0, None)]
#[case::little_could_run(measured(10, 1, true), 100_000, 80_000, Some(40_000))]
fn a_rate_says_what_the_workers_can_do(
    #[case] meter: RateMeter,
    #[case] millicores: u32,
    #[case] in_use_millicores: u32,
    #[case] expected: Option<u32>,
) {
    assert_eq!(meter.rate_millicores(millicores, in_use_millicores), expected);
}

/// Fails if refused callers retry at the same time, within one entry or over all of them.
#[rstest]
#[case(4, 200, 9)]
#[case(16, 200, 9)]
#[case(60, 200, 9)]
#[case(12, 40, 1)]
fn retries_are_spread(#[case] drain: u64, #[case] refusals: u32, #[case] entries: u32) {
    let refusal = Refusal {
        ahead: seconds(drain * 320),
        rate_millicores: 320_000,
        drain: seconds(drain),
        chain: seconds(4),
        objective: seconds(7),
        limit: seconds(20),
        slot: Duration::from_millis(600),
    };
    let mut slots = vec![RetrySlots::default(); entries as usize];
    let now = seconds(50);
    let retries: Vec<Duration> = (0..refusals)
        .map(|number| {
            let position = number % entries;
            slots[position as usize].take(&refusal, EntryShare { position, entries }, now)
        })
        .collect();
    let (first, last) = (*retries.iter().min().expect("a retry"), *retries.iter().max().expect("a retry"));
    assert!(first >= Duration::from_millis(500) && last <= seconds(10), "{first:?} to {last:?}");
    let (over, spread) = (last.saturating_sub(first), seconds(drain) / 2);
    assert!(over >= spread.min(Duration::from_millis(9_500)) * 9 / 10, "{first:?} to {last:?}");
    let crowded = (0..10).map(|tenth| {
        let from = first + over * tenth / 10;
        retries.iter().filter(|retry| **retry >= from && **retry <= from + over / 10).count()
    });
    let most = crowded.max().unwrap_or(0);
    assert!(most <= retries.len() / 4, "{most} of {} callers come within a tenth of the time", retries.len());
}
