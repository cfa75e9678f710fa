//! Store behind a link with limited bandwidth and a delay. Connections are opened and abandoned as by the platform's
//! client.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chervilledge_scheduler::store::{Handle, Outcome, Page, ReadError, ReceivedBytes, Row, Rows, Store, Table};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

/// Response time of the store.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Number of bytes that the store hands to the link at a time.
const SEGMENT_BYTES: usize = 16 * 1024;
/// Maximum number of segments in flight per connection.
const SEGMENTS_AHEAD: usize = 4;
/// Time without receiving part of a response after which open connections are no longer used.
const SUSPECT_AFTER: Duration = Duration::from_millis(250);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without receiving part of a response after which a call is given up.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of rows in a response.
const ANSWER_ROWS_MAX: usize = 500;
/// Size of a row on the wire in addition to its content.
const ROW_BYTES: usize = 90;

/// Faults of the link and the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkFaults {
    /// Fraction of calls that are lost.
    pub lost_share: f64,
    /// Time until which the store refuses all calls.
    pub refuses_until: Duration,
}

/// Parameters of the link and of the store behind it.
#[derive(Clone, Copy, Debug)]
pub struct LinkTerms {
    pub bits_per_s: u64,
    pub delay: Duration,
    pub faults: LinkFaults,
}

#[derive(Debug)]
struct State {
    /// When the link will have sent everything queued so far.
    free_at: Instant,
    sent_bytes: u64,
    idle_connections: usize,
    generation: u64,
    random: StdRng,
}

/// Rows behind a link; clones share it.
#[derive(Clone, Debug)]
pub struct NarrowLink {
    terms: LinkTerms,
    began: Instant,
    rows: Arc<Vec<(Table, Row)>>,
    state: Arc<Mutex<State>>,
}

impl NarrowLink {
    /// Opens a link; sorts the rows by key.
    pub fn open(terms: LinkTerms, mut rows: Vec<(Table, Row)>, seed: u64) -> Self {
        rows.sort_by(|one, other| one.1.key.cmp(&other.1.key));
        let began = Instant::now();
        let random = StdRng::seed_from_u64(seed);
        let state = State { free_at: began, sent_bytes: 0, idle_connections: 0, generation: 0, random };
        Self { terms, began, rows: Arc::new(rows), state: Arc::new(Mutex::new(state)) }
    }

    /// Number of bytes queued on the link so far.
    pub fn sent_bytes(&self) -> u64 {
        self.lock().sent_bytes
    }

    /// Size of all rows on the wire.
    pub fn content_bytes(&self) -> u64 {
        self.rows.iter().map(|(_, row)| row_bytes(row) as u64).sum()
    }

    /// Time that the link takes to send the given number of bytes.
    pub fn time_for(&self, bytes: u64) -> Duration {
        Duration::from_secs(bytes * 8) / u32::try_from(self.terms.bits_per_s).expect("a rate in bits")
    }

    /// The store as the scheduler uses it; only page reads are answered.
    pub fn store(&self) -> Handle {
        let link = self.clone();
        Arc::new(Store {
            commit: Box::new(|_| Box::pin(std::future::ready(Outcome::Refused))),
            read: Box::new(move |(page, received)| {
                let link = link.clone();
                Box::pin(async move { link.call(page, received).await })
            }),
            read_one: Box::new(|_| Box::pin(std::future::ready(Err(ReadError::Refused)))),
            watch: Box::new(|_| Box::pin(std::future::pending())),
            watch_configuration: Box::new(|_| Box::pin(std::future::pending())),
        })
    }

    /// Makes a call like a client that abandons silent connections.
    async fn call(&self, page: Page, received: ReceivedBytes) -> Result<Rows, ReadError> {
        let generation = self.lock().generation;
        let mut answer = std::pin::pin!(self.exchange(page, received.clone()));
        if let Ok(answer) = tokio::time::timeout(SUSPECT_AFTER, &mut answer).await {
            return answer;
        }
        if received.bytes() == 0 {
            let mut state = self.lock();
            if state.generation == generation {
                state.generation += 1;
                state.idle_connections = 0;
            }
        }
        loop {
            let known = received.bytes();
            if let Ok(answer) = tokio::time::timeout(READ_TIMEOUT, &mut answer).await {
                return answer;
            }
            if received.bytes() == known {
                return Err(ReadError::Silent);
            }
        }
    }

    async fn exchange(&self, page: Page, received: ReceivedBytes) -> Result<Rows, ReadError> {
        let generation = self.connect().await?;
        tokio::time::sleep(self.terms.delay + ANSWER_TIME).await;
        if self.began.elapsed() < self.terms.faults.refuses_until {
            return Err(ReadError::Refused);
        }
        let is_lost = {
            let mut state = self.lock();
            state.random.random::<f64>() < self.terms.faults.lost_share
        };
        if is_lost {
            return std::future::pending().await;
        }
        let rows = self.page(&page);
        let bytes: usize = 200 + rows.rows.iter().map(row_bytes).sum::<usize>();
        self.transfer(bytes, &received).await;
        let mut state = self.lock();
        if state.generation == generation {
            state.idle_connections += 1;
        }
        Ok(rows)
    }

    /// Takes an idle connection, or opens one, whose first response queues behind the data in flight.
    async fn connect(&self) -> Result<u64, ReadError> {
        let due = {
            let mut state = self.lock();
            if state.idle_connections > 0 {
                state.idle_connections -= 1;
                return Ok(state.generation);
            }
            state.free_at.max(Instant::now()) + self.terms.delay * 2
        };
        let takes = due - Instant::now();
        tokio::time::sleep(takes.min(CONNECT_TIMEOUT)).await;
        if takes > CONNECT_TIMEOUT { Err(ReadError::Unreachable) } else { Ok(self.lock().generation) }
    }

    async fn transfer(&self, bytes: usize, received: &ReceivedBytes) {
        let mut in_flight: VecDeque<(Instant, usize)> = VecDeque::new();
        let mut left = bytes;
        while left > 0 || !in_flight.is_empty() {
            while left > 0 && in_flight.len() < SEGMENTS_AHEAD {
                let segment = left.min(SEGMENT_BYTES);
                left -= segment;
                in_flight.push_back((self.enqueue(segment) + self.terms.delay, segment));
            }
            if let Some((due, segment)) = in_flight.pop_front() {
                tokio::time::sleep_until(due).await;
                received.add(segment);
            }
        }
    }

    /// Queues bytes on the link; returns when they will have been sent.
    fn enqueue(&self, bytes: usize) -> Instant {
        let mut state = self.lock();
        state.sent_bytes += bytes as u64;
        state.free_at = state.free_at.max(Instant::now()) + self.time_for(bytes as u64);
        state.free_at
    }

    fn page(&self, page: &Page) -> Rows {
        let is_wanted = |(table, row): &&(Table, Row)| {
            *table == page.table && table.partition(&row.key) == page.partition && row.key >= page.from
        };
        let most = ANSWER_ROWS_MAX.min(page.rows_max as usize);
        let mut rows: Vec<Row> =
            self.rows.iter().filter(is_wanted).take(most + 1).map(|(_, row)| row.clone()).collect();
        let has_more = rows.len() > most;
        rows.truncate(most);
        Rows { rows, revision: 7, has_more }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Size of a row on the wire, where the content is encoded as base64.
fn row_bytes(row: &Row) -> usize {
    ROW_BYTES + row.value.as_ref().map_or(0, |value| value.len().div_ceil(3) * 4)
}
