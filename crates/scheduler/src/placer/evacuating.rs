//! Informs the cell and its agents about evacuated failure domains, and pauses starts while they aren't known.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::cell::Evacuation;
use chervilledge_cell::evacuation::Held;
use chervilledge_policy::id::Name;

use super::State;
use crate::clock::whole_ms;
use crate::message::ToAgent;

/// Fraction of the time for an evacuation for which the operator's rows may be unread while the store answers. The rest
/// is for starts that were ordered before to reach their worker.
const EVACUATION_KNOWN_FRACTION: f64 = 0.75;

impl State {
    /// Whether the operator's rows were read recently enough for starts; logs when that changes.
    pub(super) fn knows_evacuations(&mut self) -> bool {
        let read = *self.context.operator_rows_read.borrow();
        let knows = self
            .context
            .evacuation_apply
            .is_none_or(|apply| self.authority.covers_rows(read, apply.mul_f64(EVACUATION_KNOWN_FRACTION)));
        if self.starts_paused_since.is_some() == knows {
            let now = self.context.clock.now();
            let paused_since = self.starts_paused_since.take();
            self.starts_paused_since = (!knows).then_some(now);
            let paused_for = paused_since.map_or(Duration::ZERO, |since| now.saturating_sub(since));
            log::warn!(event = "starts_paused", term = self.context.term, is_paused = !knows,
                paused_ms = whole_ms(paused_for), rows_read_ms_ago = whole_ms(now.saturating_sub(read)); "");
        }
        knows
    }

    /// Applies the known evacuations, and sends each agent the state of its worker's domain.
    pub(super) fn apply_evacuations(&mut self) {
        let evacuated = Arc::clone(&self.context.evacuated.borrow());
        self.cell.evacuate(&evacuated, self.context.clock.now());
        let agents: Vec<Name> = self.links.keys().cloned().collect();
        for agent in agents {
            self.send_evacuation(&agent);
        }
    }

    /// Records the numbers of evacuated domains and of runs on their workers.
    pub(super) fn record_evacuations(&self) {
        let evacuations = self.cell.evacuations();
        let mut all = Held::default();
        for Evacuation { held, .. } in &evacuations {
            all.no_room += held.no_room;
            all.unavailable_max += held.unavailable_max;
            all.short_task += held.short_task;
            all.moving += held.moving;
        }
        self.context.metrics.evacuations(evacuations.len(), &all);
    }

    /// Sends an agent the evacuation state of its worker's failure domain, unless it was already sent on this link.
    ///
    /// Must be called before a start is ordered: the agent refuses starts according to the last state it received.
    pub(super) fn send_evacuation(&mut self, agent: &Name) {
        let Some(link) = self.links.get_mut(agent) else { return };
        let Some((domain, standing)) = self.cell.domain_of(agent) else { return };
        if link
            .sent_evacuation
            .as_ref()
            .is_some_and(|sent_evacuation| (&sent_evacuation.0, sent_evacuation.1) == (domain, standing))
        {
            return;
        }
        link.sent_evacuation = Some((Arc::clone(domain), standing));
        link.sender.post(ToAgent::Evacuation {
            domain: Arc::clone(domain),
            revision: standing.revision,
            is_requested: standing.is_requested,
        });
    }
}
