//! Scheduling decisions, without I/O or access to the wall clock.
//!
//! Every module is a state machine or a pure function of `(now, event)`. Time is a [`std::time::Duration`] since an
//! arbitrary origin, which the caller reads from a [`clock::Clock`]; random numbers come from a seeded generator.

pub mod admission;
pub mod capacity;
pub mod clock;
pub mod code;
pub mod collections;
pub mod colocation;
pub mod event;
pub mod health;
pub mod id;
pub mod interference;
pub mod kind;
pub mod lease;
pub mod membership;
pub mod outcomes;
pub mod outlier;
pub mod peers;
pub mod placement;
pub mod queue;
pub mod request;
pub mod reservation;
pub mod retry;
pub mod rollout;
mod room;
pub mod routing;
pub mod shard;
pub mod task;
pub mod usage;
pub mod window;
