//! Immutable objects, such as checkpoints.

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use chervilledge_client::Answer;
use http::header::IF_NONE_MATCH;
use http::{HeaderMap, HeaderValue, Method, StatusCode};

use crate::client::Client;
use crate::error::Error;

/// Path prefix of objects.
pub const OBJECT_PREFIX: &str = "/objects/";

/// Key of an object; needs no percent-encoding in a path.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key(Arc<str>);

/// Character that is not allowed in a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InvalidKey(pub char);

impl fmt::Display for InvalidKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "object keys can't hold {:?}", self.0)
    }
}

impl std::error::Error for InvalidKey {}

impl Key {
    /// Creates a key from letters, digits and `-._/`.
    ///
    /// # Errors
    ///
    /// The first character that is not allowed.
    pub fn new(text: &str) -> Result<Self, InvalidKey> {
        let allowed = |c: char| c.is_ascii_alphanumeric() || "-._/".contains(c);
        text.chars().find(|c| !allowed(*c)).map_or_else(|| Ok(Self(text.into())), |c| Err(InvalidKey(c)))
    }

    /// Key of a checkpoint; the epoch separates successive holders of one task.
    ///
    /// # Errors
    ///
    /// The first character of the task's name that is not allowed in a key.
    pub fn checkpoint(task: &str, epoch: u64, number: u64) -> Result<Self, InvalidKey> {
        Self::new(&format!("checkpoint/{task}/{epoch:016x}/{number:016x}"))
    }

    /// Text of the key.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    fn path(&self) -> String {
        format!("{OBJECT_PREFIX}{}", self.0)
    }
}

/// Result of a put; both mean that an object is stored under the key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Put {
    /// The object was stored by this call.
    Created,
    /// The key already existed, perhaps by an earlier attempt of the same call.
    Exists,
}

impl Client {
    /// Reads an object, or `None` when there is none.
    ///
    /// # Errors
    ///
    /// The last attempt's error, when every attempt failed.
    pub async fn get_object(&self, key: &Key) -> Result<Option<Bytes>, Error> {
        let answer = self.call_object(&Method::GET, key, &HeaderMap::new(), &Bytes::new()).await?;
        match answer.status {
            StatusCode::OK => Ok(Some(answer.body)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(Error::Malformed(format!("status {status}"))),
        }
    }

    /// Stores an object unless its key already exists; failed attempts are retried, since objects are immutable.
    ///
    /// # Errors
    ///
    /// The last attempt's error, when every attempt failed; the object may then be stored nevertheless.
    pub async fn put_object(&self, key: &Key, body: Bytes) -> Result<Put, Error> {
        let headers = HeaderMap::from_iter([(IF_NONE_MATCH, HeaderValue::from_static("*"))]);
        let answer = self.call_object(&Method::PUT, key, &headers, &body).await?;
        match answer.status {
            StatusCode::OK | StatusCode::CREATED => Ok(Put::Created),
            StatusCode::PRECONDITION_FAILED => Ok(Put::Exists),
            status => Err(Error::Malformed(format!("status {status}"))),
        }
    }

    /// Deletes an object; succeeds if it does not exist.
    ///
    /// # Errors
    ///
    /// The last attempt's error, when every attempt failed; the object may then be deleted nevertheless.
    pub async fn delete_object(&self, key: &Key) -> Result<(), Error> {
        let answer = self.call_object(&Method::DELETE, key, &HeaderMap::new(), &Bytes::new()).await?;
        match answer.status {
            StatusCode::OK | StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => Ok(()),
            status => Err(Error::Malformed(format!("status {status}"))),
        }
    }

    async fn call_object(
        &self,
        method: &Method,
        key: &Key,
        headers: &HeaderMap,
        body: &Bytes,
    ) -> Result<Answer, Error> {
        let path = key.path();
        self.retry(|| self.call_once(method.clone(), &path, headers.clone(), body.clone())).await
    }
}
