//! Failure domains in which nothing may start because the operator evacuates them.
//!
//! Requests and removals may arrive late, twice or out of order: each has the revision of the store at which it was
//! written, and an older revision never replaces a newer one.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::id::Name;

/// Expected remaining time from which a run that saves checkpoints is moved: below it, the stop, the restore and the
/// wait for capacity cost more than they shorten the evacuation of the domain.
const MOVE_REMAINING_MIN: Duration = Duration::from_secs(10);
/// Time after the removal of a request during which starts on each worker of the domain are spread out.
const RETURN_PERIOD: Duration = Duration::from_secs(5);
/// Upper bound of the time for which a worker may report to be slow.
const SLOW_MAX: Duration = Duration::from_mins(1);
/// Shortest time between two starts on such a worker: a worker of 32 cores is full with tasks of 3 cores after 2 s,
/// and workers that aren't cold are chosen meanwhile.
pub const RETURN_START_GAP: Duration = Duration::from_millis(200);

/// Known state of a domain.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Standing {
    /// Revision of the store as of which the state holds.
    pub revision: u64,
    /// Whether evacuation of the domain is requested; while it is, nothing may start there.
    pub is_requested: bool,
}

/// Evacuated domains, with the highest known revision of each.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EvacuatedDomains {
    known: BTreeMap<Name, Standing>,
    /// Every row as of this revision is known, so that a domain without a row wasn't evacuated then.
    complete_revision: u64,
}

impl EvacuatedDomains {
    /// Records a request or its removal; returns whether that changes the domain's state.
    pub fn note(&mut self, domain: &Name, standing: Standing) -> bool {
        let previous = self.standing(domain);
        if standing.revision < previous.revision {
            return false;
        }
        self.known.insert(Arc::clone(domain), standing);
        previous.is_requested != standing.is_requested
    }

    /// Records that every request as of a revision has been recorded; `is_named` tells for which domains.
    ///
    /// Must be called after those were recorded.
    pub fn note_whole(&mut self, revision: u64, is_named: impl Fn(&Name) -> bool) {
        for (domain, standing) in &mut self.known {
            if standing.revision < revision && !is_named(domain) {
                *standing = Standing { revision, is_requested: false };
            }
        }
        self.complete_revision = self.complete_revision.max(revision);
    }

    /// Merges another set; returns the domains whose state has changed.
    pub fn merge(&mut self, other: &Self) -> Vec<Name> {
        let mut changed = Vec::new();
        for (domain, standing) in &other.known {
            if self.note(domain, *standing) {
                changed.push(Arc::clone(domain));
            }
        }
        let named = |domain: &Name| other.known.contains_key(domain);
        let before: Vec<Name> = self.requested().cloned().collect();
        self.note_whole(other.complete_revision, named);
        changed.extend(before.into_iter().filter(|domain| !self.is_evacuated(domain)));
        changed
    }

    /// Known state of a domain.
    #[must_use]
    pub fn standing(&self, domain: &Name) -> Standing {
        let unnamed = Standing { revision: self.complete_revision, is_requested: false };
        self.known.get(domain).copied().unwrap_or(unnamed)
    }

    /// Whether nothing may start in a domain.
    #[must_use]
    pub fn is_evacuated(&self, domain: &Name) -> bool {
        self.known.get(domain).is_some_and(|standing| standing.is_requested)
    }

    /// Whether a domain is known to have been evacuated and released.
    #[must_use]
    pub fn is_released(&self, domain: &Name) -> bool {
        self.known.get(domain).is_some_and(|standing| !standing.is_requested)
    }

    /// Domains in which nothing may start.
    pub fn requested(&self) -> impl Iterator<Item = &Name> {
        self.known.iter().filter(|(_, standing)| standing.is_requested).map(|(domain, _)| domain)
    }
}

/// End of the period in which starts are spread out on a worker whose domain was released at `now`.
#[must_use]
pub fn starts_spread_until(now: Duration, cold_until: Duration) -> Duration {
    (now + RETURN_PERIOD).max(slow_until(now, cold_until))
}

/// Until when a worker that reported to be slow counts as slow.
#[must_use]
pub fn slow_until(now: Duration, cold_until: Duration) -> Duration {
    cold_until.min(now + SLOW_MAX)
}

/// Whether a run that saves checkpoints has enough work left to be moved; `run_time` is that of its task at full pace.
#[must_use]
pub fn is_worth_moving(run_time: Duration, percent: u32, pace_percent: u32) -> bool {
    let left = run_time.mul_f64(f64::from(100_u32.saturating_sub(percent)) / 100.0);
    left.mul_f64(100.0 / f64::from(pace_percent.max(1))) > MOVE_REMAINING_MIN
}

/// Reason why a run is still on a worker of an evacuated domain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HoldReason {
    /// No worker elsewhere has room for it.
    NoRoom,
    /// Its step would have too many unavailable tasks, or another one of them is being moved.
    UnavailableMax,
    /// It ends there: it is short, saves no checkpoints or belongs to a gang.
    ShortTask,
    /// It was ordered to stop, or waits for earlier moves.
    Moving,
}

/// Number of runs on the workers of an evacuated domain, by what keeps them there.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Held {
    /// See [`HoldReason::NoRoom`].
    pub no_room: usize,
    /// See [`HoldReason::UnavailableMax`].
    pub unavailable_max: usize,
    /// See [`HoldReason::ShortTask`].
    pub short_task: usize,
    /// See [`HoldReason::Moving`].
    pub moving: usize,
}

impl Held {
    /// Counts a run.
    pub const fn count(&mut self, holding: HoldReason) {
        match holding {
            HoldReason::NoRoom => self.no_room += 1,
            HoldReason::UnavailableMax => self.unavailable_max += 1,
            HoldReason::ShortTask => self.short_task += 1,
            HoldReason::Moving => self.moving += 1,
        }
    }

    /// Number of all runs.
    #[must_use]
    pub const fn runs(&self) -> usize {
        self.no_room + self.unavailable_max + self.short_task + self.moving
    }
}
