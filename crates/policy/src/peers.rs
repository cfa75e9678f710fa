//! Which entries are live, as seen in the rows that they renew.
//!
//! A row counts as live until its counter has been seen unchanged for a whole bound on the reader's own clock. While the
//! rows can't be read, nobody is taken for dead.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::collections::Map;
use crate::id::{BootId, Name};
use crate::rollout::Stamp;

/// Shortest time between two transactions of one of `live` entries that share `commits_per_s`, at least `base`.
#[must_use]
pub fn commit_interval(live: usize, commits_per_s: u32, base: Duration) -> Duration {
    let live = u32::try_from(live).unwrap_or(u32::MAX).max(1);
    let fair = Duration::from_secs(1).saturating_mul(live) / commits_per_s.max(1);
    fair.max(base)
}

/// Row by which an entry announces itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryRow {
    /// Name of the entry, unique among entries.
    pub name: Name,
    /// Start of the entry.
    pub boot: BootId,
    /// Failure domain of the entry.
    pub failure_domain: Name,
    /// Address of the link listener, as `IP:PORT`.
    pub address: Name,
    /// Strictly increasing within one start.
    pub counter: u64,
    /// Version of the configuration that the entry enforced when it renewed the row, if it knew any.
    #[serde(default)]
    pub enforced: Option<Stamp>,
}

#[derive(Clone, Debug)]
struct Seen {
    row: EntryRow,
    /// First read that showed the counter.
    since: Duration,
    /// Latest read that showed the counter.
    confirmed: Duration,
}

/// Entries that are seen in the table.
#[derive(Clone, Debug)]
pub struct Peers {
    /// Time for which a counter may stay unchanged.
    silence: Duration,
    /// Longest time between two reads for which the rows count as watched.
    gap_max: Duration,
    seen: Map<Name, Seen>,
    /// Live entries by name, as last given out.
    live: Vec<EntryRow>,
}

impl Peers {
    /// Makes an empty set.
    ///
    /// Reads further apart than `gap_max` start the count again: after an outage every entry gets the whole bound to renew
    /// its row.
    #[must_use]
    pub fn new(silence: Duration, gap_max: Duration) -> Self {
        Self { silence, gap_max, seen: Map::default(), live: Vec::new() }
    }

    /// Takes in all rows of one read; tells whether the live entries, or a start or address of one, have changed.
    pub fn observe(&mut self, now: Duration, rows: Vec<EntryRow>) -> bool {
        let names: Vec<Name> = rows.iter().map(|row| Name::clone(&row.name)).collect();
        self.seen.retain(|name, _| names.contains(name));
        for row in rows {
            self.observe_row(now, row);
        }
        let mut live: Vec<EntryRow> =
            self.seen.values().filter(|seen| self.is_live(seen)).map(|seen| seen.row.clone()).collect();
        live.sort_by(|left, right| left.name.cmp(&right.name));
        let is_changed = !same_places(&self.live, &live);
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
        seen.confirmed.saturating_sub(seen.since) < self.silence
    }

    /// Live entries, ordered by name.
    #[must_use]
    pub fn live(&self) -> &[EntryRow] {
        &self.live
    }
}

fn same_places(left: &[EntryRow], right: &[EntryRow]) -> bool {
    let place = |row: &EntryRow| (Name::clone(&row.name), row.boot, Name::clone(&row.address));
    left.iter().map(place).eq(right.iter().map(place))
}
