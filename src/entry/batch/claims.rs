//! Tasks that this entry tracks, and the writes that change their rows.

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

use crate::entry::batch::explain::EventKind;
use crate::entry::batch::rows::{JobRecord, TaskRecord, decode_row, task_key};
use crate::entry::batch::steps::{Step, WriteResult, ends_claim, explanation, next_record, write_row};
use crate::entry::batch::{Message, State};

/// Range of the random delay before a write that didn't reach the table is retried.
const RETRY_WAIT_MS: std::ops::Range<u64> = 200..1_000;

/// State of a tracked claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The claim is being written.
    Claiming,
    /// The start command was sent.
    Sent,
    /// The agent has started the task, or has handed its claim over to this entry's lease.
    Started,
    /// Another entry's claim, or an unclaimed task, whose row this entry is changing.
    Other,
}

/// Task that this entry has claimed, or whose row it is changing.
#[derive(Debug)]
pub struct TrackedTask {
    /// Last known row.
    pub record: TaskRecord,
    /// Version of the row; `None` if the row didn't exist.
    pub version: Option<u64>,
    /// Job of the task.
    pub job: Arc<JobRecord>,
    /// State of the claim.
    pub stage: Stage,
    /// Worker of the claim; empty if there is none.
    pub worker: Name,
    /// Whether the task counts against the team's quota.
    pub is_charged: bool,
    /// Time at which the agent was last sent a command about the claim.
    pub last_sent: Duration,
    /// Pending steps; the first one is being written if `write_in_flight` is set.
    pub steps: VecDeque<Step>,
    /// Row that is currently being written.
    write_in_flight: Option<TaskRecord>,
    retry_at: Option<Duration>,
}

impl TrackedTask {
    /// Creates a tracked task without pending steps.
    #[must_use]
    pub fn open(record: TaskRecord, version: Option<u64>, job: Arc<JobRecord>, stage: Stage, worker: Name) -> Self {
        Self {
            record,
            version,
            job,
            stage,
            worker,
            is_charged: false,
            last_sent: Duration::ZERO,
            steps: VecDeque::new(),
            write_in_flight: None,
            retry_at: None,
        }
    }

    /// Task and epoch of the last known row.
    #[must_use]
    pub fn claim(&self) -> ClaimId {
        ClaimId { task: self.record.row.id.clone(), epoch: self.record.row.epoch }
    }

    /// Command that asks the agent whether it holds the claim; `None` if the row names no claim.
    #[must_use]
    pub fn confirm_command(&self) -> Option<TaskCommand> {
        let agent = self.record.row.state.claim()?.agent;
        Some(TaskCommand::Confirm { claim: self.claim(), agent })
    }

    /// Returns whether the agent isn't known to have admitted the task, so that placement still counts its proposal.
    #[must_use]
    pub const fn is_proposed(&self) -> bool {
        matches!(self.stage, Stage::Claiming | Stage::Sent)
    }

    /// Returns whether a pending step ends the claim.
    #[must_use]
    pub fn is_ending(&self) -> bool {
        self.steps.iter().any(|step| ends_claim(&step.change))
    }
}

impl State {
    /// Queues a step of a tracked task; it is written once all earlier steps are.
    pub(super) fn add_step(&mut self, task: &TaskId, step: Step) {
        if let Some(tracked) = self.claims.get_mut(task) {
            tracked.steps.push_back(step);
            self.write_next_step(task);
        }
    }

    /// Starts to track a task of which only the row is known, and writes a change to it.
    pub(super) fn change_untracked(&mut self, task: &TaskId, change: Change) {
        let Some(job) = self.jobs.get(&task.job).cloned() else { return };
        let Some((record, version)) = self.untracked.remove(task) else { return };
        let worker = record.row.state.claim().map_or_else(|| Name::from(""), |claim| Name::clone(&claim.worker));
        let tracked = TrackedTask::open(record, Some(version), job, Stage::Other, worker);
        self.claims.insert(task.clone(), tracked);
        self.add_step(task, Step::new(change));
    }

    fn write_next_step(&mut self, id: &TaskId) {
        let shard_count = self.context.settings.shard_count;
        let Some(tracked) =
            self.claims.get_mut(id).filter(|tracked| tracked.write_in_flight.is_none() && tracked.retry_at.is_none())
        else {
            return;
        };
        while let Some(step) = tracked.steps.front() {
            let Some(next) = next_record(&tracked.record, step) else {
                tracked.steps.pop_front();
                continue;
            };
            let expect = tracked.version.map_or(Expect::Absent, Expect::Version);
            let write = Write::put(task_key(id, shard_count), expect, serde_json::json!(next));
            tracked.write_in_flight = Some(next);
            let claim = tracked.claim();
            let (platform, commits) = (self.context.platform.clone(), self.commits.clone());
            self.run_in_background(async move {
                Message::TaskWritten { claim, result: write_row(&platform, &commits, write).await }
            });
            return;
        }
        if tracked.stage == Stage::Other {
            self.release_task(id);
        }
    }

    /// Retries writes that didn't reach the table.
    pub(super) fn retry_writes(&mut self, now: Duration) {
        if self.context.platform.is_away() {
            return;
        }
        let due = self.claims.iter_mut().filter(|(_, tracked)| tracked.retry_at.is_some_and(|at| at <= now));
        let due: Vec<TaskId> = due
            .map(|(task, tracked)| {
                tracked.retry_at = None;
                task.clone()
            })
            .collect();
        for task in due {
            self.write_next_step(&task);
        }
    }

    pub(super) fn on_task_written(&mut self, claim: &ClaimId, result: WriteResult) {
        let now = self.now();
        let Some(tracked) = self.claims.get_mut(&claim.task).filter(|tracked| tracked.claim() == *claim) else {
            return;
        };
        let Some(next) = tracked.write_in_flight.take() else { return };
        match result {
            WriteResult::Done(version) => {
                let Some(step) = tracked.steps.pop_front() else { return };
                tracked.record = next;
                tracked.version = Some(version);
                self.on_step_written(claim, &step, now);
                self.write_next_step(&claim.task);
            }
            WriteResult::CurrentRow(row) => {
                self.counters.conflicts += 1;
                let current = row.and_then(|row| Some((decode_row::<TaskRecord>(&row)?, row.version)));
                self.on_conflict(claim, current);
            }
            WriteResult::Retry if tracked.stage == Stage::Claiming => self.withdraw_claim(claim, now),
            WriteResult::Retry => {
                let wait = Duration::from_millis(rand::random_range(RETRY_WAIT_MS));
                tracked.retry_at = Some(now + wait);
            }
        }
    }

    /// Carries out the effects of a change that the table has accepted.
    fn on_step_written(&mut self, claim: &ClaimId, step: &Step, now: Duration) {
        let Some(tracked) = self.claims.get(&claim.task) else { return };
        let (what, code) = explanation(&step.change, step.code, &tracked.record);
        let worker = (!tracked.worker.is_empty()).then(|| Name::clone(&tracked.worker));
        if let Some(what) = what {
            self.history.add(now, &claim.task, claim.epoch, what, worker.as_ref(), code);
        }
        match &step.change {
            Change::Claim(_) => {
                self.counters.claims += 1;
                self.send_start(&claim.task, now);
            }
            Change::Adopt(_) => {
                self.counters.handovers += 1;
                self.confirm_handover(claim, step.cover, now);
            }
            Change::Start | Change::Checkpoint(_) => {}
            Change::Reject(_) | Change::Reconsider => self.release_task(&claim.task),
            change => {
                self.count_outcome(change);
                self.end_claim(claim, change);
            }
        }
    }

    fn count_outcome(&mut self, change: &Change) {
        match change {
            Change::Complete | Change::CompleteLate(_) => self.counters.completions += 1,
            Change::Fail(_) => self.counters.failures += 1,
            Change::Evict(_) => self.counters.evictions += 1,
            Change::Expire => self.counters.expirations += 1,
            _ => {}
        }
    }

    /// Confirms a recorded handover to the agent.
    fn confirm_handover(&mut self, claim: &ClaimId, cover: Option<RenewalRequest>, now: Duration) {
        let Some(tracked) = self.claims.get_mut(&claim.task) else { return };
        tracked.stage = Stage::Started;
        tracked.last_sent = now;
        let (worker, job) = (Name::clone(&tracked.worker), Arc::clone(&tracked.job));
        let is_claimed = matches!(tracked.record.row.state, TaskState::Claimed(_));
        if !std::mem::replace(&mut tracked.is_charged, true) {
            self.queue.charge(&job.row.team, &job.row.declared);
            if let Some(id) = self.agents.get(&worker).and_then(|agent| agent.worker) {
                let kind = self.kinds.id(&job.row.kind);
                self.workers.adopted(id, kind);
            }
        }
        self.own_lease.start_sent(&worker, now);
        if let Some(cover) = cover {
            let traits = job.traits();
            self.send_command(
                &worker,
                TaskCommand::Cover { claim: claim.clone(), lease: self.own_lease.id(), cover, traits },
            );
        }
        if is_claimed {
            self.add_step(&claim.task, Step::new(Change::Start));
        }
    }

    /// Frees the resources of an ended claim, and sends the agent the matching command.
    fn end_claim(&mut self, claim: &ClaimId, change: &Change) {
        let Some(tracked) = self.claims.get(&claim.task) else { return };
        let worker = Name::clone(&tracked.worker);
        let job = Arc::clone(&tracked.job);
        if tracked.is_charged {
            self.queue.release(&job.row.team, &job.row.declared);
            self.end_placement(&claim.task, change);
        }
        match change {
            Change::Cancel | Change::CompleteLate(_) | Change::Expire => {
                self.pending_stops.insert(claim.clone(), (Name::clone(&worker), self.now()));
                self.send_command(&worker, TaskCommand::Stop(claim.clone()));
            }
            _ => self.send_command(&worker, TaskCommand::Settled(claim.clone())),
        }
        self.release_task(&claim.task);
    }

    fn end_placement(&mut self, task: &TaskId, change: &Change) {
        let Some(tracked) = self.claims.get(task) else { return };
        let (worker, job, is_proposed) =
            (Name::clone(&tracked.worker), Arc::clone(&tracked.job), tracked.is_proposed());
        let Some(id) = self.agents.get(&worker).and_then(|agent| agent.worker) else { return };
        let request = PlacementRequest { kind: self.kinds.id(&job.row.kind), resources: job.row.declared };
        if is_proposed && *change != Change::Decline {
            // The proposal would otherwise keep its room for as long as the worker stays linked.
            self.workers.admitted(id, &request);
        }
        match change {
            Change::Complete => self.workers.succeeded(id, &request, &job.row.id),
            Change::Fail(_) => {
                let now = self.now();
                self.workers.failed(id, &request, &job.row.id, now);
            }
            Change::Decline => self.workers.declined(id, &request, None),
            _ => self.workers.withdrawn(id, &request),
        }
        self.restore_reported_state(&worker);
        self.place_at = Duration::ZERO;
    }

    /// Stops tracking a task, and puts it back into the queue if it is queued and its shard is owned.
    pub(super) fn release_task(&mut self, id: &TaskId) {
        let Some(tracked) = self.claims.remove(id) else { return };
        let job = Arc::clone(&tracked.job);
        let is_cancelled = job.is_cancelled(id.index) && tracked.record.row.state.claim().is_none();
        if tracked.record.is_final() || is_cancelled {
            self.untracked.remove(id);
            self.count_ended_task(id);
            return;
        }
        let shard = shard_of(id, self.context.settings.shard_count);
        if !self.shards.owns(shard) {
            self.markers_to_touch.insert((shard, Name::clone(&id.job)));
            return;
        }
        let is_queued = tracked.record.is_queued();
        if let Some(version) = tracked.version {
            self.untracked.insert(id.clone(), (tracked.record, version));
        }
        if is_queued {
            self.enqueue(&job, id);
        }
    }

    /// Withdraws a claim that never reached the table.
    fn withdraw_claim(&mut self, claim: &ClaimId, now: Duration) {
        let Some(tracked) = self.claims.get(&claim.task) else { return };
        let (worker, job) = (Name::clone(&tracked.worker), Arc::clone(&tracked.job));
        self.queue.release(&job.row.team, &job.row.declared);
        self.end_placement(&claim.task, &Change::Decline);
        let code = Some(Code::PlatformUnavailable);
        self.history.add(now, &claim.task, claim.epoch, EventKind::NotPlaced, Some(&worker), code);
        self.place_at = now + Duration::from_millis(RETRY_WAIT_MS.start);
        self.release_task(&claim.task);
    }

    /// Drops a claim whose row another entry has moved to a later epoch.
    ///
    /// This happens because an agent that can't reach the claim's entry reports a refusal or an end to any other entry.
    pub(super) fn drop_if_superseded(&mut self, task: &TaskId, row: &(TaskRecord, u64)) {
        let Some(tracked) = self.claims.get(task).filter(|tracked| tracked.write_in_flight.is_none()) else { return };
        if row.0.row.epoch > tracked.record.row.epoch {
            let claim = tracked.claim();
            self.on_conflict(&claim, Some(row.clone()));
        }
    }

    /// Continues from the current row after a write failed on a version conflict.
    fn on_conflict(&mut self, claim: &ClaimId, current: Option<(TaskRecord, u64)>) {
        let now = self.now();
        let lease = self.own_lease.id();
        let Some(tracked) = self.claims.get_mut(&claim.task) else { return };
        let Some((record, version)) = current else {
            // Task rows are never deleted, so a missing row means that the read was stale.
            self.drop_and_reload(claim);
            return;
        };
        let is_same_claim = record.row.epoch == claim.epoch && record.row.state.claim().is_some();
        let is_own = is_same_claim && record.is_claimed_by(lease);
        let is_wanted = is_own || (is_same_claim && tracked.stage == Stage::Other);
        if tracked.stage == Stage::Claiming && is_own {
            // This entry's own claim write took effect, although its outcome couldn't be determined.
            (tracked.record, tracked.version) = (record, Some(version));
            tracked.steps.clear();
            self.send_start(&claim.task, now);
        } else if is_wanted && tracked.stage != Stage::Claiming {
            (tracked.record, tracked.version) = (record, Some(version));
            self.write_next_step(&claim.task);
        } else {
            let worker = Name::clone(&tracked.worker);
            self.history.add(now, &claim.task, claim.epoch, EventKind::WriteLost, Some(&worker), None);
            (tracked.record, tracked.version) = (record, Some(version));
            tracked.steps.clear();
            self.drop_lost_claim(claim);
        }
    }

    /// Drops a claim that the task's row no longer contains.
    fn drop_lost_claim(&mut self, claim: &ClaimId) {
        let Some(tracked) = self.claims.get(&claim.task) else { return };
        let (worker, job) = (Name::clone(&tracked.worker), Arc::clone(&tracked.job));
        let must_stop = tracked.record.row.epoch > claim.epoch && tracked.stage != Stage::Claiming;
        if tracked.is_charged {
            self.queue.release(&job.row.team, &job.row.declared);
            self.end_placement(&claim.task, &Change::Cancel);
        }
        if must_stop {
            self.pending_stops.insert(claim.clone(), (Name::clone(&worker), self.context.clock.now()));
            self.send_command(&worker, TaskCommand::Stop(claim.clone()));
        }
        self.release_task(&claim.task);
    }

    /// Drops a claim whose current row is unknown, and schedules a reload of its job.
    fn drop_and_reload(&mut self, claim: &ClaimId) {
        let Some(tracked) = self.claims.get(&claim.task) else { return };
        if tracked.is_charged {
            self.queue.release(&tracked.job.row.team, &tracked.job.row.declared);
            self.end_placement(&claim.task, &Change::Cancel);
        }
        self.claims.remove(&claim.task);
        self.reload_job(&claim.task);
    }
}
