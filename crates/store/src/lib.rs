//! Client of the platform's table service and object store.
//!
//! A write has three outcomes. `Done` and `NotDone` are definite; after `Unknown` the write may still take effect, even
//! after the row was read again. [`client::Client::resolve`] turns `Unknown` into a definite outcome.

pub mod client;
pub mod error;
mod gate;
pub mod group;
mod history;
pub mod object;
mod resolve;
pub mod sweep;
pub mod table;
mod transport;
