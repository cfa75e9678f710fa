//! How fast the roster follows changes of the cell's rows.

mod support;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use chervilledge_scheduler::roster;
use chervilledge_scheduler::rows::{self, PLACER_KEY, WITNESSES_KEY};
use chervilledge_scheduler::store::Table;
use rstest::rstest;
use support::{Fault, MemoryStore, tokio_clock};

/// Time within which a cell without a placer is taken over.
const TAKEOVER: Duration = Duration::from_secs(2);

fn placer(holder: Option<&str>) -> Vec<u8> {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    rows::encode(&rows::Placer { term: 1, holder: holder.map(Arc::from), address })
}

/// A read lost by a silent store must not hide the lack of a placer for longer than a takeover may take.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_cell_given_up_while_the_store_was_silent_is_seen_in_time(
    #[values(0, 400, 900, 1_300, 1_900, 2_600)] begins_after_ms: u64,
    #[values(300, 1_500, 3_500, 4_500)] silent_for_ms: u64,
) {
    let rows = MemoryStore::with_fault(Fault::None);
    rows.write(Table::Cell, PLACER_KEY, Some(placer(Some("entry-1"))));
    let reader = roster::spawn(rows.store(), tokio_clock());
    let has_holder = || {
        let roster = reader.view.borrow().clone().expect("the rows were read");
        roster.placer.as_ref().is_some_and(|(placer, _)| placer.holder.is_some())
    };
    tokio::time::sleep(Duration::from_millis(500 + begins_after_ms)).await;
    assert!(has_holder());
    rows.set_fault(Fault::Silent);
    tokio::time::sleep(Duration::from_millis(silent_for_ms / 2)).await;
    rows.write(Table::Cell, PLACER_KEY, Some(placer(None)));
    tokio::time::sleep(Duration::from_millis(silent_for_ms - silent_for_ms / 2)).await;
    rows.set_fault(Fault::None);
    tokio::time::sleep(TAKEOVER).await;
    assert!(!has_holder(), "not seen {TAKEOVER:?} after the store is back");
}

/// Orders for the runs of a live agent would no longer reach it.
#[rstest]
#[case::no_cbor(b"\xff\x00".to_vec())]
#[case::empty(Vec::new())]
#[case::nested(vec![0x81; 100_000])]
#[case::nested_tags(vec![0xc1; 100_000])]
#[case::nested_of_indefinite_length(vec![0x9f; 100_000])]
#[case::text_of_a_megabyte(rows::encode(&"x".repeat(1 << 20)))]
#[case::length_without_content(vec![0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff])]
#[case::number_too_large(rows::encode(&f64::MAX))]
#[tokio::test(start_paused = true)]
async fn an_unreadable_row_costs_neither_its_agent_nor_others(#[case] odd: Vec<u8>) {
    let rows = MemoryStore::with_fault(Fault::None);
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let process = rows::encode(&rows::Process { address });
    let write = |key: &str, value: &Vec<u8>| rows.write(Table::Cell, key, Some(value.clone()));
    write("agent/odd", &process);
    write("entry/odd", &process);
    let reader = roster::spawn(rows.store(), tokio_clock());
    tokio::time::sleep(Duration::from_millis(500)).await;
    for key in ["agent/odd", "agent/unknown", "entry/odd", "beat", "odd", ""] {
        write(key, &odd);
    }
    write("agent/other", &process);
    write("entry/other", &process);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let roster = reader.view.borrow().clone().expect("the rows were read");
    let [mut agents, mut entries] = [&roster.agents, &roster.entries].map(|known| known.keys().collect::<Vec<_>>());
    agents.sort_unstable();
    entries.sort_unstable();
    assert_eq!((agents, entries), (vec![&"odd".into(), &"other".into()], vec![&"other".into()]));
    rows.write(Table::Cell, "agent/odd", None);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(!reader.view.borrow().as_ref().is_some_and(|roster| roster.agents.contains_key("odd")));
}

/// A claimant that believes an odd row would take leases as ended that a former placer still grants.
#[rstest]
#[case::no_cbor(b"\xff\x00".to_vec())]
#[case::nested(vec![0x81; 100_000])]
#[case::another_term(witnesses(2, 1, 0))]
#[case::many_members(witnesses(1, 1_000, 0))]
#[case::many_placers(witnesses(1, 1, 1_000))]
#[tokio::test(start_paused = true)]
async fn an_odd_row_of_witnesses_is_believed(#[case] odd: Vec<u8>) {
    let rows = MemoryStore::with_fault(Fault::None);
    rows.write(Table::Cell, PLACER_KEY, Some(placer(Some("entry-1"))));
    rows.write(Table::Cell, WITNESSES_KEY, Some(witnesses(1, 2, 1)));
    let reader = roster::spawn(rows.store(), tokio_clock());
    let known = || reader.view.borrow().as_ref().and_then(|roster| roster.acting_witnesses());
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(known().map(|known| known.len()), Some(2));
    rows.write(Table::Cell, WITNESSES_KEY, Some(odd));
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(known(), None);
}

fn witnesses(term: u64, members: usize, earlier: usize) -> Vec<u8> {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let (members, earlier) = (vec![address; members], Some(vec![vec![address]; earlier]));
    rows::encode(&rows::Witnesses { term, members, earlier })
}
