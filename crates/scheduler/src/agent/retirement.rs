//! Planned end of an agent's process.

use std::time::Duration;

use ractor::{ActorRef, RpcReplyPort};

use super::{Message, State};

/// Announced stop of the process.
#[derive(Debug)]
pub(super) struct Retirement {
    stops_at: Duration,
    /// `None` once it was answered.
    idle: Option<RpcReplyPort<()>>,
}

/// Announces that the process stops, and waits for `within` or until there is no worker left that needs the agent.
///
/// The worker is served meanwhile: it may be up for as long as the process may still run, and nobody else gives it work
/// or renews its lease.
pub async fn retire(agent: &ActorRef<Message>, within: Duration) {
    let timeout = Some(within);
    // Without an answer the worker was served until the end.
    drop(agent.call(|idle| Message::Retire { within, idle }, timeout).await);
}

impl State {
    pub(super) fn retire(&mut self, within: Duration, idle: RpcReplyPort<()>, now: Duration) {
        self.retirement = Some(Retirement { stops_at: now + within, idle: Some(idle) });
        self.request_grant(now);
    }

    /// Ends the process's wait for its stop when no worker needs the agent and its row is written.
    pub(super) fn end_retirement_if_idle(&mut self, now: Duration) {
        // A worker that isn't known yet may have runs of an earlier start of the agent.
        let has_no_worker = self.tracked.is_none() && now >= self.empty_at;
        let is_row_written = self.row_write.as_ref().is_none_or(|(_, write)| write.is_finished());
        if has_no_worker
            && is_row_written
            && let Some(idle) = self.retirement.as_mut().and_then(|retirement| retirement.idle.take())
        {
            // The process may have stopped waiting.
            drop(idle.send(()));
        }
    }

    /// Time until the process stops, if it was asked to.
    pub(super) fn stops_in(&self, now: Duration) -> Option<Duration> {
        self.retirement.as_ref().map(|retirement| retirement.stops_at.saturating_sub(now))
    }
}
