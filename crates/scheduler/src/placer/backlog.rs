//! Samples of the waiting work, on which entries base admission decisions.

use std::sync::Arc;
use std::time::Duration;

use super::State;

/// Interval of samples, and of their publication to the entries.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of log lines while work is waiting.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

impl State {
    /// Takes a sample when one is due. Logs it when work starts or stops waiting, and at intervals in between.
    pub(super) fn sample_backlog(&mut self, now: Duration) {
        if now < self.backlog_due || !self.is_loaded {
            return;
        }
        self.backlog_due = now + SAMPLE_INTERVAL;
        let previous = Arc::clone(self.cell.backlog());
        self.cell.sample_backlog(now);
        let backlog = self.cell.backlog();
        self.published_backlog = Arc::new(backlog.refusing());
        // A pool without any work left is reported once as empty.
        let gone = previous.pools.iter().filter(|pool| {
            backlog.pools.iter().all(|known| (&known.service, known.is_filling) != (&pool.service, pool.is_filling))
        });
        for pool in gone {
            self.context.metrics.backlog_gone(pool);
        }
        for pool in &backlog.pools {
            self.context.metrics.backlog(pool);
        }
        let is_waiting = backlog.pools.iter().any(|pool| pool.is_waiting);
        let (logged, was_waiting) = self.backlog_logged;
        if is_waiting == was_waiting && !(is_waiting && now >= logged + LOG_INTERVAL) {
            return;
        }
        self.backlog_logged = (now, is_waiting);
        for pool in &backlog.pools {
            log::info!(event = "backlog", service = &*pool.service, is_filling = pool.is_filling,
                is_waiting = pool.is_waiting, rate_millicores = pool.rate_millicores.unwrap_or(0),
                in_time_core_ms = pool.in_time.total(), late_core_ms = pool.late.total(),
                term = self.context.term; "");
        }
        if backlog.pools.is_empty() {
            log::info!(event = "backlog_gone", term = self.context.term; "");
        }
    }
}
