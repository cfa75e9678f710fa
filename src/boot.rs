//! Identifier of a start of a process.

use std::time::{SystemTime, UNIX_EPOCH};

use chervilledge_policy::id::BootId;

/// Bits of a boot identifier that are random.
const RANDOM_BITS: u32 = 10;

/// Makes the identifier of this start; a later start on the same machine has a greater one.
#[must_use]
pub fn new_id() -> BootId {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let micros = u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX >> RANDOM_BITS);
    BootId((micros << RANDOM_BITS) | rand::random_range(0..1 << RANDOM_BITS))
}
