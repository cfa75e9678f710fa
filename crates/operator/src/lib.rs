//! Configuration, plans and the operators' HTTP interface.

pub mod config;
pub mod documents;
pub mod listen;
pub mod metrics;
pub mod overlay;
pub mod secret;
