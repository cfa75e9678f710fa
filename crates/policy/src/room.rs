//! Index of workers by the size of their free resources.
//!
//! Each resource is divided into size classes, each twice the size of the one below. A worker is stored in the bucket
//! of its three classes; the buckets at or above the classes of a task contain every worker that fits it.

use crate::capacity::Resources;
use crate::collections::Map;
use crate::placement::WorkerId;

/// Number of size classes of free processors, which double from 250 millicores.
const PROCESSOR_CLASSES: usize = 11;
/// Size of the smallest processor class.
const PROCESSOR_UNIT_MILLICORES: u64 = 250;
/// Number of size classes of free memory, which double from 256 MiB.
const MEMORY_CLASSES: usize = 13;
/// Size of the smallest memory class.
const MEMORY_UNIT_BYTES: u64 = 256 << 20;
/// Number of size classes of free accelerators, which double from one.
const ACCELERATOR_CLASSES: usize = 5;

const BUCKETS: usize = PROCESSOR_CLASSES * MEMORY_CLASSES * ACCELERATOR_CLASSES;

/// Workers indexed by their free resources.
#[derive(Debug)]
pub(crate) struct FreeIndex {
    buckets: Vec<Vec<WorkerId>>,
    /// Bucket of each worker and its position in it. Consistent with `buckets`.
    positions: Map<WorkerId, (usize, usize)>,
}

impl Default for FreeIndex {
    fn default() -> Self {
        Self { buckets: vec![Vec::new(); BUCKETS], positions: Map::default() }
    }
}

impl FreeIndex {
    /// Moves a worker to the bucket of its free resources.
    pub(crate) fn set(&mut self, id: WorkerId, free: &Resources) {
        let bucket = bucket_of(classes(free));
        if self.positions.get(&id).is_some_and(|(old, _)| *old == bucket) {
            return;
        }
        self.remove(id);
        self.positions.insert(id, (bucket, self.buckets[bucket].len()));
        self.buckets[bucket].push(id);
    }

    /// Removes a worker.
    pub(crate) fn remove(&mut self, id: WorkerId) {
        let Some((bucket, position)) = self.positions.remove(&id) else { return };
        self.buckets[bucket].swap_remove(position);
        if let Some(moved) = self.buckets[bucket].get(position) {
            self.positions.insert(*moved, (bucket, position));
        }
    }

    /// Samples `N` workers with replacement from the buckets whose workers may fit.
    ///
    /// `random_below` returns a random number below its argument.
    pub(crate) fn sample<const N: usize>(
        &self,
        needed: &Resources,
        mut random_below: impl FnMut(usize) -> usize,
    ) -> [Option<WorkerId>; N] {
        let total: usize = buckets_from(needed).map(|bucket| self.buckets[bucket].len()).sum();
        let mut sample = [None; N];
        if total == 0 {
            return sample;
        }
        let mut ranks: [usize; N] = std::array::from_fn(|_| random_below(total));
        ranks.sort_unstable();
        let mut start = 0;
        let mut next = 0;
        for bucket in buckets_from(needed).map(|bucket| &self.buckets[bucket]).filter(|bucket| !bucket.is_empty()) {
            while next < N && ranks[next] < start + bucket.len() {
                sample[next] = Some(bucket[ranks[next] - start]);
                next += 1;
            }
            start += bucket.len();
        }
        sample
    }

    /// Returns every worker in the buckets that may fit.
    pub(crate) fn candidates(&self, needed: &Resources) -> impl Iterator<Item = WorkerId> + '_ {
        buckets_from(needed).flat_map(|bucket| self.buckets[bucket].iter().copied())
    }
}

fn buckets_from(needed: &Resources) -> impl Iterator<Item = usize> + use<> {
    let [processors, memory, accelerators] = classes(needed);
    (accelerators..ACCELERATOR_CLASSES).flat_map(move |accelerators| {
        (memory..MEMORY_CLASSES).flat_map(move |memory| {
            (processors..PROCESSOR_CLASSES).map(move |processors| bucket_of([processors, memory, accelerators]))
        })
    })
}

const fn bucket_of(classes: [usize; 3]) -> usize {
    let [processors, memory, accelerators] = classes;
    (accelerators * MEMORY_CLASSES + memory) * PROCESSOR_CLASSES + processors
}

fn classes(amount: &Resources) -> [usize; 3] {
    [
        class(amount.processor_millicores / PROCESSOR_UNIT_MILLICORES, PROCESSOR_CLASSES),
        class(amount.memory_bytes / MEMORY_UNIT_BYTES, MEMORY_CLASSES),
        class(u64::from(amount.accelerators), ACCELERATOR_CLASSES),
    ]
}

/// Returns the bit length of `units`, capped at the last class.
fn class(units: u64, classes: usize) -> usize {
    ((u64::BITS - units.leading_zeros()) as usize).min(classes - 1)
}
