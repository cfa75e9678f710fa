//! Task runtime of the worker's stand-in, without I/O: progress, leases and resources.

use std::collections::BTreeMap;
use std::time::Duration;

use chervilledge_policy::capacity::Resources;
use chervilledge_policy::id::Name;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::ledger::{Ledger, Suspension, What};

/// Body of `POST /tasks`.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Start {
    /// Task; part of the paths of later commands.
    pub task: Name,
    /// Epoch of the lease.
    pub epoch: u64,
    /// Kind of the task.
    pub kind: Name,
    /// Resources that the task takes.
    pub resources: Resources,
    /// Time that the whole task executes at full speed.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "run_ms")]
    pub run: Duration,
    /// Lease, counted from the moment when the worker reads the command.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lease_end_ms_from_now")]
    pub lease: Duration,
    /// End of the lease on the machine's monotonic clock; bounds a command that was read late.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default, rename = "lease_end_monotonic_ms")]
    pub lease_end: Option<Duration>,
    /// Progress to go on from.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default, rename = "checkpoint")]
    pub checkpoint: Option<Duration>,
}

/// Body of `POST /tasks/TASK/COMMAND`; each command reads the fields that it needs.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Order {
    /// Epoch that the command is for; another epoch refuses it.
    pub epoch: Option<u64>,
    /// For `lease`: the lease, counted from the moment when the worker reads the command.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "lease_end_ms_from_now")]
    pub lease: Option<Duration>,
    /// For `lease`: end of the lease on the machine's monotonic clock; bounds a command that was read late.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "lease_end_monotonic_ms")]
    pub lease_end: Option<Duration>,
    /// For `throttle`: share of the full speed, up to 100.
    pub share_percent: Option<u8>,
}

/// State of a task on the worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// It executes, at its share.
    Running,
    /// It was suspended on command.
    Suspended,
    /// It was suspended at the end of its lease.
    Lapsed,
    /// It executed to its end and holds nothing any more.
    Complete,
}

/// One task as `GET /tasks` lists it.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// Task.
    pub task: Name,
    /// Epoch of the lease.
    pub epoch: u64,
    /// Kind of the task.
    pub kind: Name,
    /// Resources that the task takes.
    pub resources: Resources,
    /// State on this worker.
    pub state: TaskState,
    /// Share of the full speed.
    pub share_percent: u8,
    /// Time executed so far, at full speed.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "progress_ms")]
    pub progress: Duration,
    /// Time left until the lease ends.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lease_left_ms")]
    pub lease_left: Duration,
}

/// Why a command was refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The worker holds no such task.
    UnknownTask,
    /// The worker holds the task already, under this or another epoch.
    AlreadyHeld,
    /// The command is for another epoch.
    OtherEpoch,
    /// The lease has ended.
    LeaseEnded,
    /// The task is complete.
    Complete,
    /// The start failed on command.
    StartFailed,
    /// A field of the command is absent or out of range.
    Field,
}

#[derive(Debug)]
struct Task {
    epoch: u64,
    kind: Name,
    resources: Resources,
    run: Duration,
    progress: Duration,
    share_percent: u8,
    state: TaskState,
    lease_end: Duration,
    /// Until when `progress` is accounted for.
    accounted: Duration,
}

/// Tasks that a worker holds.
#[derive(Debug)]
pub(crate) struct Tasks {
    by_name: BTreeMap<Name, Task>,
    resources: Resources,
    ledger: Ledger,
}

impl Task {
    /// Accounts for the time until `now`; reports what ended, and when.
    fn advance(&mut self, now: Duration) -> Option<(Duration, TaskState)> {
        if self.state != TaskState::Running {
            return None;
        }
        let end = now.min(self.lease_end);
        let share = f64::from(self.share_percent) / 100.0;
        let executed = end.saturating_sub(self.accounted).mul_f64(share);
        let left = self.run.saturating_sub(self.progress);
        if executed >= left && share > 0.0 {
            let completed = self.accounted + left.div_f64(share);
            self.progress = self.run;
            self.state = TaskState::Complete;
            return Some((completed, TaskState::Complete));
        }
        self.progress += executed;
        self.accounted = now;
        if now >= self.lease_end {
            self.state = TaskState::Lapsed;
            return Some((self.lease_end, TaskState::Lapsed));
        }
        None
    }

    fn status(&self, task: &Name, now: Duration) -> Status {
        Status {
            task: Name::clone(task),
            epoch: self.epoch,
            kind: Name::clone(&self.kind),
            resources: self.resources,
            state: self.state,
            share_percent: self.share_percent,
            progress: self.progress,
            lease_left: self.lease_end.saturating_sub(now),
        }
    }
}

impl Tasks {
    pub(crate) fn new(resources: Resources, ledger: Ledger) -> Self {
        Self { by_name: BTreeMap::new(), resources, ledger }
    }

    /// Accounts for the time until `now`: completes tasks and suspends those whose lease has ended.
    pub(crate) fn advance(&mut self, now: Duration) {
        for (name, task) in &mut self.by_name {
            let Some((at, state)) = task.advance(now) else { continue };
            let (name, epoch) = (Name::clone(name), task.epoch);
            if state == TaskState::Complete {
                self.ledger.record(at, What::TaskEffect { task: Name::clone(&name), epoch });
                self.ledger.record(at, What::TaskCompleted { task: name, epoch });
            } else {
                self.ledger.record(at, What::TaskSuspended { task: name, epoch, reason: Suspension::LeaseEnd });
            }
        }
    }

    /// Lets the time until `now` pass without execution, as on a worker that was frozen.
    pub(crate) fn skip(&mut self, now: Duration) {
        for task in self.by_name.values_mut() {
            task.accounted = now.min(task.lease_end).max(task.accounted);
        }
        self.advance(now);
    }

    pub(crate) fn start(&mut self, now: Duration, start: Start) -> Result<(), Refusal> {
        if self.by_name.contains_key(&start.task) {
            return Err(Refusal::AlreadyHeld);
        }
        let lease_end = lease_end(now, start.lease, start.lease_end);
        if lease_end <= now {
            return Err(Refusal::LeaseEnded);
        }
        let progress = start.checkpoint.unwrap_or_default().min(start.run);
        let (task, epoch, kind) = (Name::clone(&start.task), start.epoch, Name::clone(&start.kind));
        self.ledger.record(now, What::TaskStarted { task, epoch, kind, progress });
        let task = Task {
            epoch,
            kind: start.kind,
            resources: start.resources,
            run: start.run,
            progress,
            share_percent: 100,
            state: TaskState::Running,
            lease_end,
            accounted: now,
        };
        self.by_name.insert(start.task, task);
        self.check_resources(now);
        Ok(())
    }

    fn check_resources(&self, now: Duration) {
        let held = self.held();
        if !self.resources.covers(&held) {
            self.ledger.record(now, What::OverResources { held });
        }
    }

    /// Resources of all tasks that aren't complete.
    pub(crate) fn held(&self) -> Resources {
        let held = self.by_name.values().filter(|task| task.state != TaskState::Complete);
        held.fold(Resources::default(), |sum, task| sum.checked_add(&task.resources).unwrap_or(sum))
    }

    /// Extends or shortens a lease; a lapsed task stays suspended until it is resumed.
    pub(crate) fn renew(&mut self, now: Duration, name: &str, order: &Order) -> Result<Status, Refusal> {
        let lease = order.lease.ok_or(Refusal::Field)?;
        let (name, task) = self.find(name, order)?;
        task.lease_end = lease_end(now, lease, order.lease_end);
        Ok(task.status(&name, now))
    }

    pub(crate) fn status(&mut self, now: Duration, name: &str, order: &Order) -> Result<Status, Refusal> {
        let (name, task) = self.find(name, order)?;
        Ok(task.status(&name, now))
    }

    pub(crate) fn throttle(&mut self, now: Duration, name: &str, order: &Order) -> Result<Status, Refusal> {
        let share_percent = order.share_percent.filter(|share| *share <= 100).ok_or(Refusal::Field)?;
        let (name, task) = self.find(name, order)?;
        task.share_percent = share_percent;
        let (status, epoch) = (task.status(&name, now), task.epoch);
        self.ledger.record(now, What::TaskThrottled { task: name, epoch, share_percent });
        Ok(status)
    }

    pub(crate) fn suspend(&mut self, now: Duration, name: &str, order: &Order) -> Result<Status, Refusal> {
        let (name, task) = self.find(name, order)?;
        let was_running = task.state == TaskState::Running;
        if was_running {
            task.state = TaskState::Suspended;
        }
        let (status, epoch) = (task.status(&name, now), task.epoch);
        if was_running {
            self.ledger.record(now, What::TaskSuspended { task: name, epoch, reason: Suspension::Command });
        }
        Ok(status)
    }

    pub(crate) fn resume(&mut self, now: Duration, name: &str, order: &Order) -> Result<Status, Refusal> {
        let (name, task) = self.find(name, order)?;
        match task.state {
            TaskState::Complete => return Err(Refusal::Complete),
            TaskState::Running => return Ok(task.status(&name, now)),
            TaskState::Lapsed | TaskState::Suspended if task.lease_end <= now => return Err(Refusal::LeaseEnded),
            TaskState::Lapsed | TaskState::Suspended => {}
        }
        task.state = TaskState::Running;
        task.accounted = now;
        let (status, epoch) = (task.status(&name, now), task.epoch);
        self.ledger.record(now, What::TaskResumed { task: name, epoch });
        Ok(status)
    }

    /// Ends a task on this worker, and forgets it; the status is its last.
    pub(crate) fn stop(&mut self, now: Duration, name: &str, order: &Order) -> Result<Status, Refusal> {
        let (name, task) = self.find(name, order)?;
        let status = task.status(&name, now);
        self.by_name.remove(&name);
        if status.state != TaskState::Complete {
            let (epoch, progress) = (status.epoch, status.progress);
            self.ledger.record(now, What::TaskStopped { task: name, epoch, progress });
        }
        Ok(status)
    }

    pub(crate) fn list(&self, now: Duration) -> Vec<Status> {
        self.by_name.iter().map(|(name, task)| task.status(name, now)).collect()
    }

    /// Kinds that execute now, with their shares.
    pub(crate) fn executing(&self) -> impl Iterator<Item = (&Name, u8)> {
        let running = self.by_name.values().filter(|task| task.state == TaskState::Running);
        running.map(|task| (&task.kind, task.share_percent))
    }

    fn find(&mut self, name: &str, order: &Order) -> Result<(Name, &mut Task), Refusal> {
        let (name, _) = self.by_name.get_key_value(name).ok_or(Refusal::UnknownTask)?;
        let name = Name::clone(name);
        let task = self.by_name.get_mut(&name).ok_or(Refusal::UnknownTask)?;
        if order.epoch.is_some_and(|epoch| epoch != task.epoch) {
            return Err(Refusal::OtherEpoch);
        }
        Ok((name, task))
    }
}

fn lease_end(now: Duration, lease: Duration, bound: Option<Duration>) -> Duration {
    bound.map_or(now + lease, |bound| bound.min(now + lease))
}
