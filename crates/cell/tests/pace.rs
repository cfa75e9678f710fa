//! Pace of filling runs beside serving ones.

use std::time::Duration;

use chervilledge_cell::interference::{Evidence, Interference, Pair, Serving};
use chervilledge_cell::job::{JobId, TaskId, TaskKey};
use chervilledge_cell::pace::{Cores, FillingRun, Paces, Tail};
use chervilledge_cell::urgency::Urgency;
use chervilledge_policy::collections::Map;
use chervilledge_policy::id::Name;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// Simulates samples of workers on which one of two filling images doubles the tail of a serving one, and the other
/// has no effect; some samples suffice to tell which.
#[rstest]
fn disturbing_images_are_told_from_others(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let [heavy, light, serving]: [Name; 3] = ["heavy", "light", "serving"].map(Name::from);
    let mut interference = Interference::default();
    let key = TaskKey { occurrence: 0, step: 0, index: 0 };
    let mut now = Duration::from_secs(100);
    for sample in 0..80_u32 {
        now += Duration::from_millis(500);
        let cores: [f64; 2] = [rng.random_range(0.0..6.0), rng.random_range(0.0..6.0)];
        // The serving run's own load varies slowly, and the measurement is noisy.
        let own = 0.5 + 0.15 * (f64::from(sample) / 15.0).sin();
        let ratio = own * (0.2 * cores[0]).exp() * rng.random_range(0.9..1.1);
        let run = Serving { task: TaskId { job: JobId(1), key }, image: Name::clone(&serving), log_ratio: ratio.ln() };
        let used: Map<Name, f64> =
            [(Name::clone(&heavy), cores[0]), (Name::clone(&light), cores[1])].into_iter().collect();
        interference.observe(&[run], &used, now);
    }
    assert!(interference.is_disturbing(&heavy, &serving));
    assert!(!interference.is_disturbing(&light, &serving), "{:?}", interference.evidence(&light, &serving));
}

/// Simulates a worker with four serving runs whose loads vary by half, on which filling runs of three images come and
/// go. Ten seconds of samples suffice to tell which image disturbs, so that the other two run at full pace.
#[rstest]
fn swinging_loads_are_not_taken_for_disturbance(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
    let mut rng = SmallRng::seed_from_u64(seed);
    let images: [Name; 3] = ["heavy", "light-1", "light-2"].map(Name::from);
    let serving = Name::from("serving");
    let mut interference = Interference::default();
    let mut now = Duration::from_secs(100);
    let phases: [f64; 4] = std::array::from_fn(|_| rng.random_range(0.0..std::f64::consts::TAU));
    for sample in 0..20_u32 {
        now += SAMPLE_INTERVAL;
        // Each image runs for two samples in six, one after the other, with 3.5 cores.
        let present = (sample / 2 % 3) as usize;
        let used: Map<Name, f64> = [(Name::clone(&images[present]), 3.5)].into_iter().collect();
        let added = if present == 0 { 0.15 * 3.5 } else { 0.0 };
        let runs: Vec<Serving> = (0_u32..)
            .zip(phases)
            .map(|(index, phase)| {
                let swing = 0.5 * (f64::from(sample) / 28.0 * std::f64::consts::TAU + phase).sin();
                let log_ratio = -0.8 + swing + added + rng.random_range(-0.15_f64..0.15);
                let key = TaskKey { occurrence: 0, step: 0, index };
                Serving { task: TaskId { job: JobId(1), key }, image: Name::clone(&serving), log_ratio }
            })
            .collect();
        interference.observe(&runs, &used, now);
    }
    assert!(interference.is_disturbing(&images[0], &serving), "{:?}", interference.evidence(&images[0], &serving));
    for light in &images[1..] {
        assert!(!interference.is_disturbing(light, &serving), "{:?}", interference.evidence(light, &serving));
    }
}

fn known(pairs: &[(&str, &str, f64)]) -> Interference {
    let mut interference = Interference::default();
    let evidence = |per_core: f64| Evidence { information: 1e9, weighted_effect: 1e9 * per_core };
    let pair = |filling: &str, serving: &str| Pair { filling: Name::from(filling), serving: Name::from(serving) };
    let table = pairs.iter().map(|(filling, serving, per_core)| (pair(filling, serving), evidence(*per_core)));
    interference.set_shared(table.collect());
    interference
}

const HARM_AFTER: Duration = Duration::from_secs(4);

fn serving_tail(image: &str, measured_ms: u64) -> Tail {
    let [measured, target] = [measured_ms, 45].map(Duration::from_millis);
    let key = TaskKey { occurrence: 0, step: 0, index: 0 };
    Tail { task: TaskId { job: JobId(measured_ms), key }, image: Name::from(image), measured, target }
}

/// A run of an image; each test has one per image.
fn run_of(image: &str) -> (TaskId, u64) {
    let key = TaskKey { occurrence: 0, step: 0, index: 0 };
    (TaskId { job: JobId(image.bytes().map(u64::from).sum()), key }, 1)
}

fn filling_run(image: &str, used: f64) -> FillingRun {
    let cores = Cores { used, asked: 4.0 };
    FillingRun { run: run_of(image), image: Name::from(image), cores, urgency: Urgency::UNKNOWN }
}

fn filling(images: &[(&str, f64)]) -> Vec<FillingRun> {
    images.iter().map(|(image, used)| filling_run(image, *used)).collect()
}

/// Samples that are taken early show the same half second again; the pace of a worker was halved three times within
/// 12 ms.
#[test]
fn the_same_figures_slow_down_once() {
    let interference = known(&[("a", "serving", 0.2)]);
    let mut paces = Paces::new(HARM_AFTER);
    let now = Duration::from_secs(10);
    let observe = |paces: &mut Paces, later_ms| {
        let now = now + Duration::from_millis(later_ms);
        paces.observe(&[serving_tail("serving", 60)], &filling(&[("a", 4.0)]), &interference, now);
        paces.percent(run_of("a"))
    };
    let first = observe(&mut paces, 0);
    assert!((1..=60).contains(&first), "{first}");
    for later_ms in [3, 12, 400] {
        assert_eq!(observe(&mut paces, later_ms), first);
    }
}

#[test]
fn the_pace_comes_back_when_the_tail_is_low() {
    let interference = known(&[("a", "serving", 0.2)]);
    let mut paces = Paces::new(HARM_AFTER);
    let image = run_of("a");
    let mut now = Duration::from_secs(10);
    paces.observe(&[serving_tail("serving", 300)], &filling(&[("a", 4.0)]), &interference, now);
    assert_eq!(paces.percent(image), 0);
    let mut samples = 0;
    while paces.percent(image) < 100 {
        now += Duration::from_millis(450);
        paces.observe(&[serving_tail("serving", 15)], &filling(&[("a", 0.0)]), &interference, now);
        samples += 1;
        assert!(samples < 10, "still at {}", paces.percent(image));
    }
}

/// A worker has serving runs of two images, one of which is over its target.
#[test]
fn only_images_that_disturb_the_serving_run_over_its_target_are_slowed_down() {
    let interference = known(&[("a", "over", 0.2), ("a", "quiet", 0.2), ("b", "over", 0.0), ("b", "quiet", 0.2)]);
    let mut paces = Paces::new(HARM_AFTER);
    let images = filling(&[("a", 4.0), ("b", 4.0)]);
    paces.observe(
        &[serving_tail("over", 90), serving_tail("quiet", 20)],
        &images,
        &interference,
        Duration::from_secs(10),
    );
    assert!(paces.percent(run_of("a")) <= 40);
    assert_eq!(paces.percent(run_of("b")), 100);
}

/// A serving run is over its target for no known reason, or because of many small effects. Users count it as harmed
/// if filling runs go on beside it, so all of them are halted after half of that time.
#[test]
fn no_run_stays_over_its_target_while_filling_runs_go_on() {
    let interference = known(&[("a", "over", 0.01), ("b", "over", 0.0)]);
    let mut paces = Paces::new(HARM_AFTER);
    let images = filling(&[("a", 4.0), ("b", 4.0)]);
    let mut now = Duration::from_secs(10);
    let begun = now;
    while now < begun + HARM_AFTER {
        paces.observe(&[serving_tail("over", 47)], &images, &interference, now);
        let is_halted = images.iter().all(|filling| paces.percent(filling.run) == 0);
        assert!(is_halted || now < begun + HARM_AFTER.mul_f64(0.7), "still going on");
        now += Duration::from_millis(450);
    }
    paces.observe(&[serving_tail("over", 40)], &images, &interference, now);
    assert_eq!(paces.percent(run_of("b")), 100);
}

/// A serving run whose load varies by half within 14 s runs beside filling runs that would double its tail: it is
/// seldom over its target, and the filling runs get a good part of the headroom.
#[rstest]
fn the_pace_follows_a_swinging_load(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let interference = known(&[("a", "swinging", 0.2)]);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut paces = Paces::new(HARM_AFTER);
    let image = run_of("a");
    let (mut over, mut used_part, mut best_part) = (0, 0.0, 0.0);
    for sample in 0..200_u32 {
        let now = Duration::from_secs(10) + Duration::from_millis(450) * sample;
        let pace = f64::from(paces.percent(image)) / 100.0;
        let own = 0.45 * (0.5 * (f64::from(sample) * 0.45 / 14.0 * std::f64::consts::TAU).sin()).exp();
        let ratio = own * (0.2 * 4.0 * pace).exp() * rng.random_range(0.93..1.07);
        over += u32::from(ratio >= 1.0);
        used_part += pace;
        best_part += (-own.ln() / (0.2 * 4.0)).clamp(0.0, 1.0);
        let tail = Tail { measured: Duration::from_secs_f64(0.045 * ratio), ..serving_tail("swinging", 1) };
        paces.observe(&[tail], &filling(&[("a", 4.0 * pace)]), &interference, now);
    }
    assert!(over <= 6, "{over} samples of 200");
    assert!(used_part >= 0.6 * best_part, "{used_part} of {best_part}");
}

/// A run that starts at full pace beside a serving run near its target would raise that run above it until the next
/// sample.
#[rstest]
#[case::disturbs_a_run_near_its_target("heavy", 30, 20..=60)]
#[case::disturbs_a_run_far_from_its_target("heavy", 10, 100..=100)]
#[case::disturbs_nobody("light", 44, 100..=100)]
#[case::unknown("unknown", 30, 10..=60)]
fn a_run_starts_at_the_pace_that_is_left(
    #[case] image: &str,
    #[case] tail_ms: u64,
    #[case] expected_percent: std::ops::RangeInclusive<u32>,
) {
    let interference = known(&[("heavy", "serving", 0.15), ("light", "serving", 0.0)]);
    let mut paces = Paces::new(HARM_AFTER);
    paces.observe(&[serving_tail("serving", tail_ms)], &filling(&[]), &interference, Duration::from_secs(10));
    paces.start(filling_run(image, 0.0), &interference);
    let percent = paces.percent(run_of(image));
    assert!(expected_percent.contains(&percent), "{percent}");
}
