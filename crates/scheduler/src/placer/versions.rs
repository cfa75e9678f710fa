//! Versions of the cell's processes, which differ during an upgrade.

use std::collections::BTreeMap;
use std::sync::Arc;

use chervilledge_policy::id::Name;

use super::State;

/// Stands for a version before 0.2.0, which doesn't tell it.
const UNTOLD: &str = "before 0.2.0";

/// Number of processes of each version.
pub(super) type Versions = BTreeMap<Name, usize>;

impl State {
    /// Number of known entries and linked agents of each version.
    pub(super) fn versions(&self) -> Versions {
        let roster = self.context.roster.borrow();
        let entries = roster.iter().flat_map(|roster| roster.entries.keys().map(|name| roster.versions.get(name)));
        let agents = self.agent_versions.values().map(Option::as_ref);
        let mut versions = Versions::new();
        for version in entries.chain(agents) {
            *versions.entry(version.map_or_else(|| Name::from(UNTOLD), Arc::clone)).or_default() += 1;
        }
        versions
    }

    /// Logs the versions when one appears or disappears.
    pub(super) fn log_versions(&mut self) {
        let versions = self.versions();
        if versions.keys().eq(self.logged_versions.keys()) {
            return;
        }
        log::info!(event = "versions", term = self.context.term, is_mixed = versions.len() > 1,
            processes:? = versions; "");
        self.logged_versions = versions;
    }
}
