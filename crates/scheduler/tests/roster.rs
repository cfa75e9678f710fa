//! How fast the roster follows changes of the cell's rows.

mod support;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use chervilledge_scheduler::roster;
use chervilledge_scheduler::rows::{self, PLACER_KEY};
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
