//! Failure domains in which nothing may start because the operator evacuates them.
//!
//! Answers requests and removals that reach a process late, twice or out of order: each has the revision of the store at
//! which it was written, and an older revision never replaces a newer one.

use std::collections::BTreeMap;
use std::sync::Arc;

use chervilledge_policy::id::Name;

/// What is known of a domain.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Standing {
    /// Revision of the store as of which it holds.
    pub revision: u64,
    /// Nothing may start in the domain.
    pub is_requested: bool,
}

/// Evacuated domains, with the highest known revision of each.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EvacuatedDomains {
    known: BTreeMap<Name, Standing>,
    /// Every row as of this revision is known, so that a domain without one isn't evacuated then.
    whole_at: u64,
}

impl EvacuatedDomains {
    /// Takes note of a request or of its removal; tells whether the domain is evacuated or released by it.
    pub fn note(&mut self, domain: &Name, standing: Standing) -> bool {
        let former = self.standing(domain);
        if standing.revision < former.revision {
            return false;
        }
        self.known.insert(Arc::clone(domain), standing);
        former.is_requested != standing.is_requested
    }

    /// Takes note that every request as of a revision is among those that were noted; `is_named` tells which were.
    ///
    /// Call after those were noted.
    pub fn note_whole(&mut self, revision: u64, is_named: impl Fn(&Name) -> bool) {
        for (domain, standing) in &mut self.known {
            if standing.revision < revision && !is_named(domain) {
                *standing = Standing { revision, is_requested: false };
            }
        }
        self.whole_at = self.whole_at.max(revision);
    }

    /// Takes in what another set knows; gives the domains that are evacuated or released by it.
    pub fn merge(&mut self, other: &Self) -> Vec<Name> {
        let mut changed = Vec::new();
        for (domain, standing) in &other.known {
            if self.note(domain, *standing) {
                changed.push(Arc::clone(domain));
            }
        }
        let named = |domain: &Name| other.known.contains_key(domain);
        let before: Vec<Name> = self.requested().cloned().collect();
        self.note_whole(other.whole_at, named);
        changed.extend(before.into_iter().filter(|domain| !self.is_evacuated(domain)));
        changed
    }

    /// What is known of a domain.
    #[must_use]
    pub fn standing(&self, domain: &Name) -> Standing {
        let unnamed = Standing { revision: self.whole_at, is_requested: false };
        self.known.get(domain).copied().unwrap_or(unnamed)
    }

    /// Whether nothing may start in a domain.
    #[must_use]
    pub fn is_evacuated(&self, domain: &Name) -> bool {
        self.known.get(domain).is_some_and(|standing| standing.is_requested)
    }

    /// Whether a domain was evacuated and isn't any more, as far as is known.
    #[must_use]
    pub fn is_released(&self, domain: &Name) -> bool {
        self.known.get(domain).is_some_and(|standing| !standing.is_requested)
    }

    /// Domains in which nothing may start.
    pub fn requested(&self) -> impl Iterator<Item = &Name> {
        self.known.iter().filter(|(_, standing)| standing.is_requested).map(|(domain, _)| domain)
    }
}
