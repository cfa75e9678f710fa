//! Listener for callers' connections.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::answer::{Body, Broken};
use crate::budget::{Budget, Connection};

/// Pause after a failed accept, which is mostly a shortage of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Smallest limit on heads that the HTTP library supports, in bytes.
const HEAD_BYTES_LEAST: usize = 8 * 1024;

/// Longest time that a client may leave an answer unread.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Limits on the heads of requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeadLimits {
    /// Largest head of a request, in bytes; at least 8 KiB are allowed.
    pub bytes_max: usize,
    /// Longest time that a head may take to arrive, and that a connection may be idle.
    pub timeout: Duration,
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
/// Connections share `budget`, and each has the limits that `heads` returns when it is accepted. A request carries its
/// connection as `Arc<Connection>` in its extensions.
///
/// # Errors
///
/// The error of the operating system when the address can't be bound.
pub async fn bind<H, F>(
    address: SocketAddr,
    budget: &Budget,
    heads: impl Fn() -> HeadLimits + Send + Sync + 'static,
    handler: H,
) -> io::Result<Listener>
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let (stop, stopped) = watch::channel(false);
    let task = tokio::spawn(accept_all(listener, budget.clone(), heads, Arc::new(handler), stopped));
    Ok(Listener { address, stop, task })
}

async fn accept_all<H, F>(
    listener: TcpListener,
    budget: Budget,
    heads: impl Fn() -> HeadLimits,
    handler: Arc<H>,
    mut stopped: watch::Receiver<bool>,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            _ = stopped.wait_for(|stop| *stop) => break,
            accepted = accept_one(&listener, &budget) => accepted,
        };
        match accepted {
            Ok((stream, connection)) => {
                let served = graceful.watch(serve(stream, heads(), Arc::clone(&handler), Arc::clone(&connection)));
                tokio::spawn(async move {
                    tokio::select! {
                        // A connection that the caller breaks off is no fault of ours.
                        _ = served => {}
                        () = connection.closed() => {}
                        () = connection.stalled(ANSWER_TIMEOUT) => {}
                    }
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

async fn accept_one(listener: &TcpListener, budget: &Budget) -> io::Result<(TcpStream, Arc<Connection>)> {
    let (stream, _) = listener.accept().await?;
    stream.set_nodelay(true)?;
    Ok((stream, Arc::new(budget.admit().await)))
}

/// Body of an answer, which tells the budget whose turn it is.
struct TrackedBody {
    body: Body,
    connection: Arc<Connection>,
}

impl hyper::body::Body for TrackedBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<hyper::body::Frame<Bytes>, Broken>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        if frame.is_ready() {
            self.connection.begin_waiting();
        } else {
            self.connection.begin_serving();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.connection.begin_waiting();
    }
}

fn serve<H, F>(
    stream: TcpStream,
    heads: HeadLimits,
    handler: Arc<H>,
    connection: Arc<Connection>,
) -> http1::Connection<
    TokioIo<TcpStream>,
    impl hyper::service::Service<Request<Incoming>, Response = Response<TrackedBody>, Error = Infallible, Future: Send>,
>
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let service = service_fn(move |mut request: Request<Incoming>| {
        let connection = Arc::clone(&connection);
        connection.begin_serving();
        request.extensions_mut().insert(Arc::clone(&connection));
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await.map(|body| TrackedBody { body, connection })) }
    });
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(heads.timeout)
        .max_buf_size(heads.bytes_max.max(HEAD_BYTES_LEAST))
        .serve_connection(TokioIo::new(stream), service)
}
