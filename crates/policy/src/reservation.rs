//! An agent's account of its worker's resources.
//!
//! The agent is the only authority on what its worker holds. Entries propose; the agent reserves before it starts a
//! task, and releases after the worker has confirmed that nothing of the task executes or stays in memory. After a
//! restart it admits nothing until it has taken stock of what the worker runs.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::capacity::Resources;
use crate::code::Code;
use crate::collections::Map;
use crate::id::BootId;
use crate::task::{Epoch, TaskId};

/// Resources held for one task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reservation {
    /// Task that holds them.
    pub task: TaskId,
    /// Epoch under which they are held.
    pub epoch: Epoch,
    /// Resources held.
    pub resources: Resources,
}

/// Reason why a reservation was refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The agent hasn't taken stock of the worker yet.
    StockNotTaken,
    /// The worker's free resources don't cover it.
    NoRoom {
        /// What is free now.
        free: Resources,
    },
    /// The agent knows a newer epoch, or was told that this one never starts.
    StaleEpoch {
        /// Oldest epoch that can still start.
        current: Epoch,
    },
    /// An older epoch of the task is still held on this worker and must be released first.
    OlderHeld {
        /// Epoch that is held.
        held: Epoch,
    },
    /// The same task and epoch is held with other resources.
    Mismatch,
    /// Room is already kept for another task.
    Earmarked,
    /// The claim was made for another start of the agent, which may have run the epoch to its end.
    OtherStart,
}

impl Refusal {
    /// Result code of the refusal.
    #[must_use]
    pub const fn code(self) -> Code {
        match self {
            Self::StockNotTaken => Code::StockNotTaken,
            Self::NoRoom { .. } | Self::OlderHeld { .. } | Self::Earmarked => Code::ResourcesExhausted,
            Self::StaleEpoch { .. } => Code::StaleEpoch,
            Self::Mismatch => Code::WrongTaskState,
            Self::OtherStart => Code::TaskOutcomeUnknown,
        }
    }
}

/// Result of a reservation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The resources are reserved by this call; the task may be started.
    Reserved,
    /// The same task and epoch was reserved before; it must not be started again.
    Duplicate,
}

/// What a fence found of the newest epoch that it refuses.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fenced {
    /// It never started and never will; its claim may be declined.
    NeverStarted,
    /// It, or an older one, is still held and must be stopped first.
    Held(Epoch),
    /// It ended here; the agent reports how until that is acknowledged.
    Ended,
    /// The claim was made for another start of the agent; its lease has to end.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    epoch: Epoch,
    resources: Resources,
}

#[derive(Clone, Copy, Debug)]
struct Fence {
    /// Oldest epoch that can still start.
    current: Epoch,
    set_at: Duration,
    /// Newest epoch that was held here and released.
    ended: Option<Epoch>,
    /// Whether the end of that epoch is known to be in the task's row.
    is_acknowledged: bool,
}

/// Room that is kept for a task until enough is free for it.
#[derive(Clone, Debug)]
struct Earmark {
    task: TaskId,
    resources: Resources,
    until: Duration,
}

/// Reservations on one worker.
#[derive(Clone, Debug)]
pub struct Reservations {
    agent: BootId,
    capacity: Resources,
    /// Sum of `held`. Covered by `capacity` once stock has been taken.
    reserved: Resources,
    held: Map<TaskId, Held>,
    /// Epochs that have ended here. Kept until the end is acknowledged and no delayed start can arrive.
    fences: Map<TaskId, Fence>,
    /// Covered by `capacity`, but not always by what is free.
    earmark: Option<Earmark>,
    stock_taken: bool,
}

impl Reservations {
    /// Opens the account of a worker of which nothing is known but its capacity, for this start of the agent.
    #[must_use]
    pub fn open(capacity: Resources, agent: BootId) -> Self {
        Self {
            agent,
            capacity,
            reserved: Resources::default(),
            held: Map::default(),
            fences: Map::default(),
            earmark: None,
            stock_taken: false,
        }
    }

    /// Takes over what the worker says it runs, in place of all that was held before.
    ///
    /// Only while no start is on its way to the worker; the worker refuses what an earlier start of the agent sent
    /// and that arrives after this question.
    ///
    /// # Errors
    ///
    /// Gives the tasks that exceed the capacity; the caller stops them and takes stock again. Until then nothing is
    /// admitted.
    pub fn take_stock(&mut self, running: Vec<Reservation>) -> Result<(), Vec<TaskId>> {
        self.held.clear();
        self.reserved = Resources::default();
        let mut excess = Vec::new();
        for reservation in running {
            if !self.hold(&reservation) {
                excess.push(reservation.task);
            }
        }
        self.stock_taken = excess.is_empty();
        if self.stock_taken { Ok(()) } else { Err(excess) }
    }

    /// Reserves resources before a task starts; `claimed_for` is the start of the agent that the claim names.
    ///
    /// # Errors
    ///
    /// Refuses before stock is taken, over capacity, for an epoch that isn't the newest known, and, unless the epoch
    /// is held, a claim made for another start of the agent. After a refusal for lack of stock or room the epoch never
    /// starts, so that its claim may be declined even if the proposal arrives once more.
    pub fn reserve(&mut self, wanted: &Reservation, claimed_for: BootId, now: Duration) -> Result<Admission, Refusal> {
        let result = self.try_reserve(wanted, claimed_for);
        if matches!(result, Err(Refusal::StockNotTaken | Refusal::NoRoom { .. })) {
            self.set_fence(&wanted.task, wanted.epoch.next(), now);
        }
        result
    }

    /// Keeps room for one task that finds none because smaller tasks take all that becomes free.
    ///
    /// Until the task is reserved or the time is over, others are admitted only if they fit beside it and what is
    /// held now.
    ///
    /// # Errors
    ///
    /// Refuses while room is kept for another task, and over the capacity of the whole worker.
    pub fn earmark(&mut self, wanted: &Reservation, now: Duration, until: Duration) -> Result<(), Refusal> {
        self.expire_earmark(now);
        if !self.stock_taken {
            return Err(Refusal::StockNotTaken);
        }
        if self.earmark.as_ref().is_some_and(|earmark| earmark.task != wanted.task) {
            return Err(Refusal::Earmarked);
        }
        if !self.capacity.covers(&wanted.resources) {
            return Err(Refusal::NoRoom { free: self.free() });
        }
        self.earmark = Some(Earmark { task: wanted.task.clone(), resources: wanted.resources, until });
        Ok(())
    }

    /// Ends an earmark whose time is over.
    pub fn expire_earmark(&mut self, now: Duration) {
        self.earmark.take_if(|earmark| earmark.until <= now);
    }

    /// Releases a task's resources, after the worker has confirmed that it is gone; the epoch never starts again.
    ///
    /// Returns whether the resources were held. The agent reports the end until it calls [`Self::acknowledge`].
    pub fn release(&mut self, task: &TaskId, epoch: Epoch, now: Duration) -> bool {
        let Some(held) = self.held.get(task).copied().filter(|held| held.epoch == epoch) else {
            return false;
        };
        self.held.remove(task);
        self.reserved = self.reserved.checked_sub(&held.resources).unwrap_or_default();
        let fence = self.set_fence(task, epoch.next(), now);
        fence.ended = Some(epoch);
        fence.is_acknowledged = false;
        true
    }

    /// Notes that the end of an epoch is in the task's row.
    pub fn acknowledge(&mut self, task: &TaskId, epoch: Epoch, now: Duration) {
        if let Some(fence) = self.fences.get_mut(task).filter(|fence| fence.ended == Some(epoch)) {
            fence.is_acknowledged = true;
            fence.set_at = now;
        }
    }

    /// Refuses an epoch of the task, and every older one, from now on; `claimed_for` is as in [`Self::reserve`].
    ///
    /// An entry that has had no answer to a start asks for this, and may then end the claim without waiting for the
    /// lease if the epoch never started.
    pub fn fence(&mut self, task: &TaskId, epoch: Epoch, claimed_for: BootId, now: Duration) -> Fenced {
        let ended = self.set_fence(task, epoch.next(), now).ended;
        if let Some(held) = self.held.get(task).filter(|held| held.epoch <= epoch) {
            return Fenced::Held(held.epoch);
        }
        if ended.is_some_and(|ended| ended >= epoch) {
            return Fenced::Ended;
        }
        if claimed_for == self.agent { Fenced::NeverStarted } else { Fenced::Unknown }
    }

    /// Forgets fences set before `oldest`, except ends that aren't acknowledged; no start from before that time can
    /// still be obeyed.
    pub fn prune_fences(&mut self, oldest: Duration) {
        let is_reported = |fence: &Fence| fence.ended.is_some() && !fence.is_acknowledged;
        self.fences.retain(|_, fence| fence.set_at >= oldest || is_reported(fence));
    }

    /// Resources that any task can still reserve; none before stock is taken.
    #[must_use]
    pub fn free(&self) -> Resources {
        if !self.stock_taken {
            return Resources::default();
        }
        let kept = self.earmark.as_ref().map(|earmark| earmark.resources).unwrap_or_default();
        self.capacity.saturating_sub(&self.reserved).saturating_sub(&kept)
    }

    /// Resources reserved now.
    #[must_use]
    pub const fn reserved(&self) -> Resources {
        self.reserved
    }

    /// What the worker can hold.
    #[must_use]
    pub const fn capacity(&self) -> Resources {
        self.capacity
    }

    /// Tells whether stock has been taken since the agent started.
    #[must_use]
    pub const fn is_stock_taken(&self) -> bool {
        self.stock_taken
    }

    /// Epoch held for a task.
    #[must_use]
    pub fn epoch_of(&self, task: &TaskId) -> Option<Epoch> {
        self.held.get(task).map(|held| held.epoch)
    }

    /// Everything held now, in no order.
    pub fn iter(&self) -> impl Iterator<Item = Reservation> + '_ {
        self.held.iter().map(|(task, held)| Reservation {
            task: task.clone(),
            epoch: held.epoch,
            resources: held.resources,
        })
    }

    fn try_reserve(&mut self, wanted: &Reservation, claimed_for: BootId) -> Result<Admission, Refusal> {
        if let Some(fence) = self.fences.get(&wanted.task).filter(|fence| wanted.epoch < fence.current) {
            return Err(Refusal::StaleEpoch { current: fence.current });
        }
        if let Some(held) = self.held.get(&wanted.task) {
            return compare(held, wanted);
        }
        if claimed_for != self.agent {
            return Err(Refusal::OtherStart);
        }
        if !self.stock_taken {
            return Err(Refusal::StockNotTaken);
        }
        if !self.fits_beside_earmark(wanted) || !self.hold(wanted) {
            return Err(Refusal::NoRoom { free: self.free() });
        }
        self.earmark.take_if(|earmark| earmark.task == wanted.task);
        Ok(Admission::Reserved)
    }

    fn set_fence(&mut self, task: &TaskId, current: Epoch, now: Duration) -> &mut Fence {
        let new = Fence { current, set_at: now, ended: None, is_acknowledged: false };
        let fence = self.fences.entry(task.clone()).or_insert(new);
        fence.current = fence.current.max(current);
        fence.set_at = now;
        fence
    }

    fn fits_beside_earmark(&self, wanted: &Reservation) -> bool {
        let is_own = self.earmark.as_ref().is_none_or(|earmark| earmark.task == wanted.task);
        is_own || self.free().covers(&wanted.resources)
    }

    /// Adds to the account if the capacity covers it.
    fn hold(&mut self, wanted: &Reservation) -> bool {
        if self.held.contains_key(&wanted.task) {
            return false;
        }
        let Some(sum) = self.reserved.checked_add(&wanted.resources).filter(|sum| self.capacity.covers(sum)) else {
            return false;
        };
        self.reserved = sum;
        self.held.insert(wanted.task.clone(), Held { epoch: wanted.epoch, resources: wanted.resources });
        true
    }
}

fn compare(held: &Held, wanted: &Reservation) -> Result<Admission, Refusal> {
    if wanted.epoch < held.epoch {
        return Err(Refusal::StaleEpoch { current: held.epoch });
    }
    if wanted.epoch > held.epoch {
        return Err(Refusal::OlderHeld { held: held.epoch });
    }
    if wanted.resources == held.resources { Ok(Admission::Duplicate) } else { Err(Refusal::Mismatch) }
}
