//! How much filling runs raise the tail latency of serving ones, learnt by pairs of images.
//!
//! Answers filling runs of which some disturb some serving runs and most disturb none: only those that do are slowed
//! down or kept apart. The tail is taken as a product, so that its logarithm is a sum of what the serving run brings
//! itself and of what each filling run adds for each core that it uses.

use std::sync::Arc;

use chervilledge_policy::collections::{Map, Set};
use chervilledge_policy::id::Name;
use serde::{Deserialize, Serialize};

use crate::job::TaskId;

/// Effect of a pair that nothing is known of: logarithm of the factor, for each core.
const UNKNOWN_EFFECT: f64 = 0.06;
/// Effect from which a pair counts as disturbing.
const DISTURBING_EFFECT: f64 = 0.035;
/// Looks after which a pair counts as known.
const KNOWN_LOOKS: f64 = 5.0;
/// Largest effect that is believed.
const EFFECT_MAX: f64 = 0.6;
/// Share of an error that one look corrects.
const LEARNING_RATE: f64 = 0.3;
/// Weight of a serving run's own part against the cores in use, when an error is shared out.
const OWN_WEIGHT: f64 = 4.0;
/// Cores in use below which a look says nothing of an image.
const CORES_MIN: f64 = 0.3;
/// Looks that the memory of a pair holds.
const LOOKS_MAX: f64 = 60.0;

/// Pair of a filling and a serving image.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Pair {
    /// Image of the filling run.
    pub filling: Name,
    /// Image of the serving run.
    pub serving: Name,
}

/// What is known of a pair.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Effect {
    /// Logarithm of the factor by which one core in use raises the tail.
    pub per_core: f64,
    /// Looks that it is drawn from, at most `LOOKS_MAX`.
    pub looks: f64,
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

/// Effects of pairs, and the part of each serving run's tail that is its own.
#[derive(Clone, Debug, Default)]
pub struct Interference {
    /// What was learnt here.
    effects: Map<Pair, Effect>,
    /// What others have learnt; counts for pairs that aren't known here.
    shared: Map<Pair, Effect>,
    /// Pairs whose effect has changed since others were told.
    changed: Set<Pair>,
    own: Map<TaskId, f64>,
}

impl Interference {
    /// Takes in a look; `cores` is what the filling runs of each image used.
    pub fn observe(&mut self, serving: &[Serving], cores: &Map<Name, f64>) {
        self.own.retain(|task, _| serving.iter().any(|run| run.task == *task));
        let used: Vec<(&Name, f64)> =
            cores.iter().filter(|(_, cores)| **cores >= CORES_MIN).map(|(image, cores)| (image, *cores)).collect();
        let scale = OWN_WEIGHT + used.iter().map(|(_, cores)| cores * cores).sum::<f64>();
        for run in serving {
            let added: f64 =
                used.iter().map(|(filling, cores)| self.effect(filling, &run.image).per_core * cores).sum();
            let own = self.own.entry(run.task).or_insert(run.log_ratio - added);
            let error = run.log_ratio - *own - added;
            *own += LEARNING_RATE * error * OWN_WEIGHT / scale;
            for (filling, cores) in &used {
                let pair = Pair { filling: Arc::clone(filling), serving: Arc::clone(&run.image) };
                let first = self.shared.get(&pair).map_or(UNKNOWN_EFFECT, |shared| shared.per_core);
                self.changed.insert(pair.clone());
                let effect = self.effects.entry(pair).or_insert(Effect { per_core: first, looks: 0.0 });
                let corrected = effect.per_core + LEARNING_RATE * error * cores / scale;
                effect.per_core = corrected.clamp(0.0, EFFECT_MAX);
                effect.looks = (effect.looks + 1.0).min(LOOKS_MAX);
            }
        }
    }

    /// What is known of a pair.
    #[must_use]
    pub fn effect(&self, filling: &Name, serving: &Name) -> Effect {
        let pair = Pair { filling: Arc::clone(filling), serving: Arc::clone(serving) };
        let own = self.effects.get(&pair).copied();
        own.filter(|own| own.looks >= KNOWN_LOOKS)
            .or_else(|| self.shared.get(&pair).copied())
            .or(own)
            .unwrap_or(Effect { per_core: UNKNOWN_EFFECT, looks: 0.0 })
    }

    /// Whether a filling image disturbs a serving one, as far as is known.
    #[must_use]
    pub fn is_disturbing(&self, filling: &Name, serving: &Name) -> bool {
        let effect = self.effect(filling, serving);
        effect.looks < KNOWN_LOOKS || effect.per_core >= DISTURBING_EFFECT
    }

    /// Every pair of which something was learnt here since the last call.
    pub fn take_changes(&mut self) -> Vec<(Pair, Effect)> {
        let changed = std::mem::take(&mut self.changed);
        changed.into_iter().filter_map(|pair| self.effects.get(&pair).map(|effect| (pair, *effect))).collect()
    }

    /// Counts every pair as changed, for another placer.
    pub fn tell_anew(&mut self) {
        self.changed = self.effects.keys().cloned().collect();
    }

    /// Every pair of which something was learnt here.
    #[must_use]
    pub fn table(&self) -> Vec<(Pair, Effect)> {
        self.effects.iter().map(|(pair, effect)| (pair.clone(), *effect)).collect()
    }

    /// Replaces what others have learnt.
    pub fn share(&mut self, table: Vec<(Pair, Effect)>) {
        self.shared = table.into_iter().collect();
    }

    /// Adds what another process has learnt to what was learnt here, weighted by the looks behind it.
    pub fn merge<'a>(&mut self, table: impl Iterator<Item = (&'a Pair, &'a Effect)>) {
        for (pair, other) in table {
            let known = self.effects.entry(pair.clone()).or_default();
            let looks = known.looks + other.looks;
            if looks > 0.0 {
                known.per_core = (known.per_core * known.looks + other.per_core * other.looks) / looks;
                known.looks = looks.min(LOOKS_MAX);
            }
        }
    }
}
