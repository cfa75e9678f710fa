//! Takes the cell over when it is due, and runs the placer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;

use super::{Entry, Way, lock};
use crate::candidate;
use crate::clock::whole_ms;
use crate::placer;

/// Interval of looks whether the cell has a placer.
const LOOK_INTERVAL: Duration = Duration::from_millis(150);
/// Upper bound of the random pause before a claim, so that entries don't claim together.
const CLAIM_JITTER: Duration = Duration::from_millis(120);

/// Part of a core that is enough for placing a cell of some 70 workers.
const SHARE_ENOUGH: f64 = 0.5;
/// Longest wait of an entry with less than that.
const HANDICAP_MAX: Duration = Duration::from_millis(400);

/// Runs until the entry ends.
pub(super) async fn run(entry: Entry) {
    let mut link_lost: Option<Duration> = None;
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        if entry.inner.is_stopping.load(Ordering::Relaxed) || entry.own_placer().is_some() {
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
        tokio::time::sleep(jitter + handicap(entry.inner.settings.processor_share) + distance).await;
        let Some(roster) = entry.roster() else { continue };
        if candidate::is_due(&roster, &entry.inner.settings.name, link_lost, entry.now()) {
            claim(&entry, &roster).await;
        }
    }
}

/// Time by which an entry with little processor waits for others to claim first.
fn handicap(processor_share: f64) -> Duration {
    HANDICAP_MAX.mul_f64(1.0 - (processor_share / SHARE_ENOUGH).clamp(0.0, 1.0))
}

async fn claim(entry: &Entry, roster: &crate::roster::Roster) {
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
