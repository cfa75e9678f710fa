//! Figures of a benchmark, one JSON line each.

use std::process::ExitCode;

use serde_json::{Map, Value, json};

/// Figures of one run of a benchmark.
#[derive(Debug)]
pub struct Report {
    bench: &'static str,
    missed: u32,
}

/// Conditions under which a figure was measured.
pub type At<'a> = &'a [(&'a str, u64)];

impl Report {
    /// Starts a report.
    pub fn open(bench: &'static str) -> Self {
        Self { bench, missed: 0 }
    }

    /// Prints a figure that has no target.
    pub fn figure(&mut self, name: &str, at: At<'_>, value: f64, unit: &str) {
        println!("{}", Value::Object(self.line(name, at, value, unit)));
    }

    /// Prints a figure that must not exceed its target.
    pub fn bounded(&mut self, name: &str, at: At<'_>, value: f64, unit: &str, target: f64) {
        let is_met = value <= target;
        let mut line = self.line(name, at, value, unit);
        line.insert("target".to_owned(), json!(target));
        line.insert("met".to_owned(), json!(is_met));
        println!("{}", Value::Object(line));
        self.missed += u32::from(!is_met);
    }

    /// Exit status of the benchmark: 1 when a target was missed.
    pub fn finish(self) -> ExitCode {
        ExitCode::from(u8::from(self.missed > 0))
    }

    fn line(&self, name: &str, at: At<'_>, value: f64, unit: &str) -> Map<String, Value> {
        let at: Map<String, Value> = at.iter().map(|(key, value)| ((*key).to_owned(), json!(value))).collect();
        let value = (value * 1e3).round() / 1e3;
        let mut line = Map::new();
        line.insert("bench".to_owned(), json!(self.bench));
        line.insert("figure".to_owned(), json!(name));
        line.insert("at".to_owned(), Value::Object(at));
        line.insert("value".to_owned(), json!(value));
        line.insert("unit".to_owned(), json!(unit));
        line
    }
}
