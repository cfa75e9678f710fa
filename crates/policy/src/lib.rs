//! Decisions of the scheduler, free of I/O and of the wall clock.
//!
//! Every module is a state machine or a function of `(now, event)`. Time is a [`std::time::Duration`] since an
//! arbitrary origin, read by the caller from a [`clock::Clock`]; randomness is a seeded generator.

pub mod admission;
pub mod capacity;
pub mod clock;
pub mod code;
pub mod collections;
pub mod event;
pub mod id;
pub mod membership;
pub mod outcomes;
pub mod outlier;
pub mod request;
pub mod retry;
pub mod routing;
