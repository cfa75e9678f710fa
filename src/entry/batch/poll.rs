//! Periodic polls of the table.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::id::Name;
use chervilledge_store::client::Client;
use chervilledge_store::error::Error;
use chervilledge_store::table::Row;

use crate::entry::batch::rows::{JobRecord, LEASES_PREFIX, SHARDS_PREFIX, decode_row, job_key, queue_prefix};
use crate::entry::batch::{Message, State};

/// Maximum number of rows per scan.
const PAGE_ROWS: usize = 1_000;

/// Rows read by a poll of the table.
#[derive(Debug)]
pub struct Polled {
    read_started: Duration,
    leases: Vec<Row>,
    shards: Vec<Row>,
    markers: Vec<(u32, Vec<Row>)>,
    jobs: Vec<Row>,
    is_complete: bool,
}

impl State {
    pub(super) fn poll(&mut self, now: Duration) {
        self.is_polling = true;
        self.poll_at = now + self.context.settings.poll_interval_ms;
        self.counters.polls += 1;
        let platform = self.context.platform.clone();
        let shards = self.shards.owned();
        let jobs: Vec<Name> = self.jobs.keys().cloned().collect();
        self.run_in_background(
            async move { Message::Polled(Box::new(read_table(&platform, now, shards, &jobs).await)) },
        );
    }

    pub(super) fn on_polled(&mut self, polled: &Polled) {
        self.is_polling = false;
        if !polled.is_complete {
            return;
        }
        let now = self.now();
        self.on_leases(polled.read_started, now, &polled.leases);
        self.on_jobs(&polled.jobs);
        for (shard, markers) in &polled.markers {
            self.on_markers(*shard, markers);
        }
        self.on_shards(&polled.shards);
    }

    /// Applies changes of jobs' rows, which are only ever changed by cancellations.
    fn on_jobs(&mut self, rows: &[Row]) {
        for record in rows.iter().filter_map(decode_row::<JobRecord>) {
            let id = Name::clone(&record.row.id);
            let is_changed = self.jobs.get(&id).is_some_and(|known| **known != record);
            if is_changed {
                self.jobs.insert(Name::clone(&id), Arc::new(record));
                self.cancel_tasks(&id);
            }
        }
    }
}

async fn read_table(platform: &Client, read_started: Duration, shards: Vec<u32>, jobs: &[Name]) -> Polled {
    let mut polled = Polled {
        read_started,
        leases: Vec::new(),
        shards: Vec::new(),
        markers: Vec::new(),
        jobs: Vec::new(),
        is_complete: false,
    };
    match read_rows(platform, &mut polled, shards, jobs).await {
        Ok(()) => polled.is_complete = true,
        Err(error) => log::debug!(event = "table_unread", error:% = error; ""),
    }
    polled
}

async fn read_rows(platform: &Client, polled: &mut Polled, shards: Vec<u32>, jobs: &[Name]) -> Result<(), Error> {
    polled.leases = scan_all(platform, LEASES_PREFIX).await?;
    polled.shards = scan_all(platform, SHARDS_PREFIX).await?;
    for shard in shards {
        polled.markers.push((shard, scan_all(platform, &queue_prefix(shard)).await?));
    }
    for page in jobs.chunks(PAGE_ROWS) {
        polled.jobs.extend(platform.read(page.iter().map(|job| job_key(job)).collect()).await?);
    }
    Ok(())
}

/// Reads all rows with a prefix, page by page.
///
/// # Errors
///
/// The error of the first read that failed.
pub async fn scan_all(platform: &Client, prefix: &str) -> Result<Vec<Row>, Error> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let after = rows.last().map(|row| Arc::clone(&row.key));
        let page = platform.scan(prefix, after, PAGE_ROWS).await?;
        let is_last = page.len() < PAGE_ROWS;
        rows.extend(page);
        if is_last {
            return Ok(rows);
        }
    }
}
