//! Rows and transactions near the largest size that the store takes.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::cell::{Cell, Inventory};
use chervilledge_cell::job::{Job, JobId, Step, TaskId, TaskKey};
use chervilledge_cell::progress::Progress;
use chervilledge_cell::worker::{End, EndKind, Worker};
use chervilledge_policy::capacity::Resources;
use chervilledge_policy::id::Name;
use chervilledge_scheduler::message::StoreOutcome;
use chervilledge_scheduler::rows::{self, EFFECTS_KEY, Effect, HANDOVER_KEY, Handover};
use chervilledge_scheduler::store::{ROW_BYTES_MAX, Table};
use chervilledge_scheduler::{progress_rows, submit};
use futures_util::future::join_all;
use rstest::rstest;
use support::agent::life;
use support::{Fault, MemoryStore, configuration_of, job, tokio_clock};

/// Longest key of a row.
const KEY_BYTES_MAX: usize = 200;

fn name(number: usize, bytes: usize) -> Name {
    Name::from(format!("{number:0bytes$}"))
}

/// Callers name the images; the row of all effects was refused because of the names in some jobs.
#[rstest]
#[case::short_names(1_000, 10, 1_000)]
#[case::more_pairs_than_are_stored(1_001, 10, 1_000)]
#[case::long_names(1_000, 100, 200)]
#[case::a_name_that_fills_a_row(1, ROW_BYTES_MAX, 0)]
fn the_effects_outgrow_a_row(#[case] pairs: usize, #[case] name_bytes: usize, #[case] stored_min: usize) {
    let pair = |number| Effect(name(number, name_bytes), name(number, name_bytes), 900.0, 270.0);
    let mut effects: Vec<Effect> = (0..pairs).map(pair).collect();
    effects.push(Effect(Name::from("heavy"), Name::from("sensitive"), 901.0, 270.0));
    let row = rows::encode_effects(effects);
    assert!(row.len() <= ROW_BYTES_MAX, "{} bytes", row.len());
    let stored: Vec<Effect> = rows::decode(EFFECTS_KEY, &row).expect("well-formed");
    assert!(stored.len() >= stored_min && stored.iter().any(|Effect(filling, ..)| &**filling == "heavy"));
}

/// The row of the leases at agents without a link was refused because of their names, and with it the release of the cell.
#[rstest]
#[case::short_names(400, 16, 400)]
#[case::more_leases_than_are_stored(401, 16, 400)]
#[case::longest_names(400, KEY_BYTES_MAX - rows::AGENT_PREFIX.len(), 200)]
fn the_handed_over_leases_outgrow_a_row(#[case] leases: usize, #[case] name_bytes: usize, #[case] stored_min: usize) {
    let row = rows::encode_handover(7, (0..leases).map(|number| (name(number, name_bytes), 5_000)));
    assert!(row.len() <= ROW_BYTES_MAX, "{} bytes", row.len());
    let stored: Handover = rows::decode(HANDOVER_KEY, &row).expect("well-formed");
    assert!(stored.leases_ms.len() >= stored_min, "{} leases", stored.leases_ms.len());
}

/// Jobs of one partition beyond those of one transaction were refused.
#[rstest]
#[case::one_transaction(45)]
#[case::one_more(46)]
#[case::many(500)]
#[tokio::test(start_paused = true)]
async fn a_burst_of_jobs_is_refused(#[case] count: u64) {
    let rows = MemoryStore::with_fault(Fault::None);
    let submitter = submit::spawn(&rows.store(), &tokio_clock());
    let deadline = tokio_clock().now() + Duration::from_secs(3);
    let jobs = (1..=count).map(|number| submitter.store_job(job(16 * number), deadline));
    assert!(join_all(jobs).await.iter().all(|stored| *stored == StoreOutcome::Done));
    assert!((1..=count).all(|number| rows.has(Table::Jobs, &rows::job_key(JobId(16 * number)))));
}

/// A job whose row is as large as the store takes is accepted, one that is a byte larger isn't.
#[test]
fn a_job_of_the_size_of_a_row_is_refused() {
    let sized = |bytes: usize| Job {
        steps: vec![Step { count: 1, required_label: Some(Name::from("x".repeat(bytes))), ..Step::default() }],
        ..job(1)
    };
    let room_bytes = ROW_BYTES_MAX - rows::encode_job(&sized(1_000)).expect("small").len() + 1_000;
    assert_eq!(rows::encode_job(&sized(room_bytes)).map(|row| row.len()), Ok(ROW_BYTES_MAX));
    assert_eq!(rows::encode_job(&sized(room_bytes + 1)), Err(rows::JobRowFault::TooLarge));
}

const AGENT: &str = "agent-1";

/// Progress with this many tasks that have failed twice.
fn failed(tasks: u32) -> Progress {
    let runs: BTreeSet<u64> = [10_001, 20_001].into();
    let key = |index| TaskKey { occurrence: 0, step: 0, index };
    Progress { failures: (1..=tasks).map(|index| (key(index), runs.clone())).collect(), ..Progress::default() }
}

/// A cell in which a task of each job has ended.
fn cell_with_ends(jobs: u64, failed_tasks: u32) -> Cell {
    let mut cell = Cell::new(2, Duration::from_secs(5));
    cell.configure(configuration_of(&job(1)));
    let agent = Name::from(AGENT);
    let resources = Resources { processor_millicores: 16_000, ..Resources::default() };
    let worker = Worker {
        life: life(),
        service: Arc::from("portal"),
        failure_domain: Arc::from("a"),
        resources,
        kind: None,
        rack: None,
        leaves_in: None,
        cold_for: Duration::ZERO,
    };
    for id in 1..=jobs {
        let large = Job { steps: vec![Step { count: 10_000, ..Step::default() }], ..job(id) };
        cell.load(large, failed(failed_tasks), 7, Duration::ZERO, Duration::ZERO);
    }
    cell.agent_known(&agent, true, Duration::ZERO);
    let end = |number| {
        let task = TaskId { job: JobId(number), key: TaskKey { occurrence: 0, step: 0, index: 0 } };
        End { number, task, run: 1, kind: EndKind::Done, checkpoint: Arc::from("") }
    };
    let ends = (1..=jobs).map(end).collect();
    cell.agent_linked(&agent, Inventory { worker: Some(worker), ends, ..Inventory::default() }, Duration::ZERO);
    cell
}

/// The store takes 100 entries and 1 MB in one call, and refuses all jobs in a larger one.
#[rstest]
#[case::jobs_of_one_batch(40, 10, 1)]
#[case::one_more_job(41, 10, 2)]
#[case::rows_below_the_limit(40, 1_500, 3)]
#[case::divided_rows(12, 4_000, 2)]
#[case::nearly_a_call_each(3, 9_999, 2)]
fn a_batch_outgrows_a_call(#[case] jobs: u64, #[case] failed_tasks: u32, #[case] batches_min: usize) {
    let mut cell = cell_with_ends(jobs, failed_tasks);
    let mut batches = 0;
    while let Some(batch) = cell.next_batch() {
        batches += 1;
        let changes: Vec<_> =
            batch.writes.iter().flat_map(|write| progress_rows::changes(write.job, &write.progress)).collect();
        // The placer's row is a condition, and so is the first row of each job.
        let entries = 1 + batch.writes.len() + changes.len();
        let value_bytes = |value: &Vec<u8>| value.len().div_ceil(3) * 4;
        let bytes: usize = changes.iter().filter_map(|change| change.value.as_ref()).map(value_bytes).sum();
        assert!(entries <= 100 && bytes <= 950_000, "{entries} entries, {bytes} bytes");
        cell.committed(&batch, 30, Duration::ZERO);
    }
    assert!(batches >= batches_min, "{batches} batches");
}
