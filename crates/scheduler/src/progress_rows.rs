//! Rows of the progress of a job.
//!
//! Small progress is one row, as every version writes it. Larger progress has a compact form, which is divided between a
//! row of the same key and further rows, all of them written in one transaction. Versions before 0.5.0 can't decode that
//! row, and start no task of the job.

use std::collections::{BTreeMap, BTreeSet};

use chervilledge_cell::crashes::CrashHistory;
use chervilledge_cell::job::{JobId, TaskKey};
use chervilledge_cell::progress::{Checkpointed, Occurrences, Outcome, Progress};
use chervilledge_policy::id::Name;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::rows;
use crate::store::{Change, ROW_BYTES_MAX, Table};

/// Bytes of the compact form in one row; the first one has a few more.
const PART_BYTES: usize = ROW_BYTES_MAX - 64;
/// Separates a job from the number of the part in a key.
const PART_SEPARATOR: char = '/';

/// Task key as occurrence, step and index.
type CompactKey = (u32, u32, u32);

/// First row of divided progress.
#[derive(Debug, Deserialize, Serialize)]
struct FirstPart {
    /// Number of rows after this one, which are numbered from 1.
    parts: u32,
    /// Size of the whole compact form, in bytes.
    size_bytes: u64,
    /// Its beginning.
    content: ByteBuf,
}

/// Content of the row with the job's own key.
enum FirstRow {
    Whole(Progress),
    Divided(FirstPart),
}

/// Compact form of [`Progress`].
#[derive(Debug, Default, Deserialize, Serialize)]
struct CompactProgress {
    completed: Occurrences,
    /// Tasks that are done, as a bitmap of their indices by occurrence and step.
    done: Vec<(u32, u32, ByteBuf)>,
    failures: Vec<(CompactKey, BTreeSet<u64>)>,
    crashes: Vec<(CompactKey, CrashHistory)>,
    /// Key, text, run and percent.
    checkpoints: Vec<(CompactKey, Name, u64, u32)>,
    outcome: Option<Outcome>,
}

const fn compact_key(key: &TaskKey) -> CompactKey {
    (key.occurrence, key.step, key.index)
}

const fn task_key((occurrence, step, index): CompactKey) -> TaskKey {
    TaskKey { occurrence, step, index }
}

impl From<&Progress> for CompactProgress {
    fn from(progress: &Progress) -> Self {
        let mut done: Vec<(u32, u32, ByteBuf)> = Vec::new();
        for key in &progress.done {
            if done.last().is_none_or(|(occurrence, step, _)| (*occurrence, *step) != (key.occurrence, key.step)) {
                done.push((key.occurrence, key.step, ByteBuf::new()));
            }
            if let Some((_, _, bitmap)) = done.last_mut() {
                let (byte, bit) = (key.index as usize / 8, key.index % 8);
                let length = bitmap.len().max(byte + 1);
                bitmap.resize(length, 0);
                bitmap[byte] |= 1 << bit;
            }
        }
        let checkpoint = |(key, text): (&TaskKey, &Name)| {
            let Checkpointed { run, percent } = progress.checkpointed.get(key).copied().unwrap_or_default();
            (compact_key(key), Name::clone(text), run, percent)
        };
        Self {
            completed: progress.completed.clone(),
            done,
            failures: progress.failures.iter().map(|(key, runs)| (compact_key(key), runs.clone())).collect(),
            crashes: progress.crashes.iter().map(|(key, crashes)| (compact_key(key), crashes.clone())).collect(),
            checkpoints: progress.checkpoints.iter().map(checkpoint).collect(),
            outcome: progress.outcome,
        }
    }
}

impl From<CompactProgress> for Progress {
    fn from(compact: CompactProgress) -> Self {
        let mut progress = Self { completed: compact.completed, outcome: compact.outcome, ..Self::default() };
        for (occurrence, step, bitmap) in compact.done {
            let bits = (0_u32..).zip(bitmap.iter().flat_map(|byte| (0..8).map(move |bit| byte >> bit & 1 == 1)));
            let indices = bits.filter(|(_, is_done)| *is_done).map(|(index, _)| index);
            progress.done.extend(indices.map(|index| TaskKey { occurrence, step, index }));
        }
        progress.failures = compact.failures.into_iter().map(|(key, runs)| (task_key(key), runs)).collect();
        progress.crashes = compact.crashes.into_iter().map(|(key, crashes)| (task_key(key), crashes)).collect();
        for (key, text, run, percent) in compact.checkpoints {
            progress.checkpoints.insert(task_key(key), text);
            progress.checkpointed.insert(task_key(key), Checkpointed { run, percent });
        }
        progress
    }
}

/// Key of a row after the first one; `number` starts at 1.
#[must_use]
pub fn part_key(job: JobId, number: u32) -> Name {
    Name::from(format!("{job}{PART_SEPARATOR}{number}"))
}

/// Job and number of a row after the first one; `None` for another key.
#[must_use]
pub fn parse_part_key(key: &str) -> Option<(JobId, u32)> {
    let (job, number) = key.split_once(PART_SEPARATOR)?;
    Some((job.parse().ok()?, number.parse().ok()?))
}

/// Changes that write the progress of a job; the first one is that of the row with the job's own key.
#[must_use]
pub fn changes(job: JobId, progress: &Progress) -> Vec<Change> {
    let change = |key: Name, value: Vec<u8>| Change { table: Table::Progress, key, value: Some(value) };
    if !progress.is_compact() {
        return vec![change(rows::job_key(job), rows::encode(progress))];
    }
    let content = rows::encode(&CompactProgress::from(progress));
    let (first, rest) = content.split_at(content.len().min(PART_BYTES));
    let parts: Vec<&[u8]> = rest.chunks(PART_BYTES).collect();
    let first = FirstPart {
        parts: u32::try_from(parts.len()).unwrap_or(u32::MAX),
        size_bytes: content.len() as u64,
        content: ByteBuf::from(first),
    };
    let mut changes = vec![change(rows::job_key(job), rows::encode(&first))];
    changes.extend((1..).zip(parts).map(|(number, part)| change(part_key(job, number), part.to_vec())));
    changes
}

/// Further rows of progress, by job and number.
pub type Parts<'a> = BTreeMap<(JobId, u32), &'a [u8]>;

/// Decodes the progress of a job; logs an error and returns `None` if it is malformed or a part is missing.
#[must_use]
pub fn decode(job: JobId, value: &[u8], parts: &Parts<'_>) -> Option<Progress> {
    let first = match decode_first(job, value)? {
        FirstRow::Whole(progress) => return Some(progress),
        FirstRow::Divided(first) => first,
    };
    let mut content = first.content.into_vec();
    for number in 1..=first.parts {
        let Some(part) = parts.get(&(job, number)) else {
            log::warn!(event = "row_malformed", key:% = job, error = "part missing", part = number; "");
            return None;
        };
        content.extend_from_slice(part);
    }
    if content.len() as u64 != first.size_bytes {
        log::warn!(event = "row_malformed", key:% = job, error = "parts of another size", bytes = content.len(); "");
        return None;
    }
    rows::decode::<CompactProgress>(&rows::job_key(job), &content).map(Progress::from)
}

/// Decodes the outcome alone, from the row with the job's own key; divided progress has none, since progress with an
/// outcome is small.
#[must_use]
pub fn decode_outcome(job: JobId, value: &[u8]) -> Option<Option<Outcome>> {
    match decode_first(job, value)? {
        FirstRow::Whole(progress) => Some(progress.outcome),
        FirstRow::Divided(_) => Some(None),
    }
}

/// Decodes the row with the job's own key. Most of these rows are whole, so that form is tried first.
fn decode_first(job: JobId, value: &[u8]) -> Option<FirstRow> {
    let error = match ciborium::from_reader(value) {
        Ok(progress) => return Some(FirstRow::Whole(progress)),
        Err(error) => error,
    };
    let Ok(first) = ciborium::from_reader(value) else {
        log::warn!(event = "row_malformed", key:% = job, error:% = error; "");
        return None;
    };
    Some(FirstRow::Divided(first))
}
