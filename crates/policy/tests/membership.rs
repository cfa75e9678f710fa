//! Membership of workers and the choice of entries by an agent.

use std::time::Duration;

use chervilledge_policy::capacity::Capacity;
use chervilledge_policy::id::{BootId, Name};
use chervilledge_policy::membership::{
    Announcement, AnnouncementEffect, Change, EntryPeer, Heartbeat, HeartbeatEffect, Load, LoadDelta, Members,
    Settings, Standing, choose_entries,
};

const START: Duration = Duration::from_secs(100);

fn announcement(boot: u64, link: u64) -> Announcement {
    Announcement {
        agent_boot: BootId(boot),
        capacity: Capacity { slots: 8, connections: 64, ..Capacity::default() },
        failure_domain: Name::from("hobart"),
        link,
        queue: 16,
        rack: Name::from("rack-1"),
        service: Name::from("portal"),
        worker: Name::from("w"),
    }
}

fn members() -> Members {
    let mut members = Members::new(Settings::default());
    assert_eq!(members.announce(START, announcement(5, 1)), AnnouncementEffect::Joined);
    members
}

fn full_heartbeat(sequence: u64, in_progress: u32) -> Heartbeat {
    let load = LoadDelta::full(&Load { in_progress, ..Load::default() });
    Heartbeat { agent_boot: BootId(5), link: 1, load, sequence }
}

fn delta_heartbeat(sequence: u64, in_progress: u32) -> Heartbeat {
    let load = LoadDelta { in_progress: Some(in_progress), ..LoadDelta::default() };
    Heartbeat { load, ..full_heartbeat(sequence, 0) }
}

#[test]
fn a_newer_start_replaces_an_older_one() {
    let mut members = members();
    assert_eq!(members.announce(START, announcement(4, 9)), AnnouncementEffect::Stale);
    assert_eq!(members.announce(START, announcement(5, 2)), AnnouncementEffect::Refreshed);
    assert_eq!(members.announce(START, announcement(5, 1)), AnnouncementEffect::Stale);
    assert_eq!(members.heartbeat(START, "w", &full_heartbeat(1, 3)), HeartbeatEffect::Unknown);
    assert_eq!(members.announce(START, announcement(6, 1)), AnnouncementEffect::Replaced(BootId(5)));
    assert!(members.remove("w", BootId(5)).is_none());
    assert!(members.remove("w", BootId(6)).is_some());
}

#[test]
fn missed_deltas_are_noticed_until_a_full_heartbeat() {
    let mut members = members();
    assert_eq!(members.heartbeat(START, "w", &full_heartbeat(1, 3)), HeartbeatEffect::Applied);
    assert_eq!(members.heartbeat(START, "w", &delta_heartbeat(2, 4)), HeartbeatEffect::Applied);
    assert_eq!(members.heartbeat(START, "w", &delta_heartbeat(2, 1)), HeartbeatEffect::Duplicate);
    assert_eq!(members.heartbeat(START, "w", &delta_heartbeat(4, 5)), HeartbeatEffect::NeedsFull);
    assert_eq!(members.heartbeat(START, "w", &delta_heartbeat(5, 5)), HeartbeatEffect::NeedsFull);
    assert_eq!(members.heartbeat(START, "w", &full_heartbeat(6, 2)), HeartbeatEffect::Applied);
    assert_eq!(members.get("w").map(|member| member.load.in_progress), Some(2));
}

#[test]
fn silence_is_suspected_then_forgotten() {
    let mut members = members();
    let settings = Settings::default();
    assert_eq!(members.sweep(START + settings.suspect_after / 2), []);
    let suspected = START + settings.suspect_after;
    assert_eq!(members.sweep(suspected), [Change::Suspected(Name::from("w"))]);
    assert_eq!(members.sweep(suspected), []);
    members.heartbeat(suspected, "w", &full_heartbeat(1, 0));
    assert_eq!(members.get("w").map(|member| member.standing), Some(Standing::Live));
    assert_eq!(members.sweep(suspected + settings.remove_after), [Change::Removed(Name::from("w"))]);
    assert_eq!(members.announce(suspected, announcement(4, 1)), AnnouncementEffect::Joined);
}

#[test]
fn a_drain_lasts_for_the_whole_start() {
    let mut members = members();
    assert!(members.drain("w", BootId(5)));
    assert!(!members.drain("w", BootId(5)));
    members.heartbeat(START, "w", &full_heartbeat(1, 0));
    members.announce(START, announcement(5, 2));
    let member = members.get("w").expect("the worker is known");
    assert_eq!((member.standing, member.load.draining), (Standing::Draining, true));
    members.announce(START, announcement(6, 1));
    assert_eq!(members.get("w").map(|member| member.standing), Some(Standing::Live));
}

fn entries(count: usize) -> Vec<EntryPeer> {
    let peer = |at| EntryPeer {
        address: Name::from(format!("10.0.0.{at}:7000")),
        failure_domain: Name::from(format!("domain-{}", at % 4)),
    };
    (0..count).map(peer).collect()
}

#[test]
fn entries_are_spread_over_failure_domains() {
    for worker in 0..100 {
        let chosen = choose_entries(&format!("w{worker}"), &entries(12), 4);
        let mut domains: Vec<_> = chosen.iter().map(|entry| &entry.failure_domain).collect();
        domains.sort();
        domains.dedup();
        assert_eq!(domains.len(), 4);
    }
}

#[test]
fn an_entry_that_goes_changes_at_most_one_choice() {
    let all = entries(12);
    for worker in 0..100 {
        let worker = format!("w{worker}");
        let before = choose_entries(&worker, &all, 5);
        for gone in &all {
            let mut rest: Vec<_> = all.iter().filter(|entry| *entry != gone).cloned().collect();
            rest.reverse();
            let after = choose_entries(&worker, &rest, 5);
            let kept = before.iter().filter(|entry| after.contains(entry)).count();
            assert!(kept >= 4 && (kept == 5 || before.contains(gone)), "{worker} without {gone:?}");
        }
    }
}

#[test]
fn every_entry_gets_its_share_of_agents() {
    let all = entries(12);
    for entry in &all {
        let agents = (0..1_200).filter(|at| choose_entries(&format!("w{at}"), &all, 4).contains(entry)).count();
        assert!((300..500).contains(&agents), "{agents} agents for {entry:?}");
    }
}
