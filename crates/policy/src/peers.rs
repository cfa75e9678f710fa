//! Liveness of entries, detected from the rows that they renew.
//!
//! A row is live until its counter has been seen unchanged for the silence limit on the reader's own clock. While the
//! rows can't be read, no entry is considered dead.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::collections::Map;
use crate::id::{BootId, Name};
use crate::rollout::Stamp;

/// Returns the minimum interval between transactions of each of `live` entries that share a rate of `commits_per_s`; at
/// least `base`.
#[must_use]
pub fn commit_interval(live: usize, commits_per_s: u32, base: Duration) -> Duration {
    let live = u32::try_from(live).unwrap_or(u32::MAX).max(1);
    let fair_share = Duration::from_secs(1).saturating_mul(live) / commits_per_s.max(1);
    fair_share.max(base)
}

/// Row by which an entry announces itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryRow {
    /// Name of the entry, unique among entries.
    pub name: Name,
    /// Boot of the entry.
    pub boot: BootId,
    /// Failure domain of the entry.
    pub failure_domain: Name,
    /// Address of the link listener, as `IP:PORT`.
    pub address: Name,
    /// Strictly increasing within one boot.
    pub counter: u64,
    /// Version of the configuration that the entry enforced when it renewed the row, if any.
    #[serde(default)]
    pub enforced: Option<Stamp>,
}

#[derive(Clone, Debug)]
struct Seen {
    row: EntryRow,
    /// Time of the first read with this counter.
    since: Duration,
    /// Time of the latest read with this counter.
    confirmed: Duration,
}

/// Entries whose rows are in the table.
#[derive(Clone, Debug)]
pub struct Peers {
    /// Time after which an entry with an unchanged counter isn't live.
    silence_max: Duration,
    /// Maximum time between two reads for an unbroken observation.
    gap_max: Duration,
    seen: Map<Name, Seen>,
    /// Live entries ordered by name, as of the latest read.
    live: Vec<EntryRow>,
}

impl Peers {
    /// Creates an empty set.
    ///
    /// Reads further apart than `gap_max` restart the observation, so that after an outage every entry has the whole
    /// silence limit to renew its row.
    #[must_use]
    pub fn new(silence_max: Duration, gap_max: Duration) -> Self {
        Self { silence_max, gap_max, seen: Map::default(), live: Vec::new() }
    }

    /// Processes all rows of one read; returns whether the set of live entries, or the boot or address of one, changed.
    pub fn observe(&mut self, now: Duration, rows: Vec<EntryRow>) -> bool {
        let names: Vec<Name> = rows.iter().map(|row| Name::clone(&row.name)).collect();
        self.seen.retain(|name, _| names.contains(name));
        for row in rows {
            self.observe_row(now, row);
        }
        let mut live: Vec<EntryRow> =
            self.seen.values().filter(|seen| self.is_live(seen)).map(|seen| seen.row.clone()).collect();
        live.sort_by(|left, right| left.name.cmp(&right.name));
        let is_changed = !have_same_endpoints(&self.live, &live);
        self.live = live;
        is_changed
    }

    fn observe_row(&mut self, now: Duration, row: EntryRow) {
        match self.seen.get_mut(&row.name) {
            Some(seen) if seen.row == row && now <= seen.confirmed + self.gap_max => seen.confirmed = now,
            _ => {
                let seen = Seen { since: now, confirmed: now, row };
                self.seen.insert(Name::clone(&seen.row.name), seen);
            }
        }
    }

    fn is_live(&self, seen: &Seen) -> bool {
        seen.confirmed.saturating_sub(seen.since) < self.silence_max
    }

    /// Returns the live entries, ordered by name.
    #[must_use]
    pub fn live(&self) -> &[EntryRow] {
        &self.live
    }
}

fn have_same_endpoints(left: &[EntryRow], right: &[EntryRow]) -> bool {
    let endpoint = |row: &EntryRow| (Name::clone(&row.name), row.boot, Name::clone(&row.address));
    left.iter().map(endpoint).eq(right.iter().map(endpoint))
}
