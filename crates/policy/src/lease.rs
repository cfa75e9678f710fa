//! Leases: who may execute tasks, until when, and when another entry may take over.
//!
//! An entry renews one row per group of agents; the row holds a counter. An agent requests a renewal from its entry,
//! and the entry grants it once the write of the counter is known to have taken effect. Clocks of different machines
//! are never compared:
//!
//! - [`Holder`], in the agent, counts the validity from *before it sent the request*.
//! - [`Group`], in the entry, batches the requests that one write of the row answers.
//! - [`Watch`], in any other entry, allows taking over the row once the counter has been unchanged for a whole lease
//!   and a margin on its own monotonic clock. The takeover is a write conditional on the observed counter.
//!
//! The clock must include time for which the machine was suspended.
//!
//! # Suspending instead of stopping
//!
//! A task must not execute past the end of its lease. *Checkpoint, then stop* would free the worker's memory, but every
//! store outage longer than a lease would cost a restart and the work since the checkpoint, and would need the object
//! store just when the platform is unavailable. *Suspend*, used here, keeps the task in memory and its reservation on
//! the worker, and requires a worker that executes nothing of a suspended task. The checkpoint is written ahead of the
//! end, while the store still answers, and is used if another worker takes over. If the row still names the epoch once
//! the store is back, the task resumes from memory without an eviction. A worker without that guarantee stops the task
//! at [`Holder::worker_limit`] instead, with the same state of the row.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::collections::Map;
use crate::id::{BootId, Name};

/// Maximum number of renewal requests that a holder remembers.
const REQUESTS_MAX: usize = 64;

/// Durations shared by the holders of a lease and the entries that may take it over.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Terms {
    /// Validity of a renewal.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "length_ms")]
    pub length: Duration,
    /// Additional time to wait before a takeover, to allow for clocks that run at different rates.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "margin_ms")]
    pub margin: Duration,
    /// Time before the end of the lease at which a checkpoint is due. Less than `length`.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "checkpoint_ahead_ms")]
    pub checkpoint_ahead: Duration,
    /// Interval between renewal requests. Less than `length - checkpoint_ahead`.
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

/// Identifies one renewal request of an agent; never reused, even after a restart of the agent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct RenewalRequest {
    /// Boot of the requesting agent.
    pub agent: BootId,
    /// Strictly increasing within one boot of the agent.
    pub sequence: u64,
}

/// State of a lease, which determines what its holder may do.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Tasks execute.
    Valid,
    /// Tasks execute, but the lease ends soon and a checkpoint is due.
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
    /// Requests with the times read before they were sent, in order of both.
    requests: VecDeque<(RenewalRequest, Duration)>,
    /// End of the lease. Never decreases.
    until: Option<Duration>,
}

impl Holder {
    /// Creates a lease that isn't valid yet.
    #[must_use]
    pub const fn open(terms: Terms, agent: BootId) -> Self {
        Self { terms, agent, next: 1, requests: VecDeque::new(), until: None }
    }

    /// Returns whether a renewal request is due.
    #[must_use]
    pub fn is_renewal_due(&self, now: Duration) -> bool {
        self.requests.back().is_none_or(|(_, requested_at)| now >= *requested_at + self.terms.renew_every)
    }

    /// Creates a renewal request; `now` must be read before the request is sent.
    pub fn request_renewal(&mut self, now: Duration) -> RenewalRequest {
        let request = RenewalRequest { agent: self.agent, sequence: self.next };
        self.next += 1;
        if self.requests.len() == REQUESTS_MAX {
            self.requests.pop_front();
        }
        self.requests.push_back((request, now));
        request
    }

    /// Records that the renewal requested by `request` was granted.
    ///
    /// Late, repeated and unknown grants never shorten the lease, nor extend it past one lease length after the
    /// request.
    pub fn granted(&mut self, request: RenewalRequest) {
        if let Some(requested_at) = self.requested_at(request) {
            let until = requested_at + self.terms.length;
            self.until = Some(self.until.map_or(until, |old| old.max(until)));
        }
    }

    /// Returns the end of the lease on the agent's clock.
    #[must_use]
    pub const fn valid_until(&self) -> Option<Duration> {
        self.until
    }

    /// Returns the state of the lease.
    #[must_use]
    pub fn phase(&self, now: Duration) -> Phase {
        match self.until {
            Some(until) if now + self.terms.checkpoint_ahead < until => Phase::Valid,
            Some(until) if now < until => Phase::CheckpointDue,
            _ => Phase::Ended,
        }
    }

    /// Returns the time for which the worker may still execute, counted from *before the worker's request* to the
    /// agent.
    ///
    /// The worker enforces the limit itself, so that a frozen agent can't keep a task running.
    #[must_use]
    pub fn worker_limit(&self, now: Duration) -> Duration {
        self.until.map_or(Duration::ZERO, |until| until.saturating_sub(now))
    }

    /// Returns whether a start or adoption command that carries `request` may still be executed.
    ///
    /// Each command carries the newest renewal request that the entry has received from the agent boot named by the
    /// claim, and the entry ends the claim of an unanswered start only after a lease and a margin. A start that was
    /// delayed by more than a lease is therefore refused here.
    #[must_use]
    pub fn is_start_current(&self, request: RenewalRequest, now: Duration) -> bool {
        self.phase(now) != Phase::Ended
            && self.requested_at(request).is_some_and(|requested_at| now < requested_at + self.terms.length)
    }

    fn requested_at(&self, request: RenewalRequest) -> Option<Duration> {
        self.requests.iter().find(|(number, _)| *number == request).map(|(_, requested_at)| *requested_at)
    }
}

/// Row of a lease group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupRow {
    /// Boot of the entry that renews the row.
    pub entry: BootId,
    /// Number of the group within the entry.
    pub group: u32,
    /// Counter of renewals. Strictly increasing.
    pub counter: u64,
    /// Boot of the entry that took the row over after the lease ended. No renewal follows.
    pub taken_by: Option<BootId>,
}

/// One write of a group's row, and the renewal requests that it answers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Renewal {
    /// Counter to write; the write is conditional on the row holding the previous one.
    pub counter: u64,
    /// Agents and their requests, received before the write began.
    pub requests: Vec<(Name, RenewalRequest)>,
}

#[derive(Clone, Copy, Debug, Default)]
struct AgentLease {
    pending: Option<RenewalRequest>,
    /// Latest time at which a grant or start may have been sent, on the entry's clock.
    granted_at: Option<Duration>,
    /// Boot of the agent that sent the latest request.
    boot: Option<BootId>,
    /// Whether the agent's requests are granted.
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
    /// Creates a group whose row holds `counter`.
    #[must_use]
    pub fn open(terms: Terms, counter: u64, now: Duration) -> Self {
        Self { terms, opened_at: now, counter, lost: false, agents: Map::default(), in_flight: None }
    }

    /// Queues an agent's renewal request for the next write; only the newest of several requests is answered.
    ///
    /// A restarted agent is excluded until it is admitted again.
    pub fn renewal_requested(&mut self, agent: &Name, request: RenewalRequest) {
        let lease = self.agents.entry(Name::clone(agent)).or_default();
        if lease.boot.replace(request.agent).is_some_and(|boot| boot != request.agent) {
            lease.admitted = false;
        }
        let pending = &mut lease.pending;
        if pending.is_none_or(|old| old.agent != request.agent || old.sequence < request.sequence) {
            *pending = Some(request);
        }
    }

    /// Begins a write that answers the pending requests, unless one is in flight, none is pending or the row is lost.
    pub fn begin(&mut self) -> Option<Renewal> {
        if self.lost || self.in_flight.is_some() {
            return None;
        }
        let mut requests = Vec::new();
        for (agent, lease) in self.agents.iter_mut().filter(|(_, lease)| lease.admitted) {
            if let Some(request) = lease.pending.take() {
                requests.push((Name::clone(agent), request));
            }
        }
        if requests.is_empty() {
            return None;
        }
        let renewal = Renewal { counter: self.counter + 1, requests };
        self.in_flight = Some(renewal.clone());
        Some(renewal)
    }

    /// Records that the write took effect, and returns the grants to send.
    pub fn written(&mut self, now: Duration) -> Vec<(Name, RenewalRequest)> {
        let Some(renewal) = self.in_flight.take() else {
            return Vec::new();
        };
        self.counter = renewal.counter;
        let granted: Vec<(Name, RenewalRequest)> =
            renewal.requests.into_iter().filter(|(agent, _)| self.is_admitted(agent)).collect();
        for (agent, _) in &granted {
            self.start_sent(agent, now);
        }
        granted
    }

    /// Records that the write didn't and won't take effect; its requests are queued for the next one.
    ///
    /// A write of unknown outcome stays in flight until the row has been read again.
    pub fn not_written(&mut self) {
        let Some(renewal) = self.in_flight.take() else {
            return;
        };
        for (agent, request) in renewal.requests {
            self.renewal_requested(&agent, request);
        }
    }

    /// Resolves a write of unknown outcome by the row read afterwards, and returns the grants to send.
    ///
    /// The row must be read only once the write can no longer take effect.
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

    /// Returns whether another entry has taken over the row; this entry must then open a new group.
    #[must_use]
    pub const fn is_lost(&self) -> bool {
        self.lost
    }

    /// Records that a start or adoption was sent to the agent, where it stays valid for as long as a grant.
    pub fn start_sent(&mut self, agent: &Name, now: Duration) {
        self.agents.entry(Name::clone(agent)).or_default().granted_at = Some(now);
    }

    /// Allows renewals for the agent; to be called after it has listed what it holds and stopped every ended epoch.
    ///
    /// Admitting it earlier could revive an ended epoch when a lapsed lease is renewed.
    pub fn admit(&mut self, agent: &Name) {
        self.agents.entry(Name::clone(agent)).or_default().admitted = true;
    }

    /// Stops granting renewals to the agent, so that its lease ends; the caller must also stop sending it starts.
    pub fn exclude(&mut self, agent: &Name) {
        self.agents.entry(Name::clone(agent)).or_default().admitted = false;
    }

    /// Returns whether the agent is excluded and its lease has certainly ended, so that claims on its worker may
    /// expire.
    #[must_use]
    pub fn has_agent_lease_ended(&self, agent: &Name, now: Duration) -> bool {
        let lease = self.agents.get(agent).copied().unwrap_or_default();
        let since = lease.granted_at.unwrap_or(self.opened_at);
        !lease.admitted && now >= since + self.terms.length + self.terms.margin
    }

    /// Removes an excluded agent whose lease has ended; returns whether it did.
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

/// Observation of another entry's group row, to detect the end of its lease.
#[derive(Clone, Debug)]
pub struct Watch {
    terms: Terms,
    /// Maximum time between two reads for an unbroken observation.
    gap_max: Duration,
    seen: Option<Seen>,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    counter: u64,
    /// Time at which the first read of this counter was answered.
    since: Duration,
    /// Time read before the latest read was sent.
    confirmed: Duration,
}

impl Watch {
    /// Creates a watch without observations.
    ///
    /// Reads further apart than `gap_max` restart the observation, so that the holder gets a whole lease to renew after
    /// a store outage before another entry takes over.
    #[must_use]
    pub const fn open(terms: Terms, gap_max: Duration) -> Self {
        Self { terms, gap_max, seen: None }
    }

    /// Records a read of the counter, sent at `sent_at` and answered at `now`.
    pub fn observe(&mut self, counter: u64, sent_at: Duration, now: Duration) {
        match &mut self.seen {
            Some(seen) if seen.counter == counter && sent_at <= seen.confirmed + self.gap_max => {
                seen.confirmed = seen.confirmed.max(sent_at);
            }
            seen => *seen = Some(Seen { counter, since: now, confirmed: sent_at }),
        }
    }

    /// Returns the counter on which the takeover must be conditional, once the lease has ended.
    #[must_use]
    pub fn takeover_counter(&self) -> Option<u64> {
        let seen = self.seen?;
        let wait = self.terms.length + self.terms.margin;
        (seen.confirmed >= seen.since + wait).then_some(seen.counter)
    }
}
