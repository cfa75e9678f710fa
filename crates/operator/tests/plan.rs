//! Plans as the text that operators review.

#[expect(dead_code, reason = "the acceptance tests use the rest")]
#[path = "support/fitters.rs"]
mod fitters;

use std::collections::BTreeMap;

use chervilledge_operator::documents::{Accepted, Documents};
use chervilledge_operator::plan::Plan;
use chervilledge_policy::rollout::Checksum;
use fitters::fitters;
use rstest::rstest;
use serde_json::{Value, json};

fn accepted(version: u64, documents: Documents) -> Accepted {
    Accepted {
        version,
        checksum: documents.checksum(),
        documents,
        accepted_by: "ana".into(),
        accepted_at: "2026-01-01T00:00:00Z".into(),
        plan: Checksum(1),
    }
}

fn lines(edit: impl FnOnce(&mut Documents)) -> Vec<String> {
    let mut proposed = fitters();
    edit(&mut proposed);
    Plan::new(Some(&accepted(6, fitters())), &proposed).changes.iter().map(ToString::to_string).collect()
}

fn overlay(documents: &mut Documents, site: &str, value: Value) {
    documents.overlays.insert(site.into(), value);
}

#[test]
fn a_change_of_the_base_holds_at_every_site() {
    let lines = lines(|documents| documents.base["services"]["portal"]["latency_target_ms"] = json!(150));
    assert_eq!(lines, ["~ services.portal.latency_target_ms: 200 -> 150 (every site)"]);
}

#[test]
fn a_site_whose_overlay_hides_the_change_is_left_out() {
    let lines = lines(|documents| documents.base["colocation"]["throttle_at_percent"] = json!(80));
    assert_eq!(lines, ["~ colocation.throttle_at_percent: 90 -> 80 (burnie, hobart)"]);
}

#[test]
fn sites_with_different_values_have_a_line_each() {
    let lines = lines(|documents| {
        documents.base["services"]["portal"]["slots"] = json!(9);
        overlay(documents, "launceston", json!({ "services": { "portal": { "slots": 7 } } }));
    });
    let expected = [
        "~ colocation.throttle_at_percent: 85 -> 90 (launceston)",
        "~ services.portal.slots: 8 -> 9 (burnie, hobart)",
        "~ services.portal.slots: 8 -> 7 (launceston)",
    ];
    assert_eq!(lines, expected);
}

#[test]
fn additions_and_removals_are_marked() {
    let lines = lines(|documents| {
        documents.base["teams"]["night"] = json!({ "quota": { "running_tasks": 1 } });
        documents.base["batch_kinds"].as_object_mut().expect("an object").remove("warranty-filing");
    });
    let (removed, rest) = lines.split_at(8);
    assert!(removed.iter().all(|line| line.starts_with("- batch_kinds.warranty-filing.")), "{removed:?}");
    assert_eq!(rest, ["+ teams.night.quota.running_tasks: 1 (every site)"]);
}

#[test]
fn a_change_of_the_sites_is_listed_once() {
    let lines = lines(|documents| {
        documents.base["sites"]["hobart"]["worker_shapes"]["cores-16"]["workers"] = json!(5);
    });
    assert_eq!(lines, ["~ sites.hobart.worker_shapes.cores-16.workers: 4 -> 5"]);
}

#[test]
fn a_new_site_lists_all_that_it_gets() {
    let lines = lines(|documents| {
        documents.base["sites"]["darwin"] = documents.base["sites"]["burnie"].clone();
    });
    assert!(lines.contains(&"+ services.portal.slots: 8 (darwin)".to_owned()), "{lines:?}");
    assert!(lines.iter().all(|line| line.ends_with(" (darwin)") || line.starts_with("+ sites.darwin.")));
}

#[test]
fn the_first_plan_lists_everything() {
    let plan = Plan::new(None, &fitters());
    assert_eq!((plan.number, plan.base), (1, None));
    let text = plan.to_string();
    assert!(text.contains(" against no accepted version\n"), "{text}");
    assert!(text.contains("+ services.portal.connections: 64 (every site)\n"), "{text}");
}

#[test]
fn the_text_names_number_checksum_and_base() {
    let base = accepted(6, fitters());
    let mut proposed = fitters();
    proposed.base["services"]["portal"]["priority"] = json!(8);
    let plan = Plan::new(Some(&base), &proposed);
    let expected = format!(
        "Plan 7 checksum {} against version 6 ({})\n~ services.portal.priority: 9 -> 8 (every site)\n1 change.\n",
        plan.checksum, base.checksum
    );
    assert_eq!(plan.to_string(), expected);
}

#[rstest]
#[case::other_version(accepted(7, fitters()), fitters())]
#[case::other_documents(accepted(6, fitters()), Documents { overlays: BTreeMap::new(), ..fitters() })]
fn the_checksum_depends_on_base_and_documents(#[case] base: Accepted, #[case] proposed: Documents) {
    let plan = Plan::new(Some(&accepted(6, fitters())), &fitters());
    assert_ne!(Plan::new(Some(&base), &proposed).checksum, plan.checksum);
}

#[test]
fn equal_documents_make_an_empty_plan() {
    let plan = Plan::new(Some(&accepted(6, fitters())), &fitters());
    assert_eq!(plan.changes, []);
    assert!(plan.to_string().ends_with("No changes.\n"));
}

#[test]
fn a_plan_is_read_back_as_it_was_written() {
    let plan = Plan::new(None, &fitters());
    let text = serde_json::to_string(&plan).expect("plans are JSON");
    assert_eq!(serde_json::from_str::<Plan>(&text).expect("the plan is read back"), plan);
}
