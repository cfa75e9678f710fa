//! Admission of requests to an agent's backend server.
//!
//! The agent alone decides what runs on its worker. It never runs more than `slots` requests, and a request that it
//! reported as *not started* never starts.

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
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Connections to the backend server; bounds the sum of running and queued requests.
    pub connections: u32,
    /// Maximum number of slots that requests of [`Priority::Batch`] may occupy.
    pub batch_slots: u32,
    /// Maximum number of requests that wait for a slot.
    pub queue: u32,
    /// Maximum wait for a slot.
    #[serde(rename = "queue_wait_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub queue_wait: Duration,
    /// Retention time of outcomes; must be well above the longest request deadline.
    #[serde(rename = "keep_outcomes_for_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub keep_outcomes_for: Duration,
    /// Maximum number of outcomes kept.
    pub outcomes_max: usize,
    /// Maximum number of entries for which dropped outcomes are tracked; at least 1.
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

/// Priority of a request; the lowest is shed first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Priority {
    /// Interactive request: a user waits for the answer.
    LatencyCritical,
    /// Request that may wait; never displaces a latency-critical one.
    Batch,
}

/// Request that an entry offers for execution.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Offer {
    /// Boot of the agent to which the entry dispatched the request.
    pub agent_boot: BootId,
    /// Deadline for the start, on the agent's clock.
    pub deadline: Duration,
    /// Identifier of the dispatch.
    pub id: RequestId,
    /// Priority of the request.
    pub priority: Priority,
}

/// How a started request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Finished {
    /// The request was handed to the backend server, whatever its result.
    Ran,
    /// The request certainly didn't run: no connection could be opened, or no byte of it was sent.
    NotRun(Code),
}

/// Action for the agent to perform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Hand the request to the backend server.
    Start(RequestId),
    /// Report to the entry that the request didn't start and never will.
    NotStarted {
        /// Refused request.
        id: RequestId,
        /// Reason.
        code: Code,
        /// Expected wait for a slot; the entry adds jitter before it reports the value to a caller.
        retry_after: Duration,
    },
    /// Abort the running request; call [`Admission::finished`] once the backend server has released it.
    Abort(RequestId),
    /// Send nothing: the request is a duplicate, or was meant for an earlier boot whose outcome isn't known here.
    Drop(RequestId),
}

#[derive(Clone, Copy, Debug)]
struct Running {
    /// Query epoch at which sending of the answer began.
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
    /// End of the wait for a slot, even if the deadline is later.
    queued_until: Duration,
}

/// Admission of requests to one backend server.
#[derive(Clone, Debug)]
pub struct Admission {
    agent_boot: BootId,
    draining: bool,
    /// Exponentially weighted mean of the time that a request occupies a slot.
    mean_service_time: Duration,
    outcomes: Outcomes,
    queued_batch: VecDeque<Waiting>,
    queued_critical: VecDeque<Waiting>,
    ready: bool,
    /// At each start: at most `slots` requests, of which at most `batch_slots` are of [`Priority::Batch`].
    running: Map<RequestId, Running>,
    settings: Settings,
}

impl Admission {
    /// Creates the admission for one boot of an agent; it refuses everything until [`Admission::set_ready`].
    #[must_use]
    pub fn open(agent_boot: BootId, settings: Settings) -> Self {
        const MEAN_SERVICE_TIME_INITIAL: Duration = Duration::from_millis(10);
        Self {
            agent_boot,
            draining: false,
            mean_service_time: MEAN_SERVICE_TIME_INITIAL,
            outcomes: Outcomes::new(outcome_bounds(&settings)),
            queued_batch: VecDeque::new(),
            queued_critical: VecDeque::new(),
            ready: false,
            running: Map::default(),
            settings,
        }
    }

    /// Replaces the limits. Running requests in excess of them continue; none starts until the number is below them.
    pub fn set_settings(&mut self, now: Duration, settings: Settings) -> Vec<Action> {
        self.settings = settings;
        self.outcomes.set_bounds(outcome_bounds(&settings));
        let mut actions = Vec::new();
        self.start_queued(now, &mut actions);
        actions
    }

    /// Sets whether the backend server accepts requests.
    pub fn set_ready(&mut self, ready: bool) {
        self.ready = ready;
    }

    /// Refuses waiting and new requests; running ones continue.
    pub fn drain(&mut self, now: Duration) -> Vec<Action> {
        self.draining = true;
        let mut actions = Vec::new();
        while let Some(waiting) = self.queued_critical.pop_front().or_else(|| self.queued_batch.pop_front()) {
            self.refuse(now, waiting.id, Code::Draining, &mut actions);
        }
        actions
    }

    /// Returns whether the drain is complete: no request runs.
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
        if let Some(code) = self.refusal_code(now, offer) {
            self.refuse(now, offer.id, code, actions);
            return;
        }
        // Make room before queueing the offer, so that the queue never exceeds its bound.
        if !self.has_room() && !self.displace(now, offer.priority, actions) {
            self.refuse(now, offer.id, Code::Overloaded, actions);
            return;
        }
        let queued_until = now + self.settings.queue_wait;
        let waiting = Waiting { deadline: offer.deadline, epoch: 0, id: offer.id, queued_until };
        match offer.priority {
            Priority::LatencyCritical => self.queued_critical.push_back(waiting),
            Priority::Batch => self.queued_batch.push_back(waiting),
        }
        self.start_queued(now, actions);
    }

    fn refusal_code(&self, now: Duration, offer: &Offer) -> Option<Code> {
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
        let total = to_count(self.running.len()).saturating_add(self.queued());
        let total_max = self.slots().saturating_add(self.settings.queue).min(self.settings.connections);
        total < total_max
    }

    /// Makes room for a latency-critical request by refusing the newest queued batch request.
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

    /// Starts queued requests while slots are free.
    fn start_queued(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.expire(now, actions);
        while to_count(self.running.len()) < self.slots() {
            let Some((priority, waiting)) = self.pop_next() else { return };
            let running = Running { answered_epoch: None, epoch: waiting.epoch, priority, started: now };
            self.running.insert(waiting.id, running);
            actions.push(Action::Start(waiting.id));
        }
    }

    fn pop_next(&mut self) -> Option<(Priority, Waiting)> {
        if let Some(waiting) = self.queued_critical.pop_front() {
            return Some((Priority::LatencyCritical, waiting));
        }
        if self.running_batch() >= self.settings.batch_slots {
            return None;
        }
        self.queued_batch.pop_front().map(|waiting| (Priority::Batch, waiting))
    }

    /// Refuses queued requests that have expired.
    fn expire(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let mut expired = Vec::new();
        for queue in [&mut self.queued_critical, &mut self.queued_batch] {
            queue.retain(|waiting| {
                let code = expiry_code(now, waiting);
                expired.extend(code.map(|code| (waiting.id, code)));
                code.is_none()
            });
        }
        for (id, code) in expired {
            self.refuse(now, id, code, actions);
        }
    }

    /// Frees the slot of a request started by [`Action::Start`].
    pub fn finished(&mut self, now: Duration, id: RequestId, finished: Finished) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(running) = self.running.remove(&id) else { return actions };
        match finished {
            Finished::Ran => {
                self.record_service_time(now.saturating_sub(running.started));
                let outcome = outcomes::Outcome::Ran { answered_epoch: running.answered_epoch };
                self.outcomes.record(now, id, outcome);
            }
            Finished::NotRun(code) => self.refuse(now, id, code, &mut actions),
        }
        self.start_queued(now, &mut actions);
        actions
    }

    fn record_service_time(&mut self, service: Duration) {
        const OLD_WEIGHT: u32 = 9;
        self.mean_service_time = (self.mean_service_time.saturating_mul(OLD_WEIGHT) + service) / (OLD_WEIGHT + 1);
    }

    /// Marks the answer of a running request as begun and returns the query epoch that its frames carry.
    ///
    /// Returns `None` if the request isn't running or its answer was already begun.
    pub fn begin_answer(&mut self, id: RequestId) -> Option<u32> {
        let running = self.running.get_mut(&id)?;
        if running.answered_epoch.is_some() {
            return None;
        }
        running.answered_epoch = Some(running.epoch);
        running.answered_epoch
    }

    /// Cancels a request on behalf of its entry.
    pub fn cancel(&mut self, now: Duration, id: RequestId) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.running.contains_key(&id) {
            actions.push(Action::Abort(id));
        } else if self.remove_queued(id) {
            self.refuse(now, id, Code::Cancelled, &mut actions);
        } else if self.outcomes.get(id).is_none() && !self.outcomes.is_forgotten(id) {
            // The dispatch is still in transit or was lost; it must not start if it arrives.
            self.outcomes.record(now, id, outcomes::Outcome::NeverStarted { code: Code::Cancelled });
        }
        actions
    }

    fn remove_queued(&mut self, id: RequestId) -> bool {
        let queued_before = self.queued();
        self.queued_critical.retain(|waiting| waiting.id != id);
        self.queued_batch.retain(|waiting| waiting.id != id);
        self.queued() < queued_before
    }

    /// Returns the outcome of a dispatch to `agent_boot`; `epoch` is the number of the query for this dispatch.
    pub fn query_outcome(&mut self, now: Duration, id: RequestId, agent_boot: BootId, epoch: u32) -> Outcome {
        if agent_boot != self.agent_boot {
            return Outcome::UnknownBoot;
        }
        if let Some(running) = self.running.get_mut(&id) {
            running.epoch = running.epoch.max(epoch);
            return query_answer(running.answered_epoch, epoch, true);
        }
        if let Some(waiting) = self.find_queued(id) {
            waiting.epoch = waiting.epoch.max(epoch);
            return Outcome::Running;
        }
        match self.outcomes.get(id) {
            Some(outcomes::Outcome::NeverStarted { .. }) => Outcome::NeverStarted,
            Some(outcomes::Outcome::Ran { answered_epoch }) => query_answer(answered_epoch, epoch, false),
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

    /// Refuses expired requests and drops old outcomes; due at [`Admission::wake_at`].
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        self.start_queued(now, &mut actions);
        self.outcomes.trim(now);
        actions
    }

    /// Returns the time at which the next queued request expires.
    #[must_use]
    pub fn wake_at(&self) -> Option<Duration> {
        let queued = self.queued_critical.iter().chain(&self.queued_batch);
        queued.map(|waiting| waiting.queued_until.min(waiting.deadline)).min()
    }

    /// Returns the load for a heartbeat; the caller fills in the resources.
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

    /// Returns the expected wait of a request that arrives now.
    #[must_use]
    pub fn expected_wait(&self) -> Duration {
        let waiting = self.queued().saturating_add(to_count(self.running.len()));
        retry::expected_wait(waiting, self.slots(), self.mean_service_time)
    }

    /// Returns the running requests, in no particular order.
    pub fn running(&self) -> impl Iterator<Item = RequestId> {
        self.running.keys().copied()
    }

    /// Returns the number of outcomes kept.
    #[must_use]
    pub fn outcomes_len(&self) -> usize {
        self.outcomes.len()
    }

    /// Returns the number of batch requests that wait for a slot.
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

fn outcome_bounds(settings: &Settings) -> outcomes::Bounds {
    outcomes::Bounds {
        keep_for: settings.keep_outcomes_for,
        outcomes_max: settings.outcomes_max,
        entries_max: settings.entries_max,
    }
}

fn expiry_code(now: Duration, waiting: &Waiting) -> Option<Code> {
    if now >= waiting.deadline {
        Some(Code::DeadlineBeforeStart)
    } else if now >= waiting.queued_until {
        Some(Code::Overloaded)
    } else {
        None
    }
}

/// Returns the response to a query of `epoch` when the answer was begun at `answered_epoch`.
///
/// A query that isn't newer than the answer is a duplicate: the answer is already being sent on its link.
fn query_answer(answered_epoch: Option<u32>, epoch: u32, running: bool) -> Outcome {
    match answered_epoch {
        Some(answered) if epoch <= answered => Outcome::Running,
        None if running => Outcome::Running,
        _ => Outcome::AnswerLost,
    }
}

fn to_count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
