//! Stream that counts in the budget what its peer sends.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use chervilledge_caller::budget::Connection;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Connection to a peer. Reading fails when what the peer has sent finds no room in the budget.
#[derive(Debug)]
pub(crate) struct Counted {
    stream: TcpStream,
    /// Share of the budget; `None` for a peer that isn't counted.
    share: Option<Arc<Connection>>,
}

impl Counted {
    pub(crate) const fn new(stream: TcpStream, share: Option<Arc<Connection>>) -> Self {
        Self { stream, share }
    }
}

impl AsyncRead for Counted {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let read_bytes = buf.filled().len() - filled_before;
        Poll::Ready(self.share.as_ref().map_or(Ok(()), |share| share.grow(read_bytes).map_err(io::Error::other)))
    }
}

impl AsyncWrite for Counted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
