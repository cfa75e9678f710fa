//! Tasks of one shard that wait for a worker: quotas, priorities and aging.
//!
//! Urgent work is taken before normal, normal before background. Of every [`AGED_EVERY`] tasks taken, one is the oldest
//! that has waited longer than the aging time of its priority, so that background work always finishes and urgent work
//! keeps the other places. Within a priority the team that uses the smallest part of its quota is next.

use std::array;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::capacity::Resources;
use crate::code::Code;
use crate::collections::Map;
use crate::id::Name;
use crate::task::{Priority, TaskId};

/// One in this many tasks taken is the oldest aged one.
pub const AGED_EVERY: u64 = 8;

/// Cancelled tasks that may stay in the queues before they are swept out.
const TOMBSTONES_MIN: usize = 1024;

/// Times after which waiting tasks count as aged.
#[derive(Clone, Copy, Debug)]
pub struct Aging {
    /// For normal work.
    pub normal: Duration,
    /// For background work.
    pub background: Duration,
}

impl Default for Aging {
    fn default() -> Self {
        Self { normal: Duration::from_mins(1), background: Duration::from_mins(10) }
    }
}

/// Task that waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// Identifier of the task.
    pub task: TaskId,
    /// Team whose quota it uses.
    pub team: Name,
    /// Kind of the work.
    pub kind: Name,
    /// Order in which it is started.
    pub priority: Priority,
    /// Resources that it reserves.
    pub resources: Resources,
    /// Time since which it has waited.
    pub queued_at: Duration,
}

#[derive(Debug)]
struct Entry {
    item: Item,
    /// Equal to the number in `Queue::waiting` unless the task was cancelled.
    number: u64,
}

#[derive(Debug)]
struct Team {
    quota: Resources,
    /// Resources of tasks taken from this queue and not yet released.
    used: Resources,
    /// Resources used by way of other shards, as last read.
    used_elsewhere: Resources,
    waiting: [VecDeque<Entry>; 3],
}

/// First task of a team and priority.
#[derive(Clone, Copy, Debug)]
struct Head {
    since: Duration,
    /// Whether what is left of the quota covers it.
    fits: bool,
}

/// Waiting tasks of one shard.
#[derive(Debug)]
pub struct Queue {
    aging: Aging,
    teams: Vec<Team>,
    team_ids: Map<Name, usize>,
    /// Number of each waiting task; a task waits at most once.
    waiting: Map<TaskId, u64>,
    deferred: BTreeMap<(Duration, u64), Entry>,
    next_number: u64,
    taken: u64,
    tombstones: usize,
}

impl Queue {
    /// Opens an empty queue.
    #[must_use]
    pub fn open(aging: Aging) -> Self {
        Self {
            aging,
            teams: Vec::new(),
            team_ids: Map::default(),
            waiting: Map::default(),
            deferred: BTreeMap::new(),
            next_number: 0,
            taken: 0,
            tombstones: 0,
        }
    }

    /// Sets the quota of a team; tasks that run stay.
    ///
    /// Gives the waiting tasks that are larger than the whole quota, which wait no longer.
    pub fn set_quota(&mut self, team: &Name, quota: Resources) -> Vec<TaskId> {
        if let Some(id) = self.team_ids.get(team).copied() {
            self.teams[id].quota = quota;
            return self.remove_oversized(team, &quota);
        }
        self.team_ids.insert(Name::clone(team), self.teams.len());
        self.teams.push(Team {
            quota,
            used: Resources::default(),
            used_elsewhere: Resources::default(),
            waiting: array::from_fn(|_| VecDeque::new()),
        });
        Vec::new()
    }

    /// Notes what a team uses by way of other shards.
    pub fn set_used_elsewhere(&mut self, team: &Name, used: Resources) {
        if let Some(id) = self.team_ids.get(team) {
            self.teams[*id].used_elsewhere = used;
        }
    }

    /// Adds a task; one that waits already is left where it is.
    ///
    /// # Errors
    ///
    /// Refuses a task of a team without quota, or larger than the whole quota.
    pub fn push(&mut self, item: Item) -> Result<(), Code> {
        let team = *self.team_ids.get(&item.team).ok_or(Code::QuotaTooSmall)?;
        if !self.teams[team].quota.covers(&item.resources) {
            return Err(Code::QuotaTooSmall);
        }
        if self.waiting.contains_key(&item.task) {
            return Ok(());
        }
        let entry = self.number(item);
        self.teams[team].waiting[entry.item.priority as usize].push_back(entry);
        Ok(())
    }

    /// Takes up to `max` tasks to be placed and charges their teams.
    pub fn take_batch(&mut self, now: Duration, max: usize) -> Vec<Item> {
        self.wake(now);
        let mut batch = Vec::new();
        while batch.len() < max {
            let Some(item) = self.take(now) else { break };
            batch.push(item);
        }
        batch
    }

    /// Puts a taken task back, to be taken again not before `until`, and releases its charge.
    pub fn defer(&mut self, item: Item, until: Duration) {
        self.release(&item.team, &item.resources);
        if !self.waiting.contains_key(&item.task) {
            let entry = self.number(item);
            self.deferred.insert((until, entry.number), entry);
        }
    }

    /// Releases the charge of a task whose claim has ended.
    pub fn release(&mut self, team: &Name, resources: &Resources) {
        if let Some(id) = self.team_ids.get(team) {
            let team = &mut self.teams[*id];
            team.used = team.used.checked_sub(resources).unwrap_or_default();
        }
    }

    /// Charges a team for a task that runs already, when the shard is taken over.
    pub fn charge(&mut self, team: &Name, resources: &Resources) {
        if let Some(id) = self.team_ids.get(team) {
            let team = &mut self.teams[*id];
            team.used = team.used.checked_add(resources).unwrap_or(team.used);
        }
    }

    /// Removes a task; tells whether it waited.
    pub fn cancel(&mut self, task: &TaskId) -> bool {
        let removed = self.waiting.remove(task).is_some();
        self.tombstones += usize::from(removed);
        if self.tombstones > TOMBSTONES_MIN.max(self.waiting.len()) {
            self.sweep();
        }
        removed
    }

    /// Removes every waiting task that `select` picks, and gives their identifiers.
    pub fn cancel_matching(&mut self, select: impl Fn(&TaskId) -> bool) -> Vec<TaskId> {
        let cancelled: Vec<TaskId> = self.waiting.keys().filter(|task| select(task)).cloned().collect();
        for task in &cancelled {
            self.waiting.remove(task);
        }
        self.sweep();
        cancelled
    }

    /// Number of tasks that wait, the deferred ones among them.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Tells whether no task waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn number(&mut self, item: Item) -> Entry {
        let number = self.next_number;
        self.next_number += 1;
        self.waiting.insert(item.task.clone(), number);
        Entry { item, number }
    }

    /// Moves deferred tasks that are due to the front of their queues.
    fn wake(&mut self, now: Duration) {
        while let Some(first) = self.deferred.first_entry().filter(|first| first.key().0 <= now) {
            let entry = first.remove();
            let Some(team) = self.team_ids.get(&entry.item.team) else { continue };
            self.teams[*team].waiting[entry.item.priority as usize].push_front(entry);
        }
    }

    fn take(&mut self, now: Duration) -> Option<Item> {
        let aged_turn = (self.taken + 1).is_multiple_of(AGED_EVERY);
        let aged = if aged_turn { self.oldest_aged(now) } else { None };
        let (team, priority) = aged.or_else(|| self.next_in_order(now))?;
        let team = &mut self.teams[team];
        let entry = team.waiting[priority].pop_front()?;
        team.used = team.used.checked_add(&entry.item.resources).unwrap_or(team.used);
        self.waiting.remove(&entry.item.task);
        self.taken += 1;
        Some(entry.item)
    }

    /// Team and priority whose head has waited longest past its aging time.
    fn oldest_aged(&mut self, now: Duration) -> Option<(usize, usize)> {
        let mut oldest: Option<(Duration, usize, usize)> = None;
        for team in 0..self.teams.len() {
            let heads = self.heads(team);
            for priority in [Priority::Normal as usize, Priority::Background as usize] {
                let Some(since) = self.eligible(&heads, priority, now) else { continue };
                let is_older = oldest.is_none_or(|(other, ..)| since < other);
                if is_older && self.is_aged(priority, since, now) {
                    oldest = Some((since, team, priority));
                }
            }
        }
        oldest.map(|(_, team, priority)| (team, priority))
    }

    /// Team and priority to take from next.
    fn next_in_order(&mut self, now: Duration) -> Option<(usize, usize)> {
        let mut least: Option<((usize, u64), usize)> = None;
        for team in 0..self.teams.len() {
            let heads = self.heads(team);
            let Some(priority) = (0..heads.len()).find(|priority| self.eligible(&heads, *priority, now).is_some())
            else {
                continue;
            };
            let rank = (priority, self.teams[team].share_permille());
            if least.is_none_or(|(other, _)| rank < other) {
                least = Some((rank, team));
            }
        }
        least.map(|((priority, _), team)| (team, priority))
    }

    /// Time since which the head of a priority has waited, if it may be taken now.
    ///
    /// A head that exceeds what is left of the quota bars the team's lower priorities, and once it has aged also the
    /// higher ones but urgent, so that the quota drains until it fits.
    fn eligible(&self, heads: &[Option<Head>; 3], priority: usize, now: Duration) -> Option<Duration> {
        let head = heads[priority].filter(|head| head.fits)?;
        let barred = heads.iter().enumerate().any(|(other, blocked)| {
            let Some(blocked) = blocked.filter(|blocked| !blocked.fits) else { return false };
            other < priority || (priority != Priority::Urgent as usize && self.is_aged(other, blocked.since, now))
        });
        (!barred).then_some(head.since)
    }

    fn is_aged(&self, priority: usize, since: Duration, now: Duration) -> bool {
        let aging = match priority {
            0 => return false,
            1 => self.aging.normal,
            _ => self.aging.background,
        };
        since + aging <= now
    }

    fn heads(&mut self, team: usize) -> [Option<Head>; 3] {
        array::from_fn(|priority| self.head(team, priority))
    }

    /// Drops cancelled tasks at the head, and looks at the first that waits.
    fn head(&mut self, team: usize, priority: usize) -> Option<Head> {
        let team = &mut self.teams[team];
        while let Some(entry) = team.waiting[priority].front() {
            if self.waiting.get(&entry.item.task) == Some(&entry.number) {
                return Some(Head { since: entry.item.queued_at, fits: team.fits(&entry.item.resources) });
            }
            team.waiting[priority].pop_front();
            self.tombstones = self.tombstones.saturating_sub(1);
        }
        None
    }

    /// Removes a team's waiting tasks that are larger than its quota.
    fn remove_oversized(&mut self, team: &Name, quota: &Resources) -> Vec<TaskId> {
        let queued = self.teams.iter().flat_map(|team| &team.waiting).flatten();
        let oversized = |entry: &&Entry| entry.item.team == *team && !quota.covers(&entry.item.resources);
        let removed: Vec<TaskId> = queued
            .chain(self.deferred.values())
            .filter(oversized)
            .filter(|entry| self.waiting.get(&entry.item.task) == Some(&entry.number))
            .map(|entry| entry.item.task.clone())
            .collect();
        for task in &removed {
            self.cancel(task);
        }
        removed
    }

    /// Drops every cancelled task from the queues.
    fn sweep(&mut self) {
        let waiting = &self.waiting;
        let is_waiting = |entry: &Entry| waiting.get(&entry.item.task) == Some(&entry.number);
        for team in &mut self.teams {
            for queue in &mut team.waiting {
                queue.retain(is_waiting);
            }
        }
        self.deferred.retain(|_, entry| is_waiting(entry));
        self.tombstones = 0;
    }
}

impl Team {
    fn fits(&self, resources: &Resources) -> bool {
        let total = self.used.checked_add(&self.used_elsewhere).and_then(|used| used.checked_add(resources));
        total.is_some_and(|total| self.quota.covers(&total))
    }

    /// Largest part of the quota used in any resource.
    fn share_permille(&self) -> u64 {
        let used = self.used.checked_add(&self.used_elsewhere).unwrap_or(self.quota);
        let processors = permille(used.processor_millicores, self.quota.processor_millicores);
        let memory = permille(used.memory_bytes, self.quota.memory_bytes);
        let accelerators = permille(u64::from(used.accelerators), u64::from(self.quota.accelerators));
        processors.max(memory).max(accelerators)
    }
}

fn permille(used: u64, quota: u64) -> u64 {
    used.saturating_mul(1000).checked_div(quota).unwrap_or(0)
}
