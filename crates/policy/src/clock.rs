//! Monotonic clock that can be replaced in tests.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Source of monotonic time since an arbitrary origin.
///
/// Readings never decrease. A process uses a single clock for all its decisions, and readings of different processes
/// are never compared.
#[derive(Clone)]
pub struct Clock {
    read: Arc<dyn Fn() -> Duration + Send + Sync>,
}

impl Clock {
    /// Creates a clock from a function that reads the time.
    pub fn new(read: impl Fn() -> Duration + Send + Sync + 'static) -> Self {
        Self { read: Arc::new(read) }
    }

    /// Returns the time since the clock's origin.
    #[must_use]
    pub fn now(&self) -> Duration {
        (self.read)()
    }
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Clock").field("now", &self.now()).finish()
    }
}
