//! Time from the acceptance of a configuration to its being in force, by the number of agents.
//!
//! `cargo bench -p chervilledge --bench rollout` starts two entries as processes of their own and light agents in this
//! process, each with a link to both entries. A version is accepted over the operators' route of one entry, or written
//! past both entries into the table, as after the loss of the entry that accepted it.

#[path = "../tests/harness/mod.rs"]
mod harness;
mod support;

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use chervilledge::entry::peers::ENTRIES_PREFIX;
use chervilledge::settings::Bounds;
use chervilledge_operator::accept::Proposal;
use chervilledge_operator::check;
use chervilledge_operator::documents::{Accepted, Documents};
use chervilledge_operator::plan::Plan;
use chervilledge_operator::status::Status;
use futures_util::future::join_all;
use harness::cluster::{Cluster, start};
use harness::{OPERATOR_SECRET, accept, send};
use serde_json::{Value, json};
use support::figure::Report;
use support::light::Fleet;

/// Agents, and teams that the configuration names.
const SIZES: [(u32, u32); 4] = [(2, 2), (20, 2), (200, 2), (200, 54)];
/// Entries.
const ENTRIES: usize = 2;
/// Versions accepted at each size, in each way.
const RUNS: usize = 5;
/// Longest time for one version.
const PATIENCE: Duration = Duration::from_secs(20);
/// Time between two looks at an entry.
const POLL: Duration = Duration::from_millis(5);
/// Greatest time between two versions, so that those in the table meet the entries' polls at any phase.
const PAUSE_MAX: Duration = Duration::from_millis(1_200);
/// Time for which the bytes of idle links are counted.
const IDLE: Duration = Duration::from_secs(2);
/// Longest time from acceptance to in force everywhere, today.
const TARGET_S: f64 = 2.0;

/// How a version is accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    /// Over the operators' route of one entry.
    Entry,
    /// By a write into the table that no entry carried.
    Table,
}

/// Everything that takes versions in.
struct Site {
    cluster: Cluster,
    fleet: Fleet,
    agents: u32,
    documents: Documents,
    /// Number of the last version.
    version: u64,
}

/// Times from the acceptance of a version to its being in force.
struct Times {
    /// In all agents.
    agents: Duration,
    /// In all agents and entries, as every entry can tell.
    everywhere: Duration,
}

#[tokio::main]
async fn main() -> ExitCode {
    let mut report = Report::open("rollout");
    for (agents, teams) in SIZES {
        let mut site = open(agents, teams).await;
        for way in [Way::Entry, Way::Table] {
            measure(&mut report, &mut site, way).await;
        }
    }
    report.finish()
}

async fn open(agents: u32, teams: u32) -> Site {
    let cluster = start(ENTRIES, 0).await;
    let mut fleet = Fleet::open();
    let addresses: Vec<SocketAddr> = cluster.entries.iter().map(|entry| entry.network.address()).collect();
    for number in 0..agents {
        fleet.add(number, &addresses, Bounds::default().heartbeat_interval_ms);
    }
    let links = u64::from(agents) * to_u64(addresses.len());
    fleet.wait_for_links(links, PATIENCE).await;
    let mut site = Site { cluster, fleet, agents, documents: with_teams(teams), version: 1 };
    // The first version with these documents is no part of the measurement.
    site.roll_out(Way::Entry).await;
    site
}

/// The fitters' documents with as many teams.
fn with_teams(teams: u32) -> Documents {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/fitters");
    let texts = check::read_dir(&examples).expect("the examples are there");
    let mut documents = check::check_texts(&texts).expect("the examples have no fault").documents;
    let mut team = documents.base["teams"]["warranty"].clone();
    for amount in team["quota"].as_object_mut().expect("a quota").values_mut() {
        // The quotas together must fit the sites.
        *amount = json!(amount.as_u64().unwrap_or(0).min(1));
    }
    let names = documents.base["teams"].as_object_mut().expect("teams");
    for number in to_u64(names.len())..u64::from(teams) {
        names.insert(format!("team-{number}"), team.clone());
    }
    documents
}

async fn measure(report: &mut Report, site: &mut Site, way: Way) {
    let name = match way {
        Way::Entry => "by_entry",
        Way::Table => "by_table",
    };
    let bytes = to_u64(site.documents.canonical().len());
    let at: &[(&str, u64)] = &[("agents", u64::from(site.agents)), ("documents_bytes", bytes)];
    let idle_bytes_per_s = site.idle_bytes_per_s().await;
    let (begin, carried_before) = (Instant::now(), site.carried_bytes());
    let mut times = Vec::new();
    for _ in 0..RUNS {
        tokio::time::sleep(PAUSE_MAX.mul_f64(rand::random_range(0.2..1.0))).await;
        times.push(site.roll_out(way).await);
    }
    let idle_bytes = idle_bytes_per_s * begin.elapsed().as_secs_f64();
    let change_bytes = to_f64(site.carried_bytes() - carried_before) - idle_bytes;
    let (median, worst) = median_and_worst(times.iter().map(|times| times.agents));
    report.figure(&format!("{name}_agents_median"), at, median, "s");
    report.figure(&format!("{name}_agents_worst"), at, worst, "s");
    let (median, worst) = median_and_worst(times.iter().map(|times| times.everywhere));
    report.figure(&format!("{name}_everywhere_median"), at, median, "s");
    report.bounded(&format!("{name}_everywhere_worst"), at, worst, "s", TARGET_S);
    let per_agent = change_bytes / to_f64(to_u64(RUNS)) / f64::from(site.agents);
    report.figure(&format!("{name}_bytes_per_change_per_agent"), at, per_agent, "B");
    report.figure("links_failed", at, to_f64(site.fleet.counts.failed.load(Ordering::Relaxed)), "links");
}

/// Median and greatest of times, in seconds.
fn median_and_worst(times: impl Iterator<Item = Duration>) -> (f64, f64) {
    let mut sorted: Vec<f64> = times.map(|time| time.as_secs_f64()).collect();
    sorted.sort_by(f64::total_cmp);
    (sorted[sorted.len() / 2], sorted[sorted.len() - 1])
}

impl Site {
    /// Accepts one more version and waits until it is in force everywhere.
    async fn roll_out(&mut self, way: Way) -> Times {
        self.version += 1;
        self.documents.base["services"]["portal"]["queue_limit"] = json!(16 + self.version % 2);
        let operators = self.operators();
        let begin = Instant::now();
        match way {
            Way::Entry => accept_by_entry(operators[0], &self.documents).await,
            Way::Table => accept(self.cluster.platform.address(), self.version, self.documents.clone()).await,
        }
        let (version, agents) = (self.version, self.agents);
        let entries = join_all(operators.into_iter().map(|entry| wait_for_entry(entry, version, agents)));
        let (agents, entries) = tokio::join!(wait_for_agents(&mut self.fleet, agents, version), entries);
        let everywhere = entries.into_iter().fold(agents, Instant::max);
        Times { agents: agents - begin, everywhere: everywhere - begin }
    }

    fn operators(&self) -> Vec<SocketAddr> {
        self.cluster.entries.iter().map(|entry| entry.process.address("operators_address")).collect()
    }

    /// Bytes on all links so far, in both directions.
    fn carried_bytes(&self) -> u64 {
        let carried = self.cluster.entries.iter().map(|entry| entry.network.carried());
        carried.map(|carried| carried.to_target_bytes + carried.to_caller_bytes).sum()
    }

    async fn idle_bytes_per_s(&self) -> f64 {
        let (begin, before) = (Instant::now(), self.carried_bytes());
        tokio::time::sleep(IDLE).await;
        to_f64(self.carried_bytes() - before) / begin.elapsed().as_secs_f64()
    }
}

/// Plans the documents against the accepted version and accepts the plan, as the operators' command does.
async fn accept_by_entry(entry: SocketAddr, documents: &Documents) {
    let answer = ask(entry, "GET", "/config", Vec::new()).await;
    let current: Accepted = serde_json::from_value(answer["accepted"].clone()).expect("accepted version");
    let plan = Plan::new(Some(&current), documents);
    let proposal = Proposal {
        base: plan.base,
        plan: plan.checksum,
        documents: documents.clone(),
        operator: "benchmark".into(),
        accepted_at: "2026-12-03T00:00:00Z".into(),
    };
    let answer = ask(entry, "POST", "/config/accept", json!(proposal).to_string().into_bytes()).await;
    assert!(answer["accepted"].is_object(), "{answer}");
}

/// Waits until the last agent has put a version in force; gives the moment.
async fn wait_for_agents(fleet: &mut Fleet, agents: u32, version: u64) -> Instant {
    let mut left = agents;
    let mut last = Instant::now();
    while left > 0 {
        let next = tokio::time::timeout(PATIENCE, fleet.adopted.recv()).await;
        let adopted = next.expect("agents put the version in force").expect("agents run");
        if adopted.stamp.version == version {
            left -= 1;
            last = adopted.at;
        }
    }
    last
}

/// Waits until an entry enforces a version and knows that all agents do; gives the moment.
async fn wait_for_entry(entry: SocketAddr, version: u64, agents: u32) -> Instant {
    let until = Instant::now() + PATIENCE;
    loop {
        let status: Status = serde_json::from_value(ask(entry, "GET", "/status", Vec::new()).await).expect("status");
        let is_enforced = status.enforced.is_some_and(|stamp| stamp.version == version);
        // Entries learn of each other's version by rows that are renewed every two seconds; each is asked itself.
        let agents_lag = status.laggards.iter().any(|laggard| !laggard.process.name.starts_with(ENTRIES_PREFIX));
        if is_enforced && !agents_lag && status.processes == agents as usize + ENTRIES - 1 {
            return Instant::now();
        }
        assert!(Instant::now() < until, "version {version} isn't in force within {PATIENCE:?}: {status:?}");
        tokio::time::sleep(POLL).await;
    }
}

async fn ask(entry: SocketAddr, method: &str, path: &str, body: Vec<u8>) -> Value {
    let authorization = format!("Bearer {OPERATOR_SECRET}");
    send(entry, method, path, &[("authorization", &authorization)], body).await.expect("answer").json()
}

fn to_u64(count: usize) -> u64 {
    u64::try_from(count).expect("few")
}

#[expect(clippy::cast_precision_loss, reason = "figures are printed with few digits")]
fn to_f64(count: u64) -> f64 {
    count as f64
}
