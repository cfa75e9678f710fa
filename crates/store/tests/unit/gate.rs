//! Steps of the gate.

use std::time::Duration;

use super::{Admission, Bounds, Gate};

const SECOND: Duration = Duration::from_secs(1);

fn gate() -> Gate {
    Gate::new(Bounds {
        concurrent_calls: 8,
        failures_until_away: 3,
        call_timeout: SECOND,
        backoff_first: SECOND,
        backoff_limit: 4 * SECOND,
    })
}

fn fail_until_away(gate: &mut Gate) {
    for _ in 0..3 {
        let admission = gate.admit(Duration::ZERO).unwrap();
        gate.failed(Duration::ZERO, admission, 1.0);
    }
    assert!(gate.is_away());
}

#[test]
fn an_answer_between_failures_keeps_the_gate_open() {
    let mut gate = gate();
    for _ in 0..10 {
        let admission = gate.admit(Duration::ZERO).unwrap();
        gate.failed(Duration::ZERO, admission, 1.0);
        gate.answered();
    }
    assert!(!gate.is_away());
}

#[test]
fn away_lets_one_probe_through_at_a_time() {
    let mut gate = gate();
    fail_until_away(&mut gate);
    assert_eq!(gate.admit(SECOND / 2), None);
    assert_eq!(gate.admit(SECOND), Some(Admission { weight: 8, probe: true }));
    assert_eq!(gate.admit(SECOND), None);
}

#[test]
fn waits_between_probes_double_up_to_the_limit() {
    let mut gate = gate();
    fail_until_away(&mut gate);
    let mut now = SECOND;
    for wait_s in [2, 4, 4] {
        let probe = gate.admit(now).unwrap();
        gate.failed(now, probe, 1.0);
        let almost = Duration::from_millis(wait_s * 1_000 - 1);
        assert_eq!(gate.admit(now + almost), None);
        now += Duration::from_secs(wait_s);
    }
}

#[test]
fn failures_of_older_calls_dont_lengthen_the_wait() {
    let mut gate = gate();
    let older = gate.admit(Duration::ZERO).unwrap();
    fail_until_away(&mut gate);
    gate.failed(SECOND / 2, older, 1.0);
    assert!(gate.admit(SECOND).is_some());
}

#[test]
fn concurrency_widens_with_each_answer_after_the_return() {
    let mut gate = gate();
    fail_until_away(&mut gate);
    let mut weights = Vec::new();
    for _ in 0..5 {
        gate.answered();
        weights.push(gate.admit(SECOND).unwrap().weight);
    }
    assert_eq!(weights, [8, 4, 2, 1, 1]);
}
