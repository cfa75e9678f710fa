//! Loads the rows of jobs and of their progress.

use std::time::Duration;

use chervilledge_cell::job::{Job, JobId};
use chervilledge_cell::progress::Progress;
use chervilledge_policy::collections::Map;

use super::State;
use crate::clock::unix_ms;
use crate::progress_rows;
use crate::rows;
use crate::store::Row;

impl State {
    pub(super) fn load(&mut self, jobs: &[Row], progress: &[Row], now: Duration) {
        let mut known: Map<JobId, (Progress, u64)> = Map::default();
        let mut parts = progress_rows::Parts::new();
        for row in progress {
            let (Some((job, number)), Some(value)) = (progress_rows::parse_part_key(&row.key), row.value.as_deref())
            else {
                continue;
            };
            parts.insert((job, number), value);
            let known = self.progress_parts.entry(job).or_default();
            *known = number.max(*known);
        }
        for row in progress {
            let (Ok(id), Some(value)) = (row.key.parse::<JobId>(), row.value.as_deref()) else { continue };
            if let Some(content) = progress_rows::decode(id, value, &parts) {
                known.insert(id, (content, row.revision));
            } else {
                self.unreadable_jobs.insert(id);
            }
        }
        self.load_effects(progress);
        let wall_ms = unix_ms();
        for row in jobs {
            let Some(job) = decode_job(row).filter(|job| !self.unreadable_jobs.contains(&job.id)) else { continue };
            let (progress, revision) = known.remove(&job.id).unwrap_or_default();
            // Wall clocks of two processes may differ; the age only affects the ranking.
            let age = Duration::from_millis(wall_ms.saturating_sub(job.accepted_unix_ms)).min(Duration::from_mins(5));
            self.cell.load(job, progress, revision, age, now);
        }
        self.apply_job_rows(jobs, now);
        let (all, open) = self.cell.job_counts();
        log::info!(event = "jobs_loaded", term = self.context.term, jobs = all, open = open,
            agents_unheard = self.cell.unresolved(); "");
        self.is_loaded = true;
        self.apply_roster();
        self.cell.ask_placing();
    }

    pub(super) fn apply_job_rows(&mut self, rows: &[Row], now: Duration) {
        for row in rows {
            match rows::parse_job_key(&row.key) {
                Some(rows::JobKey::Job(id)) if self.cell.knows(id) => self.cell.job_row_seen(id, row.revision),
                Some(rows::JobKey::Job(_)) => {
                    if let Some(job) = decode_job(row) {
                        self.add_job(job, Some(row.revision), now);
                    }
                }
                Some(rows::JobKey::Cancel(id)) if row.value.is_some() => self.cancel_job(id, now),
                Some(rows::JobKey::Cancel(_)) => {}
                None => log::warn!(event = "row_unknown", key = &*row.key; ""),
            }
        }
    }
}

fn decode_job(row: &Row) -> Option<Job> {
    if !matches!(rows::parse_job_key(&row.key), Some(rows::JobKey::Job(_))) {
        return None;
    }
    rows::decode_job(&row.key, row.value.as_deref()?)
}
