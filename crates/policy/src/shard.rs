//! Ownership of queue shards by entries.
//!
//! Each shard of the queue has a row that names its owner and an epoch. Rendezvous hashing says which live entry
//! should own it, so that one entry more or less moves only its own part. Every write of a task's row is conditional
//! on the shard's row as well: an owner that was paused and replaced can write nothing.

use serde::{Deserialize, Serialize};

use crate::id::BootId;
use crate::task::{Epoch, TaskId};

/// Row of a shard.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShardRow {
    /// Number of the shard.
    pub shard: u32,
    /// Start of the entry that owns the shard, if any.
    pub owner: Option<BootId>,
    /// Rises at every change of owner; never decreases.
    pub epoch: Epoch,
}

impl ShardRow {
    /// Row of a shard that was never owned.
    #[must_use]
    pub const fn unowned(shard: u32) -> Self {
        Self { shard, owner: None, epoch: Epoch(0) }
    }
}

/// Shard of a task; the same in every process and version.
#[must_use]
pub fn shard_of(task: &TaskId, shard_count: u32) -> u32 {
    let hash = task.job.bytes().fold(mix(u64::from(task.index)), |hash, byte| mix(hash ^ u64::from(byte)));
    u32::try_from(hash % u64::from(shard_count.max(1))).unwrap_or(0)
}

/// Live entry that should own the shard.
#[must_use]
pub fn preferred(shard: u32, live: &[BootId]) -> Option<BootId> {
    live.iter().copied().max_by_key(|entry| (mix(entry.0 ^ mix(u64::from(shard))), *entry))
}

/// Makes the row that entry `me` should write, conditional on the version of `row`, if any.
///
/// `live` are the entries whose lease this entry hasn't seen end. An owner releases a shard that belongs to another
/// one after its own writes have ended; a shard is taken when it is free or its owner is no longer live.
#[must_use]
pub fn next_row(row: &ShardRow, me: BootId, live: &[BootId]) -> Option<ShardRow> {
    let should_own = preferred(row.shard, live) == Some(me);
    let owner = match row.owner {
        Some(owner) if owner == me => (!should_own).then_some(None),
        Some(owner) if live.contains(&owner) => None,
        _ => should_own.then_some(Some(me)),
    }?;
    Some(ShardRow { owner, epoch: row.epoch.next(), ..*row })
}

/// Finaliser of `SplitMix64`.
const fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
