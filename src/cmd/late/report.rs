//! What `chervilledge trace --late` writes.

use std::collections::BTreeMap;
use std::io::{self, Write};

use serde_json::{Value, json};

/// Why jobs were late.
#[derive(Debug)]
pub struct Report {
    /// In the order of their names.
    pub queues: Vec<QueueReport>,
    /// Completed jobs without an objective; lines of older versions don't tell it.
    pub without_objective: u64,
    /// Lines of the events that matter that can't be read.
    pub lines_malformed: u64,
    /// Jobs that hadn't ended when lines of them were dropped, since too many were open.
    pub jobs_dropped: u64,
}

impl Report {
    /// Writes it for people.
    ///
    /// # Errors
    ///
    /// The error of `out`.
    pub fn write(&self, out: &mut dyn Write) -> io::Result<()> {
        for queue in &self.queues {
            queue.write(out)?;
        }
        if self.queues.is_empty() {
            writeln!(out, "No completed job with an objective.")?;
        }
        let notes = [
            (self.without_objective, "completed jobs without an objective"),
            (self.lines_malformed, "lines that can't be read"),
            (self.jobs_dropped, "jobs whose first lines were dropped, since too many jobs were open"),
        ];
        for (count, text) in notes.iter().filter(|(count, _)| *count > 0) {
            writeln!(out, "Not counted: {count} {text}.")?;
        }
        Ok(())
    }

    /// The same for scripts.
    #[must_use]
    pub fn json(&self) -> Value {
        json!({
            "queues": self.queues.iter().map(QueueReport::json).collect::<Vec<_>>(),
            "without_objective": self.without_objective,
            "lines_malformed": self.lines_malformed,
            "jobs_dropped": self.jobs_dropped,
        })
    }
}

/// Why jobs of a queue were late.
#[derive(Debug)]
pub struct QueueReport {
    /// Name of the queue.
    pub name: String,
    /// Completed jobs with an objective.
    pub completed: u64,
    /// Those that took longer.
    pub late: u64,
    /// Sum of the ages of the late ones at their ends, in milliseconds.
    pub late_age_ms: u64,
    /// Sum of the objectives of the late ones, in milliseconds.
    pub late_objective_ms: u64,
    /// Waiting for a first run.
    pub waiting_first_ms: u64,
    /// Waiting after a stopped or failed run.
    pub waiting_again_ms: u64,
    /// In runs that were stopped, by reason.
    pub stopped_ms: BTreeMap<String, u64>,
    /// In runs that failed.
    pub failed_ms: u64,
    /// In the last run, beyond the median of its step.
    pub beyond_median_ms: u64,
    /// In the last run, up to the median of its step.
    pub median_ms: u64,
    /// What the lines don't explain.
    pub unexplained_ms: u64,
}

impl QueueReport {
    #[expect(clippy::cast_precision_loss, reason = "sums are far below 2^52")]
    fn write(&self, out: &mut dyn Write) -> io::Result<()> {
        let Self { name, completed, late, .. } = self;
        writeln!(out, "Queue {name}: {late} of {completed} completed jobs late")?;
        if *late == 0 {
            return Ok(());
        }
        let mut rows = vec![
            ("waiting for a first run".to_owned(), self.waiting_first_ms),
            ("waiting after a stopped or failed run".to_owned(), self.waiting_again_ms),
        ];
        rows.extend(self.stopped_ms.iter().map(|(reason, time)| (format!("in stopped runs: {reason}"), *time)));
        rows.extend([
            ("in failed runs".to_owned(), self.failed_ms),
            ("in the last run, beyond the median".to_owned(), self.beyond_median_ms),
            ("in the last run, up to the median".to_owned(), self.median_ms),
            ("not explained by the lines".to_owned(), self.unexplained_ms),
            ("age".to_owned(), self.late_age_ms),
            ("objective".to_owned(), self.late_objective_ms),
        ]);
        writeln!(out, "    {:<40}{:>12}{:>12}{:>8}", "", "SECONDS", "EACH JOB", "PART")?;
        for (cause, sum_ms) in rows {
            let sum_s = sum_ms as f64 / 1_000.0;
            let part = sum_ms as f64 * 100.0 / self.late_age_ms as f64;
            writeln!(out, "    {cause:<40}{sum_s:>12.3}{:>12.3}{part:>7.1}%", sum_s / *late as f64)?;
        }
        Ok(())
    }

    fn json(&self) -> Value {
        json!({
            "queue": self.name,
            "completed": self.completed,
            "late": self.late,
            "late_age_ms": self.late_age_ms,
            "late_objective_ms": self.late_objective_ms,
            "causes": {
                "waiting_first_ms": self.waiting_first_ms,
                "waiting_again_ms": self.waiting_again_ms,
                "stopped_ms": self.stopped_ms,
                "failed_ms": self.failed_ms,
                "beyond_median_ms": self.beyond_median_ms,
                "median_ms": self.median_ms,
                "unexplained_ms": self.unexplained_ms,
            },
        })
    }
}
