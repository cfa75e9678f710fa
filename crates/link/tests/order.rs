//! Order of the messages on a link.

use std::net::Ipv4Addr;
use std::time::Duration;

use chervilledge_link::connection;
use tokio::net::TcpListener;

const WAIT_LIMIT: Duration = Duration::from_secs(20);
/// Far more than the send queue holds.
const MESSAGES: u32 = 100_000;

/// An order to stop a run must not overtake the order to start it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn messages_posted_to_a_full_queue_keep_their_order() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("its address");
    let accept = async {
        let (stream, _) = listener.accept().await.expect("a connection");
        connection::accept_typed::<u32>(stream, |_| true).await
    };
    let (opened, accepted) = tokio::join!(connection::connect::<u32>(address, "none"), accept);
    let (sender, _replies) = opened.expect("a link");
    let (_replier, mut receiver) = accepted.expect("a link");
    let reader = tokio::spawn(async move {
        for expected in 0..MESSAGES {
            assert_eq!(receiver.receive::<u32>(WAIT_LIMIT).await.expect("a message"), expected);
        }
    });
    for message in 0..MESSAGES {
        sender.post(message);
    }
    reader.await.expect("the order of the calls");
}
