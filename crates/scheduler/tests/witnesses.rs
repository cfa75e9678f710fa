//! Witnesses of a placer's term: leases go on while the store answers nobody, and end in time when the placer is lost.

mod support;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use chervilledge_cell::authority::leases_end;
use chervilledge_link::connection;
use chervilledge_policy::collections::Map;
use chervilledge_scheduler::entry::Entry;
use chervilledge_scheduler::message::{FromEntry, HEARTBEAT_INTERVAL, LINK_TIMEOUT, ToEntry};
use chervilledge_scheduler::placer::{self, Context};
use chervilledge_scheduler::roster::Roster;
use chervilledge_scheduler::rows::{self, HEARTBEAT_KEY, PLACER_KEY, WITNESSES_KEY};
use chervilledge_scheduler::store::{Call, Handle, Store, Table, Transaction};
use chervilledge_scheduler::{candidate, clock, metrics};
use rstest::rstest;
use support::ports::free_address;
use support::{Fault, MemoryStore, agent};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

const LEASE: Duration = Duration::from_secs(5);
/// Timeout for conditions that should be met soon.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

async fn spawn_entry(number: usize, store: Handle) -> Entry {
    support::spawn_entry(&format!("entry-{number}"), store).await
}

fn stored<T: serde::de::DeserializeOwned>(rows: &MemoryStore, key: &str) -> Option<T> {
    rows.value(Table::Cell, key).and_then(|value| rows::decode(key, &value))
}

async fn wait_for(what: &str, is_met: impl Fn() -> bool) {
    let met = async {
        while !is_met() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(tokio::time::timeout(WAIT_LIMIT, met).await.is_ok(), "{what}: not within {WAIT_LIMIT:?}");
}

/// An outage of the store for everybody must not end the runs, since nobody can take the cell over.
#[rstest]
#[case::witnesses(3, true)]
#[case::none(1, false)]
#[tokio::test]
async fn leases_lapse_in_an_outage_of_the_store(#[case] entries: usize, #[case] is_renewed: bool) {
    let rows = MemoryStore::with_fault(Fault::None);
    rows.configure(1);
    let mut running = Vec::new();
    for number in 0..entries {
        running.push(spawn_entry(number, rows.store()).await);
    }
    let agent = agent::spawn_named("agent-1", rows.clone()).await;
    agent.report(agent::life());
    let witnesses = || stored::<rows::Witnesses>(&rows, WITNESSES_KEY).map_or(0, |witnesses| witnesses.members.len());
    wait_for("witnesses", || witnesses() == (entries - 1).min(2)).await;
    let has_lease = || agent.worker.change(|script| script.polls.iter().any(|poll| poll.lease_end_ms.is_some()));
    wait_for("a lease", has_lease).await;
    rows.set_fault(Fault::Silent);
    tokio::time::sleep(Duration::from_secs(8)).await;
    agent.worker.change(|script| script.polls.clear());
    tokio::time::sleep(2 * HEARTBEAT_INTERVAL).await;
    assert_eq!(has_lease(), is_renewed);
}

/// The same store, which notes the transactions.
fn noting(store: Handle, noted: Arc<Mutex<Vec<Transaction>>>) -> Handle {
    fn forward<A: Send + 'static, T: Send + 'static>(store: &Handle, call: fn(&Store) -> &Call<A, T>) -> Call<A, T> {
        let store = Arc::clone(store);
        Box::new(move |arguments| call(&store)(arguments))
    }
    Arc::new(Store {
        read: forward(&store, |store| &store.read),
        read_one: forward(&store, |store| &store.read_one),
        watch: forward(&store, |store| &store.watch),
        watch_configuration: forward(&store, |store| &store.watch_configuration),
        commit: Box::new(move |transaction| {
            noted.lock().expect("no test has failed").push(transaction.clone());
            (store.commit)(transaction)
        }),
    })
}

/// A successor asks only the present witnesses, so it must see a renewal that is later than those with the former ones.
#[tokio::test]
async fn renewals_with_former_witnesses_are_overlooked() {
    let rows = MemoryStore::with_fault(Fault::None);
    rows.configure(1);
    let noted = Arc::new(Mutex::new(Vec::new()));
    let mut entries = vec![spawn_entry(0, noting(rows.store(), Arc::clone(&noted))).await];
    wait_for("a placer", || rows.has(Table::Cell, PLACER_KEY)).await;
    let members = || stored::<rows::Witnesses>(&rows, WITNESSES_KEY).map_or(0, |witnesses| witnesses.members.len());
    for number in 1..3 {
        entries.push(spawn_entry(number, rows.store()).await);
        wait_for("one more witness", || members() == number).await;
    }
    let changes = |transaction: &Transaction, key: &str| transaction.changes.iter().any(|change| &*change.key == key);
    let noted = noted.lock().expect("no test has failed");
    let of_witnesses: Vec<_> = noted.iter().filter(|transaction| changes(transaction, WITNESSES_KEY)).collect();
    assert!(of_witnesses.len() > 1 && of_witnesses.iter().all(|transaction| changes(transaction, HEARTBEAT_KEY)));
}

/// Entry that answers as a witness that last renewed a term so long ago.
async fn witness(renewed_ago: Duration) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("free port");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let Ok((sender, mut receiver)) = connection::accept_typed::<FromEntry>(stream, |_| true).await else {
                continue;
            };
            while let Ok(message) = receiver.receive::<ToEntry>(LINK_TIMEOUT).await {
                if let ToEntry::EndTerms { question, term } = message {
                    assert_eq!(term, TERM, "no later term");
                    sender.post(FromEntry::TermsEnded { question, renewed_ago });
                }
            }
        }
    });
    address
}

/// Term and revision of the placer under test.
const TERM: u64 = 3;
const REVISION: u64 = 9;

/// When former placers count as ended: one witness of each has to answer, and the latest renewal counts.
#[rstest]
#[case::one_silent(vec![vec![None, Some(2_000)]], 2_000)]
#[case::heartbeat_is_later(vec![vec![Some(30_000)]], 4_000)]
#[case::chain(vec![vec![Some(3_000)], vec![Some(1_000), None]], 1_000)]
#[tokio::test]
async fn leases_of_a_former_placer_are_waited_for_too_short_or_too_long(
    #[case] former: Vec<Vec<Option<u64>>>,
    #[case] renewed_ms_ago: u64,
) {
    let rows = MemoryStore::with_fault(Fault::None);
    let placer_row = rows::Placer { term: TERM, holder: Some(Arc::from("entry-1")), address: free_address() };
    for _ in 0..REVISION {
        rows.write(Table::Cell, PLACER_KEY, Some(rows::encode(&placer_row)));
    }
    let silent = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("free port");
    let silent_address = silent.local_addr().expect("address");
    let mut former_witnesses = Vec::new();
    for members in former {
        let mut addresses = Vec::new();
        for answer_ms in members {
            addresses.push(match answer_ms {
                Some(ago_ms) => witness(Duration::from_millis(ago_ms)).await,
                None => silent_address,
            });
        }
        former_witnesses.push(addresses);
    }
    let clock = clock::system();
    // The leases count from the claim.
    let began = Instant::now();
    let claimed = clock.now();
    let context = Context {
        name: Arc::from("entry-1"),
        claimed,
        clock,
        store: rows.store(),
        roster: watch::channel(Some(Arc::new(Roster { placer: Some((placer_row, REVISION)), ..Roster::default() }))).1,
        configuration: watch::channel(None).1,
        evacuated: watch::channel(Arc::default()).1,
        operator_rows_read: watch::channel(Duration::ZERO).1,
        evacuation_apply: None,
        term: TERM,
        revision: REVISION,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        predecessor: Some(rows::Placer { term: TERM - 1, holder: Some(Arc::from("entry-2")), address: silent_address }),
        is_predecessor_alone: false,
        former_witnesses: Some(former_witnesses),
        former_renewed: claimed.saturating_sub(Duration::from_secs(4)),
        handed_over_leases: Map::default(),
        lease: LEASE,
        cancellation_apply: Duration::from_secs(3),
        metrics: metrics::open(),
        ended_jobs_kept: Duration::from_mins(2),
    };
    let expected = leases_end(Duration::ZERO, LEASE).saturating_sub(Duration::from_millis(renewed_ms_ago));
    let _placer = placer::spawn(context).await.expect("placer");
    let is_alone = || stored::<rows::Heartbeat>(&rows, HEARTBEAT_KEY).is_some_and(|heartbeat| heartbeat.is_alone);
    wait_for("the end of all former placers", is_alone).await;
    let ended = began.elapsed();
    assert!(ended >= expected && ended < expected + Duration::from_secs(1), "{ended:?}, expected {expected:?}");
}

/// A heartbeat that the claimant doesn't know of would have renewed the former term for longer than it waits.
#[tokio::test(start_paused = true)]
async fn a_claim_overlooks_a_heartbeat_that_came_between() {
    let rows = MemoryStore::with_fault(Fault::None);
    let write_heartbeat =
        || rows.write(Table::Cell, HEARTBEAT_KEY, Some(rows::encode(&rows::Heartbeat { term: 1, is_alone: true })));
    let placer = rows::Placer { term: 1, holder: Some(Arc::from("entry-2")), address: free_address() };
    rows.write(Table::Cell, PLACER_KEY, Some(rows::encode(&placer)));
    write_heartbeat();
    let reader = chervilledge_scheduler::roster::spawn(rows.store(), support::tokio_clock());
    tokio::time::sleep(Duration::from_secs(1)).await;
    let roster = reader.view.borrow().clone().expect("a roster");
    let claim =
        async |roster: &Roster| candidate::claim(&rows.store(), roster, &"entry-1".into(), free_address()).await;
    write_heartbeat();
    // The direct read before the claim sees the new heartbeat; the claim itself has to see it as well.
    let unaware = Roster { heartbeat_revision: u64::MAX, ..Roster::clone(&roster) };
    assert_eq!(claim(&unaware).await, None);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let roster = reader.view.borrow().clone().expect("a roster");
    assert!(claim(&roster).await.is_some());
}
