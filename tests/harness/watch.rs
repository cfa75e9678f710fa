//! Watches the configuration that processes enforce, over the whole of a fault.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::Value;
use tokio::task::JoinSet;

use super::cluster::Cluster;
use super::{OPERATOR_SECRET, Process, send, wait_until};

/// Time between two samples of one process.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which a sample of a stopped process is given up.
const SAMPLE_TIMEOUT: Duration = Duration::from_millis(300);

/// Samples of every process that a watch needs to tell whether a version decreased.
const SAMPLES_MIN: usize = 2;

/// Versions seen of one start of a process, in order; zero until it knows any.
pub type Versions = Vec<u64>;

/// Samples by name and start.
type Samples = BTreeMap<(String, String), Versions>;

/// Running watch; ends when it is dropped.
#[derive(Default)]
pub struct Watch {
    samples: Arc<Mutex<Samples>>,
    /// Number of samples of each process.
    counts: Vec<Arc<AtomicUsize>>,
    tasks: JoinSet<()>,
}

impl Watch {
    /// Starts to watch every process of a cluster.
    pub fn cluster(cluster: &Cluster) -> Self {
        let mut watch = Self::default();
        cluster.entries.iter().for_each(|entry| watch.add(&entry.process));
        cluster.workers.iter().for_each(|worker| watch.add(&worker.agent));
        watch
    }

    /// Starts to watch a process.
    pub fn add(&mut self, process: &Process) {
        let operators = process.address("operators_address");
        let samples = Arc::clone(&self.samples);
        let count = Arc::new(AtomicUsize::new(0));
        self.counts.push(Arc::clone(&count));
        self.tasks.spawn(async move {
            loop {
                if let Some((start, version)) = sample(operators).await {
                    samples.lock().expect("samples").entry(start).or_default().push(version);
                    count.fetch_add(1, Ordering::Relaxed);
                }
                tokio::time::sleep(SAMPLE_INTERVAL).await;
            }
        });
    }

    /// Ends the watch once every process has been sampled often enough, and asserts that no start of any process ever
    /// enforced a lower version than before.
    pub async fn assert_never_decreased(mut self) -> Samples {
        let is_enough = |count: &Arc<AtomicUsize>| count.load(Ordering::Relaxed) >= SAMPLES_MIN;
        wait_until("every process was sampled", || async { self.counts.iter().all(is_enough) }).await;
        self.tasks.abort_all();
        let samples = std::mem::take(&mut *self.samples.lock().expect("samples"));
        assert!(!samples.is_empty(), "nothing was sampled");
        for ((name, boot), versions) in &samples {
            assert!(versions.len() >= SAMPLES_MIN, "{name} {boot} was sampled {} times", versions.len());
            assert!(versions.is_sorted(), "{name} {boot}: {versions:?}");
        }
        samples
    }
}

async fn sample(operators: SocketAddr) -> Option<((String, String), u64)> {
    let authorization = format!("Bearer {OPERATOR_SECRET}");
    let headers = [("authorization", authorization.as_str())];
    let answer = send(operators, "GET", "/state", &headers, Vec::new());
    let state = tokio::time::timeout(SAMPLE_TIMEOUT, answer).await.ok()?.ok()?.json();
    let process = state.get(state["role"].as_str()?)?;
    let boot = process["boot"].to_string();
    let version = process["configuration"]["rollout"]["enforced"]["version"].as_u64().unwrap_or(0);
    (!process.is_null()).then(|| ((name(&state), boot), version))
}

fn name(state: &Value) -> String {
    state["name"].as_str().unwrap_or_default().to_owned()
}
