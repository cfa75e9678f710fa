//! Table in memory with conditional writes, whose replies can be lost and whose reads can be stale.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};

use chervilledge_operator::documents::Accepted;
use chervilledge_operator::store::{Commit, Row, Store, Unavailable, Write};
use tokio::task;

/// Fate of one call; a call without one is carried out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    Done,
    /// Refused: nothing is read or written.
    Refused,
    /// Not carried out, and the reply is lost.
    LostRequest,
    /// Carried out, but the reply is lost.
    LostReply,
    /// Carried out after the next call, and the reply is lost.
    Late,
    /// A read that is answered from the state before the last write.
    Stale,
    /// A read whose first row is fresh and whose other rows are from the state before the last write.
    Torn,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<String, Arc<Row>>,
    before: BTreeMap<String, Arc<Row>>,
    writes: u64,
    late: Vec<Vec<Write>>,
    fates: VecDeque<Fate>,
    taken: Vec<Accepted>,
}

impl State {
    fn apply(&mut self, writes: &[Write]) -> Commit {
        let as_expected = |write: &Write| self.rows.get(&write.key).map(|row| row.version) == write.expected;
        if !writes.iter().all(as_expected) {
            return Commit::Conflict;
        }
        self.before = self.rows.clone();
        for write in writes {
            self.writes += 1;
            let row = Row { version: self.writes, value: write.value.clone() };
            self.rows.insert(write.key.clone(), Arc::new(row));
            if write.key == "config/current" {
                self.taken.push(serde_json::from_value(write.value.clone()).expect("the row is an accepted version"));
            }
        }
        Commit::Done
    }

    fn apply_late(&mut self) {
        for writes in std::mem::take(&mut self.late) {
            self.apply(&writes);
        }
    }

    fn read(&mut self, keys: &[String]) -> Result<Vec<Option<Row>>, Unavailable> {
        let fate = self.fates.pop_front().unwrap_or(Fate::Done);
        let (first, others) = match fate {
            Fate::Refused | Fate::LostRequest | Fate::LostReply => return Err(Unavailable),
            Fate::Stale => (&self.before, &self.before),
            Fate::Torn => (&self.rows, &self.before),
            Fate::Done | Fate::Late => (&self.rows, &self.rows),
        };
        let row = |(index, key)| if index == 0 { first.get(key) } else { others.get(key) };
        Ok(keys.iter().enumerate().map(row).map(|row| row.map(|row| Row::clone(row))).collect())
    }

    fn commit(&mut self, writes: Vec<Write>) -> Commit {
        match self.fates.pop_front().unwrap_or(Fate::Done) {
            Fate::Done | Fate::Stale | Fate::Torn => self.apply(&writes),
            Fate::Refused => Commit::Unavailable,
            Fate::LostRequest => Commit::Unknown,
            Fate::LostReply => {
                self.apply(&writes);
                Commit::Unknown
            }
            Fate::Late => {
                self.late.push(writes);
                Commit::Unknown
            }
        }
    }
}

/// Shared table.
#[derive(Clone, Debug, Default)]
pub struct Table {
    state: Arc<Mutex<State>>,
}

impl Table {
    /// Makes an empty table with the fates of the calls to come, in their order.
    pub fn new(fates: impl IntoIterator<Item = Fate>) -> Self {
        let table = Self::default();
        table.plan(fates);
        table
    }

    /// Replaces the fates of the calls to come.
    pub fn plan(&self, fates: impl IntoIterator<Item = Fate>) {
        self.locked(|state| state.fates = fates.into_iter().collect());
    }

    /// Carries out the writes that are still late.
    pub fn settle(&self) {
        self.locked(State::apply_late);
    }

    /// Versions in the order in which they took effect.
    pub fn taken(&self) -> Vec<Accepted> {
        self.locked(|state| state.taken.clone())
    }

    /// Loses the last write, as a fail-over without it would.
    pub fn fall_back(&self) {
        self.locked(|state| state.rows = state.before.clone());
    }

    /// Changes the documents of every row.
    pub fn damage(&self) {
        self.locked(|state| {
            for row in state.rows.values_mut() {
                Arc::make_mut(row).value["documents"]["base"]["damaged"] = true.into();
            }
        });
    }

    /// Access for the code under test; each call lets other tasks run first.
    pub fn store(&self) -> Store {
        let (reader, writer) = (self.clone(), self.clone());
        Store::new(
            move |keys| {
                let table = reader.clone();
                async move {
                    task::yield_now().await;
                    table.locked(|state| {
                        let rows = state.read(&keys);
                        state.apply_late();
                        rows
                    })
                }
            },
            move |writes| {
                let table = writer.clone();
                async move {
                    task::yield_now().await;
                    table.locked(|state| state.commit(writes))
                }
            },
        )
    }

    fn locked<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self.state.lock().expect("no panic under the lock"))
    }
}
