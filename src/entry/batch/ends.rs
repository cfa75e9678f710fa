//! Ends of claims that agents don't report: cancellation, the end of a lease, commands without an answer.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_link::task::TaskCommand;
use chervilledge_policy::code::Code;
use chervilledge_policy::id::Name;
use chervilledge_policy::task::{Change, TaskId};

use crate::entry::batch::State;
use crate::entry::batch::claims::Stage;
use crate::entry::batch::explain::What;
use crate::entry::batch::steps::Step;

impl State {
    /// Cancels what a job's row says is cancelled.
    pub(super) fn cancel(&mut self, job: &Name) {
        let Some(record) = self.jobs.get(job).cloned() else { return };
        let waiting = self.queue.cancel_matching(|task| task.job == record.row.id && record.is_cancelled(task.index));
        for task in waiting {
            let epoch = self.known.remove(&task).map_or(record.task(0).row.epoch, |(known, _)| known.row.epoch);
            self.history.note(self.now(), &task, epoch, What::Cancelled, None, Some(Code::Cancelled));
            self.count_end(&task);
        }
        let running: Vec<TaskId> = self
            .claims
            .iter()
            .filter(|(task, held)| task.job == *job && record.is_cancelled(task.index) && !held.is_ending())
            .map(|(task, _)| task.clone())
            .collect();
        for task in running {
            if let Some(held) = self.claims.get_mut(&task) {
                held.job = Arc::clone(&record);
            }
            self.step(&task, Step { code: Some(Code::Cancelled), ..Step::of(Change::Cancel) });
        }
    }

    /// Ends claims whose lease has surely ended: this entry's by its agents, other entries' after a takeover.
    pub(super) fn expire_claims(&mut self, now: Duration) {
        if self.context.platform.is_away() {
            return;
        }
        self.bar_silent(now);
        let own: Vec<TaskId> = self
            .claims
            .iter()
            .filter(|(_, held)| matches!(held.stage, Stage::Sent | Stage::Started) && !held.is_ending())
            .filter(|(_, held)| self.own.has_agent_ended(&held.worker, now))
            .map(|(task, _)| task.clone())
            .collect();
        for task in own {
            self.step(&task, Step { code: Some(Code::LeaseEnded), ..Step::of(Change::Expire) });
        }
        // Agents that are alive ask for a handover meanwhile, which keeps the work done so far.
        let grace = self.context.settings.lease.renew_every * 2;
        let others: Vec<TaskId> = self
            .known
            .iter()
            .filter_map(|(task, (record, _))| Some((task, record.row.state.claim()?)))
            .filter(|(_, claim)| self.lease_ended(claim.entry).is_some_and(|ended| now >= ended + grace))
            .map(|(task, _)| task.clone())
            .collect();
        for task in others {
            self.change_known(&task, Change::Expire);
        }
    }

    /// Bars agents that haven't asked for a whole lease, also on links that are open.
    ///
    /// An agent that asks while the table is away isn't silent: it goes on once its asks can be granted.
    fn bar_silent(&mut self, now: Duration) {
        let length = self.context.settings.lease.length;
        for (worker, agent) in &mut self.agents {
            if agent.asked.is_none_or(|asked| now < asked + length) {
                continue;
            }
            self.own.bar(worker);
            (agent.ask, agent.asked) = (None, None);
            if let Some(id) = agent.worker.take() {
                self.workers.leave(id);
            }
        }
    }

    /// Repeats commands that an agent hasn't answered.
    pub(super) fn repeat_commands(&mut self, now: Duration) {
        let interval = self.context.settings.lease.renew_every;
        let mut asked = Vec::new();
        for held in self.claims.values_mut() {
            if held.stage == Stage::Sent && now >= held.told + interval {
                held.told = now;
                asked.extend(held.confirm().map(|command| (Name::clone(&held.worker), command)));
            }
        }
        for (claim, (worker, told)) in &mut self.stops {
            if now >= *told + interval {
                *told = now;
                asked.push((Name::clone(worker), TaskCommand::Stop(claim.clone())));
            }
        }
        for (worker, command) in asked {
            self.send(&worker, command);
        }
        // A worker that isn't linked is told when its agent asks about the claim.
        self.stops.retain(|_, (worker, _)| self.agents.contains_key(worker));
    }
}
