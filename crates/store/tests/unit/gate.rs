//! State transitions of the circuit breaker.

use std::time::Duration;

use super::{Admission, CircuitBreaker, Config};

const SECOND: Duration = Duration::from_secs(1);

fn breaker() -> CircuitBreaker {
    CircuitBreaker::new(Config {
        concurrent_calls: 8,
        failures_until_away: 3,
        call_timeout: SECOND,
        backoff_first: SECOND,
        backoff_limit: 4 * SECOND,
    })
}

fn fail_until_away(breaker: &mut CircuitBreaker) {
    for _ in 0..3 {
        let admission = breaker.admit(Duration::ZERO).unwrap();
        breaker.record_failure(Duration::ZERO, admission, 1.0);
    }
    assert!(breaker.is_away());
}

#[test]
fn an_answer_between_failures_keeps_admitting_calls() {
    let mut breaker = breaker();
    for _ in 0..10 {
        let admission = breaker.admit(Duration::ZERO).unwrap();
        breaker.record_failure(Duration::ZERO, admission, 1.0);
        breaker.record_answer();
    }
    assert!(!breaker.is_away());
}

#[test]
fn away_lets_one_probe_through_at_a_time() {
    let mut breaker = breaker();
    fail_until_away(&mut breaker);
    assert_eq!(breaker.admit(SECOND / 2), None);
    assert_eq!(breaker.admit(SECOND), Some(Admission { weight: 8, is_probe: true }));
    assert_eq!(breaker.admit(SECOND), None);
}

#[test]
fn waits_between_probes_double_up_to_the_limit() {
    let mut breaker = breaker();
    fail_until_away(&mut breaker);
    let mut now = SECOND;
    for wait_s in [2, 4, 4] {
        let probe = breaker.admit(now).unwrap();
        breaker.record_failure(now, probe, 1.0);
        let almost = Duration::from_millis(wait_s * 1_000 - 1);
        assert_eq!(breaker.admit(now + almost), None);
        now += Duration::from_secs(wait_s);
    }
}

#[test]
fn failures_of_older_calls_dont_lengthen_the_wait() {
    let mut breaker = breaker();
    let older = breaker.admit(Duration::ZERO).unwrap();
    fail_until_away(&mut breaker);
    breaker.record_failure(SECOND / 2, older, 1.0);
    assert!(breaker.admit(SECOND).is_some());
}

#[test]
fn concurrency_widens_with_each_answer_after_the_return() {
    let mut breaker = breaker();
    fail_until_away(&mut breaker);
    let mut weights = Vec::new();
    for _ in 0..5 {
        breaker.record_answer();
        weights.push(breaker.admit(SECOND).unwrap().weight);
    }
    assert_eq!(weights, [8, 4, 2, 1, 1]);
}
