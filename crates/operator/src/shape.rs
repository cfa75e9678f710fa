//! Expected form of a document, walked to find every fault at once.
//!
//! A typed parse stops at its first fault. The form is therefore written down a second time here; a test compares it
//! with [`crate::config`].

use std::collections::BTreeSet;
use std::net::SocketAddr;

use chervilledge_policy::code::Code;
use serde_json::{Map, Value};

use crate::fault::{Faults, element, field};

/// Longest name of a service, team, batch kind, site, failure domain or shape.
const NAME_MAX_BYTES: usize = 63;
/// Longest time in a document, in milliseconds: one year.
const TIME_MAX_MS: u64 = 365 * 24 * 3600 * 1000;
/// Longest text in settings, such as a path.
const TEXT_MAX_BYTES: usize = 1024;
/// Longest unknown key that a fault quotes.
const KEY_QUOTED_CHARS: usize = 80;
/// HTTP methods that RFC 9110 defines as idempotent; other requests need an idempotency key instead.
const IDEMPOTENT_METHODS: &[&str] = &["DELETE", "GET", "HEAD", "OPTIONS", "PUT", "TRACE"];

/// Expected form of a value.
#[derive(Debug)]
pub(crate) enum Shape {
    /// Object with exactly these fields.
    Object(&'static [(&'static str, Shape)]),
    /// Object from names to values of one form.
    Names(&'static Shape),
    /// List of distinct names, at least one.
    NameList,
    /// List of distinct HTTP methods that are idempotent.
    MethodList,
    /// `true` or `false`.
    Flag,
    /// Text of bounded length, not empty.
    Text,
    /// IP address with a port.
    Address,
    /// List of addresses, at least one.
    AddressList,
    /// List of secrets, at least one, each a value or the file that holds it.
    SecretList,
    /// Field that may be absent or `null`.
    Optional(&'static Shape),
    /// Field that may be absent and that the typed form checks alone.
    Typed,
    /// Object with the given fields, none of which is required.
    Defaults(&'static [(&'static str, Shape)]),
    /// Whole number within bounds.
    Whole {
        /// Least value.
        min: u64,
        /// Greatest value.
        max: u64,
    },
}

/// Secret in settings; the typed form takes one of the two fields.
const SECRET: Shape = Shape::Defaults(&[("value", Shape::Text), ("file", Shape::Text)]);

pub(crate) const COUNT: Shape = Shape::Whole { min: 0, max: u32::MAX as u64 };
pub(crate) const POSITIVE: Shape = Shape::Whole { min: 1, max: u32::MAX as u64 };
pub(crate) const AMOUNT: Shape = Shape::Whole { min: 0, max: 1 << 60 };
pub(crate) const TIME_MS: Shape = Shape::Whole { min: 1, max: TIME_MAX_MS };

pub(crate) const RESOURCES: Shape =
    Shape::Object(&[("processor_millicores", AMOUNT), ("memory_bytes", AMOUNT), ("accelerators", COUNT)]);

const SERVICE: Shape = Shape::Object(&[
    ("priority", Shape::Whole { min: 0, max: 9 }),
    ("latency_target_ms", TIME_MS),
    ("workers", COUNT),
    ("slots", POSITIVE),
    ("connections", POSITIVE),
    ("idempotent_methods", Shape::MethodList),
    ("retry_budget_percent", Shape::Whole { min: 0, max: 100 }),
    ("queue_limit", COUNT),
    ("queue_wait_ms", TIME_MS),
    ("request_body_limit_bytes", Shape::Whole { min: 0, max: 1 << 30 }),
]);

const TEAM: Shape = Shape::Object(&[(
    "quota",
    Shape::Object(&[
        ("processor_millicores", AMOUNT),
        ("memory_bytes", AMOUNT),
        ("accelerators", COUNT),
        ("running_tasks", COUNT),
    ]),
)]);

const BATCH_KIND: Shape = Shape::Object(&[
    ("resources", RESOURCES),
    ("run_time_ms", TIME_MS),
    ("checkpoint_interval_ms", TIME_MS),
    ("may_throttle", Shape::Flag),
    ("may_evict", Shape::Flag),
    ("worker_attempts", POSITIVE),
]);

const PERCENT_OF_TARGET: Shape = Shape::Whole { min: 1, max: 10_000 };

const COLOCATION: Shape = Shape::Object(&[
    ("resume_at_percent", PERCENT_OF_TARGET),
    ("throttle_at_percent", PERCENT_OF_TARGET),
    ("evict_at_percent", PERCENT_OF_TARGET),
    ("hold_ms", TIME_MS),
    ("evictions_per_hour", COUNT),
]);

const WORKER_SHAPE: Shape = Shape::Object(&[
    ("workers", POSITIVE),
    ("workers_per_rack", POSITIVE),
    ("guards", Shape::Flag),
    ("resources", RESOURCES),
]);

const SITE: Shape =
    Shape::Object(&[("failure_domains", Shape::NameList), ("worker_shapes", Shape::Names(&WORKER_SHAPE))]);

/// Base document.
pub(crate) const BASE: Shape = Shape::Object(&[
    ("services", Shape::Names(&SERVICE)),
    ("teams", Shape::Names(&TEAM)),
    ("batch_kinds", Shape::Names(&BATCH_KIND)),
    ("colocation", COLOCATION),
    ("sites", Shape::Names(&SITE)),
]);

/// Overlay: all but the sites, and nothing required.
pub(crate) const OVERLAY: Shape = Shape::Object(&[
    ("services", Shape::Names(&SERVICE)),
    ("teams", Shape::Names(&TEAM)),
    ("batch_kinds", Shape::Names(&BATCH_KIND)),
    ("colocation", COLOCATION),
]);

/// Walks one document and collects its faults.
#[derive(Debug)]
pub(crate) struct Walk<'a> {
    /// Name of the document, for the faults.
    pub(crate) document: &'a str,
    /// Fields may be absent, as in an overlay.
    pub(crate) partial: bool,
    /// Faults found.
    pub(crate) faults: &'a mut Faults,
}

impl Walk<'_> {
    /// Compares a value with its expected form.
    pub(crate) fn value(&mut self, value: &Value, shape: &Shape, path: &str) {
        match (shape, value) {
            (Shape::Object(fields), Value::Object(object)) => self.object(object, fields, path),
            (Shape::Names(inner), Value::Object(object)) => self.names(object, inner, path),
            (Shape::NameList, Value::Array(list)) => self.name_list(list, path),
            (Shape::MethodList, Value::Array(list)) => self.method_list(list, path),
            (Shape::Flag, Value::Bool(_)) | (Shape::Typed, _) | (Shape::Optional(_), Value::Null) => {}
            (Shape::Text, Value::String(text)) => self.text(text, path),
            (Shape::Address, Value::String(text)) => self.address(text, path),
            (Shape::AddressList, Value::Array(list)) => self.list(list, &Shape::Address, path),
            (Shape::SecretList, Value::Array(list)) => self.list(list, &SECRET, path),
            (Shape::Optional(inner), value) => self.value(value, inner, path),
            (Shape::Defaults(fields), Value::Object(object)) => self.fields(object, fields, path),
            (Shape::Whole { min, max }, Value::Number(number)) => match number.as_u64() {
                Some(whole) => self.whole(whole, *min, *max, path),
                None => self.number(number, path),
            },
            _ => self.wrong_type(value, shape, path),
        }
    }

    fn object(&mut self, object: &Map<String, Value>, fields: &[(&str, Shape)], path: &str) {
        self.fields(object, fields, path);
        if self.partial {
            return;
        }
        let is_absent = |(known, shape): &&(&str, Shape)| {
            !object.contains_key(*known) && !matches!(shape, Shape::Optional(_) | Shape::Typed | Shape::Defaults(_))
        };
        for (known, _) in fields.iter().filter(is_absent) {
            self.push(&field(path, known), Code::MissingField, "the field is required");
        }
    }

    fn fields(&mut self, object: &Map<String, Value>, fields: &[(&str, Shape)], path: &str) {
        for (key, value) in object {
            match fields.iter().find(|(known, _)| known == key) {
                Some((_, shape)) => self.value(value, shape, &field(path, key)),
                None => self.unknown_field(key, fields, path),
            }
        }
    }

    fn list(&mut self, list: &[Value], inner: &Shape, path: &str) {
        if list.is_empty() {
            self.push(path, Code::OutOfRange, "at least one element is required");
        }
        for (index, value) in list.iter().enumerate() {
            self.value(value, inner, &element(path, index));
        }
    }

    fn text(&mut self, text: &str, path: &str) {
        if !(1..=TEXT_MAX_BYTES).contains(&text.len()) || text.chars().any(char::is_control) {
            let wanted = format!("1 to {TEXT_MAX_BYTES} bytes without control characters are allowed");
            self.push(path, Code::OutOfRange, &wanted);
        }
    }

    fn address(&mut self, text: &str, path: &str) {
        if text.parse::<SocketAddr>().is_err() {
            self.push(path, Code::WrongType, "an IP address with a port is expected, such as 10.1.0.5:7100");
        }
    }

    fn unknown_field(&mut self, key: &str, fields: &[(&str, Shape)], path: &str) {
        let quoted: String = key.chars().take(KEY_QUOTED_CHARS).collect();
        let text = if let Some((known, _)) = fields.iter().find(|(known, _)| stem(known) == stem(key)) {
            format!("the field is called {known}")
        } else {
            let known: Vec<&str> = fields.iter().map(|(known, _)| *known).collect();
            format!("the fields here are {}", known.join(", "))
        };
        self.push(&field(path, &quoted), Code::UnknownField, &text);
    }

    fn names(&mut self, object: &Map<String, Value>, inner: &Shape, path: &str) {
        for (key, value) in object {
            let quoted: String = key.chars().take(KEY_QUOTED_CHARS).collect();
            let path = field(path, &quoted);
            self.name(key, &path);
            self.value(value, inner, &path);
        }
    }

    fn name(&mut self, name: &str, path: &str) {
        if !is_name(name) {
            let text = format!("a name has 1 to {NAME_MAX_BYTES} lower-case letters, digits or hyphens");
            self.push(path, Code::OutOfRange, &text);
        }
    }

    fn name_list(&mut self, list: &[Value], path: &str) {
        if list.is_empty() {
            self.push(path, Code::OutOfRange, "at least one name is required");
        }
        for (index, text) in self.texts(list, path) {
            self.name(text, &element(path, index));
        }
    }

    fn method_list(&mut self, list: &[Value], path: &str) {
        for (index, text) in self.texts(list, path) {
            if !IDEMPOTENT_METHODS.contains(&text) {
                let text = format!("an idempotent method is one of {}", IDEMPOTENT_METHODS.join(", "));
                self.push(&element(path, index), Code::OutOfRange, &text);
            }
        }
    }

    /// Elements that are text, with the others and the repeated ones reported.
    fn texts<'v>(&mut self, list: &'v [Value], path: &str) -> Vec<(usize, &'v str)> {
        let mut seen = BTreeSet::new();
        let mut texts = Vec::new();
        for (index, value) in list.iter().enumerate() {
            let Some(text) = value.as_str() else {
                let text = format!("text is expected, {} was found", kind(value));
                self.push(&element(path, index), Code::WrongType, &text);
                continue;
            };
            if !seen.insert(text) {
                self.push(&element(path, index), Code::Duplicate, "the list holds it already");
            }
            texts.push((index, text));
        }
        texts
    }

    fn whole(&mut self, whole: u64, min: u64, max: u64, path: &str) {
        if whole < min || whole > max {
            let text = format!("{min} to {max}{} is allowed, {whole} was found", unit(path));
            self.push(path, Code::OutOfRange, &text);
        }
    }

    fn number(&mut self, number: &serde_json::Number, path: &str) {
        let (code, wanted) = if number.is_i64() {
            (Code::OutOfRange, "no negative number is allowed")
        } else {
            (Code::WrongType, "a whole number is expected")
        };
        self.push(path, code, &format!("{wanted}{}, {number} was found", unit(path)));
    }

    fn wrong_type(&mut self, value: &Value, shape: &Shape, path: &str) {
        let wanted = match shape {
            Shape::Object(_) | Shape::Names(_) | Shape::Defaults(_) | Shape::Typed => "an object",
            Shape::NameList | Shape::MethodList | Shape::AddressList | Shape::SecretList => "a list",
            Shape::Text => "text",
            Shape::Address => "an IP address with a port",
            Shape::Optional(inner) => return self.wrong_type(value, inner, path),
            Shape::Flag => "true or false",
            Shape::Whole { .. } => "a whole number",
        };
        let unit = if matches!(shape, Shape::Whole { .. }) { unit(path) } else { "" };
        self.push(path, Code::WrongType, &format!("{wanted}{unit} is expected, {} was found", kind(value)));
    }

    fn push(&mut self, path: &str, code: Code, text: &str) {
        self.faults.push(self.document, path, code, text);
    }
}

/// Units that names of fields end in.
const UNITS: &[(&str, &str)] = &[
    ("_ms", " of milliseconds"),
    ("_bytes", " of bytes"),
    ("_millicores", " of thousandths of a core"),
    ("_percent", " of percent"),
];

/// Unit of the field that a path ends in, as part of a sentence.
fn unit(path: &str) -> &'static str {
    UNITS.iter().find(|(suffix, _)| path.ends_with(suffix)).map_or("", |(_, text)| text)
}

/// Name of a field without its unit, so that a field with a wrong unit is recognised.
fn stem(key: &str) -> &str {
    const FOREIGN: &[&str] =
        &["_s", "_us", "_sec", "_seconds", "_minutes", "_kb", "_mb", "_gb", "_mib", "_gib", "_cores"];
    let units = UNITS.iter().map(|(suffix, _)| *suffix);
    units.chain(FOREIGN.iter().copied()).find_map(|suffix| key.strip_suffix(suffix)).unwrap_or(key)
}

fn is_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    (1..=NAME_MAX_BYTES).contains(&name.len()) && name.bytes().all(allowed)
}

fn kind(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number",
        Value::String(_) => "text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}
