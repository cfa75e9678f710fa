//! Which accepted configuration a process enforces, and who lags behind.
//!
//! A process keeps the highest version that it has seen and never goes below it, whichever way a version reaches it:
//! a poll of the table, an announcement of a peer, or a peer's copy while the table is away at the start. Versions
//! are ordered by their number alone; the checksum only proves that two processes mean the same documents.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::code::Code;
use crate::collections::Map;
use crate::id::{BootId, Name};

/// Checksum of the canonical form of a set of documents.
#[derive(Clone, Copy, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay)]
pub struct Checksum(pub u64);

impl fmt::Display for Checksum {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Checksum {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(u64::from_str_radix(text, 16)?))
    }
}

/// Accepted version of the configuration, with the checksum of its documents.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Stamp {
    /// Number of the version; each acceptance adds one, the first is 1.
    pub version: u64,
    /// Checksum of the documents of this version.
    pub checksum: Checksum,
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.version, self.checksum)
    }
}

/// Way by which a version reached the process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// Read from the platform's table.
    Table,
    /// Sent by another process of the system.
    Peer,
}

/// What the process does with a version that it was offered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The version is higher than any seen so far: enforce it.
    Adopt,
    /// The version is the one already enforced.
    Current,
    /// The offer is older; whoever sent it lags and may be told the version held here.
    Older,
    /// The offer carries the enforced version with other documents; it is refused and reported.
    Contradiction,
}

/// Two configurations that carry the same version.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Contradiction {
    /// Version that the process goes on enforcing.
    pub enforced: Stamp,
    /// Version that was refused.
    pub refused: Stamp,
    /// Way by which the refused version came.
    pub source: Source,
}

/// Version that one process enforces.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Rollout {
    /// Highest version seen since the process started; never decreases.
    enforced: Option<Stamp>,
    /// Way by which the enforced version came.
    source: Option<Source>,
    /// Last refused contradiction of the enforced version; cleared by a higher version.
    contradiction: Option<Contradiction>,
}

impl Rollout {
    /// Starts without any accepted version.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Judges a version without changing anything, such as one announced without its documents.
    #[must_use]
    pub fn compare(&self, offered: Stamp) -> Verdict {
        let Some(enforced) = self.enforced else { return Verdict::Adopt };
        if offered.version > enforced.version {
            return Verdict::Adopt;
        }
        if offered.version < enforced.version {
            return Verdict::Older;
        }
        if offered.checksum == enforced.checksum { Verdict::Current } else { Verdict::Contradiction }
    }

    /// Takes in a version whose documents are at hand, checked and matching the checksum.
    pub fn offer(&mut self, offered: Stamp, source: Source) -> Verdict {
        let verdict = self.compare(offered);
        match (verdict, self.enforced) {
            (Verdict::Adopt, _) => self.adopt(offered, source),
            (Verdict::Contradiction, Some(enforced)) => {
                self.contradiction = Some(Contradiction { enforced, refused: offered, source });
            }
            _ => {}
        }
        verdict
    }

    fn adopt(&mut self, offered: Stamp, source: Source) {
        self.enforced = Some(offered);
        self.source = Some(source);
        self.contradiction = None;
    }

    /// Version that the process enforces, if it has learnt any.
    #[must_use]
    pub fn enforced(&self) -> Option<Stamp> {
        self.enforced
    }

    /// Last refused contradiction of the enforced version.
    #[must_use]
    pub fn contradiction(&self) -> Option<Contradiction> {
        self.contradiction
    }

    /// Tells whether the process may take work.
    ///
    /// # Errors
    ///
    /// [`Code::NoConfiguration`] until the process has learnt an accepted version.
    pub fn admits_work(&self) -> Result<Stamp, Code> {
        self.enforced.ok_or(Code::NoConfiguration)
    }
}

/// Process that reports which version it enforces.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Process {
    /// Name of the process from its settings.
    pub name: Name,
    /// Start of the process; a restarted one counts anew.
    pub boot: BootId,
}

/// Last report of one process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Report {
    enforced: Option<Stamp>,
    reported_at: Duration,
}

/// Process that doesn't enforce the target version yet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Laggard {
    /// The process.
    pub process: Process,
    /// Version that it enforces, if any.
    pub enforced: Option<Stamp>,
    /// Time since its last report, in milliseconds.
    pub silent_ms: u64,
}

/// Versions that the known processes enforce.
#[derive(Clone, Debug, Default)]
pub struct FleetVersions {
    reports: Map<Process, Report>,
}

impl FleetVersions {
    /// Starts without any known process.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a report; a report that arrives late never lowers the version of the same start.
    ///
    /// The first report of a start takes the place of every earlier start of the process, whose reports no longer
    /// count.
    pub fn observe(&mut self, now: Duration, process: Process, enforced: Option<Stamp>) {
        if !self.reports.contains_key(&process) {
            if self.reports.keys().any(|known| known.name == process.name && known.boot > process.boot) {
                return;
            }
            self.reports.retain(|known, _| known.name != process.name);
        }
        let report = self.reports.entry(process).or_insert(Report { enforced, reported_at: now });
        report.reported_at = report.reported_at.max(now);
        if version_of(enforced) > version_of(report.enforced) {
            report.enforced = enforced;
        }
    }

    /// Drops processes whose last report is older than `keep`.
    pub fn expire(&mut self, now: Duration, keep: Duration) {
        self.reports.retain(|_, report| now.saturating_sub(report.reported_at) <= keep);
    }

    /// Number of known processes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// Tells whether no process is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Processes that enforce neither `target` nor a higher version, by name.
    ///
    /// A process that enforces the target's version with another checksum lags as well.
    #[must_use]
    pub fn laggards(&self, now: Duration, target: Stamp) -> Vec<Laggard> {
        let mut laggards: Vec<Laggard> = self
            .reports
            .iter()
            .filter(|(_, report)| !reaches(report.enforced, target))
            .map(|(process, report)| Laggard {
                process: process.clone(),
                enforced: report.enforced,
                silent_ms: millis(now.saturating_sub(report.reported_at)),
            })
            .collect();
        laggards.sort_by(|left, right| left.process.cmp(&right.process));
        laggards
    }
}

fn version_of(stamp: Option<Stamp>) -> u64 {
    stamp.map_or(0, |stamp| stamp.version)
}

fn reaches(enforced: Option<Stamp>, target: Stamp) -> bool {
    enforced.is_some_and(|stamp| stamp == target || stamp.version > target.version)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
