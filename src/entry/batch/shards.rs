//! Queue shards that this entry owns, and the jobs in them.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::collections::Map;
use chervilledge_policy::id::Name;
use chervilledge_policy::queue::Item;
use chervilledge_policy::shard::{self, ShardRow, shard_of};
use chervilledge_policy::task::{TaskId, TaskState};
use chervilledge_store::client::Client;
use chervilledge_store::error::{Error, Outcome};
use chervilledge_store::table::{Expect, Row, Write};
use serde_json::json;

use crate::entry::batch::explain::EventKind;
use crate::entry::batch::poll::scan_all;
use crate::entry::batch::rows::{JobRecord, TaskRecord, decode_row, job_key, queue_key, shard_key, tasks_prefix};
use crate::entry::batch::{Message, State};

/// Maximum number of concurrent loads of jobs.
const LOADS_MAX: usize = 8;

/// Tasks of one job in one shard.
#[derive(Debug, Default)]
struct JobPart {
    /// Version of the queue marker at the last load.
    version: u64,
    /// Number of tasks that haven't ended.
    unfinished: usize,
    is_loaded: bool,
    is_loading: bool,
    /// The queue marker was deleted, or is being deleted.
    is_marker_deleted: bool,
}

/// What this entry knows of the shards.
#[derive(Debug, Default)]
pub struct Shards {
    owned: Map<u32, Map<Name, JobPart>>,
    versions: Map<u32, u64>,
    writes_in_flight: BTreeSet<u32>,
    loads_in_flight: usize,
}

/// Result of loading the tasks of a job in one shard.
#[derive(Debug)]
pub struct Loaded {
    shard: u32,
    job: Name,
    version: u64,
    records: Option<(JobRecord, Vec<(TaskRecord, u64)>)>,
}

impl Shards {
    /// Numbers of the shards that are owned.
    #[must_use]
    pub fn owned(&self) -> Vec<u32> {
        self.owned.keys().copied().collect()
    }

    /// Number of shards that are owned.
    #[must_use]
    pub fn owned_count(&self) -> usize {
        self.owned.len()
    }

    /// Returns whether a shard is owned.
    #[must_use]
    pub fn owns(&self, shard: u32) -> bool {
        self.owned.contains_key(&shard)
    }

    fn part(&mut self, shard: u32, job: &str) -> Option<&mut JobPart> {
        self.owned.get_mut(&shard)?.get_mut(job)
    }
}

impl State {
    /// Processes the rows of all shards, and acquires or releases those that should change owner.
    pub(super) fn on_shards(&mut self, rows: &[Row]) {
        if !self.own_lease.is_registered() {
            return;
        }
        let live = self.live_leases();
        for number in 0..self.context.settings.shard_count {
            let key = shard_key(number);
            let found = rows.iter().find(|row| row.key == key);
            let version = found.map(|row| row.version);
            let is_old = self.shards.versions.get(&number).copied() > version;
            if is_old || self.shards.writes_in_flight.contains(&number) {
                continue;
            }
            let row = found.and_then(decode_row).unwrap_or_else(|| ShardRow::unowned(number));
            self.apply_owner(&row, version);
            if let Some(next) = shard::next_row(&row, self.own_lease.id(), &live) {
                self.write_shard(next, version);
            }
        }
    }

    fn apply_owner(&mut self, row: &ShardRow, version: Option<u64>) {
        if let Some(version) = version {
            self.shards.versions.insert(row.shard, version);
        }
        if row.owner == Some(self.own_lease.id()) {
            self.shards.owned.entry(row.shard).or_default();
        } else if self.shards.owned.remove(&row.shard).is_some() {
            self.forget_shard(row.shard);
        }
    }

    fn write_shard(&mut self, row: ShardRow, version: Option<u64>) {
        if row.owner.is_none() {
            self.shards.owned.remove(&row.shard);
            self.forget_shard(row.shard);
        }
        self.shards.writes_in_flight.insert(row.shard);
        let expect = version.map_or(Expect::Absent, Expect::Version);
        let write = Write::put(shard_key(row.shard), expect, json!(row));
        let platform = self.context.platform.clone();
        self.run_in_background(async move {
            let outcome = platform.commit_and_resolve(platform.next_write_id(), vec![write]).await;
            let version = if let Outcome::Done(versions) = outcome { versions.first().copied() } else { None };
            Message::ShardWritten { row, version }
        });
    }

    pub(super) fn on_shard_written(&mut self, row: ShardRow, version: Option<u64>) {
        self.shards.writes_in_flight.remove(&row.shard);
        if let Some(version) = version {
            log::info!(event = "shard_owner", shard = row.shard, owner:? = row.owner; "");
            self.apply_owner(&row, Some(version));
            self.poll_at = Duration::ZERO;
        }
    }

    /// Drops the state of a shard that is no longer owned, except for tracked tasks.
    fn forget_shard(&mut self, number: u32) {
        let count = self.context.settings.shard_count;
        let is_in = |task: &TaskId| shard_of(task, count) == number;
        self.queue.cancel_matching(is_in);
        self.untracked.retain(|task, _| !is_in(task));
        self.forget_jobs();
    }

    /// Drops jobs that neither an owned shard nor a tracked task refers to.
    fn forget_jobs(&mut self) {
        let (shards, claims) = (&self.shards, &self.claims);
        let is_used = |job: &Name| {
            shards.owned.values().any(|job_parts| job_parts.contains_key(job))
                || claims.keys().any(|task| task.job == *job)
        };
        let workers = &mut self.workers;
        self.jobs.retain(|job, _| {
            let is_used = is_used(job);
            if !is_used {
                workers.forget_job(job);
            }
            is_used
        });
    }

    /// Processes the queue markers of an owned shard, and loads the jobs whose marker has changed.
    pub(super) fn on_markers(&mut self, shard: u32, rows: &[Row]) {
        let Some(job_parts) = self.shards.owned.get_mut(&shard) else { return };
        let mut changed = Vec::new();
        for row in rows {
            let Some((_, job)) = row.key.rsplit_once('/') else { continue };
            let part = job_parts.entry(Name::from(job)).or_default();
            let is_current = part.version == row.version && (part.is_loaded || part.is_marker_deleted);
            if !is_current && !part.is_loading && self.shards.loads_in_flight < LOADS_MAX {
                part.is_loading = true;
                self.shards.loads_in_flight += 1;
                changed.push((Name::from(job), row.version));
            }
        }
        let is_listed = |job: &str| rows.iter().any(|row| row.key.ends_with(job));
        let count_before = job_parts.len();
        job_parts.retain(|job, part| part.is_loading || is_listed(job));
        if job_parts.len() < count_before {
            self.forget_jobs();
        }
        for (job, version) in changed {
            self.load(shard, job, version);
        }
    }

    fn load(&self, shard: u32, job: Name, version: u64) {
        let platform = self.context.platform.clone();
        self.run_in_background(async move {
            let records = match read_part(&platform, shard, &job).await {
                Ok(records) => records,
                Err(error) => {
                    log::debug!(event = "job_unread", job = &*job, error:% = error; "");
                    None
                }
            };
            Message::Loaded(Box::new(Loaded { shard, job, version, records }))
        });
    }

    pub(super) fn on_loaded(&mut self, loaded: Loaded) {
        let Loaded { shard, job, version, records } = loaded;
        self.shards.loads_in_flight = self.shards.loads_in_flight.saturating_sub(1);
        let Some(part) = self.shards.part(shard, &job) else { return };
        part.is_loading = false;
        let Some((record, tasks)) = records else { return };
        if self.context.enforced.stamp().is_none() {
            return;
        }
        (part.version, part.is_loaded, part.is_marker_deleted) = (version, true, false);
        let record = Arc::new(record);
        self.jobs.insert(Name::clone(&job), Arc::clone(&record));
        let mut rows: Map<u32, (TaskRecord, u64)> = Map::default();
        rows.extend(tasks.into_iter().map(|(task, version)| (task.row.id.index, (task, version))));
        let mut unfinished = 0;
        for task in record.tasks_of(shard, self.context.settings.shard_count) {
            let row = rows.remove(&task.index);
            unfinished += usize::from(self.load_task(&record, &task, row));
        }
        if let Some(part) = self.shards.part(shard, &job) {
            part.unfinished = unfinished;
        }
        self.close_part_if_done(shard, &job);
        self.poll_at = Duration::ZERO;
        self.place_at = Duration::ZERO;
    }

    /// Loads a task of an owned shard; returns whether the task is unfinished.
    fn load_task(&mut self, job: &Arc<JobRecord>, task: &TaskId, row: Option<(TaskRecord, u64)>) -> bool {
        if let Some(row) = &row {
            self.drop_if_superseded(task, row);
        }
        if self.claims.contains_key(task) {
            return true;
        }
        let is_queued = row.as_ref().is_none_or(|(record, _)| record.is_queued());
        if row.as_ref().is_some_and(|(record, _)| record.is_final()) || (is_queued && job.is_cancelled(task.index)) {
            // Another entry may have recorded the end of a task that waits here.
            self.queue.cancel(task);
            self.untracked.remove(task);
            return false;
        }
        let epoch = row.as_ref().map_or(job.task(0).row.epoch, |(record, _)| record.row.epoch);
        match row {
            Some(row) => drop(self.untracked.insert(task.clone(), row)),
            None => drop(self.untracked.remove(task)),
        }
        if is_queued {
            self.enqueue(job, task);
            self.history.add(self.context.clock.now(), task, epoch, EventKind::Queued, None, None);
        }
        true
    }

    /// Puts a task of an owned shard into the queue.
    pub(super) fn enqueue(&mut self, job: &JobRecord, task: &TaskId) {
        let item = Item {
            task: task.clone(),
            team: Name::clone(&job.row.team),
            kind: Name::clone(&job.row.kind),
            priority: job.row.priority,
            resources: job.row.declared,
            queued_at: self.now(),
        };
        if let Err(code) = self.queue.push(item) {
            self.history.add(self.now(), task, job.task(0).row.epoch, EventKind::NotPlaced, None, Some(code));
        }
    }

    /// Counts an ended task, or has the shard's owner count it by rewriting the queue marker.
    pub(super) fn count_ended_task(&mut self, task: &TaskId) {
        let shard = shard_of(task, self.context.settings.shard_count);
        match self.shards.part(shard, &task.job) {
            Some(part) => {
                part.unfinished = part.unfinished.saturating_sub(1);
                self.close_part_if_done(shard, &task.job);
            }
            None => drop(self.markers_to_touch.insert((shard, Name::clone(&task.job)))),
        }
    }

    /// Deletes the queue marker of a job whose tasks in the shard have all ended.
    fn close_part_if_done(&mut self, shard: u32, job: &Name) {
        let Some(part) = self.shards.part(shard, job) else { return };
        if part.unfinished > 0 || !part.is_loaded || part.is_marker_deleted {
            return;
        }
        part.is_marker_deleted = true;
        let write = Write::delete(queue_key(shard, job), Expect::Version(part.version));
        let commits = self.commits.clone();
        let job = Name::clone(job);
        self.run_in_background(async move {
            let outcome = commits.submit(vec![write]).await.outcome;
            Message::MarkerDeleted { shard, job, is_deleted: matches!(outcome, Outcome::Done(_)) }
        });
    }

    pub(super) fn on_marker_deleted(&mut self, shard: u32, job: &Name, is_deleted: bool) {
        if is_deleted {
            return;
        }
        // The job is loaded again as long as its marker exists.
        if let Some(part) = self.shards.part(shard, job) {
            (part.is_marker_deleted, part.is_loaded) = (false, false);
        }
    }

    /// Has every job loaded again at the next poll, after a change of the teams' quotas.
    pub(super) fn reload_all_jobs(&mut self) {
        for part in self.shards.owned.values_mut().flat_map(Map::values_mut) {
            part.is_loaded = false;
        }
    }

    /// Has a task's job loaded again at the next poll.
    pub(super) fn reload_job(&mut self, task: &TaskId) {
        let shard = shard_of(task, self.context.settings.shard_count);
        if let Some(part) = self.shards.part(shard, &task.job) {
            part.is_loaded = false;
        }
    }

    /// Rewrites queue markers, so that the shards' owners reload the jobs.
    pub(super) fn touch_markers(&mut self) {
        if self.markers_to_touch.is_empty() || self.context.platform.is_away() {
            return;
        }
        for (shard, job) in std::mem::take(&mut self.markers_to_touch) {
            let write = Write::put(queue_key(shard, &job), Expect::Any, json!({ "touched_by": self.own_lease.id() }));
            let commits = self.commits.clone();
            // A failed rewrite is ignored: the owner also learns of the change from a conflict of its own write.
            tokio::spawn(async move { drop(commits.submit(vec![write]).await) });
        }
    }

    /// Requeues unschedulable tasks that a known worker could now hold.
    pub(super) fn requeue_unschedulable(&mut self) {
        let workers = &self.workers;
        let jobs = &self.jobs;
        let could_run = |task: &TaskId| jobs.get(&task.job).is_some_and(|job| workers.could_hold(&job.row.declared));
        let is_rejected = |record: &TaskRecord| matches!(record.row.state, TaskState::Unschedulable(_));
        let tasks: Vec<TaskId> = self
            .untracked
            .iter()
            .filter(|(task, (record, _))| is_rejected(record) && could_run(task))
            .map(|(task, _)| task.clone())
            .collect();
        for task in tasks {
            self.change_untracked(&task, chervilledge_policy::task::Change::Reconsider);
        }
    }
}

async fn read_part(
    platform: &Client,
    shard: u32,
    job: &str,
) -> Result<Option<(JobRecord, Vec<(TaskRecord, u64)>)>, Error> {
    let Some(row) = platform.read_one(job_key(job)).await? else { return Ok(None) };
    let Some(record) = decode_row::<JobRecord>(&row) else { return Ok(None) };
    let rows = scan_all(platform, &tasks_prefix(shard, job)).await?;
    let tasks = rows.iter().filter_map(|row| Some((decode_row::<TaskRecord>(row)?, row.version))).collect();
    Ok(Some((record, tasks)))
}
