//! Settings are refused whole, each fault with its JSON path, and the exit status says so.

mod harness;

use std::process::{Command, Output};

use harness::cluster::any_port;
use harness::{WorkDir, agent_settings, entry_settings, state};
use rstest::rstest;
use serde_json::{Value, json};

const ENTRY: &str = env!("CARGO_BIN_EXE_chervilledge-entry");
const AGENT: &str = env!("CARGO_BIN_EXE_chervilledge-agent");

fn entry() -> Value {
    entry_settings("entry-1", any_port())
}

fn agent() -> Value {
    agent_settings("worker-1", &[any_port()], any_port())
}

/// Every bound with its default.
fn bounds() -> Value {
    json!({
        "heartbeat_interval_ms": 500, "link_silence_ms": 1600, "link_backoff_max_ms": 2000, "request_timeout_ms": 10000,
        "request_timeout_max_ms": 300_000, "drain_timeout_ms": 300_000, "head_bytes_max": 16_384,
        "body_bytes_max": 67_108_864, "inline_body_bytes_max": 65_536, "caller_connections_max": 4096,
        "callers_bytes_max": 150_994_944, "agent_queue_max": 16,
    })
}

/// Runs a daemon with `--check` over a text.
fn check(program: &str, text: &str) -> (i32, String) {
    let directory = WorkDir::new();
    let file = directory.path().join("settings.json");
    std::fs::write(&file, text).expect("write settings");
    result(Command::new(program).arg("--settings").arg(&file).arg("--check").output().expect("start"))
}

fn result(output: Output) -> (i32, String) {
    assert_eq!(String::from_utf8_lossy(&output.stdout), "", "nothing is printed for scripts");
    (output.status.code().unwrap_or(-1), String::from_utf8(output.stderr).expect("text"))
}

/// Settings of an entry with one value replaced; `null` takes the field away.
fn changed(mut settings: Value, pointer: &str, value: Value) -> Value {
    let (parent, field) = pointer.rsplit_once('/').expect("a pointer");
    let parent = settings.pointer_mut(parent).and_then(Value::as_object_mut).expect("an object");
    if value.is_null() {
        parent.remove(field);
    } else {
        parent.insert(field.to_owned(), value);
    }
    settings
}

#[test]
fn settings_without_fault_pass() {
    assert_eq!(check(ENTRY, &entry().to_string()), (0, String::new()));
    assert_eq!(check(AGENT, &agent().to_string()), (0, String::new()));
}

#[test]
fn every_field_is_known() {
    let directory = WorkDir::new();
    for (program, settings) in [(ENTRY, entry()), (AGENT, agent())] {
        let settings = changed(settings, "/bounds", bounds());
        let settings = changed(settings, "/log_directory", json!(directory.path()));
        assert_eq!(check(program, &settings.to_string()), (0, String::new()));
    }
    let mut without = entry();
    without["links_advertised_address"] = Value::Null;
    without["log_directory"] = Value::Null;
    assert_eq!(check(ENTRY, &without.to_string()), (0, String::new()), "null stands for an absent field");
    let advertised = changed(entry(), "/links_advertised_address", json!("10.1.0.5:7200"));
    assert_eq!(check(ENTRY, &advertised.to_string()), (0, String::new()));
}

/// Fields of an object and of the objects in it.
fn fields(value: &Value) -> Vec<String> {
    let Some(object) = value.as_object() else { return Vec::new() };
    object.iter().flat_map(|(name, value)| [vec![name.clone()], fields(value)].concat()).collect()
}

#[test]
fn the_page_for_operators_has_every_field() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/OPERATIONS.md");
    let page = std::fs::read_to_string(page).expect("the page is there");
    for field in [fields(&entry()), fields(&agent()), fields(&bounds())].concat() {
        let forms = [format!("`{field}`"), format!(".{field}`"), format!("{field}.")];
        assert!(forms.iter().any(|form| page.contains(form)), "the page lacks {field}");
    }
}

#[rstest]
#[case::missing("/site", Value::Null, "$.site: missing field (4103)")]
#[case::empty("/name", json!(""), "$.name: out of range (4105)")]
#[case::host_name("/platform_address", json!("localhost:7100"), "$.platform_address: wrong type (4104)")]
#[case::no_port("/links_address", json!("127.0.0.1"), "$.links_address: wrong type (4104)")]
#[case::number("/callers_address", json!(7100), "$.callers_address: wrong type (4104)")]
#[case::unknown("/port", json!(1), "$.port: unknown field (4102)")]
#[case::no_secret("/link_secrets", json!([]), "$.link_secrets: out of range (4105)")]
#[case::bare_secret("/link_secrets", json!(["hidden-0123456789"]), "$.link_secrets[0]: wrong type (4104)")]
#[case::secret_as_list("/operator_secrets", json!("hidden-0123456789"), "$.operator_secrets: wrong type (4104)")]
#[case::secret_field("/link_secrets", json!([{ "text": "hidden-0123456789" }]), "$.link_secrets[0].text: unknown field")]
#[case::short_secret("/link_secrets", json!([{ "value": "hidden-012" }]), "$.link_secrets: secret 0 must have 16")]
#[case::secret_file("/operator_secrets", json!([{ "file": "/absent" }]), "$.operator_secrets: secret file /absent")]
#[case::unit("/bounds", json!({ "drain_timeout_s": 5 }), "$.bounds.drain_timeout_s: unknown field (4102): the field is \
         called drain_timeout_ms")]
#[case::zero("/bounds", json!({ "heartbeat_interval_ms": 0 }), "$.bounds.heartbeat_interval_ms: out of range (4105)")]
#[case::negative("/bounds", json!({ "link_silence_ms": -1 }), "$.bounds.link_silence_ms: out of range (4105)")]
#[case::fraction("/bounds", json!({ "link_silence_ms": 1.5 }), "$.bounds.link_silence_ms: wrong type (4104)")]
#[case::too_large("/bounds", json!({ "request_timeout_ms": u64::MAX }), "$.bounds.request_timeout_ms: out of range")]
#[case::contradiction("/bounds", json!({ "link_silence_ms": 700 }), "$.bounds.link_silence_ms: is less than two heartbeat")]
#[case::no_room_for_a_body("/bounds", json!({ "callers_bytes_max": 65_536 }), "$.bounds.callers_bytes_max: is less than twice \
         inline_body_bytes_max")]
fn a_fault_of_an_entry_is_named(#[case] pointer: &str, #[case] value: Value, #[case] expected: &str) {
    let (status, text) = check(ENTRY, &changed(entry(), pointer, value).to_string());
    assert_eq!(status, 2, "{text}");
    assert!(text.contains(expected), "{text}");
    assert!(!text.contains("hidden-0123456789"), "no secret is quoted: {text}");
}

#[rstest]
#[case::no_entry("/entry_addresses", json!([]), "$.entry_addresses: out of range (4105)")]
#[case::second_address("/entry_addresses", json!(["10.0.0.1:1", "x"]), "$.entry_addresses[1]: wrong type (4104)")]
#[case::no_slot("/capacity/slots", json!(0), "$.capacity.slots: out of range (4105)")]
#[case::connections("/capacity/connections", json!(2), "$.capacity.connections: is less than slots")]
#[case::memory("/capacity/resources/memory_bytes", json!("60 GB"), "$.capacity.resources.memory_bytes: wrong type (4104)")]
#[case::no_memory("/capacity/resources/memory_bytes", Value::Null, "$.capacity.resources.memory_bytes: missing field")]
#[case::links("/links_max", json!(0), "$.links_max: out of range (4105)")]
fn a_fault_of_an_agent_is_named(#[case] pointer: &str, #[case] value: Value, #[case] expected: &str) {
    let (status, text) = check(AGENT, &changed(agent(), pointer, value).to_string());
    assert_eq!(status, 2, "{text}");
    assert!(text.contains(expected), "{text}");
}

#[test]
fn every_fault_is_listed_at_once() {
    let settings = changed(entry(), "/site", Value::Null);
    let settings = changed(settings, "/callers_address", json!(1));
    let settings = changed(settings, "/bounds", json!({ "head_bytes_max": "big", "queue": 1 }));
    let (status, text) = check(ENTRY, &settings.to_string());
    let paths: Vec<&str> = text.lines().filter_map(|line| line.split(": ").next()).collect();
    let expected = ["$.bounds.head_bytes_max", "$.bounds.queue", "$.callers_address", "$.site"];
    assert_eq!(
        (status, paths),
        (2, expected.map(|path| format!("settings.json {path}")).iter().map(|s| &**s).collect())
    );
}

#[rstest]
#[case::empty("", 2)]
#[case::not_json("{", 2)]
#[case::list("[]", 2)]
#[case::null("null", 2)]
#[case::duplicate(r#"{"name":"a","name":"b"}"#, 2)]
#[case::deep(&"[".repeat(100_000), 2)]
#[case::trailing("{} {}", 2)]
fn hostile_text_is_refused(#[case] text: &str, #[case] expected: i32) {
    for program in [ENTRY, AGENT] {
        let (status, error) = check(program, text);
        assert_eq!(status, expected, "{error}");
        assert!(error.contains(" $"), "the place is named: {error}");
        assert!(error.len() < 64 * 1024, "the output is bounded: {} bytes", error.len());
    }
}

#[rstest]
#[case::nothing("", 2)]
#[case::no_file("--settings", 2)]
#[case::absent("--settings /absent.json", 2)]
#[case::unknown("--settings x.json --force", 2)]
#[case::directory("--settings / --check", 2)]
fn a_wrong_command_line_is_refused(#[case] arguments: &str, #[case] expected: i32) {
    for program in [ENTRY, AGENT] {
        let run = Command::new(program).args(arguments.split_whitespace()).output().expect("start");
        let (status, error) = result(run);
        assert_eq!(status, expected, "{error}");
        assert!(!error.is_empty());
    }
}

#[test]
fn the_help_has_an_example() {
    for program in [ENTRY, AGENT] {
        let run = Command::new(program).arg("--help").output().expect("start");
        assert!(run.status.success());
        assert!(String::from_utf8_lossy(&run.stdout).contains("\nExample:\n"));
    }
}

#[test]
fn an_address_in_use_ends_the_daemon() {
    let taken = std::net::TcpListener::bind(any_port()).expect("bind");
    let settings = changed(entry(), "/callers_address", json!(taken.local_addr().expect("address")));
    let directory = WorkDir::new();
    let file = directory.write("settings.json", &settings);
    let run = Command::new(ENTRY).arg("--settings").arg(&file).output().expect("start");
    assert_eq!(run.status.code(), Some(1), "{run:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_signal_ends_a_draining_daemon() {
    let cluster = harness::cluster::start(1, 1).await;
    let mut cluster = cluster;
    let callers = cluster.entries[0].callers();
    let slow = tokio::spawn(async move {
        harness::send(callers, "POST", "/portal/slow", &[("x-work-ms", "60000")], Vec::new()).await
    });
    let operators = cluster.workers[0].agent.address("operators_address");
    harness::wait_until("the request is in progress", || async move {
        state(operators).await["agent"]["requests"].as_array().is_some_and(|requests| !requests.is_empty())
    })
    .await;
    let agent = &mut cluster.workers[0].agent;
    agent.signal("TERM");
    harness::wait_until(
        "the agent drains",
        || async move { state(operators).await["agent"]["load"]["draining"] == true },
    )
    .await;
    agent.signal("TERM");
    assert_eq!(agent.wait(), Some(130));
    slow.abort();
}
