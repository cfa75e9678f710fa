//! Locking.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex whose data is valid between any two statements, so that a panic elsewhere can't break it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
