//! Pace of filling runs beside serving ones.

use std::time::Duration;

use chervilledge_cell::pace::Tail;

use super::{Message, RunId, State};
use crate::worker::Ordered;

/// Pace of a run that was never told one.
const FULL_PERCENT: u32 = 100;
/// Stands for a pace that has to be set, whatever it is.
pub(super) const UNKNOWN_PERCENT: u32 = u32::MAX;

impl State {
    /// Whether filling runs stand beside serving ones.
    pub(super) fn has_pacing(&self) -> bool {
        self.traits.values().any(|traits| traits.is_filling)
            && self.traits.values().any(|traits| traits.latency_target.is_some())
    }

    /// Sets the pace of filling runs by what the last look says of serving ones.
    pub(super) fn set_paces(&mut self, now: Duration) {
        let Some(own) = &self.own else { return };
        let mut tails = Vec::new();
        let mut filling = Vec::new();
        for report in &own.running {
            let run = (report.task, report.run);
            let Some(traits) = self.traits.get(&run) else { continue };
            if let Some(target) = traits.latency_target {
                tails.push(Tail { measured: Duration::from_millis(report.measured), target });
            } else if traits.is_filling {
                filling.push(run);
            }
        }
        let former = self.pacer.percent();
        let percent = self.pacer.observe(&tails, now);
        if percent != former {
            let worst = tails.iter().max_by_key(|tail| tail.measured);
            log::info!(event = "pace", percent = percent, former_percent = former, serving = tails.len(),
                filling = filling.len(), worst_tail:? = worst; "");
        }
        for run in filling {
            self.order_pace(run, percent);
        }
    }

    /// Gives a run that has just started the pace in force.
    pub(super) fn pace_new_run(&mut self, run: RunId) {
        if self.traits.get(&run).is_some_and(|traits| traits.is_filling) {
            self.order_pace(run, self.pacer.percent());
        }
    }

    fn order_pace(&mut self, run: RunId, percent: u32) {
        if self.paces.get(&run).copied().unwrap_or(FULL_PERCENT) == percent {
            return;
        }
        let Some(target) = self.target() else { return };
        self.paces.insert(run, percent);
        let answer = (self.context.calls.pace)(target, run.0, run.1, percent);
        let myself = self.myself.clone();
        tokio::spawn(async move {
            let result = answer.await;
            // The agent may have ended.
            drop(myself.cast(Message::Paced { run, percent, result }));
        });
    }

    pub(super) fn paced(&mut self, run: RunId, percent: u32, result: Ordered) {
        // A pace that wasn't taken is ordered again after the next look.
        if result != Ordered::Taken && self.paces.get(&run) == Some(&percent) {
            log::info!(event = "pace_not_taken", task:% = run.0, run = run.1, percent = percent, result:? = result; "");
            self.paces.insert(run, UNKNOWN_PERCENT);
        }
    }
}
