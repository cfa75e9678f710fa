//! Clock that the stand-ins of one machine share.

use std::time::Duration;

use chervilledge_policy::clock::Clock;
use rustix::time::{ClockId, clock_gettime};

/// Reads the machine's monotonic clock; its origin is the same for every process.
#[must_use]
pub fn monotonic() -> Clock {
    Clock::new(|| {
        let time = clock_gettime(ClockId::Monotonic);
        Duration::new(u64::try_from(time.tv_sec).unwrap_or(0), u32::try_from(time.tv_nsec).unwrap_or(0))
    })
}
