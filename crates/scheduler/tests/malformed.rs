//! Malformed rows and messages may cost their own row or link, but never a process.

mod support;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use chervilledge_cell::authority::AUTHORITY_PERIOD;
use chervilledge_cell::job::{Job, JobId, JobState, Step};
use chervilledge_cell::progress::Progress;
use chervilledge_cell::worker::Refusal;
use chervilledge_link::connection;
use chervilledge_policy::clock::Clock;
use chervilledge_policy::collections::Map;
use chervilledge_policy::id::Name;
use chervilledge_scheduler::message::{FromAgent, FromEntry, NO_SECRET, StoreOutcome, ToAgent, ToEntry};
use chervilledge_scheduler::placer::{self, Context, Message};
use chervilledge_scheduler::roster::Roster;
use chervilledge_scheduler::rows::{self, Effect};
use chervilledge_scheduler::store::Table;
use chervilledge_scheduler::{clock, entry, metrics, peer};
use ractor::ActorRef;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use support::agent::{self, link, task};
use support::ports::free_address;
use support::{Fault, MemoryStore, job};
use tokio::sync::watch;

/// Time within which a placer or an agent would have done what it must not do.
const OBSERVATION_TIME: Duration = Duration::from_millis(800);
/// Number of malformed messages per seed, each on a separate link.
const MESSAGES: u32 = 40;

/// Clock that a test can advance, to simulate a pause of the process.
fn clock_with_pauses() -> (Clock, Arc<AtomicU64>) {
    let (system, skipped_s) = (clock::system(), Arc::new(AtomicU64::new(0)));
    let skipped = Arc::clone(&skipped_s);
    (Clock::new(move || system.now() + Duration::from_secs(skipped.load(Ordering::Relaxed))), skipped_s)
}

/// Spawns a placer of the first term with one agent; also returns the sender of its roster.
async fn spawn_placer(
    rows: &MemoryStore,
    clock: Clock,
    agent: &agent::RunningAgent,
) -> (ActorRef<Message>, watch::Sender<Option<Arc<Roster>>>) {
    let row = rows::Placer {
        term: 1,
        holder: Some(Arc::from("entry-1")),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
    };
    rows.write(Table::Cell, rows::PLACER_KEY, Some(rows::encode(&row)));
    let revision = rows.revision(Table::Cell, rows::PLACER_KEY);
    let agents = std::iter::once((Name::from("agent-1"), agent.address)).collect();
    let roster = Roster { placer: Some((row, revision)), agents, ..Roster::default() };
    let (view, roster) = watch::channel(Some(Arc::new(roster)));
    let context = Context {
        name: Arc::from("entry-1"),
        claimed: clock.now(),
        clock,
        store: rows.store(),
        roster,
        configuration: watch::channel(Some(support::configuration_of(&job(1)))).1,
        evacuated: watch::channel(Arc::default()).1,
        operator_rows_read: watch::channel(Duration::ZERO).1,
        evacuation_apply: None,
        term: 1,
        revision,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        predecessor: None,
        is_predecessor_alone: true,
        former_witnesses: None,
        former_renewed: Duration::ZERO,
        handed_over_leases: Map::default(),
        lease: Duration::from_secs(5),
        cancellation_apply: Duration::from_secs(3),
        metrics: metrics::open(),
        ended_jobs_kept: Duration::from_mins(2),
    };
    (placer::spawn(context).await.expect("placer"), view)
}

async fn started(agent: &agent::RunningAgent) -> Vec<JobId> {
    agent.worker.wait_for("a start", |script| !script.starts.is_empty()).await;
    tokio::time::sleep(OBSERVATION_TIME).await;
    agent.worker.change(|script| script.starts.iter().map(|start| start.0.job).collect())
}

/// A malformed row is read by every successor, so it must not end the placer. A job of which nobody knows what has run
/// must not run.
#[tokio::test]
async fn malformed_rows_stop_nothing_but_their_own_job() {
    let rows = MemoryStore::with_fault(Fault::None);
    let put = |table, id, value| rows.write(table, &rows::job_key(JobId(id)), Some(value));
    put(Table::Jobs, 1, rows::encode(&job(1)));
    put(Table::Jobs, 2, b"\xff\x00".to_vec());
    let step = Step { count: 1, after: vec![99], ..Step::default() };
    put(Table::Jobs, 3, rows::encode(&Job { steps: vec![step], ..job(3) }));
    put(Table::Jobs, 4, rows::encode(&job(40)));
    put(Table::Jobs, 5, rows::encode(&job(5)));
    put(Table::Progress, 5, b"\xff\x00".to_vec());
    let odd = [Effect(Arc::from("a"), Arc::from("b"), f32::NAN, f32::INFINITY)];
    rows.write(Table::Progress, rows::EFFECTS_KEY, Some(rows::encode(&odd)));
    rows.write(Table::Jobs, "odd", Some(Vec::new()));
    let agent = agent::spawn().await;
    let (placer, _view) = spawn_placer(&rows, clock::system(), &agent).await;
    assert_eq!(started(&agent).await, [JobId(1)]);
    let step = Step { count: 1, after: vec![7], ..Step::default() };
    placer.cast(Message::Submitted(Box::new(Job { steps: vec![step], ..job(6) }))).expect("running");
    placer.cast(Message::Submitted(Box::new(job(5)))).expect("running");
    placer.cast(Message::Submitted(Box::new(job(7)))).expect("running");
    tokio::time::sleep(OBSERVATION_TIME).await;
    assert_eq!(started(&agent).await, [JobId(1), JobId(7)]);
}

/// Replaces one part of a message by a random odd value.
fn corrupt(value: &mut Value, rng: &mut SmallRng) {
    let odd = [json!(null), json!(-1), json!(u64::MAX), json!(1e300), json!("odd"), json!([]), json!({"odd": [1]})];
    match value {
        Value::Object(fields) if !fields.is_empty() && rng.random_bool(0.9) => {
            let field = rng.random_range(0..fields.len());
            if let Some(part) = fields.values_mut().nth(field) {
                corrupt(part, rng);
            }
        }
        Value::Array(items) if !items.is_empty() && rng.random_bool(0.9) => {
            let item = rng.random_range(0..items.len());
            corrupt(&mut items[item], rng);
        }
        other => *other = odd[rng.random_range(0..odd.len())].clone(),
    }
}

fn messages() -> Vec<Value> {
    let of_run = json!({"life": agent::life(), "task": task(1), "run": 1});
    let traits =
        json!({"is_filling": true, "latency_target_ms": 0, "image": "a", "processor_millicores": 5, "urgency": 1});
    vec![
        json!({"Hello": {"term": 1}}),
        json!({"Grant": {"asked": 1, "lease": 5_000}}),
        json!({"Evacuation": {"domain": "elsewhere", "revision": 1, "is_requested": true}}),
        json!({"Stop": of_run}),
        json!({"Settle": {"life": agent::life(), "cursor": 0}}),
        json!({"Describe": [[task(1), 1, traits]]}),
        json!({"Urgencies": [[task(1), 1, 5]]}),
        json!({"Effects": [["a", "b", 1.0, 1.0]]}),
    ]
}

/// A message from another version or from a faulty placer must cost no more than its link.
#[rstest]
#[tokio::test]
async fn malformed_messages_do_not_end_the_agent(#[values(1, 2, 3)] seed: u64) {
    let rng = &mut SmallRng::seed_from_u64(seed);
    let agent = agent::spawn().await;
    let all = messages();
    for _ in 0..MESSAGES {
        let mut message = all[rng.random_range(0..all.len())].clone();
        corrupt(&mut message, rng);
        // A term at the end of its range would be obeyed, and all later placers refused, since nothing distinguishes it
        // from a valid term.
        if message.pointer("/Hello/term").is_some() {
            continue;
        }
        let opened = connection::connect::<Value>(agent.address, NO_SECRET).await;
        let (sender, _receiver) = opened.expect("the agent takes links");
        sender.post(json!({"Hello": {"term": 1}}));
        sender.post(message);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let mut link = link(&agent, 2).await;
    link.inventory().await;
    link.start(task(9), 10_001);
    agent.worker.wait_for("a start", |script| !script.starts.is_empty()).await;
}

/// A placer that was paused for longer than its authority must not start anything, nor report job states on which its
/// successor may have newer knowledge.
#[tokio::test]
async fn a_placer_that_was_paused_past_its_authority_neither_starts_nor_tells() {
    let rows = MemoryStore::with_fault(Fault::None);
    rows.write(Table::Jobs, &rows::job_key(JobId(1)), Some(rows::encode(&job(1))));
    let agent = agent::spawn().await;
    let (clock, skipped_s) = clock_with_pauses();
    let (placer, _view) = spawn_placer(&rows, clock, &agent).await;
    assert_eq!(started(&agent).await, [JobId(1)]);
    let state = || async { ractor::call_t!(placer, Message::State, 500, JobId(1)) };
    assert_eq!(state().await.expect("running"), Some(JobState::Running));
    rows.set_fault(Fault::Silent);
    skipped_s.store(AUTHORITY_PERIOD.as_secs() + 1, Ordering::Relaxed);
    placer.cast(Message::Submitted(Box::new(job(2)))).expect("running");
    // A reply that the job is unknown would be a claim as well.
    state().await.expect_err("no answer");
    // Otherwise a caller whose earlier attempt was stored would now be told that it wasn't.
    assert!(ractor::call_t!(placer, Message::IsStored, 500, JobId(1)).expect("running"));
    assert!(ractor::call_t!(placer, Message::Pending, 500).expect("running").is_none());
    assert_eq!(started(&agent).await, [JobId(1)]);
}

/// An order that reaches the agent after a pause, when its grant has expired, must not be executed.
#[tokio::test]
async fn a_start_that_waited_past_its_grant_is_refused() {
    let agent = agent::spawn().await;
    let mut link = link(&agent, 1).await;
    let lease = Duration::from_millis(300);
    link.sender.post(ToAgent::Grant { asked: clock::system().now(), lease });
    tokio::time::sleep(lease * 2).await;
    link.start(task(1), 1);
    let choose = |message| match message {
        FromAgent::Refused { refusal, .. } => Some(refusal),
        FromAgent::Started { .. } => panic!("a start past its grant"),
        _ => None,
    };
    assert_eq!(link.wait_for("a refusal", choose).await, Refusal::Late);
    assert_eq!(agent.worker.change(|script| script.starts.len()), 0);
}

/// A peer that relays an invalid job, or sends something that isn't a message, must not end the entry, nor cause a row
/// to be written that placers can't load.
#[tokio::test]
async fn malformed_messages_of_entries_store_nothing_and_do_not_end_the_entry() {
    let address = free_address();
    let settings = json!({"name": "entry-1", "links_address": address, "processor_share": 1.0,
        "worker_lease_max_ms": 5_000, "configuration_apply_ms": 2_000, "cancellation_apply_ms": 3_000,
        "ended_jobs_kept_s": 120.0, "stop_timeout_s": 6.0});
    let rows = MemoryStore::with_fault(Fault::None);
    let settings = serde_json::from_value(settings).expect("settings");
    let _entry = entry::spawn(settings, clock::system(), rows.store(), metrics::open()).await.expect("an entry");
    let step = Step { count: 1, after: vec![0], ..Step::default() };
    let invalid = Job { steps: vec![step], ..job(1) };
    let rng = &mut SmallRng::seed_from_u64(1);
    for _ in 0..MESSAGES {
        let mut message = json!({"Relay": {"question": 1, "job": job(3), "cancel": null}});
        corrupt(&mut message, rng);
        let opened = connection::connect::<Value>(address, NO_SECRET).await;
        let (sender, _receiver) = opened.expect("the entry takes links");
        sender.post(message);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let link = peer::open(address).await.expect("the entry takes links");
    for (job, expected) in [(invalid, StoreOutcome::Refused), (job(2), StoreOutcome::Done)] {
        let id = job.id;
        let relay = |question| ToEntry::Relay { question, job: Some(Box::new(job)), cancel: None };
        let answer = link.query(Duration::from_secs(5), relay).await.expect("an answer");
        assert!(matches!(answer, FromEntry::Relayed { stored, .. } if stored == expected), "{answer:?}");
        assert_eq!(rows.has(Table::Jobs, &rows::job_key(id)), expected == StoreOutcome::Done);
    }
}

fn assert_unreadable<T: DeserializeOwned>(bytes: &[u8]) {
    assert!(rows::decode::<T>("odd", bytes).is_none());
    connection::decode::<T>(&bytes.to_vec().into()).map(drop).expect_err("no message");
}

/// Neither the depth nor a claimed length of a row or message may exhaust the stack or the memory.
#[rstest]
#[case::arrays(vec![0x81; 1 << 20])]
#[case::arrays_of_indefinite_length(vec![0x9f; 1 << 20])]
#[case::maps(b"\xa1\x61a".repeat(1 << 18))]
#[case::maps_of_indefinite_length(b"\xbf\x61a".repeat(1 << 18))]
#[case::tags(vec![0xc1; 1 << 17])]
#[case::texts_of_indefinite_length(vec![0x7f; 1 << 17])]
#[case::array_without_items(b"\x9b\x7f\xff\xff\xff\xff\xff\xff\xff".to_vec())]
#[case::map_without_items(b"\xbb\x7f\xff\xff\xff\xff\xff\xff\xff".to_vec())]
#[case::bytes_without_content(b"\x5b\x7f\xff\xff\xff\xff\xff\xff\xff".to_vec())]
#[case::text_without_content(b"\x7b\x7f\xff\xff\xff\xff\xff\xff\xff".to_vec())]
#[case::text_of_a_megabyte(rows::encode(&"x".repeat(1 << 20)))]
#[case::number_too_large(b"\xc2\x49\x01\x00\x00\x00\x00\x00\x00\x00\x00".to_vec())]
fn no_depth_and_no_length_exhausts_a_decoder(#[case] bytes: Vec<u8>) {
    let field =
        |name: &str| [&[0xa1, 0x60 | u8::try_from(name.len()).expect("short")], name.as_bytes(), &bytes].concat();
    for odd in [bytes.clone(), field("unknown"), field("steps"), field("done"), field("address"), field("Pending")] {
        assert_unreadable::<rows::Placer>(&odd);
        assert_unreadable::<rows::Heartbeat>(&odd);
        assert_unreadable::<rows::Process>(&odd);
        assert_unreadable::<rows::EntryProcess>(&odd);
        assert_unreadable::<Job>(&odd);
        assert_unreadable::<Progress>(&odd);
        assert_unreadable::<Vec<Effect>>(&odd);
        assert_unreadable::<ToAgent>(&odd);
        assert_unreadable::<FromAgent>(&odd);
        assert_unreadable::<ToEntry>(&odd);
        assert_unreadable::<FromEntry>(&odd);
    }
}
