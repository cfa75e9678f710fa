//! What crosses builds of different versions: rows of the store and messages between processes.
//!
//! During an upgrade, processes of the version in production read what this version writes, and the other way round.
//! `samples/VERSION.txt` holds what a released version wrote, one line each: name, and CBOR in hexadecimal digits.
//! `CHERVILLEDGE_SAMPLES=FILE cargo test -p chervilledge-scheduler --test compatibility` writes the file of the present
//! version; a file that exists is never written again.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::Write as _;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::admission::{Backlog, Estimates, Pool, WorkBySize};
use chervilledge_cell::crashes::{Blame, Crash, CrashHistory};
use chervilledge_cell::interference::{Evidence, Pair};
use chervilledge_cell::job::{Job, JobId, JobState, Schedule, Step, TaskId, TaskKey, Terms};
use chervilledge_cell::progress::{Checkpointed, Occurrences, Outcome, Progress};
use chervilledge_cell::urgency::Urgency;
use chervilledge_cell::worker::{
    CrashReport, CrashedRun, End, EndKind, Life, Refusal, RunReport, RunTraits, StartOrder, Worker,
};
use chervilledge_policy::capacity::Resources;
use chervilledge_policy::id::Name;
use chervilledge_scheduler::message::{FromAgent, FromEntry, StoreOutcome, ToAgent, ToEntry};
use chervilledge_scheduler::progress_rows::{self, Parts};
use chervilledge_scheduler::rows::{self, Effect};
use ciborium::Value;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Environment variable with the file to which the samples of the present version are written.
const SAMPLES_ENV: &str = "CHERVILLEDGE_SAMPLES";

/// Samples that the version in production wrote, and those before it.
const RELEASED: [&str; 7] = [
    include_str!("samples/0.7.0.txt"),
    include_str!("samples/0.6.0.txt"),
    include_str!("samples/0.5.0.txt"),
    include_str!("samples/0.4.0.txt"),
    include_str!("samples/0.3.0.txt"),
    include_str!("samples/0.2.0.txt"),
    include_str!("samples/0.1.0.txt"),
];
/// Rows that versions before 0.5.0 can't decode; they start no task of such a job.
const SINCE_0_5: [&str; 1] = ["row/progress-compact"];
/// Messages that versions before 0.4.0 don't know, and that aren't sent to them.
const SINCE_0_4: [&str; 2] = ["from-agent/crashed", "to-agent/settle-crash"];
/// Rows that versions before 0.3.0 ignore, and messages that aren't sent to them.
const SINCE_0_3: [&str; 6] = [
    "from-entry/term-renewed",
    "from-entry/terms-ended",
    "row/handover",
    "row/witnesses",
    "to-entry/end-terms",
    "to-entry/renew-term",
];
/// What each of these versions doesn't know.
const UNKNOWN: [&[&[&str]]; 7] = [
    &[],
    &[],
    &[],
    &[&SINCE_0_5],
    &[&SINCE_0_5, &SINCE_0_4],
    &[&SINCE_0_5, &SINCE_0_4, &SINCE_0_3],
    &[&SINCE_0_5, &SINCE_0_4, &SINCE_0_3],
];

fn name(text: &str) -> Name {
    Arc::from(text)
}

fn address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 0, 0, 7), 7_720))
}

fn task() -> TaskId {
    TaskId { job: JobId(0x5c0e_7a21_d94b_36f8), key: TaskKey { occurrence: 0, step: 1, index: 17 } }
}

fn life() -> Life {
    Life { worker: name("i-7f3a91c2"), born_unix_ms: 1_796_000_000_000 }
}

fn job() -> Job {
    let step = Step {
        count: 20,
        resources: Resources { processor_millicores: 1_800, memory_bytes: 3_200_000_000, accelerators: 1 },
        estimate: Duration::from_millis(2_700),
        after: vec![0],
        checkpointing: true,
        required_label: Some(name("a")),
        data_rack: Some(name("r1-3")),
        per_worker_max: Some(2),
        image: Some(name("heavy")),
        latency_target: Some(Duration::from_millis(18)),
        filling: true,
        unavailable_max: Some(1),
        ..Step::default()
    };
    Job {
        id: task().job,
        queue: name("r-a77"),
        terms: Terms {
            service: name("portal"),
            priority: 2,
            attempts_max: 4,
            stretch: 2.0,
            latency_objective: Duration::from_secs(1),
        },
        spec: Arc::from("text"),
        steps: vec![Step { count: 1, ..Step::default() }, step],
        schedule: Some(Schedule { first_unix_ms: 1_796_000_001_000, interval: Duration::from_secs(2), occurrences: 6 }),
        accepted_unix_ms: 1_796_000_000_500,
    }
}

fn worker() -> Worker {
    Worker {
        life: life(),
        service: name("portal"),
        failure_domain: name("hobart"),
        resources: Resources { processor_millicores: 16_000, memory_bytes: 64_000_000_000, accelerators: 0 },
        kind: Some(name("a")),
        rack: Some(name("r1-3")),
        leaves_in: Some(Duration::from_secs(4)),
        cold_for: Duration::from_millis(300),
    }
}

fn traits() -> RunTraits {
    RunTraits {
        image: Some(name("heavy")),
        latency_target: Some(Duration::from_millis(18)),
        is_filling: true,
        processor_millicores: 1_800,
        urgency: Urgency(36_000),
    }
}

fn progress() -> Progress {
    let mut history = CrashHistory::default();
    history.add(
        10_001,
        Crash { age: Duration::from_millis(12), blame: Blame::Sole, is_unconfirmed: false, is_excused: false },
    );
    Progress {
        completed: Occurrences::default(),
        done: [task().key].into(),
        failures: [(task().key, [10_001].into())].into(),
        checkpoints: [(task().key, name("00000bb8"))].into(),
        crashes: [(task().key, history)].into(),
        checkpointed: [(task().key, Checkpointed { run: 10_001, percent: 41 })].into(),
        outcome: Some(Outcome::Completed),
    }
}

fn backlog() -> Backlog {
    let mut work = WorkBySize::default();
    work.add(Duration::from_secs(9), Duration::from_secs(90));
    Backlog {
        pools: vec![Pool {
            service: name("portal"),
            is_filling: true,
            is_waiting: true,
            rate_millicores: Some(250_000),
            in_time: work.clone(),
            late: work,
        }],
        queues: vec![Estimates { queue: name("r-a77"), ratio_percent: 120, spread_percent: 40 }],
    }
}

fn effect() -> Effect {
    let pair = Pair { filling: name("heavy"), serving: name("front") };
    Effect::from_evidence(&(pair, Evidence { information: 64.0, weighted_effect: 8.0 }))
}

/// Samples by name.
#[derive(Default)]
struct Samples(BTreeMap<String, Vec<u8>>);

impl Samples {
    /// Adds a sample; checks that the present version reads what it writes.
    fn add<T: Serialize + DeserializeOwned>(&mut self, name: &str, content: &T) {
        let bytes = rows::encode(content);
        let read: T = rows::decode(name, &bytes).expect("the present version reads its own sample");
        assert_eq!(rows::encode(&read), bytes, "{name}");
        assert!(self.0.insert(name.to_owned(), bytes).is_none(), "{name} stands twice");
    }

    fn present() -> Self {
        let mut samples = Self::default();
        samples.add_rows();
        samples.add_agent_messages();
        samples.add_entry_messages();
        samples
    }

    fn add_rows(&mut self) {
        self.add("row/job", &job());
        self.add("row/progress", &progress());
        self.0.insert("row/progress-compact".to_owned(), compact_progress_row(&compact_progress()));
        self.add("row/placer", &rows::Placer { term: 2, holder: Some(name("entry-1")), address: address() });
        self.add("row/heartbeat", &rows::Heartbeat { term: 2, is_alone: true });
        self.add("row/agent", &agent_row());
        self.add("row/entry", &entry_row());
        self.add("row/effects", &vec![effect()]);
        let (members, earlier) = (vec![address()], Some(vec![vec![address()]]));
        self.add("row/witnesses", &rows::Witnesses { term: 2, members, earlier });
        self.add("row/handover", &rows::Handover { term: 2, leases_ms: vec![(name("agent-1"), 4_900)] });
    }

    fn add_agent_messages(&mut self) {
        let (task, run) = (task(), 10_001);
        let report =
            RunReport { task, run, checkpoint: name("00000bb8"), percent: 41, measured: 1_790, pace_percent: 60 };
        let end = End { number: 58, task, run, kind: EndKind::Done, checkpoint: name("") };
        let order = StartOrder { task, run, spec: Arc::from("text"), checkpoint: name("00000bb8"), traits: traits() };
        let domain = name("hobart");
        self.add("to-agent/hello", &ToAgent::Hello { term: 2, version: Some(name("0.2.0")) });
        let lease = Duration::from_secs(5);
        self.add("to-agent/grant", &ToAgent::Grant { asked: Duration::from_nanos(1_234_567), lease });
        self.add("to-agent/evacuation", &ToAgent::Evacuation { domain, revision: 198, is_requested: true });
        self.add("to-agent/start", &ToAgent::Start { life: life(), order });
        self.add("to-agent/stop", &ToAgent::Stop { life: life(), task, run });
        self.add("to-agent/settle", &ToAgent::Settle { life: life(), cursor: 58 });
        self.add("to-agent/settle-crash", &ToAgent::SettleCrash(life()));
        self.add("to-agent/describe", &ToAgent::Describe(vec![(task, run, traits())]));
        self.add("to-agent/urgencies", &ToAgent::Urgencies(vec![(task, run, Urgency(36_000))]));
        self.add("to-agent/effects", &ToAgent::Effects(vec![effect()]));
        self.add("from-agent/inventory", &inventory(&report, &end));
        self.add("from-agent/superseded", &FromAgent::Superseded { term: 3 });
        self.add("from-agent/ask", &FromAgent::Ask { asked: Duration::from_nanos(1_234_567), stops_in: None });
        self.add("from-agent/worker", &FromAgent::Worker(worker()));
        self.add("from-agent/gone", &FromAgent::Gone(life()));
        self.add("from-agent/crashed", &FromAgent::Crashed(crash_report()));
        self.add("from-agent/started", &FromAgent::Started { task, run });
        let refusals = [
            ("fenced", Refusal::Fenced),
            ("evacuated", Refusal::Evacuated),
            ("late", Refusal::Late),
            ("leaving", Refusal::Leaving),
            ("room", Refusal::Room),
            ("unhealthy", Refusal::Unhealthy),
            ("invalid", Refusal::Invalid),
        ];
        for (label, refusal) in refusals {
            self.add(&format!("from-agent/refused/{label}"), &FromAgent::Refused { task, run, refusal });
        }
        self.add("from-agent/absent", &FromAgent::Absent { task, run });
        let kinds =
            [EndKind::Done, EndKind::Failed, EndKind::Stopped, EndKind::Lapsed, EndKind::Broken, EndKind::Alone];
        let ends = kinds.map(|kind| End { kind, ..end.clone() }).to_vec();
        self.add("from-agent/ends", &FromAgent::Ends { life: life(), ends });
        self.add("from-agent/running", &FromAgent::Running(vec![report]));
        self.add("from-agent/effects", &FromAgent::Effects(vec![effect()]));
        self.add("from-agent/rooms", &FromAgent::Rooms(vec![(name("front"), 0.75)]));
    }

    fn add_entry_messages(&mut self) {
        let (question, id) = (4, task().job);
        self.add("to-entry/beat", &ToEntry::Beat);
        self.add("to-entry/state", &ToEntry::State { question, job: id });
        self.add("to-entry/submitted", &ToEntry::Submitted(Box::new(job())));
        self.add("to-entry/canceled", &ToEntry::Canceled(id));
        self.add("to-entry/relay", &ToEntry::Relay { question, job: Some(Box::new(job())), cancel: Some(id) });
        self.add("from-entry/beat", &FromEntry::Beat { term: Some(2), is_stopping: false });
        let states =
            [JobState::Queued, JobState::Running, JobState::Completed, JobState::Failed, JobState::Canceled].map(Some);
        for state in states {
            let label = state.map_or("unknown", JobState::as_str);
            let message = FromEntry::State { question, state, is_placer: true, is_stored: true };
            self.add(&format!("from-entry/state/{label}"), &message);
        }
        self.add("from-entry/pending", &FromEntry::Pending { counts: vec![(name("r-a77"), 3)], backlog: backlog() });
        let (term, renewed_ago) = (2, Duration::from_millis(900));
        self.add("to-entry/renew-term", &ToEntry::RenewTerm { question, term });
        self.add("to-entry/end-terms", &ToEntry::EndTerms { question, term });
        self.add("from-entry/term-renewed", &FromEntry::TermRenewed { question, is_renewed: true });
        self.add("from-entry/terms-ended", &FromEntry::TermsEnded { question, renewed_ago });
        let outcomes =
            [("done", StoreOutcome::Done), ("refused", StoreOutcome::Refused), ("unknown", StoreOutcome::Unknown)];
        for (label, stored) in outcomes {
            self.add(&format!("from-entry/relayed/{label}"), &FromEntry::Relayed { question, stored });
        }
    }
}

fn compact_progress() -> Progress {
    let mut progress = progress();
    progress.completed.insert(3);
    progress
}

fn compact_progress_row(progress: &Progress) -> Vec<u8> {
    progress_rows::changes(task().job, progress).swap_remove(0).value.expect("a row")
}

fn agent_row() -> rows::Process {
    rows::Process { address: address() }
}

fn entry_row() -> rows::EntryProcess {
    let response = Some(Duration::from_millis(4));
    rows::EntryProcess { address: address(), processor_share: 0.5, response, version: Some(name("0.2.0")) }
}

fn inventory(report: &RunReport, end: &End) -> FromAgent {
    FromAgent::Inventory {
        worker: Some(worker()),
        running: vec![report.clone()],
        starting: vec![(task(), 10_002)],
        ends: vec![end.clone()],
        is_empty: false,
        is_partial: false,
        asked: Duration::from_nanos(1_234_567),
        version: Some(name("0.2.0")),
        crashes: vec![crash_report()],
        foreign_lease: Some(Duration::from_millis(9_400)),
    }
}

fn crash_report() -> CrashReport {
    let age = Duration::from_millis(12);
    CrashReport { life: life(), runs: vec![CrashedRun { task: task(), run: 10_001, age, is_unconfirmed: true }] }
}

fn from_hex(digits: &str) -> Vec<u8> {
    let pairs = digits.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).expect("digits"));
    pairs.map(|pair| u8::from_str_radix(pair, 16).expect("hexadecimal digits")).collect()
}

fn released(samples: &str) -> BTreeMap<String, Vec<u8>> {
    let line = |line: &str| {
        let (name, digits) = line.split_once(' ').expect("a name and digits");
        (name.to_owned(), from_hex(digits))
    };
    samples.lines().map(line).collect()
}

fn value(bytes: &[u8]) -> Value {
    ciborium::from_reader(bytes).expect("CBOR")
}

/// Reads a sample as the type that the present version has for it, and writes it again.
fn rewritten(name: &str, bytes: &[u8]) -> Option<Vec<u8>> {
    fn again<T: Serialize + DeserializeOwned>(name: &str, bytes: &[u8]) -> Option<Vec<u8>> {
        rows::decode::<T>(name, bytes).map(|content| rows::encode(&content))
    }
    match name.split_once('/').expect("a kind and a name") {
        ("row", "job") => again::<Job>(name, bytes),
        ("row", "progress") => again::<Progress>(name, bytes),
        ("row", "progress-compact") => {
            progress_rows::decode(task().job, bytes, &Parts::new()).as_ref().map(compact_progress_row)
        }
        ("row", "placer") => again::<rows::Placer>(name, bytes),
        ("row", "heartbeat") => again::<rows::Heartbeat>(name, bytes),
        ("row", "agent") => again::<rows::Process>(name, bytes),
        ("row", "entry") => again::<rows::EntryProcess>(name, bytes),
        ("row", "witnesses") => again::<rows::Witnesses>(name, bytes),
        ("row", "handover") => again::<rows::Handover>(name, bytes),
        ("row", "effects") => again::<Vec<Effect>>(name, bytes),
        ("to-agent", _) => again::<ToAgent>(name, bytes),
        ("from-agent", _) => again::<FromAgent>(name, bytes),
        ("to-entry", _) => again::<ToEntry>(name, bytes),
        ("from-entry", _) => again::<FromEntry>(name, bytes),
        _ => panic!("{name}: unknown kind of sample"),
    }
}

/// Asserts that a reader that knows only the fields of `old` reads the same from `new`: readers ignore further fields of
/// a map, and nothing else.
fn assert_reads_alike(name: &str, old: &Value, new: &Value) {
    match (old, new) {
        (Value::Map(old), Value::Map(new)) => {
            for (key, old) in old {
                let found = new.iter().find(|(other, _)| other == key);
                let (_, new) = found.unwrap_or_else(|| panic!("{name}: {key:?} is missing"));
                assert_reads_alike(name, old, new);
            }
        }
        (Value::Array(old), Value::Array(new)) => {
            assert_eq!(old.len(), new.len(), "{name}: {old:?} became {new:?}");
            old.iter().zip(new).for_each(|(old, new)| assert_reads_alike(name, old, new));
        }
        _ => assert_eq!(old, new, "{name}"),
    }
}

/// A process of this version must read every row and message of the version in production without losing a field.
#[test]
fn what_production_wrote_is_read() {
    for (name, bytes) in RELEASED.into_iter().flat_map(released) {
        let again = rewritten(&name, &bytes).unwrap_or_else(|| panic!("{name} isn't read"));
        assert_reads_alike(&name, &value(&bytes), &value(&again));
    }
}

/// A process of the version in production must read what this version writes: its fields under their names, and no
/// kind of message that it doesn't know.
#[test]
fn production_reads_what_is_written_now() {
    let present = Samples::present();
    for (samples, unknown) in RELEASED.into_iter().zip(UNKNOWN) {
        let released = released(samples);
        let unknown = unknown.concat();
        let known: Vec<&String> = present.0.keys().filter(|name| !unknown.contains(&name.as_str())).collect();
        assert_eq!(known, released.keys().collect::<Vec<_>>());
        assert!(unknown.iter().all(|name| present.0.contains_key(*name)));
        for (name, old) in &released {
            assert_reads_alike(name, &value(old), &value(&present.0[name]));
        }
    }
}

/// Writes the samples of the present version; does nothing without [`SAMPLES_ENV`].
#[test]
fn samples_are_written_on_request() {
    let Ok(path) = std::env::var(SAMPLES_ENV) else { return };
    let mut lines = String::new();
    for (name, bytes) in Samples::present().0 {
        write!(lines, "{name} ").expect("a string takes any text");
        for byte in bytes {
            write!(lines, "{byte:02x}").expect("a string takes any text");
        }
        lines.push('\n');
    }
    let mut file = std::fs::File::create_new(path).expect("the file doesn't exist yet");
    file.write_all(lines.as_bytes()).expect("the file is written");
}
