//! Listener for links from agents.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use chervilledge_link::connection::{self, Receiver, Sender};
use chervilledge_link::error::Error;
use chervilledge_link::message::{Hello, Reply, ToAgent, ToEntry, VERSION, Welcome};
use chervilledge_link::task::TaskReport;
use chervilledge_operator::secret::Secrets;
use chervilledge_policy::code::Code;
use chervilledge_policy::id::BootId;
use chervilledge_policy::peers::EntryRow;
use chervilledge_policy::rollout::{Source, Stamp};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::entry::fleet::{Fleet, Link};
use crate::entry::peers;
use crate::rollout::Enforced;
use crate::sync::lock;

/// Pause after a failed accept, which is usually caused by a shortage of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Connections that haven't presented a secret at the same time; an agent presents it at once.
const HANDSHAKES_MAX: usize = 64;

/// Timing of links.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Silence after which a link is closed.
    pub silence: Duration,
    /// Time between two heartbeats to an agent.
    pub heartbeat_interval: Duration,
}

/// Dependencies of links.
#[derive(Clone, Debug)]
pub struct Context {
    /// Workers known to the entry.
    pub fleet: Arc<Fleet>,
    /// Accepted link secrets.
    pub secrets: Arc<Secrets>,
    /// Timing of links.
    pub settings: Settings,
    /// Boot identifier of the entry process.
    pub boot: BootId,
    /// Live entries.
    pub live: watch::Receiver<Vec<EntryRow>>,
    /// Configuration that the entry enforces.
    pub enforced: Arc<Enforced>,
    /// Handles reports on batch tasks of a worker.
    pub on_tasks: OnTasks,
}

/// Function that handles reports on batch tasks of a worker.
type HandleReports = dyn Fn(&Link, Vec<TaskReport>) + Send + Sync;

/// Handler of reports on batch tasks of a worker.
#[derive(Clone)]
pub struct OnTasks(pub Arc<HandleReports>);

impl fmt::Debug for OnTasks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OnTasks")
    }
}

/// Running listener; dropping it stops it.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Listener {
    /// Address that the listener is bound to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Binds the listener for links.
///
/// # Errors
///
/// The error of the operating system when the address can't be bound.
pub async fn bind(address: SocketAddr, context: Context) -> io::Result<Listener> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let context = Arc::new(context);
    let handshakes = Arc::new(Handshakes::default());
    let task = tokio::spawn(accept_all(listener, move |stream| {
        let place = handshakes.begin();
        serve(stream, Arc::clone(&context), Arc::clone(&handshakes), place)
    }));
    Ok(Listener { address, task })
}

async fn accept_all<F: Future<Output = ()> + Send + 'static>(listener: TcpListener, serve: impl Fn(TcpStream) -> F) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(serve(stream))),
            Err(error) => {
                log::warn!(event = "accept_failed", error:% = error; "");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Connections whose WebSocket handshake is in progress.
#[derive(Debug, Default)]
struct Handshakes(Mutex<InProgress>);

#[derive(Debug, Default)]
struct InProgress {
    /// Number of the last connection.
    last: u64,
    /// Ends each connection; at most [`HANDSHAKES_MAX`] are kept.
    evictions: BTreeMap<u64, CancellationToken>,
}

/// Place of a connection among the handshakes in progress.
#[derive(Debug)]
struct Handshake {
    number: u64,
    is_evicted: CancellationToken,
}

impl Handshakes {
    /// Counts a new connection, and ends the oldest one if there are too many.
    fn begin(&self) -> Handshake {
        let mut in_progress = lock(&self.0);
        in_progress.last += 1;
        let number = in_progress.last;
        let is_evicted = CancellationToken::new();
        in_progress.evictions.insert(number, is_evicted.clone());
        if in_progress.evictions.len() > HANDSHAKES_MAX
            && let Some((_, oldest)) = in_progress.evictions.pop_first()
        {
            oldest.cancel();
        }
        Handshake { number, is_evicted }
    }

    fn end(&self, handshake: &Handshake) {
        lock(&self.0).evictions.remove(&handshake.number);
    }
}

async fn serve(stream: TcpStream, context: Arc<Context>, handshakes: Arc<Handshakes>, place: Handshake) {
    let secrets = Arc::clone(&context.secrets);
    let opened = tokio::select! {
        opened = connection::accept(stream, move |secret| secrets.accepts(secret.as_bytes())) => opened,
        () = place.is_evicted.cancelled() => Err(Error::TimedOut),
    };
    handshakes.end(&place);
    let (sender, mut receiver) = match opened {
        Ok(halves) => halves,
        Err(error) => return record_refusal(&context.fleet, &error),
    };
    let link = match handshake(&context, &sender, &mut receiver).await {
        Ok(link) => link,
        Err(error) => return record_refusal(&context.fleet, &error),
    };
    log::info!(event = "link_opened", worker = &*link.worker, link = link.number; "");
    let heartbeats = tokio::spawn(send_heartbeats(sender, context.settings.heartbeat_interval));
    let error = read_messages(&context, &link, &mut receiver).await;
    heartbeats.abort();
    context.fleet.close_link(&link);
    log::info!(
        event = "link_closed", worker = &*link.worker, link = link.number, code = error.code().number(),
        error:% = error; ""
    );
}

fn record_refusal(fleet: &Fleet, error: &Error) {
    fleet.count_refused_link();
    log::warn!(event = "link_refused", code = error.code().number(), error:% = error; "");
}

async fn handshake(context: &Context, sender: &Sender<ToAgent>, receiver: &mut Receiver) -> Result<Link, Error> {
    let ToEntry::Hello(hello) = receiver.receive(context.settings.silence).await? else {
        return Err(Error::Decode("first message isn't an announcement".to_owned()));
    };
    match accept_hello(context, &hello, sender) {
        Ok(link) => {
            on_enforced(context, &link, hello.enforced);
            Ok(link)
        }
        Err(code) => {
            sender.send(ToAgent::Refused(code)).await?;
            // Waits until the peer has read the refusal and closes the link, or until the silence limit.
            drop(receiver.receive::<ToEntry>(context.settings.silence).await);
            Err(Error::Refused(code))
        }
    }
}

fn accept_hello(context: &Context, hello: &Hello, sender: &Sender<ToAgent>) -> Result<Link, Code> {
    if hello.version != VERSION {
        return Err(Code::LinkVersion);
    }
    context.fleet.open_link(hello, sender.clone(), welcome(context))
}

async fn read_messages(context: &Context, link: &Link, receiver: &mut Receiver) -> Error {
    loop {
        match receiver.receive(context.settings.silence).await {
            Ok(message) => {
                if let Err(error) = handle_message(context, link, message) {
                    return error;
                }
            }
            Err(error) => return error,
        }
    }
}

fn handle_message(context: &Context, link: &Link, message: ToEntry) -> Result<(), Error> {
    match message {
        ToEntry::Hello(_) => return Err(Error::Decode("second announcement on a link".to_owned())),
        ToEntry::Heartbeat(heartbeat) => {
            if context.fleet.heartbeat(link, &heartbeat) {
                link.post(ToAgent::WholeHeartbeat);
            }
        }
        ToEntry::Request(reply) => deliver(&context.fleet, link, reply),
        ToEntry::Tasks(reports) => (context.on_tasks.0)(link, reports),
        ToEntry::Enforced(stamp) => on_enforced(context, link, Some(stamp)),
        ToEntry::WantConfiguration => {
            if let Some(configuration) = context.enforced.to_hand_on() {
                link.post(ToAgent::Configuration(configuration));
            }
        }
        ToEntry::Configuration(configuration) => context.enforced.offer_text(&configuration.accepted, Source::Peer),
    }
    Ok(())
}

fn welcome(context: &Context) -> Welcome {
    Welcome {
        entry: context.boot,
        entries: peers::addresses(&context.live.borrow()),
        enforced: context.enforced.stamp(),
    }
}

/// Records the version that an agent enforces, and requests its documents if they are newer than the entry's.
fn on_enforced(context: &Context, link: &Link, stamp: Option<Stamp>) {
    context.fleet.record_enforced(link, stamp);
    if stamp.is_some_and(|stamp| context.enforced.lacks(stamp)) {
        link.post(ToAgent::WantConfiguration);
    }
}

fn deliver(fleet: &Fleet, link: &Link, reply: Reply) {
    if !link.deliver(reply) {
        fleet.count_late_reply();
    }
}

async fn send_heartbeats(sender: Sender<ToAgent>, interval: Duration) {
    let mut sequence = 0;
    loop {
        tokio::time::sleep(interval).await;
        sequence += 1;
        if sender.send(ToAgent::Heartbeat { sequence }).await.is_err() {
            return;
        }
    }
}
