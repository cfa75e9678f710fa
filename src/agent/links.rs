//! Keeps links to a bounded subset of the entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_link::message::{EntryAddress, Hello};
use chervilledge_policy::collections::Map;
use chervilledge_policy::id::Name;
use chervilledge_policy::membership::{EntryPeer, choose_entries};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinHandle};

use crate::agent::dial::{self, Event};

/// What the keeper needs.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Worker of the agent.
    pub worker: Name,
    /// Addresses at which entries are found first.
    pub bootstrap: Vec<SocketAddr>,
    /// Entries to which links are held.
    pub links_max: usize,
    /// Secret to present.
    pub secret: String,
    /// Silence after which a link is given up.
    pub silence: Duration,
    /// Longest pause between two attempts to open a link.
    pub backoff_max: Duration,
}

/// Starts to keep links. `entries` gives the entries that were heard of; the task ends with it.
pub fn spawn<H, F, E>(
    settings: Settings,
    hello: H,
    events: E,
    mut entries: mpsc::UnboundedReceiver<Vec<EntryAddress>>,
) -> JoinHandle<()>
where
    H: Fn() -> F + Send + Sync + 'static,
    F: Future<Output = Hello> + Send + 'static,
    E: Fn(Event) + Send + Sync + 'static,
{
    let hello = Arc::new(hello);
    let events = Arc::new(events);
    tokio::spawn(async move {
        let mut dialers = Dialers(Map::default());
        let mut known: Vec<EntryAddress> = Vec::new();
        loop {
            let wanted = wanted(&settings, &known);
            dialers.0.retain(|address, dialer| {
                let is_wanted = wanted.contains(address);
                if !is_wanted {
                    dialer.abort();
                }
                is_wanted
            });
            for address in wanted {
                dialers.0.entry(address).or_insert_with(|| {
                    let hello = Arc::clone(&hello);
                    let events = Arc::clone(&events);
                    dial::spawn(dial_settings(&settings, address), move || hello(), move |event| events(event))
                        .abort_handle()
                });
            }
            let Some(heard) = entries.recv().await else { return };
            known = heard;
        }
    })
}

/// Dialers by the address that they dial; they end when this is dropped.
struct Dialers(Map<SocketAddr, AbortHandle>);

impl Drop for Dialers {
    fn drop(&mut self) {
        for dialer in self.0.values() {
            dialer.abort();
        }
    }
}

/// Addresses to which links are to be held: chosen among the known entries, or where entries are found first.
fn wanted(settings: &Settings, known: &[EntryAddress]) -> Vec<SocketAddr> {
    let peers: Vec<EntryPeer> = known
        .iter()
        .map(|entry| EntryPeer {
            address: Name::from(entry.address.as_str()),
            failure_domain: Name::clone(&entry.failure_domain),
        })
        .collect();
    let chosen = choose_entries(&settings.worker, &peers, settings.links_max);
    let addresses: Vec<SocketAddr> = chosen.iter().filter_map(|peer| peer.address.parse().ok()).collect();
    if addresses.is_empty() { settings.bootstrap.clone() } else { addresses }
}

fn dial_settings(settings: &Settings, address: SocketAddr) -> dial::Settings {
    dial::Settings {
        address,
        secret: settings.secret.clone(),
        silence: settings.silence,
        backoff_max: settings.backoff_max,
    }
}
