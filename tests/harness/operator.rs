//! The operators' command as a process, with the files that it reads.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Output, Stdio};

use serde_json::{Value, json};

use super::{OPERATOR_SECRET, WorkDir};

/// Result of one run.
#[derive(Debug)]
pub struct Run {
    /// Exit status.
    pub status: i32,
    /// Standard output.
    pub out: String,
    /// Standard error output.
    pub err: String,
}

impl Run {
    /// Standard output as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }
}

impl From<Output> for Run {
    fn from(output: Output) -> Self {
        let text = |bytes| String::from_utf8(bytes).expect("the output is text");
        Self { status: output.status.code().unwrap_or(-1), out: text(output.stdout), err: text(output.stderr) }
    }
}

/// Starts the command with arguments that are separated by spaces, and waits for its end.
pub async fn run(directory: &WorkDir, arguments: &str) -> Run {
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_chervilledge"));
    command.current_dir(directory.path()).args(arguments.split_whitespace()).stdin(Stdio::null());
    Run::from(command.output().await.expect("the command starts"))
}

/// Options that name an entry or an agent; writes the secret into the directory.
pub fn options(directory: &WorkDir, operators: SocketAddr) -> String {
    let file = format!("secret-{}", operators.port());
    std::fs::write(directory.path().join(&file), OPERATOR_SECRET).expect("write secret");
    format!("--entry {operators} --secret-file {file}")
}

/// Writes the fitters' documents with another latency target below a directory called `name`.
pub fn write_documents(directory: &WorkDir, name: &str, latency_target_ms: u64) {
    let examples = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("examples/fitters");
    let target = directory.path().join(name);
    std::fs::create_dir_all(&target).expect("directory");
    for file in ["base.json", "burnie.json", "hobart.json", "launceston.json"] {
        std::fs::copy(examples.join(file), target.join(file)).expect("the example is there");
    }
    let text = std::fs::read_to_string(target.join("base.json")).expect("the example is there");
    let mut base: Value = serde_json::from_str(&text).expect("the example is JSON");
    base["services"]["portal"]["latency_target_ms"] = json!(latency_target_ms);
    directory.write(&format!("{name}/base.json"), &base);
}

/// Plans the fitters' documents with another latency target; gives the file for `accept`.
pub async fn plan(directory: &WorkDir, operators: SocketAddr, name: &str, latency_target_ms: u64) -> String {
    write_documents(directory, name, latency_target_ms);
    let options = options(directory, operators);
    let planned = run(directory, &format!("plan {name} {options} --output {name}.json")).await;
    assert_eq!(planned.status, 0, "{planned:?}");
    format!("{name}.json")
}

/// Accepts a plan.
pub async fn accept(directory: &WorkDir, operators: SocketAddr, plan: &str) -> Run {
    let options = options(directory, operators);
    run(directory, &format!("accept {plan} {options} --operator ana --json")).await
}
