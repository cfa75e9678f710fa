//! Refuses jobs that couldn't meet their objective behind the backlog.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::admission::{self, Backlog, Decision, EntryShare, Refusal};
use chervilledge_cell::job::Job;
use chervilledge_policy::code::Code;
use serde_json::{Value, json};

use super::{Entry, Reply, lock};
use crate::clock::whole_ms;

impl Entry {
    /// Refuses a job before anything is written for it; `None` when it should be accepted.
    ///
    /// A refusal must be true: a job that is stored, or may be, is accepted, and so is one for which that can't be
    /// determined.
    pub(super) async fn refuse_for_backlog(&self, job: &Job) -> Option<Reply> {
        let (backlog, view_age) = self.backlog()?;
        let Decision::Refuse(refusal) = admission::decide(&backlog, job, view_age) else { return None };
        let decided = if self.is_undecided(job.id) {
            "earlier_attempt"
        } else {
            match self.query_placer(job.id).await {
                Some(None) => "refused",
                Some(Some(_)) => "known",
                None => "placer_unheard",
            }
        };
        self.inner.metrics.backlog_refusal(decided);
        if decided != "refused" {
            log::info!(event = "refusal_corrected", job:% = job.id, by = decided, code = Code::BacklogTooLong.number(); "");
            return None;
        }
        let retry_after = self.retry_slot(&refusal);
        self.inner.metrics.backlog_retry(retry_after);
        log::info!(event = "submission_refused", job:% = job.id, queue = &*job.queue,
            code = Code::BacklogTooLong.number(), retry_after_ms = whole_ms(retry_after),
            ahead_core_ms = whole_ms(refusal.ahead), rate_millicores = refusal.rate_millicores,
            drain_ms = whole_ms(refusal.drain), chain_ms = whole_ms(refusal.chain),
            objective_ms = whole_ms(refusal.objective), limit_ms = whole_ms(refusal.limit),
            view_age_ms = whole_ms(view_age); "");
        Some(Reply::Refused { code: Code::BacklogTooLong, retry_after })
    }

    /// Backlog as last received from the placer, and its age.
    fn backlog(&self) -> Option<(Arc<Backlog>, Duration)> {
        let (waiting, at) = lock(&self.inner.pending).clone()?;
        Some((Arc::clone(&waiting.backlog), self.now().saturating_sub(at)))
    }

    fn retry_slot(&self, refusal: &Refusal) -> Duration {
        lock(&self.inner.retry_slots).take(refusal, self.share(), self.now())
    }

    /// This entry's share of the retry slots. The shares of entries that are gone but still have a row stay unused.
    fn share(&self) -> EntryShare {
        let own = &self.inner.settings.name;
        let Some(roster) = self.roster() else { return EntryShare { position: 0, entries: 1 } };
        let before = roster.entries.keys().filter(|name| *name < own).count();
        let entries = roster.entries.len() + usize::from(!roster.entries.contains_key(own));
        let number = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        EntryShare { position: number(before), entries: number(entries) }
    }

    /// Known backlog, for a dump.
    pub(super) fn backlog_dump(&self) -> Value {
        let known = self.backlog();
        known.map_or(Value::Null, |(backlog, age)| json!({"view_age_ms": whole_ms(age), "view": &*backlog}))
    }
}
