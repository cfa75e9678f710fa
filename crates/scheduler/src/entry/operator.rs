//! Follows the operator's rows: configuration and evacuations.

use std::sync::Arc;
use std::time::Duration;

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

/// Source and receivers of the operator's rows.
pub(super) struct OperatorFeed {
    pub(super) store: Handle,
    pub(super) clock: Clock,
    pub(super) metrics: Arc<Metrics>,
    pub(super) timing: feed::Timing,
    pub(super) configuration_sender: watch::Sender<Option<Arc<Configuration>>>,
    pub(super) evacuated_sender: watch::Sender<Arc<EvacuatedDomains>>,
    /// Receives the time of each successful read.
    pub(super) read_sender: watch::Sender<Duration>,
}

/// Follows the operator's rows; an older version of the configuration never replaces a newer one.
///
/// Evacuations are published before the configuration, without which nothing is placed.
pub(super) async fn follow(operator_feed: OperatorFeed) {
    let OperatorFeed { store, clock, metrics, timing, configuration_sender, evacuated_sender, read_sender } =
        operator_feed;
    let mut feed = feed::open("configuration", timing, clock.clone());
    let mut after = 0;
    loop {
        let age = feed.age();
        let known = configuration_sender.borrow().as_ref().map_or(0, |known| known.version);
        metrics.configuration(known, age);
        match feed.next(after, |wait, arrival| (store.watch_configuration)((after, wait, arrival))).await {
            Ok(ConfigurationUpdate { configuration, evacuations, revision }) => {
                after = revision;
                apply_evacuations(&evacuations, revision, &evacuated_sender);
                read_sender.send_replace(clock.now());
                let Some(configuration) = configuration else { continue };
                let is_newer = configuration.version > known;
                log::info!(event = "configuration", version = configuration.version, former = known,
                    queues = configuration.queues.len(), is_newer = is_newer, revision = revision,
                    age_ms = whole_ms(age); "");
                if is_newer {
                    configuration_sender.send_replace(Some(Arc::new(configuration)));
                }
            }
            Err(ReadError::HistoryLost) => after = 0,
            // The feed logs the error and repeats the request.
            Err(_) => {}
        }
    }
}

fn apply_evacuations(received: &Evacuations, revision: u64, evacuated_sender: &watch::Sender<Arc<EvacuatedDomains>>) {
    let previous = Arc::clone(&evacuated_sender.borrow());
    let mut known = EvacuatedDomains::clone(&previous);
    for (domain, revision, is_requested) in &received.domains {
        known.note(domain, Standing { revision: *revision, is_requested: *is_requested });
    }
    if received.is_whole {
        let requested: Set<&Name> = received.domains.iter().map(|(domain, ..)| domain).collect();
        known.note_whole(revision, |domain| requested.contains(domain));
    }
    if known == *previous {
        return;
    }
    let mut merged = EvacuatedDomains::clone(&previous);
    for domain in merged.merge(&known) {
        let standing = known.standing(&domain);
        log::info!(event = "evacuation_known", domain = &*domain, is_requested = standing.is_requested,
            revision = standing.revision; "");
    }
    evacuated_sender.send_replace(Arc::new(known));
}
