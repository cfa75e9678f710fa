//! Parts of a caller's request that the scheduler reads.

use std::time::Duration;

use chervilledge_policy::code::Code;
use http::request::Parts;
use http::{HeaderMap, HeaderName, header};

use crate::{IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER, TIMEOUT_HEADER};

/// Longest idempotency key, in bytes.
pub const KEY_BYTES_MAX: usize = 255;

/// What the scheduler reads of a request's head.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Head {
    /// Service named by the first segment of the path.
    pub service: String,
    /// Path and query below the service, starting with `/`.
    pub target: String,
    /// Time that the caller waits, if the caller said so.
    pub timeout: Option<Duration>,
    /// Key under which the request runs at most once across the caller's own retries.
    pub idempotency_key: Option<String>,
}

/// Reads the head of a request.
///
/// # Errors
///
/// [`Code::BadRequest`] when a header field is malformed, [`Code::UnknownService`] when the path names no service.
pub fn read_head(parts: &Parts) -> Result<Head, Code> {
    let (service, target) = split_target(parts)?;
    let timeout = header_text(&parts.headers, TIMEOUT_HEADER)?.map(read_timeout).transpose()?;
    let idempotency_key = header_text(&parts.headers, IDEMPOTENCY_KEY_HEADER)?.map(read_key).transpose()?;
    Ok(Head { service, target, timeout, idempotency_key })
}

/// Tells whether a header field is passed on to the backend server or to the caller.
#[must_use]
pub fn is_passed_on(name: &HeaderName) -> bool {
    !is_hop_by_hop(name) && name.as_str() != REQUEST_ID_HEADER
}

fn is_hop_by_hop(name: &HeaderName) -> bool {
    [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::HOST,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ]
    .contains(name)
        || name.as_str() == "keep-alive"
}

fn split_target(parts: &Parts) -> Result<(String, String), Code> {
    let rest = parts.uri.path().strip_prefix('/').ok_or(Code::BadRequest)?;
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() {
        return Err(Code::UnknownService);
    }
    let target = match parts.uri.query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    Ok((service.to_owned(), target))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Code> {
    headers.get(name).map(|value| value.to_str().or(Err(Code::BadRequest))).transpose()
}

fn read_timeout(text: &str) -> Result<Duration, Code> {
    text.parse().map(Duration::from_millis).or(Err(Code::BadRequest))
}

fn read_key(text: &str) -> Result<String, Code> {
    let is_valid = !text.is_empty() && text.len() <= KEY_BYTES_MAX;
    if is_valid { Ok(text.to_owned()) } else { Err(Code::BadRequest) }
}
