//! Reports of the worker about itself, and which incarnation an agent tracks.
//!
//! A report alone doesn't replace a worker that answers polls: it may be late, or come from another writer, and the runs
//! on the worker would be started elsewhere while they go on. The worker that is polled decides: it answers, as the same
//! incarnation or as a later one, or it is gone.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use chervilledge_cell::grant::ClockReading;
use chervilledge_cell::worker::Worker;
use chervilledge_policy::collections::Map;

use super::{Identity, State, TrackedWorker};
use crate::message::FromAgent;
use crate::worker::Report;

/// Age up to which a report of another incarnation is used when the tracked one ends: workers report every second.
const OTHER_REPORT_AGE_MAX: Duration = Duration::from_secs(3);
/// Interval between two reports of a worker, which reports every second. Delayed reports arrive together.
const REPORT_INTERVAL: RangeInclusive<Duration> = Duration::from_millis(500)..=Duration::from_millis(2_500);

/// Report of an incarnation other than the tracked one.
#[derive(Debug)]
pub(super) struct OtherReport {
    report: Report,
    received: Duration,
}

impl TrackedWorker {
    /// Whether a report of this incarnation is to be applied: it has a higher number than the latest one, or the latest
    /// one came from another writer, since reports with lower numbers go on at the worker's interval.
    fn is_current(&mut self, sequence: u64, now: Duration) -> bool {
        if sequence > self.sequence {
            return true;
        }
        let previous = self.outdated_report.replace((sequence, now));
        let is_current = previous.is_some_and(|(number, received)| {
            sequence > number && REPORT_INTERVAL.contains(&now.saturating_sub(received))
        });
        if is_current {
            log::warn!(event = "report_number_rejected", worker = &*self.worker.life.worker, number = self.sequence,
                next = sequence; "");
        }
        is_current
    }
}

impl State {
    /// Applies a report from the worker.
    pub(super) fn handle_report(&mut self, report: Report, now: Duration) {
        let Some(tracked) = &mut self.tracked else {
            self.track_reported(report, now);
            return;
        };
        let (life, other) = (&tracked.worker.life, &report.worker.life);
        let is_same_worker = life.worker == other.worker;
        let is_former = other.born_unix_ms < life.born_unix_ms && (is_same_worker || tracked.is_confirmed());
        // A worker whose answers don't tell when it started can't show whether it has started again.
        let can_poll_tell = match tracked.identity {
            Identity::Reported => false,
            Identity::Answers => !is_same_worker,
            Identity::AnswersWithStart => true,
        };
        if life == other {
            self.update_worker(report, now);
        } else if is_former {
            log::info!(event = "report_of_former_life", worker = &*other.worker; "");
        } else if can_poll_tell {
            // A poll that is sent from now on decides. It doesn't wait for one in flight, which may be answered late:
            // until then, the runs of a worker that has started again would be blamed on the former incarnation.
            tracked.poll_due = now;
            if self.other_report.is_none() {
                tracked.is_polling = false;
            }
            if is_same_worker {
                tracked.mark_maybe_restarted(now);
            }
            self.keep_other_report(report, now);
        } else if is_same_worker {
            let clock_ms = report.clock_ms.unwrap_or_default();
            let life_age = self.next_life_age(report.worker.life.born_unix_ms, clock_ms, now);
            self.handle_worker_restart(life_age, now);
            self.track_reported(report, now);
        } else {
            self.forget_unconfirmed();
            self.track_reported(report, now);
        }
    }

    /// Updates the tracked worker from a report of its own.
    fn update_worker(&mut self, report: Report, now: Duration) {
        let Some(tracked) = &mut self.tracked else { return };
        if !tracked.is_current(report.sequence, now) {
            return;
        }
        tracked.sequence = report.sequence;
        tracked.address = report.address;
        let has_changed = tracked.worker.leaves_in.is_some() != report.worker.leaves_in.is_some()
            || tracked.worker.resources != report.worker.resources
            || tracked.worker.service != report.worker.service
            || tracked.worker.cold_for.is_zero() != report.worker.cold_for.is_zero();
        tracked.cold_until = now + report.worker.cold_for;
        tracked.worker = report.worker.clone();
        if has_changed {
            log::info!(event = "worker_changed", worker = &*report.worker.life.worker,
                leaves = report.worker.leaves_in.is_some(); "");
            // The placer learns of a new incarnation from its inventory: without the runs that it has, it would take
            // those of the former one for lost.
            if self.is_inventory_sent() {
                self.send_to_placer(FromAgent::Worker(report.worker));
            }
        }
    }

    fn keep_other_report(&mut self, report: Report, now: Duration) {
        let is_known = self.other_report.as_ref().is_some_and(|other| other.report.worker.life == report.worker.life);
        if !is_known && let Some(tracked) = &self.tracked {
            log::info!(event = "report_of_other_life", worker = &*report.worker.life.worker,
                born_unix_ms = report.worker.life.born_unix_ms, tracked = &*tracked.worker.life.worker; "");
        }
        self.other_report = Some(OtherReport { report, received: now });
    }

    /// Stops tracking a worker that has never answered. Its end isn't reported to the placer, since nothing shows it.
    fn forget_unconfirmed(&mut self) {
        let Some(tracked) = self.tracked.take() else { return };
        log::info!(event = "worker_unconfirmed", worker = &*tracked.worker.life.worker; "");
    }

    /// Drops the report of another incarnation that came before a poll which the tracked one has answered.
    pub(super) fn reject_other_report(&mut self, poll_sent: Duration) {
        let Some(OtherReport { report, .. }) = self.other_report.take_if(|other| other.received <= poll_sent) else {
            return;
        };
        log::warn!(event = "report_rejected", worker = &*report.worker.life.worker,
            born_unix_ms = report.worker.life.born_unix_ms, service = &*report.worker.service; "");
    }

    /// Applies the report of another incarnation if the tracked one has ended, or has turned out to be that one.
    pub(super) fn apply_other_report(&mut self, now: Duration) {
        let applies = |other: &mut OtherReport| {
            self.tracked.as_ref().is_none_or(|tracked| tracked.worker.life == other.report.worker.life)
        };
        let Some(OtherReport { report, received }) = self.other_report.take_if(applies) else { return };
        if now.saturating_sub(received) <= OTHER_REPORT_AGE_MAX {
            self.handle_report(report, received);
        }
    }

    /// Records that the tracked incarnation has answered a poll.
    pub(super) fn confirm_worker(&mut self, tells_start: bool) {
        let Some(tracked) = &mut self.tracked else { return };
        let identity = if tells_start { Identity::AnswersWithStart } else { Identity::Answers };
        if std::mem::replace(&mut tracked.identity, identity) == Identity::Reported {
            let life = tracked.worker.life.clone();
            self.confirm_silent_crash(&life);
        }
    }

    fn track_reported(&mut self, report: Report, now: Duration) {
        let reading = report.clock_ms.map(|worker_ms| ClockReading { worker_ms, received: now });
        self.track_worker(report.worker, report.address, report.sequence, reading, now);
    }

    /// Starts to track an incarnation of the worker.
    pub(super) fn track_worker(
        &mut self,
        worker: Worker,
        address: SocketAddr,
        sequence: u64,
        reading: Option<ClockReading>,
        now: Duration,
    ) {
        log::info!(event = "worker_registered", worker = &*worker.life.worker,
            born_unix_ms = worker.life.born_unix_ms, address:% = address; "");
        self.add_foreign_leases(&worker.life, now);
        self.tracked = Some(TrackedWorker {
            cold_until: now + worker.cold_for,
            worker,
            address,
            sequence,
            outdated_report: None,
            reading,
            lease_until: Duration::ZERO,
            cursor: 0,
            forgotten: 0,
            reported_end: 0,
            ends: Vec::new(),
            has_more_ends: false,
            running: Vec::new(),
            reported_progress: Map::default(),
            failed_polls: 0,
            refused_connections: 0,
            failing_since: None,
            identity: Identity::Reported,
            maybe_restarted_since: None,
            is_polling: false,
            poll_due: now,
            unwatched_since: Some(now),
        });
        if self.link.is_some() {
            self.request_inventory(now);
        }
        let is_row_deleted = self.row_write.as_ref().is_some_and(|(is_present, _)| !is_present);
        if is_row_deleted {
            self.announce(now);
        }
    }
}
