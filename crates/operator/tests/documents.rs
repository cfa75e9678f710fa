//! Canonical form, checksum and merge of documents.

use std::collections::BTreeMap;

use chervilledge_operator::documents::Documents;
use chervilledge_operator::overlay;
use chervilledge_policy::rollout::Checksum;
use proptest::prelude::*;
use rstest::rstest;
use serde_json::{Value, json};

fn documents(base: &str) -> Documents {
    Documents { base: serde_json::from_str(base).expect("JSON"), overlays: BTreeMap::new() }
}

#[test]
fn order_and_white_space_do_not_change_the_checksum() {
    let one = documents(r#"{ "a": 1, "b": { "c": [1, 2], "d": true } }"#);
    let other = documents(r#"{"b":{"d":true,"c":[1,2]},"a":1}"#);
    assert_eq!(one.canonical(), other.canonical());
    assert_eq!(one.checksum(), other.checksum());
}

/// Stored rows carry this checksum, so it must stay what it is.
#[test]
fn the_checksum_is_stable() {
    let documents = documents(r#"{"a":1}"#);
    assert_eq!(documents.canonical(), r#"{"base":{"a":1},"overlays":{}}"#);
    assert_eq!(documents.checksum().to_string(), "c2584d86aed2f4b1");
}

#[test]
fn a_checksum_is_read_back_from_its_text() {
    let checksum = Checksum(0xab);
    assert_eq!(checksum.to_string(), "00000000000000ab");
    assert_eq!(checksum.to_string().parse(), Ok(checksum));
}

#[rstest]
#[case::field(json!({ "a": 1, "b": 2 }), json!({ "b": 3 }), json!({ "a": 1, "b": 3 }))]
#[case::nested(json!({ "a": { "b": 1, "c": 2 } }), json!({ "a": { "c": 3 } }), json!({ "a": { "b": 1, "c": 3 } }))]
#[case::list(json!({ "a": [1, 2] }), json!({ "a": [3] }), json!({ "a": [3] }))]
#[case::other_type(json!({ "a": { "b": 1 } }), json!({ "a": 2 }), json!({ "a": 2 }))]
#[case::null_stays_visible(json!({ "a": 1 }), json!({ "a": null }), json!({ "a": null }))]
fn an_overlay_wins_by_path(#[case] base: Value, #[case] overlay: Value, #[case] merged: Value) {
    assert_eq!(overlay::merge(&base, &overlay), merged);
}

fn value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![Just(Value::Null), any::<bool>().prop_map(Value::from), any::<u8>().prop_map(Value::from)];
    leaf.prop_recursive(3, 24, 4, |inner| {
        prop::collection::btree_map("[a-c]", inner, 0..4).prop_map(|fields| json!(fields))
    })
}

proptest! {
    #[test]
    fn an_overlay_merged_twice_changes_nothing_more(base in value(), overlay in value()) {
        let once = overlay::merge(&base, &overlay);
        prop_assert_eq!(overlay::merge(&once, &overlay), once);
    }

    #[test]
    fn an_empty_overlay_changes_no_object(base in prop::collection::btree_map("[a-c]", value(), 0..4)) {
        let base = json!(base);
        prop_assert_eq!(overlay::merge(&base, &json!({})), base);
    }
}
