//! Sends agents the urgencies of filling runs that have changed.
//!
//! The remaining work of a job changes while its runs share a worker with others. Agents slow down the least urgent run
//! first, and only the placer knows how much of each job is left. If a message is lost, the previous order stays in
//! force until [`ToAgent::Describe`] after the next inventory, which carries all urgencies.

use std::time::Duration;

use super::State;
use crate::message::ToAgent;

/// Minimum interval between two messages to an agent. The remaining work of a job changes by a quarter, the smallest
/// change that is sent, within seconds.
const SEND_INTERVAL: Duration = Duration::from_secs(1);

impl State {
    /// Sends changed urgencies to agents when an update is due.
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
