//! Memory and connections that all clients of a process may hold together.
//!
//! When the budget is used up, the connection that has held the most for the longest without being served makes room. So a
//! client that holds much or stalls gives way to one that sends an ordinary request.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chervilledge_policy::clock::Clock;
use chervilledge_policy::collections::Map;
use tokio::sync::Notify;

/// What a connection holds without a body, in bytes: its buffers for the head and the answer, and its task.
pub const CONNECTION_BYTES: usize = 32 * 1024;
/// Part of the process's memory that is left to clients. The rest is for its state, and for what the allocator can't
/// use again at once.
const MEMORY_DIVISOR: usize = 4;
/// Part of the process's descriptors that is left to clients. The rest is for its own connections and files.
const DESCRIPTORS_DIVISOR: usize = 2;
/// Memory and descriptors of a process whose settings name none.
const MEMORY_BYTES_DEFAULT: usize = 128 << 20;
const DESCRIPTORS_DEFAULT: usize = 4_096;
/// Interval at which connections that had to make room are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Limits of a budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Memory that clients may hold, in bytes.
    pub bytes_max: usize,
    /// Connections of clients that may be open.
    pub connections_max: usize,
}

impl Limits {
    /// Limits for a process with this memory, in bytes, and this number of descriptors.
    #[must_use]
    pub const fn of_process(memory_bytes: usize, descriptors: usize) -> Self {
        Self { bytes_max: memory_bytes / MEMORY_DIVISOR, connections_max: descriptors / DESCRIPTORS_DIVISOR }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self::of_process(MEMORY_BYTES_DEFAULT, DESCRIPTORS_DEFAULT)
    }
}

/// No room is left, and no other connection can make room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Full;

impl fmt::Display for Full {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("clients hold as much as the process has room for")
    }
}

impl std::error::Error for Full {}

/// Budget of a process; clones share it.
#[derive(Clone, Debug)]
pub struct Budget {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    limits: Limits,
    clock: Clock,
    state: Mutex<State>,
    /// Notified when room may have come free.
    released: Notify,
}

#[derive(Debug, Default)]
struct State {
    /// Sum of the bytes of `holders`.
    bytes: usize,
    holders: Map<u64, Holder>,
    next_number: u64,
    closed: u64,
    refused: u64,
    log_due: Duration,
}

/// Open connection.
#[derive(Debug)]
struct Holder {
    /// At least [`CONNECTION_BYTES`].
    bytes: usize,
    /// When the phase began.
    since: Duration,
    phase: Phase,
    closed: Arc<Notify>,
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The rest of a body.
    Reading,
    /// The process, which works on a whole request. Such a connection doesn't make room.
    Serving,
    /// The client, which sends a head or reads its answer.
    Waiting,
}

/// Opens a budget.
#[must_use]
pub fn open(limits: Limits, clock: Clock) -> Budget {
    Budget { inner: Arc::new(Inner { limits, clock, state: Mutex::default(), released: Notify::new() }) }
}

impl Budget {
    /// Admits a connection, waiting while no other one can make room for it.
    pub async fn admit(&self) -> Connection {
        loop {
            let released = self.inner.released.notified();
            if let Ok(connection) = self.try_admit() {
                return connection;
            }
            released.await;
        }
    }

    /// Admits a connection if there is room for it or another one can make room.
    ///
    /// # Errors
    ///
    /// [`Full`] if neither is so.
    pub fn try_admit(&self) -> Result<Connection, Full> {
        let now = self.inner.clock.now();
        let mut state = self.lock();
        while state.holders.len() >= self.inner.limits.connections_max {
            let costliest = state.costliest(now).ok_or(Full)?;
            state.close(costliest, now);
        }
        state.make_room(CONNECTION_BYTES, None, self.inner.limits.bytes_max, now)?;
        let number = state.next_number;
        state.next_number += 1;
        state.bytes += CONNECTION_BYTES;
        let closed = Arc::new(Notify::new());
        let holder = Holder { bytes: CONNECTION_BYTES, since: now, phase: Phase::Waiting, closed: Arc::clone(&closed) };
        state.holders.insert(number, holder);
        drop(state);
        Ok(Connection { budget: self.clone(), number, closed })
    }

    /// Number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.lock().holders.len()
    }

    /// Bytes that clients hold.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.lock().bytes
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.inner.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Closes connections other than `own` until there is room for `bytes` more.
    fn make_room(&mut self, bytes: usize, own: Option<u64>, bytes_max: usize, now: Duration) -> Result<(), Full> {
        while self.bytes.saturating_add(bytes) > bytes_max {
            match self.costliest(now) {
                Some(costliest) if Some(costliest) != own => self.close(costliest, now),
                _ => {
                    self.refused += 1;
                    self.log_if_due(now);
                    return Err(Full);
                }
            }
        }
        Ok(())
    }

    /// Connection with the most bytes held times the time for which the process has waited for the client.
    fn costliest(&self, now: Duration) -> Option<u64> {
        let waiting = self.holders.iter().filter(|(_, holder)| holder.phase != Phase::Serving);
        let cost = |(number, holder): &(&u64, &Holder)| {
            let waited_ns = now.saturating_sub(holder.since).as_nanos();
            (waited_ns.saturating_mul(holder.bytes as u128), holder.bytes, std::cmp::Reverse(**number))
        };
        waiting.max_by_key(cost).map(|(number, _)| *number)
    }

    fn close(&mut self, number: u64, now: Duration) {
        if let Some(holder) = self.holders.remove(&number) {
            self.bytes -= holder.bytes;
            holder.closed.notify_one();
            self.closed += 1;
            self.log_if_due(now);
        }
    }

    fn log_if_due(&mut self, now: Duration) {
        if now >= self.log_due {
            self.log_due = now + LOG_INTERVAL;
            log::warn!(event = "clients_exceed_budget", closed = self.closed, refused = self.refused,
                held_bytes = self.bytes, connections = self.holders.len(); "");
        }
    }
}

/// Connection of a client, which holds a share of the budget until it is dropped.
#[derive(Debug)]
pub struct Connection {
    budget: Budget,
    number: u64,
    closed: Arc<Notify>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        if let Some(holder) = state.holders.remove(&self.number) {
            state.bytes -= holder.bytes;
            drop(state);
            self.budget.inner.released.notify_waiters();
        }
    }
}

impl Connection {
    /// Waits until the connection has to make room for others; its owner then drops it.
    pub async fn closed(&self) {
        self.closed.notified().await;
    }

    /// Takes `bytes` more of the budget.
    ///
    /// # Errors
    ///
    /// [`Full`] if no other connection can make room, or if this one has to make room itself.
    pub fn grow(&self, bytes: usize) -> Result<(), Full> {
        let budget = &self.budget.inner;
        let now = budget.clock.now();
        let mut state = self.budget.lock();
        if !state.holders.contains_key(&self.number) {
            return Err(Full);
        }
        state.make_room(bytes, Some(self.number), budget.limits.bytes_max, now)?;
        state.bytes += bytes;
        if let Some(holder) = state.holders.get_mut(&self.number) {
            holder.bytes += bytes;
        }
        Ok(())
    }

    /// Returns all but the connection's own share, and waits for the client anew.
    pub fn release(&self) {
        self.update(|holder, now| {
            (holder.bytes, holder.since, holder.phase) = (CONNECTION_BYTES, now, Phase::Waiting);
        });
    }

    /// Returns `bytes` to the budget.
    fn shrink(&self, bytes: usize) {
        self.update(|holder, _| holder.bytes = holder.bytes.saturating_sub(bytes).max(CONNECTION_BYTES));
    }

    /// Records that the process works on what the client sent.
    pub fn begin_serving(&self) {
        self.begin(Phase::Serving);
    }

    /// Records that the client sends a body.
    pub fn begin_reading(&self) {
        self.begin(Phase::Reading);
    }

    /// Records that the client is waited for: to send a head, or to read its answer.
    pub fn begin_waiting(&self) {
        self.begin(Phase::Waiting);
    }

    fn begin(&self, phase: Phase) {
        self.update(|holder, now| (holder.since, holder.phase) = (now, phase));
    }

    /// Returns when the client hasn't sent a head or read its answer for `timeout`.
    pub async fn stalled(&self, timeout: Duration) {
        loop {
            let now = self.budget.inner.clock.now();
            let waited = match self.budget.lock().holders.get(&self.number) {
                Some(holder) if holder.phase == Phase::Waiting => now.saturating_sub(holder.since),
                _ => Duration::ZERO,
            };
            if waited >= timeout {
                return;
            }
            tokio::time::sleep(timeout.saturating_sub(waited)).await;
        }
    }

    fn update(&self, change: impl FnOnce(&mut Holder, Duration)) {
        let now = self.budget.inner.clock.now();
        let mut state = self.budget.lock();
        let Some(holder) = state.holders.get_mut(&self.number) else { return };
        let bytes_before = holder.bytes;
        change(holder, now);
        let (bytes_after, is_served) = (holder.bytes, holder.phase == Phase::Serving);
        state.bytes = state.bytes - bytes_before + bytes_after;
        drop(state);
        if bytes_after < bytes_before || !is_served {
            self.budget.inner.released.notify_waiters();
        }
    }
}

/// Bytes of the budget that are returned when it is dropped.
#[derive(Debug)]
pub struct Share {
    connection: Arc<Connection>,
    bytes: usize,
}

impl Share {
    /// Starts with nothing.
    #[must_use]
    pub const fn empty(connection: Arc<Connection>) -> Self {
        Self { connection, bytes: 0 }
    }

    /// Takes as many bytes as are missing to `bytes`.
    ///
    /// # Errors
    ///
    /// As [`Connection::grow`].
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), Full> {
        let missing = bytes.saturating_sub(self.bytes);
        self.connection.grow(missing)?;
        self.bytes += missing;
        Ok(())
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.connection.shrink(self.bytes);
    }
}
