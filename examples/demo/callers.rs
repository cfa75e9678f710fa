//! Callers that send a mix of requests and judge the answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use chervilledge_caller::{OUTCOME_HEADER, REQUEST_ID_HEADER};
use hdrhistogram::Histogram;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// Callers for each entry.
const CALLERS: usize = 6;

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(15);

/// Times that requests take at the backend server, in milliseconds.
const WORK_MS: [&str; 4] = ["2", "5", "10", "30"];

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// What callers saw.
#[derive(Debug)]
pub struct Tally {
    /// Requests with a whole answer of their own.
    pub answered: u64,
    /// Requests that were told not run.
    pub not_run: u64,
    /// Requests that were told unknown, or whose answer visibly broke.
    pub unknown: u64,
    /// Identifiers of the requests that were told not run.
    pub told_not_run: Vec<String>,
    /// Answers that weren't the request's own.
    pub violations: Vec<String>,
    latencies_us: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let latencies_us = Histogram::new(3).expect("three digits are a valid precision");
        Self { answered: 0, not_run: 0, unknown: 0, told_not_run: Vec::new(), violations: Vec::new(), latencies_us }
    }
}

impl Tally {
    /// Latency that a share of the answered requests kept, in milliseconds.
    #[expect(clippy::cast_precision_loss, reason = "a latency for people to read")]
    pub fn quantile_ms(&self, share: f64) -> f64 {
        self.latencies_us.value_at_quantile(share) as f64 / 1_000.0
    }

    fn add(&mut self, other: Self) {
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.told_not_run.extend(other.told_not_run);
        self.violations.extend(other.violations);
        self.latencies_us += other.latencies_us;
    }
}

/// Sends requests to every entry until `is_over`.
pub async fn send_until(entries: Vec<SocketAddr>, is_over: Arc<AtomicBool>) -> Tally {
    let callers: Vec<_> = (0..entries.len() * CALLERS)
        .map(|number| tokio::spawn(call_until(entries[number % entries.len()], number, Arc::clone(&is_over))))
        .collect();
    let mut tally = Tally::default();
    for caller in callers {
        tally.add(caller.await.unwrap_or_default());
    }
    tally
}

async fn call_until(entry: SocketAddr, caller: usize, is_over: Arc<AtomicBool>) -> Tally {
    let client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    let mut tally = Tally::default();
    let mut sequence = 0;
    while !is_over.load(Ordering::Relaxed) {
        call(&client, entry, &format!("/{caller}/{sequence}"), sequence, &mut tally).await;
        sequence += 1;
        tokio::time::sleep(PAUSE).await;
    }
    tally
}

async fn call(client: &HttpClient, entry: SocketAddr, path: &str, sequence: usize, tally: &mut Tally) {
    let method = if sequence.is_multiple_of(2) { "POST" } else { "GET" };
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{entry}/portal{path}"))
        .header("x-work-ms", WORK_MS[sequence % WORK_MS.len()])
        .body(Full::default())
        .expect("the parts of the request are valid");
    let started = Instant::now();
    match client.request(request).await {
        Ok(response) => judge(response, path, started, tally).await,
        Err(_) => tally.unknown += 1,
    }
}

async fn judge(response: Response<Incoming>, path: &str, started: Instant, tally: &mut Tally) {
    let header = |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
    let id = header(REQUEST_ID_HEADER).unwrap_or_default();
    match header(OUTCOME_HEADER).as_deref() {
        Some("not-run") => {
            tally.not_run += 1;
            tally.told_not_run.push(id);
            return;
        }
        Some(_) => {
            tally.unknown += 1;
            return;
        }
        None => {}
    }
    let Ok(body) = response.into_body().collect().await else {
        tally.unknown += 1;
        return;
    };
    let echo: serde_json::Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
    if echo["path"] != path || echo["request_id"] != *id {
        tally.violations.push(format!("{path} was answered with {echo}"));
    }
    tally.answered += 1;
    let latency_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
    // The histogram grows with its values, so that no latency is out of its range.
    tally.latencies_us.record(latency_us).expect("latency in range");
}
