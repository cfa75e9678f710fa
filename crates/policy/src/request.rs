//! State machine of one request in an entry.
//!
//! Every request has exactly one [`End`]. *Not run* is reported only if no dispatch of the request has run or can still
//! run. *Answered* is reported only if the whole answer was forwarded. Everything else is *unknown*.
//!
//! An answer carries the identifier of its dispatch and an epoch. The epoch increases with each query for the outcome,
//! and the agent answers with the epoch of the latest query it has received. This distinguishes frames of a lost link
//! from frames of its replacement.

use std::time::Duration;

use crate::code::Code;
pub use crate::event::{Action, End, Event, Origin, Outcome, Spec};
use crate::id::{Name, RequestId};
use crate::retry::RetryBudget;
use crate::routing::Choice;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// Sent to the agent; no response yet.
    Sent,
    /// The link was lost; the outcome is queried until this time.
    QueryingOutcome { until: Duration },
    /// The agent reported that it runs; waiting for the answer.
    Running,
}

#[derive(Clone, Debug)]
struct Dispatch {
    choice: Choice,
    origin: Origin,
    phase: Phase,
}

/// Answer being forwarded.
#[derive(Clone, Copy, Debug)]
struct Answer {
    declared_bytes: Option<u64>,
    forwarded_bytes: u64,
    /// The only dispatch whose frames are forwarded.
    origin: Origin,
}

/// One request in an entry.
#[derive(Clone, Debug)]
pub struct Request {
    answer: Option<Answer>,
    /// Number of [`Action::Dispatch`] so far, including hedges.
    attempts: u32,
    /// Reason that the latest dispatch failed, and the expected wait.
    last_failure: (Code, Duration),
    /// Set once; no state changes afterwards.
    end: Option<End>,
    excluded: Vec<Name>,
    hedge_at: Option<Duration>,
    /// Dispatches that may still run or answer; at most one unless the request is idempotent.
    live: Vec<Dispatch>,
    /// A dispatch may have run, so *not run* can no longer be reported.
    may_have_run: bool,
    /// [`Action::Dispatch`] was issued and not yet answered.
    awaiting_dispatch: bool,
    /// Time of the next retry.
    retry_at: Option<Duration>,
    spec: Spec,
}

impl Request {
    /// Starts the state machine of a new request.
    pub fn open(now: Duration, spec: Spec, budget: &mut RetryBudget) -> (Self, Vec<Action>) {
        budget.earn();
        let mut request = Self {
            answer: None,
            attempts: 0,
            last_failure: (Code::DeadlineBeforeStart, Duration::ZERO),
            end: None,
            excluded: Vec::new(),
            hedge_at: None,
            live: Vec::new(),
            may_have_run: false,
            awaiting_dispatch: false,
            retry_at: None,
            spec,
        };
        let mut actions = Vec::new();
        if now >= spec.deadline {
            request.end_without_answer(Code::DeadlineBeforeStart, budget, &mut actions);
        } else {
            request.ask_for_dispatch(&mut actions);
        }
        (request, actions)
    }

    /// Processes an event and returns the actions to perform, in order.
    pub fn on(&mut self, now: Duration, event: &Event, budget: &mut RetryBudget) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.end.is_some() {
            Self::on_event_after_end(event, &mut actions);
            return actions;
        }
        match event {
            Event::Dispatched { id, choice } => self.on_dispatched(now, *id, choice, budget, &mut actions),
            Event::NotDispatched { code, retry_after } => {
                self.on_not_dispatched(*code, *retry_after, budget, &mut actions);
            }
            Event::NotStarted { id, code, retry_after } => {
                self.on_not_started(now, *id, *code, *retry_after, budget, &mut actions);
            }
            Event::Head { origin, length_bytes } => self.on_head(*origin, *length_bytes, &mut actions),
            Event::Chunk { origin, offset_bytes, length_bytes } => {
                self.on_chunk(now, *origin, *offset_bytes, *length_bytes, budget, &mut actions);
            }
            Event::End { origin, total_bytes } => self.on_end(now, *origin, *total_bytes, budget, &mut actions),
            Event::Broken { origin } => self.on_broken(now, *origin, budget, &mut actions),
            Event::LinkLost { id } => self.on_link_lost(now, *id, budget, &mut actions),
            Event::Outcome { origin, outcome } => self.on_outcome(now, *origin, *outcome, budget, &mut actions),
            Event::Tick => self.on_tick(now, budget, &mut actions),
            Event::CallerCancelled => self.end_without_answer(Code::Cancelled, budget, &mut actions),
        }
        actions
    }

    /// Returns the time at which [`Event::Tick`] is due, or `None` once the request has ended.
    #[must_use]
    pub fn wake_at(&self) -> Option<Duration> {
        if self.end.is_some() {
            return None;
        }
        let query_ends = self.live.iter().filter_map(|dispatch| match dispatch.phase {
            Phase::QueryingOutcome { until } => Some(until),
            Phase::Sent | Phase::Running => None,
        });
        query_ends.chain(self.retry_at).chain(self.hedge_at).chain([self.spec.deadline]).min()
    }

    /// Returns the workers that the next dispatch must avoid.
    #[must_use]
    pub fn excluded(&self) -> &[Name] {
        &self.excluded
    }

    /// Returns the number of dispatches so far.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns how the request ended, once it has.
    #[must_use]
    pub fn end(&self) -> Option<End> {
        self.end
    }

    /// Handles an event after the end. A backend server chosen after the end is cancelled before the request is sent.
    fn on_event_after_end(event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::Dispatched { id, choice } => actions.push(Action::Cancel { id: *id, choice: choice.clone() }),
            Event::Head { .. } | Event::Chunk { .. } | Event::End { .. } | Event::Outcome { .. } => {
                actions.push(Action::Drop);
            }
            _ => {}
        }
    }

    fn ask_for_dispatch(&mut self, actions: &mut Vec<Action>) {
        self.retry_at = None;
        self.awaiting_dispatch = true;
        self.attempts += 1;
        actions.push(Action::Dispatch);
    }

    fn on_dispatched(
        &mut self,
        now: Duration,
        id: RequestId,
        choice: &Choice,
        budget: &mut RetryBudget,
        actions: &mut Vec<Action>,
    ) {
        if !self.awaiting_dispatch {
            actions.push(Action::Cancel { id, choice: choice.clone() });
            return;
        }
        self.awaiting_dispatch = false;
        if now >= self.spec.deadline {
            actions.push(Action::Cancel { id, choice: choice.clone() });
            self.end_without_answer(Code::DeadlineBeforeStart, budget, actions);
            return;
        }
        self.excluded.push(Name::clone(&choice.worker));
        let origin = Origin { id, epoch: 0 };
        self.live.push(Dispatch { choice: choice.clone(), origin, phase: Phase::Sent });
        let may_hedge = self.spec.idempotent && self.attempts < budget.settings().attempts_max;
        self.hedge_at = budget.settings().hedge_after.filter(|_| may_hedge).map(|delay| now + delay);
    }

    fn on_not_dispatched(
        &mut self,
        code: Code,
        retry_after: Duration,
        budget: &mut RetryBudget,
        actions: &mut Vec<Action>,
    ) {
        if !self.awaiting_dispatch {
            return;
        }
        self.awaiting_dispatch = false;
        // The wait reported by an agent that refused the request is more accurate than the entry's estimate.
        self.last_failure = (code, retry_after.max(self.last_failure.1));
        // A retry would fail as well: the choice considered every backend server.
        if self.live.is_empty() {
            self.end_with_last_failure(budget, actions);
        }
    }

    fn on_not_started(
        &mut self,
        now: Duration,
        id: RequestId,
        code: Code,
        retry_after: Duration,
        budget: &mut RetryBudget,
        actions: &mut Vec<Action>,
    ) {
        if self.is_answering(id) || self.remove_live(id).is_none() {
            actions.push(Action::Drop);
            return;
        }
        self.last_failure = (code, retry_after);
        self.retry_or_end(now, budget, actions);
    }

    fn on_head(&mut self, origin: Origin, length_bytes: Option<u64>, actions: &mut Vec<Action>) {
        if self.answer.is_some() || !self.is_live(origin) {
            actions.push(Action::Drop);
            return;
        }
        self.answer = Some(Answer { declared_bytes: length_bytes, forwarded_bytes: 0, origin });
        self.hedge_at = None;
        self.retry_at = None;
        self.awaiting_dispatch = false;
        self.cancel_all_but(Some(origin.id), actions);
        actions.push(Action::ForwardHead);
    }

    fn on_chunk(
        &mut self,
        now: Duration,
        origin: Origin,
        offset_bytes: u64,
        length_bytes: u64,
        budget: &mut RetryBudget,
        actions: &mut Vec<Action>,
    ) {
        let Some(answer) = self.answer.as_mut().filter(|answer| answer.origin == origin) else {
            self.on_frame_without_head(now, origin, budget, actions);
            return;
        };
        let end_bytes = offset_bytes.saturating_add(length_bytes);
        if offset_bytes == answer.forwarded_bytes && answer.declared_bytes.is_none_or(|declared| end_bytes <= declared)
        {
            answer.forwarded_bytes = end_bytes;
            actions.push(Action::ForwardChunk);
        } else if end_bytes <= answer.forwarded_bytes {
            actions.push(Action::Drop);
        } else {
            self.abort_answer(budget, actions);
        }
    }

    fn on_end(
        &mut self,
        now: Duration,
        origin: Origin,
        total_bytes: u64,
        budget: &mut RetryBudget,
        actions: &mut Vec<Action>,
    ) {
        let Some(answer) = self.answer.filter(|answer| answer.origin == origin) else {
            self.on_frame_without_head(now, origin, budget, actions);
            return;
        };
        let is_complete = answer.forwarded_bytes == total_bytes
            && answer.declared_bytes.is_none_or(|declared| declared == total_bytes);
        if is_complete {
            self.live.clear();
            self.finish(End::Answered, actions);
        } else {
            self.abort_answer(budget, actions);
        }
    }

    /// Abandons a dispatch whose answer lost its head, since the answer can't be completed.
    fn on_frame_without_head(
        &mut self,
        now: Duration,
        origin: Origin,
        budget: &mut RetryBudget,
        actions: &mut Vec<Action>,
    ) {
        actions.push(Action::Drop);
        if self.answer.is_none() && self.is_live(origin) {
            self.abandon(now, origin.id, budget, actions);
        }
    }

    fn on_broken(&mut self, now: Duration, origin: Origin, budget: &mut RetryBudget, actions: &mut Vec<Action>) {
        if self.answer.is_some_and(|answer| answer.origin == origin) {
            self.abort_answer(budget, actions);
        } else if self.answer.is_none() && self.is_live(origin) {
            self.abandon(now, origin.id, budget, actions);
        } else {
            actions.push(Action::Drop);
        }
    }

    fn on_link_lost(&mut self, now: Duration, id: RequestId, budget: &mut RetryBudget, actions: &mut Vec<Action>) {
        if self.is_answering(id) {
            self.abort_answer(budget, actions);
            return;
        }
        if self.answer.is_some() || !self.live.iter().any(|dispatch| dispatch.origin.id == id) {
            return;
        }
        if self.spec.idempotent && self.has_other_than(id) {
            self.abandon_without_retry(id, actions);
        } else if self.spec.idempotent && self.may_retry(budget) && budget.spend() {
            self.abandon_without_retry(id, actions);
            self.schedule_retry(now, budget, actions);
        } else {
            self.query_outcome(now, id, actions);
        }
    }

    fn query_outcome(&mut self, now: Duration, id: RequestId, actions: &mut Vec<Action>) {
        let new_until = now + self.spec.outcome_timeout;
        let Some(dispatch) = self.live.iter_mut().find(|dispatch| dispatch.origin.id == id) else { return };
        // The limit counts from the first loss, so that a flapping link doesn't extend it.
        let until = if let Phase::QueryingOutcome { until } = dispatch.phase { until } else { new_until };
        dispatch.phase = Phase::QueryingOutcome { until };
        dispatch.origin.epoch += 1;
        actions.push(Action::QueryOutcome { origin: dispatch.origin, choice: dispatch.choice.clone() });
    }

    fn on_outcome(
        &mut self,
        now: Duration,
        origin: Origin,
        outcome: Outcome,
        budget: &mut RetryBudget,
        actions: &mut Vec<Action>,
    ) {
        if self.answer.is_some() || !self.is_live(origin) {
            actions.push(Action::Drop);
            return;
        }
        match outcome {
            Outcome::NeverStarted => {
                self.remove_live(origin.id);
                self.last_failure = (Code::LinkSilent, Duration::ZERO);
                self.retry_or_end(now, budget, actions);
            }
            Outcome::Running => self.set_running(origin.id),
            Outcome::AnswerLost | Outcome::Forgotten | Outcome::UnknownBoot => {
                self.abandon(now, origin.id, budget, actions);
            }
        }
    }

    fn set_running(&mut self, id: RequestId) {
        if let Some(dispatch) = self.live.iter_mut().find(|dispatch| dispatch.origin.id == id) {
            dispatch.phase = Phase::Running;
        }
    }

    fn on_tick(&mut self, now: Duration, budget: &mut RetryBudget, actions: &mut Vec<Action>) {
        if now >= self.spec.deadline {
            self.end_without_answer(Code::DeadlineBeforeStart, budget, actions);
            return;
        }
        self.expire_queries(now, budget, actions);
        if self.end.is_some() {
            return;
        }
        if self.retry_at.is_some_and(|due| now >= due) {
            self.ask_for_dispatch(actions);
        }
        if self.hedge_at.is_some_and(|due| now >= due) {
            self.hedge(budget, actions);
        }
    }

    fn expire_queries(&mut self, now: Duration, budget: &mut RetryBudget, actions: &mut Vec<Action>) {
        let expired = |dispatch: &&Dispatch| matches!(dispatch.phase, Phase::QueryingOutcome { until } if now >= until);
        while let Some(id) = self.live.iter().find(expired).map(|dispatch| dispatch.origin.id) {
            self.abandon(now, id, budget, actions);
        }
    }

    fn hedge(&mut self, budget: &mut RetryBudget, actions: &mut Vec<Action>) {
        self.hedge_at = None;
        if !self.awaiting_dispatch && self.retry_at.is_none() && self.may_retry(budget) && budget.spend() {
            self.ask_for_dispatch(actions);
        }
    }

    /// Abandons a dispatch that may have run, and retries if that is safe.
    fn abandon(&mut self, now: Duration, id: RequestId, budget: &mut RetryBudget, actions: &mut Vec<Action>) {
        self.abandon_without_retry(id, actions);
        self.last_failure = (Code::OutcomeUnknown, Duration::ZERO);
        self.retry_or_end(now, budget, actions);
    }

    fn abandon_without_retry(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(dispatch) = self.remove_live(id) {
            self.may_have_run = true;
            actions.push(Action::Cancel { id, choice: dispatch.choice });
        }
    }

    fn retry_or_end(&mut self, now: Duration, budget: &mut RetryBudget, actions: &mut Vec<Action>) {
        if !self.live.is_empty() || self.awaiting_dispatch || self.retry_at.is_some() {
            return;
        }
        let is_safe_to_retry = self.spec.idempotent || !self.may_have_run;
        if is_safe_to_retry && self.may_retry(budget) && budget.spend() {
            self.schedule_retry(now, budget, actions);
        } else {
            self.end_with_last_failure(budget, actions);
        }
    }

    fn may_retry(&self, budget: &RetryBudget) -> bool {
        self.answer.is_none() && self.attempts < budget.settings().attempts_max
    }

    fn schedule_retry(&mut self, now: Duration, budget: &mut RetryBudget, actions: &mut Vec<Action>) {
        let delay = budget.backoff(self.attempts + 1);
        if now + delay >= self.spec.deadline && self.live.is_empty() {
            self.end_with_last_failure(budget, actions);
        } else if !self.awaiting_dispatch {
            self.retry_at = Some(now + delay);
        }
    }

    /// Ends the request with the reason of the latest failed dispatch.
    fn end_with_last_failure(&mut self, budget: &mut RetryBudget, actions: &mut Vec<Action>) {
        let (code, _) = self.last_failure;
        self.end_without_answer(code, budget, actions);
    }

    /// Ends the request immediately.
    fn end_without_answer(&mut self, code: Code, budget: &mut RetryBudget, actions: &mut Vec<Action>) {
        let retry_after = budget.retry_after(self.last_failure.1);
        let answer_begun = self.answer.is_some();
        let may_have_run = self.may_have_run || answer_begun || !self.live.is_empty();
        self.cancel_all_but(None, actions);
        let end = if may_have_run {
            let code = if code == Code::Cancelled { code } else { Code::OutcomeUnknown };
            End::Unknown { code, answer_begun, retry_after }
        } else {
            End::NotRun { code, retry_after }
        };
        self.finish(end, actions);
    }

    /// Ends a request whose answer was partly forwarded and can't be completed.
    fn abort_answer(&mut self, budget: &mut RetryBudget, actions: &mut Vec<Action>) {
        self.end_without_answer(Code::OutcomeUnknown, budget, actions);
    }

    fn finish(&mut self, end: End, actions: &mut Vec<Action>) {
        self.end = Some(end);
        actions.push(Action::Finish(end));
    }

    fn cancel_all_but(&mut self, kept: Option<RequestId>, actions: &mut Vec<Action>) {
        for dispatch in &self.live {
            if Some(dispatch.origin.id) != kept {
                actions.push(Action::Cancel { id: dispatch.origin.id, choice: dispatch.choice.clone() });
            }
        }
        self.live.retain(|dispatch| Some(dispatch.origin.id) == kept);
    }

    /// Returns whether the request can still be answered by another dispatch.
    fn has_other_than(&self, id: RequestId) -> bool {
        self.awaiting_dispatch || self.retry_at.is_some() || self.live.iter().any(|dispatch| dispatch.origin.id != id)
    }

    fn is_live(&self, origin: Origin) -> bool {
        self.live.iter().any(|dispatch| dispatch.origin == origin)
    }

    fn is_answering(&self, id: RequestId) -> bool {
        self.answer.is_some_and(|answer| answer.origin.id == id)
    }

    fn remove_live(&mut self, id: RequestId) -> Option<Dispatch> {
        let index = self.live.iter().position(|dispatch| dispatch.origin.id == id)?;
        Some(self.live.swap_remove(index))
    }
}
