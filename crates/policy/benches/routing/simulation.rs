//! Discrete-event simulation of two entries and eleven workers with eight slots, using the real decision code.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use chervilledge_policy::admission::{self, Admission, Offer, Priority};
use chervilledge_policy::capacity::{Capacity, Resources};
use chervilledge_policy::code::Code;
use chervilledge_policy::collections::Map;
use chervilledge_policy::id::{BootId, Name, RequestId};
use chervilledge_policy::membership::Announcement;
use chervilledge_policy::request::{Action, End, Event, Origin, Request, Spec};
use chervilledge_policy::retry::{self, RetryBudget};
use chervilledge_policy::routing::{Choice, Finished, Settings, Table};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const WORKERS: usize = 11;
const SLOTS: u32 = 8;
/// Total number of slots.
const WORKERS_SLOTS: u32 = 11 * SLOTS;
const DOMAINS: usize = 3;
const ENTRIES: usize = 2;
const BOOT: BootId = BootId(1);
const MEAN_SERVICE_US: f64 = 20_000.0;
const HEARTBEAT_US: u64 = 200_000;
const LOCAL_DELAY_US: u64 = 100;
const REMOTE_DELAY_US: u64 = 1_500;
const FAIL_FAST_US: u64 = 1_000;
const RUN_US: u64 = 30_000_000;
/// Results of the first seconds are excluded, while the tables hold no latency samples.
const WARM_UP_US: u64 = 2_000_000;
/// Time at which the faulty worker starts to differ from the others, so that the results include its detection.
const FAULT_FROM_US: u64 = 5_000_000;
const DEADLINE_US: u64 = 1_000_000;
const BATCH_PERCENT: u32 = 20;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Scenario {
    Steady,
    SlowWorker,
    FailingWorker,
    NoisyWorker,
    LoadWave,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Chooser {
    Policy,
    Random,
    RoundRobin,
}

#[derive(Clone, Debug)]
enum Delivery {
    Arrive,
    Heartbeat,
    ToAgent { entry: usize, worker: usize, offer: Offer },
    Done { worker: usize, id: RequestId },
    AgentWake { worker: usize },
    ToEntry { entry: usize, event: Event, succeeded: bool },
    Wake { entry: usize, number: u64 },
}

struct Pending {
    arrived_us: u64,
    batch: bool,
    request: Request,
    sent: Option<(RequestId, Choice, u64)>,
    succeeded: bool,
}

struct Entry {
    domain: usize,
    next: usize,
    pending: Map<u64, Pending>,
    budget: RetryBudget,
    table: Table,
}

#[derive(Default)]
struct Counts {
    failed: u64,
    offered: u64,
    refused: u64,
    refused_critical: u64,
    retried: u64,
    succeeded: u64,
    unknown: u64,
}

struct World {
    agents: Vec<Admission>,
    chooser: Chooser,
    deliveries: BinaryHeap<Reverse<(u64, u64, usize)>>,
    entries: Vec<Entry>,
    batch_latency_us: Histogram<u64>,
    /// Latency of latency-critical requests.
    latency_us: Histogram<u64>,
    now_us: u64,
    /// Entry and request of each dispatch.
    dispatches: Map<RequestId, (usize, u64)>,
    rng: StdRng,
    scenario: Scenario,
    sequence: u64,
    slots: Vec<Option<Delivery>>,
    free_slots: Vec<usize>,
    counts: Counts,
}

fn name(worker: usize) -> Name {
    Name::from(format!("worker-{worker}"))
}

fn domain(at: usize) -> Name {
    Name::from(format!("domain-{}", at % DOMAINS))
}

fn announcement(worker: usize) -> Announcement {
    Announcement {
        agent_boot: BOOT,
        capacity: Capacity { slots: SLOTS, connections: 64, resources: Resources::default() },
        failure_domain: domain(worker),
        link: 1,
        queue: admission::Settings::default().queue,
        rack: Name::from("rack"),
        service: Name::from("portal"),
        worker: name(worker),
    }
}

fn entry(at: usize) -> Entry {
    let mut table = Table::new(domain(at), Settings::default());
    for worker in 0..WORKERS {
        table.upsert(Duration::ZERO, &announcement(worker));
    }
    let budget = RetryBudget::new(retry::Settings::default(), at as u64);
    Entry { domain: at % DOMAINS, next: 0, pending: Map::default(), budget, table }
}

fn agent() -> Admission {
    let mut admission = Admission::open(BOOT, admission::Settings::default());
    admission.set_ready(true);
    admission
}

fn delay_us(entry: &Entry, worker: usize) -> u64 {
    if entry.domain == worker % DOMAINS { LOCAL_DELAY_US } else { REMOTE_DELAY_US }
}

impl World {
    fn new(scenario: Scenario, chooser: Chooser) -> Self {
        Self {
            agents: (0..WORKERS).map(|_| agent()).collect(),
            chooser,
            deliveries: BinaryHeap::new(),
            entries: (0..ENTRIES).map(entry).collect(),
            batch_latency_us: Histogram::new(3).expect("three digits are supported"),
            latency_us: Histogram::new(3).expect("three digits are supported"),
            now_us: 0,
            dispatches: Map::default(),
            rng: StdRng::seed_from_u64(9),
            scenario,
            sequence: 0,
            slots: Vec::new(),
            free_slots: Vec::new(),
            counts: Counts::default(),
        }
    }

    fn now(&self) -> Duration {
        Duration::from_micros(self.now_us)
    }

    /// Rounds up, since an event before its due time would be repeated forever.
    fn delay_until_us(&self, at: Duration) -> u64 {
        let delay = at.saturating_sub(self.now()).as_nanos().div_ceil(1_000);
        delay.try_into().expect("a short time")
    }

    fn schedule(&mut self, delay_us: u64, delivery: Delivery) {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[slot] = Some(delivery);
        self.sequence += 1;
        self.deliveries.push(Reverse((self.now_us + delay_us, self.sequence, slot)));
    }

    fn run(&mut self) {
        self.schedule(0, Delivery::Arrive);
        self.schedule(0, Delivery::Heartbeat);
        while let Some(Reverse((at_us, _, slot))) = self.deliveries.pop() {
            self.now_us = at_us;
            self.free_slots.push(slot);
            let delivery = self.slots[slot].take().expect("a queued slot is filled");
            self.deliver(delivery);
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Arrive => self.arrive(),
            Delivery::Heartbeat => self.heartbeat(),
            Delivery::ToAgent { entry, worker, offer } => {
                let now = self.now();
                let actions = self.agents[worker].offer(now, &offer);
                debug_assert_eq!(self.dispatches[&offer.id].0, entry);
                self.apply_agent_actions(worker, &actions);
            }
            Delivery::Done { worker, id } => self.finish_service(worker, id),
            Delivery::AgentWake { worker } => {
                let now = self.now();
                let actions = self.agents[worker].tick(now);
                self.apply_agent_actions(worker, &actions);
            }
            Delivery::ToEntry { entry, event, succeeded } => self.receive(entry, &event, succeeded),
            Delivery::Wake { entry, number } => self.event(entry, number, &Event::Tick),
        }
    }

    /// Returns the offered load, as a share of all slots.
    fn load(&self) -> f64 {
        let in_wave = (10_000_000..15_000_000).contains(&self.now_us);
        if self.scenario == Scenario::LoadWave && in_wave { 1.5 } else { 0.5 }
    }

    fn arrive(&mut self) {
        if self.now_us >= RUN_US {
            return;
        }
        let capacity_per_us = f64::from(WORKERS_SLOTS) / MEAN_SERVICE_US;
        let gap_us = self.exponential(1.0 / (capacity_per_us * self.load()));
        self.schedule(gap_us, Delivery::Arrive);
        let number = self.sequence;
        let at = self.rng.random_range(0..ENTRIES);
        let batch = self.rng.random_ratio(BATCH_PERCENT, 100);
        let deadline = self.now() + Duration::from_micros(DEADLINE_US);
        let spec = Spec { idempotent: false, deadline, outcome_timeout: Duration::from_millis(200) };
        let now = self.now();
        let (request, actions) = Request::open(now, spec, &mut self.entries[at].budget);
        let pending = Pending { arrived_us: self.now_us, batch, request, sent: None, succeeded: false };
        self.entries[at].pending.insert(number, pending);
        self.apply_actions(at, number, &actions);
    }

    fn exponential(&mut self, mean_us: f64) -> u64 {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        Duration::from_secs_f64(-uniform.ln() * mean_us / 1e6).as_micros().try_into().expect("a short time")
    }

    fn heartbeat(&mut self) {
        if self.now_us < RUN_US {
            self.schedule(HEARTBEAT_US, Delivery::Heartbeat);
        }
        let now = self.now();
        for entry in &mut self.entries {
            for (worker, agent) in self.agents.iter().enumerate() {
                entry.table.set_load(&name(worker), &agent.load());
            }
            entry.table.tick(now);
        }
    }

    fn event(&mut self, at: usize, number: u64, event: &Event) {
        let now = self.now();
        let entry = &mut self.entries[at];
        let Some(pending) = entry.pending.get_mut(&number) else { return };
        let actions = pending.request.on(now, event, &mut entry.budget);
        self.apply_actions(at, number, &actions);
    }

    fn apply_actions(&mut self, at: usize, number: u64, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Dispatch => self.dispatch(at, number),
                Action::Finish(end) => self.finish(at, number, *end),
                _ => {}
            }
        }
        let wake_at = self.entries[at].pending.get(&number).and_then(|pending| pending.request.wake_at());
        if let Some(wake_at) = wake_at {
            let delay = self.delay_until_us(wake_at);
            self.schedule(delay, Delivery::Wake { entry: at, number });
        }
    }

    fn dispatch(&mut self, at: usize, number: u64) {
        match self.choose(at, number) {
            Ok(choice) => self.send_to(at, number, &choice),
            Err(code) => {
                let event = Event::NotDispatched { code, retry_after: Duration::ZERO };
                self.event(at, number, &event);
            }
        }
    }

    fn choose(&mut self, at: usize, number: u64) -> Result<Choice, Code> {
        let now = self.now();
        let entry = &mut self.entries[at];
        let pending = &entry.pending[&number];
        let excluded = pending.request.excluded();
        if self.chooser == Chooser::Policy && pending.batch {
            return entry.table.choose_batch(now, excluded, &mut self.rng);
        }
        if self.chooser == Chooser::Policy {
            return entry.table.choose(now, excluded, &mut self.rng);
        }
        for _ in 0..WORKERS * 2 {
            let worker = match self.chooser {
                Chooser::RoundRobin => entry.next,
                _ => self.rng.random_range(0..WORKERS),
            };
            entry.next = (entry.next + 1) % WORKERS;
            let worker = name(worker);
            if !excluded.contains(&worker) {
                return Ok(Choice { worker, agent_boot: BOOT });
            }
        }
        Err(Code::NoBackendServer)
    }

    fn send_to(&mut self, at: usize, number: u64, choice: &Choice) {
        self.sequence += 1;
        let id = RequestId { entry: BootId(at as u64), sequence: self.sequence };
        self.dispatches.insert(id, (at, number));
        let now_us = self.now_us;
        self.entries[at].table.started(choice);
        let pending = self.entries[at].pending.get_mut(&number).expect("the request is pending");
        pending.sent = Some((id, choice.clone(), now_us));
        let priority = if pending.batch { Priority::Batch } else { Priority::LatencyCritical };
        let deadline = Duration::from_micros(pending.arrived_us + DEADLINE_US);
        self.event(at, number, &Event::Dispatched { id, choice: choice.clone() });
        let worker = worker_number(choice);
        let offer = Offer { agent_boot: BOOT, deadline, id, priority };
        let delay = delay_us(&self.entries[at], worker);
        self.schedule(delay, Delivery::ToAgent { entry: at, worker, offer });
    }

    fn apply_agent_actions(&mut self, worker: usize, actions: &[admission::Action]) {
        for action in actions {
            match *action {
                admission::Action::Start(id) => {
                    let service_us = self.service_us(worker);
                    self.schedule(service_us, Delivery::Done { worker, id });
                }
                admission::Action::NotStarted { id, code, retry_after } => {
                    self.reply(worker, id, Event::NotStarted { id, code, retry_after }, false);
                }
                admission::Action::Abort(_) | admission::Action::Drop(_) => {}
            }
        }
        if let Some(wake_at) = self.agents[worker].wake_at() {
            let delay = self.delay_until_us(wake_at);
            self.schedule(delay, Delivery::AgentWake { worker });
        }
    }

    fn is_faulty(&self, worker: usize) -> bool {
        worker == 0 && self.now_us >= FAULT_FROM_US
    }

    fn service_us(&mut self, worker: usize) -> u64 {
        const NOISE_PERIOD_US: u64 = 2_000_000;
        const NOISE_US: u64 = 500_000;
        let is_faulty_worker = self.is_faulty(worker);
        let is_noisy_now = self.now_us % NOISE_PERIOD_US < NOISE_US;
        match self.scenario {
            Scenario::FailingWorker if is_faulty_worker => FAIL_FAST_US,
            Scenario::SlowWorker if is_faulty_worker => self.exponential(MEAN_SERVICE_US * 5.0),
            Scenario::NoisyWorker if is_faulty_worker && is_noisy_now => self.exponential(MEAN_SERVICE_US * 3.0),
            _ => self.exponential(MEAN_SERVICE_US),
        }
    }

    fn finish_service(&mut self, worker: usize, id: RequestId) {
        let now = self.now();
        let epoch = self.agents[worker].begin_answer(id).expect("the request runs");
        let actions = self.agents[worker].finished(now, id, admission::Finished::Ran);
        let succeeded = !(self.scenario == Scenario::FailingWorker && self.is_faulty(worker));
        let origin = Origin { id, epoch };
        self.reply(worker, id, Event::Head { origin, length_bytes: Some(0) }, succeeded);
        self.reply(worker, id, Event::End { origin, total_bytes: 0 }, succeeded);
        self.apply_agent_actions(worker, &actions);
    }

    fn reply(&mut self, worker: usize, id: RequestId, event: Event, succeeded: bool) {
        let (at, _) = self.dispatches[&id];
        let delay = delay_us(&self.entries[at], worker);
        self.schedule(delay, Delivery::ToEntry { entry: at, event, succeeded });
    }

    fn receive(&mut self, at: usize, event: &Event, succeeded: bool) {
        let (id, not_started) = match event {
            Event::NotStarted { id, .. } => (*id, true),
            Event::Head { origin, .. } | Event::End { origin, .. } => (origin.id, false),
            _ => return,
        };
        let (_, number) = self.dispatches[&id];
        if !matches!(event, Event::Head { .. }) {
            self.dispatches.remove(&id);
            self.record_end(at, number, id, not_started, succeeded);
        }
        self.event(at, number, event);
    }

    /// Records the end of a dispatch in the table.
    fn record_end(&mut self, at: usize, number: u64, id: RequestId, not_started: bool, succeeded: bool) {
        let now = self.now();
        let entry = &mut self.entries[at];
        let Some(pending) = entry.pending.get_mut(&number) else { return };
        let Some((_, choice, sent_us)) = pending.sent.take_if(|sent| sent.0 == id) else { return };
        pending.succeeded = succeeded;
        let finished = match (not_started, succeeded) {
            (true, _) => Finished::NotStarted,
            (false, true) => Finished::Succeeded(now.saturating_sub(Duration::from_micros(sent_us))),
            (false, false) => Finished::Failed,
        };
        entry.table.finished(now, &choice, finished);
    }

    fn finish(&mut self, at: usize, number: u64, end: End) {
        let now = self.now();
        let entry = &mut self.entries[at];
        let Some(pending) = entry.pending.remove(&number) else { return };
        if let Some((_, choice, _)) = pending.sent {
            entry.table.finished(now, &choice, Finished::Cancelled);
        }
        if pending.arrived_us < WARM_UP_US {
            return;
        }
        self.counts.offered += 1;
        self.counts.retried += u64::from(pending.request.attempts().saturating_sub(1));
        match end {
            End::Answered if pending.succeeded => {
                self.counts.succeeded += 1;
                let latency_us = if pending.batch { &mut self.batch_latency_us } else { &mut self.latency_us };
                latency_us.record(self.now_us - pending.arrived_us).expect("the histogram resizes");
            }
            End::Answered => self.counts.failed += 1,
            End::NotRun { .. } => {
                self.counts.refused += 1;
                self.counts.refused_critical += u64::from(!pending.batch);
            }
            End::Unknown { .. } => self.counts.unknown += 1,
        }
    }

    fn print(&self) {
        let quantile_ms =
            |quantile| Duration::from_micros(self.latency_us.value_at_quantile(quantile)).as_secs_f64() * 1_000.0;
        let batch_p99 = Duration::from_micros(self.batch_latency_us.value_at_quantile(0.99));
        let seconds = Duration::from_micros(RUN_US - WARM_UP_US).as_secs();
        println!(
            "{:<14} {:<11} {:>8.1} {:>8.1} {:>8.1} {:>9.1} {:>12} {:>8} {:>8} {:>9} {:>8} {:>8} {:>8}",
            format!("{:?}", self.scenario),
            format!("{:?}", self.chooser),
            quantile_ms(0.5),
            quantile_ms(0.99),
            quantile_ms(0.999),
            batch_p99.as_secs_f64() * 1_000.0,
            self.counts.succeeded / seconds,
            self.counts.offered,
            self.counts.refused,
            self.counts.refused_critical,
            self.counts.failed,
            self.counts.retried,
            self.counts.unknown,
        );
    }
}

fn worker_number(choice: &Choice) -> usize {
    (0..WORKERS).find(|worker| name(*worker) == choice.worker).expect("a worker was chosen")
}

/// Prints one line per scenario and routing method.
pub fn print() {
    println!("\n{WORKERS} workers of {SLOTS} slots, {ENTRIES} entries, mean service {MEAN_SERVICE_US} us");
    println!(
        "{:<14} {:<11} {:>8} {:>8} {:>8} {:>9} {:>12} {:>8} {:>8} {:>9} {:>8} {:>8} {:>8}",
        "scenario",
        "chooser",
        "p50_ms",
        "p99_ms",
        "p999_ms",
        "batch_p99",
        "goodput_rps",
        "offered",
        "refused",
        "critical",
        "failed",
        "retried",
        "unknown"
    );
    let scenarios =
        [Scenario::Steady, Scenario::SlowWorker, Scenario::FailingWorker, Scenario::NoisyWorker, Scenario::LoadWave];
    for scenario in scenarios {
        for chooser in [Chooser::Policy, Chooser::Random, Chooser::RoundRobin] {
            let mut world = World::new(scenario, chooser);
            world.run();
            world.print();
        }
    }
}
