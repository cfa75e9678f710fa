//! Clock of the operating system.

use std::time::Duration;

pub use chervilledge_scheduler::clock::system;
use rustix::time::{ClockId, clock_gettime};

/// Reads the machine's monotonic clock, which every process of the machine reads alike.
#[must_use]
pub fn monotonic_now() -> Duration {
    let time = clock_gettime(ClockId::Monotonic);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanoseconds)
}
