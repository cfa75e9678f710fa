//! Bodies of callers' requests.

use std::fmt;
use std::ops::Deref;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::request::Parts;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use tokio::time::{Instant, timeout_at};

use crate::budget::{Connection, Full, Share};

/// Longest time that a body may take: as long as callers wait for an answer.
const BODY_TIMEOUT: Duration = Duration::from_mins(1);
/// Longest time without any part of a body.
const BODY_SILENCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Least capacity of the buffer of a body.
const CAPACITY_BYTES_MIN: usize = 1024;

/// Reason why a body wasn't read.
#[derive(Debug)]
pub enum Error {
    /// The client broke the body off.
    Broken(hyper::Error),
    /// The budget of the clients is used up.
    Full,
    /// The body took too long, or no part of it came for too long.
    TimedOut,
    /// The body is longer than allowed.
    TooLarge,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(error) => write!(f, "the body was broken off: {error}"),
            Self::Full => Full.fmt(f),
            Self::TimedOut => f.write_str("the body took too long"),
            Self::TooLarge => f.write_str("the body is too large"),
        }
    }
}

impl std::error::Error for Error {}

impl From<Full> for Error {
    fn from(_: Full) -> Self {
        Self::Full
    }
}

/// Whole body, counted in the budget until it is dropped.
#[derive(Debug)]
pub struct Held {
    bytes: Vec<u8>,
    share: Share,
}

impl Deref for Held {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Held {
    /// Appends a copy of `part`, so that its read buffer isn't kept.
    fn append(&mut self, part: &[u8], bytes_max: usize) -> Result<(), Full> {
        let length = self.bytes.len() + part.len();
        if length > self.bytes.capacity() {
            let capacity = length.max((2 * self.bytes.capacity()).clamp(CAPACITY_BYTES_MIN, bytes_max));
            self.share.grow_to(capacity)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(part);
        Ok(())
    }
}

/// Reads the whole body of a request to a [`listener`](crate::listener), of at most `bytes_max`, within the listener's
/// budget.
///
/// # Errors
///
/// Why the body wasn't read.
pub async fn read_whole(mut body: Incoming, parts: &Parts, bytes_max: usize) -> Result<Held, Error> {
    if body.size_hint().lower() > bytes_max as u64 {
        return Err(Error::TooLarge);
    }
    // Only a listener's request has a connection.
    let connection = parts.extensions.get::<Arc<Connection>>().ok_or(Full)?;
    let due = Instant::now() + BODY_TIMEOUT;
    let mut held = Held { bytes: Vec::new(), share: Share::empty(Arc::clone(connection)) };
    connection.begin_reading();
    loop {
        let part_due = due.min(Instant::now() + BODY_SILENCE_TIMEOUT);
        let part = timeout_at(part_due, next_data(&mut body)).await.or(Err(Error::TimedOut))?;
        let Some(part) = part.map_err(Error::Broken)? else { break };
        if held.len() + part.len() > bytes_max {
            return Err(Error::TooLarge);
        }
        held.append(&part, bytes_max)?;
    }
    connection.begin_serving();
    Ok(held)
}

/// Start of a request body.
#[derive(Debug)]
pub enum Start {
    /// The whole body.
    Whole(Bytes),
    /// The body is longer than what was read of it.
    Longer {
        /// What was read.
        prefix: Bytes,
        /// What wasn't.
        rest: Incoming,
    },
}

/// Reads a body as far as `inline_bytes_max`.
///
/// # Errors
///
/// The error of the connection when the caller breaks the body off.
pub async fn read_start(mut body: Incoming, inline_bytes_max: usize) -> Result<Start, hyper::Error> {
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > inline_bytes_max {
        return Ok(Start::Longer { prefix: Bytes::new(), rest: body });
    }
    let mut read = BytesMut::with_capacity(announced);
    while read.len() <= inline_bytes_max {
        match next_data(&mut body).await? {
            Some(bytes) => read.extend_from_slice(&bytes),
            None => return Ok(Start::Whole(read.freeze())),
        }
    }
    Ok(Start::Longer { prefix: read.freeze(), rest: body })
}

/// Reads the next part of a body, or `None` at its end. Trailers are passed over.
///
/// # Errors
///
/// The error of the connection when the body is broken off.
pub async fn next_data(body: &mut Incoming) -> Result<Option<Bytes>, hyper::Error> {
    while let Some(frame) = body.frame().await {
        if let Ok(bytes) = frame?.into_data() {
            return Ok(Some(bytes));
        }
    }
    Ok(None)
}
