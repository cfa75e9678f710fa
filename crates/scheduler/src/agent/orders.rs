//! Starts and stops of runs.

use std::time::Duration;

use chervilledge_cell::evacuation::Standing;
use chervilledge_cell::grant::is_clock_continued;
use chervilledge_cell::worker::{Life, Refusal, StartOrder};
use chervilledge_policy::id::Name;

use super::{Message, Own, RunId, Starting, State, Stopping};
use crate::message::FromAgent;
use crate::worker::{OrderOutcome, StartOutcome};

/// Attempts at a start before the run is stopped, which makes sure that it never starts.
const START_ATTEMPTS: u32 = 3;
/// Time after which an order that had no answer isn't carried out any more, with a margin: users name twelve seconds.
const LATE_ORDERS: Duration = Duration::from_secs(15);
/// Pause before a stop without an answer is repeated.
const STOP_RETRY: Duration = Duration::from_millis(250);

impl State {
    pub(super) fn start(&mut self, life: &Life, order: StartOrder, now: Duration) {
        let run = (order.task, order.run);
        let own = self.own.as_ref().filter(|own| own.worker.life == *life);
        let refusal = match own {
            // The life that was meant is over, so the run never starts.
            None => Some(Refusal::Leaving),
            Some(own) if own.worker.leaves_in.is_some() => Some(Refusal::Leaving),
            Some(_) if self.is_evacuated() => Some(Refusal::Evacuated),
            Some(_) if !self.grant.holds(now) => Some(Refusal::Late),
            Some(_) => None,
        };
        if refusal == Some(Refusal::Evacuated) {
            self.context.metrics.start_refused_evacuated();
        }
        if let Some(refusal) = refusal {
            self.refuse(run, refusal);
            return;
        }
        self.traits.insert(run, order.traits.clone());
        self.starting.insert(run, Starting { order, attempts: 0 });
        self.call_start(run, now);
    }

    /// Whether nothing may start on the worker because its failure domain is evacuated.
    pub(super) fn is_evacuated(&self) -> bool {
        self.own.as_ref().is_some_and(|own| self.evacuated.is_evacuated(&own.worker.failure_domain))
    }

    /// Takes note of what a placer tells of a failure domain; an older revision than the known one means nothing.
    pub(super) fn take_evacuation(&mut self, domain: &Name, standing: Standing) {
        if self.evacuated.note(domain, standing) {
            log::info!(event = "evacuation_obeyed", domain = &**domain, is_requested = standing.is_requested,
                revision = standing.revision, starting = self.starting.len(); "");
        }
    }

    fn refuse(&mut self, run: RunId, refusal: Refusal) {
        self.starting.remove(&run);
        self.traits.remove(&run);
        self.tell(FromAgent::Refused { task: run.0, run: run.1, refusal });
    }

    fn call_start(&mut self, run: RunId, now: Duration) {
        let (Some(target), Some(lease_end)) = (self.target(), self.lease(now)) else {
            // An earlier attempt may still be carried out.
            if self.starting.get(&run).is_some_and(|starting| starting.attempts > 0) {
                self.make_sure_absent(run, now);
            } else {
                self.refuse(run, Refusal::Late);
            }
            return;
        };
        let Some(life) = self.own.as_ref().map(|own| own.worker.life.clone()) else { return };
        let Some(starting) = self.starting.get_mut(&run) else { return };
        starting.attempts += 1;
        let answer = (self.context.calls.start)((target, starting.order.clone(), lease_end));
        let myself = self.myself.clone();
        tokio::spawn(async move {
            let result = answer.await;
            // The agent may have ended.
            drop(myself.cast(Message::Started { run, life, sent: now, result }));
        });
    }

    pub(super) fn started(&mut self, run: RunId, life: &Life, sent: Duration, result: StartOutcome, now: Duration) {
        self.doubt_life(life, sent, result, now);
        let is_present = self.own.as_ref().is_some_and(|own| own.worker.life == *life);
        let Some(attempts) = self.starting.get(&run).map(|starting| starting.attempts).filter(|_| is_present) else {
            return;
        };
        if !matches!(result, StartOutcome::Running { .. }) {
            log::info!(event = "start_not_taken", task:% = run.0, run = run.1, attempt = attempts, result:? = result; "");
        }
        if result == StartOutcome::Unknown {
            self.forget_late_orders(now);
            self.unanswered.insert(run, now);
        }
        match result {
            StartOutcome::Running { .. } => {
                self.starting.remove(&run);
                self.taken.insert(run, now);
                self.tell(FromAgent::Started { task: run.0, run: run.1 });
                self.pace_new_run(run);
            }
            StartOutcome::Unknown if attempts < START_ATTEMPTS && !self.is_evacuated() => self.call_start(run, now),
            // A late attempt may have been carried out, so that the worker has to say what became of the run.
            StartOutcome::Unknown | StartOutcome::Outdated => self.make_sure_absent(run, now),
            StartOutcome::Refused(_) if attempts > 1 => self.make_sure_absent(run, now),
            StartOutcome::Refused(refusal) => self.refuse(run, refusal),
            StartOutcome::OtherLife => self.worker_over("other_life", now),
        }
    }

    /// Takes note of an answer to a start that another life of the worker may have given.
    fn doubt_life(&mut self, life: &Life, sent: Duration, result: StartOutcome, now: Duration) {
        let Some(own) = self.own.as_mut().filter(|own| own.worker.life == *life) else { return };
        let is_doubtful = match result {
            StartOutcome::Running { clock_ms: Some(clock_ms) } => {
                own.reading.is_some_and(|reading| !is_clock_continued(reading, clock_ms, sent))
            }
            StartOutcome::Unknown => true,
            StartOutcome::Running { clock_ms: None }
            | StartOutcome::Refused(_)
            | StartOutcome::Outdated
            | StartOutcome::OtherLife => false,
        };
        if is_doubtful {
            log::info!(event = "worker_doubtful", worker = &*life.worker, result:? = result; "");
            own.doubt(now);
        }
    }

    /// Forgets starts without an answer that can't be carried out any more.
    pub(super) fn forget_late_orders(&mut self, now: Duration) {
        self.unanswered.retain(|_, at| now.saturating_sub(*at) < LATE_ORDERS);
    }

    fn make_sure_absent(&mut self, run: RunId, now: Duration) {
        self.starting.remove(&run);
        self.stopping.entry(run).or_insert(Stopping { taken: None, is_calling: false, due: now });
        self.repeat_stops(now);
    }

    pub(super) fn stop(&mut self, life: &Life, run: RunId, now: Duration) {
        // A start that was meant for a former life may have been carried out in a later one of the same name.
        let may_be_there =
            |own: &Own| own.worker.life.worker == life.worker && own.worker.life.born_unix_ms >= life.born_unix_ms;
        if !self.own.as_ref().is_some_and(may_be_there) {
            if self.is_over(life, now) {
                self.tell(FromAgent::Absent { task: run.0, run: run.1 });
            } else {
                // The placer orders it again by the inventory that follows.
                log::info!(event = "stop_deferred", task:% = run.0, run = run.1, worker = &*life.worker; "");
            }
            return;
        }
        // The answer to a start that is under way comes to nothing now.
        self.make_sure_absent(run, now);
    }

    /// Whether a life of another worker than the present one is over for certain.
    ///
    /// After a start of the agent it isn't, as long as no worker, or only a former life, is known.
    fn is_over(&self, life: &Life, now: Duration) -> bool {
        match &self.own {
            Some(own) => own.worker.life.born_unix_ms >= life.born_unix_ms,
            None => now >= self.empty_at,
        }
    }

    /// Sends the stops that the worker hasn't taken.
    pub(super) fn repeat_stops(&mut self, now: Duration) {
        let Some(target) = self.target() else { return };
        let Some(life) = self.own.as_ref().map(|own| own.worker.life.clone()) else { return };
        for (run, stopping) in &mut self.stopping {
            if stopping.taken.is_some() || stopping.is_calling || now < stopping.due {
                continue;
            }
            stopping.is_calling = true;
            let answer = (self.context.calls.stop)((target.clone(), run.0, run.1));
            let (run, life, myself) = (*run, life.clone(), self.myself.clone());
            tokio::spawn(async move {
                let result = answer.await;
                // The agent may have ended.
                drop(myself.cast(Message::Stopped { run, life, result }));
            });
        }
    }

    pub(super) fn stopped(&mut self, run: RunId, life: &Life, result: OrderOutcome, now: Duration) {
        if self.own.as_ref().is_none_or(|own| own.worker.life != *life) {
            return;
        }
        let Some(stopping) = self.stopping.get_mut(&run) else { return };
        stopping.is_calling = false;
        match result {
            OrderOutcome::Taken => {
                stopping.taken = Some(now);
                if let Some(own) = &mut self.own {
                    own.look_due = now;
                }
            }
            OrderOutcome::Fenced | OrderOutcome::Unknown => stopping.due = now + STOP_RETRY,
        }
    }

    pub(super) fn settle(&mut self, life: &Life, cursor: u64, now: Duration) {
        let Some(own) = self.own.as_mut().filter(|own| own.worker.life == *life) else { return };
        own.cursor = own.cursor.max(cursor);
        own.ends.retain(|end| end.number > cursor);
        if own.ends.is_empty() {
            own.look_due = now;
        }
    }

    /// Tells of stopped runs that the worker neither runs nor lists, by a look that was sent after the stop was taken.
    pub(super) fn tell_absent(&mut self, sent: Duration) {
        let Some(own) = &self.own else { return };
        let is_listed = |run: &RunId| {
            own.running.iter().any(|report| (report.task, report.run) == *run)
                || own.ends.iter().any(|end| (end.task, end.run) == *run)
        };
        let absent: Vec<RunId> = self
            .stopping
            .iter()
            .filter(|(run, stopping)| stopping.taken.is_some_and(|taken| taken <= sent) && !is_listed(run))
            .map(|(run, _)| *run)
            .collect();
        for run in absent {
            self.stopping.remove(&run);
            self.traits.remove(&run);
            self.tell(FromAgent::Absent { task: run.0, run: run.1 });
        }
    }

    /// Runs that may be on the worker, or may still come there, whatever the last look showed: starts without an answer,
    /// stops that aren't certain yet, and starts that were answered after the look was sent.
    pub(super) fn unseen_runs(&self) -> Vec<RunId> {
        self.starting.keys().chain(self.stopping.keys()).chain(self.taken.keys()).copied().collect()
    }

    /// Forgets what was to be done about runs that have ended.
    pub(super) fn forget_ended(&mut self) {
        let Some(own) = &self.own else { return };
        for end in &own.ends {
            let run = (end.task, end.run);
            self.stopping.remove(&run);
            self.taken.remove(&run);
            self.traits.remove(&run);
            self.paces.remove(&run);
            if self.starting.remove(&run).is_some() {
                log::info!(event = "run_ended_before_answer", task:% = run.0, run = run.1; "");
            }
        }
    }
}
