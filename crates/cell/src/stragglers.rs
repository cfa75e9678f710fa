//! When a slowed run is moved to another worker.
//!
//! Handles filling runs that serving runs leave little of their worker. Paces change with every look at the tails, so a
//! run that is slow now may be fast again soon, and a move costs a stop and a restore; but a run that is halted while
//! others of its step go on keeps its whole job waiting.

use std::time::Duration;

/// Time for which a run has been slowed when a move that gains nothing would be due.
pub const SLOWED_MIN: Duration = Duration::from_millis(1_200);

/// Time for which a run has to be slowed before it is moved, given the time that its task would still take where it is
/// and with the move: the more a move gains, the sooner it is made.
#[must_use]
pub fn slowed_before_move(here: Duration, there: Duration) -> Duration {
    if there >= here { SLOWED_MIN } else { SLOWED_MIN.mul_f64(there.as_secs_f64() / here.as_secs_f64()) }
}
