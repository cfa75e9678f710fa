//! Repetition of calls to the store.

use std::cell::Cell;
use std::time::Duration;

use chervilledge_scheduler::repeat::{self, Attempts};
use chervilledge_scheduler::store::{ReadError, ReceivedBytes};
use tokio::time::Instant;

/// Time without receiving part of a response after which a call is overdue.
const OVERDUE: Duration = Duration::from_millis(300);
/// Interval at which parts of a response arrive over a slow link.
const PART_INTERVAL: Duration = Duration::from_millis(200);

/// Responds after the given number of parts.
async fn trickle(parts: u32, received: ReceivedBytes) -> Result<u32, ReadError> {
    for _ in 0..parts {
        tokio::time::sleep(PART_INTERVAL).await;
        received.add(1_000);
    }
    Ok(parts)
}

/// A configuration of 256 KB takes 3 s at 1 Mbit/s. A second request would only compete for the link.
#[tokio::test(start_paused = true)]
async fn an_answer_that_is_coming_is_not_asked_for_again() {
    const PARTS: u32 = 15;
    let mut attempts = Attempts::default();
    let began = Instant::now();
    let answer = attempts.next_response(|received| Box::pin(trickle(PARTS, received)), OVERDUE).await;
    assert_eq!(answer, Ok(PARTS));
    assert_eq!(began.elapsed(), PART_INTERVAL * PARTS);
}

/// A response that stalls is overdue, but counts again once it continues.
#[tokio::test(start_paused = true)]
async fn an_answer_that_stops_coming_is_overdue_and_stays_open() {
    let mut attempts = Attempts::default();
    let stopped = |received: ReceivedBytes| async move {
        trickle(3, received.clone()).await?;
        tokio::time::sleep(OVERDUE * 2).await;
        trickle(1, received).await
    };
    let began = Instant::now();
    let first = attempts.next_response(|received| Box::pin(stopped(received)), OVERDUE).await;
    assert_eq!(first, Err(ReadError::Silent));
    assert!(began.elapsed() <= PART_INTERVAL * 3 + OVERDUE * 2, "{:?}", began.elapsed());
    let second = attempts.next_response(|_| Box::pin(std::future::pending()), OVERDUE * 2).await;
    assert_eq!(second, Ok(1));
}

/// A read whose response is arriving isn't repeated either, but it is given up after its total time.
#[tokio::test(start_paused = true)]
async fn a_read_is_given_up_after_its_time() {
    let calls = Cell::new(0);
    let attempt = |received| {
        calls.set(calls.get() + 1);
        Box::pin(trickle(20, received)) as _
    };
    let answer = repeat::read(Duration::from_secs(1), attempt).await;
    assert_eq!((answer, calls.get()), (Err(ReadError::Silent), 1));
}
