//! Settings of the daemons, read from JSON files.

pub mod batch;

use std::fmt;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use chervilledge_caller::budget::CONNECTION_BYTES;
use chervilledge_operator::form::{self, Role};
use chervilledge_operator::secret::{self, Secrets, Source};
use chervilledge_policy::capacity::Capacity;
use chervilledge_policy::id::Name;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_with::{DurationMilliSeconds, serde_as};

/// Settings of an entry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Name of the entry, unique among entries.
    pub name: Name,
    /// Site whose overlay applies.
    pub site: Name,
    /// Failure domain of the entry.
    pub failure_domain: Name,
    /// Address for callers.
    pub callers_address: SocketAddr,
    /// Address for agents' links.
    pub links_address: SocketAddr,
    /// Address under which agents reach the link listener, where it isn't `links_address`.
    #[serde(default)]
    pub links_advertised_address: Option<SocketAddr>,
    /// Address for operators.
    pub operators_address: SocketAddr,
    /// Address of the platform's table service and object store.
    pub platform_address: SocketAddr,
    /// Secrets that agents may present.
    pub link_secrets: Vec<Source>,
    /// Secrets that operators may present.
    pub operator_secrets: Vec<Source>,
    /// Bounds, with defaults.
    #[serde(default)]
    pub bounds: Bounds,
    /// Batch work, with defaults.
    #[serde(default)]
    pub batch: batch::Batch,
    /// Where logs go; standard error when absent.
    #[serde(default)]
    pub log_directory: Option<PathBuf>,
}

/// Settings of an agent.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agent {
    /// Name of the worker, unique among workers.
    pub worker: Name,
    /// Site whose overlay applies.
    pub site: Name,
    /// Service of the backend server.
    pub service: Name,
    /// Failure domain of the worker.
    pub failure_domain: Name,
    /// Rack of the worker.
    pub rack: Name,
    /// What the worker can hold.
    pub capacity: Capacity,
    /// Address of the backend server.
    pub backend_address: SocketAddr,
    /// Address of the worker's task runtime.
    pub runtime_address: SocketAddr,
    /// Addresses at which entries are found first, normally the balancer's.
    pub entry_addresses: Vec<SocketAddr>,
    /// Entries to which links are held.
    pub links_max: usize,
    /// Address for operators.
    pub operators_address: SocketAddr,
    /// Secrets that entries accept; the first is presented.
    pub link_secrets: Vec<Source>,
    /// Secrets that operators may present.
    pub operator_secrets: Vec<Source>,
    /// Bounds, with defaults.
    #[serde(default)]
    pub bounds: Bounds,
    /// Batch work, with defaults.
    #[serde(default)]
    pub batch: batch::Batch,
    /// Where logs go; standard error when absent.
    #[serde(default)]
    pub log_directory: Option<PathBuf>,
}

/// Bounds shared by both roles.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Time between two heartbeats on a link.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub heartbeat_interval_ms: Duration,
    /// Silence after which a link is given up.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub link_silence_ms: Duration,
    /// Longest pause between two attempts to open a link.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub link_backoff_max_ms: Duration,
    /// Time that a caller waits if the caller doesn't say.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub request_timeout_ms: Duration,
    /// Longest time that a caller may ask for.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub request_timeout_max_ms: Duration,
    /// Time that a drain waits for work in progress.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub drain_timeout_ms: Duration,
    /// Largest head of a request, in bytes.
    pub head_bytes_max: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes_max: u64,
    /// Largest body that is sent together with the head, in bytes. A request with a larger one is never retried after
    /// its body was begun.
    pub inline_body_bytes_max: usize,
    /// Callers' connections served at the same time.
    pub caller_connections_max: usize,
    /// Memory that callers' connections and what they have sent may take together, in bytes.
    pub callers_bytes_max: usize,
    /// Requests that an agent lets wait for a slot.
    pub agent_queue_max: u32,
    /// Threads of the process's runtime.
    pub threads: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            heartbeat_interval_ms: Duration::from_millis(500),
            link_silence_ms: Duration::from_millis(1_600),
            link_backoff_max_ms: Duration::from_secs(2),
            request_timeout_ms: Duration::from_secs(10),
            request_timeout_max_ms: Duration::from_mins(5),
            drain_timeout_ms: Duration::from_mins(5),
            head_bytes_max: 16 * 1024,
            body_bytes_max: 64 * 1024 * 1024,
            inline_body_bytes_max: 64 * 1024,
            caller_connections_max: 4_096,
            // Each of `caller_connections_max` connections counts as 32 KiB, and 16 MiB are left to bodies.
            callers_bytes_max: 144 * 1024 * 1024,
            agent_queue_max: 16,
            threads: 1,
        }
    }
}

/// Reason why settings were refused.
#[derive(Debug)]
pub enum Error {
    /// The file can't be read.
    Io(PathBuf, io::Error),
    /// The file doesn't have the expected form.
    Form(Vec<chervilledge_operator::fault::Fault>),
    /// The file has the expected form, but a value can't be taken.
    Value(PathBuf, serde_json::Error),
    /// A list of secrets can't be taken; its JSON path is given.
    Secret(&'static str, secret::Error),
    /// Values that don't fit together, each with its JSON path.
    Faults(Vec<Fault>),
}

/// Value that can't be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// JSON path of the value.
    pub path: &'static str,
    /// What is wrong with it.
    pub text: &'static str,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Form(faults) => {
                let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
            Self::Value(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Secret(path, error) => write!(f, "{path}: {error}"),
            Self::Faults(faults) => {
                let lines: Vec<String> = faults.iter().map(|fault| format!("{}: {}", fault.path, fault.text)).collect();
                f.write_str(&lines.join("\n"))
            }
        }
    }
}

impl std::error::Error for Error {}

/// Reads an entry's settings.
///
/// # Errors
///
/// Every fault of the file.
pub fn read_entry(path: &Path) -> Result<Entry, Error> {
    let settings: Entry = read(path, Role::Entry)?;
    let mut faults = settings.bounds.faults();
    settings.batch.faults(&mut faults);
    push_if(&mut faults, settings.name.is_empty(), "$.name", "is empty");
    push_if(&mut faults, settings.failure_domain.is_empty(), "$.failure_domain", "is empty");
    push_if(&mut faults, settings.link_secrets.is_empty(), "$.link_secrets", "holds no secret");
    push_if(&mut faults, settings.operator_secrets.is_empty(), "$.operator_secrets", "holds no secret");
    check_secrets(&settings.link_secrets, &settings.operator_secrets)?;
    finish(settings, faults)
}

/// Reads an agent's settings.
///
/// # Errors
///
/// Every fault of the file.
pub fn read_agent(path: &Path) -> Result<Agent, Error> {
    let settings: Agent = read(path, Role::Agent)?;
    let mut faults = settings.bounds.faults();
    settings.batch.faults(&mut faults);
    push_if(&mut faults, settings.worker.is_empty(), "$.worker", "is empty");
    push_if(&mut faults, settings.service.is_empty(), "$.service", "is empty");
    push_if(&mut faults, settings.failure_domain.is_empty(), "$.failure_domain", "is empty");
    push_if(&mut faults, settings.capacity.slots == 0, "$.capacity.slots", "is zero");
    push_if(
        &mut faults,
        settings.capacity.connections < settings.capacity.slots,
        "$.capacity.connections",
        "is less than slots",
    );
    push_if(&mut faults, settings.entry_addresses.is_empty(), "$.entry_addresses", "holds no address");
    push_if(&mut faults, settings.links_max == 0, "$.links_max", "is zero");
    push_if(&mut faults, settings.link_secrets.is_empty(), "$.link_secrets", "holds no secret");
    push_if(&mut faults, settings.operator_secrets.is_empty(), "$.operator_secrets", "holds no secret");
    check_secrets(&settings.link_secrets, &settings.operator_secrets)?;
    finish(settings, faults)
}

impl Bounds {
    fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        push_if(&mut faults, self.heartbeat_interval_ms.is_zero(), "$.bounds.heartbeat_interval_ms", "is zero");
        push_if(
            &mut faults,
            self.link_silence_ms < self.heartbeat_interval_ms * 2,
            "$.bounds.link_silence_ms",
            "is less than two heartbeat intervals",
        );
        push_if(
            &mut faults,
            self.request_timeout_ms > self.request_timeout_max_ms,
            "$.bounds.request_timeout_ms",
            "is greater than request_timeout_max_ms",
        );
        push_if(&mut faults, self.head_bytes_max < 8_192, "$.bounds.head_bytes_max", "is less than 8192");
        push_if(
            &mut faults,
            self.inline_body_bytes_max > 1024 * 1024,
            "$.bounds.inline_body_bytes_max",
            "is greater than 1048576",
        );
        push_if(
            &mut faults,
            self.callers_bytes_max < self.inline_body_bytes_max.saturating_mul(2).saturating_add(CONNECTION_BYTES),
            "$.bounds.callers_bytes_max",
            "is less than twice inline_body_bytes_max and 32768 for a connection",
        );
        push_if(&mut faults, self.caller_connections_max == 0, "$.bounds.caller_connections_max", "is zero");
        faults
    }
}

fn read<T: DeserializeOwned>(path: &Path, role: Role) -> Result<T, Error> {
    let text = fs::read_to_string(path).map_err(|error| Error::Io(path.to_owned(), error))?;
    let name = path.file_stem().unwrap_or_default().to_string_lossy();
    let value = form::parse(&name, &text, role).map_err(Error::Form)?;
    serde_json::from_value(value).map_err(|error| Error::Value(path.to_owned(), error))
}

fn check_secrets(link_secrets: &[Source], operator_secrets: &[Source]) -> Result<(), Error> {
    let lists = [("$.link_secrets", link_secrets), ("$.operator_secrets", operator_secrets)];
    lists
        .into_iter()
        .try_for_each(|(path, sources)| Secrets::open(sources).map(drop).map_err(|error| Error::Secret(path, error)))
}

pub(crate) fn push_if(faults: &mut Vec<Fault>, is_fault: bool, path: &'static str, text: &'static str) {
    if is_fault {
        faults.push(Fault { path, text });
    }
}

fn finish<T>(settings: T, faults: Vec<Fault>) -> Result<T, Error> {
    if faults.is_empty() { Ok(settings) } else { Err(Error::Faults(faults)) }
}
