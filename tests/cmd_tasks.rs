//! `chervilledge submit`, `jobs`, `cancel` and `explain` against running daemons and tasks.

mod harness;

use harness::batch::{Site, bind_platform, bind_worker};
use harness::operator::{self, Run};
use harness::{WorkDir, wait_until};

/// Entry with one worker, and a directory for the command.
async fn start() -> (Site, WorkDir, impl Sized) {
    let platform = bind_platform().await;
    let worker = bind_worker("worker-1").await;
    let mut site = Site::open(platform.address()).await;
    site.entry("entry-1");
    site.agent("worker-1", worker.address());
    site.wait_granted(0, 1).await;
    (site, WorkDir::new(), (platform, worker))
}

async fn run(site: &Site, directory: &WorkDir, arguments: &str) -> Run {
    let options = operator::options(directory, site.entries[0].address("operators_address"));
    operator::run(directory, &format!("{arguments} {options}")).await
}

async fn submit(site: &Site, directory: &WorkDir, key: &str, kind: &str, tasks: u32) -> String {
    let submitted =
        run(site, directory, &format!("submit {key} --team orders --kind {kind} --tasks {tasks} --json")).await;
    assert_eq!(submitted.status, 0, "{submitted:?}");
    submitted.json()["id"].as_str().expect("id").to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_is_submitted_followed_and_explained() {
    let (site, directory, _running) = start().await;
    let id = submit(&site, &directory, "first", "quick", 3).await;
    let again = run(&site, &directory, "submit first --team orders --kind quick --tasks 3").await;
    assert_eq!((again.status, again.out), (0, format!("Job {id} was submitted before.\n")));
    let other = run(&site, &directory, "submit first --team orders --kind quick --tasks 4").await;
    assert_eq!(other.status, 39, "{other:?}");
    let (site, directory) = (&site, &directory);
    wait_until("the job is finished", || async {
        let shown = run(site, directory, &format!("jobs {id}")).await;
        shown.out.contains("finished, 3 done.") && !shown.out.contains("not finished")
    })
    .await;
    let listed = run(site, directory, "jobs").await;
    assert!(listed.out.lines().any(|line| line.starts_with(&id) && line.ends_with(" first")), "{listed:?}");
    let explained = run(site, directory, &format!("explain {id}/0")).await;
    assert_eq!(explained.status, 0, "{explained:?}");
    assert!(explained.out.starts_with(&format!("Task {id}/0, in the table: done")), "{explained:?}");
    for step in ["claimed", "started", "completed"] {
        assert!(explained.out.contains(step), "{step}: {explained:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_and_tasks_are_cancelled() {
    let (site, directory, _running) = start().await;
    let id = submit(&site, &directory, "long", "steady", 2).await;
    let task = run(&site, &directory, &format!("cancel {id}/1")).await;
    assert_eq!((task.status, task.out.as_str()), (0, "Task cancelled in 1 job.\n"), "{task:?}");
    let team = run(&site, &directory, "cancel --team orders").await;
    assert_eq!((team.status, team.out.as_str()), (0, "Cancelled 1 job.\n"), "{team:?}");
    let (site, directory) = (&site, &directory);
    wait_until("both tasks are cancelled", || async {
        run(site, directory, &format!("jobs {id}")).await.out.contains("finished, 2 cancelled.")
    })
    .await;
    let unknown = run(site, directory, "jobs absent").await;
    assert_eq!(unknown.status, 39, "{unknown:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_can_never_run_is_refused_with_its_reason() {
    let (site, directory, _running) = start().await;
    let quota = run(&site, &directory, "submit big --team orders --kind over_quota --tasks 1").await;
    assert_eq!(quota.status, 39, "{quota:?}");
    assert!(quota.err.contains("(3012)"), "{quota:?}");
    let kind = run(&site, &directory, "submit x --team orders --kind absent --tasks 1").await;
    assert_eq!(kind.status, 49, "{kind:?}");
}
