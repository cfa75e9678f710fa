//! When a new placer begins to place.

mod support;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use chervilledge_cell::authority::AUTHORITY_PERIOD;
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
use chervilledge_scheduler::candidate::{BEAT_INTERVAL, STALE_AFTER};
use chervilledge_scheduler::message::{FromAgent, ToAgent};
use chervilledge_scheduler::placer::{self, Context, Message};
use chervilledge_scheduler::roster::Roster;
use chervilledge_scheduler::rows::{self, Effect};
use chervilledge_scheduler::store::Table;
use chervilledge_scheduler::{clock, metrics};
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use rstest::rstest;
use support::{Fault, Rows, agent, job, tokio_clock};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Term and revision of the placer under test.
const TERM: u64 = 2;
const REVISION: u64 = 9;
/// Time after its acknowledgement within which a cancellation stops the tasks of a job.
const CANCELLATION_APPLY: Duration = Duration::from_secs(3);
/// Time for which a test waits for something that should happen soon.
const PATIENCE: Duration = Duration::from_secs(20);
/// Time in which a placer that doesn't wait would have placed.
const A_WHILE: Duration = Duration::from_millis(800);

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

/// A store in which the placer's row has the revision of the claim.
fn claimed_rows() -> Rows {
    let rows = Rows::with(Fault::None);
    for _ in 0..REVISION {
        rows.write(Table::Cell, rows::PLACER, Some(rows::encode(&placer_row(TERM, Some("entry-1")))));
    }
    rows
}

fn context(rows: &Rows, clock: Clock, roster: watch::Receiver<Option<Arc<Roster>>>) -> Context {
    Context {
        name: Arc::from("entry-1"),
        claimed: clock.now(),
        clock,
        store: rows.store(),
        roster,
        configuration: watch::channel(Some(configuration())).1,
        evacuated: watch::channel(Arc::default()).1,
        term: TERM,
        revision: REVISION,
        former: Some(placer_row(TERM - 1, None)),
        is_former_alone: true,
        lease: Duration::from_secs(5),
        cancellation_apply: CANCELLATION_APPLY,
        metrics: metrics::open(),
        ended_jobs_kept: Duration::from_mins(2),
    }
}

/// A view of the cell from before the claim may lack an agent that the former placer gave work to.
#[tokio::test]
async fn nothing_is_placed_by_a_view_of_the_cell_from_before_the_claim() {
    let agent = agent::spawn().await;
    let (view, roster_view) = watch::channel(Some(roster(TERM - 1, REVISION - 1, &[("agent-1", agent.address)])));
    let context = context(&claimed_rows(), clock::system(), roster_view);
    let placer = placer::spawn(context).await.expect("placer");
    agent.worker.wait_for("a look under the new term", |script| script.looks.len() > 2).await;
    placer.cast(Message::Submitted(Box::new(job(1)))).expect("running");
    tokio::time::sleep(A_WHILE).await;
    assert_eq!(agent.worker.change(|script| script.starts.len()), 0, "the view is older than the claim");
    view.send_replace(Some(roster(TERM, REVISION, &[("agent-1", agent.address)])));
    agent.worker.wait_for("a start", |script| !script.starts.is_empty()).await;
}

/// A read that the silent store has swallowed must not hide a cancellation for longer than its tasks may run on.
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
    rows.set(Fault::Silent);
    tokio::time::sleep(Duration::from_millis(silent_for_ms / 2)).await;
    rows.write(Table::Jobs, &rows::cancel_key(JobId(1)), Some(Vec::new()));
    tokio::time::sleep(Duration::from_millis(silent_for_ms - silent_for_ms / 2)).await;
    rows.set(Fault::None);
    tokio::time::sleep(CANCELLATION_APPLY).await;
    assert_eq!(state().await, Some(JobState::Canceled), "{CANCELLATION_APPLY:?} after the store is back");
}

/// One sign of life that the store swallowed must not look like the end of the placer.
#[tokio::test(start_paused = true)]
async fn a_swallowed_sign_of_life_is_repeated_before_the_cell_is_taken_over() {
    let rows = claimed_rows();
    let (_view, roster_view) = watch::channel(Some(roster(TERM, REVISION, &[])));
    let _placer = placer::spawn(context(&rows, tokio_clock(), roster_view)).await.expect("placer");
    let beats = || rows.writes(Table::Cell, rows::BEAT);
    tokio::time::sleep(BEAT_INTERVAL * 5 / 4).await;
    let before = beats();
    tokio::time::sleep(BEAT_INTERVAL / 2).await;
    rows.set(Fault::Silent);
    tokio::time::sleep(BEAT_INTERVAL / 2).await;
    rows.set(Fault::None);
    assert_eq!(beats(), before, "the sign of life was swallowed");
    tokio::time::sleep(STALE_AFTER.saturating_sub(BEAT_INTERVAL * 5 / 4)).await;
    assert!(beats() > before);
}

/// A former placer that died before it knew of its own predecessor's end says nothing of that one's runs.
#[rstest]
#[case::former_knew(true, Duration::from_secs(1))]
#[case::former_did_not_know(false, AUTHORITY_PERIOD)]
#[tokio::test(start_paused = true)]
async fn a_chain_of_former_placers_is_over_when_the_last_one_knew(
    #[case] is_former_alone: bool,
    #[case] after: Duration,
) {
    let rows = claimed_rows();
    let (_view, roster_view) = watch::channel(Some(roster(TERM, REVISION, &[])));
    let context = Context { is_former_alone, ..context(&rows, tokio_clock(), roster_view) };
    let _placer = placer::spawn(context).await.expect("placer");
    let is_alone = || {
        let beat = rows.value(Table::Cell, rows::BEAT).and_then(|value| rows::decode::<rows::Beat>(rows::BEAT, &value));
        beat.is_some_and(|beat| beat.term == TERM && beat.is_alone)
    };
    tokio::time::sleep(after.saturating_sub(BEAT_INTERVAL)).await;
    let early = is_alone();
    tokio::time::sleep(BEAT_INTERVAL * 3 / 2).await;
    assert_eq!((early, is_alone()), (is_former_alone && after > BEAT_INTERVAL, true));
}

/// Effects of pairs of images outlast the loss of every process: the next placer tells them to agents that know nothing, and
/// each agent only those of the images that serve on its worker.
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
    let learnt = Evidence { information: 900.0, weighted_effect: 270.0 };
    let first = TestAgent::listen().await;
    let (_view, roster_view) = watch::channel(Some(roster(TERM, REVISION, &[("agent-1", first.address)])));
    let placer = placer::spawn(context(&rows, clock::system(), roster_view)).await.expect("placer");
    let link = first.accept().await;
    let all = ["sensitive", "elsewhere"].map(|serving| Effect::of(&(pair(serving), learnt)));
    link.sender.post(FromAgent::Effects(all.to_vec()));
    let kept = async {
        while !rows.has(Table::Progress, rows::EFFECTS) {
            tokio::time::sleep(Duration::from_millis(20)).await;
            link.sender.post(FromAgent::Ask { asked: Duration::ZERO });
        }
    };
    tokio::time::timeout(PATIENCE, kept).await.expect("the effects are kept");
    placer.stop(None);
    drop((link, first));

    let second = TestAgent::listen().await;
    let (_view, roster_view) = watch::channel(Some(roster(TERM, REVISION, &[("agent-1", second.address)])));
    let _placer = placer::spawn(context(&rows, clock::system(), roster_view)).await.expect("placer");
    let mut link = second.accept().await;
    let effects = link.wait_for_effects().await;
    let told: Vec<Pair> = effects.iter().map(|(pair, _)| pair.clone()).collect();
    assert_eq!(told, [pair("sensitive")]);
    assert!(effects[0].1.per_core() > 0.15, "{}", effects[0].1.per_core());
}

fn evacuated(revision: u64, is_requested: bool) -> Arc<EvacuatedDomains> {
    let mut domains = EvacuatedDomains::default();
    domains.note(&Name::from("a"), Standing { revision, is_requested });
    Arc::new(domains)
}

/// A successor must not start anything in a domain that was evacuated before its claim, nor after the request has become
/// known; the domain takes work again after the removal.
#[tokio::test]
async fn a_placer_starts_nothing_in_an_evacuated_domain() {
    let agent = agent::spawn().await;
    let (evacuation, evacuations) = watch::channel(evacuated(5, true));
    let (_view, roster_view) = watch::channel(Some(roster(TERM, REVISION, &[("agent-1", agent.address)])));
    let context = Context { evacuated: evacuations, ..context(&claimed_rows(), clock::system(), roster_view) };
    let placer = placer::spawn(context).await.expect("placer");
    agent.worker.wait_for("a look under the new term", |script| script.looks.len() > 2).await;
    let submit = |id| placer.cast(Message::Submitted(Box::new(job(id)))).expect("running");
    submit(1);
    tokio::time::sleep(A_WHILE).await;
    assert_eq!(agent.worker.change(|script| script.starts.len()), 0);
    evacuation.send_replace(evacuated(6, false));
    agent.worker.wait_for("a start after the removal", |script| !script.starts.is_empty()).await;
    evacuation.send_replace(evacuated(7, true));
    tokio::time::sleep(Duration::from_millis(50)).await;
    submit(2);
    tokio::time::sleep(A_WHILE).await;
    assert_eq!(agent.worker.change(|script| script.starts.len()), 1);
}

/// An agent that has restarted knows no evacuation; it must learn of it, or of its removal, before the first start.
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

/// Keeps the fields of all log lines of the process.
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

/// `chervilledge trace --late` would find no late job if a field of this line had another name or form.
#[rstest]
#[case::measured(0x71, false, "1150")]
#[case::lasting(0x72, true, "0")]
#[tokio::test(start_paused = true)]
async fn the_line_of_an_ended_job_has_its_objective(
    #[case] id: u64,
    #[case] lasting: bool,
    #[case] objective_ms: &str,
) {
    // Whichever case comes first sets it.
    let _is_first = log::set_logger(&LINES);
    log::set_max_level(LevelFilter::Info);
    let rows = claimed_rows();
    // 1.5 times the chain of 600 ms, and 250 ms; the age of a job that lasts until it is cancelled says nothing.
    let step = Step { count: 1, estimate: Duration::from_millis(600), lasting, ..Step::default() };
    rows.write(Table::Jobs, &rows::job_key(JobId(id)), Some(rows::encode(&Job { steps: vec![step], ..job(id) })));
    rows.write(Table::Jobs, &rows::cancel_key(JobId(id)), Some(Vec::new()));
    let (_view, roster_view) = watch::channel(Some(roster(TERM, REVISION, &[])));
    let _placer = placer::spawn(context(&rows, tokio_clock(), roster_view)).await.expect("placer");
    tokio::time::sleep(CANCELLATION_APPLY).await;
    // A lock held by a test that fails would let the others fail with it.
    let lines = LINES.0.lock().expect("no line is malformed").clone();
    let is_of_job = |line: &&Map<String, String>| line.get("job") == Some(&JobId(id).to_string());
    let ended = lines.iter().find(|line| line["event"] == "job_ended" && is_of_job(line)).expect("a line");
    assert_eq!(["state", "queue", "objective_ms"].map(|name| &*ended[name]), ["Canceled", "quotes", objective_ms]);
    assert!(ended["age_ms"].parse::<u64>().is_ok(), "{ended:?}");
}

/// An agent that only listens.
struct TestAgent {
    listener: TcpListener,
    address: SocketAddr,
}

/// A placer's link to it.
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

    async fn accept(&self) -> PlacerLink {
        let (stream, _) = self.listener.accept().await.expect("a link");
        let (sender, receiver) = connection::accept_typed(stream, |_| true).await.expect("a handshake");
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
        sender.post(FromAgent::Inventory {
            worker: Some(worker),
            running: Vec::new(),
            starting: Vec::new(),
            ends: Vec::new(),
            is_empty: false,
            asked: Duration::ZERO,
        });
        PlacerLink { sender, receiver }
    }
}

impl PlacerLink {
    /// What the next message of these kinds says of the domain; `None` for a start.
    async fn first_of_evacuation_and_start(&mut self) -> Option<(u64, bool)> {
        let first = async {
            loop {
                match self.receiver.receive::<ToAgent>(PATIENCE).await.expect("a message") {
                    ToAgent::Evacuation { revision, is_requested, .. } => return Some((revision, is_requested)),
                    ToAgent::Start { .. } => return None,
                    _ => self.sender.post(FromAgent::Ask { asked: Duration::ZERO }),
                }
            }
        };
        tokio::time::timeout(PATIENCE, first).await.expect("word of the domain, or a start")
    }

    async fn wait_for_effects(&mut self) -> Vec<(Pair, Evidence)> {
        loop {
            self.sender.post(FromAgent::Ask { asked: Duration::ZERO });
            if let ToAgent::Effects(effects) = self.receiver.receive::<ToAgent>(PATIENCE).await.expect("a message") {
                return effects.into_iter().map(Effect::into_evidence).collect();
            }
        }
    }
}
