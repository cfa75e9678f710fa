//! Refusals of jobs because of the backlog ahead of them, also when the placer fails.

mod support;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::admission::{Backlog, Estimates, Pool, WorkBySize};
use chervilledge_cell::job::{Job, JobState};
use chervilledge_link::connection;
use chervilledge_policy::code::Code;
use chervilledge_scheduler::entry::{self, Entry, Reply};
use chervilledge_scheduler::message::{FromEntry, LINK_TIMEOUT, ToEntry};
use chervilledge_scheduler::metrics;
use chervilledge_scheduler::rows::{self, HEARTBEAT_KEY, PLACER_KEY};
use chervilledge_scheduler::store::Table;
use rstest::rstest;
use support::{Fault, MemoryStore, entry_settings, job, tokio_clock};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Timeout of callers.
const TIMEOUT: Duration = Duration::from_secs(3);
const TERM: u64 = 5;

/// What the fake placer sends.
#[derive(Clone, Copy, Debug)]
struct PlacerScript {
    has_backlog: bool,
    /// Reply to a state request, if it sends one: the job's state, and whether the peer places.
    answer: Option<(Option<JobState>, bool)>,
}

/// Peer that is the cell's placer according to the rows, and sends what the script says.
async fn fake_placer(rows: MemoryStore, script: watch::Receiver<PlacerScript>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let row = rows::Placer { term: TERM, holder: Some(Arc::from("entry-9")), address };
    rows.write(Table::Cell, PLACER_KEY, Some(rows::encode(&row)));
    loop {
        let (stream, _) = listener.accept().await.expect("a link");
        let Ok((sender, mut receiver)) = connection::accept_typed::<FromEntry>(stream, |_| true).await else {
            continue;
        };
        // Each heartbeat of the entry, at intervals of 500 ms, triggers one round of messages.
        while let Ok(message) = receiver.receive::<ToEntry>(LINK_TIMEOUT).await {
            let PlacerScript { has_backlog, answer } = *script.borrow();
            if let (ToEntry::State { question, .. }, Some((state, is_placer))) = (&message, answer) {
                sender.post(FromEntry::State { question: *question, state, is_placer, is_stored: state.is_some() });
            }
            if matches!(message, ToEntry::Beat) {
                rows.write(
                    Table::Cell,
                    HEARTBEAT_KEY,
                    Some(rows::encode(&rows::Heartbeat { term: TERM, is_alone: true })),
                );
                let backlog = if has_backlog { backlog() } else { Backlog::default() };
                sender.post(FromEntry::Beat { term: Some(TERM), is_stopping: false });
                sender.post(FromEntry::Pending { counts: Vec::new(), backlog });
            }
        }
    }
}

/// Backlog that occupies 100 cores for a minute, in small jobs.
fn backlog() -> Backlog {
    let mut late = WorkBySize::default();
    late.add(Duration::from_millis(1), Duration::from_mins(100));
    let pool = Pool {
        service: job(1).terms.service,
        is_filling: false,
        is_waiting: true,
        rate_millicores: Some(100_000),
        in_time: late.clone(),
        late,
    };
    Backlog { pools: vec![pool], queues: Vec::new() }
}

fn bounded(id: u64) -> Job {
    let mut job = job(id);
    job.terms.priority = 2;
    job.steps[0].estimate = Duration::from_secs(1);
    job.steps[0].resources.processor_millicores = 1_000;
    job
}

async fn spawn(rows: &MemoryStore) -> Entry {
    let settings = entry_settings("entry-1", SocketAddr::from((Ipv4Addr::LOCALHOST, 0)));
    entry::spawn(settings, tokio_clock(), rows.store(), metrics::open()).await.expect("an entry")
}

fn is_refused(reply: &Reply) -> bool {
    matches!(reply, Reply::Refused { code: Code::BacklogTooLong, retry_after } if *retry_after >= Duration::from_millis(500))
}

async fn wait_for_view(entry: &Entry) {
    while entry.dump().await["backlog"]["view"]["pools"].as_array().is_none_or(Vec::is_empty) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against messages that saturate an entry's link: 2 KB to 8 other entries twice a second are 3% of 10 Mbit/s.
#[test]
fn what_entries_are_told_is_small() {
    let mut sizes = WorkBySize::default();
    (0..28).for_each(|class| sizes.add(Duration::from_millis(1 << class), Duration::from_secs(100)));
    let pool =
        |is_filling| Pool { is_filling, in_time: sizes.clone(), late: sizes.clone(), ..backlog().pools[0].clone() };
    let estimates =
        |number| Estimates { queue: format!("queue-{number}").into(), ratio_percent: 120, spread_percent: 30 };
    let backlog = Backlog { pools: vec![pool(false), pool(true)], queues: (0..4).map(estimates).collect() };
    let message = FromEntry::Pending { counts: Vec::new(), backlog };
    let bytes = connection::encode(&message).expect("a message").len();
    assert!(bytes < 2_000, "{bytes} bytes");
}

/// Guards against a refusal that is untrue or unconfirmed, and against a refused job that is stored anyway.
#[rstest]
#[case::unknown_to_the_placer(Some((None, true)), true)]
#[case::known_to_the_placer(Some((Some(JobState::Running), true)), false)]
#[case::no_placer_any_more(Some((None, false)), false)]
#[case::placer_silent(None, false)]
#[tokio::test]
async fn a_refusal_is_true(#[case] answer: Option<(Option<JobState>, bool)>, #[case] is_expected: bool) {
    let rows = MemoryStore::with_fault(Fault::None);
    let (_script_sender, script) = watch::channel(PlacerScript { has_backlog: true, answer });
    let placer = tokio::spawn(fake_placer(rows.clone(), script));
    let entry = spawn(&rows).await;
    wait_for_view(&entry).await;
    let reply = entry.submit(bounded(2), TIMEOUT).await;
    assert_eq!(is_refused(&reply), is_expected, "{reply:?}");
    assert_eq!(rows.has(Table::Jobs, "0000000000000002"), !is_expected);
    assert_eq!(entry.submit(job(3), TIMEOUT).await, Reply::Accepted, "a job of priority 0");
    placer.abort();
}

/// Guards against a refusal of a job whose earlier attempt may still take effect.
#[tokio::test]
async fn a_job_with_an_attempt_without_outcome_is_not_refused() {
    let rows = MemoryStore::with_fault(Fault::None);
    let (script_sender, script) = watch::channel(PlacerScript { has_backlog: false, answer: Some((None, true)) });
    let placer = tokio::spawn(fake_placer(rows.clone(), script));
    let entry = spawn(&rows).await;
    rows.set_fault(Fault::LoseAnswers(u32::MAX));
    assert_eq!(entry.submit(bounded(2), TIMEOUT).await, Reply::Undecided);
    rows.set_fault(Fault::None);
    script_sender.send_modify(|script| script.has_backlog = true);
    wait_for_view(&entry).await;
    assert!(is_refused(&entry.submit(bounded(4), TIMEOUT).await));
    assert!(!is_refused(&entry.submit(bounded(2), TIMEOUT).await));
    placer.abort();
}

/// Guards against refusals based on a backlog that is no longer updated.
#[tokio::test]
async fn nothing_is_refused_once_the_placer_is_gone() {
    let rows = MemoryStore::with_fault(Fault::None);
    let (_script_sender, script) = watch::channel(PlacerScript { has_backlog: true, answer: Some((None, true)) });
    let placer = tokio::spawn(fake_placer(rows.clone(), script));
    let entry = spawn(&rows).await;
    wait_for_view(&entry).await;
    placer.abort();
    assert_eq!(entry.submit(bounded(2), TIMEOUT).await, Reply::Accepted);
    tokio::time::sleep(Duration::from_millis(2_100)).await;
    assert_eq!(entry.submit(bounded(4), TIMEOUT).await, Reply::Accepted);
}
