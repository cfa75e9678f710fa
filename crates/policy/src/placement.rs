//! Choice of a worker for a task.
//!
//! A worker must fit the declared resources, judged by its agent's last report minus what has been proposed since.
//! Workers with enough free resources are sampled at random; the score prefers low interference with the colocated
//! service, headroom for the expected usage of the kind, and racks with few tasks of the kind. The agent decides: it
//! may decline a proposal.

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
use crate::room::FreeIndex;
use crate::usage::Usage;

/// Number of workers sampled for one placement.
const SAMPLE_SIZE: usize = 16;

/// Maximum share of workers avoided at the same time, in thousandths.
const AVOIDED_MAX_PERMILLE: usize = 200;

/// Number of workers on which a job must fail, without success on any, before its failures stop counting against
/// workers.
const JOB_SUSPECT_WORKERS: usize = 3;

/// Maximum number of avoided workers whose health records are kept after they leave.
const DEPARTED_MAX: usize = 1024;

/// Score weight of each task of the same kind in the same rack.
const RACK_WEIGHT: f64 = 0.02;

/// Score weight of the worker's expected load.
const HEADROOM_WEIGHT: f64 = 0.25;

/// Score weight of the request latency in excess of its target.
const LATENCY_WEIGHT: f64 = 2.0;

/// Static description of a worker, known once its agent connects.
#[derive(Clone, Debug)]
pub struct WorkerInfo {
    /// Name of the worker.
    pub name: Name,
    /// Rack of the worker.
    pub rack: Name,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Service of the backend server on the worker, if any.
    pub service: Option<KindId>,
}

/// State of a worker as reported by its agent.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// Resources available for reservation.
    pub free: Resources,
    /// Measured resource usage; lags behind the actual usage.
    pub used: Resources,
    /// Fraction of the service's request slots in use, 0 to 1.
    pub request_load: f64,
    /// 99th percentile of request latency as a multiple of its target.
    pub latency_ratio: f64,
}

/// Request to place a task.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest {
    /// Kind of the work.
    pub kind: KindId,
    /// Resources that the task reserves.
    pub resources: Resources,
}

/// Index of a worker within one fleet; reused after the worker leaves.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct WorkerId(pub u32);

/// Resource whose lack makes a task unschedulable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lacking {
    /// No worker has as many processors.
    Processors,
    /// No worker has as much memory.
    Memory,
    /// No worker has as many accelerators.
    Accelerators,
    /// Each resource is available on some worker, but no worker has all of them.
    Combination,
}

/// Reason that a task could not be placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementError {
    /// No worker has enough free resources now.
    NoRoom,
    /// The task exceeds the capacity of every known worker.
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
    /// Resources of proposals that the agent hasn't answered. Together with admitted tasks they never exceed the last
    /// known `report.free`.
    proposed: Resources,
    /// Expected usage of the tasks placed since the last report.
    expected: Resources,
    rack: usize,
    health: Health,
}

#[derive(Debug, Default)]
struct Rack {
    tasks: Map<KindId, u32>,
}

/// Placement history of a job, used to tell a faulty job from a faulty worker.
#[derive(Debug, Default)]
struct JobRecord {
    succeeded: bool,
    /// Distinct workers on which the job failed. At most [`JOB_SUSPECT_WORKERS`].
    failed_on: Vec<WorkerId>,
}

/// Workers known to one entry.
#[derive(Debug)]
pub struct Fleet {
    random: SmallRng,
    /// Indexed by `WorkerId`; unused indices are listed in `vacant_ids`.
    workers: Vec<Option<Worker>>,
    vacant_ids: Vec<WorkerId>,
    ids: Map<Name, WorkerId>,
    racks: Vec<Rack>,
    rack_ids: Map<Name, usize>,
    free_index: FreeIndex,
    jobs: Map<Name, JobRecord>,
    /// Health records of avoided workers that have left, so that rejoining doesn't reset them. At most
    /// [`DEPARTED_MAX`].
    departed: Map<Name, Health>,
    complete: bool,
}

impl Fleet {
    /// Creates an empty fleet.
    #[must_use]
    pub fn open(seed: u64) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
            workers: Vec::new(),
            vacant_ids: Vec::new(),
            ids: Map::default(),
            racks: Vec::new(),
            rack_ids: Map::default(),
            free_index: FreeIndex::default(),
            jobs: Map::default(),
            departed: Map::default(),
            complete: false,
        }
    }

    /// Sets whether all workers of the site are known; until then no task is reported as impossible.
    pub const fn set_complete(&mut self, complete: bool) {
        self.complete = complete;
    }

    /// Adds a worker, or replaces its description and report.
    pub fn join(&mut self, info: WorkerInfo, report: Report) -> WorkerId {
        let rack = self.rack_id(&info.rack);
        let known = self.ids.get(&info.name).copied();
        let id = known.unwrap_or_else(|| self.vacant_id());
        self.ids.insert(Name::clone(&info.name), id);
        let departed = self.departed.remove(&info.name);
        let health = self.worker(id).map(|worker| worker.health).or(departed).unwrap_or_default();
        self.workers[id.0 as usize] =
            Some(Worker { info, report, proposed: Resources::default(), expected: Resources::default(), rack, health });
        self.update_index(id);
        id
    }

    /// Removes a worker but doesn't change its tasks; the entry ends their claims once the leases have ended.
    pub fn leave(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get_mut(id.0 as usize).and_then(Option::take) else {
            return;
        };
        self.ids.remove(&worker.info.name);
        if worker.health.is_suspect() && self.departed.len() < DEPARTED_MAX {
            self.departed.insert(worker.info.name, worker.health.rejoined());
        }
        self.free_index.remove(id);
        self.vacant_ids.push(id);
    }

    /// Returns the identifier of a worker.
    #[must_use]
    pub fn id(&self, name: &str) -> Option<WorkerId> {
        self.ids.get(name).copied()
    }

    /// Returns the name of a worker.
    #[must_use]
    pub fn name(&self, id: WorkerId) -> Option<&Name> {
        self.worker(id).map(|worker| &worker.info.name)
    }

    /// Returns the number of workers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Returns whether the fleet has no workers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Returns the resources estimated to be free on a worker.
    #[must_use]
    pub fn free(&self, id: WorkerId) -> Resources {
        self.worker(id).map(Worker::free).unwrap_or_default()
    }

    /// Applies an agent's report.
    pub fn report(&mut self, id: WorkerId, report: Report) {
        if let Some(worker) = self.worker_mut(id) {
            worker.report = report;
            worker.expected = Resources::default();
            self.update_index(id);
        }
    }

    /// Chooses a worker and records the proposal.
    ///
    /// # Errors
    ///
    /// Returns whether no worker has room now, or none could ever hold the task.
    pub fn place(
        &mut self,
        request: &PlacementRequest,
        interference: &Interference,
        usage: &Usage,
        now: Duration,
    ) -> Result<WorkerId, PlacementError> {
        self.place_on(request, interference, usage, now, |_| true)
    }

    /// Chooses one of the workers whose names `is_allowed` accepts, and records the proposal.
    ///
    /// # Errors
    ///
    /// Returns whether none of them has room now, or no worker at all could ever hold the task.
    pub fn place_on(
        &mut self,
        request: &PlacementRequest,
        interference: &Interference,
        usage: &Usage,
        now: Duration,
        is_allowed: impl Fn(&Name) -> bool,
    ) -> Result<WorkerId, PlacementError> {
        let accepts = |worker: &Worker| worker.accepts(&request.resources, now) && is_allowed(&worker.info.name);
        let best = self
            .best_of_sample(request, interference, usage, now, accepts)
            .or_else(|| self.first_fit(request, accepts));
        let Some(id) = best else {
            return Err(self.placement_error(request));
        };
        self.propose(id, request, &usage.expected(request.kind, &request.resources));
        Ok(id)
    }

    /// Records that the agent admitted a proposal.
    pub fn admitted(&mut self, id: WorkerId, request: &PlacementRequest) {
        self.resolve_proposal(id, request, |worker| {
            worker.report.free = worker.report.free.checked_sub(&request.resources).unwrap_or_default();
        });
    }

    /// Records that the agent declined a proposal, with its free resources if reported, or that it was withdrawn.
    pub fn declined(&mut self, id: WorkerId, request: &PlacementRequest, free: Option<Resources>) {
        self.resolve_proposal(id, request, |worker| {
            worker.health.withdrawn();
            worker.report.free = free.unwrap_or(worker.report.free);
        });
        self.remove_from_rack(id, request.kind);
    }

    /// Records a task that was already running when the shard was taken over; the agent's report includes it.
    pub fn adopted(&mut self, id: WorkerId, kind: KindId) {
        if let Some(rack) = self.worker(id).map(|worker| worker.rack) {
            *self.racks[rack].tasks.entry(kind).or_default() += 1;
        }
    }

    /// Records the end of a task that was evicted or cancelled, which says nothing about the worker's health.
    pub fn withdrawn(&mut self, id: WorkerId, request: &PlacementRequest) {
        self.task_ended(id, request, Health::withdrawn);
    }

    /// Records that a task completed.
    pub fn succeeded(&mut self, id: WorkerId, request: &PlacementRequest, job: &Name) {
        if let Some(record) = self.jobs.get_mut(job) {
            record.succeeded = true;
            record.failed_on.clear();
        }
        self.task_ended(id, request, Health::succeeded);
    }

    /// Records that a task failed. The failure doesn't count against the worker if the job has failed on several
    /// workers and succeeded on none.
    pub fn failed(&mut self, id: WorkerId, request: &PlacementRequest, job: &Name, now: Duration) {
        let record = self.jobs.entry(Name::clone(job)).or_default();
        let job_is_suspect = !record.succeeded && record.failed_on.len() >= JOB_SUSPECT_WORKERS;
        if !record.succeeded && !job_is_suspect && !record.failed_on.contains(&id) {
            record.failed_on.push(id);
        }
        let may_avoid = self.may_avoid_another();
        self.task_ended(id, request, |health| {
            if job_is_suspect || (!health.is_suspect() && !may_avoid) { health.withdrawn() } else { health.failed(now) }
        });
    }

    /// Drops the record of a job that has ended.
    pub fn forget_job(&mut self, job: &Name) {
        self.jobs.remove(job);
    }

    /// Returns whether the total capacity of some known worker covers the resources.
    #[must_use]
    pub fn could_hold(&self, resources: &Resources) -> bool {
        self.workers.iter().flatten().any(|worker| worker.info.capacity.covers(resources))
    }

    /// Returns whether a worker that isn't avoided, and whose name `is_allowed` accepts, could hold the resources.
    #[must_use]
    pub fn could_hold_on(&self, resources: &Resources, now: Duration, is_allowed: impl Fn(&Name) -> bool) -> bool {
        let could_hold = |worker: &Worker| worker.info.capacity.covers(resources) && worker.health.is_open(now);
        self.workers.iter().flatten().any(|worker| could_hold(worker) && is_allowed(&worker.info.name))
    }

    /// Returns the worker on which to earmark room for a task that has long found none: the one with the smallest
    /// shortfall.
    #[must_use]
    pub fn earmark_candidate(&self, resources: &Resources, now: Duration) -> Option<WorkerId> {
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
        if let Some(id) = self.vacant_ids.pop() {
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

    fn update_index(&mut self, id: WorkerId) {
        let free = self.free(id);
        self.free_index.set(id, &free);
    }

    fn propose(&mut self, id: WorkerId, request: &PlacementRequest, expected: &Resources) {
        let Some(worker) = self.worker_mut(id) else { return };
        worker.proposed = worker.proposed.checked_add(&request.resources).unwrap_or(worker.proposed);
        worker.expected = worker.expected.checked_add(expected).unwrap_or(worker.expected);
        worker.health.placed();
        let rack = worker.rack;
        *self.racks[rack].tasks.entry(request.kind).or_default() += 1;
        self.update_index(id);
    }

    fn resolve_proposal(&mut self, id: WorkerId, request: &PlacementRequest, change: impl FnOnce(&mut Worker)) {
        let Some(worker) = self.worker_mut(id) else { return };
        worker.proposed = worker.proposed.checked_sub(&request.resources).unwrap_or_default();
        change(worker);
        self.update_index(id);
    }

    fn task_ended(&mut self, id: WorkerId, request: &PlacementRequest, change: impl FnOnce(&mut Health)) {
        let Some(worker) = self.worker_mut(id) else { return };
        change(&mut worker.health);
        let free = worker.report.free.checked_add(&request.resources);
        worker.report.free = free.filter(|free| worker.info.capacity.covers(free)).unwrap_or(worker.report.free);
        self.remove_from_rack(id, request.kind);
        self.update_index(id);
    }

    fn remove_from_rack(&mut self, id: WorkerId, kind: KindId) {
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
        request: &PlacementRequest,
        interference: &Interference,
        usage: &Usage,
        now: Duration,
        accepts: impl Fn(&Worker) -> bool,
    ) -> Option<WorkerId> {
        let sampled =
            self.free_index.sample::<SAMPLE_SIZE>(&request.resources, |bound| self.random.random_range(0..bound));
        let expected = usage.expected(request.kind, &request.resources);
        let mut best: Option<(f64, WorkerId)> = None;
        for id in sampled.into_iter().flatten() {
            let Some(worker) = self.worker(id).filter(|worker| accepts(worker)) else {
                continue;
            };
            let score = self.score(worker, request, &expected, interference, now);
            if best.is_none_or(|(other, _)| score < other) {
                best = Some((score, id));
            }
        }
        best.map(|(_, id)| id)
    }

    /// Returns the expected cost of a placement; lower is better.
    fn score(
        &self,
        worker: &Worker,
        request: &PlacementRequest,
        expected: &Resources,
        interference: &Interference,
        now: Duration,
    ) -> f64 {
        let slowdown = worker.info.service.map_or(0.0, |service| interference.expected(service, request.kind, now));
        let tasks_in_rack = self.racks[worker.rack].tasks.get(&request.kind).copied().unwrap_or(0);
        let over_target = (worker.report.latency_ratio - 1.0).max(0.0);
        slowdown * worker.report.request_load
            + over_target * LATENCY_WEIGHT
            + worker.load_with(expected) * HEADROOM_WEIGHT
            + f64::from(tasks_in_rack) * RACK_WEIGHT
    }

    fn first_fit(&self, request: &PlacementRequest, accepts: impl Fn(&Worker) -> bool) -> Option<WorkerId> {
        let fits = |id: &WorkerId| self.worker(*id).is_some_and(&accepts);
        self.free_index.candidates(&request.resources).find(fits)
    }

    fn placement_error(&self, request: &PlacementRequest) -> PlacementError {
        if !self.complete || self.could_hold(&request.resources) {
            return PlacementError::NoRoom;
        }
        let any = |amount: Resources| self.could_hold(&amount);
        let needed = request.resources;
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

    /// Returns the largest shortfall of any resource, as a fraction of the request, 0 to 1.
    #[expect(clippy::cast_precision_loss, reason = "sizes stay far below 2^53")]
    fn lacking(&self, resources: &Resources) -> f64 {
        let free = self.free();
        let fraction = |free: u64, needed: u64| needed.saturating_sub(free) as f64 / needed.max(1) as f64;
        let processors = fraction(free.processor_millicores, resources.processor_millicores);
        let memory = fraction(free.memory_bytes, resources.memory_bytes);
        let accelerators = fraction(u64::from(free.accelerators), u64::from(resources.accelerators));
        processors.max(memory).max(accelerators)
    }

    /// Returns the processor or memory load expected with the task, whichever is higher, 0 to 1.
    #[expect(clippy::cast_precision_loss, reason = "sizes stay far below 2^53")]
    fn load_with(&self, expected: &Resources) -> f64 {
        let fraction = |used: u64, all: u64| used as f64 / all.max(1) as f64;
        let all = &self.info.capacity;
        let used = self.report.used.checked_add(&self.expected).and_then(|used| used.checked_add(expected));
        let used = used.unwrap_or(*all);
        let processors = fraction(used.processor_millicores, all.processor_millicores);
        let memory = fraction(used.memory_bytes, all.memory_bytes);
        processors.max(memory).clamp(0.0, 1.0)
    }
}
