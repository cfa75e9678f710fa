//! Enforced configuration versions and detection of laggards.

use std::time::Duration;

use chervilledge_policy::code::Code;
use chervilledge_policy::id::BootId;
use chervilledge_policy::rollout::{Checksum, Contradiction, FleetVersions, Process, Rollout, Source, Stamp, Verdict};
use proptest::prelude::*;

fn stamp(version: u64, checksum: u64) -> Stamp {
    Stamp { version, checksum: Checksum(checksum) }
}

fn process(name: &str, boot: u64) -> Process {
    Process { name: name.into(), boot: BootId(boot) }
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn a_process_without_a_version_takes_no_work() {
    let mut rollout = Rollout::new();
    assert_eq!(rollout.admits_work(), Err(Code::NoConfiguration));
    assert_eq!(rollout.offer(stamp(4, 1), Source::Peer), Verdict::Adopt);
    assert_eq!(rollout.admits_work(), Ok(stamp(4, 1)));
}

#[test]
fn a_stale_read_changes_nothing() {
    let mut rollout = Rollout::new();
    rollout.offer(stamp(5, 1), Source::Peer);
    assert_eq!(rollout.offer(stamp(4, 9), Source::Table), Verdict::Older);
    assert_eq!(rollout.enforced(), Some(stamp(5, 1)));
}

#[test]
fn the_table_is_no_exception_for_a_contradiction() {
    let mut rollout = Rollout::new();
    rollout.offer(stamp(5, 1), Source::Peer);
    assert_eq!(rollout.offer(stamp(5, 2), Source::Table), Verdict::Contradiction);
    assert_eq!(rollout.enforced(), Some(stamp(5, 1)));
    let expected = Contradiction { enforced: stamp(5, 1), refused: stamp(5, 2), source: Source::Table };
    assert_eq!(rollout.contradiction(), Some(expected));
    rollout.offer(stamp(6, 3), Source::Table);
    assert_eq!(rollout.contradiction(), None, "a higher version settles it");
}

#[test]
fn comparing_changes_nothing() {
    let rollout = Rollout::new();
    assert_eq!(rollout.compare(stamp(1, 1)), Verdict::Adopt);
    assert_eq!(rollout.enforced(), None);
}

#[test]
fn laggards_are_the_processes_below_the_target() {
    let mut fleet = FleetVersions::new();
    fleet.observe(seconds(1), process("agent-3", 1), Some(stamp(7, 9)));
    fleet.observe(seconds(1), process("agent-2", 1), Some(stamp(6, 2)));
    fleet.observe(seconds(2), process("agent-1", 1), None);
    fleet.observe(seconds(1), process("entry-1", 1), Some(stamp(7, 1)));
    fleet.observe(seconds(1), process("entry-2", 1), Some(stamp(8, 4)));
    let lagging: Vec<(String, Option<u64>, u64)> = fleet
        .laggards(seconds(4), stamp(7, 1))
        .into_iter()
        .map(|laggard| {
            let version = laggard.enforced.map(|stamp| stamp.version);
            (laggard.process.name.to_string(), version, laggard.silent_ms)
        })
        .collect();
    let expected =
        [("agent-1".into(), None, 2000), ("agent-2".into(), Some(6), 3000), ("agent-3".into(), Some(7), 3000)];
    assert_eq!(lagging, expected);
}

#[test]
fn a_late_report_does_not_lower_a_process() {
    let mut fleet = FleetVersions::new();
    fleet.observe(seconds(2), process("agent-1", 1), Some(stamp(7, 1)));
    fleet.observe(seconds(3), process("agent-1", 1), Some(stamp(6, 2)));
    assert_eq!(fleet.laggards(seconds(3), stamp(7, 1)), []);
    fleet.observe(seconds(3), process("agent-1", 2), Some(stamp(6, 2)));
    assert_eq!(fleet.laggards(seconds(3), stamp(7, 1)).len(), 1, "a new boot is reported separately");
}

#[test]
fn silent_processes_are_dropped() {
    let mut fleet = FleetVersions::new();
    fleet.observe(seconds(1), process("agent-1", 1), None);
    fleet.observe(seconds(5), process("agent-2", 1), None);
    fleet.expire(seconds(11), seconds(6));
    assert_eq!(fleet.len(), 1);
    assert_eq!(fleet.laggards(seconds(11), stamp(1, 1))[0].process.name, "agent-2".into());
}

fn offers() -> impl Strategy<Value = Vec<(Stamp, Source)>> {
    let source = prop_oneof![Just(Source::Table), Just(Source::Peer)];
    prop::collection::vec(
        ((1_u64..6, 1_u64..4).prop_map(|(version, checksum)| stamp(version, checksum)), source),
        0..40,
    )
}

proptest! {
    #[test]
    fn the_enforced_version_never_decreases(offers in offers()) {
        let mut rollout = Rollout::new();
        for (offered, source) in offers {
            let before = rollout.enforced();
            let verdict = rollout.offer(offered, source);
            let after = rollout.enforced().expect("a version is enforced after any offer");
            if let Some(before) = before {
                prop_assert!(after == before || after.version > before.version, "{before} -> {after}");
            }
            prop_assert_eq!(verdict == Verdict::Adopt, before != Some(after));
        }
    }

    /// With one accepted document per version, any order of delivery ends at the highest version.
    #[test]
    fn every_order_of_delivery_ends_alike(versions in prop::collection::vec(1_u64..20, 1..40)) {
        let mut rollout = Rollout::new();
        for version in &versions {
            prop_assert_ne!(rollout.offer(stamp(*version, version * 31), Source::Peer), Verdict::Contradiction);
        }
        let highest = versions.iter().max().copied().unwrap_or_default();
        prop_assert_eq!(rollout.enforced(), Some(stamp(highest, highest * 31)));
    }

    /// The last contradiction of the enforced version is kept until a higher version is adopted.
    #[test]
    fn contradictions_are_reported(offers in offers()) {
        let mut rollout = Rollout::new();
        let mut expected = None;
        for (offered, source) in offers {
            let before = rollout.enforced();
            match rollout.offer(offered, source) {
                Verdict::Adopt => expected = None,
                Verdict::Contradiction => {
                    expected = before.map(|enforced| Contradiction { enforced, refused: offered, source });
                }
                Verdict::Current | Verdict::Older => {}
            }
            prop_assert_eq!(rollout.contradiction(), expected);
        }
    }
}
