//! Random writes during random faults: every outcome returned to a writer agrees with the ledger.

mod support;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_standins::platform::{self, Faults, Handle};
use chervilledge_store::client::{Client, Settings};
use chervilledge_store::error::Outcome;
use chervilledge_store::group::{self, Group, Submitted};
use chervilledge_store::table::{Expect, Row, Write, WriteId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use serde_json::json;
use support::{open_client_from, start_store};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

const CLIENTS: u64 = 4;
const WRITERS_PER_CLIENT: u64 = 3;
const WRITES_PER_WRITER: u32 = 40;
const KEYS: u32 = 5;
const LONG_TIMEOUT: Duration = Duration::from_mins(2);
/// Longest delay before a write of this test takes effect.
const EFFECT_DELAY: Duration = Duration::from_millis(80);

fn group_settings() -> group::Settings {
    let interval = Duration::from_millis(2);
    group::Settings { resolve_limit: LONG_TIMEOUT, interval, ..group::Settings::default() }
}

fn draw_faults(rng: &mut SmallRng) -> Faults {
    match rng.random_range(0..7) {
        0 => Faults { lose_reply_next: rng.random_range(1..4), ..Faults::default() },
        1 => Faults { lose_request_next: rng.random_range(1..4), ..Faults::default() },
        2 => Faults { delay_effect: EFFECT_DELAY, ..Faults::default() },
        3 => Faults { down: true, ..Faults::default() },
        4 => Faults { stale_reads: Duration::from_millis(50), lose_reply_next: 2, ..Faults::default() },
        5 => Faults { slow: Duration::from_millis(30), lose_reply_next: 1, ..Faults::default() },
        _ => Faults::default(),
    }
}

/// Commits a write, through the group if there is one, and waits until the outcome is known.
async fn commit(client: &Client, group: Option<&Group>, write: Write) -> (Option<WriteId>, Outcome) {
    if let Some(group) = group {
        let Submitted { write_id, outcome } = group.submit(vec![write]).await;
        return (write_id, outcome);
    }
    let id = client.next_write_id();
    (Some(id), client.commit_and_resolve(id, vec![write]).await)
}

async fn write_at_random(client: Client, group: Option<Group>, mut rng: SmallRng) -> Vec<(Option<WriteId>, Outcome)> {
    let mut writes = Vec::new();
    for _ in 0..WRITES_PER_WRITER {
        let key: Arc<str> = format!("row/{}", rng.random_range(0..KEYS)).into();
        let row: Option<Row> = client.read_one(Arc::clone(&key)).await.unwrap_or(None);
        let expect = match row {
            _ if rng.random_ratio(1, 5) => Expect::Any,
            Some(row) => Expect::Version(row.version),
            None => Expect::Absent,
        };
        let value = (!rng.random_ratio(1, 10)).then(|| json!(rng.random::<u32>()));
        writes.push(commit(&client, group.as_ref(), Write { key, expect, value }).await);
    }
    writes
}

async fn change_faults(store: &Handle, mut rng: SmallRng) {
    loop {
        store.control(draw_faults(&mut rng));
        sleep(Duration::from_millis(rng.random_range(5..60))).await;
        store.control(Faults::default());
        sleep(Duration::from_millis(rng.random_range(5..60))).await;
    }
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_writers_were_told_agrees_with_the_ledger(
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
    #[values(false, true)] grouped: bool,
) {
    let store = start_store(platform::Settings { writes_per_s: 5_000, ..platform::Settings::default() }).await;
    let mut writers = JoinSet::new();
    for boot in 1..=CLIENTS {
        let settings =
            Settings { address: store.address(), backoff_limit: Duration::from_millis(50), ..Settings::default() };
        let client = open_client_from(settings, boot);
        let group = grouped.then(|| group::spawn(client.clone(), group_settings()));
        for writer in 0..WRITERS_PER_CLIENT {
            let rng = SmallRng::seed_from_u64(seed * 100 + boot * 10 + writer);
            writers.spawn(write_at_random(client.clone(), group.clone(), rng));
        }
    }
    let writes = tokio::select! {
        writes = timeout(LONG_TIMEOUT, writers.join_all()) => writes.expect("every write is resolved in time").concat(),
        () = change_faults(&store, SmallRng::seed_from_u64(seed)) => unreachable!("faults change until the end"),
    };
    store.control(Faults::default());
    // Delayed writes arrive meanwhile and must not contradict the outcomes returned before.
    sleep(EFFECT_DELAY * 10).await;
    let ledger: HashMap<WriteId, u64> =
        store.ledger_after(0).iter().map(|entry| (entry.write_id, entry.number)).collect();
    for (id, outcome) in &writes {
        let expected = id.and_then(|id| ledger.get(&id)).map(|number| Outcome::Done(vec![*number]));
        match outcome {
            Outcome::Done(_) => assert_eq!(Some(outcome), expected.as_ref(), "seed {seed}, write {id:?}"),
            Outcome::NotDone(_) => assert_eq!(expected, None, "seed {seed}, write {id:?} told as {outcome:?}"),
            Outcome::Unknown => panic!("seed {seed}, write {id:?} stayed unknown"),
        }
    }
    let done = writes.iter().filter(|(_, outcome)| matches!(outcome, Outcome::Done(_))).count();
    assert!(done > 0 && done < writes.len(), "{done} of {} writes were done", writes.len());
}
