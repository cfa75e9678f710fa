//! What callers are told about their job when the store fails.

mod support;

use std::time::Duration;

use chervilledge_cell::job::{Job, Step};
use chervilledge_policy::id::Name;
use chervilledge_scheduler::message::StoreOutcome;
use chervilledge_scheduler::store::Table;
use chervilledge_scheduler::submit;
use futures_util::future::join_all;
use rstest::rstest;
use support::{Fault, MemoryStore, job, tokio_clock};
use tokio::time::Instant;

/// Timeout of callers.
const DEADLINE: Duration = Duration::from_secs(3);

fn deadline() -> Duration {
    tokio_clock().now() + DEADLINE
}

#[rstest]
#[case::answers(Fault::None, StoreOutcome::Done, true, 50)]
#[case::answer_is_lost(Fault::LoseAnswers(1), StoreOutcome::Done, true, 600)]
#[case::refuses(Fault::Refuse, StoreOutcome::Refused, false, 50)]
#[case::is_silent(Fault::Silent, StoreOutcome::Unknown, false, 1_400)]
#[case::loses_every_answer(Fault::LoseAnswers(9), StoreOutcome::Unknown, true, 1_400)]
#[tokio::test(start_paused = true)]
async fn callers_are_told_what_is_known(
    #[case] fault: Fault,
    #[case] expected: StoreOutcome,
    #[case] is_stored: bool,
    #[case] within_ms: u64,
) {
    let rows = MemoryStore::with_fault(fault);
    let submitter = submit::spawn(&rows.store(), &tokio_clock());
    let began = Instant::now();
    let stored = submitter.store_job(job(1), deadline()).await;
    assert_eq!(stored, expected);
    assert_eq!(rows.has(Table::Jobs, "0000000000000001"), is_stored);
    assert!(began.elapsed() < Duration::from_millis(within_ms), "took {:?}", began.elapsed());
}

/// Submitting the same job again, even while the first submission is in flight, stores it once.
#[tokio::test(start_paused = true)]
async fn the_same_job_is_stored_once() {
    let rows = MemoryStore::with_fault(Fault::None);
    let submitter = submit::spawn(&rows.store(), &tokio_clock());
    let (first, second) =
        tokio::join!(submitter.store_job(job(1), deadline()), submitter.store_job(job(1), deadline()));
    assert_eq!([first, second, submitter.store_job(job(1), deadline()).await], [StoreOutcome::Done; 3]);
    assert_eq!(rows.writes(Table::Jobs, "0000000000000001"), 1);
}

/// A refusal of the second attempt proves nothing about the first.
#[tokio::test(start_paused = true)]
async fn a_refusal_after_a_lost_answer_is_no_refusal() {
    let rows = MemoryStore::with_fault(Fault::LoseAnswerThenRefuse);
    let submitter = submit::spawn(&rows.store(), &tokio_clock());
    assert_eq!(submitter.store_job(job(1), deadline()).await, StoreOutcome::Unknown);
    assert!(rows.has(Table::Jobs, "0000000000000001"));
}

/// Once the store is known to be silent, callers are refused without delay, and they are served soon after it is back.
#[tokio::test(start_paused = true)]
async fn later_callers_are_refused_at_once() {
    let rows = MemoryStore::with_fault(Fault::Silent);
    let submitter = submit::spawn(&rows.store(), &tokio_clock());
    assert_eq!(submitter.store_job(job(1), deadline()).await, StoreOutcome::Unknown);
    let began = Instant::now();
    assert_eq!(submitter.store_job(job(2), deadline()).await, StoreOutcome::Refused);
    assert!(began.elapsed() < Duration::from_millis(20));
    rows.set_fault(Fault::None);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(submitter.store_job(job(3), deadline()).await, StoreOutcome::Done);
    assert_eq!(submitter.store_job(job(4), deadline()).await, StoreOutcome::Done);
}

/// A job whose steps take about this many bytes in its row.
fn large_job(id: u64, bytes: usize) -> Job {
    let label = Some(Name::from("x".repeat(bytes / 8)));
    Job { steps: vec![Step { count: 1, required_label: label, ..Step::default() }; 8], ..job(id) }
}

/// Jobs in one transaction with one that is too large for a row, or with so many large ones that they are too much for one
/// call, were refused with it.
#[tokio::test(start_paused = true)]
async fn a_job_too_large_for_a_row_refuses_those_beside_it() {
    let rows = MemoryStore::with_fault(Fault::None);
    let submitter = submit::spawn(&rows.store(), &tokio_clock());
    // All of one partition.
    let sizes = std::iter::once(70_000).chain(std::iter::repeat_n(40_000, 40));
    let jobs = sizes.enumerate().map(|(number, bytes)| large_job(16 * (number as u64 + 1), bytes));
    let stored = join_all(jobs.map(|job| submitter.store_job(job, deadline()))).await;
    assert_eq!(stored[0], StoreOutcome::Refused);
    assert!(stored[1..].iter().all(|stored| *stored == StoreOutcome::Done), "{stored:?}");
}

/// A job with a value that can't be encoded ended the task that stores the jobs of its partition.
#[tokio::test(start_paused = true)]
async fn a_job_without_an_encoded_form_ends_the_writer() {
    let rows = MemoryStore::with_fault(Fault::None);
    let submitter = submit::spawn(&rows.store(), &tokio_clock());
    let target = Some(Duration::from_secs(u64::MAX));
    let poison = Job { steps: vec![Step { count: 1, latency_target: target, ..Step::default() }], ..job(16) };
    assert_eq!(submitter.store_job(poison, deadline()).await, StoreOutcome::Refused);
    assert_eq!(submitter.store_job(job(32), deadline()).await, StoreOutcome::Done);
}
