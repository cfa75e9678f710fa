//! Choice of a backend server and ejection of those that fail.

use std::time::Duration;

use chervilledge_policy::capacity::{Capacity, Resources};
use chervilledge_policy::code::Code;
use chervilledge_policy::collections::Map;
use chervilledge_policy::id::{BootId, Name};
use chervilledge_policy::membership::{Announcement, Load};
use chervilledge_policy::outlier::Change;
use chervilledge_policy::routing::{Choice, Finished, Settings, Table};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

const NOW: Duration = Duration::from_secs(1);
const FAST: Finished = Finished::Succeeded(Duration::from_millis(10));

fn announcement(worker: &str, failure_domain: &str) -> Announcement {
    Announcement {
        agent_boot: BootId(1),
        capacity: Capacity { slots: 2, connections: 8, resources: Resources::default() },
        failure_domain: Name::from(failure_domain),
        link: 1,
        queue: 4,
        rack: Name::from("rack"),
        service: Name::from("portal"),
        worker: Name::from(worker),
    }
}

fn choice(worker: &str) -> Choice {
    Choice { worker: Name::from(worker), agent_boot: BootId(1) }
}

/// Creates a table of backend servers `local-0..` in the local failure domain and `remote-0..` in another one.
fn table(local: usize, remote: usize) -> Table {
    let mut table = Table::new(Name::from("own"), Settings::default());
    for number in 0..local {
        table.upsert(NOW, &announcement(&format!("near-{number}"), "own"));
    }
    for number in 0..remote {
        table.upsert(NOW, &announcement(&format!("far-{number}"), "other"));
    }
    table
}

/// Returns how often each worker is chosen.
fn counts(table: &Table, now: Duration, excluded: &[Name]) -> Map<Name, u32> {
    let mut rng = StdRng::seed_from_u64(1);
    let mut counts = Map::default();
    for _ in 0..1_000 {
        let choice = table.choose(now, excluded, &mut rng).expect("there is room");
        *counts.entry(choice.worker).or_default() += 1;
    }
    counts
}

fn set_load(table: &mut Table, worker: &str, in_progress: u32) {
    table.set_load(worker, &Load { in_progress, ..Load::default() });
}

#[test]
fn spreads_over_equal_backend_servers() {
    let counts = counts(&table(4, 0), NOW, &[]);
    assert!(counts.len() == 4 && counts.values().all(|count| (150..350).contains(count)), "{counts:?}");
}

#[rstest]
#[case::as_idle(0, 0)]
#[case::clearly_worse(2, 1_000)]
fn prefers_the_own_failure_domain_until_clearly_worse(#[case] local_load: u32, #[case] remote_choices: u32) {
    let mut table = table(1, 1);
    set_load(&mut table, "near-0", local_load);
    assert_eq!(counts(&table, NOW, &[]).get("far-0").copied().unwrap_or_default(), remote_choices);
}

#[test]
fn excluded_closed_and_full_backend_servers_are_not_chosen() {
    let mut table = table(4, 0);
    table.set_open("near-1", false);
    set_load(&mut table, "near-2", 6);
    let counts = counts(&table, NOW, &[Name::from("near-0")]);
    assert_eq!(counts.keys().map(|worker| &**worker).collect::<Vec<_>>(), ["near-3"]);
}

#[test]
fn tells_full_from_absent() {
    let mut table = table(1, 0);
    let mut rng = StdRng::seed_from_u64(1);
    set_load(&mut table, "near-0", 6);
    assert_eq!(table.choose(NOW, &[], &mut rng), Err(Code::Overloaded));
    table.set_open("near-0", false);
    assert_eq!(table.choose(NOW, &[], &mut rng), Err(Code::NoBackendServer));
}

#[test]
fn batch_leaves_room_in_the_queue() {
    let mut table = table(1, 0);
    let mut rng = StdRng::seed_from_u64(1);
    set_load(&mut table, "near-0", 2);
    assert_eq!(table.choose_batch(NOW, &[], &mut rng), Ok(choice("near-0")));
    set_load(&mut table, "near-0", 3);
    assert_eq!(table.choose_batch(NOW, &[], &mut rng), Err(Code::Overloaded));
    assert_eq!(table.choose(NOW, &[], &mut rng), Ok(choice("near-0")));
    table.set_settings(Settings { batch_queue_percent: 50, ..Settings::default() });
    assert_eq!(table.choose_batch(NOW, &[], &mut rng), Ok(choice("near-0")));
}

#[test]
fn own_requests_count_between_heartbeats() {
    let mut table = table(1, 0);
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..6 {
        assert_eq!(table.choose(NOW, &[], &mut rng), Ok(choice("near-0")));
        table.started(&choice("near-0"));
    }
    assert_eq!(table.choose(NOW, &[], &mut rng), Err(Code::Overloaded));
    set_load(&mut table, "near-0", 6);
    table.finished(NOW, &choice("near-0"), FAST);
    assert_eq!(table.choose(NOW, &[], &mut rng), Ok(choice("near-0")));
}

#[test]
fn another_start_begins_empty_and_late_ends_of_the_first_are_ignored() {
    let mut table = table(1, 0);
    table.started(&choice("near-0"));
    table.upsert(NOW, &Announcement { agent_boot: BootId(2), ..announcement("near-0", "own") });
    table.started(&Choice { agent_boot: BootId(2), ..choice("near-0") });
    assert_eq!(table.finished(NOW, &choice("near-0"), Finished::Failed), None);
    assert_eq!(table.iter().map(|view| view.own).collect::<Vec<_>>(), [1]);
}

#[test]
fn a_slow_backend_server_is_avoided_and_tried_again_later() {
    let mut table = table(3, 0);
    for worker in ["near-0", "near-1", "near-2"] {
        let slow = Finished::Succeeded(Duration::from_millis(500));
        for _ in 0..30 {
            table.started(&choice(worker));
            table.finished(NOW, &choice(worker), if worker == "near-0" { slow } else { FAST });
        }
    }
    assert_eq!(counts(&table, NOW, &[]).get("near-0"), None);
    let later = NOW + Duration::from_mins(2);
    assert!(counts(&table, later, &[]).get("near-0").is_some_and(|count| *count > 50));
}

#[test]
fn removal_keeps_the_lists_whole() {
    let mut table = table(5, 5);
    for worker in ["near-0", "far-4", "near-4", "near-2"] {
        table.remove(worker);
    }
    set_load(&mut table, "near-1", 6);
    set_load(&mut table, "near-3", 6);
    let counts = counts(&table, NOW, &[]);
    assert!(counts.len() == 4 && counts.keys().all(|worker| worker.starts_with("far")), "{counts:?}");
}

/// Lets `worker` fail until it is ejected or the maximum share is reached.
fn fail(table: &mut Table, now: Duration, worker: &str) -> Option<Change> {
    (0..50).find_map(|_| {
        table.started(&choice(worker));
        table.finished(now, &choice(worker), Finished::Failed)
    })
}

fn healthy(local: usize) -> Table {
    let mut table = table(local, 0);
    for round in 0..40 {
        let worker = choice(&format!("near-{}", round % local));
        table.started(&worker);
        table.finished(NOW, &worker, FAST);
    }
    table
}

#[test]
fn a_failing_backend_server_is_ejected_and_returns_slowly() {
    let mut table = healthy(4);
    let Some(Change::Ejected { until }) = fail(&mut table, NOW, "near-0") else { panic!("it is ejected") };
    assert_eq!(counts(&table, NOW, &[]).get("near-0"), None);
    assert_eq!(table.tick(until), [choice("near-0")]);
    let share = |now| counts(&table, now, &[]).get("near-0").copied().unwrap_or_default();
    let begun = share(until);
    let returned = share(until + Duration::from_secs(10));
    assert!(begun < 100 && returned > 150, "{begun} at the start, {returned} at the end");
}

#[test]
fn a_second_ejection_is_longer() {
    let mut table = healthy(4);
    let Some(Change::Ejected { until }) = fail(&mut table, NOW, "near-0") else { panic!("it is ejected") };
    table.tick(until);
    let Some(Change::Ejected { until: second }) = fail(&mut table, until, "near-0") else { panic!("again") };
    assert!(second > until + until.saturating_sub(NOW));
}

#[test]
fn the_ejected_share_is_capped() {
    let mut table = healthy(10);
    let changes: Vec<_> = (0..5).map(|number| fail(&mut table, NOW, &format!("near-{number}"))).collect();
    let out = table.iter().filter(|view| view.ejected).count();
    assert_eq!(out, 3, "{changes:?}");
}

#[test]
fn nothing_is_ejected_when_all_fail() {
    let mut table = table(4, 0);
    for round in 0..100 {
        let worker = choice(&format!("near-{}", round % 4));
        table.started(&worker);
        assert_eq!(table.finished(NOW, &worker, Finished::Failed), None);
    }
}
