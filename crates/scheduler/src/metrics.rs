//! Counters and latency histograms of a process.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::admission::Pool;
use chervilledge_cell::cell::{LastingWaits, RestartCounts};
use chervilledge_cell::evacuation::Held;
use chervilledge_operator::metrics::Reader;
use chervilledge_policy::clock::Clock;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;

use crate::store::{Call, Outcome, ReadError, Store};

/// Bucket bounds of latency histograms, in milliseconds; fine around the targets for a start (40 and 150 ms).
const BOUNDS_MS: [f64; 14] =
    [2.0, 5.0, 10.0, 20.0, 40.0, 80.0, 150.0, 300.0, 600.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0, 16_000.0];

/// Metrics of a process.
#[derive(Debug)]
pub struct Metrics {
    reader: Reader,
    /// Owns the instruments, which stop when it is dropped.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    request_ms: Histogram<f64>,
    first_start_ms: Histogram<f64>,
    job_ms: Histogram<f64>,
    durable_ms: Histogram<f64>,
    runs: Counter<u64>,
    given_up: Counter<u64>,
    displaced: Counter<u64>,
    waiting: Gauge<u64>,
    lasting_waiting: Gauge<u64>,
    lasting_wait_ms: Gauge<u64>,
    restarting_tasks: Gauge<u64>,
    restarting_jobs: Gauge<u64>,
    evacuation_changes: Counter<u64>,
    domains_evacuated: Gauge<u64>,
    evacuated_runs: Gauge<u64>,
    starts_refused: Counter<u64>,
    checkpoints: Counter<u64>,
    unsaved_core_ms: Gauge<u64>,
    store_standings: Counter<u64>,
    probes: Counter<u64>,
    store_response_ms: Gauge<u64>,
    confirmation_age_ms: Gauge<u64>,
    store_ms: Histogram<f64>,
    configuration_version: Gauge<u64>,
    configuration_age_ms: Gauge<u64>,
    look_ms: Histogram<f64>,
    pace_orders: Counter<u64>,
    urgencies: Counter<u64>,
    backlog_core_ms: Gauge<u64>,
    backlog_rate_millicores: Gauge<u64>,
    refusals: Counter<u64>,
    refused_retry_ms: Histogram<f64>,
}

/// Creates the metrics.
#[must_use]
pub fn open() -> Arc<Metrics> {
    let reader = Reader::new();
    let provider = SdkMeterProvider::builder().with_reader(reader.clone()).build();
    let meter = provider.meter("chervilledge");
    let latency = |name: &'static str, text: &'static str| latency(&meter, name, text);
    let gauge = |name: &'static str, text: &'static str| meter.u64_gauge(name).with_description(text).build();
    Arc::new(Metrics {
        requests: meter.u64_counter("chervilledge_requests").with_description("callers' requests by answer").build(),
        request_ms: latency("chervilledge_request_ms", "time until a caller's request was answered"),
        first_start_ms: latency("chervilledge_first_start_ms", "age of a job when its first task was placed"),
        job_ms: latency("chervilledge_job_ms", "age of a job when its end was decided"),
        durable_ms: latency("chervilledge_durable_ms", "time until a batch of progress was written"),
        runs: meter.u64_counter("chervilledge_runs").with_description("runs by how they ended").build(),
        given_up: meter.u64_counter("chervilledge_tasks_given_up").with_description("tasks that crash workers").build(),
        displaced: meter
            .u64_counter("chervilledge_displaced_runs")
            .with_description("runs stopped to end sooner elsewhere or in favor of other tasks")
            .build(),
        waiting: gauge("chervilledge_tasks_waiting", "tasks that wait for room"),
        lasting_waiting: gauge(
            "chervilledge_lasting_tasks_waiting",
            "lasting tasks that may run and have no run at work",
        ),
        lasting_wait_ms: gauge(
            "chervilledge_lasting_wait_ms",
            "longest time for which a lasting task has had no run at work",
        ),
        restarting_tasks: gauge("chervilledge_tasks_restarting", "tasks that start again and again without progress"),
        restarting_jobs: gauge(
            "chervilledge_jobs_restarting",
            "jobs with tasks that start again and again without progress",
        ),
        evacuation_changes: meter
            .u64_counter("chervilledge_evacuation_changes")
            .with_description("requests to evacuate a failure domain, and their removals, by kind")
            .build(),
        domains_evacuated: gauge("chervilledge_domains_evacuated", "failure domains in which nothing may start"),
        evacuated_runs: gauge(
            "chervilledge_evacuated_runs",
            "runs on workers of evacuated failure domains, by what keeps them there",
        ),
        starts_refused: meter
            .u64_counter("chervilledge_starts_refused_evacuated")
            .with_description("orders to start that the agent refused since its failure domain is evacuated")
            .build(),
        checkpoints: meter
            .u64_counter("chervilledge_checkpoints")
            .with_description("checkpoints of running tasks that were chosen to become durable")
            .build(),
        unsaved_core_ms: gauge(
            "chervilledge_unsaved_core_ms",
            "work saved on workers that the last choice of checkpoints left undurable",
        ),
        store_standings: meter
            .u64_counter("chervilledge_store_standings")
            .with_description("changes of what is believed of the store, by the new standing")
            .build(),
        probes: meter
            .u64_counter("chervilledge_probes")
            .with_description("reads that try a store that breaks connections")
            .build(),
        store_response_ms: gauge(
            "chervilledge_store_response_ms",
            "least time of this entry's last reads of the store",
        ),
        confirmation_age_ms: gauge(
            "chervilledge_confirmation_age_ms",
            "age of the placer's last confirmation at the store",
        ),
        store_ms: latency("chervilledge_store_ms", "time of calls to the store"),
        configuration_version: gauge("chervilledge_configuration_version", "version of the configuration in force"),
        configuration_age_ms: gauge(
            "chervilledge_configuration_age_ms",
            "time since the store last told the configuration, or that it hasn't changed",
        ),
        look_ms: latency("chervilledge_look_ms", "time of looks at the worker"),
        pace_orders: meter
            .u64_counter("chervilledge_pace_orders")
            .with_description("orders of a pace, by whether the run is halted, slower or faster than before")
            .build(),
        urgencies: meter
            .u64_counter("chervilledge_urgencies_told")
            .with_description("runs of which an agent was told that their urgency has changed")
            .build(),
        backlog_core_ms: gauge(
            "chervilledge_backlog_core_ms",
            "work of open jobs that can still be of use, in core-milliseconds",
        ),
        backlog_rate_millicores: gauge(
            "chervilledge_backlog_rate_millicores",
            "rate at which work is done while some waits; 0 before it is measured",
        ),
        refusals: meter
            .u64_counter("chervilledge_backlog_refusals")
            .with_description("submissions that the backlog left no time, by what became of them")
            .build(),
        refused_retry_ms: latency("chervilledge_backlog_retry_ms", "time after which refused callers may come back"),
        reader,
        _provider: provider,
    })
}

fn latency(meter: &Meter, name: &'static str, text: &'static str) -> Histogram<f64> {
    meter.f64_histogram(name).with_description(text).with_boundaries(BOUNDS_MS.to_vec()).build()
}

impl Metrics {
    /// Renders all metrics in the Prometheus text format.
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

    /// Counts a task that is given up because workers crash under it.
    pub fn task_given_up(&self) {
        self.given_up.add(1, &[]);
    }

    /// Counts a run that is stopped so that it ends sooner elsewhere, or in favor of another task.
    pub fn displaced(&self, reason: &'static str) {
        self.displaced.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Records the time until a batch of progress was durable.
    pub fn durable(&self, took: Duration) {
        self.durable_ms.record(milliseconds(took), &[]);
    }

    /// Counts checkpoints of running tasks that were selected to become durable.
    pub fn checkpoints(&self, tasks: u64) {
        self.checkpoints.add(tasks, &[]);
    }

    /// Records the work, in core-milliseconds, whose checkpoints wait for a later selection.
    pub fn unsaved(&self, core_ms: u64) {
        self.unsaved_core_ms.record(core_ms, &[]);
    }

    /// Counts a change in the assessment of the store.
    pub fn store_standing(&self, standing: &'static str) {
        self.store_standings.add(1, &[KeyValue::new("standing", standing)]);
    }

    /// Counts a probe of a store that breaks connections.
    pub fn probe(&self, result: &'static str) {
        self.probes.add(1, &[KeyValue::new("result", result)]);
    }

    /// Records the shortest duration of the last reads of the store.
    pub fn store_response(&self, least: Duration) {
        self.store_response_ms.record(crate::clock::whole_ms(least), &[]);
    }

    /// Records the length of the placer's queue and the age of its last confirmation.
    pub fn placer(&self, waiting: usize, confirmation_age: Duration) {
        self.waiting.record(waiting as u64, &[]);
        self.confirmation_age_ms.record(crate::clock::whole_ms(confirmation_age), &[]);
    }

    /// Records the lasting tasks without a run at work.
    pub fn lasting_waits(&self, waits: LastingWaits) {
        self.lasting_waiting.record(waits.tasks as u64, &[]);
        self.lasting_wait_ms.record(crate::clock::whole_ms(waits.longest), &[]);
    }

    /// Records the tasks that start again and again without progress, and their jobs.
    pub fn restarts(&self, counts: RestartCounts) {
        self.restarting_tasks.record(counts.tasks as u64, &[]);
        self.restarting_jobs.record(counts.jobs as u64, &[]);
    }

    /// Counts a request to evacuate a failure domain, or its removal.
    pub fn evacuation_changed(&self, kind: &'static str) {
        self.evacuation_changes.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Records the number of evacuated failure domains and the runs on their workers.
    pub fn evacuations(&self, domains: usize, held: &Held) {
        self.domains_evacuated.record(domains as u64, &[]);
        let kinds = [
            ("no_room", held.no_room),
            ("unavailable_max", held.unavailable_max),
            ("short_task", held.short_task),
            ("moving", held.moving),
        ];
        for (kind, runs) in kinds {
            self.evacuated_runs.record(runs as u64, &[KeyValue::new("held", kind)]);
        }
    }

    /// Counts a start that was refused in an evacuated failure domain.
    pub fn start_refused_evacuated(&self) {
        self.starts_refused.add(1, &[]);
    }

    /// Records the version of the current configuration, and the time since the store last confirmed it.
    pub fn configuration(&self, version: u64, age: Duration) {
        self.configuration_version.record(version, &[]);
        self.configuration_age_ms.record(crate::clock::whole_ms(age), &[]);
    }

    /// Records the duration of a poll of the worker.
    pub fn worker_poll(&self, result: &'static str, took: Duration) {
        self.look_ms.record(milliseconds(took), &[KeyValue::new("result", result)]);
    }

    /// Counts an order to set the pace, given in percent.
    pub fn pace_ordered(&self, percent: u32, previous: u32) {
        let change = match percent {
            0 => "halted",
            _ if percent < previous => "slower",
            _ => "faster",
        };
        self.pace_orders.add(1, &[KeyValue::new("change", change)]);
    }

    /// Counts runs whose changed urgency was sent to an agent.
    pub fn urgencies_told(&self, runs: usize) {
        self.urgencies.add(runs as u64, &[]);
    }

    /// Records the backlog of a pool.
    pub fn backlog(&self, pool: &Pool) {
        let labels = pool_labels(pool);
        self.backlog_core_ms.record(pool.in_time.total().saturating_add(pool.late.total()), &labels);
        self.backlog_rate_millicores.record(u64::from(pool.rate_millicores.unwrap_or(0)), &labels);
    }

    /// Records that a pool has no work left.
    pub fn backlog_gone(&self, pool: &Pool) {
        self.backlog_core_ms.record(0, &pool_labels(pool));
    }

    /// Counts a submission that couldn't meet its objective behind the backlog; `decided` is the result.
    pub fn backlog_refusal(&self, decided: &'static str) {
        self.refusals.add(1, &[KeyValue::new("decided", decided)]);
    }

    /// Records the time after which a refused caller may retry.
    pub fn backlog_retry(&self, retry_after: Duration) {
        self.refused_retry_ms.record(milliseconds(retry_after), &[]);
    }

    fn store(&self, call: &'static str, result: &'static str, took: Duration) {
        self.store_ms.record(milliseconds(took), &[KeyValue::new("call", call), KeyValue::new("result", result)]);
    }
}

/// Wraps a store so that the duration of each call is recorded; that of a watch includes the time for which the store
/// held the response back.
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
        Outcome::NotThere => "not_there",
        Outcome::Unknown => "unknown",
        Outcome::Broken => "broken",
    }
}

const fn read_result<T>(read: &Result<T, ReadError>) -> &'static str {
    match read {
        Ok(_) => "done",
        Err(ReadError::Silent) => "silent",
        Err(ReadError::Unreachable) => "unreachable",
        Err(ReadError::Broken) => "broken",
        Err(ReadError::Refused) => "refused",
        Err(ReadError::HistoryLost) => "history_lost",
        Err(ReadError::Malformed) => "malformed",
    }
}

fn pool_labels(pool: &Pool) -> [KeyValue; 2] {
    [KeyValue::new("service", pool.service.to_string()), KeyValue::new("is_filling", pool.is_filling)]
}

fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
