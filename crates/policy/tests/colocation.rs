//! Control of batch tasks that slow down requests.

use std::time::Duration;

use chervilledge_policy::code::Code;
use chervilledge_policy::colocation::{ColocatedTask, Controller, Settings, Step};
use chervilledge_policy::id::Name;
use chervilledge_policy::task::{Epoch, TaskId};
use chervilledge_policy::window::Window;

const TICK: Duration = Duration::from_millis(500);

fn task(index: u32) -> TaskId {
    TaskId { job: Name::from("job"), index }
}

fn colocated(index: u32, slowdown: f64, uncheckpointed_s: u64) -> ColocatedTask {
    ColocatedTask {
        task: task(index),
        epoch: Epoch(1),
        slowdown,
        uncheckpointed: Duration::from_secs(uncheckpointed_s),
        can_checkpoint: true,
        share_permille: 1000,
    }
}

/// Simulated worker whose latency is set by the test and on which actions take effect immediately.
struct Worker {
    controller: Controller,
    tasks: Vec<ColocatedTask>,
    now: Duration,
    log: Vec<(u32, Step, Code)>,
}

impl Worker {
    fn open(tasks: Vec<ColocatedTask>) -> Self {
        let controller = Controller::open(Settings::default(), Duration::ZERO);
        Self { controller, tasks, now: Duration::ZERO, log: Vec::new() }
    }

    /// Runs for some ticks at the latency returned by `latency_ms` for the current tasks.
    fn run(&mut self, ticks: u32, latency_ms: impl Fn(&[ColocatedTask]) -> u64) {
        for _ in 0..ticks {
            self.now += TICK;
            for _ in 0..30 {
                self.controller.request_ended(Duration::from_millis(latency_ms(&self.tasks)), self.now);
            }
            for action in self.controller.step(&self.tasks, self.now) {
                self.log.push((action.task.index, action.step, action.code));
                self.apply(&action.task, action.step);
            }
        }
    }

    fn apply(&mut self, task: &TaskId, step: Step) {
        let at = self.tasks.iter().position(|colocated| colocated.task == *task).expect("a task on the worker");
        match step {
            Step::Throttle { share_permille } | Step::Restore { share_permille } => {
                self.tasks[at].share_permille = share_permille;
            }
            Step::Evict => {}
            Step::Stop => {
                self.tasks.remove(at);
                self.controller.task_ended(task);
            }
        }
    }

    fn evictions(&self) -> usize {
        self.log.iter().filter(|(_, step, _)| matches!(step, Step::Evict)).count()
    }

    fn start_tasks(&mut self, count: u32) {
        for _ in 0..count {
            self.controller.task_started();
        }
    }
}

#[test]
fn the_task_that_slows_most_is_throttled_first() {
    let mut worker = Worker::open(vec![colocated(0, 0.1, 9), colocated(1, 0.9, 9)]);
    worker.run(1, |_| 60);
    assert_eq!(worker.log, [(1, Step::Throttle { share_permille: 500 }, Code::ThrottledForLatency)]);
}

#[test]
fn every_task_is_throttled_when_latency_is_severe() {
    let mut worker = Worker::open(vec![colocated(0, 0.1, 9), colocated(1, 0.9, 9)]);
    worker.run(1, |_| 500);
    assert_eq!(worker.log.len(), 2);
}

#[test]
fn the_cheapest_task_is_evicted_at_the_floor_and_stopped_if_it_stays() {
    let mut worker = Worker::open(vec![
        colocated(0, 0.5, 90),
        colocated(1, 0.5, 5),
        colocated(2, 0.5, 50),
        // Evicting it would lose no work, but wouldn't help.
        colocated(3, 0.01, 0),
    ]);
    worker.tasks[1].can_checkpoint = false;
    worker.start_tasks(100);
    worker.run(60, |_| 500);
    let steps: Vec<_> = worker.log.iter().filter(|(_, step, _)| matches!(step, Step::Evict | Step::Stop)).collect();
    assert_eq!(
        steps,
        [&(2, Step::Evict, Code::EvictedForLatency), &(2, Step::Stop, Code::StoppedForLatency)],
        "a task without checkpoint loses all its work"
    );
}

#[test]
fn a_task_that_is_starved_for_long_is_evicted() {
    let mut worker = Worker::open(vec![colocated(0, 0.9, 9), colocated(1, 0.01, 1)]);
    worker.start_tasks(100);
    // The latency is within the target while the first task has at most an eighth of its share.
    let latency_ms = |tasks: &[ColocatedTask]| if tasks[0].share_permille > 125 { 80 } else { 47 };
    worker.run(62, latency_ms);
    assert_eq!(worker.evictions(), 0);
    worker.run(10, latency_ms);
    assert!(worker.log.contains(&(0, Step::Evict, Code::EvictedForLatency)), "{:?}", worker.log);
    assert_eq!(worker.evictions(), 1);
}

#[test]
fn evictions_stay_within_their_budget() {
    let mut worker = Worker::open((0..20).map(|index| colocated(index, 0.5, 9)).collect());
    worker.run(100, |_| 500);
    assert_eq!(worker.evictions(), 0, "no task was started yet");
    worker.start_tasks(199);
    worker.run(400, |_| 500);
    assert_eq!(worker.evictions(), 1);
}

#[test]
fn shares_come_back_slowly_and_slower_after_a_relapse() {
    let mut worker = Worker::open(vec![colocated(0, 0.9, 9)]);
    // The target is met only while the task has less than a third of its share.
    worker.run(2400, |tasks| if tasks[0].share_permille > 300 { 80 } else { 30 });
    assert!(worker.tasks[0].share_permille >= 125, "the task continues");
    let throttles = worker.log.iter().filter(|(_, step, _)| matches!(step, Step::Throttle { .. })).count();
    assert!(throttles <= 40, "{throttles} throttles in 20 minutes");
    worker.run(400, |_| 30);
    assert_eq!(worker.tasks[0].share_permille, 1000);
}

#[test]
fn latency_between_the_levels_changes_nothing() {
    let mut worker = Worker::open(vec![colocated(0, 0.9, 9)]);
    worker.tasks[0].share_permille = 500;
    worker.run(200, |_| 45);
    assert_eq!(worker.log, []);
}

#[test]
fn a_few_slow_requests_are_no_reason_to_throttle() {
    let mut controller = Controller::open(Settings::default(), Duration::ZERO);
    for number in 0..100 {
        let latency_ms = if number < 2 { 60 } else { 30 };
        controller.request_ended(Duration::from_millis(latency_ms), TICK);
    }
    assert!(controller.latency_permille().expect("measured") > 1000);
    assert_eq!(controller.step(&[colocated(0, 0.9, 9)], TICK), []);
    for _ in 0..2 {
        controller.request_ended(Duration::from_millis(60), TICK);
    }
    assert_eq!(controller.step(&[colocated(0, 0.9, 9)], TICK).len(), 1);
}

#[test]
fn percentiles_are_within_an_eighth() {
    let mut window = Window::open(Duration::from_secs(2), Duration::ZERO);
    assert_eq!(window.percentile_permille(990), None);
    for micros in 1..=100_000 {
        window.record(Duration::from_micros(micros), Duration::ZERO);
    }
    for permille in [10, 500, 990, 999] {
        let exact = permille * 100;
        let found = window.percentile_permille(permille).expect("recorded").as_micros();
        assert!((exact..=exact + exact / 8 + 1).contains(&u64::try_from(found).expect("small")), "{permille}: {found}");
    }
    window.rotate(Duration::from_secs(1));
    assert_eq!(window.count(), 100_000);
    window.rotate(Duration::from_secs(2));
    assert_eq!(window.count(), 0);
}
