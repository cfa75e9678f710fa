//! An entry that dies takes nothing with it but the connections of its own callers.

mod harness;

use std::time::Duration;

use harness::cluster::{self, Cluster};
use harness::{Answer, send, wait_for_workers};

/// Sends `count` requests to one entry, 8 at a time.
async fn send_many(cluster: &Cluster, entry: usize, count: usize) -> Vec<Result<Answer, String>> {
    use futures_util::StreamExt;
    let callers = cluster.entries[entry].callers();
    let sent = (0..count).map(|number| async move {
        let path = format!("/portal/{entry}/{number}");
        send(callers, "POST", &path, &[("x-work-ms", "40")], Vec::new()).await
    });
    futures_util::stream::iter(sent).buffered(8).collect().await
}

#[tokio::test(flavor = "multi_thread")]
async fn other_entries_go_on_and_nothing_runs_twice() {
    let cluster = cluster::start(2, 3).await;
    let death = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        cluster.entries[0].process.signal("KILL");
    };
    let (lost, others, ()) = tokio::join!(send_many(&cluster, 0, 60), send_many(&cluster, 1, 120), death);

    let answered = others.iter().filter(|answer| answer.as_ref().is_ok_and(|answer| answer.status == 200)).count();
    assert_eq!(answered, 120, "{others:?}");
    assert!(lost.iter().any(Result::is_err), "the death came while requests were under way");
    let mut executed = cluster.executed();
    let total = executed.len();
    executed.sort();
    executed.dedup();
    assert_eq!(executed.len(), total, "a request was run twice");
}

#[tokio::test(flavor = "multi_thread")]
async fn work_of_a_dead_entry_leaves_no_slot_occupied() {
    let cluster = cluster::start(2, 1).await;
    let occupied = async {
        let callers = cluster.entries[0].callers();
        let sent = (0..8).map(|number| async move {
            let path = format!("/portal/{number}");
            send(callers, "POST", &path, &[("x-work-ms", "1500")], Vec::new()).await
        });
        futures_util::future::join_all(sent).await
    };
    let death = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        cluster.entries[0].process.signal("KILL");
    };
    tokio::join!(occupied, death);

    harness::wait_until("the slots are free", || async {
        let callers = cluster.entries[1].callers();
        let answer = send(callers, "POST", "/portal/after", &[], Vec::new()).await.expect("answer");
        answer.status == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn agents_find_entries_again_when_all_were_replaced() {
    let mut cluster = cluster::start(1, 2).await;
    cluster.entries[0].process.kill();
    cluster.add_entry("entry-9", |_| {}).await;
    // The address at which agents look first leads to whatever entry is there now, as a balancer's does.
    cluster.entries[0].network.set_target(cluster.entries[1].process.address("links_address"));

    wait_for_workers(&cluster.entries[1].process, 2).await;
    let answer = send(cluster.entries[1].callers(), "POST", "/portal/x", &[], Vec::new()).await.expect("answer");
    assert_eq!(answer.status, 200, "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn agents_that_move_from_the_balancer_to_their_entries_learn_the_configuration() {
    // Agents find entries at one address and then link to the addresses that the entries announce.
    let announce_own = |entry: &mut serde_json::Value| entry["links_advertised_address"] = serde_json::Value::Null;
    for _ in 0..4 {
        let cluster = cluster::start_with(2, 3, announce_own, |_| {}).await;
        let answer = send(cluster.entries[0].callers(), "POST", "/portal/x", &[], Vec::new()).await.expect("answer");
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn link_by_the_first_address_stays_while_the_announced_ones_cannot_be_reached() {
    let nowhere = |entry: &mut serde_json::Value| entry["links_advertised_address"] = "127.0.0.1:1".into();
    let cluster = cluster::start_with(1, 1, nowhere, |_| {}).await;
    let links_opened = || async {
        let state = harness::state(cluster.workers[0].agent.address("operators_address")).await;
        state["agent"]["links_opened"].as_u64().expect("count")
    };
    // The first announcement of the entries and the time without a link may cost a link each.
    harness::wait_until("the link has settled", || async {
        let before = links_opened().await;
        tokio::time::sleep(Duration::from_secs(5)).await;
        links_opened().await == before
    })
    .await;
    let answer = send(cluster.entries[0].callers(), "POST", "/portal/x", &[], Vec::new()).await.expect("answer");
    assert_eq!(answer.status, 200, "{answer:?}");
}
