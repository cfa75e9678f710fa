//! Keys and contents of the cell's rows.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::interference::{Evidence, Pair};
use chervilledge_cell::job::{Job, JobId};
use chervilledge_policy::id::Name;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::store::ROW_BYTES_MAX;

/// Key of the placer's row, in table `cell`.
pub const PLACER_KEY: &str = "placer";
/// Key of the placer's heartbeat, in table `cell`.
pub const HEARTBEAT_KEY: &str = "beat";
/// Key of the witnesses of the placer's term, in table `cell`.
pub const WITNESSES_KEY: &str = "witnesses";
/// Key of the leases that a placer handed over with the cell, in table `cell`.
pub const HANDOVER_KEY: &str = "handover";
/// Key of the measured effects of pairs of images, in table `progress`, which only placers read.
pub const EFFECTS_KEY: &str = "effects";
/// Prefix of the keys of agents, in table `cell`.
pub const AGENT_PREFIX: &str = "agent/";
/// Prefix of the keys of entries, in table `cell`.
pub const ENTRY_PREFIX: &str = "entry/";
/// Largest lead of a term over the revision of the placer's row. It keeps terms valid in a store that was restored and
/// counts its transactions anew.
const TERM_LEAD_MAX: u64 = 1 << 20;
/// Suffix of the keys of cancellations, in table `jobs`.
const CANCEL_SUFFIX: &str = "/cancel";

/// Maximum number of stored pairs of images.
const STORED_EFFECTS_MAX: usize = 1_000;
/// Largest stored effect, in bytes, so that the names of one job don't displace the effects of others.
const EFFECT_BYTES_MAX: usize = 1 << 10;
/// Upper bound of the bytes of a row with a list besides the items of that list.
const ROW_HEAD_BYTES: usize = 64;
/// Maximum number of leases that are handed over.
const HANDED_OVER_LEASES_MAX: usize = 400;

/// Version of this build, as told to other processes.
pub const VERSION: &str = env!("CARGO_PKG_VERSION");

/// First version that answers as a witness, as major and minor number.
const FIRST_WITNESS_VERSION: (u64, u64) = (0, 3);

/// First version that reports and records crashes of workers, as major and minor number.
const FIRST_CRASH_VERSION: (u64, u64) = (0, 4);

/// Whether an entry of a version answers as a witness.
#[must_use]
pub fn can_witness(version: &str) -> bool {
    is_from(version, FIRST_WITNESS_VERSION)
}

/// Whether a process of a version reports or records crashes of workers.
#[must_use]
pub fn knows_crashes(version: Option<&Name>) -> bool {
    version.is_some_and(|version| is_from(version, FIRST_CRASH_VERSION))
}

fn is_from(version: &str, first: (u64, u64)) -> bool {
    let mut numbers = version.split('.').map(str::parse::<u64>);
    matches!((numbers.next(), numbers.next()), (Some(Ok(major)), Some(Ok(minor))) if (major, minor) >= first)
}

/// Content of the placer's row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Placer {
    /// Increases by 1 with each placer.
    pub term: u64,
    /// Name of the entry that places; `None` after it has released the cell.
    pub holder: Option<Name>,
    /// Link address of that entry.
    pub address: SocketAddr,
}

/// Content of the placer's heartbeat.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Term of the placer.
    pub term: u64,
    /// Whether it is certain that no placer of an earlier term is still active.
    pub is_alone: bool,
}

/// Witnesses of the terms under which leases may still be granted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Witnesses {
    /// Term of the placer that wrote the row.
    pub term: u64,
    /// Link addresses of its witnesses. It renews its term only with all of them.
    pub members: Vec<SocketAddr>,
    /// Witnesses of each earlier placer that may still act; `None` if not all of them are known.
    #[serde(default)]
    pub earlier: Option<Vec<Vec<SocketAddr>>>,
}

/// Leases that may still run on the workers of agents without a link to the placer that released the cell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Handover {
    /// Term of that placer.
    pub term: u64,
    /// Names of the agents, and for how long their leases may run on from when the row was written, in milliseconds.
    pub leases_ms: Vec<(Name, u64)>,
}

/// Content of the row of an agent or entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Process {
    /// Link address of the process.
    pub address: SocketAddr,
}

/// Content of the row of an entry.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryProcess {
    /// Link address of the entry.
    pub address: SocketAddr,
    /// Share of a core that the entry has; 0 when unknown.
    #[serde(default)]
    pub processor_share: f64,
    /// Shortest duration of the entry's last reads of the store, once known.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default, rename = "response_ms")]
    pub response: Option<Duration>,
    /// Version of the process; versions before 0.2.0 don't tell it.
    #[serde(default)]
    pub version: Option<Name>,
}

/// Measured effect of a filling image on a serving one. Encoded without field names, since there are many of them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Effect(
    /// Filling image.
    pub Name,
    /// Serving image.
    pub Name,
    /// Amount of evidence; see [`Evidence::information`].
    pub f32,
    /// See [`Evidence::weighted_effect`].
    pub f32,
);

impl Effect {
    /// Compact form of the evidence on a pair.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, reason = "evidence is rough")]
    pub fn from_evidence((pair, evidence): &(Pair, Evidence)) -> Self {
        let (information, weighted_effect) = (evidence.information as f32, evidence.weighted_effect as f32);
        Self(Arc::clone(&pair.filling), Arc::clone(&pair.serving), information, weighted_effect)
    }

    /// The pair and its evidence. Evidence that isn't finite is dropped, since it would count for nothing or for
    /// everything.
    #[must_use]
    pub fn into_evidence(self) -> (Pair, Evidence) {
        let Self(filling, serving, information, weighted_effect) = self;
        let is_finite_evidence = information.is_finite() && information >= 0.0 && weighted_effect.is_finite();
        let evidence = Evidence { information: f64::from(information), weighted_effect: f64::from(weighted_effect) };
        let evidence = if is_finite_evidence { evidence } else { Evidence::default() };
        (Pair { filling, serving }, evidence)
    }
}

/// Encodes the row of measured effects: the pairs with the most evidence, as far as they fit into a row.
#[must_use]
pub fn encode_effects(mut effects: Vec<Effect>) -> Vec<u8> {
    effects.sort_unstable_by(|one, other| other.2.total_cmp(&one.2));
    encode(&fitting(effects.into_iter().take(STORED_EFFECTS_MAX), EFFECT_BYTES_MAX))
}

/// Encodes the leases that a placer hands over: as many as fit into a row. A successor waits for the others as it does
/// without a handover.
#[must_use]
pub fn encode_handover(term: u64, leases_ms: impl Iterator<Item = (Name, u64)>) -> Vec<u8> {
    encode(&Handover { term, leases_ms: fitting(leases_ms.take(HANDED_OVER_LEASES_MAX), ROW_BYTES_MAX) })
}

/// Items of at most `item_bytes_max` bytes, as many as fit into a row together.
fn fitting<T: Serialize>(items: impl Iterator<Item = T>, item_bytes_max: usize) -> Vec<T> {
    let mut room_bytes = ROW_BYTES_MAX - ROW_HEAD_BYTES;
    let fits = |item: &T| {
        let bytes = encode(item).len();
        let fits = bytes <= item_bytes_max.min(room_bytes);
        if fits {
            room_bytes -= bytes;
        }
        fits
    };
    items.filter(fits).collect()
}

/// Key in table `jobs`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobKey {
    /// Job.
    Job(JobId),
    /// Cancellation of a job.
    Cancel(JobId),
}

/// Key of a job's row.
#[must_use]
pub fn job_key(id: JobId) -> Name {
    Arc::from(id.to_string())
}

/// Key of a job's cancellation.
#[must_use]
pub fn cancel_key(id: JobId) -> Name {
    Arc::from(format!("{id}{CANCEL_SUFFIX}"))
}

/// Parses a key of table `jobs`; `None` if it has no known form.
#[must_use]
pub fn parse_job_key(key: &str) -> Option<JobKey> {
    match key.strip_suffix(CANCEL_SUFFIX) {
        Some(id) => id.parse().ok().map(JobKey::Cancel),
        None => key.parse().ok().map(JobKey::Job),
    }
}

/// Encodes the content of a row.
///
/// # Panics
///
/// Never for the types of this module: all of them have a CBOR form.
#[must_use]
pub fn encode<T: Serialize>(content: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(content, &mut bytes).expect("rows have a CBOR form");
    bytes
}

/// Reason why the row of a job can't be written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobRowFault {
    /// It is larger than a row of the store.
    TooLarge,
    /// A value has no encoded form.
    NoForm,
}

impl fmt::Display for JobRowFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => write!(f, "the job takes more than {ROW_BYTES_MAX} bytes"),
            Self::NoForm => f.write_str("a time of the job is out of range"),
        }
    }
}

impl std::error::Error for JobRowFault {}

/// Encodes the row of a job.
///
/// # Errors
///
/// [`JobRowFault`] if the store wouldn't take the row, or a value of the job has no encoded form.
pub fn encode_job(job: &Job) -> Result<Vec<u8>, JobRowFault> {
    let mut bytes = Vec::new();
    ciborium::into_writer(job, &mut bytes).or(Err(JobRowFault::NoForm))?;
    if bytes.len() <= ROW_BYTES_MAX { Ok(bytes) } else { Err(JobRowFault::TooLarge) }
}

/// Decodes the content of a row; logs an error and returns `None` if it is malformed.
#[must_use]
pub fn decode<T: DeserializeOwned>(key: &str, value: &[u8]) -> Option<T> {
    match ciborium::from_reader(value) {
        Ok(content) => Some(content),
        Err(error) => {
            log::warn!(event = "row_malformed", key = key, error:% = error; "");
            None
        }
    }
}

/// Upper bound of the term in a placer's row of the given revision.
///
/// It holds for ever once it holds: the store counts transactions, and each term begins with one.
#[must_use]
pub const fn term_max(revision: u64) -> u64 {
    revision.saturating_add(TERM_LEAD_MAX)
}

/// Decodes the placer's row; logs an error and returns `None` if it is malformed or its term isn't possible.
#[must_use]
pub fn decode_placer(key: &str, value: &[u8], revision: u64) -> Option<Placer> {
    let placer: Placer = decode(key, value)?;
    if placer.term > term_max(revision) {
        log::warn!(event = "row_malformed", key = key, term = placer.term, error = "no possible term"; "");
        return None;
    }
    Some(placer)
}

/// Decodes the row of a job; logs an error and returns `None` if it is malformed or the job isn't valid.
#[must_use]
pub fn decode_job(key: &str, value: &[u8]) -> Option<Job> {
    let job: Job = decode(key, value)?;
    if key.parse() != Ok(job.id) {
        log::warn!(event = "row_malformed", key = key, job:% = job.id, error = "job of another key"; "");
        return None;
    }
    is_valid(&job).then_some(job)
}

/// Whether a job is valid; logs the fault otherwise. Placers rely on this check for every job that they add.
#[must_use]
pub fn is_valid(job: &Job) -> bool {
    job.check().inspect_err(|fault| log::warn!(event = "job_invalid", job:% = job.id, error:% = fault; "")).is_ok()
}
