//! Contents of the platform's stand-in: rows, objects and the ledger of commits.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use bytes::Bytes;
use chervilledge_store::table::{Commit, Conflict, Row, Scan, Write, WriteId};
use serde::{Deserialize, Serialize};

/// One committed transaction.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// Place in the order of commits, from 1; also the version of every row written.
    pub number: u64,
    /// Identifies the transaction.
    pub write_id: WriteId,
    /// Writes that took effect.
    pub writes: Vec<Write>,
}

/// Result of an attempt to commit.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Attempt {
    Committed(Vec<u64>),
    Conflict(Conflict),
    Invalid(&'static str),
}

/// Rows and objects, in memory.
#[derive(Debug, Default)]
pub(crate) struct Store {
    rows: BTreeMap<Arc<str>, Row>,
    objects: HashMap<String, Bytes>,
    ledger: Vec<Entry>,
}

impl Store {
    /// Copies the rows, without objects and ledger.
    pub(crate) fn rows_only(&self) -> Self {
        Self { rows: self.rows.clone(), ..Self::default() }
    }

    pub(crate) fn read(&self, keys: &[Arc<str>]) -> Vec<Row> {
        keys.iter().filter_map(|key| self.rows.get(key).cloned()).collect()
    }

    pub(crate) fn scan(&self, scan: &Scan) -> Vec<Row> {
        let start = scan.after.as_ref().unwrap_or(&scan.prefix).max(&scan.prefix);
        self.rows
            .range(Arc::clone(start)..)
            .take_while(|(key, _)| key.starts_with(&*scan.prefix))
            .filter(|(key, _)| scan.after.as_ref().is_none_or(|after| *key > after))
            .take(scan.limit)
            .map(|(_, row)| row.clone())
            .collect()
    }

    /// Applies all writes of a transaction or none.
    pub(crate) fn commit(&mut self, commit: Commit) -> Attempt {
        let keys: HashSet<&str> = commit.writes.iter().map(|write| &*write.key).collect();
        if keys.len() != commit.writes.len() {
            return Attempt::Invalid("a key is written twice");
        }
        if let Some(conflict) = self.find_conflict(&commit.writes) {
            return Attempt::Conflict(conflict);
        }
        let number = self.ledger.len() as u64 + 1;
        for write in &commit.writes {
            self.apply(write, number, commit.write_id);
        }
        let versions = vec![number; commit.writes.len()];
        self.ledger.push(Entry { number, write_id: commit.write_id, writes: commit.writes });
        Attempt::Committed(versions)
    }

    fn find_conflict(&self, writes: &[Write]) -> Option<Conflict> {
        let mut conflicts = writes.iter().filter_map(|write| {
            let current = self.rows.get(&write.key);
            let conflict = || Conflict { key: Arc::clone(&write.key), current: current.cloned(), others: Vec::new() };
            (!write.expect.holds(current.map(|row| row.version))).then(conflict)
        });
        let first = conflicts.next()?;
        Some(Conflict { others: conflicts.collect(), ..first })
    }

    fn apply(&mut self, write: &Write, version: u64, write_id: WriteId) {
        let key = Arc::clone(&write.key);
        match &write.value {
            Some(value) => {
                let row = Row { key: Arc::clone(&key), version, write_id, value: value.clone() };
                self.rows.insert(key, row);
            }
            None => {
                self.rows.remove(&key);
            }
        }
    }

    pub(crate) fn object(&self, key: &str) -> Option<Bytes> {
        self.objects.get(key).cloned()
    }

    /// Stores an object, unless it exists and must not.
    pub(crate) fn put_object(&mut self, key: &str, body: Bytes, only_if_absent: bool) -> bool {
        if only_if_absent && self.objects.contains_key(key) {
            return false;
        }
        self.objects.insert(key.to_owned(), body);
        true
    }

    pub(crate) fn delete_object(&mut self, key: &str) {
        self.objects.remove(key);
    }

    /// Commits after the given number, in order.
    pub(crate) fn ledger_after(&self, number: u64) -> Vec<Entry> {
        let start = usize::try_from(number).unwrap_or(usize::MAX).min(self.ledger.len());
        self.ledger[start..].to_vec()
    }
}
