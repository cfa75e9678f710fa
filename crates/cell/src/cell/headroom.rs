//! Latency headroom of serving runs for filling ones, as reported by agents.
//!
//! [`crate::colocation`] decides by it whether a filling task starts.

use chervilledge_policy::id::Name;

use super::{Agent, Cell};
use crate::colocation::{self, CROWDED_PERCENT, Disturbance, HEADROOM_UNREPORTED};
use crate::job::{Step, TaskId};
use crate::pace::FULL_PERCENT;

/// Thousandths of a core.
const MILLICORES: f64 = 1_000.0;

impl Cell {
    /// Stores the headroom of the serving images on a worker; a value that isn't finite counts as 0.
    pub fn take_headrooms(&mut self, name: &Name, headrooms: Vec<(Name, f64)>) {
        if let Some(agent) = self.agents.get_mut(name) {
            let finite = |(image, headroom): (Name, f64)| (image, if headroom.is_finite() { headroom } else { 0.0 });
            agent.headrooms = headrooms.into_iter().map(finite).collect();
        }
    }

    /// Number of serving runs on a worker that a filling run of the step is known or assumed to disturb.
    pub(super) fn disturbed(&self, agent: &Agent, step: &Step) -> u32 {
        let unnamed = Name::default();
        let image = step.image.as_ref().unwrap_or(&unnamed);
        agent
            .serving
            .iter()
            .filter(|(serving, _)| self.effects.is_disturbing(image, serving))
            .map(|(_, count)| *count)
            .sum()
    }

    /// Largest estimated effect of a filling run of the step on a serving image of a worker.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "effects are small and not negative")]
    pub(super) fn largest_effect_thousandths(&self, agent: &Agent, step: &Step) -> u32 {
        let unnamed = Name::default();
        let image = step.image.as_ref().unwrap_or(&unnamed);
        let effect = |serving: &Name| self.effects.per_core(image, serving);
        (agent.serving.keys().map(effect).fold(0.0, f64::max) * 1_000.0) as u32
    }

    /// Expected pace of a filling run of the step on a worker once the runs in `without` have ended, in percent.
    pub(super) fn expected_pace_percent(&self, agent: &Agent, step: &Step, without: &[(TaskId, u64)]) -> u32 {
        let neighbors: Vec<(&Step, u32)> = agent
            .runs
            .iter()
            .filter(|run| !without.contains(run))
            .filter_map(|(task, number)| {
                let other = self.step_of(*task).filter(|other| other.filling && self.disturbed(agent, other) > 0)?;
                Some((other, self.run(*task, *number).map_or(FULL_PERCENT, |run| run.pace_percent)))
            })
            .collect();
        let asked: u64 = neighbors.iter().map(|(other, _)| other.resources.processor_millicores).sum();
        let paced = |(other, pace_percent): &(&Step, u32)| {
            other.resources.processor_millicores * u64::from(*pace_percent) / u64::from(FULL_PERCENT)
        };
        if neighbors.iter().map(paced).sum::<u64>() * 100 < asked * u64::from(CROWDED_PERCENT) {
            return 0;
        }
        let disturbance = |serving: &Name| Disturbance {
            headroom: agent.headrooms.get(serving).copied().unwrap_or(HEADROOM_UNREPORTED)
                - neighbors.iter().map(|(other, _)| self.added(other, serving)).sum::<f64>(),
            added: self.added(step, serving),
        };
        let disturbances = agent.serving.keys().map(disturbance).filter(|disturbance| disturbance.added > 0.0);
        colocation::expected_pace_percent(disturbances)
    }

    /// What a filling run of the step adds to the tail latency of a serving image at full pace, as the logarithm of a
    /// factor; 0 where it doesn't disturb.
    #[expect(clippy::cast_precision_loss, reason = "processor time is bounded")]
    fn added(&self, step: &Step, serving: &Name) -> f64 {
        let unnamed = Name::default();
        let image = step.image.as_ref().unwrap_or(&unnamed);
        if self.effects.is_disturbing(image, serving) {
            self.effects.per_core(image, serving) * step.resources.processor_millicores as f64 / MILLICORES
        } else {
            0.0
        }
    }
}
