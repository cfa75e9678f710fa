//! Witnesses of the placer's term: choice, publication in the store, and renewals while the store doesn't answer.
//!
//! The row of witnesses is written only under the revision that it last had, so that a write which lost its response
//! can't replace a later one. Until the outcome of a write is known, the term is renewed with the witnesses of every row
//! that may be in the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::id::Name;
use futures_util::future::join_all;
use ractor::ActorRef;
use rand::seq::IteratorRandom;
use tokio::sync::watch;

use super::{Context, Message, heartbeat_change};
use crate::message::{FromEntry, ToEntry};
use crate::peer::{self, Link};
use crate::repeat;
use crate::rows::{self, PLACER_KEY, WITNESSES_KEY};
use crate::store::{Change, Condition, Outcome, Table, Transaction};

/// Age of the last renewal from which the witnesses are asked: a heartbeat and its repetition are overdue.
pub(super) const RENEWAL_OVERDUE_AFTER: Duration = Duration::from_millis(1_500);
/// Number of witnesses. A successor needs one of them that answers.
const WITNESSES: usize = 2;
/// Interval of the checks whether the witnesses are still linked, and of renewals.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout for a witness to answer; it does so from memory.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Entry that is a witness.
#[derive(Clone, Debug)]
struct Witness {
    name: Name,
    address: SocketAddr,
    link: Arc<Link>,
}

/// Witnesses of one row.
type Members = Vec<Witness>;

/// Keeps the witnesses of the term, and renews it with them while the store doesn't.
pub(super) async fn run(
    context: Context,
    is_alone: watch::Receiver<bool>,
    is_overdue: watch::Receiver<bool>,
    placer: ActorRef<Message>,
) {
    // The claim has written a row without witnesses.
    let (stored, rows) = watch::channel(vec![Members::new()]);
    tokio::join!(publish(&context, is_alone, stored), renew(&context, rows, is_overdue, placer));
}

/// Replaces witnesses that are lost, and publishes them in the store.
async fn publish(context: &Context, is_alone: watch::Receiver<bool>, stored: watch::Sender<Vec<Members>>) {
    let mut revision = context.revision;
    let mut members = Members::new();
    let mut written: Option<rows::Witnesses> = None;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        members.retain(|witness| !witness.link.has_ended());
        add_members(context, &mut members).await;
        let earlier = if *is_alone.borrow() { Some(Vec::new()) } else { context.former_witnesses.clone() };
        let addresses = members.iter().map(|witness| witness.address).collect();
        let row = rows::Witnesses { term: context.term, members: addresses, earlier };
        if written.as_ref() == Some(&row) {
            continue;
        }
        stored.send_if_modified(|stored| {
            let is_new = stored.last().is_none_or(|last| names(last) != names(&members));
            if is_new {
                stored.push(members.clone());
            }
            is_new
        });
        let condition = |key, revision| Condition { table: Table::Cell, key: Arc::from(key), revision };
        let transaction = Transaction {
            conditions: vec![condition(PLACER_KEY, context.revision), condition(WITNESSES_KEY, revision)],
            changes: vec![
                Change { table: Table::Cell, key: Arc::from(WITNESSES_KEY), value: Some(rows::encode(&row)) },
                // A successor doesn't ask the former witnesses, so it has to see a renewal later than all of theirs.
                heartbeat_change(context.term, *is_alone.borrow()),
            ],
        };
        written = None;
        match repeat::commit(&context.store, transaction).await {
            Outcome::Done(current) => {
                log::info!(event = "witnesses", term = context.term, names:? = names(&members); "");
                revision = current;
                stored.send_replace(vec![members.clone()]);
                written = Some(row);
            }
            // An earlier write whose response was lost, or another writer; the placer's row tells of a successor.
            Outcome::Conflict(rows) => {
                let current = rows.iter().find(|(_, row)| &*row.key == WITNESSES_KEY);
                revision = current.map_or(0, |(_, row)| row.revision);
            }
            Outcome::Refused | Outcome::NotThere | Outcome::Unknown | Outcome::Broken => {}
        }
    }
}

fn names(members: &Members) -> Vec<&Name> {
    members.iter().map(|witness| &witness.name).collect()
}

/// Links entries as witnesses, chosen at random, as far as some are missing.
async fn add_members(context: &Context, members: &mut Members) {
    let Some(roster) = context.roster.borrow().clone() else { return };
    let is_eligible = |name: &Name| {
        *name != context.name
            && roster.versions.get(name).is_some_and(|version| rows::can_witness(version))
            && members.iter().all(|witness| witness.name != *name)
    };
    let missing = WITNESSES.saturating_sub(members.len());
    let eligible = roster.entries.iter().filter(|(name, _)| is_eligible(name));
    let chosen: Vec<(Name, SocketAddr)> =
        eligible.map(|(name, address)| (Arc::clone(name), *address)).choose_multiple(&mut rand::rng(), missing);
    let links = join_all(chosen.iter().map(|(_, address)| peer::open(*address))).await;
    for ((name, address), link) in chosen.into_iter().zip(links) {
        members.extend(link.map(|link| Witness { name, address, link }));
    }
}

/// Renews the term with every witness that may be in the store, while renewals by the store are overdue.
async fn renew(
    context: &Context,
    stored: watch::Receiver<Vec<Members>>,
    is_overdue: watch::Receiver<bool>,
    placer: ActorRef<Message>,
) {
    let mut was_renewed = false;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if !*is_overdue.borrow() && !was_renewed {
            continue;
        }
        let asked = context.clock.now();
        let rows = stored.borrow().clone();
        // A row without witnesses promises a successor that nobody renews the term.
        let is_renewed = *is_overdue.borrow()
            && rows.iter().all(|members| !members.is_empty())
            && join_all(rows.iter().flatten().map(|witness| renew_with(witness, context.term)))
                .await
                .iter()
                .all(|is| *is);
        if is_renewed != was_renewed {
            log::info!(event = "renewed_by_witnesses", term = context.term, is_renewed = is_renewed; "");
            was_renewed = is_renewed;
        }
        if is_renewed && placer.cast(Message::Renewed(asked)).is_err() {
            return;
        }
    }
}

async fn renew_with(witness: &Witness, term: u64) -> bool {
    let answer = witness.link.query(ANSWER_TIMEOUT, |question| ToEntry::RenewTerm { question, term }).await;
    matches!(answer, Some(FromEntry::TermRenewed { is_renewed: true, .. }))
}
