//! Links that placers open to the agent.

use std::time::Duration;

use chervilledge_cell::evacuation::Standing;
use chervilledge_cell::worker::Worker;
use chervilledge_link::connection;
use ractor::ActorRef;
use tokio::net::{TcpListener, TcpStream};

use super::paces::UNKNOWN_PERCENT;
use super::{Message, State};
use crate::message::{FromAgent, SILENCE, ToAgent};
use crate::rows::Effect;

/// Pause after a failed accept, which is mostly a shortage of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

pub(super) async fn accept_all(listener: TcpListener, agent: ActorRef<Message>) {
    for number in 1.. {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, number, agent.clone()));
            }
            Err(error) => {
                log::warn!(event = "accept_failed", error:% = error; "");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, link: u64, agent: ActorRef<Message>) {
    let opened = connection::accept_typed::<FromAgent>(stream, |_| true).await;
    let Ok((sender, mut receiver)) = opened else { return };
    if agent.cast(Message::Linked { link, sender }).is_err() {
        return;
    }
    loop {
        match receiver.receive::<ToAgent>(SILENCE).await {
            Ok(message) => {
                if agent.cast(Message::FromPlacer { link, message: Box::new(message) }).is_err() {
                    return;
                }
            }
            Err(error) => {
                log::info!(event = "placer_link_ended", link = link, error:% = error; "");
                break;
            }
        }
    }
    // The agent may have ended.
    drop(agent.cast(Message::Unlinked(link)));
}

impl State {
    pub(super) fn unlinked(&mut self, link: u64, now: Duration) {
        self.new_links.remove(&link);
        if self.link.as_ref().is_some_and(|(number, _)| *number == link) {
            self.link = None;
            self.inventory_due = None;
            self.unlinked_since = now;
            self.announce_due = now + super::ANNOUNCE_AFTER;
        }
    }

    pub(super) fn take_placer_message(&mut self, link: u64, message: ToAgent, now: Duration) {
        if let ToAgent::Hello { term } = message {
            self.hello(link, term, now);
            return;
        }
        // What a former placer, or a former link, has sent is too late.
        if self.link.as_ref().is_none_or(|(number, _)| *number != link) {
            return;
        }
        match message {
            ToAgent::Hello { .. } => {}
            ToAgent::Grant { asked, lease } => self.grant.extend(asked, lease),
            ToAgent::Evacuation { domain, revision, is_requested } => {
                self.take_evacuation(&domain, Standing { revision, is_requested });
            }
            ToAgent::Start { life, order } => self.start(&life, order, now),
            ToAgent::Stop { life, task, run } => self.stop(&life, (task, run), now),
            ToAgent::Settle { life, cursor } => self.settle(&life, cursor, now),
            ToAgent::Urgencies(changes) => self.take_urgencies(changes),
            ToAgent::Effects(effects) => {
                self.interference.set_shared(effects.into_iter().map(Effect::into_evidence).collect());
            }
            ToAgent::Describe(runs) => {
                for (task, run, traits) in runs {
                    self.traits.insert((task, run), traits);
                    self.paces.entry((task, run)).or_insert(UNKNOWN_PERCENT);
                }
            }
        }
    }

    fn hello(&mut self, link: u64, term: u64, now: Duration) {
        let Some(sender) = self.new_links.remove(&link) else { return };
        if term < self.term {
            log::info!(event = "placer_refused", link = link, term = term, obeyed_term = self.term; "");
            sender.post(FromAgent::Superseded { term: self.term });
            return;
        }
        log::info!(event = "placer_obeyed", link = link, term = term, former_term = self.term; "");
        self.term = term;
        self.link = Some((link, sender));
        self.inventory_due = Some(now);
        self.ask_due = now;
        if let Some(own) = &mut self.own {
            // Ends and progress are told anew.
            own.told = own.cursor;
            own.reported.clear();
            self.interference.mark_all_changed();
            own.look_due = now;
        } else {
            self.send_inventory();
        }
        self.tell(FromAgent::Ask { asked: now });
    }

    /// Tells the placer what runs on the worker.
    pub(super) fn send_inventory(&mut self) {
        let now = self.context.clock.now();
        let starting = self.unseen_runs();
        let message = match &mut self.own {
            Some(own) => {
                self.former = None;
                self.rooms_told.clear();
                own.told = own.ends.last().map_or(own.told, |end| end.number.max(own.told));
                FromAgent::Inventory {
                    worker: Some(Worker { cold_for: own.cold_until.saturating_sub(now), ..own.worker.clone() }),
                    running: own.running.clone(),
                    starting,
                    ends: own.ends.clone(),
                    is_empty: false,
                    asked: now,
                }
            }
            None => FromAgent::Inventory {
                worker: None,
                running: Vec::new(),
                starting,
                ends: Vec::new(),
                is_empty: now >= self.empty_at,
                asked: now,
            },
        };
        let is_final = self.own.is_some() || now >= self.empty_at;
        if is_final {
            self.inventory_due = None;
        }
        self.tell(message);
    }
}
