//! Runs on the workers: their progress, checkpoints and ends.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::job::{Job, Step, TaskId};
use chervilledge_cell::worker::{EndKind, StartOrder};
use chervilledge_policy::id::Name;
use rand::Rng;

use crate::STEP;
use crate::agent::Run;
use crate::ledger::representative;
use crate::support::name;
use crate::world::World;

/// Work between two checkpoints.
const CHECKPOINT_INTERVAL: Duration = Duration::from_millis(700);
/// Time after which one member of a gang saves later than the one before it.
const MEMBER_DELAY: Duration = Duration::from_millis(150);
/// Time for which a member waits for the others.
const GANG_WAIT: Duration = Duration::from_secs(3);
/// Time for which nothing may have disturbed a gang whose members may not wait in vain.
const CONTACT_TIME: Duration = Duration::from_secs(4);

/// Member of a gang's run: representative and number.
type GangRun = (TaskId, u64);

impl World {
    /// Creates a run as ordered.
    pub fn new_run(&self, order: &StartOrder) -> Run {
        let Some(step) = self.step(order.task) else { unreachable!("the job is known") };
        let job = self.job(order.task).expect("a job");
        let representative = representative(job, order.task);
        let key = u64::from(representative.key.index) << 32 | u64::from(representative.key.step);
        let usual_ms = u64::try_from(step.estimate.as_millis()).unwrap_or(u64::MAX);
        let time_ms = self.choices_of(order.task.job.0, key).random_range(usual_ms / 2..usual_ms * 5);
        Run {
            started: self.now,
            time: Duration::from_millis(time_ms),
            worked: Duration::from_millis(order.checkpoint.parse().unwrap_or(0)),
            saved: Arc::clone(&order.checkpoint),
            has_begun: false,
            stops_at: None,
        }
    }

    pub fn job(&self, task: TaskId) -> Option<&Job> {
        self.store.jobs.get(&task.job).map(|(job, _)| job)
    }

    pub fn step(&self, task: TaskId) -> Option<&Step> {
        self.job(task)?.step(task.key)
    }

    /// Lets runs go on, end, and lapse.
    pub fn advance_runs(&mut self) {
        self.lapse_runs();
        let present = self.gangs();
        let all: Vec<(Name, (TaskId, u64))> = self
            .agents
            .iter()
            .flat_map(|(agent, state)| state.running.keys().map(|run| (Arc::clone(agent), *run)))
            .collect();
        for (agent, run) in all {
            let end = self.advance_run(&agent, run, &present);
            if let Some(kind) = end {
                self.end_run(&agent, run, kind);
            }
        }
    }

    fn lapse_runs(&mut self) {
        let now = self.now;
        for agent in self.agents.values_mut() {
            if agent.grant.holds(now) {
                agent.lease_until = agent.lease_until.max(agent.grant.until);
            }
            if now < agent.lease_until {
                continue;
            }
            let lapsed: Vec<(TaskId, u64)> = agent.running.keys().copied().collect();
            for run in lapsed {
                agent.end(run, EndKind::Lapsed);
            }
            for end in &mut agent.ends {
                end.has_lapsed = true;
            }
        }
    }

    /// Runs of gangs of which every member is present and at work.
    fn gangs(&self) -> BTreeSet<GangRun> {
        let mut members: BTreeMap<GangRun, (u32, BTreeSet<&Name>)> = BTreeMap::new();
        for ((task, run), state) in self.agents.values().flat_map(|agent| &agent.running) {
            if state.stops_at.is_none()
                && let Some(job) = self.job(*task)
            {
                let (count, _) = members.entry((representative(job, *task), *run)).or_default();
                *count += 1;
            }
        }
        let is_whole = |gang: &GangRun, count: u32| self.step(gang.0).is_some_and(|step| step.count == count);
        members.iter().filter(|(gang, (count, _))| is_whole(gang, *count)).map(|(gang, _)| *gang).collect()
    }

    /// Lets a run go on for one step; returns how it ends, if it does.
    fn advance_run(&mut self, agent: &Name, key: (TaskId, u64), gangs: &BTreeSet<GangRun>) -> Option<EndKind> {
        let now = self.now;
        let job = self.store.jobs.get(&key.0.job).map(|(job, _)| job)?;
        let step = job.step(key.0.key)?;
        let run = self.agents.get_mut(agent)?.running.get_mut(&key)?;
        if let Some(stops_at) = run.stops_at {
            let has_stopped = now >= stops_at;
            if has_stopped && step.checkpointing && run.worked > Duration::ZERO {
                run.saved = checkpoint(run.worked);
                self.ledger.saved(job, key.0, &run.saved);
            }
            return has_stopped.then_some(EndKind::Stopped);
        }
        if step.gang && !gangs.contains(&(representative(job, key.0), key.1)) {
            let is_alone = !run.has_begun && now >= run.started + GANG_WAIT;
            if is_alone && run.started >= self.calm_since + CONTACT_TIME {
                let violation = format!("GANG: run {} of {} waited for the others in vain", key.1, key.0);
                self.violate(&violation);
            } else if run.has_begun {
                return Some(EndKind::Broken);
            }
            return is_alone.then_some(EndKind::Alone);
        }
        run.has_begun = true;
        run.worked += STEP;
        if step.checkpointing {
            let delay = if step.gang { MEMBER_DELAY * key.0.key.index } else { Duration::ZERO };
            let saves = run.worked.saturating_sub(delay).as_millis() / CHECKPOINT_INTERVAL.as_millis();
            let worked = CHECKPOINT_INTERVAL * u32::try_from(saves).unwrap_or(u32::MAX);
            let is_newer = run.saved.parse().unwrap_or(0) < worked.as_millis();
            if is_newer {
                run.saved = checkpoint(worked);
                self.ledger.saved(job, key.0, &run.saved);
            }
        }
        (!step.lasting && run.worked >= run.time).then_some(EndKind::Done)
    }

    fn end_run(&mut self, agent: &Name, run: (TaskId, u64), kind: EndKind) {
        let Some(state) = self.agents.get_mut(agent) else { return };
        state.end(run, kind);
        if kind == EndKind::Done {
            self.ledger.ended_done(run.0, run.1);
        }
    }
}

/// Checkpoint of a run that has worked for a time.
fn checkpoint(worked: Duration) -> Name {
    name(&worked.as_millis().to_string())
}
