//! Urgencies of filling runs, told to agents when they have changed.
//!
//! Answers jobs whose remaining work changes while their runs share a worker: the agents serve the most urgent run first, and
//! only the placer knows how much of each job is left. A message that is lost leaves the older order in force; the one after
//! the next inventory, [`ToAgent::Describe`], carries every urgency again.

use std::time::Duration;

use super::State;
use crate::message::ToAgent;

/// Least time between two messages to an agent. A job's remaining work changes by a step of a quarter within seconds.
const SEND_INTERVAL: Duration = Duration::from_secs(1);

impl State {
    /// Tells agents of changed urgencies, when it is time.
    pub(super) fn send_urgencies(&mut self, now: Duration) {
        if now < self.urgencies_due || !self.is_loaded {
            return;
        }
        self.urgencies_due = now + SEND_INTERVAL;
        let changed = self.cell.changed_urgencies(now);
        if changed.is_empty() {
            return;
        }
        let (agents, runs) = (changed.len(), changed.iter().map(|(_, changes)| changes.len()).sum::<usize>());
        for (agent, changes) in changed {
            if let Some(link) = self.links.get(&agent) {
                link.sender.post(ToAgent::Urgencies(changes));
            }
        }
        self.context.metrics.urgencies_told(runs);
        log::info!(event = "urgencies_told", agents = agents, runs = runs; "");
    }
}
