//! What an entry knows of each announced worker, and which entries an agent keeps links to.

use std::cmp::Reverse;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::capacity::{Capacity, Resources};
use crate::collections::Map;
use crate::id::{BootId, Name};

/// What an agent states about its worker when a link opens.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Start of the agent; a later start on the same worker has a greater identifier.
    pub agent_boot: BootId,
    /// What the worker can hold.
    pub capacity: Capacity,
    /// Failure domain of the worker.
    pub failure_domain: Name,
    /// Number of the link within this start of the agent; a later link has a greater one.
    pub link: u64,
    /// Requests that the agent queues beyond its slots.
    pub queue: u32,
    /// Rack of the worker.
    pub rack: Name,
    /// Service that the backend server provides.
    pub service: Name,
    /// Name of the worker, unique among workers.
    pub worker: Name,
}

/// Load of a worker, over all entries.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// The agent admits no new work.
    pub draining: bool,
    /// Resources that the agent has not granted.
    pub free: Resources,
    /// Requests that occupy a slot.
    pub in_progress: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// The backend server takes requests and the agent may hand them over.
    pub ready: bool,
}

/// Fields of a [`Load`] that changed since the previous heartbeat.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct LoadDelta {
    /// New value of [`Load::draining`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub draining: Option<bool>,
    /// New value of [`Load::free`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub free: Option<Resources>,
    /// New value of [`Load::in_progress`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub in_progress: Option<u32>,
    /// New value of [`Load::queued`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub queued: Option<u32>,
    /// New value of [`Load::ready`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ready: Option<bool>,
}

impl LoadDelta {
    /// Gives every field of `load`.
    #[must_use]
    pub fn full(load: &Load) -> Self {
        Self {
            draining: Some(load.draining),
            free: Some(load.free),
            in_progress: Some(load.in_progress),
            queued: Some(load.queued),
            ready: Some(load.ready),
        }
    }

    /// Gives the fields in which `after` differs from `before`.
    #[must_use]
    pub fn between(before: &Load, after: &Load) -> Self {
        Self {
            draining: changed(&before.draining, &after.draining),
            free: changed(&before.free, &after.free),
            in_progress: changed(&before.in_progress, &after.in_progress),
            queued: changed(&before.queued, &after.queued),
            ready: changed(&before.ready, &after.ready),
        }
    }

    fn apply(&self, load: &mut Load) {
        load.draining = self.draining.unwrap_or(load.draining);
        load.free = self.free.unwrap_or(load.free);
        load.in_progress = self.in_progress.unwrap_or(load.in_progress);
        load.queued = self.queued.unwrap_or(load.queued);
        load.ready = self.ready.unwrap_or(load.ready);
    }

    fn is_full(&self) -> bool {
        self.draining.is_some()
            && self.free.is_some()
            && self.in_progress.is_some()
            && self.queued.is_some()
            && self.ready.is_some()
    }
}

fn changed<T: Copy + PartialEq>(before: &T, after: &T) -> Option<T> {
    (before != after).then_some(*after)
}

/// Periodic message of an agent to an entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Start of the agent that sends it.
    pub agent_boot: BootId,
    /// Number of the link, as announced on it.
    pub link: u64,
    /// What changed since the heartbeat with the previous sequence number on this link; the first gives every field.
    pub load: LoadDelta,
    /// Increases by one with each heartbeat on a link, from 1.
    pub sequence: u64,
}

/// Bounds on silence.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Silence after which a worker gets no new requests.
    #[serde(rename = "suspect_after_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub suspect_after: Duration,
    /// Silence after which a worker is forgotten; greater than `suspect_after`.
    #[serde(rename = "remove_after_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub remove_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self { suspect_after: Duration::from_millis(1_500), remove_after: Duration::from_secs(30) }
    }
}

/// Whether new work may go to a worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Standing {
    /// Takes new work.
    Live,
    /// Silent past the bound; takes no new work until heard again.
    Suspect,
    /// Finishes what it has and takes no new work.
    Draining,
}

/// One announced worker.
#[derive(Clone, Debug)]
pub struct Member {
    /// Latest announcement of the newest start.
    pub announcement: Announcement,
    /// Time at which the agent was last heard.
    pub heard: Duration,
    /// Latest known load.
    pub load: Load,
    /// Sequence number of the latest heartbeat that was applied.
    pub sequence: u64,
    /// Whether new work may go to the worker. Never leaves [`Standing::Draining`] within one start of the agent.
    pub standing: Standing,
    /// Deltas were missed; the load is stale until a full heartbeat.
    pub incomplete: bool,
}

/// Effect of an announcement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnnouncementEffect {
    /// The worker wasn't known.
    Joined,
    /// A newer start took the place of this one.
    Replaced(BootId),
    /// The same start announced itself again, on a later link.
    Refreshed,
    /// An older start or link than the known one; ignored.
    Stale,
}

/// Effect of a heartbeat.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatEffect {
    /// The load is up to date.
    Applied,
    /// Already applied, or overtaken by a later one.
    Duplicate,
    /// A delta was missed: the agent is to send every field.
    NeedsFull,
    /// From a worker, start or link other than the known one.
    Unknown,
}

/// Change found by [`Members::sweep`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The worker has been silent past the first bound.
    Suspected(Name),
    /// The worker has been silent past the second bound and is forgotten.
    Removed(Name),
}

/// Announced workers, by name.
#[derive(Clone, Debug, Default)]
pub struct Members {
    members: Map<Name, Member>,
    settings: Settings,
}

impl Members {
    /// Makes an empty set.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self { members: Map::default(), settings }
    }

    /// Takes in an announcement.
    pub fn announce(&mut self, now: Duration, announcement: Announcement) -> AnnouncementEffect {
        let Some(member) = self.members.get_mut(&announcement.worker) else {
            self.insert(now, announcement);
            return AnnouncementEffect::Joined;
        };
        let known = member.announcement.agent_boot;
        if (announcement.agent_boot, announcement.link) < (known, member.announcement.link) {
            return AnnouncementEffect::Stale;
        }
        if announcement.agent_boot > known {
            self.insert(now, announcement);
            return AnnouncementEffect::Replaced(known);
        }
        member.hear(now);
        member.announcement = announcement;
        member.sequence = 0;
        member.incomplete = true;
        AnnouncementEffect::Refreshed
    }

    fn insert(&mut self, now: Duration, announcement: Announcement) {
        let load = Load { free: announcement.capacity.resources, ..Load::default() };
        let worker = Name::clone(&announcement.worker);
        let member = Member { announcement, heard: now, load, sequence: 0, standing: Standing::Live, incomplete: true };
        self.members.insert(worker, member);
    }

    /// Takes in a heartbeat of `worker`.
    pub fn heartbeat(&mut self, now: Duration, worker: &str, heartbeat: &Heartbeat) -> HeartbeatEffect {
        match self.members.get_mut(worker) {
            Some(member) if member.is_from(heartbeat) => member.apply(now, heartbeat),
            _ => HeartbeatEffect::Unknown,
        }
    }

    /// Notes that the agent of `worker` announced its drain; tells whether that was news.
    pub fn drain(&mut self, worker: &str, boot: BootId) -> bool {
        match self.members.get_mut(worker) {
            Some(member) if member.announcement.agent_boot == boot && member.standing != Standing::Draining => {
                member.standing = Standing::Draining;
                member.load.draining = true;
                true
            }
            _ => false,
        }
    }

    /// Forgets one start of a worker; a newer start stays.
    pub fn remove(&mut self, worker: &str, boot: BootId) -> Option<Member> {
        let member = self.members.get(worker)?;
        if member.announcement.agent_boot > boot {
            return None;
        }
        self.members.remove(worker)
    }

    /// Suspects and forgets workers that have been silent past the bounds.
    pub fn sweep(&mut self, now: Duration) -> Vec<Change> {
        let mut changes = Vec::new();
        let settings = self.settings;
        self.members.retain(|worker, member| {
            let silence = now.saturating_sub(member.heard);
            if silence >= settings.remove_after {
                changes.push(Change::Removed(Name::clone(worker)));
                return false;
            }
            if silence >= settings.suspect_after && member.standing == Standing::Live {
                member.standing = Standing::Suspect;
                changes.push(Change::Suspected(Name::clone(worker)));
            }
            true
        });
        changes
    }

    /// Looks a worker up.
    #[must_use]
    pub fn get(&self, worker: &str) -> Option<&Member> {
        self.members.get(worker)
    }

    /// Gives the known workers, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Number of known workers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Tells whether no worker is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}

impl Member {
    fn is_from(&self, heartbeat: &Heartbeat) -> bool {
        self.announcement.agent_boot == heartbeat.agent_boot && self.announcement.link == heartbeat.link
    }

    fn apply(&mut self, now: Duration, heartbeat: &Heartbeat) -> HeartbeatEffect {
        if heartbeat.sequence <= self.sequence {
            return HeartbeatEffect::Duplicate;
        }
        self.hear(now);
        if heartbeat.load.is_full() {
            self.incomplete = false;
        } else if heartbeat.sequence != self.sequence + 1 {
            self.incomplete = true;
        }
        self.sequence = heartbeat.sequence;
        heartbeat.load.apply(&mut self.load);
        if self.load.draining || self.standing == Standing::Draining {
            self.standing = Standing::Draining;
            self.load.draining = true;
        }
        if self.incomplete { HeartbeatEffect::NeedsFull } else { HeartbeatEffect::Applied }
    }

    fn hear(&mut self, now: Duration) {
        self.heard = self.heard.max(now);
        if self.standing == Standing::Suspect {
            self.standing = Standing::Live;
        }
    }
}

/// An entry as an agent sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryPeer {
    /// Address of the entry's link listener; unique among entries.
    pub address: Name,
    /// Failure domain of the entry.
    pub failure_domain: Name,
}

/// Picks at most `count` entries for the agent of `worker`, spread over failure domains.
///
/// The choice depends on nothing but the arguments, and not on the order of `entries`. An entry that comes or goes
/// changes the choice by at most one entry.
#[must_use]
pub fn choose_entries(worker: &str, entries: &[EntryPeer], count: usize) -> Vec<EntryPeer> {
    let mut scored: Vec<(u64, &EntryPeer)> =
        entries.iter().map(|entry| (score(worker, &entry.address), entry)).collect();
    scored.sort_by(|left, right| (Reverse(left.0), &left.1.address).cmp(&(Reverse(right.0), &right.1.address)));
    scored.dedup_by(|left, right| left.1.address == right.1.address);
    let mut ranks: Map<&str, u32> = Map::default();
    let mut ranked: Vec<(u32, &EntryPeer)> = scored
        .into_iter()
        .map(|(_, entry)| {
            let rank = ranks.entry(&entry.failure_domain).or_default();
            *rank += 1;
            (*rank, entry)
        })
        .collect();
    // The sort is stable: entries of one rank stay in the order of their scores.
    ranked.sort_by_key(|(rank, _)| *rank);
    ranked.into_iter().take(count).map(|(_, entry)| entry.clone()).collect()
}

/// Rendezvous score, the same in every process and build.
fn score(worker: &str, address: &str) -> u64 {
    const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    const SEPARATOR: u8 = 0xff;
    let bytes = worker.bytes().chain([SEPARATOR]).chain(address.bytes());
    mix(bytes.fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)))
}

/// Finalizer of `splitmix64`: spreads a change of any bit over all bits.
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
