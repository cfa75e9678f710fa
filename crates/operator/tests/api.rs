//! Routes for configuration and status over real connections.

#[path = "support/http.rs"]
mod exchange;
#[path = "support/fitters.rs"]
mod fitters;
#[expect(dead_code, reason = "the acceptance tests use the rest")]
#[path = "support/table.rs"]
mod table;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};

use chervilledge_operator::accept::Proposal;
use chervilledge_operator::api::{self, Entry};
use chervilledge_operator::documents::Accepted;
use chervilledge_operator::listen::{self, Handle, Routes, Settings};
use chervilledge_operator::plan::Plan;
use chervilledge_operator::secret::Secrets;
use exchange::{exchange, parse};
use fitters::with_target;
use rstest::rstest;
use serde_json::{Value, json};
use table::{Fate, Table};

const SECRET: &str = "a-secret-0123456789";

/// Entry with its listener and its table.
struct Fixture {
    table: Table,
    enforced: Arc<Mutex<Option<Accepted>>>,
    handle: Handle,
}

impl Fixture {
    async fn bind() -> Self {
        let table = Table::default();
        let enforced = Arc::new(Mutex::new(None));
        let (reader, writer) = (Arc::clone(&enforced), Arc::clone(&enforced));
        let entry = Entry {
            store: table.store(),
            enforced: Arc::new(move || reader.lock().expect("no panic under the lock").clone()),
            adopt: Arc::new(move |accepted| *writer.lock().expect("no panic under the lock") = Some(accepted)),
            status: Arc::new(|| json!({ "lagging": [] })),
        };
        let settings = Settings::new(Secrets::new(vec![SECRET.to_owned()]).expect("a well-formed secret"));
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let handle = listen::bind(address, settings, api::routes(Routes::new(), &entry)).await.expect("a free port");
        Self { table, enforced, handle }
    }

    async fn send(&self, head: &str, body: &str) -> (u16, Value) {
        let (status, body) = exchange(self.handle.address(), head, SECRET, body).await;
        (status, parse(&body))
    }

    async fn accept(&self, proposal: &Proposal) -> (u16, Value) {
        let body = serde_json::to_string(proposal).expect("proposals are JSON");
        self.send("POST /config/accept", &body).await
    }

    fn enforced(&self) -> Option<Accepted> {
        self.enforced.lock().expect("no panic under the lock").clone()
    }
}

fn proposal(base: Option<&Accepted>, latency_target_ms: u64, operator: &str) -> Proposal {
    let documents = with_target(latency_target_ms);
    let plan = Plan::new(base, &documents);
    let accepted_at = "2026-01-01T00:00:00Z".into();
    Proposal { base: plan.base, plan: plan.checksum, documents, operator: operator.into(), accepted_at }
}

#[tokio::test]
async fn an_accepted_plan_is_in_force_at_once() {
    let entry = Fixture::bind().await;
    assert_eq!(entry.send("GET /config", "").await, (200, json!({ "accepted": null, "source": "table" })));
    let (status, answer) = entry.accept(&proposal(None, 200, "ana")).await;
    assert_eq!((status, &answer["accepted"]["version"]), (200, &json!(1)), "{answer}");
    let enforced = entry.enforced().expect("the entry adopted it");
    assert_eq!(enforced.documents, with_target(200));
    let (_, config) = entry.send("GET /config", "").await;
    assert_eq!(config, json!({ "accepted": enforced, "source": "table" }));
}

#[tokio::test]
async fn a_lost_race_is_a_numbered_conflict_that_names_the_winner() {
    let entry = Fixture::bind().await;
    entry.accept(&proposal(None, 200, "ana")).await;
    let (status, answer) = entry.accept(&proposal(None, 150, "eva")).await;
    assert_eq!((status, &answer["code"]), (409, &json!(4002)));
    let winner = &answer["detail"]["winner"];
    assert_eq!((&winner["version"], &winner["accepted_by"]), (&json!(1), &json!("ana")));
    assert_eq!(winner["accepted_at"], json!("2026-01-01T00:00:00Z"));
}

#[rstest]
#[case::invalid(proposal(None, 0, "ana"), 422, 4001)]
#[case::mismatch(Proposal { documents: with_target(150), ..proposal(None, 200, "ana") }, 409, 4005)]
#[case::malformed(proposal(None, 200, ""), 400, 6008)]
#[tokio::test]
async fn a_refused_plan_changes_nothing(#[case] proposal: Proposal, #[case] status: u16, #[case] code: u16) {
    let entry = Fixture::bind().await;
    let (answered, answer) = entry.accept(&proposal).await;
    assert_eq!((answered, &answer["code"]), (status, &json!(code)), "{answer}");
    assert_eq!((entry.enforced(), entry.table.taken()), (None, vec![]));
}

#[rstest]
#[case::no_json("{")]
#[case::unknown_field("{\"force\": true}")]
#[tokio::test]
async fn a_malformed_acceptance_is_refused(#[case] body: &str) {
    let entry = Fixture::bind().await;
    let (status, answer) = entry.send("POST /config/accept", body).await;
    assert_eq!((status, &answer["code"]), (400, &json!(6008)));
}

#[tokio::test]
async fn an_outage_is_told_from_an_unknown_outcome() {
    let entry = Fixture::bind().await;
    let ours = proposal(None, 200, "ana");
    entry.table.plan([Fate::Refused; 4]);
    let (status, answer) = entry.accept(&ours).await;
    assert_eq!((status, &answer["code"]), (503, &json!(5001)));
    entry.table.plan([Fate::Done, Fate::LostReply, Fate::Refused, Fate::Refused, Fate::Refused]);
    let (status, answer) = entry.accept(&ours).await;
    assert_eq!((status, &answer["code"]), (504, &json!(5002)));
    let (status, answer) = entry.accept(&ours).await;
    assert_eq!((status, &answer["accepted"]["version"]), (200, &json!(1)), "the repeat learns the outcome");
}

#[tokio::test]
async fn the_configuration_is_given_from_memory_while_the_table_is_away_or_behind() {
    let entry = Fixture::bind().await;
    entry.table.plan([Fate::Refused]);
    assert_eq!(entry.send("GET /config", "").await.0, 503);
    entry.accept(&proposal(None, 200, "ana")).await;
    entry.table.plan([Fate::Refused]);
    assert_eq!(entry.send("GET /config", "").await.1["source"], json!("memory"));
    entry.table.fall_back();
    let (_, config) = entry.send("GET /config", "").await;
    assert_eq!((&config["source"], &config["accepted"]["version"]), (&json!("memory"), &json!(1)));
}

#[tokio::test]
async fn the_history_is_listed_and_read() {
    let entry = Fixture::bind().await;
    entry.accept(&proposal(None, 200, "ana")).await;
    let first = entry.enforced().expect("accepted");
    entry.accept(&proposal(Some(&first), 150, "ben")).await;
    let versions = |answer: &Value| -> Vec<u64> {
        let versions = answer["versions"].as_array().expect("a list");
        versions.iter().filter_map(|version| version["version"].as_u64()).collect()
    };
    assert_eq!(versions(&entry.send("GET /config/history", "").await.1), [2, 1]);
    assert_eq!(versions(&entry.send("GET /config/history?newest=1", "").await.1), [1]);
    assert_eq!(entry.send("GET /config/history/1", "").await, (200, json!({ "accepted": first })));
    let (status, answer) = entry.send("GET /config/history/9", "").await;
    assert_eq!((status, &answer["code"]), (404, &json!(4006)));
    let (status, _) = entry.send("GET /config/history/last", "").await;
    assert_eq!(status, 400);
    assert_eq!(entry.send("GET /status", "").await, (200, json!({ "lagging": [] })));
}
