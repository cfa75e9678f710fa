//! Choice of a worker for a task.
//!
//! A worker must fit the declared resources, by what its agent last reported and what has been proposed since. Among
//! a few workers drawn at random from those with enough free resources, the score prefers little interference with
//! the service there, room for what the kind is expected to use, and racks with few tasks of the kind. The agent has
//! the last word: a proposal may be declined.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::capacity::Resources;
use crate::code::Code;
use crate::collections::Map;
use crate::health::Health;
use crate::id::Name;
use crate::interference::Interference;
use crate::kind::KindId;
use crate::room::Rooms;
use crate::usage::Usage;

/// Workers drawn at random for one placement.
const SAMPLES: usize = 16;

/// Workers that may be avoided at the same time, in thousandths of all.
const AVOIDED_MAX_PERMILLE: usize = 200;

/// Workers on which a job fails without a success elsewhere before its failures no longer count against workers.
const JOB_SUSPECT_WORKERS: usize = 3;

/// Avoided workers that are remembered after they have left.
const DEPARTED_MAX: usize = 1024;

/// Weight in the score of one task of the same kind in the same rack.
const RACK_WEIGHT: f64 = 0.02;

/// Weight in the score of a worker that is expected to be full.
const HEADROOM_WEIGHT: f64 = 0.25;

/// Weight in the score of request latency over its target.
const PRESSURE_WEIGHT: f64 = 2.0;

/// What is known of a worker when its agent links up.
#[derive(Clone, Debug)]
pub struct WorkerInfo {
    /// Name of the worker.
    pub name: Name,
    /// Rack that it stands in.
    pub rack: Name,
    /// Resources of the whole worker.
    pub capacity: Resources,
    /// Service of the backend server beside the tasks.
    pub service: Option<KindId>,
}

/// State of a worker as its agent reports it.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// Resources that can still be reserved.
    pub free: Resources,
    /// Resources used, with the lag of the measurement.
    pub used: Resources,
    /// Part of the service's request slots that are in use, 0 to 1.
    pub request_load: f64,
    /// 99th percentile of request latency as a multiple of its target.
    pub latency_ratio: f64,
}

/// Task to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest {
    /// Kind of the work.
    pub kind: KindId,
    /// Resources that it reserves.
    pub resources: Resources,
}

/// Number of a worker within one fleet; reused after the worker has left.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct WorkerId(pub u32);

/// Resource for lack of which a task can never run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lacking {
    /// No worker has as many processors.
    Processors,
    /// No worker has as much memory.
    Memory,
    /// No worker has as many accelerators.
    Accelerators,
    /// Each is found on some worker, but not together on one.
    Combination,
}

/// Reason why a task wasn't placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementError {
    /// No worker has room now.
    NoRoom,
    /// No known worker could hold it even when empty.
    Impossible(Lacking),
}

impl PlacementError {
    /// Result code of the refusal.
    #[must_use]
    pub const fn code(self) -> Code {
        match self {
            Self::NoRoom => Code::ResourcesExhausted,
            Self::Impossible(_) => Code::Unschedulable,
        }
    }
}

#[derive(Debug)]
struct Worker {
    info: WorkerInfo,
    report: Report,
    /// Proposed and not yet answered; its sum with what is placed never exceeds `report.free` as known here.
    proposed: Resources,
    /// Usage expected of the tasks placed since the last report.
    expected: Resources,
    rack: usize,
    health: Health,
}

#[derive(Debug, Default)]
struct Rack {
    tasks: Map<KindId, u32>,
}

/// Failures of a job that hasn't succeeded anywhere.
#[derive(Debug, Default)]
struct JobRecord {
    succeeded: bool,
    /// Different workers on which it failed. At most [`JOB_SUSPECT_WORKERS`].
    failed_on: Vec<WorkerId>,
}

/// Workers known to one entry.
#[derive(Debug)]
pub struct Fleet {
    random: SmallRng,
    /// Indexed by `WorkerId`; empty places are listed in `vacant`.
    workers: Vec<Option<Worker>>,
    vacant: Vec<WorkerId>,
    ids: Map<Name, WorkerId>,
    racks: Vec<Rack>,
    rack_ids: Map<Name, usize>,
    rooms: Rooms,
    jobs: Map<Name, JobRecord>,
    /// Records of avoided workers that have left, so that leaving doesn't clear them. At most [`DEPARTED_MAX`].
    departed: Map<Name, Health>,
    complete: bool,
}

impl Fleet {
    /// Opens a fleet without workers.
    #[must_use]
    pub fn open(seed: u64) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
            workers: Vec::new(),
            vacant: Vec::new(),
            ids: Map::default(),
            racks: Vec::new(),
            rack_ids: Map::default(),
            rooms: Rooms::default(),
            jobs: Map::default(),
            departed: Map::default(),
            complete: false,
        }
    }

    /// Says whether the known workers are all there are; until then no task is called impossible.
    pub const fn set_complete(&mut self, complete: bool) {
        self.complete = complete;
    }

    /// Adds a worker, or replaces what was known of it.
    pub fn join(&mut self, info: WorkerInfo, report: Report) -> WorkerId {
        let rack = self.rack_id(&info.rack);
        let known = self.ids.get(&info.name).copied();
        let id = known.unwrap_or_else(|| self.vacant_id());
        self.ids.insert(Name::clone(&info.name), id);
        let departed = self.departed.remove(&info.name);
        let health = self.worker(id).map(|worker| worker.health).or(departed).unwrap_or_default();
        self.workers[id.0 as usize] =
            Some(Worker { info, report, proposed: Resources::default(), expected: Resources::default(), rack, health });
        self.index(id);
        id
    }

    /// Removes a worker; its tasks are dealt with by their leases.
    pub fn leave(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get_mut(id.0 as usize).and_then(Option::take) else {
            return;
        };
        self.ids.remove(&worker.info.name);
        if worker.health.is_suspect() && self.departed.len() < DEPARTED_MAX {
            self.departed.insert(worker.info.name, worker.health.returned());
        }
        self.rooms.remove(id);
        self.vacant.push(id);
    }

    /// Number of a worker.
    #[must_use]
    pub fn id(&self, name: &str) -> Option<WorkerId> {
        self.ids.get(name).copied()
    }

    /// Name of a worker.
    #[must_use]
    pub fn name(&self, id: WorkerId) -> Option<&Name> {
        self.worker(id).map(|worker| &worker.info.name)
    }

    /// Number of workers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Tells whether there is no worker.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Resources believed to be free on a worker.
    #[must_use]
    pub fn free(&self, id: WorkerId) -> Resources {
        self.worker(id).map(Worker::free).unwrap_or_default()
    }

    /// Notes an agent's report.
    pub fn report(&mut self, id: WorkerId, report: Report) {
        if let Some(worker) = self.worker_mut(id) {
            worker.report = report;
            worker.expected = Resources::default();
            self.index(id);
        }
    }

    /// Chooses a worker and notes the proposal there.
    ///
    /// # Errors
    ///
    /// Tells whether there is no room now, or could never be on any known worker.
    pub fn place(
        &mut self,
        want: &PlacementRequest,
        interference: &Interference,
        usage: &Usage,
        now: Duration,
    ) -> Result<WorkerId, PlacementError> {
        let best = self.best_of_sample(want, interference, usage, now).or_else(|| self.first_that_fits(want, now));
        let Some(id) = best else {
            return Err(self.why_not(want));
        };
        self.propose(id, want, &usage.expected(want.kind, &want.resources));
        Ok(id)
    }

    /// Notes that the agent has admitted a proposal.
    pub fn admitted(&mut self, id: WorkerId, want: &PlacementRequest) {
        self.answer(id, want, |worker| {
            worker.report.free = worker.report.free.checked_sub(&want.resources).unwrap_or_default();
        });
    }

    /// Notes that the agent has declined a proposal, with what is free there, or that it was withdrawn.
    pub fn declined(&mut self, id: WorkerId, want: &PlacementRequest, free: Option<Resources>) {
        self.answer(id, want, |worker| {
            worker.health.withdrawn();
            worker.report.free = free.unwrap_or(worker.report.free);
        });
        self.leave_rack(id, want.kind);
    }

    /// Notes a task that ran already when the shard was taken over; the agent's report includes it.
    pub fn adopted(&mut self, id: WorkerId, kind: KindId) {
        if let Some(rack) = self.worker(id).map(|worker| worker.rack) {
            *self.racks[rack].tasks.entry(kind).or_default() += 1;
        }
    }

    /// Notes the end of a task that tells nothing about the worker: it was evicted or cancelled.
    pub fn withdrawn(&mut self, id: WorkerId, want: &PlacementRequest) {
        self.ended(id, want, Health::withdrawn);
    }

    /// Notes that a task completed.
    pub fn succeeded(&mut self, id: WorkerId, want: &PlacementRequest, job: &Name) {
        if let Some(record) = self.jobs.get_mut(job) {
            record.succeeded = true;
            record.failed_on.clear();
        }
        self.ended(id, want, Health::succeeded);
    }

    /// Notes that a task failed; a job that has failed on several workers and succeeded on none takes the blame itself.
    pub fn failed(&mut self, id: WorkerId, want: &PlacementRequest, job: &Name, now: Duration) {
        let record = self.jobs.entry(Name::clone(job)).or_default();
        let job_is_suspect = !record.succeeded && record.failed_on.len() >= JOB_SUSPECT_WORKERS;
        if !record.succeeded && !job_is_suspect && !record.failed_on.contains(&id) {
            record.failed_on.push(id);
        }
        let may_avoid = self.may_avoid_another();
        self.ended(id, want, |health| {
            if job_is_suspect || (!health.is_suspect() && !may_avoid) { health.withdrawn() } else { health.failed(now) }
        });
    }

    /// Forgets a job that has ended.
    pub fn forget_job(&mut self, job: &Name) {
        self.jobs.remove(job);
    }

    /// Tells whether some known worker could hold the resources when empty.
    #[must_use]
    pub fn could_hold(&self, resources: &Resources) -> bool {
        self.workers.iter().flatten().any(|worker| worker.info.capacity.covers(resources))
    }

    /// Worker whose agent should keep room for a task that has found none for long: the one that lacks least.
    #[must_use]
    pub fn to_earmark(&self, resources: &Resources, now: Duration) -> Option<WorkerId> {
        let mut best: Option<(f64, WorkerId)> = None;
        for (number, worker) in self.workers.iter().enumerate() {
            let Some(worker) = worker.as_ref().filter(|worker| worker.info.capacity.covers(resources)) else {
                continue;
            };
            let lacking = worker.lacking(resources);
            if worker.health.is_open(now) && best.is_none_or(|(other, _)| lacking < other) {
                best = Some((lacking, WorkerId(u32::try_from(number).unwrap_or(u32::MAX))));
            }
        }
        best.map(|(_, id)| id)
    }

    fn worker(&self, id: WorkerId) -> Option<&Worker> {
        self.workers.get(id.0 as usize)?.as_ref()
    }

    fn worker_mut(&mut self, id: WorkerId) -> Option<&mut Worker> {
        self.workers.get_mut(id.0 as usize)?.as_mut()
    }

    fn vacant_id(&mut self) -> WorkerId {
        if let Some(id) = self.vacant.pop() {
            return id;
        }
        self.workers.push(None);
        WorkerId(u32::try_from(self.workers.len() - 1).unwrap_or(u32::MAX))
    }

    fn rack_id(&mut self, rack: &Name) -> usize {
        if let Some(id) = self.rack_ids.get(rack) {
            return *id;
        }
        self.racks.push(Rack::default());
        self.rack_ids.insert(Name::clone(rack), self.racks.len() - 1);
        self.racks.len() - 1
    }

    fn index(&mut self, id: WorkerId) {
        let free = self.free(id);
        self.rooms.set(id, &free);
    }

    fn propose(&mut self, id: WorkerId, want: &PlacementRequest, expected: &Resources) {
        let Some(worker) = self.worker_mut(id) else { return };
        worker.proposed = worker.proposed.checked_add(&want.resources).unwrap_or(worker.proposed);
        worker.expected = worker.expected.checked_add(expected).unwrap_or(worker.expected);
        worker.health.placed();
        let rack = worker.rack;
        *self.racks[rack].tasks.entry(want.kind).or_default() += 1;
        self.index(id);
    }

    fn answer(&mut self, id: WorkerId, want: &PlacementRequest, change: impl FnOnce(&mut Worker)) {
        let Some(worker) = self.worker_mut(id) else { return };
        worker.proposed = worker.proposed.checked_sub(&want.resources).unwrap_or_default();
        change(worker);
        self.index(id);
    }

    fn ended(&mut self, id: WorkerId, want: &PlacementRequest, change: impl FnOnce(&mut Health)) {
        let Some(worker) = self.worker_mut(id) else { return };
        change(&mut worker.health);
        let free = worker.report.free.checked_add(&want.resources);
        worker.report.free = free.filter(|free| worker.info.capacity.covers(free)).unwrap_or(worker.report.free);
        self.leave_rack(id, want.kind);
        self.index(id);
    }

    fn leave_rack(&mut self, id: WorkerId, kind: KindId) {
        let Some(rack) = self.worker(id).map(|worker| worker.rack) else { return };
        if let Some(count) = self.racks[rack].tasks.get_mut(&kind) {
            *count = count.saturating_sub(1);
        }
    }

    fn may_avoid_another(&self) -> bool {
        let avoided = self.workers.iter().flatten().filter(|worker| worker.health.is_suspect()).count();
        (avoided + 1) * 1000 <= self.len() * AVOIDED_MAX_PERMILLE
    }

    fn best_of_sample(
        &mut self,
        want: &PlacementRequest,
        interference: &Interference,
        usage: &Usage,
        now: Duration,
    ) -> Option<WorkerId> {
        let drawn = self.rooms.draw::<SAMPLES>(&want.resources, |bound| self.random.random_range(0..bound));
        let expected = usage.expected(want.kind, &want.resources);
        let mut best: Option<(f64, WorkerId)> = None;
        for id in drawn.into_iter().flatten() {
            let Some(worker) = self.worker(id).filter(|worker| worker.accepts(&want.resources, now)) else { continue };
            let score = self.score(worker, want, &expected, interference, now);
            if best.is_none_or(|(other, _)| score < other) {
                best = Some((score, id));
            }
        }
        best.map(|(_, id)| id)
    }

    /// Expected cost of a placement; less is better.
    fn score(
        &self,
        worker: &Worker,
        want: &PlacementRequest,
        expected: &Resources,
        learnt: &Interference,
        now: Duration,
    ) -> f64 {
        let slowdown = worker.info.service.map_or(0.0, |service| learnt.expected(service, want.kind, now));
        let in_rack = self.racks[worker.rack].tasks.get(&want.kind).copied().unwrap_or(0);
        let over_target = (worker.report.latency_ratio - 1.0).max(0.0);
        slowdown * worker.report.request_load
            + over_target * PRESSURE_WEIGHT
            + worker.load_with(expected) * HEADROOM_WEIGHT
            + f64::from(in_rack) * RACK_WEIGHT
    }

    fn first_that_fits(&self, want: &PlacementRequest, now: Duration) -> Option<WorkerId> {
        let fits = |id: &WorkerId| self.worker(*id).is_some_and(|worker| worker.accepts(&want.resources, now));
        self.rooms.candidates(&want.resources).find(fits)
    }

    fn why_not(&self, want: &PlacementRequest) -> PlacementError {
        if !self.complete || self.could_hold(&want.resources) {
            return PlacementError::NoRoom;
        }
        let any = |part: Resources| self.could_hold(&part);
        let needed = want.resources;
        let lacking = if !any(Resources { processor_millicores: needed.processor_millicores, ..Resources::default() }) {
            Lacking::Processors
        } else if !any(Resources { memory_bytes: needed.memory_bytes, ..Resources::default() }) {
            Lacking::Memory
        } else if !any(Resources { accelerators: needed.accelerators, ..Resources::default() }) {
            Lacking::Accelerators
        } else {
            Lacking::Combination
        };
        PlacementError::Impossible(lacking)
    }
}

impl Worker {
    fn free(&self) -> Resources {
        self.report.free.checked_sub(&self.proposed).unwrap_or_default()
    }

    fn accepts(&self, resources: &Resources, now: Duration) -> bool {
        self.free().covers(resources) && self.health.is_open(now)
    }

    /// Largest part of any resource that isn't free yet, 0 to 1.
    #[expect(clippy::cast_precision_loss, reason = "sizes stay far below 2^53")]
    fn lacking(&self, resources: &Resources) -> f64 {
        let free = self.free();
        let part = |free: u64, needed: u64| needed.saturating_sub(free) as f64 / needed.max(1) as f64;
        let processors = part(free.processor_millicores, resources.processor_millicores);
        let memory = part(free.memory_bytes, resources.memory_bytes);
        let accelerators = part(u64::from(free.accelerators), u64::from(resources.accelerators));
        processors.max(memory).max(accelerators)
    }

    /// Part of the processors or of the memory, whichever is fuller, that would be in use with the task, 0 to 1.
    #[expect(clippy::cast_precision_loss, reason = "sizes stay far below 2^53")]
    fn load_with(&self, expected: &Resources) -> f64 {
        let part = |used: u64, all: u64| used as f64 / all.max(1) as f64;
        let all = &self.info.capacity;
        let used = self.report.used.checked_add(&self.expected).and_then(|used| used.checked_add(expected));
        let used = used.unwrap_or(*all);
        let processors = part(used.processor_millicores, all.processor_millicores);
        let memory = part(used.memory_bytes, all.memory_bytes);
        processors.max(memory).clamp(0.0, 1.0)
    }
}
