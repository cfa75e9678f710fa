//! Amounts of a worker's resources.

use serde::{Deserialize, Serialize};

/// Amount of each divisible resource of a worker.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub processor_millicores: u64,
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// Whole accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Tells whether `self` covers `needed` in every resource.
    #[must_use]
    pub fn covers(&self, needed: &Self) -> bool {
        self.processor_millicores >= needed.processor_millicores
            && self.memory_bytes >= needed.memory_bytes
            && self.accelerators >= needed.accelerators
    }

    /// Adds two amounts, or tells that one of them overflows.
    #[must_use]
    pub fn checked_add(&self, other: &Self) -> Option<Self> {
        Some(Self {
            processor_millicores: self.processor_millicores.checked_add(other.processor_millicores)?,
            memory_bytes: self.memory_bytes.checked_add(other.memory_bytes)?,
            accelerators: self.accelerators.checked_add(other.accelerators)?,
        })
    }

    /// Takes away as much of each resource as there is.
    #[must_use]
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            processor_millicores: self.processor_millicores.saturating_sub(other.processor_millicores),
            memory_bytes: self.memory_bytes.saturating_sub(other.memory_bytes),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Takes an amount away, or tells that `self` doesn't cover it.
    #[must_use]
    pub fn checked_sub(&self, other: &Self) -> Option<Self> {
        Some(Self {
            processor_millicores: self.processor_millicores.checked_sub(other.processor_millicores)?,
            memory_bytes: self.memory_bytes.checked_sub(other.memory_bytes)?,
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
        })
    }
}

/// What one worker can hold.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    /// Requests that the backend server runs at the same time.
    pub slots: u32,
    /// Connections that the backend server accepts.
    pub connections: u32,
    /// Divisible resources of the worker.
    pub resources: Resources,
}
