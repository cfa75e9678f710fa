//! Links that an agent opens to entries.

use std::net::SocketAddr;
use std::time::Duration;

use chervilledge_link::connection::{self, Receiver, Sender};
use chervilledge_link::error::Error;
use chervilledge_link::message::{Hello, ToAgent, ToEntry, Welcome};
use chervilledge_policy::id::BootId;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// First pause after a failed attempt to open a link.
const BACKOFF_FIRST: Duration = Duration::from_millis(50);

/// What a dialer needs.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of the entry's link listener.
    pub address: SocketAddr,
    /// Secret to present.
    pub secret: String,
    /// Silence after which a link is given up.
    pub silence: Duration,
    /// Longest pause between two attempts.
    pub backoff_max: Duration,
}

/// Identifies a link of this process, or an attempt to open one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LinkId {
    /// Address that was dialed.
    pub address: SocketAddr,
    /// Number of the link, as announced on it.
    pub number: u64,
}

/// Event of a dialer.
#[derive(Debug)]
pub enum Event {
    /// A link is open.
    Open {
        /// Which link it is.
        link: LinkId,
        /// Answer of the entry.
        welcome: Welcome,
        /// Sends on the link.
        sender: Sender<ToEntry>,
        /// Closes the link when it is cancelled.
        close: CancellationToken,
    },
    /// A message came.
    Message {
        /// Link that it came on.
        link: LinkId,
        /// Start of the entry that sent it.
        entry: BootId,
        /// The message.
        message: ToAgent,
    },
    /// The link has ended, or couldn't be opened.
    Closed {
        /// Which link it is.
        link: LinkId,
        /// Start of the entry, if the link was open.
        entry: Option<BootId>,
        /// Why.
        error: Error,
    },
}

/// Keeps a link to one entry open for as long as it is wanted; every open link ends with [`Event::Closed`].
///
/// `hello` gives the first message of each link, `events` takes what happens.
pub fn spawn<H, F>(
    settings: Settings,
    hello: H,
    events: impl Fn(Event) + Send + Sync + 'static,
    wanted: watch::Receiver<bool>,
) -> JoinHandle<()>
where
    H: Fn() -> F + Send + Sync + 'static,
    F: Future<Output = Hello> + Send + 'static,
{
    tokio::spawn(async move {
        let mut pause = BACKOFF_FIRST;
        while *wanted.borrow() {
            let hello = hello().await;
            let link = LinkId { address: settings.address, number: hello.announcement.link };
            let (entry, error) = match open(&settings, hello).await {
                Ok((welcome, sender, receiver)) => {
                    pause = BACKOFF_FIRST;
                    let entry = welcome.entry;
                    let close = CancellationToken::new();
                    events(Event::Open { link, welcome, sender, close: close.clone() });
                    (Some(entry), run(&settings, link, entry, receiver, &events, close).await)
                }
                Err(error) => (None, error),
            };
            events(Event::Closed { link, entry, error });
            tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
            pause = (pause * 2).min(settings.backoff_max);
        }
    })
}

async fn open(settings: &Settings, hello: Hello) -> Result<(Welcome, Sender<ToEntry>, Receiver), Error> {
    let (sender, mut receiver) = connection::open(settings.address, &settings.secret).await?;
    sender.send(ToEntry::Hello(Box::new(hello))).await?;
    match receiver.receive(settings.silence).await? {
        ToAgent::Welcome(welcome) => Ok((welcome, sender, receiver)),
        ToAgent::Refused(code) => Err(Error::Refused(code)),
        _ => Err(Error::Decode("first message isn't a welcome".to_owned())),
    }
}

async fn run(
    settings: &Settings,
    link: LinkId,
    entry: BootId,
    mut receiver: Receiver,
    events: &impl Fn(Event),
    close: CancellationToken,
) -> Error {
    loop {
        let next = tokio::select! {
            next = receiver.receive(settings.silence) => next,
            () = close.cancelled() => Err(Error::Closed),
        };
        match next {
            Ok(message) => events(Event::Message { link, entry, message }),
            Err(error) => return error,
        }
    }
}
