//! When a call to the store is repeated.

use std::cell::Cell;
use std::time::Duration;

use chervilledge_scheduler::repeat::{self, Attempts};
use chervilledge_scheduler::store::{ReadError, ReceivedBytes};
use tokio::time::Instant;

/// Time without any part of an answer after which a call is overdue.
const OVERDUE: Duration = Duration::from_millis(300);
/// Interval at which parts of an answer come over a narrow link.
const PART_INTERVAL: Duration = Duration::from_millis(200);

/// Answers after so many parts.
async fn trickle(parts: u32, arrival: ReceivedBytes) -> Result<u32, ReadError> {
    for _ in 0..parts {
        tokio::time::sleep(PART_INTERVAL).await;
        arrival.add(1_000);
    }
    Ok(parts)
}

/// A configuration of 256 KB takes 3 s at 1 Mbit/s. Another request beside it would only take its share of the link.
#[tokio::test(start_paused = true)]
async fn an_answer_that_is_coming_is_not_asked_for_again() {
    const PARTS: u32 = 15;
    let mut attempts = Attempts::default();
    let began = Instant::now();
    let answer = attempts.ask(|arrival| Box::pin(trickle(PARTS, arrival)), OVERDUE).await;
    assert_eq!(answer, Ok(PARTS));
    assert_eq!(began.elapsed(), PART_INTERVAL * PARTS);
}

/// What stops coming is overdue, and counts again once it goes on.
#[tokio::test(start_paused = true)]
async fn an_answer_that_stops_coming_is_overdue_and_stays_open() {
    let mut attempts = Attempts::default();
    let stopped = |arrival: ReceivedBytes| async move {
        trickle(3, arrival.clone()).await?;
        tokio::time::sleep(OVERDUE * 2).await;
        trickle(1, arrival).await
    };
    let began = Instant::now();
    let first = attempts.ask(|arrival| Box::pin(stopped(arrival)), OVERDUE).await;
    assert_eq!(first, Err(ReadError::Silent));
    assert!(began.elapsed() <= PART_INTERVAL * 3 + OVERDUE * 2, "{:?}", began.elapsed());
    let second = attempts.ask(|_| Box::pin(std::future::pending()), OVERDUE * 2).await;
    assert_eq!(second, Ok(1));
}

/// A read that is coming isn't repeated either, but for its time as a whole.
#[tokio::test(start_paused = true)]
async fn a_read_is_given_up_after_its_time() {
    let calls = Cell::new(0);
    let attempt = |arrival| {
        calls.set(calls.get() + 1);
        Box::pin(trickle(20, arrival)) as _
    };
    let answer = repeat::read(Duration::from_secs(1), attempt).await;
    assert_eq!((answer, calls.get()), (Err(ReadError::Silent), 1));
}
