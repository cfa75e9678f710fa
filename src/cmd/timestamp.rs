//! Wall-clock time as text, for reading only.

use std::time::{SystemTime, UNIX_EPOCH};

const SECONDS_PER_DAY: u64 = 24 * 3600;
/// Days in 400 years of the Gregorian calendar.
const DAYS_PER_ERA: u64 = 146_097;
/// Days from 1 March of the year 0 to the start of 1970.
const DAYS_BEFORE_1970: u64 = 719_468;

/// Time in RFC 3339 with whole seconds; times before 1970 are given as its start.
#[must_use]
pub fn rfc3339(time: SystemTime) -> String {
    let seconds = time.duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs());
    let (year, month, day) = date(seconds / SECONDS_PER_DAY);
    let of_day = seconds % SECONDS_PER_DAY;
    let (hour, minute, second) = (of_day / 3600, of_day / 60 % 60, of_day % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Date of a day since 1970, by counting years from March so that the leap day comes last.
fn date(days_since_1970: u64) -> (u64, u64, u64) {
    let days = days_since_1970 + DAYS_BEFORE_1970;
    let (era, day_of_era) = (days / DAYS_PER_ERA, days % DAYS_PER_ERA);
    let leap_days = day_of_era / 1460 - day_of_era / 36_524 + day_of_era / 146_096;
    let year_of_era = (day_of_era - leap_days) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
    (era * 400 + year_of_era + u64::from(month <= 2), month, day)
}
