//! Stand-ins for the platform, the worker and a faulty network.

pub mod platform;
mod rate;
mod serve;
mod store;
pub mod worker;
