//! Expected form of the daemons' settings, walked to find every fault at once.
//!
//! As with the configuration, the typed form stands beside this one, in the daemons; a test compares the two.

use serde_json::Value;

use crate::fault::{Fault, Faults};
use crate::shape::{AMOUNT, COUNT, POSITIVE, RESOURCES, Shape, TIME_MS, Walk};
use crate::strict;

const BOUNDS: Shape = Shape::Defaults(&[
    ("heartbeat_interval_ms", TIME_MS),
    ("link_silence_ms", TIME_MS),
    ("link_backoff_max_ms", TIME_MS),
    ("request_timeout_ms", TIME_MS),
    ("request_timeout_max_ms", TIME_MS),
    ("drain_timeout_ms", TIME_MS),
    ("head_bytes_max", AMOUNT),
    ("body_bytes_max", AMOUNT),
    ("inline_body_bytes_max", AMOUNT),
    ("caller_connections_max", POSITIVE),
    ("callers_bytes_max", AMOUNT),
    ("agent_queue_max", COUNT),
]);

const CAPACITY: Shape = Shape::Object(&[("slots", POSITIVE), ("connections", POSITIVE), ("resources", RESOURCES)]);

/// Settings of an entry.
const ENTRY: Shape = Shape::Object(&[
    ("name", Shape::Text),
    ("site", Shape::Text),
    ("failure_domain", Shape::Text),
    ("callers_address", Shape::Address),
    ("links_address", Shape::Address),
    ("links_advertised_address", Shape::Optional(&Shape::Address)),
    ("operators_address", Shape::Address),
    ("platform_address", Shape::Address),
    ("link_secrets", Shape::SecretList),
    ("operator_secrets", Shape::SecretList),
    ("bounds", BOUNDS),
    ("batch", Shape::Typed),
    ("log_directory", Shape::Optional(&Shape::Text)),
]);

/// Settings of an agent.
const AGENT: Shape = Shape::Object(&[
    ("worker", Shape::Text),
    ("site", Shape::Text),
    ("service", Shape::Text),
    ("failure_domain", Shape::Text),
    ("rack", Shape::Text),
    ("capacity", CAPACITY),
    ("backend_address", Shape::Address),
    ("runtime_address", Shape::Address),
    ("entry_addresses", Shape::AddressList),
    ("links_max", POSITIVE),
    ("operators_address", Shape::Address),
    ("link_secrets", Shape::SecretList),
    ("operator_secrets", Shape::SecretList),
    ("bounds", BOUNDS),
    ("batch", Shape::Typed),
    ("log_directory", Shape::Optional(&Shape::Text)),
]);

/// Daemon whose settings are read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Agent.
    Agent,
    /// Entry.
    Entry,
}

/// Parses the settings of a daemon; `name` stands for the file in the faults.
///
/// # Errors
///
/// Every fault of the text.
pub fn parse(name: &str, text: &str, role: Role) -> Result<Value, Vec<Fault>> {
    let shape = match role {
        Role::Agent => &AGENT,
        Role::Entry => &ENTRY,
    };
    let mut faults = Faults::default();
    let value = strict::parse(name, text, &mut faults);
    if let Some(value) = &value {
        Walk { document: name, partial: false, faults: &mut faults }.value(value, shape, "$");
    }
    value.filter(|_| faults.is_empty()).ok_or_else(|| faults.finish())
}
