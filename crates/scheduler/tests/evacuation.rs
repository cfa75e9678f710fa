//! Starts in an evacuated failure domain must be impossible once the entry, the placer or the agent knows the request.

mod support;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::worker::Refusal;
use chervilledge_scheduler::entry::{self, Entry};
use chervilledge_scheduler::message::{FromAgent, ToAgent};
use chervilledge_scheduler::worker::StartOutcome;
use chervilledge_scheduler::{metrics, settings};
use rstest::rstest;
use support::agent::{Link, link, spawn, task};
use support::{Fault, MemoryStore, entry_settings, tokio_clock};

/// Domain of the worker beside the agent under test.
const DOMAIN: &str = "a";
/// Time after the request within which starts in an evacuated domain must cease.
const APPLY: Duration = Duration::from_secs(5);

async fn spawn_entry(rows: &MemoryStore, configuration_apply: Duration) -> Entry {
    let settings = settings::Entry {
        configuration_apply,
        evacuation_apply: Some(APPLY),
        ..entry_settings("entry-1", SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
    };
    entry::spawn(settings, tokio_clock(), rows.store(), metrics::open()).await.expect("an entry")
}

async fn evacuated(entry: &Entry) -> Vec<String> {
    let dump = entry.dump().await;
    serde_json::from_value(dump["domains_evacuated"].clone()).expect("names")
}

/// After the store is back, a request must be known within half of the allowed time, even if the store lost requests in
/// the meantime and a configuration may take longer.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_request_made_while_the_store_was_silent_is_known_in_time(
    #[values(0, 700, 2_300, 3_700)] begins_after_ms: u64,
    #[values(300, 1_500, 4_500)] silent_for_ms: u64,
    #[values(2_000, 20_000)] configuration_apply_ms: u64,
) {
    let rows = MemoryStore::with_fault(Fault::None);
    rows.configure(2);
    let entry = spawn_entry(&rows, Duration::from_millis(configuration_apply_ms)).await;
    tokio::time::sleep(Duration::from_millis(500 + begins_after_ms)).await;
    rows.set_fault(Fault::Silent);
    rows.evacuate(DOMAIN, true);
    tokio::time::sleep(Duration::from_millis(silent_for_ms)).await;
    rows.set_fault(Fault::None);
    tokio::time::sleep(APPLY / 2).await;
    assert_eq!(evacuated(&entry).await, [DOMAIN]);
}

/// After a loss of history, a domain must not stay evacuated because its removal was missed, and a request made in the
/// meantime must not be missed.
#[tokio::test(start_paused = true)]
async fn lost_history_is_made_up_for_by_a_whole_read() {
    let rows = MemoryStore::with_fault(Fault::None);
    rows.configure(2);
    rows.evacuate(DOMAIN, true);
    rows.evacuate("b", true);
    let entry = spawn_entry(&rows, APPLY).await;
    tokio::time::sleep(APPLY).await;
    assert_eq!(evacuated(&entry).await, [DOMAIN, "b"]);
    rows.set_fault(Fault::Silent);
    rows.evacuate(DOMAIN, false);
    rows.evacuate("c", true);
    rows.lose_history();
    tokio::time::sleep(APPLY).await;
    rows.set_fault(Fault::None);
    tokio::time::sleep(APPLY).await;
    assert_eq!(evacuated(&entry).await, ["b", "c"]);
}

fn send_evacuation(link: &Link, revision: u64, is_requested: bool) {
    link.sender.post(ToAgent::Evacuation { domain: Arc::from(DOMAIN), revision, is_requested });
}

async fn refusal(link: &mut Link) -> Refusal {
    let choose = |message| match message {
        FromAgent::Refused { refusal, .. } => Some(refusal),
        FromAgent::Started { .. } => panic!("a start in an evacuated domain"),
        _ => None,
    };
    link.wait_for("a refusal", choose).await
}

/// A placer that is cut off from the store, or has read an old state, must not start anything in a domain whose
/// evacuation its agent learned from another placer.
#[tokio::test]
async fn an_agent_refuses_starts_whatever_an_older_revision_says() {
    let agent = spawn().await;
    let mut previous_placer = link(&agent, 1).await;
    previous_placer.inventory().await;
    send_evacuation(&previous_placer, 20, true);
    previous_placer.start(task(1), 1);
    assert_eq!(refusal(&mut previous_placer).await, Refusal::Evacuated);
    let mut new_placer = link(&agent, 2).await;
    new_placer.inventory().await;
    send_evacuation(&new_placer, 10, false);
    new_placer.start(task(1), 10_001);
    assert_eq!(refusal(&mut new_placer).await, Refusal::Evacuated);
    assert_eq!(agent.worker.change(|script| script.starts.len()), 0);
    send_evacuation(&new_placer, 30, false);
    new_placer.start(task(1), 10_002);
    agent.worker.wait_for("a start after the removal", |script| !script.starts.is_empty()).await;
}

/// A start whose response was lost before the request must not be repeated after it, nor be executed late.
#[tokio::test]
async fn a_start_without_an_answer_is_stopped_instead_of_repeated() {
    let agent = spawn().await;
    agent.worker.change(|script| (script.start, script.delays_start_responses) = (StartOutcome::Unknown, true));
    let mut link = link(&agent, 1).await;
    link.inventory().await;
    link.start(task(1), 1);
    agent.worker.wait_for("the start is called", |script| !script.starts.is_empty()).await;
    send_evacuation(&link, 20, true);
    link.start(task(2), 1);
    assert_eq!(refusal(&mut link).await, Refusal::Evacuated);
    agent.worker.change(|script| script.delays_start_responses = false);
    agent.worker.wait_for("a stop", |script| !script.stops.is_empty()).await;
    assert_eq!(agent.worker.change(|script| script.starts.len()), 1);
}
