//! Choice of the entry that places for a cell, by the share of a core that each entry has.
//!
//! Handles a cell whose entries differ in size. Any of them takes over when the placer is lost, and a small one with
//! a narrow link may be the only one running at that moment, for instance during a rolling restart. It would then
//! place until it ends, and recovery from a loss of all power takes seconds longer under it. So a small entry leaves
//! claims to larger ones, and hands the cell over once a larger one is running.

use std::time::Duration;

/// Share of a core that suffices for placing a cell of some 70 workers.
const SUFFICIENT_SHARE: f64 = 0.5;
/// Longest claim delay of an entry with less than that.
const CLAIM_DELAY_MAX: Duration = Duration::from_millis(400);
/// Ratio of two entries' shares from which one is larger: less isn't worth the pause of a handover.
const LARGER_FACTOR: f64 = 1.5;
/// Time for which a small entry places before it hands the cell over, so that a larger one that is restarting is back
/// in service.
const TENURE_FIRST: Duration = Duration::from_secs(2);
/// Longest such time, for a cell that larger entries keep losing.
const TENURE_MAX: Duration = Duration::from_mins(2);

/// Delay of a small entry's claim, so that others can claim first.
#[must_use]
pub fn claim_delay(processor_share: f64) -> Duration {
    CLAIM_DELAY_MAX.mul_f64(1.0 - (processor_share / SUFFICIENT_SHARE).clamp(0.0, 1.0))
}

/// Whether another entry is enough larger that the cell should be handed over to it.
#[must_use]
pub fn is_larger(other_share: f64, own_share: f64) -> bool {
    own_share < SUFFICIENT_SHARE && other_share >= own_share * LARGER_FACTOR
}

/// Time for which a small entry places before it hands the cell over to a larger one.
#[derive(Clone, Copy, Debug)]
pub struct Tenure {
    /// Time for which it places; doubles with each handover.
    duration: Duration,
    /// Term under which it places, and when it started to.
    placing: Option<(u64, Duration)>,
}

impl Default for Tenure {
    fn default() -> Self {
        Self { duration: TENURE_FIRST, placing: None }
    }
}

impl Tenure {
    /// Whether a handover is due while the entry places under `term`.
    pub fn is_over(&mut self, term: u64, now: Duration) -> bool {
        let since = match self.placing {
            Some((placing, since)) if placing == term => since,
            _ => now,
        };
        self.placing = Some((term, since));
        now.saturating_sub(since) >= self.duration
    }

    /// Records a handover.
    pub fn hand_over(&mut self) {
        self.duration = (self.duration * 2).min(TENURE_MAX);
        self.placing = None;
    }
}
