//! Jobs and takeovers near the limits of the platform's pages.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use chervilledge_cell::cell::{Action, Cell, Inventory};
use chervilledge_cell::job::{Job, JobId, JobState, Schedule, Step, TaskId, TaskKey};
use chervilledge_cell::progress::Progress;
use chervilledge_cell::worker::{End, EndKind};
use chervilledge_policy::id::Name;
use rstest::rstest;
use support::{LEASE, World, configuration, job, name, step, worker};

const NOW: Duration = Duration::from_secs(100);
/// Most ends that a worker lists at a time.
const PAGE_ENDS: usize = 500;
/// Agents that the ends of a takeover are spread over.
const AGENTS: usize = 200;

/// A new placer, and the ends that wait on the worker of each agent.
struct Takeover {
    cell: Cell,
    jobs: Vec<Job>,
    waiting: BTreeMap<Name, Vec<End>>,
    ends: usize,
    /// Reports of agents with ends.
    pages: u32,
    /// Transactions of the placer.
    batches: u32,
}

fn takeover(jobs: u64, tasks_per_job: u32) -> Takeover {
    let mut cell = Cell::new(2, LEASE);
    cell.configure(Arc::new(configuration()));
    let jobs: Vec<Job> = (1..=jobs).map(|id| job(id, vec![step(tasks_per_job, 1_000)])).collect();
    let agents: Vec<Name> = (0..AGENTS).map(|number| name(&format!("agent-{number}"))).collect();
    let mut waiting: BTreeMap<Name, Vec<End>> = BTreeMap::new();
    let tasks = jobs.iter().flat_map(|job| {
        (0..tasks_per_job).map(|index| TaskId { job: job.id, key: TaskKey { occurrence: 0, step: 0, index } })
    });
    let mut ends = 0;
    for (task, agent) in tasks.zip(agents.iter().cycle()) {
        let waiting = waiting.entry(Arc::clone(agent)).or_default();
        let number = waiting.len() as u64 + 1;
        waiting.push(End { number, task, run: 1, kind: EndKind::Done, checkpoint: name("") });
        ends += 1;
    }
    for agent in &agents {
        cell.agent_known(agent, true, NOW);
    }
    Takeover { cell, jobs, waiting, ends, pages: 0, batches: 0 }
}

impl Takeover {
    fn load_jobs(&mut self) {
        for job in &self.jobs {
            self.cell.load(job.clone(), Progress::default(), 7, Duration::ZERO, NOW);
        }
        self.cell.jobs_read(1_000);
    }

    /// Each agent reports the first page of its worker's ends.
    fn link_agents(&mut self) {
        for (agent, ends) in &self.waiting {
            let ends: Vec<End> = ends.iter().take(PAGE_ENDS).cloned().collect();
            let is_partial = ends.len() == PAGE_ENDS;
            let worker = Some(worker(agent, 16_000));
            let inventory = Inventory { worker, ends, is_partial, ..Inventory::default() };
            self.cell.agent_linked(agent, inventory, NOW);
            self.pages += 1;
        }
    }

    /// Writes all progress, settles the ends, and reports further pages until no end is left.
    fn finish(&mut self) {
        let mut reported: BTreeMap<Name, u64> = BTreeMap::new();
        while let Some(batch) = self.cell.next_batch() {
            self.batches += 1;
            self.cell.committed(&batch, 30 + u64::from(self.batches), NOW);
            for action in self.cell.take_actions() {
                let Action::Settle { agent, cursor, .. } = action else { continue };
                let ends = self.waiting.get_mut(&agent).expect("a known agent");
                ends.retain(|end| end.number > cursor);
                let reported = reported.entry(Name::clone(&agent)).or_insert(PAGE_ENDS as u64);
                let page = ends.iter().take(PAGE_ENDS).filter(|end| end.number > *reported);
                let page: Vec<End> = page.cloned().collect();
                if let Some(last) = page.last() {
                    *reported = last.number;
                    self.pages += 1;
                    self.cell.runs_ended(&agent, page, NOW);
                }
            }
        }
        assert!(self.waiting.values().all(Vec::is_empty), "not all ends are settled");
        for job in &self.jobs {
            assert_eq!(self.cell.state(job.id), Some(JobState::Completed), "{}", job.id);
        }
    }
}

/// Shortest of three durations, since other processes use the machine as well.
fn shortest(measure: impl Fn() -> Duration) -> Duration {
    (0..3).map(|_| measure()).min().unwrap_or_default()
}

/// Time that the takeover takes, the pages and the writes; `are_jobs_read_first` before the agents answer.
fn measure(jobs: u64, tasks_per_job: u32, are_jobs_read_first: bool) -> Duration {
    let mut takeover = takeover(jobs, tasks_per_job);
    let began = Instant::now();
    if are_jobs_read_first {
        takeover.load_jobs();
        takeover.link_agents();
    } else {
        takeover.link_agents();
        takeover.load_jobs();
    }
    takeover.finish();
    let took = began.elapsed();
    let Takeover { ends, pages, batches, .. } = takeover;
    println!("{ends} ends of {jobs} jobs: {took:?}, {pages} pages, {batches} batches");
    took
}

/// The time of a takeover grew with the product of the ends that wait and the tasks of a job.
#[test]
fn a_takeover_takes_longer_for_ends_of_large_jobs() {
    let small = shortest(|| measure(200, 100, true));
    let large = shortest(|| measure(2, 10_000, true));
    assert!(large < small * 10, "{large:?} for as many ends as in {small:?}");
}

/// The time of a takeover grew with the product of the ends that wait and the jobs, when agents answer before the rows are
/// read.
#[test]
fn ends_of_jobs_that_are_not_read_cost_more_with_each_job() {
    let few = shortest(|| measure(250, 25, false));
    let many = shortest(|| measure(4_000, 25, false));
    assert!(many < few * 64, "{many:?} for 16 times as much as in {few:?}");
}

/// Runs a job of one task whose occurrences are due at an interval of passes, `places` of them at a time; returns the time
/// and the largest progress that was written after completed occurrences were folded.
fn repeat(occurrences: u32, places: u64, interval: Duration) -> (Duration, usize) {
    let mut world = World::with_workers(1, 1_000 * places);
    let schedule = Schedule { first_unix_ms: 0, interval, occurrences };
    world.submit(Job { schedule: Some(schedule), ..job(1, vec![step(1, 1_000)]) });
    let (mut folded_bytes_max, mut bytes_written, mut ends) = (0, 0, 0);
    let began = Instant::now();
    for pass in 0.. {
        if world.cell.state(JobId(1)) == Some(JobState::Completed) {
            break;
        }
        world.cell.open_due(pass, world.now);
        world.place();
        for (agent, task, run) in world.all_running() {
            world.end(&agent, task, run, EndKind::Done);
            ends += 1;
        }
        world.advance_ms(100);
        let batch = world.cell.next_batch().expect("ends have to be stored");
        let progress = &batch.writes[0].progress;
        bytes_written += progress.stored_bytes();
        if !progress.completed.is_empty() {
            folded_bytes_max = progress.stored_bytes().max(folded_bytes_max);
        }
        let revision = world.next_revision();
        world.cell.committed(&batch, revision, world.now);
    }
    let took = began.elapsed();
    println!("{occurrences} occurrences: {took:?}, {} bytes for an end", bytes_written / ends);
    assert_eq!(ends, occurrences as usize);
    (took, folded_bytes_max)
}

/// Each end went through all open occurrences of its job.
#[test]
fn an_end_of_a_repeating_job_costs_more_with_each_open_occurrence() {
    let few = shortest(|| repeat(1_000, 500, Duration::ZERO).0);
    let many = shortest(|| repeat(8_000, 500, Duration::ZERO).0);
    assert!(many < few * 32, "{many:?} for 8 times as much as in {few:?}");
}

/// Completed occurrences were written again with each end, up to 1,000 of them.
#[test]
fn a_repeating_job_writes_its_completed_occurrences_again() {
    let (_, folded_bytes_max) = repeat(100_000, 1, Duration::from_millis(1));
    assert!(folded_bytes_max <= 64, "{folded_bytes_max} bytes");
}

/// Progress that the store takes in one call, in bytes: 1 MB in Base64 with keys and conditions.
const STORABLE_BYTES: usize = 700_000;

/// Checkpoints of stopped runs made progress that the store refuses; its ends weren't settled, nor those of other jobs
/// behind them on the same worker.
#[rstest]
#[case::texts_as_on_the_page(16, 5_000)]
#[case::long_texts(200, 800)]
#[case::a_few_texts_above_a_call(50_000, 4)]
fn checkpoints_outgrow_a_transaction(#[case] text_bytes: usize, #[case] stored_min: usize) {
    let mut world = World::with_workers(1, 1_000);
    let saving = Step { checkpointing: true, ..step(10_000, 1_000) };
    world.cell.load(job(1, vec![saving]), Progress::default(), 7, Duration::ZERO, world.now);
    let end = |index: u32| {
        let task = TaskId { job: JobId(1), key: TaskKey { occurrence: 0, step: 0, index } };
        let checkpoint = name(&format!("{index:0text_bytes$}"));
        End { number: u64::from(index) + 1, task, run: 1, kind: EndKind::Stopped, checkpoint }
    };
    let count = if text_bytes > 200 { 20 } else { 10_000 };
    world.cell.runs_ended(&name("agent-0"), (0..count).map(end).collect(), world.now);
    let batch = world.cell.next_batch().expect("ends have to be stored");
    let progress = &batch.writes[0].progress;
    assert!(progress.stored_bytes() <= STORABLE_BYTES, "{} bytes", progress.stored_bytes());
    assert!(progress.checkpoints.len() >= stored_min, "{} checkpoints", progress.checkpoints.len());
    world.cell.committed(&batch, 30, world.now);
    let settled = |action: &Action| matches!(action, Action::Settle { cursor, .. } if *cursor == u64::from(count));
    assert!(world.cell.take_actions().iter().any(settled), "not all ends are settled");
}

/// Jobs at the limits of what is accepted.
#[rstest]
#[case::tasks(vec![step(10_000, 1)], true)]
#[case::too_many_tasks(vec![step(10_000, 1), step(1, 1)], false)]
#[case::steps(vec![step(1, 1); 1_000], true)]
#[case::too_many_steps(vec![step(1, 1); 1_001], false)]
fn a_job_at_a_limit_is_refused(#[case] steps: Vec<Step>, #[case] is_accepted: bool) {
    assert_eq!(job(1, steps).check().is_ok(), is_accepted);
}

/// A job that repeats and leaves one task of each occurrence open kept the done ones of all of them, in memory and in its
/// row, until the row outgrew a transaction.
#[test]
fn occurrences_with_one_open_task_are_all_kept() {
    const TASKS: u32 = 1_000;
    /// Tasks that are kept, and those of the last occurrence that was opened.
    const HELD_TASKS_MAX: usize = 50_000 + TASKS as usize;
    let mut world = World::with_workers(1, u64::from(TASKS));
    let schedule = Schedule { first_unix_ms: 0, interval: Duration::from_millis(1), occurrences: 100 };
    let never_fits = step(1, 1_000_000);
    world.submit(Job { schedule: Some(schedule), ..job(1, vec![step(TASKS - 1, 1), never_fits]) });
    let mut done_max = 0;
    for pass in 0..200 {
        world.cell.open_due(pass, world.now);
        world.place();
        for (agent, task, run) in world.all_running() {
            world.end(&agent, task, run, EndKind::Done);
        }
        world.advance_ms(100);
        if let Some(batch) = world.cell.next_batch() {
            done_max = batch.writes[0].progress.done.len().max(done_max);
            let revision = world.next_revision();
            world.cell.committed(&batch, revision, world.now);
        }
    }
    assert!(done_max > HELD_TASKS_MAX / 2, "{done_max} done tasks, the test plays too few");
    assert!(done_max <= HELD_TASKS_MAX, "{done_max} done tasks");
}
