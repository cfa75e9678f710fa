//! Looks at the table at intervals.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::id::Name;
use chervilledge_store::client::Client;
use chervilledge_store::error::Error;
use chervilledge_store::table::Row;

use crate::entry::batch::rows::{JobRecord, LEASES_PREFIX, SHARDS_PREFIX, content, job_key, queue_prefix};
use crate::entry::batch::{Message, State};

/// Rows that one scan asks for.
const PAGE_ROWS: usize = 1_000;

/// What a look at the table has shown.
#[derive(Debug)]
pub struct Polled {
    asked: Duration,
    leases: Vec<Row>,
    shards: Vec<Row>,
    marks: Vec<(u32, Vec<Row>)>,
    jobs: Vec<Row>,
    is_whole: bool,
}

impl State {
    pub(super) fn poll(&mut self, now: Duration) {
        self.is_polling = true;
        self.poll_due = now + self.context.settings.poll_interval_ms;
        self.counters.polls += 1;
        let platform = self.context.platform.clone();
        let shards = self.shards.owned();
        let jobs: Vec<Name> = self.jobs.keys().cloned().collect();
        self.run(async move { Message::Polled(Box::new(look(&platform, now, shards, &jobs).await)) });
    }

    pub(super) fn on_polled(&mut self, polled: &Polled) {
        self.is_polling = false;
        if !polled.is_whole {
            return;
        }
        let now = self.now();
        self.on_leases(polled.asked, now, &polled.leases);
        self.on_jobs(&polled.jobs);
        for (shard, marks) in &polled.marks {
            self.on_marks(*shard, marks);
        }
        self.on_shards(&polled.shards);
    }

    /// Takes in jobs' rows, which change by cancellations only.
    fn on_jobs(&mut self, rows: &[Row]) {
        for record in rows.iter().filter_map(content::<JobRecord>) {
            let id = Name::clone(&record.row.id);
            let is_changed = self.jobs.get(&id).is_some_and(|known| **known != record);
            if is_changed {
                self.jobs.insert(Name::clone(&id), Arc::new(record));
                self.cancel(&id);
            }
        }
    }
}

async fn look(platform: &Client, asked: Duration, shards: Vec<u32>, jobs: &[Name]) -> Polled {
    let mut polled =
        Polled { asked, leases: Vec::new(), shards: Vec::new(), marks: Vec::new(), jobs: Vec::new(), is_whole: false };
    match fill(platform, &mut polled, shards, jobs).await {
        Ok(()) => polled.is_whole = true,
        Err(error) => log::debug!(event = "table_unread", error:% = error; ""),
    }
    polled
}

async fn fill(platform: &Client, polled: &mut Polled, shards: Vec<u32>, jobs: &[Name]) -> Result<(), Error> {
    polled.leases = scan_all(platform, LEASES_PREFIX).await?;
    polled.shards = scan_all(platform, SHARDS_PREFIX).await?;
    for shard in shards {
        polled.marks.push((shard, scan_all(platform, &queue_prefix(shard)).await?));
    }
    for page in jobs.chunks(PAGE_ROWS) {
        polled.jobs.extend(platform.read(page.iter().map(|job| job_key(job)).collect()).await?);
    }
    Ok(())
}

/// Reads every row with a prefix.
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
