//! What an entry tells callers that come again.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use chervilledge_scheduler::entry::{self, Entry, Reply};
use chervilledge_scheduler::{metrics, settings};
use support::{Fault, Rows, job, tokio_clock};

/// Time that callers wait.
const TIMEOUT: Duration = Duration::from_secs(3);

async fn spawn(rows: &Rows) -> Entry {
    let settings = settings::Entry {
        name: "entry-1".into(),
        links_address: SocketAddr::from(([127, 0, 0, 1], 0)),
        processor_share: 1.0,
        worker_lease_max: Duration::from_secs(5),
        ended_jobs_kept: Duration::from_mins(2),
        stop_timeout: Duration::from_secs(6),
    };
    entry::spawn(settings, tokio_clock(), rows.store(), metrics::open()).await.expect("an entry")
}

/// A refusal says that the job never runs; after an attempt without an answer that wouldn't be true.
#[tokio::test(start_paused = true)]
async fn a_job_that_may_be_stored_is_not_refused() {
    let rows = Rows::with(Fault::LoseAnswers(u32::MAX));
    let entry = spawn(&rows).await;
    assert_eq!(entry.submit(job(1), TIMEOUT).await, Reply::Undecided);
    rows.set(Fault::Refuse);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(entry.submit(job(1), TIMEOUT).await, Reply::Undecided);
    assert!(matches!(entry.submit(job(2), TIMEOUT).await, Reply::Refused { .. }));
    rows.set(Fault::None);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(entry.submit(job(1), TIMEOUT).await, Reply::Accepted);
}
