//! Stand-in for a worker, as `PROTOCOL.md` describes it: leases, fences, ends, checkpoints, gangs, capacity.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use chervilledge_caller::answer::Body;
use chervilledge_caller::listener::{self, Listener};
use chervilledge_client::{Bounds, Patience};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::door::Door;
use crate::record::Record;
use crate::store::{HEAD_LIMITS, json_response, open_budget};

/// Service of every worker.
pub const SERVICE: &str = "booking-desk";
/// Longest lease, as `max_hold_ms` of the site hlls-booking.
pub const LEASE_MAX_MS: u64 = 6_000;
/// Interval of the reports, as `heartbeat_ms`.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_100);
const TICK: Duration = Duration::from_millis(5);
/// Time that a stop takes; at most `stop_grace_ms`.
const STOP_TIME: Duration = Duration::from_millis(150);
/// Interval of checkpoints, as `checkpoint_s`.
const CHECKPOINT_MS: u128 = 2_000;
/// Time that a member of a gang waits for the others, as `gang_wait_ms`.
const GANG_WAIT: Duration = Duration::from_secs(3);
/// Time until a worker is back that a task has crashed.
const DARK: Duration = Duration::from_secs(3);
/// Ends that one answer lists.
const PAGE_ENDS: usize = 500;
const BOUNDS: Bounds = Bounds { connect_timeout: Duration::from_millis(400), answer_bytes_max: 1 << 20 };

type RunId = (String, u64);

/// What tasks do regardless of their worker: gangs by step and number of the run, and failed runs by task.
#[derive(Clone, Default)]
pub struct Gangs(Arc<Mutex<BTreeMap<(String, u64), Gang>>>, Arc<Mutex<BTreeMap<String, u64>>>);

#[derive(Default)]
struct Gang {
    /// Members that are present, with their checkpoints.
    present: BTreeMap<String, String>,
    /// When all were present.
    began: Option<Instant>,
    /// A member has ended otherwise than `done`.
    is_broken: bool,
}

impl Gangs {
    /// Whether a run of a task fails, of which `allowed` do.
    fn fails(&self, task: &str, allowed: u64) -> bool {
        let mut failures = self.1.lock().unwrap_or_else(PoisonError::into_inner);
        let failures = failures.entry(task.to_owned()).or_default();
        let fails = *failures < allowed;
        *failures += u64::from(fails);
        fails
    }

    fn with<T>(&self, run: &RunId, read: impl FnOnce(&mut Gang) -> T) -> T {
        let step = run.0.rsplit_once('.').map_or("", |(step, _)| step).to_owned();
        let mut gangs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        read(gangs.entry((step, run.1)).or_default())
    }
}

/// What the tasks of a job do, by the job's `spec`, a JSON text.
#[derive(Clone, Debug)]
struct Plan {
    work_ms: u64,
    /// Resources of a task.
    cpu: u64,
    mem_mb: u64,
    /// The tasks last until they are stopped.
    lasts: bool,
    /// Runs of each task that end `failed`.
    failures: u64,
    checkpointing: bool,
    /// Members of a gang; 0 for none.
    gang: usize,
    /// Its `cpu` isn't counted against the capacity.
    fills: bool,
    /// Time after its start at which a run crashes its worker; 0 for never.
    crash_after_ms: u64,
}

impl Plan {
    fn parse(spec: &str) -> Self {
        let value: Value = serde_json::from_str(spec).unwrap_or_default();
        let number = |name: &str| value[name].as_u64().unwrap_or(0);
        Self {
            work_ms: number("work_ms"),
            cpu: number("cpu"),
            mem_mb: number("mem_mb"),
            lasts: value["lasts"].as_bool().unwrap_or(false),
            failures: number("failures"),
            checkpointing: value["checkpointing"].as_bool().unwrap_or(false),
            gang: usize::try_from(number("gang")).unwrap_or(0),
            fills: value["fills"].as_bool().unwrap_or(false),
            crash_after_ms: number("crash_after_ms"),
        }
    }
}

struct Run {
    plan: Plan,
    started_at: Instant,
    /// Work that was done when it started, from its checkpoint.
    restored_ms: u128,
    /// When it began to work; for the members of a gang, when all were present.
    works_since: Option<Instant>,
}

impl Run {
    fn done_ms(&self) -> u128 {
        self.restored_ms + self.works_since.map_or(0, |since| since.elapsed().as_millis())
    }

    fn is_done(&self) -> bool {
        !self.plan.lasts && self.done_ms() >= u128::from(self.plan.work_ms)
    }

    fn percent(&self) -> u128 {
        if self.plan.lasts {
            return 100;
        }
        (100 * self.done_ms() / u128::from(self.plan.work_ms.max(1))).min(99)
    }

    fn checkpoint(&self) -> String {
        let saved = self.done_ms() / CHECKPOINT_MS * CHECKPOINT_MS;
        if self.plan.checkpointing && saved > 0 { format!("{saved:016x}") } else { String::new() }
    }
}

struct State {
    name: String,
    zone: String,
    rack: String,
    cpu: u64,
    mem_mb: u64,
    guards: bool,
    born: u64,
    started_at: Instant,
    sequence: u64,
    fence: u64,
    lease_end_ms: u64,
    runs: BTreeMap<RunId, Run>,
    stopping: BTreeMap<RunId, Instant>,
    finished: BTreeMap<String, u64>,
    ends: Vec<(u64, RunId, &'static str, String)>,
    last_end: u64,
    /// The worker has crashed and isn't back.
    is_dark: bool,
    /// The next order to start gets no answer and is carried out this much later, by the life that is up then.
    late_start: Option<Duration>,
    gangs: Gangs,
    record: Record,
}

/// A running worker.
pub struct Worker {
    state: Arc<Mutex<State>>,
    door: Arc<Door>,
    _listener: Listener,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Size and place of a worker.
#[derive(Clone, Debug)]
pub struct Shape {
    pub cpu: u64,
    pub mem_mb: u64,
    pub guards: bool,
    pub zone: String,
    pub rack: String,
}

impl Worker {
    pub async fn bind(name: &str, shape: &Shape, agent: SocketAddr, gangs: Gangs, record: Record) -> Self {
        let state = Arc::new(Mutex::new(State::new(name, shape, gangs, record)));
        let shared = Arc::clone(&state);
        let handler = move |request| handle(request, Arc::clone(&shared));
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = listener::bind(any, &open_budget(), || HEAD_LIMITS, handler).await.expect("a free port");
        let door = Arc::new(Door::bind(listener.address()).await);
        tokio::spawn(report_periodically(Arc::clone(&state), door.address(), agent));
        tokio::spawn(tick_periodically(Arc::clone(&state), Arc::clone(&door)));
        Self { state, door, _listener: listener }
    }

    /// Crashes the worker, which is back after some time under the same name.
    pub fn crash(&self, dark: Duration) {
        crash(&self.state, &self.door, dark);
    }

    /// Lets the next order to start get no answer, and carries it out this much later.
    pub fn delay_next_start(&self, delay: Duration) {
        lock(&self.state).late_start = Some(delay);
    }

    /// Whether the order to start that is to be delayed has come.
    pub fn has_delayed_start(&self) -> bool {
        lock(&self.state).late_start.is_none()
    }
}

fn crash(state: &Arc<Mutex<State>>, door: &Arc<Door>, dark: Duration) {
    {
        let mut state = lock(state);
        if state.is_dark {
            return;
        }
        state.restart();
        state.is_dark = true;
    }
    door.shut();
    let (state, door) = (Arc::clone(state), Arc::clone(door));
    tokio::spawn(async move {
        sleep(dark).await;
        {
            let mut state = lock(&state);
            state.restart();
            state.record.add(&state.name, "back", json!({}));
        }
        door.reopen().await;
    });
}

impl State {
    fn new(name: &str, shape: &Shape, gangs: Gangs, record: Record) -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            name: name.to_owned(),
            zone: shape.zone.clone(),
            rack: shape.rack.clone(),
            cpu: shape.cpu,
            mem_mb: shape.mem_mb,
            guards: shape.guards,
            born: u64::try_from(since.as_millis()).unwrap_or(0),
            started_at: Instant::now(),
            sequence: 0,
            fence: 0,
            lease_end_ms: 0,
            runs: BTreeMap::new(),
            stopping: BTreeMap::new(),
            finished: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            is_dark: false,
            late_start: None,
            gangs,
            record,
        }
    }

    fn restart(&mut self) {
        for run in std::mem::take(&mut self.runs).into_keys() {
            self.record.add(&self.name, "killed", json!({"task": run.0, "run": run.1}));
            self.gangs.with(&run, |gang| gang.is_broken = true);
        }
        self.record.add(&self.name, "life", json!({}));
        let shape = Shape {
            cpu: self.cpu,
            mem_mb: self.mem_mb,
            guards: self.guards,
            zone: self.zone.clone(),
            rack: self.rack.clone(),
        };
        *self = Self::new(&self.name, &shape, self.gangs.clone(), self.record.clone());
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(0)
    }

    fn end_run(&mut self, run: &RunId, kind: &'static str) {
        let ended = self.runs.remove(run);
        if kind != "done" && ended.as_ref().is_some_and(|run| run.plan.gang > 0) {
            self.gangs.with(run, |gang| gang.is_broken = true);
        }
        let checkpoint = ended.map_or_else(String::new, |run| run.checkpoint());
        self.stopping.remove(run);
        self.note_finished(run);
        self.last_end += 1;
        let checkpoint = if kind == "done" || kind == "failed" { String::new() } else { checkpoint };
        self.record.add(&self.name, "end", json!({"task": run.0, "run": run.1, "how": kind, "n": self.last_end}));
        self.ends.push((self.last_end, run.clone(), kind, checkpoint));
    }

    fn note_finished(&mut self, run: &RunId) {
        let finished = self.finished.entry(run.0.clone()).or_default();
        *finished = run.1.max(*finished);
    }

    fn tick(&mut self) {
        let now = Instant::now();
        let stopped: Vec<RunId> =
            self.stopping.iter().filter(|(_, end)| **end <= now).map(|(id, _)| id.clone()).collect();
        for run in stopped {
            self.end_run(&run, "stopped");
        }
        let mut gang_ends: Vec<(RunId, &'static str)> = Vec::new();
        for (id, run) in self.runs.iter_mut().filter(|(_, run)| run.plan.gang > 0) {
            let waited = run.started_at.elapsed() >= GANG_WAIT;
            let (began, is_broken) = self.gangs.with(id, |gang| (gang.began, gang.is_broken));
            run.works_since = began;
            if is_broken {
                gang_ends.push((id.clone(), "broken"));
            } else if began.is_none() && waited {
                gang_ends.push((id.clone(), "alone"));
            }
        }
        for (run, kind) in gang_ends {
            self.end_run(&run, kind);
        }
        let done: Vec<RunId> = self.runs.iter().filter(|(_, run)| run.is_done()).map(|(id, _)| id.clone()).collect();
        for run in done {
            let allowed = self.runs[&run].plan.failures;
            let fails = self.gangs.fails(&run.0, allowed);
            self.end_run(&run, if fails { "failed" } else { "done" });
        }
        if self.clock_ms() >= self.lease_end_ms && !self.runs.is_empty() {
            let runs: Vec<RunId> = self.runs.keys().cloned().collect();
            for run in runs {
                self.end_run(&run, "lapsed");
            }
        }
    }

    fn admit(&mut self, order: &Value) -> bool {
        let fence = order["fence_token"].as_u64().unwrap_or(0);
        if fence < self.fence {
            return false;
        }
        self.fence = fence;
        if let Some(end) = order["deadline_ms"].as_u64() {
            self.lease_end_ms = self.lease_end_ms.max(end.min(self.clock_ms() + LEASE_MAX_MS));
        }
        true
    }

    fn start(&mut self, order: &Value) -> (StatusCode, Value) {
        let refusal = |reason: &str, clock_ms| (StatusCode::CONFLICT, json!({"clock_ms": clock_ms, "reason": reason}));
        if !self.admit(order) {
            return refusal("fence", self.clock_ms());
        }
        let run = run_id(order);
        if self.runs.contains_key(&run) {
            return (StatusCode::OK, json!({"clock_ms": self.clock_ms()}));
        }
        if self.finished.get(&run.0).is_some_and(|finished| run.1 <= *finished) {
            return refusal("old", self.clock_ms());
        }
        if self.clock_ms() >= order["deadline_ms"].as_u64().unwrap_or(0) {
            return refusal("late", self.clock_ms());
        }
        let spec = order["spec"].as_str().unwrap_or_default();
        let plan = Plan::parse(spec);
        let counted = |plan: &Plan| if plan.fills { 0 } else { plan.cpu };
        let used_cpu: u64 = self.runs.values().map(|run| counted(&run.plan)).sum();
        let used_mem: u64 = self.runs.values().map(|run| run.plan.mem_mb).sum();
        let fits = used_cpu + counted(&plan) <= self.cpu && used_mem + plan.mem_mb <= self.mem_mb;
        if self.guards && !fits {
            return refusal("room", self.clock_ms());
        }
        let checkpoint = order["checkpoint"].as_str().unwrap_or_default();
        let restored_ms = u128::from_str_radix(checkpoint, 16).unwrap_or(0);
        self.record.add(
            &self.name,
            "start",
            json!({"task": run.0, "run": run.1, "fence": self.fence, "spec": spec, "checkpoint": checkpoint, "fits": fits}),
        );
        let mut works_since = Some(Instant::now());
        if plan.gang > 0 {
            works_since = None;
            self.gangs.with(&run, |gang| {
                gang.present.insert(run.0.clone(), checkpoint.to_owned());
                if gang.present.len() >= plan.gang && gang.began.is_none() {
                    gang.began = Some(Instant::now());
                    let first = gang.present.values().next();
                    if gang.present.values().any(|other| Some(other) != first) {
                        self.record.add(
                            &self.name,
                            "checkpoints",
                            json!({"task": run.0, "run": run.1, "of": gang.present}),
                        );
                    }
                }
            });
        }
        self.runs.insert(run, Run { plan, started_at: Instant::now(), restored_ms, works_since });
        (StatusCode::OK, json!({"clock_ms": self.clock_ms()}))
    }

    fn stop(&mut self, order: &Value) -> (StatusCode, Value) {
        if !self.admit(order) {
            return (StatusCode::CONFLICT, json!({"clock_ms": self.clock_ms(), "reason": "fence"}));
        }
        let run = run_id(order);
        self.record.add(&self.name, "stop", json!({"task": run.0, "run": run.1}));
        if self.runs.contains_key(&run) {
            self.stopping.entry(run.clone()).or_insert(Instant::now() + STOP_TIME);
        }
        self.note_finished(&run);
        (StatusCode::OK, json!({"clock_ms": self.clock_ms()}))
    }

    fn hold(&mut self, order: &Value) -> bool {
        self.tick();
        if !self.admit(order) {
            return false;
        }
        let cursor = order["ack_cursor"].as_u64().unwrap_or(0);
        if self.ends.iter().any(|(number, ..)| *number <= cursor) {
            self.record.add(&self.name, "acked", json!({"cursor": cursor}));
        }
        self.ends.retain(|(number, ..)| *number > cursor);
        true
    }

    fn lists(&self) -> Value {
        let running: Vec<Value> = self
            .runs
            .iter()
            .map(|((task, number), run)| {
                let measured = if run.plan.lasts { 1 } else { run.plan.cpu };
                json!([task, number, run.checkpoint(), run.percent(), measured])
            })
            .collect();
        let ends = self.ends.iter().take(PAGE_ENDS);
        let finished: Vec<Value> =
            ends.map(|(number, (task, run), kind, checkpoint)| json!([number, task, run, kind, checkpoint])).collect();
        json!({"clock_ms": self.clock_ms(), "born": self.born, "running": running, "finished": finished})
    }
}

fn run_id(order: &Value) -> RunId {
    (order["task"].as_str().unwrap_or_default().to_owned(), order["run_id"].as_u64().unwrap_or(0))
}

async fn tick_periodically(state: Arc<Mutex<State>>, door: Arc<Door>) {
    loop {
        sleep(TICK).await;
        let crashing = {
            let mut state = lock(&state);
            if state.is_dark {
                continue;
            }
            state.tick();
            let is_due = |run: &Run| {
                run.plan.crash_after_ms > 0
                    && run.started_at.elapsed() >= Duration::from_millis(run.plan.crash_after_ms)
            };
            let culprit = state.runs.iter().find(|(_, run)| is_due(run)).map(|(id, _)| id.clone());
            if let Some((task, run)) = &culprit {
                state.record.add(&state.name, "crash", json!({"task": task, "run": run}));
            }
            culprit.is_some()
        };
        if crashing {
            crash(&state, &door, DARK);
        }
    }
}

async fn report_periodically(state: Arc<Mutex<State>>, address: SocketAddr, agent: SocketAddr) {
    let client = chervilledge_client::open(BOUNDS);
    loop {
        if lock(&state).is_dark {
            sleep(TICK).await;
            continue;
        }
        let (name, report) = {
            let mut state = lock(&state);
            state.sequence += 1;
            let report = json!({
                "service": SERVICE, "address": address, "zone": state.zone, "version": "v1", "slots": 8,
                "state": "ready", "cold_ms": 0,
                "capacity": {"cpu": state.cpu, "mem_mb": state.mem_mb, "gpu": 0},
                "labels": ["a", state.rack], "clock_ms": state.clock_ms(), "seq": state.sequence, "born": state.born,
            });
            (state.name.clone(), report)
        };
        let body = Bytes::from(report.to_string());
        let patience = Patience::at_once(Duration::from_secs(1));
        // An agent that is down gets a later report.
        drop(client.call(agent, Method::PUT, &format!("/instances/{name}"), HeaderMap::new(), body, patience).await);
        sleep(REPORT_INTERVAL).await;
    }
}

async fn handle(request: Request<Incoming>, state: Arc<Mutex<State>>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let Ok(body) = body.collect().await.map(http_body_util::Collected::to_bytes) else {
        return json_response(StatusCode::BAD_REQUEST, &json!({}));
    };
    let order: Value = serde_json::from_slice(&body).unwrap_or_default();
    let target = parts.headers.get("target-instance").and_then(|value| value.to_str().ok());
    if target.is_some_and(|target| target != lock(&state).name) {
        return json_response(StatusCode::MISDIRECTED_REQUEST, &json!({}));
    }
    if parts.uri.path() == "/hold" {
        return hold(&state, &order).await;
    }
    let path = parts.uri.path().to_owned();
    let late_start = if path == "/run-start" { lock(&state).late_start.take() } else { None };
    if let Some(delay) = late_start {
        let shared = Arc::clone(&state);
        {
            let state = lock(&state);
            state.record.add(&state.name, "unanswered", json!({"task": order["task"], "run": order["run_id"]}));
        }
        tokio::spawn(async move {
            sleep(delay).await;
            while lock(&shared).is_dark {
                sleep(TICK).await;
            }
            let mut state = lock(&shared);
            state.record.add(&state.name, "late", json!({"task": order["task"], "run": order["run_id"]}));
            let (status, answer) = execute(&mut state, &path, &order);
            state.record.add(&state.name, "late result", json!([status.as_u16(), answer]));
        });
        return std::future::pending().await;
    }
    let (status, content) = execute(&mut lock(&state), &path, &order);
    json_response(status, &content)
}

fn execute(state: &mut State, path: &str, order: &Value) -> (StatusCode, Value) {
    state.tick();
    match path {
        "/run-start" => state.start(order),
        "/run-stop" => state.stop(order),
        "/pace" => (StatusCode::OK, json!({"clock_ms": state.clock_ms()})),
        _ => (StatusCode::NOT_FOUND, json!({})),
    }
}

async fn hold(state: &Arc<Mutex<State>>, order: &Value) -> Response<Body> {
    let due = Instant::now() + Duration::from_millis(order["wait_ms"].as_u64().unwrap_or(0).min(2_000));
    if !lock(state).hold(order) {
        let content = json!({"clock_ms": lock(state).clock_ms(), "reason": "fence"});
        return json_response(StatusCode::CONFLICT, &content);
    }
    let born = lock(state).born;
    loop {
        {
            let state = lock(state);
            if state.born != born {
                return json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
            }
            if Instant::now() >= due || !state.ends.is_empty() {
                return json_response(StatusCode::OK, &state.lists());
            }
        }
        sleep(TICK).await;
    }
}
