//! Leases: who may execute, until when, and when another may take over.
//!
//! An entry renews one row for each group of agents; the row holds a counter. An agent asks its entry for a renewal,
//! and the entry answers once the counter's write is known to have taken effect. Nobody compares clocks of two
//! machines:
//!
//! - [`Holder`], in the agent, counts validity from *before it asked*.
//! - [`Group`], in the entry, gathers the asks that one write of the row answers.
//! - [`Watch`], in any other entry, lets the row be taken after it has seen the counter unchanged for a whole lease and
//!   a margin on its own monotonic clock. Taking is a write that is conditional on the counter seen.
//!
//! The clock must also count the time for which the machine was suspended.
//!
//! # Suspending against stopping
//!
//! At the end of the lease a task executes nothing more. Two ways were weighed. *Checkpoint, then stop* frees the
//! worker's memory, but every outage of the store that outlasts a lease then costs a restart and the work since the
//! checkpoint, and needs the object store at the moment when the platform is away. *Suspend* keeps the task in memory
//! and its reservation on the worker, and needs a worker that executes nothing while suspended. It is chosen here: the
//! checkpoint is written ahead of the end, when the store still answers, and serves if another worker takes over; when
//! the row still names the epoch after the store returns, the task resumes from memory without an eviction. A worker
//! without that guarantee stops the task at [`Holder::worker_limit`] instead, and the row's state is the same.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::collections::Map;
use crate::id::{BootId, Name};

/// Asks that a holder remembers at most.
const ASKS_MAX: usize = 64;

/// Durations that holders and takers of a lease agree on.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Terms {
    /// Time for which a renewal is valid.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "length_ms")]
    pub length: Duration,
    /// Further time that a taker waits, for clocks that run at different rates.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "margin_ms")]
    pub margin: Duration,
    /// Time before the end at which a checkpoint is due. Less than `length`.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "checkpoint_ahead_ms")]
    pub checkpoint_ahead: Duration,
    /// Time between two asks. Less than `length - checkpoint_ahead`.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "renew_every_ms")]
    pub renew_every: Duration,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            length: Duration::from_secs(12),
            margin: Duration::from_secs(2),
            checkpoint_ahead: Duration::from_secs(4),
            renew_every: Duration::from_secs(3),
        }
    }
}

/// Identifies one ask of an agent; never reused, also after the agent has restarted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct RenewalRequest {
    /// Start of the agent that asks.
    pub agent: BootId,
    /// Strictly increasing within one start of the agent.
    pub sequence: u64,
}

/// What the holder of a lease may do now.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Tasks execute.
    Valid,
    /// Tasks execute; the end is near, so that a checkpoint is due.
    CheckpointDue,
    /// Tasks are suspended.
    Ended,
}

/// An agent's side of the lease with one entry.
#[derive(Clone, Debug)]
pub struct Holder {
    terms: Terms,
    agent: BootId,
    next: u64,
    /// Asks and the times read before they were sent, in order of both.
    asks: VecDeque<(RenewalRequest, Duration)>,
    /// End of the lease. Never decreases.
    until: Option<Duration>,
}

impl Holder {
    /// Opens a lease that isn't valid yet.
    #[must_use]
    pub const fn open(terms: Terms, agent: BootId) -> Self {
        Self { terms, agent, next: 1, asks: VecDeque::new(), until: None }
    }

    /// Tells whether an ask is due.
    #[must_use]
    pub fn is_renewal_due(&self, now: Duration) -> bool {
        self.asks.back().is_none_or(|(_, asked)| now >= *asked + self.terms.renew_every)
    }

    /// Numbers an ask; `now` is read before it is sent.
    pub fn request_renewal(&mut self, now: Duration) -> RenewalRequest {
        let ask = RenewalRequest { agent: self.agent, sequence: self.next };
        self.next += 1;
        if self.asks.len() == ASKS_MAX {
            self.asks.pop_front();
        }
        self.asks.push_back((ask, now));
        ask
    }

    /// Notes that the renewal which answers `ask` has taken effect.
    ///
    /// Late, repeated and unknown answers never shorten the lease, and never extend it past the ask's own length.
    pub fn granted(&mut self, ask: RenewalRequest) {
        if let Some(asked) = self.asked(ask) {
            let until = asked + self.terms.length;
            self.until = Some(self.until.map_or(until, |old| old.max(until)));
        }
    }

    /// End of the lease on the agent's clock.
    #[must_use]
    pub const fn valid_until(&self) -> Option<Duration> {
        self.until
    }

    /// Tells what the holder may do now.
    #[must_use]
    pub fn phase(&self, now: Duration) -> Phase {
        match self.until {
            Some(until) if now + self.terms.checkpoint_ahead < until => Phase::Valid,
            Some(until) if now < until => Phase::CheckpointDue,
            _ => Phase::Ended,
        }
    }

    /// Time for which the worker may still execute, counted by the worker from *before it asked* the agent.
    ///
    /// The worker enforces it itself, so that an agent that is frozen can't keep a task running.
    #[must_use]
    pub fn worker_limit(&self, now: Duration) -> Duration {
        self.until.map_or(Duration::ZERO, |until| until.saturating_sub(now))
    }

    /// Tells whether a start or an adoption that names `ask` may still be obeyed.
    ///
    /// An entry names in each of them the newest ask it has received from the start of the agent that the claim names, and ends the claim of an unanswered start only
    /// after a lease and a margin. A start that was delayed longer than a lease is therefore refused here.
    #[must_use]
    pub fn is_start_current(&self, ask: RenewalRequest, now: Duration) -> bool {
        self.phase(now) != Phase::Ended && self.asked(ask).is_some_and(|asked| now < asked + self.terms.length)
    }

    fn asked(&self, ask: RenewalRequest) -> Option<Duration> {
        self.asks.iter().find(|(number, _)| *number == ask).map(|(_, asked)| *asked)
    }
}

/// Row of a lease group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupRow {
    /// Start of the entry that renews the row.
    pub entry: BootId,
    /// Number of the group within the entry.
    pub group: u32,
    /// Counter of renewals. Strictly increasing.
    pub counter: u64,
    /// Start of the entry that took the row after the lease had ended. No renewal follows.
    pub taken_by: Option<BootId>,
}

/// One write of a group's row, and the asks that it answers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Renewal {
    /// Counter to write; the write is conditional on the row's holding the one before.
    pub counter: u64,
    /// Agents and their asks, received before the write began.
    pub asks: Vec<(Name, RenewalRequest)>,
}

#[derive(Clone, Copy, Debug, Default)]
struct AgentLease {
    waiting: Option<RenewalRequest>,
    /// Last time at which a grant or a start may have been sent, on the entry's clock.
    granted_at: Option<Duration>,
    /// Start of the agent that asked last.
    boot: Option<BootId>,
    /// Grants are given only while this holds.
    admitted: bool,
}

/// An entry's side of the leases of one group of agents.
#[derive(Clone, Debug)]
pub struct Group {
    terms: Terms,
    opened_at: Duration,
    counter: u64,
    lost: bool,
    agents: Map<Name, AgentLease>,
    in_flight: Option<Renewal>,
}

impl Group {
    /// Opens a group whose row holds `counter`.
    #[must_use]
    pub fn open(terms: Terms, counter: u64, now: Duration) -> Self {
        Self { terms, opened_at: now, counter, lost: false, agents: Map::default(), in_flight: None }
    }

    /// Notes an agent's ask, to be answered by the next write; of several asks only the newest is answered.
    ///
    /// An agent that has restarted is barred until it is admitted again.
    pub fn renewal_requested(&mut self, agent: &Name, ask: RenewalRequest) {
        let lease = self.agents.entry(Name::clone(agent)).or_default();
        if lease.boot.replace(ask.agent).is_some_and(|boot| boot != ask.agent) {
            lease.admitted = false;
        }
        let waiting = &mut lease.waiting;
        if waiting.is_none_or(|old| old.agent != ask.agent || old.sequence < ask.sequence) {
            *waiting = Some(ask);
        }
    }

    /// Begins a write that answers the asks that wait, unless one is in flight, nothing waits or the row is lost.
    pub fn begin(&mut self) -> Option<Renewal> {
        if self.lost || self.in_flight.is_some() {
            return None;
        }
        let mut asks = Vec::new();
        for (agent, lease) in self.agents.iter_mut().filter(|(_, lease)| lease.admitted) {
            if let Some(ask) = lease.waiting.take() {
                asks.push((Name::clone(agent), ask));
            }
        }
        if asks.is_empty() {
            return None;
        }
        let renewal = Renewal { counter: self.counter + 1, asks };
        self.in_flight = Some(renewal.clone());
        Some(renewal)
    }

    /// Notes that the write has taken effect, and gives the grants to send.
    pub fn written(&mut self, now: Duration) -> Vec<(Name, RenewalRequest)> {
        let Some(renewal) = self.in_flight.take() else {
            return Vec::new();
        };
        self.counter = renewal.counter;
        let granted: Vec<(Name, RenewalRequest)> =
            renewal.asks.into_iter().filter(|(agent, _)| self.is_admitted(agent)).collect();
        for (agent, _) in &granted {
            self.start_sent(agent, now);
        }
        granted
    }

    /// Notes that the write hasn't taken effect and never will; its asks wait for the next one.
    ///
    /// A write whose outcome is unknown stays in flight until the row has been read again.
    pub fn not_written(&mut self) {
        let Some(renewal) = self.in_flight.take() else {
            return;
        };
        for (agent, ask) in renewal.asks {
            self.renewal_requested(&agent, ask);
        }
    }

    /// Compares with a row that was read after a write of unknown outcome, and gives the grants to send.
    ///
    /// The caller reads the row only once the write can no longer take effect late.
    pub fn reread(&mut self, row: &GroupRow, now: Duration) -> Vec<(Name, RenewalRequest)> {
        if row.taken_by.is_some() {
            self.lost = true;
            self.in_flight = None;
            return Vec::new();
        }
        if self.in_flight.as_ref().is_some_and(|renewal| renewal.counter == row.counter) {
            return self.written(now);
        }
        self.not_written();
        Vec::new()
    }

    /// Tells whether another entry has taken the row; the entry must open a new group.
    #[must_use]
    pub const fn is_lost(&self) -> bool {
        self.lost
    }

    /// Notes that a start or an adoption was sent to the agent; it stays valid there for as long as a grant does.
    pub fn start_sent(&mut self, agent: &Name, now: Duration) {
        self.agents.entry(Name::clone(agent)).or_default().granted_at = Some(now);
    }

    /// Grants renewals to the agent, after it has listed what it holds and has stopped every epoch that has ended.
    ///
    /// No agent is admitted before that, so that a lease that is renewed after a lapse never revives an ended epoch.
    pub fn admit(&mut self, agent: &Name) {
        self.agents.entry(Name::clone(agent)).or_default().admitted = true;
    }

    /// Gives the agent no more grants, so that its lease ends; the caller also sends it no more starts.
    pub fn exclude(&mut self, agent: &Name) {
        self.agents.entry(Name::clone(agent)).or_default().admitted = false;
    }

    /// Tells whether the agent is barred and its lease has surely ended, so that claims on its worker may expire.
    #[must_use]
    pub fn has_agent_lease_ended(&self, agent: &Name, now: Duration) -> bool {
        let lease = self.agents.get(agent).copied().unwrap_or_default();
        let since = lease.granted_at.unwrap_or(self.opened_at);
        !lease.admitted && now >= since + self.terms.length + self.terms.margin
    }

    /// Forgets an agent that is barred and whose lease has ended; tells whether it did.
    pub fn forget(&mut self, agent: &Name, now: Duration) -> bool {
        let ended = self.has_agent_lease_ended(agent, now);
        if ended {
            self.agents.remove(agent);
        }
        ended
    }

    fn is_admitted(&self, agent: &Name) -> bool {
        self.agents.get(agent).is_some_and(|lease| lease.admitted)
    }
}

/// A taker's view of a group's row.
#[derive(Clone, Debug)]
pub struct Watch {
    terms: Terms,
    /// Longest time between two reads for which the row counts as watched.
    gap_max: Duration,
    seen: Option<Seen>,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    counter: u64,
    /// Time at which the counter's first read was answered.
    since: Duration,
    /// Time before the last read was sent.
    confirmed: Duration,
}

impl Watch {
    /// Opens a watch that has seen nothing.
    ///
    /// Reads further apart than `gap_max` start the count again: after an outage of the store the holder gets a whole
    /// lease to renew before anyone takes over.
    #[must_use]
    pub const fn open(terms: Terms, gap_max: Duration) -> Self {
        Self { terms, gap_max, seen: None }
    }

    /// Notes a read of the counter, sent at `asked` and answered at `now`.
    pub fn observe(&mut self, counter: u64, asked: Duration, now: Duration) {
        match &mut self.seen {
            Some(seen) if seen.counter == counter && asked <= seen.confirmed + self.gap_max => {
                seen.confirmed = seen.confirmed.max(asked);
            }
            seen => *seen = Some(Seen { counter, since: now, confirmed: asked }),
        }
    }

    /// Counter on which a take must be conditional, once the lease has ended.
    #[must_use]
    pub fn takeover_counter(&self) -> Option<u64> {
        let seen = self.seen?;
        let wait = self.terms.length + self.terms.margin;
        (seen.confirmed >= seen.since + wait).then_some(seen.counter)
    }
}
