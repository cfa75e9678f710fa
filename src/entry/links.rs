//! Listener for agents' links.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_link::connection::{self, Receiver, Sender};
use chervilledge_link::error::Error;
use chervilledge_link::message::{Configuration, Hello, Reply, TaskReport, ToAgent, ToEntry, VERSION, Welcome};
use chervilledge_operator::secret::Secrets;
use chervilledge_policy::code::Code;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::entry::fleet::{Fleet, Link};

/// Pause after a failed accept, which is mostly a shortage of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Bounds of links.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Silence after which a link is given up.
    pub silence: Duration,
    /// Time between two signs of life to an agent.
    pub heartbeat_interval: Duration,
}

/// What links are connected to.
#[derive(Clone, Debug)]
pub struct Context<W, T, C> {
    /// Workers known to the entry.
    pub fleet: Arc<Fleet>,
    /// Secrets that agents may present.
    pub secrets: Arc<Secrets>,
    /// Bounds of links.
    pub settings: Settings,
    /// Gives the answer to an accepted announcement.
    pub welcome: W,
    /// Takes reports on batch tasks of a worker.
    pub on_tasks: T,
    /// Takes the configuration that an agent of a worker enforces.
    pub on_configuration: C,
}

/// Running listener; it ends when it is dropped.
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
pub async fn bind<W, T, C>(address: SocketAddr, context: Context<W, T, C>) -> io::Result<Listener>
where
    W: Fn() -> Welcome + Send + Sync + 'static,
    T: Fn(&Link, Vec<TaskReport>) + Send + Sync + 'static,
    C: Fn(&Link, Configuration) + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let context = Arc::new(context);
    let task = tokio::spawn(accept_all(listener, move |stream| serve(stream, Arc::clone(&context))));
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

async fn serve<W, T, C>(stream: TcpStream, context: Arc<Context<W, T, C>>)
where
    W: Fn() -> Welcome + Send + Sync + 'static,
    T: Fn(&Link, Vec<TaskReport>) + Send + Sync + 'static,
    C: Fn(&Link, Configuration) + Send + Sync + 'static,
{
    let secrets = Arc::clone(&context.secrets);
    let opened = connection::accept(stream, move |secret| secrets.accepts(secret.as_bytes())).await;
    let (sender, mut receiver) = match opened {
        Ok(halves) => halves,
        Err(error) => {
            log::warn!(event = "link_refused", code = error.code().number(), error:% = error; "");
            return;
        }
    };
    let link = match introduce(&context, &sender, &mut receiver).await {
        Ok(link) => link,
        Err(error) => {
            log::warn!(event = "link_refused", code = error.code().number(), error:% = error; "");
            return;
        }
    };
    log::info!(event = "link_opened", worker = &*link.worker, link = link.number; "");
    let heartbeats = tokio::spawn(send_heartbeats(sender, context.settings.heartbeat_interval));
    let error = read_all(&context, &link, &mut receiver).await;
    heartbeats.abort();
    context.fleet.close_link(&link);
    log::info!(
        event = "link_closed", worker = &*link.worker, link = link.number, code = error.code().number(), error:% = error;
        ""
    );
}

async fn introduce<W, T, C>(
    context: &Context<W, T, C>,
    sender: &Sender<ToAgent>,
    receiver: &mut Receiver,
) -> Result<Link, Error>
where
    W: Fn() -> Welcome,
    C: Fn(&Link, Configuration),
{
    let ToEntry::Hello(hello) = receiver.receive(context.settings.silence).await? else {
        return Err(Error::Decode("first message isn't an announcement".to_owned()));
    };
    match accept_hello(context, &hello, sender) {
        Ok(link) => {
            sender.send(ToAgent::Welcome((context.welcome)())).await?;
            if let Some(configuration) = hello.configuration {
                (context.on_configuration)(&link, configuration);
            }
            Ok(link)
        }
        Err(code) => {
            sender.send(ToAgent::Refused(code)).await?;
            // The refusal is read before the peer closes the link, or the link is silent.
            drop(receiver.receive::<ToEntry>(context.settings.silence).await);
            Err(Error::Refused(code))
        }
    }
}

fn accept_hello<W, T, C>(context: &Context<W, T, C>, hello: &Hello, sender: &Sender<ToAgent>) -> Result<Link, Code> {
    if hello.version != VERSION {
        return Err(Code::LinkVersion);
    }
    context.fleet.open_link(hello, sender.clone())
}

async fn read_all<W, T, C>(context: &Context<W, T, C>, link: &Link, receiver: &mut Receiver) -> Error
where
    T: Fn(&Link, Vec<TaskReport>),
    C: Fn(&Link, Configuration),
{
    loop {
        match receiver.receive(context.settings.silence).await {
            Ok(message) => {
                if let Err(error) = take_in(context, link, message) {
                    return error;
                }
            }
            Err(error) => return error,
        }
    }
}

fn take_in<W, T, C>(context: &Context<W, T, C>, link: &Link, message: ToEntry) -> Result<(), Error>
where
    T: Fn(&Link, Vec<TaskReport>),
    C: Fn(&Link, Configuration),
{
    match message {
        ToEntry::Hello(_) => return Err(Error::Decode("second announcement on a link".to_owned())),
        ToEntry::Heartbeat(heartbeat) => {
            if context.fleet.heartbeat(link, &heartbeat) {
                link.post(ToAgent::WholeHeartbeat);
            }
        }
        ToEntry::Request(reply) => deliver(&context.fleet, link, reply),
        ToEntry::Tasks(reports) => (context.on_tasks)(link, reports),
        ToEntry::Configuration(configuration) => (context.on_configuration)(link, configuration),
    }
    Ok(())
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
