//! Reads bodies whose parts may be very small.

use bytes::{Bytes, BytesMut};
use chervilledge_caller::body::next_data;
use chervilledge_link::message::CHUNK_BYTES;
use futures_util::FutureExt;
use hyper::body::Incoming;

/// Length below which a part is joined with those behind it, in bytes; a message of its own costs a few hundred.
const JOINED_BELOW_BYTES: usize = 1024;

/// Body whose small parts are joined as far as they have arrived.
#[derive(Debug)]
pub struct Joined {
    body: Incoming,
    /// What was read behind the part that was returned last.
    next: Option<Result<Option<Bytes>, hyper::Error>>,
}

impl Joined {
    /// Wraps a body.
    #[must_use]
    pub const fn new(body: Incoming) -> Self {
        Self { body, next: None }
    }

    /// Gives the rest of the body back, without what was read of it.
    pub fn into_inner(self) -> Incoming {
        self.body
    }

    /// Reads the next part, or `None` at the end.
    ///
    /// # Errors
    ///
    /// The error of the connection when the body is broken off.
    pub async fn next(&mut self) -> Result<Option<Bytes>, hyper::Error> {
        let first = match self.next.take() {
            Some(next) => next?,
            None => next_data(&mut self.body).await?,
        };
        let Some(first) = first else { return Ok(None) };
        if first.len() >= JOINED_BELOW_BYTES {
            return Ok(Some(first));
        }
        let mut joined = BytesMut::from(&*first);
        loop {
            // The connection hands over one part at a time, and runs on the same threads.
            tokio::task::yield_now().await;
            match next_data(&mut self.body).now_or_never() {
                None => break,
                Some(Ok(Some(part))) if joined.len() + part.len() <= CHUNK_BYTES => joined.extend_from_slice(&part),
                Some(next) => {
                    self.next = Some(next);
                    break;
                }
            }
        }
        Ok(Some(joined.freeze()))
    }
}

/// Reads a whole body into one buffer, since each part of its own would keep a read buffer.
///
/// # Errors
///
/// The error of the connection when the body is broken off.
pub async fn read_whole(mut body: Incoming) -> Result<Vec<u8>, hyper::Error> {
    let mut bytes = Vec::new();
    while let Some(part) = next_data(&mut body).await? {
        bytes.extend_from_slice(&part);
    }
    Ok(bytes)
}
