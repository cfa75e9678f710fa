//! Rows near the largest size that the store takes.

use chervilledge_policy::id::Name;
use chervilledge_scheduler::rows::{self, EFFECTS_KEY, Effect, HANDOVER_KEY, Handover};
use chervilledge_scheduler::store::ROW_BYTES_MAX;
use rstest::rstest;

/// Longest key of a row.
const KEY_BYTES_MAX: usize = 200;

fn name(number: usize, bytes: usize) -> Name {
    Name::from(format!("{number:0bytes$}"))
}

/// Callers name the images; the row of all effects was refused because of the names in some jobs.
#[rstest]
#[case::short_names(1_000, 10, 1_000)]
#[case::more_pairs_than_are_stored(1_001, 10, 1_000)]
#[case::long_names(1_000, 100, 200)]
#[case::a_name_that_fills_a_row(1, ROW_BYTES_MAX, 0)]
fn the_effects_outgrow_a_row(#[case] pairs: usize, #[case] name_bytes: usize, #[case] stored_min: usize) {
    let pair = |number| Effect(name(number, name_bytes), name(number, name_bytes), 900.0, 270.0);
    let mut effects: Vec<Effect> = (0..pairs).map(pair).collect();
    effects.push(Effect(Name::from("heavy"), Name::from("sensitive"), 901.0, 270.0));
    let row = rows::encode_effects(effects);
    assert!(row.len() <= ROW_BYTES_MAX, "{} bytes", row.len());
    let stored: Vec<Effect> = rows::decode(EFFECTS_KEY, &row).expect("well-formed");
    assert!(stored.len() >= stored_min && stored.iter().any(|Effect(filling, ..)| &**filling == "heavy"));
}

/// The row of the leases at agents without a link was refused because of their names, and with it the release of the cell.
#[rstest]
#[case::short_names(400, 16, 400)]
#[case::more_leases_than_are_stored(401, 16, 400)]
#[case::longest_names(400, KEY_BYTES_MAX - rows::AGENT_PREFIX.len(), 200)]
fn the_handed_over_leases_outgrow_a_row(#[case] leases: usize, #[case] name_bytes: usize, #[case] stored_min: usize) {
    let row = rows::encode_handover(7, (0..leases).map(|number| (name(number, name_bytes), 5_000)));
    assert!(row.len() <= ROW_BYTES_MAX, "{} bytes", row.len());
    let stored: Handover = rows::decode(HANDOVER_KEY, &row).expect("well-formed");
    assert!(stored.leases_ms.len() >= stored_min, "{} leases", stored.leases_ms.len());
}
