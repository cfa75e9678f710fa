//! Small numbers in place of the names of task kinds and services.

use crate::collections::Map;
use crate::id::Name;

/// Number of a kind within one process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KindId(pub u32);

/// Names of kinds and their numbers. Numbers are never reused and never travel between processes.
#[derive(Debug, Default)]
pub struct Kinds {
    ids: Map<Name, KindId>,
    names: Vec<Name>,
}

impl Kinds {
    /// Gives the number of a name, a new one if it has none.
    ///
    /// # Panics
    ///
    /// Panics after `u32::MAX` names.
    pub fn id(&mut self, name: &Name) -> KindId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = KindId(u32::try_from(self.names.len()).expect("fewer than u32::MAX kinds"));
        self.ids.insert(Name::clone(name), id);
        self.names.push(Name::clone(name));
        id
    }

    /// Name of a number given by [`Kinds::id`].
    #[must_use]
    pub fn name(&self, id: KindId) -> Option<&Name> {
        self.names.get(id.0 as usize)
    }
}
