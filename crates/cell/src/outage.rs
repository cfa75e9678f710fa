//! Whether an entry sends callers' requests to the store, by the outcome of earlier calls.
//!
//! Handles a store that breaks connections immediately, as seen by many entries. A request whose connection breaks
//! has an unknown outcome, after which a caller may not retry; so callers are refused without a call, and only reads
//! made for no caller detect that the store is back. Their rate is bounded for the whole cell. A store that doesn't
//! answer is tried with one caller's request at a time instead, since requests that are still waiting when it answers
//! again are accepted.

use std::time::Duration;

/// Interval between callers' requests to a store that doesn't answer.
pub const TRY_INTERVAL: Duration = Duration::from_millis(250);
/// Number of entries that probe a broken store at the interval of a single entry, which makes twelve probes a second
/// in the whole cell; a store that has just come back has its callers to serve.
const ENTRIES_PER_PROBE_INTERVAL: f64 = 3.0;

/// Outcome of a call to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The store answered.
    Answered,
    /// No answer came.
    Silent,
    /// The connection was refused or broke.
    Broke,
}

/// State of the store, as seen by an entry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Standing {
    /// It answers.
    #[default]
    Up,
    /// It is tried with one caller's request at a time.
    Tried {
        /// Earliest time of the next request.
        due: Duration,
        /// It broke connections before, and has answered a read since.
        is_after_break: bool,
    },
    /// It breaks connections, and callers are refused.
    Broken,
}

impl Standing {
    /// Lower-case form, for logs and dumps.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Up => "up",
            Self::Tried { .. } => "tried",
            Self::Broken => "broken",
        }
    }
}

/// An entry's view of the store.
#[derive(Debug, Default)]
pub struct Outage {
    standing: Standing,
    /// When a write was last answered.
    last_answer: Duration,
    /// When a call last broke.
    last_break: Duration,
    /// Earliest time of the next probe.
    probe_due: Duration,
    /// Reads are answered while writes break, so that only probes count as signs of recovery.
    is_read_only: bool,
}

impl Outage {
    /// State of the store.
    #[must_use]
    pub const fn standing(&self) -> Standing {
        self.standing
    }

    /// Whether a caller's request may be sent to the store now.
    pub fn admits(&mut self, now: Duration) -> bool {
        match &mut self.standing {
            Standing::Up => true,
            Standing::Tried { due, .. } if now >= *due => {
                *due = now + TRY_INTERVAL;
                true
            }
            Standing::Tried { .. } | Standing::Broken => false,
        }
    }

    /// Records the outcome of a caller's request that was sent at `began`.
    ///
    /// `first_probe` is the delay of the first probe, random within [`probe_interval`] to spread the probes of many
    /// entries.
    pub fn request_ended(&mut self, outcome: CallOutcome, began: Duration, now: Duration, first_probe: Duration) {
        match (outcome, self.standing) {
            (CallOutcome::Answered, _) => {
                self.standing = Standing::Up;
                self.last_answer = now;
                self.is_read_only = false;
            }
            // A request from before the last answer says nothing about the present state.
            (_, Standing::Up) if began < self.last_answer => {}
            (CallOutcome::Silent, Standing::Up) => self.mark_tried(now + TRY_INTERVAL, false),
            (CallOutcome::Silent, Standing::Broken) if began >= self.last_break => {
                self.mark_tried(now + TRY_INTERVAL, false);
            }
            (CallOutcome::Silent, _) => {}
            (CallOutcome::Broke, Standing::Up) => self.mark_broken(now, first_probe),
            (CallOutcome::Broke, Standing::Tried { is_after_break, .. }) => {
                self.is_read_only |= is_after_break;
                self.mark_broken(now, first_probe);
            }
            (CallOutcome::Broke, Standing::Broken) => self.last_break = now,
        }
    }

    /// Records the outcome of a read that was made for no caller and sent at `began`.
    pub fn read_ended(&mut self, outcome: CallOutcome, began: Duration, now: Duration, first_probe: Duration) {
        match (outcome, self.standing) {
            (CallOutcome::Answered, Standing::Broken) if began >= self.last_break && !self.is_read_only => {
                self.mark_tried(now, true);
            }
            // A store that answers again resets old connections, which isn't a sign of a break.
            (CallOutcome::Broke, Standing::Up | Standing::Tried { is_after_break: true, .. }) => {
                self.mark_broken(now, first_probe);
            }
            (CallOutcome::Broke, Standing::Broken) => self.last_break = now,
            _ => {}
        }
    }

    /// Records the outcome of a probe.
    pub fn probe_ended(&mut self, outcome: CallOutcome, now: Duration) {
        if self.standing != Standing::Broken {
            return;
        }
        match outcome {
            CallOutcome::Answered => self.mark_tried(now, true),
            CallOutcome::Silent => self.mark_tried(now, false),
            CallOutcome::Broke => self.last_break = now,
        }
    }

    /// Time until the next probe; `None` when none is needed. A probe that is due counts as made, and the next one
    /// follows after `interval`.
    pub fn until_next_probe(&mut self, interval: Duration, now: Duration) -> Option<Duration> {
        if self.standing != Standing::Broken {
            return None;
        }
        let left = self.probe_due.saturating_sub(now);
        if left.is_zero() {
            self.probe_due = now + interval;
        }
        Some(left)
    }

    fn mark_tried(&mut self, due: Duration, is_after_break: bool) {
        self.standing = Standing::Tried { due, is_after_break };
    }

    fn mark_broken(&mut self, now: Duration, first_probe: Duration) {
        self.standing = Standing::Broken;
        self.last_break = now;
        // A break soon after a probe doesn't add another probe.
        if self.probe_due <= now {
            self.probe_due = now + first_probe;
        }
    }
}

/// Probe interval of each of `entries` entries.
#[must_use]
pub fn probe_interval(entries: usize) -> Duration {
    let entries = u32::try_from(entries).unwrap_or(u32::MAX);
    TRY_INTERVAL.mul_f64((f64::from(entries) / ENTRIES_PER_PROBE_INTERVAL).max(1.0))
}
