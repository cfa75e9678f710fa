//! Tells the cell and its agents which failure domains are evacuated.

use std::sync::Arc;

use chervilledge_cell::cell::Evacuation;
use chervilledge_cell::evacuation::HeldRuns;
use chervilledge_policy::id::Name;

use super::State;
use crate::message::ToAgent;

impl State {
    /// Takes in the known evacuations, and tells every agent what holds for its worker.
    pub(super) fn take_evacuations(&mut self) {
        let evacuated = Arc::clone(&self.context.evacuated.borrow());
        self.cell.evacuate(&evacuated, self.context.clock.now());
        let agents: Vec<Name> = self.links.keys().cloned().collect();
        for agent in agents {
            self.tell_evacuation(&agent);
        }
    }

    /// Sets the gauges of evacuated domains and of the runs on their workers.
    pub(super) fn measure_evacuations(&self) {
        let evacuations = self.cell.evacuations();
        let mut all = HeldRuns::default();
        for Evacuation { held, .. } in &evacuations {
            all.no_room += held.no_room;
            all.unavailable_max += held.unavailable_max;
            all.short_task += held.short_task;
            all.moving += held.moving;
        }
        self.context.metrics.evacuations(evacuations.len(), &all);
    }

    /// Tells an agent whether its worker's failure domain is evacuated, unless it was told so on this link.
    ///
    /// Call before a start is ordered: the agent refuses starts by what it was told last.
    pub(super) fn tell_evacuation(&mut self, agent: &Name) {
        let Some(link) = self.links.get_mut(agent) else { return };
        let Some((domain, standing)) = self.cell.domain_of(agent) else { return };
        if link.told.as_ref().is_some_and(|told| (&told.0, told.1) == (domain, standing)) {
            return;
        }
        link.told = Some((Arc::clone(domain), standing));
        link.sender.post(ToAgent::Evacuation {
            domain: Arc::clone(domain),
            revision: standing.revision,
            is_requested: standing.is_requested,
        });
    }
}
