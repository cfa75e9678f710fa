//! Effect of filling runs on the tail latency of serving ones, learnt by pairs of images.
//!
//! Some filling runs disturb some serving runs and most disturb none; only those that do are slowed down or kept
//! apart. The tail latency is modelled as a product, so that its logarithm is the sum of the serving run's own part
//! and of what each filling run adds per core that it uses. The own part varies with the load, but little between two
//! samples, so only differences between consecutive samples are compared with the change of the cores in use.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::collections::{Map, Set};
use chervilledge_policy::id::Name;
use serde::{Deserialize, Serialize};

use crate::job::TaskId;

/// Effect assumed for an unknown pair: logarithm of the factor per core. It is the mean over all pairs, of which a
/// quarter have an effect of 0.1 to 0.4.
const PRIOR_EFFECT: f64 = 0.05;
/// Variance of the effect of an unknown pair.
const PRIOR_VARIANCE: f64 = 0.12 * 0.12;
/// Effect from which a pair counts as disturbing; three cores then raise the tail by an eighth.
const DISTURBING_EFFECT: f64 = 0.04;
/// Upper bound of an estimated effect.
const EFFECT_MAX: f64 = 0.8;
/// Variance of the change of a tail's logarithm between two samples when nothing else changes; its root was measured
/// as 0.13 to 0.41.
const NOISE_VARIANCE: f64 = 0.3 * 0.3;
/// Smallest change of the cores in use from which an image's effect is estimated.
const CORES_CHANGE_MIN: f64 = 0.3;
/// Longest time between two samples that are compared; the load of serving runs changes within seconds.
const SAMPLE_GAP_MAX: Duration = Duration::from_millis(1_400);
/// Upper bound of the evidence on a pair, so that a changed effect is learnt again; equals a standard error of 0.02.
const INFORMATION_MAX: f64 = 1.0 / (0.02 * 0.02);

/// Pair of a filling and a serving image.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Pair {
    /// Image of the filling run.
    pub filling: Name,
    /// Image of the serving run.
    pub serving: Name,
}

/// Evidence on a pair. Evidence of several observers is added up.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Evidence {
    /// Inverse of the variance of the effect as estimated from the evidence alone.
    pub information: f64,
    /// That estimate, times `information`.
    pub weighted_effect: f64,
}

impl Evidence {
    /// Estimated effect: logarithm of the factor by which one core in use raises the tail.
    #[must_use]
    pub fn per_core(&self) -> f64 {
        let known = self.weighted_effect + PRIOR_EFFECT / PRIOR_VARIANCE;
        (known * self.variance()).clamp(0.0, EFFECT_MAX)
    }

    /// Estimated effect plus its standard error.
    #[must_use]
    pub fn per_core_at_most(&self) -> f64 {
        self.per_core() + self.variance().sqrt()
    }

    /// Variance of [`Self::per_core`].
    #[must_use]
    pub fn variance(&self) -> f64 {
        1.0 / (self.information + 1.0 / PRIOR_VARIANCE)
    }

    /// The same evidence at a fraction of its weight.
    #[must_use]
    pub fn weakened(&self, weight: f64) -> Self {
        Self { information: self.information * weight, weighted_effect: self.weighted_effect * weight }
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

/// A serving run in a sample.
#[derive(Clone, Debug)]
pub struct Serving {
    /// Its task.
    pub task: TaskId,
    /// Its image.
    pub image: Name,
    /// Logarithm of its tail latency over its target.
    pub log_ratio: f64,
}

/// Sample of the runs on a worker.
#[derive(Clone, Debug)]
struct Sample {
    at: Duration,
    /// Logarithms of the tail latencies of serving runs, relative to their targets.
    tails: Map<TaskId, f64>,
    /// Cores that the filling runs of each image used.
    cores: Map<Name, f64>,
}

/// Evidence on pairs of images.
#[derive(Clone, Debug, Default)]
pub struct Interference {
    /// Evidence observed here.
    local: Map<Pair, Evidence>,
    /// Merged evidence of all observers.
    shared: Map<Pair, Evidence>,
    /// Pairs whose evidence has changed since it was last taken by [`Self::take_changes`].
    changed: Set<Pair>,
    previous: Option<Sample>,
}

impl Interference {
    /// Adds a sample; `cores` is what the filling runs of each image used.
    pub fn observe(&mut self, serving: &[Serving], cores: &Map<Name, f64>, now: Duration) {
        let tails = serving.iter().map(|run| (run.task, run.log_ratio)).collect();
        let last = self.previous.replace(Sample { at: now, tails, cores: cores.clone() });
        let Some(last) = last.filter(|last| now.saturating_sub(last.at) <= SAMPLE_GAP_MAX) else { return };
        let changes = core_changes(&last.cores, cores);
        if changes.is_empty() {
            return;
        }
        for run in serving {
            if let Some(tail) = last.tails.get(&run.task) {
                self.attribute_change(&run.image, run.log_ratio - tail, &changes);
            }
        }
    }

    /// Attributes the change of a tail to the images whose use of cores has changed, each after subtracting the
    /// estimated part of the others.
    fn attribute_change(&mut self, serving: &Name, change: f64, changes: &[(Name, f64)]) {
        let known: Vec<Evidence> = changes.iter().map(|(filling, _)| self.evidence(filling, serving)).collect();
        let added: f64 = changes.iter().zip(&known).map(|((_, cores), known)| known.per_core() * cores).sum();
        let variance: f64 =
            changes.iter().zip(&known).map(|((_, cores), known)| known.variance() * cores * cores).sum();
        for ((filling, cores), known) in changes.iter().zip(&known) {
            let known_part = known.per_core() * cores;
            let noise = NOISE_VARIANCE + variance - known.variance() * cores * cores;
            let news = Evidence {
                information: cores * cores / noise,
                weighted_effect: cores * (change - added + known_part) / noise,
            };
            let pair = Pair { filling: Arc::clone(filling), serving: Arc::clone(serving) };
            self.changed.insert(pair.clone());
            self.local.entry(pair).or_default().add(&news);
        }
    }

    /// Evidence on a pair, local or shared, whichever has more information.
    #[must_use]
    pub fn evidence(&self, filling: &Name, serving: &Name) -> Evidence {
        let pair = Pair { filling: Arc::clone(filling), serving: Arc::clone(serving) };
        let own = self.local.get(&pair).copied().unwrap_or_default();
        let shared = self.shared.get(&pair).copied().unwrap_or_default();
        if own.information >= shared.information { own } else { shared }
    }

    /// Whether a filling image is estimated to disturb a serving one.
    #[must_use]
    pub fn is_disturbing(&self, filling: &Name, serving: &Name) -> bool {
        self.evidence(filling, serving).per_core() >= DISTURBING_EFFECT
    }

    /// Evidence on the pairs that changed here since the last call.
    pub fn take_changes(&mut self) -> Vec<(Pair, Evidence)> {
        let changed = std::mem::take(&mut self.changed);
        changed.into_iter().filter_map(|pair| self.local.get(&pair).map(|evidence| (pair, *evidence))).collect()
    }

    /// Marks every pair as changed, so that another placer receives all of them.
    pub fn mark_all_changed(&mut self) {
        self.changed = self.local.keys().cloned().collect();
    }

    /// Evidence on every pair observed here.
    #[must_use]
    pub fn table(&self) -> Vec<(Pair, Evidence)> {
        self.local.iter().map(|(pair, evidence)| (pair.clone(), *evidence)).collect()
    }

    /// Takes over evidence on pairs of which less is known here.
    pub fn fill_missing<'a>(&mut self, table: impl Iterator<Item = (&'a Pair, &'a Evidence)>) {
        for (pair, evidence) in table {
            let known = self.local.entry(pair.clone()).or_default();
            if known.information < evidence.information {
                *known = *evidence;
            }
        }
    }

    /// Effects of the pairs observed here.
    #[must_use]
    pub fn effects(&self) -> Effects {
        let mut effects = Effects::default();
        for (pair, evidence) in &self.local {
            let of_filling = effects.0.entry(Arc::clone(&pair.filling)).or_default();
            of_filling.insert(Arc::clone(&pair.serving), evidence.per_core());
        }
        effects
    }

    /// Replaces the merged evidence of all observers.
    pub fn set_shared(&mut self, table: Vec<(Pair, Evidence)>) {
        self.shared = table.into_iter().collect();
    }

    /// Adds the evidence of another observer.
    pub fn add_evidence<'a>(&mut self, table: impl Iterator<Item = (&'a Pair, &'a Evidence)>) {
        for (pair, other) in table {
            self.local.entry(pair.clone()).or_default().add(other);
        }
    }
}

/// Effects by filling and then by serving image, for lookups without a copy.
#[derive(Clone, Debug, Default)]
pub struct Effects(Map<Name, Map<Name, f64>>);

impl Effects {
    /// Estimated logarithm of the factor by which one core of a filling image raises the tail of a serving one.
    #[must_use]
    pub fn per_core(&self, filling: &Name, serving: &Name) -> f64 {
        let known = self.0.get(filling).and_then(|effects| effects.get(serving));
        known.copied().unwrap_or(PRIOR_EFFECT)
    }

    /// Whether a filling image is estimated to disturb a serving one.
    #[must_use]
    pub fn is_disturbing(&self, filling: &Name, serving: &Name) -> bool {
        self.per_core(filling, serving) >= DISTURBING_EFFECT
    }
}

/// Images whose use of cores has changed, with the change.
fn core_changes(previous: &Map<Name, f64>, present: &Map<Name, f64>) -> Vec<(Name, f64)> {
    let stopped =
        previous.iter().filter(|(image, _)| !present.contains_key(*image)).map(|(image, cores)| (image, -cores));
    let current = present.iter().map(|(image, cores)| (image, cores - previous.get(image).copied().unwrap_or(0.0)));
    stopped
        .chain(current)
        .filter(|(_, change)| change.abs() >= CORES_CHANGE_MIN)
        .map(|(image, change)| (Arc::clone(image), change))
        .collect()
}
