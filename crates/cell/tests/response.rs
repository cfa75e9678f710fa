//! Which entries wait before a claim of the cell.

use std::time::Duration;

use chervilledge_cell::response::{RecentReadTimes, WAIT_MAX, claim_wait};
use rstest::rstest;

/// A takeover must not take longer if all entries are alike or nothing is known, nor for an entry in the store's
/// region.
#[rstest]
#[case::alike(&[30, 31, 33, 36, 38], 38, 0)]
#[case::slow_for_all(&[710, 712, 715], 718, 0)]
#[case::near(&[10, 11, 22, 23], 12, 0)]
#[case::within_ten(&[10, 10, 20], 20, 0)]
#[case::other_region(&[10, 11, 12, 22, 23], 22, 165)]
#[case::far_away(&[10, 11, 70], 70, 200)]
#[case::alone(&[], 70, 0)]
#[case::one_row_of_a_removed_entry(&[2, 30, 31, 32, 33], 34, 0)]
fn only_an_entry_farther_than_others_waits(#[case] others_ms: &[u64], #[case] own_ms: u64, #[case] wait_ms: u64) {
    let others = others_ms.iter().copied().map(Duration::from_millis);
    let wait = claim_wait(Some(Duration::from_millis(own_ms)), others);
    assert_eq!(wait, Duration::from_millis(wait_ms));
    assert!(wait <= WAIT_MAX);
}

/// One slow read must not make an entry wait, and a higher latency counts after some reads.
#[test]
fn the_least_of_the_last_reads_counts() {
    let mut recent = RecentReadTimes::default();
    assert_eq!(claim_wait(recent.least(), [Duration::from_millis(1)]), Duration::ZERO);
    for took_ms in [300, 12, 90, 15] {
        recent.add(Duration::from_millis(took_ms));
    }
    assert_eq!(recent.least(), Some(Duration::from_millis(12)));
    (0..8).for_each(|_| recent.add(Duration::from_millis(40)));
    assert_eq!(recent.least(), Some(Duration::from_millis(40)));
}
