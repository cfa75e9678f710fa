//! What filling runs ask for and get, for whoever asks why large jobs are late.

use super::Cell;
use crate::pace::FULL_PERCENT;

/// Filling runs of a cell at one moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FillingUsage {
    /// Runs.
    pub runs: u32,
    /// Processor time that they ask for, in thousandths of a core.
    pub asked_millicores: u64,
    /// What their paces let them use of it.
    pub paced_millicores: u64,
    /// Those of the runs that disturb a serving run on their worker, as far as is known.
    pub disturbing_runs: u32,
    /// What the paces of these let them use, in thousandths of a core.
    pub disturbing_paced_millicores: u64,
    /// Workers on which something serves.
    pub serving_workers: u32,
    /// Sum over the workers of the images that serve there.
    pub serving_images: u32,
}

impl Cell {
    /// What filling runs ask for and get at present.
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
