//! The entry's own lease, and the leases of other entries.

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
use crate::entry::batch::rows::{LeaseRecord, decode_row, lease_key};
use crate::entry::batch::shards::Shards;
use crate::entry::batch::{Message, State};

/// Member name under which the entry requests its own renewals, so that its row is renewed even without agents.
const OWN_MEMBER: &str = "";

/// Time for which the row of an ended lease is kept.
const ENDED_ROW_RETENTION: Duration = Duration::from_mins(10);

/// Lease of this entry.
#[derive(Debug)]
pub struct OwnLease {
    terms: Terms,
    id: BootId,
    group: Group,
    /// Version of the row; `None` until the first write has taken effect.
    version: Option<u64>,
    last_requested: Option<Duration>,
    last_begun: Option<Duration>,
    sequence: u64,
    is_retiring: bool,
}

/// Result of a write of the entry's own lease row.
#[derive(Debug)]
pub struct RenewalResult {
    lease: BootId,
    outcome: Outcome,
}

/// Lease of another entry, as observed in the table.
#[derive(Debug)]
pub struct ObservedLease {
    watch: Watch,
    record: LeaseRecord,
    version: u64,
    /// When the lease was first known to be taken over, after which it can't be renewed.
    ended: Option<Duration>,
}

impl OwnLease {
    /// Creates a lease that isn't in the table yet.
    #[must_use]
    pub fn open(terms: Terms, now: Duration) -> Self {
        let mut group = Group::open(terms, 0, now);
        group.admit(&Name::from(OWN_MEMBER));
        Self {
            terms,
            id: boot::new_id(),
            group,
            version: None,
            last_requested: None,
            last_begun: None,
            sequence: 0,
            is_retiring: false,
        }
    }

    /// Identifier of the lease.
    #[must_use]
    pub const fn id(&self) -> BootId {
        self.id
    }

    /// Returns whether the lease's row has been written.
    #[must_use]
    pub const fn is_registered(&self) -> bool {
        self.version.is_some()
    }

    /// Returns whether the entry is shutting down.
    #[must_use]
    pub const fn is_retiring(&self) -> bool {
        self.is_retiring
    }

    /// Records that a start or a handover confirmation is about to be sent.
    pub fn start_sent(&mut self, worker: &Name, now: Duration) {
        self.group.start_sent(worker, now);
    }

    /// Returns whether the worker's lease has certainly ended.
    #[must_use]
    pub fn has_agent_ended(&self, worker: &Name, now: Duration) -> bool {
        self.group.has_agent_lease_ended(worker, now)
    }

    /// Records an agent's renewal request.
    ///
    /// An agent whose lease has lapsed requests a handover of each claim before it continues the claim, so a grant
    /// never revives a claim that has ended.
    pub fn record_request(&mut self, worker: &Name, ask: RenewalRequest) {
        self.group.renewal_requested(worker, ask);
        self.group.admit(worker);
    }

    /// Grants the worker no renewals until its agent requests one again.
    pub fn block_grants(&mut self, worker: &Name) {
        self.group.exclude(worker);
    }

    fn begin_renewal(&mut self, now: Duration, gather: Duration) -> Option<GroupRow> {
        if self.last_begun.is_some_and(|last_begun| now < last_begun + gather) {
            return None;
        }
        if self.last_requested.is_none_or(|last_requested| now >= last_requested + self.terms.renew_every) {
            self.last_requested = Some(now);
            self.sequence += 1;
            self.group
                .renewal_requested(&Name::from(OWN_MEMBER), RenewalRequest { agent: self.id, sequence: self.sequence });
        }
        let renewal = self.group.begin()?;
        self.last_begun = Some(now);
        Some(GroupRow { entry: self.id, group: 0, counter: renewal.counter, taken_by: None })
    }
}

impl State {
    /// Writes the lease's row if renewal requests are pending.
    pub(super) fn renew(&mut self) {
        let now = self.now();
        let Some(row) = self.own_lease.begin_renewal(now, self.context.settings.renew_gather_ms) else { return };
        let record = LeaseRecord {
            row,
            terms: self.own_lease.terms,
            is_retiring: self.own_lease.is_retiring,
            running: self.running_by_team().into_iter().collect(),
            used: self.used_by_team(),
        };
        let expect = self.own_lease.version.map_or(Expect::Absent, Expect::Version);
        let lease = self.own_lease.id;
        let write = Write::put(lease_key(lease), expect, serde_json::json!(record));
        let platform = self.context.platform.clone();
        self.run_in_background(async move {
            let outcome = platform.commit_and_resolve(platform.next_write_id(), vec![write]).await;
            Message::Renewed(RenewalResult { lease, outcome })
        });
    }

    /// Marks the lease's row as retiring, so that other entries take over this entry's shards.
    pub(super) fn retire(&mut self) {
        self.own_lease.is_retiring = true;
        self.own_lease.last_requested = None;
        self.own_lease.last_begun = None;
        self.renew();
    }

    /// Number of the team's tasks under other entries' leases, as last read.
    pub(super) fn running_elsewhere(&self, team: &Name) -> u32 {
        let live_others = self.other_leases.values().filter(|observed| observed.ended.is_none());
        live_others.filter_map(|observed| observed.record.running.get(team)).sum()
    }

    pub(super) fn on_renewed(&mut self, result: RenewalResult) {
        if result.lease != self.own_lease.id {
            return;
        }
        match result.outcome {
            Outcome::Done(versions) => {
                self.own_lease.version = versions.first().copied();
                self.counters.renewals += 1;
                let now = self.now();
                let grants = self.own_lease.group.written(now);
                for (worker, ask) in grants {
                    self.send_grant(&worker, ask, now);
                }
            }
            // The only other writer of the row is an entry that takes the lease over.
            Outcome::NotDone(Reason::Conflict(_)) | Outcome::Unknown => self.replace_lost_lease(),
            Outcome::NotDone(_) => self.own_lease.group.not_written(),
        }
    }

    fn send_grant(&mut self, worker: &Name, ask: RenewalRequest, now: Duration) {
        let lease = self.own_lease.id;
        let Some(agent) = self.agents.get_mut(worker) else { return };
        agent.last_granted = Some(now);
        self.send_command(worker, TaskCommand::Granted { lease, ask });
        self.add_to_placement(worker);
    }

    /// Adds a worker to placement once its agent holds a lease.
    fn add_to_placement(&mut self, worker: &Name) {
        let Some(agent) = self.agents.get_mut(worker).filter(|agent| agent.worker.is_none()) else { return };
        let Some(member) = self.context.fleet.member(worker) else { return };
        let (announcement, load) = (member.announcement, member.load);
        let info = WorkerInfo {
            name: Name::clone(worker),
            rack: Name::clone(&announcement.rack),
            capacity: announcement.capacity.resources,
            service: Some(self.kinds.id(&announcement.service)),
        };
        agent.worker =
            Some(self.workers.join(info, placement_report(&agent.state, request_load(&announcement.capacity, &load))));
        self.place_at = Duration::ZERO;
        self.requeue_unschedulable();
    }

    /// Starts over under a new lease after another entry has taken over the old one.
    ///
    /// Claims under the old lease are handled by the entry that took it over, and by agents that request handovers.
    fn replace_lost_lease(&mut self) {
        log::error!(event = "lease_lost", lease:% = self.own_lease.id; "");
        self.own_lease = OwnLease::open(self.own_lease.terms, self.now());
        self.claims.clear();
        self.untracked.clear();
        self.shards = Shards::default();
        self.queue = Queue::open(Aging::default());
        let lease = self.own_lease.id;
        let terms = self.own_lease.terms;
        let workers: Vec<Name> = self.agents.keys().cloned().collect();
        for worker in workers {
            if let Some(agent) = self.agents.get_mut(&worker) {
                (agent.renewal_request, agent.last_requested, agent.last_granted) = (None, None, None);
                if let Some(id) = agent.worker.take() {
                    self.workers.leave(id);
                }
            }
            self.send_command(&worker, TaskCommand::Lease { lease, terms });
        }
    }

    /// Processes the rows of all leases, which were read between `read_started` and `now`.
    pub(super) fn on_leases(&mut self, read_started: Duration, now: Duration, rows: &[Row]) {
        for row in rows {
            let Some(record) = decode_row::<LeaseRecord>(row) else { continue };
            if record.row.entry != self.own_lease.id {
                self.observe_lease(read_started, now, record, row.version);
            }
        }
        let is_listed = |lease: &BootId| rows.iter().any(|row| row.key == lease_key(*lease));
        self.other_leases.retain(|lease, _| is_listed(lease));
        self.update_usage_elsewhere();
        self.take_over_ended_leases(now);
    }

    fn observe_lease(&mut self, read_started: Duration, now: Duration, record: LeaseRecord, version: u64) {
        let gap_max = self.context.settings.lease.length / 2;
        let observed = self.other_leases.entry(record.row.entry).or_insert_with(|| ObservedLease {
            watch: Watch::open(record.terms, gap_max),
            record: record.clone(),
            version,
            ended: None,
        });
        observed.watch.observe(record.row.counter, read_started, now);
        if record.row.taken_by.is_some() && observed.ended.is_none() {
            observed.ended = Some(now);
        }
        (observed.record, observed.version) = (record, version);
    }

    fn update_usage_elsewhere(&mut self) {
        let Ok(in_force) = self.context.enforced.in_force() else { return };
        if self.enforced != Some(in_force.stamp) {
            self.enforced = Some(in_force.stamp);
            self.reload_all_jobs();
        }
        for (team, settings) in &in_force.document.teams {
            self.queue.set_quota(team, settings.quota.resources());
            let live_others = self.other_leases.values().filter(|observed| observed.ended.is_none());
            let used = live_others.filter_map(|observed| observed.record.used.get(team));
            let used = used.fold(Resources::default(), |sum, used| sum.checked_add(used).unwrap_or(sum));
            self.queue.set_used_elsewhere(team, used);
        }
    }

    /// Takes over leases that have ended, and deletes the rows of those that ended long ago.
    fn take_over_ended_leases(&mut self, now: Duration) {
        let mut writes = Vec::new();
        for (lease, observed) in &self.other_leases {
            let expect = Expect::Version(observed.version);
            match observed.ended {
                Some(ended) if now >= ended + ENDED_ROW_RETENTION => {
                    writes.push((*lease, Write::delete(lease_key(*lease), expect)));
                }
                None if observed
                    .watch
                    .takeover_counter()
                    .is_some_and(|counter| counter == observed.record.row.counter) =>
                {
                    let mut record = observed.record.clone();
                    record.row.taken_by = Some(self.own_lease.id);
                    writes.push((*lease, Write::put(lease_key(*lease), expect, serde_json::json!(record))));
                }
                _ => {}
            }
        }
        for lease in self.unlisted_leases() {
            // The read without the row may be stale; a successful write with `Absent` proves that no renewal follows.
            let row = GroupRow { entry: lease, group: 0, counter: 0, taken_by: Some(self.own_lease.id) };
            let record = LeaseRecord {
                row,
                terms: self.own_lease.terms,
                is_retiring: true,
                running: BTreeMap::new(),
                used: BTreeMap::new(),
            };
            writes.push((lease, Write::put(lease_key(lease), Expect::Absent, serde_json::json!(record))));
        }
        for (lease, write) in writes {
            self.write_other_lease(lease, write);
        }
    }

    fn write_other_lease(&self, lease: BootId, write: Write) {
        let platform = self.context.platform.clone();
        self.run_in_background(async move {
            let outcome = platform.commit(platform.next_write_id(), vec![write]).await;
            log::info!(event = "lease_taken", lease:% = lease, outcome:? = outcome; "");
            // The next poll of the table shows the outcome.
            if matches!(outcome, Outcome::Done(_)) { Message::LeaseTaken(lease) } else { Message::Changed }
        });
    }

    pub(super) fn on_lease_taken(&mut self, lease: BootId) {
        let now = self.now();
        if let Some(observed) = self.other_leases.get_mut(&lease) {
            observed.ended.get_or_insert(now);
        }
        self.poll_at = Duration::ZERO;
    }

    /// Leases that known claims refer to and that have no row.
    fn unlisted_leases(&self) -> Vec<BootId> {
        let claims = self.untracked.values().filter_map(|(record, _)| record.row.state.claim());
        let mut unlisted: Vec<BootId> = claims
            .map(|claim| claim.entry)
            .filter(|lease| *lease != self.own_lease.id && !self.other_leases.contains_key(lease))
            .collect();
        unlisted.sort_unstable();
        unlisted.dedup();
        unlisted
    }

    /// Time at which another entry's lease ended, if it has.
    pub(super) fn lease_end(&self, lease: BootId) -> Option<Duration> {
        self.other_leases.get(&lease).and_then(|observed| observed.ended)
    }

    /// Leases that neither have ended nor are retiring, including the own one.
    pub(super) fn live_leases(&self) -> Vec<BootId> {
        let is_live = |observed: &ObservedLease| observed.ended.is_none() && !observed.record.is_retiring;
        let others = self.other_leases.iter().filter(|(_, observed)| is_live(observed)).map(|(lease, _)| *lease);
        others.chain([self.own_lease.id]).collect()
    }
}

/// Converts the state of a worker to a report for placement.
pub fn placement_report(state: &WorkerState, request_load: f64) -> Report {
    Report {
        free: state.free,
        used: state.used,
        request_load,
        latency_ratio: f64::from(state.latency_permille) / 1000.0,
    }
}

/// Fraction of a backend server's slots that requests occupy.
pub fn request_load(capacity: &Capacity, load: &Load) -> f64 {
    f64::from(load.in_progress) / f64::from(capacity.slots.max(1))
}
