//! Listener for callers' connections.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinHandle;

use crate::answer::Body;

/// Pause after a failed accept, which is mostly a shortage of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Bounds on callers' connections.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Largest head of a request, in bytes.
    pub head_bytes_max: usize,
    /// Longest time that a head may take to arrive.
    pub head_timeout: Duration,
    /// Connections served at the same time; further ones wait to be accepted.
    pub connections_max: usize,
}

/// Running listener.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Listener {
    /// Address that the listener is bound to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts nothing more, and waits until every request in progress has its answer.
    pub async fn drain(self) {
        self.stop.send_replace(true);
        // The task ends by itself; a panic in it has been reported already.
        drop(self.task.await);
    }
}

/// Binds a listener that answers each request with `handler`.
///
/// # Errors
///
/// The error of the operating system when the address can't be bound.
pub async fn bind<H, F>(address: SocketAddr, settings: Settings, handler: H) -> io::Result<Listener>
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let (stop, stopped) = watch::channel(false);
    let task = tokio::spawn(accept_all(listener, settings, Arc::new(handler), stopped));
    Ok(Listener { address, stop, task })
}

async fn accept_all<H, F>(
    listener: TcpListener,
    settings: Settings,
    handler: Arc<H>,
    mut stopped: watch::Receiver<bool>,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let connections = Arc::new(Semaphore::new(settings.connections_max));
    loop {
        let accepted = tokio::select! {
            _ = stopped.wait_for(|stop| *stop) => break,
            accepted = accept_one(&listener, &connections) => accepted,
        };
        match accepted {
            Ok((stream, permit)) => {
                let connection = serve(stream, settings, Arc::clone(&handler));
                let connection = graceful.watch(connection);
                tokio::spawn(async move {
                    // A connection that the caller breaks off is no fault of ours.
                    drop(connection.await);
                    drop(permit);
                });
            }
            Err(error) => {
                log::warn!(event = "accept_failed", error:% = error; "");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

async fn accept_one(
    listener: &TcpListener,
    connections: &Arc<Semaphore>,
) -> io::Result<(TcpStream, Option<tokio::sync::OwnedSemaphorePermit>)> {
    // The semaphore is never closed, so a permit always comes.
    let permit = Arc::clone(connections).acquire_owned().await.ok();
    let (stream, _) = listener.accept().await?;
    stream.set_nodelay(true)?;
    Ok((stream, permit))
}

fn serve<H, F>(
    stream: TcpStream,
    settings: Settings,
    handler: Arc<H>,
) -> http1::Connection<
    TokioIo<TcpStream>,
    impl hyper::service::Service<Request<Incoming>, Response = Response<Body>, Error = Infallible, Future: Send>,
>
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(settings.head_timeout)
        .max_buf_size(settings.head_bytes_max)
        .serve_connection(TokioIo::new(stream), service)
}
