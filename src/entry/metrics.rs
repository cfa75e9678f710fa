//! Metrics of an entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use chervilledge_operator::metrics::Reader;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;

use crate::entry::exchange::{Context, Ends};

/// Counter of [`Ends`].
type Counter = fn(&Ends) -> &AtomicU64;

/// Ends of requests by the label that they carry.
const ENDS: &[(&str, Counter)] =
    &[("answered", |ends| &ends.answered), ("not_run", |ends| &ends.not_run), ("unknown", |ends| &ends.unknown)];

/// Running metrics of an entry.
#[derive(Debug)]
pub struct Metrics {
    reader: Reader,
    /// Keeps the instruments; they end with it.
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Reader for the operators' listener.
    #[must_use]
    pub fn reader(&self) -> Reader {
        self.reader.clone()
    }
}

/// Starts to observe what the drivers of an entry share.
#[must_use]
pub fn open(context: &Arc<Context>) -> Metrics {
    let reader = Reader::new();
    let provider = SdkMeterProvider::builder().with_reader(reader.clone()).build();
    let meter = provider.meter("chervilledge");
    observe_ends(&meter, context);
    observe_counter(&meter, "chervilledge_retries", context, |ends| &ends.retries);
    observe_counter(&meter, "chervilledge_dropped_replies", context, |ends| &ends.dropped_replies);
    observe_fleet(&meter, context);
    Metrics { reader, _provider: provider }
}

fn observe_ends(meter: &Meter, context: &Arc<Context>) {
    let context = Arc::clone(context);
    meter
        .u64_observable_counter("chervilledge_requests")
        .with_callback(move |observer| {
            for (end, counter) in ENDS {
                observer.observe(counter(&context.ends).load(Ordering::Relaxed), &[KeyValue::new("end", *end)]);
            }
        })
        .build();
}

fn observe_counter(meter: &Meter, name: &'static str, context: &Arc<Context>, counter: Counter) {
    let context = Arc::clone(context);
    meter
        .u64_observable_counter(name)
        .with_callback(move |observer| observer.observe(counter(&context.ends).load(Ordering::Relaxed), &[]))
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
