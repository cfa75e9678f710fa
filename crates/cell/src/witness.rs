//! Witness of a placer's term.
//!
//! While the store answers nobody, no successor can claim the cell, and the placer should go on. It can't tell that from
//! a store that turns away only itself. So it names other entries in the store as its witnesses, and renews its term with
//! all of them while the store doesn't answer. A successor asks any one of them when it last did so, which ends it: once
//! a witness was asked under a newer term, it renews no older one.
//!
//! Nothing is stored. A witness that restarts doesn't know what it did before: it answers as if it had renewed a term
//! when it started, and renews none until it has read from the store which term is the newest.

use std::time::Duration;

/// What an entry knows as a witness of terms.
#[derive(Clone, Copy, Debug)]
pub struct Witness {
    /// When it last renewed a term, or started.
    renewed: Duration,
    /// Terms before this one aren't renewed any more.
    newest_term: u64,
}

impl Witness {
    /// Creates a witness that starts at `now`.
    #[must_use]
    pub const fn new(now: Duration) -> Self {
        Self { renewed: now, newest_term: 0 }
    }

    /// Renews a term unless a newer one is known; `stored_term` is the newest one in the store, once it has been read.
    pub fn renew(&mut self, term: u64, stored_term: Option<u64>, now: Duration) -> bool {
        let is_current = term >= self.newest_term && stored_term.is_some_and(|stored| term >= stored);
        if is_current {
            self.newest_term = term;
            self.renewed = now;
        }
        is_current
    }

    /// Time since a term before `term` may last have been renewed; from now on none is.
    pub fn end_terms_before(&mut self, term: u64, now: Duration) -> Duration {
        self.newest_term = self.newest_term.max(term);
        now.saturating_sub(self.renewed)
    }
}
