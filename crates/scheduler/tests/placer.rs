//! When a new placer starts to place, and what it publishes.

mod support;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use chervilledge_cell::authority::{AUTHORITY_PERIOD, lapse_after};
use chervilledge_cell::configuration::{Configuration, Limits, Queue, Service};
use chervilledge_cell::evacuation::{EvacuatedDomains, Standing};
use chervilledge_cell::interference::{Evidence, Pair};
use chervilledge_cell::job::{Job, JobId, JobState, Step};
use chervilledge_cell::worker::Worker;
use chervilledge_link::connection::{self, Receiver, Sender};
use chervilledge_policy::capacity::Resources;
use chervilledge_policy::clock::Clock;
use chervilledge_policy::collections::Map;
use chervilledge_policy::id::Name;
use chervilledge_scheduler::candidate::{HEARTBEAT_INTERVAL, HEARTBEAT_STALE_AFTER};
use chervilledge_scheduler::message::{FromAgent, NO_SECRET, ToAgent};
use chervilledge_scheduler::placer::{self, Context, Message};
use chervilledge_scheduler::roster::{self, Roster};
use chervilledge_scheduler::rows::{self, Effect};
use chervilledge_scheduler::store::{CallFuture, Outcome, Store, Table, Transaction};
use chervilledge_scheduler::{clock, metrics};
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use rstest::rstest;
use support::{Fault, MemoryStore, agent, job, tokio_clock};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Term and revision of the placer under test.
const TERM: u64 = 2;
const REVISION: u64 = 9;
/// Time after its acknowledgement within which a cancellation must stop the tasks of a job.
const CANCELLATION_APPLY: Duration = Duration::from_secs(3);
/// Timeout for conditions that should be met soon.
const WAIT_LIMIT: Duration = Duration::from_secs(20);
/// Time after the end of its lease within which the row of an agent that can't be reached is deleted.
const AGENT_ROW_DELETION_MAX: Duration = Duration::from_secs(9);
/// Time within which a placer that doesn't wait would have placed.
const OBSERVATION_TIME: Duration = Duration::from_millis(800);

fn placer_row(term: u64, holder: Option<&str>) -> rows::Placer {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    rows::Placer { term, holder: holder.map(Arc::from), address }
}

fn roster(term: u64, revision: u64, agents: &[(&str, SocketAddr)]) -> Arc<Roster> {
    let agents = agents.iter().map(|(name, address)| (Name::from(*name), *address)).collect();
    Arc::new(Roster { placer: Some((placer_row(term, Some("entry-1")), revision)), agents, ..Roster::default() })
}

fn configuration() -> Arc<Configuration> {
    let job = job(1);
    let queue =
        Queue { name: Arc::clone(&job.queue), host: Arc::from("host"), path_prefix: Arc::from("/"), terms: job.terms };
    let mut services: Map<Name, Service> = Map::default();
    services.insert(Arc::from("portal"), Service::default());
    let limits = Limits { body_bytes_max: 1 << 20, head_bytes_max: 1 << 14, head_timeout: Duration::from_secs(5) };
    Arc::new(Configuration { version: 1, queues: vec![queue], services, limits })
}

/// Store in which the placer's row has the revision of the claim.
fn claimed_rows() -> MemoryStore {
    let rows = MemoryStore::with_fault(Fault::None);
    for _ in 0..REVISION {
        rows.write(Table::Cell, rows::PLACER_KEY, Some(rows::encode(&placer_row(TERM, Some("entry-1")))));
    }
    rows
}

fn context(rows: &MemoryStore, clock: Clock, roster: watch::Receiver<Option<Arc<Roster>>>) -> Context {
    Context {
        name: Arc::from("entry-1"),
        claimed: clock.now(),
        clock,
        store: rows.store(),
        roster,
        configuration: watch::channel(Some(configuration())).1,
        evacuated: watch::channel(Arc::default()).1,
        operator_rows_read: watch::channel(Duration::ZERO).1,
        evacuation_apply: None,
        term: TERM,
        revision: REVISION,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        predecessor: Some(placer_row(TERM - 1, None)),
        is_predecessor_alone: true,
        former_witnesses: None,
        former_renewed: Duration::ZERO,
        handed_over_leases: Map::default(),
        lease: Duration::from_secs(5),
        cancellation_apply: CANCELLATION_APPLY,
        metrics: metrics::open(),
        ended_jobs_kept: Duration::from_mins(2),
    }
}

/// A roster from before the claim may lack an agent to which the previous placer gave work.
#[tokio::test]
async fn nothing_is_placed_by_a_view_of_the_cell_from_before_the_claim() {
    let agent = agent::spawn().await;
    let (view, roster_view) = watch::channel(Some(roster(TERM - 1, REVISION - 1, &[("agent-1", agent.address)])));
    let context = context(&claimed_rows(), clock::system(), roster_view);
    let placer = placer::spawn(context).await.expect("placer");
    agent.worker.wait_for("a poll under the new term", |script| script.polls.len() > 2).await;
    placer.cast(Message::Submitted(Box::new(job(1)))).expect("running");
    tokio::time::sleep(OBSERVATION_TIME).await;
    assert_eq!(agent.worker.change(|script| script.starts.len()), 0, "the view is older than the claim");
    view.send_replace(Some(roster(TERM, REVISION, &[("agent-1", agent.address)])));
    agent.worker.wait_for("a start", |script| !script.starts.is_empty()).await;
}

/// A placer whose term the store confirms must not start runs by operator's rows that it hasn't read for longer than an
/// evacuation may take: the failure domain of the worker may have been evacuated meanwhile.
#[tokio::test]
async fn nothing_starts_while_the_operators_rows_are_out_of_date() {
    let agent = agent::spawn().await;
    let (_view, roster_view) = watch::channel(Some(roster(TERM, REVISION, &[("agent-1", agent.address)])));
    let clock = clock::system();
    let (read, operator_rows_read) = watch::channel(clock.now());
    let evacuation_apply = Some(OBSERVATION_TIME);
    let context =
        Context { operator_rows_read, evacuation_apply, ..context(&claimed_rows(), clock.clone(), roster_view) };
    let placer = placer::spawn(context).await.expect("placer");
    agent.worker.wait_for("a poll under the term", |script| script.polls.len() > 2).await;
    tokio::time::sleep(OBSERVATION_TIME + HEARTBEAT_INTERVAL * 2).await;
    placer.cast(Message::Submitted(Box::new(job(1)))).expect("running");
    tokio::time::sleep(OBSERVATION_TIME).await;
    assert_eq!(agent.worker.change(|script| script.starts.len()), 0, "the rows are older than an evacuation may take");
    read.send_replace(clock.now());
    agent.worker.wait_for("a start", |script| !script.starts.is_empty()).await;
}

/// A read lost by a silent store must not hide a cancellation for longer than the job's tasks may continue.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_cancellation_stored_while_the_store_was_silent_takes_effect_in_time(
    #[values(0, 700, 1_400, 2_300, 3_700)] begins_after_ms: u64,
    #[values(300, 1_500, 3_500, 4_500)] silent_for_ms: u64,
) {
    let rows = claimed_rows();
    rows.write(Table::Jobs, &rows::job_key(JobId(1)), Some(rows::encode(&job(1))));
    let (_view, roster_view) = watch::channel(Some(roster(TERM, REVISION, &[])));
    let placer = placer::spawn(context(&rows, tokio_clock(), roster_view)).await.expect("placer");
    let state = || async { ractor::call_t!(placer, Message::State, 500, JobId(1)).expect("running") };
    tokio::time::sleep(Duration::from_millis(1_000 + begins_after_ms)).await;
    assert_eq!(state().await, Some(JobState::Queued));
    rows.set_fault(Fault::Silent);
    tokio::time::sleep(Duration::from_millis(silent_for_ms / 2)).await;
    rows.write(Table::Jobs, &rows::cancel_key(JobId(1)), Some(Vec::new()));
    tokio::time::sleep(Duration::from_millis(silent_for_ms - silent_for_ms / 2)).await;
    rows.set_fault(Fault::None);
    tokio::time::sleep(CANCELLATION_APPLY).await;
    assert_eq!(state().await, Some(JobState::Canceled), "{CANCELLATION_APPLY:?} after the store is back");
}

/// One lost heartbeat must not look like the end of the placer.
#[tokio::test(start_paused = true)]
async fn a_swallowed_sign_of_life_is_repeated_before_the_cell_is_taken_over() {
    let rows = claimed_rows();
    let (_view, roster_view) = watch::channel(Some(roster(TERM, REVISION, &[])));
    let _placer = placer::spawn(context(&rows, tokio_clock(), roster_view)).await.expect("placer");
    let heartbeats = || rows.writes(Table::Cell, rows::HEARTBEAT_KEY);
    tokio::time::sleep(HEARTBEAT_INTERVAL * 5 / 4).await;
    let before = heartbeats();
    tokio::time::sleep(HEARTBEAT_INTERVAL / 2).await;
    rows.set_fault(Fault::Silent);
    tokio::time::sleep(HEARTBEAT_INTERVAL / 2).await;
    rows.set_fault(Fault::None);
    assert_eq!(heartbeats(), before, "the heartbeat was lost");
    tokio::time::sleep(HEARTBEAT_STALE_AFTER.saturating_sub(HEARTBEAT_INTERVAL * 5 / 4)).await;
    assert!(heartbeats() > before);
}

/// A previous placer that died before it knew that its own predecessor had ended proves nothing about that
/// predecessor's runs.
#[rstest]
#[case::former_knew(true, Duration::from_secs(1))]
#[case::former_did_not_know(false, AUTHORITY_PERIOD)]
#[tokio::test(start_paused = true)]
async fn a_chain_of_former_placers_is_over_when_the_last_one_knew(
    #[case] is_predecessor_alone: bool,
    #[case] after: Duration,
) {
    let rows = claimed_rows();
    let (_view, roster_view) = watch::channel(Some(roster(TERM, REVISION, &[])));
    let context = Context { is_predecessor_alone, ..context(&rows, tokio_clock(), roster_view) };
    let _placer = placer::spawn(context).await.expect("placer");
    let is_alone = || {
        let heartbeat = rows
            .value(Table::Cell, rows::HEARTBEAT_KEY)
            .and_then(|value| rows::decode::<rows::Heartbeat>(rows::HEARTBEAT_KEY, &value));
        heartbeat.is_some_and(|heartbeat| heartbeat.term == TERM && heartbeat.is_alone)
    };
    tokio::time::sleep(after.saturating_sub(HEARTBEAT_INTERVAL)).await;
    let early = is_alone();
    tokio::time::sleep(HEARTBEAT_INTERVAL * 3 / 2).await;
    assert_eq!((early, is_alone()), (is_predecessor_alone && after > HEARTBEAT_INTERVAL, true));
}

/// A successor of a placer that doesn't know of the end of its own predecessor would wait for that one again.
#[tokio::test(start_paused = true)]
async fn a_predecessor_that_never_answers_is_never_over() {
    let rows = claimed_rows();
    let silent = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("free port");
    let address = silent.local_addr().expect("address");
    let predecessor = Some(rows::Placer { address, ..placer_row(TERM - 1, Some("entry-2")) });
    let (_view, roster_view) = watch::channel(Some(roster(TERM, REVISION, &[])));
    let context = Context { predecessor, ..context(&rows, tokio_clock(), roster_view) };
    let _placer = placer::spawn(context).await.expect("placer");
    tokio::time::sleep(AUTHORITY_PERIOD + HEARTBEAT_INTERVAL).await;
    let value = rows.value(Table::Cell, rows::HEARTBEAT_KEY).expect("a heartbeat");
    assert!(rows::decode::<rows::Heartbeat>(rows::HEARTBEAT_KEY, &value).expect("well-formed").is_alone);
}

/// Measured effects of pairs of images survive the loss of all processes. The next placer sends them to agents that
/// know none, and to each agent only those for the images that serve on its worker.
#[tokio::test]
async fn learnt_effects_outlast_the_loss_of_every_process() {
    let rows = claimed_rows();
    let serving = Step {
        count: 1,
        lasting: true,
        image: Some(Arc::from("sensitive")),
        latency_target: Some(Duration::from_millis(20)),
        ..Step::default()
    };
    let serving = Job { steps: vec![serving], ..job(1) };
    rows.write(Table::Jobs, &rows::job_key(JobId(1)), Some(rows::encode(&serving)));
    let pair = |serving: &str| Pair { filling: Arc::from("heavy"), serving: Arc::from(serving) };
    let evidence = Evidence { information: 900.0, weighted_effect: 270.0 };
    let first = TestAgent::listen().await;
    let (_view, roster_view) = watch::channel(Some(roster(TERM, REVISION, &[("agent-1", first.address)])));
    let placer = placer::spawn(context(&rows, clock::system(), roster_view)).await.expect("placer");
    let link = first.accept().await;
    let all = ["sensitive", "elsewhere"].map(|serving| Effect::from_evidence(&(pair(serving), evidence)));
    link.sender.post(FromAgent::Effects(all.to_vec()));
    let kept = async {
        while !rows.has(Table::Progress, rows::EFFECTS_KEY) {
            tokio::time::sleep(Duration::from_millis(20)).await;
            link.sender.post(FromAgent::Ask { asked: Duration::ZERO, stops_in: None });
        }
    };
    tokio::time::timeout(WAIT_LIMIT, kept).await.expect("the effects are kept");
    placer.stop(None);
    drop((link, first));

    let second = TestAgent::listen().await;
    let (_view, roster_view) = watch::channel(Some(roster(TERM, REVISION, &[("agent-1", second.address)])));
    let _placer = placer::spawn(context(&rows, clock::system(), roster_view)).await.expect("placer");
    let mut link = second.accept().await;
    let effects = link.wait_for_effects().await;
    let sent_pairs: Vec<Pair> = effects.iter().map(|(pair, _)| pair.clone()).collect();
    assert_eq!(sent_pairs, [pair("sensitive")]);
    assert!(effects[0].1.per_core() > 0.15, "{}", effects[0].1.per_core());
}

/// The row of an agent may be deleted while runs continue on its worker, which may then be lost unseen.
#[rstest]
#[tokio::test]
async fn a_task_is_not_left_to_an_agent_whose_row_is_gone(#[values(true, false)] is_started_before: bool) {
    let (first, second) = (TestAgent::listen().await, TestAgent::listen().await);
    let (view, roster_view) = watch::channel(Some(roster(TERM, REVISION, &[("agent-1", first.address)])));
    let context = Context { lease: Duration::from_secs(1), ..context(&claimed_rows(), clock::system(), roster_view) };
    let placer = placer::spawn(context).await.expect("placer");
    let submit = || placer.cast(Message::Submitted(Box::new(job(1)))).expect("running");
    let mut link = first.accept().await;
    // Sent in answer to the inventory.
    assert_eq!(link.first_of_evacuation_and_start().await, Some((0, false)));
    if is_started_before {
        submit();
        link.wait_for_start().await;
    }
    view.send_replace(Some(roster(TERM, REVISION, &[])));
    while link.receiver.receive::<ToAgent>(WAIT_LIMIT).await.is_ok() {}
    drop((link, first));
    if !is_started_before {
        submit();
        tokio::time::sleep(OBSERVATION_TIME).await;
    }
    view.send_replace(Some(roster(TERM, REVISION, &[("agent-2", second.address)])));
    second.accept().await.wait_for_start().await;
}

/// The machine of a stopping agent may be removed with the worker and its runs.
#[tokio::test]
async fn a_task_goes_to_the_worker_of_an_agent_that_has_announced_its_stop() {
    let (stopping, other) = (TestAgent::listen().await, TestAgent::listen().await);
    let agents = [("agent-1", stopping.address), ("agent-2", other.address)];
    let (_view, roster_view) = watch::channel(Some(roster(TERM, REVISION, &agents)));
    let placer = placer::spawn(context(&claimed_rows(), clock::system(), roster_view)).await.expect("placer");
    let (mut stopping_link, mut other_link) = tokio::join!(stopping.accept(), other.accept());
    stopping_link.sender.post(FromAgent::Ask { asked: Duration::ZERO, stops_in: Some(Duration::from_secs(5)) });
    while !matches!(stopping_link.receiver.receive::<ToAgent>(WAIT_LIMIT).await, Ok(ToAgent::Grant { .. })) {}
    assert_eq!(other_link.first_of_evacuation_and_start().await, Some((0, false)));
    placer.cast(Message::Submitted(Box::new(job(1)))).expect("running");
    tokio::select! {
        () = other_link.wait_for_start() => {}
        () = stopping_link.wait_for_start_while_stopping() => panic!("the task starts on the worker of the stopping agent"),
    }
}

/// A link that opened just before the row was deleted has nobody who would notice its end.
#[tokio::test]
async fn a_link_opened_to_an_agent_whose_row_is_gone_is_not_used() {
    let (first, second) = (TestAgent::listen().await, TestAgent::listen().await);
    let (view, roster_view) = watch::channel(Some(roster(TERM, REVISION, &[])));
    let placer = placer::spawn(context(&claimed_rows(), clock::system(), roster_view)).await.expect("placer");
    let (opened, _agent) = tokio::join!(connection::connect::<ToAgent>(first.address, NO_SECRET), first.accept());
    let (sender, mut receiver) = opened.expect("a link");
    let message = Box::new(receiver.receive::<FromAgent>(WAIT_LIMIT).await.expect("an inventory"));
    let agent = Name::from("agent-1");
    placer.cast(Message::Linked { agent: Arc::clone(&agent), link: 1, sender }).expect("running");
    placer.cast(Message::FromAgent { agent, link: 1, message }).expect("running");
    tokio::time::sleep(OBSERVATION_TIME).await;
    placer.cast(Message::Submitted(Box::new(job(1)))).expect("running");
    tokio::time::sleep(OBSERVATION_TIME).await;
    view.send_replace(Some(roster(TERM, REVISION, &[("agent-2", second.address)])));
    second.accept().await.wait_for_start().await;
}

/// An agent that comes back writes its row again. Without a row, it would be lost to this placer and to its successor.
#[rstest]
#[tokio::test(start_paused = true)]
async fn the_row_of_an_agent_that_comes_back_is_not_deleted(#[values(true, false)] does_return: bool) {
    const ROW: &str = "agent/agent-1";
    let rows = claimed_rows();
    let agent = rows::encode(&rows::Process { address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)) });
    rows.write(Table::Cell, ROW, Some(agent.clone()));
    let reader = roster::spawn(rows.store(), tokio_clock());
    let (deletions, mut deletion) = watch::channel(false);
    // Deletions from this table take effect late.
    let (store, commits) = (rows.store(), rows.store());
    let commit = Box::new(move |transaction: Transaction| {
        let is_late = transaction.changes.iter().any(|change| change.table == Table::Cell && change.value.is_none());
        let (commits, deletions) = (Arc::clone(&commits), deletions.clone());
        Box::pin(async move {
            if is_late {
                deletions.send_replace(true);
                tokio::time::sleep(OBSERVATION_TIME).await;
            }
            (commits.commit)(transaction).await
        }) as CallFuture<Outcome>
    });
    let calls = [(); 4].map(|()| Arc::clone(&store));
    let [read, read_one, watch, watch_configuration] = calls;
    let store = Arc::new(Store {
        commit,
        read: Box::new(move |page| (read.read)(page)),
        read_one: Box::new(move |row| (read_one.read_one)(row)),
        watch: Box::new(move |changes| (watch.watch)(changes)),
        watch_configuration: Box::new(move |changes| (watch_configuration.watch_configuration)(changes)),
    });
    let context = Context { store, ..context(&rows, tokio_clock(), reader.view.clone()) };
    let _placer = placer::spawn(context).await.expect("placer");
    tokio::time::timeout(WAIT_LIMIT * 3, deletion.wait_for(|is_sent| *is_sent))
        .await
        .expect("a deletion")
        .expect("open");
    if does_return {
        rows.write(Table::Cell, ROW, Some(agent));
    }
    tokio::time::sleep(OBSERVATION_TIME + HEARTBEAT_INTERVAL / 2).await;
    assert_eq!(rows.has(Table::Cell, ROW), does_return);
}

/// The worker of an agent that is back was left out until the agent wrote its row again, 3 s later.
#[tokio::test]
async fn the_row_of_a_linked_agent_is_deleted_while_its_worker_starts() {
    const ROW: &str = "agent/agent-1";
    let agent = TestAgent::listen().await;
    let rows = claimed_rows();
    rows.write(Table::Cell, ROW, Some(rows::encode(&rows::Process { address: agent.address })));
    let mut reader = roster::spawn(rows.store(), clock::system());
    reader.view.wait_for(Option::is_some).await.expect("running");
    let lease = Duration::from_secs(1);
    let context = Context { lease, ..context(&rows, clock::system(), reader.view.clone()) };
    let _placer = placer::spawn(context).await.expect("placer");
    let mut link = agent.accept_link().await;
    let linked = Instant::now();
    while linked.elapsed() < lapse_after(lease) + AGENT_ROW_DELETION_MAX {
        link.sender.post(FromAgent::Ask { asked: Duration::ZERO, stops_in: None });
        let answer = link.receiver.receive::<ToAgent>(WAIT_LIMIT).await;
        assert!(answer.is_ok(), "the placer leaves the agent after {:?}", linked.elapsed());
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
    assert!(rows.has(Table::Cell, ROW));
}

fn evacuated(revision: u64, is_requested: bool) -> Arc<EvacuatedDomains> {
    let mut domains = EvacuatedDomains::default();
    domains.note(&Name::from("a"), Standing { revision, is_requested });
    Arc::new(domains)
}

/// A successor must not start anything in a domain that was evacuated before its claim, nor once a request has become
/// known; after the removal the domain accepts work again.
#[tokio::test]
async fn a_placer_starts_nothing_in_an_evacuated_domain() {
    let agent = agent::spawn().await;
    let (evacuation, evacuations) = watch::channel(evacuated(5, true));
    let (_view, roster_view) = watch::channel(Some(roster(TERM, REVISION, &[("agent-1", agent.address)])));
    let context = Context { evacuated: evacuations, ..context(&claimed_rows(), clock::system(), roster_view) };
    let placer = placer::spawn(context).await.expect("placer");
    agent.worker.wait_for("a poll under the new term", |script| script.polls.len() > 2).await;
    let submit = |id| placer.cast(Message::Submitted(Box::new(job(id)))).expect("running");
    submit(1);
    tokio::time::sleep(OBSERVATION_TIME).await;
    assert_eq!(agent.worker.change(|script| script.starts.len()), 0);
    evacuation.send_replace(evacuated(6, false));
    agent.worker.wait_for("a start after the removal", |script| !script.starts.is_empty()).await;
    evacuation.send_replace(evacuated(7, true));
    tokio::time::sleep(Duration::from_millis(50)).await;
    submit(2);
    tokio::time::sleep(OBSERVATION_TIME).await;
    assert_eq!(agent.worker.change(|script| script.starts.len()), 1);
}

/// A restarted agent knows no evacuations; it must learn of one, or of its removal, before the first start.
#[tokio::test]
async fn an_agent_is_told_of_its_domain_before_anything_starts() {
    let (evacuation, evacuations) = watch::channel(evacuated(5, true));
    let first = TestAgent::listen().await;
    let (_view, roster_view) = watch::channel(Some(roster(TERM, REVISION, &[("agent-1", first.address)])));
    let context = Context { evacuated: evacuations, ..context(&claimed_rows(), clock::system(), roster_view) };
    let placer = placer::spawn(context).await.expect("placer");
    for _ in 0..2 {
        let mut link = first.accept().await;
        assert_eq!(link.first_of_evacuation_and_start().await, Some((5, true)));
    }
    let mut link = first.accept().await;
    assert_eq!(link.first_of_evacuation_and_start().await, Some((5, true)));
    evacuation.send_replace(evacuated(6, false));
    assert_eq!(link.first_of_evacuation_and_start().await, Some((6, false)));
    placer.cast(Message::Submitted(Box::new(job(1)))).expect("running");
    assert_eq!(link.first_of_evacuation_and_start().await, None);
    evacuation.send_replace(evacuated(7, true));
    assert_eq!(link.first_of_evacuation_and_start().await, Some((7, true)));
}

/// Captures the fields of all log lines of the process.
struct Lines(Mutex<Vec<Map<String, String>>>);

static LINES: Lines = Lines(Mutex::new(Vec::new()));

struct Fields(Map<String, String>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

impl Log for Lines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut fields = Fields(Map::default());
        record.key_values().visit(&mut fields).expect("fields");
        self.0.lock().expect("no line is malformed").push(fields.0);
    }

    fn flush(&self) {}
}

/// `chervilledge trace --late` would find no late job if a field of this line had a different name or format.
#[rstest]
#[case::measured(0x71, false, "1150")]
#[case::lasting(0x72, true, "0")]
#[tokio::test(start_paused = true)]
async fn the_line_of_an_ended_job_has_its_objective(
    #[case] id: u64,
    #[case] lasting: bool,
    #[case] objective_ms: &str,
) {
    // Set by whichever case runs first.
    let _is_first = log::set_logger(&LINES);
    log::set_max_level(LevelFilter::Info);
    let rows = claimed_rows();
    // 1.5 times the chain of 600 ms, plus 250 ms. The age of a job that lasts until it is cancelled is meaningless.
    let step = Step { count: 1, estimate: Duration::from_millis(600), lasting, ..Step::default() };
    rows.write(Table::Jobs, &rows::job_key(JobId(id)), Some(rows::encode(&Job { steps: vec![step], ..job(id) })));
    rows.write(Table::Jobs, &rows::cancel_key(JobId(id)), Some(Vec::new()));
    let (_view, roster_view) = watch::channel(Some(roster(TERM, REVISION, &[])));
    let _placer = placer::spawn(context(&rows, tokio_clock(), roster_view)).await.expect("placer");
    tokio::time::sleep(CANCELLATION_APPLY).await;
    // If a failing test held the lock, the others would fail as well.
    let lines = LINES.0.lock().expect("no line is malformed").clone();
    let is_of_job = |line: &&Map<String, String>| line.get("job") == Some(&JobId(id).to_string());
    let ended = lines.iter().find(|line| line["event"] == "job_ended" && is_of_job(line)).expect("a line");
    assert_eq!(["state", "queue", "objective_ms"].map(|name| &*ended[name]), ["Canceled", "quotes", objective_ms]);
    assert!(ended["age_ms"].parse::<u64>().is_ok(), "{ended:?}");
}

/// Agent that only accepts links.
struct TestAgent {
    listener: TcpListener,
    address: SocketAddr,
}

/// Link from a placer to that agent.
struct PlacerLink {
    sender: Sender<FromAgent>,
    receiver: Receiver,
}

impl TestAgent {
    async fn listen() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("free port");
        let address = listener.local_addr().expect("address");
        Self { listener, address }
    }

    /// Accepts a link on which the placer isn't told of the worker.
    async fn accept_link(&self) -> PlacerLink {
        let (stream, _) = self.listener.accept().await.expect("a link");
        let (sender, receiver) = connection::accept_typed(stream, |_| true).await.expect("a handshake");
        PlacerLink { sender, receiver }
    }

    async fn accept(&self) -> PlacerLink {
        let link = self.accept_link().await;
        let worker = Worker {
            life: agent::life(),
            service: Arc::from("portal"),
            failure_domain: Arc::from("a"),
            resources: Resources { processor_millicores: 16_000, ..Resources::default() },
            kind: None,
            rack: None,
            leaves_in: None,
            cold_for: Duration::ZERO,
        };
        link.sender.post(FromAgent::Inventory {
            worker: Some(worker),
            running: Vec::new(),
            starting: Vec::new(),
            ends: Vec::new(),
            is_empty: false,
            is_partial: false,
            asked: Duration::ZERO,
            version: None,
            crashes: Vec::new(),
            foreign_lease: None,
        });
        link
    }
}

impl PlacerLink {
    /// Evacuation state in the next message about evacuations or starts; `None` for a start.
    async fn first_of_evacuation_and_start(&mut self) -> Option<(u64, bool)> {
        let first = async {
            loop {
                match self.receiver.receive::<ToAgent>(WAIT_LIMIT).await.expect("a message") {
                    ToAgent::Evacuation { revision, is_requested, .. } => return Some((revision, is_requested)),
                    ToAgent::Start { .. } => return None,
                    _ => self.sender.post(FromAgent::Ask { asked: Duration::ZERO, stops_in: None }),
                }
            }
        };
        tokio::time::timeout(WAIT_LIMIT, first).await.expect("an evacuation or a start")
    }

    async fn wait_for_start_while_stopping(&mut self) {
        while !matches!(self.receiver.receive::<ToAgent>(WAIT_LIMIT).await, Ok(ToAgent::Start { .. })) {
            self.sender.post(FromAgent::Ask { asked: Duration::ZERO, stops_in: Some(Duration::from_secs(5)) });
        }
    }

    async fn wait_for_start(&mut self) {
        while self.first_of_evacuation_and_start().await.is_some() {}
    }

    async fn wait_for_effects(&mut self) -> Vec<(Pair, Evidence)> {
        loop {
            self.sender.post(FromAgent::Ask { asked: Duration::ZERO, stops_in: None });
            if let ToAgent::Effects(effects) = self.receiver.receive::<ToAgent>(WAIT_LIMIT).await.expect("a message") {
                return effects.into_iter().map(Effect::into_evidence).collect();
            }
        }
    }
}

/// The agent may hold runs of the former placer, and a live one publishes its row again.
#[rstest]
#[case::no_cbor(b"\xff\x00".to_vec())]
#[case::nested(vec![0x81; 100_000])]
#[case::address_missing(rows::encode(&[("port", 80)]))]
#[case::address_of_nothing(rows::encode(&rows::Process { address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)) }))]
#[tokio::test]
async fn an_agent_whose_row_names_no_address_may_hold_runs_until_its_lease_has_ended(#[case] odd: Vec<u8>) {
    let agent = agent::spawn().await;
    let rows = claimed_rows();
    let process = rows::Process { address: agent.address };
    rows.write(Table::Cell, "agent/agent-1", Some(rows::encode(&process)));
    rows.write(Table::Cell, "agent/odd", Some(odd));
    rows.write(Table::Jobs, &rows::job_key(JobId(1)), Some(rows::encode(&job(1))));
    let mut reader = roster::spawn(rows.store(), clock::system());
    reader.view.wait_for(Option::is_some).await.expect("running");
    let began = Instant::now();
    let context = context(&rows, clock::system(), reader.view.clone());
    let lease = context.lease;
    let _placer = placer::spawn(context).await.expect("placer");
    agent.worker.wait_for("a start", |script| !script.starts.is_empty()).await;
    assert!(began.elapsed() >= lease, "a start after {:?}", began.elapsed());
    tokio::time::sleep(AGENT_ROW_DELETION_MAX).await;
    assert!(!rows.has(Table::Cell, "agent/odd"));
    assert!(rows.has(Table::Cell, "agent/agent-1"));
}
