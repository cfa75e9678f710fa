//! Interning of the names of task kinds and services.

use crate::collections::Map;
use crate::id::Name;

/// Interned name of a kind or service, valid within one process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KindId(pub u32);

/// Interned names. Identifiers are never reused and never sent to other processes.
#[derive(Debug, Default)]
pub struct Kinds {
    ids: Map<Name, KindId>,
    names: Vec<Name>,
}

impl Kinds {
    /// Returns the identifier of a name, interning the name if it is new.
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

    /// Returns the name of an identifier returned by [`Kinds::id`].
    #[must_use]
    pub fn name(&self, id: KindId) -> Option<&Name> {
        self.names.get(id.0 as usize)
    }
}
