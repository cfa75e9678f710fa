//! A store behind a link with a rate, a delay and connections that are opened and left, as the platform's client does.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chervilledge_scheduler::store::{Handle, Outcome, Page, ReadError, ReceivedBytes, Row, Rows, Store, Table};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Bytes that the store hands to the link at once.
const SEGMENT_BYTES: usize = 16 * 1024;
/// Segments of one connection that may be under way.
const SEGMENTS_AHEAD: usize = 4;
/// Time without a part of an answer after which open connections are used no more.
const SUSPECT_AFTER: Duration = Duration::from_millis(250);
/// Time for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without a part of an answer after which a call is given up.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Most rows of an answer.
const ANSWER_ROWS_MAX: usize = 500;
/// Bytes of a row on the wire beside its content.
const ROW_BYTES: usize = 90;

/// What goes wrong with calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Troubles {
    /// Share of calls that are swallowed.
    pub swallowed: f64,
    /// The store refuses every call before this time.
    pub refuses_until: Duration,
}

/// A link and the store behind it.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    pub bits_per_s: u64,
    pub delay: Duration,
    pub troubles: Troubles,
}

#[derive(Debug)]
struct State {
    /// When everything has been sent that the link was given.
    free_at: Instant,
    sent_bytes: u64,
    idle_connections: usize,
    generation: u64,
    random: StdRng,
}

/// Rows behind a link; clones share it.
#[derive(Clone, Debug)]
pub struct Narrow {
    terms: Terms,
    began: Instant,
    rows: Arc<Vec<(Table, Row)>>,
    state: Arc<Mutex<State>>,
}

impl Narrow {
    /// Opens a link; the rows are sorted by key.
    pub fn open(terms: Terms, mut rows: Vec<(Table, Row)>, seed: u64) -> Self {
        rows.sort_by(|one, other| one.1.key.cmp(&other.1.key));
        let began = Instant::now();
        let random = StdRng::seed_from_u64(seed);
        let state = State { free_at: began, sent_bytes: 0, idle_connections: 0, generation: 0, random };
        Self { terms, began, rows: Arc::new(rows), state: Arc::new(Mutex::new(state)) }
    }

    /// Bytes that the link was given so far.
    pub fn sent_bytes(&self) -> u64 {
        self.lock().sent_bytes
    }

    /// Bytes of all rows on the wire.
    pub fn content_bytes(&self) -> u64 {
        self.rows.iter().map(|(_, row)| row_bytes(row) as u64).sum()
    }

    /// Time that the link takes for so many bytes.
    pub fn time_for(&self, bytes: u64) -> Duration {
        Duration::from_secs(bytes * 8) / u32::try_from(self.terms.bits_per_s).expect("a rate in bits")
    }

    /// The store as the scheduler uses it; only reads of pages are answered.
    pub fn store(&self) -> Handle {
        let link = self.clone();
        Arc::new(Store {
            commit: Box::new(|_| Box::pin(std::future::ready(Outcome::Refused))),
            read: Box::new(move |(page, arrival)| {
                let link = link.clone();
                Box::pin(async move { link.call(page, arrival).await })
            }),
            read_one: Box::new(|_| Box::pin(std::future::ready(Err(ReadError::Refused)))),
            watch: Box::new(|_| Box::pin(std::future::pending())),
            watch_configuration: Box::new(|_| Box::pin(std::future::pending())),
        })
    }

    /// Makes a call as a client does that leaves silent connections.
    async fn call(&self, page: Page, arrival: ReceivedBytes) -> Result<Rows, ReadError> {
        let generation = self.lock().generation;
        let mut answer = std::pin::pin!(self.exchange(page, arrival.clone()));
        if let Ok(answer) = tokio::time::timeout(SUSPECT_AFTER, &mut answer).await {
            return answer;
        }
        if arrival.bytes() == 0 {
            let mut state = self.lock();
            if state.generation == generation {
                state.generation += 1;
                state.idle_connections = 0;
            }
        }
        loop {
            let known = arrival.bytes();
            if let Ok(answer) = tokio::time::timeout(READ_TIMEOUT, &mut answer).await {
                return answer;
            }
            if arrival.bytes() == known {
                return Err(ReadError::Silent);
            }
        }
    }

    async fn exchange(&self, page: Page, arrival: ReceivedBytes) -> Result<Rows, ReadError> {
        let generation = self.connect().await?;
        tokio::time::sleep(self.terms.delay + ANSWER_TIME).await;
        if self.began.elapsed() < self.terms.troubles.refuses_until {
            return Err(ReadError::Refused);
        }
        let is_swallowed = {
            let mut state = self.lock();
            state.random.random::<f64>() < self.terms.troubles.swallowed
        };
        if is_swallowed {
            return std::future::pending().await;
        }
        let rows = self.page(&page);
        let bytes: usize = 200 + rows.rows.iter().map(row_bytes).sum::<usize>();
        self.transfer(bytes, &arrival).await;
        let mut state = self.lock();
        if state.generation == generation {
            state.idle_connections += 1;
        }
        Ok(rows)
    }

    /// Takes an idle connection or opens one, whose first answer waits behind what is under way.
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

    async fn transfer(&self, bytes: usize, arrival: &ReceivedBytes) {
        let mut under_way: VecDeque<(Instant, usize)> = VecDeque::new();
        let mut left = bytes;
        while left > 0 || !under_way.is_empty() {
            while left > 0 && under_way.len() < SEGMENTS_AHEAD {
                let segment = left.min(SEGMENT_BYTES);
                left -= segment;
                under_way.push_back((self.give(segment) + self.terms.delay, segment));
            }
            if let Some((due, segment)) = under_way.pop_front() {
                tokio::time::sleep_until(due).await;
                arrival.add(segment);
            }
        }
    }

    /// Gives bytes to the link; tells when they have been sent.
    fn give(&self, bytes: usize) -> Instant {
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

/// Bytes of a row on the wire, where content has the form of base64.
fn row_bytes(row: &Row) -> usize {
    ROW_BYTES + row.value.as_ref().map_or(0, |value| value.len().div_ceil(3) * 4)
}
