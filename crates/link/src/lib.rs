//! Messages and connections between entry and agent.
//!
//! Agents dial entries. A link is one WebSocket connection that carries one CBOR message in each binary frame.

pub mod connection;
pub mod error;
pub mod message;
pub mod task;
