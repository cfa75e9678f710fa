//! Looks at the worker: lease, runs and ends.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::grant::ClockReading;
use chervilledge_cell::pace::FULL_PERCENT;
use chervilledge_cell::worker::{Life, RunReport, Worker};

use super::{Message, State};
use crate::message::FromAgent;
use crate::worker::{PollError, PollRequest, PollResponse};

/// Time that a look waits for an end when nothing else is to be seen.
const WAIT_IDLE: Duration = Duration::from_secs(1);
/// The same while filling runs stand beside serving ones; the worker measures over half a second.
const WAIT_PACING: Duration = Duration::from_millis(450);
/// Pause before the next look while ends aren't settled; the worker answers at once meanwhile.
const UNSETTLED_PAUSE: Duration = Duration::from_millis(150);
/// Pause after a look without an answer.
const FAILURE_PAUSE: Duration = Duration::from_millis(150);
/// Refused connections in a row after which the worker is taken to be gone.
const ABSENCES_MAX: u32 = 2;
/// Least time between two reports of progress.
const REPORT_INTERVAL: Duration = Duration::from_millis(600);

impl State {
    /// Looks at the worker when it is time and no look is under way.
    pub(super) fn look_if_due(&mut self, now: Duration) {
        let is_pacing = self.has_pacing();
        let is_urgent = self.inventory_due.is_some() || self.stopping.values().any(|stopping| stopping.taken.is_some());
        let Some(own) = &self.own else { return };
        if own.is_looking || now < own.look_due || self.term == 0 {
            return;
        }
        let wait = if is_urgent || !own.ends.is_empty() || own.doubtful_since.is_some() {
            Duration::ZERO
        } else if is_pacing {
            WAIT_PACING
        } else {
            WAIT_IDLE
        };
        // A lease that is extended while the worker is silent would only have to be waited for.
        let lease_end_ms = if own.failures >= 2 { None } else { self.lease(now) };
        let (Some(target), Some(own)) = (self.target(), self.own.as_mut()) else { return };
        own.is_looking = true;
        // Numbers of ends begin anew with each life.
        let cursor = if own.doubtful_since.is_some() { 0 } else { own.cursor };
        let ask = PollRequest { cursor, lease_end_ms, wait };
        let (life, term) = (own.worker.life.clone(), self.term);
        let answer = (self.context.calls.poll)((target, ask));
        let myself = self.myself.clone();
        tokio::spawn(async move {
            let look = answer.await;
            // The agent may have ended.
            drop(myself.cast(Message::Looked { life, term, sent: now, look }));
        });
    }

    pub(super) fn looked(
        &mut self,
        life: &Life,
        term: u64,
        sent: Duration,
        look: Result<PollResponse, PollError>,
        now: Duration,
    ) {
        let Some(own) = self.own.as_mut().filter(|own| own.worker.life == *life) else { return };
        own.is_looking = false;
        let result = if look.is_ok() { "done" } else { "failed" };
        self.context.metrics.look(result, now.saturating_sub(sent));
        match look {
            Ok(PollResponse { clock_ms, born_unix_ms: Some(born_unix_ms), .. })
                if born_unix_ms != life.born_unix_ms =>
            {
                let (worker, address) = (own.worker.clone(), own.address);
                let worker = Worker { life: Life { born_unix_ms, ..life.clone() }, leaves_in: None, ..worker };
                self.begin_next_life(now);
                self.register(worker, address, 0, Some(ClockReading { worker_ms: clock_ms, received: now }), now);
            }
            Ok(look) => self.take_look(look, term, sent, now),
            Err(error) => self.look_failed(error, now),
        }
    }

    fn look_failed(&mut self, error: PollError, now: Duration) {
        let Some(own) = &mut self.own else { return };
        own.failures += 1;
        own.doubt(now);
        own.look_due = now + FAILURE_PAUSE;
        own.absences = if error == PollError::NotThere { own.absences + 1 } else { 0 };
        let (failures, absences) = (own.failures, own.absences);
        log::info!(event = "look_failed", error:? = error, failures = failures; "");
        if error == PollError::OtherLife {
            self.worker_over("other_life", now);
        } else if absences >= ABSENCES_MAX {
            self.worker_over("not_there", now);
        }
    }

    fn take_look(&mut self, look: PollResponse, term: u64, sent: Duration, now: Duration) {
        let Some(own) = &mut self.own else { return };
        own.failures = 0;
        own.absences = 0;
        own.doubtful_since = own.doubtful_since.filter(|since| *since > sent);
        own.reading = Some(ClockReading { worker_ms: look.clock_ms, received: now });
        own.running = look.running;
        let cursor = own.cursor;
        own.ends = look.ends.into_iter().filter(|end| end.number > cursor).collect();
        own.ends.sort_unstable_by_key(|end| end.number);
        own.look_due = if own.ends.is_empty() { now } else { now + UNSETTLED_PAUSE };
        self.taken.retain(|_, taken| *taken > sent);
        self.forget_ended();
        self.tell_absent(sent);
        if term == self.term && self.inventory_due.is_some_and(|due| sent >= due) {
            self.send_inventory();
        } else if self.inventory_due.is_none() {
            self.tell_ends();
        }
        self.set_paces(now);
    }

    fn tell_ends(&mut self) {
        let Some(own) = &mut self.own else { return };
        let told = own.told;
        let ends: Vec<_> = own.ends.iter().filter(|end| end.number > told).cloned().collect();
        let Some(last) = ends.last().map(|end| end.number) else { return };
        own.told = last;
        let life = own.worker.life.clone();
        self.tell(FromAgent::Ends { life, ends });
    }

    /// Tells the placer how far runs are, as far as that has changed.
    pub(super) fn report_progress(&mut self, now: Duration) {
        if now < self.report_due || self.inventory_due.is_some() || self.link.is_none() {
            return;
        }
        self.report_due = now + REPORT_INTERVAL;
        let Some(own) = &mut self.own else { return };
        let mut changed = Vec::new();
        for report in &own.running {
            let run = (report.task, report.run);
            let pace = self.paces.get(&run).copied().unwrap_or(FULL_PERCENT).min(FULL_PERCENT);
            let state = (report.percent, pace, Arc::clone(&report.checkpoint));
            if own.reported.get(&run) != Some(&state) {
                own.reported.insert(run, state);
                changed.push(RunReport { pace_percent: pace, ..report.clone() });
            }
        }
        let running = &own.running;
        own.reported.retain(|run, _| running.iter().any(|report| (report.task, report.run) == *run));
        if !changed.is_empty() {
            self.tell(FromAgent::Running(changed));
        }
        self.tell_rooms();
    }
}
