//! Reports what keeps the placer from placing.

use std::time::Duration;

use super::State;
use crate::clock::whole_ms;

/// Time without placement after which it is reported; users take a job that makes no progress for 3 s beside free
/// capacity as lost.
const REPORT_AFTER: Duration = Duration::from_secs(2);
/// Time between two reports of the same pause.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Time in which the placer may not place.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pause {
    since: Duration,
    /// Present reason.
    reason: &'static str,
    /// When it is reported next.
    report_due: Duration,
    is_reported: bool,
}

impl Pause {
    pub(super) const fn reason(&self) -> &'static str {
        self.reason
    }
}

impl State {
    /// Whether the placer may place; reports when it has been unable to for long, and the end of that.
    pub(super) fn may_place(&mut self, now: Duration) -> bool {
        let obstacle = self.placement_obstacle(now);
        // The cell ignores calls to place without a configuration.
        let reason = obstacle.or_else(|| (!self.cell.is_configured()).then_some("configuration_unread"));
        self.record_pause(reason, now);
        obstacle.is_none()
    }

    fn placement_obstacle(&mut self, now: Duration) -> Option<&'static str> {
        if !self.is_loaded {
            Some("jobs_unread")
        } else if self.roster_revision < self.context.revision {
            Some("roster_unread")
        } else if !self.may_act(now) {
            Some("no_authority")
        } else if !self.knows_evacuations() {
            Some("operator_rows_unread")
        } else {
            None
        }
    }

    fn record_pause(&mut self, reason: Option<&'static str>, now: Duration) {
        let Some(reason) = reason else {
            if let Some(pause) = self.pause.take().filter(|pause| pause.is_reported) {
                self.log_pause(&pause, false, now);
            }
            return;
        };
        let new = Pause { since: now, reason, report_due: now + REPORT_AFTER, is_reported: false };
        let mut pause = Pause { reason, ..self.pause.unwrap_or(new) };
        if now >= pause.report_due {
            pause.report_due = now + REPORT_INTERVAL;
            pause.is_reported = true;
            self.log_pause(&pause, true, now);
        }
        self.pause = Some(pause);
    }

    fn log_pause(&self, pause: &Pause, is_paused: bool, now: Duration) {
        log::warn!(event = "placement_paused", term = self.context.term, is_paused = is_paused, reason = pause.reason,
            paused_ms = whole_ms(now.saturating_sub(pause.since)); "");
    }
}
