//! Claims the cell when a takeover is due, and starts the placer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chervilledge_cell::succession::{self, Tenure};
use ractor::ActorRef;
use rand::Rng;

use super::{Entry, PlacerRoute, RETIRE_TIMEOUT_MS, lock};
use crate::clock::whole_ms;
use crate::peer;
use crate::roster::Roster;
use crate::{candidate, placer, rows};

/// Interval of the checks whether the cell has a placer.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Upper bound of the random delay before a claim, which keeps entries from claiming at the same time.
const CLAIM_JITTER: Duration = Duration::from_millis(120);

/// Interval at which a small entry that places checks for a larger one.
const LARGER_ENTRY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Checks periodically whether the cell needs a placer and claims the cell if so; hands it over to a larger entry when
/// the tenure is over. Never returns.
pub(super) async fn run(entry: Entry) {
    let mut tenure = Tenure::default();
    let mut has_claimed = false;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if is_stopping(&entry) {
            continue;
        }
        if let Some((term, placer)) = entry.local_placer() {
            if tenure.is_over(term, entry.now()) {
                hand_over(&entry, &mut tenure, term, &placer).await;
            }
            continue;
        }
        let Some(roster) = entry.roster() else { continue };
        if !is_takeover_due(&entry, &roster) {
            continue;
        }
        let jitter = CLAIM_JITTER.mul_f64(rand::rng().random());
        let store_delay = entry.claim_wait();
        if !store_delay.is_zero() {
            log::info!(event = "claim_waits", wait_ms = whole_ms(store_delay),
                response_ms = entry.store_latency().map_or(0, whole_ms); "");
        }
        // To other entries, a placer row that names this entry means that the cell is in use.
        if !has_claimed && holds_stale_claim(&entry, &roster) {
            candidate::release(&entry.inner.store, &roster).await;
        }
        tokio::time::sleep(jitter + succession::claim_delay(entry.inner.settings.processor_share) + store_delay).await;
        let Some(roster) = entry.roster() else { continue };
        if !is_stopping(&entry) && is_takeover_due(&entry, &roster) {
            has_claimed = true;
            claim(&entry, &roster).await;
            // Its retirement found no placer if it began during the claim.
            if is_stopping(&entry) {
                entry.release_cell().await;
            }
        }
    }
}

fn is_stopping(entry: &Entry) -> bool {
    entry.inner.is_stopping.load(Ordering::Relaxed)
}

fn is_takeover_due(entry: &Entry, roster: &Roster) -> bool {
    let unlinked = match *entry.inner.placer_route.borrow() {
        PlacerRoute::Opening(unlinked) => Some(unlinked),
        PlacerRoute::Local(_) | PlacerRoute::Remote(_) | PlacerRoute::None => None,
    };
    candidate::is_takeover_due(roster, &entry.inner.settings.name, unlinked, entry.now())
}

/// Whether the placer's row was written by an earlier start of this process while larger entries could place.
fn holds_stale_claim(entry: &Entry, roster: &Roster) -> bool {
    let settings = &entry.inner.settings;
    let names_own_entry = |(placer, _): &(rows::Placer, u64)| placer.holder.as_ref() == Some(&settings.name);
    roster.placer.as_ref().is_some_and(names_own_entry)
        && roster.larger_entries(settings.processor_share).next().is_some()
}

/// Releases the cell if a larger entry is up. That entry claims it at once, before this one can.
async fn hand_over(entry: &Entry, tenure: &mut Tenure, term: u64, placer: &ActorRef<placer::Message>) {
    let Some(roster) = entry.roster() else { return };
    for (name, address) in roster.larger_entries(entry.inner.settings.processor_share) {
        if peer::can_take_cell(address).await {
            log::info!(event = "cell_handed_over", term = term, larger = &**name; "");
            tenure.hand_over();
            // No reply is needed from a placer that has already ended.
            drop(ractor::call_t!(placer, placer::Message::Retire, RETIRE_TIMEOUT_MS));
            return;
        }
    }
    tokio::time::sleep(LARGER_ENTRY_CHECK_INTERVAL).await;
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
        operator_rows_read: inner.operator_rows_read.clone(),
        evacuation_apply: inner.settings.evacuation_apply,
        term,
        revision,
        claimed,
        address,
        predecessor: roster.placer.as_ref().map(|(placer, _)| placer.clone()),
        is_predecessor_alone: roster.is_placer_alone(),
        former_witnesses: roster.acting_witnesses(),
        former_renewed: roster.heartbeat_seen_at,
        handed_over_leases: roster.handed_over_leases(),
        lease: inner.settings.lease(),
        cancellation_apply: inner.settings.cancellation_apply,
        metrics: Arc::clone(&inner.metrics),
        ended_jobs_kept: inner.settings.ended_jobs_kept,
    };
    match placer::spawn(context).await {
        Ok(actor) => {
            *lock(&inner.local_placer) = Some((term, actor.clone()));
            inner.placer_route.send_replace(PlacerRoute::Local(actor));
        }
        Err(error) => log::error!(event = "placer_not_started", term = term, error:% = error; ""),
    }
}
