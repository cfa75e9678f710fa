//! How much filling runs raise the tail latency of serving ones, learnt by pairs of images.
//!
//! Answers filling runs of which some disturb some serving runs and most disturb none: only those that do are slowed
//! down or kept apart. The tail is taken as a product, so that its logarithm is a sum of what the serving run brings
//! itself and of what each filling run adds for each core that it uses. The serving run's own part swings with its load,
//! but little from one look to the next, so that only changes between two looks are compared with changes of the cores
//! in use.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::collections::{Map, Set};
use chervilledge_policy::id::Name;
use serde::{Deserialize, Serialize};

use crate::job::TaskId;

/// Effect that a pair is taken to have before anything is known of it: logarithm of the factor, for each core. The mean
/// over all pairs, of which a quarter have an effect of 0.1 to 0.4.
const PRIOR_EFFECT: f64 = 0.05;
/// Variance of the effect of a pair of which nothing is known.
const PRIOR_VARIANCE: f64 = 0.12 * 0.12;
/// Effect from which a pair counts as disturbing; three cores then raise the tail by an eighth.
const DISTURBING_EFFECT: f64 = 0.04;
/// Largest effect that is believed.
const EFFECT_MAX: f64 = 0.8;
/// Variance of the change of a tail's logarithm from one look to the next when nothing else changes; 0.13 to 0.41 were
/// measured as its root.
const NOISE_VARIANCE: f64 = 0.3 * 0.3;
/// Change of the cores in use below which nothing is learnt of an image.
const CORES_CHANGE_MIN: f64 = 0.3;
/// Longest time between two looks that are compared; the load of serving runs changes within seconds.
const COMPARED_MAX: Duration = Duration::from_millis(1_400);
/// Evidence that a pair keeps at most, so that effects that change are learnt anew; that of a standard error of 0.02.
const INFORMATION_MAX: f64 = 1.0 / (0.02 * 0.02);

/// Pair of a filling and a serving image.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Pair {
    /// Image of the filling run.
    pub filling: Name,
    /// Image of the serving run.
    pub serving: Name,
}

/// Evidence on a pair. That of several observers adds up.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Evidence {
    /// Inverse of the variance of the effect that the evidence alone gives.
    pub information: f64,
    /// That effect, times `information`.
    pub weighted_effect: f64,
}

impl Evidence {
    /// Logarithm of the factor by which one core in use raises the tail, as far as is known.
    #[must_use]
    pub fn per_core(&self) -> f64 {
        let known = self.weighted_effect + PRIOR_EFFECT / PRIOR_VARIANCE;
        (known * self.variance()).clamp(0.0, EFFECT_MAX)
    }

    /// The same with its standard error on top.
    #[must_use]
    pub fn per_core_at_most(&self) -> f64 {
        self.per_core() + self.variance().sqrt()
    }

    /// Variance of [`Self::per_core`].
    #[must_use]
    pub fn variance(&self) -> f64 {
        1.0 / (self.information + 1.0 / PRIOR_VARIANCE)
    }

    /// The same with only a part of its weight.
    #[must_use]
    pub fn weakened(&self, part: f64) -> Self {
        Self { information: self.information * part, weighted_effect: self.weighted_effect * part }
    }

    /// Adds other evidence on the same pair.
    pub fn add(&mut self, other: &Self) {
        self.information += other.information;
        self.weighted_effect += other.weighted_effect;
        if self.information > INFORMATION_MAX {
            self.weighted_effect *= INFORMATION_MAX / self.information;
            self.information = INFORMATION_MAX;
        }
    }
}

/// A serving run as a look shows it.
#[derive(Clone, Debug)]
pub struct Serving {
    /// Its task.
    pub task: TaskId,
    /// Its image.
    pub image: Name,
    /// Logarithm of its tail latency over its target.
    pub log_ratio: f64,
}

/// What a look showed.
#[derive(Clone, Debug)]
struct Looked {
    at: Duration,
    /// Logarithms of the tails of serving runs.
    tails: Map<TaskId, f64>,
    /// Cores that the filling runs of each image used.
    cores: Map<Name, f64>,
}

/// Evidence on pairs.
#[derive(Clone, Debug, Default)]
pub struct Interference {
    /// What was observed here.
    own: Map<Pair, Evidence>,
    /// What all observers together know.
    shared: Map<Pair, Evidence>,
    /// Pairs whose evidence has changed since others were told.
    changed: Set<Pair>,
    former: Option<Looked>,
}

impl Interference {
    /// Takes in a look; `cores` is what the filling runs of each image used.
    pub fn observe(&mut self, serving: &[Serving], cores: &Map<Name, f64>, now: Duration) {
        let tails = serving.iter().map(|run| (run.task, run.log_ratio)).collect();
        let former = self.former.replace(Looked { at: now, tails, cores: cores.clone() });
        let Some(former) = former.filter(|former| now.saturating_sub(former.at) <= COMPARED_MAX) else { return };
        let changes = changes(&former.cores, cores);
        if changes.is_empty() {
            return;
        }
        for run in serving {
            if let Some(tail) = former.tails.get(&run.task) {
                self.learn(&run.image, run.log_ratio - tail, &changes);
            }
        }
    }

    /// Shares the change of a tail out among the images whose use has changed, each with the others' part taken off.
    fn learn(&mut self, serving: &Name, change: f64, changes: &[(Name, f64)]) {
        let known: Vec<Evidence> = changes.iter().map(|(filling, _)| self.evidence(filling, serving)).collect();
        let added: f64 = changes.iter().zip(&known).map(|((_, cores), known)| known.per_core() * cores).sum();
        let variance: f64 =
            changes.iter().zip(&known).map(|((_, cores), known)| known.variance() * cores * cores).sum();
        for ((filling, cores), known) in changes.iter().zip(&known) {
            let own_part = known.per_core() * cores;
            let noise = NOISE_VARIANCE + variance - known.variance() * cores * cores;
            let news = Evidence {
                information: cores * cores / noise,
                weighted_effect: cores * (change - added + own_part) / noise,
            };
            let pair = Pair { filling: Arc::clone(filling), serving: Arc::clone(serving) };
            self.changed.insert(pair.clone());
            self.own.entry(pair).or_default().add(&news);
        }
    }

    /// What is known of a pair, here or by all observers, whichever is more.
    #[must_use]
    pub fn evidence(&self, filling: &Name, serving: &Name) -> Evidence {
        let pair = Pair { filling: Arc::clone(filling), serving: Arc::clone(serving) };
        let own = self.own.get(&pair).copied().unwrap_or_default();
        let shared = self.shared.get(&pair).copied().unwrap_or_default();
        if own.information >= shared.information { own } else { shared }
    }

    /// Whether a filling image disturbs a serving one, as far as is known.
    #[must_use]
    pub fn is_disturbing(&self, filling: &Name, serving: &Name) -> bool {
        self.evidence(filling, serving).per_core() >= DISTURBING_EFFECT
    }

    /// Every pair of which something was learnt here since the last call.
    pub fn take_changes(&mut self) -> Vec<(Pair, Evidence)> {
        let changed = std::mem::take(&mut self.changed);
        changed.into_iter().filter_map(|pair| self.own.get(&pair).map(|evidence| (pair, *evidence))).collect()
    }

    /// Counts every pair as changed, for another placer.
    pub fn mark_all_changed(&mut self) {
        self.changed = self.own.keys().cloned().collect();
    }

    /// Every pair of which something was learnt here.
    #[must_use]
    pub fn table(&self) -> Vec<(Pair, Evidence)> {
        self.own.iter().map(|(pair, evidence)| (pair.clone(), *evidence)).collect()
    }

    /// Takes evidence on pairs of which less is known here.
    pub fn fill<'a>(&mut self, table: impl Iterator<Item = (&'a Pair, &'a Evidence)>) {
        for (pair, evidence) in table {
            let known = self.own.entry(pair.clone()).or_default();
            if known.information < evidence.information {
                *known = *evidence;
            }
        }
    }

    /// Effects of the pairs of which something was learnt here.
    #[must_use]
    pub fn effects(&self) -> Effects {
        let mut effects = Effects::default();
        for (pair, evidence) in &self.own {
            let of_filling = effects.0.entry(Arc::clone(&pair.filling)).or_default();
            of_filling.insert(Arc::clone(&pair.serving), evidence.per_core());
        }
        effects
    }

    /// Replaces what all observers together know.
    pub fn set_shared(&mut self, table: Vec<(Pair, Evidence)>) {
        self.shared = table.into_iter().collect();
    }

    /// Adds what another observer has learnt.
    pub fn merge<'a>(&mut self, table: impl Iterator<Item = (&'a Pair, &'a Evidence)>) {
        for (pair, other) in table {
            self.own.entry(pair.clone()).or_default().add(other);
        }
    }
}

/// Effects of all pairs, by filling and then by serving image, for a look-up that copies nothing.
#[derive(Clone, Debug, Default)]
pub struct Effects(Map<Name, Map<Name, f64>>);

impl Effects {
    /// Logarithm of the factor by which one core of a filling image raises the tail of a serving one, as far as is known.
    #[must_use]
    pub fn per_core(&self, filling: &Name, serving: &Name) -> f64 {
        let known = self.0.get(filling).and_then(|effects| effects.get(serving));
        known.copied().unwrap_or(PRIOR_EFFECT)
    }

    /// Whether a filling image disturbs a serving one, as far as is known.
    #[must_use]
    pub fn is_disturbing(&self, filling: &Name, serving: &Name) -> bool {
        self.per_core(filling, serving) >= DISTURBING_EFFECT
    }
}

/// Images whose use of cores has changed, with the change.
fn changes(former: &Map<Name, f64>, present: &Map<Name, f64>) -> Vec<(Name, f64)> {
    let gone = former.iter().filter(|(image, _)| !present.contains_key(*image)).map(|(image, cores)| (image, -cores));
    let there = present.iter().map(|(image, cores)| (image, cores - former.get(image).copied().unwrap_or(0.0)));
    gone.chain(there)
        .filter(|(_, change)| change.abs() >= CORES_CHANGE_MIN)
        .map(|(image, change)| (Arc::clone(image), change))
        .collect()
}
