//! System clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use chervilledge_policy::clock::Clock;
use rustix::time::{ClockId, clock_gettime};

/// Creates a clock that also counts the time for which the machine was suspended.
#[must_use]
pub fn system() -> Clock {
    Clock::new(|| {
        let time = clock_gettime(ClockId::Boottime);
        Duration::new(u64::try_from(time.tv_sec).unwrap_or(0), u32::try_from(time.tv_nsec).unwrap_or(0))
    })
}

/// Wall clock in milliseconds since 1970; 0 before that.
#[must_use]
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    whole_ms(elapsed)
}

/// Whole milliseconds of a duration, for logs and dumps.
#[must_use]
pub fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
