//! Choice of a backend server for a request.
//!
//! There is one [`Table`] per service. A choice samples two backend servers of the local failure domain and two of the
//! other domains, so its cost doesn't depend on their number. Backend servers that can't take a request aren't in the
//! sampled lists.

use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::code::Code;
use crate::collections::Map;
use crate::id::{BootId, Name};
use crate::membership::{Announcement, Load};
use crate::outlier::{self, Detector};

/// Parameters of the choice.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Percentage of a backend server's queue that batch requests may fill, from 0 to 100; the rest is reserved for
    /// latency-critical requests.
    pub batch_queue_percent: u32,
    /// Cost ratio of the local failure domain to another one above which the other is chosen; at least 1.
    pub clearly_worse_ratio: f64,
    /// Half-life of the weight of a latency sample; positive.
    #[serde(rename = "latency_half_life_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub latency_half_life: Duration,
    /// Latency below which backend servers are considered equal; positive.
    #[serde(rename = "latency_floor_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub latency_floor: Duration,
    /// Outlier detection of failing backend servers.
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

/// Chosen backend server, under one boot of its agent.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Choice {
    /// Name of the worker.
    pub worker: Name,
    /// Intended boot of the agent; another boot refuses the request.
    pub agent_boot: BootId,
}

/// How a request started on a backend server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Finished {
    /// Answered successfully, with the latency since the dispatch.
    Succeeded(Duration),
    /// Answered with a server error, or lost.
    Failed,
    /// Not started by the agent; says nothing about the backend server's health.
    NotStarted,
    /// Cancelled by the caller, or because another hedged dispatch answered first.
    Cancelled,
}

/// Number of requests that a backend server may hold.
#[derive(Clone, Copy, Debug)]
struct Limits {
    queue: u32,
    slots: u32,
}

impl Limits {
    /// Load below which requests are sent.
    fn all(self) -> u32 {
        self.slots.saturating_add(self.queue)
    }

    /// Load below which batch requests are sent; at most [`Limits::all`].
    fn batch(self, queue_percent: u32) -> u32 {
        let queue = u64::from(self.queue) * u64::from(queue_percent.min(100)) / 100;
        self.slots.saturating_add(u32::try_from(queue).unwrap_or(self.queue))
    }
}

#[derive(Clone, Debug)]
struct Backend {
    choice: Choice,
    /// Whether it is in the local failure domain.
    local: bool,
    /// Whether it takes new requests: live and not draining.
    open: bool,
    limits: Limits,
    /// Requests of other entries, as of the latest heartbeat.
    other_entries: u32,
    /// Unfinished requests of this entry.
    own: u32,
    /// Exponentially weighted mean latency; `None` before the first sample.
    latency_s: Option<f64>,
    /// Time of the latest latency sample.
    sampled_at: Duration,
    /// Position in the list of available backend servers, if listed.
    position: Option<u32>,
    health: outlier::Record,
}

impl Backend {
    fn load(&self) -> u32 {
        self.other_entries.saturating_add(self.own)
    }

    fn is_available(&self) -> bool {
        self.open && self.load() < self.limits.all() && !self.health.is_ejected()
    }
}

/// Backend servers of one service, as seen by one entry.
#[derive(Clone, Debug)]
pub struct Table {
    backends: Vec<Backend>,
    detector: Detector,
    indices: Map<Name, u32>,
    /// Exponentially weighted mean latency over all backend servers.
    mean_latency_s: f64,
    /// Number of open backend servers.
    open: u32,
    own_domain: Name,
    settings: Settings,
    /// Indices of available backend servers in the local failure domain; each stores its position.
    local: Vec<u32>,
    /// Indices of available backend servers in other failure domains; each stores its position.
    remote: Vec<u32>,
}

impl Table {
    /// Creates an empty table for an entry in `own_domain`.
    #[must_use]
    pub fn new(own_domain: Name, settings: Settings) -> Self {
        Self {
            backends: Vec::new(),
            detector: Detector::new(settings.outlier),
            indices: Map::default(),
            mean_latency_s: settings.latency_floor.as_secs_f64(),
            open: 0,
            own_domain,
            settings,
            local: Vec::new(),
            remote: Vec::new(),
        }
    }

    /// Replaces the parameters.
    pub fn set_settings(&mut self, settings: Settings) {
        self.detector.set_settings(settings.outlier);
        self.settings = settings;
    }

    /// Adds a backend server, or applies a changed announcement of it.
    ///
    /// A new boot of the agent starts with no load and no history.
    pub fn upsert(&mut self, now: Duration, announcement: &Announcement) {
        let limits = Limits { queue: announcement.queue, slots: announcement.capacity.slots };
        let local = announcement.failure_domain == self.own_domain;
        if let Some(&index) = self.indices.get(&announcement.worker) {
            let known = &self.backends[index as usize];
            if known.choice.agent_boot == announcement.agent_boot && known.local == local {
                self.backends[index as usize].limits = limits;
                self.update_listing(index);
                return;
            }
            self.remove(&announcement.worker);
        }
        self.insert(now, announcement, local, limits);
    }

    fn insert(&mut self, now: Duration, announcement: &Announcement, local: bool, limits: Limits) {
        let index = to_index(self.backends.len());
        let worker = Name::clone(&announcement.worker);
        self.indices.insert(Name::clone(&worker), index);
        self.backends.push(Backend {
            choice: Choice { worker, agent_boot: announcement.agent_boot },
            local,
            open: true,
            limits,
            other_entries: 0,
            own: 0,
            latency_s: None,
            sampled_at: now,
            position: None,
            health: outlier::Record::new(now),
        });
        self.open += 1;
        self.update_listing(index);
    }

    /// Removes a backend server.
    pub fn remove(&mut self, worker: &str) {
        let Some(index) = self.indices.remove(worker) else { return };
        self.remove_from_list(index);
        let removed = &self.backends[index as usize];
        self.open -= u32::from(removed.open);
        if removed.health.is_ejected() {
            self.detector.forget_ejected();
        }
        self.backends.swap_remove(index as usize);
        let Some(moved) = self.backends.get(index as usize) else { return };
        self.indices.insert(Name::clone(&moved.choice.worker), index);
        if let Some(position) = moved.position {
            let local = moved.local;
            self.available_list(local)[position as usize] = index;
        }
    }

    /// Opens or closes a backend server for new requests; it is closed while it drains or is suspected.
    pub fn set_open(&mut self, worker: &str, open: bool) {
        if let Some(&index) = self.indices.get(worker) {
            let was_open = std::mem::replace(&mut self.backends[index as usize].open, open);
            self.open = self.open - u32::from(was_open) + u32::from(open);
            self.update_listing(index);
        }
    }

    /// Applies the load over all entries that an agent reported.
    pub fn set_load(&mut self, worker: &str, load: &Load) {
        if let Some(&index) = self.indices.get(worker) {
            let backend = &mut self.backends[index as usize];
            backend.other_entries = load.in_progress.saturating_add(load.queued).saturating_sub(backend.own);
            self.update_listing(index);
        }
    }

    /// Chooses a backend server that isn't in `excluded`.
    ///
    /// # Errors
    ///
    /// [`Code::NoBackendServer`] if none is open, [`Code::Overloaded`] if all open ones are full or excluded.
    pub fn choose(&self, now: Duration, excluded: &[Name], rng: &mut impl Rng) -> Result<Choice, Code> {
        let local = self.best_of_two(now, &self.local, excluded, rng);
        let remote = self.best_of_two(now, &self.remote, excluded, rng);
        let index = match (local, remote) {
            (Some((local, local_cost)), Some((remote, remote_cost))) => {
                if local_cost > remote_cost * self.settings.clearly_worse_ratio { remote } else { local }
            }
            (Some((index, _)), None) | (None, Some((index, _))) => index,
            (None, None) => return Err(self.unavailable_code()),
        };
        Ok(self.backends[index as usize].choice.clone())
    }

    /// Chooses a backend server for a batch request, leaving queue room for latency-critical ones.
    ///
    /// # Errors
    ///
    /// As [`Table::choose`]; also [`Code::Overloaded`] if the chosen one has no room for batch.
    pub fn choose_batch(&self, now: Duration, excluded: &[Name], rng: &mut impl Rng) -> Result<Choice, Code> {
        let choice = self.choose(now, excluded, rng)?;
        let batch_fits = self.find(&choice).is_some_and(|index| self.has_room_for_batch(index));
        if batch_fits { Ok(choice) } else { Err(Code::Overloaded) }
    }

    fn has_room_for_batch(&self, index: u32) -> bool {
        let backend = &self.backends[index as usize];
        backend.load() < backend.limits.batch(self.settings.batch_queue_percent)
    }

    fn unavailable_code(&self) -> Code {
        if self.open > 0 { Code::Overloaded } else { Code::NoBackendServer }
    }

    fn best_of_two(&self, now: Duration, list: &[u32], excluded: &[Name], rng: &mut impl Rng) -> Option<(u32, f64)> {
        let first = self.sample(now, list, excluded, None, rng)?;
        let first_cost = self.cost(now, first);
        let Some(second) = self.sample(now, list, excluded, Some(first), rng) else {
            return Some((first, first_cost));
        };
        let second_cost = self.cost(now, second);
        Some(if second_cost < first_cost { (second, second_cost) } else { (first, first_cost) })
    }

    /// Samples one element of `list`, probing at most a few more elements than are excluded.
    ///
    /// A backend server that returns from an ejection is skipped with a probability of one minus its current share,
    /// unless no other probed one qualifies.
    fn sample(
        &self,
        now: Duration,
        list: &[u32],
        excluded: &[Name],
        first: Option<u32>,
        rng: &mut impl Rng,
    ) -> Option<u32> {
        const EXTRA_PROBES: usize = 4;
        if list.is_empty() {
            return None;
        }
        let start = rng.random_range(0..list.len());
        let probes = list.len().min(excluded.len() + EXTRA_PROBES);
        let mut skipped = None;
        for index in (0..probes).map(|step| list[(start + step) % list.len()]) {
            let backend = &self.backends[index as usize];
            if first == Some(index) || excluded.contains(&backend.choice.worker) {
                continue;
            }
            let share = self.detector.share(now, &backend.health);
            if share >= 1.0 || rng.random_bool(share) {
                return Some(index);
            }
            skipped = Some(index);
        }
        // The second sample only serves as a comparison, so a skipped backend server isn't used for it.
        skipped.filter(|_| first.is_none())
    }

    /// Returns the expected response time, in seconds.
    fn cost(&self, now: Duration, index: u32) -> f64 {
        let backend = &self.backends[index as usize];
        let latency_s = self.latency_s(now, backend).max(self.settings.latency_floor.as_secs_f64());
        f64::from(backend.load() + 1) * latency_s
    }

    /// Returns the mean latency, which decays to the mean of the service while there are no samples.
    fn latency_s(&self, now: Duration, backend: &Backend) -> f64 {
        let Some(latency_s) = backend.latency_s else { return self.mean_latency_s };
        let decay_factor = self.decay_factor(now.saturating_sub(backend.sampled_at));
        self.mean_latency_s + (latency_s - self.mean_latency_s) * decay_factor
    }

    /// Returns the remaining weight of a sample after `age`.
    fn decay_factor(&self, age: Duration) -> f64 {
        (-age.as_secs_f64() / self.settings.latency_half_life.as_secs_f64()).exp2()
    }

    /// Counts a request that is about to be dispatched to `choice`.
    pub fn started(&mut self, choice: &Choice) {
        if let Some(index) = self.find(choice) {
            let backend = &mut self.backends[index as usize];
            backend.own = backend.own.saturating_add(1);
            self.update_listing(index);
        }
    }

    /// Counts the end of a request counted by [`Table::started`].
    pub fn finished(&mut self, now: Duration, choice: &Choice, finished: Finished) -> Option<outlier::Change> {
        let index = self.find(choice)?;
        let backend = &mut self.backends[index as usize];
        backend.own = backend.own.saturating_sub(1);
        if let Finished::Succeeded(latency) = finished {
            self.sample_latency(now, index, latency.as_secs_f64());
        }
        let change = self.observe(now, index, finished);
        self.update_listing(index);
        change
    }

    fn observe(&mut self, now: Duration, index: u32, finished: Finished) -> Option<outlier::Change> {
        let succeeded = match finished {
            Finished::Succeeded(_) => true,
            Finished::Failed => false,
            Finished::NotStarted | Finished::Cancelled => return None,
        };
        let total = to_index(self.backends.len());
        self.detector.observe(now, &mut self.backends[index as usize].health, succeeded, total)
    }

    fn sample_latency(&mut self, now: Duration, index: u32, latency_s: f64) {
        const SAMPLE_WEIGHT: f64 = 0.1;
        let known_s = self.latency_s(now, &self.backends[index as usize]);
        let backend = &mut self.backends[index as usize];
        backend.latency_s = Some(known_s + (latency_s - known_s) * SAMPLE_WEIGHT);
        backend.sampled_at = now;
        self.mean_latency_s += (latency_s - self.mean_latency_s) * SAMPLE_WEIGHT / 10.0;
    }

    /// Restores and returns backend servers whose ejection has ended; to be called a few times per second.
    pub fn tick(&mut self, now: Duration) -> Vec<Choice> {
        let mut returned = Vec::new();
        for index in 0..to_index(self.backends.len()) {
            let backend = &mut self.backends[index as usize];
            if self.detector.end_ejection(now, &mut backend.health) {
                returned.push(backend.choice.clone());
                self.update_listing(index);
            }
        }
        returned
    }

    /// Returns the number of backend servers in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.backends.len()
    }

    /// Returns whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.backends.is_empty()
    }

    /// Returns the state of each backend server.
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
        let index = *self.indices.get(&choice.worker)?;
        (self.backends[index as usize].choice.agent_boot == choice.agent_boot).then_some(index)
    }

    fn available_list(&mut self, local: bool) -> &mut Vec<u32> {
        if local { &mut self.local } else { &mut self.remote }
    }

    /// Adds a backend server to its list of available ones or removes it, according to its state.
    fn update_listing(&mut self, index: u32) {
        let backend = &self.backends[index as usize];
        match (backend.is_available(), backend.position) {
            (true, None) => {
                let list = self.available_list(self.backends[index as usize].local);
                let position = to_index(list.len());
                list.push(index);
                self.backends[index as usize].position = Some(position);
            }
            (false, Some(_)) => self.remove_from_list(index),
            _ => {}
        }
    }

    fn remove_from_list(&mut self, index: u32) {
        let local = self.backends[index as usize].local;
        let Some(position) = self.backends[index as usize].position.take() else { return };
        let list = self.available_list(local);
        list.swap_remove(position as usize);
        if let Some(&moved) = list.get(position as usize) {
            self.backends[moved as usize].position = Some(position);
        }
    }
}

/// State of one backend server, for diagnostics.
#[derive(Clone, Debug, PartialEq)]
pub struct View<'a> {
    /// The backend server.
    pub choice: &'a Choice,
    /// Whether it is ejected because of failures.
    pub ejected: bool,
    /// Mean latency, once there is a sample.
    pub latency: Option<Duration>,
    /// Estimated number of its requests, over all entries.
    pub load: u32,
    /// Whether it takes new requests.
    pub open: bool,
    /// Number of its requests from this entry.
    pub own: u32,
}

fn to_index(len: usize) -> u32 {
    u32::try_from(len).expect("a table holds fewer than 2^32 backend servers")
}
