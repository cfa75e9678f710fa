//! Keeps links to a bounded subset of the entries.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use chervilledge_link::message::{EntryAddress, Hello};
use chervilledge_policy::collections::Map;
use chervilledge_policy::id::{BootId, Name};
use chervilledge_policy::membership::{EntryPeer, choose_entries};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::agent::dial::{self, Event};
use crate::sync::lock;

/// Time without an open link after which entries are sought where they are found first.
const LONELY_AFTER: Duration = Duration::from_secs(1);

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

/// What the keeper tells and hears.
#[derive(Clone, Debug)]
pub struct Ports<H, E, R> {
    /// Gives the first message of each link.
    pub hello: H,
    /// Takes what happens on links.
    pub events: E,
    /// Takes whether the links to an address are to end once nothing is in progress on them.
    pub retire: R,
}

/// Starts to keep links. `entries` gives the entries that were heard of; the task ends with it.
pub fn spawn<H, F, E, R>(
    settings: Settings,
    ports: Ports<H, E, R>,
    mut entries: mpsc::UnboundedReceiver<Vec<EntryAddress>>,
) -> JoinHandle<()>
where
    H: Fn() -> F + Send + Sync + 'static,
    F: Future<Output = Hello> + Send + 'static,
    E: Fn(Event) + Send + Sync + 'static,
    R: Fn(SocketAddr, bool) + Send + Sync + 'static,
{
    let ports = Arc::new(ports);
    tokio::spawn(async move {
        let open = Arc::new(Open::default());
        let mut dialers = Dialers(Map::default());
        let mut known: Vec<EntryAddress> = Vec::new();
        let mut lonely = false;
        loop {
            let chosen = chosen(&settings, &known);
            let wanted = wanted(&settings, &chosen, lonely);
            let is_needed = |address| wanted.contains(&address) || open.needs(address, &chosen, &settings.bootstrap);
            dialers.retire_unneeded(is_needed, &ports.retire);
            for address in wanted {
                dialers.want(address, &ports.retire, |is_wanted| {
                    let hello_ports = Arc::clone(&ports);
                    let event_ports = Arc::clone(&ports);
                    let open = Arc::clone(&open);
                    let hello = move || (hello_ports.hello)();
                    let events = move |event| {
                        open.note(&event);
                        (event_ports.events)(event);
                    };
                    dial::spawn(dial_settings(&settings, address), hello, events, is_wanted)
                });
            }
            match tokio::time::timeout(LONELY_AFTER, entries.recv()).await {
                Ok(Some(heard)) => known = heard,
                Ok(None) => return,
                // A link by way of the first address doesn't count: it would end itself.
                Err(_) => lonely = !open.has_any(&chosen),
            }
        }
    })
}

/// Entry to which a link is to be held, at the address that it announces.
#[derive(Clone, Copy, Debug)]
struct Chosen {
    entry: BootId,
    address: SocketAddr,
}

/// Addresses to which links are open, with the entries that answered there.
#[derive(Debug, Default)]
struct Open(Mutex<Map<SocketAddr, BootId>>);

impl Open {
    fn note(&self, event: &Event) {
        match event {
            Event::Open { link, welcome, .. } => {
                lock(&self.0).insert(link.address, welcome.entry);
            }
            Event::Closed { link, .. } => {
                lock(&self.0).remove(&link.address);
            }
            Event::Message { .. } => {}
        }
    }

    fn has_any(&self, chosen: &[Chosen]) -> bool {
        let open = lock(&self.0);
        chosen.iter().any(|chosen| open.contains_key(&chosen.address))
    }

    /// Whether an address that isn't chosen leads to an entry to which no link is open at the address that it announces.
    fn needs(&self, address: SocketAddr, chosen: &[Chosen], bootstrap: &[SocketAddr]) -> bool {
        let open = lock(&self.0);
        let mut pending = chosen.iter().filter(|chosen| !open.contains_key(&chosen.address));
        match open.get(&address) {
            Some(entry) if chosen.iter().any(|chosen| chosen.entry == *entry) => {
                pending.any(|chosen| chosen.entry == *entry)
            }
            // The agent would be without any link.
            Some(_) => pending.count() == chosen.len(),
            // A dial in progress may lead to any of the entries.
            None => bootstrap.contains(&address) && (chosen.is_empty() || pending.next().is_some()),
        }
    }
}

/// Dialer of one address.
struct Dialer {
    is_wanted: watch::Sender<bool>,
    task: JoinHandle<()>,
}

/// Dialers by the address that they dial; they end when this is dropped.
struct Dialers(Map<SocketAddr, Dialer>);

impl Dialers {
    /// Lets the links to addresses that aren't needed end once nothing is in progress on them.
    fn retire_unneeded(&mut self, is_needed: impl Fn(SocketAddr) -> bool, retire: &impl Fn(SocketAddr, bool)) {
        self.0.retain(|_, dialer| !dialer.task.is_finished());
        for (address, dialer) in &self.0 {
            let is_needed = is_needed(*address);
            if dialer.is_wanted.send_replace(is_needed) != is_needed {
                retire(*address, !is_needed);
            }
        }
    }

    /// Keeps a link to an address, by a dialer that is there or by a new one.
    fn want(
        &mut self,
        address: SocketAddr,
        retire: &impl Fn(SocketAddr, bool),
        spawn: impl FnOnce(watch::Receiver<bool>) -> JoinHandle<()>,
    ) {
        if let Some(dialer) = self.0.get(&address) {
            if !dialer.is_wanted.send_replace(true) {
                retire(address, false);
            }
            return;
        }
        // An earlier dialer of the address may have retired its links.
        retire(address, false);
        let is_wanted = watch::Sender::new(true);
        let task = spawn(is_wanted.subscribe());
        self.0.insert(address, Dialer { is_wanted, task });
    }
}

impl Drop for Dialers {
    fn drop(&mut self) {
        for dialer in self.0.values() {
            dialer.task.abort();
        }
    }
}

/// Addresses that are to be dialed: those of the chosen entries, and where entries are found first while no link to a
/// chosen one is open.
fn wanted(settings: &Settings, chosen: &[Chosen], lonely: bool) -> Vec<SocketAddr> {
    let mut addresses: Vec<SocketAddr> = chosen.iter().map(|chosen| chosen.address).collect();
    if lonely || addresses.is_empty() {
        addresses.extend(&settings.bootstrap);
    }
    addresses
}

/// Entries that are chosen among the known ones.
fn chosen(settings: &Settings, known: &[EntryAddress]) -> Vec<Chosen> {
    let peers: Vec<EntryPeer> = known
        .iter()
        .map(|entry| EntryPeer {
            address: Name::from(entry.address.as_str()),
            failure_domain: Name::clone(&entry.failure_domain),
        })
        .collect();
    let chosen = choose_entries(&settings.worker, &peers, settings.links_max);
    let is_chosen = |entry: &&EntryAddress| chosen.iter().any(|peer| *peer.address == *entry.address);
    known
        .iter()
        .filter(is_chosen)
        .filter_map(|known| Some(Chosen { entry: known.entry, address: known.address.parse().ok()? }))
        .collect()
}

fn dial_settings(settings: &Settings, address: SocketAddr) -> dial::Settings {
    dial::Settings {
        address,
        secret: settings.secret.clone(),
        silence: settings.silence,
        backoff_max: settings.backoff_max,
    }
}
