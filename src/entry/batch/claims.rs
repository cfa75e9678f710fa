//! Claims that this entry's lease covers, and the writes that change tasks' rows.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_link::task::{ClaimId, TaskCommand};
use chervilledge_policy::code::Code;
use chervilledge_policy::id::Name;
use chervilledge_policy::lease::RenewalRequest;
use chervilledge_policy::placement::PlacementRequest;
use chervilledge_policy::shard::shard_of;
use chervilledge_policy::task::{Change, TaskId, TaskState};
use chervilledge_store::table::{Expect, Write};

use crate::entry::batch::explain::What;
use crate::entry::batch::rows::{JobRecord, TaskRecord, content, task_key};
use crate::entry::batch::steps::{Step, Written, ends, explain, next_record, put};
use crate::entry::batch::{Message, State};

/// Shortest and longest wait before a write that didn't reach the table is tried again.
const RETRY_WAIT_MS: std::ops::Range<u64> = 200..1_000;

/// Where a claim stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The claim is being written.
    Claiming,
    /// The start was sent.
    Sent,
    /// The agent has started the task, or holds it.
    Started,
    /// Another entry's claim, or none, about which this entry writes.
    Other,
}

/// Task about which this entry writes.
#[derive(Debug)]
pub struct Held {
    /// Row as last known.
    pub record: TaskRecord,
    /// Version of the row; none if there was no row.
    pub version: Option<u64>,
    /// Job of the task.
    pub job: Arc<JobRecord>,
    /// Where the claim stands.
    pub stage: Stage,
    /// Worker of the claim; empty without one.
    pub worker: Name,
    /// The team is charged for the task.
    pub is_charged: bool,
    /// When the agent was last sent a command about the claim.
    pub told: Duration,
    /// Steps that wait; the first is being written if `writing` is there.
    pub steps: VecDeque<Step>,
    /// Row that is being written.
    writing: Option<TaskRecord>,
    retry_at: Option<Duration>,
}

impl Held {
    /// Opens a claim about which nothing is written yet.
    #[must_use]
    pub fn open(record: TaskRecord, version: Option<u64>, job: Arc<JobRecord>, stage: Stage, worker: Name) -> Self {
        Self {
            record,
            version,
            job,
            stage,
            worker,
            is_charged: false,
            told: Duration::ZERO,
            steps: VecDeque::new(),
            writing: None,
            retry_at: None,
        }
    }

    /// Claim that the row names now.
    #[must_use]
    pub fn claim(&self) -> ClaimId {
        ClaimId { task: self.record.row.id.clone(), epoch: self.record.row.epoch }
    }

    /// Question whether the agent holds the claim.
    #[must_use]
    pub fn confirm(&self) -> Option<TaskCommand> {
        let agent = self.record.row.state.claim()?.agent;
        Some(TaskCommand::Confirm { claim: self.claim(), agent })
    }

    /// Tells whether a step that ends the claim waits.
    #[must_use]
    pub fn is_ending(&self) -> bool {
        self.steps.iter().any(|step| ends(&step.change))
    }
}

impl State {
    /// Adds a step to a task that is held, and writes it as soon as the steps before it are written.
    pub(super) fn step(&mut self, task: &TaskId, step: Step) {
        if let Some(held) = self.claims.get_mut(task) {
            held.steps.push_back(step);
            self.advance(task);
        }
    }

    /// Writes a change of a task that is known by its row only.
    pub(super) fn change_known(&mut self, task: &TaskId, change: Change) {
        let Some(job) = self.jobs.get(&task.job).cloned() else { return };
        let Some((record, version)) = self.known.remove(task) else { return };
        let worker = record.row.state.claim().map_or_else(|| Name::from(""), |claim| Name::clone(&claim.worker));
        let held = Held::open(record, Some(version), job, Stage::Other, worker);
        self.claims.insert(task.clone(), held);
        self.step(task, Step::of(change));
    }

    fn advance(&mut self, id: &TaskId) {
        let shard_count = self.context.settings.shard_count;
        let Some(held) = self.claims.get_mut(id).filter(|held| held.writing.is_none() && held.retry_at.is_none())
        else {
            return;
        };
        while let Some(step) = held.steps.front() {
            let Some(next) = next_record(&held.record, step) else {
                held.steps.pop_front();
                continue;
            };
            let expect = held.version.map_or(Expect::Absent, Expect::Version);
            let write = Write::put(task_key(id, shard_count), expect, serde_json::json!(next));
            held.writing = Some(next);
            let claim = held.claim();
            let (platform, commits) = (self.context.platform.clone(), self.commits.clone());
            self.run(async move { Message::Written { claim, written: put(&platform, &commits, write).await } });
            return;
        }
        if held.stage == Stage::Other {
            self.let_go(id);
        }
    }

    /// Tries writes again that didn't reach the table.
    pub(super) fn retry_writes(&mut self, now: Duration) {
        if self.context.platform.is_away() {
            return;
        }
        let due = self.claims.iter_mut().filter(|(_, held)| held.retry_at.is_some_and(|at| at <= now));
        let due: Vec<TaskId> = due
            .map(|(task, held)| {
                held.retry_at = None;
                task.clone()
            })
            .collect();
        for task in due {
            self.advance(&task);
        }
    }

    pub(super) fn on_written(&mut self, claim: &ClaimId, written: Written) {
        let now = self.now();
        let Some(held) = self.claims.get_mut(&claim.task).filter(|held| held.claim() == *claim) else { return };
        let Some(next) = held.writing.take() else { return };
        match written {
            Written::Done(version) => {
                let Some(step) = held.steps.pop_front() else { return };
                held.record = next;
                held.version = Some(version);
                self.after(claim, &step, now);
                self.advance(&claim.task);
            }
            Written::Row(row) => {
                self.counters.conflicts += 1;
                let current = row.and_then(|row| Some((content::<TaskRecord>(&row)?, row.version)));
                self.on_conflict(claim, current);
            }
            Written::Retry if held.stage == Stage::Claiming => self.withdraw(claim, now),
            Written::Retry => {
                let wait = Duration::from_millis(rand::random_range(RETRY_WAIT_MS));
                held.retry_at = Some(now + wait);
            }
        }
    }

    /// Does what follows from a change that is in the table.
    fn after(&mut self, claim: &ClaimId, step: &Step, now: Duration) {
        let Some(held) = self.claims.get(&claim.task) else { return };
        let (what, code) = explain(&step.change, step.code, &held.record);
        let worker = (!held.worker.is_empty()).then(|| Name::clone(&held.worker));
        if let Some(what) = what {
            self.history.note(now, &claim.task, claim.epoch, what, worker.as_ref(), code);
        }
        match &step.change {
            Change::Claim(_) => {
                self.counters.claims += 1;
                self.send_start(&claim.task, now);
            }
            Change::Adopt(_) => {
                self.counters.handovers += 1;
                self.cover(claim, step.cover, now);
            }
            Change::Start | Change::Checkpoint(_) => {}
            Change::Reject(_) | Change::Reconsider => self.let_go(&claim.task),
            change => {
                self.count(change);
                self.end_claim(claim, change);
            }
        }
    }

    fn count(&mut self, change: &Change) {
        match change {
            Change::Complete => self.counters.completions += 1,
            Change::Fail(_) => self.counters.failures += 1,
            Change::Evict(_) => self.counters.evictions += 1,
            Change::Expire => self.counters.expirations += 1,
            _ => {}
        }
    }

    /// Tells the agent that its handover is recorded.
    fn cover(&mut self, claim: &ClaimId, cover: Option<RenewalRequest>, now: Duration) {
        let Some(held) = self.claims.get_mut(&claim.task) else { return };
        held.stage = Stage::Started;
        held.told = now;
        let (worker, job) = (Name::clone(&held.worker), Arc::clone(&held.job));
        let is_claimed = matches!(held.record.row.state, TaskState::Claimed(_));
        if !std::mem::replace(&mut held.is_charged, true) {
            self.queue.charge(&job.row.team, &job.row.declared);
            if let Some(id) = self.agents.get(&worker).and_then(|agent| agent.worker) {
                let kind = self.kinds.id(&job.row.kind);
                self.workers.adopted(id, kind);
            }
        }
        self.own.start_sent(&worker, now);
        if let Some(cover) = cover {
            let traits = job.traits();
            self.send(&worker, TaskCommand::Cover { claim: claim.clone(), lease: self.own.id(), cover, traits });
        }
        if is_claimed {
            self.step(&claim.task, Step::of(Change::Start));
        }
    }

    /// Does what follows from the end of a claim.
    fn end_claim(&mut self, claim: &ClaimId, change: &Change) {
        let Some(held) = self.claims.get(&claim.task) else { return };
        let worker = Name::clone(&held.worker);
        let job = Arc::clone(&held.job);
        if held.is_charged {
            self.queue.release(&job.row.team, &job.row.declared);
            self.end_placement(&worker, &job, change);
        }
        match change {
            Change::Cancel | Change::Expire => {
                self.stops.insert(claim.clone(), (Name::clone(&worker), self.now()));
                self.send(&worker, TaskCommand::Stop(claim.clone()));
            }
            _ => self.send(&worker, TaskCommand::Settled(claim.clone())),
        }
        self.let_go(&claim.task);
    }

    fn end_placement(&mut self, worker: &str, job: &Arc<JobRecord>, change: &Change) {
        let Some(id) = self.agents.get(worker).and_then(|agent| agent.worker) else { return };
        let want = PlacementRequest { kind: self.kinds.id(&job.row.kind), resources: job.row.declared };
        match change {
            Change::Complete => self.workers.succeeded(id, &want, &job.row.id),
            Change::Fail(_) => {
                let now = self.now();
                self.workers.failed(id, &want, &job.row.id, now);
            }
            Change::Decline => self.workers.declined(id, &want, None),
            _ => self.workers.withdrawn(id, &want),
        }
        self.refresh_worker(worker);
        self.place_due = Duration::ZERO;
    }

    /// Takes a task out of this entry's hands, and gives it to the queue if it waits there.
    pub(super) fn let_go(&mut self, id: &TaskId) {
        let Some(held) = self.claims.remove(id) else { return };
        let job = Arc::clone(&held.job);
        let is_cancelled = job.is_cancelled(id.index) && held.record.row.state.claim().is_none();
        if held.record.is_final() || is_cancelled {
            self.known.remove(id);
            self.count_end(id);
            return;
        }
        let shard = shard_of(id, self.context.settings.shard_count);
        if !self.shards.owns(shard) {
            self.touched.insert((shard, Name::clone(&id.job)));
            return;
        }
        let is_queued = held.record.is_queued();
        if let Some(version) = held.version {
            self.known.insert(id.clone(), (held.record, version));
        }
        if is_queued {
            self.push(&job, id);
        }
    }

    /// Takes back a claim that never reached the table.
    fn withdraw(&mut self, claim: &ClaimId, now: Duration) {
        let Some(held) = self.claims.get(&claim.task) else { return };
        let (worker, job) = (Name::clone(&held.worker), Arc::clone(&held.job));
        self.queue.release(&job.row.team, &job.row.declared);
        self.end_placement(&worker, &job, &Change::Decline);
        let code = Some(Code::PlatformUnavailable);
        self.history.note(now, &claim.task, claim.epoch, What::NotPlaced, Some(&worker), code);
        self.place_due = now + Duration::from_millis(RETRY_WAIT_MS.start);
        self.let_go(&claim.task);
    }

    /// Drops a claim whose row has gone on to a later epoch by another entry's write.
    ///
    /// An agent tells any entry of a refusal or an end when it can't reach the one that holds the claim.
    pub(super) fn overtake(&mut self, task: &TaskId, row: &(TaskRecord, u64)) {
        let Some(held) = self.claims.get(task).filter(|held| held.writing.is_none()) else { return };
        if row.0.row.epoch > held.record.row.epoch {
            let claim = held.claim();
            self.on_conflict(&claim, Some(row.clone()));
        }
    }

    /// Goes on from the row as it is, after a write was lost to another one.
    fn on_conflict(&mut self, claim: &ClaimId, current: Option<(TaskRecord, u64)>) {
        let now = self.now();
        let lease = self.own.id();
        let Some(held) = self.claims.get_mut(&claim.task) else { return };
        let Some((record, version)) = current else {
            // A row is never deleted, so that the read was old.
            self.abandon(claim);
            return;
        };
        let is_same_claim = record.row.epoch == claim.epoch && record.row.state.claim().is_some();
        let is_own = is_same_claim && record.is_claimed_by(lease);
        let is_wanted = is_own || (is_same_claim && held.stage == Stage::Other);
        if held.stage == Stage::Claiming && is_own {
            // The claim is this entry's own: its write took effect although its outcome wasn't found out.
            (held.record, held.version) = (record, Some(version));
            held.steps.clear();
            self.send_start(&claim.task, now);
        } else if is_wanted && held.stage != Stage::Claiming {
            (held.record, held.version) = (record, Some(version));
            self.advance(&claim.task);
        } else {
            let worker = Name::clone(&held.worker);
            self.history.note(now, &claim.task, claim.epoch, What::WriteLost, Some(&worker), None);
            (held.record, held.version) = (record, Some(version));
            held.steps.clear();
            self.lose(claim);
        }
    }

    /// Drops a claim that the table no longer names.
    fn lose(&mut self, claim: &ClaimId) {
        let Some(held) = self.claims.get(&claim.task) else { return };
        let (worker, job) = (Name::clone(&held.worker), Arc::clone(&held.job));
        let is_to_stop = held.record.row.epoch > claim.epoch && held.stage != Stage::Claiming;
        if held.is_charged {
            self.queue.release(&job.row.team, &job.row.declared);
            self.end_placement(&worker, &job, &Change::Cancel);
        }
        if is_to_stop {
            self.stops.insert(claim.clone(), (Name::clone(&worker), self.context.clock.now()));
            self.send(&worker, TaskCommand::Stop(claim.clone()));
        }
        self.let_go(&claim.task);
    }

    /// Drops a claim whose row isn't known, and has it loaded again.
    fn abandon(&mut self, claim: &ClaimId) {
        let Some(held) = self.claims.remove(&claim.task) else { return };
        if held.is_charged {
            self.queue.release(&held.job.row.team, &held.job.row.declared);
            self.end_placement(&held.worker, &held.job, &Change::Cancel);
        }
        self.reload(&claim.task);
    }
}
