//! Which of a cell's entries should place, by the part of a core that each has.
//!
//! Answers a cell whose entries differ in size. Any of them takes the cell when its placer is lost, and one with little
//! processor and a narrow link may be the only one up at that moment, such as while entries restart in turn. It would then
//! place for as long as it lives, and a recovery from a loss of all power under it takes seconds longer. So a small entry
//! leaves claims to larger ones, and hands the cell over once a larger one is up.

use std::time::Duration;

/// Part of a core that is enough for placing a cell of some 70 workers.
const SHARE_ENOUGH: f64 = 0.5;
/// Longest wait before a claim of an entry with less than that.
const CLAIM_DELAY_MAX: Duration = Duration::from_millis(400);
/// Times an entry's part of a core from which another one is larger: less isn't worth the pause of a handover.
const LARGER_FACTOR: f64 = 1.5;
/// Time for which a small entry places before it hands the cell over, so that a larger one that starts again in turn with
/// others is back in service.
const TENURE_FIRST: Duration = Duration::from_secs(2);
/// Longest such time, for a cell that larger entries don't keep.
const TENURE_MAX: Duration = Duration::from_mins(2);

/// Time by which an entry with little processor waits for others to claim first.
#[must_use]
pub fn claim_delay(processor_share: f64) -> Duration {
    CLAIM_DELAY_MAX.mul_f64(1.0 - (processor_share / SHARE_ENOUGH).clamp(0.0, 1.0))
}

/// Whether an entry should leave the cell to another one.
#[must_use]
pub fn is_larger(other_share: f64, own_share: f64) -> bool {
    own_share < SHARE_ENOUGH && other_share >= own_share * LARGER_FACTOR
}

/// When an entry hands the cell over to a larger one.
#[derive(Clone, Copy, Debug)]
pub struct Tenure {
    /// Time for which it places first; doubles with each handover.
    length: Duration,
    /// Term under which it places, and since when.
    placing: Option<(u64, Duration)>,
}

impl Default for Tenure {
    fn default() -> Self {
        Self { length: TENURE_FIRST, placing: None }
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
        now.saturating_sub(since) >= self.length
    }

    /// Takes note of a handover.
    pub fn hand_over(&mut self) {
        self.length = (self.length * 2).min(TENURE_MAX);
        self.placing = None;
    }
}
