//! Bodies of callers' requests.

use std::fmt;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// Reason why a body wasn't read.
#[derive(Debug)]
pub enum Error {
    /// The client broke the body off.
    Broken(hyper::Error),
    /// The body is longer than allowed.
    TooLarge,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(error) => write!(f, "the body was broken off: {error}"),
            Self::TooLarge => f.write_str("the body is too large"),
        }
    }
}

impl std::error::Error for Error {}

/// Reads a whole body of at most `bytes_max`. Its parts are copied, so that their read buffers aren't kept.
///
/// # Errors
///
/// Why the body wasn't read.
pub async fn read_whole(mut body: Incoming, bytes_max: usize) -> Result<Vec<u8>, Error> {
    if body.size_hint().lower() > bytes_max as u64 {
        return Err(Error::TooLarge);
    }
    let mut read = Vec::new();
    while let Some(part) = next_data(&mut body).await.map_err(Error::Broken)? {
        if read.len() + part.len() > bytes_max {
            return Err(Error::TooLarge);
        }
        read.extend_from_slice(&part);
    }
    Ok(read)
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
