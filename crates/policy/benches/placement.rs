//! Cost of placements, of their state and of queue operations, by the number of workers.
//!
//! `cargo bench -p chervilledge-policy --bench placement` prints one row per size. `-- --test` only checks that the
//! benchmark runs, on the smallest size. A mean or 99th percentile above the limit fails the run.

use std::collections::VecDeque;
use std::env;
use std::fs;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use chervilledge_policy::capacity::Resources;
use chervilledge_policy::collections::Map;
use chervilledge_policy::id::{BootId, Name};
use chervilledge_policy::interference::Interference;
use chervilledge_policy::kind::{KindId, Kinds};
use chervilledge_policy::placement::{Fleet, PlacementRequest, Report, WorkerId, WorkerInfo};
use chervilledge_policy::queue::{Aging, Item, Queue};
use chervilledge_policy::task::{Change, Claim, Effects, JobRow, Priority, TaskId, TaskRow, Transition, apply};
use chervilledge_policy::usage::Usage;

const SIZES: [u32; 3] = [100, 1_000, 3_700];
const WORKERS_FULL: u32 = 3_700;
const TASKS_FULL: u32 = 55_000;
const ROUNDS: usize = 20_000;
const TEAMS: u32 = 54;
const KINDS: u32 = 40;
const JOB_TASKS: u32 = 50;
const WAITING: u32 = 65_000;
const BATCH: usize = 64;

const PLACEMENT_MAX: Duration = Duration::from_micros(100);
const STATE_MAX_BYTES: u64 = 64 << 20;

/// State that an entry holds about the fleet and its running tasks.
struct State {
    fleet: Fleet,
    interference: Interference,
    usage: Usage,
    kinds: Vec<KindId>,
    rows: Map<TaskId, TaskRow>,
    running: VecDeque<(WorkerId, PlacementRequest)>,
}

/// Costs at one fleet size.
struct Costs {
    mean: Duration,
    p99: Duration,
    max: Duration,
    no_room: Duration,
    state_bytes: u64,
}

fn main() -> ExitCode {
    let is_test = env::args().any(|arg| arg == "--test");
    let sizes = if is_test { &SIZES[..1] } else { &SIZES[..] };
    println!("workers tasks place_mean_us place_p99_us place_max_us no_room_us state_mib");
    let mut is_within_limits = true;
    for workers in sizes {
        let tasks = workers * TASKS_FULL / WORKERS_FULL;
        let costs = measure(*workers, tasks);
        println!(
            "{workers} {tasks} {:.2} {:.2} {:.2} {:.2} {:.1}",
            micros(costs.mean),
            micros(costs.p99),
            micros(costs.max),
            micros(costs.no_room),
            mebibytes(costs.state_bytes)
        );
        is_within_limits &=
            costs.mean <= PLACEMENT_MAX && costs.p99 <= PLACEMENT_MAX && costs.state_bytes <= STATE_MAX_BYTES;
    }
    measure_queue(if is_test { WAITING / 100 } else { WAITING });
    if is_within_limits || is_test { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn measure(workers: u32, tasks: u32) -> Costs {
    let before = resident_bytes();
    let mut state = fill(workers, tasks);
    let state_bytes = resident_bytes().saturating_sub(before);
    let mut times = Vec::with_capacity(ROUNDS);
    for round in 0..ROUNDS {
        let (id, old) = state.running.pop_front().expect("tasks run");
        state.fleet.withdrawn(id, &old);
        let request = request(&state.kinds, u32::try_from(round).expect("few rounds"));
        let begin = Instant::now();
        let placed = state.fleet.place(&request, &state.interference, &state.usage, Duration::from_mins(1));
        times.push(begin.elapsed());
        if let Ok(id) = placed {
            state.fleet.admitted(id, &request);
            state.running.push_back((id, request));
        }
    }
    times.sort_unstable();
    let total: Duration = times.iter().sum();
    Costs {
        mean: total / u32::try_from(ROUNDS).expect("few rounds"),
        p99: times[ROUNDS * 99 / 100],
        max: times[ROUNDS - 1],
        no_room: no_room(&mut state),
        state_bytes,
    }
}

/// Returns the time to find that no worker has room, which checks all workers.
fn no_room(state: &mut State) -> Duration {
    let resources = Resources { processor_millicores: 16_000, memory_bytes: 60 << 30, accelerators: 3 };
    let request = PlacementRequest { kind: state.kinds[0], resources };
    let begin = Instant::now();
    for _ in 0..100 {
        let placed = state.fleet.place(&request, &state.interference, &state.usage, Duration::from_mins(1));
        assert!(placed.is_err(), "no worker has three accelerators");
    }
    begin.elapsed() / 100
}

/// Returns a request for 0.8 or 1.6 cores; every ninth also needs an accelerator.
fn request(kinds: &[KindId], number: u32) -> PlacementRequest {
    let cores = u64::from(number % 4 / 3) + 1;
    let accelerators = u32::from(number.is_multiple_of(9));
    let resources = Resources { processor_millicores: cores * 800, memory_bytes: cores << 30, accelerators };
    PlacementRequest { kind: kinds[(number % KINDS) as usize], resources }
}

fn fill(workers: u32, tasks: u32) -> State {
    let mut names = Kinds::default();
    let services: Vec<KindId> = (0..8).map(|number| names.id(&Name::from(format!("service{number}")))).collect();
    let kinds: Vec<KindId> = (0..KINDS).map(|number| names.id(&Name::from(format!("kind{number}")))).collect();
    let mut interference = Interference::default();
    for (number, kind) in kinds.iter().enumerate() {
        for service in &services {
            interference.observe(
                *service,
                &[(*kind, 1.0)],
                f64::from(u32::try_from(number).expect("few")) / 40.0,
                Duration::ZERO,
            );
        }
    }
    let mut fleet = Fleet::open(1);
    fleet.set_complete(true);
    let ids: Vec<WorkerId> = (0..workers).map(|number| join(&mut fleet, number, &services)).collect();
    assert_eq!(ids.len(), workers as usize);
    let mut state =
        State { fleet, interference, usage: Usage::default(), kinds, rows: Map::default(), running: VecDeque::new() };
    for number in 0..tasks {
        let request = request(&state.kinds, number);
        let placed = state.fleet.place(&request, &state.interference, &state.usage, Duration::from_mins(1));
        let id = placed.expect("the fleet holds all tasks");
        state.fleet.admitted(id, &request);
        let worker = Name::clone(state.fleet.name(id).expect("a known worker"));
        let row = running_row(number, &request.resources, worker);
        state.rows.insert(row.id.clone(), row);
        state.running.push_back((id, request));
    }
    state
}

/// Adds a worker with 32 cores, 125 GiB and two accelerators, three per rack.
fn join(fleet: &mut Fleet, number: u32, services: &[KindId]) -> WorkerId {
    let capacity = Resources { processor_millicores: 32_000, memory_bytes: 125 << 30, accelerators: 2 };
    let info = WorkerInfo {
        name: Name::from(format!("worker-{number:05}")),
        rack: Name::from(format!("rack-{:04}", number / 3)),
        capacity,
        service: Some(services[number as usize % services.len()]),
    };
    let load = f64::from(number % 10) / 10.0;
    let report = Report { free: capacity, used: Resources::default(), request_load: load, latency_ratio: load };
    fleet.join(info, report)
}

fn running_row(number: u32, declared: &Resources, worker: Name) -> TaskRow {
    let job = JobRow {
        id: Name::from(format!("job-{:08}", number / JOB_TASKS)),
        submit_key: Name::from("key"),
        team: Name::from("team"),
        priority: Priority::Normal,
        kind: Name::from("kind"),
        declared: *declared,
        run_time: Duration::from_mins(1),
        effects: Effects::Fenced,
        task_count: JOB_TASKS,
        attempts_max: 5,
    };
    let queued = job.task(number % JOB_TASKS);
    let claim = Change::Claim(Claim { worker, agent: BootId(2), entry: BootId(1) });
    let claimed = apply(&queued, Transition { epoch: queued.epoch, change: claim }).expect("a queued task");
    apply(&claimed, Transition { epoch: claimed.epoch, change: Change::Start }).expect("a claimed task")
}

/// Prints the cost of adding, taking and cancelling a task with a day's tasks in the queue.
fn measure_queue(waiting: u32) {
    let size = Resources { processor_millicores: 1000, memory_bytes: 1 << 30, accelerators: 0 };
    let quota = Resources { processor_millicores: u64::MAX >> 20, memory_bytes: u64::MAX >> 1, accelerators: u32::MAX };
    let teams: Vec<Name> = (0..TEAMS).map(|number| Name::from(format!("team{number}"))).collect();
    let mut queue = Queue::open(Aging::default());
    for team in &teams {
        queue.set_quota(team, quota);
    }
    let before = resident_bytes();
    let begin = Instant::now();
    for number in 0..waiting {
        queue.push(item(number, &teams, size)).expect("within quota");
    }
    let push = begin.elapsed() / waiting;
    let state_bytes = resident_bytes().saturating_sub(before);
    let begin = Instant::now();
    let mut taken = 0;
    while taken < waiting / 2 {
        let batch = queue.take_batch(Duration::from_secs(1000), BATCH);
        taken += u32::try_from(batch.len()).expect("a small batch");
    }
    let take = begin.elapsed() / taken;
    let left = u32::try_from(queue.len()).expect("fewer than waiting");
    let begin = Instant::now();
    assert_eq!(queue.cancel_matching(|_| true).len(), left as usize);
    let cancel = begin.elapsed() / left;
    println!("waiting push_us take_us cancel_us state_mib");
    println!("{waiting} {:.2} {:.2} {:.2} {:.1}", micros(push), micros(take), micros(cancel), mebibytes(state_bytes));
}

fn item(number: u32, teams: &[Name], resources: Resources) -> Item {
    Item {
        task: TaskId { job: Name::from(format!("job-{:08}", number / JOB_TASKS)), index: number % JOB_TASKS },
        team: Name::clone(&teams[number as usize % teams.len()]),
        kind: Name::from("kind"),
        priority: Priority::ALL[number as usize % Priority::ALL.len()],
        resources,
        queued_at: Duration::ZERO,
    }
}

/// Returns the resident memory of the process, or 0 where it isn't available.
fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kibibytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kibibytes.unwrap_or(0) * 1024
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

#[expect(clippy::cast_precision_loss, reason = "sizes stay far below 2^53")]
fn mebibytes(bytes: u64) -> f64 {
    bytes as f64 / f64::from(1 << 20)
}
