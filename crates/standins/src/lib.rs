//! Stand-ins for the platform, the worker and a faulty network.

mod backend;
pub mod clock;
mod ledger;
pub mod platform;
mod rate;
mod serve;
mod store;
mod tasks;
pub mod worker;
