//! `chervilledge status` and `chervilledge dump`.

#[allow(dead_code, reason = "each test file uses its part")]
#[path = "support/entry.rs"]
mod entry;
#[allow(dead_code, reason = "each test file uses its part")]
#[path = "support/work_dir.rs"]
mod work_dir;

use std::time::Duration;

use chervilledge_operator::status::Status;
use chervilledge_policy::id::BootId;
use chervilledge_policy::rollout::{Checksum, FleetVersions, Process, Rollout, Source, Stamp};
use entry::Fixture;
use serde_json::json;
use work_dir::WorkDir;

const ENFORCED: Stamp = Stamp { version: 7, checksum: Checksum(0xab) };

fn fleet() -> FleetVersions {
    let mut fleet = FleetVersions::new();
    let mut observe = |name: &str, stamp| {
        fleet.observe(Duration::from_secs(1), Process { name: name.into(), boot: BootId(1) }, stamp);
    };
    observe("agent-1", Some(ENFORCED));
    observe("agent-2", Some(Stamp { version: 6, checksum: Checksum(1) }));
    observe("agent-3", None);
    fleet
}

fn status(rollout: &Rollout) -> serde_json::Value {
    json!(Status::new(Duration::from_secs(3), rollout, &fleet()))
}

#[test]
fn lagging_processes_are_named() {
    let mut rollout = Rollout::new();
    rollout.offer(ENFORCED, Source::Table);
    rollout.offer(Stamp { checksum: Checksum(0xcd), ..ENFORCED }, Source::Peer);
    let entry = Fixture::bind(status(&rollout));
    let dir = WorkDir::new("status_lagging");
    let options = entry.options(&dir);
    let run = dir.run(&format!("status {options}"));
    assert_eq!((run.status, run.err.as_str()), (0, ""));
    let expected = "\
Version 7 (00000000000000ab) is in force at 1 of 3 processes.
Refused 7@00000000000000cd: the same version with other documents.
LAGGING PROCESS           BOOT               VERSION   SILENT MS
agent-2                   0000000000000001         6        2000
agent-3                   0000000000000001      none        2000
";
    assert_eq!(run.out, expected);
    assert_eq!(dir.run(&format!("status {options} --json")).json(), status(&rollout));
}

#[test]
fn an_entry_without_a_version_says_so() {
    let entry = Fixture::bind(status(&Rollout::new()));
    let dir = WorkDir::new("status_none");
    let run = dir.run(&format!("status {}", entry.options(&dir)));
    assert_eq!(run.out, "The entry knows no accepted version and takes no work.\n");
}

#[test]
fn the_state_of_a_process_is_printed() {
    let entry = Fixture::bind(json!(null));
    let dir = WorkDir::new("dump");
    let options = entry.options(&dir);
    assert_eq!(dir.run(&format!("dump {options}")).out, "{\n  \"role\": \"entry\"\n}\n");
    assert_eq!(dir.run(&format!("dump {options} --json")).out, "{\"role\":\"entry\"}\n");
}
