//! Reports of agents.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_link::message::ToAgent;
use chervilledge_link::task::{ClaimId, End, TaskCommand, TaskReport, WorkerState};
use chervilledge_policy::id::Name;
use chervilledge_policy::lease::RenewalRequest;
use chervilledge_policy::placement::PlacementRequest;
use chervilledge_policy::task::{Change, CheckpointKey, TaskId, TaskState};
use chervilledge_store::table::Row;

use crate::entry::batch::claims::{Held, Stage};
use crate::entry::batch::leases::{report, request_load};
use crate::entry::batch::rows::{JobRecord, TaskRecord, content, job_key, task_key};
use crate::entry::batch::steps::Step;
use crate::entry::batch::{Agent, Message, State};
use crate::entry::fleet::Link;

/// Row of a claim that an agent has reported.
#[derive(Debug)]
pub struct Found {
    link: Link,
    report: TaskReport,
    rows: Vec<Row>,
}

impl State {
    pub(super) fn on_reports(&mut self, link: &Link, reports: Vec<TaskReport>) {
        for report in reports {
            match report {
                TaskReport::Joined(state) => self.on_joined(link, state),
                TaskReport::Ask { lease, ask } if lease == self.own.id() => self.on_ask(link, ask),
                TaskReport::Ask { .. } => self.name_lease(&link.worker),
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
        let agent = Agent { link: link.clone(), ask: None, asked: None, granted: None, state, worker: None };
        if let Some(id) = self.agents.insert(Name::clone(&worker), agent).and_then(|old| old.worker) {
            self.workers.leave(id);
        }
        self.name_lease(&worker);
        // A restarted agent may know nothing of what was started before.
        let claims: Vec<TaskCommand> = self
            .claims
            .values()
            .filter(|held| held.worker == worker && matches!(held.stage, Stage::Sent | Stage::Started))
            .filter_map(Held::confirm)
            .collect();
        for command in claims {
            self.send(&worker, command);
        }
    }

    fn name_lease(&self, worker: &str) {
        let terms = self.context.settings.lease;
        self.send(worker, TaskCommand::Lease { lease: self.own.id(), terms });
    }

    fn on_ask(&mut self, link: &Link, ask: RenewalRequest) {
        let now = self.now();
        let Some(agent) = self.agents.get_mut(&link.worker).filter(|agent| agent.link.number == link.number) else {
            return;
        };
        agent.ask = Some(ask);
        agent.asked = Some(now);
        self.own.asked(&link.worker, ask);
    }

    fn on_state(&mut self, link: &Link, state: WorkerState) {
        let Some(agent) = self.agents.get_mut(&link.worker) else { return };
        agent.state = state;
        self.refresh_worker(&link.worker);
        self.place_due = Duration::ZERO;
    }

    /// Puts the agent's own account in force again, after placement has counted a start or an end by itself.
    ///
    /// The agent reports its account only when it changes, and before the entry has recorded what changed it.
    pub(super) fn refresh_worker(&mut self, worker: &str) {
        let Some(agent) = self.agents.get(worker) else { return };
        let Some(id) = agent.worker else { return };
        let load = self.context.fleet.member(worker);
        let load = load.map_or(0.0, |member| request_load(&member.announcement.capacity, &member.load));
        self.workers.report(id, report(&agent.state, load));
    }

    fn on_started(&mut self, claim: &ClaimId) {
        let Some(held) = self.claims.get_mut(&claim.task) else { return };
        if held.claim() != *claim || held.stage != Stage::Sent {
            return;
        }
        held.stage = Stage::Started;
        self.counters.starts += 1;
        let (worker, job) = (Name::clone(&held.worker), Arc::clone(&held.job));
        if let Some(id) = self.agents.get(&worker).and_then(|agent| agent.worker) {
            let want = PlacementRequest { kind: self.kinds.id(&job.row.kind), resources: job.row.declared };
            self.workers.admitted(id, &want);
            self.refresh_worker(&worker);
        }
        self.step(&claim.task, Step::of(Change::Start));
    }

    fn on_checkpoint(&mut self, claim: &ClaimId, progress_ms: u64) {
        let Some(held) = self.claims.get(&claim.task).filter(|held| held.claim() == *claim) else { return };
        // A step that waits will be followed by a later checkpoint.
        if !held.steps.is_empty() || held.stage != Stage::Started {
            return;
        }
        let step = checkpoint(held, progress_ms, Change::Checkpoint);
        self.step(&claim.task, step);
    }

    fn on_handover(&mut self, link: &Link, claim: ClaimId, cover: RenewalRequest) {
        match self.claims.get(&claim.task).filter(|held| held.claim() == claim && !held.is_ending()) {
            Some(_) => self.adopt(&claim, cover),
            None => self.find(link, &claim.task.clone(), TaskReport::Handover { claim, cover }),
        }
    }

    fn adopt(&mut self, claim: &ClaimId, cover: RenewalRequest) {
        let change = Change::Adopt(self.own.id());
        self.step(&claim.task, Step { cover: Some(cover), ..Step::of(change) });
    }

    fn on_ended(&mut self, link: &Link, claim: ClaimId, end: End) {
        self.stops.remove(&claim);
        match self.claims.get(&claim.task).filter(|held| held.claim() == claim) {
            Some(held) if held.is_ending() => {}
            Some(held) => {
                let step = ending(held, end);
                self.step(&claim.task, step);
            }
            None => self.find(link, &claim.task.clone(), TaskReport::Ended { claim, end }),
        }
    }

    /// Reads the row of a claim that this entry doesn't hold.
    fn find(&self, link: &Link, task: &TaskId, report: TaskReport) {
        let keys = vec![task_key(task, self.context.settings.shard_count), job_key(&task.job)];
        let platform = self.context.platform.clone();
        let link = link.clone();
        self.run(async move {
            // The agent repeats a report that isn't answered.
            let rows = platform.read(keys).await.unwrap_or_default();
            Message::Found(Box::new(Found { link, report, rows }))
        });
    }

    pub(super) fn on_found(&mut self, found: Found) {
        let Found { link, report, rows } = found;
        let (TaskReport::Handover { claim, .. } | TaskReport::Ended { claim, .. }) = &report else { return };
        let key = task_key(&claim.task, self.context.settings.shard_count);
        let task = rows.iter().find(|row| row.key == key);
        let task = task.and_then(|row| Some((content::<TaskRecord>(row)?, row.version)));
        let job = rows.iter().find(|row| row.key == job_key(&claim.task.job)).and_then(content::<JobRecord>);
        let (Some((record, version)), Some(job)) = (task, job) else { return };
        if record.row.epoch > claim.epoch {
            answer_stale(&link, &report, claim);
            return;
        }
        let is_here = record.row.state.claim().is_some_and(|own| own.worker == link.worker);
        if record.row.epoch < claim.epoch || !is_here || self.claims.contains_key(&claim.task) {
            return;
        }
        self.known.remove(&claim.task);
        let job = Arc::clone(self.jobs.entry(Name::clone(&claim.task.job)).or_insert_with(|| Arc::new(job)));
        let held = Held::open(record, Some(version), job, Stage::Other, Name::clone(&link.worker));
        let step = match &report {
            TaskReport::Ended { end, .. } => ending(&held, *end),
            TaskReport::Handover { cover, .. } => {
                Step { cover: Some(*cover), ..Step::of(Change::Adopt(self.own.id())) }
            }
            _ => return,
        };
        let task = claim.task.clone();
        self.claims.insert(task.clone(), held);
        self.step(&task, step);
    }
}

/// Tells an agent that the table has gone on to a later epoch.
fn answer_stale(link: &Link, report: &TaskReport, claim: &ClaimId) {
    let command = match report {
        TaskReport::Handover { .. } => TaskCommand::Stop(claim.clone()),
        _ => TaskCommand::Settled(claim.clone()),
    };
    link.post(ToAgent::Tasks(vec![command]));
}

/// Change that records how a claim ended on its worker.
fn ending(held: &Held, end: End) -> Step {
    let is_claimed = matches!(held.record.row.state, TaskState::Claimed(_));
    match end {
        End::Refused(refusal) if is_claimed => Step { code: Some(refusal.code()), ..Step::of(Change::Decline) },
        End::NeverStarted if is_claimed => {
            Step { code: Some(chervilledge_policy::code::Code::LeaseEnded), ..Step::of(Change::Decline) }
        }
        End::Refused(_) | End::NeverStarted | End::Gone => Step::of(Change::Expire),
        End::Completed => Step::of(Change::Complete),
        End::Failed(code) => Step { code: Some(code), ..Step::of(Change::Fail(code)) },
        End::Evicted { code, progress_ms } => {
            let step = checkpoint(held, progress_ms, |key| Change::Evict(Some(key)));
            Step { code: Some(code), ..step }
        }
    }
}

fn checkpoint(held: &Held, progress_ms: u64, change: impl FnOnce(CheckpointKey) -> Change) -> Step {
    let row = &held.record.row;
    let newest = row.checkpoint.as_ref().filter(|key| key.epoch == row.epoch).map_or(0, |key| key.sequence);
    let key = CheckpointKey { task: row.id.clone(), epoch: row.epoch, sequence: newest + 1 };
    Step { progress: Some(Duration::from_millis(progress_ms)), ..Step::of(change(key)) }
}
