//! When a new placer begins to place.

mod support;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::configuration::{Configuration, Limits, Queue, Service};
use chervilledge_policy::collections::Map;
use chervilledge_policy::id::Name;
use chervilledge_scheduler::placer::{self, Context, Message};
use chervilledge_scheduler::roster::Roster;
use chervilledge_scheduler::rows;
use chervilledge_scheduler::{clock, metrics};
use support::{Fault, Rows, agent, job};
use tokio::sync::watch;

/// Term and revision of the placer under test.
const TERM: u64 = 2;
const REVISION: u64 = 9;
/// Time in which a placer that doesn't wait would have placed.
const A_WHILE: Duration = Duration::from_millis(800);

fn placer_row(term: u64, holder: Option<&str>) -> rows::Placer {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    rows::Placer { term, holder: holder.map(Arc::from), address }
}

fn roster(term: u64, revision: u64, agents: &[(&str, SocketAddr)]) -> Arc<Roster> {
    let agents = agents.iter().map(|(name, address)| (Name::from(*name), *address)).collect();
    Arc::new(Roster { placer: Some((placer_row(term, Some("entry-1")), revision)), agents, ..Roster::default() })
}

fn configuration() -> Arc<Configuration> {
    let job = job(1);
    let queue =
        Queue { name: Arc::clone(&job.queue), host: Arc::from("host"), path_prefix: Arc::from("/"), terms: job.terms };
    let mut services: Map<Name, Service> = Map::default();
    services.insert(Arc::from("portal"), Service::default());
    let limits = Limits { body_bytes_max: 1 << 20, head_bytes_max: 1 << 14, head_timeout: Duration::from_secs(5) };
    Arc::new(Configuration { version: 1, queues: vec![queue], services, limits })
}

/// A view of the cell from before the claim may lack an agent that the former placer gave work to.
#[tokio::test]
async fn nothing_is_placed_by_a_view_of_the_cell_from_before_the_claim() {
    let agent = agent::spawn().await;
    let (view, roster_view) = watch::channel(Some(roster(TERM - 1, REVISION - 1, &[("agent-1", agent.address)])));
    let clock = clock::system();
    let context = Context {
        name: Arc::from("entry-1"),
        claimed: clock.now(),
        clock,
        store: Rows::with(Fault::None).store(),
        roster: roster_view,
        configuration: watch::channel(Some(configuration())).1,
        term: TERM,
        revision: REVISION,
        former: Some(placer_row(TERM - 1, None)),
        lease: Duration::from_secs(5),
        metrics: metrics::open(),
        ended_jobs_kept: Duration::from_mins(2),
    };
    let placer = placer::spawn(context).await.expect("placer");
    agent.worker.wait_for("a look under the new term", |script| script.looks.len() > 2).await;
    placer.cast(Message::Submitted(Box::new(job(1)))).expect("running");
    tokio::time::sleep(A_WHILE).await;
    assert_eq!(agent.worker.change(|script| script.starts.len()), 0, "the view is older than the claim");
    view.send_replace(Some(roster(TERM, REVISION, &[("agent-1", agent.address)])));
    agent.worker.wait_for("a start", |script| !script.starts.is_empty()).await;
}
