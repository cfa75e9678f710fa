//! Metrics of an entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use chervilledge_operator::metrics::Reader;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;

use crate::entry::exchange::{Context, RequestCounters};

/// Accessor of one counter of [`RequestCounters`].
type Counter = fn(&RequestCounters) -> &AtomicU64;

/// Values of the `end` label, with their counters.
const COUNTERS_BY_END: &[(&str, Counter)] = &[
    ("answered", |counters| &counters.answered),
    ("not_run", |counters| &counters.not_run),
    ("unknown", |counters| &counters.unknown),
];

/// Running metrics of an entry.
#[derive(Debug)]
pub struct Metrics {
    reader: Reader,
    /// Keeps the instruments registered.
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Reader for the operator listener.
    #[must_use]
    pub fn reader(&self) -> Reader {
        self.reader.clone()
    }
}

/// Registers the instruments that observe `context`.
#[must_use]
pub fn open(context: &Arc<Context>) -> Metrics {
    let reader = Reader::new();
    let provider = SdkMeterProvider::builder().with_reader(reader.clone()).build();
    let meter = provider.meter("chervilledge");
    observe_requests(&meter, context);
    observe_counter(&meter, "chervilledge_retries", context, |counters| &counters.retries);
    observe_counter(&meter, "chervilledge_dropped_replies", context, |counters| &counters.dropped_replies);
    observe_fleet(&meter, context);
    Metrics { reader, _provider: provider }
}

fn observe_requests(meter: &Meter, context: &Arc<Context>) {
    let context = Arc::clone(context);
    meter
        .u64_observable_counter("chervilledge_requests")
        .with_callback(move |observer| {
            for (end, counter) in COUNTERS_BY_END {
                observer.observe(counter(&context.counters).load(Ordering::Relaxed), &[KeyValue::new("end", *end)]);
            }
        })
        .build();
}

fn observe_counter(meter: &Meter, name: &'static str, context: &Arc<Context>, counter: Counter) {
    let context = Arc::clone(context);
    meter
        .u64_observable_counter(name)
        .with_callback(move |observer| observer.observe(counter(&context.counters).load(Ordering::Relaxed), &[]))
        .build();
}

fn observe_fleet(meter: &Meter, context: &Arc<Context>) {
    let context = Arc::clone(context);
    meter
        .u64_observable_gauge("chervilledge_links")
        .with_callback(move |observer| {
            observer.observe(u64::try_from(context.fleet.links().len()).unwrap_or(u64::MAX), &[]);
        })
        .build();
}
