//! Which entry places for a cell whose entries differ in size.

use std::time::Duration;

use chervilledge_cell::succession::{Tenure, claim_delay, is_larger};
use rstest::rstest;

/// Despite the random delay before a claim, a small entry must not claim the cell before a large one.
#[rstest]
#[case::small(0.12, 304)]
#[case::half_of_enough(0.25, 200)]
#[case::enough(0.5, 0)]
#[case::more(2.0, 0)]
fn the_wait_before_a_claim_shrinks_with_the_processor(#[case] share: f64, #[case] wait_ms: u128) {
    assert_eq!(claim_delay(share).as_millis(), wait_ms);
}

/// A handover interrupts placement, so entries of about the same size keep the cell.
#[rstest]
#[case::four_times(0.5, 0.12, true)]
#[case::a_fifth_more(0.3, 0.25, false)]
#[case::alike(0.25, 0.25, false)]
#[case::smaller(0.12, 0.25, false)]
#[case::own_is_enough(2.0, 0.5, false)]
#[case::unknown(0.0, 0.12, false)]
fn only_a_clearly_larger_entry_gets_the_cell(#[case] other: f64, #[case] own: f64, #[case] expected: bool) {
    assert_eq!(is_larger(other, own), expected);
}

/// Larger entries that run but never keep the cell, for instance without a path to the store, must not make it change
/// hands forever.
#[test]
fn a_cell_that_comes_back_is_handed_over_less_and_less() {
    let mut tenure = Tenure::default();
    let mut handovers = Vec::new();
    let mut term = 1;
    for second in 0..600 {
        let now = Duration::from_secs(second);
        if tenure.is_over(term, now) {
            handovers.push(second);
            tenure.hand_over();
            term += 2;
        }
    }
    assert_eq!(handovers.first(), Some(&2));
    assert!(handovers.len() <= 10, "{handovers:?}");
    assert!(handovers.windows(3).all(|three| three[2] - three[1] >= three[1] - three[0]), "{handovers:?}");
}

/// A tenure is timed from the start of its own term; time under an earlier term isn't included.
#[test]
fn each_term_begins_anew() {
    let mut tenure = Tenure::default();
    assert!(!tenure.is_over(1, Duration::from_secs(10)));
    assert!(!tenure.is_over(3, Duration::from_secs(13)));
    assert!(!tenure.is_over(3, Duration::from_secs(14)));
    assert!(tenure.is_over(3, Duration::from_secs(15)));
}
