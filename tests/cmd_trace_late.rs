//! Why jobs were late, from log lines: `chervilledge trace --late`.

use std::io::{self, Read};

use chervilledge::cmd::late::{BLOCK_BYTES, EVENTS_MAX, Late};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use serde_json::{Value, json};

const JOB: u64 = 0x5c0e_7a21_d94b_36f8;
const DAY_MS: u64 = 86_400_000;
const NOON_MS: u64 = DAY_MS / 2;
const STOPPED_ONCE: &str = "500-4000 0.0 stopped:no_progress, 4100-9000 0.0 done";

fn line(at_ms: u64, event: &str, fields: &str) -> String {
    let (hours, minutes, ms) = (at_ms / 3_600_000 % 24, at_ms / 60_000 % 60, at_ms % 60_000);
    let at = format!("{hours:02}:{minutes:02}:{:02}.{:03}", ms / 1_000, ms % 1_000);
    format!(r#"{{"at":"{at}","event":"{event}","node":"entry-1",{fields}}}"#)
}

fn run_line(job: u64, at_ms: u64, event: &str, task: &str, run: u64, fields: &str) -> String {
    line(at_ms, event, &format!(r#""task":"{job:016x}.0.{task}","run":{run}{fields}"#))
}

fn end_line(job: u64, at_ms: u64, age_ms: u64, objective_ms: u64) -> String {
    let times = format!(r#""age_ms":{age_ms},"objective_ms":{objective_ms}"#);
    line(at_ms, "job_ended", &format!(r#""job":"{job:016x}","queue":"large","state":"Completed",{times},"task":"""#))
}

/// Lines of a job that takes 9 s instead of 3 s, with runs `START-END TASK HOW`. The stop of a run was ordered for the reason
/// behind a colon; `lost` runs have no line of their end, `unseen` ones none of their start.
fn lines(job: u64, submitted_ms: u64, runs: &str) -> Vec<String> {
    let mut lines = Vec::new();
    for (number, text) in runs.split(", ").filter(|text| !text.is_empty()).enumerate() {
        let words: Vec<&str> = text.split([' ', '-', ':']).collect();
        let ms = |word: usize| submitted_ms + words[word].parse::<u64>().expect("milliseconds");
        let mut add = |at_ms, event, fields: &str| {
            lines.push(run_line(job, at_ms, event, words[2], number as u64 + 1, fields));
        };
        if words[3] != "unseen" {
            add(ms(0), "placed", "");
        }
        if let Some(reason) = words.get(4) {
            add(ms(1) - 900, "stop_ordered", &format!(r#","reason":"{reason}""#));
            add(ms(1) - 400, "stop_ordered", r#","reason":"stop_repeated""#);
        }
        if words[3] != "lost" {
            let how = words[3].replace("unseen", "done");
            add(ms(1), "run_ended", &format!(r#","how":"{how}""#));
        }
    }
    lines.push(end_line(job, submitted_ms + 9_000, 9_000, 3_000));
    lines
}

fn read_with(mut late: Late, mut reader: impl Read) -> Value {
    late.read(&mut reader).expect("memory can be read");
    late.finish().json()
}

fn read(text: &str) -> Value {
    read_with(Late::default(), text.as_bytes())
}

/// Causes that aren't 0, after a check that they add up to the age.
fn causes(report: &Value) -> Value {
    let queue = &report["queues"][0];
    let mut causes = queue["causes"].as_object().expect("an object").clone();
    let stopped = causes["stopped_ms"].as_object().expect("an object");
    let sum: u64 = causes.values().chain(stopped.values()).filter_map(Value::as_u64).sum();
    assert_eq!(json!(sum), queue["late_age_ms"], "{queue}");
    causes.retain(|_, time| *time != json!(0) && *time != json!({}));
    Value::Object(causes)
}

/// Time put down to a wrong cause would send whoever reads it to the wrong part of the scheduler.
#[rstest]
#[case::one_run("0-9000 0.0 done", json!({"median_ms": 9_000}))]
#[case::no_room("4000-9000 0.0 done", json!({"waiting_first_ms": 4_000, "median_ms": 5_000}))]
#[case::failed("0-2000 0.0 failed, 2500-9000 0.0 done", json!({"failed_ms": 2_000, "waiting_again_ms": 500, "median_ms": 6_500}))]
#[case::stopped(STOPPED_ONCE, json!({"waiting_first_ms": 500, "stopped_ms": {"no_progress": 3_500}, "waiting_again_ms": 100, "median_ms": 4_900}))]
#[case::stopped_twice("0-1000 0.0 stopped:slowed_down, 1500-4000 0.0 stopped:worker_leaves, 4000-9000 0.0 done",
    json!({"stopped_ms": {"slowed_down": 1_000, "worker_leaves": 2_500}, "waiting_again_ms": 500, "median_ms": 5_000}))]
#[case::lease_ran_out("0-4000 0.0 lapsed, 4000-9000 0.0 done", json!({"stopped_ms": {"lapsed": 4_000}, "median_ms": 5_000}))]
#[case::worker_lost("0-0 0.0 lost, 6000-9000 0.0 done", json!({"stopped_ms": {"lost": 6_000}, "median_ms": 3_000}))]
#[case::slow_last_run("0-2000 0.0 done, 0-2400 0.1 done, 0-9000 0.2 done", json!({"beyond_median_ms": 6_600, "median_ms": 2_400}))]
#[case::two_tasks("0-2000 0.0 done, 0-9000 0.1 done", json!({"beyond_median_ms": 7_000, "median_ms": 2_000}))]
#[case::copy("0-9050 0.0 stopped:done_elsewhere, 5000-9000 0.0 done", json!({"stopped_ms": {"done_elsewhere": 5_000}, "median_ms": 4_000}))]
#[case::steps_in_turn("1000-3000 0.0 done, 1000-2500 0.1 done, 5000-9000 1.0 done",
    json!({"waiting_first_ms": 3_000, "beyond_median_ms": 500, "median_ms": 5_500}))]
#[case::steps_beside_each_other("0-8000 0.0 done, 2000-9000 1.0 done", json!({"waiting_first_ms": 2_000, "median_ms": 7_000}))]
#[case::clocks_of_two_placers_differ("0-5000 0.0 done, 4990-9000 1.0 done", json!({"median_ms": 9_000}))]
#[case::first_line_lost("0-8000 0.0 unseen", json!({"unexplained_ms": 9_000}))]
#[case::all_lines_lost("", json!({"unexplained_ms": 9_000}))]
fn time_is_put_down_to_its_cause(#[case] runs: &str, #[case] expected: Value) {
    let report = read(&lines(JOB, NOON_MS, runs).join("\n"));
    assert_eq!(causes(&report), expected);
    let sums = ["queue", "completed", "late", "late_objective_ms"].map(|field| report["queues"][0][field].clone());
    assert_eq!(sums, [json!("large"), json!(1), json!(1), json!(3_000)]);
}

/// Time counted twice, or not at all, would make one cause look larger than it is.
#[rstest]
fn causes_add_up_to_the_age_whatever_the_lines_say(#[values(1, 2, 3)] seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    for _ in 0..2_000 {
        let (submitted_ms, age_ms) = (rng.random_range(0..DAY_MS), rng.random_range(2..20_000));
        let mut lines = vec![end_line(JOB, submitted_ms + age_ms, age_ms, 1)];
        for _ in 0..rng.random_range(0..30) {
            let task = format!("{}.{}", rng.random_range(0..3), rng.random_range(0..3));
            // Ends may be logged a little after that of the job.
            let at_ms = submitted_ms + rng.random_range(0..age_ms + 100);
            let events = [("placed", ""), ("stop_ordered", "reason"), ("run_ended", "how"), ("run_ended", "how")];
            let (event, field) = events[rng.random_range(0..4)];
            let field = format!(r#","{field}":"{}""#, ["done", "failed", "stopped"][rng.random_range(0..3)]);
            lines.push(run_line(JOB, at_ms, event, &task, rng.random_range(1..4), &field));
        }
        causes(&read(&lines.join("\n")));
    }
}

/// Files of several processes are read one after the other, a job may have had two placers, and times have no date.
#[rstest]
fn the_order_of_lines_and_midnight_change_nothing(
    #[values(NOON_MS, DAY_MS - 3_500)] submitted_ms: u64,
    #[values(0, 1, 2, 3, 4, 5)] by: usize,
    #[values(false, true)] is_reversed: bool,
) {
    let mut lines = lines(JOB, submitted_ms, STOPPED_ONCE);
    lines.rotate_left(by);
    if is_reversed {
        lines.reverse();
    }
    let report = read(&lines.join("\n"));
    assert_eq!(causes(&report)["stopped_ms"], json!({"no_progress": 3_500}));
    assert_eq!(causes(&report)["median_ms"], 4_900);
}

/// Jobs that failed, were in time or have no objective say nothing of lateness.
#[test]
fn only_completed_jobs_beyond_their_objective_are_late() {
    let failed = end_line(3, NOON_MS, 9_000, 3_000).replace("Completed", "Failed");
    let older = end_line(4, NOON_MS, 9_000, 3_000).replace("objective_ms", "other_ms");
    let all = [end_line(1, NOON_MS, 3_000, 3_000), end_line(2, NOON_MS, 9_000, 0), failed, older];
    let report = read(&all.join("\n"));
    assert_eq!(report["without_objective"], 2);
    assert_eq!((&report["queues"][0]["completed"], &report["queues"][0]["late"]), (&json!(1), &json!(0)));
}

/// Logs hold lines of other programs, prefixes, and lines that were cut off when a process was killed.
#[test]
fn a_line_that_cannot_be_read_stops_nothing() {
    let mut all: Vec<Vec<u8>> = Vec::new();
    for line in lines(JOB, NOON_MS, STOPPED_ONCE) {
        all.push(format!("  2.10 entry-1 {line}\r").into_bytes());
        all.push(br#"{"at":"12:00:01.000","event":"placed","task":"5c0e7a21d9"#.to_vec());
        all.push(b"\xff\xfe \"event\":\"placed\"\n\n\"event\":\"".to_vec());
        all.push(br#"{"at":12,"event":"run_ended","task":{}}"#.to_vec());
    }
    let report = read_with(Late::default(), all.join(&b'\n').as_slice());
    assert_eq!(report["lines_malformed"], 3 * lines(JOB, NOON_MS, STOPPED_ONCE).len());
    assert_eq!(causes(&report), causes(&read(&lines(JOB, NOON_MS, STOPPED_ONCE).join("\n"))));
}

/// Gives a few bytes at a time.
struct Pieces<'a>(&'a [u8], usize);

impl Read for Pieces<'_> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let length = self.1.min(buf.len());
        self.0.read(&mut buf[..length])
    }
}

/// A line between two reads, or one beside a line of another program that is longer than memory allows, would be lost.
#[rstest]
#[case::pieces(0, 7)]
#[case::long_line(BLOCK_BYTES / 2, 4_096)]
#[case::line_of_one_block(BLOCK_BYTES - 1, usize::MAX)]
#[case::line_of_one_block_and_its_end(BLOCK_BYTES, usize::MAX)]
#[case::line_of_blocks(3 * BLOCK_BYTES + 5, usize::MAX)]
fn no_line_is_lost_between_reads(#[case] long_bytes: usize, #[case] piece_bytes: usize) {
    let mut lines = lines(JOB, NOON_MS, STOPPED_ONCE);
    let expected = causes(&read(&lines.join("\n")));
    lines.insert(1, "x".repeat(long_bytes));
    let text = lines.join("\n");
    assert_eq!(causes(&read_with(Late::default(), Pieces(text.as_bytes(), piece_bytes))), expected);
}

/// Memory must not grow with the number of late jobs, nor with that of jobs that never end; neither may change the sums.
#[test]
fn few_events_are_kept_at_a_time() {
    const JOBS: u64 = 500;
    let mut all = Vec::new();
    for job in 0..JOBS {
        all.push(run_line(job << 32, NOON_MS, "placed", "0.0", 1, ""));
        all.extend(lines(JOB + job, NOON_MS + job * 100, STOPPED_ONCE));
    }
    let report = |events_max| read_with(Late::new(events_max), all.join("\n").as_bytes());
    let (all, few) = (report(EVENTS_MAX), report(100));
    assert_eq!(all["queues"], few["queues"]);
    assert_eq!((&all["queues"][0]["late"], &all["jobs_dropped"]), (&json!(JOBS), &json!(0)));
    // Each open job counts for five events.
    assert!(few["jobs_dropped"].as_u64().is_some_and(|dropped| dropped >= JOBS - 100 / 5), "{few}");
}
