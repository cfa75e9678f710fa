//! What is known of pairs of images: told to agents, and kept in the store for successors.
//!
//! Answers all processes losing power at once: without it, every filling run counts as disturbing until the pairs have been
//! learnt anew, which takes some ten seconds.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::interference::{Evidence, Pair};

use super::State;
use crate::message::ToAgent;
use crate::rows::{self, EFFECTS, Effect};
use crate::store::{Change, Outcome, Row, Table, Transaction};

/// Interval at which agents are told what the others have learnt.
const TELL_INTERVAL: Duration = Duration::from_millis(1_500);
/// Interval at which it is kept for successors.
const KEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Pairs that are kept; some 30 bytes each, well below what a row may hold.
const KEPT_MAX: usize = 1_000;
/// Evidence from which a pair is worth keeping: that of a few observations.
const INFORMATION_MIN: f64 = 100.0;

impl State {
    /// Tells every agent what all have learnt of the images that serve on its worker, and keeps it, when it is time.
    pub(super) fn share_effects(&mut self, now: Duration) {
        if now < self.effects_due {
            return;
        }
        self.effects_due = now + TELL_INTERVAL;
        self.cell.merge_evidence();
        let effects = self.cell.evidence_table();
        if effects.is_empty() {
            return;
        }
        for (name, link) in &self.links {
            let is_there = |(pair, _): &&(Pair, Evidence)| self.cell.serves(name, &pair.serving);
            let of_worker: Vec<Effect> = effects.iter().filter(is_there).map(Effect::of).collect();
            if !of_worker.is_empty() {
                link.sender.post(ToAgent::Effects(of_worker));
            }
        }
        if now >= self.effects_kept + KEEP_INTERVAL && self.is_loaded && self.authority.holds(now) {
            self.effects_kept = now;
            self.keep_effects(effects);
            self.log_filling();
        }
    }

    /// Says how far filling runs are slowed down, in the cell as a whole.
    fn log_filling(&self) {
        let filling = self.cell.filling();
        log::info!(event = "filling", waiting = self.cell.waiting(), runs = filling.runs,
            asked_millicores = filling.asked_millicores, paced_millicores = filling.paced_millicores,
            disturbing_runs = filling.disturbing_runs,
            disturbing_paced_millicores = filling.disturbing_paced_millicores,
            serving_workers = filling.serving_workers, serving_images = filling.serving_images; "");
    }

    /// Writes the best known pairs; a write that fails is followed by the next one.
    fn keep_effects(&self, mut effects: Vec<(Pair, Evidence)>) {
        effects.retain(|(_, evidence)| evidence.information >= INFORMATION_MIN);
        effects.sort_unstable_by(|one, other| other.1.information.total_cmp(&one.1.information));
        effects.truncate(KEPT_MAX);
        let content: Vec<Effect> = effects.iter().map(Effect::of).collect();
        let change = Change { table: Table::Progress, key: Arc::from(EFFECTS), value: Some(rows::encode(&content)) };
        let transaction = Transaction { conditions: vec![self.is_placer()], changes: vec![change] };
        let answer = (self.context.store.commit)(transaction);
        let pairs = content.len();
        tokio::spawn(async move {
            let outcome = answer.await;
            if !matches!(outcome, Outcome::Done(_)) {
                log::info!(event = "effects_not_kept", pairs = pairs, outcome:? = outcome; "");
            }
        });
    }

    /// Takes in what a former placer has kept.
    pub(super) fn recall_effects(&mut self, progress: &[Row]) {
        let kept = progress.iter().find(|row| &*row.key == EFFECTS).and_then(|row| row.value.as_deref());
        let Some(effects) = kept.and_then(|value| rows::decode::<Vec<Effect>>(EFFECTS, value)) else { return };
        log::info!(event = "effects_recalled", pairs = effects.len(); "");
        self.cell.restore_evidence(effects.into_iter().map(Effect::into_evidence).collect());
        self.effects_due = Duration::ZERO;
    }
}
