//! Admission of requests by an agent.

use std::time::Duration;

use chervilledge_policy::admission::{Action, Admission, Finished, Offer, Priority, Settings};
use chervilledge_policy::code::Code;
use chervilledge_policy::id::{BootId, RequestId};
use chervilledge_policy::request::Outcome;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const BOOT: BootId = BootId(5);
const NOW: Duration = Duration::from_secs(1);

fn id(sequence: u64) -> RequestId {
    RequestId { entry: BootId(1), sequence }
}

fn offer(sequence: u64, priority: Priority) -> Offer {
    Offer { agent_boot: BOOT, deadline: NOW + Duration::from_secs(10), id: id(sequence), priority }
}

fn settings() -> Settings {
    Settings { slots: 2, queue: 2, batch_slots: 1, ..Settings::default() }
}

fn ready(settings: Settings) -> Admission {
    let mut admission = Admission::open(BOOT, settings);
    admission.set_ready(true);
    admission
}

/// Creates a full admission: 1 and 2 run, 3 is latency-critical and queued, 4 is batch and queued.
fn full() -> Admission {
    let mut admission = ready(settings());
    for sequence in 1..=3 {
        admission.offer(NOW, &offer(sequence, Priority::LatencyCritical));
    }
    admission.offer(NOW, &offer(4, Priority::Batch));
    assert_eq!((admission.load().in_progress, admission.load().queued), (2, 2));
    admission
}

/// Returns the request and code of each refusal.
fn refused(actions: &[Action]) -> Vec<(RequestId, Code)> {
    let refusal = |action: &Action| match action {
        Action::NotStarted { id, code, .. } => Some((*id, *code)),
        Action::Start(_) | Action::Abort(_) | Action::Drop(_) => None,
    };
    actions.iter().filter_map(refusal).collect()
}

#[test]
fn starts_while_slots_are_free() {
    let mut admission = ready(settings());
    assert_eq!(admission.offer(NOW, &offer(1, Priority::LatencyCritical)), [Action::Start(id(1))]);
    assert_eq!(admission.offer(NOW, &offer(1, Priority::LatencyCritical)), [Action::Drop(id(1))]);
}

#[test]
fn a_free_slot_goes_to_latency_critical_first() {
    let mut admission = ready(settings());
    for sequence in 1..=2 {
        admission.offer(NOW, &offer(sequence, Priority::LatencyCritical));
    }
    admission.offer(NOW, &offer(3, Priority::Batch));
    admission.offer(NOW, &offer(4, Priority::LatencyCritical));
    assert_eq!(admission.finished(NOW, id(1), Finished::Ran), [Action::Start(id(4))]);
    assert_eq!(admission.finished(NOW, id(2), Finished::Ran), [Action::Start(id(3))]);
}

#[test]
fn batch_leaves_slots_free() {
    let mut admission = ready(settings());
    assert_eq!(admission.offer(NOW, &offer(1, Priority::Batch)), [Action::Start(id(1))]);
    assert_eq!(admission.offer(NOW, &offer(2, Priority::Batch)), []);
    assert_eq!(admission.offer(NOW, &offer(3, Priority::LatencyCritical)), [Action::Start(id(3))]);
}

#[rstest]
#[case::batch_is_refused(Priority::Batch, 5)]
#[case::batch_is_displaced(Priority::LatencyCritical, 4)]
fn a_full_queue_sheds_batch_first(#[case] priority: Priority, #[case] shed: u64) {
    let actions = full().offer(NOW, &offer(5, priority));
    assert_eq!(refused(&actions), [(id(shed), Code::Overloaded)]);
}

#[test]
fn connections_bound_what_is_held() {
    let mut admission = ready(Settings { connections: 1, ..settings() });
    assert_eq!(admission.offer(NOW, &offer(1, Priority::LatencyCritical)), [Action::Start(id(1))]);
    let actions = admission.offer(NOW, &offer(2, Priority::LatencyCritical));
    assert_eq!(refused(&actions), [(id(2), Code::Overloaded)]);
}

#[test]
fn other_limits_hold_from_the_next_start() {
    let mut admission = full();
    assert_eq!(admission.set_settings(NOW, Settings { slots: 1, ..settings() }), []);
    assert_eq!(admission.finished(NOW, id(1), Finished::Ran), []);
    assert_eq!(admission.finished(NOW, id(2), Finished::Ran), [Action::Start(id(3))]);
    let actions = admission.set_settings(NOW, Settings { slots: 3, ..settings() });
    assert_eq!(actions, [Action::Start(id(4))]);
}

#[test]
fn the_wait_for_a_slot_is_bounded() {
    let mut admission = full();
    let until = NOW + settings().queue_wait;
    assert_eq!(admission.wake_at(), Some(until));
    let actions = admission.tick(until);
    assert_eq!(refused(&actions), [(id(3), Code::Overloaded), (id(4), Code::Overloaded)]);
}

#[test]
fn nothing_starts_past_its_deadline() {
    let mut admission = full();
    let mut short = offer(5, Priority::LatencyCritical);
    short.deadline = NOW + Duration::from_millis(5);
    admission.offer(NOW, &short);
    let actions = admission.finished(short.deadline, id(1), Finished::Ran);
    assert_eq!(refused(&actions), [(id(5), Code::DeadlineBeforeStart)]);
    assert!(actions.contains(&Action::Start(id(3))), "{actions:?}");
}

#[test]
fn a_drain_refuses_what_waits_and_lets_the_rest_end() {
    let mut admission = full();
    assert_eq!(refused(&admission.drain(NOW)), [(id(3), Code::Draining), (id(4), Code::Draining)]);
    assert_eq!(refused(&admission.offer(NOW, &offer(5, Priority::LatencyCritical))), [(id(5), Code::Draining)]);
    assert!(!admission.is_drained());
    assert_eq!(admission.finished(NOW, id(1), Finished::Ran), []);
    assert_eq!(admission.finished(NOW, id(2), Finished::Ran), []);
    assert!(admission.is_drained());
}

#[test]
fn a_request_queried_before_it_arrives_never_starts() {
    let mut admission = ready(settings());
    assert_eq!(admission.query_outcome(NOW, id(9), BOOT, 1), Outcome::NeverStarted);
    let actions = admission.offer(NOW, &offer(9, Priority::LatencyCritical));
    assert_eq!(refused(&actions), [(id(9), Code::LinkSilent)]);
}

#[test]
fn a_refused_request_never_starts() {
    let mut admission = full();
    admission.offer(NOW, &offer(5, Priority::Batch));
    admission.cancel(NOW, id(3));
    let actions = admission.offer(NOW, &offer(5, Priority::Batch));
    assert_eq!(refused(&actions), [(id(5), Code::Overloaded)]);
}

#[test]
fn a_request_cancelled_before_it_arrives_never_starts() {
    let mut admission = ready(settings());
    assert_eq!(admission.cancel(NOW, id(1)), []);
    assert_eq!(refused(&admission.offer(NOW, &offer(1, Priority::LatencyCritical))), [(id(1), Code::Cancelled)]);
}

#[test]
fn a_cancelled_request_that_waits_frees_its_place() {
    let mut admission = full();
    assert_eq!(refused(&admission.cancel(NOW, id(3))), [(id(3), Code::Cancelled)]);
    assert_eq!(admission.cancel(NOW, id(1)), [Action::Abort(id(1))]);
    assert_eq!(admission.load().queued, 1);
}

#[test]
fn a_dropped_outcome_is_not_taken_for_a_new_request() {
    let mut admission = ready(Settings { outcomes_max: 1, ..settings() });
    for sequence in 1..=2 {
        admission.offer(NOW, &offer(sequence, Priority::LatencyCritical));
        admission.finished(NOW, id(sequence), Finished::Ran);
    }
    assert_eq!(admission.outcomes_len(), 1);
    assert_eq!(admission.offer(NOW, &offer(1, Priority::LatencyCritical)), [Action::Drop(id(1))]);
    assert_eq!(admission.query_outcome(NOW, id(1), BOOT, 1), Outcome::Forgotten);
    assert_eq!(admission.query_outcome(NOW, id(2), BOOT, 1), Outcome::AnswerLost);
    assert_eq!(admission.offer(NOW, &offer(3, Priority::LatencyCritical)), [Action::Start(id(3))]);
}

#[test]
fn the_answer_carries_the_epoch_of_the_latest_query() {
    let mut admission = full();
    assert_eq!(admission.query_outcome(NOW, id(1), BOOT, 2), Outcome::Running);
    assert_eq!(admission.query_outcome(NOW, id(1), BOOT, 1), Outcome::Running);
    assert_eq!(admission.begin_answer(id(1)), Some(2));
    assert_eq!(admission.begin_answer(id(1)), None);
    assert_eq!(admission.query_outcome(NOW, id(1), BOOT, 2), Outcome::Running);
    assert_eq!(admission.query_outcome(NOW, id(1), BOOT, 3), Outcome::AnswerLost);
}

#[test]
fn another_start_of_the_agent_knows_nothing() {
    let mut admission = ready(settings());
    assert_eq!(admission.query_outcome(NOW, id(1), BootId(4), 1), Outcome::UnknownBoot);
    let stale = Offer { agent_boot: BootId(4), ..offer(2, Priority::LatencyCritical) };
    assert_eq!(admission.offer(NOW, &stale), [Action::Drop(id(2))]);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Offer { batch: bool, deadline_ms: u64 },
    Finish { ran: bool },
    Cancel { sequence: u64 },
    Wait { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (any::<bool>(), 0..400_u64).prop_map(|(batch, deadline_ms)| Step::Offer { batch, deadline_ms }),
        3 => any::<bool>().prop_map(|ran| Step::Finish { ran }),
        1 => (0..50_u64).prop_map(|sequence| Step::Cancel { sequence }),
        1 => (0..300_u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(4),
        ..ProptestConfig::default()
    })]

    #[test]
    fn never_more_than_slots_run_and_batch_displaces_nothing(steps in prop::collection::vec(step(), 1..120)) {
        let mut admission = ready(settings());
        let mut now = NOW;
        let mut batch_ids = Vec::new();
        for (sequence, step) in (0_u64..).zip(steps) {
            let queued_batch_before = admission.queued_batch();
            let (actions, batch_offered) = match step {
                Step::Offer { batch, deadline_ms } => {
                    let priority = if batch { Priority::Batch } else { Priority::LatencyCritical };
                    if batch {
                        batch_ids.push(id(sequence));
                    }
                    let deadline = now + Duration::from_millis(deadline_ms);
                    (admission.offer(now, &Offer { deadline, ..offer(sequence, priority) }), batch)
                }
                Step::Finish { ran } => {
                    let finished = if ran { Finished::Ran } else { Finished::NotRun(Code::NoBackendServer) };
                    let oldest = admission.running().min();
                    (oldest.map_or_else(Vec::new, |id| admission.finished(now, id, finished)), false)
                }
                Step::Cancel { sequence } => (admission.cancel(now, id(sequence)), false),
                Step::Wait { ms } => {
                    now += Duration::from_millis(ms);
                    (admission.tick(now), false)
                }
            };
            prop_assert!(admission.load().in_progress <= 2);
            prop_assert!(admission.load().in_progress + admission.load().queued <= 4);
            prop_assert!(admission.running().filter(|id| batch_ids.contains(id)).count() <= 1);
            for (shed, code) in refused(&actions) {
                let shed_critical = code == Code::Overloaded && !batch_ids.contains(&shed);
                let waited = matches!(step, Step::Wait { .. });
                prop_assert!(!(shed_critical && batch_offered), "batch displaced {shed}");
                prop_assert!(!shed_critical || waited || queued_batch_before == 0, "batch was kept before {shed}");
            }
        }
    }
}
