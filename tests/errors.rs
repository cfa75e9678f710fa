//! `docs/ERRORS.md` lists every result code, in order, as the program has it.

use std::fs;
use std::path::Path;

use chervilledge::cmd::exit_status;
use chervilledge_policy::code::Code;

/// Rows of the page's tables without the last column.
fn documented() -> Vec<String> {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/ERRORS.md");
    let page = fs::read_to_string(page).expect("the page is there");
    let rows = page.lines().filter(|line| line.starts_with("| ") && !line.starts_with("| code |"));
    rows.map(|row| row.rsplit_once(" | ").unwrap_or_default().0.to_owned()).collect()
}

#[test]
fn the_page_lists_every_code() {
    let expected: Vec<String> =
        Code::ALL.iter().map(|code| format!("| {} | `{code:?}` | {}", code.number(), code.text())).collect();
    assert_eq!(documented(), expected, "docs/ERRORS.md and Code::ALL differ");
}

#[test]
fn every_row_has_a_meaning() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/ERRORS.md");
    let page = fs::read_to_string(page).expect("the page is there");
    for row in page.lines().filter(|line| line.starts_with("| ")) {
        assert_eq!(row.split(" | ").count(), 4, "{row}");
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
