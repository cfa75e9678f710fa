//! `examples/local.sh` starts a cluster that works, and stops all of it when it is told to end.

mod harness;

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use harness::{WorkDir, operator, send};
use serde_json::Value;

/// Time for the script to build what isn't built yet and to start the cluster.
const START_PATIENCE: Duration = Duration::from_mins(5);

/// Time for the cluster to end.
const END_PATIENCE: Duration = Duration::from_mins(1);

/// Script that is told to end when the test fails.
struct Script(Child);

impl Script {
    fn terminate(&mut self) -> Option<i32> {
        let ended = Command::new("kill").arg("-TERM").arg(self.0.id().to_string()).status();
        assert!(ended.expect("kill").success());
        let until = Instant::now() + END_PATIENCE;
        while Instant::now() < until {
            if let Some(status) = self.0.try_wait().expect("wait") {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        panic!("the script didn't end");
    }
}

impl Drop for Script {
    fn drop(&mut self) {
        if let Ok(None) = self.0.try_wait() {
            self.terminate();
        }
    }
}

fn wait_for_file(script: &mut Script, file: &Path) -> Vec<Value> {
    let until = Instant::now() + START_PATIENCE;
    loop {
        let text = fs::read_to_string(file).unwrap_or_default();
        if let Ok(rows) = serde_json::from_str(&text) {
            return rows;
        }
        assert!(script.0.try_wait().expect("wait").is_none(), "the script ended early");
        assert!(Instant::now() < until, "no {} within {START_PATIENCE:?}", file.display());
        std::thread::sleep(Duration::from_millis(100));
    }
}

fn is_running(id: u64) -> bool {
    let probe = Command::new("kill").arg("-0").arg(id.to_string()).stderr(Stdio::null()).status();
    probe.expect("kill").success()
}

fn address(row: &Value, field: &str) -> SocketAddr {
    row[field].as_str().expect("an address").parse().expect("an address")
}

#[tokio::test(flavor = "multi_thread")]
async fn local_cluster_works_and_ends() {
    let directory = WorkDir::new();
    let script = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("examples/local.sh");
    let child = Command::new(script).arg(directory.path()).stdout(Stdio::null()).stderr(Stdio::null()).spawn();
    let mut script = Script(child.expect("start script"));
    let rows = wait_for_file(&mut script, &directory.path().join("addresses.json"));
    let count = |role: &str| rows.iter().filter(|row| row["role"] == role).count();
    assert_eq!([count("platform"), count("entry"), count("worker"), count("agent")], [1, 2, 3, 3], "{rows:?}");

    let entries: Vec<&Value> = rows.iter().filter(|row| row["role"] == "entry").collect();
    for entry in entries {
        let answer = send(address(entry, "address"), "GET", "/portal/x", &[], Vec::new()).await.expect("answer");
        assert_eq!(answer.status, 200, "{answer:?}");
        let operators = address(entry, "operators_address");
        let status = format!("status --entry {operators} --secret-file operator.secret");
        let status = operator::run(&directory, &status).await;
        assert!(status.out.contains("Version 1 ") && status.out.contains("in force at 4 of 4"), "{status:?}");
    }
    let ids: Vec<u64> = rows.iter().filter_map(|row| row["process_id"].as_u64()).collect();
    assert_eq!(ids.len(), rows.len());
    assert!(ids.iter().all(|id| is_running(*id)));
    assert_eq!(script.terminate(), Some(0));
    let left: Vec<&u64> = ids.iter().filter(|id| is_running(**id)).collect();
    assert!(left.is_empty(), "still running: {left:?}");
}
