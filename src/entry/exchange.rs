//! Drives one caller's request: carries out the actions of [`chervilledge_policy::request::Request`].

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use chervilledge_caller::answer::{self, Body};
use chervilledge_caller::{Outcome, Refusal};
use chervilledge_link::message::{Header, Reply, Start, StartBody, ToAgent, WINDOW_BYTES};
use chervilledge_policy::clock::Clock;
use chervilledge_policy::code::Code;
use chervilledge_policy::collections::Map;
use chervilledge_policy::id::{BootId, Name, RequestId};
use chervilledge_policy::request::{Action, End, Event, Origin, Request, Spec};
use chervilledge_policy::retry::RetryBudget;
use chervilledge_policy::routing::{Choice, Finished};
use http::{Method, Response};
use tokio::sync::{Semaphore, mpsc, oneshot};

use crate::entry::answering::{ANSWER_QUEUE, Caller, break_off, head_of, offer, streamed};
use crate::entry::fleet::{Fleet, Frame, Link};
use crate::entry::journal::{Journal, Trace, What};
use crate::entry::keys::Claim;
use crate::entry::upload;
use crate::entry::work::{Work, WorkBody};
use crate::sync::lock;

/// Bytes that a caller takes before the agent's window is widened.
const WINDOW_STEP_BYTES: u64 = WINDOW_BYTES / 4;

/// What drivers of an entry share.
#[derive(Debug)]
pub struct Context {
    /// Workers known to the entry.
    pub fleet: Arc<Fleet>,
    /// Clock of the process.
    pub clock: Clock,
    /// Start of the entry.
    pub boot: BootId,
    /// Last sequence number of a request identifier.
    pub sequence: AtomicU64,
    /// How requests ended.
    pub ends: Ends,
    /// What happened to recent requests.
    pub journal: Journal,
}

impl Context {
    /// Makes an identifier that was never used.
    pub fn next_id(&self) -> RequestId {
        RequestId { entry: self.boot, sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1 }
    }
}

/// Counts of how requests ended.
#[derive(Debug, Default)]
pub struct Ends {
    /// Requests whose whole answer was forwarded.
    pub answered: AtomicU64,
    /// Requests that were not run.
    pub not_run: AtomicU64,
    /// Requests that may have been run.
    pub unknown: AtomicU64,
    /// Dispatches beyond the first of a request.
    pub retries: AtomicU64,
    /// Late or duplicate replies that were dropped.
    pub dropped_replies: AtomicU64,
}

/// Runs a request to its end and gives the answer for the caller; `claim` is told the end.
pub async fn run(context: Arc<Context>, id: RequestId, work: Work, spec: Spec, claim: Option<Claim>) -> Response<Body> {
    let (head, head_taken) = oneshot::channel();
    tokio::spawn(async move {
        let mut driver = Driver::new(context, id, work, spec, head);
        let end = driver.run().await;
        if let Some(claim) = claim {
            claim.end(end);
        }
    });
    match head_taken.await {
        Ok(response) => response,
        // The driver always answers before it ends; a panic in it was reported.
        Err(_) => refusal(id, Code::OutcomeUnknown, Outcome::Unknown, Duration::from_secs(1)).response(),
    }
}

fn refusal(request: RequestId, code: Code, outcome: Outcome, retry_after: Duration) -> Refusal {
    Refusal { code, outcome, request, retry_after }
}

/// What a task of a request tells its driver.
enum Noted {
    /// An event about a link.
    Event(Event),
    /// The request body couldn't be handed on whole.
    UploadFailed(Code),
}

/// One dispatch of the request.
struct Dispatched {
    choice: Choice,
    link: Link,
    sent_at: Duration,
    /// Bytes of the request body that the agent lets the entry send.
    credit: Arc<Semaphore>,
    /// Bytes of the answer that the caller took and the agent wasn't told of.
    taken_bytes: u64,
}

struct Driver {
    context: Arc<Context>,
    trace: Trace,
    work: Work,
    request: Request,
    retries: Arc<Mutex<RetryBudget>>,
    caller: Caller,
    frames: mpsc::UnboundedReceiver<Frame>,
    frames_sender: mpsc::UnboundedSender<Frame>,
    /// What tasks of the request noted.
    noted: mpsc::UnboundedReceiver<Noted>,
    noted_sender: mpsc::UnboundedSender<Noted>,
    /// Why the request body couldn't be handed on whole.
    upload_fault: Option<Code>,
    dispatches: Map<RequestId, Dispatched>,
    /// Parts that were received and not yet taken by the caller's connection.
    parts: VecDeque<(RequestId, Bytes)>,
    first_actions: Vec<Action>,
    deadline: Duration,
    /// The end, carried out once all parts were taken.
    end: Option<End>,
}

impl Driver {
    fn new(
        context: Arc<Context>,
        id: RequestId,
        work: Work,
        spec: Spec,
        head: oneshot::Sender<Response<Body>>,
    ) -> Self {
        let trace = Trace::new(id, Name::clone(&work.service), context.clock.now());
        let retries = context.fleet.retries(&work.service, work.retry);
        let (request, first_actions) = Request::open(context.clock.now(), spec, &mut lock(&retries));
        let (frames_sender, frames) = mpsc::unbounded_channel();
        let (noted_sender, noted) = mpsc::unbounded_channel();
        Self {
            context,
            trace,
            work,
            request,
            retries,
            caller: Caller::Waiting(head),
            frames,
            frames_sender,
            noted,
            noted_sender,
            upload_fault: None,
            dispatches: Map::default(),
            parts: VecDeque::new(),
            first_actions,
            deadline: spec.deadline,
            end: None,
        }
    }

    /// Runs the request and gives its end.
    async fn run(&mut self) -> End {
        let actions = std::mem::take(&mut self.first_actions);
        self.perform(actions, None).await;
        while self.end.is_none() || !self.parts.is_empty() {
            if !self.step().await {
                break;
            }
        }
        self.finish()
    }

    fn note(&mut self, what: What) {
        self.trace.add(self.context.clock.now(), what);
    }

    /// Waits for the next event and carries out what follows; tells whether there is more to wait for.
    async fn step(&mut self) -> bool {
        let now = self.context.clock.now();
        let wait = self.request.wake_at().map_or(Duration::MAX, |at| at.saturating_sub(now));
        let has_parts = !self.parts.is_empty();
        tokio::select! {
            Some(frame) = self.frames.recv() => self.on_frame(frame).await,
            Some(noted) = self.noted.recv() => self.on_noted(noted).await,
            is_taken = offer(&mut self.caller, has_parts) => {
                if is_taken { self.pass_on().await } else { self.on_caller_gone().await }
            }
            () = tokio::time::sleep(wait) => self.on_event(&Event::Tick, None).await,
        }
        !matches!(self.caller, Caller::Gone)
    }

    async fn on_event(&mut self, event: &Event, bytes: Option<Content>) {
        let now = self.context.clock.now();
        let actions = self.request.on(now, event, &mut lock(&self.retries));
        self.perform(actions, bytes).await;
    }

    async fn on_noted(&mut self, noted: Noted) {
        match noted {
            Noted::Event(event) => self.on_event(&event, None).await,
            Noted::UploadFailed(code) => {
                self.upload_fault = Some(code);
                self.on_event(&Event::CallerCancelled, None).await;
            }
        }
    }

    async fn on_caller_gone(&mut self) {
        self.note(What::CallerGone);
        self.on_event(&Event::CallerCancelled, None).await;
        self.caller = Caller::Gone;
    }

    async fn on_frame(&mut self, frame: Frame) {
        let reply = match frame {
            Frame::LinkLost(id) => {
                self.note(What::LinkLost { dispatch: id });
                return self.on_event(&Event::LinkLost { id }, None).await;
            }
            Frame::Reply(reply) => reply,
        };
        match reply {
            Reply::Started { request } => self.on_started(request),
            Reply::Window { request, bytes } => self.on_window(request, bytes),
            Reply::NotStarted { request, code, retry_after_ms } => {
                self.leave(request, Finished::NotStarted);
                self.note(What::NotStarted { dispatch: request, code });
                let retry_after = Duration::from_millis(u64::from(retry_after_ms));
                self.on_event(&Event::NotStarted { id: request, code, retry_after }, None).await;
            }
            Reply::Whole { origin, status, headers, body } => self.on_whole(origin, status, headers, body.into()).await,
            Reply::Head { origin, status, headers, length_bytes } => {
                self.note(What::Head { dispatch: origin.id, status });
                let event = Event::Head { origin, length_bytes };
                self.on_event(&event, Some(Content::Head { origin, status, headers, length_bytes })).await;
            }
            Reply::Chunk { origin, offset_bytes, bytes } => {
                let event = Event::Chunk { origin, offset_bytes, length_bytes: length(&bytes) };
                self.on_event(&event, Some(Content::Part { origin, bytes: bytes.into() })).await;
            }
            Reply::End { origin, total_bytes } => {
                self.leave(origin.id, Finished::Succeeded(self.latency(origin.id)));
                self.on_event(&Event::End { origin, total_bytes }, None).await;
            }
            Reply::Broken { origin, code } => {
                self.note(What::Broken { dispatch: origin.id, code });
                self.leave(origin.id, Finished::Failed);
                self.on_event(&Event::Broken { origin }, None).await;
            }
            Reply::Outcome { origin, outcome } => {
                self.note(What::Outcome { dispatch: origin.id, outcome });
                self.on_event(&Event::Outcome { origin, outcome }, None).await;
            }
        }
    }

    /// Takes in a short answer, as its head, its one part and its end.
    async fn on_whole(&mut self, origin: Origin, status: u16, headers: Vec<Header>, body: Bytes) {
        let length_bytes = length(&body);
        self.note(What::Head { dispatch: origin.id, status });
        self.leave(origin.id, Finished::Succeeded(self.latency(origin.id)));
        let head = Event::Head { origin, length_bytes: Some(length_bytes) };
        self.on_event(&head, Some(Content::Whole { origin, status, headers, body })).await;
        // The body goes with the head; the decision still counts its bytes.
        self.on_event(&Event::Chunk { origin, offset_bytes: 0, length_bytes }, None).await;
        self.on_event(&Event::End { origin, total_bytes: length_bytes }, None).await;
    }

    async fn perform(&mut self, actions: Vec<Action>, content: Option<Content>) {
        let mut content = content;
        let mut queue: VecDeque<Action> = actions.into();
        while let Some(action) = queue.pop_front() {
            match action {
                Action::Dispatch => queue.extend(self.dispatch().await),
                Action::QueryOutcome { origin, choice } => self.ask(origin, choice),
                Action::Cancel { id, choice } => self.cancel(id, &choice),
                Action::ForwardHead => self.forward_head(content.take()),
                Action::ForwardChunk => self.forward_part(content.take()),
                Action::Finish(end) => self.end = Some(end),
                Action::Drop => {
                    self.context.ends.dropped_replies.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
    }

    /// Chooses a backend server and hands the request over; gives the actions that follow.
    async fn dispatch(&mut self) -> Vec<Action> {
        if self.request.attempts() > 1 {
            self.context.ends.retries.fetch_add(1, Ordering::Relaxed);
        }
        let (choice, link) =
            match self.context.fleet.choose(&self.work.service, self.work.sheddable, self.request.excluded()) {
                Ok(chosen) => chosen,
                Err(code) => return self.not_dispatched(code),
            };
        // The first dispatch carries the identifier that the caller is told.
        let id = if self.request.attempts() <= 1 { self.trace.request } else { self.context.next_id() };
        if !link.expect(id, self.frames_sender.clone()) {
            self.context.fleet.finished(&self.work.service, &choice, Finished::NotStarted);
            return self.not_dispatched(Code::LinkClosed);
        }
        self.note(What::Dispatched { dispatch: id, worker: Name::clone(&choice.worker) });
        let now = self.context.clock.now();
        let event = Event::Dispatched { id, choice: choice.clone() };
        let actions = self.request.on(now, &event, &mut lock(&self.retries));
        if is_cancelled(&actions, id) {
            link.forget(id);
            self.context.fleet.finished(&self.work.service, &choice, Finished::NotStarted);
            return actions;
        }
        let start = self.start(id, choice.agent_boot, now);
        let dispatched = Dispatched {
            choice,
            link: link.clone(),
            sent_at: now,
            credit: Arc::new(Semaphore::new(0)),
            taken_bytes: 0,
        };
        self.dispatches.insert(id, dispatched);
        // A link that ends before the message is written reports itself lost.
        link.send(ToAgent::Start(Box::new(start))).await;
        actions
    }

    fn not_dispatched(&mut self, code: Code) -> Vec<Action> {
        self.note(What::NotDispatched { code });
        let event = Event::NotDispatched { code, retry_after: Duration::ZERO };
        self.request.on(self.context.clock.now(), &event, &mut lock(&self.retries))
    }

    fn start(&self, request: RequestId, agent: BootId, now: Duration) -> Start {
        let body = match &self.work.body {
            WorkBody::Whole(bytes) => StartBody::Inline(bytes.to_vec()),
            WorkBody::Streamed(_) => StartBody::Streamed { length_bytes: None },
        };
        Start {
            request,
            remaining_ms: self.deadline.saturating_sub(now),
            sheddable: self.work.sheddable,
            method: self.work.method.clone(),
            target: self.work.target.clone(),
            headers: self.work.headers.clone(),
            agent,
            body,
        }
    }

    /// Starts to hand on a streamed body, which happens for one dispatch at most.
    fn on_started(&mut self, id: RequestId) {
        let WorkBody::Streamed(streamed) = &mut self.work.body else { return };
        let Some(dispatched) = self.dispatches.get(&id) else { return };
        let Some(rest) = streamed.rest.take() else { return };
        let upload = upload::Upload {
            request: id,
            link: dispatched.link.clone(),
            credit: Arc::clone(&dispatched.credit),
            prefix: std::mem::take(&mut streamed.prefix),
            rest,
            bytes_max: streamed.bytes_max,
        };
        let events = self.noted_sender.clone();
        tokio::spawn(async move {
            if let Err(code) = upload.run().await {
                // The driver may have ended with the request.
                drop(events.send(Noted::UploadFailed(code)));
            }
        });
    }

    fn on_window(&self, id: RequestId, bytes: u64) {
        if let Some(dispatched) = self.dispatches.get(&id) {
            upload::grant(&dispatched.credit, bytes);
        }
    }

    /// Asks about a dispatch on the next link to the same start of the agent.
    fn ask(&self, origin: Origin, choice: Choice) {
        let Some(lost) = self.dispatches.get(&origin.id).map(|dispatched| dispatched.link.number) else { return };
        let fleet = Arc::clone(&self.context.fleet);
        let frames = self.frames_sender.clone();
        let events = self.noted_sender.clone();
        tokio::spawn(async move {
            let next = tokio::select! {
                next = fleet.next_link(&choice.worker, choice.agent_boot, lost) => next,
                () = events.closed() => return,
            };
            let Ok(link) = next else {
                let outcome = chervilledge_policy::request::Outcome::UnknownBoot;
                drop(events.send(Noted::Event(Event::Outcome { origin, outcome })));
                return;
            };
            if !link.expect(origin.id, frames) {
                drop(events.send(Noted::Event(Event::LinkLost { id: origin.id })));
                return;
            }
            link.send(ToAgent::Ask { origin, agent: choice.agent_boot }).await;
        });
    }

    fn cancel(&mut self, id: RequestId, choice: &Choice) {
        self.leave(id, Finished::Cancelled);
        if let Some(link) = self.context.fleet.link(&choice.worker) {
            link.post(ToAgent::Cancel { request: id });
            link.forget(id);
        }
    }

    fn forward_head(&mut self, content: Option<Content>) {
        let (origin, status, headers, length_bytes) = match content {
            Some(Content::Head { origin, status, headers, length_bytes }) => (origin, status, headers, length_bytes),
            Some(Content::Whole { origin, status, headers, body }) => {
                return self.forward_whole(origin, status, &headers, body);
            }
            _ => return,
        };
        let (sender, receiver) = mpsc::channel(ANSWER_QUEUE);
        // An answer to HEAD states the length of a body that doesn't follow.
        let length_bytes = length_bytes.filter(|_| self.work.method != Method::HEAD.as_str());
        let response = head_of(origin.id, status, &headers, length_bytes, streamed(receiver));
        if let Caller::Waiting(head) = std::mem::replace(&mut self.caller, Caller::Receiving(sender)) {
            // A caller that went away is noticed at the next part.
            drop(head.send(response));
        }
    }

    fn forward_whole(&mut self, origin: Origin, status: u16, headers: &[Header], body: Bytes) {
        let is_head = self.work.method == Method::HEAD.as_str();
        let length_bytes = (!is_head).then(|| length(&body));
        let response = head_of(origin.id, status, headers, length_bytes, answer::full(body));
        if let Caller::Waiting(head) = std::mem::replace(&mut self.caller, Caller::Served) {
            // A caller that went away needs no answer.
            drop(head.send(response));
        }
    }

    fn forward_part(&mut self, content: Option<Content>) {
        if let Some(Content::Part { origin, bytes }) = content {
            self.parts.push_back((origin.id, bytes));
        }
    }

    /// Passes the oldest part on to the caller's connection and lets the agent send as much again.
    async fn pass_on(&mut self) {
        let Caller::Receiving(sender) = &self.caller else { return };
        let Some((id, bytes)) = self.parts.pop_front() else { return };
        let count = length(&bytes);
        if sender.send(Ok(bytes)).await.is_err() {
            self.on_caller_gone().await;
            return;
        }
        self.widen(id, count);
    }

    /// Lets the agent send as much again as the caller took, in steps that are worth a message.
    fn widen(&mut self, id: RequestId, count: u64) {
        let Some(dispatched) = self.dispatches.get_mut(&id) else { return };
        dispatched.taken_bytes += count;
        if dispatched.taken_bytes >= WINDOW_STEP_BYTES {
            let bytes = std::mem::take(&mut dispatched.taken_bytes);
            dispatched.link.post(ToAgent::Window { request: id, bytes });
        }
    }

    fn latency(&self, id: RequestId) -> Duration {
        let now = self.context.clock.now();
        self.dispatches.get(&id).map_or(Duration::ZERO, |dispatched| now.saturating_sub(dispatched.sent_at))
    }

    /// Counts the end of a dispatch.
    fn leave(&mut self, id: RequestId, finished: Finished) {
        if let Some(dispatched) = self.dispatches.remove(&id) {
            self.context.fleet.finished(&self.work.service, &dispatched.choice, finished);
            dispatched.link.forget(id);
        }
    }

    /// Tells the caller the end, counts it and keeps the trace.
    fn finish(&mut self) -> End {
        let left: Vec<RequestId> = self.dispatches.keys().copied().collect();
        for id in left {
            self.leave(id, Finished::Cancelled);
        }
        let gone = End::Unknown { code: Code::Cancelled, answer_begun: true, retry_after: Duration::ZERO };
        let end = self.end.unwrap_or(gone);
        match end {
            End::Answered => {
                self.context.ends.answered.fetch_add(1, Ordering::Relaxed);
                self.note(What::Answered);
            }
            End::NotRun { code, retry_after } => {
                self.context.ends.not_run.fetch_add(1, Ordering::Relaxed);
                self.note(What::NotRun { code });
                self.refuse(code, Outcome::NotRun, retry_after);
            }
            End::Unknown { code, retry_after, .. } => {
                let code = self.upload_fault.unwrap_or(code);
                self.context.ends.unknown.fetch_add(1, Ordering::Relaxed);
                self.note(What::Unknown { code });
                self.refuse(code, Outcome::Unknown, retry_after);
            }
        }
        let empty = Trace::new(self.trace.request, Name::clone(&self.work.service), Duration::ZERO);
        self.context.journal.keep(std::mem::replace(&mut self.trace, empty));
        end
    }

    fn refuse(&mut self, code: Code, outcome: Outcome, retry_after: Duration) {
        match std::mem::replace(&mut self.caller, Caller::Gone) {
            Caller::Waiting(head) => {
                let refusal = refusal(self.trace.request, code, outcome, retry_after);
                // A caller that went away needs no answer.
                drop(head.send(refusal.response()));
            }
            // The caller sees the break; an end without it would pass for a whole answer.
            Caller::Receiving(sender) => break_off(sender, code),
            Caller::Served | Caller::Gone => {}
        }
    }
}

/// Tells whether a dispatch isn't to be handed over after all.
fn is_cancelled(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|action| matches!(action, Action::Cancel { id: cancelled, .. } if *cancelled == id))
}

/// Content of a reply that an action may forward.
enum Content {
    Whole { origin: Origin, status: u16, headers: Vec<Header>, body: Bytes },
    Head { origin: Origin, status: u16, headers: Vec<Header>, length_bytes: Option<u64> },
    Part { origin: Origin, bytes: Bytes },
}

fn length(bytes: &[u8]) -> u64 {
    u64::try_from(bytes.len()).unwrap_or(u64::MAX)
}
