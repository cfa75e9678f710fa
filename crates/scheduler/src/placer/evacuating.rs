//! Informs the cell and its agents about evacuated failure domains.

use std::sync::Arc;

use chervilledge_cell::cell::Evacuation;
use chervilledge_cell::evacuation::Held;
use chervilledge_policy::id::Name;

use super::State;
use crate::message::ToAgent;

impl State {
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
