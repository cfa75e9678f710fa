//! Cost of a routing choice, size of the routing state, and latency compared with random and round-robin routing.
//!
//! Run with `cargo bench -p chervilledge-policy --bench routing`.

#[path = "routing/simulation.rs"]
mod simulation;

use std::fs;
use std::hint::black_box;
use std::time::{Duration, Instant};

use chervilledge_policy::capacity::{Capacity, Resources};
use chervilledge_policy::id::{BootId, Name};
use chervilledge_policy::membership::{self, Announcement, Load, Members};
use chervilledge_policy::routing::{Finished, Settings, Table};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const DOMAINS: usize = 11;
const RACK_WORKERS: usize = 3;

fn main() {
    print_choices();
    print_state();
    simulation::print();
}

fn announcement(number: usize) -> Announcement {
    let resources = Resources { processor_millicores: 16_000, memory_bytes: 60 << 30, accelerators: 2 };
    Announcement {
        agent_boot: BootId(1),
        capacity: Capacity { slots: 8, connections: 64, resources },
        failure_domain: Name::from(format!("domain-{}", number % DOMAINS)),
        link: 1,
        queue: 16,
        rack: Name::from(format!("rack-{}", number / RACK_WORKERS)),
        service: Name::from("portal"),
        worker: Name::from(format!("worker-{number}")),
    }
}

/// Creates a table of `workers` backend servers, half loaded.
fn table(workers: usize) -> Table {
    let mut rng = StdRng::seed_from_u64(1);
    let mut table = Table::new(Name::from("domain-0"), Settings::default());
    for number in 0..workers {
        let announcement = announcement(number);
        table.upsert(Duration::ZERO, &announcement);
        let load = Load { in_progress: rng.random_range(0..8), ..Load::default() };
        table.set_load(&announcement.worker, &load);
    }
    table
}

fn print_choices() {
    println!("{:>8} {:>12} {:>20} {:>22}", "workers", "choose_ns", "choose_excluding_ns", "choose_to_finished_ns");
    for workers in [100, 1_000, 3_700] {
        let excluded = [Name::from("worker-0"), Name::from("worker-11")];
        println!(
            "{workers:>8} {:>12} {:>20} {:>22}",
            choose_ns(workers, &[]),
            choose_ns(workers, &excluded),
            full_cycle_ns(workers)
        );
    }
}

const ROUNDS: u32 = 1_000_000;

fn choose_ns(workers: usize, excluded: &[Name]) -> u128 {
    let table = table(workers);
    let mut rng = StdRng::seed_from_u64(2);
    let start = Instant::now();
    for round in 0..ROUNDS {
        let now = Duration::from_micros(u64::from(round));
        black_box(table.choose(now, excluded, &mut rng)).expect("the table has room");
    }
    start.elapsed().as_nanos() / u128::from(ROUNDS)
}

fn full_cycle_ns(workers: usize) -> u128 {
    let mut table = table(workers);
    let mut rng = StdRng::seed_from_u64(3);
    let start = Instant::now();
    for round in 0..ROUNDS {
        let now = Duration::from_micros(u64::from(round));
        let choice = table.choose(now, &[], &mut rng).expect("the table has room");
        table.started(&choice);
        black_box(table.finished(now, &choice, Finished::Succeeded(Duration::from_millis(20))));
    }
    start.elapsed().as_nanos() / u128::from(ROUNDS)
}

/// Returns the resident memory of this process.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = fs::read_to_string("/proc/self/statm").expect("the system provides statm");
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.expect("statm has a second number") * PAGE_BYTES
}

fn print_state() {
    const WORKERS: usize = 100_000;
    let before = resident_bytes();
    let mut members = Members::new(membership::Settings::default());
    for number in 0..WORKERS {
        members.announce(Duration::ZERO, announcement(number));
    }
    let with_members = resident_bytes();
    let table = table(WORKERS);
    let with_table = resident_bytes();
    println!("\nbytes of state for each worker, mean over {WORKERS}");
    println!("{:>12} {}", "membership", (with_members - before) / WORKERS as u64);
    println!("{:>12} {}", "routing", (with_table - with_members) / WORKERS as u64);
    black_box((&members, &table));
}
