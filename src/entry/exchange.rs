//! Driver of one caller's request, which carries out the actions of [`chervilledge_policy::request::Request`].

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

use crate::body::Joined;
use crate::entry::answering::{
    ANSWER_QUEUE_PARTS, CallerState, abort_body, build_response, streaming_body, wait_for_caller,
};
use crate::entry::fleet::{Fleet, Link, LinkEvent};
use crate::entry::journal::{Journal, StepKind, Trace};
use crate::entry::keys::KeyClaim;
use crate::entry::upload;
use crate::entry::work::{ForwardedBody, ForwardedRequest};
use crate::sync::lock;

/// Bytes that a caller consumes before the agent's window is widened.
const WINDOW_STEP_BYTES: u64 = WINDOW_BYTES / 4;

/// State shared by all request drivers of an entry.
#[derive(Debug)]
pub struct Context {
    /// Workers known to the entry.
    pub fleet: Arc<Fleet>,
    /// Clock of the process.
    pub clock: Clock,
    /// Boot identifier of the entry process.
    pub boot: BootId,
    /// Last sequence number used in a request identifier.
    pub sequence: AtomicU64,
    /// Counters of requests.
    pub counters: RequestCounters,
    /// Traces of recent requests.
    pub journal: Journal,
}

impl Context {
    /// Returns a new, unique request identifier.
    pub fn next_id(&self) -> RequestId {
        RequestId { entry: self.boot, sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1 }
    }
}

/// Counters of requests by end, of retries and of dropped replies.
#[derive(Debug, Default)]
pub struct RequestCounters {
    /// Requests whose answer was forwarded completely.
    pub answered: AtomicU64,
    /// Requests that were not run.
    pub not_run: AtomicU64,
    /// Requests that may have been run.
    pub unknown: AtomicU64,
    /// Dispatches after the first of a request.
    pub retries: AtomicU64,
    /// Late or duplicate replies that were dropped.
    pub dropped_replies: AtomicU64,
}

/// Runs a request and returns the answer for the caller; the end is recorded in `claim`.
pub async fn run(
    context: Arc<Context>,
    id: RequestId,
    forwarded: ForwardedRequest,
    spec: Spec,
    claim: Option<KeyClaim>,
) -> Response<Body> {
    let (head, head_receiver) = oneshot::channel();
    tokio::spawn(async move {
        let mut driver = Driver::new(context, id, forwarded, spec, head);
        let end = driver.run().await;
        if let Some(claim) = claim {
            claim.record_end(end);
        }
    });
    match head_receiver.await {
        Ok(response) => response,
        // The driver always answers before it ends, so this happens only after a panic, which was reported.
        Err(_) => refusal(id, Code::OutcomeUnknown, Outcome::Unknown, Duration::from_secs(1)).response(),
    }
}

fn refusal(request: RequestId, code: Code, outcome: Outcome, retry_after: Duration) -> Refusal {
    Refusal { code, outcome, request, retry_after }
}

/// Message from a background task of a request to its driver.
enum TaskMessage {
    /// An event about a link.
    Event(Event),
    /// The request body couldn't be forwarded completely.
    UploadFailed(Code),
}

/// One dispatch of the request.
struct ActiveDispatch {
    choice: Choice,
    link: Link,
    sent_at: Duration,
    /// Bytes of the request body that the entry may send to the agent.
    credit: Arc<Semaphore>,
    /// Bytes of the answer that the caller has consumed since the agent's window was last widened.
    taken_bytes: u64,
}

struct Driver {
    context: Arc<Context>,
    trace: Trace,
    forwarded: ForwardedRequest,
    request: Request,
    retries: Arc<Mutex<RetryBudget>>,
    caller: CallerState,
    link_events: mpsc::UnboundedReceiver<LinkEvent>,
    link_event_sender: mpsc::UnboundedSender<LinkEvent>,
    /// Messages from background tasks of the request.
    task_messages: mpsc::UnboundedReceiver<TaskMessage>,
    task_sender: mpsc::UnboundedSender<TaskMessage>,
    /// Why the request body couldn't be forwarded completely.
    upload_error: Option<Code>,
    dispatches: Map<RequestId, ActiveDispatch>,
    /// Body parts received from agents and not yet taken by the caller's connection.
    parts: VecDeque<(RequestId, Bytes)>,
    initial_actions: Vec<Action>,
    deadline: Duration,
    /// End of the request, carried out once all parts are taken.
    end: Option<End>,
}

impl Driver {
    fn new(
        context: Arc<Context>,
        id: RequestId,
        forwarded: ForwardedRequest,
        spec: Spec,
        head: oneshot::Sender<Response<Body>>,
    ) -> Self {
        let trace = Trace::new(id, Name::clone(&forwarded.service), context.clock.now());
        let retries = context.fleet.retry_budget(&forwarded.service, forwarded.retry);
        let (request, initial_actions) = Request::open(context.clock.now(), spec, &mut lock(&retries));
        let (link_event_sender, link_events) = mpsc::unbounded_channel();
        let (task_sender, task_messages) = mpsc::unbounded_channel();
        Self {
            context,
            trace,
            forwarded,
            request,
            retries,
            caller: CallerState::Waiting(head),
            link_events,
            link_event_sender,
            task_messages,
            task_sender,
            upload_error: None,
            dispatches: Map::default(),
            parts: VecDeque::new(),
            initial_actions,
            deadline: spec.deadline,
            end: None,
        }
    }

    /// Runs the request and returns its end.
    async fn run(&mut self) -> End {
        let actions = std::mem::take(&mut self.initial_actions);
        self.perform(actions, None).await;
        while self.end.is_none() || !self.parts.is_empty() {
            if !self.step().await {
                break;
            }
        }
        self.finish()
    }

    fn record_step(&mut self, what: StepKind) {
        self.trace.add(self.context.clock.now(), what);
    }

    /// Waits for the next event and handles it; returns `false` once nothing is left to wait for, since the caller has
    /// disconnected, or was sent a refusal or an aborted body.
    async fn step(&mut self) -> bool {
        let now = self.context.clock.now();
        let wait = self.request.wake_at().map_or(Duration::MAX, |at| at.saturating_sub(now));
        let has_parts = !self.parts.is_empty();
        tokio::select! {
            Some(link_event) = self.link_events.recv() => self.on_link_event(link_event).await,
            Some(message) = self.task_messages.recv() => self.on_task_message(message).await,
            is_taken = wait_for_caller(&mut self.caller, has_parts) => {
                if is_taken { self.forward_next_part().await } else { self.on_caller_gone().await }
            }
            () = tokio::time::sleep(wait) => self.on_event(&Event::Tick, None).await,
        }
        !matches!(self.caller, CallerState::Gone)
    }

    async fn on_event(&mut self, event: &Event, content: Option<ReplyContent>) {
        let now = self.context.clock.now();
        let actions = self.request.on(now, event, &mut lock(&self.retries));
        self.perform(actions, content).await;
    }

    async fn on_task_message(&mut self, message: TaskMessage) {
        match message {
            TaskMessage::Event(event) => self.on_event(&event, None).await,
            TaskMessage::UploadFailed(code) => {
                self.upload_error = Some(code);
                self.on_event(&Event::CallerCancelled, None).await;
            }
        }
    }

    async fn on_caller_gone(&mut self) {
        self.record_step(StepKind::CallerGone);
        self.on_event(&Event::CallerCancelled, None).await;
        self.caller = CallerState::Gone;
    }

    async fn on_link_event(&mut self, link_event: LinkEvent) {
        let reply = match link_event {
            LinkEvent::LinkLost(id) => {
                self.record_step(StepKind::LinkLost { dispatch: id });
                return self.on_event(&Event::LinkLost { id }, None).await;
            }
            LinkEvent::Reply(reply) => reply,
        };
        match reply {
            Reply::Started { request } => self.on_started(request),
            Reply::Window { request, bytes } => self.on_window(request, bytes),
            Reply::NotStarted { request, code, retry_after_ms } => {
                self.finish_dispatch(request, Finished::NotStarted);
                self.record_step(StepKind::NotStarted { dispatch: request, code });
                let retry_after = Duration::from_millis(u64::from(retry_after_ms));
                self.on_event(&Event::NotStarted { id: request, code, retry_after }, None).await;
            }
            Reply::Whole { origin, status, headers, body } => self.on_whole(origin, status, headers, body.into()).await,
            Reply::Head { origin, status, headers, length_bytes } => {
                self.record_step(StepKind::Head { dispatch: origin.id, status });
                let event = Event::Head { origin, length_bytes };
                self.on_event(&event, Some(ReplyContent::Head { origin, status, headers, length_bytes })).await;
            }
            Reply::Chunk { origin, offset_bytes, bytes } => {
                let event = Event::Chunk { origin, offset_bytes, length_bytes: length(&bytes) };
                self.on_event(&event, Some(ReplyContent::Part { origin, bytes: bytes.into() })).await;
            }
            Reply::End { origin, total_bytes } => {
                self.finish_dispatch(origin.id, Finished::Succeeded(self.latency(origin.id)));
                self.on_event(&Event::End { origin, total_bytes }, None).await;
            }
            Reply::Broken { origin, code } => {
                self.record_step(StepKind::Broken { dispatch: origin.id, code });
                self.finish_dispatch(origin.id, Finished::Failed);
                self.on_event(&Event::Broken { origin }, None).await;
            }
            Reply::Outcome { origin, outcome } => {
                self.record_step(StepKind::Outcome { dispatch: origin.id, outcome });
                self.on_event(&Event::Outcome { origin, outcome }, None).await;
            }
        }
    }

    /// Processes a short answer as the events of its head, its only part and its end.
    async fn on_whole(&mut self, origin: Origin, status: u16, headers: Vec<Header>, body: Bytes) {
        let length_bytes = length(&body);
        self.record_step(StepKind::Head { dispatch: origin.id, status });
        self.finish_dispatch(origin.id, Finished::Succeeded(self.latency(origin.id)));
        let head = Event::Head { origin, length_bytes: Some(length_bytes) };
        self.on_event(&head, Some(ReplyContent::Whole { origin, status, headers, body })).await;
        // The body is forwarded with the head, but the policy still has to count its bytes.
        self.on_event(&Event::Chunk { origin, offset_bytes: 0, length_bytes }, None).await;
        self.on_event(&Event::End { origin, total_bytes: length_bytes }, None).await;
    }

    async fn perform(&mut self, actions: Vec<Action>, content: Option<ReplyContent>) {
        let mut content = content;
        let mut queue: VecDeque<Action> = actions.into();
        while let Some(action) = queue.pop_front() {
            match action {
                Action::Dispatch => queue.extend(self.dispatch().await),
                Action::QueryOutcome { origin, choice } => self.query_outcome(origin, choice),
                Action::Cancel { id, choice } => self.cancel(id, &choice),
                Action::ForwardHead => self.forward_head(content.take()),
                Action::ForwardChunk => self.queue_part(content.take()),
                Action::Finish(end) => self.end = Some(end),
                Action::Drop => {
                    self.context.counters.dropped_replies.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
    }

    /// Chooses a backend server and sends it the request; returns the resulting actions.
    async fn dispatch(&mut self) -> Vec<Action> {
        if self.request.attempts() > 1 {
            self.context.counters.retries.fetch_add(1, Ordering::Relaxed);
        }
        let (choice, link) =
            match self.context.fleet.choose(&self.forwarded.service, self.forwarded.sheddable, self.request.excluded())
            {
                Ok(chosen) => chosen,
                Err(code) => return self.not_dispatched(code),
            };
        // The first dispatch uses the identifier that the caller is given.
        let id = if self.request.attempts() <= 1 { self.trace.request } else { self.context.next_id() };
        if !link.register(id, self.link_event_sender.clone()) {
            self.context.fleet.dispatch_finished(&self.forwarded.service, &choice, Finished::NotStarted);
            return self.not_dispatched(Code::LinkClosed);
        }
        self.record_step(StepKind::Dispatched { dispatch: id, worker: Name::clone(&choice.worker) });
        let now = self.context.clock.now();
        let event = Event::Dispatched { id, choice: choice.clone() };
        let actions = self.request.on(now, &event, &mut lock(&self.retries));
        if is_cancelled(&actions, id) {
            link.unregister(id);
            self.context.fleet.dispatch_finished(&self.forwarded.service, &choice, Finished::NotStarted);
            return actions;
        }
        let start = self.start(id, choice.agent_boot, now);
        let dispatched = ActiveDispatch {
            choice,
            link: link.clone(),
            sent_at: now,
            credit: Arc::new(Semaphore::new(0)),
            taken_bytes: 0,
        };
        self.dispatches.insert(id, dispatched);
        // A failed send is ignored, since a link that ends before the message is written is reported as lost.
        link.send(ToAgent::Start(Box::new(start))).await;
        actions
    }

    fn not_dispatched(&mut self, code: Code) -> Vec<Action> {
        self.record_step(StepKind::NotDispatched { code });
        let event = Event::NotDispatched { code, retry_after: Duration::ZERO };
        self.request.on(self.context.clock.now(), &event, &mut lock(&self.retries))
    }

    fn start(&self, request: RequestId, agent: BootId, now: Duration) -> Start {
        let body = match &self.forwarded.body {
            ForwardedBody::Whole(bytes) => StartBody::Inline(bytes.to_vec()),
            ForwardedBody::Streamed(_) => StartBody::Streamed { length_bytes: None },
        };
        Start {
            request,
            remaining_ms: self.deadline.saturating_sub(now),
            sheddable: self.forwarded.sheddable,
            method: self.forwarded.method.clone(),
            target: self.forwarded.target.clone(),
            headers: self.forwarded.headers.clone(),
            agent,
            body,
        }
    }

    /// Starts to forward a streamed body, which happens for at most one dispatch.
    fn on_started(&mut self, id: RequestId) {
        let ForwardedBody::Streamed(streamed) = &mut self.forwarded.body else { return };
        let Some(dispatched) = self.dispatches.get(&id) else { return };
        let Some(rest) = streamed.rest.take() else { return };
        let upload = upload::Upload {
            request: id,
            link: dispatched.link.clone(),
            credit: Arc::clone(&dispatched.credit),
            prefix: streamed.prefix.take(),
            rest: Joined::new(rest),
            bytes_max: streamed.bytes_max,
        };
        let task_sender = self.task_sender.clone();
        tokio::spawn(async move {
            if let Err(code) = upload.send_body().await {
                // Sending fails if the driver has already ended.
                drop(task_sender.send(TaskMessage::UploadFailed(code)));
            }
        });
    }

    fn on_window(&self, id: RequestId, bytes: u64) {
        if let Some(dispatched) = self.dispatches.get(&id) {
            upload::add_credit(&dispatched.credit, bytes);
        }
    }

    /// Queries the outcome of a dispatch on the next link to the same agent process.
    fn query_outcome(&self, origin: Origin, choice: Choice) {
        let Some(lost) = self.dispatches.get(&origin.id).map(|dispatched| dispatched.link.number) else { return };
        let fleet = Arc::clone(&self.context.fleet);
        let link_events = self.link_event_sender.clone();
        let task_sender = self.task_sender.clone();
        tokio::spawn(async move {
            let next = tokio::select! {
                next = fleet.next_link(&choice.worker, choice.agent_boot, lost) => next,
                () = task_sender.closed() => return,
            };
            let Ok(link) = next else {
                let outcome = chervilledge_policy::request::Outcome::UnknownBoot;
                drop(task_sender.send(TaskMessage::Event(Event::Outcome { origin, outcome })));
                return;
            };
            if !link.register(origin.id, link_events) {
                drop(task_sender.send(TaskMessage::Event(Event::LinkLost { id: origin.id })));
                return;
            }
            link.send(ToAgent::Ask { origin, agent: choice.agent_boot }).await;
        });
    }

    fn cancel(&mut self, id: RequestId, choice: &Choice) {
        self.finish_dispatch(id, Finished::Cancelled);
        if let Some(link) = self.context.fleet.link(&choice.worker) {
            link.post(ToAgent::Cancel { request: id });
            link.unregister(id);
        }
    }

    fn forward_head(&mut self, content: Option<ReplyContent>) {
        let (origin, status, headers, length_bytes) = match content {
            Some(ReplyContent::Head { origin, status, headers, length_bytes }) => {
                (origin, status, headers, length_bytes)
            }
            Some(ReplyContent::Whole { origin, status, headers, body }) => {
                return self.forward_whole(origin, status, &headers, body);
            }
            _ => return,
        };
        let (sender, receiver) = mpsc::channel(ANSWER_QUEUE_PARTS);
        // An answer to HEAD states the length of a body that doesn't follow, so the received length isn't set.
        let length_bytes = length_bytes.filter(|_| self.forwarded.method != Method::HEAD.as_str());
        let response = build_response(origin.id, status, &headers, length_bytes, streaming_body(receiver));
        if let CallerState::Waiting(head) = std::mem::replace(&mut self.caller, CallerState::Receiving(sender)) {
            // A caller that has gone away is detected at the next part.
            drop(head.send(response));
        }
    }

    fn forward_whole(&mut self, origin: Origin, status: u16, headers: &[Header], body: Bytes) {
        let is_head = self.forwarded.method == Method::HEAD.as_str();
        let length_bytes = (!is_head).then(|| length(&body));
        let response = build_response(origin.id, status, headers, length_bytes, answer::full(body));
        if let CallerState::Waiting(head) = std::mem::replace(&mut self.caller, CallerState::Served) {
            // A caller that went away needs no answer.
            drop(head.send(response));
        }
    }

    fn queue_part(&mut self, content: Option<ReplyContent>) {
        if let Some(ReplyContent::Part { origin, bytes }) = content {
            self.parts.push_back((origin.id, bytes));
        }
    }

    /// Forwards the oldest part to the caller's connection, and returns its bytes to the agent's window.
    async fn forward_next_part(&mut self) {
        let CallerState::Receiving(sender) = &self.caller else { return };
        let Some((id, bytes)) = self.parts.pop_front() else { return };
        let count = length(&bytes);
        if sender.send(Ok(bytes)).await.is_err() {
            self.on_caller_gone().await;
            return;
        }
        self.widen_window(id, count);
    }

    /// Widens the agent's window by the bytes that the caller consumed, in steps of at least [`WINDOW_STEP_BYTES`].
    fn widen_window(&mut self, id: RequestId, count: u64) {
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

    /// Records the end of a dispatch, and unregisters it.
    fn finish_dispatch(&mut self, id: RequestId, finished: Finished) {
        if let Some(dispatched) = self.dispatches.remove(&id) {
            self.context.fleet.dispatch_finished(&self.forwarded.service, &dispatched.choice, finished);
            dispatched.link.unregister(id);
        }
    }

    /// Reports the end to the caller, counts it and stores the trace.
    fn finish(&mut self) -> End {
        let unfinished: Vec<RequestId> = self.dispatches.keys().copied().collect();
        for id in unfinished {
            self.finish_dispatch(id, Finished::Cancelled);
        }
        let cancelled_end = End::Unknown { code: Code::Cancelled, answer_begun: true, retry_after: Duration::ZERO };
        let end = self.end.unwrap_or(cancelled_end);
        match end {
            End::Answered => {
                self.context.counters.answered.fetch_add(1, Ordering::Relaxed);
                self.record_step(StepKind::Answered);
            }
            End::NotRun { code, retry_after } => {
                self.context.counters.not_run.fetch_add(1, Ordering::Relaxed);
                self.record_step(StepKind::NotRun { code });
                self.refuse(code, Outcome::NotRun, retry_after);
            }
            End::Unknown { code, retry_after, .. } => {
                let code = self.upload_error.unwrap_or(code);
                self.context.counters.unknown.fetch_add(1, Ordering::Relaxed);
                self.record_step(StepKind::Unknown { code });
                self.refuse(code, Outcome::Unknown, retry_after);
            }
        }
        let empty = Trace::new(self.trace.request, Name::clone(&self.forwarded.service), Duration::ZERO);
        self.context.journal.store(std::mem::replace(&mut self.trace, empty));
        end
    }

    fn refuse(&mut self, code: Code, outcome: Outcome, retry_after: Duration) {
        match std::mem::replace(&mut self.caller, CallerState::Gone) {
            CallerState::Waiting(head) => {
                let refusal = refusal(self.trace.request, code, outcome, retry_after);
                // A caller that went away needs no answer.
                drop(head.send(refusal.response()));
            }
            // The body must be aborted visibly, since a regular end would look like a complete answer.
            CallerState::Receiving(sender) => abort_body(sender, code),
            CallerState::Served | CallerState::Gone => {}
        }
    }
}

/// Returns whether the actions cancel a dispatch that hasn't been sent yet.
fn is_cancelled(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|action| matches!(action, Action::Cancel { id: cancelled, .. } if *cancelled == id))
}

/// Content of a reply, for an action that forwards it.
enum ReplyContent {
    Whole { origin: Origin, status: u16, headers: Vec<Header>, body: Bytes },
    Head { origin: Origin, status: u16, headers: Vec<Header>, length_bytes: Option<u64> },
    Part { origin: Origin, bytes: Bytes },
}

fn length(bytes: &[u8]) -> u64 {
    u64::try_from(bytes.len()).unwrap_or(u64::MAX)
}
