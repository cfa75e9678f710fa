//! Small HTTP/1.1 server and client for the stand-ins: one thread for each connection.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

pub enum Reply {
    Answer(u16, String),
    /// The connection stays open and silent.
    Silence,
}

pub type Handler = Arc<dyn Fn(Request) -> Reply + Send + Sync>;

/// A listening server; `close` refuses new connections and resets the open ones.
pub struct Server {
    pub address: SocketAddr,
    is_closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    thread: Option<thread::JoinHandle<()>>,
}

pub fn serve(address: SocketAddr, handler: Handler) -> std::io::Result<Server> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    listener.set_nonblocking(true)?;
    let is_closed = Arc::new(AtomicBool::new(false));
    let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    let (closed, kept) = (Arc::clone(&is_closed), Arc::clone(&streams));
    let thread = thread::spawn(move || {
        while !closed.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).ok();
                    stream.set_nodelay(true).ok();
                    if let Ok(copy) = stream.try_clone() {
                        kept.lock().unwrap().push(copy);
                    }
                    let handler = Arc::clone(&handler);
                    thread::Builder::new().stack_size(256 << 10).spawn(move || serve_connection(stream, &handler)).ok();
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    });
    Ok(Server { address, is_closed, streams, thread: Some(thread) })
}

impl Server {
    pub fn close(mut self) {
        self.is_closed.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.join().ok();
        }
        for stream in self.streams.lock().unwrap().drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
    }
}

fn read_message(reader: &mut impl BufRead) -> Option<(String, BTreeMap<String, String>, Vec<u8>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first.trim_end().to_owned(), headers, body))
}

fn serve_connection(stream: TcpStream, handler: &Handler) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some((first, headers, body)) = read_message(&mut reader) {
        let mut words = first.split(' ');
        let (Some(method), Some(path)) = (words.next(), words.next()) else { return };
        match handler(Request { method: method.to_owned(), path: path.to_owned(), headers, body }) {
            Reply::Answer(status, content) => {
                let head = format!(
                    "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    content.len()
                );
                if writer.write_all(format!("{head}{content}").as_bytes()).is_err() {
                    return;
                }
            }
            // Nothing more is delivered on such a connection; its other side closes it.
            Reply::Silence => {
                let mut rest = Vec::new();
                reader.read_to_end(&mut rest).ok();
                return;
            }
        }
    }
}

/// One request on a new connection; `None` without a whole answer in time.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    time_limit: Duration,
) -> Option<(u16, Value)> {
    let due = Instant::now() + time_limit;
    let mut stream = TcpStream::connect_timeout(&to, time_limit).ok()?;
    stream.set_nodelay(true).ok();
    stream.set_read_timeout(Some(due.checked_duration_since(Instant::now())?)).ok();
    let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n", body.len());
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head.push_str(&format!("Host: {to}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    stream.write_all(format!("{head}\r\n{body}").as_bytes()).ok()?;
    let (first, _, content) = read_message(&mut BufReader::new(stream))?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, serde_json::from_slice(&content).unwrap_or_default()))
}
