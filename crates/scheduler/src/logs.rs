//! Logger that writes JSON lines to standard output; bounded, and never blocks the caller.
//!
//! A dedicated thread writes the lines. Lines that arrive faster than they are written are dropped and counted.

use std::fmt;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::Duration;

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};

/// Default log filter.
const DEFAULT_FILTER: &str = "info, hyper=warn, ractor=warn, tungstenite=warn";
/// Name of the thread that writes the log.
pub const WRITER_THREAD: &str = "logs";
/// Maximum number of lines queued for the writer; about one second of output of the busiest process.
const QUEUE_LINES: usize = 2_048;
/// Maximum number of lines taken from the queue at once.
const BATCH_LINES: usize = 256;
/// Number of bytes that a pipe accepts atomically: `PIPE_BUF` of the operating system.
const CHUNK_BYTES: usize = 4_096;
/// Maximum length of a text in a line; errors of decoders quote what they decode.
pub const FIELD_BYTES_MAX: usize = 16 * 1_024;
/// Pause while a non-blocking pipe is full.
const READER_PAUSE: Duration = Duration::from_millis(5);

/// Running logger; logging stops when it is dropped.
#[expect(missing_debug_implementations, reason = "the library's handle has none")]
pub struct Logs(LoggerHandle);

impl Logs {
    /// Waits until all logged lines have been written.
    pub fn flush(&self) {
        self.0.flush();
    }
}

/// Starts logging.
///
/// # Errors
///
/// The library's error when a logger is already running.
pub fn open(node: &str, role: &str) -> Result<Logs, FlexiLoggerError> {
    let (sender, lines) = sync_channel(QUEUE_LINES);
    let writer = Lines { sender, dropped: AtomicU64::new(0), node: node.to_owned(), role: role.to_owned() };
    thread::Builder::new()
        .name(WRITER_THREAD.to_owned())
        .spawn(move || write_all(&lines))
        .map_err(FlexiLoggerError::from)?;
    Logger::try_with_env_or_str(DEFAULT_FILTER)?.log_to_writer(Box::new(writer)).start().map(Logs)
}

enum WriterMessage {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

struct Lines {
    sender: SyncSender<WriterMessage>,
    dropped: AtomicU64,
    node: String,
    role: String,
}

impl fmt::Debug for Lines {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Lines").field("dropped", &self.dropped).finish_non_exhaustive()
    }
}

impl LogWriter for Lines {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut fields = Fields(Map::new());
        fields.0.insert("at".to_owned(), json!(now.now().format("%H:%M:%S%.3f").to_string()));
        fields.0.insert("level".to_owned(), json!(record.level().as_str()));
        fields.0.insert("node".to_owned(), json!(self.node));
        fields.0.insert("role".to_owned(), json!(self.role));
        record.key_values().visit(&mut fields).map_err(io::Error::other)?;
        let text = record.args().to_string();
        if !text.is_empty() {
            fields.0.insert("text".to_owned(), json!(text));
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            fields.0.insert("lines_dropped_before".to_owned(), json!(dropped));
        }
        let mut line = serde_json::to_vec(&fields.0)?;
        line.push(b'\n');
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.sender.try_send(WriterMessage::Line(line))
        {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let (done, written) = sync_channel(1);
        if self.sender.send(WriterMessage::Flush(done)).is_ok() {
            // The writer ends when standard output is closed.
            let _writer_ended = written.recv();
        }
        Ok(())
    }
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = if let Some(number) = value.to_u64() {
            json!(number)
        } else if let Some(number) = value.to_f64() {
            json!(number)
        } else if let Some(boolean) = value.to_bool() {
            json!(boolean)
        } else {
            json!(bounded(value.to_string()))
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

/// Cuts a text to the maximum length of a field.
#[must_use]
pub fn bounded(mut text: String) -> String {
    text.truncate(text.floor_char_boundary(FIELD_BYTES_MAX));
    text
}

fn write_all(items: &Receiver<WriterMessage>) {
    let mut output = io::stdout();
    while let Ok(first) = items.recv() {
        let mut lines = Vec::new();
        let mut waiting = Vec::new();
        let mut take = |item| match item {
            WriterMessage::Line(line) => lines.push(line),
            WriterMessage::Flush(done) => waiting.push(done),
        };
        take(first);
        items.try_iter().take(BATCH_LINES).for_each(&mut take);
        for chunk in chunks(&lines) {
            if write_chunk(&mut output, &chunk).is_err() {
                return;
            }
        }
        for done in waiting {
            // The waiting thread may have ended.
            let _nobody_waits = done.send(());
        }
    }
}

/// Groups lines into chunks that a pipe accepts atomically.
///
/// A longer write may be split, with lines of other processes or a restart in between. A line that exceeds the chunk
/// size forms a chunk of its own.
#[must_use]
pub fn chunks(lines: &[Vec<u8>]) -> Vec<Vec<u8>> {
    let mut chunks: Vec<Vec<u8>> = Vec::new();
    for line in lines {
        match chunks.last_mut().filter(|chunk| chunk.len() + line.len() <= CHUNK_BYTES) {
            Some(chunk) => chunk.extend_from_slice(line),
            None => chunks.push(line.clone()),
        }
    }
    chunks
}

/// Writes a chunk in one call; waits while the reader of the logs is slow.
fn write_chunk(output: &mut impl Write, chunk: &[u8]) -> io::Result<()> {
    loop {
        match output.write_all(chunk).and_then(|()| output.flush()) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => thread::sleep(READER_PAUSE),
            done => return done,
        }
    }
}
