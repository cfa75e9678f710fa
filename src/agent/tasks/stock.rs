//! What the worker tells of its tasks.

use std::time::Duration;

use chervilledge_link::task::{ClaimId, End, TaskReport};
use chervilledge_policy::code::Code;
use chervilledge_policy::reservation::Reservation;
use chervilledge_policy::task::TaskId;
use chervilledge_worker::runtime::{Error, Refusal, Status, TaskState};

use crate::agent::tasks::State;
use crate::agent::tasks::calls::{Called, Order};
use crate::agent::tasks::held::{Stage, Task, claim_of};

impl State {
    pub(super) fn on_called(&mut self, called: Called) {
        match called {
            Called::Listed(result) => self.on_listed(result),
            Called::Started(claim, result) => self.on_started(&claim, &result),
            Called::Ordered(claim, order, result) => self.on_ordered(&claim, order, result),
        }
    }

    fn on_listed(&mut self, result: Result<Vec<Status>, Error>) {
        let Some(asked) = self.listing.take() else { return };
        let statuses = match result {
            Ok(statuses) => statuses,
            Err(error) => {
                log::debug!(event = "worker_not_listed", error:% = error; "");
                return;
            }
        };
        if !self.reservations.is_stock_taken() {
            if asked >= self.stock_from {
                self.take_stock(&statuses);
            }
            return;
        }
        for status in &statuses {
            self.observe(status);
        }
        self.miss(&statuses, asked);
    }

    fn take_stock(&mut self, statuses: &[Status]) {
        let now = self.clock.now();
        let (complete, held): (Vec<&Status>, Vec<&Status>) =
            statuses.iter().partition(|status| status.state == TaskState::Complete);
        let running: Vec<Reservation> = held.iter().filter_map(|status| reservation(status)).collect();
        if let Err(excess) = self.reservations.take_stock(running) {
            log::warn!(event = "worker_over_capacity", tasks = excess.len(); "");
            for claim in held.iter().filter_map(|status| claim_of(status)) {
                if excess.contains(&claim.task) {
                    self.calls.order(&claim, Order::Stop);
                }
            }
            return;
        }
        log::info!(event = "stock_taken", tasks = held.len(); "");
        let interval = self.settings.lease.renew_every;
        for status in held {
            if let Some(claim) = claim_of(status) {
                self.tasks.insert(claim.task, Task::found(status, now, interval));
            }
        }
        for claim in complete.into_iter().filter_map(claim_of) {
            self.end(claim, End::Completed, None);
        }
        self.join(now);
    }

    fn observe(&mut self, status: &Status) {
        let Some(claim) = claim_of(status) else { return };
        let known = self.tasks.get_mut(&claim.task).filter(|task| task.epoch == claim.epoch);
        let is_complete = status.state == TaskState::Complete;
        match known {
            Some(task) => {
                task.observe(status);
                match task.stage {
                    Stage::Stopping(_) => self.calls.order(&claim, Order::Stop),
                    Stage::Held | Stage::StartUnknown(_) if is_complete => self.finish(&claim, End::Completed),
                    Stage::StartUnknown(_) => self.on_started(&claim, &Ok(())),
                    Stage::Starting(_) | Stage::Held => {}
                }
            }
            None if is_complete => {
                if !self.unsettled.contains_key(&claim) {
                    self.end(claim, End::Completed, None);
                }
            }
            // Nothing but this agent's starts, all of which are known, can have put it there.
            None => self.calls.order(&claim, Order::Stop),
        }
    }

    /// Ends the claims of tasks that are no longer on the worker.
    fn miss(&mut self, statuses: &[Status], asked: Duration) {
        let is_listed = |id: &TaskId, task: &Task| {
            let name = id.to_string();
            statuses.iter().any(|status| *status.task == *name && status.epoch == task.epoch.0)
        };
        let missing: Vec<(ClaimId, End)> = self
            .tasks
            .iter()
            .filter(|(id, task)| !is_listed(id, task))
            .filter_map(|(id, task)| {
                let end = match task.stage {
                    Stage::Starting(_) => return None,
                    Stage::StartUnknown(until) if asked <= until => return None,
                    Stage::StartUnknown(_) => End::Failed(Code::TaskStartFailed),
                    Stage::Held => End::Gone,
                    Stage::Stopping(end) => end,
                };
                Some((ClaimId { task: id.clone(), epoch: task.epoch }, end))
            })
            .collect();
        for (claim, end) in missing {
            self.finish(&claim, end);
        }
    }

    fn on_started(&mut self, claim: &ClaimId, result: &Result<(), Error>) {
        let Some(task) = self.tasks.get_mut(&claim.task).filter(|task| task.epoch == claim.epoch) else { return };
        if matches!(task.stage, Stage::Stopping(_)) {
            return;
        }
        match result {
            Ok(()) => {
                task.stage = Stage::Held;
                let peer = task.lease.and_then(|lease| self.peer_of(lease));
                if let Some(peer) = peer {
                    peer.report(TaskReport::Started(claim.clone()));
                }
                self.colocation.task_started();
                self.extend(&claim.task);
                self.tell_state();
            }
            Err(Error::Refused(Refusal::LeaseEnded)) => self.finish(claim, End::NeverStarted),
            // The next list tells whether it runs.
            Err(Error::Unknown(_) | Error::Refused(Refusal::AlreadyHeld)) => {
                if let Stage::Starting(until) = task.stage {
                    task.stage = Stage::StartUnknown(until);
                }
            }
            Err(Error::Refused(_) | Error::Unsent(_)) => self.finish(claim, End::Failed(Code::TaskStartFailed)),
        }
    }

    fn on_ordered(&mut self, claim: &ClaimId, order: Order, result: Result<Status, Error>) {
        let Some(task) = self.tasks.get_mut(&claim.task).filter(|task| task.epoch == claim.epoch) else { return };
        let is_stopped = match result {
            Ok(status) => {
                task.observe(&status);
                if order == Order::Checkpoint {
                    self.keep(claim, status.progress_ms);
                }
                order == Order::Stop
            }
            Err(Error::Refused(Refusal::UnknownTask)) => order == Order::Stop,
            Err(error) => {
                log::debug!(event = "order_failed", task:% = claim.task, order:? = order, error:% = error; "");
                false
            }
        };
        if is_stopped {
            self.finish_stopped(claim);
        }
    }

    /// Reports progress that the platform has kept.
    fn keep(&mut self, claim: &ClaimId, progress: Duration) {
        let Some(task) = self.tasks.get_mut(&claim.task).filter(|task| task.kept < progress) else { return };
        let Some(peer) = task.lease.and_then(|lease| self.peers.values().find(|peer| peer.lease == Some(lease))) else {
            return;
        };
        task.kept = progress;
        peer.report(TaskReport::Checkpoint { claim: claim.clone(), progress_ms: millis(progress) });
    }

    fn finish_stopped(&mut self, claim: &ClaimId) {
        let Some(task) = self.tasks.get(&claim.task) else { return };
        let end = match task.stage {
            // A stopped task resumes from the progress that was kept before.
            Stage::Stopping(end @ End::Evicted { code: Code::StoppedForLatency, .. }) => end,
            Stage::Stopping(End::Evicted { code, .. }) => End::Evicted { code, progress_ms: millis(task.progress) },
            Stage::Stopping(end) => end,
            _ => return,
        };
        // A task that completed before it was stopped has had its effect.
        let end = if task.state == TaskState::Complete { End::Completed } else { end };
        self.finish(claim, end);
    }

    /// Releases what a claim held, after the worker has confirmed that nothing of it is left.
    pub(super) fn finish(&mut self, claim: &ClaimId, end: End) {
        let Some(task) = self.tasks.remove(&claim.task) else { return };
        self.colocation.task_ended(&claim.task);
        self.reservations.release(&claim.task, claim.epoch, self.clock.now());
        self.end(claim.clone(), end, task.lease);
    }
}

fn reservation(status: &Status) -> Option<Reservation> {
    let claim = claim_of(status)?;
    Some(Reservation { task: claim.task, epoch: claim.epoch, resources: status.resources })
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
