//! Ownership of queue shards by entries.
//!
//! Each shard of the queue has a row with its owner and an epoch. Rendezvous hashing determines which live entry should
//! own it, so that adding or removing an entry moves only that entry's shards. Every write of a task's row is also
//! conditional on the shard's row, so that an owner that was paused and replaced can't write anything.

use serde::{Deserialize, Serialize};

use crate::id::BootId;
use crate::task::{Epoch, TaskId};

/// Row of a shard.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShardRow {
    /// Number of the shard.
    pub shard: u32,
    /// Boot of the entry that owns the shard, if any.
    pub owner: Option<BootId>,
    /// Increases at every change of owner; never decreases.
    pub epoch: Epoch,
}

impl ShardRow {
    /// Creates the row of a shard that was never owned.
    #[must_use]
    pub const fn unowned(shard: u32) -> Self {
        Self { shard, owner: None, epoch: Epoch(0) }
    }
}

/// Returns the shard of a task; the same in every process and version.
#[must_use]
pub fn shard_of(task: &TaskId, shard_count: u32) -> u32 {
    let hash = task.job.bytes().fold(mix_bits(u64::from(task.index)), |hash, byte| mix_bits(hash ^ u64::from(byte)));
    u32::try_from(hash % u64::from(shard_count.max(1))).unwrap_or(0)
}

/// Returns the live entry that should own the shard.
#[must_use]
pub fn preferred_owner(shard: u32, live: &[BootId]) -> Option<BootId> {
    live.iter().copied().max_by_key(|entry| (mix_bits(entry.0 ^ mix_bits(u64::from(shard))), *entry))
}

/// Returns the row that the entry `own` should write, conditional on the version of `row`, if any.
///
/// `live` are the entries whose lease hasn't ended as seen by this entry. An owner releases a shard that another entry
/// should own once its own writes have completed; a shard is taken if it is free or its owner is no longer live.
#[must_use]
pub fn next_row(row: &ShardRow, own: BootId, live: &[BootId]) -> Option<ShardRow> {
    let should_own = preferred_owner(row.shard, live) == Some(own);
    let owner = match row.owner {
        Some(owner) if owner == own => (!should_own).then_some(None),
        Some(owner) if live.contains(&owner) => None,
        _ => should_own.then_some(Some(own)),
    }?;
    Some(ShardRow { owner, epoch: row.epoch.next(), ..*row })
}

/// Finalizer of `SplitMix64`.
const fn mix_bits(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
