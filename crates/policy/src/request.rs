//! State machine of one request in an entry.
//!
//! Every request has exactly one [`End`]. *Not run* is told only when no dispatch of the request has run or can still
//! run. *Answered* is told only when the whole answer was forwarded. All else is *unknown*.
//!
//! An answer carries the identifier of its dispatch and an epoch. The epoch rises with each question about the outcome,
//! and the agent answers with the epoch of the latest question it has seen, so that frames of a lost link are told
//! apart from frames of its replacement.

use std::time::Duration;

use crate::code::Code;
pub use crate::event::{Action, End, Event, Origin, Outcome, Spec};
use crate::id::{Name, RequestId};
use crate::retry::RetryBudget;
use crate::routing::Choice;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// Handed over, nothing heard.
    Sent,
    /// Its link was lost; asking for the outcome until this time.
    Asking { until: Duration },
    /// The agent told that it runs; its answer is awaited.
    Running,
}

#[derive(Clone, Debug)]
struct Dispatch {
    choice: Choice,
    origin: Origin,
    phase: Phase,
}

/// Answer that is being forwarded.
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
    /// Dispatches asked for with [`Action::Dispatch`], hedges among them.
    attempts: u32,
    /// Why the latest dispatch failed.
    cause: (Code, Duration),
    /// Set once; nothing changes after.
    end: Option<End>,
    excluded: Vec<Name>,
    hedge_at: Option<Duration>,
    /// Dispatches that may still run or answer. At most one unless the request is idempotent.
    live: Vec<Dispatch>,
    /// Some dispatch may have run: *not run* can't be told any more.
    maybe_run: bool,
    /// [`Action::Dispatch`] was given and not yet answered.
    choosing: bool,
    /// Time of the next retry.
    retry_at: Option<Duration>,
    spec: Spec,
}

impl Request {
    /// Takes a request in.
    pub fn open(now: Duration, spec: Spec, retries: &mut RetryBudget) -> (Self, Vec<Action>) {
        retries.earn();
        let mut request = Self {
            answer: None,
            attempts: 0,
            cause: (Code::DeadlineBeforeStart, Duration::ZERO),
            end: None,
            excluded: Vec::new(),
            hedge_at: None,
            live: Vec::new(),
            maybe_run: false,
            choosing: false,
            retry_at: None,
            spec,
        };
        let mut actions = Vec::new();
        if now >= spec.deadline {
            request.give_up(Code::DeadlineBeforeStart, retries, &mut actions);
        } else {
            request.ask_for_dispatch(&mut actions);
        }
        (request, actions)
    }

    /// Takes an event in and gives what is to be done, in order.
    pub fn on(&mut self, now: Duration, event: &Event, retries: &mut RetryBudget) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.end.is_some() {
            Self::on_late(event, &mut actions);
            return actions;
        }
        match event {
            Event::Dispatched { id, choice } => self.on_dispatched(now, *id, choice, retries, &mut actions),
            Event::NotDispatched { code, retry_after } => {
                self.on_not_dispatched(*code, *retry_after, retries, &mut actions);
            }
            Event::NotStarted { id, code, retry_after } => {
                self.on_not_started(now, *id, *code, *retry_after, retries, &mut actions);
            }
            Event::Head { origin, length_bytes } => self.on_head(*origin, *length_bytes, &mut actions),
            Event::Chunk { origin, offset_bytes, length_bytes } => {
                self.on_chunk(now, *origin, *offset_bytes, *length_bytes, retries, &mut actions);
            }
            Event::End { origin, total_bytes } => self.on_end(now, *origin, *total_bytes, retries, &mut actions),
            Event::Broken { origin } => self.on_broken(now, *origin, retries, &mut actions),
            Event::LinkLost { id } => self.on_link_lost(now, *id, retries, &mut actions),
            Event::Outcome { origin, outcome } => self.on_outcome(now, *origin, *outcome, retries, &mut actions),
            Event::Tick => self.on_tick(now, retries, &mut actions),
            Event::CallerCancelled => self.give_up(Code::Cancelled, retries, &mut actions),
        }
        actions
    }

    /// Time at which [`Event::Tick`] is due; absent once the request has ended.
    #[must_use]
    pub fn wake_at(&self) -> Option<Duration> {
        if self.end.is_some() {
            return None;
        }
        let asks = self.live.iter().filter_map(|dispatch| match dispatch.phase {
            Phase::Asking { until } => Some(until),
            Phase::Sent | Phase::Running => None,
        });
        asks.chain(self.retry_at).chain(self.hedge_at).chain([self.spec.deadline]).min()
    }

    /// Workers that the next dispatch should avoid.
    #[must_use]
    pub fn excluded(&self) -> &[Name] {
        &self.excluded
    }

    /// Number of dispatches so far.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// How the request ended, once it has.
    #[must_use]
    pub fn end(&self) -> Option<End> {
        self.end
    }

    /// A dispatch that was chosen after the end is never handed over: it is cancelled before it is sent.
    fn on_late(event: &Event, actions: &mut Vec<Action>) {
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
        self.choosing = true;
        self.attempts += 1;
        actions.push(Action::Dispatch);
    }

    fn on_dispatched(
        &mut self,
        now: Duration,
        id: RequestId,
        choice: &Choice,
        retries: &mut RetryBudget,
        actions: &mut Vec<Action>,
    ) {
        if !self.choosing {
            actions.push(Action::Cancel { id, choice: choice.clone() });
            return;
        }
        self.choosing = false;
        if now >= self.spec.deadline {
            actions.push(Action::Cancel { id, choice: choice.clone() });
            self.give_up(Code::DeadlineBeforeStart, retries, actions);
            return;
        }
        self.excluded.push(Name::clone(&choice.worker));
        let origin = Origin { id, epoch: 0 };
        self.live.push(Dispatch { choice: choice.clone(), origin, phase: Phase::Sent });
        let hedged = self.spec.idempotent && self.attempts < retries.settings().attempts_max;
        self.hedge_at = retries.settings().hedge_after.filter(|_| hedged).map(|delay| now + delay);
    }

    fn on_not_dispatched(
        &mut self,
        code: Code,
        retry_after: Duration,
        retries: &mut RetryBudget,
        actions: &mut Vec<Action>,
    ) {
        if !self.choosing {
            return;
        }
        self.choosing = false;
        // An agent that refused the request knows the wait better than the entry.
        self.cause = (code, retry_after.max(self.cause.1));
        // Nothing that a retry could do differently: the choice saw every backend server.
        if self.live.is_empty() {
            self.give_up_for(retries, actions);
        }
    }

    fn on_not_started(
        &mut self,
        now: Duration,
        id: RequestId,
        code: Code,
        retry_after: Duration,
        retries: &mut RetryBudget,
        actions: &mut Vec<Action>,
    ) {
        if self.is_answering(id) || self.take(id).is_none() {
            actions.push(Action::Drop);
            return;
        }
        self.cause = (code, retry_after);
        self.retry_or_give_up(now, retries, actions);
    }

    fn on_head(&mut self, origin: Origin, length_bytes: Option<u64>, actions: &mut Vec<Action>) {
        if self.answer.is_some() || !self.is_live(origin) {
            actions.push(Action::Drop);
            return;
        }
        self.answer = Some(Answer { declared_bytes: length_bytes, forwarded_bytes: 0, origin });
        self.hedge_at = None;
        self.retry_at = None;
        self.choosing = false;
        self.cancel_all_but(Some(origin.id), actions);
        actions.push(Action::ForwardHead);
    }

    fn on_chunk(
        &mut self,
        now: Duration,
        origin: Origin,
        offset_bytes: u64,
        length_bytes: u64,
        retries: &mut RetryBudget,
        actions: &mut Vec<Action>,
    ) {
        let Some(answer) = self.answer.as_mut().filter(|answer| answer.origin == origin) else {
            self.on_frame_without_head(now, origin, retries, actions);
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
            self.break_answer(retries, actions);
        }
    }

    fn on_end(
        &mut self,
        now: Duration,
        origin: Origin,
        total_bytes: u64,
        retries: &mut RetryBudget,
        actions: &mut Vec<Action>,
    ) {
        let Some(answer) = self.answer.filter(|answer| answer.origin == origin) else {
            self.on_frame_without_head(now, origin, retries, actions);
            return;
        };
        let whole = answer.forwarded_bytes == total_bytes
            && answer.declared_bytes.is_none_or(|declared| declared == total_bytes);
        if whole {
            self.live.clear();
            self.finish(End::Answered, actions);
        } else {
            self.break_answer(retries, actions);
        }
    }

    /// A part of an answer whose head was lost can't be made whole.
    fn on_frame_without_head(
        &mut self,
        now: Duration,
        origin: Origin,
        retries: &mut RetryBudget,
        actions: &mut Vec<Action>,
    ) {
        actions.push(Action::Drop);
        if self.answer.is_none() && self.is_live(origin) {
            self.lose(now, origin.id, retries, actions);
        }
    }

    fn on_broken(&mut self, now: Duration, origin: Origin, retries: &mut RetryBudget, actions: &mut Vec<Action>) {
        if self.answer.is_some_and(|answer| answer.origin == origin) {
            self.break_answer(retries, actions);
        } else if self.answer.is_none() && self.is_live(origin) {
            self.lose(now, origin.id, retries, actions);
        } else {
            actions.push(Action::Drop);
        }
    }

    fn on_link_lost(&mut self, now: Duration, id: RequestId, retries: &mut RetryBudget, actions: &mut Vec<Action>) {
        if self.is_answering(id) {
            self.break_answer(retries, actions);
            return;
        }
        if self.answer.is_some() || !self.live.iter().any(|dispatch| dispatch.origin.id == id) {
            return;
        }
        if self.spec.idempotent && self.has_other_than(id) {
            self.lose_without_retry(id, actions);
        } else if self.spec.idempotent && self.may_retry(retries) && retries.spend() {
            self.lose_without_retry(id, actions);
            self.schedule_retry(now, retries, actions);
        } else {
            self.ask(now, id, actions);
        }
    }

    fn ask(&mut self, now: Duration, id: RequestId, actions: &mut Vec<Action>) {
        let first_until = now + self.spec.outcome_timeout;
        let Some(dispatch) = self.live.iter_mut().find(|dispatch| dispatch.origin.id == id) else { return };
        // The bound counts from the first loss, so that a link that flaps doesn't extend it.
        let until = if let Phase::Asking { until } = dispatch.phase { until } else { first_until };
        dispatch.phase = Phase::Asking { until };
        dispatch.origin.epoch += 1;
        actions.push(Action::QueryOutcome { origin: dispatch.origin, choice: dispatch.choice.clone() });
    }

    fn on_outcome(
        &mut self,
        now: Duration,
        origin: Origin,
        outcome: Outcome,
        retries: &mut RetryBudget,
        actions: &mut Vec<Action>,
    ) {
        if self.answer.is_some() || !self.is_live(origin) {
            actions.push(Action::Drop);
            return;
        }
        match outcome {
            Outcome::NeverStarted => {
                self.take(origin.id);
                self.cause = (Code::LinkSilent, Duration::ZERO);
                self.retry_or_give_up(now, retries, actions);
            }
            Outcome::Running => self.set_running(origin.id),
            Outcome::AnswerLost | Outcome::Forgotten | Outcome::UnknownBoot => {
                self.lose(now, origin.id, retries, actions);
            }
        }
    }

    fn set_running(&mut self, id: RequestId) {
        if let Some(dispatch) = self.live.iter_mut().find(|dispatch| dispatch.origin.id == id) {
            dispatch.phase = Phase::Running;
        }
    }

    fn on_tick(&mut self, now: Duration, retries: &mut RetryBudget, actions: &mut Vec<Action>) {
        if now >= self.spec.deadline {
            self.give_up(Code::DeadlineBeforeStart, retries, actions);
            return;
        }
        self.expire_asks(now, retries, actions);
        if self.end.is_some() {
            return;
        }
        if self.retry_at.is_some_and(|at| now >= at) {
            self.ask_for_dispatch(actions);
        }
        if self.hedge_at.is_some_and(|at| now >= at) {
            self.hedge(retries, actions);
        }
    }

    fn expire_asks(&mut self, now: Duration, retries: &mut RetryBudget, actions: &mut Vec<Action>) {
        let expired = |dispatch: &&Dispatch| matches!(dispatch.phase, Phase::Asking { until } if now >= until);
        while let Some(id) = self.live.iter().find(expired).map(|dispatch| dispatch.origin.id) {
            self.lose(now, id, retries, actions);
        }
    }

    fn hedge(&mut self, retries: &mut RetryBudget, actions: &mut Vec<Action>) {
        self.hedge_at = None;
        if !self.choosing && self.retry_at.is_none() && self.may_retry(retries) && retries.spend() {
            self.ask_for_dispatch(actions);
        }
    }

    /// Gives a dispatch up that may have run, and retries if that does no harm.
    fn lose(&mut self, now: Duration, id: RequestId, retries: &mut RetryBudget, actions: &mut Vec<Action>) {
        self.lose_without_retry(id, actions);
        self.cause = (Code::OutcomeUnknown, Duration::ZERO);
        self.retry_or_give_up(now, retries, actions);
    }

    fn lose_without_retry(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(dispatch) = self.take(id) {
            self.maybe_run = true;
            actions.push(Action::Cancel { id, choice: dispatch.choice });
        }
    }

    fn retry_or_give_up(&mut self, now: Duration, retries: &mut RetryBudget, actions: &mut Vec<Action>) {
        if !self.live.is_empty() || self.choosing || self.retry_at.is_some() {
            return;
        }
        let harmless = self.spec.idempotent || !self.maybe_run;
        if harmless && self.may_retry(retries) && retries.spend() {
            self.schedule_retry(now, retries, actions);
        } else {
            self.give_up_for(retries, actions);
        }
    }

    fn may_retry(&self, retries: &RetryBudget) -> bool {
        self.answer.is_none() && self.attempts < retries.settings().attempts_max
    }

    fn schedule_retry(&mut self, now: Duration, retries: &mut RetryBudget, actions: &mut Vec<Action>) {
        let delay = retries.backoff(self.attempts + 1);
        if now + delay >= self.spec.deadline && self.live.is_empty() {
            self.give_up_for(retries, actions);
        } else if !self.choosing {
            self.retry_at = Some(now + delay);
        }
    }

    /// Ends the request for the reason that the latest dispatch failed.
    fn give_up_for(&mut self, retries: &mut RetryBudget, actions: &mut Vec<Action>) {
        let (code, _) = self.cause;
        self.give_up(code, retries, actions);
    }

    /// Ends the request at once.
    fn give_up(&mut self, code: Code, retries: &mut RetryBudget, actions: &mut Vec<Action>) {
        let retry_after = retries.retry_after(self.cause.1);
        let answer_begun = self.answer.is_some();
        let maybe_run = self.maybe_run || answer_begun || !self.live.is_empty();
        self.cancel_all_but(None, actions);
        let end = if maybe_run {
            let code = if code == Code::Cancelled { code } else { Code::OutcomeUnknown };
            End::Unknown { code, answer_begun, retry_after }
        } else {
            End::NotRun { code, retry_after }
        };
        self.finish(end, actions);
    }

    /// The caller has part of an answer that can't be made whole.
    fn break_answer(&mut self, retries: &mut RetryBudget, actions: &mut Vec<Action>) {
        self.give_up(Code::OutcomeUnknown, retries, actions);
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

    /// Tells whether the request can still be answered without this dispatch.
    fn has_other_than(&self, id: RequestId) -> bool {
        self.choosing || self.retry_at.is_some() || self.live.iter().any(|dispatch| dispatch.origin.id != id)
    }

    fn is_live(&self, origin: Origin) -> bool {
        self.live.iter().any(|dispatch| dispatch.origin == origin)
    }

    fn is_answering(&self, id: RequestId) -> bool {
        self.answer.is_some_and(|answer| answer.origin.id == id)
    }

    fn take(&mut self, id: RequestId) -> Option<Dispatch> {
        let at = self.live.iter().position(|dispatch| dispatch.origin.id == id)?;
        Some(self.live.swap_remove(at))
    }
}
