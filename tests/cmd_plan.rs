//! `chervilledge plan`.

#[allow(dead_code, reason = "each test file uses its part")]
#[path = "support/entry.rs"]
mod entry;
#[allow(dead_code, reason = "each test file uses its part")]
#[path = "support/work_dir.rs"]
mod work_dir;

use entry::Fixture;
use rstest::rstest;
use serde_json::{Value, json};
use work_dir::WorkDir;

#[test]
fn the_first_plan_needs_no_entry() {
    let dir = WorkDir::with_fitters("plan_first");
    let run = dir.run("plan documents --first --output plan.json");
    assert_eq!((run.status, run.err.as_str()), (0, ""));
    assert!(run.out.starts_with("Plan 1 checksum "), "{}", run.out);
    assert!(run.out.contains("\n+ services.portal.slots: 8 (every site)\n"), "{}", run.out);
    assert!(dir.has("plan.json"));
}

#[test]
fn a_plan_shows_what_changes_where() {
    let dir = WorkDir::with_fitters("plan_changes");
    let entry = Fixture::bind(Value::Null);
    let options = entry.options(&dir);
    dir.run("plan documents --first --output first.json");
    assert_eq!(dir.run(&format!("accept first.json {options} --operator ana")).status, 0);
    dir.edit("documents/base.json", |base| base["services"]["portal"]["latency_target_ms"] = json!(150));
    dir.edit("documents/hobart.json", |overlay| {
        overlay["services"] = json!({ "portal": { "latency_target_ms": 200 } });
    });
    let run = dir.run(&format!("plan documents {options} --output second.json"));
    assert_eq!(run.status, 0, "{}", run.err);
    let lines: Vec<&str> = run.out.lines().skip(1).collect();
    assert_eq!(lines, ["~ services.portal.latency_target_ms: 200 -> 150 (burnie, launceston)", "1 change."]);
    assert!(dir.has("second.json"));

    dir.write("version-1.json", &dir.run(&format!("history 1 {options}")).out);
    assert_eq!(dir.run("plan documents --against version-1.json").out, run.out, "offline as online");
}

#[test]
fn nothing_to_change_writes_no_plan() {
    let dir = WorkDir::with_fitters("plan_empty");
    let entry = Fixture::bind(Value::Null);
    let options = entry.options(&dir);
    dir.run("plan documents --first --output first.json");
    dir.run(&format!("accept first.json {options} --operator ana"));
    let run = dir.run(&format!("plan documents {options} --output second.json"));
    assert_eq!((run.status, run.out.lines().last()), (0, Some("No changes.")));
    assert!(!dir.has("second.json"));
}

#[rstest]
#[case::no_base("", 61)]
#[case::two_bases("--first --against version.json", 61)]
#[case::base_without_json("--against documents/README.md", 62)]
#[case::no_such_base("--against absent.json", 69)]
fn a_plan_needs_one_base(#[case] options: &str, #[case] status: i32) {
    let name = format!("plan_base_{}", options.replace([' ', '/', '.'], "_"));
    let run = WorkDir::with_fitters(&name).run(&format!("plan documents {options}"));
    assert_eq!(run.status, status, "{}", run.err);
}

#[test]
fn a_changed_base_is_refused() {
    let dir = WorkDir::with_fitters("plan_changed_base");
    let entry = Fixture::bind(Value::Null);
    let options = entry.options(&dir);
    dir.run("plan documents --first --output first.json");
    dir.run(&format!("accept first.json {options} --operator ana"));
    dir.write("version.json", &dir.run(&format!("history 1 {options}")).out);
    dir.edit("version.json", |version| version["documents"]["base"]["services"]["portal"]["slots"] = json!(9));
    assert_eq!(dir.run("plan documents --against version.json").status, 62);
}

#[test]
fn documents_with_faults_make_no_plan() {
    let dir = WorkDir::with_fitters("plan_faults");
    dir.write("documents/darwin.json", "{}");
    let run = dir.run("plan documents --first --output plan.json");
    assert_eq!((run.status, dir.has("plan.json")), (41, false));
}
