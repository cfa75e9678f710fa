//! Commands of entries.

use std::time::Duration;

use chervilledge_link::task::{ClaimId, End, TaskCommand, TaskReport, TaskStart};
use chervilledge_policy::capacity::Resources;
use chervilledge_policy::id::{BootId, Name};
use chervilledge_policy::lease::{Holder, Phase, RenewalRequest};
use chervilledge_policy::reservation::{Admission, Fenced, Refusal, Reservation};
use chervilledge_worker::runtime::{Lease, Start};

use crate::agent::tasks::calls::{Call, Order};
use crate::agent::tasks::held::{Stage, Task};
use crate::agent::tasks::{START_LEASE, State};

impl State {
    pub(super) fn on_commands(&mut self, entry: BootId, commands: Vec<TaskCommand>) {
        let now = self.clock.now();
        for command in commands {
            match command {
                TaskCommand::Lease { lease, terms } => {
                    let Some(peer) = self.peers.get_mut(&entry) else { continue };
                    peer.lease = Some(lease);
                    let boot = self.boot;
                    self.holders.entry(lease).or_insert_with(|| Holder::open(terms, boot));
                    self.keep_leases(now);
                }
                TaskCommand::Granted { lease, ask } => self.on_granted(lease, ask),
                TaskCommand::Start(start) => self.on_start(entry, &start, now),
                TaskCommand::Cover { claim, lease, cover, traits } => {
                    if self.on_cover(&claim, lease, cover, now)
                        && let Some(task) = self.tasks.get_mut(&claim.task)
                    {
                        task.allow(&traits);
                    }
                }
                TaskCommand::Confirm { claim, agent } => self.on_confirm(entry, &claim, agent, now),
                TaskCommand::Stop(claim) => self.on_stop(&claim, now),
                TaskCommand::Settled(claim) => self.on_settled(&claim),
            }
        }
    }

    fn on_start(&mut self, entry: BootId, start: &TaskStart, now: Duration) {
        let claim = &start.claim;
        if self.unsettled.contains_key(claim) {
            return;
        }
        if self.has_completed_earlier(claim) {
            return self.refuse(entry, claim, start.agent, End::Completed, now);
        }
        match self.admit(start, now) {
            Ok(Admission::Reserved) => self.start(start, now),
            Ok(Admission::Duplicate) => {
                let is_held = self.tasks.get(&claim.task).is_some_and(|task| task.stage == Stage::Held);
                if let Some(peer) = self.peers.get(&entry).filter(|_| is_held) {
                    peer.report(TaskReport::Started(claim.clone()));
                }
            }
            Err(end) => {
                self.refuse(entry, claim, start.agent, end, now);
            }
        }
    }

    /// Returns whether an earlier epoch of the task completed on the worker, which no entry has settled yet.
    fn has_completed_earlier(&self, claim: &ClaimId) -> bool {
        self.unsettled.iter().any(|(earlier, unsettled)| {
            earlier.task == claim.task && earlier.epoch < claim.epoch && unsettled.end == End::Completed
        })
    }

    fn admit(&mut self, start: &TaskStart, now: Duration) -> Result<Admission, End> {
        let claim = &start.claim;
        let is_current = self.holders.get(&start.lease).is_some_and(|holder| holder.is_start_current(start.ask, now));
        if !is_current && self.reservations.epoch_of(&claim.task) != Some(claim.epoch) {
            return Err(End::NeverStarted);
        }
        if self.is_draining {
            return Err(End::Refused(Refusal::NoRoom { free: Resources::default() }));
        }
        let wanted = Reservation { task: claim.task.clone(), epoch: claim.epoch, resources: start.resources };
        self.reservations.reserve(&wanted, start.agent, now).map_err(End::Refused)
    }

    /// Ends a claim that isn't started, so that no copy of its start is obeyed later.
    /// Ends a claim that doesn't run here, towards the entry that asked.
    fn refuse(&mut self, entry: BootId, claim: &ClaimId, agent: BootId, end: End, now: Duration) {
        let lease = self.peers.get(&entry).and_then(|peer| peer.lease);
        match self.reservations.fence(&claim.task, claim.epoch, agent, now) {
            Fenced::NeverStarted => self.end(claim.clone(), end, lease),
            Fenced::Held(held) if held < claim.epoch => {
                self.calls.order(&ClaimId { task: claim.task.clone(), epoch: held }, Order::Stop);
                self.end(claim.clone(), end, lease);
            }
            Fenced::Unknown => self.end(claim.clone(), End::Gone, lease),
            // Its end is in the row by way of another entry: the one that asks finds it there.
            Fenced::Ended => {
                if let Some(peer) = self.peers.get(&entry) {
                    peer.report(TaskReport::Ended { claim: claim.clone(), end: End::Gone });
                }
            }
            // Its end is reported.
            Fenced::Held(_) => {}
        }
    }

    fn start(&mut self, start: &TaskStart, now: Duration) {
        let claim = start.claim.clone();
        let lease_end = self.holders.get(&start.lease).and_then(Holder::valid_until).unwrap_or(now);
        let until = lease_end.min(now + START_LEASE);
        self.tasks.insert(claim.task.clone(), Task::starting(start, now, until));
        let lease = Lease { lease_end_ms_from_now: Duration::ZERO, lease_end_monotonic_ms: Duration::ZERO };
        let start = Start {
            task: claim.task.to_string().into(),
            epoch: claim.epoch.0,
            kind: Name::clone(&start.kind),
            resources: start.resources,
            run_ms: start.run_ms,
            lease,
            checkpoint: (!start.progress_ms.is_zero()).then_some(start.progress_ms),
        };
        self.calls.push(Call::Start { claim, start: Box::new(start), until });
    }

    /// Takes in that another lease covers a claim; tells whether this was awaited.
    fn on_cover(&mut self, claim: &ClaimId, lease: BootId, cover: RenewalRequest, now: Duration) -> bool {
        let is_valid = self.holders.get(&lease).is_some_and(|holder| holder.phase(now) != Phase::Ended);
        let Some(task) = self.tasks.get_mut(&claim.task).filter(|task| task.epoch == claim.epoch) else { return false };
        let is_awaited = task.handover.is_some_and(|handover| handover.cover == cover && handover.lease == lease);
        if is_valid && is_awaited {
            task.handover = None;
            task.lease = Some(lease);
            self.extend(&claim.task);
        }
        is_valid && is_awaited
    }

    fn on_confirm(&mut self, entry: BootId, claim: &ClaimId, agent: BootId, now: Duration) {
        if let Some(task) = self.tasks.get(&claim.task).filter(|task| task.epoch == claim.epoch) {
            if let Some(peer) = self.peers.get(&entry).filter(|_| task.stage == Stage::Held) {
                peer.report(TaskReport::Started(claim.clone()));
            }
            return;
        }
        if self.unsettled.contains_key(claim) || !self.reservations.is_stock_taken() {
            return;
        }
        self.refuse(entry, claim, agent, End::NeverStarted, now);
    }

    fn on_stop(&mut self, claim: &ClaimId, now: Duration) {
        if !self.reservations.is_stock_taken() || self.unsettled.contains_key(claim) {
            return;
        }
        self.reservations.fence(&claim.task, claim.epoch, self.boot, now);
        match self.tasks.get_mut(&claim.task).filter(|task| task.epoch == claim.epoch) {
            Some(task) => {
                if !matches!(task.stage, Stage::Stopping(_)) {
                    task.stage = Stage::Stopping(End::Gone);
                    self.calls.order(claim, Order::Stop);
                }
            }
            None => self.end(claim.clone(), End::Gone, None),
        }
    }

    fn on_settled(&mut self, claim: &ClaimId) {
        self.reservations.acknowledge(&claim.task, claim.epoch, self.clock.now());
        if self.unsettled.remove(claim).is_some_and(|unsettled| unsettled.end == End::Completed) {
            self.calls.order(claim, Order::Forget);
        }
    }
}
