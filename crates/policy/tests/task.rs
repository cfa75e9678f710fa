//! State transitions of task rows.

use std::time::Duration;

use chervilledge_policy::capacity::Resources;
use chervilledge_policy::code::Code;
use chervilledge_policy::id::{BootId, Name};
use chervilledge_policy::task::{
    Change, CheckpointKey, Claim, Effects, Epoch, JobRow, Priority, Refusal, TaskRow, TaskState, Transition, apply,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

fn queued(effects: Effects) -> TaskRow {
    let job = JobRow {
        id: Name::from("job"),
        submit_key: Name::from("key"),
        team: Name::from("team"),
        priority: Priority::Normal,
        kind: Name::from("kind"),
        declared: Resources::default(),
        run_time: Duration::from_secs(1),
        effects,
        task_count: 1,
        attempts_max: 2,
    };
    job.task(0)
}

fn claim() -> Change {
    Change::Claim(Claim { worker: Name::from("w0"), agent: BootId(9), entry: BootId(1) })
}

/// Applies a change for the row's current epoch.
fn next(row: &TaskRow, change: Change) -> Result<TaskRow, Refusal> {
    apply(row, Transition { epoch: row.epoch, change })
}

fn running(effects: Effects) -> TaskRow {
    let claimed = next(&queued(effects), claim()).expect("a queued task can be claimed");
    next(&claimed, Change::Start).expect("a claimed task can start")
}

fn key(row: &TaskRow, epoch: Epoch, sequence: u32) -> CheckpointKey {
    CheckpointKey { task: row.id.clone(), epoch, sequence }
}

#[rstest]
#[case::completion_first(Change::Complete, Change::Cancel, TaskState::Done)]
#[case::cancellation_first(Change::Cancel, Change::Complete, TaskState::Cancelled)]
#[case::eviction_first(Change::Evict(None), Change::Complete, TaskState::Queued)]
#[case::completion_before_eviction(Change::Complete, Change::Evict(None), TaskState::Done)]
#[case::cancellation_before_eviction(Change::Cancel, Change::Evict(None), TaskState::Cancelled)]
#[case::eviction_before_cancellation(Change::Evict(None), Change::Cancel, TaskState::Queued)]
#[case::evicted_once(Change::Evict(None), Change::Evict(None), TaskState::Queued)]
#[case::expired_once(Change::Expire, Change::Expire, TaskState::Queued)]
fn a_race_within_an_epoch_has_one_winner(#[case] first: Change, #[case] second: Change, #[case] state: TaskState) {
    let row = running(Effects::Fenced);
    let won = next(&row, first).expect("the first change is allowed");
    assert_eq!(won.state, state);
    assert_eq!(won.epoch, row.epoch.next());
    let lost = apply(&won, Transition { epoch: row.epoch, change: second });
    assert_eq!(lost, Err(Refusal::StaleEpoch { current: won.epoch }));
}

#[rstest]
#[case::expired(Change::Expire, Effects::Fenced, TaskState::Queued)]
#[case::expired_at_most_once(Change::Expire, Effects::AtMostOnce, TaskState::Failed(Code::TaskOutcomeUnknown))]
#[case::stopped_at_most_once(Change::Evict(None), Effects::AtMostOnce, TaskState::Failed(Code::TaskOutcomeUnknown))]
#[case::failed(Change::Fail(Code::OutcomeUnknown), Effects::Idempotent, TaskState::Queued)]
fn the_end_of_a_claim_depends_on_effects(#[case] change: Change, #[case] effects: Effects, #[case] state: TaskState) {
    assert_eq!(next(&running(effects), change).expect("a running task can end").state, state);
}

#[rstest]
#[case::queued(&[])]
#[case::claimed(&[claim()])]
#[case::running(&[claim(), Change::Start])]
#[case::unschedulable(&[Change::Reject(Code::Unschedulable)])]
fn a_completion_reported_after_the_claim_expired_is_lost(#[case] since: &[Change]) {
    let expired = next(&running(Effects::Fenced), Change::Expire).expect("a running task can expire");
    let row = since.iter().fold(expired, |row, change| next(&row, change.clone()).expect("an allowed change"));
    let done = next(&row, Change::CompleteLate(Epoch(1))).expect("the earlier epoch completed");
    assert_eq!((done.state, done.epoch), (TaskState::Done, row.epoch.next()));
    assert_eq!(next(&row, Change::CompleteLate(row.epoch)), Err(Refusal::WrongState));
}

#[test]
fn a_declined_claim_never_ran_and_waits_again() {
    let claimed = next(&queued(Effects::AtMostOnce), claim()).expect("a queued task can be claimed");
    let declined = next(&claimed, Change::Decline).expect("a claim can be declined");
    assert_eq!((declined.state, declined.epoch), (TaskState::Queued, Epoch(2)));
    assert_eq!(next(&running(Effects::AtMostOnce), Change::Decline), Err(Refusal::WrongState));
}

#[test]
fn a_task_that_fails_as_often_as_allowed_stops() {
    let mut row = queued(Effects::Idempotent);
    for attempt in 1..=2 {
        row = next(&row, claim()).expect("a queued task can be claimed");
        row = next(&row, Change::Fail(Code::OutcomeUnknown)).expect("a claimed task can fail");
        assert_eq!(row.attempts.len(), attempt);
    }
    assert_eq!(row.state, TaskState::Failed(Code::FailedEverywhere));
    assert_eq!(next(&row, Change::Reconsider), Err(Refusal::Ended));
}

#[test]
fn an_unschedulable_task_comes_back() {
    let rejected = next(&queued(Effects::Fenced), Change::Reject(Code::Unschedulable)).expect("a queued task");
    assert_eq!(next(&rejected, claim()), Err(Refusal::WrongState));
    assert_eq!(next(&rejected, Change::Reconsider).expect("it was unschedulable").state, TaskState::Queued);
}

#[test]
fn a_checkpoint_belongs_to_its_epoch_and_moves_forward() {
    let row = running(Effects::Fenced);
    let kept = next(&row, Change::Checkpoint(key(&row, row.epoch, 2))).expect("own epoch");
    assert_eq!(next(&kept, Change::Checkpoint(key(&row, row.epoch, 1))), Err(Refusal::WrongCheckpoint));
    assert_eq!(next(&kept, Change::Checkpoint(key(&row, row.epoch.next(), 3))), Err(Refusal::WrongCheckpoint));
    let evicted = next(&kept, Change::Evict(None)).expect("a running task can be evicted");
    assert_eq!(evicted.checkpoint, Some(key(&row, row.epoch, 2)));
    assert_eq!(key(&row, Epoch(1), 2).to_string(), "checkpoints/job/0/0000000000000001/00000002");
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        Just(claim()),
        Just(Change::Start),
        Just(Change::Adopt(BootId(2))),
        Just(Change::Decline),
        Just(Change::Complete),
        (0_u64..3).prop_map(|epoch| Change::CompleteLate(Epoch(epoch))),
        Just(Change::Evict(None)),
        Just(Change::Fail(Code::OutcomeUnknown)),
        Just(Change::Expire),
        Just(Change::Cancel),
        Just(Change::Reject(Code::Unschedulable)),
        Just(Change::Reconsider),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn an_epoch_has_one_claim_and_an_end_is_final(changes in prop::collection::vec((change(), 0_u64..3), 1..40)) {
        let mut row = queued(Effects::Fenced);
        let mut claims = Vec::new();
        for (change, behind) in changes {
            let epoch = Epoch(row.epoch.0.saturating_sub(behind));
            let is_claim = matches!(change, Change::Claim(_));
            let Ok(after) = apply(&row, Transition { epoch, change }) else { continue };
            prop_assert!(!row.state.is_final());
            prop_assert_eq!(epoch, row.epoch);
            prop_assert!(after.epoch >= row.epoch);
            let ended = row.state.claim().is_some() && after.state.claim().is_none();
            prop_assert!(!ended || after.epoch > row.epoch);
            prop_assert!(after.attempts.len() <= after.attempts_max as usize);
            if is_claim {
                claims.push(epoch);
            }
            row = after;
        }
        prop_assert!(claims.windows(2).all(|pair| pair[0] < pair[1]));
    }
}
