//! `chervilledge check`, and what all subcommands share.

#[allow(dead_code, reason = "each test file uses its part")]
#[path = "support/work_dir.rs"]
mod work_dir;

use rstest::rstest;
use serde_json::json;
use work_dir::WorkDir;

#[test]
fn documents_without_fault_pass() {
    let dir = WorkDir::with_fitters("check_pass");
    let run = dir.run("check documents");
    assert_eq!((run.status, run.err.as_str()), (0, ""));
    assert!(run.out.ends_with("sites: burnie, hobart, launceston.\n"), "{}", run.out);
    assert_eq!(dir.run("check documents --json").json()["sites"], json!(["burnie", "hobart", "launceston"]));
}

#[test]
fn every_fault_is_listed_and_the_status_is_the_code() {
    let dir = WorkDir::with_fitters("check_faults");
    dir.edit("documents/base.json", |base| base["services"]["portal"]["slots"] = json!("8"));
    dir.write("documents/darwin.json", "{}");
    let run = dir.run("check documents");
    assert_eq!((run.status, run.out.as_str()), (41, ""));
    let lines: Vec<&str> = run.err.lines().collect();
    assert_eq!(lines.len(), 3, "{}", run.err);
    assert!(lines[1].starts_with("base.json $.services.portal.slots: wrong type (4104): "), "{}", run.err);
    assert!(lines[2].starts_with("darwin.json $: unknown site (4106): "), "{}", run.err);
}

#[test]
fn faults_are_written_for_scripts() {
    let dir = WorkDir::with_fitters("check_json");
    dir.write("documents/darwin.json", "{}");
    let run = dir.run("check documents --json");
    assert_eq!(run.status, 41);
    let answer = run.json();
    assert_eq!(answer["code"], json!(4001));
    assert_eq!(answer["detail"]["faults"][0]["document"], json!("darwin"));
}

#[rstest]
#[case::no_directory("check absent", 69)]
#[case::no_argument("check", 61)]
#[case::two_arguments("check one two", 61)]
#[case::unknown_option("check documents --force", 61)]
#[case::unknown_command("migrate", 61)]
#[case::no_command("", 61)]
#[case::no_entry("status", 61)]
#[case::entry_by_name("status --entry localhost:7100 --secret-file secret", 61)]
#[case::no_secret_file("status --entry 127.0.0.1:1 --secret-file absent", 62)]
fn a_wrong_command_line_is_refused(#[case] arguments: &str, #[case] status: i32) {
    let name = format!("check_usage_{}", arguments.replace([' ', ':', '.'], "_"));
    let run = WorkDir::with_fitters(&name).run(arguments);
    assert_eq!(run.status, status, "{}", run.err);
    assert!(!run.err.is_empty());
}

#[rstest]
#[case("accept")]
#[case("cancel")]
#[case("check")]
#[case("drain")]
#[case("dump")]
#[case("explain")]
#[case("history")]
#[case("jobs")]
#[case("plan")]
#[case("status")]
#[case("submit")]
#[case("workers")]
fn every_command_has_a_help_with_an_example(#[case] command: &str) {
    let dir = WorkDir::new(&format!("help_{command}"));
    let run = dir.run(&format!("{command} --help"));
    assert_eq!((run.status, run.err.as_str()), (0, ""));
    assert!(run.out.contains(&format!("Example:\n    chervilledge {command}")), "{}", run.out);
    assert!(dir.run("--help").out.contains(&format!("\n    {command} ")), "{command} isn't listed");
}
