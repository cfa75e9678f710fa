//! Stand-ins for the platform, the worker and a faulty network.

mod backend;
pub mod clock;
pub mod judge;
mod ledger;
pub mod network;
pub mod platform;
mod rate;
mod serve;
mod store;
mod tasks;
pub mod worker;
