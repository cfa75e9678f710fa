//! Light agents: many in one process, each with real links and heartbeats, and without a worker.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use chervilledge::boot;
use chervilledge::rollout::Enforced;
use chervilledge_link::connection::{self, Receiver, Sender};
use chervilledge_link::error::Error;
use chervilledge_link::message::{Hello, ToAgent, ToEntry, VERSION};
use chervilledge_policy::capacity::{Capacity, Resources};
use chervilledge_policy::id::{BootId, Name};
use chervilledge_policy::membership::{Announcement, Heartbeat, Load, LoadDelta};
use chervilledge_policy::rollout::{Source, Stamp};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;

use crate::harness::LINK_SECRET;

/// Failure domains that the workers are spread over.
const FAILURE_DOMAINS: u32 = 11;
/// Workers of one rack.
const WORKERS_PER_RACK: u32 = 40;
/// Services that the workers are spread over.
const SERVICES: u32 = 54;
/// Links that are being opened at the same time.
const OPENING_MAX: usize = 64;
/// Pause before a link that failed is opened again.
const REOPEN_PAUSE: Duration = Duration::from_millis(200);
/// Silence after which a link is given up.
const SILENCE: Duration = Duration::from_secs(5);

/// Version that a light agent has put in force.
#[derive(Debug)]
pub struct Adopted {
    /// The version.
    pub stamp: Stamp,
    /// Moment at which it was in force.
    pub at: Instant,
}

/// Counts of all links of a fleet.
#[derive(Debug, Default)]
pub struct Counts {
    /// Links that an entry welcomed.
    pub opened: AtomicU64,
    /// Links that ended or couldn't be opened.
    pub failed: AtomicU64,
}

/// Running light agents; they end when this is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// Counts of all links.
    pub counts: Arc<Counts>,
    /// Tells of each version that an agent has put in force.
    pub adopted: mpsc::UnboundedReceiver<Adopted>,
    adopted_sender: mpsc::UnboundedSender<Adopted>,
    opening: Arc<Semaphore>,
    tasks: JoinSet<()>,
}

/// One agent, shared by its links.
#[derive(Debug)]
struct Agent {
    number: u32,
    boot: BootId,
    enforced: Enforced,
    /// Highest version whose documents were asked for.
    asked: AtomicU64,
    last_link: AtomicU64,
    /// Sends on each open link, by the link's number.
    links: Mutex<BTreeMap<u64, Sender<ToEntry>>>,
    heartbeat_interval: Duration,
    counts: Arc<Counts>,
    adopted: mpsc::UnboundedSender<Adopted>,
    opening: Arc<Semaphore>,
}

impl Fleet {
    /// Makes a fleet without any agent.
    pub fn open() -> Self {
        let (adopted_sender, adopted) = mpsc::unbounded_channel();
        let opening = Arc::new(Semaphore::new(OPENING_MAX));
        Self { counts: Arc::default(), adopted, adopted_sender, opening, tasks: JoinSet::new() }
    }

    /// Starts an agent with a link to each entry.
    pub fn add(&mut self, number: u32, entries: &[SocketAddr], heartbeat_interval: Duration) {
        let agent = Arc::new(Agent {
            number,
            boot: boot::new_id(),
            enforced: Enforced::new(Name::from("hobart")),
            asked: AtomicU64::new(0),
            last_link: AtomicU64::new(0),
            links: Mutex::default(),
            heartbeat_interval,
            counts: Arc::clone(&self.counts),
            adopted: self.adopted_sender.clone(),
            opening: Arc::clone(&self.opening),
        });
        for entry in entries {
            self.tasks.spawn(keep_link(Arc::clone(&agent), *entry));
        }
    }

    /// Waits until `count` links were welcomed.
    pub async fn wait_for_links(&self, count: u64, patience: Duration) {
        let until = Instant::now() + patience;
        while self.counts.opened.load(Ordering::Relaxed) < count {
            assert!(Instant::now() < until, "{count} links not open: {:?}", self.counts);
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

async fn keep_link(agent: Arc<Agent>, entry: SocketAddr) {
    loop {
        let error = agent.run_link(entry).await;
        agent.counts.failed.fetch_add(1, Ordering::Relaxed);
        eprintln!("link of light agent {} ended: {error:?}", agent.number);
        tokio::time::sleep(REOPEN_PAUSE).await;
    }
}

impl Agent {
    /// Runs one link to its end.
    async fn run_link(&self, entry: SocketAddr) -> Result<(), Error> {
        let link = self.last_link.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, mut receiver) = self.open_link(entry, link).await?;
        self.links().insert(link, sender.clone());
        if let Some(stamp) = self.enforced.stamp() {
            // The version may have come on another link after the announcement was made.
            sender.post(ToEntry::Enforced(stamp));
        }
        let ended = self.serve_link(link, &sender, &mut receiver).await;
        self.links().remove(&link);
        ended
    }

    fn links(&self) -> MutexGuard<'_, BTreeMap<u64, Sender<ToEntry>>> {
        self.links.lock().expect("no panic under the lock")
    }

    async fn serve_link(&self, link: u64, sender: &Sender<ToEntry>, receiver: &mut Receiver) -> Result<(), Error> {
        self.counts.opened.fetch_add(1, Ordering::Relaxed);
        let first = rand::random_range(0.0..1.0);
        let start = tokio::time::Instant::now() + self.heartbeat_interval.mul_f64(first);
        let mut ticks = tokio::time::interval_at(start, self.heartbeat_interval);
        let mut heartbeats = Heartbeats { boot: self.boot, link, sequence: 0, needs_whole: true };
        loop {
            tokio::select! {
                _ = ticks.tick() => sender.send(heartbeats.next()).await?,
                message = receiver.receive(SILENCE) => {
                    let message = message?;
                    heartbeats.needs_whole |= matches!(message, ToAgent::WholeHeartbeat);
                    self.take_in(message, sender).await?;
                }
            }
        }
    }

    async fn open_link(&self, entry: SocketAddr, link: u64) -> Result<(Sender<ToEntry>, Receiver), Error> {
        let _permit = self.opening.acquire().await.or(Err(Error::Closed))?;
        let (sender, mut receiver) = connection::open(entry, LINK_SECRET).await?;
        sender.send(ToEntry::Hello(Box::new(self.hello(link)))).await?;
        let ToAgent::Welcome(welcome) = receiver.receive(SILENCE).await? else {
            return Err(Error::Decode("first message isn't a welcome".to_owned()));
        };
        if let Some(stamp) = welcome.enforced {
            self.on_enforced(stamp, &sender).await?;
        }
        Ok((sender, receiver))
    }

    async fn take_in(&self, message: ToAgent, sender: &Sender<ToEntry>) -> Result<(), Error> {
        match message {
            ToAgent::Enforced(stamp) => self.on_enforced(stamp, sender).await,
            ToAgent::Configuration(configuration) => {
                self.enforced.offer_text(&configuration.accepted, Source::Peer);
                self.tell_enforced();
                Ok(())
            }
            ToAgent::WantConfiguration => match self.enforced.to_hand_on() {
                Some(configuration) => sender.send(ToEntry::Configuration(configuration)).await,
                None => Ok(()),
            },
            _ => Ok(()),
        }
    }

    /// Tells every entry the version in force.
    fn tell_enforced(&self) {
        let Some(stamp) = self.enforced.stamp() else { return };
        // Nobody counts versions once the benchmark has ended.
        drop(self.adopted.send(Adopted { stamp, at: Instant::now() }));
        for sender in self.links().values() {
            sender.post(ToEntry::Enforced(stamp));
        }
    }

    /// Asks for the documents of a version, on one link only.
    async fn on_enforced(&self, stamp: Stamp, sender: &Sender<ToEntry>) -> Result<(), Error> {
        let lacks = self.enforced.lacks(stamp);
        if lacks && self.asked.fetch_max(stamp.version, Ordering::Relaxed) < stamp.version {
            sender.send(ToEntry::WantConfiguration).await?;
        }
        Ok(())
    }

    fn hello(&self, link: u64) -> Hello {
        let resources = Resources { processor_millicores: 32_000, memory_bytes: 125 << 30, accelerators: 2 };
        let announcement = Announcement {
            agent_boot: self.boot,
            capacity: Capacity { slots: 8, connections: 64, resources },
            failure_domain: Name::from(format!("failure-domain-{}", self.number % FAILURE_DOMAINS)),
            link,
            queue: 16,
            rack: Name::from(format!("rack-{}", self.number / WORKERS_PER_RACK)),
            service: Name::from(format!("service-{}", self.number % SERVICES)),
            worker: Name::from(format!("worker-{}", self.number)),
        };
        let load = Load { free: resources, ready: true, ..Load::default() };
        Hello { version: VERSION, announcement, load, enforced: self.enforced.stamp() }
    }
}

/// Heartbeats of one link, in each of which the load has changed.
struct Heartbeats {
    boot: BootId,
    link: u64,
    sequence: u64,
    needs_whole: bool,
}

impl Heartbeats {
    fn next(&mut self) -> ToEntry {
        self.sequence += 1;
        let in_progress = u32::from(self.sequence.is_multiple_of(2));
        let load = if std::mem::take(&mut self.needs_whole) {
            LoadDelta::full(&Load { in_progress, ready: true, ..Load::default() })
        } else {
            LoadDelta { in_progress: Some(in_progress), ..LoadDelta::default() }
        };
        let (agent_boot, link, sequence) = (self.boot, self.link, self.sequence);
        ToEntry::Heartbeat(Heartbeat { agent_boot, link, load, sequence })
    }
}
