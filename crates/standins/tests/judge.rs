//! Violations that the judge finds in ledgers, and those that it must not find.

use std::time::Duration;

use chervilledge_policy::id::Name;
use chervilledge_standins::judge::{self, Violation};
use chervilledge_standins::worker::{Event, Suspension, What};
use rstest::rstest;

fn name(text: &str) -> Name {
    Name::from(text)
}

fn event(at_ms: u64, worker: &str, what: What) -> Event {
    Event { at: Duration::from_millis(at_ms), worker: name(worker), what }
}

fn started(epoch: u64) -> What {
    What::TaskStarted { task: name("t"), epoch, kind: name("k"), progress: Duration::ZERO }
}

fn stopped(epoch: u64) -> What {
    What::TaskStopped { task: name("t"), epoch, progress: Duration::ZERO }
}

fn lapsed(epoch: u64) -> What {
    What::TaskSuspended { task: name("t"), epoch, reason: Suspension::LeaseEnd }
}

fn resumed(epoch: u64) -> What {
    What::TaskResumed { task: name("t"), epoch }
}

fn throttled(epoch: u64, share_percent: u8) -> What {
    What::TaskThrottled { task: name("t"), epoch, share_percent }
}

fn request(id: &str, key: Option<&str>) -> What {
    What::RequestStarted { request_id: name(id), idempotency_key: key.map(name), path: name("/") }
}

#[rstest]
#[case::overlap(vec![(0, "a", started(1)), (5, "b", started(2)), (9, "a", stopped(1))], 1)]
#[case::never_stopped(vec![(0, "a", started(1)), (5, "b", started(2))], 1)]
#[case::resumed_beside(vec![(0, "a", started(1)), (3, "a", lapsed(1)), (5, "b", started(2)), (6, "a", resumed(1))], 1)]
#[case::throttled_up(vec![(0, "a", started(1)), (3, "a", throttled(1, 0)), (5, "b", started(2)), (6, "a", throttled(1, 9))], 1)]
#[case::one_after_the_other(vec![(0, "a", started(1)), (5, "a", stopped(1)), (5, "b", started(2))], 0)]
#[case::recorded_late(vec![(0, "a", started(1)), (5, "b", started(2)), (4, "a", lapsed(1))], 0)]
#[case::throttled_while_suspended(
    vec![(0, "a", started(1)), (3, "a", lapsed(1)), (5, "b", started(2)), (6, "a", throttled(1, 9))], 0)]
#[case::resumed_at_share_zero(
    vec![(0, "a", started(1)), (1, "a", throttled(1, 0)), (2, "a", lapsed(1)), (5, "b", started(2)), (6, "a", resumed(1))], 0)]
#[case::same_worker(vec![(0, "a", started(1)), (5, "a", resumed(1))], 0)]
fn a_task_on_two_workers_is_found(#[case] events: Vec<(u64, &str, What)>, #[case] count: usize) {
    let events: Vec<Event> = events.into_iter().map(|(at_ms, worker, what)| event(at_ms, worker, what)).collect();
    assert_eq!(judge::on_two_workers(&events).len(), count);
}

#[test]
fn effects_and_starts_are_counted_over_all_workers() {
    let effect = |epoch| What::TaskEffect { task: name("t"), epoch };
    let once = [event(1, "a", started(1)), event(2, "a", effect(1)), event(3, "b", started(2))];
    assert_eq!(judge::repeated_effects(&once), []);
    assert_eq!(judge::repeated_starts(&once), []);
    let twice = [&once[..], &[event(4, "b", effect(2)), event(5, "c", started(2))]].concat();
    assert_eq!(judge::repeated_effects(&twice), [Violation::EffectRepeated { task: name("t"), epoch: 2 }]);
    assert_eq!(judge::repeated_starts(&twice), [Violation::StartRepeated { task: name("t"), epoch: 2 }]);
}

#[test]
fn requests_are_judged_by_identifier_and_by_key() {
    let events = [event(1, "a", request("r-1", Some("k"))), event(2, "b", request("r-2", Some("k")))];
    assert_eq!(judge::repeated_requests(&events), []);
    assert_eq!(judge::repeated_keys(&events), [Violation::KeyRepeated { key: name("k") }]);
    let again = [&events[..], &[event(3, "b", request("r-1", None))]].concat();
    assert_eq!(judge::repeated_requests(&again), [Violation::RequestRepeated { request_id: name("r-1") }]);
}

#[test]
fn requests_that_were_told_as_not_run_must_not_be_executed() {
    let events = [event(1, "a", request("r-1", None))];
    assert_eq!(judge::executed_but_not_run(&events, ["r-2"]), []);
    let violation = Violation::ExecutedButNotRun { request_id: name("r-1") };
    assert_eq!(judge::executed_but_not_run(&events, ["r-1", "r-2"]), [violation]);
}

#[test]
fn records_of_too_much_work_are_violations() {
    let over = event(1, "a", What::OverSlots { in_progress: 9 });
    let events = [event(0, "a", request("r-1", None)), over.clone()];
    assert_eq!(judge::violations(&events), [Violation::OverCapacity(over)]);
}
