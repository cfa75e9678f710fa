//! Bodies of callers' requests.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

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
