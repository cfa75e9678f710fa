//! Announces an entry in the table, and watches the other entries and the accepted configuration there.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_link::message::{EntryAddress, ToAgent};
use chervilledge_operator::accept::{self, CURRENT_KEY};
use chervilledge_policy::clock::Clock;
use chervilledge_policy::id::{BootId, Name};
use chervilledge_policy::peers::{EntryRow, Peers, commit_interval};
use chervilledge_policy::rollout::Source;
use chervilledge_store::client::Client;
use chervilledge_store::group::Group;
use chervilledge_store::sweep;
use chervilledge_store::table::{Expect, Row, Write};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::entry::fleet::Fleet;
use crate::entry::operators;
use crate::rollout::Enforced;

/// Key prefix of the rows by which entries announce themselves.
pub const ENTRIES_PREFIX: &str = "entries/";

/// Time between two renewals of an entry's row.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);

/// Time without change of a row after which its entry counts as gone.
const ENTRY_SILENCE: Duration = Duration::from_secs(10);

/// Maximum gap between two reads that counts as continuous observation: two intervals, their jitter and the calls.
const READ_GAP_MAX: Duration = Duration::from_secs(6);

/// Time between two polls of the accepted configuration.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two announcements of a configuration version to agents that don't enforce it yet.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two sweeps of rows left behind by processes that are gone.
const HISTORY_SWEEP_INTERVAL: Duration = Duration::from_mins(2);

/// Maximum number of entries per read, far above the few that exist.
const ENTRIES_MAX: usize = 1_000;

/// State shared by the tasks of this module.
#[derive(Clone, Debug)]
pub struct Context {
    /// Client of the platform.
    pub platform: Client,
    /// Clock of the process.
    pub clock: Clock,
    /// Workers known to the entry, whose agents are sent the addresses of the live entries.
    pub fleet: Arc<Fleet>,
    /// Configuration that the entry enforces.
    pub enforced: Arc<Enforced>,
    /// Row of the entry, with the counter of the latest renewal.
    pub row: EntryRow,
    /// Live entries.
    pub live: watch::Sender<Vec<EntryRow>>,
}

/// Spawns a task that renews the entry's row and watches those of the others.
#[must_use]
pub fn spawn_announcements(mut context: Context) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut peers = Peers::new(ENTRY_SILENCE, READ_GAP_MAX);
        let mut enforced = context.enforced.subscribe();
        loop {
            context.row.counter += 1;
            context.row.enforced = *enforced.borrow_and_update();
            renew_row(&context).await;
            if refresh_peers(&context, &mut peers).await {
                // A link that opens meanwhile reads `live` for its welcome message, so `live` is updated first.
                context.live.send_replace(peers.live().to_vec());
                announce_entries(&context.fleet, peers.live());
            }
            // A version that comes into force is announced at once.
            drop(tokio::time::timeout(jittered(RENEW_INTERVAL), enforced.changed()).await);
        }
    })
}

/// Spawns tasks that poll the accepted configuration, and announce each enforced version to agents.
#[must_use]
pub fn spawn_configuration(context: Context) -> Vec<JoinHandle<()>> {
    let poll = tokio::spawn({
        let context = context.clone();
        async move {
            loop {
                poll_configuration(&context).await;
                tokio::time::sleep(jittered(POLL_INTERVAL)).await;
            }
        }
    });
    let announce = tokio::spawn(async move {
        let mut changed = context.enforced.subscribe();
        loop {
            let waited = tokio::time::timeout(ANNOUNCE_INTERVAL, changed.changed()).await;
            let Some(stamp) = *changed.borrow_and_update() else { continue };
            // A link that was being opened may have missed the announcement, so it is repeated to lagging agents.
            let links = if waited.is_ok() { context.fleet.links() } else { context.fleet.lagging_links(stamp) };
            for link in links {
                link.post(ToAgent::Enforced(stamp));
            }
        }
    });
    vec![poll, announce]
}

/// Group commit of an entry, with the commit rate that all entries share.
#[derive(Clone, Debug)]
pub struct CommitShare {
    /// The group commit.
    pub group: Group,
    /// Commits per second of all entries together.
    pub commits_per_s: u32,
    /// Minimum time between two commits, however few entries there are.
    pub base: Duration,
}

/// Spawns a task that adapts commit intervals to the number of live entries, to not overload the platform.
#[must_use]
pub fn spawn_commit_pacing<const N: usize>(
    mut live: watch::Receiver<Vec<EntryRow>>,
    shares: [CommitShare; N],
) -> JoinHandle<()> {
    tokio::spawn(async move {
        while live.changed().await.is_ok() {
            let count = live.borrow_and_update().len();
            for share in &shares {
                share.group.set_interval(commit_interval(count, share.commits_per_s, share.base));
            }
        }
    })
}

/// Spawns a task that deletes what the platform client left behind for processes that are gone.
#[must_use]
pub fn spawn_history_sweeps(platform: Client, live: watch::Receiver<Vec<EntryRow>>) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut sweep = sweep::open(platform);
        loop {
            tokio::time::sleep(jittered(HISTORY_SWEEP_INTERVAL)).await;
            let boots: Vec<BootId> = live.borrow().iter().map(|row| row.boot).collect();
            if boots.is_empty() {
                // The live entries aren't known yet.
                continue;
            }
            match sweep.pass(|boot| boots.contains(&boot)).await {
                Ok(rows) => log::debug!(event = "history_swept", rows; ""),
                Err(error) => log::debug!(event = "history_unswept", error:% = error; ""),
            }
        }
    })
}

/// Deletes the entry's row, so that agents link to other entries at once.
pub async fn retire(context: &Context) {
    let key = entry_key(&context.row.name);
    let outcome =
        context.platform.commit(context.platform.next_write_id(), vec![Write::delete(key, Expect::Any)]).await;
    log::info!(event = "entry_retired", outcome:? = outcome; "");
}

/// Addresses of live entries, in the form sent to agents.
#[must_use]
pub fn addresses(live: &[EntryRow]) -> Vec<EntryAddress> {
    live.iter()
        .map(|row| EntryAddress {
            entry: row.boot,
            failure_domain: Name::clone(&row.failure_domain),
            address: row.address.to_string(),
        })
        .collect()
}

async fn renew_row(context: &Context) {
    let value = serde_json::json!(context.row);
    let write = Write::put(entry_key(&context.row.name), Expect::Any, value);
    let outcome = context.platform.commit(context.platform.next_write_id(), vec![write]).await;
    log::debug!(event = "entry_renewed", outcome:? = outcome; "");
}

/// Reads the rows of the entries; returns whether the live entries changed.
async fn refresh_peers(context: &Context, peers: &mut Peers) -> bool {
    match context.platform.scan(ENTRIES_PREFIX, None, ENTRIES_MAX).await {
        Ok(rows) => {
            let is_changed = peers.observe(context.clock.now(), rows.into_iter().filter_map(entry_row).collect());
            context.fleet.observe_entries(peers.live().iter().filter(|row| row.boot != context.row.boot));
            is_changed
        }
        Err(error) => {
            log::debug!(event = "entries_unread", error:% = error; "");
            false
        }
    }
}

async fn poll_configuration(context: &Context) {
    let row = match context.platform.read_one(CURRENT_KEY).await {
        Ok(row) => row,
        Err(error) => return log::debug!(event = "configuration_unread", error:% = error; ""),
    };
    let table_version = row.as_ref().and_then(|row| row.value.get("version")?.as_u64()).unwrap_or(0);
    if let Some(row) = row {
        context.enforced.offer_value(row.value, Source::Table);
    }
    if context.enforced.stamp().is_some_and(|stamp| stamp.version > table_version) {
        restore_configuration(context).await;
    }
}

/// Writes the version in force back to a table that has fallen behind it; a stale read does no harm, since the write is
/// conditional on the rows that were read.
async fn restore_configuration(context: &Context) {
    let Some(accepted) = context.enforced.accepted() else { return };
    let outcome = accept::restore(&operators::store(&context.platform), &accepted).await;
    log::warn!(event = "configuration_restored", version = accepted.version, outcome:? = outcome; "");
}

fn announce_entries(fleet: &Fleet, live: &[EntryRow]) {
    for link in fleet.links() {
        link.post(ToAgent::Entries(addresses(live)));
    }
}

fn entry_row(row: Row) -> Option<EntryRow> {
    serde_json::from_value(row.value).ok()
}

/// Key of an entry's row.
#[must_use]
pub fn entry_key(name: &str) -> String {
    format!("{ENTRIES_PREFIX}{name}")
}

/// Applies random jitter, so that the calls of several entries spread out.
fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(rand::random_range(0.8..1.2))
}
