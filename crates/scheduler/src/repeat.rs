//! Repeats calls to the store that aren't answered in time.
//!
//! An unanswered call is followed by another one but not abandoned: a slow store still answers the first, while a lost
//! call costs no more than the time until the next one.

use std::pin::pin;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::store::{CallFuture, Handle, Outcome, ReadError, ReceivedBytes, Transaction};

/// Time without a response after which a transaction is sent once more.
///
/// About thirty times the usual duration of a transaction; a lost response costs the caller no more than that.
const COMMIT_RETRY_AFTER: Duration = Duration::from_millis(450);
/// Time without a response after which the outcome of a transaction is reported as unknown; less than half of the time
/// that callers wait, so that they can still retry.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1_250);
/// Time without a response after which a read is sent once more; about thirty times its usual duration.
const READ_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Attempts at one read. The first response to any of them counts.
#[expect(missing_debug_implementations, reason = "futures have none")]
pub struct Attempts<T> {
    in_flight: FuturesUnordered<CallFuture<Result<T, ReadError>>>,
    /// Bytes received by all attempts together.
    received: ReceivedBytes,
}

impl<T> Default for Attempts<T> {
    fn default() -> Self {
        Self { in_flight: FuturesUnordered::new(), received: ReceivedBytes::default() }
    }
}

impl<T> Attempts<T> {
    /// Adds an attempt and waits for the first response, as long as part of one arrives within each `retry_after`.
    /// Unanswered attempts stay in flight.
    ///
    /// # Errors
    ///
    /// [`ReadError::Silent`] when nothing arrived in time, otherwise the store's error.
    pub async fn next_response(
        &mut self,
        attempt: impl FnOnce(ReceivedBytes) -> CallFuture<Result<T, ReadError>>,
        retry_after: Duration,
    ) -> Result<T, ReadError> {
        self.in_flight.push(attempt(self.received.clone()));
        let in_flight = &mut self.in_flight;
        let mut first_response = pin!(async {
            while let Some(response) = in_flight.next().await {
                if !matches!(response, Err(ReadError::Silent)) {
                    return response;
                }
            }
            Err(ReadError::Silent)
        });
        let response = loop {
            let received_before = self.received.bytes();
            match tokio::time::timeout(retry_after, &mut first_response).await {
                Ok(response) => break response,
                Err(_) if self.received.bytes() == received_before => break Err(ReadError::Silent),
                Err(_) => {}
            }
        };
        if response.is_ok() {
            self.in_flight.clear();
        }
        response
    }
}

/// Makes a read that is repeated until it is answered or `time_limit` has passed.
///
/// # Errors
///
/// As [`Attempts::next_response`].
pub async fn read<T>(
    time_limit: Duration,
    mut attempt: impl FnMut(ReceivedBytes) -> CallFuture<Result<T, ReadError>>,
) -> Result<T, ReadError> {
    let mut attempts = Attempts::default();
    let responded = async {
        loop {
            match attempts.next_response(&mut attempt, READ_RETRY_AFTER).await {
                Err(ReadError::Silent) => {}
                response => return response,
            }
        }
    };
    tokio::time::timeout(time_limit, responded).await.unwrap_or(Err(ReadError::Silent))
}

/// Commits a transaction that may be sent twice.
///
/// Either attempt may prove that the transaction took effect. A refusal applies only to its own attempt, so it is final
/// only if there was no other. The outcome is [`Outcome::Broken`] only if no attempt was silent.
pub async fn commit(store: &Handle, transaction: Transaction) -> Outcome {
    let attempts = async {
        let mut is_silent = false;
        let mut attempts = FuturesUnordered::new();
        attempts.push((store.commit)(transaction.clone()));
        match tokio::time::timeout(COMMIT_RETRY_AFTER, attempts.next()).await {
            Ok(Some(outcome)) if !matches!(outcome, Outcome::Unknown | Outcome::Broken) => return outcome,
            Ok(first_response) => {
                is_silent = first_response != Some(Outcome::Broken);
                attempts.push((store.commit)(transaction));
            }
            Err(_) => attempts.push((store.commit)(transaction)),
        }
        while let Some(outcome) = attempts.next().await {
            if matches!(outcome, Outcome::Done(_) | Outcome::Conflict(_)) {
                return outcome;
            }
            is_silent |= !matches!(outcome, Outcome::Broken | Outcome::NotThere);
        }
        if is_silent { Outcome::Unknown } else { Outcome::Broken }
    };
    tokio::time::timeout(COMMIT_TIMEOUT, attempts).await.unwrap_or(Outcome::Unknown)
}
