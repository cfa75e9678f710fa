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
    /// Returns whether `self` is at least `needed` in every resource.
    #[must_use]
    pub fn covers(&self, needed: &Self) -> bool {
        self.processor_millicores >= needed.processor_millicores
            && self.memory_bytes >= needed.memory_bytes
            && self.accelerators >= needed.accelerators
    }

    /// Returns the sum, or `None` if a resource overflows.
    #[must_use]
    pub fn checked_add(&self, other: &Self) -> Option<Self> {
        Some(Self {
            processor_millicores: self.processor_millicores.checked_add(other.processor_millicores)?,
            memory_bytes: self.memory_bytes.checked_add(other.memory_bytes)?,
            accelerators: self.accelerators.checked_add(other.accelerators)?,
        })
    }

    /// Returns the difference, saturating at zero in each resource.
    #[must_use]
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            processor_millicores: self.processor_millicores.saturating_sub(other.processor_millicores),
            memory_bytes: self.memory_bytes.saturating_sub(other.memory_bytes),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the difference, or `None` if `self` doesn't cover `other`.
    #[must_use]
    pub fn checked_sub(&self, other: &Self) -> Option<Self> {
        Some(Self {
            processor_millicores: self.processor_millicores.checked_sub(other.processor_millicores)?,
            memory_bytes: self.memory_bytes.checked_sub(other.memory_bytes)?,
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
        })
    }
}

/// Capacity of one worker.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    /// Number of requests that the backend server runs concurrently.
    pub slots: u32,
    /// Number of connections that the backend server accepts.
    pub connections: u32,
    /// Divisible resources of the worker.
    pub resources: Resources,
}
