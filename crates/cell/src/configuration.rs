//! Configuration of queues and services.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::collections::{Map, Set};
use chervilledge_policy::id::Name;

use crate::job::Terms;

/// A queue of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name, unique among queues.
    pub name: Name,
    /// Host that callers name.
    pub host: Name,
    /// Prefix of the paths that belong to the queue.
    pub path_prefix: Name,
    /// Terms that apply to the queue's jobs.
    pub terms: Terms,
}

/// A service: the workers that run tasks of its queues.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Service {
    /// Workers reject runs that don't fit.
    pub enforces_capacity: bool,
    /// Workers are off until they are needed.
    pub is_standby: bool,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest body of a request, in bytes.
    pub body_bytes_max: usize,
    /// Largest head of a request, in bytes.
    pub head_bytes_max: usize,
    /// Longest time that a head may take to arrive.
    pub head_timeout: Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Grows with each change.
    pub version: u64,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Services by name.
    pub services: Map<Name, Service>,
    /// Limits on callers' requests.
    pub limits: Limits,
}

impl Configuration {
    /// Finds the queue of a request, by host and longest path prefix; also returns the rest of the path.
    ///
    /// The port in `host` is ignored, and so is the case of letters.
    #[must_use]
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let host = host.split(':').next().unwrap_or_default();
        self.queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter_map(|queue| Some((queue, path.strip_prefix(&*queue.path_prefix)?)))
            .max_by_key(|(queue, _)| queue.path_prefix.len())
    }

    /// Services whose queues differ in priority.
    #[must_use]
    pub fn prioritized(&self) -> Set<Name> {
        let mut priorities: Map<&Name, u32> = Map::default();
        let mut differing = Set::default();
        for Queue { terms, .. } in &self.queues {
            if *priorities.entry(&terms.service).or_insert(terms.priority) != terms.priority {
                differing.insert(Arc::clone(&terms.service));
            }
        }
        differing
    }

    /// Queue by name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| &*queue.name == name)
    }
}
