//! Run times learnt from runs, where callers' estimates are wrong by a factor of two and more.

mod support;

use std::time::Duration;

use chervilledge_cell::cell::{Action, Note};
use chervilledge_cell::job::{JobId, Step, TaskId};
use chervilledge_cell::run_time::{EstimateAccuracy, MeasuredWork};
use chervilledge_cell::worker::{EndKind, RunReport};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use support::{World, job, name, step};

const STATED: Duration = Duration::from_secs(2);

/// Deviate of about a normal distribution.
fn deviate(rng: &mut SmallRng) -> f64 {
    (0..12).map(|_| rng.random_range(-0.5..0.5)).sum()
}

/// Plays steps whose estimates are off by a factor of 2.5 either way, while their tasks differ by 15%. A few tasks must
/// tell the run time of the others within a quarter; before any has run, the estimate must not be biased.
#[rstest]
fn a_few_runs_tell_more_than_the_estimate(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut accuracy = EstimateAccuracy::default();
    let (mut before, mut after) = (Vec::new(), Vec::new());
    for _ in 0..60 {
        let mean = STATED.mul_f64((0.9 * deviate(&mut rng)).exp().clamp(0.15, 7.0));
        let mut measured = MeasuredWork::default();
        before.push((accuracy.run_time(STATED, &measured).as_secs_f64() / mean.as_secs_f64()).ln());
        for task in 0..12 {
            let time = mean.mul_f64((0.15 * deviate(&mut rng)).exp());
            accuracy.note(STATED, time, &measured);
            measured.add(time, 100);
            if task == 2 {
                after.push((accuracy.run_time(STATED, &measured).as_secs_f64() / mean.as_secs_f64()).ln().abs());
            }
        }
    }
    let mean = |values: &[f64]| values.iter().sum::<f64>() / f64::from(u32::try_from(values.len()).expect("few"));
    assert!(mean(&after) < 0.25, "mean error {}", mean(&after));
    assert!(mean(&before).abs() < 0.5, "bias {}", mean(&before));
}

/// Accuracy learnt from tasks that differ by 15%.
fn learnt_accuracy(seed: u64) -> EstimateAccuracy {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut accuracy = EstimateAccuracy::default();
    let mut measured = MeasuredWork::default();
    for _ in 0..400 {
        let time = STATED.mul_f64((0.15 * deviate(&mut rng)).exp());
        accuracy.note(STATED, time, &measured);
        measured.add(time, 100);
    }
    accuracy
}

/// Of wide steps the longest task decides when the job ends, and users count it; a step with one task has none.
#[test]
fn the_longest_of_many_tasks_takes_longer_than_each() {
    let learnt: Vec<EstimateAccuracy> = (0..20).map(learnt_accuracy).collect();
    assert!(learnt.iter().all(|accuracy| (accuracy.longest_ratio(1) - 1.0).abs() < f64::EPSILON));
    // The means of the largest of 20 and of 80 values are 1.87 and 2.43 deviations above the mean.
    for (count, expected) in [(20, 1.32), (80, 1.44)] {
        let mean = learnt.iter().map(|accuracy| accuracy.longest_ratio(count)).sum::<f64>() / 20.0;
        assert!((mean - expected).abs() < 0.1, "{count} tasks: {mean}");
    }
}

fn start(world: &mut World) -> Vec<(TaskId, u64)> {
    world.cell.place(world.now);
    let actions = world.cell.take_actions();
    let mut started = Vec::new();
    for action in &actions {
        if let Action::Start { order, .. } = action {
            started.push((order.task, order.run));
        }
        world.carry_out(action);
    }
    started
}

/// A job that states a third of its run time must not be counted as late for that: its objective follows the time that
/// its tasks take at full pace, not the time for which they were slowed for the sake of others.
#[rstest]
#[case::at_full_pace(100, 6_000)]
#[case::at_half_pace(50, 12_000)]
fn the_objective_follows_the_run_time_at_full_pace(#[case] pace_percent: u32, #[case] takes_ms: u64) {
    let mut world = World::with_workers(1, 64_000);
    world.submit(job(1, vec![Step { estimate: STATED, ..step(1, 1_000) }]));
    let (task, run) = start(&mut world)[0];
    let report = |percent| RunReport { task, run, checkpoint: name(""), percent, measured: 1_000, pace_percent };
    world.cell.runs_reported(&[report(0)], world.now);
    for quarter in 1..4_u32 {
        world.advance_ms(takes_ms / 4);
        world.cell.runs_reported(&[report(quarter * 25)], world.now);
    }
    world.advance_ms(takes_ms / 4);
    let agent = name("agent-0");
    world.end(&agent, task, run, EndKind::Done);
    let notes = world.cell.take_notes();
    let objective = notes.iter().find_map(|note| match note {
        Note::JobEnded { job, objective, .. } if *job == JobId(1) => *objective,
        _ => None,
    });
    // 1.5 times 6 s and 250 ms; what was stated still counts a little.
    let objective = objective.expect("an objective").as_secs_f64();
    assert!((7.5..=9.25).contains(&objective), "{objective} s");
}
