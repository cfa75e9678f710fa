//! `docs/ERRORS.md` lists every result code, in order, as the program has it.

use std::fs;
use std::path::Path;

use chervilledge::cmd::exit_status;
use chervilledge_policy::code::Code;

/// Rows of the page's tables without cause and remedy.
fn documented() -> Vec<String> {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/ERRORS.md");
    let page = fs::read_to_string(page).expect("the page is there");
    let rows = page.lines().filter(|line| line.starts_with("| ") && !line.starts_with("| code |"));
    rows.map(|row| row.rsplitn(3, " | ").last().unwrap_or_default().to_owned()).collect()
}

#[test]
fn the_page_lists_every_code() {
    let expected: Vec<String> =
        Code::ALL.iter().map(|code| format!("| {} | `{code:?}` | {}", code.number(), code.text())).collect();
    assert_eq!(documented(), expected, "docs/ERRORS.md and Code::ALL differ");
}

#[test]
fn every_row_has_a_cause_and_a_remedy() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/ERRORS.md");
    let page = fs::read_to_string(page).expect("the page is there");
    for row in page.lines().filter(|line| line.starts_with("| ")) {
        assert_eq!(row.split(" | ").count(), 5, "{row}");
        assert!(row.split(" | ").all(|cell| cell.trim_matches(['|', ' ']).len() > 1), "{row}");
    }
}

#[test]
fn numbers_are_distinct_and_in_order() {
    assert!(Code::ALL.is_sorted_by(|left, right| left.number() < right.number()));
}

#[test]
fn exit_statuses_follow_the_page() {
    assert_eq!((exit_status(Code::PlanConflict), exit_status(Code::NotJson)), (42, 49));
    assert!(Code::ALL.iter().all(|code| exit_status(*code) != 0));
}

/// Names of the events that a source file logs as warnings or errors.
fn alarms(source: &str) -> Vec<&str> {
    let logs = ["log::warn!(", "log::error!("].into_iter().flat_map(|log| source.split(log).skip(1));
    logs.filter_map(|log| log.trim_start().strip_prefix("event = \"")?.split('"').next()).collect()
}

#[test]
fn the_page_for_operators_has_every_alarm() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = fs::read_to_string(root.join("docs/OPERATIONS.md")).expect("the page is there");
    let sources = ["src/agent.rs", "src/entry.rs", "src/rollout.rs", "src/entry", "src/agent", "crates/operator/src"];
    let mut found = 0;
    for source in sources.iter().flat_map(|path| files(&root.join(path))) {
        for event in alarms(&source) {
            found += 1;
            assert!(page.contains(&format!("`{event}`")), "docs/OPERATIONS.md lacks {event}");
        }
    }
    assert!(found > 10, "only {found} alarms were found");
}

/// Texts of a file, or of the files in a directory.
fn files(path: &Path) -> Vec<String> {
    if path.is_file() {
        return vec![fs::read_to_string(path).expect("a source file")];
    }
    let entries = fs::read_dir(path).expect("a directory of sources");
    let paths = entries.map(|entry| entry.expect("an entry").path());
    paths.filter(|path| path.is_file()).map(|path| fs::read_to_string(path).expect("a source file")).collect()
}
