//! Claim ends that agents don't report (cancellation, lease expiry), and commands that agents haven't answered.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_link::task::TaskCommand;
use chervilledge_policy::code::Code;
use chervilledge_policy::id::Name;
use chervilledge_policy::task::{Change, TaskId};

use crate::entry::batch::State;
use crate::entry::batch::claims::Stage;
use crate::entry::batch::explain::EventKind;
use crate::entry::batch::steps::Step;

impl State {
    /// Cancels the queued and running tasks that a job's row marks as cancelled.
    pub(super) fn cancel_tasks(&mut self, job: &Name) {
        let Some(record) = self.jobs.get(job).cloned() else { return };
        let waiting = self.queue.cancel_matching(|task| task.job == record.row.id && record.is_cancelled(task.index));
        for task in waiting {
            let epoch = self.untracked.remove(&task).map_or(record.task(0).row.epoch, |(record, _)| record.row.epoch);
            self.history.add(self.now(), &task, epoch, EventKind::Cancelled, None, Some(Code::Cancelled));
            self.count_ended_task(&task);
        }
        let running: Vec<TaskId> = self
            .claims
            .iter()
            .filter(|(task, tracked)| task.job == *job && record.is_cancelled(task.index) && !tracked.is_ending())
            .map(|(task, _)| task.clone())
            .collect();
        for task in running {
            if let Some(tracked) = self.claims.get_mut(&task) {
                tracked.job = Arc::clone(&record);
            }
            self.add_step(&task, Step { code: Some(Code::Cancelled), ..Step::new(Change::Cancel) });
        }
    }

    /// Expires claims whose lease has certainly ended: the agent's for own claims, else that of an entry taken over.
    pub(super) fn expire_claims(&mut self, now: Duration) {
        if self.context.platform.is_away() {
            return;
        }
        self.block_silent_agents(now);
        let expired_own: Vec<TaskId> = self
            .claims
            .iter()
            .filter(|(_, tracked)| matches!(tracked.stage, Stage::Sent | Stage::Started) && !tracked.is_ending())
            .filter(|(_, tracked)| self.own_lease.has_agent_ended(&tracked.worker, now))
            .map(|(task, _)| task.clone())
            .collect();
        for task in expired_own {
            self.add_step(&task, Step { code: Some(Code::LeaseEnded), ..Step::new(Change::Expire) });
        }
        // During this grace period live agents request handovers, which preserve the work done so far.
        let grace = self.context.settings.lease.renew_every * 2;
        let expired_others: Vec<TaskId> = self
            .untracked
            .iter()
            .filter_map(|(task, (record, _))| Some((task, record.row.state.claim()?)))
            .filter(|(_, claim)| self.lease_end(claim.entry).is_some_and(|ended| now >= ended + grace))
            .map(|(task, _)| task.clone())
            .collect();
        for task in expired_others {
            self.change_untracked(&task, Change::Expire);
        }
    }

    /// Blocks grants to agents that haven't requested a renewal for a full lease length, even if their link is open.
    ///
    /// An agent that requests renewals while the table is unavailable isn't silent; it continues once they are granted.
    fn block_silent_agents(&mut self, now: Duration) {
        let length = self.context.settings.lease.length;
        for (worker, agent) in &mut self.agents {
            if agent.last_requested.is_none_or(|requested| now < requested + length) {
                continue;
            }
            self.own_lease.block_grants(worker);
            (agent.renewal_request, agent.last_requested) = (None, None);
            if let Some(id) = agent.worker.take() {
                self.workers.leave(id);
            }
        }
    }

    /// Resends commands that agents haven't answered.
    pub(super) fn resend_commands(&mut self, now: Duration) {
        let interval = self.context.settings.lease.renew_every;
        let mut commands = Vec::new();
        for tracked in self.claims.values_mut() {
            if tracked.stage == Stage::Sent && now >= tracked.last_sent + interval {
                tracked.last_sent = now;
                commands.extend(tracked.confirm_command().map(|command| (Name::clone(&tracked.worker), command)));
            }
        }
        for (claim, (worker, last_sent)) in &mut self.pending_stops {
            if now >= *last_sent + interval {
                *last_sent = now;
                commands.push((Name::clone(worker), TaskCommand::Stop(claim.clone())));
            }
        }
        for (worker, command) in commands {
            self.send_command(&worker, command);
        }
        // An unlinked worker's agent is told to stop once it reports the claim to this entry.
        self.pending_stops.retain(|_, (worker, _)| self.agents.contains_key(worker));
    }
}
