//! Requests between an entry and agents over a network that loses, delays, duplicates and reorders frames.
//!
//! The reported ends are checked against the executions recorded by the simulated backend servers.

use std::collections::BTreeMap;
use std::time::Duration;

use chervilledge_policy::admission::{self, Admission, Finished, Offer, Priority};
use chervilledge_policy::code::Code;
use chervilledge_policy::collections::Map;
use chervilledge_policy::id::{BootId, Name, RequestId};
use chervilledge_policy::request::{Action, End, Event, Origin, Request, Spec};
use chervilledge_policy::retry::{self, RetryBudget};
use chervilledge_policy::routing::Choice;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const AGENTS: usize = 3;
const REQUESTS: usize = 24;
const SLOTS: u32 = 2;
const ENTRY: BootId = BootId(7);

/// Fault probabilities in percent, and bounds on delays.
#[derive(Clone, Copy, Debug)]
struct Faults {
    loss_percent: u32,
    repeat_percent: u32,
    cut_percent: u32,
    restart_percent: u32,
    delay_ms: u64,
    keep_outcomes_ms: u64,
    hedge: bool,
}

#[derive(Clone, Debug)]
enum Delivery {
    Arrive(usize),
    Wake(usize),
    /// Closes the link of a dispatch.
    Cut(RequestId),
    Offered(usize, Offer),
    Cancelled(usize, RequestId),
    Queried(usize, Origin, BootId),
    ToEntry(RequestId, Event),
    /// The backend server sends the status and headers.
    Answering(usize, BootId, RequestId),
    Done(usize, BootId, RequestId),
    AgentWake(usize, BootId),
    Restart(usize),
}

struct Agent {
    admission: Admission,
    boot: BootId,
    /// Query epochs of the answers in progress.
    answer_epochs: Map<RequestId, u32>,
    running: u32,
}

impl Agent {
    fn start(boot: u64, faults: &Faults) -> Self {
        let settings = admission::Settings {
            slots: SLOTS,
            queue: 2,
            batch_slots: 1,
            queue_wait: Duration::from_millis(40),
            keep_outcomes_for: Duration::from_millis(faults.keep_outcomes_ms),
            ..admission::Settings::default()
        };
        let mut admission = Admission::open(BootId(boot), settings);
        admission.set_ready(true);
        Self { admission, boot: BootId(boot), answer_epochs: Map::default(), running: 0 }
    }
}

struct Exchange {
    spec: Spec,
    request: Option<Request>,
    finishes: u32,
    heads: u32,
    forwarded_bytes: u64,
    /// Number of times that a backend server ran the request.
    executions: u32,
}

struct World {
    agents: Vec<Agent>,
    deliveries: BTreeMap<(Duration, u64), Delivery>,
    exchanges: Vec<Exchange>,
    faults: Faults,
    now: Duration,
    dispatches: Map<RequestId, (usize, usize)>,
    budget: RetryBudget,
    rng: StdRng,
    sequence: u64,
}

/// Returns the length of the answer to a request.
fn body_bytes(at: usize) -> u64 {
    at as u64 % 4 * 10
}

impl World {
    fn new(seed: u64, faults: Faults) -> Self {
        let hedge_after = faults.hedge.then_some(Duration::from_millis(15));
        let settings = retry::Settings { hedge_after, attempts_max: 4, ..retry::Settings::default() };
        let mut world = Self {
            agents: (0..AGENTS).map(|_| Agent::start(1, &faults)).collect(),
            deliveries: BTreeMap::new(),
            exchanges: Vec::new(),
            faults,
            now: Duration::ZERO,
            dispatches: Map::default(),
            budget: RetryBudget::new(settings, seed),
            rng: StdRng::seed_from_u64(seed),
            sequence: 0,
        };
        for at in 0..REQUESTS {
            world.add(at);
        }
        for agent in 0..AGENTS {
            if world.chance(world.faults.restart_percent) {
                let delay = world.rng.random_range(0..300);
                world.schedule(delay, Delivery::Restart(agent));
            }
        }
        world
    }

    fn add(&mut self, at: usize) {
        let arrival_ms = self.rng.random_range(0..150);
        let deadline = Duration::from_millis(arrival_ms + self.rng.random_range(1..600));
        let spec = Spec { idempotent: at.is_multiple_of(3), deadline, outcome_timeout: Duration::from_millis(100) };
        self.exchanges.push(Exchange { spec, request: None, finishes: 0, heads: 0, forwarded_bytes: 0, executions: 0 });
        self.schedule(arrival_ms, Delivery::Arrive(at));
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_ratio(percent, 100)
    }

    fn schedule(&mut self, delay_ms: u64, delivery: Delivery) {
        self.sequence += 1;
        self.deliveries.insert((self.now + Duration::from_millis(delay_ms), self.sequence), delivery);
    }

    /// Sends a frame of a dispatch over the faulty network.
    fn send(&mut self, id: RequestId, delivery: &Delivery) {
        if self.chance(self.faults.cut_percent) {
            let delay = self.rng.random_range(0..=self.faults.delay_ms);
            self.schedule(delay, Delivery::Cut(id));
        }
        if self.chance(self.faults.loss_percent) {
            return;
        }
        let copies = if self.chance(self.faults.repeat_percent) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = self.rng.random_range(0..=self.faults.delay_ms);
            self.schedule(delay, delivery.clone());
        }
    }

    fn run(&mut self) {
        const DELIVERIES_MAX: u64 = 100_000;
        while let Some(((at, _), delivery)) = self.deliveries.pop_first() {
            assert!(self.sequence < DELIVERIES_MAX, "the simulation doesn't terminate");
            self.now = at;
            self.deliver(delivery);
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Arrive(at) => self.arrive(at),
            Delivery::Wake(at) => self.event(at, &Event::Tick),
            Delivery::Cut(id) => self.entry_event(id, &Event::LinkLost { id }),
            Delivery::ToEntry(id, event) => self.entry_event(id, &event),
            Delivery::Offered(agent, offer) => {
                let actions = self.agents[agent].admission.offer(self.now, &offer);
                self.apply_agent_actions(agent, &actions);
            }
            Delivery::Cancelled(agent, id) => {
                let actions = self.agents[agent].admission.cancel(self.now, id);
                self.apply_agent_actions(agent, &actions);
            }
            Delivery::Queried(agent, origin, boot) => self.queried(agent, origin, boot),
            Delivery::Answering(agent, boot, id) if boot == self.agents[agent].boot => self.send_head(agent, id),
            Delivery::Done(agent, boot, id) if boot == self.agents[agent].boot => self.finish(agent, id),
            Delivery::AgentWake(agent, boot) if boot == self.agents[agent].boot => {
                let actions = self.agents[agent].admission.tick(self.now);
                self.apply_agent_actions(agent, &actions);
            }
            Delivery::Restart(agent) => self.agents[agent] = Agent::start(2, &self.faults),
            Delivery::Answering(..) | Delivery::Done(..) | Delivery::AgentWake(..) => {}
        }
    }

    fn arrive(&mut self, at: usize) {
        let (request, actions) = Request::open(self.now, self.exchanges[at].spec, &mut self.budget);
        self.exchanges[at].request = Some(request);
        self.apply_actions(at, &Event::Tick, &actions);
    }

    fn entry_event(&mut self, id: RequestId, event: &Event) {
        let (at, _) = self.dispatches[&id];
        self.event(at, event);
    }

    fn event(&mut self, at: usize, event: &Event) {
        let request = self.exchanges[at].request.as_mut().expect("the request has arrived");
        let actions = request.on(self.now, event, &mut self.budget);
        self.apply_actions(at, event, &actions);
    }

    fn apply_actions(&mut self, at: usize, event: &Event, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Dispatch => self.dispatch(at),
                Action::QueryOutcome { origin, choice } => {
                    let (_, agent) = self.dispatches[&origin.id];
                    self.send(origin.id, &Delivery::Queried(agent, *origin, choice.agent_boot));
                }
                Action::Cancel { id, .. } => {
                    let (_, agent) = self.dispatches[id];
                    self.send(*id, &Delivery::Cancelled(agent, *id));
                }
                Action::ForwardHead => self.exchanges[at].heads += 1,
                Action::ForwardChunk => self.forward(at, event),
                Action::Finish(_) => self.exchanges[at].finishes += 1,
                Action::Drop => {}
            }
        }
        let wake_at = self.exchanges[at].request.as_ref().and_then(Request::wake_at);
        if let Some(wake_at) = wake_at {
            self.sequence += 1;
            self.deliveries.insert((wake_at.max(self.now), self.sequence), Delivery::Wake(at));
        }
    }

    fn forward(&mut self, at: usize, event: &Event) {
        let Event::Chunk { offset_bytes, length_bytes, .. } = event else { panic!("only a chunk can be forwarded") };
        let exchange = &mut self.exchanges[at];
        assert_eq!(exchange.forwarded_bytes, *offset_bytes, "a chunk is out of order");
        exchange.forwarded_bytes += length_bytes;
    }

    fn dispatch(&mut self, at: usize) {
        let request = self.exchanges[at].request.as_ref().expect("the request has arrived");
        let free: Vec<usize> =
            (0..AGENTS).filter(|agent| !request.excluded().contains(&Name::from(agent.to_string()))).collect();
        if free.is_empty() {
            let event = Event::NotDispatched { code: Code::Overloaded, retry_after: Duration::ZERO };
            self.event(at, &event);
            return;
        }
        let agent = free[self.rng.random_range(0..free.len())];
        self.sequence += 1;
        let id = RequestId { entry: ENTRY, sequence: self.sequence };
        self.dispatches.insert(id, (at, agent));
        let choice = Choice { worker: Name::from(agent.to_string()), agent_boot: self.agents[agent].boot };
        self.event(at, &Event::Dispatched { id, choice: choice.clone() });
        if self.exchanges[at].request.as_ref().is_some_and(|request| request.end().is_none()) {
            let priority = if at.is_multiple_of(2) { Priority::LatencyCritical } else { Priority::Batch };
            let deadline = self.exchanges[at].spec.deadline;
            let offer = Offer { agent_boot: choice.agent_boot, deadline, id, priority };
            self.send(id, &Delivery::Offered(agent, offer));
        }
    }

    fn queried(&mut self, agent: usize, origin: Origin, boot: BootId) {
        let outcome = self.agents[agent].admission.query_outcome(self.now, origin.id, boot, origin.epoch);
        self.send(origin.id, &Delivery::ToEntry(origin.id, Event::Outcome { origin, outcome }));
    }

    fn apply_agent_actions(&mut self, agent: usize, actions: &[admission::Action]) {
        for action in actions {
            match *action {
                admission::Action::Start(id) => self.start(agent, id),
                admission::Action::NotStarted { id, code, retry_after } => {
                    let event = Event::NotStarted { id, code, retry_after };
                    self.send(id, &Delivery::ToEntry(id, event));
                }
                admission::Action::Abort(id) => self.finish(agent, id),
                admission::Action::Drop(_) => {}
            }
        }
        if let Some(wake_at) = self.agents[agent].admission.wake_at() {
            self.sequence += 1;
            let boot = self.agents[agent].boot;
            self.deliveries.insert((wake_at.max(self.now), self.sequence), Delivery::AgentWake(agent, boot));
        }
    }

    fn start(&mut self, agent: usize, id: RequestId) {
        if self.chance(5) {
            let actions = self.agents[agent].admission.finished(self.now, id, Finished::NotRun(Code::NoBackendServer));
            self.apply_agent_actions(agent, &actions);
            return;
        }
        let (at, _) = self.dispatches[&id];
        self.exchanges[at].executions += 1;
        self.agents[agent].running += 1;
        assert!(self.agents[agent].running <= SLOTS, "more requests run than there are slots");
        let boot = self.agents[agent].boot;
        let head_ms = self.rng.random_range(1..30);
        let done_ms = head_ms + self.rng.random_range(0..30);
        self.schedule(head_ms, Delivery::Answering(agent, boot, id));
        self.schedule(done_ms, Delivery::Done(agent, boot, id));
    }

    fn send_head(&mut self, agent: usize, id: RequestId) {
        let Some(epoch) = self.agents[agent].admission.begin_answer(id) else { return };
        self.agents[agent].answer_epochs.insert(id, epoch);
        let (at, _) = self.dispatches[&id];
        let length_bytes = at.is_multiple_of(2).then(|| body_bytes(at));
        self.send(id, &Delivery::ToEntry(id, Event::Head { origin: Origin { id, epoch }, length_bytes }));
    }

    fn finish(&mut self, agent: usize, id: RequestId) {
        if !self.agents[agent].admission.running().any(|running| running == id) {
            return;
        }
        self.agents[agent].running -= 1;
        if let Some(epoch) = self.agents[agent].answer_epochs.remove(&id) {
            self.send_body(id, Origin { id, epoch });
        }
        let actions = self.agents[agent].admission.finished(self.now, id, Finished::Ran);
        self.apply_agent_actions(agent, &actions);
    }

    fn send_body(&mut self, id: RequestId, origin: Origin) {
        let (at, _) = self.dispatches[&id];
        for offset_bytes in (0..body_bytes(at)).step_by(10) {
            let event = Event::Chunk { origin, offset_bytes, length_bytes: 10 };
            self.send(id, &Delivery::ToEntry(id, event));
        }
        let event = Event::End { origin, total_bytes: body_bytes(at) };
        self.send(id, &Delivery::ToEntry(id, event));
    }

    fn check_ends(&self) {
        for (at, exchange) in self.exchanges.iter().enumerate() {
            assert_eq!(exchange.finishes, 1, "request {at} has exactly one end");
            assert!(exchange.heads <= 1, "request {at} has at most one answer");
            assert!(exchange.spec.idempotent || exchange.executions <= 1, "request {at} ran twice");
            match exchange.request.as_ref().and_then(Request::end).expect("the request has ended") {
                End::Answered => {
                    assert_eq!((exchange.heads, exchange.forwarded_bytes), (1, body_bytes(at)), "request {at}");
                    assert!(exchange.executions >= 1, "request {at} was answered but not run");
                }
                End::NotRun { .. } => {
                    assert_eq!(exchange.executions, 0, "request {at} was reported as not run");
                    assert_eq!(exchange.heads, 0, "request {at} was reported as not run after part of an answer");
                }
                End::Unknown { answer_begun, .. } => assert_eq!(answer_begun, exchange.heads == 1, "request {at}"),
            }
        }
    }

    fn ends(&self) -> [usize; 3] {
        let mut ends = [0; 3];
        for exchange in &self.exchanges {
            match exchange.request.as_ref().and_then(Request::end) {
                Some(End::Answered) => ends[0] += 1,
                Some(End::NotRun { .. }) => ends[1] += 1,
                _ => ends[2] += 1,
            }
        }
        ends
    }
}

fn faults() -> impl Strategy<Value = Faults> {
    (0..30_u32, 0..30_u32, 0..30_u32, 0..60_u32, 0..120_u64, 20..2_000_u64, any::<bool>()).prop_map(
        |(loss_percent, repeat_percent, cut_percent, restart_percent, delay_ms, keep_outcomes_ms, hedge)| Faults {
            loss_percent,
            repeat_percent,
            cut_percent,
            restart_percent,
            delay_ms,
            keep_outcomes_ms,
            hedge,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_request_has_one_true_end(seed in any::<u64>(), faults in faults()) {
        let mut world = World::new(seed, faults);
        world.run();
        world.check_ends();
    }
}

#[test]
fn without_faults_nothing_is_unknown() {
    let faults = Faults {
        loss_percent: 0,
        repeat_percent: 0,
        cut_percent: 0,
        restart_percent: 0,
        delay_ms: 0,
        keep_outcomes_ms: 60_000,
        hedge: false,
    };
    for seed in 0..200 {
        let mut world = World::new(seed, faults);
        for exchange in &mut world.exchanges {
            exchange.spec.deadline = Duration::from_secs(10);
        }
        world.run();
        world.check_ends();
        let [answered, _, unknown] = world.ends();
        assert_eq!(unknown, 0, "seed {seed}");
        assert!(answered >= REQUESTS / 3, "seed {seed}: {answered} answered");
    }
}
