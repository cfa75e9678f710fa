//! Which runs start, move and return when a failure domain is evacuated.

mod support;

use std::time::Duration;

use chervilledge_cell::cell::{Action, Note};
use chervilledge_cell::evacuation::{EvacuatedDomains, Held, Standing};
use chervilledge_cell::job::{JobId, Step, TaskId};
use chervilledge_cell::worker::{EndKind, Refusal, RunReport, Worker};
use rstest::rstest;
use support::{World, job, name, step, worker};

const MILLICORES: u64 = 8_000;
const DOMAINS: [&str; 4] = ["hobart", "dunedin", "nelson", "albany"];

/// A cell whose workers are assigned to the domains in turn.
fn spread_world(workers: usize) -> World {
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

fn set(standings: &[(&str, u64, bool)], complete_revision: u64) -> EvacuatedDomains {
    let mut domains = EvacuatedDomains::default();
    for (domain, revision, is_requested) in standings {
        domains.note(&name(domain), Standing { revision: *revision, is_requested: *is_requested });
    }
    domains.note_whole(complete_revision, |domain| standings.iter().any(|(named, ..)| **named == **domain));
    domains
}

/// Places waiting tasks; returns the domains of the starts.
fn placed(world: &mut World) -> Vec<&'static str> {
    world.cell.place(world.now);
    let actions = world.cell.take_actions();
    let domains = actions.iter().filter_map(|action| match action {
        Action::Start { agent, .. } => Some(domain_of(agent)),
        Action::Stop { .. } | Action::Settle { .. } | Action::SettleCrash { .. } => None,
    });
    let domains = domains.collect();
    for action in &actions {
        world.carry_out(action);
    }
    domains
}

/// A late request or removal must not undo a newer one, in whichever way the two become known.
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
    #[case] known_complete_revision: u64,
    #[case] received: &[(&str, u64, bool)],
    #[case] received_complete_revision: u64,
    #[case] is_evacuated: bool,
) {
    let mut domains = set(known, known_complete_revision);
    domains.merge(&set(received, received_complete_revision));
    assert_eq!(domains.is_evacuated(&name("a")), is_evacuated, "{domains:?}");
}

/// A removal that is implied by a complete read must replace a request reported by another process, even if the
/// reader knew of an earlier evacuation of the same domain.
#[test]
fn a_whole_read_holds_for_domains_that_were_evacuated_before() {
    let mut reader = set(&[("a", 10, true)], 0);
    reader.note(&name("a"), Standing { revision: 15, is_requested: false });
    reader.note_whole(30, |_| false);
    let mut domains = set(&[("a", 20, true)], 0);
    assert_eq!(domains.merge(&reader), [name("a")]);
    assert!(!domains.is_evacuated(&name("a")));
}

/// Nothing may start in an evacuated domain, including copies and retries, while every job ends elsewhere.
#[test]
fn a_full_cell_goes_on_without_the_evacuated_domain() {
    let mut world = spread_world(56);
    for id in 0..60 {
        let long = Step { checkpointing: true, estimate: Duration::from_secs(30), ..step(4, 1_000) };
        world.submit(job(id, vec![if id % 3 == 0 { long } else { step(10, 600) }]));
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
        world.cell.move_evacuated(world.now);
    }
    assert!((0..60).all(|id| !world.cell.open_jobs().contains(&JobId(id))));
}

/// An order that the agent refused must leave the task unchanged: its waiting time continues, and its next run has a
/// new number.
///
/// The task asks for more than any worker has left, so that it starts only after it has waited for 2 s.
#[test]
fn a_refused_start_counts_as_never_ordered() {
    let mut world = spread_world(2);
    world.submit(job(1, vec![Step { filling: true, ..step(1, 2 * MILLICORES) }]));
    let start = |world: &mut World| {
        world.cell.ask_placing();
        world.cell.place(world.now);
        match world.cell.take_actions().into_iter().next() {
            Some(Action::Start { agent, order, .. }) => Some((agent, order)),
            _ => None,
        }
    };
    assert_eq!(start(&mut world), None);
    world.advance_ms(2_100);
    let (first, order) = start(&mut world).expect("a start");
    world.advance_ms(50);
    world.cell.run_refused(&first, order.task, order.run, Refusal::Evacuated, world.now);
    let (second, again) = start(&mut world).expect("a start elsewhere, at once");
    assert_ne!(first, second);
    assert!(again.run > order.run, "numbers of runs are never used twice");
}

/// A slowed run must not be stopped in favor of tasks that can't use its capacity either.
#[rstest]
#[case::evacuated(true, 0)]
#[case::in_use(false, 1)]
fn a_slowed_run_is_not_stopped_without_room(#[case] is_evacuated: bool, #[case] expected: usize) {
    let mut world = spread_world(1);
    world.submit(job(2, vec![Step { filling: true, checkpointing: true, ..step(1, 2_000) }]));
    placed(&mut world);
    world.submit(job(3, vec![step(1, 2 * MILLICORES)]));
    world.cell.evacuate(&set(&[("hobart", 5, is_evacuated)], 0), world.now);
    let (_, task, run) = world.all_running()[0].clone();
    let slowed = RunReport { task, run, checkpoint: name("c"), percent: 10, measured: 400, pace_percent: 10 };
    world.cell.runs_reported(&[slowed], world.now);
    world.advance_ms(1_600);
    world.cell.watch_runs(world.now);
    assert_eq!(world.cell.take_actions().len(), expected);
}

/// A request and its removal are logged once each, however often they are read.
#[test]
fn each_change_is_noted_once() {
    let mut world = spread_world(4);
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

/// Reports the progress of every run to the cell.
fn report(world: &mut World, percent: impl Fn(TaskId) -> u32) {
    let reports: Vec<RunReport> = world
        .all_running()
        .into_iter()
        .map(|(_, task, run)| RunReport {
            task,
            run,
            checkpoint: name(""),
            percent: percent(task),
            measured: 0,
            pace_percent: 100,
        })
        .collect();
    world.cell.runs_reported(&reports, world.now);
}

/// Stops that the cell has ordered since the last call.
fn stops(world: &mut World) -> Vec<Action> {
    world.cell.move_evacuated(world.now);
    let stops = world.cell.take_actions();
    assert!(stops.iter().all(|action| matches!(action, Action::Stop { reason: "evacuated", .. })), "{stops:?}");
    stops
}

fn held(world: &World) -> Held {
    world.cell.evacuations().iter().fold(Held::default(), |sum, evacuation| Held {
        no_room: sum.no_room + evacuation.held.no_room,
        unavailable_max: sum.unavailable_max + evacuation.held.unavailable_max,
        short_task: sum.short_task + evacuation.held.short_task,
        moving: sum.moving + evacuation.held.moving,
    })
}

fn runs_in(world: &World, domain: &str) -> Vec<TaskId> {
    world.all_running().into_iter().filter(|(agent, ..)| domain_of(agent) == domain).map(|(_, task, _)| task).collect()
}

fn lasting(count: u32, unavailable_max: u32) -> Step {
    Step { lasting: true, unavailable_max: Some(unavailable_max), per_worker_max: Some(1), ..step(count, 4_000) }
}

/// A move must never exceed the number of unavailable tasks that a step allows, and a task must never have two runs.
#[rstest]
#[case::one(1)]
#[case::several_allowed(3)]
fn lasting_tasks_move_one_at_a_time(#[case] unavailable_max: u32) {
    let mut world = spread_world(16);
    world.submit(job(1, vec![lasting(8, unavailable_max)]));
    placed(&mut world);
    report(&mut world, |_| 100);
    let domains = ["hobart", "dunedin"];
    let inside = |world: &World| domains.iter().map(|domain| runs_in(world, domain).len()).sum::<usize>();
    let at_first = inside(&world);
    assert!(at_first > 1, "{at_first} of 8 runs");
    world.cell.evacuate(&set(&[("hobart", 5, true), ("dunedin", 6, true)], 0), world.now);
    for left in (0..at_first).rev() {
        let stops = stops(&mut world);
        assert_eq!(stops.len(), 1, "one at a time");
        assert_eq!(placed(&mut world), Vec::<&str>::new(), "the stopped run may go on");
        for action in &stops {
            world.carry_out(action);
        }
        assert_eq!(placed(&mut world).len(), 1, "the room was kept");
        world.advance_ms(300);
        assert_eq!(self::stops(&mut world), [], "the new run isn't at work yet");
        report(&mut world, |_| 100);
        assert_eq!(inside(&world), left);
    }
    assert_eq!(stops(&mut world), []);
    assert_eq!(held(&world), Held::default());
}

/// A move must not make a task unavailable while others of its step are unavailable for another reason.
#[test]
fn lasting_tasks_stay_while_others_are_unavailable() {
    let mut world = spread_world(12);
    world.submit(job(1, vec![lasting(8, 1)]));
    placed(&mut world);
    report(&mut world, |task| u32::from(task.key.index > 0) * 100);
    world.cell.evacuate(&set(&[("hobart", 5, true)], 0), world.now);
    assert_eq!(stops(&mut world), []);
    assert_eq!(held(&world).unavailable_max, runs_in(&world, "hobart").len());
}

/// A run stopped without capacity for it elsewhere would only wait; capacity that it was stopped for must not go to
/// others.
#[test]
fn nothing_is_stopped_without_room() {
    let mut world = spread_world(4);
    world.submit(job(1, vec![lasting(4, 1)]));
    placed(&mut world);
    world.submit(job(2, vec![step(3, 4_000)]));
    let fillers = placed(&mut world);
    report(&mut world, |_| 100);
    let evacuated = DOMAINS.iter().find(|domain| !fillers.contains(domain)).expect("one has room left");
    world.cell.evacuate(&set(&[(*evacuated, 5, true)], 0), world.now);
    assert_eq!(stops(&mut world), []);
    assert_eq!(held(&world), Held { no_room: 1, ..Held::default() });
    // With one run per worker at most, no other worker could take a second run of the step either way.
    let mut world = spread_world(4);
    world.submit(job(1, vec![Step { per_worker_max: None, ..lasting(1, 1) }]));
    let domain = placed(&mut world)[0];
    world.submit(job(2, vec![step(7, 4_000)]));
    placed(&mut world);
    report(&mut world, |_| 100);
    world.cell.evacuate(&set(&[(domain, 5, true)], 0), world.now);
    assert_eq!(stops(&mut world), []);
    let (agent, task, run) =
        world.all_running().into_iter().find(|(agent, ..)| domain_of(agent) != domain).expect("one");
    world.end(&agent, task, run, EndKind::Done);
    let stops = stops(&mut world);
    assert_eq!(stops.len(), 1);
    world.submit(job(3, vec![step(1, 4_000)]));
    assert_eq!(placed(&mut world), Vec::<&str>::new(), "the room is kept");
    for action in &stops {
        world.carry_out(action);
    }
    assert_eq!(placed(&mut world).len(), 1);
    assert!(world.all_running().iter().any(|(agent, task, _)| task.job == JobId(1) && domain_of(agent) != domain));
}

/// Capacity reserved for a run whose stop is never answered must not stay reserved forever.
#[test]
fn room_is_kept_for_some_seconds_only() {
    let mut world = spread_world(2);
    world.submit(job(1, vec![lasting(1, 1)]));
    let domain = placed(&mut world)[0];
    report(&mut world, |_| 100);
    world.cell.evacuate(&set(&[(domain, 5, true)], 0), world.now);
    assert_eq!(stops(&mut world).len(), 1);
    world.submit(job(2, vec![step(1, 8_000)]));
    assert_eq!(placed(&mut world).len(), 0);
    world.advance_ms(6_000);
    assert_eq!(stops(&mut world), [], "the stop isn't ordered again");
    assert_eq!(placed(&mut world).len(), 1);
}

/// Runs that end soon must not lose their work, and of the others those with the least unsaved work move first.
#[test]
fn long_runs_that_save_checkpoints_move_with_the_least_unsaved_work_first() {
    let mut world = spread_world(8);
    let long = Step { checkpointing: true, estimate: Duration::from_mins(1), ..step(1, 100) };
    for id in 1..=16 {
        world.submit(job(id, vec![long.clone()]));
    }
    world.submit(job(20, vec![Step { checkpointing: false, ..long }]));
    world.submit(job(21, vec![Step { checkpointing: true, ..step(1, 100) }]));
    placed(&mut world);
    // A third of the jobs are about to end.
    let percent = |task: TaskId| {
        if task.job.0.is_multiple_of(3) { 90 } else { 40_u32.saturating_sub(u32::try_from(task.job.0).unwrap_or(0)) }
    };
    report(&mut world, percent);
    let requests: Vec<(&str, u64, bool)> = DOMAINS[..3].iter().map(|domain| (*domain, 5, true)).collect();
    world.cell.evacuate(&set(&requests, 0), world.now);
    let mut moved = Vec::new();
    for _ in 0..20 {
        let stops = stops(&mut world);
        assert!(stops.len() <= 2, "a bounded rate for 8 workers");
        for action in &stops {
            let Action::Stop { task, .. } = action else { continue };
            moved.push(percent(*task));
            world.carry_out(action);
        }
        world.advance_ms(300);
        placed(&mut world);
    }
    assert!(!moved.is_empty() && moved.is_sorted() && moved.iter().all(|percent| *percent < 90), "{moved:?}");
    let left: Vec<u64> =
        DOMAINS[..3].iter().flat_map(|domain| runs_in(&world, domain)).map(|task| task.job.0).collect();
    assert!(left.iter().all(|job| job.is_multiple_of(3) || *job >= 20), "{left:?}");
    assert_eq!(held(&world).short_task, left.len());
}

/// Waiting tasks must not all start at once on the workers of a domain that has just come back.
#[rstest]
#[case::warm(0, 5_000)]
#[case::cold(8_000, 8_000)]
fn starts_on_workers_that_return_are_spread(#[case] cold_ms: u64, #[case] spread_ms: u64) {
    let mut world = spread_world(4);
    for number in [1, 2, 3] {
        let agent = name(&format!("agent-{number}"));
        let leaves = Worker { leaves_in: Some(Duration::ZERO), ..worker(&agent, MILLICORES) };
        world.cell.worker_seen(&agent, leaves, world.now);
    }
    world.cell.evacuate(&set(&[("hobart", 5, true)], 0), world.now);
    world.submit_plain(1, 70);
    assert_eq!(placed(&mut world).len(), 0);
    let cold = Worker { cold_for: Duration::from_millis(cold_ms), ..worker(&name("agent-0"), MILLICORES) };
    world.cell.worker_seen(&name("agent-0"), cold, world.now);
    world.cell.evacuate(&set(&[("hobart", 9, false)], 0), world.now);
    let mut starts = Vec::new();
    for _ in 0..=spread_ms / 100 {
        starts.push(placed(&mut world).len());
        world.advance_ms(100);
    }
    let (last, early) = starts.split_last().expect("rounds");
    assert!(early.iter().all(|starts| *starts <= 1), "{early:?}");
    assert!(early.iter().sum::<usize>() >= early.len() / 2, "{early:?}");
    assert!(*last > 20, "all that wait once the time is over: {last}");
}

/// A mistaken request must be reported once, and stop nothing.
#[test]
fn doubtful_requests_are_told_once() {
    let mut world = spread_world(2);
    world.cell.take_notes();
    world.cell.evacuate(&set(&[("no-such", 5, true)], 0), world.now);
    world.submit_plain(1, 2);
    assert_eq!(placed(&mut world).len(), 2);
    world.cell.evacuate(&set(&[("hobart", 6, true), ("dunedin", 7, true)], 0), world.now);
    for _ in 0..30 {
        world.advance_ms(300);
        assert_eq!(stops(&mut world), []);
    }
    let reasons: Vec<&str> = world
        .cell
        .take_notes()
        .iter()
        .filter_map(|note| if let Note::EvacuationDoubtful { reason, .. } = note { Some(*reason) } else { None })
        .collect();
    assert_eq!(reasons, ["no_other_domain", "no_worker"]);
}

/// The machine of a stopping agent may be removed with the worker and its runs.
#[test]
fn a_sound_run_is_moved_to_the_worker_of_a_stopping_agent() {
    let mut world = spread_world(2);
    world.submit(job(1, vec![lasting(1, 1)]));
    let started_in = placed(&mut world);
    report(&mut world, |_| 100);
    let other = name(if started_in == ["hobart"] { "agent-1" } else { "agent-0" });
    world.cell.agent_retiring(&other, true);
    world.cell.evacuate(&set(&[(started_in[0], 5, true)], 0), world.now);
    assert_eq!(stops(&mut world), []);
    world.cell.agent_retiring(&other, false);
    assert_eq!(stops(&mut world).len(), 1);
}
