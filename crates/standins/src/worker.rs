//! Stand-in for a worker: its backend server and its tasks.
//!
//! One HTTP server takes both. Any path belongs to the backend server but for these:
//!
//! - `POST /tasks` with a [`Start`]; `GET /tasks` returns each task's [`Status`].
//! - `POST /tasks/TASK/lease`, `/checkpoint`, `/throttle`, `/suspend`, `/resume` and `/stop` with an [`Order`], which
//!   may be empty; the answer is the task's [`Status`]. A [`Refusal`] comes with 404 or 409.
//! - `GET /usage` returns a [`Usage`] that lags.
//! - `POST /control` replaces the [`Faults`] in force; `GET /ledger?after=N` returns the [`Event`]s after the first N.
//!
//! The worker enforces leases itself: at the end of its lease a task executes nothing more until it is resumed under
//! a new one.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use chervilledge_policy::capacity::{Capacity, Resources};
use chervilledge_policy::clock::Clock;
use chervilledge_policy::id::Name;
use http::request::Parts;
use http::{Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::task::AbortHandle;

use crate::backend::{Backend, Connection};
pub use crate::backend::{Echo, answer_bytes, checksum};
use crate::clock;
use crate::ledger::Ledger;
pub use crate::ledger::{Event, Suspension, What};
use crate::serve::{self, Answer, Hangup, Server};
use crate::tasks::Tasks;
pub use crate::tasks::{Order, Refusal, Start, Status, TaskState};

/// Order that names nothing.
const EMPTY_ORDER: &[u8] = b"{}";
/// Time between two looks at leases and completions.
const TICK: Duration = Duration::from_millis(2);
/// Factors by which kinds slow requests down when the settings don't name them.
const SLOWDOWNS: [f64; 5] = [1.0, 1.05, 1.2, 1.6, 2.5];

/// Settings of the stand-in.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Name of the worker.
    pub worker: Name,
    /// What the worker can hold; more is recorded as a violation.
    pub capacity: Capacity,
    /// Age of the usage that the worker reports.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "usage_lag_ms")]
    pub usage_lag: Duration,
    /// Chooses the slowdown of kinds that `slowdowns` doesn't name.
    pub seed: u64,
    /// Factor by which a task of a kind, at full share, slows requests down.
    pub slowdowns: BTreeMap<Name, f64>,
}

impl Default for Settings {
    fn default() -> Self {
        let resources = Resources { processor_millicores: 16_000, memory_bytes: 60 << 30, accelerators: 0 };
        Self {
            worker: Name::from("worker"),
            capacity: Capacity { slots: 8, connections: 64, resources },
            usage_lag: Duration::from_secs(2),
            seed: 1,
            slowdowns: BTreeMap::new(),
        }
    }
}

/// Faults in force, as the body of `POST /control`; a fault that isn't named is off.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Fails every request at once with status 500.
    pub fail_all: bool,
    /// Fails every start of a task.
    pub fail_starts: bool,
    /// Factor on the time of every request.
    pub slow_factor: f64,
    /// Time from now on in which the worker executes and answers nothing.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "freeze_ms")]
    pub freeze: Duration,
}

impl Default for Faults {
    fn default() -> Self {
        Self { fail_all: false, fail_starts: false, slow_factor: 1.0, freeze: Duration::ZERO }
    }
}

/// Usage at a past moment.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Age of the report.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "age_ms")]
    pub age: Duration,
    /// Resources of all tasks held then.
    pub resources: Resources,
}

/// Running stand-in; stops when dropped.
#[derive(Debug)]
pub struct Handle {
    server: Server,
    shared: Arc<Shared>,
    ticks: AbortHandle,
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.ticks.abort();
    }
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    clock: Clock,
    ledger: Ledger,
    backend: Backend,
    runtime: Mutex<Runtime>,
}

#[derive(Debug)]
struct Runtime {
    tasks: Tasks,
    faults: Faults,
    frozen_until: Option<Duration>,
    /// Changes of the usage, oldest first; the first is in force at the lagging moment.
    usage: VecDeque<(Duration, Resources)>,
}

/// Binds the stand-in to an address; port 0 takes a free port.
///
/// Reads [`clock::monotonic`], so that ledgers of several workers can be compared.
///
/// # Errors
///
/// The error of the listener.
pub async fn bind(address: SocketAddr, settings: Settings) -> io::Result<Handle> {
    let clock = clock::monotonic();
    let ledger = Ledger::new(Name::clone(&settings.worker));
    let tasks = Tasks::new(settings.capacity.resources, ledger.clone());
    let backend = Backend::new(Name::clone(&settings.worker), settings.capacity, clock.clone(), ledger.clone());
    let runtime = Runtime { tasks, faults: Faults::default(), frozen_until: None, usage: VecDeque::new() };
    let shared = Arc::new(Shared { settings, clock, ledger, backend, runtime: Mutex::new(runtime) });
    let (connecting, handling) = (Arc::clone(&shared), Arc::clone(&shared));
    let handle = move |connection, request| {
        let shared = Arc::clone(&handling);
        async move { shared.answer(connection, request).await }
    };
    let server = serve::bind(address, move || connecting.backend.connect(), handle).await?;
    let ticking = Arc::clone(&shared);
    let ticks = tokio::spawn(async move { ticking.tick().await }).abort_handle();
    Ok(Handle { server, shared, ticks })
}

impl Handle {
    /// Address that the stand-in listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Replaces the faults in force.
    pub fn control(&self, faults: Faults) {
        self.shared.control(faults);
    }

    /// Everything that happened on the worker, in the order in which it was recorded.
    #[must_use]
    pub fn ledger(&self) -> Vec<Event> {
        self.shared.ledger.after(0)
    }
}

impl Runtime {
    /// Accounts for the time until `now`, unless the worker is frozen.
    fn advance(&mut self, now: Duration, usage_lag: Duration) -> bool {
        if let Some(until) = self.frozen_until {
            if now < until {
                return false;
            }
            self.tasks.skip(until);
            self.frozen_until = None;
        }
        self.tasks.advance(now);
        self.note_usage(now, usage_lag);
        true
    }

    fn note_usage(&mut self, now: Duration, usage_lag: Duration) {
        let held = self.tasks.held();
        if self.usage.back().is_none_or(|(_, last)| *last != held) {
            self.usage.push_back((now, held));
        }
        let moment = now.saturating_sub(usage_lag);
        while self.usage.get(1).is_some_and(|(since, _)| *since <= moment) {
            self.usage.pop_front();
        }
    }

    fn usage(&self, now: Duration, age: Duration) -> Usage {
        let moment = now.saturating_sub(age);
        let resources = self.usage.front().filter(|(since, _)| *since <= moment).map(|(_, resources)| *resources);
        Usage { age, resources: resources.unwrap_or_default() }
    }
}

impl Shared {
    fn runtime(&self) -> MutexGuard<'_, Runtime> {
        self.runtime.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn tick(&self) {
        loop {
            tokio::time::sleep(TICK).await;
            self.runtime().advance(self.clock.now(), self.settings.usage_lag);
        }
    }

    /// Waits until the worker isn't frozen and returns its tasks as of now.
    async fn thawed(&self) -> MutexGuard<'_, Runtime> {
        loop {
            {
                let mut runtime = self.runtime();
                if runtime.advance(self.clock.now(), self.settings.usage_lag) {
                    return runtime;
                }
            }
            tokio::time::sleep(TICK).await;
        }
    }

    fn control(&self, faults: Faults) {
        let now = self.clock.now();
        let mut runtime = self.runtime();
        runtime.advance(now, self.settings.usage_lag);
        runtime.frozen_until = (!faults.freeze.is_zero()).then_some(now + faults.freeze);
        runtime.faults = faults;
    }

    async fn answer(&self, connection: Arc<Connection>, request: Request<Incoming>) -> Result<Answer, Hangup> {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.or(Err(Hangup))?.to_bytes();
        let path = parts.uri.path();
        if (&parts.method, path) == (&Method::POST, "/control") {
            return Ok(with_body(&body, |faults| {
                self.control(faults);
                serve::text(StatusCode::NO_CONTENT, "")
            }));
        }
        if (&parts.method, path) == (&Method::GET, "/ledger") {
            let after = parts.uri.query().and_then(|query| query.strip_prefix("after=")?.parse().ok());
            return Ok(serve::json(StatusCode::OK, &self.ledger.after(after.unwrap_or(0))));
        }
        drop(self.thawed().await);
        if path == "/tasks" || path.starts_with("/tasks/") || path == "/usage" {
            return Ok(self.answer_task(&parts, &body).await);
        }
        let fail_all = self.runtime().faults.fail_all;
        let answer = self.backend.execute(&connection, &parts, &body, fail_all, || self.slowdown()).await;
        drop(self.thawed().await);
        answer
    }

    async fn answer_task(&self, parts: &Parts, body: &Bytes) -> Answer {
        let mut runtime = self.thawed().await;
        let now = self.clock.now();
        match (&parts.method, parts.uri.path()) {
            (&Method::GET, "/tasks") => serve::json(StatusCode::OK, &runtime.tasks.list(now)),
            (&Method::GET, "/usage") => serve::json(StatusCode::OK, &runtime.usage(now, self.settings.usage_lag)),
            (&Method::POST, "/tasks") => with_body(body, |start| self.start(&mut runtime, now, start)),
            (&Method::POST, path) => command(&mut runtime.tasks, now, path, body),
            _ => serve::text(StatusCode::METHOD_NOT_ALLOWED, "tasks take GET and POST"),
        }
    }

    fn start(&self, runtime: &mut Runtime, now: Duration, start: Start) -> Answer {
        if runtime.faults.fail_starts {
            self.ledger.record(now, What::TaskStartFailed { task: start.task, epoch: start.epoch });
            return serve::json(StatusCode::INTERNAL_SERVER_ERROR, &Refusal::StartFailed);
        }
        match runtime.tasks.start(now, start) {
            Ok(()) => serve::json(StatusCode::CREATED, &serde_json::Value::Null),
            Err(refusal) => refuse(refusal),
        }
    }

    /// Factor by which requests are slowed down by the tasks that execute beside them.
    fn slowdown(&self) -> f64 {
        let runtime = self.runtime();
        let added: f64 = runtime
            .tasks
            .executing()
            .map(|(kind, share_percent)| (self.settings.slowdown(kind) - 1.0) * f64::from(share_percent) / 100.0)
            .sum();
        runtime.faults.slow_factor * (1.0 + added)
    }
}

impl Settings {
    /// Factor by which a task of the kind, at full share, slows requests down.
    #[must_use]
    pub fn slowdown(&self, kind: &str) -> f64 {
        let drawn = || {
            let draw = (checksum(kind.as_bytes()) ^ self.seed) % SLOWDOWNS.len() as u64;
            SLOWDOWNS.iter().copied().nth(usize::try_from(draw).unwrap_or(0)).unwrap_or(1.0)
        };
        self.slowdowns.get(kind).copied().unwrap_or_else(drawn)
    }
}

fn command(tasks: &mut Tasks, now: Duration, path: &str, body: &Bytes) -> Answer {
    let Some((task, command)) = path.strip_prefix("/tasks/").and_then(|rest| rest.rsplit_once('/')) else {
        return serve::text(StatusCode::NOT_FOUND, "unknown path");
    };
    let body: &[u8] = if body.is_empty() { EMPTY_ORDER } else { body };
    with_body(body, |order| obey(tasks, now, task, command, &order))
}

fn obey(tasks: &mut Tasks, now: Duration, task: &str, command: &str, order: &Order) -> Answer {
    let result = match command {
        "lease" => tasks.renew(now, task, order),
        "checkpoint" => tasks.status(now, task, order),
        "throttle" => tasks.throttle(now, task, order),
        "suspend" => tasks.suspend(now, task, order),
        "resume" => tasks.resume(now, task, order),
        "stop" => tasks.stop(now, task, order),
        _ => return serve::text(StatusCode::NOT_FOUND, "unknown command"),
    };
    result.map_or_else(refuse, |status| serve::json(StatusCode::OK, &status))
}

fn refuse(refusal: Refusal) -> Answer {
    let status = match refusal {
        Refusal::UnknownTask => StatusCode::NOT_FOUND,
        Refusal::Field => StatusCode::BAD_REQUEST,
        Refusal::StartFailed => StatusCode::INTERNAL_SERVER_ERROR,
        Refusal::AlreadyHeld | Refusal::OtherEpoch | Refusal::LeaseEnded | Refusal::Complete => StatusCode::CONFLICT,
    };
    serve::json(status, &refusal)
}

/// Reads a body and answers with what the reader makes of it.
fn with_body<T: DeserializeOwned>(body: &[u8], answer: impl FnOnce(T) -> Answer) -> Answer {
    match serde_json::from_slice(body) {
        Ok(value) => answer(value),
        Err(error) => serve::text(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}
