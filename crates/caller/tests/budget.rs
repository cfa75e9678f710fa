//! The budget that the clients of a process share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use chervilledge_caller::budget::{self, Budget, CONNECTION_BYTES, Connection, Full, Limits, Share};
use chervilledge_policy::clock::Clock;

const BODY_BYTES: usize = 8 * CONNECTION_BYTES;

/// Budget with a clock that is set by hand.
struct Fixture {
    budget: Budget,
    now_ms: Arc<AtomicU64>,
}

impl Fixture {
    fn open(bytes_max: usize, connections_max: usize) -> Self {
        let now_ms = Arc::new(AtomicU64::new(0));
        let reading = Arc::clone(&now_ms);
        let clock = Clock::new(move || Duration::from_millis(reading.load(Ordering::Relaxed)));
        Self { budget: budget::open(Limits { bytes_max, connections_max }, clock), now_ms }
    }

    fn admit(&self) -> Arc<Connection> {
        Arc::new(self.budget.try_admit().expect("room"))
    }

    fn advance(&self, milliseconds: u64) {
        self.now_ms.fetch_add(milliseconds, Ordering::Relaxed);
    }
}

fn is_closed(connection: &Connection) -> bool {
    connection.grow(0) == Err(Full)
}

#[test]
fn stalled_body_makes_room_for_an_ordinary_one() {
    let fixture = Fixture::open(2 * CONNECTION_BYTES + BODY_BYTES, 10);
    let stalled = fixture.admit();
    stalled.begin_reading();
    let mut body = Share::empty(Arc::clone(&stalled));
    body.grow_to(BODY_BYTES).expect("room");
    fixture.advance(1_000);
    let ordinary = fixture.admit();
    ordinary.begin_reading();
    fixture.advance(10);
    ordinary.grow(1_000).expect("the stalled body makes room");
    assert!(is_closed(&stalled));
    assert_eq!(fixture.budget.bytes(), CONNECTION_BYTES + 1_000);
    drop(body);
    assert_eq!(fixture.budget.bytes(), CONNECTION_BYTES + 1_000);
}

#[test]
fn costliest_body_is_refused_instead_of_closing_a_cheaper_one() {
    let fixture = Fixture::open(2 * CONNECTION_BYTES + BODY_BYTES, 10);
    let (large, small) = (fixture.admit(), fixture.admit());
    large.begin_reading();
    fixture.advance(1_000);
    let mut body = Share::empty(Arc::clone(&large));
    body.grow_to(BODY_BYTES).expect("room");
    assert_eq!(body.grow_to(BODY_BYTES + 1), Err(Full));
    assert!(!is_closed(&small));
    drop(body);
    assert_eq!(fixture.budget.bytes(), 2 * CONNECTION_BYTES);
}

#[tokio::test]
async fn idle_connection_makes_room_for_a_new_one() {
    let fixture = Fixture::open(usize::MAX, 2);
    let idle = fixture.admit();
    fixture.advance(1);
    let recent = fixture.admit();
    let _new = fixture.admit();
    idle.closed().await;
    assert!(!is_closed(&recent));
    assert_eq!(fixture.budget.connections(), 2);
}

#[tokio::test]
async fn request_that_is_served_is_not_broken_off() {
    let fixture = Fixture::open(usize::MAX, 1);
    let served = fixture.admit();
    served.begin_serving();
    fixture.advance(1_000);
    assert_eq!(fixture.budget.try_admit().err(), Some(Full));
    let (_new, ()) = tokio::join!(fixture.budget.admit(), async { served.begin_waiting() });
    assert!(is_closed(&served));
}

#[test]
fn closed_connection_returns_its_share_once() {
    let fixture = Fixture::open(usize::MAX, 1);
    let first = fixture.admit();
    first.grow(BODY_BYTES).expect("room");
    fixture.advance(1);
    let second = fixture.admit();
    drop(first);
    assert_eq!(fixture.budget.bytes(), CONNECTION_BYTES);
    drop(second);
    assert_eq!((fixture.budget.bytes(), fixture.budget.connections()), (0, 0));
}
