//! Follows the operator's rows: the configuration and the evacuations.

use std::sync::Arc;

use chervilledge_cell::configuration::Configuration;
use chervilledge_cell::evacuation::{EvacuatedDomains, Standing};
use chervilledge_policy::clock::Clock;
use chervilledge_policy::collections::Set;
use chervilledge_policy::id::Name;
use tokio::sync::watch;

use crate::clock::whole_ms;
use crate::feed;
use crate::metrics::Metrics;
use crate::store::{ConfigurationUpdate, Evacuations, Handle, ReadError};

/// What following the operator's rows takes.
pub(super) struct Following {
    pub(super) store: Handle,
    pub(super) clock: Clock,
    pub(super) metrics: Arc<Metrics>,
    pub(super) timing: feed::Timing,
    pub(super) configured: watch::Sender<Option<Arc<Configuration>>>,
    pub(super) evacuations_told: watch::Sender<Arc<EvacuatedDomains>>,
}

/// Follows the operator's rows; an older version of the configuration never replaces a newer one.
///
/// Evacuations are told before the configuration, without which nothing is placed.
pub(super) async fn follow(following: Following) {
    let Following { store, clock, metrics, timing, configured, evacuations_told } = following;
    let mut feed = feed::open("configuration", timing, clock);
    let mut after = 0;
    loop {
        let age = feed.age();
        let known = configured.borrow().as_ref().map_or(0, |known| known.version);
        metrics.configuration(known, age);
        match feed.next(after, |wait, arrival| (store.watch_configuration)((after, wait, arrival))).await {
            Ok(ConfigurationUpdate { configuration, evacuations, revision }) => {
                after = revision;
                take_evacuations(&evacuations, revision, &evacuations_told);
                let Some(configuration) = configuration else { continue };
                let is_newer = configuration.version > known;
                log::info!(event = "configuration", version = configuration.version, former = known,
                    queues = configuration.queues.len(), is_newer = is_newer, revision = revision,
                    age_ms = whole_ms(age); "");
                if is_newer {
                    configured.send_replace(Some(Arc::new(configuration)));
                }
            }
            Err(ReadError::HistoryLost) => after = 0,
            // The feed logs why, and repeats the request.
            Err(_) => {}
        }
    }
}

fn take_evacuations(told: &Evacuations, revision: u64, evacuations_told: &watch::Sender<Arc<EvacuatedDomains>>) {
    let former = Arc::clone(&evacuations_told.borrow());
    let mut known = EvacuatedDomains::clone(&former);
    for (domain, revision, is_requested) in &told.domains {
        known.note(domain, Standing { revision: *revision, is_requested: *is_requested });
    }
    if told.is_whole {
        let named: Set<&Name> = told.domains.iter().map(|(domain, ..)| domain).collect();
        known.note_whole(revision, |domain| named.contains(domain));
    }
    if known == *former {
        return;
    }
    let mut before = EvacuatedDomains::clone(&former);
    for domain in before.merge(&known) {
        let standing = known.standing(&domain);
        log::info!(event = "evacuation_known", domain = &*domain, is_requested = standing.is_requested,
            revision = standing.revision; "");
    }
    evacuations_told.send_replace(Arc::new(known));
}
