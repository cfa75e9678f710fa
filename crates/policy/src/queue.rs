//! Queue of one shard's tasks that wait for a worker, with quotas, priorities and aging.
//!
//! Urgent tasks are taken before normal ones, and normal before background ones. One of every [`AGED_EVERY`] tasks
//! taken is the oldest that has waited longer than the aging time of its priority, so that background work always
//! finishes while urgent work keeps the other turns. Within a priority, the team that uses the smallest share of its
//! quota is next.

use std::array;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::capacity::Resources;
use crate::code::Code;
use crate::collections::Map;
use crate::id::Name;
use crate::task::{Priority, TaskId};

/// Interval, in tasks taken, at which the oldest aged task is taken.
pub const AGED_EVERY: u64 = 8;

/// Number of cancelled tasks that may remain in the queues before they are removed.
const TOMBSTONES_ALLOWED: usize = 1024;

/// Waiting times after which tasks count as aged.
#[derive(Clone, Copy, Debug)]
pub struct Aging {
    /// Aging time of normal tasks.
    pub normal: Duration,
    /// Aging time of background tasks.
    pub background: Duration,
}

impl Default for Aging {
    fn default() -> Self {
        Self { normal: Duration::from_mins(1), background: Duration::from_mins(10) }
    }
}

/// Waiting task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// Identifier of the task.
    pub task: TaskId,
    /// Team whose quota the task uses.
    pub team: Name,
    /// Kind of the work.
    pub kind: Name,
    /// Scheduling priority.
    pub priority: Priority,
    /// Resources that the task reserves.
    pub resources: Resources,
    /// Time at which the task was queued.
    pub queued_at: Duration,
}

#[derive(Debug)]
struct QueuedItem {
    item: Item,
    /// Equal to the sequence number in `Queue::waiting` unless the task was cancelled.
    sequence: u64,
}

#[derive(Debug)]
struct Team {
    quota: Resources,
    /// Resources of tasks taken from this queue and not yet released.
    used: Resources,
    /// Resources used through other shards, as last read.
    used_elsewhere: Resources,
    waiting: [VecDeque<QueuedItem>; 3],
}

/// Task at the head of a team's queue of one priority.
#[derive(Clone, Copy, Debug)]
struct Head {
    since: Duration,
    /// Whether the remaining quota covers the task.
    fits_quota: bool,
}

/// Waiting tasks of one shard.
#[derive(Debug)]
pub struct Queue {
    aging: Aging,
    teams: Vec<Team>,
    team_ids: Map<Name, usize>,
    /// Sequence number of each waiting task; a task waits at most once.
    waiting: Map<TaskId, u64>,
    deferred: BTreeMap<(Duration, u64), QueuedItem>,
    next_sequence: u64,
    taken: u64,
    tombstones: usize,
}

impl Queue {
    /// Creates an empty queue.
    #[must_use]
    pub fn open(aging: Aging) -> Self {
        Self {
            aging,
            teams: Vec::new(),
            team_ids: Map::default(),
            waiting: Map::default(),
            deferred: BTreeMap::new(),
            next_sequence: 0,
            taken: 0,
            tombstones: 0,
        }
    }

    /// Sets the quota of a team; running tasks aren't affected.
    ///
    /// Removes and returns the waiting tasks that exceed the whole quota.
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

    /// Sets the resources that a team uses through other shards.
    pub fn set_used_elsewhere(&mut self, team: &Name, used: Resources) {
        if let Some(id) = self.team_ids.get(team) {
            self.teams[*id].used_elsewhere = used;
        }
    }

    /// Adds a task; has no effect if the task is already waiting.
    ///
    /// # Errors
    ///
    /// Refuses a task whose team has no quota, or that exceeds the whole quota.
    pub fn push(&mut self, item: Item) -> Result<(), Code> {
        let team = *self.team_ids.get(&item.team).ok_or(Code::QuotaTooSmall)?;
        if !self.teams[team].quota.covers(&item.resources) {
            return Err(Code::QuotaTooSmall);
        }
        if self.waiting.contains_key(&item.task) {
            return Ok(());
        }
        let queued_item = self.register(item);
        self.teams[team].waiting[queued_item.item.priority as usize].push_back(queued_item);
        Ok(())
    }

    /// Takes up to `max` tasks for placement and charges their teams.
    pub fn take_batch(&mut self, now: Duration, max: usize) -> Vec<Item> {
        self.requeue_due(now);
        let mut batch = Vec::new();
        while batch.len() < max {
            let Some(item) = self.take_next(now) else { break };
            batch.push(item);
        }
        batch
    }

    /// Returns a taken task to the queue, to be taken no earlier than `until`, and releases its charge.
    pub fn defer(&mut self, item: Item, until: Duration) {
        self.release(&item.team, &item.resources);
        if !self.waiting.contains_key(&item.task) {
            let queued_item = self.register(item);
            self.deferred.insert((until, queued_item.sequence), queued_item);
        }
    }

    /// Releases the charge of a task whose claim has ended.
    pub fn release(&mut self, team: &Name, resources: &Resources) {
        if let Some(id) = self.team_ids.get(team) {
            let team = &mut self.teams[*id];
            team.used = team.used.checked_sub(resources).unwrap_or_default();
        }
    }

    /// Charges a team for a task that is already running when the shard is taken over.
    pub fn charge(&mut self, team: &Name, resources: &Resources) {
        if let Some(id) = self.team_ids.get(team) {
            let team = &mut self.teams[*id];
            team.used = team.used.checked_add(resources).unwrap_or(team.used);
        }
    }

    /// Removes a task; returns whether it was waiting.
    pub fn cancel(&mut self, task: &TaskId) -> bool {
        let removed = self.waiting.remove(task).is_some();
        self.tombstones += usize::from(removed);
        if self.tombstones > TOMBSTONES_ALLOWED.max(self.waiting.len()) {
            self.sweep();
        }
        removed
    }

    /// Removes every waiting task that `select` matches and returns their identifiers.
    pub fn cancel_matching(&mut self, select: impl Fn(&TaskId) -> bool) -> Vec<TaskId> {
        let cancelled: Vec<TaskId> = self.waiting.keys().filter(|task| select(task)).cloned().collect();
        for task in &cancelled {
            self.waiting.remove(task);
        }
        self.sweep();
        cancelled
    }

    /// Returns the number of waiting tasks, including deferred ones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no task is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn register(&mut self, item: Item) -> QueuedItem {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.waiting.insert(item.task.clone(), sequence);
        QueuedItem { item, sequence }
    }

    /// Moves deferred tasks that are due to the front of their queues.
    fn requeue_due(&mut self, now: Duration) {
        while let Some(first) = self.deferred.first_entry().filter(|first| first.key().0 <= now) {
            let queued_item = first.remove();
            let Some(team) = self.team_ids.get(&queued_item.item.team) else { continue };
            self.teams[*team].waiting[queued_item.item.priority as usize].push_front(queued_item);
        }
    }

    fn take_next(&mut self, now: Duration) -> Option<Item> {
        let aged_turn = (self.taken + 1).is_multiple_of(AGED_EVERY);
        let aged = if aged_turn { self.oldest_aged(now) } else { None };
        let (team, priority) = aged.or_else(|| self.next_in_order(now))?;
        let team = &mut self.teams[team];
        let queued_item = team.waiting[priority].pop_front()?;
        team.used = team.used.checked_add(&queued_item.item.resources).unwrap_or(team.used);
        self.waiting.remove(&queued_item.item.task);
        self.taken += 1;
        Some(queued_item.item)
    }

    /// Returns the team and priority whose aged head has waited longest.
    fn oldest_aged(&mut self, now: Duration) -> Option<(usize, usize)> {
        let mut oldest: Option<(Duration, usize, usize)> = None;
        for team in 0..self.teams.len() {
            let heads = self.heads(team);
            for priority in [Priority::Normal as usize, Priority::Background as usize] {
                let Some(since) = self.eligible_since(&heads, priority, now) else { continue };
                let is_older = oldest.is_none_or(|(other, ..)| since < other);
                if is_older && self.is_aged(priority, since, now) {
                    oldest = Some((since, team, priority));
                }
            }
        }
        oldest.map(|(_, team, priority)| (team, priority))
    }

    /// Returns the team and priority to take from next.
    fn next_in_order(&mut self, now: Duration) -> Option<(usize, usize)> {
        let mut least: Option<((usize, u64), usize)> = None;
        for team in 0..self.teams.len() {
            let heads = self.heads(team);
            let Some(priority) =
                (0..heads.len()).find(|priority| self.eligible_since(&heads, *priority, now).is_some())
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

    /// Returns the time at which the head of a priority was queued, if it may be taken now.
    ///
    /// A head that exceeds the remaining quota blocks the team's lower priorities. Once it has aged it also blocks the
    /// higher ones except urgent, so that running tasks free quota until it fits.
    fn eligible_since(&self, heads: &[Option<Head>; 3], priority: usize, now: Duration) -> Option<Duration> {
        let head = heads[priority].filter(|head| head.fits_quota)?;
        let is_blocked = heads.iter().enumerate().any(|(other, blocked)| {
            let Some(blocked) = blocked.filter(|blocked| !blocked.fits_quota) else { return false };
            other < priority || (priority != Priority::Urgent as usize && self.is_aged(other, blocked.since, now))
        });
        (!is_blocked).then_some(head.since)
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

    /// Drops cancelled tasks from the head and returns the first waiting task.
    fn head(&mut self, team: usize, priority: usize) -> Option<Head> {
        let team = &mut self.teams[team];
        while let Some(queued_item) = team.waiting[priority].front() {
            if self.waiting.get(&queued_item.item.task) == Some(&queued_item.sequence) {
                return Some(Head {
                    since: queued_item.item.queued_at,
                    fits_quota: team.fits_quota(&queued_item.item.resources),
                });
            }
            team.waiting[priority].pop_front();
            self.tombstones = self.tombstones.saturating_sub(1);
        }
        None
    }

    /// Removes a team's waiting tasks that exceed its quota.
    fn remove_oversized(&mut self, team: &Name, quota: &Resources) -> Vec<TaskId> {
        let queued = self.teams.iter().flat_map(|team| &team.waiting).flatten();
        let oversized =
            |queued_item: &&QueuedItem| queued_item.item.team == *team && !quota.covers(&queued_item.item.resources);
        let removed: Vec<TaskId> = queued
            .chain(self.deferred.values())
            .filter(oversized)
            .filter(|queued_item| self.waiting.get(&queued_item.item.task) == Some(&queued_item.sequence))
            .map(|queued_item| queued_item.item.task.clone())
            .collect();
        for task in &removed {
            self.cancel(task);
        }
        removed
    }

    /// Removes all cancelled tasks from the queues.
    fn sweep(&mut self) {
        let waiting = &self.waiting;
        let is_waiting = |queued_item: &QueuedItem| waiting.get(&queued_item.item.task) == Some(&queued_item.sequence);
        for team in &mut self.teams {
            for queue in &mut team.waiting {
                queue.retain(is_waiting);
            }
        }
        self.deferred.retain(|_, queued_item| is_waiting(queued_item));
        self.tombstones = 0;
    }
}

impl Team {
    fn fits_quota(&self, resources: &Resources) -> bool {
        let total = self.used.checked_add(&self.used_elsewhere).and_then(|used| used.checked_add(resources));
        total.is_some_and(|total| self.quota.covers(&total))
    }

    /// Returns the largest share of the quota used in any resource, in thousandths.
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
