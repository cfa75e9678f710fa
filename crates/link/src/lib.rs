//! Connections between entries and agents, and the messages exchanged on them.
//!
//! Agents connect to entries. A link is a WebSocket connection; each binary message carries one CBOR message.

pub mod connection;
mod counted;
pub mod error;
pub mod message;
pub mod task;
