//! Forwards a caller's streamed request body to an agent.

use std::sync::Arc;

use bytes::Bytes;
use chervilledge_link::message::{BodyChunk, CHUNK_BYTES, ToAgent};
use chervilledge_policy::code::Code;
use chervilledge_policy::id::RequestId;
use tokio::sync::Semaphore;

use crate::body::Joined;
use crate::entry::bodies::{self, Held};
use crate::entry::fleet::Link;

/// Request body to be forwarded.
#[derive(Debug)]
pub struct Upload {
    /// Request that the body belongs to.
    pub request: RequestId,
    /// Link to the agent.
    pub link: Link,
    /// Bytes that the entry may send to the agent.
    pub credit: Arc<Semaphore>,
    /// Bytes of the body already read.
    pub prefix: Option<Held>,
    /// Rest of the body.
    pub rest: Joined,
    /// Maximum length of the whole body, in bytes.
    pub bytes_max: u64,
}

impl Upload {
    /// Forwards the whole body.
    ///
    /// # Errors
    ///
    /// [`Code::BodyTooLarge`] when the body exceeds `bytes_max`, [`Code::BadRequest`] when the caller aborts it or stops
    /// sending it, [`Code::LinkClosed`] when the link ends.
    pub async fn send_body(mut self) -> Result<(), Code> {
        let mut offset_bytes = 0;
        if let Some(prefix) = self.prefix.take() {
            self.send_part(&mut offset_bytes, Bytes::clone(&prefix)).await?;
        }
        while let Some(bytes) = bodies::next_part(self.rest.next()).await? {
            self.send_part(&mut offset_bytes, bytes).await?;
        }
        let end = ToAgent::BodyEnd { request: self.request, total_bytes: offset_bytes };
        if self.link.send(end).await { Ok(()) } else { Err(Code::LinkClosed) }
    }

    async fn send_part(&self, offset_bytes: &mut u64, mut bytes: Bytes) -> Result<(), Code> {
        let end_bytes = offset_bytes.saturating_add(u64::try_from(bytes.len()).unwrap_or(u64::MAX));
        if end_bytes > self.bytes_max {
            return Err(Code::BodyTooLarge);
        }
        while !bytes.is_empty() {
            let part = bytes.split_to(bytes.len().min(CHUNK_BYTES));
            let count = u32::try_from(part.len()).unwrap_or(u32::MAX);
            let permit = self.credit.acquire_many(count).await.or(Err(Code::LinkClosed))?;
            permit.forget();
            let chunk = BodyChunk { request: self.request, offset_bytes: *offset_bytes, bytes: part.to_vec() };
            *offset_bytes += u64::from(count);
            if !self.link.send(ToAgent::Body(chunk)).await {
                return Err(Code::LinkClosed);
            }
        }
        Ok(())
    }
}

/// Allows `bytes` more to be sent.
pub fn add_credit(credit: &Semaphore, bytes: u64) {
    let credit_max = Semaphore::MAX_PERMITS - credit.available_permits();
    credit.add_permits(usize::try_from(bytes).unwrap_or(usize::MAX).min(credit_max));
}
