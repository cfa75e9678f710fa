//! Client of the platform's table service and object store.

pub mod client;
pub mod error;
pub mod table;
mod transport;
