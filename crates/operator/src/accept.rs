//! Acceptance of a plan: one conditional write on the version that the plan was made against.
//!
//! The row `config/current` holds the accepted version. Each acceptance also writes `config/history/NNN` in the same
//! transaction; NNN is the version modulo [`HISTORY_SLOTS`], so that the history has a bound. Only one plan can take
//! a version, and the history row of that version tells which one did. That resolves a lost reply and makes it safe
//! to repeat an acceptance, as long as fewer than [`HISTORY_SLOTS`] versions have followed.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::id::Name;
use chervilledge_policy::rollout::{Checksum, Stamp};
use serde::{Deserialize, Serialize};
use tokio::{task, time};

use crate::check;
use crate::documents::{Accepted, Documents};
use crate::fault::Fault;
use crate::plan::{Plan, next_version};
use crate::store::{Commit, Row, Store, Write};

/// Key of the accepted version.
pub const CURRENT_KEY: &str = "config/current";
/// Versions that the history holds.
pub const HISTORY_SLOTS: u64 = 1000;
/// Versions that one call of [`history`] gives at most.
pub const HISTORY_PAGE: u64 = 20;
/// Longest name of an operator or time text.
const TEXT_MAX_BYTES: usize = 63;
/// Attempts before an acceptance is given up.
const ATTEMPTS: u32 = 4;
/// Pause before the second attempt; each further one is twice as long.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Time after which a call of the store counts as lost.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Plan sent for acceptance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// Version that the plan was made against.
    pub base: Option<Stamp>,
    /// Checksum of the plan.
    pub plan: Checksum,
    /// Proposed documents.
    pub documents: Documents,
    /// Operator who accepts the plan.
    pub operator: Name,
    /// Time of the acceptance on the operator's machine, in RFC 3339; for reading only.
    pub accepted_at: Name,
}

/// Accepted version without its documents.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Summary {
    /// Version.
    pub version: u64,
    /// Checksum of the documents.
    pub checksum: Checksum,
    /// Checksum of the plan.
    pub plan: Checksum,
    /// Operator who accepted it.
    pub accepted_by: Name,
    /// Time of the acceptance on the operator's machine.
    pub accepted_at: Name,
}

impl From<&Accepted> for Summary {
    fn from(accepted: &Accepted) -> Self {
        Self {
            version: accepted.version,
            checksum: accepted.checksum,
            plan: accepted.plan,
            accepted_by: Name::clone(&accepted.accepted_by),
            accepted_at: Name::clone(&accepted.accepted_at),
        }
    }
}

/// How an acceptance ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The plan is accepted, now or by an earlier call.
    Accepted(Box<Accepted>),
    /// Another plan took the version; this one changed nothing.
    Conflict(Summary),
    /// The documents have faults; nothing changed.
    Invalid(Vec<Fault>),
    /// The plan's checksum doesn't belong to the documents; nothing changed.
    Mismatch {
        /// Checksum that the plan should have.
        expected: Checksum,
    },
    /// The name of the operator or the time text is malformed; nothing changed.
    Malformed,
    /// The table and the entry, or the table and the plan, disagree about a version; nothing changed.
    Contradiction {
        /// What the table holds.
        table: Option<Stamp>,
        /// What the entry or the plan knows.
        known: Stamp,
    },
    /// The table can't be reached, or still holds an older version than is known; nothing changed.
    Unavailable,
    /// The plan may be accepted now or later; repeating the call tells.
    Unknown,
}

/// Reason why rows of the configuration can't be given.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadError {
    /// The table can't be reached.
    Unavailable,
    /// A row doesn't hold what was written to it.
    Malformed {
        /// Key of the row.
        key: String,
    },
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable => f.write_str("the table can't be reached"),
            Self::Malformed { key } => write!(f, "row {key} doesn't hold what was written to it"),
        }
    }
}

impl std::error::Error for ReadError {}

/// Key of the history row that holds a version.
#[must_use]
pub fn history_key(version: u64) -> String {
    format!("config/history/{:03}", version % HISTORY_SLOTS)
}

/// Accepted version in the table.
///
/// # Errors
///
/// The table can't be reached, or the row is malformed.
pub async fn current(store: &Store) -> Result<Option<Accepted>, ReadError> {
    let rows = read(store, vec![CURRENT_KEY.to_owned()]).await?;
    Ok(rows.into_iter().flatten().next().map(|stored| stored.accepted))
}

/// One version of the history, none if the history doesn't hold it.
///
/// # Errors
///
/// The table can't be reached, or the row is malformed.
pub async fn version(store: &Store, version: u64) -> Result<Option<Accepted>, ReadError> {
    let rows = read(store, vec![history_key(version)]).await?;
    let accepted = rows.into_iter().flatten().next().map(|stored| stored.accepted);
    Ok(accepted.filter(|accepted| accepted.version == version))
}

/// Versions up to `newest` (the accepted one if none is given), newest first, at most [`HISTORY_PAGE`].
///
/// # Errors
///
/// The table can't be reached, or a row is malformed.
pub async fn history(store: &Store, newest: Option<u64>) -> Result<Vec<Summary>, ReadError> {
    let Some(accepted) = current(store).await? else { return Ok(Vec::new()) };
    let newest = newest.unwrap_or(accepted.version).min(accepted.version);
    let versions: Vec<u64> = (1..=newest).rev().take(usize::try_from(HISTORY_PAGE).unwrap_or(usize::MAX)).collect();
    let rows = read(store, versions.iter().copied().map(history_key).collect()).await?;
    let held = versions.into_iter().zip(rows).filter_map(|(version, row)| row.map(|row| (version, row.accepted)));
    Ok(held.filter(|(version, row)| row.version == *version).map(|(_, row)| Summary::from(&row)).collect())
}

/// Accepts a plan.
///
/// `known` is the highest version that the calling process has seen; a table that fell behind it takes no plan.
pub async fn accept(store: &Store, proposal: &Proposal, known: Option<Stamp>) -> Outcome {
    if !is_text(&proposal.operator) || !is_text(&proposal.accepted_at) {
        return Outcome::Malformed;
    }
    let proposal = Arc::new(proposal.clone());
    let checked = Arc::clone(&proposal);
    if let Err(faults) = off_loop(move || check::check(&checked.documents)).await {
        return Outcome::Invalid(faults);
    }
    let mut uncertain = false;
    for attempt in 0..ATTEMPTS {
        if attempt > 0 {
            time::sleep(FIRST_PAUSE * 2_u32.pow(attempt - 1)).await;
        }
        match attempt_once(store, &proposal, known).await {
            Attempt::Ended(outcome) => return outcome,
            Attempt::Lost => uncertain = true,
            Attempt::Nothing => {}
        }
    }
    // An earlier write without a reply may still take effect after later ones were refused.
    if uncertain { Outcome::Unknown } else { Outcome::Unavailable }
}

/// Writes a known version back to a table that lost it, such as after a fail-over of the platform.
///
/// # Errors
///
/// The table can't be reached, or a row is malformed.
pub async fn restore(store: &Store, known: &Accepted) -> Result<Commit, ReadError> {
    let rows = Rows::read(store, known.version).await?;
    if rows.current.as_ref().is_some_and(|row| row.accepted.version >= known.version) {
        return Ok(Commit::Done);
    }
    Ok(commit(store, rows.writes(known)).await)
}

/// How one attempt ended.
enum Attempt {
    Ended(Outcome),
    /// A write was sent and its outcome is unknown.
    Lost,
    /// No write took effect; another attempt may succeed.
    Nothing,
}

async fn attempt_once(store: &Store, proposal: &Arc<Proposal>, known: Option<Stamp>) -> Attempt {
    let target = next_version(proposal.base);
    let rows = match Rows::read(store, target).await {
        Ok(rows) => rows,
        Err(error) => {
            log::warn!(event = "configuration_unread", error:% = error; "");
            return Attempt::Nothing;
        }
    };
    let decided = Arc::clone(proposal);
    let (accepted, writes) = match off_loop(move || decide(&rows, &decided, known, target)).await {
        Decision::Write(accepted, writes) => (accepted, writes),
        Decision::Ended(outcome) => return Attempt::Ended(outcome),
        Decision::Behind => return Attempt::Nothing,
    };
    match commit(store, writes).await {
        Commit::Done => Attempt::Ended(Outcome::Accepted(accepted)),
        Commit::Conflict | Commit::Unavailable => Attempt::Nothing,
        Commit::Unknown => Attempt::Lost,
    }
}

enum Decision {
    Write(Box<Accepted>, Vec<Write>),
    Ended(Outcome),
    /// The table holds an older version than is known.
    Behind,
}

fn decide(rows: &Rows, proposal: &Proposal, known: Option<Stamp>, target: u64) -> Decision {
    if let Some(taken) = rows.taken_by(target) {
        return Decision::Ended(if taken.plan == proposal.plan {
            Outcome::Accepted(Box::new(taken.clone()))
        } else {
            Outcome::Conflict(Summary::from(taken))
        });
    }
    let current = rows.current.as_ref().map(|row| &row.accepted);
    let table = current.map(Accepted::stamp);
    for known in [known, proposal.base].into_iter().flatten() {
        if table.is_none_or(|table| table.version < known.version) {
            return Decision::Behind;
        }
        if table.is_some_and(|table| table.version == known.version && table.checksum != known.checksum) {
            return Decision::Ended(Outcome::Contradiction { table, known });
        }
    }
    if let Some(current) = current.filter(|_| table != proposal.base) {
        return Decision::Ended(Outcome::Conflict(Summary::from(current)));
    }
    let expected = Plan::new(current, &proposal.documents).checksum;
    if expected != proposal.plan {
        return Decision::Ended(Outcome::Mismatch { expected });
    }
    let accepted = accepted(proposal, target);
    let writes = rows.writes(&accepted);
    Decision::Write(Box::new(accepted), writes)
}

fn accepted(proposal: &Proposal, version: u64) -> Accepted {
    Accepted {
        version,
        checksum: proposal.documents.checksum(),
        documents: proposal.documents.clone(),
        accepted_by: Name::clone(&proposal.operator),
        accepted_at: Name::clone(&proposal.accepted_at),
        plan: proposal.plan,
    }
}

/// Row of the configuration with the version that the table gave it.
struct Stored {
    row_version: u64,
    accepted: Accepted,
}

/// Rows that an acceptance reads and writes.
struct Rows {
    current: Option<Stored>,
    slot: Option<Stored>,
}

impl Rows {
    async fn read(store: &Store, version: u64) -> Result<Self, ReadError> {
        let keys = vec![CURRENT_KEY.to_owned(), history_key(version)];
        let mut rows = read(store, keys).await?.into_iter();
        Ok(Self { current: rows.next().flatten(), slot: rows.next().flatten() })
    }

    /// Acceptance that took a version, if either row still holds it.
    fn taken_by(&self, version: u64) -> Option<&Accepted> {
        let rows = [&self.slot, &self.current].into_iter().flatten();
        rows.map(|row| &row.accepted).find(|accepted| accepted.version == version)
    }

    fn writes(&self, accepted: &Accepted) -> Vec<Write> {
        let value = serde_json::json!(accepted);
        let expected = |row: &Option<Stored>| row.as_ref().map(|row| row.row_version);
        vec![
            Write { key: CURRENT_KEY.to_owned(), expected: expected(&self.current), value: value.clone() },
            Write { key: history_key(accepted.version), expected: expected(&self.slot), value },
        ]
    }
}

async fn read(store: &Store, keys: Vec<String>) -> Result<Vec<Option<Stored>>, ReadError> {
    let rows = match time::timeout(STORE_TIMEOUT, store.read(keys.clone())).await {
        Ok(Ok(rows)) if rows.len() == keys.len() => rows,
        _ => return Err(ReadError::Unavailable),
    };
    keys.into_iter().zip(rows).map(|(key, row)| row.map(|row| stored(key, row)).transpose()).collect()
}

fn stored(key: String, row: Row) -> Result<Stored, ReadError> {
    let accepted = serde_json::from_value(row.value).ok().filter(Accepted::is_intact);
    accepted.map(|accepted| Stored { row_version: row.version, accepted }).ok_or(ReadError::Malformed { key })
}

async fn commit(store: &Store, writes: Vec<Write>) -> Commit {
    time::timeout(STORE_TIMEOUT, store.commit(writes)).await.unwrap_or(Commit::Unknown)
}

/// Computes on a thread where it holds up no request; a check of large documents takes milliseconds.
async fn off_loop<T: Send + 'static>(compute: impl FnOnce() -> T + Send + 'static) -> T {
    task::spawn_blocking(compute).await.expect("the computation doesn't panic and isn't cancelled")
}

fn is_text(text: &str) -> bool {
    (1..=TEXT_MAX_BYTES).contains(&text.len()) && text.chars().all(|c| !c.is_control())
}
