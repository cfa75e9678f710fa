//! Follows a change feed of the store, and detects in time when the store stops answering.

use std::time::Duration;

use chervilledge_policy::clock::Clock;

use crate::clock::whole_ms;
use crate::repeat::Attempts;
use crate::store::{CallFuture, ReadError, ReceivedBytes};

/// Pause after a request that the store refused or that didn't reach it.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Timing of a feed's requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Longest time for which the store may hold a response back; below `retry_after`.
    pub wait: Duration,
    /// Time without a response after which the next request is sent.
    pub retry_after: Duration,
}

impl Timing {
    /// Timing with which a change is known within `bound`, even if one request and its repetition are lost.
    #[must_use]
    pub fn within(bound: Duration) -> Self {
        Self { wait: bound / 4, retry_after: bound * 2 / 5 }
    }
}

/// A change feed that is being followed.
#[expect(missing_debug_implementations, reason = "futures have none")]
pub struct Feed<T> {
    /// Name of the feed in the log.
    name: &'static str,
    timing: Timing,
    clock: Clock,
    attempts: Attempts<T>,
    /// When the store last responded.
    last_response: Duration,
    is_lost: bool,
}

/// Opens a feed.
#[must_use]
pub fn open<T>(name: &'static str, timing: Timing, clock: Clock) -> Feed<T> {
    let last_response = clock.now();
    Feed { name, timing, clock, attempts: Attempts::default(), last_response, is_lost: false }
}

impl<T> Feed<T> {
    /// Time since the store last responded.
    #[must_use]
    pub fn age(&self) -> Duration {
        self.clock.now().saturating_sub(self.last_response)
    }

    /// Requests the changes after a revision, and returns the first response to this or an earlier request.
    ///
    /// All requests sent until a response arrives must ask for the same changes. `request` receives the time for which
    /// the response may be held back.
    ///
    /// # Errors
    ///
    /// Why there is no response; the next request may be sent at once.
    pub async fn next(
        &mut self,
        after: u64,
        request: impl FnOnce(Duration, ReceivedBytes) -> CallFuture<Result<T, ReadError>>,
    ) -> Result<T, ReadError> {
        let sent_at = self.clock.now();
        let response =
            self.attempts.next_response(|received| request(self.timing.wait, received), self.timing.retry_after).await;
        let waited = self.clock.now().saturating_sub(sent_at);
        match &response {
            Ok(_) => self.record_success(after),
            Err(ReadError::Silent) => self.record_failure(ReadError::Silent, after, waited),
            Err(error) => {
                self.record_failure(*error, after, waited);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
        response
    }

    fn record_success(&mut self, after: u64) {
        if std::mem::take(&mut self.is_lost) {
            log::info!(event = "store_regained", by = self.name, after = after, age_ms = whole_ms(self.age()); "");
        }
        self.last_response = self.clock.now();
    }

    fn record_failure(&mut self, error: ReadError, after: u64, waited: Duration) {
        if error == ReadError::HistoryLost {
            // Pending requests from a revision whose history is lost would have the same response.
            self.attempts = Attempts::default();
        } else if !std::mem::replace(&mut self.is_lost, true) {
            log::warn!(event = "store_lost", by = self.name, error:% = error; "");
        }
        log::info!(event = "feed_unread", feed = self.name, error:% = error, after = after,
            waited_ms = whole_ms(waited), age_ms = whole_ms(self.age()); "");
    }
}
