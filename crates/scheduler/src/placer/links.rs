//! Links from the placer to agents.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::authority::AUTHORITY_PERIOD;
use chervilledge_cell::cell::Inventory;
use chervilledge_link::connection::{self, Sender};
use chervilledge_policy::id::Name;
use ractor::ActorRef;

use super::{AgentLink, Dialer, Message, State};
use crate::message::{FromAgent, LINK_TIMEOUT, NO_SECRET, ToAgent};
use crate::rows::{self, Effect, VERSION};

/// Timeout for opening a link.
const OPEN_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause before reconnecting to an agent: initial and maximum.
const REDIAL_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

impl State {
    /// Connects to agents that are new or have moved.
    pub(super) fn apply_roster(&mut self) {
        let Some(roster) = self.context.roster.borrow().clone() else { return };
        if let Some((placer, revision)) = &roster.placer
            && (placer.term > self.context.term
                || (placer.term == self.context.term && *revision > self.context.revision))
        {
            drop(self.myself.cast(Message::Deposed("roster")));
            return;
        }
        self.roster_revision = roster.placer.as_ref().map_or(0, |(_, revision)| *revision);
        let now = self.context.clock.now();
        // An agent that is new to this placer may obey the previous one for as long as that may act.
        let is_of_predecessor = self.context.term > 1 && now < self.context.claimed + AUTHORITY_PERIOD;
        for name in roster.agents.keys().chain(&roster.unreadable_agents) {
            self.cell.agent_known(name, is_of_predecessor, now);
            if let Some(end) = self.context.handed_over_leases.get(name) {
                self.cell.limit_former_lease(name, *end);
            }
        }
        // Until the jobs are known, the runs of a job can't be told from orphaned runs.
        if !self.is_loaded {
            return;
        }
        for (name, address) in &roster.agents {
            if self.dialers.get(name).is_some_and(|dialer| dialer.address == *address) {
                continue;
            }
            let number = self.next_link;
            self.next_link += 1_000_000;
            let task = tokio::spawn(maintain_agent_link(
                Arc::clone(name),
                *address,
                self.context.term,
                number,
                self.myself.clone(),
            ));
            let dialer = Dialer { address: *address, task, first_link: number, unlinked_since: now };
            if let Some(replaced) = self.dialers.insert(Arc::clone(name), dialer) {
                replaced.task.abort();
                self.drop_link(name);
            }
        }
        let gone: Vec<Name> = self.dialers.keys().filter(|name| !roster.has_agent(name)).cloned().collect();
        for name in gone {
            if let Some(dialer) = self.dialers.remove(&name) {
                dialer.task.abort();
            }
            // The row may be deleted while runs continue on the worker, so their leases decide.
            self.drop_link(&name);
            self.agent_versions.remove(&name);
            self.cell.forget_agent(&name);
        }
        self.log_versions();
    }

    /// Drops the link to an agent, if there is one. The cell must not count on an agent without a link.
    fn drop_link(&mut self, agent: &Name) {
        self.links.remove(agent);
        self.cell.agent_silent(agent);
    }

    pub(super) fn handle_link_opened(&mut self, agent: Name, link: u64, sender: Sender<ToAgent>) {
        // Nobody would notice the end of a link that was opened by a task aborted since.
        if self.dialers.get(&agent).is_none_or(|dialer| link < dialer.first_link) {
            return;
        }
        self.links.insert(agent, AgentLink { number: link, sender, sent_evacuation: None });
    }

    pub(super) fn handle_link_closed(&mut self, agent: &Name, link: u64) {
        if self.links.get(agent).is_some_and(|known| known.number == link) {
            self.drop_link(agent);
            if let Some(dialer) = self.dialers.get_mut(agent) {
                dialer.unlinked_since = self.context.clock.now();
            }
        }
    }

    pub(super) fn handle_agent_message(&mut self, agent: &Name, message: FromAgent, now: Duration) {
        match message {
            FromAgent::Inventory {
                worker,
                running,
                starting,
                ends,
                is_empty,
                asked,
                version,
                crashes,
                is_partial,
                foreign_lease,
            } => {
                self.agent_versions.insert(Arc::clone(agent), version);
                self.log_versions();
                let inventory =
                    Inventory { worker, running, starting, ends, crashes, is_empty, is_partial, foreign_lease };
                self.handle_inventory(agent, inventory, now);
                self.send_grant(agent, asked, now);
            }
            FromAgent::Superseded { term } => {
                log::warn!(event = "agent_obeys_newer_term", agent = &**agent, term = term; "");
                if term > self.context.term {
                    drop(self.myself.cast(Message::Deposed("agent")));
                }
            }
            FromAgent::Ask { asked, stops_in } => {
                self.cell.agent_retiring(agent, stops_in.is_some());
                self.send_grant(agent, asked, now);
            }
            FromAgent::Worker(worker) => {
                self.cell.worker_seen(agent, worker, now);
                self.send_evacuation(agent);
            }
            FromAgent::Gone(life) => {
                if self.cell.life_of(agent) == Some(&life) {
                    let reports_crashes = rows::knows_crashes(self.agent_versions.get(agent).and_then(Option::as_ref));
                    if !reports_crashes {
                        self.cell.crash_unreported(agent, now);
                    }
                    self.cell.worker_gone(agent, now);
                }
            }
            FromAgent::Crashed(report) => self.cell.worker_crashed(agent, &report, now),
            FromAgent::Started { task, run } => self.cell.run_started(task, run, now),
            FromAgent::Refused { task, run, refusal } => {
                log::info!(event = "start_refused", task:% = task, run = run, agent = &**agent, refusal:? = refusal; "");
                self.cell.run_refused(agent, task, run, refusal, now);
            }
            FromAgent::Absent { task, run } => {
                log::info!(event = "run_absent", task:% = task, run = run, agent = &**agent; "");
                self.cell.run_absent(agent, task, run, now);
            }
            FromAgent::Ends { life, ends } => {
                if self.cell.life_of(agent) == Some(&life) {
                    self.cell.runs_ended(agent, ends, now);
                }
            }
            FromAgent::Running(running) => self.cell.runs_reported(&running, now),
            FromAgent::Rooms(rooms) => self.cell.take_headrooms(agent, rooms),
            FromAgent::Effects(effects) => {
                self.cell.store_evidence(agent, effects.into_iter().map(Effect::into_evidence).collect());
            }
        }
    }

    fn send_grant(&mut self, agent: &Name, asked: Duration, now: Duration) {
        let Some(until) = self.authority.leases_until(self.context.lease).filter(|_| self.may_act(now)) else { return };
        if let (Some(lease), Some(link)) = (self.cell.grant(agent, until, now), self.links.get(agent)) {
            link.sender.post(ToAgent::Grant { asked, lease });
        }
    }
}

/// Keeps a link to an agent open.
async fn maintain_agent_link(name: Name, address: SocketAddr, term: u64, first: u64, placer: ActorRef<Message>) {
    let mut pause = REDIAL_PAUSE.0;
    for number in first.. {
        let opened = tokio::time::timeout(OPEN_TIMEOUT, connection::connect::<ToAgent>(address, NO_SECRET)).await;
        if let Ok(Ok((sender, mut receiver))) = opened {
            pause = REDIAL_PAUSE.0;
            sender.post(ToAgent::Hello { term, version: Some(Name::from(VERSION)) });
            let linked = Message::Linked { agent: Arc::clone(&name), link: number, sender };
            if placer.cast(linked).is_err() {
                return;
            }
            let error = loop {
                match receiver.receive::<FromAgent>(LINK_TIMEOUT).await {
                    Ok(message) => {
                        let message =
                            Message::FromAgent { agent: Arc::clone(&name), link: number, message: Box::new(message) };
                        if placer.cast(message).is_err() {
                            return;
                        }
                    }
                    Err(error) => break error,
                }
            };
            log::info!(event = "agent_link_ended", agent = &*name, error:% = error, term = term; "");
            if placer.cast(Message::Unlinked { agent: Arc::clone(&name), link: number }).is_err() {
                return;
            }
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(REDIAL_PAUSE.1);
    }
}
