//! Links of an agent while it moves from the address at which it finds entries to those that they announce.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use chervilledge::agent::dial::Event;
use chervilledge::agent::links::{self, Ports, Settings};
use chervilledge_link::connection;
use chervilledge_link::message::{EntryAddress, Hello, ToAgent, ToEntry, VERSION, Welcome};
use chervilledge_policy::capacity::Capacity;
use chervilledge_policy::id::BootId;
use chervilledge_policy::membership::{Announcement, Load};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{self, UnboundedReceiver};
use tokio::task::JoinHandle;
use tokio::time::timeout;

const SILENCE: Duration = Duration::from_secs(30);
const BACKOFF_MAX: Duration = Duration::from_millis(100);
/// Time for a message between tasks of the test.
const PATIENCE: Duration = Duration::from_secs(20);

/// Link listener of an entry, on which each link waits for its welcome until [`Entry::welcome`].
struct Entry {
    boot: BootId,
    address: SocketAddr,
    asked: UnboundedReceiver<connection::Sender<ToAgent>>,
    accepting: JoinHandle<()>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl Entry {
    async fn bind(boot: BootId) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let address = listener.local_addr().expect("address");
        let (asked_sender, asked) = mpsc::unbounded_channel();
        let accepting = tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("stream");
                let asked = asked_sender.clone();
                tokio::spawn(async move {
                    let (sender, mut receiver) = connection::accept(stream, |_| true).await.expect("link");
                    let hello = receiver.receive(SILENCE).await.expect("hello");
                    assert!(matches!(hello, ToEntry::Hello(_)), "{hello:?}");
                    asked.send(sender).expect("the test waits");
                    // The link is open for as long as its receiving half is.
                    drop(receiver.receive::<ToEntry>(SILENCE).await);
                });
            }
        });
        Self { boot, address, asked, accepting }
    }

    fn announced(&self) -> EntryAddress {
        EntryAddress { entry: self.boot, failure_domain: "a".into(), address: self.address.to_string() }
    }

    /// Waits until the agent waits for a welcome.
    async fn asked(&mut self) -> connection::Sender<ToAgent> {
        timeout(PATIENCE, self.asked.recv()).await.expect("a link in time").expect("a link")
    }

    /// Answers the next link; the sender keeps it open.
    async fn welcome(&mut self, entries: &[EntryAddress]) -> connection::Sender<ToAgent> {
        let sender = self.asked().await;
        sender.post(ToAgent::Welcome(Welcome { entry: self.boot, entries: entries.to_vec(), enforced: None }));
        sender
    }
}

/// Keeper of an agent's links.
struct Agent {
    retired: UnboundedReceiver<(SocketAddr, bool)>,
    keeper: JoinHandle<()>,
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.keeper.abort();
    }
}

impl Agent {
    fn spawn(bootstrap: Vec<SocketAddr>) -> Self {
        let settings = Settings {
            worker: "worker-1".into(),
            bootstrap,
            links_max: 4,
            secret: "secret".to_owned(),
            silence: SILENCE,
            backoff_max: BACKOFF_MAX,
        };
        let (heard, entries) = mpsc::unbounded_channel();
        let (retired_sender, retired) = mpsc::unbounded_channel();
        let last_link = AtomicU64::new(0);
        let hello = move || std::future::ready(hello(last_link.fetch_add(1, Ordering::Relaxed) + 1));
        let senders = Mutex::new(Vec::new());
        let events = move |event| {
            if let Event::Open { welcome, sender, .. } = event {
                // A link ends with its sender.
                senders.lock().expect("senders").push(sender);
                heard.send(welcome.entries).expect("the keeper runs");
            }
        };
        let retire = move |address, is_retired| _ = retired_sender.send((address, is_retired));
        Self { retired, keeper: links::spawn(settings, Ports { hello, events, retire }, entries) }
    }

    /// Addresses whose links have been told to end since the last call, in the order of the calls.
    fn retired(&mut self) -> Vec<SocketAddr> {
        let told = std::iter::from_fn(|| self.retired.try_recv().ok());
        told.filter(|(_, is_retired)| *is_retired).map(|(address, _)| address).collect()
    }

    /// Waits until the links to an address are told to end.
    async fn retires(&mut self, address: SocketAddr) {
        let is_told = async { while self.retired.recv().await.expect("the keeper runs") != (address, true) {} };
        timeout(PATIENCE, is_told).await.expect("the links end in time");
    }
}

fn hello(link: u64) -> Hello {
    let announcement = Announcement {
        agent_boot: BootId(1),
        capacity: Capacity::default(),
        failure_domain: "a".into(),
        link,
        queue: 1,
        rack: "r".into(),
        service: "portal".into(),
        worker: "worker-1".into(),
    };
    Hello { version: VERSION, announcement, load: Load::default(), enforced: None }
}

#[tokio::test]
async fn link_by_the_balancer_ended_before_one_to_the_announced_address_was_open() {
    let mut balancer = Entry::bind(BootId(7)).await;
    let mut announced = Entry::bind(BootId(7)).await;
    let mut agent = Agent::spawn(vec![balancer.address]);

    let _first = balancer.welcome(&[announced.announced()]).await;
    let asked = announced.asked().await;
    assert_eq!(agent.retired(), [], "the agent has no other link");

    asked.post(ToAgent::Welcome(Welcome { entry: BootId(7), entries: vec![announced.announced()], enforced: None }));
    agent.retires(balancer.address).await;
}

#[tokio::test]
async fn link_by_the_balancer_ended_since_another_entry_was_linked() {
    let mut balancer = Entry::bind(BootId(7)).await;
    let mut own = Entry::bind(BootId(7)).await;
    let mut other = Entry::bind(BootId(8)).await;
    let entries = [own.announced(), other.announced()];
    let mut agent = Agent::spawn(vec![balancer.address]);

    let _first = balancer.welcome(&entries).await;
    let own_asked = own.asked().await;
    let _other = other.welcome(&entries).await;
    // A further round of the keeper.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(agent.retired(), [], "the entry behind the balancer would have no link");

    own_asked.post(ToAgent::Welcome(Welcome { entry: BootId(7), entries: entries.to_vec(), enforced: None }));
    agent.retires(balancer.address).await;
}

#[tokio::test]
async fn link_to_an_entry_that_is_not_chosen_ends_beside_an_open_one() {
    let mut left = Entry::bind(BootId(6)).await;
    let mut chosen = Entry::bind(BootId(8)).await;
    let nowhere = EntryAddress { entry: BootId(9), failure_domain: "a".into(), address: "127.0.0.1:1".to_owned() };
    let entries = [chosen.announced(), nowhere];
    let mut agent = Agent::spawn(vec![left.address]);

    let _left = left.welcome(&entries).await;
    let _chosen = chosen.welcome(&entries).await;
    agent.retires(left.address).await;
}
