//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use serde_json::Value;

/// Line of the record: milliseconds since the start, who, what, details.
#[derive(Clone, Debug)]
pub struct Line {
    pub at_ms: u64,
    pub who: String,
    pub what: String,
    pub details: Value,
}

struct Inner {
    began: Instant,
    lines: Vec<Line>,
    file: File,
}

/// Record; clones share it.
#[derive(Clone)]
pub struct Record(Arc<Mutex<Inner>>);

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self(Arc::new(Mutex::new(Inner { began: Instant::now(), lines: Vec::new(), file })))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn add(&self, who: &str, what: &str, details: Value) {
        let mut inner = self.lock();
        let at_ms = u64::try_from(inner.began.elapsed().as_millis()).unwrap_or(u64::MAX);
        writeln!(inner.file, "{at_ms:>7} {who:<12} {what:<16} {details}").expect("the record can be written");
        inner.lines.push(Line { at_ms, who: who.to_owned(), what: what.to_owned(), details });
    }

    pub fn lines(&self) -> Vec<Line> {
        self.lock().lines.clone()
    }
}
