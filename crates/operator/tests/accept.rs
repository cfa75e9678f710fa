//! Acceptance against a table with races, lost replies, late writes and stale reads.

#[path = "support/fitters.rs"]
mod fitters;
#[path = "support/table.rs"]
mod table;

use chervilledge_operator::accept::{self, Outcome, Proposal, ReadError, Summary};
use chervilledge_operator::documents::{Accepted, Documents};
use chervilledge_operator::plan::Plan;
use chervilledge_operator::store::Commit;
use fitters::with_target;
use proptest::prelude::*;
use rstest::rstest;
use table::{Fate, Table};
use tokio::runtime::Builder;

/// Proposal of an operator against a version.
fn proposal(base: Option<&Accepted>, documents: Documents, operator: &str) -> Proposal {
    let plan = Plan::new(base, &documents);
    Proposal {
        base: plan.base,
        plan: plan.checksum,
        documents,
        operator: operator.into(),
        accepted_at: "2026-01-01T00:00:00Z".into(),
    }
}

async fn accepted(table: &Table, proposal: &Proposal) -> Accepted {
    match accept::accept(&table.store(), proposal, None).await {
        Outcome::Accepted(accepted) => *accepted,
        other => panic!("not accepted: {other:?}"),
    }
}

#[tokio::test]
async fn versions_follow_one_another() {
    let table = Table::default();
    let first = accepted(&table, &proposal(None, with_target(200), "ana")).await;
    let second = accepted(&table, &proposal(Some(&first), with_target(150), "ben")).await;
    assert_eq!((first.version, second.version), (1, 2));
    let store = table.store();
    assert_eq!(accept::current(&store).await, Ok(Some(second.clone())));
    assert_eq!(accept::history(&store, None).await, Ok(vec![Summary::from(&second), Summary::from(&first)]));
    assert_eq!(accept::history(&store, Some(1)).await, Ok(vec![Summary::from(&first)]));
    assert_eq!(accept::version(&store, 1).await, Ok(Some(first)));
    assert_eq!(accept::version(&store, 3).await, Ok(None));
}

#[tokio::test]
async fn the_loser_of_a_race_learns_the_winner() {
    let table = Table::default();
    let first = accepted(&table, &proposal(None, with_target(200), "ana")).await;
    let winner = accepted(&table, &proposal(Some(&first), with_target(150), "ben")).await;
    let third = accepted(&table, &proposal(Some(&winner), with_target(140), "ben")).await;
    let outcome = accept::accept(&table.store(), &proposal(Some(&first), with_target(300), "eva"), None).await;
    assert_eq!(outcome, Outcome::Conflict(Summary::from(&winner)), "the winner took the version that eva planned");
    assert_eq!(accept::current(&table.store()).await, Ok(Some(third)));
}

#[tokio::test]
async fn repeating_an_acceptance_answers_the_same() {
    let table = Table::default();
    let ours = proposal(None, with_target(200), "ana");
    let first = accepted(&table, &ours).await;
    assert_eq!(accepted(&table, &ours).await, first);
    accepted(&table, &proposal(Some(&first), with_target(150), "ben")).await;
    let later = Proposal { accepted_at: "2026-01-02T00:00:00Z".into(), ..ours };
    assert_eq!(accepted(&table, &later).await, first, "also after another version");
    assert_eq!(table.taken().len(), 2);
}

#[rstest]
#[case::lost_reply(&[Fate::Done, Fate::LostReply])]
#[case::lost_request(&[Fate::Done, Fate::LostRequest])]
#[case::late(&[Fate::Done, Fate::Late])]
#[case::refused_write(&[Fate::Done, Fate::Refused])]
#[case::refused_read(&[Fate::Refused])]
#[case::lost_reply_then_torn_read(&[Fate::Done, Fate::LostReply, Fate::Torn])]
#[case::lost_reply_then_outage(&[Fate::Done, Fate::LostReply, Fate::Refused])]
#[tokio::test(start_paused = true)]
async fn one_failed_call_is_resolved(#[case] fates: &[Fate]) {
    let table = Table::new(fates.iter().copied());
    accepted(&table, &proposal(None, with_target(200), "ana")).await;
    table.settle();
    assert_eq!(table.taken().len(), 1);
}

#[rstest]
#[case::outage(&[Fate::Refused; 4], Outcome::Unavailable)]
#[case::refused_writes(&[Fate::Done, Fate::Refused, Fate::Done, Fate::Refused, Fate::Done, Fate::Refused, Fate::Done, Fate::Refused], Outcome::Unavailable)]
#[case::lost_then_outage(&[Fate::Done, Fate::LostReply, Fate::Refused, Fate::Refused, Fate::Refused], Outcome::Unknown)]
#[case::lost_then_refused(&[Fate::Done, Fate::Late, Fate::Refused, Fate::Refused, Fate::Refused], Outcome::Unknown)]
#[tokio::test(start_paused = true)]
async fn an_outage_is_told_from_an_unknown_outcome(#[case] fates: &[Fate], #[case] expected: Outcome) {
    let table = Table::new(fates.iter().copied());
    let ours = proposal(None, with_target(200), "ana");
    assert_eq!(accept::accept(&table.store(), &ours, None).await, expected);
    table.settle();
    assert_eq!(table.taken().is_empty(), expected == Outcome::Unavailable);
}

#[tokio::test]
async fn documents_with_faults_change_nothing() {
    let table = Table::default();
    let outcome = accept::accept(&table.store(), &proposal(None, with_target(0), "ana"), None).await;
    assert!(matches!(&outcome, Outcome::Invalid(faults) if faults.len() == 1), "{outcome:?}");
    assert_eq!(table.taken(), []);
}

#[tokio::test]
async fn a_plan_of_other_documents_changes_nothing() {
    let table = Table::default();
    let reviewed = proposal(None, with_target(200), "ana");
    let swapped = Proposal { documents: with_target(900), ..reviewed };
    let outcome = accept::accept(&table.store(), &swapped, None).await;
    assert_eq!(outcome, Outcome::Mismatch { expected: Plan::new(None, &with_target(900)).checksum });
    assert_eq!(table.taken(), []);
}

#[rstest]
#[case::empty("")]
#[case::control("ana\n")]
#[tokio::test]
async fn a_malformed_operator_changes_nothing(#[case] operator: &str) {
    let table = Table::default();
    let outcome = accept::accept(&table.store(), &proposal(None, with_target(200), operator), None).await;
    assert_eq!(outcome, Outcome::Malformed);
}

#[tokio::test(start_paused = true)]
async fn a_table_that_fell_back_takes_no_plan_until_it_is_restored() {
    let table = Table::default();
    let first = accepted(&table, &proposal(None, with_target(200), "ana")).await;
    let second = accepted(&table, &proposal(Some(&first), with_target(150), "ben")).await;
    table.fall_back();
    let rival = proposal(Some(&first), with_target(300), "eva");
    let store = table.store();
    assert_eq!(accept::accept(&store, &rival, Some(second.stamp())).await, Outcome::Unavailable);
    assert_eq!(accept::restore(&store, &second).await, Ok(Commit::Done));
    assert_eq!(accept::current(&store).await, Ok(Some(second.clone())));
    let outcome = accept::accept(&store, &rival, Some(second.stamp())).await;
    assert_eq!(outcome, Outcome::Conflict(Summary::from(&second)));
}

#[tokio::test]
async fn restoring_never_lowers_the_table() {
    let table = Table::default();
    let first = accepted(&table, &proposal(None, with_target(200), "ana")).await;
    let second = accepted(&table, &proposal(Some(&first), with_target(150), "ben")).await;
    assert_eq!(accept::restore(&table.store(), &first).await, Ok(Commit::Done));
    assert_eq!(accept::current(&table.store()).await, Ok(Some(second)));
}

#[tokio::test]
async fn a_table_with_other_documents_under_a_known_version_takes_no_plan() {
    let table = Table::default();
    let first = accepted(&table, &proposal(None, with_target(200), "ana")).await;
    let mut known = first.stamp();
    known.checksum.0 ^= 1;
    let outcome = accept::accept(&table.store(), &proposal(Some(&first), with_target(150), "ben"), Some(known)).await;
    assert_eq!(outcome, Outcome::Contradiction { table: Some(first.stamp()), known });
}

#[tokio::test(start_paused = true)]
async fn the_history_keeps_as_many_versions_as_it_has_slots() {
    let table = Table::default();
    let first = accepted(&table, &proposal(None, with_target(1), "ana")).await;
    let mut last = first.clone();
    for version in 2..=accept::HISTORY_SLOTS + 1 {
        last = accepted(&table, &proposal(Some(&last), with_target(version), "ana")).await;
    }
    let store = table.store();
    assert_eq!(accept::version(&store, 1).await, Ok(None));
    assert_eq!(accept::version(&store, last.version).await, Ok(Some(last.clone())));
    let late = accept::accept(&store, &proposal(None, with_target(7), "eva"), None).await;
    assert_eq!(late, Outcome::Conflict(Summary::from(&last)), "the winner is no longer in the history");
    assert_eq!(accept::version(&store, 2).await.map(|held| held.is_some()), Ok(true));
}

#[tokio::test(start_paused = true)]
async fn a_damaged_row_is_reported_and_takes_no_plan() {
    let table = Table::default();
    let first = accepted(&table, &proposal(None, with_target(200), "ana")).await;
    table.damage();
    let store = table.store();
    let key = accept::CURRENT_KEY.to_owned();
    assert_eq!(accept::current(&store).await, Err(ReadError::Malformed { key }));
    let outcome = accept::accept(&store, &proposal(Some(&first), with_target(150), "ben"), None).await;
    assert_eq!(outcome, Outcome::Unavailable);
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        4 => Just(Fate::Done),
        1 => Just(Fate::Refused),
        1 => Just(Fate::LostRequest),
        1 => Just(Fate::LostReply),
        1 => Just(Fate::Late),
        1 => Just(Fate::Stale),
        1 => Just(Fate::Torn),
    ]
}

/// Several operators accept different plans against one version at the same time.
async fn race(fates: Vec<Fate>, operators: u64) -> Result<(), TestCaseError> {
    let table = Table::default();
    let first = accepted(&table, &proposal(None, with_target(200), "ana")).await;
    table.plan(fates);
    let proposals: Vec<Proposal> =
        (1..=operators).map(|index| proposal(Some(&first), with_target(index), &format!("operator-{index}"))).collect();
    let calls = proposals.iter().map(|ours| {
        let (store, ours) = (table.store(), ours.clone());
        tokio::spawn(async move { accept::accept(&store, &ours, None).await })
    });
    let calls: Vec<_> = calls.collect();
    let mut outcomes = Vec::new();
    for call in calls {
        outcomes.push(call.await.expect("no panic"));
    }
    table.plan([]);
    table.settle();
    judge(&table, &proposals, &outcomes)?;
    for (ours, before) in proposals.iter().zip(&outcomes) {
        let again = accept::accept(&table.store(), ours, None).await;
        match before {
            Outcome::Accepted(_) | Outcome::Conflict(_) => prop_assert_eq!(&again, before),
            _ => prop_assert!(matches!(again, Outcome::Accepted(_) | Outcome::Conflict(_)), "{again:?}"),
        }
    }
    let taken = table.taken();
    let versions: Vec<u64> = taken.iter().map(|accepted| accepted.version).collect();
    prop_assert_eq!(versions, vec![1, 2]);
    Ok(())
}

/// Compares what the operators were told with what took effect.
fn judge(table: &Table, proposals: &[Proposal], outcomes: &[Outcome]) -> Result<(), TestCaseError> {
    let taken = table.taken();
    let winner = taken.get(1);
    for (ours, outcome) in proposals.iter().zip(outcomes) {
        let won = winner.is_some_and(|winner| winner.plan == ours.plan);
        match outcome {
            Outcome::Accepted(accepted) => prop_assert_eq!(Some(&**accepted), winner),
            Outcome::Conflict(other) => prop_assert_eq!(Some(other.clone()), winner.map(Summary::from)),
            Outcome::Unavailable => prop_assert!(!won, "{} was told that nothing was written", ours.operator),
            Outcome::Unknown => {}
            other => prop_assert!(false, "{other:?}"),
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn one_plan_wins_and_every_answer_is_true(fates in prop::collection::vec(fate(), 0..24), operators in 1_u64..5) {
        let runtime = Builder::new_current_thread().enable_time().start_paused(true).build().expect("a runtime");
        runtime.block_on(race(fates, operators))?;
    }
}
