//! A platform, entries and workers with their agents, each daemon a process of its own.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use chervilledge_standins::worker::{Event, What};
use chervilledge_standins::{network, platform, worker};
use serde_json::{Value, json};

use super::{
    Process, WorkDir, accept, agent_settings, documents, entry_settings, spawn_agent, spawn_entry, wait_for_workers,
};

/// Entry with the faulty network in front of its link listener.
pub struct Entry {
    /// The daemon.
    pub process: Process,
    /// Carries every link to the entry.
    pub network: network::Handle,
}

impl Entry {
    /// Address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.process.address("callers_address")
    }
}

/// Worker with its agent.
pub struct Worker {
    /// Stand-in for the worker.
    pub machine: worker::Handle,
    /// Settings with which the agent was started.
    pub settings: Value,
    /// The daemon.
    pub agent: Process,
}

/// Running cluster; it ends when it is dropped.
pub struct Cluster {
    /// Directory of the test.
    pub directory: WorkDir,
    /// Stand-in for the platform.
    pub platform: platform::Handle,
    /// Workers. They end before the entries, whose ports another test's entries may take next.
    pub workers: Vec<Worker>,
    /// Entries.
    pub entries: Vec<Entry>,
}

/// Any free port of this machine.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Starts a cluster of `entries` entries and `workers` workers, and waits until every entry knows every worker.
pub async fn start(entries: usize, workers: usize) -> Cluster {
    start_with(entries, workers, |_| {}, |_| {}).await
}

/// Starts a cluster whose settings are changed by `adjust_entry` and `adjust_agent`.
pub async fn start_with(
    entries: usize,
    workers: usize,
    adjust_entry: impl Fn(&mut Value),
    adjust_agent: impl Fn(&mut Value),
) -> Cluster {
    let directory = WorkDir::new();
    let platform = platform::bind(any_port(), platform::Settings::default()).await.expect("platform");
    accept(platform.address(), 1, documents()).await;
    let mut cluster = Cluster { directory, platform, entries: Vec::new(), workers: Vec::new() };
    for number in 1..=entries {
        cluster.add_entry(&format!("entry-{number}"), &adjust_entry).await;
    }
    for number in 1..=workers {
        cluster.add_worker(&format!("worker-{number}"), &adjust_agent).await;
    }
    cluster.wait_for_workers(workers).await;
    cluster
}

impl Cluster {
    /// Starts a further entry.
    pub async fn add_entry(&mut self, name: &str, adjust: impl Fn(&mut Value)) {
        let network = network::bind(any_port(), any_port()).await.expect("network");
        let mut settings = entry_settings(name, self.platform.address());
        settings["links_advertised_address"] = json!(network.address());
        adjust(&mut settings);
        let process = spawn_entry(&self.directory, &settings);
        network.set_target(process.address("links_address"));
        self.entries.push(Entry { process, network });
    }

    /// Starts a further worker with its agent.
    pub async fn add_worker(&mut self, name: &str, adjust: impl Fn(&mut Value)) {
        let machine = worker::Settings { worker: name.into(), ..worker::Settings::default() };
        let machine = worker::bind(any_port(), machine).await.expect("worker");
        let links: Vec<SocketAddr> = self.entries.iter().map(|entry| entry.network.address()).collect();
        let mut settings = agent_settings(name, &links, machine.address());
        adjust(&mut settings);
        let agent = spawn_agent(&self.directory, &settings);
        self.workers.push(Worker { machine, settings, agent });
    }

    /// Starts the agent of a worker again.
    pub fn restart_agent(&mut self, worker: usize) {
        let worker = &mut self.workers[worker];
        worker.agent.kill();
        worker.agent = spawn_agent(&self.directory, &worker.settings);
    }

    /// Waits until every entry knows `count` workers that take new work.
    pub async fn wait_for_workers(&self, count: usize) {
        for entry in &self.entries {
            wait_for_workers(&entry.process, count).await;
        }
    }

    /// Everything that happened on the workers.
    pub fn ledger(&self) -> Vec<Event> {
        self.workers.iter().flat_map(|worker| worker.machine.ledger()).collect()
    }

    /// Paths of the requests that backend servers began, once for each time.
    pub fn executed(&self) -> Vec<String> {
        let path = |event: Event| match event.what {
            What::RequestStarted { path, .. } => Some(path.to_string()),
            _ => None,
        };
        self.ledger().into_iter().filter_map(path).collect()
    }

    /// Names of the workers that began a request whose path starts with `prefix`.
    pub fn executed_on(&self, prefix: &str) -> BTreeSet<String> {
        let name = |event: Event| match event.what {
            What::RequestStarted { path, .. } if path.starts_with(prefix) => Some(event.worker.to_string()),
            _ => None,
        };
        self.ledger().into_iter().filter_map(name).collect()
    }
}
