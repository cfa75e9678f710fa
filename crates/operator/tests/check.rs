//! Check of base documents and overlays.

use std::collections::BTreeMap;
use std::path::PathBuf;

use chervilledge_operator::check::{self, Checked, DOCUMENTS_LIMIT_BYTES};
use chervilledge_operator::fault::Fault;
use chervilledge_policy::code::Code;
use chervilledge_policy::id::Name;
use proptest::prelude::*;
use rstest::rstest;
use serde_json::{Value, json};

fn examples(name: &str) -> BTreeMap<Name, String> {
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
    check::read_dir(&dir).expect("the examples are there")
}

/// The fitters' texts, with one document changed by `edit`.
fn edited(document: &str, edit: impl FnOnce(&mut Value)) -> BTreeMap<Name, String> {
    let mut texts = examples("fitters");
    let mut value: Value = texts.get(document).map_or(json!({}), |text| serde_json::from_str(text).expect("JSON"));
    edit(&mut value);
    texts.insert(document.into(), value.to_string());
    texts
}

fn faults(texts: &BTreeMap<Name, String>) -> Vec<Fault> {
    check::check_texts(texts).expect_err("the check finds a fault")
}

/// Places and codes of the faults, as `document path number`.
fn places(texts: &BTreeMap<Name, String>) -> Vec<String> {
    faults(texts).iter().map(|fault| format!("{} {} {}", fault.document, fault.path, fault.code.number())).collect()
}

fn checked(name: &str) -> Checked {
    check::check_texts(&examples(name)).expect("the examples have no fault")
}

#[rstest]
#[case::fitters("fitters", "portal", &["burnie", "hobart", "launceston"], 3, 16_000, 60)]
#[case::harrowgate("harrowgate", "booking-desk", &["new-england-east"], 4, 32_000, 125)]
fn examples_carry_the_sizes_of_today(
    #[case] name: &str,
    #[case] service: &str,
    #[case] sites: &[&str],
    #[case] failure_domains: usize,
    #[case] processor_millicores: u64,
    #[case] memory_gigabytes: u64,
) {
    let checked = checked(name);
    let names: Vec<&str> = checked.sites.keys().map(|site| &**site).collect();
    assert_eq!(names, sites);
    let domains: usize = checked.sites.values().map(|site| site.sites.len()).max().unwrap_or(0);
    assert_eq!(domains, sites.len());
    let document = &checked.sites[sites[0]];
    assert_eq!(document.sites.values().map(|site| site.failure_domains.len()).sum::<usize>(), failure_domains);
    assert_eq!(checked.sites.values().map(|document| document.services[service].workers).sum::<u32>(), 11);
    for document in checked.sites.values() {
        let service = &document.services[service];
        assert_eq!((service.slots, service.connections), (8, 64));
    }
    for shape in document.sites.values().flat_map(|site| site.worker_shapes.values()) {
        assert_eq!((shape.workers_per_rack, shape.guards), (3, true));
        assert_eq!(shape.resources.processor_millicores, processor_millicores);
        assert_eq!(shape.resources.memory_bytes, memory_gigabytes * 1_000_000_000);
    }
}

#[rstest]
#[case::wrong_unit("/services/portal", "latency_target_s", json!(1), "$.services.portal.latency_target_s", Code::UnknownField)]
#[case::unknown("/colocation", "mood", json!(1), "$.colocation.mood", Code::UnknownField)]
#[case::unit_as_text("/services/portal", "latency_target_ms", json!("200ms"), "$.services.portal.latency_target_ms", Code::WrongType)]
#[case::fraction("/services/portal", "slots", json!(8.5), "$.services.portal.slots", Code::WrongType)]
#[case::negative("/services/portal", "slots", json!(-8), "$.services.portal.slots", Code::OutOfRange)]
#[case::no_slot("/services/portal", "slots", json!(0), "$.services.portal.slots", Code::OutOfRange)]
#[case::too_long("/services/portal", "queue_wait_ms", json!(u64::MAX), "$.services.portal.queue_wait_ms", Code::OutOfRange)]
#[case::share("/services/portal", "retry_budget_percent", json!(101), "$.services.portal.retry_budget_percent", Code::OutOfRange)]
#[case::null("/services/portal", "slots", Value::Null, "$.services.portal.slots", Code::WrongType)]
#[case::flag("/batch_kinds/mesh-orders", "may_evict", json!("yes"), "$.batch_kinds.mesh-orders.may_evict", Code::WrongType)]
#[case::method("/services/portal", "idempotent_methods", json!(["GET", "POST"]), "$.services.portal.idempotent_methods[1]", Code::OutOfRange)]
#[case::repeated("/services/portal", "idempotent_methods", json!(["GET", "GET"]), "$.services.portal.idempotent_methods[1]", Code::Duplicate)]
#[case::name("/services", "Portal 2", json!({}), "$.services[\"Portal 2\"]", Code::OutOfRange)]
#[case::no_domain("/sites/burnie", "failure_domains", json!([]), "$.sites.burnie.failure_domains", Code::OutOfRange)]
#[case::shared_domain("/sites/burnie", "failure_domains", json!(["hobart"]), "$.sites.hobart.failure_domains[0]", Code::Duplicate)]
#[case::connections("/services/portal", "connections", json!(7), "$.services.portal", Code::Contradiction)]
#[case::workers("/services/portal", "workers", json!(5), "$.services.portal", Code::Contradiction)]
#[case::thresholds("/colocation", "evict_at_percent", json!(90), "$.colocation", Code::Contradiction)]
#[case::hysteresis("/colocation", "resume_at_percent", json!(90), "$.colocation", Code::Contradiction)]
#[case::too_large("/batch_kinds/mesh-orders/resources", "accelerators", json!(1), "$.batch_kinds.mesh-orders.resources", Code::ExceedsWorker)]
fn a_wrong_value_in_the_base_is_refused(
    #[case] parent: &str,
    #[case] key: &str,
    #[case] value: Value,
    #[case] path: &str,
    #[case] code: Code,
) {
    let texts = edited("base", |base| base.pointer_mut(parent).expect("the parent exists")[key] = value);
    let expected = format!("base {path} {}", code.number());
    let places = places(&texts);
    assert!(places.contains(&expected), "{expected} isn't in {places:?}");
}

#[test]
fn a_field_with_another_unit_is_told_its_name() {
    let texts = edited("base", |base| base["services"]["portal"]["latency_target_s"] = json!(1));
    let texts: Vec<String> = faults(&texts).into_iter().map(|fault| fault.text).collect();
    assert_eq!(texts, ["the field is called latency_target_ms"]);
}

#[rstest]
#[case::unknown_site("darwin", json!({}), &["darwin $ 4106"])]
#[case::sites_stay("hobart", json!({ "sites": {} }), &["hobart $.sites 4102"])]
#[case::service("hobart", json!({ "services": { "desk": {} } }), &["hobart $.services.desk 4107"])]
#[case::team("hobart", json!({ "teams": { "night": {} } }), &["hobart $.teams.night 4107"])]
#[case::batch_kind("hobart", json!({ "batch_kinds": { "backup": {} } }), &["hobart $.batch_kinds.backup 4107"])]
#[case::removal("hobart", json!({ "teams": { "warranty": null } }), &["hobart $.teams.warranty 4104"])]
#[case::not_an_object("hobart", json!([]), &["hobart $ 4104"])]
#[case::own_threshold("hobart", json!({ "colocation": { "throttle_at_percent": 130 } }), &["hobart $.colocation 4110"])]
fn a_wrong_overlay_is_refused(#[case] site: &str, #[case] overlay: Value, #[case] expected: &[&str]) {
    assert_eq!(places(&edited(site, |value| *value = overlay)), expected);
}

#[test]
fn quotas_that_exceed_one_site_are_refused_there() {
    let teams = json!({ "warranty": { "quota": { "processor_millicores": 24_001 } } });
    assert_eq!(places(&edited("burnie", |value| value["teams"] = teams.clone())), ["burnie $.teams 4108"]);
    let fits = edited("launceston", |value| value["teams"] = teams);
    assert!(check::check_texts(&fits).is_ok(), "launceston has a worker more");
}

#[test]
fn quotas_that_overflow_are_refused() {
    let texts = edited("base", |base| {
        for team in ["supplier-orders", "warranty"] {
            base["teams"][team]["quota"]["memory_bytes"] = json!(1_u64 << 60);
        }
    });
    assert!(places(&texts).contains(&"base $.teams 4108".to_owned()));
}

#[test]
fn every_fault_of_every_document_is_found_at_once() {
    let mut texts = edited("base", |base| {
        base["services"]["portal"]["slots"] = json!("8");
        base["teams"]["warranty"]["quota"]["tasks"] = json!(1);
        base.as_object_mut().expect("an object").remove("colocation");
    });
    texts.insert("darwin".into(), "{}".to_owned());
    texts.insert("hobart".into(), "{ \"teams\": ".to_owned());
    texts.insert("burnie".into(), "{ \"teams\": {}, \"teams\": {} }".to_owned());
    let expected = [
        "base $.colocation 4103",
        "base $.services.portal.slots 4104",
        "base $.teams.warranty.quota.tasks 4102",
        "burnie $.teams 4111",
        "darwin $ 4106",
        "hobart $ 4101",
    ];
    assert_eq!(places(&texts), expected);
}

#[test]
fn the_base_document_is_required() {
    let mut texts = examples("fitters");
    texts.remove("base");
    assert_eq!(places(&texts), ["base $ 4103"]);
}

#[test]
fn documents_over_the_limit_are_refused() {
    let texts = edited("base", |base| {
        let service = base["services"]["portal"].clone();
        let each = service.to_string().len();
        for index in 0..=DOCUMENTS_LIMIT_BYTES / each {
            base["services"][format!("portal-{index}")] = service.clone();
        }
    });
    assert!(places(&texts).contains(&"base $ 4004".to_owned()));
}

#[test]
fn a_hostile_document_yields_a_bounded_list() {
    let texts = edited("base", |base| {
        for index in 0..5_000 {
            base[format!("field-{index}")] = json!(0);
        }
    });
    let faults = faults(&texts);
    assert_eq!(faults.len(), 201);
    assert_eq!(faults[200].text, "4800 further faults aren't listed");
}

#[test]
fn long_names_leave_a_short_list() {
    let mut texts = examples("fitters");
    let fields: BTreeMap<String, u8> = (0..300).map(|index| (format!("field-{index}"), 0)).collect();
    texts.insert("x".repeat(100_000).into(), json!(fields).to_string());
    let listed = serde_json::to_string(&faults(&texts)).expect("faults are JSON");
    assert!(listed.len() < 200_000, "{} bytes", listed.len());
}

#[test]
fn deep_nesting_is_refused_as_no_json() {
    let mut texts = examples("fitters");
    texts.insert("hobart".into(), "[".repeat(100_000));
    assert_eq!(places(&texts), ["hobart $ 4101"]);
}

/// The checked form and the typed form of a document have the same fields.
#[rstest]
#[case::fitters("fitters")]
#[case::harrowgate("harrowgate")]
fn the_checked_form_is_the_typed_form(#[case] name: &str) {
    let checked = checked(name);
    for (site, document) in &checked.sites {
        let typed = serde_json::to_value(document).expect("documents are JSON");
        assert_eq!(typed, checked.documents.merged(site));
    }
}

#[test]
fn a_contradiction_is_reported_once_and_where_it_was_written() {
    let mut texts = edited("base", |base| base["services"]["portal"]["connections"] = json!(7));
    texts.insert("hobart".into(), json!({ "services": { "portal": { "queue_limit": 4 } } }).to_string());
    assert_eq!(places(&texts), ["base $.services.portal 4110"]);
    texts.insert("hobart".into(), json!({ "services": { "portal": { "connections": 6 } } }).to_string());
    assert_eq!(places(&texts), ["base $.services.portal 4110", "hobart $.services.portal 4110"]);
}

/// Every path of a value, as JSON pointers.
fn pointers(value: &Value, pointer: &str, found: &mut Vec<String>) {
    found.push(pointer.to_owned());
    let keys: Vec<String> = match value {
        Value::Object(object) => object.keys().cloned().collect(),
        Value::Array(list) => (0..list.len()).map(|index| index.to_string()).collect(),
        _ => Vec::new(),
    };
    for key in keys {
        let below = format!("{pointer}/{key}");
        pointers(value.pointer(&below[pointer.len()..]).unwrap_or(&Value::Null), &below, found);
    }
}

/// Whatever the checked form lets pass, the typed form takes: the typed parse never has to report a fault.
#[test]
fn the_bounds_of_the_checked_form_fit_the_types() {
    let base: Value = serde_json::from_str(&examples("fitters")["base"]).expect("JSON");
    let mut places = Vec::new();
    pointers(&base, "", &mut places);
    for place in places.iter().filter(|place| base.pointer(place).is_some_and(Value::is_u64)) {
        for number in [0, 1 << 8, 1 << 16, 1 << 32, 1 << 60, u64::MAX] {
            let texts = edited("base", |base| *base.pointer_mut(place).expect("the place was found") = json!(number));
            let faults = check::check_texts(&texts).err().unwrap_or_default();
            let untyped = faults.iter().find(|fault| fault.code == Code::ConfigurationInvalid);
            assert_eq!(untyped, None, "{place} = {number}");
        }
    }
}

fn hostile() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        (0_u64..300).prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        any::<String>().prop_map(Value::from),
        Just(json!(["GET"])),
    ];
    leaf.prop_recursive(2, 8, 3, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..3).prop_map(Value::from),
            prop::collection::btree_map(any::<String>(), inner, 0..3).prop_map(|fields| json!(fields)),
        ]
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever replaces a value, the check ends, and what it passes is what the typed form holds.
    #[test]
    fn a_replaced_value_is_refused_or_typed(
        document in prop::sample::select(vec!["base", "hobart", "launceston", "burnie"]),
        place in any::<prop::sample::Index>(),
        value in hostile(),
    ) {
        let texts = edited(document, |whole| {
            let mut places = Vec::new();
            pointers(whole, "", &mut places);
            *whole.pointer_mut(&places[place.index(places.len())]).expect("the place was found") = value;
        });
        if let Ok(checked) = check::check_texts(&texts) {
            for (site, document) in &checked.sites {
                let typed = serde_json::to_value(document).expect("documents are JSON");
                prop_assert_eq!(typed, checked.documents.merged(site));
            }
        }
    }
}
