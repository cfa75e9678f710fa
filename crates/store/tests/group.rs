//! Group commit: members share transactions, and each receives its own outcome.

mod support;

use std::time::Duration;

use chervilledge_standins::platform::{self, Faults, Handle};
use chervilledge_store::client::{Client, Resolution};
use chervilledge_store::error::{Outcome, Reason};
use chervilledge_store::group::{self, Group, Settings, Submitted};
use chervilledge_store::table::{Expect, Write};
use rstest::rstest;
use serde_json::json;
use support::{open_client, start_store};

const MEMBERS: usize = 40;

/// Settings that wait long enough for all members of a test to join one transaction.
fn settings() -> Settings {
    Settings { members: MEMBERS, wait: Duration::from_secs(10), ..Settings::default() }
}

async fn start(settings: Settings) -> (Handle, Client, Group) {
    let store = start_store(platform::Settings::default()).await;
    let client = open_client(&store, 1);
    let group = group::spawn(client.clone(), settings);
    (store, client, group)
}

async fn submit_all(group: &Group, expect: impl Fn(usize) -> Expect) -> Vec<Submitted> {
    let submit = |number| {
        let write = Write::put(format!("task/{number:03}"), expect(number), json!(number));
        let group = group.clone();
        tokio::spawn(async move { group.submit(vec![write]).await })
    };
    let tasks: Vec<_> = (0..MEMBERS).map(submit).collect();
    let mut submitted = Vec::new();
    for task in tasks {
        submitted.push(task.await.unwrap());
    }
    submitted
}

fn is_done(submitted: &Submitted) -> bool {
    matches!(submitted.outcome, Outcome::Done(_))
}

#[tokio::test]
async fn members_share_one_transaction() {
    let (store, _client, group) = start(settings()).await;
    let submitted = submit_all(&group, |_| Expect::Absent).await;
    assert!(submitted.iter().all(is_done), "{submitted:?}");
    assert_eq!(store.ledger_after(0).len(), 1);
}

#[rstest]
#[case::one(&[7])]
#[case::several(&[0, 7, 8, 39])]
#[tokio::test]
async fn members_with_a_conflict_dont_fail_the_others(#[case] conflicting: &[usize]) {
    let (store, client, group) = start(settings()).await;
    let taken = conflicting.iter().map(|number| Write::put(format!("task/{number:03}"), Expect::Any, json!("taken")));
    client.commit(client.next_write_id(), taken.collect()).await;
    let submitted = submit_all(&group, |_| Expect::Absent).await;
    for (number, member) in submitted.iter().enumerate() {
        let has_conflict = matches!(&member.outcome, Outcome::NotDone(Reason::Conflict(conflict))
            if *conflict.key == *format!("task/{number:03}") && conflict.others.is_empty());
        assert_eq!(
            (is_done(member), has_conflict),
            (!conflicting.contains(&number), conflicting.contains(&number)),
            "{member:?}"
        );
    }
    assert_eq!(store.ledger_after(0).len(), 2);
}

#[rstest]
#[case::reply(Faults { lose_reply_next: 1, ..Faults::default() }, true)]
#[case::request(Faults { lose_request_next: 1, ..Faults::default() }, false)]
#[tokio::test]
async fn a_lost_transaction_is_resolved_for_every_member(#[case] faults: Faults, #[case] took_effect: bool) {
    let (store, client, group) = start(Settings { resolve_limit: Duration::from_mins(1), ..settings() }).await;
    store.control(faults);
    let submitted = submit_all(&group, |_| Expect::Absent).await;
    for member in &submitted {
        let fenced = member.outcome == Outcome::NotDone(Reason::Fenced);
        assert_eq!((is_done(member), fenced), (took_effect, !took_effect), "{member:?}");
    }
    let rows = client.scan("task/", None, 100).await.unwrap();
    assert_eq!(rows.len(), if took_effect { MEMBERS } else { 0 });
}

#[tokio::test]
async fn an_outage_leaves_members_unknown_until_they_are_resolved() {
    let (store, client, group) = start(Settings { resolve_limit: Duration::from_millis(100), ..settings() }).await;
    store.control(Faults { down: true, ..Faults::default() });
    let submitted = submit_all(&group, |_| Expect::Absent).await;
    assert!(submitted.iter().all(|member| member.outcome == Outcome::Unknown), "{submitted:?}");
    store.control(Faults::default());
    for (number, member) in submitted.iter().enumerate() {
        let resolution = client.resolve(member.write_id.unwrap(), &format!("task/{number:03}").into()).await;
        assert_eq!(resolution, Resolution::NotDone);
    }
    assert!(client.scan("task/", None, 100).await.unwrap().is_empty());
}

#[tokio::test]
async fn two_writes_of_one_row_never_share_a_transaction() {
    let (store, _client, group) = start(Settings { wait: Duration::from_millis(50), ..settings() }).await;
    let submit = |value| group.submit(vec![Write::put("row", Expect::Any, json!(value))]);
    let (first, second) = tokio::join!(submit(1), submit(2));
    assert!(is_done(&first) && is_done(&second), "{first:?} {second:?}");
    assert_eq!(store.ledger_after(0).len(), 2);
}

#[tokio::test]
async fn members_beyond_the_queue_are_never_sent() {
    let (store, _client, group) =
        start(Settings { queued_members: 2, concurrent_commits: 1, wait: Duration::ZERO, ..settings() }).await;
    store.control(Faults { slow: Duration::from_millis(500), ..Faults::default() });
    let submitted = submit_all(&group, |_| Expect::Absent).await;
    let done = submitted.iter().filter(|member| is_done(member)).count();
    let refused = submitted.iter().filter(|member| member.outcome == Outcome::NotDone(Reason::NeverSent)).count();
    assert_eq!(done + refused, MEMBERS, "{submitted:?}");
    assert!(done > 0 && refused > 0, "{done} done, {refused} refused");
    let written: usize = store.ledger_after(0).iter().flat_map(|entry| &entry.writes).count();
    assert!(written >= done);
}
