//! Counters and latency histograms of a process.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_operator::metrics::Reader;
use chervilledge_policy::clock::Clock;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;

use crate::store::{Call, Outcome, ReadError, Store};

/// Bounds of latency histograms, in milliseconds: fine around the target for a start (40 and 150 ms).
const BOUNDS_MS: [f64; 14] =
    [2.0, 5.0, 10.0, 20.0, 40.0, 80.0, 150.0, 300.0, 600.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0, 16_000.0];

/// Running metrics of a process.
#[derive(Debug)]
pub struct Metrics {
    reader: Reader,
    /// Keeps the instruments; they end with it.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    request_ms: Histogram<f64>,
    first_start_ms: Histogram<f64>,
    job_ms: Histogram<f64>,
    durable_ms: Histogram<f64>,
    runs: Counter<u64>,
    waiting: Gauge<u64>,
    grant_age_ms: Gauge<u64>,
    store_ms: Histogram<f64>,
    configuration_version: Gauge<u64>,
    configuration_age_ms: Gauge<u64>,
    look_ms: Histogram<f64>,
    pace_orders: Counter<u64>,
    urgencies: Counter<u64>,
}

/// Starts metrics.
#[must_use]
pub fn open() -> Arc<Metrics> {
    let reader = Reader::new();
    let provider = SdkMeterProvider::builder().with_reader(reader.clone()).build();
    let meter = provider.meter("chervilledge");
    let latency = |name: &'static str, text: &'static str| latency(&meter, name, text);
    Arc::new(Metrics {
        requests: meter.u64_counter("chervilledge_requests").with_description("callers' requests by answer").build(),
        request_ms: latency("chervilledge_request_ms", "time until a caller's request was answered"),
        first_start_ms: latency("chervilledge_first_start_ms", "age of a job when its first task was placed"),
        job_ms: latency("chervilledge_job_ms", "age of a job when its end was decided"),
        durable_ms: latency("chervilledge_durable_ms", "time until a batch of progress was written"),
        runs: meter.u64_counter("chervilledge_runs").with_description("runs by how they ended").build(),
        waiting: meter.u64_gauge("chervilledge_tasks_waiting").with_description("tasks that wait for room").build(),
        grant_age_ms: meter
            .u64_gauge("chervilledge_confirmation_age_ms")
            .with_description("age of the placer's last confirmation at the store")
            .build(),
        store_ms: latency("chervilledge_store_ms", "time of calls to the store"),
        configuration_version: meter
            .u64_gauge("chervilledge_configuration_version")
            .with_description("version of the configuration in force")
            .build(),
        configuration_age_ms: meter
            .u64_gauge("chervilledge_configuration_age_ms")
            .with_description("time since the store last told the configuration, or that it hasn't changed")
            .build(),
        look_ms: latency("chervilledge_look_ms", "time of looks at the worker"),
        pace_orders: meter
            .u64_counter("chervilledge_pace_orders")
            .with_description("orders of a pace, by whether the run is halted, slower or faster than before")
            .build(),
        urgencies: meter
            .u64_counter("chervilledge_urgencies_told")
            .with_description("runs of which an agent was told that their urgency has changed")
            .build(),
        reader,
        _provider: provider,
    })
}

fn latency(meter: &Meter, name: &'static str, text: &'static str) -> Histogram<f64> {
    meter.f64_histogram(name).with_description(text).with_boundaries(BOUNDS_MS.to_vec()).build()
}

impl Metrics {
    /// All metrics in the text format of Prometheus.
    #[must_use]
    pub fn render(&self) -> String {
        self.reader.render()
    }

    /// Counts a caller's request.
    pub fn request(&self, kind: &'static str, answer: &'static str, took: Duration) {
        self.requests.add(1, &[KeyValue::new("kind", kind), KeyValue::new("answer", answer)]);
        self.request_ms.record(milliseconds(took), &[KeyValue::new("kind", kind)]);
    }

    /// Counts the first start of a job.
    pub fn first_start(&self, age: Duration) {
        self.first_start_ms.record(milliseconds(age), &[]);
    }

    /// Counts the end of a job.
    pub fn job_ended(&self, state: &'static str, age: Duration) {
        self.job_ms.record(milliseconds(age), &[KeyValue::new("state", state)]);
    }

    /// Counts the end of a run.
    pub fn run_ended(&self, how: &'static str) {
        self.runs.add(1, &[KeyValue::new("how", how)]);
    }

    /// Counts a batch of progress.
    pub fn durable(&self, took: Duration) {
        self.durable_ms.record(milliseconds(took), &[]);
    }

    /// Takes note of the placer's queue and of the age of its last confirmation.
    pub fn placer(&self, waiting: usize, confirmation_age: Duration) {
        self.waiting.record(waiting as u64, &[]);
        self.grant_age_ms.record(crate::clock::whole_ms(confirmation_age), &[]);
    }

    /// Takes note of the configuration in force, and of the time since the store last told of it.
    pub fn configuration(&self, version: u64, age: Duration) {
        self.configuration_version.record(version, &[]);
        self.configuration_age_ms.record(crate::clock::whole_ms(age), &[]);
    }

    /// Counts a look at the worker.
    pub fn look(&self, result: &'static str, took: Duration) {
        self.look_ms.record(milliseconds(took), &[KeyValue::new("result", result)]);
    }

    /// Counts an order of a pace, in percent.
    pub fn pace_ordered(&self, percent: u32, former: u32) {
        let change = match percent {
            0 => "halted",
            _ if percent < former => "slower",
            _ => "faster",
        };
        self.pace_orders.add(1, &[KeyValue::new("change", change)]);
    }

    /// Counts runs of which an agent was told a changed urgency.
    pub fn urgencies_told(&self, runs: usize) {
        self.urgencies.add(runs as u64, &[]);
    }

    fn store(&self, call: &'static str, result: &'static str, took: Duration) {
        self.store_ms.record(milliseconds(took), &[KeyValue::new("call", call), KeyValue::new("result", result)]);
    }
}

/// The same store, with the time of each call counted; that of a watch includes what the store held back.
#[must_use]
pub fn measured(store: Store, metrics: &Arc<Metrics>, clock: &Clock) -> Store {
    let Store { commit, read, read_one, watch, watch_configuration } = store;
    Store {
        commit: timed("commit", outcome, commit, metrics, clock),
        read: timed("read", read_result, read, metrics, clock),
        read_one: timed("read_one", read_result, read_one, metrics, clock),
        watch: timed("watch", read_result, watch, metrics, clock),
        watch_configuration: timed("watch_configuration", read_result, watch_configuration, metrics, clock),
    }
}

fn timed<A: 'static, T: 'static>(
    name: &'static str,
    result: fn(&T) -> &'static str,
    call: Call<A, T>,
    metrics: &Arc<Metrics>,
    clock: &Clock,
) -> Call<A, T> {
    let (metrics, clock) = (Arc::clone(metrics), clock.clone());
    Box::new(move |arguments| {
        let (metrics, clock) = (Arc::clone(&metrics), clock.clone());
        let (began, answer) = (clock.now(), call(arguments));
        Box::pin(async move {
            let answer = answer.await;
            metrics.store(name, result(&answer), clock.now().saturating_sub(began));
            answer
        })
    })
}

const fn outcome(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Done(_) => "done",
        Outcome::Conflict(_) => "conflict",
        Outcome::Refused => "refused",
        Outcome::Unknown => "unknown",
    }
}

const fn read_result<T>(read: &Result<T, ReadError>) -> &'static str {
    match read {
        Ok(_) => "done",
        Err(ReadError::Silent) => "silent",
        Err(ReadError::Unreachable) => "unreachable",
        Err(ReadError::Refused) => "refused",
        Err(ReadError::HistoryLost) => "history_lost",
        Err(ReadError::Malformed) => "malformed",
    }
}

fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
