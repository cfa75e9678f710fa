//! What starts, moves and returns when a failure domain is evacuated.

mod support;

use chervilledge_cell::cell::{Action, Note};
use chervilledge_cell::evacuation::{EvacuatedDomains, Standing};
use chervilledge_cell::job::JobId;
use chervilledge_cell::worker::{EndKind, Refusal, Worker};
use rstest::rstest;
use support::{World, job, name, step, worker};

const MILLICORES: u64 = 8_000;
const DOMAINS: [&str; 4] = ["hobart", "dunedin", "nelson", "albany"];

/// A cell whose workers are spread over the domains in turn.
fn spread(workers: usize) -> World {
    let mut world = World::with_workers(workers, MILLICORES);
    for number in 0..workers {
        let agent = name(&format!("agent-{number}"));
        let moved = Worker { failure_domain: name(domain(number)), ..worker(&agent, MILLICORES) };
        world.cell.worker_seen(&agent, moved, world.now);
    }
    world
}

fn domain(number: usize) -> &'static str {
    DOMAINS[number % DOMAINS.len()]
}

/// Domain of an agent's worker.
fn domain_of(agent: &str) -> &'static str {
    domain(agent.trim_start_matches("agent-").parse().expect("a number"))
}

fn set(standings: &[(&str, u64, bool)], whole_at: u64) -> EvacuatedDomains {
    let mut domains = EvacuatedDomains::default();
    for (domain, revision, is_requested) in standings {
        domains.note(&name(domain), Standing { revision: *revision, is_requested: *is_requested });
    }
    domains.note_whole(whole_at, |domain| standings.iter().any(|(named, ..)| **named == **domain));
    domains
}

/// Places, and gives the domains of the starts.
fn placed(world: &mut World) -> Vec<&'static str> {
    world.cell.place(world.now);
    let actions = world.cell.take_actions();
    let domains = actions.iter().filter_map(|action| match action {
        Action::Start { agent, .. } => Some(domain_of(agent)),
        Action::Stop { .. } | Action::Settle { .. } => None,
    });
    let domains = domains.collect();
    for action in &actions {
        world.carry_out(action);
    }
    domains
}

/// A request or a removal that comes late must not undo a later one, in whichever way the two become known.
#[rstest]
#[case::late_removal(&[("a", 20, true)], 0, &[("a", 10, false)], 0, true)]
#[case::late_request(&[("a", 20, false)], 0, &[("a", 10, true)], 0, false)]
#[case::newer_removal(&[("a", 20, true)], 0, &[("a", 30, false)], 0, false)]
#[case::newer_whole_read(&[("a", 20, true)], 0, &[], 30, false)]
#[case::newer_whole_read_after_a_removal(&[("a", 20, true)], 0, &[("a", 10, false), ("b", 30, true)], 30, true)]
#[case::older_whole_read(&[("a", 20, true)], 0, &[], 10, true)]
#[case::request_from_before_the_whole_read(&[], 30, &[("a", 20, true)], 0, false)]
#[case::request_after_the_whole_read(&[], 30, &[("a", 40, true)], 0, true)]
fn an_older_revision_never_replaces_a_newer_one(
    #[case] known: &[(&str, u64, bool)],
    #[case] known_whole_at: u64,
    #[case] told: &[(&str, u64, bool)],
    #[case] told_whole_at: u64,
    #[case] is_evacuated: bool,
) {
    let mut domains = set(known, known_whole_at);
    domains.merge(&set(told, told_whole_at));
    assert_eq!(domains.is_evacuated(&name("a")), is_evacuated, "{domains:?}");
}

/// A removal that a whole read implies must replace a request that another process told of, though the reader knew of an
/// earlier evacuation of the same domain.
#[test]
fn a_whole_read_holds_for_domains_that_were_evacuated_before() {
    let mut reader = set(&[("a", 10, true)], 0);
    reader.note(&name("a"), Standing { revision: 15, is_requested: false });
    reader.note_whole(30, |_| false);
    let mut domains = set(&[("a", 20, true)], 0);
    assert_eq!(domains.merge(&reader), [name("a")]);
    assert!(!domains.is_evacuated(&name("a")));
}

/// Nothing may start in an evacuated domain, copies and starts after failures included, while every job ends elsewhere.
#[test]
fn a_full_cell_goes_on_without_the_evacuated_domain() {
    let mut world = spread(56);
    for id in 0..60 {
        world.submit(job(id, vec![step(10, 600)]));
    }
    assert!(placed(&mut world).contains(&"dunedin"));
    world.cell.evacuate(&set(&[("dunedin", 5, true)], 0), world.now);
    for round in 0..400 {
        world.advance_ms(50);
        let running = world.all_running();
        for (agent, task, run) in running.into_iter().take(20) {
            let kind = if round % 7 == 0 { EndKind::Failed } else { EndKind::Done };
            world.end(&agent, task, run, kind);
        }
        world.cell.watch_runs(world.now);
        world.cell.ask_placing();
        assert!(!placed(&mut world).contains(&"dunedin"), "a start in round {round}");
    }
    assert!((0..60).all(|id| !world.cell.open_jobs().contains(&JobId(id))));
}

/// An order that the agent refused must leave the task as it was: it has waited as long, and hasn't failed.
#[test]
fn a_refused_start_counts_as_never_ordered() {
    let mut world = spread(2);
    world.submit(job(1, vec![step(1, 600)]));
    world.cell.place(world.now);
    let Some(Action::Start { agent, order, .. }) = world.cell.take_actions().into_iter().next() else {
        panic!("a start");
    };
    world.advance_ms(50);
    world.cell.run_refused(&agent, order.task, order.run, Refusal::Evacuated, world.now);
    world.cell.place(world.now);
    let Some(Action::Start { agent: second, order: again, .. }) = world.cell.take_actions().into_iter().next() else {
        panic!("a start elsewhere");
    };
    assert_ne!(agent, second);
    assert!(again.run > order.run, "numbers of runs are never used twice");
}

/// A request and its removal are told once each, however often they are read.
#[test]
fn each_change_is_noted_once() {
    let mut world = spread(4);
    world.cell.take_notes();
    for standing in [("nelson", 5, true), ("nelson", 5, true), ("nelson", 9, false), ("nelson", 5, true)] {
        world.cell.evacuate(&set(&[standing], 0), world.now);
    }
    let changes: Vec<(u64, bool)> = world
        .cell
        .take_notes()
        .into_iter()
        .filter_map(|note| match note {
            Note::Evacuation { revision, is_requested, .. } => Some((revision, is_requested)),
            _ => None,
        })
        .collect();
    assert_eq!(changes, [(5, true), (9, false)]);
}
