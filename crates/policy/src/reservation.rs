//! An agent's reservations of its worker's resources.
//!
//! The agent alone decides what its worker holds. Entries propose tasks; the agent reserves resources before it starts
//! a task, and releases them once the worker has confirmed that nothing of the task executes or remains in memory.
//! After a restart the agent admits nothing until it has taken stock, that is, loaded the inventory of what the worker
//! runs.

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
    /// Epoch for which they are held.
    pub epoch: Epoch,
    /// Resources held.
    pub resources: Resources,
}

/// Reason why a reservation was refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The agent hasn't loaded the worker's inventory yet.
    StockNotTaken,
    /// The worker's free resources don't cover the reservation.
    NoRoom {
        /// Free resources.
        free: Resources,
    },
    /// The agent knows a newer epoch, or this one was fenced.
    StaleEpoch {
        /// Oldest epoch that can still start.
        current: Epoch,
    },
    /// An older epoch of the task still holds resources on this worker, which must be released first.
    OlderHeld {
        /// Held epoch.
        held: Epoch,
    },
    /// The same task and epoch is held with different resources.
    Mismatch,
    /// Room is already earmarked for another task.
    Earmarked,
    /// The claim names another boot of the agent, which may already have run the epoch.
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

/// Result of a successful reservation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The resources are newly reserved; the task may be started.
    Reserved,
    /// The same task and epoch was already reserved; it must not be started again.
    Duplicate,
}

/// State of the newest fenced epoch.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fenced {
    /// The epoch never started and never will; its claim may be declined.
    NeverStarted,
    /// This epoch, which may be older than the fenced one, is still held and must be stopped first.
    Held(Epoch),
    /// The epoch ended on this worker; the agent reports the result until it is acknowledged.
    Ended,
    /// The claim names another boot of the agent, so its lease has to end first.
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
    /// Newest epoch that was held and released.
    ended: Option<Epoch>,
    /// Whether the end of that epoch is recorded in the task's row.
    is_acknowledged: bool,
}

/// Resources kept free for a task until enough are available.
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
    /// Sum of `held`. Covered by `capacity` once the inventory is loaded.
    reserved: Resources,
    held: Map<TaskId, Held>,
    /// Fenced epochs. Kept until the end is acknowledged and no delayed start can arrive.
    fences: Map<TaskId, Fence>,
    /// Covered by `capacity`, but not necessarily by the free resources.
    earmark: Option<Earmark>,
    stock_taken: bool,
}

impl Reservations {
    /// Creates the reservations of a worker whose inventory isn't loaded yet; `agent` is the boot of the agent.
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

    /// Replaces all reservations by the inventory of what the worker reports to run.
    ///
    /// To be called only while no start command is in transit to the worker. The worker refuses commands of an earlier
    /// agent boot that arrive after the inventory query.
    ///
    /// # Errors
    ///
    /// Returns the tasks that exceed the capacity; the caller must stop them and take stock again. Until then nothing
    /// is admitted.
    pub fn take_stock(&mut self, running: Vec<Reservation>) -> Result<(), Vec<TaskId>> {
        self.held.clear();
        self.reserved = Resources::default();
        let mut excess = Vec::new();
        for reservation in running {
            if !self.try_hold(&reservation) {
                excess.push(reservation.task);
            }
        }
        self.stock_taken = excess.is_empty();
        if self.stock_taken { Ok(()) } else { Err(excess) }
    }

    /// Reserves resources before a task starts; `claimed_for` is the agent boot that the claim names.
    ///
    /// # Errors
    ///
    /// Refuses a reservation before stock is taken, over the capacity, for an epoch that isn't the newest known, and,
    /// unless the epoch is held, for a claim that names another boot of the agent. A refusal for missing stock or room
    /// fences the epoch, so that its claim may be declined even if the proposal arrives again.
    pub fn reserve(
        &mut self,
        requested: &Reservation,
        claimed_for: BootId,
        now: Duration,
    ) -> Result<Admission, Refusal> {
        let result = self.try_reserve(requested, claimed_for);
        if matches!(result, Err(Refusal::StockNotTaken | Refusal::NoRoom { .. })) {
            self.set_fence(&requested.task, requested.epoch.next(), now);
        }
        result
    }

    /// Earmarks room for a task that would otherwise starve because smaller tasks take all freed resources.
    ///
    /// Until the task is reserved or the earmark expires, other tasks are admitted only if they fit in addition to it
    /// and the current reservations.
    ///
    /// # Errors
    ///
    /// Refuses an earmark while another task has one, or if it exceeds the worker's capacity.
    pub fn earmark(&mut self, requested: &Reservation, now: Duration, until: Duration) -> Result<(), Refusal> {
        self.expire_earmark(now);
        if !self.stock_taken {
            return Err(Refusal::StockNotTaken);
        }
        if self.earmark.as_ref().is_some_and(|earmark| earmark.task != requested.task) {
            return Err(Refusal::Earmarked);
        }
        if !self.capacity.covers(&requested.resources) {
            return Err(Refusal::NoRoom { free: self.free() });
        }
        self.earmark = Some(Earmark { task: requested.task.clone(), resources: requested.resources, until });
        Ok(())
    }

    /// Removes the earmark if it has expired.
    pub fn expire_earmark(&mut self, now: Duration) {
        self.earmark.take_if(|earmark| earmark.until <= now);
    }

    /// Releases a task's resources once the worker has confirmed that the task is gone; the epoch never starts again.
    ///
    /// Returns whether the resources were held. The agent reports the end until [`Self::acknowledge`] is called.
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

    /// Records that the end of an epoch is stored in the task's row.
    pub fn acknowledge(&mut self, task: &TaskId, epoch: Epoch, now: Duration) {
        if let Some(fence) = self.fences.get_mut(task).filter(|fence| fence.ended == Some(epoch)) {
            fence.is_acknowledged = true;
            fence.set_at = now;
        }
    }

    /// Fences an epoch of the task and every older one: they can't start any more. `claimed_for` is as in
    /// [`Self::reserve`].
    ///
    /// An entry requests this if a start wasn't answered. If the epoch never started, the entry may end the claim
    /// without waiting for the lease.
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

    /// Removes fences set before `oldest`, except unacknowledged ends. No start sent before that time can still be
    /// executed.
    pub fn prune_fences(&mut self, oldest: Duration) {
        let needs_report = |fence: &Fence| fence.ended.is_some() && !fence.is_acknowledged;
        self.fences.retain(|_, fence| fence.set_at >= oldest || needs_report(fence));
    }

    /// Returns the resources that any task can still reserve; none before stock is taken.
    #[must_use]
    pub fn free(&self) -> Resources {
        if !self.stock_taken {
            return Resources::default();
        }
        let earmarked = self.earmark.as_ref().map(|earmark| earmark.resources).unwrap_or_default();
        self.capacity.saturating_sub(&self.reserved).saturating_sub(&earmarked)
    }

    /// Returns the reserved resources.
    #[must_use]
    pub const fn reserved(&self) -> Resources {
        self.reserved
    }

    /// Returns the worker's capacity.
    #[must_use]
    pub const fn capacity(&self) -> Resources {
        self.capacity
    }

    /// Returns whether stock has been taken since the agent started.
    #[must_use]
    pub const fn is_stock_taken(&self) -> bool {
        self.stock_taken
    }

    /// Returns the epoch held for a task.
    #[must_use]
    pub fn epoch_of(&self, task: &TaskId) -> Option<Epoch> {
        self.held.get(task).map(|held| held.epoch)
    }

    /// Returns all reservations, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = Reservation> + '_ {
        self.held.iter().map(|(task, held)| Reservation {
            task: task.clone(),
            epoch: held.epoch,
            resources: held.resources,
        })
    }

    fn try_reserve(&mut self, requested: &Reservation, claimed_for: BootId) -> Result<Admission, Refusal> {
        if let Some(fence) = self.fences.get(&requested.task).filter(|fence| requested.epoch < fence.current) {
            return Err(Refusal::StaleEpoch { current: fence.current });
        }
        if let Some(held) = self.held.get(&requested.task) {
            return check_held(held, requested);
        }
        if claimed_for != self.agent {
            return Err(Refusal::OtherStart);
        }
        if !self.stock_taken {
            return Err(Refusal::StockNotTaken);
        }
        if !self.fits_beside_earmark(requested) || !self.try_hold(requested) {
            return Err(Refusal::NoRoom { free: self.free() });
        }
        self.earmark.take_if(|earmark| earmark.task == requested.task);
        Ok(Admission::Reserved)
    }

    fn set_fence(&mut self, task: &TaskId, current: Epoch, now: Duration) -> &mut Fence {
        let new = Fence { current, set_at: now, ended: None, is_acknowledged: false };
        let fence = self.fences.entry(task.clone()).or_insert(new);
        fence.current = fence.current.max(current);
        fence.set_at = now;
        fence
    }

    fn fits_beside_earmark(&self, requested: &Reservation) -> bool {
        let is_unaffected = self.earmark.as_ref().is_none_or(|earmark| earmark.task == requested.task);
        is_unaffected || self.free().covers(&requested.resources)
    }

    /// Adds a reservation if the capacity covers it.
    fn try_hold(&mut self, requested: &Reservation) -> bool {
        if self.held.contains_key(&requested.task) {
            return false;
        }
        let Some(sum) = self.reserved.checked_add(&requested.resources).filter(|sum| self.capacity.covers(sum)) else {
            return false;
        };
        self.reserved = sum;
        self.held.insert(requested.task.clone(), Held { epoch: requested.epoch, resources: requested.resources });
        true
    }
}

fn check_held(held: &Held, requested: &Reservation) -> Result<Admission, Refusal> {
    if requested.epoch < held.epoch {
        return Err(Refusal::StaleEpoch { current: held.epoch });
    }
    if requested.epoch > held.epoch {
        return Err(Refusal::OlderHeld { held: held.epoch });
    }
    if requested.resources == held.resources { Ok(Admission::Duplicate) } else { Err(Refusal::Mismatch) }
}
