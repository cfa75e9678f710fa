//! Log lines, metrics and state dump of a placer.

use std::collections::BTreeMap;
use std::time::Duration;

use chervilledge_cell::cell::{CapacityWait, Evacuation, Note, RestartingTask, RuledOut};
use chervilledge_cell::job::TaskId;
use chervilledge_policy::capacity::Resources;
use serde_json::{Value, json};

use super::State;
use super::pauses::Pause;
use crate::clock::whole_ms;

impl State {
    /// Logs and counts an event reported by the cell.
    pub(super) fn record_note(&self, note: &Note) {
        self.count_note(note);
        log_note(note, self.context.term);
    }

    fn count_note(&self, note: &Note) {
        let metrics = &self.context.metrics;
        match note {
            Note::Placed { job_age, is_first: true, .. } => metrics.first_start(*job_age),
            Note::Ended { how, .. } | Note::RunLost { how, .. } => metrics.run_ended(how),
            Note::JobEnded { state, age, .. } => metrics.job_ended(state.as_str(), *age),
            Note::Evacuation { is_requested, .. } => {
                metrics.evacuation_changed(if *is_requested { "requested" } else { "removed" });
            }
            Note::CheckpointsChosen { tasks, .. } => metrics.checkpoints(*tasks as u64),
            Note::RunMoved { .. } => metrics.displaced("moved"),
            Note::RunYielded { .. } => metrics.displaced("yielded"),
            Note::Preempted { .. } => metrics.displaced("preempted"),
            Note::EvacuationDoubtful { reason, .. } => metrics.evacuation_changed(reason),
            Note::RunCrashed { .. } => metrics.run_ended("crashed"),
            Note::TaskGivenUp { .. } => metrics.task_given_up(),
            Note::EvacuationProgress { .. }
            | Note::Placed { .. }
            | Note::WorkerEjected { .. }
            | Note::CrashExcused { .. }
            | Note::LastingTasksWaiting { .. }
            | Note::LastingTasksRunning { .. }
            | Note::TaskRestarts { .. }
            | Note::AgentChanged { .. } => {}
        }
    }

    pub(super) fn dump(&self, now: Duration) -> Value {
        let (jobs, open) = self.cell.job_counts();
        let unsaved = self.cell.unsaved();
        let lasting = self.cell.lasting_waits();
        let agents: Vec<Value> = self
            .cell
            .agents()
            .map(|(name, contact, runs)| json!({"agent": name, "contact": format!("{contact:?}"), "runs": runs}))
            .collect();
        let restarting: Vec<Value> = self
            .cell
            .restarting_tasks()
            .into_iter()
            .map(|RestartingTask { task, starts, since, how }| {
                json!({"task": task.to_string(), "starts": starts, "lasted_ms": whole_ms(now.saturating_sub(since)),
                "last_end": how})
            })
            .collect();
        let evacuations: Vec<Value> = self
            .cell
            .evacuations()
            .into_iter()
            .map(|Evacuation { domain, workers, held }| {
                json!({"domain": domain, "workers": workers,
                "runs": held.runs(), "held": format!("{held:?}")})
            })
            .collect();
        json!({
            "evacuations": evacuations,
            "term": self.context.term,
            "versions": self.versions(),
            "has_authority": self.may_act(now),
            "jobs": jobs,
            "jobs_open": open,
            "tasks_waiting": self.cell.waiting(),
            "tasks_stranded": self.cell.stranded().iter().map(ToString::to_string).collect::<Vec<_>>(),
            "lasting_waiting": {"tasks": lasting.tasks, "longest_ms": whole_ms(lasting.longest)},
            "tasks_restarting": restarting,
            "placement_paused": self.pause.as_ref().map(Pause::reason),
            "agents_unheard": self.cell.unresolved(),
            "checkpoints": {"unsaved_jobs": unsaved.jobs, "unsaved_core_ms": unsaved.core_ms},
            "room_reserved": self.cell.reserved(),
            "agents": agents,
            "backlog": &**self.cell.backlog(),
            "counters": format!("{:?}", self.cell.counters()),
        })
    }
}

fn log_note(note: &Note, term: u64) {
    match note {
        Note::Placed { task, run, agent, job_age, waiting, .. } => {
            log::info!(event = "placed", task:% = task, run = run, agent = &**agent, term = term,
                job_age_ms = whole_ms(*job_age), waiting = waiting; "");
        }
        Note::Ended { task, run, agent, how, failures } => {
            log::info!(event = "run_ended", task:% = task, run = run, agent = &**agent, how = how,
                failures = failures; "");
        }
        Note::RunLost { task, run, agent, ran, how } => {
            // 0 stands for a start that isn't confirmed.
            log::info!(event = "run_lost", task:% = task, run = run, agent = &**agent, how = *how,
                ran_ms = whole_ms(ran.unwrap_or_default()), term = term; "");
        }
        Note::RunCrashed { task, run, agent, crash, crashes } => {
            log::info!(event = "run_crashed", task:% = task, run = run, agent = &**agent, age_ms = whole_ms(crash.age),
                blame = crash.blame.as_str(), is_unconfirmed = crash.is_unconfirmed, crashes = crashes, term = term; "");
        }
        Note::CrashExcused { task, reason, workers } => {
            log::info!(event = "crash_excused", task:% = task, reason = *reason, workers = workers, term = term; "");
        }
        Note::TaskGivenUp { task, crashes } => {
            log::warn!(event = "task_given_up", job:% = task.job, task:% = task, crashes = crashes, term = term; "");
        }
        Note::JobEnded { job, state, age, objective, queue, task } => {
            let task = task.map_or_else(String::new, |task| task.to_string());
            // 0 stands for a job without an objective.
            log::info!(event = "job_ended", job:% = job, state:? = state, age_ms = whole_ms(*age),
                objective_ms = whole_ms(objective.unwrap_or_default()), queue = &**queue, task = task; "");
        }
        Note::CheckpointsChosen { chosen, tasks, left } => {
            log::info!(event = "checkpoints_chosen", jobs = chosen.jobs, tasks = tasks, core_ms = chosen.core_ms,
                jobs_left = left.jobs, core_ms_left = left.core_ms; "");
        }
        Note::RunMoved { task, run, agent, to, here, there } => {
            log::info!(event = "run_moved", task:% = task, run = run, agent = &**agent, to = &**to,
                here_ms = whole_ms(*here), there_ms = whole_ms(*there); "");
        }
        Note::RunYielded { task, run, agent, to } => {
            log::info!(event = "run_yielded", task:% = task, run = run, agent = &**agent, to:% = to; "");
        }
        Note::Preempted { task, run, agent, to, unsaved } => {
            log::info!(event = "preempted", task:% = task, run = run, agent = &**agent, to:% = to,
                unsaved_core_ms = whole_ms(*unsaved); "");
        }
        Note::WorkerEjected { agent, reason } => {
            log::warn!(event = "worker_ejected", agent = &**agent, reason = reason; "");
        }
        Note::Evacuation { domain, revision, is_requested, workers, runs } => {
            let event = if *is_requested { "evacuation_requested" } else { "evacuation_removed" };
            log::info!(event = event, domain = &**domain, revision = revision, workers = workers, runs = runs,
                term = term; "");
        }
        Note::EvacuationProgress { domain, held } => {
            log::info!(event = "evacuation_progress", domain = &**domain, runs = held.runs(), no_room = held.no_room,
                unavailable_max = held.unavailable_max, short_task = held.short_task, moving = held.moving,
                term = term; "");
        }
        Note::EvacuationDoubtful { domain, reason } => {
            log::warn!(event = "evacuation_doubtful", domain = domain.as_deref().unwrap_or_default(), reason = reason,
                term = term; "");
        }
        Note::LastingTasksWaiting { task, tasks, reason, waited, run, failures, workers, capacity } => {
            let workers: BTreeMap<&str, usize> =
                workers.iter().map(|(suitability, count)| (suitability.as_str(), *count)).collect();
            let (agent, run) = run.as_ref().map_or(("", 0), |(agent, run)| (&**agent, *run));
            // An empty agent and run 0 stand for a task without a run.
            log::warn!(event = "lasting_tasks_waiting", job:% = task.job, task:% = task, tasks = tasks,
                reason = reason.as_str(), waited_ms = whole_ms(*waited), agent = agent, run = run,
                failures = failures, workers:? = workers, term = term; "");
            if let Some(capacity) = capacity {
                log_capacity_wait(*task, capacity, term);
            }
        }
        Note::LastingTasksRunning { task, tasks, waited } => {
            log::info!(event = "lasting_tasks_running", job:% = task.job, task:% = task, tasks = tasks,
                waited_ms = whole_ms(*waited), term = term; "");
        }
        Note::TaskRestarts { task, starts, lasted, how } => {
            log::warn!(event = "task_restarts", job:% = task.job, task:% = task, starts = starts,
                lasted_ms = whole_ms(*lasted), last_end = *how, term = term; "");
        }
        Note::AgentChanged { agent, standing, runs } => {
            log::info!(event = "agent", agent = &**agent, standing = standing, runs = runs, term = term; "");
        }
    }
}

fn log_capacity_wait(task: TaskId, capacity: &CapacityWait, term: u64) {
    let CapacityWait { need, roomiest, ruled_out, starts_meanwhile, started_millicores } = capacity;
    let ruled_out: BTreeMap<&str, String> = ruled_out
        .iter()
        .map(|(reason, RuledOut { workers, roomiest, free_millicores })| {
            (reason.as_str(), format!("{workers}: {roomiest} {free_millicores}"))
        })
        .collect();
    let (agent, free) = roomiest.as_ref().map_or(("", Resources::default()), |(agent, free)| (&**agent, *free));
    log::warn!(event = "capacity_missing", job:% = task.job, task:% = task, need_millicores = need.processor_millicores,
        need_memory_bytes = need.memory_bytes, need_accelerators = need.accelerators, roomiest = agent,
        free_millicores = free.processor_millicores, free_memory_bytes = free.memory_bytes,
        free_accelerators = free.accelerators, ruled_out:? = ruled_out, starts_meanwhile = starts_meanwhile,
        started_millicores = started_millicores, term = term; "");
}
