//! Leases that cover the tasks of a worker.

use std::time::Duration;

use chervilledge_link::task::{ClaimId, TaskReport};
use chervilledge_policy::collections::Map;
use chervilledge_policy::id::BootId;
use chervilledge_policy::lease::{Holder, Phase, RenewalRequest};
use chervilledge_policy::task::TaskId;
use chervilledge_worker::runtime::TaskState;

use crate::agent::tasks::calls::Order;
use crate::agent::tasks::held::{Handover, Stage};
use crate::agent::tasks::{REPEAT_INTERVAL, State};

impl State {
    /// Asks entries for renewals that are due, and forgets leases that nothing depends on.
    pub(super) fn keep_leases(&mut self, now: Duration) {
        for peer in self.peers.values() {
            let Some(lease) = peer.lease else { continue };
            let Some(holder) = self.holders.get_mut(&lease).filter(|holder| holder.is_renewal_due(now)) else {
                continue;
            };
            let ask = holder.request_renewal(now);
            peer.report(TaskReport::Ask { lease, ask });
        }
        let known: Vec<BootId> = self.peers.values().filter_map(|peer| peer.lease).collect();
        let tasks = &self.tasks;
        self.holders.retain(|lease, _| known.contains(lease) || tasks.values().any(|task| task.lease == Some(*lease)));
        let oldest = now.saturating_sub(self.settings.lease.length * 4);
        self.reservations.prune_fences(oldest);
    }

    pub(super) fn on_granted(&mut self, lease: BootId, ask: RenewalRequest) {
        let now = self.clock.now();
        let Some(holder) = self.holders.get_mut(&lease) else { return };
        let had_ended = holder.phase(now) == Phase::Ended;
        holder.granted(ask);
        let covered: Vec<TaskId> =
            self.tasks.iter().filter(|(_, task)| task.lease == Some(lease)).map(|(id, _)| id.clone()).collect();
        for id in covered {
            if had_ended {
                // The claim may have ended meanwhile, so that the table is asked before the task goes on.
                self.uncover(&id);
            } else {
                self.extend(&id);
            }
        }
    }

    fn uncover(&mut self, id: &TaskId) {
        if let Some(task) = self.tasks.get_mut(id) {
            task.lease = None;
        }
    }

    /// Tells the worker the end of the lease that covers a task, and lets the task go on if it was suspended.
    pub(super) fn extend(&mut self, id: &TaskId) {
        let Some(task) = self.tasks.get_mut(id).filter(|task| task.stage == Stage::Held) else { return };
        let until = task.lease.and_then(|lease| self.holders.get(&lease)).and_then(Holder::valid_until);
        let Some(until) = until.filter(|until| self.clock.now() < *until) else { return };
        let claim = ClaimId { task: id.clone(), epoch: task.epoch };
        self.calls.order(&claim, Order::Renew(until));
        if matches!(task.state, TaskState::Lapsed | TaskState::Suspended) {
            self.calls.order(&claim, Order::Resume);
        }
    }

    /// Keeps checkpoints ahead of the ends of leases, and looks for another entry when a lease ends.
    pub(super) fn keep_tasks(&mut self, now: Duration) {
        let ids: Vec<TaskId> =
            self.tasks.iter().filter(|(_, task)| task.stage == Stage::Held).map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.keep_task(&id, now);
        }
    }

    fn keep_task(&mut self, id: &TaskId, now: Duration) {
        let Some(task) = self.tasks.get_mut(id) else { return };
        let phase = phase(&self.holders, task.lease, now);
        let claim = ClaimId { task: id.clone(), epoch: task.epoch };
        let interval = if phase == Phase::Valid {
            task.checkpoint_interval
        } else {
            task.checkpoint_interval.min(self.settings.lease.checkpoint_ahead)
        };
        if task.state == TaskState::Running && now >= task.checkpoint_asked + interval {
            task.checkpoint_asked = now;
            self.calls.order(&claim, Order::Checkpoint);
        }
        if phase == Phase::Ended && task.state == TaskState::Running && task.lease.is_some() {
            // The worker suspends the task by itself; this serves a worker whose clock has stopped.
            self.calls.order(&claim, Order::Suspend);
        }
        if phase != Phase::Valid {
            self.hand_over(&claim, now);
        }
    }

    /// Asks an entry that can be reached to cover a claim whose own entry can't.
    fn hand_over(&mut self, claim: &ClaimId, now: Duration) {
        let Some(task) = self.tasks.get(&claim.task) else { return };
        let is_waiting = task.handover.is_some_and(|handover| now < handover.asked + REPEAT_INTERVAL);
        if is_waiting || task.lease.is_some_and(|lease| self.peer_of(lease).is_some()) {
            return;
        }
        let valid = |lease: &BootId| phase(&self.holders, Some(*lease), now) == Phase::Valid;
        let Some(lease) = self.peers.values().filter_map(|peer| peer.lease).find(valid) else { return };
        let cover = RenewalRequest { agent: self.boot, sequence: self.next_cover };
        self.next_cover += 1;
        if let Some(peer) = self.peer_of(lease) {
            peer.report(TaskReport::Handover { claim: claim.clone(), cover });
        }
        if let Some(task) = self.tasks.get_mut(&claim.task) {
            // From now on the old lease no longer counts: the asked entry may have recorded itself already.
            task.lease = None;
            task.handover = Some(Handover { lease, cover, asked: now });
        }
    }
}

fn phase(holders: &Map<BootId, Holder>, lease: Option<BootId>, now: Duration) -> Phase {
    lease.and_then(|lease| holders.get(&lease)).map_or(Phase::Ended, |holder| holder.phase(now))
}
