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

/// Plays looks at workers on which one of two filling images doubles the tail of a serving one, and the other does
/// nothing; within some looks it is known which.
#[rstest]
fn disturbing_images_are_told_from_others(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let [heavy, light, serving]: [Name; 3] = ["heavy", "light", "serving"].map(Name::from);
    let mut interference = Interference::default();
    let key = TaskKey { occurrence: 0, step: 0, index: 0 };
    let mut now = Duration::from_secs(100);
    for look in 0..80_u32 {
        now += Duration::from_millis(500);
        let cores: [f64; 2] = [rng.random_range(0.0..6.0), rng.random_range(0.0..6.0)];
        // The serving run's own load swings slowly, and the figure is rough.
        let own = 0.5 + 0.15 * (f64::from(look) / 15.0).sin();
        let ratio = own * (0.2 * cores[0]).exp() * rng.random_range(0.9..1.1);
        let run = Serving { task: TaskId { job: JobId(1), key }, image: Name::clone(&serving), log_ratio: ratio.ln() };
        let used: Map<Name, f64> =
            [(Name::clone(&heavy), cores[0]), (Name::clone(&light), cores[1])].into_iter().collect();
        interference.observe(&[run], &used, now);
    }
    assert!(interference.is_disturbing(&heavy, &serving));
    assert!(!interference.is_disturbing(&light, &serving), "{:?}", interference.evidence(&light, &serving));
}

/// Plays a worker with four serving runs whose loads swing by half, on which filling runs of three images come and go.
/// Within ten seconds of looks it is known which image disturbs, so that the other two run at their full pace.
#[rstest]
fn swinging_loads_are_not_taken_for_disturbance(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    const LOOK_INTERVAL: Duration = Duration::from_millis(500);
    let mut rng = SmallRng::seed_from_u64(seed);
    let images: [Name; 3] = ["heavy", "light-1", "light-2"].map(Name::from);
    let serving = Name::from("serving");
    let mut interference = Interference::default();
    let mut now = Duration::from_secs(100);
    let phases: [f64; 4] = std::array::from_fn(|_| rng.random_range(0.0..std::f64::consts::TAU));
    for look in 0..20_u32 {
        now += LOOK_INTERVAL;
        // Each image runs two looks in six, one after the other, with 3.5 cores.
        let present = (look / 2 % 3) as usize;
        let used: Map<Name, f64> = [(Name::clone(&images[present]), 3.5)].into_iter().collect();
        let added = if present == 0 { 0.15 * 3.5 } else { 0.0 };
        let runs: Vec<Serving> = (0_u32..)
            .zip(phases)
            .map(|(index, phase)| {
                let swing = 0.5 * (f64::from(look) / 28.0 * std::f64::consts::TAU + phase).sin();
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

fn beside(image: &str, measured_ms: u64) -> Tail {
    let [measured, target] = [measured_ms, 45].map(Duration::from_millis);
    let key = TaskKey { occurrence: 0, step: 0, index: 0 };
    Tail { task: TaskId { job: JobId(measured_ms), key }, image: Name::from(image), measured, target }
}

/// A run of an image, of which there is one in each test.
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

/// Looks that end early show the same half second again; the pace of a worker was halved three times within 12 ms.
#[test]
fn the_same_figures_slow_down_once() {
    let interference = known(&[("a", "serving", 0.2)]);
    let mut paces = Paces::new(HARM_AFTER);
    let now = Duration::from_secs(10);
    let look = |paces: &mut Paces, later_ms| {
        let now = now + Duration::from_millis(later_ms);
        paces.observe(&[beside("serving", 60)], &filling(&[("a", 4.0)]), &interference, now);
        paces.percent(run_of("a"))
    };
    let first = look(&mut paces, 0);
    assert!((1..=60).contains(&first), "{first}");
    for later_ms in [3, 12, 400] {
        assert_eq!(look(&mut paces, later_ms), first);
    }
}

#[test]
fn the_pace_comes_back_when_the_tail_is_low() {
    let interference = known(&[("a", "serving", 0.2)]);
    let mut paces = Paces::new(HARM_AFTER);
    let image = run_of("a");
    let mut now = Duration::from_secs(10);
    paces.observe(&[beside("serving", 300)], &filling(&[("a", 4.0)]), &interference, now);
    assert_eq!(paces.percent(image), 0);
    let mut looks = 0;
    while paces.percent(image) < 100 {
        now += Duration::from_millis(450);
        paces.observe(&[beside("serving", 15)], &filling(&[("a", 0.0)]), &interference, now);
        looks += 1;
        assert!(looks < 10, "still at {}", paces.percent(image));
    }
}

/// Plays a worker with serving runs of two images, of which one is over its target.
#[test]
fn only_images_that_disturb_the_serving_run_over_its_target_are_slowed_down() {
    let interference = known(&[("a", "over", 0.2), ("a", "quiet", 0.2), ("b", "over", 0.0), ("b", "quiet", 0.2)]);
    let mut paces = Paces::new(HARM_AFTER);
    let images = filling(&[("a", 4.0), ("b", 4.0)]);
    paces.observe(&[beside("over", 90), beside("quiet", 20)], &images, &interference, Duration::from_secs(10));
    assert!(paces.percent(run_of("a")) <= 40);
    assert_eq!(paces.percent(run_of("b")), 100);
}

/// Plays a worker whose serving run is over its target by what nothing known explains, or by little of each of many: users
/// count it as harmed when filling runs go on beside it, so that none does from half of that time on.
#[test]
fn no_run_stays_over_its_target_while_filling_runs_go_on() {
    let interference = known(&[("a", "over", 0.01), ("b", "over", 0.0)]);
    let mut paces = Paces::new(HARM_AFTER);
    let images = filling(&[("a", 4.0), ("b", 4.0)]);
    let mut now = Duration::from_secs(10);
    let begun = now;
    while now < begun + HARM_AFTER {
        paces.observe(&[beside("over", 47)], &images, &interference, now);
        let is_halted = images.iter().all(|filling| paces.percent(filling.run) == 0);
        assert!(is_halted || now < begun + HARM_AFTER.mul_f64(0.7), "still going on");
        now += Duration::from_millis(450);
    }
    paces.observe(&[beside("over", 40)], &images, &interference, now);
    assert_eq!(paces.percent(run_of("b")), 100);
}

/// Plays a serving run whose load swings by half within 14 s beside filling runs that would double its tail: it is seldom
/// over its target, and the filling runs get a good part of what it leaves.
#[rstest]
fn the_pace_follows_a_swinging_load(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let interference = known(&[("a", "swinging", 0.2)]);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut paces = Paces::new(HARM_AFTER);
    let image = run_of("a");
    let (mut over, mut used_part, mut best_part) = (0, 0.0, 0.0);
    for look in 0..200_u32 {
        let now = Duration::from_secs(10) + Duration::from_millis(450) * look;
        let pace = f64::from(paces.percent(image)) / 100.0;
        let own = 0.45 * (0.5 * (f64::from(look) * 0.45 / 14.0 * std::f64::consts::TAU).sin()).exp();
        let ratio = own * (0.2 * 4.0 * pace).exp() * rng.random_range(0.93..1.07);
        over += u32::from(ratio >= 1.0);
        used_part += pace;
        best_part += (-own.ln() / (0.2 * 4.0)).clamp(0.0, 1.0);
        let tail = Tail { measured: Duration::from_secs_f64(0.045 * ratio), ..beside("swinging", 1) };
        paces.observe(&[tail], &filling(&[("a", 4.0 * pace)]), &interference, now);
    }
    assert!(over <= 6, "{over} looks of 200");
    assert!(used_part >= 0.6 * best_part, "{used_part} of {best_part}");
}

/// A run that starts beside one that is near its target would take it over that until the next look.
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
    paces.observe(&[beside("serving", tail_ms)], &filling(&[]), &interference, Duration::from_secs(10));
    paces.start(filling_run(image, 0.0), &interference);
    let percent = paces.percent(run_of(image));
    assert!(expected_percent.contains(&percent), "{percent}");
}
