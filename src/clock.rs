//! Clock of the operating system.

use std::time::Duration;

use chervilledge_policy::clock::Clock;
use rustix::time::{ClockId, clock_gettime};

/// Makes a clock that also counts the time for which the machine was suspended.
#[must_use]
pub fn system() -> Clock {
    Clock::new(read_boottime)
}

fn read_boottime() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanoseconds)
}

/// Reads the machine's monotonic clock, which every process of the machine reads alike.
#[must_use]
pub fn monotonic_now() -> Duration {
    let time = clock_gettime(ClockId::Monotonic);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanoseconds)
}
