//! Choice of a backend server for a request.
//!
//! One [`Table`] for each service. A choice samples two backend servers of the own failure domain and two of the
//! others, so its cost doesn't depend on how many there are. Backend servers that can't take a request are kept out of
//! the sampled lists.

use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::code::Code;
use crate::collections::Map;
use crate::id::{BootId, Name};
use crate::membership::{Announcement, Load};
use crate::outlier::{self, Detector};

/// Weights of the choice.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Part of a backend server's queue up to which batch requests are sent to it, from 0 to 100; the rest is kept for
    /// latency-critical requests.
    pub batch_queue_percent: u32,
    /// Another failure domain is chosen when the own one costs more than this many times as much; at least 1.
    pub clearly_worse_ratio: f64,
    /// Time in which the weight of a latency sample halves; positive.
    #[serde(rename = "latency_half_life_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub latency_half_life: Duration,
    /// Latency below which backend servers aren't told apart; positive.
    #[serde(rename = "latency_floor_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub latency_floor: Duration,
    /// Detection of backend servers that fail.
    pub outlier: outlier::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            batch_queue_percent: 25,
            clearly_worse_ratio: 1.5,
            latency_half_life: Duration::from_secs(2),
            latency_floor: Duration::from_millis(1),
            outlier: outlier::Settings::default(),
        }
    }
}

/// A chosen backend server, in one start of its agent.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Choice {
    /// Name of the worker.
    pub worker: Name,
    /// Start of the agent that is meant; another start refuses the request.
    pub agent_boot: BootId,
}

/// How a request that was started on a backend server left it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Finished {
    /// Answered; the latency counts from the dispatch.
    Succeeded(Duration),
    /// Answered with a server error, or lost.
    Failed,
    /// Not started by the agent: says nothing about the backend server's health.
    NotStarted,
    /// Given up on by the caller or by a hedge.
    Cancelled,
}

/// Requests that a backend server may hold.
#[derive(Clone, Copy, Debug)]
struct Limits {
    queue: u32,
    slots: u32,
}

impl Limits {
    /// The load is kept below it.
    fn all(self) -> u32 {
        self.slots.saturating_add(self.queue)
    }

    /// Load from which no batch request is sent; at most [`Limits::all`].
    fn batch(self, queue_percent: u32) -> u32 {
        let queue = u64::from(self.queue) * u64::from(queue_percent.min(100)) / 100;
        self.slots.saturating_add(u32::try_from(queue).unwrap_or(self.queue))
    }
}

#[derive(Clone, Debug)]
struct Backend {
    choice: Choice,
    /// In the own failure domain.
    near: bool,
    /// Takes new requests: live and not draining.
    open: bool,
    limits: Limits,
    /// Requests of other entries, by the latest heartbeat.
    others: u32,
    /// Requests of this entry that haven't finished.
    own: u32,
    /// Decayed latency; `None` before the first sample.
    latency_s: Option<f64>,
    /// Time of the latest latency sample.
    sampled: Duration,
    /// Place in the sampled list, if there.
    position: Option<u32>,
    health: outlier::Record,
}

impl Backend {
    fn load(&self) -> u32 {
        self.others.saturating_add(self.own)
    }

    fn available(&self) -> bool {
        self.open && self.load() < self.limits.all() && !self.health.is_ejected()
    }
}

/// Backend servers of one service, as one entry sees them.
#[derive(Clone, Debug)]
pub struct Table {
    backends: Vec<Backend>,
    detector: Detector,
    index: Map<Name, u32>,
    /// Decayed latency over all backend servers.
    mean_latency_s: f64,
    /// Number of backend servers that are open.
    open: u32,
    own_domain: Name,
    settings: Settings,
    /// Available backend servers of the own failure domain; each knows its place.
    near: Vec<u32>,
    /// Available backend servers of the other failure domains; each knows its place.
    far: Vec<u32>,
}

impl Table {
    /// Makes an empty table for an entry in `own_domain`.
    #[must_use]
    pub fn new(own_domain: Name, settings: Settings) -> Self {
        Self {
            backends: Vec::new(),
            detector: Detector::new(settings.outlier),
            index: Map::default(),
            mean_latency_s: settings.latency_floor.as_secs_f64(),
            open: 0,
            own_domain,
            settings,
            near: Vec::new(),
            far: Vec::new(),
        }
    }

    /// Puts other weights in force.
    pub fn set_settings(&mut self, settings: Settings) {
        self.detector.set_settings(settings.outlier);
        self.settings = settings;
    }

    /// Adds a backend server, or takes over a changed announcement of it.
    ///
    /// Another start of the agent begins with no load and no history.
    pub fn upsert(&mut self, now: Duration, announcement: &Announcement) {
        let limits = Limits { queue: announcement.queue, slots: announcement.capacity.slots };
        let near = announcement.failure_domain == self.own_domain;
        if let Some(&at) = self.index.get(&announcement.worker) {
            let known = &self.backends[at as usize];
            if known.choice.agent_boot == announcement.agent_boot && known.near == near {
                self.backends[at as usize].limits = limits;
                self.place(at);
                return;
            }
            self.remove(&announcement.worker);
        }
        self.insert(now, announcement, near, limits);
    }

    fn insert(&mut self, now: Duration, announcement: &Announcement, near: bool, limits: Limits) {
        let at = to_index(self.backends.len());
        let worker = Name::clone(&announcement.worker);
        self.index.insert(Name::clone(&worker), at);
        self.backends.push(Backend {
            choice: Choice { worker, agent_boot: announcement.agent_boot },
            near,
            open: true,
            limits,
            others: 0,
            own: 0,
            latency_s: None,
            sampled: now,
            position: None,
            health: outlier::Record::new(now),
        });
        self.open += 1;
        self.place(at);
    }

    /// Removes a backend server.
    pub fn remove(&mut self, worker: &str) {
        let Some(at) = self.index.remove(worker) else { return };
        self.unlist(at);
        let removed = &self.backends[at as usize];
        self.open -= u32::from(removed.open);
        if removed.health.is_ejected() {
            self.detector.forget_out();
        }
        self.backends.swap_remove(at as usize);
        let Some(moved) = self.backends.get(at as usize) else { return };
        self.index.insert(Name::clone(&moved.choice.worker), at);
        if let Some(position) = moved.position {
            let near = moved.near;
            self.list(near)[position as usize] = at;
        }
    }

    /// Opens or closes a backend server for new requests: closed while it drains or is suspected.
    pub fn set_open(&mut self, worker: &str, open: bool) {
        if let Some(&at) = self.index.get(worker) {
            let was_open = std::mem::replace(&mut self.backends[at as usize].open, open);
            self.open = self.open - u32::from(was_open) + u32::from(open);
            self.place(at);
        }
    }

    /// Takes over the load that an agent reported, over all entries.
    pub fn set_load(&mut self, worker: &str, load: &Load) {
        if let Some(&at) = self.index.get(worker) {
            let backend = &mut self.backends[at as usize];
            backend.others = load.in_progress.saturating_add(load.queued).saturating_sub(backend.own);
            self.place(at);
        }
    }

    /// Chooses a backend server that isn't in `excluded`.
    ///
    /// # Errors
    ///
    /// [`Code::NoBackendServer`] if none is open, [`Code::Overloaded`] if all that are open are full or excluded.
    pub fn choose(&self, now: Duration, excluded: &[Name], rng: &mut impl Rng) -> Result<Choice, Code> {
        let near = self.sample_pair(now, &self.near, excluded, rng);
        let far = self.sample_pair(now, &self.far, excluded, rng);
        let at = match (near, far) {
            (Some((near, near_cost)), Some((far, far_cost))) => {
                if near_cost > far_cost * self.settings.clearly_worse_ratio { far } else { near }
            }
            (Some((at, _)), None) | (None, Some((at, _))) => at,
            (None, None) => return Err(self.reason_for_none()),
        };
        Ok(self.backends[at as usize].choice.clone())
    }

    /// Chooses a backend server for a batch request, which leaves room in the queues for latency-critical ones.
    ///
    /// # Errors
    ///
    /// As [`Table::choose`]; also [`Code::Overloaded`] if the chosen one has no room for batch.
    pub fn choose_batch(&self, now: Duration, excluded: &[Name], rng: &mut impl Rng) -> Result<Choice, Code> {
        let choice = self.choose(now, excluded, rng)?;
        let has_room = self.find(&choice).is_some_and(|at| self.has_room_for_batch(at));
        if has_room { Ok(choice) } else { Err(Code::Overloaded) }
    }

    fn has_room_for_batch(&self, at: u32) -> bool {
        let backend = &self.backends[at as usize];
        backend.load() < backend.limits.batch(self.settings.batch_queue_percent)
    }

    fn reason_for_none(&self) -> Code {
        if self.open > 0 { Code::Overloaded } else { Code::NoBackendServer }
    }

    fn sample_pair(&self, now: Duration, list: &[u32], excluded: &[Name], rng: &mut impl Rng) -> Option<(u32, f64)> {
        let first = self.sample(now, list, excluded, None, rng)?;
        let first_cost = self.cost(now, first);
        let Some(second) = self.sample(now, list, excluded, Some(first), rng) else {
            return Some((first, first_cost));
        };
        let second_cost = self.cost(now, second);
        Some(if second_cost < first_cost { (second, second_cost) } else { (first, first_cost) })
    }

    /// Samples one of `list`; looks at no more of its elements than are excluded, and a few.
    ///
    /// A returning backend server is passed over in proportion to the share that it shouldn't take yet, unless there
    /// is no other among those looked at.
    fn sample(
        &self,
        now: Duration,
        list: &[u32],
        excluded: &[Name],
        taken: Option<u32>,
        rng: &mut impl Rng,
    ) -> Option<u32> {
        const SPARE_TRIES: usize = 4;
        if list.is_empty() {
            return None;
        }
        let start = rng.random_range(0..list.len());
        let tries = list.len().min(excluded.len() + SPARE_TRIES);
        let mut passed_over = None;
        for at in (0..tries).map(|step| list[(start + step) % list.len()]) {
            let backend = &self.backends[at as usize];
            if taken == Some(at) || excluded.contains(&backend.choice.worker) {
                continue;
            }
            let share = self.detector.share(now, &backend.health);
            if share >= 1.0 || rng.random_bool(share) {
                return Some(at);
            }
            passed_over = Some(at);
        }
        // The second sample is only there to be compared: it needn't be one that should be passed over.
        passed_over.filter(|_| taken.is_none())
    }

    /// Expected time to an answer, in seconds.
    fn cost(&self, now: Duration, at: u32) -> f64 {
        let backend = &self.backends[at as usize];
        let latency_s = self.latency_s(now, backend).max(self.settings.latency_floor.as_secs_f64());
        f64::from(backend.load() + 1) * latency_s
    }

    /// Decayed latency, which falls back to the mean of the service while there are no samples.
    fn latency_s(&self, now: Duration, backend: &Backend) -> f64 {
        let Some(latency_s) = backend.latency_s else { return self.mean_latency_s };
        let kept = self.kept(now.saturating_sub(backend.sampled));
        self.mean_latency_s + (latency_s - self.mean_latency_s) * kept
    }

    /// Weight that a sample keeps after `age`.
    fn kept(&self, age: Duration) -> f64 {
        (-age.as_secs_f64() / self.settings.latency_half_life.as_secs_f64()).exp2()
    }

    /// Counts a request that is about to be handed to `choice`.
    pub fn started(&mut self, choice: &Choice) {
        if let Some(at) = self.find(choice) {
            let backend = &mut self.backends[at as usize];
            backend.own = backend.own.saturating_add(1);
            self.place(at);
        }
    }

    /// Counts the end of a request that [`Table::started`] counted.
    pub fn finished(&mut self, now: Duration, choice: &Choice, finished: Finished) -> Option<outlier::Change> {
        let at = self.find(choice)?;
        let backend = &mut self.backends[at as usize];
        backend.own = backend.own.saturating_sub(1);
        if let Finished::Succeeded(latency) = finished {
            self.sample_latency(now, at, latency.as_secs_f64());
        }
        let change = self.observe(now, at, finished);
        self.place(at);
        change
    }

    fn observe(&mut self, now: Duration, at: u32, finished: Finished) -> Option<outlier::Change> {
        let succeeded = match finished {
            Finished::Succeeded(_) => true,
            Finished::Failed => false,
            Finished::NotStarted | Finished::Cancelled => return None,
        };
        let total = to_index(self.backends.len());
        self.detector.observe(now, &mut self.backends[at as usize].health, succeeded, total)
    }

    fn sample_latency(&mut self, now: Duration, at: u32, latency_s: f64) {
        const SAMPLE_WEIGHT: f64 = 0.1;
        let known_s = self.latency_s(now, &self.backends[at as usize]);
        let backend = &mut self.backends[at as usize];
        backend.latency_s = Some(known_s + (latency_s - known_s) * SAMPLE_WEIGHT);
        backend.sampled = now;
        self.mean_latency_s += (latency_s - self.mean_latency_s) * SAMPLE_WEIGHT / 10.0;
    }

    /// Brings back backend servers whose ejection has ended; to be called a few times a second.
    pub fn tick(&mut self, now: Duration) -> Vec<Choice> {
        let mut returned = Vec::new();
        for at in 0..to_index(self.backends.len()) {
            let backend = &mut self.backends[at as usize];
            if self.detector.release(now, &mut backend.health) {
                returned.push(backend.choice.clone());
                self.place(at);
            }
        }
        returned
    }

    /// Number of backend servers in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.backends.len()
    }

    /// Tells whether the table holds no backend server.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.backends.is_empty()
    }

    /// Gives a line of state for each backend server.
    pub fn iter(&self) -> impl Iterator<Item = View<'_>> {
        self.backends.iter().map(|backend| View {
            choice: &backend.choice,
            ejected: backend.health.is_ejected(),
            latency: backend.latency_s.map(Duration::from_secs_f64),
            load: backend.load(),
            open: backend.open,
            own: backend.own,
        })
    }

    fn find(&self, choice: &Choice) -> Option<u32> {
        let at = *self.index.get(&choice.worker)?;
        (self.backends[at as usize].choice.agent_boot == choice.agent_boot).then_some(at)
    }

    fn list(&mut self, near: bool) -> &mut Vec<u32> {
        if near { &mut self.near } else { &mut self.far }
    }

    /// Puts a backend server into its sampled list or takes it out.
    fn place(&mut self, at: u32) {
        let backend = &self.backends[at as usize];
        match (backend.available(), backend.position) {
            (true, None) => {
                let list = self.list(self.backends[at as usize].near);
                let position = to_index(list.len());
                list.push(at);
                self.backends[at as usize].position = Some(position);
            }
            (false, Some(_)) => self.unlist(at),
            _ => {}
        }
    }

    fn unlist(&mut self, at: u32) {
        let near = self.backends[at as usize].near;
        let Some(position) = self.backends[at as usize].position.take() else { return };
        let list = self.list(near);
        list.swap_remove(position as usize);
        if let Some(&moved) = list.get(position as usize) {
            self.backends[moved as usize].position = Some(position);
        }
    }
}

/// State of one backend server, for a dump.
#[derive(Clone, Debug, PartialEq)]
pub struct View<'a> {
    /// The backend server.
    pub choice: &'a Choice,
    /// Out because it failed too often.
    pub ejected: bool,
    /// Decayed latency, once there is a sample.
    pub latency: Option<Duration>,
    /// Estimated requests on it, over all entries.
    pub load: u32,
    /// Takes new requests.
    pub open: bool,
    /// Requests of this entry on it.
    pub own: u32,
}

fn to_index(len: usize) -> u32 {
    u32::try_from(len).expect("a table holds fewer than 2^32 backend servers")
}
