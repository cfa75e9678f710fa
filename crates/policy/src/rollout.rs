//! Rollout of accepted configurations: the version that a process enforces, and the processes that lag behind.
//!
//! A process enforces the highest version that it has seen and never a lower one, whatever the source: a poll of the
//! table, an announcement by a peer, or a peer's copy if the table is unavailable at startup. Versions are ordered by
//! number only; the checksum verifies that two processes have the same documents.

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
    /// Version number, starting at 1 and incremented by each acceptance.
    pub version: u64,
    /// Checksum of the documents of this version.
    pub checksum: Checksum,
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.version, self.checksum)
    }
}

/// Source from which the process received a version.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// Read from the platform's table.
    Table,
    /// Sent by another process of the system.
    Peer,
}

/// Result of comparing an offered version with the enforced one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The offered version is higher than any seen so far and must be enforced.
    Adopt,
    /// The offered version is already enforced.
    Current,
    /// The offered version is older; its sender lags behind and may be sent the enforced version.
    Older,
    /// The offer has the enforced version number but other documents; it is refused and reported.
    Contradiction,
}

/// Two configurations with the same version number.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Contradiction {
    /// Version that the process continues to enforce.
    pub enforced: Stamp,
    /// Version that was refused.
    pub refused: Stamp,
    /// Source of the refused version.
    pub source: Source,
}

/// Configuration version that a process enforces.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Rollout {
    /// Highest version seen since the process started; never decreases.
    enforced: Option<Stamp>,
    /// Source of the enforced version.
    source: Option<Source>,
    /// Latest refused contradiction of the enforced version; cleared by a higher version.
    contradiction: Option<Contradiction>,
}

impl Rollout {
    /// Creates a rollout without an accepted version.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Compares a version with the enforced one without adopting it, e.g. one announced without its documents.
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

    /// Processes a version whose documents are available, valid and match the checksum.
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

    /// Returns the version that the process enforces, if any.
    #[must_use]
    pub fn enforced(&self) -> Option<Stamp> {
        self.enforced
    }

    /// Returns the latest refused contradiction of the enforced version.
    #[must_use]
    pub fn contradiction(&self) -> Option<Contradiction> {
        self.contradiction
    }

    /// Returns the enforced version if the process may take work.
    ///
    /// # Errors
    ///
    /// [`Code::NoConfiguration`] until the process has received an accepted version.
    pub fn admits_work(&self) -> Result<Stamp, Code> {
        self.enforced.ok_or(Code::NoConfiguration)
    }
}

/// Process that reports the version it enforces.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Process {
    /// Name of the process from its settings.
    pub name: Name,
    /// Boot of the process; a restarted process is reported separately.
    pub boot: BootId,
}

/// Latest report of a process.
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
    /// Version that the process enforces, if any.
    pub enforced: Option<Stamp>,
    /// Time since the latest report, in milliseconds.
    pub silent_ms: u64,
}

/// Versions enforced by the known processes.
#[derive(Clone, Debug, Default)]
pub struct FleetVersions {
    reports: Map<Process, Report>,
}

impl FleetVersions {
    /// Creates an empty collection.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Processes a report; a late report never lowers the version of the same boot.
    ///
    /// The first report of a boot replaces all earlier boots of the process, whose later reports are ignored.
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

    /// Removes processes whose latest report is older than `max_age`.
    pub fn expire(&mut self, now: Duration, max_age: Duration) {
        self.reports.retain(|_, report| now.saturating_sub(report.reported_at) <= max_age);
    }

    /// Returns the number of known processes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// Returns whether no process is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Returns the processes that enforce neither `target` nor a higher version, sorted by name.
    ///
    /// A process that enforces the target's version number with another checksum is included.
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
