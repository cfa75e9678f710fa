//! Scheduling decisions of a cell: a bounded set of workers whose work one placer orders.
//!
//! Nothing here does I/O. Time is a [`std::time::Duration`] since an arbitrary origin, passed in by the caller.

pub mod admission;
pub mod authority;
pub mod cell;
pub mod colocation;
pub mod configuration;
pub mod crashes;
pub mod evacuation;
pub mod grant;
pub mod health;
pub mod interference;
pub mod job;
pub mod outage;
pub mod pace;
pub mod packing;
pub mod preemption;
pub mod progress;
pub mod response;
pub mod run_time;
pub mod stragglers;
pub mod succession;
pub mod urgency;
pub mod witness;
pub mod worker;
