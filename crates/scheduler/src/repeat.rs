//! Repeats calls to the store that aren't answered in time.
//!
//! A call without an answer is followed by another one and not given up: a slow store still answers the first, while a
//! call that was swallowed costs no more than the time until the next one.

use std::pin::pin;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::store::{CallFuture, Handle, Outcome, ReadError, ReceivedBytes, Transaction};

/// Time without an answer after which a transaction is sent once more.
///
/// Some thirty times the usual time of a transaction; a lost answer costs the caller no more than that.
const COMMIT_OVERDUE: Duration = Duration::from_millis(450);
/// Time without an answer after which the outcome of a transaction is told as unknown; under half of what callers wait,
/// so that they can still come again.
const COMMIT_GIVE_UP: Duration = Duration::from_millis(1_250);
/// Time without an answer after which a read is sent once more; some thirty times its usual time.
const READ_OVERDUE: Duration = Duration::from_millis(300);

/// Attempts at one read. The first answer to any of them counts.
#[expect(missing_debug_implementations, reason = "futures have none")]
pub struct Attempts<T> {
    open: FuturesUnordered<CallFuture<Result<T, ReadError>>>,
    /// Counts what comes of all of them.
    arrival: ReceivedBytes,
}

impl<T> Default for Attempts<T> {
    fn default() -> Self {
        Self { open: FuturesUnordered::new(), arrival: ReceivedBytes::default() }
    }
}

impl<T> Attempts<T> {
    /// Adds an attempt and waits for the first answer, as long as some part of one comes within `overdue`; attempts without
    /// an answer stay open.
    ///
    /// # Errors
    ///
    /// [`ReadError::Silent`] when nothing came in time, else the answer of the store.
    pub async fn ask(
        &mut self,
        attempt: impl FnOnce(ReceivedBytes) -> CallFuture<Result<T, ReadError>>,
        overdue: Duration,
    ) -> Result<T, ReadError> {
        self.open.push(attempt(self.arrival.clone()));
        let open = &mut self.open;
        let mut first = pin!(async {
            while let Some(answer) = open.next().await {
                if !matches!(answer, Err(ReadError::Silent)) {
                    return answer;
                }
            }
            Err(ReadError::Silent)
        });
        let answer = loop {
            let known = self.arrival.bytes();
            match tokio::time::timeout(overdue, &mut first).await {
                Ok(answer) => break answer,
                Err(_) if self.arrival.bytes() == known => break Err(ReadError::Silent),
                Err(_) => {}
            }
        };
        if answer.is_ok() {
            self.open.clear();
        }
        answer
    }
}

/// Makes a read that is repeated until it is answered or `give_up` has passed.
///
/// # Errors
///
/// As [`Attempts::ask`].
pub async fn read<T>(
    give_up: Duration,
    mut attempt: impl FnMut(ReceivedBytes) -> CallFuture<Result<T, ReadError>>,
) -> Result<T, ReadError> {
    let mut attempts = Attempts::default();
    let answered = async {
        loop {
            match attempts.ask(&mut attempt, READ_OVERDUE).await {
                Err(ReadError::Silent) => {}
                answer => return answer,
            }
        }
    };
    tokio::time::timeout(give_up, answered).await.unwrap_or(Err(ReadError::Silent))
}

/// Commits a transaction that may be sent twice.
///
/// Either attempt may prove that the transaction took effect. A refusal proves something only of its own attempt, so it
/// is final only as long as there was no other. The outcome is [`Outcome::Broken`] only if no attempt was silent.
pub async fn commit(store: &Handle, transaction: Transaction) -> Outcome {
    let attempts = async {
        let mut is_silent = false;
        let mut attempts = FuturesUnordered::new();
        attempts.push((store.commit)(transaction.clone()));
        match tokio::time::timeout(COMMIT_OVERDUE, attempts.next()).await {
            Ok(Some(outcome)) if !matches!(outcome, Outcome::Unknown | Outcome::Broken) => return outcome,
            Ok(first) => {
                is_silent = first != Some(Outcome::Broken);
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
    tokio::time::timeout(COMMIT_GIVE_UP, attempts).await.unwrap_or(Outcome::Unknown)
}
