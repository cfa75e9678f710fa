//! Reads whole tables.
//!
//! Handles tables that are large for the link: received rows are kept, a missing page is read again by itself, and the
//! amount in flight follows from how long pages take. A read therefore ends on any link that delivers anything, in time
//! proportional to the table, and repeated requests can't fill the link that delays them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::id::Name;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::Instant;

use crate::clock::whole_ms;
use crate::repeat::Attempts;
use crate::store::{Page, Partition, ReadError, Row, Rows, Store, Table};

/// Number of pages in flight: initial, and maximum, which is one for each partition of the jobs table.
const WINDOW: (usize, usize) = (4, 16);
/// Rows per page: minimum, initial, and maximum, which is what the store returns.
const PAGE_ROWS: (u32, u32, u32) = (4, 64, 500);
/// Duration of a page below which the window grows; about ten times that of a store that isn't busy.
const FAST_PAGE: Duration = Duration::from_millis(150);
/// Duration of a page from which the window shrinks. A queue of this length on the link would keep other calls from
/// being answered before they are repeated.
const SLOW_PAGE: Duration = Duration::from_millis(400);
/// Time without receiving part of a page after which it is requested once more: initial and maximum.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(300), Duration::from_millis(2_400));
/// Pause after a page that was refused or couldn't be requested: initial and maximum.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(800));

/// Amount of data requested at a time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FetchWindow {
    /// Pages in flight; at least 1.
    pub window: usize,
    /// Rows per page; at least 1.
    pub page_rows: u32,
    /// Consecutive failed pages.
    failures: u32,
}

impl Default for FetchWindow {
    fn default() -> Self {
        Self { window: WINDOW.0, page_rows: PAGE_ROWS.1, failures: 0 }
    }
}

impl FetchWindow {
    /// Adjusts the window after a page that took `took` and the given number of attempts.
    pub fn page_received(&mut self, took: Duration, attempts: u32) {
        self.failures = 0;
        if attempts > 1 {
            self.shrink();
        } else if took >= SLOW_PAGE && self.page_rows > PAGE_ROWS.0 {
            // With fewer pages in flight, a link with a long delay would be idle.
            self.page_rows = (self.page_rows / 2).max(PAGE_ROWS.0);
        } else if took >= SLOW_PAGE {
            self.shrink();
        } else if took < FAST_PAGE {
            self.window = (self.window + 1).min(WINDOW.1);
            self.page_rows = (self.page_rows * 2).min(PAGE_ROWS.2);
        }
    }

    /// Adjusts the window after a failed page; returns the pause before the next one.
    pub fn page_failed(&mut self) -> Duration {
        self.shrink();
        let pause = RETRY_PAUSE.0.saturating_mul(1 << self.failures.min(8)).min(RETRY_PAUSE.1);
        self.failures = self.failures.saturating_add(1);
        pause
    }

    fn shrink(&mut self) {
        self.window = (self.window / 2).max(1);
        self.page_rows = (self.page_rows / 2).max(PAGE_ROWS.0);
    }
}

/// Read of one partition.
#[derive(Debug)]
struct PartitionScan {
    partition: Partition,
    /// Smallest key that hasn't been received.
    from: Name,
    rows: Vec<Row>,
    /// Revision of the first page.
    revision: Option<u64>,
}

impl PartitionScan {
    /// Appends a page; returns whether there are more.
    fn append(&mut self, page: Rows) -> bool {
        self.revision.get_or_insert(page.revision);
        let Some(last) = page.rows.last() else { return false };
        // Smallest key after the last one.
        self.from = Arc::from(format!("{}\0", last.key));
        self.rows.extend(page.rows);
        page.has_more
    }
}

/// Outcome of reading a page.
struct PageResult {
    scan: PartitionScan,
    result: Result<Rows, ReadError>,
    took: Duration,
    attempts: u32,
}

/// Reads a whole table, however long that takes. The returned revision is that of the oldest call.
pub async fn read_all(store: &Store, table: Table) -> Rows {
    let began = Instant::now();
    let mut fetch_window = FetchWindow::default();
    let scan = |partition| PartitionScan { partition, from: Arc::from(""), rows: Vec::new(), revision: None };
    let mut pending: VecDeque<PartitionScan> = table.partitions().map(scan).collect();
    let mut in_flight = FuturesUnordered::new();
    let mut all = Rows { revision: u64::MAX, ..Rows::default() };
    let (mut pages, mut repeats, mut failures) = (0, 0, 0);
    loop {
        while in_flight.len() < fetch_window.window
            && let Some(scan) = pending.pop_front()
        {
            in_flight.push(read_page(store, table, scan, fetch_window.page_rows, Duration::ZERO));
        }
        let Some(PageResult { mut scan, result, took, attempts }) = in_flight.next().await else { break };
        pages += 1;
        repeats += attempts - 1;
        match result {
            Ok(page) => {
                fetch_window.page_received(took, attempts);
                if scan.append(page) {
                    pending.push_back(scan);
                } else {
                    all.revision = all.revision.min(scan.revision.unwrap_or(0));
                    all.rows.extend(scan.rows);
                }
            }
            Err(error) => {
                failures += 1;
                let pause = fetch_window.page_failed();
                log::info!(event = "table_unread", table = table.name(), partition = scan.partition.0, error:% = error,
                    pause_ms = whole_ms(pause), rows = all.rows.len(), pages = pages; "");
                in_flight.push(read_page(store, table, scan, fetch_window.page_rows, pause));
            }
        }
    }
    log::info!(event = "table_read", table = table.name(), rows = all.rows.len(), pages = pages, repeats = repeats,
        failures = failures, took_ms = whole_ms(began.elapsed()), revision = all.revision; "");
    all
}

/// Reads the next page of a partition after a pause.
async fn read_page(store: &Store, table: Table, scan: PartitionScan, rows_max: u32, pause: Duration) -> PageResult {
    tokio::time::sleep(pause).await;
    let began = Instant::now();
    let mut attempts = Attempts::default();
    let mut retry_after = RETRY_AFTER.0;
    let mut number = 0;
    loop {
        number += 1;
        let page = Page { table, partition: scan.partition, from: Arc::clone(&scan.from), rows_max };
        match attempts.next_response(|received| (store.read)((page, received)), retry_after).await {
            Err(ReadError::Silent) => retry_after = (retry_after * 2).min(RETRY_AFTER.1),
            result => return PageResult { scan, result, took: began.elapsed(), attempts: number },
        }
    }
}
