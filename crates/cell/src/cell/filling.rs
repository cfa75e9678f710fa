//! Processor time that filling runs ask for and get, for diagnosing late large jobs.

use super::Cell;
use crate::pace::FULL_PERCENT;

/// Filling runs of a cell at one moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FillingUsage {
    /// Number of filling runs.
    pub runs: u32,
    /// Processor time that they ask for, in thousandths of a core.
    pub asked_millicores: u64,
    /// Part of it that their paces allow.
    pub paced_millicores: u64,
    /// Number of these runs that are estimated to disturb a serving run on their worker.
    pub disturbing_runs: u32,
    /// Processor time that the paces of the disturbing runs allow, in thousandths of a core.
    pub disturbing_paced_millicores: u64,
    /// Workers with serving runs.
    pub serving_workers: u32,
    /// Serving images, summed over the workers.
    pub serving_images: u32,
}

impl Cell {
    /// Present demand and pace of the filling runs.
    #[must_use]
    pub fn filling(&self) -> FillingUsage {
        let mut filling = FillingUsage::default();
        for agent in self.agents.values() {
            filling.serving_workers += u32::from(!agent.serving.is_empty());
            filling.serving_images += u32::try_from(agent.serving.len()).unwrap_or(u32::MAX);
            for (task, number) in &agent.runs {
                let Some(step) = self.step_of(*task).filter(|step| step.filling) else { continue };
                let pace_percent = self.run(*task, *number).map_or(FULL_PERCENT, |run| run.pace_percent);
                let asked_millicores = step.resources.processor_millicores;
                let paced_millicores = asked_millicores * u64::from(pace_percent) / 100;
                filling.runs += 1;
                filling.asked_millicores += asked_millicores;
                filling.paced_millicores += paced_millicores;
                if self.disturbed(agent, step) > 0 {
                    filling.disturbing_runs += 1;
                    filling.disturbing_paced_millicores += paced_millicores;
                }
            }
        }
        filling
    }
}
