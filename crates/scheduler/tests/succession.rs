//! Handover of the cell from a small entry to a larger one.

mod support;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::clock::Clock;
use chervilledge_scheduler::entry::{self, Entry};
use chervilledge_scheduler::rows::{self, HEARTBEAT_KEY, PLACER_KEY};
use chervilledge_scheduler::store::Table;
use chervilledge_scheduler::{clock, metrics, settings};
use rstest::rstest;
use support::ports::free_address;
use support::{Fault, MemoryStore, entry_settings, tokio_clock};

/// Term under which the small entry placed before the power loss of all machines.
const TERM: u64 = 3;
/// Time within which a larger entry must have claimed the cell after its placer restarts: one check, the delay before
/// the claim, and the claim.
const RECOVERED: Duration = Duration::from_millis(800);
/// Time within which a small entry must hand the cell over, including the larger entry's claim.
const HANDED_OVER: Duration = Duration::from_secs(5);

async fn spawn(name: &str, processor_share: f64, address: SocketAddr, rows: &MemoryStore, clock: Clock) -> Entry {
    let settings = settings::Entry { processor_share, ..entry_settings(name, address) };
    entry::spawn(settings, clock, rows.store(), metrics::open()).await.expect("an entry")
}

fn write_entry(rows: &MemoryStore, name: &str, processor_share: f64, address: SocketAddr) {
    let row = rows::EntryProcess { address, processor_share, response: None, version: None };
    rows.write(Table::Cell, &format!("entry/{name}"), Some(rows::encode(&row)));
}

fn holder(rows: &MemoryStore) -> Option<(u64, String)> {
    let placer: rows::Placer = rows::decode(PLACER_KEY, &rows.value(Table::Cell, PLACER_KEY)?)?;
    Some((placer.term, placer.holder?.to_string()))
}

/// After a power loss the previous placer may come back first, and its link tells the others that it is up. A small
/// entry must not place again, since the recovery that everybody waits for would take seconds longer.
#[rstest]
#[case::larger_ones(0.5, "large")]
#[case::alike(0.12, "small")]
#[tokio::test(start_paused = true)]
async fn a_small_former_placer_leaves_the_recovery_to_a_larger_entry(#[case] share: f64, #[case] expected: &str) {
    let rows = MemoryStore::with_fault(Fault::None);
    rows.configure(1);
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let previous_placer = rows::Placer { term: TERM, holder: Some(Arc::from("small")), address };
    rows.write(Table::Cell, PLACER_KEY, Some(rows::encode(&previous_placer)));
    rows.write(Table::Cell, HEARTBEAT_KEY, Some(rows::encode(&rows::Heartbeat { term: TERM, is_alone: true })));
    write_entry(&rows, "small", 0.12, address);
    write_entry(&rows, "large", share, address);
    let _small = spawn("small", 0.12, address, &rows, tokio_clock()).await;
    let _large = spawn("large", share, address, &rows, tokio_clock()).await;
    tokio::time::sleep(RECOVERED).await;
    assert_eq!(holder(&rows), Some((TERM + 1, expected.to_string())));
}

/// A small entry that was the only one up when the cell had no placer must not keep placing for the rest of its life.
#[tokio::test]
async fn a_small_placer_hands_the_cell_over_once_a_larger_entry_is_up() {
    let rows = MemoryStore::with_fault(Fault::None);
    rows.configure(1);
    let (small_address, large_address) = (free_address(), free_address());
    let _small = spawn("small", 0.12, small_address, &rows, clock::system()).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(holder(&rows), Some((1, "small".to_string())));
    let _large = spawn("large", 0.5, large_address, &rows, clock::system()).await;
    tokio::time::sleep(HANDED_OVER).await;
    assert_eq!(holder(&rows), Some((2, "large".to_string())));
}

/// The row of a larger entry outlives the entry. A handover to an entry that is down would leave the cell without a
/// placer for no benefit.
#[tokio::test]
async fn the_cell_is_not_handed_over_to_an_entry_that_is_down() {
    let rows = MemoryStore::with_fault(Fault::None);
    rows.configure(1);
    write_entry(&rows, "large", 0.5, free_address());
    let _small = spawn("small", 0.12, free_address(), &rows, clock::system()).await;
    tokio::time::sleep(HANDED_OVER).await;
    assert_eq!(holder(&rows), Some((1, "small".to_string())));
}
