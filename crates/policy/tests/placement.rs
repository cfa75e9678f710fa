//! Placement of tasks on workers, interference and usage.

use std::time::Duration;

use chervilledge_policy::capacity::Resources;
use chervilledge_policy::id::Name;
use chervilledge_policy::interference::Interference;
use chervilledge_policy::kind::KindId;
use chervilledge_policy::placement::{Fleet, Lacking, PlacementError, PlacementRequest, Report, WorkerId, WorkerInfo};
use chervilledge_policy::usage::Usage;
use rstest::rstest;

const MINUTE: Duration = Duration::from_mins(1);
const QUOTES: KindId = KindId(0);
const ORDERS: KindId = KindId(1);
const MESH: KindId = KindId(2);

fn size(cores: u64, gib: u64, accelerators: u32) -> Resources {
    Resources { processor_millicores: cores * 1000, memory_bytes: gib << 30, accelerators }
}

fn idle_report(free: Resources) -> Report {
    Report { free, used: Resources::default(), request_load: 0.5, latency_ratio: 0.5 }
}

/// Creates a fleet of workers with 16 cores and 60 GiB, three per rack.
fn fleet(workers: u32) -> Fleet {
    let mut fleet = Fleet::open(7);
    fleet.set_complete(true);
    for number in 0..workers {
        join(&mut fleet, number, size(16, 60, 0));
    }
    fleet
}

fn join(fleet: &mut Fleet, number: u32, capacity: Resources) -> WorkerId {
    let (name, rack) = (Name::from(format!("w{number}")), Name::from(format!("r{}", number / 3)));
    fleet.join(WorkerInfo { name, rack, capacity, service: Some(QUOTES) }, idle_report(capacity))
}

fn request(cores: u64, gib: u64) -> PlacementRequest {
    PlacementRequest { kind: ORDERS, resources: size(cores, gib, 0) }
}

fn place(fleet: &mut Fleet, request: &PlacementRequest, now: Duration) -> Result<WorkerId, PlacementError> {
    fleet.place(request, &Interference::default(), &Usage::default(), now)
}

#[test]
fn proposals_fill_the_fleet_and_never_exceed_it() {
    let mut fleet = fleet(10);
    let request = request(3, 1);
    let mut counts = [0; 10];
    for _ in 0..50 {
        let id = place(&mut fleet, &request, MINUTE).expect("each worker holds five");
        counts[id.0 as usize] += 1;
    }
    assert_eq!(counts, [5; 10]);
    assert_eq!(place(&mut fleet, &request, MINUTE), Err(PlacementError::NoRoom));
    fleet.declined(WorkerId(3), &request, None);
    assert_eq!(place(&mut fleet, &request, MINUTE), Ok(WorkerId(3)));
    fleet.admitted(WorkerId(3), &request);
    assert_eq!(fleet.free(WorkerId(3)), size(1, 55, 0));
    fleet.succeeded(WorkerId(3), &request, &Name::from("job"));
    assert_eq!(place(&mut fleet, &request, MINUTE), Ok(WorkerId(3)));
}

#[test]
fn a_task_is_placed_on_a_worker_that_is_not_allowed() {
    let mut fleet = fleet(2);
    let request = request(16, 1);
    let is_allowed = |name: &Name| **name == *"w1";
    let place_on_allowed =
        |fleet: &mut Fleet| fleet.place_on(&request, &Interference::default(), &Usage::default(), MINUTE, is_allowed);
    assert_eq!(place_on_allowed(&mut fleet), Ok(WorkerId(1)));
    assert_eq!(place_on_allowed(&mut fleet), Err(PlacementError::NoRoom));
    assert!(fleet.could_hold_on(&request.resources, MINUTE, is_allowed));
    assert!(!fleet.could_hold_on(&request.resources, MINUTE, |_| false));
    assert_eq!(place(&mut fleet, &request, MINUTE), Ok(WorkerId(0)));
}

#[test]
fn a_decline_corrects_what_is_believed_to_be_free() {
    let mut fleet = fleet(1);
    let id = place(&mut fleet, &request(8, 1), MINUTE).expect("the worker is empty");
    fleet.declined(id, &request(8, 1), Some(size(4, 60, 0)));
    assert_eq!(place(&mut fleet, &request(8, 1), MINUTE), Err(PlacementError::NoRoom));
    fleet.report(id, idle_report(size(16, 60, 0)));
    assert_eq!(place(&mut fleet, &request(8, 1), MINUTE), Ok(id));
}

#[rstest]
#[case::processors(size(17, 1, 0), Lacking::Processors)]
#[case::memory(size(1, 61, 0), Lacking::Memory)]
#[case::accelerators(size(1, 1, 3), Lacking::Accelerators)]
#[case::combination(size(12, 1, 2), Lacking::Combination)]
fn an_impossible_task_is_named_and_comes_back(#[case] resources: Resources, #[case] lacking: Lacking) {
    let mut fleet = fleet(4);
    join(&mut fleet, 4, size(8, 60, 2));
    let request = PlacementRequest { kind: ORDERS, resources };
    assert_eq!(place(&mut fleet, &request, MINUTE), Err(PlacementError::Impossible(lacking)));
    fleet.set_complete(false);
    assert_eq!(place(&mut fleet, &request, MINUTE), Err(PlacementError::NoRoom), "not all workers are known");
    let large = join(&mut fleet, 5, size(64, 250, 8));
    assert!(fleet.could_hold(&resources));
    assert_eq!(place(&mut fleet, &request, MINUTE), Ok(large));
    fleet.leave(large);
    assert_eq!(place(&mut fleet, &request, MINUTE), Err(PlacementError::NoRoom));
}

#[test]
fn a_worker_that_fails_everything_is_avoided_and_returns_slowly() {
    let mut fleet = fleet(10);
    let bad = WorkerId(4);
    for job in 0..3 {
        fleet.failed(bad, &request(1, 1), &Name::from(format!("job{job}")), MINUTE);
    }
    let mut chosen = (0..60).map(|_| place(&mut fleet, &request(1, 1), MINUTE).expect("there is room"));
    assert!(chosen.all(|id| id != bad));
    let later = MINUTE * 3;
    let probes = (0..100).filter(|_| place(&mut fleet, &request(1, 1), later) == Ok(bad)).count();
    assert_eq!(probes, 1);
    fleet.succeeded(bad, &request(1, 1), &Name::from("job9"));
    assert_eq!(place(&mut fleet, &request(1, 1), later), Ok(bad));
    assert_eq!(place(&mut fleet, &request(1, 1), later), Ok(bad));
}

#[test]
fn a_worker_does_not_clear_its_record_by_leaving() {
    let mut fleet = fleet(10);
    for job in 0..3 {
        fleet.failed(WorkerId(4), &request(1, 1), &Name::from(format!("job{job}")), MINUTE);
    }
    fleet.leave(WorkerId(4));
    let back = join(&mut fleet, 4, size(16, 60, 0));
    assert!((0..144).all(|_| place(&mut fleet, &request(1, 1), MINUTE) != Ok(back)));
    assert_eq!(place(&mut fleet, &request(1, 1), MINUTE), Err(PlacementError::NoRoom));
}

#[test]
fn a_job_that_fails_everywhere_does_not_discredit_workers() {
    let mut fleet = fleet(10);
    for round in 0..5 {
        for id in (0..10).map(WorkerId) {
            fleet.failed(id, &request(1, 1), &Name::from("broken"), MINUTE * round);
        }
    }
    let placed: Vec<WorkerId> = (0..160).filter_map(|_| place(&mut fleet, &request(1, 1), MINUTE).ok()).collect();
    assert_eq!(placed.len(), 160, "every worker still takes tasks");
}

#[test]
fn at_most_a_fifth_of_the_workers_is_avoided() {
    let mut fleet = fleet(10);
    for id in (0..10).map(WorkerId) {
        for job in 0..3 {
            fleet.failed(id, &request(1, 1), &Name::from(format!("job{}-{job}", id.0)), MINUTE);
        }
    }
    let used: std::collections::HashSet<u32> =
        (0..128).map(|_| place(&mut fleet, &request(1, 1), MINUTE).expect("eight workers are open").0).collect();
    assert_eq!(used.len(), 8);
}

#[test]
fn workers_with_little_interference_are_preferred() {
    let mut fleet = fleet(2);
    let service = KindId(9);
    let (name, rack) = (Name::from("quiet"), Name::from("r9"));
    let info = WorkerInfo { name, rack, capacity: size(16, 60, 0), service: Some(service) };
    let quiet = fleet.join(info, idle_report(size(16, 60, 0)));
    let mut interference = Interference::default();
    for second in 0..600_u32 {
        let tasks = f64::from(second % 3);
        let now = Duration::from_secs(second.into());
        interference.observe(QUOTES, &[(ORDERS, tasks)], 0.5 + 0.5 * tasks, now);
        interference.observe(service, &[(ORDERS, tasks)], 0.5, now);
    }
    for _ in 0..4 {
        assert_eq!(fleet.place(&request(1, 1), &interference, &Usage::default(), MINUTE), Ok(quiet));
    }
}

#[test]
fn tasks_of_a_kind_are_spread_over_racks() {
    let mut fleet = fleet(0);
    join(&mut fleet, 0, size(64, 250, 0));
    join(&mut fleet, 3, size(16, 60, 0));
    let mut racks = [0; 2];
    for _ in 0..8 {
        let id = place(&mut fleet, &request(1, 1), MINUTE).expect("there is room");
        racks[id.0 as usize] += 1;
    }
    assert!(racks[1] >= 3, "the larger worker is emptier, yet not all tasks go to its rack: {racks:?}");
}

#[test]
fn a_large_task_gets_a_worker_earmarked_beside_a_stream_of_small_ones() {
    let mut fleet = fleet(2);
    let full = Report { free: size(0, 0, 0), ..idle_report(size(16, 60, 0)) };
    fleet.report(WorkerId(0), Report { free: size(3, 60, 0), ..full });
    fleet.report(WorkerId(1), Report { free: size(5, 60, 0), ..full });
    assert_eq!(fleet.earmark_candidate(&size(16, 60, 0), MINUTE), Some(WorkerId(1)));
    assert_eq!(fleet.earmark_candidate(&size(17, 60, 0), MINUTE), None);
}

#[test]
fn interference_is_learnt_by_pairs_and_forgotten() {
    let mut interference = Interference::default();
    interference.set_prior(MESH, 0.05);
    let at = |second: u64| Duration::from_secs(second);
    for second in 0..1000_u32 {
        // Each task of orders slows quotes by 0.4; mesh doesn't slow them. Quotes never run without batch tasks.
        let (orders, mesh) = (f64::from(1 + second % 3), f64::from(second % 2));
        interference.observe(QUOTES, &[(ORDERS, orders), (MESH, mesh)], 0.5 * (1.0 + 0.4 * orders), at(second.into()));
    }
    let orders = interference.expected(QUOTES, ORDERS, at(1000));
    let mesh = interference.expected(QUOTES, MESH, at(1000));
    assert!((0.3..0.5).contains(&orders), "{orders}");
    assert!(mesh < orders / 2.0, "{mesh}");
    assert!(interference.expected(QUOTES, ORDERS, at(200_000)) < 0.11, "back to the prior");
    assert_eq!(interference.len(), 2);
}

#[test]
fn usage_corrects_the_expected_size() {
    let mut usage = Usage::default();
    let declared = size(4, 8, 1);
    assert_eq!(usage.expected(ORDERS, &declared), declared);
    for second in 0..100 {
        usage.observe(ORDERS, &declared, &size(1, 2, 1), Duration::from_secs(second));
    }
    let expected = usage.expected(ORDERS, &declared);
    assert!((1000..1300).contains(&expected.processor_millicores), "{expected:?}");
    let peak = size(1, 12, 1);
    usage.observe(ORDERS, &declared, &peak, Duration::from_secs(101));
    assert!(usage.suggested(ORDERS, &declared).memory_bytes >= peak.memory_bytes, "a memory peak counts immediately");
}
