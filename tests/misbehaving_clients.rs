//! Clients, peers and backend servers that don't behave take a process neither its memory nor its descriptors, and
//! ordinary callers get answers while they stay.
//!
//! Bounds come from the target: an entry's machine has 260 MB on a small site, all control of a node has 64 MB.

mod harness;

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use chervilledge_standins::platform;
use harness::cluster::{self, Cluster, any_port};
use harness::{OPERATOR_SECRET, PATIENCE, Process, WorkDir, accept, documents, send};
use rstest::rstest;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinSet;

/// Memory of an entry's machine on a small site.
const ENTRY_BYTES_MAX: u64 = 260_000_000;

/// Memory of all control on a node.
const AGENT_BYTES_MAX: u64 = 64_000_000;

/// Connections of callers that the entry serves at the same time where a crowd takes all of them.
const CALLER_CONNECTIONS_MAX: usize = 32;

/// Descriptors of an entry with [`CALLER_CONNECTIONS_MAX`]: these, 64 of operators and as many again for all else.
const ENTRY_DESCRIPTORS_MAX: usize = 2 * (CALLER_CONNECTIONS_MAX + 64) + 64;

/// Receive buffer of a client that doesn't read.
const RECEIVE_BUFFER_BYTES: u32 = 4 * 1024;

/// Bytes that a client hands to its socket at once.
const WRITE_BYTES: usize = 64 * 1024;

/// Time between two looks at whether the crowd has sent what it can.
const LOOK_INTERVAL: Duration = Duration::from_millis(400);

/// Successive looks without a change after which the crowd has sent what it can.
const IDLE_LOOKS: u32 = 3;

/// Ticks of processor time, 10 ms each, that an idle process takes at most between two looks.
const IDLE_TICKS: u64 = 8;

/// One client in so many sends its whole body.
const WHOLE_EVERY: usize = 8;

/// Lets one test run at a time.
async fn alone() -> MutexGuard<'static, ()> {
    static ALONE: Mutex<()> = Mutex::const_new(());
    ALONE.lock().await
}

/// Clients that stay connected until this is dropped.
struct Crowd {
    connected: Arc<AtomicUsize>,
    written_bytes: Arc<AtomicU64>,
    size: usize,
    _clients: JoinSet<()>,
}

impl Crowd {
    /// Connects `size` clients; client `n` sends `content(n)` in pieces, reads nothing and stays.
    fn connect(address: SocketAddr, size: usize, piece_bytes: usize, content: impl Fn(usize) -> Arc<Vec<u8>>) -> Self {
        let connected = Arc::new(AtomicUsize::new(0));
        let written_bytes = Arc::new(AtomicU64::new(0));
        let mut clients = JoinSet::new();
        for number in 0..size {
            let content = content(number);
            let (connected, written_bytes) = (Arc::clone(&connected), Arc::clone(&written_bytes));
            clients.spawn(async move {
                let mut stream = connect(address).await;
                connected.fetch_add(1, Ordering::Relaxed);
                send_content(&mut stream, &content, piece_bytes, &written_bytes).await;
                std::future::pending::<()>().await;
            });
        }
        Self { connected, written_bytes, size, _clients: clients }
    }

    /// Waits until the clients have sent all that is taken, and `process` has handled it; gives the most descriptors
    /// that it had meanwhile.
    async fn settle(&self, process: &Process) -> usize {
        let until = Instant::now() + PATIENCE;
        let mut descriptors = 0;
        let mut known = (0, 0);
        let mut idle_looks = 0;
        while Instant::now() < until && idle_looks < IDLE_LOOKS {
            tokio::time::sleep(LOOK_INTERVAL).await;
            descriptors = descriptors.max(open_descriptors(process));
            let present = (self.written_bytes.load(Ordering::Relaxed), processor_ticks(process));
            let (written, ticks) = std::mem::replace(&mut known, present);
            let is_idle = present.0 == written && present.1 - ticks <= IDLE_TICKS;
            let is_connected = self.connected.load(Ordering::Relaxed) == self.size;
            idle_looks = if is_idle && is_connected { idle_looks + 1 } else { 0 };
        }
        descriptors
    }
}

/// Opens a connection whose other side can send little that isn't read.
async fn connect(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("receive buffer");
    let stream = socket.connect(address).await.expect("connect");
    stream.set_nodelay(true).expect("no delay");
    stream
}

/// Sends bytes as far as the other side takes them.
async fn send_content(stream: &mut TcpStream, content: &[u8], piece_bytes: usize, written_bytes: &AtomicU64) {
    for piece in content.chunks(piece_bytes) {
        // The other side may refuse the rest.
        if stream.write_all(piece).await.is_err() {
            return;
        }
        written_bytes.fetch_add(piece.len() as u64, Ordering::Relaxed);
        tokio::task::yield_now().await;
    }
}

/// Form in which a body is sent.
#[derive(Clone, Copy, Debug)]
enum Form {
    /// With its length in the head.
    Length,
    /// In chunks of so many bytes.
    Chunks(usize),
}

/// Request with a body of `body_bytes`; `lacks_end` leaves out the last byte and what follows it.
fn request(head: &str, body_bytes: usize, form: Form, lacks_end: bool) -> Vec<u8> {
    let sent_bytes = body_bytes - usize::from(lacks_end);
    let mut content = format!("{head}host: chervilledge\r\n").into_bytes();
    match form {
        Form::Length => {
            content.extend(format!("content-length: {body_bytes}\r\n\r\n").bytes());
            content.extend(std::iter::repeat_n(b'a', sent_bytes));
        }
        Form::Chunks(chunk_bytes) => {
            content.extend(b"transfer-encoding: chunked\r\n\r\n");
            let mut left_bytes = sent_bytes;
            while left_bytes > 0 {
                let bytes = left_bytes.min(chunk_bytes);
                content.extend(format!("{bytes:x}\r\n").bytes());
                content.extend(std::iter::repeat_n(b'a', bytes));
                content.extend(b"\r\n");
                left_bytes -= bytes;
            }
            if !lacks_end {
                content.extend(b"0\r\n\r\n");
            }
        }
    }
    content
}

/// Requests of a crowd, most of which lack the end of their body.
fn mostly_short(head: &str, body_bytes: usize, form: Form) -> impl Fn(usize) -> Arc<Vec<u8>> + use<> {
    let short = Arc::new(request(head, body_bytes, form, true));
    let whole = Arc::new(request(head, body_bytes, form, false));
    move |number| Arc::clone(if number % WHOLE_EVERY == 0 { &whole } else { &short })
}

/// Bytes of a field of a process's status, such as `VmHWM`.
fn status_bytes(process: &Process, field: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", process.id())).expect("the process lives");
    let line = status.lines().find_map(|line| line.strip_prefix(field)?.strip_prefix(':'));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix("kB")).expect("the process lives");
    kilobytes.trim().parse::<u64>().expect("number") * 1024
}

/// Processor time of a process, in ticks.
fn processor_ticks(process: &Process) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{}/stat", process.id())).expect("the process lives");
    let fields: Vec<&str> = stat.rsplit_once(") ").expect("stat").1.split(' ').collect();
    // User and system time, the 14th and the 15th field of the whole line.
    fields[11..13].iter().map(|ticks| ticks.parse::<u64>().expect("number")).sum()
}

fn assert_memory(what: &str, process: &Process, bytes_max: u64) {
    let (now, peak) = (status_bytes(process, "VmRSS"), status_bytes(process, "VmHWM"));
    println!("{what}: {now} bytes resident, {peak} at most, bound {bytes_max}");
    assert!(peak <= bytes_max, "{what} held {peak} bytes, above {bytes_max}");
}

fn open_descriptors(process: &Process) -> usize {
    fs::read_dir(format!("/proc/{}/fd", process.id())).expect("the process lives").count()
}

fn assert_descriptors(what: &str, open: usize, max: usize) {
    println!("{what}: {open} descriptors, bound {max}");
    assert!(open <= max, "{what} had {open} descriptors, above {max}");
}

/// Sends an ordinary request until a backend server answers it.
async fn assert_callers_are_served(callers: SocketAddr) {
    let served = async {
        loop {
            let answer = send(callers, "POST", "/portal/ordinary", &[], vec![0; 100]).await;
            if answer.is_ok_and(|answer| answer.status == 200) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    tokio::time::timeout(PATIENCE, served).await.expect("an ordinary request is answered");
}

/// Sends an operator's ordinary request until it is answered.
async fn assert_operators_are_served(operators: SocketAddr) {
    let authorization = format!("Bearer {OPERATOR_SECRET}");
    let served = async {
        loop {
            let answer = send(operators, "GET", "/state", &[("authorization", &authorization)], Vec::new()).await;
            if answer.is_ok_and(|answer| answer.status == 200) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    tokio::time::timeout(PATIENCE, served).await.expect("an operator's request is answered");
}

fn assert_both_within_memory(cluster: &Cluster) {
    assert_memory("entry", &cluster.entries[0].process, ENTRY_BYTES_MAX);
    assert_memory("agent", &cluster.workers[0].agent, AGENT_BYTES_MAX);
}

/// Shortens the time that a request may take.
fn shorten_requests(entry: &mut serde_json::Value) {
    entry["bounds"]["request_timeout_ms"] = json!(2_000);
    entry["bounds"]["request_timeout_max_ms"] = json!(2_000);
}

#[rstest]
#[case::at_once(400, 1024 * 1024, Form::Length, WRITE_BYTES)]
#[case::piece_by_piece(400, 1024 * 1024, Form::Length, 4 * 1024)]
#[case::large_chunks(400, 1024 * 1024, Form::Chunks(64 * 1024), WRITE_BYTES)]
#[case::chunks_of_256_bytes(64, 256 * 1024, Form::Chunks(256), WRITE_BYTES)]
#[case::chunks_of_1_byte(16, 128 * 1024, Form::Chunks(1), WRITE_BYTES)]
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_stop_short_fill_the_entry(
    #[case] size: usize,
    #[case] body_bytes: usize,
    #[case] form: Form,
    #[case] piece_bytes: usize,
) {
    let _alone = alone().await;
    let inline = |entry: &mut serde_json::Value| entry["bounds"]["inline_body_bytes_max"] = json!(1024 * 1024);
    let cluster = cluster::start_with(1, 1, inline, |_| {}).await;
    let callers = cluster.entries[0].callers();
    let content = mostly_short("POST /portal/crowd HTTP/1.1\r\n", body_bytes, form);
    let crowd = Crowd::connect(callers, size, piece_bytes, content);
    crowd.settle(&cluster.entries[0].process).await;

    assert_callers_are_served(callers).await;
    assert_both_within_memory(&cluster);
}

#[rstest]
#[case::with_a_length(Form::Length)]
#[case::chunks_of_1_byte(Form::Chunks(1))]
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_stop_short_hold_every_connection(#[case] form: Form) {
    let _alone = alone().await;
    let adjust = |entry: &mut serde_json::Value| {
        shorten_requests(entry);
        entry["bounds"]["caller_connections_max"] = json!(CALLER_CONNECTIONS_MAX);
    };
    let cluster = cluster::start_with(1, 1, adjust, |_| {}).await;
    let callers = cluster.entries[0].callers();
    let short = Arc::new(request("POST /portal/crowd HTTP/1.1\r\n", 1_000, form, true));
    let crowd = Crowd::connect(callers, CALLER_CONNECTIONS_MAX, WRITE_BYTES, |_| Arc::clone(&short));
    let descriptors = crowd.settle(&cluster.entries[0].process).await;

    assert_callers_are_served(callers).await;
    assert_descriptors("entry", descriptors, ENTRY_DESCRIPTORS_MAX);
}

#[rstest]
#[case::with_a_length(64, 512 * 1024, Form::Length)]
#[case::large_chunks(64, 512 * 1024, Form::Chunks(32 * 1024))]
#[case::chunks_of_1_byte(8, 192 * 1024, Form::Chunks(1))]
#[tokio::test(flavor = "multi_thread")]
async fn streamed_bodies_that_stop_short_hold_every_slot(
    #[case] size: usize,
    #[case] body_bytes: usize,
    #[case] form: Form,
) {
    let _alone = alone().await;
    let cluster = cluster::start_with(1, 1, shorten_requests, |_| {}).await;
    let callers = cluster.entries[0].callers();
    let content = mostly_short("POST /portal/crowd HTTP/1.1\r\n", body_bytes, form);
    let crowd = Crowd::connect(callers, size, WRITE_BYTES, content);
    crowd.settle(&cluster.entries[0].process).await;

    assert_callers_are_served(callers).await;
    assert_both_within_memory(&cluster);
}

/// Head of an operator's request.
fn operators_head(request_line: &str, secret: &str) -> String {
    format!("{request_line} HTTP/1.1\r\nauthorization: Bearer {secret}\r\n")
}

#[rstest]
#[case::at_once(40, Form::Length, OPERATOR_SECRET)]
#[case::chunks_of_256_bytes(40, Form::Chunks(256), OPERATOR_SECRET)]
#[case::chunks_of_1_byte(6, Form::Chunks(1), OPERATOR_SECRET)]
#[case::without_a_secret(64, Form::Length, "a wrong secret, long enough")]
#[tokio::test(flavor = "multi_thread")]
async fn operators_bodies_fill_the_agent(#[case] size: usize, #[case] form: Form, #[case] secret: &str) {
    let _alone = alone().await;
    let cluster = cluster::start(1, 1).await;
    let agent = &cluster.workers[0].agent;
    let operators = agent.address("operators_address");
    let content = mostly_short(&operators_head("GET /state", secret), 512 * 1024, form);
    let crowd = Crowd::connect(operators, size, WRITE_BYTES, content);
    crowd.settle(agent).await;

    assert_operators_are_served(operators).await;
    assert_callers_are_served(cluster.entries[0].callers()).await;
    assert_memory("agent", agent, AGENT_BYTES_MAX);
}

#[rstest]
#[case::at_once(40, Form::Length, OPERATOR_SECRET)]
#[case::chunks_of_1_byte(6, Form::Chunks(1), OPERATOR_SECRET)]
#[case::without_a_secret(64, Form::Length, "a wrong secret, long enough")]
#[tokio::test(flavor = "multi_thread")]
async fn plans_that_stop_short_fill_the_entry(#[case] size: usize, #[case] form: Form, #[case] secret: &str) {
    let _alone = alone().await;
    let cluster = cluster::start(1, 1).await;
    let entry = &cluster.entries[0].process;
    let operators = entry.address("operators_address");
    let content = mostly_short(&operators_head("POST /config/accept", secret), 512 * 1024, form);
    let crowd = Crowd::connect(operators, size, WRITE_BYTES, content);
    crowd.settle(entry).await;

    assert_operators_are_served(operators).await;
    assert_callers_are_served(cluster.entries[0].callers()).await;
    assert_memory("entry", entry, ENTRY_BYTES_MAX);
}

#[rstest]
#[case::nothing("")]
#[case::half_a_head("POST /portal/crowd HTTP/1.1\r\nhost: chervil")]
#[tokio::test(flavor = "multi_thread")]
async fn connections_without_a_request_hold_every_place(#[case] head: &str) {
    let _alone = alone().await;
    let adjust = |entry: &mut serde_json::Value| {
        entry["bounds"]["caller_connections_max"] = json!(CALLER_CONNECTIONS_MAX);
    };
    let cluster = cluster::start_with(1, 1, adjust, |_| {}).await;
    let entry = &cluster.entries[0].process;
    let (callers, operators) = (entry.address("callers_address"), entry.address("operators_address"));
    let head = Arc::new(head.as_bytes().to_vec());
    let first = Crowd::connect(callers, CALLER_CONNECTIONS_MAX, WRITE_BYTES, |_| Arc::clone(&head));
    let second = Crowd::connect(operators, 64, WRITE_BYTES, |_| Arc::clone(&head));
    let descriptors = first.settle(entry).await.max(second.settle(entry).await);

    assert_descriptors("entry", descriptors, ENTRY_DESCRIPTORS_MAX);
    assert_callers_are_served(callers).await;
    assert_operators_are_served(operators).await;
}

#[rstest]
#[case::nothing("")]
#[case::half_a_handshake("GET /link HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: webso")]
#[tokio::test(flavor = "multi_thread")]
async fn strangers_on_the_link_listener_take_every_descriptor(#[case] head: &str) {
    let _alone = alone().await;
    let adjust = |entry: &mut serde_json::Value| {
        entry["bounds"]["caller_connections_max"] = json!(CALLER_CONNECTIONS_MAX);
    };
    let cluster = cluster::start_with(1, 1, adjust, |_| {}).await;
    let entry = &cluster.entries[0].process;
    let head = Arc::new(head.as_bytes().to_vec());
    let crowd = Crowd::connect(entry.address("links_address"), 600, WRITE_BYTES, |_| Arc::clone(&head));
    let descriptors = crowd.settle(entry).await;

    assert_descriptors("entry", descriptors, ENTRY_DESCRIPTORS_MAX);
    assert_callers_are_served(cluster.entries[0].callers()).await;
    assert_memory("entry", entry, ENTRY_BYTES_MAX);
}

/// Starts a cluster whose worker runs a whole crowd at once.
async fn start_with_many_slots(
    adjust_entry: impl Fn(&mut serde_json::Value),
    adjust_agent: impl Fn(&mut serde_json::Value),
) -> Cluster {
    let platform = platform::bind(any_port(), platform::Settings::default()).await.expect("platform");
    let mut documents = documents();
    documents.base["services"]["portal"]["slots"] = json!(64);
    accept(platform.address(), 1, documents).await;
    let mut cluster = Cluster { directory: WorkDir::new(), platform, entries: Vec::new(), workers: Vec::new() };
    cluster.add_entry("entry-1", adjust_entry).await;
    let adjust = |agent: &mut serde_json::Value| {
        agent["capacity"]["slots"] = json!(64);
        adjust_agent(agent);
    };
    cluster.add_worker("worker-1", adjust).await;
    cluster.wait_for_workers(1).await;
    cluster
}

#[rstest]
#[case::short_answers(32 * 1024)]
#[case::long_answers(8 * 1024 * 1024)]
#[tokio::test(flavor = "multi_thread")]
async fn callers_that_never_read_hold_every_connection(#[case] answer_bytes: usize) {
    let _alone = alone().await;
    let adjust = |entry: &mut serde_json::Value| {
        shorten_requests(entry);
        entry["bounds"]["caller_connections_max"] = json!(CALLER_CONNECTIONS_MAX);
    };
    let cluster = start_with_many_slots(adjust, |_| {}).await;
    let callers = cluster.entries[0].callers();
    let head = format!("POST /portal/crowd HTTP/1.1\r\nx-answer-bytes: {answer_bytes}\r\n");
    // Further requests on the connection fill what the sockets hold.
    let content = Arc::new(request(&head, 1, Form::Length, false).repeat(400));
    let crowd = Crowd::connect(callers, CALLER_CONNECTIONS_MAX, WRITE_BYTES, |_| Arc::clone(&content));
    crowd.settle(&cluster.entries[0].process).await;

    assert_callers_are_served(callers).await;
    assert_both_within_memory(&cluster);
}

/// Backend server that answers `/ordinary`, and any other request with pieces of one byte that stop short.
async fn bind_slow_backend(form: Form) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).await.expect("backend server");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_slowly(stream, form));
        }
    });
    address
}

async fn answer_slowly(mut stream: TcpStream, form: Form) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut received = vec![0; 64 * 1024];
    loop {
        let mut length = 0;
        while !received[..length].windows(4).any(|bytes| bytes == b"\r\n\r\n") {
            let count = stream.read(&mut received[length..]).await.ok().filter(|count| *count > 0)?;
            length += count;
        }
        if received.starts_with(b"POST /ordinary") {
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await.ok()?;
            continue;
        }
        match form {
            Form::Length => {
                stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 32768\r\n\r\n").await.ok()?;
                for _ in 0..32_767 {
                    stream.write_all(b"a").await.ok()?;
                    tokio::task::yield_now().await;
                }
            }
            Form::Chunks(chunk_bytes) => {
                stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").await.ok()?;
                let chunk = [format!("{chunk_bytes:x}\r\n").as_bytes(), &vec![b'a'; chunk_bytes], b"\r\n"].concat();
                stream.write_all(&chunk.repeat(32_767 / chunk_bytes)).await.ok()?;
            }
        }
        std::future::pending::<()>().await;
    }
}

#[rstest]
#[case::with_a_length(Form::Length)]
#[case::chunks_of_1_byte(Form::Chunks(1))]
#[tokio::test(flavor = "multi_thread")]
async fn answers_of_single_bytes_fill_the_agent(#[case] form: Form) {
    let _alone = alone().await;
    let backend = bind_slow_backend(form).await;
    let cluster = start_with_many_slots(|_| {}, |agent| agent["backend_address"] = json!(backend)).await;
    let callers = cluster.entries[0].callers();
    let content = Arc::new(request("POST /portal/crowd HTTP/1.1\r\n", 1, Form::Length, false));
    let crowd = Crowd::connect(callers, 60, WRITE_BYTES, |_| Arc::clone(&content));
    crowd.settle(&cluster.entries[0].process).await;
    crowd.settle(&cluster.workers[0].agent).await;

    assert_callers_are_served(callers).await;
    assert_both_within_memory(&cluster);
}

/// Task runtime whose answers never end.
async fn bind_endless_runtime() -> SocketAddr {
    let listener = TcpListener::bind(any_port()).await.expect("task runtime");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let chunk = [b"10000\r\n".as_slice(), &vec![b' '; 64 * 1024], b"\r\n"].concat();
                let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
                let mut received = [0; 1024];
                drop(stream.read(&mut received).await);
                let mut is_open = stream.write_all(head).await.is_ok();
                while is_open {
                    is_open = stream.write_all(&chunk).await.is_ok();
                }
            });
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_answer_of_the_task_runtime_fills_the_agent() {
    let _alone = alone().await;
    let runtime = bind_endless_runtime().await;
    let cluster = cluster::start_with(1, 1, |_| {}, |agent| agent["runtime_address"] = json!(runtime)).await;
    tokio::time::sleep(5 * LOOK_INTERVAL).await;

    assert_callers_are_served(cluster.entries[0].callers()).await;
    assert_memory("agent", &cluster.workers[0].agent, AGENT_BYTES_MAX);
}
