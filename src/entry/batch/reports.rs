//! Handling of agents' reports.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_link::message::ToAgent;
use chervilledge_link::task::{ClaimId, End, TaskCommand, TaskReport, WorkerState};
use chervilledge_policy::id::Name;
use chervilledge_policy::lease::RenewalRequest;
use chervilledge_policy::placement::PlacementRequest;
use chervilledge_policy::task::{Change, CheckpointKey, TaskId, TaskState};
use chervilledge_store::table::Row;

use crate::entry::batch::claims::{Stage, TrackedTask};
use crate::entry::batch::leases::{placement_report, request_load};
use crate::entry::batch::rows::{JobRecord, TaskRecord, decode_row, job_key, task_key};
use crate::entry::batch::steps::Step;
use crate::entry::batch::{Agent, Message, State};
use crate::entry::fleet::Link;

/// Rows of a claim that an agent has reported and that this entry doesn't track.
#[derive(Debug)]
pub struct ReportedClaimRows {
    link: Link,
    report: TaskReport,
    rows: Vec<Row>,
}

impl State {
    pub(super) fn on_reports(&mut self, link: &Link, reports: Vec<TaskReport>) {
        for report in reports {
            match report {
                TaskReport::Joined(state) => self.on_joined(link, state),
                TaskReport::Ask { lease, ask } if lease == self.own_lease.id() => self.on_renewal_request(link, ask),
                TaskReport::Ask { .. } => self.send_lease(&link.worker),
                TaskReport::State(state) => self.on_state(link, state),
                TaskReport::Started(claim) => self.on_started(&claim),
                TaskReport::Checkpoint { claim, progress_ms } => self.on_checkpoint(&claim, progress_ms),
                TaskReport::Handover { claim, cover } => self.on_handover(link, claim, cover),
                TaskReport::Ended { claim, end } => self.on_ended(link, claim, end),
            }
        }
    }

    fn on_joined(&mut self, link: &Link, state: WorkerState) {
        let worker = Name::clone(&link.worker);
        let agent = Agent {
            link: link.clone(),
            renewal_request: None,
            last_requested: None,
            last_granted: None,
            state,
            worker: None,
        };
        if let Some(id) = self.agents.insert(Name::clone(&worker), agent).and_then(|previous| previous.worker) {
            self.workers.leave(id);
        }
        self.send_lease(&worker);
        // A restarted agent may not know of tasks that were started before.
        let claims: Vec<TaskCommand> = self
            .claims
            .values()
            .filter(|tracked| tracked.worker == worker && matches!(tracked.stage, Stage::Sent | Stage::Started))
            .filter_map(TrackedTask::confirm_command)
            .collect();
        for command in claims {
            self.send_command(&worker, command);
        }
    }

    fn send_lease(&self, worker: &str) {
        let terms = self.context.settings.lease;
        self.send_command(worker, TaskCommand::Lease { lease: self.own_lease.id(), terms });
    }

    fn on_renewal_request(&mut self, link: &Link, ask: RenewalRequest) {
        let now = self.now();
        let Some(agent) = self.agents.get_mut(&link.worker).filter(|agent| agent.link.number == link.number) else {
            return;
        };
        agent.renewal_request = Some(ask);
        agent.last_requested = Some(now);
        self.own_lease.record_request(&link.worker, ask);
    }

    fn on_state(&mut self, link: &Link, state: WorkerState) {
        let Some(agent) = self.agents.get_mut(&link.worker) else { return };
        agent.state = state;
        self.restore_reported_state(&link.worker);
        self.place_at = Duration::ZERO;
    }

    /// Restores the state that the agent last reported, after placement has accounted for a start or an end on its own.
    ///
    /// The agent reports its state only when it changes, and before the entry has recorded the cause of the change.
    pub(super) fn restore_reported_state(&mut self, worker: &str) {
        let Some(agent) = self.agents.get(worker) else { return };
        let Some(id) = agent.worker else { return };
        let load = self.context.fleet.member(worker);
        let load = load.map_or(0.0, |member| request_load(&member.announcement.capacity, &member.load));
        self.workers.report(id, placement_report(&agent.state, load));
    }

    fn on_started(&mut self, claim: &ClaimId) {
        let Some(tracked) = self.claims.get_mut(&claim.task) else { return };
        if tracked.claim() != *claim || tracked.stage != Stage::Sent {
            return;
        }
        tracked.stage = Stage::Started;
        self.counters.starts += 1;
        let (worker, job) = (Name::clone(&tracked.worker), Arc::clone(&tracked.job));
        if let Some(id) = self.agents.get(&worker).and_then(|agent| agent.worker) {
            let request = PlacementRequest { kind: self.kinds.id(&job.row.kind), resources: job.row.declared };
            self.workers.admitted(id, &request);
            self.restore_reported_state(&worker);
        }
        self.add_step(&claim.task, Step::new(Change::Start));
    }

    fn on_checkpoint(&mut self, claim: &ClaimId, progress_ms: u64) {
        let Some(tracked) = self.claims.get(&claim.task).filter(|tracked| tracked.claim() == *claim) else { return };
        // A checkpoint may be skipped while a step is pending, since a later one follows.
        if !tracked.steps.is_empty() || tracked.stage != Stage::Started {
            return;
        }
        let step = checkpoint_step(tracked, progress_ms, Change::Checkpoint);
        self.add_step(&claim.task, step);
    }

    fn on_handover(&mut self, link: &Link, claim: ClaimId, cover: RenewalRequest) {
        match self.claims.get(&claim.task).filter(|tracked| tracked.claim() == claim && !tracked.is_ending()) {
            Some(_) => self.add_handover_step(&claim, cover),
            None => self.read_reported_claim(link, &claim.task.clone(), TaskReport::Handover { claim, cover }),
        }
    }

    fn add_handover_step(&mut self, claim: &ClaimId, cover: RenewalRequest) {
        let change = Change::Adopt(self.own_lease.id());
        self.add_step(&claim.task, Step { cover: Some(cover), ..Step::new(change) });
    }

    fn on_ended(&mut self, link: &Link, claim: ClaimId, end: End) {
        self.pending_stops.remove(&claim);
        match self.claims.get(&claim.task).filter(|tracked| tracked.claim() == claim) {
            Some(tracked) if tracked.is_ending() => {}
            Some(tracked) => {
                let step = ending_step(tracked, end);
                self.add_step(&claim.task, step);
            }
            None => self.read_reported_claim(link, &claim.task.clone(), TaskReport::Ended { claim, end }),
        }
    }

    /// Reads the rows of a claim that this entry doesn't track.
    fn read_reported_claim(&self, link: &Link, task: &TaskId, report: TaskReport) {
        let keys = vec![task_key(task, self.context.settings.shard_count), job_key(&task.job)];
        let platform = self.context.platform.clone();
        let link = link.clone();
        self.run_in_background(async move {
            // A failed read is ignored, since the agent repeats a report that isn't answered.
            let rows = platform.read(keys).await.unwrap_or_default();
            Message::ReportedClaimRead(Box::new(ReportedClaimRows { link, report, rows }))
        });
    }

    pub(super) fn on_reported_claim_read(&mut self, found: ReportedClaimRows) {
        let ReportedClaimRows { link, report, rows } = found;
        let (TaskReport::Handover { claim, .. } | TaskReport::Ended { claim, .. }) = &report else { return };
        let key = task_key(&claim.task, self.context.settings.shard_count);
        let task = rows.iter().find(|row| row.key == key);
        let task = task.and_then(|row| Some((decode_row::<TaskRecord>(row)?, row.version)));
        let job = rows.iter().find(|row| row.key == job_key(&claim.task.job)).and_then(decode_row::<JobRecord>);
        let (Some((record, version)), Some(job)) = (task, job) else { return };
        if record.row.epoch > claim.epoch {
            let is_completion = matches!(report, TaskReport::Ended { end: End::Completed, .. });
            if is_completion && !record.is_final() && !job.is_cancelled(claim.task.index) {
                self.complete_late(claim, record, version, job);
            } else {
                answer_stale(&link, &report, claim);
            }
            return;
        }
        let is_on_worker = record.row.state.claim().is_some_and(|current| current.worker == link.worker);
        if record.row.epoch < claim.epoch || !is_on_worker || self.claims.contains_key(&claim.task) {
            return;
        }
        self.untracked.remove(&claim.task);
        let job = Arc::clone(self.jobs.entry(Name::clone(&claim.task.job)).or_insert_with(|| Arc::new(job)));
        let tracked = TrackedTask::open(record, Some(version), job, Stage::Other, Name::clone(&link.worker));
        let step = match &report {
            TaskReport::Ended { end, .. } => ending_step(&tracked, *end),
            TaskReport::Handover { cover, .. } => {
                Step { cover: Some(*cover), ..Step::new(Change::Adopt(self.own_lease.id())) }
            }
            _ => return,
        };
        let task = claim.task.clone();
        self.claims.insert(task.clone(), tracked);
        self.add_step(&task, step);
    }

    /// Records a completion whose claim had ended before it was reported, so that the task isn't executed again.
    ///
    /// The agent repeats the report until the row is final, so a change that loses a race is made again.
    fn complete_late(&mut self, claim: &ClaimId, record: TaskRecord, version: u64, job: JobRecord) {
        let task = &claim.task;
        if self.claims.get(task).is_some_and(TrackedTask::is_ending) {
            return;
        }
        if !self.claims.contains_key(task) {
            self.queue.cancel(task);
            self.untracked.remove(task);
            let job = Arc::clone(self.jobs.entry(Name::clone(&task.job)).or_insert_with(|| Arc::new(job)));
            let worker =
                record.row.state.claim().map_or_else(|| Name::from(""), |current| Name::clone(&current.worker));
            let tracked = TrackedTask::open(record, Some(version), job, Stage::Other, worker);
            self.claims.insert(task.clone(), tracked);
        }
        self.add_step(task, Step::new(Change::CompleteLate(claim.epoch)));
    }
}

/// Answers a report about a claim whose task has moved to a later epoch.
fn answer_stale(link: &Link, report: &TaskReport, claim: &ClaimId) {
    let command = match report {
        TaskReport::Handover { .. } => TaskCommand::Stop(claim.clone()),
        _ => TaskCommand::Settled(claim.clone()),
    };
    link.post(ToAgent::Tasks(vec![command]));
}

/// Step that records how a claim ended on its worker.
fn ending_step(tracked: &TrackedTask, end: End) -> Step {
    let is_claimed = matches!(tracked.record.row.state, TaskState::Claimed(_));
    match end {
        End::Refused(refusal) if is_claimed => Step { code: Some(refusal.code()), ..Step::new(Change::Decline) },
        End::NeverStarted if is_claimed => {
            Step { code: Some(chervilledge_policy::code::Code::LeaseEnded), ..Step::new(Change::Decline) }
        }
        End::Refused(_) | End::NeverStarted | End::Gone => Step::new(Change::Expire),
        End::Completed => Step::new(Change::Complete),
        End::Failed(code) => Step { code: Some(code), ..Step::new(Change::Fail(code)) },
        End::Evicted { code, progress_ms } => {
            let step = checkpoint_step(tracked, progress_ms, |key| Change::Evict(Some(key)));
            Step { code: Some(code), ..step }
        }
    }
}

fn checkpoint_step(tracked: &TrackedTask, progress_ms: u64, change: impl FnOnce(CheckpointKey) -> Change) -> Step {
    let row = &tracked.record.row;
    let newest = row.checkpoint.as_ref().filter(|key| key.epoch == row.epoch).map_or(0, |key| key.sequence);
    let key = CheckpointKey { task: row.id.clone(), epoch: row.epoch, sequence: newest + 1 };
    Step { progress: Some(Duration::from_millis(progress_ms)), ..Step::new(change(key)) }
}
