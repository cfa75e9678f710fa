//! Scheduler for colocated latency-critical and batch work.
//!
//! [`entry::spawn`] and [`agent::spawn`] start the two roles; the daemons are thin frames around them.

pub mod agent;
pub mod body;
pub mod boot;
pub mod clock;
pub mod cmd;
pub mod daemon;
pub mod entry;
pub mod logs;
pub mod rollout;
pub mod settings;
pub mod start;
mod sync;
