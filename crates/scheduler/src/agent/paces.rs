//! Pace of filling runs beside serving ones.

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

/// Time that the worker's figures are taken over; looks that come sooner show the same figures.
const FIGURE_WINDOW: Duration = Duration::from_millis(440);
/// Interval at which the placer is told of learnt effects.
const EFFECTS_INTERVAL: Duration = Duration::from_millis(1_500);
/// Change of what a tail leaves that the placer is told, as the logarithm of a factor.
const ROOM_STEP: f64 = 0.1;
/// Thousandths of a core.
const MILLICORES: f64 = 1_000.0;

/// Stands for a pace that has to be set, whatever it is.
pub(super) const UNKNOWN_PERCENT: u32 = u32::MAX;

/// Runs on the worker that concern one another.
#[derive(Default)]
struct Seen {
    /// Tails of serving runs, also without a figure.
    tails: Vec<Tail>,
    /// Serving runs with a figure.
    serving: Vec<Serving>,
    /// Filling runs.
    filling: Vec<FillingRun>,
}

impl State {
    /// Whether filling runs stand beside serving ones.
    pub(super) fn has_pacing(&self) -> bool {
        self.traits.values().any(|traits| traits.is_filling)
            && self.traits.values().any(|traits| traits.latency_target.is_some())
    }

    /// Sets the pace of filling runs by what the last look says of serving ones.
    pub(super) fn set_paces(&mut self, now: Duration) {
        let Some(Seen { tails, serving, filling }) = self.colocated() else { return };
        if now.saturating_sub(self.observed) >= FIGURE_WINDOW && !serving.is_empty() {
            self.observed = now;
            let mut used: Map<Name, f64> = Map::default();
            for run in &filling {
                *used.entry(Arc::clone(&run.image)).or_default() += run.cores.used;
            }
            self.interference.observe(&serving, &used, now);
        }
        self.run_paces.observe(&tails, &filling, &self.interference, now);
        let worst = tails.iter().max_by_key(|tail| tail.measured);
        for run in filling.iter().map(|run| run.run) {
            self.order_pace(run, worst);
        }
    }

    /// What the last look shows of serving and filling runs; `None` without a worker.
    fn colocated(&self) -> Option<Seen> {
        let own = self.own.as_ref()?;
        let mut seen = Seen::default();
        for report in &own.running {
            let run = (report.task, report.run);
            let Some(traits) = self.traits.get(&run) else { continue };
            let image = traits.image.clone().unwrap_or_default();
            if let Some(target) = traits.latency_target.filter(|target| !target.is_zero()) {
                let measured = Duration::from_millis(report.measured);
                seen.tails.push(Tail { task: report.task, image: Arc::clone(&image), measured, target });
                if !measured.is_zero() {
                    let log_ratio = (measured.as_secs_f64() / target.as_secs_f64()).ln();
                    seen.serving.push(Serving { task: report.task, image, log_ratio });
                }
            } else if traits.is_filling {
                seen.filling.push(filling_run(run, traits, whole_to_f64(report.measured) / MILLICORES));
            }
        }
        // A run that started after the look was sent keeps its part of the room.
        let is_shown = |run: &RunId| own.running.iter().any(|report| (report.task, report.run) == *run);
        for run in self.taken.keys().filter(|run| !is_shown(run)) {
            if let Some(traits) = self.traits.get(run).filter(|traits| traits.is_filling) {
                seen.filling.push(filling_run(*run, traits, 0.0));
            }
        }
        Some(seen)
    }

    /// Takes in urgencies that have changed; the next look orders paces by them.
    pub(super) fn take_urgencies(&mut self, changes: Vec<(TaskId, u64, Urgency)>) {
        let (told, mut unknown) = (changes.len(), 0);
        for (task, run, urgency) in changes {
            match self.traits.get_mut(&(task, run)) {
                Some(traits) => traits.urgency = urgency,
                // It has ended meanwhile, or is described by the message that follows an inventory.
                None => unknown += 1,
            }
        }
        log::info!(event = "urgencies", runs = told, runs_unknown = unknown; "");
    }

    /// Tells the placer what the tails leave for filling runs, if that has changed.
    pub(super) fn tell_rooms(&mut self) {
        let rooms = self.run_paces.headrooms();
        let is_told = |(image, room): (&Name, &f64)| {
            self.rooms_told.get(image).is_some_and(|told| (told - room).abs() < ROOM_STEP)
        };
        if rooms.len() == self.rooms_told.len() && rooms.iter().all(is_told) {
            return;
        }
        let message = rooms.iter().map(|(image, room)| (Arc::clone(image), *room)).collect();
        self.rooms_told = rooms;
        self.tell(FromAgent::Rooms(message));
    }

    /// Tells the placer what was learnt of pairs of images.
    pub(super) fn tell_effects(&mut self, now: Duration) {
        if now < self.effects_due || self.link.is_none() {
            return;
        }
        self.effects_due = now + EFFECTS_INTERVAL;
        let table = self.interference.take_changes();
        if !table.is_empty() {
            self.tell(FromAgent::Effects(table.iter().map(Effect::of).collect()));
        }
    }

    /// Gives a run that has just started its pace; less urgent ones give way to it.
    pub(super) fn pace_new_run(&mut self, run: RunId) {
        let Some(traits) = self.traits.get(&run).filter(|traits| traits.is_filling) else { return };
        self.run_paces.start(filling_run(run, traits, 0.0), &self.interference);
        // The last look may have shown runs of a former life of the worker.
        let runs: Vec<RunId> = self.run_paces.runs().filter(|run| self.traits.contains_key(run)).collect();
        for run in runs {
            self.order_pace(run, None);
        }
    }

    /// Orders the pace that was decided for a run, unless it is in force.
    fn order_pace(&mut self, run: RunId, worst_tail: Option<&Tail>) {
        let percent = self.run_paces.percent(run);
        let former = self.paces.get(&run).copied().unwrap_or(FULL_PERCENT);
        if former == percent {
            return;
        }
        let Some(target) = self.target() else { return };
        self.paces.insert(run, percent);
        let traits = self.traits.get(&run).cloned().unwrap_or_default();
        log::info!(event = "pace", task:% = run.0, run = run.1, image = &*traits.image.unwrap_or_default(),
            urgency = traits.urgency.0, percent = percent, former_percent = (former <= FULL_PERCENT).then_some(former),
            worst_tail:? = worst_tail; "");
        self.context.metrics.pace_ordered(percent, former.min(FULL_PERCENT));
        let answer = (self.context.calls.pace)((target, run.0, run.1, percent));
        let myself = self.myself.clone();
        tokio::spawn(async move {
            let result = answer.await;
            // The agent may have ended.
            drop(myself.cast(Message::Paced { run, percent, result }));
        });
    }

    pub(super) fn paced(&mut self, run: RunId, percent: u32, result: OrderOutcome) {
        // A pace that wasn't taken is ordered again after the next look.
        if result != OrderOutcome::Taken && self.paces.get(&run) == Some(&percent) {
            log::info!(event = "pace_not_taken", task:% = run.0, run = run.1, percent = percent, result:? = result; "");
            self.paces.insert(run, UNKNOWN_PERCENT);
        }
    }
}

fn filling_run(run: RunId, traits: &RunTraits, used_cores: f64) -> FillingRun {
    let cores = Cores { used: used_cores, asked: whole_to_f64(traits.processor_millicores) / MILLICORES };
    FillingRun { run, image: traits.image.clone().unwrap_or_default(), cores, urgency: traits.urgency }
}

fn whole_to_f64(number: u64) -> f64 {
    u32::try_from(number).map_or(f64::from(u32::MAX), f64::from)
}
