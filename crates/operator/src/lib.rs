//! Configuration, plans and the operators' HTTP interface.

pub mod check;
pub mod config;
pub mod documents;
pub mod fault;
pub mod listen;
pub mod metrics;
pub mod overlay;
pub mod secret;
mod shape;
mod strict;
