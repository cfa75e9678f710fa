//! From the queue to a worker: placement, claim and start.

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
use crate::entry::batch::claims::{Held, Stage};
use crate::entry::batch::explain::What;
use crate::entry::batch::rows::{JobRecord, TaskRecord};
use crate::entry::batch::steps::Step;

/// Tasks taken from the queue in one round.
const ROUND_MAX: usize = 256;

/// Tasks taken from the queue at once.
const BATCH_MAX: usize = 16;

/// Shortest time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(10);

/// Tasks without a place in a row after which a round ends.
const UNPLACED_MAX: usize = 16;

/// Time after which a task without a place is looked at again.
const UNPLACED_WAIT: Duration = Duration::from_millis(250);

/// Draws of a worker that the task hasn't failed on.
const DRAWS: usize = 8;

impl State {
    /// Takes tasks from the queue and claims them for workers.
    pub(super) fn place(&mut self) {
        let now = self.now();
        let may_place = self.own.is_registered()
            && !self.own.is_retiring()
            && !self.context.platform.is_away()
            && now >= self.place_due.max(self.placed + ROUND_INTERVAL);
        if !may_place || self.queue.is_empty() || self.workers.is_empty() {
            return;
        }
        self.workers.set_complete(self.is_fleet_complete(now));
        let in_flight = self.claims.values().filter(|held| matches!(held.stage, Stage::Claiming | Stage::Sent)).count();
        let mut room = self.context.settings.claims_in_flight_max.saturating_sub(in_flight).min(ROUND_MAX);
        let mut running = self.running();
        let mut unplaced = 0;
        while room > 0 && unplaced < UNPLACED_MAX {
            let batch = self.queue.take_batch(now, room.min(BATCH_MAX));
            if batch.is_empty() {
                break;
            }
            room -= batch.len();
            for item in batch {
                unplaced += usize::from(!self.place_one(item, &mut running, now));
            }
        }
        self.placed = now;
        if unplaced >= UNPLACED_MAX {
            self.place_due = now + UNPLACED_WAIT;
        }
    }

    /// Claims a task for a worker; tells whether it need not be looked at again soon.
    fn place_one(&mut self, item: Item, running: &mut Map<Name, u32>, now: Duration) -> bool {
        let Some(job) = self.jobs.get(&item.task.job).cloned() else {
            self.queue.release(&item.team, &item.resources);
            return true;
        };
        let (record, version) = match self.known.get(&item.task) {
            Some((record, version)) => (record.clone(), Some(*version)),
            None => (job.task(item.task.index), None),
        };
        let want = PlacementRequest { kind: self.kinds.id(&item.kind), resources: item.resources };
        if !self.may_run_another(&item.team, running) {
            let code = Code::QuotaTooSmall;
            self.history.note(now, &item.task, record.row.epoch, What::NotPlaced, None, Some(code));
            self.queue.defer(item, now + UNPLACED_WAIT);
            return false;
        }
        match self.choose(&want, &record, now) {
            Ok(worker) => {
                *running.entry(Name::clone(&item.team)).or_default() += 1;
                self.claim(&item, worker, Held::open(record, version, job, Stage::Claiming, Name::from("")));
            }
            Err(unplaced) => return self.leave_unplaced(item, unplaced, &record, job, now),
        }
        true
    }

    /// Tells whether the team's quota of running tasks leaves room for one more.
    fn may_run_another(&self, team: &Name, running: &Map<Name, u32>) -> bool {
        let Ok(in_force) = self.context.enforced.in_force() else { return false };
        let quota = in_force.document.teams.get(team).map_or(0, |team| team.quota.running_tasks);
        running.get(team).copied().unwrap_or(0) + self.running_elsewhere(team) < quota
    }

    /// Chooses a worker, one that the task hasn't failed on if there is any.
    fn choose(
        &mut self,
        want: &PlacementRequest,
        record: &TaskRecord,
        now: Duration,
    ) -> Result<WorkerId, PlacementError> {
        let mut drawn = Vec::new();
        let mut chosen = Err(PlacementError::NoRoom);
        for _ in 0..DRAWS {
            chosen = self.workers.place(want, &self.interference, &self.usage, now);
            let Ok(worker) = chosen else { break };
            let has_failed = |name: &Name| record.row.attempts.iter().any(|attempt| attempt.worker == *name);
            if !self.workers.name(worker).is_some_and(has_failed) {
                break;
            }
            drawn.push(worker);
            chosen = Err(PlacementError::NoRoom);
        }
        if chosen.is_err()
            && let Some(worker) = drawn.pop()
        {
            // Only workers are left on which it has failed before.
            chosen = Ok(worker);
        }
        for worker in drawn {
            self.workers.declined(worker, want, None);
        }
        chosen
    }

    fn leave_unplaced(
        &mut self,
        item: Item,
        unplaced: PlacementError,
        record: &TaskRecord,
        job: Arc<JobRecord>,
        now: Duration,
    ) -> bool {
        let epoch = record.row.epoch;
        self.history.note(now, &item.task, epoch, What::NotPlaced, None, Some(unplaced.code()));
        match unplaced {
            PlacementError::NoRoom => {
                self.queue.defer(item, now + UNPLACED_WAIT);
                false
            }
            PlacementError::Impossible(_) => {
                self.queue.release(&item.team, &item.resources);
                let version = self.known.remove(&item.task).map(|(_, version)| version);
                let held = Held::open(record.clone(), version, job, Stage::Other, Name::from(""));
                self.claims.insert(item.task.clone(), held);
                self.step(&item.task, Step::of(Change::Reject(Code::Unschedulable)));
                true
            }
        }
    }

    fn claim(&mut self, item: &Item, worker: WorkerId, mut held: Held) {
        let Some(name) = self.workers.name(worker).cloned() else { return };
        let Some(agent) = self.agents.get(&name).map(|agent| agent.link.agent) else { return };
        held.worker = Name::clone(&name);
        held.is_charged = true;
        self.known.remove(&item.task);
        self.claims.insert(item.task.clone(), held);
        let claim = Claim { worker: name, agent, entry: self.own.id() };
        self.step(&item.task, Step::of(Change::Claim(claim)));
    }

    /// Sends the start of a task whose claim is in the table.
    pub(super) fn send_start(&mut self, id: &TaskId, now: Duration) {
        let Some(held) = self.claims.get_mut(id) else { return };
        held.stage = Stage::Sent;
        held.told = now;
        let worker = Name::clone(&held.worker);
        let named = held.record.row.state.claim().map(|claim| claim.agent);
        let agent = self.agents.get(&worker).filter(|agent| Some(agent.link.agent) == named);
        let Some((agent, ask)) = agent.and_then(|agent| Some((agent.link.agent, agent.ask?))) else {
            // Nothing was sent, so that nothing can have started.
            self.step(id, Step { code: Some(Code::LinkClosed), ..Step::of(Change::Decline) });
            return;
        };
        let start = TaskStart {
            claim: held.claim(),
            kind: Name::clone(&held.job.row.kind),
            resources: held.job.row.declared,
            run_ms: held.job.row.run_time,
            progress_ms: held.record.progress_ms,
            traits: held.job.traits(),
            agent,
            lease: self.own.id(),
            ask,
        };
        let (claim, epoch) = (start.claim.task.clone(), start.claim.epoch);
        self.own.start_sent(&worker, now);
        self.send(&worker, TaskCommand::Start(Box::new(start)));
        self.history.note(now, &claim, epoch, What::StartSent, Some(&worker), None);
    }

    /// Tells whether the linked workers are all that there are, as far as can be known.
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
