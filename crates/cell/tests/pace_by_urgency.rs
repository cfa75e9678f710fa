//! Which filling runs get the latency headroom of a worker.

use std::time::Duration;

use chervilledge_cell::interference::{Evidence, Interference, Pair};
use chervilledge_cell::job::{JobId, TaskId, TaskKey};
use chervilledge_cell::pace::{Cores, FillingRun, Paces, Tail};
use chervilledge_cell::urgency::Urgency;
use chervilledge_policy::id::Name;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(450);
const HARM_AFTER: Duration = Duration::from_secs(4);
const TARGET: Duration = Duration::from_millis(45);
/// Logarithm of the factor by which one core of a filling run raises the tail of the serving one.
const EFFECT: f64 = 0.1;
/// Cores that a filling run asks for.
const ASKED: f64 = 2.0;

fn interference() -> Interference {
    let mut interference = Interference::default();
    let pair = Pair { filling: Name::from("heavy"), serving: Name::from("serving") };
    interference.set_shared(vec![(pair, Evidence { information: 1e9, weighted_effect: 1e9 * EFFECT })]);
    interference
}

fn task(job: u64, index: u32) -> TaskId {
    TaskId { job: JobId(job), key: TaskKey { occurrence: 0, step: 0, index } }
}

fn tail(ratio: f64) -> Tail {
    Tail { task: task(0, 0), image: Name::from("serving"), measured: TARGET.mul_f64(ratio), target: TARGET }
}

fn run(job: u64, index: u32, used: f64, urgency: Urgency) -> FillingRun {
    let cores = Cores { used, asked: ASKED };
    FillingRun { run: (task(job, index), 1), image: Name::from("heavy"), cores, urgency }
}

/// Simulated worker with one serving run.
struct Simulation {
    paces: Paces,
    interference: Interference,
    now: Duration,
}

impl Simulation {
    fn new() -> Self {
        Self { paces: Paces::new(HARM_AFTER), interference: interference(), now: Duration::from_secs(10) }
    }

    /// Cores that a run uses at its current pace.
    fn used(&self, run: &FillingRun) -> f64 {
        ASKED * f64::from(self.paces.percent(run.run)) / 100.0
    }

    /// Advances to the next sample; returns the ratio of the tail to its target.
    fn advance(&mut self, own: f64, runs: &[FillingRun]) -> f64 {
        self.now += SAMPLE_INTERVAL;
        let used = |run: &FillingRun| FillingRun { cores: Cores { used: self.used(run), asked: ASKED }, ..run.clone() };
        let runs: Vec<FillingRun> = runs.iter().map(used).collect();
        let ratio = own * (EFFECT * runs.iter().map(|run| run.cores.used).sum::<f64>()).exp();
        self.paces.observe(&[tail(ratio)], &runs, &self.interference, self.now);
        ratio
    }
}

/// Samples after which two jobs of two runs each have ended; the second has three times the work of the first, and
/// the headroom allows half of what they ask for.
fn ends_of_two_jobs(urgencies: [Urgency; 2]) -> [u32; 2] {
    const WORK: [f64; 2] = [10.0, 30.0];
    let mut simulation = Simulation::new();
    let own = 0.8 * (-EFFECT * ASKED * 2.0).exp();
    let mut left = WORK.map(|work| [work / 2.0; 2]);
    let mut ends = [0, 0];
    for sample in 1..1_000 {
        let present = |job: usize, index: u32| left[job][index as usize] > 0.0;
        let runs: Vec<FillingRun> = [(0, 0), (0, 1), (1, 0), (1, 1)]
            .into_iter()
            .filter(|(job, index)| present(*job, *index))
            .map(|(job, index)| run(job as u64 + 1, index, 0.0, urgencies[job]))
            .collect();
        simulation.advance(own, &runs);
        for run in &runs {
            let (task, _) = run.run;
            let job = usize::try_from(task.job.0).expect("a small number") - 1;
            left[job][task.key.index as usize] -= simulation.used(run) * SAMPLE_INTERVAL.as_secs_f64();
        }
        for job in 0..2 {
            if ends[job] == 0 && left[job].iter().all(|left| *left <= 0.0) {
                ends[job] = sample;
            }
        }
        if ends.iter().all(|end| *end > 0) {
            return ends;
        }
    }
    panic!("{ends:?}: the jobs don't end");
}

/// With one pace for all runs, a job with little work ends as late as if it had twice as much. The order must not
/// delay the larger job much, since the headroom is the same.
#[test]
fn the_smaller_of_two_jobs_ends_in_half_of_the_time() {
    let shared = ends_of_two_jobs([Urgency::UNKNOWN; 2]);
    let ordered = ends_of_two_jobs([Urgency(10_000), Urgency(30_000)]);
    assert!(f64::from(ordered[0]) <= 0.55 * f64::from(shared[0]), "{ordered:?}, at one pace {shared:?}");
    assert!(f64::from(ordered[1]) <= 1.1 * f64::from(shared[1]), "{ordered:?}, at one pace {shared:?}");
}

/// Effects on a serving run.
#[derive(Debug, Default)]
struct Harm {
    /// Samples at which it was over its target.
    over: u32,
    /// Sum of the ratios of its tail to its target.
    sum: f64,
    /// What filling runs used, in cores.
    used: f64,
}

/// Simulates a serving run whose load varies by half within 14 s, beside filling runs that come and go and whose
/// urgencies change.
fn harm(seed: u64, is_ordered: bool) -> Harm {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut simulation = Simulation::new();
    let mut harm = Harm::default();
    let mut runs: Vec<FillingRun> = Vec::new();
    for sample in 0..600_u32 {
        runs.retain(|_| rng.random_range(0..15) > 0);
        for run in &mut runs {
            let work = rng.random_range(1_000..60_000);
            if rng.random_range(0..20) == 0 && is_ordered {
                run.urgency = Urgency(work);
            }
        }
        let own = 0.45 * (0.5 * (f64::from(sample) * 0.45 / 14.0 * std::f64::consts::TAU).sin()).exp();
        let ratio = simulation.advance(own * rng.random_range(0.93..1.07), &runs);
        harm.over += u32::from(ratio >= 1.0);
        harm.sum += ratio;
        harm.used += runs.iter().map(|run| simulation.used(run)).sum::<f64>();
        let work = rng.random_range(1_000..60_000);
        if rng.random_range(0..2) == 0 && runs.len() < 8 {
            let urgency = if is_ordered { Urgency(work) } else { Urgency::UNKNOWN };
            let new = run(u64::from(sample) + 1, 0, 0.0, urgency);
            simulation.paces.start(new.clone(), &simulation.interference);
            runs.push(new);
        }
    }
    harm
}

/// Urgencies must not make serving runs worse off: runs that change their place in the order, and ones that start
/// ahead of others, take the headroom of those others and no more.
#[rstest]
fn serving_runs_are_disturbed_no_more_than_at_one_pace(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let (ordered, shared) = (harm(seed, true), harm(seed, false));
    assert!(ordered.over <= shared.over, "{ordered:?}, at one pace {shared:?}");
    assert!(ordered.sum <= shared.sum * 1.01, "{ordered:?}, at one pace {shared:?}");
    assert!(ordered.used >= 0.95 * shared.used, "{ordered:?}, at one pace {shared:?}");
}

/// Every change of the order slows one run down and speeds another one up; runs with about the same remaining work
/// would otherwise swap with every report of progress.
#[test]
fn runs_that_are_about_as_urgent_keep_their_order() {
    let mut simulation = Simulation::new();
    let own = 0.8 * (-EFFECT * ASKED).exp();
    let mut runs = [run(1, 0, 0.0, Urgency(10_000)), run(2, 0, 0.0, Urgency(10_100))];
    let paces = |simulation: &Simulation, runs: &[FillingRun; 2]| {
        [0, 1].map(|index: usize| simulation.paces.percent(runs[index].run))
    };
    for _ in 0..8 {
        simulation.advance(own, &runs);
    }
    assert_eq!(paces(&simulation, &runs), [100, 0]);
    for sample in 0..40 {
        runs[usize::from(sample % 2 == 0)].urgency.0 -= 300;
        simulation.advance(own, &runs);
        assert_eq!(paces(&simulation, &runs), [100, 0], "sample {sample}");
    }
    runs[1].urgency = Urgency(runs[0].urgency.0 * 3 / 4);
    simulation.advance(own, &runs);
    assert_eq!(paces(&simulation, &runs), [0, 100]);
}

/// A starting run doesn't wait for the next sample: it takes the headroom of a less urgent run at once, and none of a
/// more urgent one.
#[rstest]
#[case::more_urgent(1_000, 0, 100)]
#[case::less_urgent(100_000, 100, 0)]
fn a_run_starts_at_its_place_in_the_order(#[case] urgency: u64, #[case] former: u32, #[case] new: u32) {
    let mut simulation = Simulation::new();
    let own = 0.8 * (-EFFECT * ASKED).exp();
    let present = run(1, 0, 0.0, Urgency(10_000));
    for _ in 0..8 {
        simulation.advance(own, std::slice::from_ref(&present));
    }
    let started = run(2, 0, 0.0, Urgency(urgency));
    simulation.paces.start(started.clone(), &simulation.interference);
    assert_eq!([present, started].map(|run| simulation.paces.percent(run.run)), [former, new]);
}
