//! Order, quotas and aging of queued tasks.

use std::collections::VecDeque;
use std::time::Duration;

use chervilledge_policy::capacity::Resources;
use chervilledge_policy::code::Code;
use chervilledge_policy::id::Name;
use chervilledge_policy::queue::{Aging, Item, Queue};
use chervilledge_policy::task::{Priority, TaskId};

const SECOND: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_millis(50);
const STARTS_PER_TICK: usize = 16;

fn cores(count: u64) -> Resources {
    Resources { processor_millicores: count * 1000, memory_bytes: count, accelerators: 0 }
}

fn item(job: &str, index: u32, priority: Priority, size: u64, queued_at: Duration) -> Item {
    Item {
        task: TaskId { job: Name::from(job), index },
        team: Name::from("team"),
        kind: Name::from("kind"),
        priority,
        resources: cores(size),
        queued_at,
    }
}

fn open(quota: u64) -> Queue {
    let mut queue = Queue::open(Aging::default());
    queue.set_quota(&Name::from("team"), cores(quota));
    queue
}

fn jobs(items: &[Item]) -> Vec<&str> {
    items.iter().map(|item| &*item.task.job).collect()
}

#[test]
fn urgent_work_goes_before_normal_before_background() {
    let mut queue = open(100);
    for priority in [Priority::Background, Priority::Normal, Priority::Urgent] {
        queue.push(item(&format!("{priority:?}"), 0, priority, 1, Duration::ZERO)).expect("within quota");
    }
    assert_eq!(jobs(&queue.take_batch(SECOND, 9)), ["Urgent", "Normal", "Background"]);
}

#[test]
fn urgent_work_starts_in_time_at_the_peak_rate_beside_background() {
    let mut queue = open(10_000_000);
    for index in 0..20_000 {
        queue.push(item("background", index, Priority::Background, 1, Duration::ZERO)).expect("within quota");
    }
    let mut longest = Duration::ZERO;
    let mut background = 0;
    let mut index = 0;
    for tick in 0..2400_u32 {
        let now = TICK * tick + SECOND * 3600;
        // Urgent tasks take 13 of 16 starts per tick, and 500 arrive at once every 30 seconds.
        let arrivals = if tick % 600 == 0 { 500 } else { 13 };
        for _ in 0..arrivals {
            queue.push(item("urgent", index, Priority::Urgent, 1, now)).expect("within quota");
            index += 1;
        }
        for taken in queue.take_batch(now, STARTS_PER_TICK) {
            if taken.priority == Priority::Urgent {
                longest = longest.max(now.checked_sub(taken.queued_at).expect("queued before now"));
            } else {
                background += 1;
            }
        }
    }
    assert!(longest <= Duration::from_millis(3600), "urgent work waited {longest:?}");
    assert!(background >= 2400 * 2, "only {background} background tasks were started");
}

#[test]
fn background_work_starts_while_urgent_work_never_ends() {
    let mut queue = open(10_000_000);
    queue.push(item("background", 0, Priority::Background, 1, Duration::ZERO)).expect("within quota");
    for tick in 0..20_000_u32 {
        let now = TICK * tick;
        for index in 0..20 {
            queue.push(item("urgent", tick * 20 + index, Priority::Urgent, 1, now)).expect("within quota");
        }
        if jobs(&queue.take_batch(now, STARTS_PER_TICK)).contains(&"background") {
            assert!(now <= Duration::from_secs(601), "started after {now:?}");
            return;
        }
    }
    panic!("background work never started");
}

#[test]
fn the_quota_holds_and_the_least_served_team_is_next() {
    let mut queue = open(4);
    let other = Name::from("other");
    queue.set_quota(&other, cores(8));
    for index in 0..10 {
        queue.push(item("a", index, Priority::Normal, 1, Duration::ZERO)).expect("within quota");
        let theirs = Item { team: Name::clone(&other), ..item("b", index, Priority::Normal, 1, Duration::ZERO) };
        queue.push(theirs).expect("within quota");
    }
    let first = queue.take_batch(SECOND, 6);
    assert_eq!(jobs(&first).iter().filter(|job| **job == "a").count(), 2);
    let rest = queue.take_batch(SECOND, 99);
    assert_eq!(jobs(&rest).iter().filter(|job| **job == "a").count(), 2);
    assert_eq!(queue.take_batch(SECOND, 99), []);
    queue.release(&Name::from("team"), &cores(1));
    assert_eq!(jobs(&queue.take_batch(SECOND, 99)), ["a"]);
    queue.release(&Name::from("team"), &cores(1));
    queue.set_used_elsewhere(&Name::from("team"), cores(1));
    assert_eq!(queue.take_batch(SECOND, 99), [], "used through another shard");
}

#[test]
fn a_task_larger_than_the_quota_is_refused() {
    let mut queue = open(4);
    assert_eq!(queue.push(item("large", 0, Priority::Urgent, 5, SECOND)), Err(Code::QuotaTooSmall));
    queue.push(item("fits", 0, Priority::Urgent, 4, SECOND)).expect("within quota");
    let removed = queue.set_quota(&Name::from("team"), cores(3));
    assert_eq!(removed, [TaskId { job: Name::from("fits"), index: 0 }]);
    assert!(queue.is_empty());
}

#[test]
fn a_large_background_task_is_not_starved_by_smaller_ones_of_its_team() {
    let mut queue = open(8);
    queue.push(item("large", 0, Priority::Background, 8, Duration::ZERO)).expect("within quota");
    let mut running = VecDeque::new();
    for second in 0..2000_u32 {
        let now = SECOND * second;
        for index in 0..4 {
            queue.push(item("small", second * 4 + index, Priority::Normal, 1, now)).expect("within quota");
        }
        for taken in queue.take_batch(now, 8) {
            if &*taken.task.job == "large" {
                return;
            }
            running.push_back((now + SECOND * 4, taken.resources));
        }
        while running.front().is_some_and(|(ends, _)| *ends <= now) {
            let (_, resources) = running.pop_front().expect("a task runs");
            queue.release(&Name::from("team"), &resources);
        }
    }
    panic!("the large task never started");
}

#[test]
fn cancelled_tasks_are_never_taken() {
    let mut queue = open(1_000_000);
    for index in 0..5000 {
        queue.push(item("wave", index, Priority::Normal, 1, Duration::ZERO)).expect("within quota");
        queue.push(item("other", index, Priority::Normal, 1, Duration::ZERO)).expect("within quota");
    }
    let cancelled = TaskId { job: Name::from("other"), index: 0 };
    assert!(queue.cancel(&cancelled));
    assert!(!queue.cancel(&cancelled));
    queue.push(item("other", 0, Priority::Normal, 1, SECOND)).expect("within quota");
    assert_eq!(queue.take_batch(SECOND, 2).len(), 2);
    assert!(queue.cancel(&cancelled), "submitted again, it waits behind the others");
    assert_eq!(queue.cancel_matching(|task| &*task.job == "wave").len(), 4998);
    assert_eq!(queue.len(), 4999);
    queue.push(item("other", 0, Priority::Normal, 1, SECOND)).expect("within quota");
    let taken = queue.take_batch(SECOND, 9999);
    assert_eq!(taken.len(), 5000, "submitted again, it is taken once");
    assert!(taken.iter().all(|item| &*item.task.job == "other"));
}

#[test]
fn a_deferred_task_waits_and_keeps_its_place() {
    let mut queue = open(1);
    queue.push(item("first", 0, Priority::Normal, 1, Duration::ZERO)).expect("within quota");
    queue.push(item("second", 0, Priority::Normal, 1, Duration::ZERO)).expect("within quota");
    let first = queue.take_batch(SECOND, 1).remove(0);
    queue.defer(first, SECOND * 5);
    let second = queue.take_batch(SECOND * 4, 9);
    assert_eq!(jobs(&second), ["second"]);
    queue.defer(second[0].clone(), SECOND * 6);
    assert_eq!(jobs(&queue.take_batch(SECOND * 5, 9)), ["first"]);
    assert!(queue.cancel(&second[0].task));
    assert_eq!(queue.take_batch(SECOND * 9, 9), []);
}
