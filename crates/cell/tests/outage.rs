//! Which requests many entries send to a store that breaks connections, simulated without a network.

use std::time::Duration;

use chervilledge_cell::outage::{CallOutcome, Outage, Standing, probe_interval};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const ENTRIES: usize = 55;
const OUTAGE_MS: u64 = 20_000;
const FIRST_PROBE: Duration = Duration::from_secs(1);

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Callers' requests and probes that reach a store which breaks writes, and perhaps reads, must stay below twelve a
/// second in the whole cell once the break is known. The entries' own feeds go on reading four times a second.
#[rstest]
#[case::all_breaks(CallOutcome::Broke)]
#[case::only_writes_break(CallOutcome::Answered)]
fn few_requests_reach_a_breaking_store(#[case] reads: CallOutcome, #[values(1, 2, 3)] seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut entries: Vec<Outage> = (0..ENTRIES).map(|_| Outage::default()).collect();
    let interval = probe_interval(ENTRIES);
    let (mut sent, mut probes) = (0, 0);
    for now in (1..OUTAGE_MS).map(at) {
        for outage in &mut entries {
            let first = interval.mul_f64(rng.random());
            if rng.random_bool(0.004) {
                outage.read_ended(reads, now, now, first);
            }
            // Each entry gets four callers a second.
            if rng.random_bool(0.004) && outage.admits(now) {
                sent += u128::from(now > at(2_000));
                outage.request_ended(CallOutcome::Broke, now, now, first);
            }
            if outage.until_next_probe(interval, now) == Some(Duration::ZERO) {
                probes += 1;
                outage.probe_ended(reads, now);
            }
        }
    }
    println!("{sent} requests and {probes} probes in 20 s");
    // Each entry makes one probe per interval, and lets at most one caller follow it.
    let most = |milliseconds: u128| milliseconds.div_ceil(interval.as_millis()) * ENTRIES as u128;
    assert!(sent <= most(18_000), "{sent} requests in 18 s");
    assert!(probes <= most(20_000), "{probes} probes in 20 s");
}

/// A store that doesn't answer is probed by callers' requests, one per 250 ms; reads and older requests are no
/// evidence.
#[test]
fn a_silent_store_is_tried_by_callers() {
    let mut outage = Outage::default();
    outage.request_ended(CallOutcome::Answered, at(100), at(110), FIRST_PROBE);
    outage.request_ended(CallOutcome::Silent, at(90), at(120), FIRST_PROBE);
    assert_eq!(outage.standing(), Standing::Up, "an older request says nothing of the present");
    outage.request_ended(CallOutcome::Silent, at(120), at(1_370), FIRST_PROBE);
    let admitted: Vec<u64> = (1_370..2_400).filter(|now| outage.admits(at(*now))).collect();
    assert_eq!(admitted, [1_620, 1_870, 2_120, 2_370]);
    // A store that answers again resets old connections.
    outage.read_ended(CallOutcome::Broke, at(1_400), at(2_400), FIRST_PROBE);
    outage.read_ended(CallOutcome::Answered, at(2_400), at(2_410), FIRST_PROBE);
    assert!(!outage.admits(at(2_420)), "only a caller's request ends it");
    outage.request_ended(CallOutcome::Answered, at(2_370), at(2_430), FIRST_PROBE);
    assert!(outage.admits(at(2_431)));
}

/// The first read that began after the last break detects the return of the store, and one caller goes first.
#[test]
fn one_caller_goes_first_when_the_store_is_back() {
    let mut outage = Outage::default();
    outage.request_ended(CallOutcome::Broke, at(100), at(110), FIRST_PROBE);
    outage.read_ended(CallOutcome::Answered, at(105), at(120), FIRST_PROBE);
    assert!(!outage.admits(at(130)), "a read from before the break says nothing");
    outage.read_ended(CallOutcome::Answered, at(130), at(140), FIRST_PROBE);
    assert!(outage.admits(at(140)));
    assert!(!outage.admits(at(141)));
    outage.request_ended(CallOutcome::Answered, at(140), at(150), FIRST_PROBE);
    assert!(outage.admits(at(151)) && outage.admits(at(151)));
}
