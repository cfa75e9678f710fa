//! What is known of pairs of images: told to agents, and kept in the store for successors.
//!
//! Answers all processes losing power at once: without it, every filling run counts as disturbing until the pairs have been
//! learnt anew, which takes some ten seconds.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::interference::{Evidence, Pair};

use super::State;
use crate::message::ToAgent;
use crate::rows::{self, EFFECTS_KEY, Effect};
use crate::store::{Change, Outcome, Row, Table, Transaction};

/// Interval at which agents are told what the others have learnt.
const SEND_INTERVAL: Duration = Duration::from_millis(1_500);
/// Interval at which it is kept for successors.
const SAVE_INTERVAL: Duration = Duration::from_secs(5);
/// Pairs that are kept; some 30 bytes each, well below what a row may hold.
const SAVED_PAIRS_MAX: usize = 1_000;
/// Evidence from which a pair is worth keeping: that of a few observations.
const INFORMATION_MIN: f64 = 100.0;

impl State {
    /// Tells every agent what all have learnt of the images that serve on its worker, and keeps it, when it is time.
    pub(super) fn share_effects(&mut self, now: Duration) {
        if now < self.effects_due {
            return;
        }
        self.effects_due = now + SEND_INTERVAL;
        self.cell.merge_learnt();
        let effects = self.cell.effects();
        if effects.is_empty() {
            return;
        }
        for (name, link) in &self.links {
            let is_served_here = |(pair, _): &&(Pair, Evidence)| self.cell.serves(name, &pair.serving);
            let of_worker: Vec<Effect> = effects.iter().filter(is_served_here).map(Effect::from_evidence).collect();
            if !of_worker.is_empty() {
                link.sender.post(ToAgent::Effects(of_worker));
            }
        }
        if now >= self.effects_saved_at + SAVE_INTERVAL && self.is_loaded && self.authority.holds(now) {
            self.effects_saved_at = now;
            self.save_effects(effects);
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
    fn save_effects(&self, mut effects: Vec<(Pair, Evidence)>) {
        effects.retain(|(_, evidence)| evidence.information >= INFORMATION_MIN);
        effects.sort_unstable_by(|one, other| other.1.information.total_cmp(&one.1.information));
        effects.truncate(SAVED_PAIRS_MAX);
        let content: Vec<Effect> = effects.iter().map(Effect::from_evidence).collect();
        let change =
            Change { table: Table::Progress, key: Arc::from(EFFECTS_KEY), value: Some(rows::encode(&content)) };
        let transaction = Transaction { conditions: vec![self.placer_condition()], changes: vec![change] };
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
    pub(super) fn load_effects(&mut self, progress: &[Row]) {
        let kept = progress.iter().find(|row| &*row.key == EFFECTS_KEY).and_then(|row| row.value.as_deref());
        let Some(effects) = kept.and_then(|value| rows::decode::<Vec<Effect>>(EFFECTS_KEY, value)) else { return };
        log::info!(event = "effects_recalled", pairs = effects.len(); "");
        self.cell.recall(effects.into_iter().map(Effect::into_evidence).collect());
        self.effects_due = Duration::ZERO;
    }
}
