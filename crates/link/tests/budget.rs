//! Links whose peers are counted in the budget of the process.

use std::net::Ipv4Addr;
use std::time::Duration;

use chervilledge_caller::budget::{self, Budget, CONNECTION_BYTES, Limits};
use chervilledge_link::connection::{self, Receiver, Sender};
use chervilledge_link::error::Error;
use chervilledge_policy::clock::Clock;
use tokio::net::TcpListener;
use tokio::time::Instant;

const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Both ends of a link: the peer's, and the one that is counted.
struct Link {
    peer: (Sender<String>, Receiver),
    counted: (Sender<String>, Receiver),
}

fn open_budget(bytes_max: usize) -> Budget {
    let origin = Instant::now();
    budget::open(Limits { bytes_max, connections_max: 10 }, Clock::new(move || origin.elapsed()))
}

async fn link(budget: &Budget) -> Link {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("its address");
    let accept = async {
        let (stream, _) = listener.accept().await.expect("a connection");
        connection::accept_counted(stream, budget.admit().await).await
    };
    let (opened, accepted) = tokio::join!(connection::connect(address, "none"), accept);
    Link { peer: opened.expect("a link"), counted: accepted.expect("a link") }
}

#[tokio::test]
async fn message_beyond_the_budget_ends_the_link() {
    let budget = open_budget(4 * CONNECTION_BYTES);
    let mut link = link(&budget).await;
    link.peer.0.post("x".repeat(8 * CONNECTION_BYTES));
    link.counted.1.receive::<String>(WAIT_LIMIT).await.expect_err("no room for the message");
    drop(link);
    while budget.bytes() > 0 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn room_of_a_message_comes_free_with_it() {
    let budget = open_budget(4 * CONNECTION_BYTES);
    let mut link = link(&budget).await;
    for _ in 0..10 {
        link.peer.0.post("x".repeat(2 * CONNECTION_BYTES));
        link.counted.1.receive::<String>(WAIT_LIMIT).await.expect("a message");
        assert_eq!(budget.bytes(), CONNECTION_BYTES);
    }
}

#[tokio::test]
async fn silent_link_gives_way_to_a_new_one() {
    let budget = open_budget(CONNECTION_BYTES * 3 / 2);
    let mut silent = link(&budget).await;
    let _new = link(&budget).await;
    let ended = silent.counted.1.receive::<String>(WAIT_LIMIT).await;
    assert!(matches!(ended, Err(Error::Full(_))), "{ended:?}");
}

#[tokio::test]
async fn peer_that_reads_nothing_is_told_nothing_more() {
    let budget = open_budget(1 << 30);
    let link = link(&budget).await;
    let answer = "x".repeat(CONNECTION_BYTES);
    // Beyond what the kernel buffers.
    for _ in 0..10_000 {
        if let Err(error) = link.counted.0.ready(Duration::from_millis(500)).await {
            assert!(matches!(error, Error::Unread), "{error}");
            return;
        }
        link.counted.0.post(answer.clone());
    }
    panic!("10,000 answers were queued");
}
