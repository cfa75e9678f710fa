//! The entry's own lease, and those of other entries.

use std::collections::BTreeMap;
use std::time::Duration;

use chervilledge_link::task::{TaskCommand, WorkerState};
use chervilledge_policy::capacity::{Capacity, Resources};
use chervilledge_policy::id::{BootId, Name};
use chervilledge_policy::lease::{Group, GroupRow, RenewalRequest, Terms, Watch};
use chervilledge_policy::membership::Load;
use chervilledge_policy::placement::{Report, WorkerInfo};
use chervilledge_policy::queue::{Aging, Queue};
use chervilledge_store::error::{Outcome, Reason};
use chervilledge_store::table::{Expect, Row, Write};

use crate::boot;
use crate::entry::batch::rows::{LeaseRecord, content, lease_key};
use crate::entry::batch::shards::Shards;
use crate::entry::batch::{Message, State};

/// Name under which the entry asks for its own renewals, so that its row moves also without agents.
const SELF: &str = "";

/// Time after which the row of an ended lease is deleted.
const ENDED_KEPT: Duration = Duration::from_mins(10);

/// Lease of this entry.
#[derive(Debug)]
pub struct Own {
    terms: Terms,
    id: BootId,
    group: Group,
    /// Version of the row; none until the first write has taken effect.
    version: Option<u64>,
    asked: Option<Duration>,
    begun: Option<Duration>,
    sequence: u64,
    is_retiring: bool,
}

/// Result of a write of the entry's own lease.
#[derive(Debug)]
pub struct Renewed {
    lease: BootId,
    outcome: Outcome,
}

/// Lease of another entry.
#[derive(Debug)]
pub struct Seen {
    watch: Watch,
    record: LeaseRecord,
    version: u64,
    /// When the lease was first known to be taken; no renewal follows.
    ended: Option<Duration>,
}

impl Own {
    /// Opens a lease that isn't in the table yet.
    #[must_use]
    pub fn open(terms: Terms, now: Duration) -> Self {
        let mut group = Group::open(terms, 0, now);
        group.admit(&Name::from(SELF));
        Self {
            terms,
            id: boot::new_id(),
            group,
            version: None,
            asked: None,
            begun: None,
            sequence: 0,
            is_retiring: false,
        }
    }

    /// Identifier of the lease.
    #[must_use]
    pub const fn id(&self) -> BootId {
        self.id
    }

    /// Tells whether the lease's row was written.
    #[must_use]
    pub const fn is_registered(&self) -> bool {
        self.version.is_some()
    }

    /// Tells whether the entry is about to end.
    #[must_use]
    pub const fn is_retiring(&self) -> bool {
        self.is_retiring
    }

    /// Notes a start or a cover that is about to be sent.
    pub fn start_sent(&mut self, worker: &Name, now: Duration) {
        self.group.start_sent(worker, now);
    }

    /// Tells whether the worker's lease has surely ended.
    #[must_use]
    pub fn has_agent_ended(&self, worker: &Name, now: Duration) -> bool {
        self.group.has_agent_lease_ended(worker, now)
    }

    /// Notes an agent's ask.
    ///
    /// An agent whose lease has lapsed asks for a handover of each claim before the claim goes on, so that a grant
    /// never revives a claim that has ended.
    pub fn asked(&mut self, worker: &Name, ask: RenewalRequest) {
        self.group.renewal_requested(worker, ask);
        self.group.admit(worker);
    }

    /// Gives the worker no more grants until its agent asks again.
    pub fn bar(&mut self, worker: &Name) {
        self.group.exclude(worker);
    }

    fn begin(&mut self, now: Duration, gather: Duration) -> Option<GroupRow> {
        if self.begun.is_some_and(|begun| now < begun + gather) {
            return None;
        }
        if self.asked.is_none_or(|asked| now >= asked + self.terms.renew_every) {
            self.asked = Some(now);
            self.sequence += 1;
            self.group.renewal_requested(&Name::from(SELF), RenewalRequest { agent: self.id, sequence: self.sequence });
        }
        let renewal = self.group.begin()?;
        self.begun = Some(now);
        Some(GroupRow { entry: self.id, group: 0, counter: renewal.counter, taken_by: None })
    }
}

impl State {
    /// Writes the lease's row when asks wait.
    pub(super) fn renew(&mut self) {
        let now = self.now();
        let Some(row) = self.own.begin(now, self.context.settings.renew_gather_ms) else { return };
        let record = LeaseRecord {
            row,
            terms: self.own.terms,
            is_retiring: self.own.is_retiring,
            running: self.running().into_iter().collect(),
            used: self.used(),
        };
        let expect = self.own.version.map_or(Expect::Absent, Expect::Version);
        let lease = self.own.id;
        let write = Write::put(lease_key(lease), expect, serde_json::json!(record));
        let platform = self.context.platform.clone();
        self.run(async move {
            let outcome = platform.commit_and_resolve(platform.next_write_id(), vec![write]).await;
            Message::Renewed(Renewed { lease, outcome })
        });
    }

    /// Tells the other entries, by the lease's row, to take this entry's shards.
    pub(super) fn retire(&mut self) {
        self.own.is_retiring = true;
        self.own.asked = None;
        self.own.begun = None;
        self.renew();
    }

    /// Number of the team's tasks that other entries' leases cover, as last read.
    pub(super) fn running_elsewhere(&self, team: &Name) -> u32 {
        let live = self.seen.values().filter(|seen| seen.ended.is_none());
        live.filter_map(|seen| seen.record.running.get(team)).sum()
    }

    pub(super) fn on_renewed(&mut self, renewed: Renewed) {
        if renewed.lease != self.own.id {
            return;
        }
        match renewed.outcome {
            Outcome::Done(versions) => {
                self.own.version = versions.first().copied();
                self.counters.renewals += 1;
                let now = self.now();
                let grants = self.own.group.written(now);
                for (worker, ask) in grants {
                    self.grant(&worker, ask, now);
                }
            }
            // Only a taker writes the row besides this entry.
            Outcome::NotDone(Reason::Conflict(_)) | Outcome::Unknown => self.lose_lease(),
            Outcome::NotDone(_) => self.own.group.not_written(),
        }
    }

    fn grant(&mut self, worker: &Name, ask: RenewalRequest, now: Duration) {
        let lease = self.own.id;
        let Some(agent) = self.agents.get_mut(worker) else { return };
        agent.granted = Some(now);
        self.send(worker, TaskCommand::Granted { lease, ask });
        self.join_placement(worker);
    }

    /// Makes a worker known to placement, once its agent holds a lease.
    fn join_placement(&mut self, worker: &Name) {
        let Some(agent) = self.agents.get_mut(worker).filter(|agent| agent.worker.is_none()) else { return };
        let Some(member) = self.context.fleet.member(worker) else { return };
        let (announcement, load) = (member.announcement, member.load);
        let info = WorkerInfo {
            name: Name::clone(worker),
            rack: Name::clone(&announcement.rack),
            capacity: announcement.capacity.resources,
            service: Some(self.kinds.id(&announcement.service)),
        };
        agent.worker = Some(self.workers.join(info, report(&agent.state, request_load(&announcement.capacity, &load))));
        self.place_due = Duration::ZERO;
        self.reconsider();
    }

    /// Starts over under a new lease, after another entry has taken the old one.
    ///
    /// What the old lease covered is dealt with by whoever has taken it, and by agents that ask for a handover.
    fn lose_lease(&mut self) {
        log::error!(event = "lease_lost", lease:% = self.own.id; "");
        self.own = Own::open(self.own.terms, self.now());
        self.claims.clear();
        self.known.clear();
        self.shards = Shards::default();
        self.queue = Queue::open(Aging::default());
        let lease = self.own.id;
        let terms = self.own.terms;
        let workers: Vec<Name> = self.agents.keys().cloned().collect();
        for worker in workers {
            if let Some(agent) = self.agents.get_mut(&worker) {
                (agent.ask, agent.asked, agent.granted) = (None, None, None);
                if let Some(id) = agent.worker.take() {
                    self.workers.leave(id);
                }
            }
            self.send(&worker, TaskCommand::Lease { lease, terms });
        }
    }

    /// Takes in the rows of all leases, read between `asked` and `now`.
    pub(super) fn on_leases(&mut self, asked: Duration, now: Duration, rows: &[Row]) {
        for row in rows {
            let Some(record) = content::<LeaseRecord>(row) else { continue };
            if record.row.entry != self.own.id {
                self.observe_lease(asked, now, record, row.version);
            }
        }
        let is_listed = |lease: &BootId| rows.iter().any(|row| row.key == lease_key(*lease));
        self.seen.retain(|lease, _| is_listed(lease));
        self.note_usage_elsewhere();
        self.take_ended(now);
    }

    fn observe_lease(&mut self, asked: Duration, now: Duration, record: LeaseRecord, version: u64) {
        let gap_max = self.context.settings.lease.length / 2;
        let seen = self.seen.entry(record.row.entry).or_insert_with(|| Seen {
            watch: Watch::open(record.terms, gap_max),
            record: record.clone(),
            version,
            ended: None,
        });
        seen.watch.observe(record.row.counter, asked, now);
        if record.row.taken_by.is_some() && seen.ended.is_none() {
            seen.ended = Some(now);
        }
        (seen.record, seen.version) = (record, version);
    }

    fn note_usage_elsewhere(&mut self) {
        let Ok(in_force) = self.context.enforced.in_force() else { return };
        if self.enforced != Some(in_force.stamp) {
            self.enforced = Some(in_force.stamp);
            self.reload_all();
        }
        for (team, settings) in &in_force.document.teams {
            self.queue.set_quota(team, settings.quota.resources());
            let live = self.seen.values().filter(|seen| seen.ended.is_none());
            let used = live.filter_map(|seen| seen.record.used.get(team));
            let used = used.fold(Resources::default(), |sum, used| sum.checked_add(used).unwrap_or(sum));
            self.queue.set_used_elsewhere(team, used);
        }
    }

    /// Takes leases that have ended, and deletes the rows of those that ended long ago.
    fn take_ended(&mut self, now: Duration) {
        let mut writes = Vec::new();
        for (lease, seen) in &self.seen {
            let expect = Expect::Version(seen.version);
            match seen.ended {
                Some(ended) if now >= ended + ENDED_KEPT => {
                    writes.push((*lease, Write::delete(lease_key(*lease), expect)));
                }
                None if seen.watch.takeover_counter().is_some_and(|counter| counter == seen.record.row.counter) => {
                    let mut record = seen.record.clone();
                    record.row.taken_by = Some(self.own.id);
                    writes.push((*lease, Write::put(lease_key(*lease), expect, serde_json::json!(record))));
                }
                _ => {}
            }
        }
        for lease in self.unlisted_leases() {
            // Absence that was read may be old; that it can be written is the proof that no renewal follows.
            let row = GroupRow { entry: lease, group: 0, counter: 0, taken_by: Some(self.own.id) };
            let record = LeaseRecord {
                row,
                terms: self.own.terms,
                is_retiring: true,
                running: BTreeMap::new(),
                used: BTreeMap::new(),
            };
            writes.push((lease, Write::put(lease_key(lease), Expect::Absent, serde_json::json!(record))));
        }
        for (lease, write) in writes {
            self.take(lease, write);
        }
    }

    fn take(&self, lease: BootId, write: Write) {
        let platform = self.context.platform.clone();
        self.run(async move {
            let outcome = platform.commit(platform.next_write_id(), vec![write]).await;
            log::info!(event = "lease_taken", lease:% = lease, outcome:? = outcome; "");
            // The next look at the table tells what became of it.
            if matches!(outcome, Outcome::Done(_)) { Message::LeaseTaken(lease) } else { Message::Changed }
        });
    }

    pub(super) fn on_lease_taken(&mut self, lease: BootId) {
        let now = self.now();
        if let Some(seen) = self.seen.get_mut(&lease) {
            seen.ended.get_or_insert(now);
        }
        self.poll_due = Duration::ZERO;
    }

    /// Leases of known claims that have no row.
    fn unlisted_leases(&self) -> Vec<BootId> {
        let claims = self.known.values().filter_map(|(record, _)| record.row.state.claim());
        let mut unlisted: Vec<BootId> = claims
            .map(|claim| claim.entry)
            .filter(|lease| *lease != self.own.id && !self.seen.contains_key(lease))
            .collect();
        unlisted.sort_unstable();
        unlisted.dedup();
        unlisted
    }

    /// When another entry's lease ended, if it has.
    pub(super) fn lease_ended(&self, lease: BootId) -> Option<Duration> {
        self.seen.get(&lease).and_then(|seen| seen.ended)
    }

    /// Leases that haven't ended, the own one among them.
    pub(super) fn live_leases(&self) -> Vec<BootId> {
        let is_live = |seen: &Seen| seen.ended.is_none() && !seen.record.is_retiring;
        let others = self.seen.iter().filter(|(_, seen)| is_live(seen)).map(|(lease, _)| *lease);
        others.chain([self.own.id]).collect()
    }
}

/// Form in which placement takes the state of a worker.
pub fn report(state: &WorkerState, request_load: f64) -> Report {
    Report {
        free: state.free,
        used: state.used,
        request_load,
        latency_ratio: f64::from(state.latency_permille) / 1000.0,
    }
}

/// Part of a backend server's slots that requests occupy.
pub fn request_load(capacity: &Capacity, load: &Load) -> f64 {
    f64::from(load.in_progress) / f64::from(capacity.slots.max(1))
}
