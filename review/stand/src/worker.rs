//! Stand-in for a worker: runs tasks under a lease, lists their ends, and reports to its agent.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::http::{self, Reply, Request, Server};
use crate::record::Record;

pub const SERVICE: &str = "booking-desk";
/// `max_hold_ms` and `stop_grace_ms` of the booking site.
pub const HOLD_MAX_MS: u64 = 6_000;
const STOP: Duration = Duration::from_millis(300);
const HEARTBEAT: Duration = Duration::from_millis(1_100);
const ENDS_LISTED_MAX: usize = 500;

/// `checkpoint_s`, `restore_ms` and `gang_wait_ms` of the booking site.
const CHECKPOINT_MS: u64 = 2_000;
const RESTORE_MS: u64 = 600;
const GANG_WAIT: Duration = Duration::from_millis(3_000);

type RunId = (String, u64);

/// Members of the runs of gangs that are present, by step and run: the task, and the checkpoint that it carries.
pub type Gangs = Arc<Mutex<BTreeMap<(String, u64), Gang>>>;

#[derive(Default)]
pub struct Gang {
    members: BTreeMap<String, String>,
    /// When all members were present, with one checkpoint.
    began: Option<Instant>,
    is_broken: bool,
}

/// A run on the worker.
struct Run {
    began: Instant,
    /// Work that is left to do at the start, beside the time for a restore.
    work: Duration,
    /// Work that the checkpoint of the start holds.
    restored_ms: u64,
    checkpoint: String,
    /// Members of the task's gang; 0 without one.
    gang: usize,
}

impl Run {
    fn saved(&self, worked: Duration) -> String {
        let ms = self.restored_ms + u64::try_from(worked.as_millis()).unwrap();
        let saved_ms = ms / CHECKPOINT_MS * CHECKPOINT_MS;
        if saved_ms <= self.restored_ms { self.checkpoint.clone() } else { format!("{saved_ms:08x}7a21d94b") }
    }
}

/// The step of a task.
fn step_of(task: &str) -> String {
    task.rsplit_once('.').map_or_else(String::new, |(step, _)| step.to_owned())
}

struct Order {
    due: Instant,
    path: String,
    content: Value,
}

struct State {
    born: u64,
    started: Instant,
    sequence: u64,
    fence: u64,
    lease_end_ms: u64,
    /// No lease is in force.
    has_lapsed: bool,
    runs: BTreeMap<RunId, Run>,
    stopping: BTreeMap<RunId, Instant>,
    /// Highest run of each task that was stopped or has ended here.
    floor: BTreeMap<String, u64>,
    ends: VecDeque<(u64, RunId, &'static str, String)>,
    last_end: u64,
    is_up: bool,
}

struct Shared {
    id: String,
    zone: String,
    agent: SocketAddr,
    record: Record,
    state: Mutex<State>,
    address: Mutex<SocketAddr>,
    /// Orders get no answer and are carried out after this time.
    late: Mutex<Option<Duration>>,
    late_orders: Mutex<Vec<Order>>,
    is_over: AtomicBool,
    gangs: Gangs,
}

pub struct Worker {
    shared: Arc<Shared>,
    server: Mutex<Option<Server>>,
}

fn unix_ms() -> u64 {
    u64::try_from(SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()).unwrap()
}

fn new_life() -> State {
    State {
        born: unix_ms(),
        started: Instant::now(),
        sequence: 0,
        fence: 0,
        lease_end_ms: 0,
        has_lapsed: true,
        runs: BTreeMap::new(),
        stopping: BTreeMap::new(),
        floor: BTreeMap::new(),
        ends: VecDeque::new(),
        last_end: 0,
        is_up: true,
    }
}

pub fn open(id: &str, zone: &str, agent: SocketAddr, record: &Record, gangs: &Gangs) -> Worker {
    let shared = Arc::new(Shared {
        id: id.to_owned(),
        zone: zone.to_owned(),
        agent,
        record: record.clone(),
        state: Mutex::new(new_life()),
        address: Mutex::new(([127, 0, 0, 1], 0).into()),
        late: Mutex::default(),
        late_orders: Mutex::default(),
        is_over: AtomicBool::new(false),
        gangs: Arc::clone(gangs),
    });
    let server = listen(&shared);
    *shared.address.lock().unwrap() = server.address;
    let ticking = Arc::clone(&shared);
    thread::spawn(move || {
        while !ticking.is_over.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(4));
            ticking.tick();
        }
    });
    let reporting = Arc::clone(&shared);
    thread::spawn(move || {
        while !reporting.is_over.load(Ordering::Relaxed) {
            reporting.report();
            let due = Instant::now() + HEARTBEAT;
            let born = reporting.state.lock().unwrap().born;
            // A new life reports at once.
            while Instant::now() < due && reporting.state.lock().unwrap().born == born {
                thread::sleep(Duration::from_millis(5));
            }
        }
    });
    Worker { shared, server: Mutex::new(Some(server)) }
}

fn listen(shared: &Arc<Shared>) -> Server {
    let address = *shared.address.lock().unwrap();
    let handling = Arc::clone(shared);
    let handler: http::Handler = Arc::new(move |request| handling.handle(&request));
    for _ in 0..100 {
        if let Ok(server) = http::serve(address, Arc::clone(&handler)) {
            return server;
        }
        thread::sleep(Duration::from_millis(20));
    }
    panic!("the worker's address is taken");
}

impl Worker {
    pub fn id(&self) -> &str {
        &self.shared.id
    }

    /// The worker crashes: its runs are gone, and its address refuses connections for `down`.
    /// It starts again under the same id.
    pub fn crash(&self, down: Duration) {
        let shared = &self.shared;
        shared.record.say(format!("worker {} crashes, down for {} ms", shared.id, down.as_millis()));
        if let Some(server) = self.server.lock().unwrap().take() {
            {
                let mut state = shared.state.lock().unwrap();
                state.is_up = false;
                let runs: Vec<RunId> = state.runs.keys().cloned().collect();
                state.runs.clear();
                for (task, run) in runs {
                    shared.leave_gang(&task, run);
                    shared.record.end(&task, run, &shared.id, "crashed", 0);
                }
            }
            server.close();
        }
        thread::sleep(down);
        *shared.state.lock().unwrap() = new_life();
        *self.server.lock().unwrap() = Some(listen(shared));
        shared.record.say(format!("worker {} is up again", shared.id));
    }

    /// From now on orders get no answer and are carried out after `late`; `None` ends that.
    pub fn set_late(&self, late: Option<Duration>) {
        *self.shared.late.lock().unwrap() = late;
        self.shared.record.say(format!("worker {} late orders: {late:?}", self.shared.id));
    }

    pub fn running(&self) -> Vec<RunId> {
        self.shared.state.lock().unwrap().runs.keys().cloned().collect()
    }

    /// Number of orders that wait to be carried out late.
    pub fn waiting_orders(&self) -> usize {
        self.shared.late_orders.lock().unwrap().len()
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.shared.is_over.store(true, Ordering::Relaxed);
    }
}

impl Shared {
    fn tick(&self) {
        let due: Vec<Order> = {
            let mut orders = self.late_orders.lock().unwrap();
            let now = Instant::now();
            orders.extract_if(.., |order| order.due <= now).collect()
        };
        for order in due {
            if !self.state.lock().unwrap().is_up {
                self.record.say(format!("worker {} is down: a late order is lost", self.id));
                continue;
            }
            if let Some((status, _)) = self.carry_out(&order.path, &order.content) {
                self.record.say(format!("worker {} carries out late {} {}: {status}", self.id, order.path, order.content));
            }
        }
        let mut state = self.state.lock().unwrap();
        if !state.is_up {
            return;
        }
        let now = Instant::now();
        let stopped: Vec<RunId> =
            state.stopping.iter().filter(|(_, end)| **end <= now).map(|(run, _)| run.clone()).collect();
        for run in stopped {
            self.end(&mut state, &run, "stopped");
        }
        let ended: Vec<(RunId, &'static str)> =
            state.runs.iter().filter_map(|(id, run)| Some((id.clone(), self.how_ended(id, run, now)?))).collect();
        for (run, how) in ended {
            self.end(&mut state, &run, how);
        }
        let has_lapsed = state.clock_ms() >= state.lease_end_ms;
        if has_lapsed && !state.has_lapsed {
            self.record.lapse(&self.id);
        }
        state.has_lapsed = has_lapsed;
        if has_lapsed {
            let runs: Vec<RunId> = state.runs.keys().cloned().collect();
            for run in runs {
                self.end(&mut state, &run, "lapsed");
            }
        }
    }

    /// Time that a run has worked: from its start, or from when its gang was whole; after a restore.
    fn worked(&self, id: &RunId, run: &Run, now: Instant) -> Duration {
        let began = if run.gang == 0 {
            Some(run.began)
        } else {
            self.gangs.lock().unwrap().get(&(step_of(&id.0), id.1)).and_then(|gang| gang.began)
        };
        let restore = Duration::from_millis(if run.checkpoint.is_empty() { 0 } else { RESTORE_MS });
        began.map_or(Duration::ZERO, |began| now.saturating_duration_since(began).saturating_sub(restore))
    }

    fn how_ended(&self, id: &RunId, run: &Run, now: Instant) -> Option<&'static str> {
        if run.gang > 0 {
            let gangs = self.gangs.lock().unwrap();
            let gang = gangs.get(&(step_of(&id.0), id.1))?;
            if gang.is_broken {
                return Some("broken");
            }
            if gang.began.is_none() {
                return (now >= run.began + GANG_WAIT).then_some("alone");
            }
        }
        (self.worked(id, run, now) >= run.work).then_some("done")
    }

    /// A member comes. The gang works from when all are present; all must carry the same checkpoint.
    fn join_gang(&self, task: &str, run: u64, checkpoint: &str, size: usize) {
        let mut gangs = self.gangs.lock().unwrap();
        let gang = gangs.entry((step_of(task), run)).or_default();
        gang.members.insert(task.to_owned(), checkpoint.to_owned());
        let is_one = gang.members.values().all(|other| other == checkpoint);
        if gang.members.len() == size && is_one && !gang.is_broken {
            gang.began = Some(Instant::now());
            self.record.say(format!("gang {} run {run} is whole, checkpoint {checkpoint:?}", step_of(task)));
        } else if gang.members.len() == size {
            self.record.say(format!("gang {} run {run}: its members carry {:?}", step_of(task), gang.members));
        }
    }

    /// A member of a gang ends in another way than `done`: the others end `broken`.
    fn leave_gang(&self, task: &str, run: u64) {
        if let Some(gang) = self.gangs.lock().unwrap().get_mut(&(step_of(task), run)) {
            gang.is_broken |= gang.began.is_some();
        }
    }

    fn end(&self, state: &mut State, run: &RunId, how: &'static str) {
        let saved = state.runs.remove(run).map_or_else(String::new, |ended| {
            let worked = self.worked(run, &ended, Instant::now());
            if how == "done" { String::new() } else { ended.saved(worked) }
        });
        if !matches!(how, "done" | "alone") {
            self.leave_gang(&run.0, run.1);
        }
        state.stopping.remove(run);
        let floor = state.floor.entry(run.0.clone()).or_default();
        *floor = run.1.max(*floor);
        state.last_end += 1;
        let number = state.last_end;
        state.ends.push_back((number, run.clone(), how, saved));
        self.record.end(&run.0, run.1, &self.id, how, state.last_end);
    }

    fn report(&self) {
        let report = {
            let mut state = self.state.lock().unwrap();
            if !state.is_up {
                return;
            }
            state.sequence += 1;
            json!({
                "service": SERVICE, "address": *self.address.lock().unwrap(), "zone": self.zone, "version": "v1",
                "slots": 8, "state": "ready", "cold_ms": 0,
                "capacity": {"cpu": 32_000, "mem_mb": 128_000, "gpu": 0}, "labels": ["a", format!("r-{}", self.zone)],
                "clock_ms": state.clock_ms(), "seq": state.sequence, "born": state.born,
            })
        };
        let path = format!("/instances/{}", self.id);
        http::call(self.agent, "PUT", &path, &[], &report.to_string(), Duration::from_secs(1));
    }

    fn handle(&self, request: &Request) -> Reply {
        let order: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        if request.headers.get("target-instance").is_some_and(|target| *target != self.id) {
            return Reply::Answer(421, json!({}).to_string());
        }
        if request.path == "/hold" {
            return self.hold(&order);
        }
        if let Some(late) = *self.late.lock().unwrap() {
            self.record.note(format!("worker {} leaves unanswered {} {order}", self.id, request.path));
            let order = Order { due: Instant::now() + late, path: request.path.clone(), content: order };
            self.late_orders.lock().unwrap().push(order);
            return Reply::Silence;
        }
        let Some((status, content)) = self.carry_out(&request.path, &order) else { return Reply::Silence };
        self.record.note(format!("worker {} answers {status} {} {order}", self.id, request.path));
        Reply::Answer(status, content.to_string())
    }

    /// `None` while the worker is down.
    fn carry_out(&self, path: &str, order: &Value) -> Option<(u16, Value)> {
        let mut state = self.state.lock().unwrap();
        let run = (order["task"].as_str().unwrap_or_default().to_owned(), order["run_id"].as_u64().unwrap_or(0));
        if !state.is_up {
            return None;
        }
        if !state.admit(order) {
            return Some((409, json!({"clock_ms": state.clock_ms(), "reason": "fence"})));
        }
        let clock = json!({"clock_ms": state.clock_ms()});
        Some(match path {
            "/run-start" => {
                let refuse = |reason: &str| Some((409, json!({"clock_ms": clock["clock_ms"], "reason": reason})));
                if state.runs.contains_key(&run) {
                    return Some((200, clock));
                }
                if state.floor.get(&run.0).is_some_and(|floor| run.1 <= *floor) {
                    return refuse("old");
                }
                if state.clock_ms() >= order["deadline_ms"].as_u64().unwrap_or(0) {
                    return refuse("late");
                }
                let spec: Value = serde_json::from_str(order["spec"].as_str().unwrap_or("")).unwrap_or_default();
                let gang = usize::try_from(spec["gang"].as_u64().unwrap_or(0)).unwrap();
                let checkpoint = order["checkpoint"].as_str().unwrap_or_default().to_owned();
                let restored_ms = checkpoint.get(..8).and_then(|ms| u64::from_str_radix(ms, 16).ok()).unwrap_or(0);
                let work = Duration::from_millis(spec["ms"].as_u64().unwrap_or(100).saturating_sub(restored_ms));
                self.record.begin(&run.0, run.1, &self.id);
                if gang > 0 {
                    self.join_gang(&run.0, run.1, &checkpoint, gang);
                }
                state.runs.insert(run, Run { began: Instant::now(), work, restored_ms, checkpoint, gang });
                (200, clock)
            }
            "/run-stop" => {
                if state.runs.contains_key(&run) {
                    state.stopping.entry(run.clone()).or_insert(Instant::now() + STOP);
                }
                let floor = state.floor.entry(run.0).or_default();
                *floor = run.1.max(*floor);
                (200, clock)
            }
            "/pace" => (200, clock),
            _ => (404, json!({})),
        })
    }

    fn lists(&self, state: &State) -> Value {
        let now = Instant::now();
        let running = state.runs.iter().map(|(id, run)| {
            let worked = self.worked(id, run, now);
            let all_ms = run.restored_ms + u64::try_from(run.work.as_millis()).unwrap();
            let percent = (run.restored_ms + u64::try_from(worked.as_millis()).unwrap()) * 100 / all_ms.max(1);
            json!([id.0, id.1, run.saved(worked), percent.min(99), 100])
        });
        let running: Vec<Value> = running.collect();
        let listed = state.ends.iter().take(ENDS_LISTED_MAX);
        let finished: Vec<Value> =
            listed.map(|(number, (task, run), how, saved)| json!([number, task, run, how, saved])).collect();
        json!({"clock_ms": state.clock_ms(), "born": state.born, "running": running, "finished": finished})
    }

    fn hold(&self, order: &Value) -> Reply {
        let due = Instant::now() + Duration::from_millis(order["wait_ms"].as_u64().unwrap_or(0).min(2_000));
        let born = {
            let mut state = self.state.lock().unwrap();
            if !state.is_up {
                return Reply::Silence;
            }
            if !state.admit(order) {
                return Reply::Answer(409, json!({"clock_ms": state.clock_ms(), "reason": "fence"}).to_string());
            }
            let cursor = order["ack_cursor"].as_u64().unwrap_or(0);
            let mut noted = Vec::new();
            state.ends.retain(|(number, run, ..)| {
                if *number <= cursor {
                    noted.push(run.clone());
                }
                *number > cursor
            });
            if !noted.is_empty() {
                self.record.acked(&self.id, &noted, cursor);
            }
            state.born
        };
        loop {
            {
                let state = self.state.lock().unwrap();
                if state.born != born || !state.is_up {
                    return Reply::Silence;
                }
                if !state.ends.is_empty() || Instant::now() >= due {
                    return Reply::Answer(200, self.lists(&state).to_string());
                }
            }
            thread::sleep(Duration::from_millis(4));
        }
    }
}

impl State {
    fn clock_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap()
    }

    /// Takes the epoch number and the lease of a call; `false` if a higher number was seen.
    fn admit(&mut self, order: &Value) -> bool {
        let fence = order["fence_token"].as_u64().unwrap_or(0);
        if fence < self.fence {
            return false;
        }
        self.fence = fence;
        if let Some(end) = order["deadline_ms"].as_u64() {
            self.lease_end_ms = self.lease_end_ms.max(end.min(self.clock_ms() + HOLD_MAX_MS));
        }
        true
    }
}
