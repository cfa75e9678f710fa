//! Election of a placer for a cell whose store is in one of two regions.

mod support;

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::authority::AUTHORITY_PERIOD;
use chervilledge_scheduler::candidate::HEARTBEAT_INTERVAL;
use chervilledge_scheduler::entry::{self, Entry};
use chervilledge_scheduler::metrics;
use chervilledge_scheduler::rows::{self, HEARTBEAT_KEY, PLACER_KEY};
use chervilledge_scheduler::store::{Call, Handle, Store, Table};
use rstest::rstest;
use support::ports::free_address;
use support::{Fault, MemoryStore, entry_settings, tokio_clock};
use tokio::time::Instant;

/// Entries in each region.
const ENTRIES: usize = 4;
/// Time that the platform gives entries to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);
/// Time during which takeovers are counted.
const WATCHED: Duration = Duration::from_secs(40);

/// The same store with a delay for each call and its response.
fn with_delay(store: &Handle, delay: Duration) -> Handle {
    fn delay_call<A: Send + 'static, T: Send + 'static>(
        store: &Handle,
        call: fn(&Store) -> &Call<A, T>,
        delay: Duration,
    ) -> Call<A, T> {
        let store = Arc::clone(store);
        Box::new(move |arguments| {
            let answer = call(&store)(arguments);
            Box::pin(async move {
                tokio::time::sleep(delay).await;
                answer.await
            })
        })
    }
    Arc::new(Store {
        commit: delay_call(store, |store| &store.commit, delay),
        read: delay_call(store, |store| &store.read, delay),
        read_one: delay_call(store, |store| &store.read_one, delay),
        watch: delay_call(store, |store| &store.watch, delay),
        watch_configuration: delay_call(store, |store| &store.watch_configuration, delay),
    })
}

async fn spawn(name: &str, store: Handle) -> Entry {
    spawn_at(name, SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), store).await
}

async fn spawn_at(name: &str, links_address: SocketAddr, store: Handle) -> Entry {
    let settings = entry_settings(name, links_address);
    entry::spawn(settings, tokio_clock(), store, metrics::open()).await.expect("an entry")
}

fn placer(rows: &MemoryStore) -> Option<rows::Placer> {
    rows::decode(PLACER_KEY, &rows.value(Table::Cell, PLACER_KEY)?)
}

/// A placer far from the store delays the durability of every end, so near entries should claim first; entries at equal
/// distance must not wait.
///
/// Entries without links take the cell over when the placer's heartbeat is 0.5 s old, so there are many takeovers.
#[rstest]
#[case::two_regions(12, 180)]
#[case::alike(0, 0)]
#[tokio::test(start_paused = true)]
async fn an_entry_near_the_store_takes_the_cell(#[case] delay_ms: u64, #[case] wait_ms: u64) {
    let rows = MemoryStore::with_fault(Fault::None);
    rows.configure(1);
    let (mut near, mut far_ones) = (Vec::new(), Vec::new());
    for number in 0..ENTRIES {
        near.push(spawn(&format!("near-{number}"), rows.store()).await);
        far_ones
            .push(spawn(&format!("far-{number}"), with_delay(&rows.store(), Duration::from_millis(delay_ms))).await);
    }
    // Every entry has published its response time by then.
    tokio::time::sleep(Duration::from_secs(40)).await;
    for (entries, expected_ms) in [(&near, 0), (&far_ones, wait_ms)] {
        for entry in entries {
            assert_eq!(entry.dump().await["claim_wait_ms"], expected_ms);
        }
    }
    let (mut term, mut takeovers, mut by_near) = (0, 0, 0);
    let end = Instant::now() + WATCHED;
    while Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(5)).await;
        let Some(placer) = placer(&rows).filter(|placer| placer.term > term) else { continue };
        term = placer.term;
        takeovers += 1;
        by_near += u32::from(placer.holder.is_some_and(|holder| holder.starts_with("near")));
    }
    println!("{by_near} of {takeovers} takeovers by near entries");
    assert!(takeovers >= 20, "{takeovers} takeovers");
    assert!(wait_ms == 0 || by_near * 10 >= takeovers * 9, "{by_near} of {takeovers} by near entries");
}

/// The rows of entries share a partition with the placer's heartbeat. When all entries of a cell restart at once, none
/// may rewrite a row that exists, and the response times published before the power loss must stay known.
#[tokio::test(start_paused = true)]
async fn an_entry_that_starts_again_leaves_its_row() {
    let rows = MemoryStore::with_fault(Fault::None);
    let entry = spawn("near-0", rows.store()).await;
    tokio::time::sleep(Duration::from_secs(40)).await;
    drop(entry);
    let row = rows.value(Table::Cell, "entry/near-0").expect("its row");
    let writes = rows.writes(Table::Cell, "entry/near-0");
    assert_eq!(writes, 2, "its address, and then its response time");
    let _again = spawn("near-0", rows.store()).await;
    tokio::time::sleep(Duration::from_secs(40)).await;
    assert_eq!(rows.writes(Table::Cell, "entry/near-0"), writes);
    assert_eq!(rows.value(Table::Cell, "entry/near-0"), Some(row));
}

/// Returns the placer whose row replaces the present one.
async fn next_placer(rows: &MemoryStore) -> rows::Placer {
    let present = rows.revision(Table::Cell, PLACER_KEY);
    for _ in 0..200 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        if rows.revision(Table::Cell, PLACER_KEY) != present {
            return placer(rows).expect("a claim is well-formed");
        }
    }
    panic!("no placer")
}

/// Whether the placer knows, after a time, that no earlier one is active.
async fn is_alone_after(rows: &MemoryStore, time: Duration) -> bool {
    tokio::time::sleep(time).await;
    let value = rows.value(Table::Cell, HEARTBEAT_KEY).expect("a heartbeat");
    rows::decode::<rows::Heartbeat>(HEARTBEAT_KEY, &value).expect("well-formed").is_alone
}

fn placer_with(field: &str, value: ciborium::Value) -> Vec<u8> {
    let row = rows::Placer { term: 1, holder: None, address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)) };
    let mut row = ciborium::Value::serialized(&row).expect("a CBOR form");
    let fields = row.as_map_mut().expect("fields");
    fields.iter_mut().find(|(name, _)| name.as_text() == Some(field)).expect("the field").1 = value;
    rows::encode(&row)
}

fn address_with_port(port: i64) -> ciborium::Value {
    let octets = [127, 0, 0, 1].map(ciborium::Value::from).to_vec();
    let address = ciborium::Value::Array(vec![ciborium::Value::Array(octets), port.into()]);
    ciborium::Value::Map(vec![("V4".into(), address)])
}

/// The row's revision is the condition of the next claim, even if nobody can read its content. The former placer may
/// still act.
#[rstest]
#[case::no_cbor(b"\xff\x00".to_vec())]
#[case::empty(Vec::new())]
#[case::nested(vec![0x81; 100_000])]
#[case::port_above_range(placer_with("address", address_with_port(65_536)))]
#[case::port_below_range(placer_with("address", address_with_port(-1)))]
#[case::term_is_text(placer_with("term", "1".into()))]
#[tokio::test(start_paused = true)]
async fn an_unreadable_placer_row_leaves_no_cell_without_a_placer(
    #[case] odd: Vec<u8>,
    #[values(false, true)] is_restarted: bool,
) {
    let rows = MemoryStore::with_fault(Fault::None);
    rows.configure(1);
    let entry = spawn("entry-1", rows.store()).await;
    let term = next_placer(&rows).await.term;
    if is_restarted {
        entry.retire(STOP_TIMEOUT).await;
    }
    rows.write(Table::Cell, PLACER_KEY, Some(odd));
    let _successor = if is_restarted { Some(spawn("entry-2", rows.store()).await) } else { None };
    let next = next_placer(&rows).await;
    assert!(next.term > term, "{next:?} after {term}");
    assert!(!is_alone_after(&rows, AUTHORITY_PERIOD * 9 / 10).await);
}

/// Terms and the numbers of runs, which are multiples of them, would overflow.
#[rstest]
#[case(u64::MAX)]
#[case(u64::MAX - 1)]
#[case(u64::MAX / 10_000 + 2)]
#[tokio::test(start_paused = true)]
async fn a_term_at_the_end_of_its_range_is_no_base_for_claims(#[case] odd: u64) {
    let rows = MemoryStore::with_fault(Fault::None);
    rows.configure(1);
    let _entry = spawn("entry-1", rows.store()).await;
    let first = next_placer(&rows).await;
    rows.write(Table::Cell, PLACER_KEY, Some(placer_with("term", odd.into())));
    let next = next_placer(&rows).await;
    assert!((first.term + 1..1 << 40).contains(&next.term), "{next:?} after {first:?}");
}

/// Agents refuse the orders of lower terms, and a placer of term 1 assumes that nothing runs yet.
#[rstest]
#[case::row_deleted(None)]
#[case::lower_term(Some(placer_with("term", 0.into())))]
#[tokio::test(start_paused = true)]
async fn terms_never_start_again(#[case] odd: Option<Vec<u8>>, #[values(false, true)] is_restarted: bool) {
    let rows = MemoryStore::with_fault(Fault::None);
    rows.configure(1);
    let entry = spawn("entry-1", rows.store()).await;
    let first = next_placer(&rows).await;
    if is_restarted {
        entry.retire(STOP_TIMEOUT).await;
    }
    rows.write(Table::Cell, PLACER_KEY, odd);
    let _successor = if is_restarted { Some(spawn("entry-2", rows.store()).await) } else { None };
    let next = next_placer(&rows).await;
    assert!(next.term > first.term, "{next:?} after {first:?}");
    assert!(!is_alone_after(&rows, AUTHORITY_PERIOD * 9 / 10).await);
}

fn write_placer(rows: &MemoryStore, term: u64, holder: &str, address: SocketAddr) {
    let placer = rows::Placer { term, holder: Some(Arc::from(holder)), address };
    rows.write(Table::Cell, PLACER_KEY, Some(rows::encode(&placer)));
}

/// An entry that connects to a lost placer when the row of the next one, `term` 2, is written; and what keeps both up.
async fn entry_with_lost_placer(rows: &MemoryStore) -> (Entry, (TcpListener, Entry)) {
    // A listener that never accepts, as seen by those who connect to a machine that was lost.
    let lost = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let free = free_address();
    rows.configure(1);
    write_placer(rows, 1, "lost", lost.local_addr().expect("its address"));
    let entry = spawn("entry", rows.store()).await;
    let next = spawn_at("next", free, MemoryStore::with_fault(Fault::None).store()).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    write_placer(rows, 2, "next", free);
    (entry, (lost, next))
}

/// The time for which an entry had no link to a lost placer must not count against the next one.
#[tokio::test]
async fn a_new_placer_is_not_deposed_for_the_lost_link_to_its_predecessor() {
    let rows = MemoryStore::with_fault(Fault::None);
    let (_entry, _others) = entry_with_lost_placer(&rows).await;
    tokio::time::sleep(HEARTBEAT_INTERVAL * 3 / 2).await;
    assert_eq!(placer(&rows).map(|placer| placer.term), Some(2));
}

/// An entry that is connecting to a lost placer must not wait for the timeout before it links to the next one.
#[tokio::test]
async fn a_new_placer_is_linked_while_its_predecessor_does_not_answer() {
    let rows = MemoryStore::with_fault(Fault::None);
    let (entry, _others) = entry_with_lost_placer(&rows).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(entry.dump().await["way_to_placer"], "there");
}

/// An entry that others can reach.
async fn spawn_linked(name: &str, rows: &MemoryStore) -> Entry {
    spawn_at(name, free_address(), rows.store()).await
}

/// Waits until one of two entries places; returns it, then the other one.
async fn placing_first(entries: [Entry; 2]) -> [Entry; 2] {
    let wait = async {
        loop {
            for (number, entry) in entries.iter().enumerate() {
                if !entry.dump().await["placer"].is_null() {
                    return number;
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let placing = tokio::time::timeout(STOP_TIMEOUT, wait).await.expect("a placer in time");
    let [first, second] = entries;
    if placing == 0 { [first, second] } else { [second, first] }
}

/// Nothing starts on any worker while a cell has no placer, and entries may be stopped all at once.
#[tokio::test(flavor = "multi_thread")]
async fn entries_that_stop_together_leave_the_cell_without_a_placer() {
    let rows = MemoryStore::with_fault(Fault::None);
    rows.configure(1);
    let entries = [spawn_linked("entry-1", &rows).await, spawn_linked("entry-2", &rows).await];
    let [placing, other] = placing_first(entries).await;
    let present = placer(&rows).expect("a placer");
    other.retire(STOP_TIMEOUT).await;
    let retiring = tokio::spawn(async move { placing.retire(STOP_TIMEOUT).await });
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(placer(&rows), Some(present), "no entry can take the cell");
    let _started = spawn_linked("entry-3", &rows).await;
    let next = tokio::time::timeout(Duration::from_secs(2), next_placer(&rows)).await.expect("a release in time");
    assert_eq!(next.holder, None);
    retiring.await.expect("the entry stops");
    assert_eq!(next_placer(&rows).await.holder.as_deref(), Some("entry-3"));
}

/// A rolling restart takes as long as the entries take to stop.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_stops_alone_releases_the_cell_at_once() {
    let rows = MemoryStore::with_fault(Fault::None);
    rows.configure(1);
    let entries = [spawn_linked("entry-1", &rows).await, spawn_linked("entry-2", &rows).await];
    let [placing, _other] = placing_first(entries).await;
    tokio::time::timeout(Duration::from_secs(1), placing.retire(STOP_TIMEOUT)).await.expect("a release in time");
}

/// An entry that is stopped while it waits to claim the cell would take it and end without a release.
#[tokio::test(start_paused = true)]
async fn an_entry_that_stops_claims_the_cell() {
    for stopped_after_ms in (100..500).step_by(20) {
        let rows = MemoryStore::with_fault(Fault::None);
        rows.configure(1);
        let entry = spawn("entry-1", rows.store()).await;
        tokio::time::sleep(Duration::from_millis(stopped_after_ms)).await;
        entry.retire(STOP_TIMEOUT).await;
        tokio::time::sleep(STOP_TIMEOUT).await;
        let holder = placer(&rows).and_then(|placer| placer.holder);
        assert_eq!(holder, None, "stopped after {stopped_after_ms} ms");
    }
}
