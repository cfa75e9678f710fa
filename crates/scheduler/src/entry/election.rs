//! Takes the cell over when it is due, and runs the placer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chervilledge_cell::succession::{self, Tenure};
use ractor::ActorRef;
use rand::Rng;

use super::{Entry, RETIRE_TIMEOUT_MS, Way, lock};
use crate::clock::whole_ms;
use crate::peer::{self, Asked};
use crate::roster::Roster;
use crate::{candidate, placer, rows};

/// Interval of looks whether the cell has a placer.
const LOOK_INTERVAL: Duration = Duration::from_millis(150);
/// Upper bound of the random pause before a claim, so that entries don't claim together.
const CLAIM_JITTER: Duration = Duration::from_millis(120);

/// Interval at which a small entry that places looks for a larger one.
const LARGER_INTERVAL: Duration = Duration::from_secs(1);

/// Runs until the entry ends.
pub(super) async fn run(entry: Entry) {
    let mut link_lost: Option<Duration> = None;
    let mut tenure = Tenure::default();
    let mut has_claimed = false;
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        if entry.inner.is_stopping.load(Ordering::Relaxed) {
            continue;
        }
        if let Some((term, placer)) = entry.own_placer() {
            if tenure.is_over(term, entry.now()) {
                hand_over(&entry, &mut tenure, term, &placer).await;
            }
            continue;
        }
        let now = entry.now();
        link_lost = match *entry.inner.way.borrow() {
            Way::None => link_lost.or(Some(now)),
            Way::Here(_) | Way::There(_) => None,
        };
        let Some(roster) = entry.roster() else { continue };
        if !candidate::is_due(&roster, &entry.inner.settings.name, link_lost, now) {
            continue;
        }
        let jitter = CLAIM_JITTER.mul_f64(rand::rng().random());
        let distance = entry.claim_wait();
        if !distance.is_zero() {
            log::info!(event = "claim_waits", wait_ms = whole_ms(distance),
                response_ms = entry.response().map_or(0, whole_ms); "");
        }
        // Other entries take a row that names this one for a sign that the cell is in use.
        if !has_claimed && is_left_behind(&entry, &roster) {
            candidate::give_up(&entry.inner.store, &roster).await;
        }
        tokio::time::sleep(jitter + succession::claim_delay(entry.inner.settings.processor_share) + distance).await;
        let Some(roster) = entry.roster() else { continue };
        if candidate::is_due(&roster, &entry.inner.settings.name, link_lost, entry.now()) {
            has_claimed = true;
            claim(&entry, &roster).await;
        }
    }
}

/// Whether the placer's row is of an earlier start of this process, and larger entries may place.
fn is_left_behind(entry: &Entry, roster: &Roster) -> bool {
    let settings = &entry.inner.settings;
    let names_this = |(placer, _): &(rows::Placer, u64)| placer.holder.as_ref() == Some(&settings.name);
    roster.placer.as_ref().is_some_and(names_this) && roster.larger_entries(settings.processor_share).next().is_some()
}

/// Gives the cell up if a larger entry is up; it claims at once, before this one.
async fn hand_over(entry: &Entry, tenure: &mut Tenure, term: u64, placer: &ActorRef<placer::Message>) {
    let Some(roster) = entry.roster() else { return };
    for (name, address) in roster.larger_entries(entry.inner.settings.processor_share) {
        if matches!(peer::ask_term(address).await, Asked::Term(_)) {
            log::info!(event = "cell_handed_over", term = term, larger = &**name; "");
            tenure.hand_over();
            // A placer that has ended meanwhile needs no answer.
            drop(ractor::call_t!(placer, placer::Message::Retire, RETIRE_TIMEOUT_MS));
            return;
        }
    }
    tokio::time::sleep(LARGER_INTERVAL).await;
}

async fn claim(entry: &Entry, roster: &Roster) {
    let inner = &entry.inner;
    let claimed = entry.now();
    let address = inner.settings.links_address;
    let Some((term, revision)) = candidate::claim(&inner.store, roster, &inner.settings.name, address).await else {
        return;
    };
    let context = placer::Context {
        name: Arc::clone(&inner.settings.name),
        clock: inner.clock.clone(),
        store: Arc::clone(&inner.store),
        roster: inner.roster.view.clone(),
        configuration: inner.configuration.clone(),
        evacuated: inner.evacuated.clone(),
        term,
        revision,
        claimed,
        former: roster.placer.as_ref().map(|(placer, _)| placer.clone()),
        is_former_alone: roster.is_placer_alone(),
        lease: inner.settings.lease(),
        cancellation_apply: inner.settings.cancellation_apply,
        metrics: Arc::clone(&inner.metrics),
        ended_jobs_kept: inner.settings.ended_jobs_kept,
    };
    match placer::spawn(context).await {
        Ok(actor) => {
            *lock(&inner.own_placer) = Some((term, actor.clone()));
            inner.way.send_replace(Way::Here(actor));
        }
        Err(error) => log::error!(event = "placer_not_started", term = term, error:% = error; ""),
    }
}
