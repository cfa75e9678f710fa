//! Model of two entries, two agents, one task and a store, built from the state machines under test.

use std::time::Duration;

use chervilledge_policy::capacity::Resources;
use chervilledge_policy::id::{BootId, Name};
use chervilledge_policy::lease::{Group, GroupRow, Holder, Phase, RenewalRequest, Terms, Watch};
use chervilledge_policy::reservation::{Admission, Fenced, Reservation, Reservations};
use chervilledge_policy::task::{
    Change, Claim, Effects, Epoch, JobRow, Priority, TaskRow, TaskState, Transition, apply,
};

pub const LENGTH_TICKS: u64 = 3;
const MESSAGES_MAX: usize = 4;
const SIZE: Resources = Resources { processor_millicores: 1000, memory_bytes: 1, accelerators: 0 };

/// Message between an entry and an agent; delivered in any order, or lost.
#[derive(Clone, Debug)]
pub enum Message {
    RenewalRequest { agent: usize, entry: usize, request: RenewalRequest },
    Grant { agent: usize, entry: usize, request: RenewalRequest },
    Start { agent: usize, entry: usize, request: RenewalRequest, epoch: Epoch, claimed_for: BootId },
    Fence { agent: usize, epoch: Epoch, claimed_for: BootId },
    Declined { epoch: Epoch },
    Ended { epoch: Epoch, is_complete: bool },
}

/// Possible next step of the model.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    Tick,
    Deliver(usize),
    Lose(usize),
    AgentRequestsRenewal { agent: usize, entry: usize },
    WorkerPolls { agent: usize },
    AgentEvicts { agent: usize },
    AgentCompletes { agent: usize },
    AgentRestarts { agent: usize },
    RenewalWritten { entry: usize },
    RenewalAnswered { entry: usize },
    Admit { entry: usize, agent: usize },
    Exclude { entry: usize, agent: usize },
    Claim { entry: usize, agent: usize },
    SendStart { entry: usize },
    SendFence { entry: usize },
    Expire { entry: usize },
    Cancel,
    Observe { entry: usize },
    TakeOver { entry: usize },
    Adopt { entry: usize },
}

#[derive(Clone, Debug)]
struct Run {
    epoch: Epoch,
    entry: usize,
    /// End of execution enforced by the worker.
    limit: Duration,
}

#[derive(Clone, Debug)]
struct Agent {
    boot: BootId,
    holders: [Holder; 2],
    reservations: Reservations,
    run: Option<Run>,
}

#[derive(Clone, Debug)]
struct Entry {
    group: Group,
    watch: Watch,
    latest_requests: [Option<RenewalRequest>; 2],
    is_renewal_written: bool,
}

/// Events that a walk has reached.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Coverage {
    pub runs: usize,
    pub is_done: bool,
    pub expirations: u32,
    pub adoptions: u32,
}

#[derive(Clone, Debug)]
pub struct World {
    terms: Terms,
    ticks: u64,
    ticks_max: u64,
    row: TaskRow,
    rows: [GroupRow; 2],
    entries: [Entry; 2],
    agents: [Agent; 2],
    messages: Vec<Message>,
    /// Epochs that a worker started to run, in order.
    started: Vec<Epoch>,
    completed: u32,
    /// Whether a claim was declined although its epoch had started.
    declined_started: bool,
    coverage: Coverage,
}

fn boot(entry: usize) -> BootId {
    BootId(entry as u64)
}

fn worker(agent: usize) -> Name {
    Name::from(["w0", "w1"][agent])
}

impl World {
    pub fn open(ticks_max: u64) -> Self {
        let second = Duration::from_secs(1);
        let terms = Terms {
            length: second * u32::try_from(LENGTH_TICKS).expect("small"),
            margin: second,
            checkpoint_ahead: second,
            renew_every: second,
        };
        let job = JobRow {
            id: Name::from("job"),
            submit_key: Name::from("key"),
            team: Name::from("team"),
            priority: Priority::Normal,
            kind: Name::from("kind"),
            declared: SIZE,
            run_time: second,
            effects: Effects::Fenced,
            task_count: 1,
            attempts_max: 3,
        };
        let entry = |_| Entry {
            group: Group::open(terms, 0, Duration::ZERO),
            watch: Watch::open(terms, second * 3),
            latest_requests: [None; 2],
            is_renewal_written: false,
        };
        let agent = |agent: u64| {
            let boot = BootId(10 + agent);
            let mut reservations = Reservations::open(SIZE, boot);
            reservations.take_stock(Vec::new()).expect("an empty worker has no excess");
            Agent { boot, holders: [Holder::open(terms, boot), Holder::open(terms, boot)], reservations, run: None }
        };
        Self {
            terms,
            ticks: 0,
            ticks_max,
            row: job.task(0),
            rows: [0, 1].map(|entry| GroupRow { entry: boot(entry), group: 0, counter: 0, taken_by: None }),
            entries: [0, 1].map(entry),
            agents: [0, 1].map(agent),
            messages: Vec::new(),
            started: Vec::new(),
            completed: 0,
            declined_started: false,
            coverage: Coverage::default(),
        }
    }

    /// Returns all possible next steps.
    pub fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.ticks < self.ticks_max {
            actions.push(Action::Tick);
        }
        if !self.row.state.is_final() {
            actions.push(Action::Cancel);
        }
        for message in 0..self.messages.len() {
            actions.extend([Action::Deliver(message), Action::Lose(message)]);
        }
        for agent in (0..2).filter(|agent| self.agents[*agent].run.is_some()) {
            actions.extend([Action::WorkerPolls { agent }, Action::AgentRestarts { agent }]);
            actions.extend([Action::AgentEvicts { agent }, Action::AgentCompletes { agent }]);
        }
        for entry in 0..2 {
            self.entry_actions(entry, &mut actions);
        }
        actions
    }

    fn entry_actions(&self, entry: usize, actions: &mut Vec<Action>) {
        actions.push(if self.entries[entry].is_renewal_written {
            Action::RenewalAnswered { entry }
        } else {
            Action::RenewalWritten { entry }
        });
        if self.claimed_agent(entry).is_some() {
            actions.extend([Action::SendStart { entry }, Action::SendFence { entry }, Action::Expire { entry }]);
        }
        if self.rows[1 - entry].taken_by.is_none() {
            actions.extend([Action::Observe { entry }, Action::TakeOver { entry }]);
        } else if self.claimed_agent(1 - entry).is_some() {
            actions.push(Action::Adopt { entry });
        }
        for agent in 0..2 {
            actions.extend([Action::AgentRequestsRenewal { agent, entry }, Action::Admit { entry, agent }]);
            actions.push(Action::Exclude { entry, agent });
            if self.row.state == TaskState::Queued && self.rows[entry].taken_by.is_none() {
                actions.push(Action::Claim { entry, agent });
            }
        }
    }

    pub fn step(&mut self, action: Action) {
        let now = self.now();
        match action {
            Action::Tick => self.ticks += 1,
            Action::Deliver(message) => {
                let message = self.messages.remove(message);
                self.deliver(&message);
            }
            Action::Lose(message) => drop(self.messages.remove(message)),
            Action::AgentRequestsRenewal { agent, entry } => {
                let request = self.agents[agent].holders[entry].request_renewal(now);
                self.send(Message::RenewalRequest { agent, entry, request });
            }
            Action::WorkerPolls { agent } => self.agents[agent].worker_polls(now),
            Action::AgentEvicts { agent } => self.agent_ends(agent, false),
            Action::AgentCompletes { agent } => self.agent_ends(agent, true),
            Action::AgentRestarts { agent } => self.agent_restarts(agent),
            Action::RenewalWritten { entry } => self.write_renewal(entry),
            Action::RenewalAnswered { entry } => self.answer_renewal(entry),
            Action::Admit { entry, agent } => self.admit(entry, agent),
            Action::Exclude { entry, agent } => self.entries[entry].group.exclude(&worker(agent)),
            Action::Claim { entry, agent } => {
                let Some(request) = self.entries[entry].latest_requests[agent] else { return };
                let claim = Claim { worker: worker(agent), agent: request.agent, entry: boot(entry) };
                self.write(self.row.epoch, &Change::Claim(claim));
            }
            Action::SendStart { entry } => self.send_start(entry),
            Action::SendFence { entry } => self.send_fence(entry),
            Action::Expire { entry } => self.expire(entry),
            Action::Cancel => self.write(self.row.epoch, &Change::Cancel),
            Action::Observe { entry } => {
                let counter = self.rows[1 - entry].counter;
                self.entries[entry].watch.observe(counter, now, now);
            }
            Action::TakeOver { entry } => {
                let row = &mut self.rows[1 - entry];
                if row.taken_by.is_none() && self.entries[entry].watch.takeover_counter() == Some(row.counter) {
                    row.taken_by = Some(boot(entry));
                }
            }
            Action::Adopt { entry } => {
                let is_free = self.rows[1 - entry].taken_by.is_some() && self.rows[entry].taken_by.is_none();
                if is_free && self.claimed_agent(1 - entry).is_some() {
                    self.write(self.row.epoch, &Change::Adopt(boot(entry)));
                }
            }
        }
    }

    /// Returns a description of the violated invariant, if any.
    pub fn violation(&self) -> Option<String> {
        let now = self.now();
        let executing = self.agents.iter().filter(|agent| agent.run.as_ref().is_some_and(|run| now < run.limit));
        if executing.count() > 1 {
            return Some("the task executes on two workers".into());
        }
        if self.started.windows(2).any(|pair| pair[0] >= pair[1]) {
            return Some(format!("an epoch started twice or out of order: {:?}", self.started));
        }
        if self.declined_started {
            return Some("a claim was declined after its epoch had started".into());
        }
        if self.completed > 1 {
            return Some("the task completed twice".into());
        }
        None
    }

    /// Returns the events reached so far, to check that the search covers them.
    pub fn coverage(&self) -> Coverage {
        Coverage { runs: self.started.len(), is_done: self.row.state == TaskState::Done, ..self.coverage }
    }

    /// Returns the number of messages in transit.
    pub fn message_count(&self) -> usize {
        self.messages.len()
    }

    fn now(&self) -> Duration {
        Duration::from_secs(self.ticks)
    }

    fn send(&mut self, message: Message) {
        if self.messages.len() < MESSAGES_MAX {
            self.messages.push(message);
        }
    }

    /// Writes the task's row if the transition is allowed.
    fn write(&mut self, epoch: Epoch, change: &Change) {
        let Ok(row) = apply(&self.row, Transition { epoch, change: change.clone() }) else { return };
        self.row = row;
        self.declined_started |= *change == Change::Decline && self.started.contains(&epoch);
        self.completed += u32::from(matches!(change, Change::Complete | Change::CompleteLate(_)));
        self.coverage.expirations += u32::from(*change == Change::Expire);
        self.coverage.adoptions += u32::from(matches!(change, Change::Adopt(_)));
    }

    /// Returns the agent that holds the claim made by an entry.
    fn claimed_agent(&self, entry: usize) -> Option<usize> {
        let claim = self.row.state.claim().filter(|claim| claim.entry == boot(entry))?;
        (0..2).find(|agent| worker(*agent) == claim.worker)
    }

    fn write_renewal(&mut self, entry: usize) {
        if self.entries[entry].is_renewal_written {
            return;
        }
        if let Some(renewal) = self.entries[entry].group.begin() {
            let row = &mut self.rows[entry];
            if row.taken_by.is_none() && row.counter + 1 == renewal.counter {
                row.counter = renewal.counter;
            }
            self.entries[entry].is_renewal_written = true;
        }
    }

    fn answer_renewal(&mut self, entry: usize) {
        let now = self.now();
        let peer = &mut self.entries[entry];
        if !std::mem::take(&mut peer.is_renewal_written) {
            return;
        }
        for (name, request) in peer.group.reread(&self.rows[entry], now) {
            let agent = usize::from(name == worker(1));
            self.send(Message::Grant { agent, entry, request });
        }
    }

    /// Admits an agent that holds no epoch other than the one in the row.
    fn admit(&mut self, entry: usize, agent: usize) {
        let held = self.agents[agent].run.as_ref().map(|run| run.epoch);
        let is_current = self.row.state.claim().is_some_and(|claim| claim.worker == worker(agent));
        if held.is_none_or(|epoch| is_current && epoch == self.row.epoch) {
            self.entries[entry].group.admit(&worker(agent));
        }
    }

    fn send_start(&mut self, entry: usize) {
        let now = self.now();
        let Some(agent) = self.claimed_agent(entry) else { return };
        let Some(claimed_for) = self.row.state.claim().map(|claim| claim.agent) else { return };
        let Some(request) = self.entries[entry].latest_requests[agent] else { return };
        if self.entries[entry].group.has_agent_lease_ended(&worker(agent), now) {
            return;
        }
        self.entries[entry].group.start_sent(&worker(agent), now);
        self.send(Message::Start { agent, entry, request, epoch: self.row.epoch, claimed_for });
    }

    fn send_fence(&mut self, entry: usize) {
        let Some(claimed_for) = self.row.state.claim().map(|claim| claim.agent) else { return };
        if let Some(agent) = self.claimed_agent(entry) {
            self.send(Message::Fence { agent, epoch: self.row.epoch, claimed_for });
        }
    }

    fn expire(&mut self, entry: usize) {
        let now = self.now();
        let Some(agent) = self.claimed_agent(entry) else { return };
        if self.entries[entry].group.has_agent_lease_ended(&worker(agent), now) {
            self.write(self.row.epoch, &Change::Expire);
        }
    }

    /// Restarts the agent; its worker continues to run the task.
    fn agent_restarts(&mut self, agent: usize) {
        let peer = &mut self.agents[agent];
        peer.boot = BootId(peer.boot.0 + 2);
        peer.holders = [Holder::open(self.terms, peer.boot), Holder::open(self.terms, peer.boot)];
        peer.reservations = Reservations::open(SIZE, peer.boot);
        let task = self.row.id.clone();
        let running = peer.run.iter().map(|run| Reservation { task: task.clone(), epoch: run.epoch, resources: SIZE });
        peer.reservations.take_stock(running.collect()).expect("one task fits");
    }

    fn agent_ends(&mut self, agent: usize, is_complete: bool) {
        let now = self.now();
        let peer = &mut self.agents[agent];
        let Some(run) = peer.run.take_if(|run| now < run.limit) else { return };
        peer.reservations.release(&self.row.id, run.epoch, now);
        self.send(Message::Ended { epoch: run.epoch, is_complete });
    }

    fn deliver(&mut self, message: &Message) {
        match *message {
            Message::RenewalRequest { agent, entry, request } => {
                let peer = &mut self.entries[entry];
                if peer.latest_requests[agent]
                    .is_none_or(|old| old.agent != request.agent || old.sequence < request.sequence)
                {
                    peer.latest_requests[agent] = Some(request);
                }
                peer.group.renewal_requested(&worker(agent), request);
            }
            Message::Grant { agent, entry, request } => self.agents[agent].holders[entry].granted(request),
            Message::Start { agent, entry, request, epoch, claimed_for } => {
                self.deliver_start(agent, entry, request, epoch, claimed_for);
            }
            Message::Fence { agent, epoch, claimed_for } => {
                let now = self.now();
                let fenced = self.agents[agent].reservations.fence(&self.row.id, epoch, claimed_for, now);
                if fenced == Fenced::NeverStarted {
                    self.send(Message::Declined { epoch });
                }
            }
            Message::Declined { epoch } => self.write(epoch, &Change::Decline),
            Message::Ended { epoch, is_complete: true } if epoch < self.row.epoch => {
                self.write(self.row.epoch, &Change::CompleteLate(epoch));
            }
            Message::Ended { epoch, is_complete: true } => self.write(epoch, &Change::Complete),
            Message::Ended { epoch, is_complete: false } => self.write(epoch, &Change::Evict(None)),
        }
    }

    fn deliver_start(
        &mut self,
        agent: usize,
        entry: usize,
        request: RenewalRequest,
        epoch: Epoch,
        claimed_for: BootId,
    ) {
        let now = self.now();
        let peer = &mut self.agents[agent];
        if !peer.holders[entry].is_start_current(request, now) {
            return;
        }
        let wanted = Reservation { task: self.row.id.clone(), epoch, resources: SIZE };
        match peer.reservations.reserve(&wanted, claimed_for, now) {
            Ok(Admission::Reserved) => {
                peer.run = Some(Run { epoch, entry, limit: now });
                self.started.push(epoch);
            }
            Ok(Admission::Duplicate) => {
                if let Some(run) = &mut peer.run {
                    run.entry = entry;
                }
            }
            Err(_) => {}
        }
    }
}

impl Agent {
    fn worker_polls(&mut self, now: Duration) {
        if let Some(run) = &mut self.run {
            let holder = &self.holders[run.entry];
            if holder.phase(now) != Phase::Ended {
                run.limit = now + holder.worker_limit(now);
            }
        }
    }
}
