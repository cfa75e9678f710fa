//! Links that placers open to the agent.

use std::time::Duration;

use chervilledge_caller::budget::{Budget, Connection};
use chervilledge_cell::evacuation::Standing;
use chervilledge_cell::worker::Worker;
use chervilledge_link::connection;
use chervilledge_policy::id::Name;
use ractor::ActorRef;
use tokio::net::{TcpListener, TcpStream};

use super::paces::UNKNOWN_PERCENT;
use super::{Message, State};
use crate::message::{FromAgent, LINK_TIMEOUT, ToAgent};
use crate::rows::{self, Effect, VERSION};

/// Pause after a failed accept, which is mostly caused by a shortage of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

pub(super) async fn accept_all(listener: TcpListener, agent: ActorRef<Message>, budget: Budget) {
    for number in 1.. {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, budget.admit().await, number, agent.clone()));
            }
            Err(error) => {
                log::warn!(event = "accept_failed", error:% = error; "");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, share: Connection, link: u64, agent: ActorRef<Message>) {
    let opened = connection::accept_counted::<FromAgent>(stream, share).await;
    let Ok((sender, mut receiver)) = opened else { return };
    if agent.cast(Message::Linked { link, sender: sender.clone() }).is_err() {
        return;
    }
    let error = loop {
        let message = match receiver.receive::<ToAgent>(LINK_TIMEOUT).await {
            Ok(message) => Box::new(message),
            Err(error) => break error,
        };
        // A peer that doesn't read what is sent to it is heard no more.
        if let Err(error) = sender.ready(LINK_TIMEOUT).await {
            break error;
        }
        if agent.cast(Message::FromPlacer { link, message }).is_err() {
            return;
        }
    };
    log::info!(event = "placer_link_ended", link = link, error:% = error; "");
    // The agent may have ended.
    drop(agent.cast(Message::Unlinked(link)));
}

impl State {
    pub(super) fn handle_link_closed(&mut self, link: u64, now: Duration) {
        self.unidentified_links.remove(&link);
        if self.link.as_ref().is_some_and(|(number, _)| *number == link) {
            self.link = None;
            self.newest_term.forget_held(None);
            self.inventory_due = None;
            self.unlinked_since = now;
            self.announce_later(now);
        }
    }

    pub(super) fn handle_placer_message(&mut self, link: u64, message: ToAgent, now: Duration) {
        if let ToAgent::Hello { term, version } = message {
            self.handle_hello(link, term, version.as_ref(), now);
            return;
        }
        // Messages of a previous placer or link are obsolete.
        if self.link.as_ref().is_none_or(|(number, _)| *number != link) {
            return;
        }
        match message {
            ToAgent::Hello { .. } => {}
            ToAgent::Grant { asked, lease } => self.grant.extend(asked, lease),
            ToAgent::Evacuation { domain, revision, is_requested } => {
                self.apply_evacuation(&domain, Standing { revision, is_requested });
            }
            ToAgent::Start { life, order } => self.start(&life, order, now),
            ToAgent::Stop { life, task, run } => self.stop(&life, (task, run), now),
            ToAgent::Settle { life, cursor } => self.settle(&life, cursor, now),
            ToAgent::SettleCrash(life) => self.crashes.retain(|crash| crash.life != life),
            ToAgent::Urgencies(changes) => self.apply_urgencies(changes),
            ToAgent::Effects(effects) => {
                self.interference.set_shared(effects.into_iter().map(Effect::into_evidence).collect());
            }
            ToAgent::Describe(runs) => {
                for (task, run, traits) in runs {
                    self.traits.insert((task, run), traits);
                    self.ordered_paces.entry((task, run)).or_insert(UNKNOWN_PERCENT);
                }
            }
        }
    }

    fn handle_hello(&mut self, link: u64, term: u64, version: Option<&Name>, now: Duration) {
        let Some(sender) = self.unidentified_links.remove(&link) else { return };
        let newest = self.term.max(self.newest_term.known());
        if term < newest {
            log::info!(event = "placer_refused", link = link, term = term, obeyed_term = newest; "");
            sender.post(FromAgent::Superseded { term: newest });
            return;
        }
        log::info!(event = "placer_obeyed", link = link, term = term, former_term = self.term; "");
        if self.link.is_none() {
            self.check_row_after(now.saturating_sub(self.unlinked_since), now);
        }
        self.term = term;
        self.link = Some((link, sender));
        // Orders of a previous link never start.
        self.newest_term.forget_held(None);
        self.placer_knows_crashes = rows::knows_crashes(version);
        self.request_inventory(now);
        self.grant_request_due = now;
        if let Some(tracked) = &mut self.tracked {
            // Ends and progress are reported again.
            tracked.reported_end = tracked.cursor;
            tracked.reported_progress.clear();
            self.interference.mark_all_changed();
            tracked.poll_due = now;
        } else {
            self.send_inventory();
        }
        self.request_grant(now);
    }

    /// Sends the placer an inventory of the runs on the worker.
    pub(super) fn send_inventory(&mut self) {
        let now = self.context.clock.now();
        let starting = self.unconfirmed_runs();
        let version = Some(Name::from(VERSION));
        let crashes = self.crashes.iter().cloned().collect();
        let foreign_lease = self.foreign_lease_left(now);
        let message = match &mut self.tracked {
            Some(tracked) => {
                self.previous_life = None;
                self.reported_headroom.clear();
                tracked.reported_end =
                    tracked.ends.last().map_or(tracked.reported_end, |end| end.number.max(tracked.reported_end));
                FromAgent::Inventory {
                    worker: Some(Worker { cold_for: tracked.cold_until.saturating_sub(now), ..tracked.worker.clone() }),
                    running: tracked.running.clone(),
                    starting,
                    ends: tracked.ends.clone(),
                    is_empty: false,
                    asked: now,
                    version,
                    crashes,
                    is_partial: tracked.has_more_ends,
                    foreign_lease,
                }
            }
            None => FromAgent::Inventory {
                worker: None,
                running: Vec::new(),
                starting,
                ends: Vec::new(),
                is_empty: now >= self.empty_at,
                asked: now,
                version,
                crashes,
                is_partial: false,
                foreign_lease,
            },
        };
        match &self.tracked {
            Some(tracked) if tracked.has_more_ends => self.is_inventory_partial = true,
            None if now < self.empty_at => {}
            _ => {
                self.inventory_due = None;
                self.is_inventory_partial = false;
            }
        }
        self.send_to_placer(message);
    }
}
