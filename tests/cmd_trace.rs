//! `chervilledge trace`.

#[allow(dead_code, reason = "each test file uses its part")]
#[path = "support/work_dir.rs"]
mod work_dir;

use work_dir::WorkDir;

const ENTRY: &str = r#"
  2.10 entry-1 {"at":"13:28:22.316","event":"submitted","node":"entry-1","job":"5c0e7a21d94b36f8","stored":"Done"}
  2.11 entry-1 {"at":"13:28:22.320","event":"submitted","node":"entry-1","job":"0000000000000001","stored":"Done"}
not a line of ours about 5c0e7a21d94b36f8
"#;

const PLACER: &str = r#"
{"at":"13:28:23.001","event":"run_ended","node":"entry-2","task":"5c0e7a21d94b36f8.0.0.1","how":"done","run":1}
{"at":"13:28:22.331","event":"placed","node":"entry-2","task":"5c0e7a21d94b36f8.0.0.1","agent":"agent-3","run":1}
{"at":"13:28:22.331","event":"placed","task":"5c0e7a21d94b36f8
"#;

#[test]
fn lines_of_a_job_come_in_the_order_of_time() {
    let dir = WorkDir::with_fitters("trace_order");
    dir.write("entry.log", ENTRY);
    dir.write("placer.log", PLACER);
    let run = dir.run("trace 5c0e7a21d94b36f8 placer.log entry.log");
    assert_eq!((run.status, run.err.as_str()), (0, ""));
    assert_eq!(
        run.out,
        "\
13:28:22.316 entry-1             submitted        job=5c0e7a21d94b36f8 stored=Done
13:28:22.331 entry-2             placed           agent=agent-3 run=1 task=5c0e7a21d94b36f8.0.0.1
13:28:23.001 entry-2             run_ended        how=done run=1 task=5c0e7a21d94b36f8.0.0.1
"
    );
}

#[test]
fn lines_are_written_whole_for_scripts() {
    let dir = WorkDir::with_fitters("trace_json");
    dir.write("placer.log", PLACER);
    let run = dir.run("trace 5c0e7a21d94b36f8.0.0.1 placer.log --json");
    assert_eq!(run.out.lines().count(), 2, "{}", run.out);
    assert!(run.out.lines().all(|line| line.starts_with('{')), "{}", run.out);
}

const LASTING: &str = r#"
{"at":"13:28:25.001","event":"lasting_tasks_waiting","node":"entry-2","job":"5c0e7a21d94b36f8","task":"5c0e7a21d94b36f8.0.0.1","tasks":3,"reason":"no_capacity","workers":"{\"ejected\": 2}"}
"#;

#[test]
fn waiting_lasting_tasks_are_found_by_job_and_task() {
    let dir = WorkDir::with_fitters("trace_lasting");
    dir.write("placer.log", LASTING);
    for id in ["5c0e7a21d94b36f8", "5c0e7a21d94b36f8.0.0.1"] {
        let run = dir.run(&format!("trace {id} placer.log"));
        assert!(run.out.contains("lasting_tasks_waiting job=5c0e7a21d94b36f8 reason=no_capacity"), "{}", run.out);
    }
}

#[test]
fn a_file_that_is_not_there_is_named() {
    let dir = WorkDir::with_fitters("trace_missing");
    let run = dir.run("trace 5c0e7a21d94b36f8 nothing.log");
    assert_ne!(run.status, 0);
    assert!(run.err.contains("nothing.log"), "{}", run.err);
}

const LATE: &str = r#"
{"age_ms":9000,"at":"12:00:09.000","event":"job_ended","job":"5c0e7a21d94b36f8","node":"entry-2","objective_ms":3000,"queue":"large","state":"Completed","task":""}
{"agent":"agent-3","at":"12:00:04.500","event":"placed","node":"entry-2","run":1,"task":"5c0e7a21d94b36f8.0.0.1"}
"#;
const LATE_END: &str = r#"
{"agent":"agent-3","at":"12:00:09.000","event":"run_ended","how":"done","node":"entry-1","run":1,"task":"5c0e7a21d94b36f8.0.0.1"}
"#;

/// The sums of several files, as people read them.
#[test]
fn causes_of_lateness_are_summed_by_queue() {
    let dir = WorkDir::with_fitters("trace_late");
    dir.write("placer.log", LATE);
    dir.write("former.log", LATE_END);
    let run = dir.run("trace --late placer.log former.log");
    assert_eq!((run.status, run.err.as_str()), (0, ""));
    assert_eq!(
        run.out,
        "\
Queue large: 1 of 1 completed jobs late
                                                 SECONDS    EACH JOB    PART
    waiting for a first run                        4.500       4.500   50.0%
    waiting after a stopped or failed run          0.000       0.000    0.0%
    in failed runs                                 0.000       0.000    0.0%
    in the last run, beyond the median             0.000       0.000    0.0%
    in the last run, up to the median              4.500       4.500   50.0%
    not explained by the lines                     0.000       0.000    0.0%
    age                                            9.000       9.000  100.0%
    objective                                      3.000       3.000   33.3%
"
    );
    let json = dir.run("trace --late placer.log former.log --json").json();
    assert_eq!(json["queues"][0]["causes"]["waiting_first_ms"], 4_500);
}

/// A file that can't be read must not look like a day without late jobs.
#[test]
fn a_missing_file_is_told_from_one_without_late_jobs() {
    let dir = WorkDir::with_fitters("trace_late_missing");
    let run = dir.run("trace --late nothing.log");
    assert!(run.status != 0 && run.err.contains("nothing.log"), "{}", run.err);
    dir.write("placer.log", PLACER);
    let run = dir.run("trace --late placer.log");
    assert_eq!(run.out, "No completed job with an objective.\nNot counted: 1 lines that can't be read.\n");
}
