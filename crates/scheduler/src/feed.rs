//! Follows what the store tells, and notices in time when it doesn't tell any more.

use std::time::Duration;

use chervilledge_policy::clock::Clock;

use crate::clock::whole_ms;
use crate::repeat::Attempts;
use crate::store::{CallFuture, ReadError, ReceivedBytes};

/// Pause after a request that the store has refused or that didn't reach it.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// How long the requests of a feed take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Time for which the store may hold an answer back; below `overdue`.
    pub wait: Duration,
    /// Time without an answer after which the next request is sent.
    pub overdue: Duration,
}

impl Timing {
    /// Timing with which a change is known within `bound`, though one request was swallowed and its repetition as well.
    #[must_use]
    pub fn within(bound: Duration) -> Self {
        Self { wait: bound / 4, overdue: bound * 2 / 5 }
    }
}

/// Feed that is followed.
#[expect(missing_debug_implementations, reason = "futures have none")]
pub struct Feed<T> {
    /// What is followed, for the log.
    name: &'static str,
    timing: Timing,
    clock: Clock,
    attempts: Attempts<T>,
    /// When the store last answered.
    told: Duration,
    is_lost: bool,
}

/// Opens a feed.
#[must_use]
pub fn open<T>(name: &'static str, timing: Timing, clock: Clock) -> Feed<T> {
    let told = clock.now();
    Feed { name, timing, clock, attempts: Attempts::default(), told, is_lost: false }
}

impl<T> Feed<T> {
    /// Time since the store last answered.
    #[must_use]
    pub fn age(&self) -> Duration {
        self.clock.now().saturating_sub(self.told)
    }

    /// Sends a request for what changed after a revision, and gives the first answer to it or to an earlier one.
    ///
    /// Requests between two answers have to ask for the same. `request` takes the time for which the answer may be held
    /// back.
    ///
    /// # Errors
    ///
    /// Why there is none; the next request may be sent at once.
    pub async fn next(
        &mut self,
        after: u64,
        request: impl FnOnce(Duration, ReceivedBytes) -> CallFuture<Result<T, ReadError>>,
    ) -> Result<T, ReadError> {
        let asked = self.clock.now();
        let answer = self.attempts.ask(|arrival| request(self.timing.wait, arrival), self.timing.overdue).await;
        let waited = self.clock.now().saturating_sub(asked);
        match &answer {
            Ok(_) => self.answered(after),
            Err(ReadError::Silent) => self.failed(ReadError::Silent, after, waited),
            Err(error) => {
                self.failed(*error, after, waited);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
        answer
    }

    fn answered(&mut self, after: u64) {
        if std::mem::take(&mut self.is_lost) {
            log::info!(event = "store_regained", by = self.name, after = after, age_ms = whole_ms(self.age()); "");
        }
        self.told = self.clock.now();
    }

    fn failed(&mut self, error: ReadError, after: u64, waited: Duration) {
        if error == ReadError::HistoryLost {
            // Requests from a position whose history is gone have the same answer.
            self.attempts = Attempts::default();
        } else if !std::mem::replace(&mut self.is_lost, true) {
            log::warn!(event = "store_lost", by = self.name, error:% = error; "");
        }
        log::info!(event = "feed_unread", feed = self.name, error:% = error, after = after,
            waited_ms = whole_ms(waited), age_ms = whole_ms(self.age()); "");
    }
}
