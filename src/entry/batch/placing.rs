//! Placement of queued tasks on workers: choice of a worker, claim and start.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_link::task::{TaskCommand, TaskStart};
use chervilledge_policy::code::Code;
use chervilledge_policy::collections::Map;
use chervilledge_policy::id::Name;
use chervilledge_policy::placement::{PlacementError, PlacementRequest, WorkerId};
use chervilledge_policy::queue::Item;
use chervilledge_policy::task::{Change, Claim, TaskId};

use crate::entry::batch::State;
use crate::entry::batch::claims::{Stage, TrackedTask};
use crate::entry::batch::explain::EventKind;
use crate::entry::batch::rows::{JobRecord, TaskRecord};
use crate::entry::batch::steps::Step;

/// Maximum number of tasks taken from the queue in one placement round.
const ROUND_TASKS_MAX: usize = 256;

/// Maximum number of tasks taken from the queue per call.
const QUEUE_BATCH_MAX: usize = 16;

/// Minimum time between two placement rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(10);

/// Number of unplaced tasks after which a round ends.
const UNPLACED_MAX: usize = 16;

/// Delay before an unplaced task is retried.
const UNPLACED_RETRY_DELAY: Duration = Duration::from_millis(250);

impl State {
    /// Takes tasks from the queue and claims them for workers.
    pub(super) fn place_tasks(&mut self) {
        let now = self.now();
        let may_place = self.own_lease.is_registered()
            && !self.own_lease.is_retiring()
            && !self.context.platform.is_away()
            && now >= self.place_at.max(self.last_placed + ROUND_INTERVAL);
        if !may_place || self.queue.is_empty() || self.workers.is_empty() {
            return;
        }
        self.workers.set_complete(self.is_fleet_complete(now));
        let in_flight =
            self.claims.values().filter(|tracked| matches!(tracked.stage, Stage::Claiming | Stage::Sent)).count();
        let mut remaining = self.context.settings.claims_in_flight_max.saturating_sub(in_flight).min(ROUND_TASKS_MAX);
        let mut running = self.running_by_team();
        let mut unplaced = 0;
        while remaining > 0 && unplaced < UNPLACED_MAX {
            let batch = self.queue.take_batch(now, remaining.min(QUEUE_BATCH_MAX));
            if batch.is_empty() {
                break;
            }
            remaining -= batch.len();
            for item in batch {
                unplaced += usize::from(!self.place_one(item, &mut running, now));
            }
        }
        self.last_placed = now;
        if unplaced >= UNPLACED_MAX {
            self.place_at = now + UNPLACED_RETRY_DELAY;
        }
    }

    /// Claims a task for a worker; returns `false` if the task stays queued and is retried after a delay.
    fn place_one(&mut self, item: Item, running: &mut Map<Name, u32>, now: Duration) -> bool {
        let Some(job) = self.jobs.get(&item.task.job).cloned() else {
            self.queue.release(&item.team, &item.resources);
            return true;
        };
        let (record, version) = match self.untracked.get(&item.task) {
            Some((record, version)) => (record.clone(), Some(*version)),
            None => (job.task(item.task.index), None),
        };
        let request = PlacementRequest { kind: self.kinds.id(&item.kind), resources: item.resources };
        if !self.may_run_another(&item.team, running) {
            let code = Code::QuotaTooSmall;
            self.history.add(now, &item.task, record.row.epoch, EventKind::NotPlaced, None, Some(code));
            self.queue.defer(item, now + UNPLACED_RETRY_DELAY);
            return false;
        }
        match self.choose_worker(&request, &record, now) {
            Ok(worker) => {
                *running.entry(Name::clone(&item.team)).or_default() += 1;
                self.claim(&item, worker, TrackedTask::open(record, version, job, Stage::Claiming, Name::from("")));
            }
            Err(error) => return self.on_unplaced(item, error, &record, job, now),
        }
        true
    }

    /// Returns whether the team's quota of running tasks allows one more.
    fn may_run_another(&self, team: &Name, running: &Map<Name, u32>) -> bool {
        let Ok(in_force) = self.context.enforced.in_force() else { return false };
        let quota = in_force.document.teams.get(team).map_or(0, |team| team.quota.running_tasks);
        running.get(team).copied().unwrap_or(0) + self.running_elsewhere(team) < quota
    }

    /// Chooses a worker on which the task hasn't failed; without one that could hold the task, any worker.
    fn choose_worker(
        &mut self,
        request: &PlacementRequest,
        record: &TaskRecord,
        now: Duration,
    ) -> Result<WorkerId, PlacementError> {
        let attempts = &record.row.attempts;
        let is_untried = |name: &Name| attempts.iter().all(|attempt| attempt.worker != *name);
        if !attempts.is_empty() && self.workers.could_hold_on(&request.resources, now, is_untried) {
            return self.workers.place_on(request, &self.interference, &self.usage, now, is_untried);
        }
        self.workers.place(request, &self.interference, &self.usage, now)
    }

    fn on_unplaced(
        &mut self,
        item: Item,
        error: PlacementError,
        record: &TaskRecord,
        job: Arc<JobRecord>,
        now: Duration,
    ) -> bool {
        let epoch = record.row.epoch;
        self.history.add(now, &item.task, epoch, EventKind::NotPlaced, None, Some(error.code()));
        match error {
            PlacementError::NoRoom => {
                self.queue.defer(item, now + UNPLACED_RETRY_DELAY);
                false
            }
            PlacementError::Impossible(_) => {
                self.queue.release(&item.team, &item.resources);
                let version = self.untracked.remove(&item.task).map(|(_, version)| version);
                let tracked = TrackedTask::open(record.clone(), version, job, Stage::Other, Name::from(""));
                self.claims.insert(item.task.clone(), tracked);
                self.add_step(&item.task, Step::new(Change::Reject(Code::Unschedulable)));
                true
            }
        }
    }

    fn claim(&mut self, item: &Item, worker: WorkerId, mut tracked: TrackedTask) {
        let Some(name) = self.workers.name(worker).cloned() else { return };
        let Some(agent) = self.agents.get(&name).map(|agent| agent.link.agent) else { return };
        tracked.worker = Name::clone(&name);
        tracked.is_charged = true;
        self.untracked.remove(&item.task);
        self.claims.insert(item.task.clone(), tracked);
        let claim = Claim { worker: name, agent, entry: self.own_lease.id() };
        self.add_step(&item.task, Step::new(Change::Claim(claim)));
    }

    /// Sends the start command of a task whose claim is recorded in the table.
    pub(super) fn send_start(&mut self, id: &TaskId, now: Duration) {
        let Some(tracked) = self.claims.get_mut(id) else { return };
        tracked.stage = Stage::Sent;
        tracked.last_sent = now;
        let worker = Name::clone(&tracked.worker);
        let claim_agent = tracked.record.row.state.claim().map(|claim| claim.agent);
        let agent = self.agents.get(&worker).filter(|agent| Some(agent.link.agent) == claim_agent);
        let Some((agent, ask)) = agent.and_then(|agent| Some((agent.link.agent, agent.renewal_request?))) else {
            // No start command was sent, so the task can't have started.
            self.add_step(id, Step { code: Some(Code::LinkClosed), ..Step::new(Change::Decline) });
            return;
        };
        let start = TaskStart {
            claim: tracked.claim(),
            kind: Name::clone(&tracked.job.row.kind),
            resources: tracked.job.row.declared,
            run_ms: tracked.job.row.run_time,
            progress_ms: tracked.record.progress_ms,
            traits: tracked.job.traits(),
            agent,
            lease: self.own_lease.id(),
            ask,
        };
        let (claim, epoch) = (start.claim.task.clone(), start.claim.epoch);
        self.own_lease.start_sent(&worker, now);
        self.send_command(&worker, TaskCommand::Start(Box::new(start)));
        self.history.add(now, &claim, epoch, EventKind::StartSent, Some(&worker), None);
    }

    /// Returns whether the known workers are assumed to be all workers.
    fn is_fleet_complete(&self, now: Duration) -> bool {
        if now >= self.started + self.context.settings.full_look_ms {
            return true;
        }
        let Ok(in_force) = self.context.enforced.in_force() else { return false };
        let shapes = in_force.document.sites.values().flat_map(|site| site.worker_shapes.values());
        let declared: usize = shapes.map(|shape| shape.workers as usize).sum();
        declared > 0 && self.workers.len() >= declared
    }
}
