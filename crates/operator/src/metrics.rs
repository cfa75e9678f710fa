//! Metrics on demand, in the text format of Prometheus.

use std::fmt::{Display, Write as _};
use std::sync::{Arc, Weak};
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::metrics::data::{
    AggregatedMetrics, Histogram, Metric, MetricData, ResourceMetrics, ScopeMetrics,
};
use opentelemetry_sdk::metrics::reader::MetricReader;
use opentelemetry_sdk::metrics::{InstrumentKind, ManualReader, Pipeline, Temporality};

/// Content type of the text format.
pub const CONTENT_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";

/// Reader of all metrics of one meter provider; clones share it.
#[derive(Clone, Debug)]
pub struct Reader {
    inner: Arc<ManualReader>,
}

impl Reader {
    /// Makes a reader, to be given to one meter provider.
    #[must_use]
    pub fn new() -> Self {
        Self { inner: Arc::new(ManualReader::default()) }
    }

    /// Collects all metrics and renders them; empty without a provider or after its shutdown.
    #[must_use]
    pub fn render(&self) -> String {
        let mut collected = ResourceMetrics::default();
        let mut text = String::new();
        if let Err(error) = self.inner.collect(&mut collected) {
            log::warn!(event = "metrics_not_collected", error:% = error; "");
            return text;
        }
        for metric in collected.scope_metrics().flat_map(ScopeMetrics::metrics) {
            render_metric(&mut text, metric);
        }
        text
    }
}

impl Default for Reader {
    fn default() -> Self {
        Self::new()
    }
}

impl MetricReader for Reader {
    fn register_pipeline(&self, pipeline: Weak<Pipeline>) {
        self.inner.register_pipeline(pipeline);
    }

    fn collect(&self, rm: &mut ResourceMetrics) -> OTelSdkResult {
        self.inner.collect(rm)
    }

    fn force_flush(&self) -> OTelSdkResult {
        self.inner.force_flush()
    }

    fn shutdown_with_timeout(&self, timeout: Duration) -> OTelSdkResult {
        self.inner.shutdown_with_timeout(timeout)
    }

    fn temporality(&self, kind: InstrumentKind) -> Temporality {
        self.inner.temporality(kind)
    }
}

fn render_metric(text: &mut String, metric: &Metric) {
    match metric.data() {
        AggregatedMetrics::F64(data) => render_data(text, metric, data),
        AggregatedMetrics::U64(data) => render_data(text, metric, data),
        AggregatedMetrics::I64(data) => render_data(text, metric, data),
    }
}

fn render_data<T: Copy + Display>(text: &mut String, metric: &Metric, data: &MetricData<T>) {
    let name = sanitized(metric.name());
    match data {
        MetricData::Gauge(gauge) => {
            head(text, &name, metric.description(), "gauge");
            for point in gauge.data_points() {
                sample(text, &name, &labels(point.attributes()), point.value());
            }
        }
        MetricData::Sum(sum) => {
            let (name, kind) = if sum.is_monotonic() { (counter_name(name), "counter") } else { (name, "gauge") };
            head(text, &name, metric.description(), kind);
            for point in sum.data_points() {
                sample(text, &name, &labels(point.attributes()), point.value());
            }
        }
        MetricData::Histogram(histogram) => render_histogram(text, &name, metric.description(), histogram),
        // No instrument of the system uses exponential buckets, for which the text format has no form.
        MetricData::ExponentialHistogram(_) => {}
    }
}

fn render_histogram<T: Copy + Display>(text: &mut String, name: &str, description: &str, histogram: &Histogram<T>) {
    head(text, name, description, "histogram");
    for point in histogram.data_points() {
        let labels = labels(point.attributes());
        let bounds = point.bounds().map(|bound| bound.to_string()).chain(["+Inf".to_owned()]);
        let mut cumulative = 0;
        for (bound, count) in bounds.zip(point.bucket_counts()) {
            cumulative += count;
            let mut labels = labels.clone();
            labels.push(format!("le=\"{bound}\""));
            sample(text, &format!("{name}_bucket"), &labels, cumulative);
        }
        sample(text, &format!("{name}_sum"), &labels, point.sum());
        sample(text, &format!("{name}_count"), &labels, point.count());
    }
}

fn head(text: &mut String, name: &str, description: &str, kind: &str) {
    if !description.is_empty() {
        let description = description.replace('\\', "\\\\").replace('\n', "\\n");
        append(text, format_args!("# HELP {name} {description}\n"));
    }
    append(text, format_args!("# TYPE {name} {kind}\n"));
}

fn sample(text: &mut String, name: &str, labels: &[String], value: impl Display) {
    if labels.is_empty() {
        append(text, format_args!("{name} {value}\n"));
    } else {
        append(text, format_args!("{name}{{{}}} {value}\n", labels.join(",")));
    }
}

fn append(text: &mut String, part: std::fmt::Arguments<'_>) {
    text.write_fmt(part).expect("writing to a string can't fail");
}

fn labels<'a>(attributes: impl Iterator<Item = &'a KeyValue>) -> Vec<String> {
    let mut labels: Vec<String> = attributes.map(label).collect();
    labels.sort();
    labels
}

fn label(attribute: &KeyValue) -> String {
    let value = attribute.value.as_str().replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n");
    format!("{}=\"{value}\"", sanitized(attribute.key.as_str()))
}

fn counter_name(name: String) -> String {
    if name.ends_with("_total") { name } else { name + "_total" }
}

/// Replaces every character that a name in the text format can't have.
fn sanitized(name: &str) -> String {
    let keep = |c: char| if c.is_ascii_alphanumeric() || c == '_' { c } else { '_' };
    let name: String = name.chars().map(keep).collect();
    if name.starts_with(|c: char| c.is_ascii_digit()) { format!("_{name}") } else { name }
}
