//! Reads callers' bodies within the budget of all callers and the time that a request has.

use std::ops::Deref;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chervilledge_caller::body::next_data;
use chervilledge_caller::budget::{Connection, Full, Share};
use chervilledge_policy::code::Code;
use http::request::Parts;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout, timeout_at};

/// Longest time without any part of a body.
pub const PART_TIMEOUT: Duration = Duration::from_secs(10);

/// Least capacity of the buffer of a body without a length, in bytes.
const CAPACITY_BYTES_MIN: usize = 1024;

/// Bytes of a body, counted in the budget until they are dropped.
#[derive(Debug)]
pub struct Held {
    bytes: Bytes,
    /// Covers the capacity of the buffer, and for a whole body a copy of it.
    _share: Share,
}

impl Deref for Held {
    type Target = Bytes;

    fn deref(&self) -> &Bytes {
        &self.bytes
    }
}

/// Start of a body.
#[derive(Debug)]
pub enum Start {
    /// The whole body.
    Whole(Held),
    /// The body is longer than what was read of it.
    Longer {
        /// What was read.
        prefix: Held,
        /// The rest.
        rest: Incoming,
    },
}

/// Reads a body as far as `inline_bytes_max`, for at most `time_limit`.
///
/// # Errors
///
/// [`Code::BadRequest`] when the caller breaks the body off, [`Code::DeadlineBeforeStart`] when it takes too long or no
/// part of it comes for [`PART_TIMEOUT`], [`Code::Overloaded`] when the budget is used up.
pub async fn read_start(
    mut body: Incoming,
    parts: &Parts,
    inline_bytes_max: usize,
    time_limit: Duration,
) -> Result<Start, Code> {
    // Only a listener's request has a connection.
    let connection = parts.extensions.get::<Arc<Connection>>().ok_or(Code::Overloaded)?;
    let announced_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let share = Share::empty(Arc::clone(connection));
    let capacity_min_bytes = announced_bytes.max(CAPACITY_BYTES_MIN);
    let mut buffer = Buffer { bytes: Vec::new(), share, capacity_min_bytes };
    if announced_bytes > inline_bytes_max {
        return Ok(Start::Longer { prefix: buffer.freeze(), rest: body });
    }
    let due = Instant::now() + time_limit;
    connection.begin_reading();
    while buffer.bytes.len() <= inline_bytes_max {
        let part_due = due.min(Instant::now() + PART_TIMEOUT);
        let part = timeout_at(part_due, next_data(&mut body)).await.or(Err(Code::DeadlineBeforeStart))?;
        let Some(part) = part.or(Err(Code::BadRequest))? else {
            buffer.count_copy().await.or(Err(Code::Overloaded))?;
            connection.begin_serving();
            return Ok(Start::Whole(buffer.freeze()));
        };
        buffer.append(&part, inline_bytes_max).await.or(Err(Code::Overloaded))?;
    }
    connection.begin_serving();
    Ok(Start::Longer { prefix: buffer.freeze(), rest: body })
}

/// Waits for the next part of a body that is forwarded while it comes.
///
/// # Errors
///
/// [`Code::BadRequest`] when the caller breaks the body off, or no part of it comes for [`PART_TIMEOUT`].
pub async fn next_part<E>(next: impl Future<Output = Result<Option<Bytes>, E>>) -> Result<Option<Bytes>, Code> {
    timeout(PART_TIMEOUT, next).await.or(Err(Code::BadRequest))?.or(Err(Code::BadRequest))
}

/// Body that is being read.
#[derive(Debug)]
struct Buffer {
    bytes: Vec<u8>,
    /// Covers the capacity of `bytes`.
    share: Share,
    /// Length that the body announced, if any: one allocation then holds the whole body.
    capacity_min_bytes: usize,
}

impl Buffer {
    /// Appends a copy of a part, so that its read buffer isn't kept.
    async fn append(&mut self, part: &[u8], bytes_max: usize) -> Result<(), Full> {
        let length = self.bytes.len() + part.len();
        if length > self.bytes.capacity() {
            let doubled = (2 * self.bytes.capacity()).min(bytes_max);
            let capacity = length.max(doubled).max(self.capacity_min_bytes);
            self.share.grow_to(capacity).await?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(part);
        Ok(())
    }

    /// Counts the copy of a whole body that waits to be sent to an agent.
    async fn count_copy(&mut self) -> Result<(), Full> {
        self.share.grow_to(self.bytes.capacity() + self.bytes.len()).await
    }

    fn freeze(self) -> Held {
        Held { bytes: self.bytes.into(), _share: self.share }
    }
}
