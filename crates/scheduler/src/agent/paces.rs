//! Pace of filling runs that share the worker with serving ones.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::interference::Serving;
use chervilledge_cell::job::TaskId;
use chervilledge_cell::pace::{Cores, FULL_PERCENT, FillingRun, Tail};
use chervilledge_cell::urgency::Urgency;
use chervilledge_cell::worker::RunTraits;
use chervilledge_policy::collections::Map;
use chervilledge_policy::id::Name;

use super::{Message, RunId, State};
use crate::message::FromAgent;
use crate::rows::Effect;
use crate::worker::OrderOutcome;

/// Window over which the worker measures; polls at shorter intervals return the same figures.
const MEASUREMENT_WINDOW: Duration = Duration::from_millis(440);
/// Interval at which measured interference is reported to the placer.
const EFFECTS_INTERVAL: Duration = Duration::from_millis(1_500);
/// Change of the headroom, as the logarithm of a factor, from which it is reported again.
const HEADROOM_STEP: f64 = 0.1;
/// Millicores per core.
const MILLICORES_PER_CORE: f64 = 1_000.0;

/// Marks an unknown pace, which has to be ordered whatever the target is.
pub(super) const UNKNOWN_PERCENT: u32 = u32::MAX;

/// Serving and filling runs that share the worker.
#[derive(Default)]
struct Colocation {
    /// Tail latencies of serving runs, including those without a measurement.
    tails: Vec<Tail>,
    /// Serving runs with a measurement.
    serving: Vec<Serving>,
    filling: Vec<FillingRun>,
}

impl State {
    /// Whether filling runs share the worker with serving ones.
    pub(super) fn is_colocated(&self) -> bool {
        self.traits.values().any(|traits| traits.is_filling)
            && self.traits.values().any(|traits| traits.latency_target.is_some())
    }

    /// Sets the pace of filling runs according to the serving runs in the last poll.
    pub(super) fn update_paces(&mut self, now: Duration) {
        let Some(Colocation { tails, serving, filling }) = self.snapshot_colocation() else { return };
        if now.saturating_sub(self.observed_at) >= MEASUREMENT_WINDOW && !serving.is_empty() {
            self.observed_at = now;
            let mut used: Map<Name, f64> = Map::default();
            for run in &filling {
                *used.entry(Arc::clone(&run.image)).or_default() += run.cores.used;
            }
            self.interference.observe(&serving, &used, now);
        }
        self.decided_paces.observe(&tails, &filling, &self.interference, now);
        let worst = tails.iter().max_by_key(|tail| tail.measured);
        for run in filling.iter().map(|run| run.run) {
            self.order_pace(run, worst);
        }
    }

    /// Serving and filling runs in the last poll; `None` without a worker.
    fn snapshot_colocation(&self) -> Option<Colocation> {
        let tracked = self.tracked.as_ref()?;
        let mut colocation = Colocation::default();
        for report in &tracked.running {
            let run = (report.task, report.run);
            let Some(traits) = self.traits.get(&run) else { continue };
            let image = traits.image.clone().unwrap_or_default();
            if let Some(target) = traits.latency_target.filter(|target| !target.is_zero()) {
                let measured = Duration::from_millis(report.measured);
                colocation.tails.push(Tail { task: report.task, image: Arc::clone(&image), measured, target });
                if !measured.is_zero() {
                    let log_ratio = (measured.as_secs_f64() / target.as_secs_f64()).ln();
                    colocation.serving.push(Serving { task: report.task, image, log_ratio });
                }
            } else if traits.is_filling {
                colocation.filling.push(filling_run(run, traits, whole_to_f64(report.measured) / MILLICORES_PER_CORE));
            }
        }
        // A run that started after the poll was sent keeps its share of the headroom.
        let is_reported = |run: &RunId| tracked.running.iter().any(|report| (report.task, report.run) == *run);
        for run in self.acknowledged_starts.keys().filter(|run| !is_reported(run)) {
            if let Some(traits) = self.traits.get(run).filter(|traits| traits.is_filling) {
                colocation.filling.push(filling_run(*run, traits, 0.0));
            }
        }
        Some(colocation)
    }

    /// Applies changed urgencies; they affect the paces ordered after the next poll.
    pub(super) fn apply_urgencies(&mut self, changes: Vec<(TaskId, u64, Urgency)>) {
        let (updated, mut unknown) = (changes.len(), 0);
        for (task, run, urgency) in changes {
            match self.traits.get_mut(&(task, run)) {
                Some(traits) => traits.urgency = urgency,
                // The run has ended, or is described by the message that follows an inventory.
                None => unknown += 1,
            }
        }
        log::info!(event = "urgencies", runs = updated, runs_unknown = unknown; "");
    }

    /// Reports the headroom of the serving images to the placer if it has changed.
    pub(super) fn report_headroom(&mut self) {
        let rooms = self.decided_paces.log_headroom_by_image();
        let is_unchanged = |(image, room): (&Name, &f64)| {
            self.reported_headroom.get(image).is_some_and(|reported| (reported - room).abs() < HEADROOM_STEP)
        };
        if rooms.len() == self.reported_headroom.len() && rooms.iter().all(is_unchanged) {
            return;
        }
        let message = rooms.iter().map(|(image, room)| (Arc::clone(image), *room)).collect();
        self.reported_headroom = rooms;
        self.send_to_placer(FromAgent::Rooms(message));
    }

    /// Reports measured interference to the placer.
    pub(super) fn report_effects(&mut self, now: Duration) {
        if now < self.effects_due || self.link.is_none() {
            return;
        }
        self.effects_due = now + EFFECTS_INTERVAL;
        let table = self.interference.take_changes();
        if !table.is_empty() {
            self.send_to_placer(FromAgent::Effects(table.iter().map(Effect::from_evidence).collect()));
        }
    }

    /// Sets the pace of a run that has just started; less urgent runs are slowed down in its favor.
    pub(super) fn pace_new_run(&mut self, run: RunId) {
        let Some(traits) = self.traits.get(&run).filter(|traits| traits.is_filling) else { return };
        self.decided_paces.start(filling_run(run, traits, 0.0), &self.interference);
        // The last poll may have shown runs of a previous incarnation of the worker.
        let runs: Vec<RunId> = self.decided_paces.runs().filter(|run| self.traits.contains_key(run)).collect();
        for run in runs {
            self.order_pace(run, None);
        }
    }

    /// Orders the target pace of a run, unless it is in force.
    fn order_pace(&mut self, run: RunId, worst_tail: Option<&Tail>) {
        let percent = self.decided_paces.percent(run);
        let previous = self.ordered_paces.get(&run).copied().unwrap_or(FULL_PERCENT);
        if previous == percent {
            return;
        }
        let Some(target) = self.target() else { return };
        self.ordered_paces.insert(run, percent);
        let traits = self.traits.get(&run).cloned().unwrap_or_default();
        log::info!(event = "pace", task:% = run.0, run = run.1, image = &*traits.image.unwrap_or_default(),
            urgency = traits.urgency.0, percent = percent,
            former_percent = (previous <= FULL_PERCENT).then_some(previous),
            worst_tail:? = worst_tail; "");
        self.context.metrics.pace_ordered(percent, previous.min(FULL_PERCENT));
        let call = (self.context.calls.pace)((target, run.0, run.1, percent));
        let myself = self.myself.clone();
        tokio::spawn(async move {
            let result = call.await;
            // The agent may have ended.
            drop(myself.cast(Message::Paced { run, percent, result }));
        });
    }

    pub(super) fn handle_pace_outcome(&mut self, run: RunId, percent: u32, result: OrderOutcome) {
        // A pace that wasn't acknowledged is ordered again after the next poll.
        if result != OrderOutcome::Taken && self.ordered_paces.get(&run) == Some(&percent) {
            log::info!(event = "pace_not_taken", task:% = run.0, run = run.1, percent = percent, result:? = result; "");
            self.ordered_paces.insert(run, UNKNOWN_PERCENT);
        }
    }
}

fn filling_run(run: RunId, traits: &RunTraits, used_cores: f64) -> FillingRun {
    let cores = Cores { used: used_cores, asked: whole_to_f64(traits.processor_millicores) / MILLICORES_PER_CORE };
    FillingRun { run, image: traits.image.clone().unwrap_or_default(), cores, urgency: traits.urgency }
}

fn whole_to_f64(number: u64) -> f64 {
    u32::try_from(number).map_or(f64::from(u32::MAX), f64::from)
}
