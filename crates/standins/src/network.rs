//! TCP proxy that brings about the faults of a network.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, sleep, sleep_until};

/// Bytes read at once.
const CHUNK_BYTES: usize = 16 << 10;
/// Chunks of one direction on their way.
const CHUNKS_ON_THE_WAY: usize = 256;
/// Pieces in a second that a trickle is cut into.
const TRICKLE_PIECES_PER_S: u32 = 20;

/// Faults in force for every connection; all off by default.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// One-way delay, in both directions.
    pub delay: Duration,
    /// Bytes from the caller are accepted and lost, and so is their end.
    pub silent_to_target: bool,
    /// Bytes from the target are accepted and lost, and so is their end.
    pub silent_to_caller: bool,
    /// Greatest rate in each direction of each connection.
    pub bytes_per_s: Option<u32>,
    /// New connections are reset at once.
    pub refuse_new: bool,
}

/// What the proxy has carried.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Carried {
    /// Connections accepted, without those refused.
    pub connections: u64,
    /// Bytes passed on to the target.
    pub to_target_bytes: u64,
    /// Bytes passed on to callers.
    pub to_caller_bytes: u64,
}

/// Running proxy; stops with all of its connections when dropped.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    shared: Arc<Shared>,
    accept: AbortHandle,
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.accept.abort();
        self.cut();
    }
}

#[derive(Debug, Default)]
struct Shared {
    faults: Mutex<Faults>,
    /// Where new connections lead.
    target: Mutex<Option<SocketAddr>>,
    accepted: AtomicU64,
    /// Connections up to this number are silent for good.
    silenced: AtomicU64,
    to_target_bytes: AtomicU64,
    to_caller_bytes: AtomicU64,
    connections: Mutex<JoinSet<()>>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    ToTarget,
    ToCaller,
}

/// One direction of one connection.
#[derive(Clone, Debug)]
struct Path {
    shared: Arc<Shared>,
    connection: u64,
    direction: Direction,
}

/// Bytes on their way, or the end of the stream when there are none.
#[derive(Debug)]
struct Chunk {
    due: Instant,
    bytes: Bytes,
}

/// Binds a proxy in front of a target; port 0 takes a free port.
///
/// # Errors
///
/// The error of the listener.
pub async fn bind(listen: SocketAddr, target: SocketAddr) -> io::Result<Handle> {
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let shared = Arc::new(Shared::default());
    *lock(&shared.target) = Some(target);
    let accept = tokio::spawn(accept(listener, Arc::clone(&shared))).abort_handle();
    Ok(Handle { address, shared, accept })
}

impl Handle {
    /// Address that the proxy listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Leads new connections to another target; open ones stay.
    pub fn set_target(&self, target: SocketAddr) {
        *lock(&self.shared.target) = Some(target);
    }

    /// Replaces the faults in force, for open and new connections.
    ///
    /// A direction that has lost bytes stays silent, since its stream can't be whole any more.
    pub fn set(&self, faults: Faults) {
        *lock(&self.shared.faults) = faults;
    }

    /// Closes every open connection.
    pub fn cut(&self) {
        lock(&self.shared.connections).abort_all();
    }

    /// Silences every open connection in both directions for good, while new ones work.
    pub fn half_open(&self) {
        self.shared.silenced.store(self.shared.accepted.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// Connections and bytes carried so far.
    #[must_use]
    pub fn carried(&self) -> Carried {
        Carried {
            connections: self.shared.accepted.load(Ordering::SeqCst),
            to_target_bytes: self.shared.to_target_bytes.load(Ordering::SeqCst),
            to_caller_bytes: self.shared.to_caller_bytes.load(Ordering::SeqCst),
        }
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((caller, _)) = listener.accept().await else { continue };
        if lock(&shared.faults).refuse_new {
            // Without lingering, closing resets the connection.
            let _reset = caller.set_zero_linger();
            continue;
        }
        let connection = shared.accepted.fetch_add(1, Ordering::SeqCst) + 1;
        let Some(target) = *lock(&shared.target) else { continue };
        let carrying = carry(caller, target, Arc::clone(&shared), connection);
        let mut connections = lock(&shared.connections);
        while connections.try_join_next().is_some() {}
        connections.spawn(carrying);
    }
}

async fn carry(caller: TcpStream, target: SocketAddr, shared: Arc<Shared>, connection: u64) {
    let Ok(target) = TcpStream::connect(target).await else { return };
    if caller.set_nodelay(true).and_then(|()| target.set_nodelay(true)).is_err() {
        return;
    }
    let (caller_reader, caller_writer) = caller.into_split();
    let (target_reader, target_writer) = target.into_split();
    let to_target = Path { shared: Arc::clone(&shared), connection, direction: Direction::ToTarget };
    let to_caller = Path { shared, connection, direction: Direction::ToCaller };
    // An error in one direction ends the connection; a whole end of one direction leaves the other open.
    let _ended =
        tokio::try_join!(to_target.carry(caller_reader, target_writer), to_caller.carry(target_reader, caller_writer),);
}

impl Path {
    async fn carry(self, reader: OwnedReadHalf, writer: OwnedWriteHalf) -> io::Result<()> {
        let (chunks, queue) = mpsc::channel(CHUNKS_ON_THE_WAY);
        tokio::try_join!(self.read(reader, chunks), self.write(writer, queue))?;
        Ok(())
    }

    async fn read(&self, mut reader: OwnedReadHalf, chunks: mpsc::Sender<Chunk>) -> io::Result<()> {
        let mut silent = false;
        loop {
            let mut buffer = BytesMut::with_capacity(CHUNK_BYTES);
            let result = reader.read_buf(&mut buffer).await;
            silent |= self.is_silent();
            match result {
                Ok(0) if !silent => return self.pass_on(&chunks, Bytes::new()).await,
                Err(error) if !silent => return Err(error),
                // The other end must not learn of this end's close.
                Ok(0) | Err(_) => std::future::pending().await,
                Ok(_) if silent => {}
                Ok(_) => self.pass_on(&chunks, buffer.freeze()).await?,
            }
        }
    }

    async fn pass_on(&self, chunks: &mpsc::Sender<Chunk>, bytes: Bytes) -> io::Result<()> {
        let due = Instant::now() + self.faults().delay;
        chunks.send(Chunk { due, bytes }).await.or(Err(io::ErrorKind::BrokenPipe.into()))
    }

    async fn write(&self, mut writer: OwnedWriteHalf, mut queue: mpsc::Receiver<Chunk>) -> io::Result<()> {
        while let Some(chunk) = queue.recv().await {
            sleep_until(chunk.due).await;
            if chunk.bytes.is_empty() {
                return writer.shutdown().await;
            }
            self.trickle(&mut writer, chunk.bytes).await?;
        }
        Ok(())
    }

    /// Writes bytes, in pieces when a rate is in force.
    async fn trickle(&self, writer: &mut OwnedWriteHalf, mut bytes: Bytes) -> io::Result<()> {
        while !bytes.is_empty() {
            let rate = self.faults().bytes_per_s;
            let length = rate.map_or(bytes.len(), |rate| (rate / TRICKLE_PIECES_PER_S).max(1) as usize);
            let piece = bytes.split_to(length.min(bytes.len()));
            // Before the write, so that whoever received the bytes finds them counted.
            self.count(piece.len() as u64);
            writer.write_all(&piece).await?;
            if let Some(rate) = rate {
                let piece_bytes = u32::try_from(piece.len()).unwrap_or(u32::MAX);
                sleep(Duration::from_secs(1) * piece_bytes / rate.max(1)).await;
            }
        }
        Ok(())
    }

    fn count(&self, bytes: u64) {
        let counter = match self.direction {
            Direction::ToTarget => &self.shared.to_target_bytes,
            Direction::ToCaller => &self.shared.to_caller_bytes,
        };
        counter.fetch_add(bytes, Ordering::SeqCst);
    }

    fn is_silent(&self) -> bool {
        let faults = self.faults();
        let one_way = match self.direction {
            Direction::ToTarget => faults.silent_to_target,
            Direction::ToCaller => faults.silent_to_caller,
        };
        one_way || self.connection <= self.shared.silenced.load(Ordering::SeqCst)
    }

    fn faults(&self) -> Faults {
        *lock(&self.shared.faults)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
