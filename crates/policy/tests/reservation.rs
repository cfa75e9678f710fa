//! Reservations of an agent on its worker.

use std::time::Duration;

use chervilledge_policy::capacity::Resources;
use chervilledge_policy::id::{BootId, Name};
use chervilledge_policy::reservation::{Admission, Fenced, Refusal, Reservation, Reservations};
use chervilledge_policy::task::{Epoch, TaskId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const AGENT: BootId = BootId(1);
const NOW: Duration = Duration::ZERO;
const CAPACITY: Resources = Resources { processor_millicores: 4000, memory_bytes: 400, accelerators: 2 };

fn task(index: u32) -> TaskId {
    TaskId { job: Name::from("job"), index }
}

fn reservation(index: u32, epoch: u64, parts: u64) -> Reservation {
    let resources = Resources { processor_millicores: 1000 * parts, memory_bytes: 100 * parts, accelerators: 0 };
    Reservation { task: task(index), epoch: Epoch(epoch), resources }
}

fn open() -> Reservations {
    let mut reservations = Reservations::open(CAPACITY, AGENT);
    reservations.take_stock(Vec::new()).expect("an empty worker has no excess");
    reservations
}

#[test]
fn nothing_is_admitted_before_stock_is_taken() {
    let mut reservations = Reservations::open(CAPACITY, AGENT);
    assert_eq!(reservations.reserve(&reservation(0, 1, 1), AGENT, NOW), Err(Refusal::StockNotTaken));
    assert_eq!(reservations.free(), Resources::default());
    assert_eq!(reservations.take_stock(vec![reservation(7, 1, 3)]), Ok(()));
    assert!(matches!(reservations.reserve(&reservation(0, 2, 2), AGENT, NOW), Err(Refusal::NoRoom { .. })));
    assert!(matches!(reservations.reserve(&reservation(0, 2, 1), AGENT, NOW), Err(Refusal::StaleEpoch { .. })));
    assert_eq!(reservations.reserve(&reservation(0, 3, 1), AGENT, NOW), Ok(Admission::Reserved));
}

#[test]
fn stock_over_capacity_keeps_admission_closed() {
    let mut reservations = Reservations::open(CAPACITY, AGENT);
    let excess = reservations.take_stock(vec![reservation(0, 1, 3), reservation(1, 1, 2), reservation(2, 1, 1)]);
    assert_eq!(excess, Err(vec![task(1)]));
    assert_eq!(reservations.reserve(&reservation(3, 1, 0), AGENT, NOW), Err(Refusal::StockNotTaken));
}

#[test]
fn a_repeated_start_is_told_apart() {
    let mut reservations = open();
    assert_eq!(reservations.reserve(&reservation(0, 2, 1), AGENT, NOW), Ok(Admission::Reserved));
    assert_eq!(reservations.reserve(&reservation(0, 2, 1), AGENT, NOW), Ok(Admission::Duplicate));
    assert_eq!(reservations.reserve(&reservation(0, 2, 2), AGENT, NOW), Err(Refusal::Mismatch));
    assert_eq!(reservations.reserve(&reservation(0, 1, 1), AGENT, NOW), Err(Refusal::StaleEpoch { current: Epoch(2) }));
    assert_eq!(reservations.reserve(&reservation(0, 3, 1), AGENT, NOW), Err(Refusal::OlderHeld { held: Epoch(2) }));
    assert_eq!(reservations.reserved(), reservation(0, 2, 1).resources);
}

#[test]
fn an_epoch_that_ended_or_was_fenced_never_starts() {
    let mut reservations = open();
    let later = Duration::from_secs(9);
    reservations.reserve(&reservation(0, 2, 1), AGENT, NOW).expect("there is room");
    assert_eq!(reservations.fence(&task(0), Epoch(2), AGENT, Duration::ZERO), Fenced::Held(Epoch(2)));
    assert!(!reservations.release(&task(0), Epoch(1), Duration::ZERO), "another epoch");
    assert!(reservations.release(&task(0), Epoch(2), Duration::ZERO));
    assert!(!reservations.release(&task(0), Epoch(2), Duration::ZERO), "released once");
    let stale = Err(Refusal::StaleEpoch { current: Epoch(3) });
    assert_eq!(reservations.reserve(&reservation(0, 2, 1), AGENT, NOW), stale);
    assert_eq!(reservations.fence(&task(1), Epoch(4), AGENT, later), Fenced::NeverStarted);
    assert_eq!(reservations.reserve(&reservation(1, 4, 1), AGENT, NOW), Err(Refusal::StaleEpoch { current: Epoch(5) }));
    assert_eq!(reservations.reserve(&reservation(1, 5, 1), AGENT, NOW), Ok(Admission::Reserved));
}

#[test]
fn an_end_is_remembered_until_it_is_acknowledged() {
    let mut reservations = open();
    let later = Duration::from_secs(9);
    reservations.reserve(&reservation(0, 2, 1), AGENT, NOW).expect("there is room");
    reservations.release(&task(0), Epoch(2), Duration::ZERO);
    reservations.prune_fences(later);
    assert_eq!(reservations.fence(&task(0), Epoch(2), AGENT, Duration::ZERO), Fenced::Ended);
    reservations.acknowledge(&task(0), Epoch(2), later);
    reservations.prune_fences(later);
    assert!(reservations.reserve(&reservation(0, 2, 1), AGENT, NOW).is_err(), "a delayed start may still arrive");
    reservations.prune_fences(later * 2);
    assert_eq!(reservations.reserve(&reservation(0, 3, 1), AGENT, NOW), Ok(Admission::Reserved));
}

#[test]
fn a_restarted_agent_begins_nothing_that_was_claimed_before() {
    let mut reservations = Reservations::open(CAPACITY, BootId(2));
    reservations.take_stock(vec![reservation(0, 1, 1)]).expect("it fits");
    assert_eq!(reservations.reserve(&reservation(0, 1, 1), AGENT, NOW), Ok(Admission::Duplicate));
    assert_eq!(reservations.reserve(&reservation(1, 1, 1), AGENT, NOW), Err(Refusal::OtherStart));
    assert_eq!(reservations.fence(&task(1), Epoch(1), AGENT, Duration::ZERO), Fenced::Unknown);
}

#[test]
fn an_earmark_keeps_room_for_a_task_that_others_would_starve() {
    let mut reservations = open();
    let now = Duration::from_secs(1);
    reservations.reserve(&reservation(0, 1, 2), AGENT, NOW).expect("there is room");
    let large = reservation(9, 1, 3);
    reservations.earmark(&large, now, now * 60).expect("the capacity covers it");
    assert_eq!(reservations.earmark(&reservation(8, 1, 1), now, now * 60), Err(Refusal::Earmarked));
    assert!(matches!(reservations.reserve(&reservation(1, 1, 1), AGENT, NOW), Err(Refusal::NoRoom { .. })));
    assert!(matches!(reservations.reserve(&large, AGENT, NOW), Err(Refusal::NoRoom { .. })));
    reservations.release(&task(0), Epoch(1), now);
    assert!(matches!(reservations.reserve(&reservation(2, 1, 2), AGENT, NOW), Err(Refusal::NoRoom { .. })));
    assert_eq!(
        reservations.reserve(&reservation(1, 2, 1), AGENT, NOW),
        Ok(Admission::Reserved),
        "it fits beside the earmark"
    );
    assert_eq!(reservations.reserve(&reservation(9, 2, 3), AGENT, NOW), Ok(Admission::Reserved));
    reservations.release(&task(9), Epoch(2), now);
    assert_eq!(
        reservations.reserve(&reservation(2, 2, 3), AGENT, NOW),
        Ok(Admission::Reserved),
        "the earmark was used"
    );
}

#[test]
fn an_earmark_ends_by_itself() {
    let mut reservations = open();
    let now = Duration::from_secs(1);
    reservations.earmark(&reservation(9, 1, 4), now, now * 60).expect("the capacity covers it");
    reservations.expire_earmark(now * 59);
    assert_eq!(reservations.free().processor_millicores, 0);
    reservations.expire_earmark(now * 60);
    assert_eq!(reservations.reserve(&reservation(1, 1, 4), AGENT, NOW), Ok(Admission::Reserved));
}

#[derive(Clone, Debug)]
enum Event {
    Reserve { index: u32, epoch: u64, parts: u64 },
    Release { index: u32, epoch: u64 },
    Fence { index: u32, epoch: u64 },
    Restart,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0..6_u32, 1..4_u64, 0..6_u64).prop_map(|(index, epoch, parts)| Event::Reserve { index, epoch, parts }),
        3 => (0..6_u32, 1..4_u64).prop_map(|(index, epoch)| Event::Release { index, epoch }),
        1 => (0..6_u32, 1..4_u64).prop_map(|(index, epoch)| Event::Fence { index, epoch }),
        1 => Just(Event::Restart),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(12),
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_worker_never_holds_more_than_its_capacity(events in prop::collection::vec(event(), 1..60)) {
        let mut reservations = open();
        for event in events {
            match event {
                Event::Reserve { index, epoch, parts } => {
                    let before = reservations.epoch_of(&task(index));
                    if reservations.reserve(&reservation(index, epoch, parts), AGENT, NOW) == Ok(Admission::Reserved) {
                        prop_assert_eq!(before, None);
                    }
                }
                Event::Release { index, epoch } => {
                    reservations.release(&task(index), Epoch(epoch), Duration::ZERO);
                }
                Event::Fence { index, epoch } => {
                    reservations.fence(&task(index), Epoch(epoch), AGENT, Duration::ZERO);
                }
                Event::Restart => {
                    let running = reservations.iter().collect();
                    reservations = Reservations::open(CAPACITY, AGENT);
                    prop_assert_eq!(reservations.take_stock(running), Ok(()));
                }
            }
            let total = reservations.iter().map(|held| held.resources).try_fold(Resources::default(), |sum, held| {
                sum.checked_add(&held)
            });
            prop_assert_eq!(total, Some(reservations.reserved()));
            prop_assert!(CAPACITY.covers(&reservations.reserved()));
        }
    }
}
