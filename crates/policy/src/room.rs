//! Index of workers by the size of their free resources.
//!
//! Each resource is divided into classes that double in size. A worker lies in the cell of its three classes, and the
//! cells at or above the classes of a task hold every worker that fits it.

use crate::capacity::Resources;
use crate::collections::Map;
use crate::placement::WorkerId;

/// Classes of free processors, of 250 millicores and its doubles.
const PROCESSOR_CLASSES: usize = 11;
/// Size of the first class of processors.
const PROCESSOR_UNIT_MILLICORES: u64 = 250;
/// Classes of free memory, of 256 MiB and its doubles.
const MEMORY_CLASSES: usize = 13;
/// Size of the first class of memory.
const MEMORY_UNIT_BYTES: u64 = 256 << 20;
/// Classes of free accelerators, of one and its doubles.
const ACCELERATOR_CLASSES: usize = 5;

const CELLS: usize = PROCESSOR_CLASSES * MEMORY_CLASSES * ACCELERATOR_CLASSES;

/// Workers by their free resources.
#[derive(Debug)]
pub(crate) struct Rooms {
    cells: Vec<Vec<WorkerId>>,
    /// Cell of each worker and its position there. Consistent with `cells`.
    places: Map<WorkerId, (usize, usize)>,
}

impl Default for Rooms {
    fn default() -> Self {
        Self { cells: vec![Vec::new(); CELLS], places: Map::default() }
    }
}

impl Rooms {
    /// Puts a worker into the cell of its free resources.
    pub(crate) fn set(&mut self, id: WorkerId, free: &Resources) {
        let cell = cell_of(classes(free));
        if self.places.get(&id).is_some_and(|(old, _)| *old == cell) {
            return;
        }
        self.remove(id);
        self.places.insert(id, (cell, self.cells[cell].len()));
        self.cells[cell].push(id);
    }

    /// Removes a worker.
    pub(crate) fn remove(&mut self, id: WorkerId) {
        let Some((cell, position)) = self.places.remove(&id) else { return };
        self.cells[cell].swap_remove(position);
        if let Some(moved) = self.cells[cell].get(position) {
            self.places.insert(*moved, (cell, position));
        }
    }

    /// Draws `N` workers at random, with repetition, from the cells that may fit.
    ///
    /// `below` gives a random number below its argument.
    pub(crate) fn draw<const N: usize>(
        &self,
        needed: &Resources,
        mut below: impl FnMut(usize) -> usize,
    ) -> [Option<WorkerId>; N] {
        let total: usize = cells_from(needed).map(|cell| self.cells[cell].len()).sum();
        let mut drawn = [None; N];
        if total == 0 {
            return drawn;
        }
        let mut ranks: [usize; N] = std::array::from_fn(|_| below(total));
        ranks.sort_unstable();
        let mut start = 0;
        let mut next = 0;
        for cell in cells_from(needed).map(|cell| &self.cells[cell]).filter(|cell| !cell.is_empty()) {
            while next < N && ranks[next] < start + cell.len() {
                drawn[next] = Some(cell[ranks[next] - start]);
                next += 1;
            }
            start += cell.len();
        }
        drawn
    }

    /// Every worker in the cells that may fit.
    pub(crate) fn candidates(&self, needed: &Resources) -> impl Iterator<Item = WorkerId> + '_ {
        cells_from(needed).flat_map(|cell| self.cells[cell].iter().copied())
    }
}

fn cells_from(needed: &Resources) -> impl Iterator<Item = usize> + use<> {
    let [processors, memory, accelerators] = classes(needed);
    (accelerators..ACCELERATOR_CLASSES).flat_map(move |accelerators| {
        (memory..MEMORY_CLASSES).flat_map(move |memory| {
            (processors..PROCESSOR_CLASSES).map(move |processors| cell_of([processors, memory, accelerators]))
        })
    })
}

const fn cell_of(classes: [usize; 3]) -> usize {
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

/// Number of binary digits of `units`, at most the last class.
fn class(units: u64, classes: usize) -> usize {
    ((u64::BITS - units.leading_zeros()) as usize).min(classes - 1)
}
