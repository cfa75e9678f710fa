//! When an entry refuses a job for the work ahead of it, beside a placer that fails.

mod support;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::admission::{Backlog, Estimates, Pool, WorkBySize};
use chervilledge_cell::job::{Job, JobState};
use chervilledge_link::connection;
use chervilledge_policy::code::Code;
use chervilledge_scheduler::entry::{self, Entry, Reply};
use chervilledge_scheduler::message::{FromEntry, SILENCE, ToEntry};
use chervilledge_scheduler::rows::{self, BEAT, PLACER};
use chervilledge_scheduler::store::Table;
use chervilledge_scheduler::{metrics, settings};
use rstest::rstest;
use support::{Fault, Rows, job, tokio_clock};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Time that callers wait.
const TIMEOUT: Duration = Duration::from_secs(3);
const TERM: u64 = 5;

/// What the placer tells.
#[derive(Clone, Copy, Debug)]
struct Told {
    has_backlog: bool,
    /// Answer to a question for a job, if there is one: its state and whether the peer places.
    answer: Option<(Option<JobState>, bool)>,
}

/// A peer that is the cell's placer by the rows and tells what it is told to.
async fn fake_placer(rows: Rows, told: watch::Receiver<Told>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let row = rows::Placer { term: TERM, holder: Some(Arc::from("entry-9")), address };
    rows.write(Table::Cell, PLACER, Some(rows::encode(&row)));
    loop {
        let (stream, _) = listener.accept().await.expect("a link");
        let Ok((sender, mut receiver)) = connection::accept_typed::<FromEntry>(stream, |_| true).await else {
            continue;
        };
        // The entry's signs of life, at 500 ms, set the pace.
        while let Ok(message) = receiver.receive::<ToEntry>(SILENCE).await {
            let Told { has_backlog, answer } = *told.borrow();
            if let (ToEntry::State { question, .. }, Some((state, is_placer))) = (&message, answer) {
                sender.post(FromEntry::State { question: *question, state, is_placer, is_stored: state.is_some() });
            }
            if matches!(message, ToEntry::Beat) {
                rows.write(Table::Cell, BEAT, Some(rows::encode(&rows::Beat { term: TERM, is_alone: true })));
                let backlog = if has_backlog { backlog() } else { Backlog::default() };
                sender.post(FromEntry::Beat { term: Some(TERM) });
                sender.post(FromEntry::Pending { counts: Vec::new(), backlog });
            }
        }
    }
}

/// A minute of work for 100 cores, in small jobs.
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

async fn spawn(rows: &Rows) -> Entry {
    let settings = settings::Entry {
        name: "entry-1".into(),
        links_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        processor_share: 1.0,
        worker_lease_max: Duration::from_secs(5),
        configuration_apply: Duration::from_secs(2),
        evacuation_apply: None,
        cancellation_apply: Duration::from_secs(3),
        ended_jobs_kept: Duration::from_mins(2),
        stop_timeout: Duration::from_secs(6),
    };
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

/// Guards against messages that fill an entry's link: 2 KB to 8 others twice a second are 3% of 10 Mbit/s.
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

/// Guards against a refusal that isn't true, or that nothing confirms, and against one that stores the job.
#[rstest]
#[case::unknown_to_the_placer(Some((None, true)), true)]
#[case::known_to_the_placer(Some((Some(JobState::Running), true)), false)]
#[case::no_placer_any_more(Some((None, false)), false)]
#[case::placer_silent(None, false)]
#[tokio::test]
async fn a_refusal_is_true(#[case] answer: Option<(Option<JobState>, bool)>, #[case] is_expected: bool) {
    let rows = Rows::with(Fault::None);
    let (_tell, told) = watch::channel(Told { has_backlog: true, answer });
    let placer = tokio::spawn(fake_placer(rows.clone(), told));
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
    let rows = Rows::with(Fault::None);
    let (tell, told) = watch::channel(Told { has_backlog: false, answer: Some((None, true)) });
    let placer = tokio::spawn(fake_placer(rows.clone(), told));
    let entry = spawn(&rows).await;
    rows.set(Fault::LoseAnswers(u32::MAX));
    assert_eq!(entry.submit(bounded(2), TIMEOUT).await, Reply::Undecided);
    rows.set(Fault::None);
    tell.send_modify(|told| told.has_backlog = true);
    wait_for_view(&entry).await;
    assert!(is_refused(&entry.submit(bounded(4), TIMEOUT).await));
    assert!(!is_refused(&entry.submit(bounded(2), TIMEOUT).await));
    placer.abort();
}

/// Guards against refusals on a view that is no longer renewed.
#[tokio::test]
async fn nothing_is_refused_once_the_placer_is_gone() {
    let rows = Rows::with(Fault::None);
    let (_tell, told) = watch::channel(Told { has_backlog: true, answer: Some((None, true)) });
    let placer = tokio::spawn(fake_placer(rows.clone(), told));
    let entry = spawn(&rows).await;
    wait_for_view(&entry).await;
    placer.abort();
    assert_eq!(entry.submit(bounded(2), TIMEOUT).await, Reply::Accepted);
    tokio::time::sleep(Duration::from_millis(2_100)).await;
    assert_eq!(entry.submit(bounded(4), TIMEOUT).await, Reply::Accepted);
}
