//! The agent's decision whether and when a request starts on its backend server.
//!
//! The agent is the only authority on what runs on its worker. It never lets more than `slots` requests run, and a
//! request that it called *not started* never starts.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::code::Code;
use crate::collections::Map;
use crate::id::{BootId, RequestId};
use crate::membership::Load;
use crate::outcomes::{self, Outcomes};
use crate::request::Outcome;
use crate::retry;

/// Limits of one agent.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Connections to the backend server: bounds running and queued requests together.
    pub connections: u32,
    /// Slots that requests of [`Priority::Batch`] may occupy.
    pub batch_slots: u32,
    /// Requests that wait for a slot at most.
    pub queue: u32,
    /// Longest wait for a slot.
    #[serde(rename = "queue_wait_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub queue_wait: Duration,
    /// Time for which outcomes are kept; well above the longest request deadline.
    #[serde(rename = "keep_outcomes_for_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub keep_outcomes_for: Duration,
    /// Outcomes that are kept at most.
    pub outcomes_max: usize,
    /// Entries whose dropped outcomes are told apart at most; at least 1.
    pub entries_max: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 8,
            connections: 64,
            batch_slots: 6,
            queue: 16,
            queue_wait: Duration::from_millis(250),
            keep_outcomes_for: Duration::from_mins(2),
            outcomes_max: 16_384,
            entries_max: 1_024,
        }
    }
}

/// Order in which requests are shed, the last first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Priority {
    /// A person waits for the answer.
    LatencyCritical,
    /// May wait; never displaces a latency-critical request.
    Batch,
}

/// A request that an entry wants to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Offer {
    /// Start of the agent that the entry meant.
    pub agent_boot: BootId,
    /// Time after which it isn't worth starting, on the agent's clock.
    pub deadline: Duration,
    /// Dispatch of the request.
    pub id: RequestId,
    /// Order in which it is shed.
    pub priority: Priority,
}

/// How a started request left the backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Finished {
    /// It was handed over, whatever came of it.
    Ran,
    /// Proved not handed over: no connection could be opened, or none of its bytes was sent.
    NotRun(Code),
}

/// What the agent is to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Hand the request to the backend server.
    Start(RequestId),
    /// Tell the entry that the request didn't start and never will.
    NotStarted {
        /// Refused request.
        id: RequestId,
        /// Why.
        code: Code,
        /// Expected wait for a slot; the entry adds jitter before it tells a caller.
        retry_after: Duration,
    },
    /// Abort the running request; [`Admission::finished`] follows once the backend server has let go of it.
    Abort(RequestId),
    /// Send nothing: the request is a duplicate, or belongs to an earlier start whose outcome isn't known here.
    Drop(RequestId),
}

#[derive(Clone, Copy, Debug)]
struct Running {
    /// Epoch at which the answer began to be sent.
    answered_epoch: Option<u32>,
    epoch: u32,
    priority: Priority,
    started: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    deadline: Duration,
    epoch: u32,
    id: RequestId,
    /// Time at which the wait is over even if the deadline is later.
    until: Duration,
}

/// Admission of requests to one backend server.
#[derive(Clone, Debug)]
pub struct Admission {
    agent_boot: BootId,
    draining: bool,
    /// Decayed time that a request occupies a slot.
    mean_service: Duration,
    outcomes: Outcomes,
    queued_batch: VecDeque<Waiting>,
    queued_critical: VecDeque<Waiting>,
    ready: bool,
    /// At most `slots` requests, of them at most `batch_slots` of [`Priority::Batch`], at the time of each start.
    running: Map<RequestId, Running>,
    settings: Settings,
}

impl Admission {
    /// Makes the admission of an agent's start; it refuses everything until [`Admission::set_ready`].
    #[must_use]
    pub fn open(agent_boot: BootId, settings: Settings) -> Self {
        const MEAN_SERVICE_START: Duration = Duration::from_millis(10);
        Self {
            agent_boot,
            draining: false,
            mean_service: MEAN_SERVICE_START,
            outcomes: Outcomes::new(bounds(&settings)),
            queued_batch: VecDeque::new(),
            queued_critical: VecDeque::new(),
            ready: false,
            running: Map::default(),
            settings,
        }
    }

    /// Puts other limits in force; what runs beyond them goes on, and nothing starts until it is below them.
    pub fn set_settings(&mut self, now: Duration, settings: Settings) -> Vec<Action> {
        self.settings = settings;
        self.outcomes.set_bounds(bounds(&settings));
        let mut actions = Vec::new();
        self.fill(now, &mut actions);
        actions
    }

    /// Notes whether the backend server takes requests.
    pub fn set_ready(&mut self, ready: bool) {
        self.ready = ready;
    }

    /// Refuses what waits and what still comes; what runs goes on.
    pub fn drain(&mut self, now: Duration) -> Vec<Action> {
        self.draining = true;
        let mut actions = Vec::new();
        while let Some(waiting) = self.queued_critical.pop_front().or_else(|| self.queued_batch.pop_front()) {
            self.refuse(now, waiting.id, Code::Draining, &mut actions);
        }
        actions
    }

    /// Tells whether a drain has ended: nothing runs.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.draining && self.running.is_empty()
    }

    /// Decides on an offer.
    pub fn offer(&mut self, now: Duration, offer: &Offer) -> Vec<Action> {
        let mut actions = Vec::new();
        if offer.agent_boot != self.agent_boot || self.is_held(offer.id) {
            actions.push(Action::Drop(offer.id));
            return actions;
        }
        match self.outcomes.get(offer.id) {
            Some(outcomes::Outcome::NeverStarted { code }) => self.refuse(now, offer.id, code, &mut actions),
            Some(outcomes::Outcome::Ran { .. }) => actions.push(Action::Drop(offer.id)),
            None if self.outcomes.is_forgotten(offer.id) => actions.push(Action::Drop(offer.id)),
            None => self.admit(now, offer, &mut actions),
        }
        actions
    }

    fn admit(&mut self, now: Duration, offer: &Offer, actions: &mut Vec<Action>) {
        if let Some(code) = self.refusal(now, offer) {
            self.refuse(now, offer.id, code, actions);
            return;
        }
        // Room is made for the offer before it is queued, so that the queue never exceeds its bound.
        if !self.has_room() && !self.displace(now, offer.priority, actions) {
            self.refuse(now, offer.id, Code::Overloaded, actions);
            return;
        }
        let until = now + self.settings.queue_wait;
        let waiting = Waiting { deadline: offer.deadline, epoch: 0, id: offer.id, until };
        match offer.priority {
            Priority::LatencyCritical => self.queued_critical.push_back(waiting),
            Priority::Batch => self.queued_batch.push_back(waiting),
        }
        self.fill(now, actions);
    }

    fn refusal(&self, now: Duration, offer: &Offer) -> Option<Code> {
        if self.draining {
            Some(Code::Draining)
        } else if !self.ready {
            Some(Code::NoBackendServer)
        } else if now >= offer.deadline {
            Some(Code::DeadlineBeforeStart)
        } else {
            None
        }
    }

    fn has_room(&self) -> bool {
        let held = to_count(self.running.len()).saturating_add(self.queued());
        let bound = self.slots().saturating_add(self.settings.queue).min(self.settings.connections);
        held < bound
    }

    /// Makes room for a latency-critical request by refusing the newest batch request that waits.
    fn displace(&mut self, now: Duration, priority: Priority, actions: &mut Vec<Action>) -> bool {
        if priority == Priority::Batch {
            return false;
        }
        let Some(displaced) = self.queued_batch.pop_back() else { return false };
        self.refuse(now, displaced.id, Code::Overloaded, actions);
        true
    }

    fn refuse(&mut self, now: Duration, id: RequestId, code: Code, actions: &mut Vec<Action>) {
        self.outcomes.record(now, id, outcomes::Outcome::NeverStarted { code });
        actions.push(Action::NotStarted { id, code, retry_after: self.expected_wait() });
    }

    /// Starts what waits while slots are free.
    fn fill(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.expire(now, actions);
        while to_count(self.running.len()) < self.slots() {
            let Some((priority, waiting)) = self.next() else { return };
            let running = Running { answered_epoch: None, epoch: waiting.epoch, priority, started: now };
            self.running.insert(waiting.id, running);
            actions.push(Action::Start(waiting.id));
        }
    }

    fn next(&mut self) -> Option<(Priority, Waiting)> {
        if let Some(waiting) = self.queued_critical.pop_front() {
            return Some((Priority::LatencyCritical, waiting));
        }
        if self.running_batch() >= self.settings.batch_slots {
            return None;
        }
        self.queued_batch.pop_front().map(|waiting| (Priority::Batch, waiting))
    }

    /// Refuses what has waited too long.
    fn expire(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let mut expired = Vec::new();
        for queue in [&mut self.queued_critical, &mut self.queued_batch] {
            queue.retain(|waiting| {
                let code = expiry(now, waiting);
                expired.extend(code.map(|code| (waiting.id, code)));
                code.is_none()
            });
        }
        for (id, code) in expired {
            self.refuse(now, id, code, actions);
        }
    }

    /// Frees the slot of a request that [`Action::Start`] started.
    pub fn finished(&mut self, now: Duration, id: RequestId, finished: Finished) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(running) = self.running.remove(&id) else { return actions };
        match finished {
            Finished::Ran => {
                self.sample_service(now.saturating_sub(running.started));
                let outcome = outcomes::Outcome::Ran { answered_epoch: running.answered_epoch };
                self.outcomes.record(now, id, outcome);
            }
            Finished::NotRun(code) => self.refuse(now, id, code, &mut actions),
        }
        self.fill(now, &mut actions);
        actions
    }

    fn sample_service(&mut self, service: Duration) {
        const OLD_PARTS: u32 = 9;
        self.mean_service = (self.mean_service.saturating_mul(OLD_PARTS) + service) / (OLD_PARTS + 1);
    }

    /// Marks the answer of a running request as begun and gives the epoch that its frames carry.
    ///
    /// Gives nothing if it doesn't run or its answer was begun before.
    pub fn begin_answer(&mut self, id: RequestId) -> Option<u32> {
        let running = self.running.get_mut(&id)?;
        if running.answered_epoch.is_some() {
            return None;
        }
        running.answered_epoch = Some(running.epoch);
        running.answered_epoch
    }

    /// Takes back a request that its entry no longer wants.
    pub fn cancel(&mut self, now: Duration, id: RequestId) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.running.contains_key(&id) {
            actions.push(Action::Abort(id));
        } else if self.unqueue(id) {
            self.refuse(now, id, Code::Cancelled, &mut actions);
        } else if self.outcomes.get(id).is_none() && !self.outcomes.is_forgotten(id) {
            // The dispatch is still on its way, or was lost: it isn't to start when it comes.
            self.outcomes.record(now, id, outcomes::Outcome::NeverStarted { code: Code::Cancelled });
        }
        actions
    }

    fn unqueue(&mut self, id: RequestId) -> bool {
        let before = self.queued();
        self.queued_critical.retain(|waiting| waiting.id != id);
        self.queued_batch.retain(|waiting| waiting.id != id);
        self.queued() < before
    }

    /// Answers the question about a dispatch to `agent_boot`; `epoch` numbers the questions about it.
    pub fn query_outcome(&mut self, now: Duration, id: RequestId, agent_boot: BootId, epoch: u32) -> Outcome {
        if agent_boot != self.agent_boot {
            return Outcome::UnknownBoot;
        }
        if let Some(running) = self.running.get_mut(&id) {
            running.epoch = running.epoch.max(epoch);
            return answer_state(running.answered_epoch, epoch, true);
        }
        if let Some(waiting) = self.find_queued(id) {
            waiting.epoch = waiting.epoch.max(epoch);
            return Outcome::Running;
        }
        match self.outcomes.get(id) {
            Some(outcomes::Outcome::NeverStarted { .. }) => Outcome::NeverStarted,
            Some(outcomes::Outcome::Ran { answered_epoch }) => answer_state(answered_epoch, epoch, false),
            None if self.outcomes.is_forgotten(id) => Outcome::Forgotten,
            None => {
                self.outcomes.record(now, id, outcomes::Outcome::NeverStarted { code: Code::LinkSilent });
                Outcome::NeverStarted
            }
        }
    }

    fn find_queued(&mut self, id: RequestId) -> Option<&mut Waiting> {
        self.queued_critical.iter_mut().chain(&mut self.queued_batch).find(|waiting| waiting.id == id)
    }

    /// Refuses what has waited too long and drops old outcomes; due at [`Admission::wake_at`].
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        self.fill(now, &mut actions);
        self.outcomes.trim(now);
        actions
    }

    /// Time at which the next waiting request is to be refused.
    #[must_use]
    pub fn wake_at(&self) -> Option<Duration> {
        let queued = self.queued_critical.iter().chain(&self.queued_batch);
        queued.map(|waiting| waiting.until.min(waiting.deadline)).min()
    }

    /// Load for a heartbeat; the resources are the caller's to fill in.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            draining: self.draining,
            in_progress: to_count(self.running.len()),
            queued: self.queued(),
            ready: self.ready,
            ..Load::default()
        }
    }

    /// Expected wait of a request that came now.
    #[must_use]
    pub fn expected_wait(&self) -> Duration {
        let waiting = self.queued().saturating_add(to_count(self.running.len()));
        retry::expected_wait(waiting, self.slots(), self.mean_service)
    }

    /// Requests that run, in no particular order.
    pub fn running(&self) -> impl Iterator<Item = RequestId> {
        self.running.keys().copied()
    }

    /// Number of outcomes that are kept.
    #[must_use]
    pub fn outcomes_len(&self) -> usize {
        self.outcomes.len()
    }

    /// Number of batch requests that wait for a slot.
    #[must_use]
    pub fn queued_batch(&self) -> u32 {
        to_count(self.queued_batch.len())
    }

    fn queued(&self) -> u32 {
        to_count(self.queued_critical.len() + self.queued_batch.len())
    }

    fn running_batch(&self) -> u32 {
        to_count(self.running.values().filter(|running| running.priority == Priority::Batch).count())
    }

    fn slots(&self) -> u32 {
        self.settings.slots.min(self.settings.connections)
    }

    fn is_held(&self, id: RequestId) -> bool {
        let mut queued = self.queued_critical.iter().chain(&self.queued_batch);
        self.running.contains_key(&id) || queued.any(|waiting| waiting.id == id)
    }
}

fn bounds(settings: &Settings) -> outcomes::Bounds {
    outcomes::Bounds {
        keep_for: settings.keep_outcomes_for,
        outcomes_max: settings.outcomes_max,
        entries_max: settings.entries_max,
    }
}

fn expiry(now: Duration, waiting: &Waiting) -> Option<Code> {
    if now >= waiting.deadline {
        Some(Code::DeadlineBeforeStart)
    } else if now >= waiting.until {
        Some(Code::Overloaded)
    } else {
        None
    }
}

/// What a question of `epoch` is answered when the answer was begun at `answered_epoch`.
///
/// A question that isn't newer than the answer is a duplicate: the answer goes over its link already.
fn answer_state(answered_epoch: Option<u32>, epoch: u32, running: bool) -> Outcome {
    match answered_epoch {
        Some(answered) if epoch <= answered => Outcome::Running,
        None if running => Outcome::Running,
        _ => Outcome::AnswerLost,
    }
}

fn to_count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
