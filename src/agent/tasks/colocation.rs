//! Control of the tasks that slow the requests beside them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_link::task::{ClaimId, End};
use chervilledge_policy::code::Code;
use chervilledge_policy::collections::Map;
use chervilledge_policy::colocation::{Action, ColocatedTask, Controller, SHARE_FULL_PERMILLE, Settings, Step};
use chervilledge_policy::id::{Name, RequestId};
use chervilledge_policy::interference::Interference;
use chervilledge_policy::kind::{KindId, Kinds};
use chervilledge_policy::rollout::Stamp;
use chervilledge_policy::task::TaskId;
use chervilledge_worker::runtime::TaskState;

use crate::agent::tasks::State;
use crate::agent::tasks::calls::Order;
use crate::agent::tasks::held::{Stage, Task};
use crate::rollout::Enforced;
use crate::settings::batch::Batch;

/// Time for which evictions count against the budget of the configuration.
const BUDGET_PERIOD: Duration = Duration::from_hours(1);

/// Times in a window that a request in progress is counted at most.
const OVERDUE_COUNTS: u32 = 4;

/// Time of calm before a share comes back, as a multiple of the time for which a threshold must be passed.
const RELAX_HOLDS: u32 = 4;

/// Permille in a percent.
const PERMILLE: u32 = 10;

/// Request that the backend server works on.
#[derive(Clone, Copy, Debug)]
struct InProgress {
    began: Duration,
    /// When it was last counted although it hadn't ended.
    counted: Duration,
}

/// Control of one worker's tasks, with what it has learnt.
#[derive(Debug)]
pub struct Colocation {
    service: Name,
    enforced: Arc<Enforced>,
    /// Configuration that the control was opened with.
    stamp: Option<Stamp>,
    control: Controller,
    target: Duration,
    in_progress: Map<RequestId, InProgress>,
    kinds: Kinds,
    interference: Interference,
    /// Times of evictions and stops within the budget's period.
    evictions: VecDeque<Duration>,
    evictions_per_hour: usize,
}

impl Colocation {
    /// Opens a control that does nothing until a configuration is in force.
    #[must_use]
    pub fn open(service: Name, enforced: Arc<Enforced>, now: Duration) -> Self {
        Self {
            service,
            enforced,
            stamp: None,
            control: Controller::open(Settings::default(), now),
            target: Settings::default().target,
            in_progress: Map::default(),
            kinds: Kinds::default(),
            interference: Interference::default(),
            evictions: VecDeque::new(),
            evictions_per_hour: 0,
        }
    }

    /// Notes that the backend server was given a request.
    pub fn request_started(&mut self, request: RequestId, now: Duration) {
        self.in_progress.insert(request, InProgress { began: now, counted: now });
    }

    /// Notes the latency of a request.
    pub fn request_ended(&mut self, request: RequestId, latency: Duration, now: Duration) {
        if self.in_progress.remove(&request).is_some() {
            self.control.request_ended(latency, now);
        }
    }

    /// Forgets a request that will have no latency.
    pub fn request_left(&mut self, request: RequestId) {
        self.in_progress.remove(&request);
    }

    /// Counts requests that have exceeded the target and are still in progress by the time that they have taken.
    ///
    /// Otherwise requests that are slowed so much that few of them end would count as calm.
    fn count_overdue(&mut self, interval: Duration, now: Duration) {
        for request in self.in_progress.values_mut() {
            let age = now.saturating_sub(request.began);
            if age > self.target && now >= request.counted + interval {
                request.counted = now;
                self.control.request_ended(age, now);
            }
        }
    }

    /// Notes the start of a task.
    pub fn task_started(&mut self) {
        self.control.task_started();
    }

    /// Notes that a task has left the worker.
    pub fn task_ended(&mut self, task: &TaskId) {
        self.control.task_ended(task);
    }

    /// 99th percentile of request latency in thousandths of its target; 0 without enough requests.
    #[must_use]
    pub fn latency_permille(&self) -> u64 {
        self.control.latency_permille().unwrap_or(0)
    }

    /// Opens the control again when the configuration has changed; tells whether there is one.
    fn refresh(&mut self, batch: &Batch, now: Duration) -> bool {
        let stamp = self.enforced.stamp();
        if stamp == self.stamp {
            return stamp.is_some();
        }
        let Ok(in_force) = self.enforced.in_force() else { return false };
        let Some(service) = in_force.document.services.get(&self.service) else { return false };
        let colocation = &in_force.document.colocation;
        let settings = Settings {
            target: service.latency_target_ms,
            window: batch.latency_window_ms,
            requests_min: batch.latency_requests_min,
            enter_permille: u64::from(colocation.throttle_at_percent * PERMILLE),
            exit_permille: u64::from(colocation.resume_at_percent * PERMILLE),
            severe_permille: u64::from(colocation.evict_at_percent * PERMILLE),
            evict_after: colocation.hold_ms,
            relax_after: colocation.hold_ms * RELAX_HOLDS,
            evictions_max_permille: batch.evictions_max_permille,
            ..Settings::default()
        };
        self.evictions_per_hour = colocation.evictions_per_hour as usize;
        self.target = settings.target;
        self.control = Controller::open(settings, now);
        self.stamp = Some(in_force.stamp);
        true
    }

    /// Decides what to do to the residents, and learns from what they do to requests.
    fn step(&mut self, residents: &[ColocatedTask], kinds: &[KindId], now: Duration) -> Vec<Action> {
        if let Some(latency_ratio) = self.control.latency_ratio() {
            let service = self.kinds.id(&self.service);
            let share = |resident: &ColocatedTask| f64::from(resident.share_permille) / f64::from(SHARE_FULL_PERMILLE);
            let beside: Vec<(KindId, f64)> =
                kinds.iter().zip(residents).map(|(kind, resident)| (*kind, share(resident))).collect();
            self.interference.observe(service, &beside, latency_ratio, now);
        }
        self.control.step(residents, now)
    }

    fn resident(&mut self, id: &TaskId, task: &Task, now: Duration) -> (ColocatedTask, KindId) {
        let (service, kind) = (self.kinds.id(&self.service), self.kinds.id(&task.kind));
        let resident = ColocatedTask {
            task: id.clone(),
            epoch: task.epoch,
            slowdown: self.interference.expected(service, kind, now),
            uncheckpointed: task.progress.saturating_sub(task.kept),
            can_checkpoint: true,
            share_permille: u32::from(task.share_percent) * PERMILLE,
        };
        (resident, kind)
    }

    /// Counts an eviction, unless the budget of the configuration is spent.
    fn may_evict(&mut self, now: Duration) -> bool {
        while self.evictions.front().is_some_and(|at| *at + BUDGET_PERIOD <= now) {
            self.evictions.pop_front();
        }
        let may = self.evictions.len() < self.evictions_per_hour;
        if may {
            self.evictions.push_back(now);
        }
        may
    }
}

impl State {
    /// Throttles, evicts, stops and restores tasks as the latency of requests demands.
    ///
    /// Tasks that may not be both throttled and evicted are left alone.
    pub(super) fn control_colocation(&mut self, now: Duration) {
        if !self.colocation.refresh(&self.settings, now) {
            return;
        }
        self.colocation.count_overdue(self.settings.latency_window_ms / OVERDUE_COUNTS, now);
        let is_controlled = |task: &Task| {
            task.stage == Stage::Held && task.state == TaskState::Running && task.may_throttle && task.may_evict
        };
        let colocation = &mut self.colocation;
        let (residents, kinds): (Vec<ColocatedTask>, Vec<KindId>) = self
            .tasks
            .iter()
            .filter(|(_, task)| is_controlled(task))
            .map(|(id, task)| colocation.resident(id, task, now))
            .unzip();
        for action in colocation.step(&residents, &kinds, now) {
            self.act(&action, now);
        }
    }

    fn act(&mut self, action: &Action, now: Duration) {
        let claim = ClaimId { task: action.task.clone(), epoch: action.epoch };
        log::info!(
            event = "colocation", task:% = claim.task, step:? = action.step, code = action.code.number(); ""
        );
        match action.step {
            Step::Throttle { share_permille } | Step::Restore { share_permille } => {
                self.set_share(&claim, share_permille);
            }
            Step::Evict if self.colocation.may_evict(now) => self.evict(&claim, action.code),
            Step::Stop if self.colocation.may_evict(now) => self.stop_for_latency(&claim),
            Step::Evict | Step::Stop => {}
        }
    }

    fn set_share(&mut self, claim: &ClaimId, share_permille: u32) {
        let Some(task) = self.tasks.get_mut(&claim.task).filter(|task| task.epoch == claim.epoch) else { return };
        let share_percent = u8::try_from(share_permille.div_ceil(PERMILLE)).unwrap_or(u8::MAX).min(100);
        task.share_percent = share_percent;
        self.calls.order(claim, Order::Throttle(share_percent));
    }

    /// Stops a task that hasn't left in time; it resumes from its last checkpoint.
    fn stop_for_latency(&mut self, claim: &ClaimId) {
        let Some(task) = self.tasks.get_mut(&claim.task).filter(|task| task.epoch == claim.epoch) else { return };
        let progress_ms = u64::try_from(task.kept.as_millis()).unwrap_or(u64::MAX);
        task.stage = Stage::Stopping(End::Evicted { code: Code::StoppedForLatency, progress_ms });
        self.calls.order(claim, Order::Stop);
    }
}
