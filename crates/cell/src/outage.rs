//! Whether an entry sends callers' requests to the store, by what became of earlier calls.
//!
//! Handles a store that breaks connections at once, seen by many entries. A request whose connection breaks has an
//! unknown outcome, after which a caller may not come again; so callers are refused without a call, and only reads that
//! concern no caller find out when the store is back. Their rate is bounded for the whole cell. A store that is silent is
//! tried with one caller's request at a time instead, since requests that wait through the end of a silence are
//! accepted.

use std::time::Duration;

/// Interval at which one caller's request tries a store that doesn't answer.
pub const TRY_INTERVAL: Duration = Duration::from_millis(250);
/// Entries that probe a breaking store as often as one entry alone does: twelve probes a second of the whole cell, since
/// a store that has just come back has its callers to serve.
const ENTRIES_PER_PROBE: f64 = 3.0;

/// What became of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The store answered.
    Answered,
    /// No answer came.
    Silent,
    /// The connection was refused or broke.
    Broke,
}

/// What is believed of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Standing {
    /// It answers.
    #[default]
    Up,
    /// One caller's request at a time tries it.
    Tried {
        /// When the next one may.
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

/// State of one entry's view of the store.
#[derive(Debug, Default)]
pub struct Outage {
    standing: Standing,
    /// When a write was last answered.
    answered: Duration,
    /// When a call last broke.
    broke: Duration,
    /// When the next probe may be made.
    probe_due: Duration,
    /// Reads are answered while writes break, so that only probes count as signs of a return.
    is_read_only: bool,
}

impl Outage {
    /// What is believed of the store.
    #[must_use]
    pub const fn standing(&self) -> Standing {
        self.standing
    }

    /// Whether a caller's request may go to the store now.
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

    /// Takes note of what became of a caller's request that was sent at `began`.
    ///
    /// `first_probe` is the wait until the first probe, random within [`probe_interval`] so that those of many entries are
    /// spread.
    pub fn request_ended(&mut self, ending: CallOutcome, began: Duration, now: Duration, first_probe: Duration) {
        match (ending, self.standing) {
            (CallOutcome::Answered, _) => {
                self.standing = Standing::Up;
                self.answered = now;
                self.is_read_only = false;
            }
            // An older request says nothing of the present.
            (_, Standing::Up) if began < self.answered => {}
            (CallOutcome::Silent, Standing::Up) => self.try_store(now + TRY_INTERVAL, false),
            (CallOutcome::Silent, Standing::Broken) if began >= self.broke => {
                self.try_store(now + TRY_INTERVAL, false);
            }
            (CallOutcome::Silent, _) => {}
            (CallOutcome::Broke, Standing::Up) => self.breaks(now, first_probe),
            (CallOutcome::Broke, Standing::Tried { is_after_break, .. }) => {
                self.is_read_only |= is_after_break;
                self.breaks(now, first_probe);
            }
            (CallOutcome::Broke, Standing::Broken) => self.broke = now,
        }
    }

    /// Takes note of what became of a read that concerns no caller and was sent at `began`.
    pub fn read_ended(&mut self, ending: CallOutcome, began: Duration, now: Duration, first_probe: Duration) {
        match (ending, self.standing) {
            (CallOutcome::Answered, Standing::Broken) if began >= self.broke && !self.is_read_only => {
                self.try_store(now, true);
            }
            // Connections that the end of a silence resets aren't a sign of a break.
            (CallOutcome::Broke, Standing::Up | Standing::Tried { is_after_break: true, .. }) => {
                self.breaks(now, first_probe);
            }
            (CallOutcome::Broke, Standing::Broken) => self.broke = now,
            _ => {}
        }
    }

    /// Takes note of what became of a probe.
    pub fn probe_ended(&mut self, ending: CallOutcome, now: Duration) {
        if self.standing != Standing::Broken {
            return;
        }
        match ending {
            CallOutcome::Answered => self.try_store(now, true),
            CallOutcome::Silent => self.try_store(now, false),
            CallOutcome::Broke => self.broke = now,
        }
    }

    /// Time until the next probe; `None` while there is none to make. One that is due counts as made, and the next one
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

    fn try_store(&mut self, due: Duration, is_after_break: bool) {
        self.standing = Standing::Tried { due, is_after_break };
    }

    fn breaks(&mut self, now: Duration, first_probe: Duration) {
        self.standing = Standing::Broken;
        self.broke = now;
        // A break that follows soon after a probe doesn't add another one.
        if self.probe_due <= now {
            self.probe_due = now + first_probe;
        }
    }
}

/// Interval of the probes of one entry of so many.
#[must_use]
pub fn probe_interval(entries: usize) -> Duration {
    let entries = u32::try_from(entries).unwrap_or(u32::MAX);
    TRY_INTERVAL.mul_f64((f64::from(entries) / ENTRIES_PER_PROBE).max(1.0))
}
