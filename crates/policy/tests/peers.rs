//! Liveness of entries.

use std::time::Duration;

use chervilledge_policy::id::BootId;
use chervilledge_policy::peers::{EntryRow, Peers, commit_interval};
use rstest::rstest;

const SILENCE_MAX: Duration = Duration::from_secs(10);

fn row(name: &str, counter: u64) -> EntryRow {
    EntryRow {
        name: name.into(),
        boot: BootId(1),
        failure_domain: "hobart-1".into(),
        address: "127.0.0.1:7000".into(),
        counter,
        enforced: None,
    }
}

fn names(peers: &Peers) -> Vec<&str> {
    peers.live().iter().map(|row| &*row.name).collect()
}

#[test]
fn entry_that_no_longer_renews_is_dropped_after_the_bound() {
    let mut peers = Peers::new(SILENCE_MAX, SILENCE_MAX);
    assert!(peers.observe(Duration::ZERO, vec![row("a", 1), row("b", 1)]));
    assert!(!peers.observe(Duration::from_secs(9), vec![row("a", 2), row("b", 1)]));
    assert_eq!(names(&peers), ["a", "b"]);
    assert!(peers.observe(Duration::from_secs(10), vec![row("a", 3), row("b", 1)]));
    assert_eq!(names(&peers), ["a"]);
}

#[test]
fn entry_returns_with_its_next_renewal() {
    let mut peers = Peers::new(SILENCE_MAX, SILENCE_MAX);
    peers.observe(Duration::ZERO, vec![row("a", 1)]);
    assert!(peers.observe(Duration::from_secs(10), vec![row("a", 1)]));
    assert!(peers.observe(Duration::from_secs(11), vec![row("a", 2)]));
    assert_eq!(names(&peers), ["a"]);
}

#[rstest]
#[case::boot(EntryRow { boot: BootId(2), ..row("a", 1) })]
#[case::address(EntryRow { address: "127.0.0.1:7001".into(), ..row("a", 1) })]
fn another_start_or_address_is_a_change(#[case] changed: EntryRow) {
    let mut peers = Peers::new(SILENCE_MAX, SILENCE_MAX);
    peers.observe(Duration::ZERO, vec![row("a", 1)]);
    assert!(peers.observe(Duration::from_secs(1), vec![changed]));
}

#[test]
fn outage_between_two_reads_is_no_sign_of_death() {
    let mut peers = Peers::new(SILENCE_MAX, SILENCE_MAX);
    peers.observe(Duration::ZERO, vec![row("a", 1)]);
    assert!(!peers.observe(Duration::from_secs(100), vec![row("a", 2)]));
    assert_eq!(names(&peers), ["a"]);
}

#[rstest]
#[case::none_known(0, 20)]
#[case::few(2, 20)]
#[case::some(11, 78)]
#[case::many(22, 157)]
fn entries_share_the_commits(#[case] live: usize, #[case] interval_ms: u128) {
    let interval = commit_interval(live, 140, Duration::from_millis(20));
    assert_eq!(interval.as_millis(), interval_ms);
}

/// The first read after an outage shows rows that no entry could renew, which doesn't mean that the entries are dead.
#[test]
fn an_entry_that_could_not_renew_its_row_is_not_taken_for_dead() {
    let mut peers = Peers::new(SILENCE_MAX, Duration::from_secs(3));
    peers.observe(Duration::ZERO, vec![row("a", 1), row("b", 1)]);
    let back = SILENCE_MAX * 3;
    assert!(!peers.observe(back, vec![row("a", 2), row("b", 1)]));
    assert_eq!(peers.live().len(), 2, "there was no read in between");
    for second in 1..SILENCE_MAX.as_secs() {
        assert!(!peers.observe(back + Duration::from_secs(second), vec![row("a", 2 + second), row("b", 1)]));
    }
    assert!(peers.observe(back + SILENCE_MAX, vec![row("a", 100), row("b", 1)]), "silent while the rows were read");
}
