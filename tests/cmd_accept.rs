//! `chervilledge accept` and `chervilledge history`.

#[allow(dead_code, reason = "each test file uses its part")]
#[path = "support/entry.rs"]
mod entry;
#[allow(dead_code, reason = "each test file uses its part")]
#[path = "support/work_dir.rs"]
mod work_dir;

use std::net::TcpListener;

use entry::Fixture;
use entry::table::Fate;
use serde_json::{Value, json};
use work_dir::{Run, WorkDir};

/// Directory with a first plan, and an entry that has accepted nothing yet.
fn planned(name: &str) -> (WorkDir, Fixture, String) {
    let dir = WorkDir::with_fitters(name);
    let entry = Fixture::bind(Value::Null);
    let options = entry.options(&dir);
    assert_eq!(dir.run("plan documents --first --output plan.json").status, 0);
    (dir, entry, options)
}

fn accept(dir: &WorkDir, plan: &str, options: &str, operator: &str) -> Run {
    dir.run(&format!("accept {plan} {options} --operator {operator}"))
}

#[test]
fn an_accepted_plan_is_in_the_history() {
    let (dir, _entry, options) = planned("accept_history");
    assert_eq!(dir.run(&format!("history {options}")).out, "No version is accepted yet.\n");
    let run = accept(&dir, "plan.json", &options, "ana");
    assert_eq!((run.status, run.err.as_str()), (0, ""));
    assert!(run.out.starts_with("Version 1 accepted by ana at 20"), "{}", run.out);
    let list = dir.run(&format!("history {options} --json")).json();
    assert_eq!(list["versions"][0]["accepted_by"], json!("ana"));
    let list = dir.run(&format!("history {options} --newest 1")).out;
    assert!(
        list.lines().nth(1).is_some_and(|line| line.starts_with("       1  ") && line.ends_with("Z  ana")),
        "{list}"
    );
    assert_eq!(dir.run(&format!("history 2 {options}")).status, 46);
}

#[test]
fn the_loser_of_a_race_learns_the_winner() {
    let (dir, entry, options) = planned("accept_race");
    dir.edit("documents/base.json", |base| base["services"]["portal"]["priority"] = json!(8));
    dir.run("plan documents --first --output rival.json");
    assert_eq!(accept(&dir, "plan.json", &options, "ana").status, 0);
    let run = accept(&dir, "rival.json", &options, "eva");
    assert_eq!(run.status, 42);
    assert!(run.err.contains("another plan was accepted first (4002): version 1 by ana at 20"), "{}", run.err);
    let answer = dir.run(&format!("accept rival.json {options} --operator eva --json")).json();
    assert_eq!((&answer["code"], &answer["detail"]["winner"]["accepted_by"]), (&json!(4002), &json!("ana")));
    assert_eq!(entry.table.taken().len(), 1);
}

#[test]
fn repeating_an_acceptance_answers_the_same() {
    let (dir, entry, options) = planned("accept_repeat");
    let first = accept(&dir, "plan.json", &options, "ana");
    assert_eq!(accept(&dir, "plan.json", &options, "ana").out, first.out);
    assert_eq!(entry.table.taken().len(), 1);
}

#[test]
fn an_unknown_outcome_is_resolved_by_the_command() {
    let (dir, entry, options) = planned("accept_unknown");
    entry.table.plan([Fate::Done, Fate::LostReply, Fate::Refused, Fate::Refused, Fate::Refused]);
    let run = accept(&dir, "plan.json", &options, "ana");
    assert_eq!((run.status, entry.table.taken().len()), (0, 1), "{}", run.err);
}

#[test]
fn an_outcome_that_stays_unknown_is_said_so() {
    let (dir, entry, options) = planned("accept_stays_unknown");
    entry.table.plan([vec![Fate::Done, Fate::LostReply], vec![Fate::Refused; 11]].concat());
    let run = accept(&dir, "plan.json", &options, "ana");
    assert_eq!(run.status, 52, "{}", run.err);
    assert_eq!(accept(&dir, "plan.json", &options, "ana").status, 0, "the table is back");
}

#[test]
fn an_outage_changes_nothing() {
    let (dir, entry, options) = planned("accept_outage");
    entry.table.plan([Fate::Refused; 4]);
    let run = accept(&dir, "plan.json", &options, "ana");
    assert_eq!((run.status, entry.table.taken().len()), (51, 0), "{}", run.err);
}

#[test]
fn an_entry_that_breaks_off_leaves_the_outcome_unknown() {
    let (dir, _entry, _) = planned("accept_broken_off");
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = silent.local_addr().expect("an address");
    std::thread::spawn(move || silent.incoming().for_each(drop));
    let run = accept(&dir, "plan.json", &format!("--entry {address} --secret-file secret"), "ana");
    assert_eq!(run.status, 52, "{}", run.err);
}

#[test]
fn an_entry_that_is_away_was_sent_nothing() {
    let (dir, _entry, _) = planned("accept_away");
    let run = accept(&dir, "plan.json", "--entry 127.0.0.1:1 --secret-file secret", "ana");
    assert_eq!(run.status, 69, "{}", run.err);
}

#[test]
fn a_wrong_secret_changes_nothing() {
    let (dir, entry, options) = planned("accept_secret");
    dir.write("secret", "another-secret-0123456789");
    let run = accept(&dir, "plan.json", &options, "ana");
    assert_eq!((run.status, entry.table.taken().len()), (63, 0));
    assert!(!run.err.contains("another-secret"), "{}", run.err);
}

#[test]
fn a_plan_whose_documents_were_changed_is_refused() {
    let (dir, entry, options) = planned("accept_changed");
    dir.edit("plan.json", |file| file["documents"]["base"]["services"]["portal"]["slots"] = json!(9));
    let away = "--entry 127.0.0.1:1 --secret-file secret";
    assert_eq!(accept(&dir, "plan.json", away, "ana").status, 45, "the command compares the documents itself");
    dir.run("plan documents --first --output plan.json");
    dir.edit("plan.json", |file| file["plan"]["checksum"] = json!("0000000000000001"));
    assert_eq!(accept(&dir, "plan.json", &options, "ana").status, 45, "the entry compares the plan itself");
    assert_eq!(entry.table.taken().len(), 0);
}
