//! Wall-clock time as text.

use std::time::{Duration, UNIX_EPOCH};

use chervilledge::cmd::timestamp::rfc3339;
use rstest::rstest;

#[rstest]
#[case::epoch(0, "1970-01-01T00:00:00Z")]
#[case::leap_day(951_782_400, "2000-02-29T00:00:00Z")]
#[case::end_of_leap_day(1_709_251_199, "2024-02-29T23:59:59Z")]
#[case::new_year(1_767_225_600, "2026-01-01T00:00:00Z")]
#[case::no_leap_year(4_107_542_400, "2100-03-01T00:00:00Z")]
fn times_are_given_in_utc(#[case] seconds: u64, #[case] expected: &str) {
    assert_eq!(rfc3339(UNIX_EPOCH + Duration::from_secs(seconds)), expected);
}
