//! Evacuation of failure domains.
//!
//! Answers an operator who takes a domain out of use: no worker of it is a candidate until the request is removed.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::id::Name;

use super::{Agent, Cell, Note};
use crate::evacuation::{EvacuatedDomains, Standing};

impl Cell {
    /// Takes in which failure domains are evacuated, as far as that is newer than what is known.
    pub fn evacuate(&mut self, domains: &EvacuatedDomains, _now: Duration) {
        for domain in self.evacuated.merge(domains) {
            let Standing { revision, is_requested } = self.evacuated.standing(&domain);
            let (workers, runs) = self
                .workers_of(&domain)
                .fold((0, 0), |(workers, runs), (_, agent)| (workers + 1, runs + agent.runs.len()));
            self.notes.push(Note::Evacuation { domain, revision, is_requested, workers, runs });
            self.needs_placing = true;
        }
    }

    /// Failure domain of an agent's worker, and whether it is evacuated.
    #[must_use]
    pub fn domain_of(&self, agent: &Name) -> Option<(&Name, Standing)> {
        let domain = &self.agents.get(agent)?.worker.as_ref()?.failure_domain;
        Some((domain, self.evacuated.standing(domain)))
    }

    /// Evacuated domains, with the workers that are known of each and the runs on them.
    #[must_use]
    pub fn evacuations(&self) -> Vec<(Name, usize, usize)> {
        let counted = |domain: &Name| {
            let runs = self.workers_of(domain).map(|(_, agent)| agent.runs.len());
            (Arc::clone(domain), runs.clone().count(), runs.sum())
        };
        self.evacuated.requested().map(counted).collect()
    }

    /// Agents whose worker stands in a domain.
    fn workers_of<'a>(&'a self, domain: &'a Name) -> impl Iterator<Item = (&'a Name, &'a Agent)> + Clone {
        let is_of_domain = |agent: &Agent| agent.worker.as_ref().is_some_and(|worker| worker.failure_domain == *domain);
        self.agents.iter().filter(move |(_, agent)| is_of_domain(agent))
    }
}
