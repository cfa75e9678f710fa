//! Overlay of one site, merged over the base document.

use serde_json::Value;

/// Merges an overlay over a base document, by path.
///
/// Objects are merged field by field; any other value of the overlay replaces the base's. `null` replaces as well:
/// nothing can be removed by an overlay, and the check refuses the `null`.
#[must_use]
pub fn merge(base: &Value, overlay: &Value) -> Value {
    let (Value::Object(base), Value::Object(overlay)) = (base, overlay) else { return overlay.clone() };
    let mut merged = base.clone();
    for (key, value) in overlay {
        let value = match base.get(key) {
            Some(below) => merge(below, value),
            None => value.clone(),
        };
        merged.insert(key.clone(), value);
    }
    Value::Object(merged)
}
