//! Retry budget and delays.

use std::time::Duration;

use chervilledge_policy::retry::{RetryBudget, Settings, expected_wait};

#[test]
fn retries_are_a_share_of_requests() {
    let mut budget = RetryBudget::new(Settings::default(), 1);
    let at_start = (0..1_000).filter(|_| budget.spend()).count();
    assert_eq!(at_start, 20);
    for _ in 0..1_000 {
        budget.earn();
    }
    let spent = (0..1_000).filter(|_| budget.spend()).count();
    assert_eq!(spent, 20, "the budget holds no more than its bound");
    let mut spent = 0;
    for _ in 0..1_000 {
        budget.earn();
        spent += u32::from(budget.spend());
    }
    assert!((95..=105).contains(&spent), "{spent}");
}

#[test]
fn backoff_grows_with_jitter_and_is_bounded() {
    let settings = Settings::default();
    let mut budget = RetryBudget::new(settings, 1);
    assert_eq!(budget.backoff(1), Duration::ZERO);
    let first: Vec<_> = (0..100).map(|_| budget.backoff(2)).collect();
    assert!(first.iter().all(|delay| (settings.backoff / 2..settings.backoff * 3 / 2).contains(delay)));
    assert!(first.iter().any(|delay| delay != &first[0]));
    assert!((0..100).all(|_| budget.backoff(60) <= settings.backoff_max));
}

#[test]
fn retry_after_covers_the_expected_wait() {
    let settings = Settings::default();
    let mut budget = RetryBudget::new(settings, 1);
    let wait = expected_wait(80, 8, Duration::from_millis(500));
    assert_eq!(wait, Duration::from_secs(5));
    let delays: Vec<_> = (0..100).map(|_| budget.retry_after(wait)).collect();
    assert!(delays.iter().all(|delay| (wait..wait * 2).contains(delay)));
    assert!(delays.iter().any(|delay| delay != &delays[0]));
    assert!(budget.retry_after(Duration::ZERO) >= settings.retry_after_min);
    assert_eq!(budget.retry_after(Duration::from_hours(1)), settings.retry_after_max);
}
