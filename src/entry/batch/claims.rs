//! Claims that this entry's lease covers, and the writes that change tasks' rows.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_link::task::{ClaimId, TaskCommand};
use chervilledge_platform::client::{Client, Resolution};
use chervilledge_platform::error::{Outcome, Reason};
use chervilledge_platform::group::Group;
use chervilledge_platform::table::{Expect, Row, Write};
use chervilledge_policy::code::Code;
use chervilledge_policy::id::Name;
use chervilledge_policy::lease::Ask;
use chervilledge_policy::placement::Want;
use chervilledge_policy::shard::shard_of;
use chervilledge_policy::task::{self, Change, TaskId, TaskState, Transition};

use crate::entry::batch::explain::What;
use crate::entry::batch::rows::{JobRecord, TaskRecord, content, task_key};
use crate::entry::batch::{Message, State};

/// Shortest and longest wait before a write that didn't reach the table is tried again.
const RETRY_WAIT_MS: std::ops::Range<u64> = 200..1_000;

/// Longest pause between two reads of a row whose write has an unknown outcome.
const REREAD_PAUSE: Duration = Duration::from_secs(1);

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

/// Change to be written.
#[derive(Clone, Debug)]
pub struct Step {
    /// The change.
    pub change: Change,
    /// Progress that goes with it.
    pub progress: Option<Duration>,
    /// Handover that goes with it.
    pub cover: Option<Ask>,
    /// Reason, to explain it.
    pub code: Option<Code>,
}

impl Step {
    /// Makes a step that is nothing but a change.
    #[must_use]
    pub const fn of(change: Change) -> Self {
        Self { change, progress: None, cover: None, code: None }
    }
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

/// Result of a write of a task's row.
#[derive(Debug)]
pub enum Written {
    /// The write took effect; version of the row.
    Done(u64),
    /// Another write came first, or the outcome wasn't found out; this is the row.
    Row(Option<Row>),
    /// The write didn't take effect and may be tried again.
    Retry,
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

    /// Tells whether a step that ends the claim waits.
    #[must_use]
    pub fn is_ending(&self) -> bool {
        self.steps.iter().any(|step| ends(&step.change))
    }
}

const fn ends(change: &Change) -> bool {
    matches!(
        change,
        Change::Complete | Change::Evict(_) | Change::Fail(_) | Change::Expire | Change::Cancel | Change::Decline
    )
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
            Written::Row(row) => self.on_conflict(claim, row.as_ref()),
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
    fn cover(&mut self, claim: &ClaimId, cover: Option<Ask>, now: Duration) {
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
        let want = Want { kind: self.kinds.id(&job.row.kind), resources: job.row.declared };
        match change {
            Change::Complete => self.workers.succeeded(id, &want, &job.row.id),
            Change::Fail(_) => {
                let now = self.now();
                self.workers.failed(id, &want, &job.row.id, now);
            }
            Change::Decline => self.workers.declined(id, &want, None),
            _ => self.workers.withdrawn(id, &want),
        }
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

    /// Goes on from the row as it is, after a write was lost to another one.
    fn on_conflict(&mut self, claim: &ClaimId, row: Option<&Row>) {
        self.counters.conflicts += 1;
        let now = self.now();
        let lease = self.own.id();
        let current = row.and_then(|row| Some((content::<TaskRecord>(row)?, row.version)));
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

    /// Cancels what a job's row says is cancelled.
    pub(super) fn cancel(&mut self, job: &Name) {
        let Some(record) = self.jobs.get(job).cloned() else { return };
        let waiting = self.queue.cancel_wave(|task| task.job == record.row.id && record.is_cancelled(task.index));
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
                asked.push((Name::clone(&held.worker), TaskCommand::Confirm(held.claim())));
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

fn next_record(record: &TaskRecord, step: &Step) -> Option<TaskRecord> {
    let transition = Transition { epoch: record.row.epoch, change: step.change.clone() };
    let row = task::apply(&record.row, transition).ok()?;
    let mut next = TaskRecord { row, progress_ms: record.progress_ms, cover: record.cover };
    match &step.change {
        Change::Claim(_) => next.cover = None,
        Change::Adopt(_) => next.cover = Some(step.cover.filter(|cover| record.is_newer(*cover))?),
        Change::Checkpoint(_) | Change::Evict(_) => next.progress_ms = step.progress.unwrap_or(record.progress_ms),
        _ => {}
    }
    Some(next)
}

fn explain(change: &Change, code: Option<Code>, record: &TaskRecord) -> (Option<What>, Option<Code>) {
    let what = match change {
        Change::Claim(_) => What::Claimed,
        Change::Start => What::Started,
        Change::Adopt(_) => return (Some(What::HandedOver), Some(Code::LeaseHandedOver)),
        Change::Decline => What::Refused,
        Change::Checkpoint(_) => What::Checkpointed,
        Change::Complete => What::Completed,
        Change::Evict(_) => What::Evicted,
        Change::Fail(code) => {
            let code = if let TaskState::Failed(code) = record.row.state { code } else { *code };
            return (Some(What::Failed), Some(code));
        }
        Change::Expire => return (Some(What::Expired), Some(code.unwrap_or(Code::LeaseEnded))),
        Change::Cancel => return (Some(What::Cancelled), Some(Code::Cancelled)),
        Change::Reject(code) => return (Some(What::Unschedulable), Some(*code)),
        Change::Reconsider => What::Queued,
    };
    (Some(what), code)
}

/// Writes a row along with those of other tasks, and finds out what became of it.
async fn put(platform: &Client, commits: &Group, write: Write) -> Written {
    let key = Arc::clone(&write.key);
    let submitted = commits.submit(vec![write]).await;
    let outcome = match (submitted.outcome, submitted.write_id) {
        (Outcome::Unknown, Some(write_id)) => match platform.resolve(write_id, &key).await {
            Resolution::Done(version) => Outcome::Done(vec![version]),
            Resolution::NotDone => Outcome::NotDone(Reason::Fenced),
            Resolution::Forgotten => Outcome::Unknown,
        },
        (outcome, _) => outcome,
    };
    match outcome {
        Outcome::Done(versions) => versions.first().map_or(Written::Retry, |version| Written::Done(*version)),
        Outcome::NotDone(Reason::Conflict(conflict)) => Written::Row(conflict.current),
        Outcome::NotDone(_) => Written::Retry,
        Outcome::Unknown => loop {
            if let Ok(row) = platform.read_one(Arc::clone(&key)).await {
                break Written::Row(row);
            }
            tokio::time::sleep(REREAD_PAUSE.mul_f64(rand::random_range(0.5..1.0))).await;
        },
    }
}
