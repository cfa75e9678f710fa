//! Configuration, plans and the operators' HTTP interface.

pub mod accept;
pub mod api;
pub mod check;
pub mod config;
pub mod documents;
pub mod fault;
pub mod form;
pub mod listen;
pub mod metrics;
pub mod overlay;
pub mod plan;
pub mod secret;
mod shape;
pub mod status;
pub mod store;
mod strict;
