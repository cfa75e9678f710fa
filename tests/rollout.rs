//! An accepted configuration comes into force everywhere and never reverts, whatever fails meanwhile.

mod harness;

use std::net::SocketAddr;
use std::time::Duration;

use chervilledge_standins::platform::Faults;
use harness::cluster::{self, Cluster};
use harness::watch::Watch;
use harness::{Process, operator, send, spawn_agent, state, wait_for_version, wait_until};
use serde_json::{Value, json};

/// Time for which a fault lasts, so that several polls and announcements fall into it.
const FAULT_TIME: Duration = Duration::from_secs(3);

fn operators(cluster: &Cluster, entry: usize) -> SocketAddr {
    cluster.entries[entry].process.address("operators_address")
}

/// Waits until every process enforces `version`.
async fn wait_everywhere(cluster: &Cluster, version: u64) {
    for entry in &cluster.entries {
        wait_for_version(&entry.process, "entry", version).await;
    }
    for worker in &cluster.workers {
        wait_for_version(&worker.agent, "agent", version).await;
    }
}

/// History of the accepted versions, as an entry gives it.
async fn history(cluster: &Cluster, entry: usize) -> Value {
    let options = operator::options(&cluster.directory, operators(cluster, entry));
    operator::run(&cluster.directory, &format!("history {options} --json")).await.json()["versions"].clone()
}

async fn rollout(process: &Process, role: &str) -> Value {
    state(process.address("operators_address")).await[role]["configuration"]["rollout"].clone()
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_at_two_entries_one_wins() {
    let cluster = cluster::start(2, 2).await;
    let watch = Watch::cluster(&cluster);
    for round in 0..4_u64 {
        let (first, second) = (operators(&cluster, 0), operators(&cluster, 1));
        let directory = &cluster.directory;
        let one = operator::plan(directory, first, &format!("one-{round}"), 300 + round).await;
        let two = operator::plan(directory, second, &format!("two-{round}"), 400 + round).await;
        let (one, two) =
            tokio::join!(operator::accept(directory, first, &one), operator::accept(directory, second, &two));
        let mut statuses = [one.status, two.status];
        statuses.sort_unstable();
        assert_eq!(statuses, [0, 42], "{one:?} {two:?}");
        let (winner, loser) = if one.status == 0 { (one, two) } else { (two, one) };
        let accepted = winner.json()["accepted"].clone();
        assert_eq!(accepted["version"], round + 2);
        assert_eq!(loser.json()["detail"]["winner"], accepted, "the loser learns who won");
        wait_everywhere(&cluster, round + 2).await;
        for entry in &cluster.entries {
            assert_eq!(rollout(&entry.process, "entry").await["enforced"]["checksum"], accepted["checksum"]);
        }
    }
    watch.assert_never_decreased().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_reply_to_accept_is_resolved() {
    let cluster = cluster::start(1, 1).await;
    let watch = Watch::cluster(&cluster);
    let plan = operator::plan(&cluster.directory, operators(&cluster, 0), "lost", 300).await;
    let faults = Faults { lose_reply_next: 3, ..Faults::default() };
    cluster.platform.control(faults);
    let first = operator::accept(&cluster.directory, operators(&cluster, 0), &plan).await;
    assert_eq!(first.status, 0, "{first:?}");
    let again = operator::accept(&cluster.directory, operators(&cluster, 0), &plan).await;
    assert_eq!((again.status, again.json()), (0, first.json()), "a repeated acceptance answers the same");
    wait_everywhere(&cluster, 2).await;
    let versions = history(&cluster, 0).await;
    assert_eq!(versions.as_array().map(Vec::len), Some(1), "accepted once: {versions}");
    watch.assert_never_decreased().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stopped_processes_that_wake_enforce_no_older_version() {
    let cluster = cluster::start(2, 2).await;
    let watch = Watch::cluster(&cluster);
    let observed = &cluster;
    // An entry that is stopped before its announcement is written can't be named with a version.
    wait_until("every other process has announced its version", || async {
        let status = status(observed).await;
        status["processes"] == 3 && status["laggards"] == json!([])
    })
    .await;
    let stopped = [&cluster.entries[1].process, &cluster.workers[1].agent];
    for process in stopped {
        process.signal("STOP");
    }
    for version in 2..=4 {
        let directory = &cluster.directory;
        let plan = operator::plan(directory, operators(&cluster, 0), &format!("v{version}"), 300 + version).await;
        let accepted = operator::accept(directory, operators(&cluster, 0), &plan).await;
        assert_eq!(accepted.json()["accepted"]["version"], version, "{accepted:?}");
    }
    wait_for_version(&cluster.entries[0].process, "entry", 4).await;
    wait_for_version(&cluster.workers[0].agent, "agent", 4).await;
    let expected = json!([["entries/entry-2", 1], ["worker-2", 1]]);
    wait_until("status names who lags", || async {
        let laggards = status(observed).await["laggards"].clone();
        let pair = |one: &Value| json!([one["process"]["name"], one["enforced"]["version"]]);
        laggards.as_array().is_some_and(|all| json!(all.iter().map(pair).collect::<Vec<_>>()) == expected)
    })
    .await;
    // The stopped agent's link counts as lost before it wakes.
    tokio::time::sleep(FAULT_TIME).await;
    for process in stopped {
        process.signal("CONT");
    }
    wait_everywhere(&cluster, 4).await;
    cluster.wait_for_workers(2).await;
    for entry in 0..2 {
        let options = operator::options(&cluster.directory, operators(&cluster, entry));
        wait_until("nobody lags", || async {
            let status = operator::run(&observed.directory, &format!("status {options} --json")).await.json();
            status["laggards"] == json!([])
        })
        .await;
    }
    let samples = watch.assert_never_decreased().await;
    assert_eq!(samples.len(), 4, "each process was sampled under one start");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_started_while_the_store_is_down_learns_the_version_from_agents() {
    let mut cluster = cluster::start(1, 2).await;
    let plan = operator::plan(&cluster.directory, operators(&cluster, 0), "next", 300).await;
    assert_eq!(operator::accept(&cluster.directory, operators(&cluster, 0), &plan).await.status, 0);
    wait_everywhere(&cluster, 2).await;
    let address = cluster.entries[0].process.address("links_address");
    cluster.platform.control(Faults { down: true, ..Faults::default() });
    // The entry is replaced at its address; no other process but the agents knows the version.
    cluster.entries[0].process.kill();
    let mut settings = harness::entry_settings("entry-new", cluster.platform.address());
    settings["links_address"] = json!(address);
    cluster.entries[0].process = harness::spawn_entry(&cluster.directory, &settings);
    let watch = Watch::cluster(&cluster);
    wait_everywhere(&cluster, 2).await;
    let learnt = rollout(&cluster.entries[0].process, "entry").await;
    assert_eq!(learnt["source"], "peer");
    cluster.wait_for_workers(2).await;
    let callers = cluster.entries[0].callers();
    assert_eq!(send(callers, "GET", "/portal/x", &[], Vec::new()).await.expect("answer").status, 200);
    cluster.platform.control(Faults::default());
    tokio::time::sleep(FAULT_TIME).await;
    watch.assert_never_decreased().await;
    wait_everywhere(&cluster, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_restarted_while_the_store_is_down_learns_the_version() {
    let mut cluster = cluster::start(1, 2).await;
    let plan = operator::plan(&cluster.directory, operators(&cluster, 0), "next", 300).await;
    assert_eq!(operator::accept(&cluster.directory, operators(&cluster, 0), &plan).await.status, 0);
    wait_everywhere(&cluster, 2).await;
    cluster.platform.control(Faults { down: true, ..Faults::default() });
    cluster.restart_agent(0);
    let watch = Watch::cluster(&cluster);
    wait_everywhere(&cluster, 2).await;
    cluster.wait_for_workers(2).await;
    let status = status(&cluster).await;
    assert_eq!((&status["processes"], &status["laggards"]), (&2.into(), &json!([])), "{status}");
    watch.assert_never_decreased().await;
}

/// Guards against a watch that ends before it has sampled a process that is slow to answer.
#[tokio::test(flavor = "multi_thread")]
async fn slow_process_is_not_sampled() {
    let cluster = cluster::start(1, 1).await;
    let entry = &cluster.entries[0].process;
    entry.signal("STOP");
    let watch = Watch::cluster(&cluster);
    let wake = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        entry.signal("CONT");
    };
    let ((), samples) = tokio::join!(wake, watch.assert_never_decreased());
    assert_eq!(samples.len(), 2, "each process was sampled under one start");
}

/// What `status` shows.
async fn status(cluster: &Cluster) -> Value {
    let options = operator::options(&cluster.directory, operators(cluster, 0));
    operator::run(&cluster.directory, &format!("status {options} --json")).await.json()
}

#[tokio::test(flavor = "multi_thread")]
async fn stale_reads_never_lower_a_version() {
    let mut cluster = cluster::start(2, 2).await;
    let watch = Watch::cluster(&cluster);
    // Reads see the rows of the moment of the first one, in which version 1 is accepted.
    cluster.platform.control(Faults { stale_reads: Duration::from_mins(10), ..Faults::default() });
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let plan = operator::plan(&cluster.directory, operators(&cluster, 0), "next", 300).await;
    let accepted = operator::accept(&cluster.directory, operators(&cluster, 0), &plan).await;
    assert_eq!(accepted.status, 0, "{accepted:?}");
    // Agents carry the version to the other entry, whose reads don't show it.
    wait_everywhere(&cluster, 2).await;
    cluster.restart_agent(1);
    tokio::time::sleep(FAULT_TIME).await;
    wait_everywhere(&cluster, 2).await;
    cluster.platform.control(Faults::default());
    tokio::time::sleep(FAULT_TIME).await;
    wait_everywhere(&cluster, 2).await;
    watch.assert_never_decreased().await;
    assert_eq!(history(&cluster, 1).await[0]["version"], 2, "the table kept the accepted version");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_table_that_lost_a_version_gets_it_back() {
    let cluster = cluster::start(1, 1).await;
    let plan = operator::plan(&cluster.directory, operators(&cluster, 0), "next", 300).await;
    assert_eq!(operator::accept(&cluster.directory, operators(&cluster, 0), &plan).await.status, 0);
    wait_everywhere(&cluster, 2).await;
    let watch = Watch::cluster(&cluster);
    // A fail-over of the platform has lost the latest write.
    harness::accept(cluster.platform.address(), 1, harness::documents()).await;
    let directory = &cluster.directory;
    wait_until("the table holds the version again", || async { history(&cluster, 0).await[0]["version"] == 2 }).await;
    let plan = operator::plan(directory, operators(&cluster, 0), "after", 310).await;
    let accepted = operator::accept(directory, operators(&cluster, 0), &plan).await;
    assert_eq!(accepted.json()["accepted"]["version"], 3, "{accepted:?}");
    wait_everywhere(&cluster, 3).await;
    watch.assert_never_decreased().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_older_plan_accepted_late_is_refused() {
    let cluster = cluster::start(2, 1).await;
    let watch = Watch::cluster(&cluster);
    let directory = &cluster.directory;
    let older = operator::plan(directory, operators(&cluster, 0), "older", 300).await;
    for latency_target_ms in [310, 320] {
        let plan = operator::plan(directory, operators(&cluster, 0), "newer", latency_target_ms).await;
        assert_eq!(operator::accept(directory, operators(&cluster, 0), &plan).await.status, 0);
    }
    for entry in 0..2 {
        let late = operator::accept(directory, operators(&cluster, entry), &older).await;
        assert_eq!(late.status, 42, "{late:?}");
        assert_eq!(late.json()["detail"]["winner"]["version"], 2, "the winner of the version planned for");
    }
    wait_everywhere(&cluster, 3).await;
    watch.assert_never_decreased().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_without_any_version_takes_no_work_and_says_so() {
    let mut cluster = cluster::start(1, 1).await;
    cluster.platform.control(Faults { down: true, ..Faults::default() });
    // Neither the new entry nor the new agent can ask anyone who knows a version.
    cluster.workers[0].agent.kill();
    cluster.add_entry("entry-alone", |_| {}).await;
    let entry = cluster.entries.remove(1);
    let links = [entry.network.address()];
    let settings = harness::agent_settings("worker-alone", &links, cluster.workers[0].machine.address());
    let agent = spawn_agent(&cluster.directory, &settings);
    let operators = entry.process.address("operators_address");
    wait_until("the agent is linked", || async move {
        let workers = state(operators).await["entry"]["fleet"]["workers"].clone();
        workers.as_array().is_some_and(|workers| workers.iter().any(|worker| !worker["link"].is_null()))
    })
    .await;
    assert_eq!(rollout(&entry.process, "entry").await["enforced"], Value::Null);
    assert_eq!(rollout(&agent, "agent").await["enforced"], Value::Null);
    let agent_state = state(agent.address("operators_address")).await;
    assert_eq!(agent_state["agent"]["load"]["ready"], false, "{agent_state}");
    let refused = send(entry.callers(), "GET", "/portal/x", &[], Vec::new()).await.expect("answer");
    assert_eq!((refused.status, refused.outcome()), (503, Some("not-run")), "{refused:?}");
    assert_eq!(refused.json()["code"], 1011);
    let options = operator::options(&cluster.directory, operators);
    let status = operator::run(&cluster.directory, &format!("status {options}")).await;
    assert_eq!(status.out, "The entry knows no accepted version and takes no work.\n");
    assert!(cluster.executed().is_empty());

    cluster.platform.control(Faults::default());
    wait_for_version(&entry.process, "entry", 1).await;
    wait_for_version(&agent, "agent", 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_that_cannot_enforce_the_version_is_named() {
    let mut cluster = cluster::start(1, 1).await;
    cluster.add_worker("worker-elsewhere", |settings| settings["site"] = json!("nowhere")).await;
    let cluster = &cluster;
    wait_until("status names the agent", || async move {
        let laggards = status(cluster).await["laggards"].clone();
        laggards[0]["process"]["name"] == "worker-elsewhere" && laggards[0]["enforced"].is_null()
    })
    .await;
    let operators = cluster.workers[1].agent.address("operators_address");
    wait_until("the agent refuses the version", || async move {
        state(operators).await["agent"]["configuration"]["refused"].as_u64() > Some(0)
    })
    .await;
    assert_eq!(state(operators).await["agent"]["load"]["ready"], false);
}
