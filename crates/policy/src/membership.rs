//! Membership of workers as seen by an entry, and the choice of entries that an agent links to.

use std::cmp::Reverse;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::capacity::{Capacity, Resources};
use crate::collections::Map;
use crate::id::{BootId, Name};

/// Description of a worker that its agent sends when a link opens.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Boot of the agent; a later boot on the same worker has a greater identifier.
    pub agent_boot: BootId,
    /// Capacity of the worker.
    pub capacity: Capacity,
    /// Failure domain of the worker.
    pub failure_domain: Name,
    /// Number of the link within this boot of the agent; a later link has a greater one.
    pub link: u64,
    /// Maximum number of requests that the agent queues in addition to its slots.
    pub queue: u32,
    /// Rack of the worker.
    pub rack: Name,
    /// Service provided by the backend server.
    pub service: Name,
    /// Name of the worker, unique among workers.
    pub worker: Name,
}

/// Load of a worker over all entries.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// The agent admits no new work.
    pub draining: bool,
    /// Resources that the agent hasn't reserved.
    pub free: Resources,
    /// Requests that occupy a slot.
    pub in_progress: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// The backend server accepts requests and the agent may pass them on.
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
    /// Creates a delta with every field of `load`.
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

    /// Creates a delta with the fields in which `after` differs from `before`.
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
    /// Boot of the sending agent.
    pub agent_boot: BootId,
    /// Number of the link, as announced on it.
    pub link: u64,
    /// Changes since the heartbeat with the previous sequence number on this link; the first one has every field.
    pub load: LoadDelta,
    /// Number of the heartbeat on the link, counted from 1.
    pub sequence: u64,
}

/// Limits on the time without messages from a worker.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Time without messages after which a worker gets no new requests.
    #[serde(rename = "suspect_after_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub suspect_after: Duration,
    /// Time without messages after which a worker is removed; greater than `suspect_after`.
    #[serde(rename = "remove_after_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub remove_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self { suspect_after: Duration::from_millis(1_500), remove_after: Duration::from_secs(30) }
    }
}

/// Whether a worker takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Standing {
    /// Takes new work.
    Live,
    /// Silent for too long; gets no new work until heard again.
    Suspect,
    /// Finishes its current work and takes no new work.
    Draining,
}

/// One announced worker.
#[derive(Clone, Debug)]
pub struct Member {
    /// Latest announcement of the newest boot.
    pub announcement: Announcement,
    /// Time at which the agent was last heard.
    pub heard: Duration,
    /// Latest known load.
    pub load: Load,
    /// Sequence number of the latest applied heartbeat.
    pub sequence: u64,
    /// Whether the worker takes new work. Never leaves [`Standing::Draining`] within one boot of the agent.
    pub standing: Standing,
    /// Whether deltas were missed; the load is then stale until a full heartbeat.
    pub incomplete: bool,
}

/// Effect of an announcement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnnouncementEffect {
    /// The worker wasn't known.
    Joined,
    /// A newer boot replaced this one.
    Replaced(BootId),
    /// The same boot was announced again, on a later link.
    Refreshed,
    /// The boot or link is older than the known one; ignored.
    Stale,
}

/// Effect of a heartbeat.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatEffect {
    /// The load is up to date.
    Applied,
    /// Already applied, or superseded by a later one.
    Duplicate,
    /// A delta was missed; the agent must send every field.
    NeedsFull,
    /// From an unknown worker, or a boot or link other than the known one.
    Unknown,
}

/// Change found by [`Members::sweep`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The worker has been silent for [`Settings::suspect_after`].
    Suspected(Name),
    /// The worker has been silent for [`Settings::remove_after`] and was removed.
    Removed(Name),
}

/// Announced workers by name.
#[derive(Clone, Debug, Default)]
pub struct Members {
    members: Map<Name, Member>,
    settings: Settings,
}

impl Members {
    /// Creates an empty set.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self { members: Map::default(), settings }
    }

    /// Applies an announcement.
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
        member.mark_heard(now);
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

    /// Applies a heartbeat of `worker`.
    pub fn heartbeat(&mut self, now: Duration, worker: &str, heartbeat: &Heartbeat) -> HeartbeatEffect {
        match self.members.get_mut(worker) {
            Some(member) if member.is_from(heartbeat) => member.apply(now, heartbeat),
            _ => HeartbeatEffect::Unknown,
        }
    }

    /// Records that the agent of `worker` announced its drain; returns whether this changed its standing.
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

    /// Removes the worker unless a boot newer than `boot` is known.
    pub fn remove(&mut self, worker: &str, boot: BootId) -> Option<Member> {
        let member = self.members.get(worker)?;
        if member.announcement.agent_boot > boot {
            return None;
        }
        self.members.remove(worker)
    }

    /// Suspects and removes workers that have been silent for too long.
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

    /// Returns a worker by name.
    #[must_use]
    pub fn get(&self, worker: &str) -> Option<&Member> {
        self.members.get(worker)
    }

    /// Returns the known workers, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the number of known workers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether no worker is known.
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
        self.mark_heard(now);
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

    fn mark_heard(&mut self, now: Duration) {
        self.heard = self.heard.max(now);
        if self.standing == Standing::Suspect {
            self.standing = Standing::Live;
        }
    }
}

/// Entry as seen by an agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryPeer {
    /// Address of the entry's link listener; unique among entries.
    pub address: Name,
    /// Failure domain of the entry.
    pub failure_domain: Name,
}

/// Chooses at most `count` entries for the agent of `worker`, spread over failure domains.
///
/// The choice depends only on the arguments, and not on the order of `entries`. Adding or removing an entry changes the
/// choice by at most one entry.
#[must_use]
pub fn choose_entries(worker: &str, entries: &[EntryPeer], count: usize) -> Vec<EntryPeer> {
    let mut scored: Vec<(u64, &EntryPeer)> =
        entries.iter().map(|entry| (rendezvous_score(worker, &entry.address), entry)).collect();
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
    // The sort is stable: entries of the same rank keep the order of their scores.
    ranked.sort_by_key(|(rank, _)| *rank);
    ranked.into_iter().take(count).map(|(_, entry)| entry.clone()).collect()
}

/// Returns the rendezvous hashing score, which is the same in every process and build.
fn rendezvous_score(worker: &str, address: &str) -> u64 {
    const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    const SEPARATOR: u8 = 0xff;
    let bytes = worker.bytes().chain([SEPARATOR]).chain(address.bytes());
    mix_bits(bytes.fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)))
}

/// Finalizer of `SplitMix64`: spreads a change of any bit over all bits.
fn mix_bits(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
