//! Several entries that place tasks on the same workers, based on stale reports.

use std::collections::VecDeque;
use std::time::Duration;

use chervilledge_policy::capacity::Resources;
use chervilledge_policy::id::{BootId, Name};
use chervilledge_policy::interference::Interference;
use chervilledge_policy::kind::KindId;
use chervilledge_policy::placement::{Fleet, PlacementRequest, Report, WorkerId, WorkerInfo};
use chervilledge_policy::reservation::{Admission, Reservation, Reservations};
use chervilledge_policy::task::{Epoch, TaskId};
use chervilledge_policy::usage::Usage;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const CAPACITY: Resources = Resources { processor_millicores: 16_000, memory_bytes: 60 << 30, accelerators: 0 };
const AGENT: BootId = BootId(1);
const WORKERS: usize = 4;
const ENTRIES: usize = 3;
const TICK: Duration = Duration::from_millis(100);
/// Interval between an agent's reports, in ticks.
const REPORT_TICKS: u32 = 10;

/// Entries, agents and running small tasks.
struct Cluster {
    fleets: Vec<Fleet>,
    agents: Vec<Reservations>,
    running: VecDeque<(Duration, usize, TaskId)>,
    next: u32,
    admitted: u32,
    refused: u32,
}

fn report(agent: &Reservations) -> Report {
    Report { free: agent.free(), used: agent.reserved(), request_load: 0.0, latency_ratio: 0.0 }
}

fn request(cores: u64) -> PlacementRequest {
    let resources = Resources { processor_millicores: cores * 1000, memory_bytes: cores << 30, accelerators: 0 };
    PlacementRequest { kind: KindId(0), resources }
}

impl Cluster {
    fn open() -> Self {
        let mut agents: Vec<Reservations> = (0..WORKERS).map(|_| Reservations::open(CAPACITY, AGENT)).collect();
        for agent in &mut agents {
            agent.take_stock(Vec::new()).expect("an empty worker has no excess");
        }
        let fleet = |seed| {
            let mut fleet = Fleet::open(seed);
            for (number, agent) in agents.iter().enumerate() {
                let (name, rack) = (Name::from(format!("w{number}")), Name::from(format!("r{number}")));
                fleet.join(WorkerInfo { name, rack, capacity: CAPACITY, service: None }, report(agent));
            }
            fleet
        };
        let fleets = (0..ENTRIES as u64).map(fleet).collect();
        Self { fleets, agents, running: VecDeque::new(), next: 0, admitted: 0, refused: 0 }
    }

    /// Ends finished tasks, sends due reports, and lets each entry place small tasks until it sees no room.
    fn tick(&mut self, tick: u32, random: &mut SmallRng) {
        let now = TICK * tick;
        while self.running.front().is_some_and(|(ends, ..)| *ends <= now) {
            let (_, worker, task) = self.running.pop_front().expect("a task runs");
            assert!(self.agents[worker].release(&task, Epoch(1), now));
            self.agents[worker].acknowledge(&task, Epoch(1), now);
        }
        for (worker, agent) in self.agents.iter_mut().enumerate() {
            agent.expire_earmark(now);
            if tick.is_multiple_of(REPORT_TICKS) {
                let id = WorkerId(u32::try_from(worker).expect("few workers"));
                self.fleets.iter_mut().for_each(|fleet| fleet.report(id, report(agent)));
            }
        }
        for entry in 0..ENTRIES {
            while self.place_small(entry, now, random) {}
        }
    }

    /// Proposes a small task to the entry's preferred worker; returns whether the entry saw room.
    fn place_small(&mut self, entry: usize, now: Duration, random: &mut SmallRng) -> bool {
        let request = request(random.random_range(1..4));
        let fleet = &mut self.fleets[entry];
        let Ok(id) = fleet.place(&request, &Interference::default(), &Usage::default(), now) else { return false };
        let worker = id.0 as usize;
        let task = TaskId { job: Name::from("small"), index: self.next };
        self.next += 1;
        let wanted = Reservation { task: task.clone(), epoch: Epoch(1), resources: request.resources };
        if self.agents[worker].reserve(&wanted, AGENT, now) == Ok(Admission::Reserved) {
            fleet.admitted(id, &request);
            self.admitted += 1;
            self.running.push_back((now + TICK * 50, worker, task));
        } else {
            fleet.declined(id, &request, Some(self.agents[worker].free()));
            self.refused += 1;
        }
        assert!(CAPACITY.covers(&self.agents[worker].reserved()));
        true
    }
}

#[test]
fn entries_with_stale_reports_never_overfill_a_worker() {
    let mut cluster = Cluster::open();
    let mut random = SmallRng::seed_from_u64(3);
    for tick in 0..600 {
        cluster.tick(tick, &mut random);
    }
    assert!(cluster.refused > 100, "the entries' reports were never stale");
    assert!(cluster.admitted > 300, "only {} tasks ran", cluster.admitted);
}

/// Returns the tick at which a task that needs a whole worker is admitted amid a stream of small ones, if ever.
fn admit_large(use_earmark: bool) -> Option<u32> {
    let mut cluster = Cluster::open();
    let mut random = SmallRng::seed_from_u64(4);
    let task = TaskId { job: Name::from("large"), index: 0 };
    for tick in 0..600 {
        cluster.tick(tick, &mut random);
        let now = TICK * tick;
        let wanted = Reservation { task: task.clone(), epoch: Epoch(u64::from(tick)), resources: CAPACITY };
        for agent in &mut cluster.agents {
            if agent.reserve(&wanted, AGENT, now) == Ok(Admission::Reserved) {
                return Some(tick);
            }
        }
        if use_earmark && tick == 100 {
            let id = cluster.fleets[0].earmark_candidate(&CAPACITY, now).expect("a worker could hold it");
            cluster.agents[id.0 as usize].earmark(&wanted, now, now + TICK * 300).expect("nothing else is earmarked");
        }
    }
    None
}

#[test]
fn a_large_task_starts_beside_a_stream_of_small_ones() {
    assert_eq!(admit_large(false), None, "without an earmark it starves");
    let tick = admit_large(true).expect("the earmarked worker drains");
    assert!(tick <= 160, "started at tick {tick}");
}
