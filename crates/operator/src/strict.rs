//! Parse of a document that reports repeated keys.
//!
//! A usual JSON parser keeps the last of two equal keys. In a configuration written by hand the first may be the one
//! that was meant, so neither is taken.

use std::cell::RefCell;
use std::fmt;

use chervilledge_policy::code::Code;
use serde::de::{DeserializeSeed, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Value};

use crate::fault::{Faults, element, field};

/// Parses a text, or reports why it isn't JSON; repeated keys are reported beside the value.
pub(crate) fn parse(document: &str, text: &str, faults: &mut Faults) -> Option<Value> {
    let repeated = RefCell::new(Vec::new());
    let mut parser = serde_json::Deserializer::from_str(text);
    let seed = Node { path: "$".to_owned(), repeated: &repeated };
    let parsed = seed.deserialize(&mut parser).and_then(|value| parser.end().map(|()| value));
    for path in repeated.into_inner() {
        faults.push(document, path, Code::Duplicate, "the key occurs more than once");
    }
    parsed.map_err(|error| faults.push(document, "$", Code::NotJson, error.to_string())).ok()
}

/// Value at a path.
struct Node<'a> {
    path: String,
    repeated: &'a RefCell<Vec<String>>,
}

impl<'de> DeserializeSeed<'de> for Node<'_> {
    type Value = Value;

    fn deserialize<D: serde::Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Node<'_> {
    type Value = Value;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a JSON value")
    }

    fn visit_bool<E: Error>(self, v: bool) -> Result<Value, E> {
        Ok(v.into())
    }

    fn visit_i64<E: Error>(self, v: i64) -> Result<Value, E> {
        Ok(v.into())
    }

    fn visit_u64<E: Error>(self, v: u64) -> Result<Value, E> {
        Ok(v.into())
    }

    fn visit_f64<E: Error>(self, v: f64) -> Result<Value, E> {
        Ok(v.into())
    }

    fn visit_str<E: Error>(self, v: &str) -> Result<Value, E> {
        Ok(v.into())
    }

    fn visit_unit<E: Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Value, A::Error> {
        let mut values = Vec::new();
        loop {
            let path = element(&self.path, values.len());
            match seq.next_element_seed(Node { path, repeated: self.repeated })? {
                Some(value) => values.push(value),
                None => return Ok(Value::Array(values)),
            }
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut values = Map::new();
        while let Some(key) = map.next_key::<String>()? {
            let path = field(&self.path, &key);
            if values.contains_key(&key) {
                self.repeated.borrow_mut().push(path.clone());
            }
            let value = map.next_value_seed(Node { path, repeated: self.repeated })?;
            values.insert(key, value);
        }
        Ok(Value::Object(values))
    }
}
