//! Processor time and memory of a process, read from `/proc`.

use std::fs;
use std::time::{Duration, Instant};

use crate::harness::Process;

/// Unit of the processor times in `/proc/PID/stat`, which the kernel fixes for programs.
const CLOCK_TICK: Duration = Duration::from_millis(10);

/// Fields of `/proc/PID/stat` between the name of the program and its user time.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// What a process has used up to a moment.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Moment of the reading.
    pub at: Instant,
    /// User and system time since the start of the process.
    pub processor: Duration,
    /// Resident memory.
    pub resident_bytes: u64,
}

impl Usage {
    /// Share of one core that was used since an earlier reading, in percent.
    pub fn core_percent(&self, earlier: &Self) -> f64 {
        let used = self.processor.saturating_sub(earlier.processor);
        used.as_secs_f64() / (self.at - earlier.at).as_secs_f64() * 100.0
    }

    /// Processor time used since an earlier reading, in microseconds.
    pub fn processor_us(&self, earlier: &Self) -> f64 {
        self.processor.saturating_sub(earlier.processor).as_secs_f64() * 1e6
    }

    /// Resident memory in units of 2^20 bytes.
    #[expect(clippy::cast_precision_loss, reason = "figures are printed with few digits")]
    pub fn resident_mib(&self) -> f64 {
        self.resident_bytes as f64 / f64::from(1 << 20)
    }
}

/// Reads what a daemon has used so far.
pub fn usage(process: &Process) -> Usage {
    let id = process.ready["process_id"].as_u64().expect("process_id");
    Usage { at: Instant::now(), processor: processor(id), resident_bytes: resident_bytes(id) }
}

fn processor(id: u64) -> Duration {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).expect("the process runs");
    let (_, fields) = stat.rsplit_once(") ").expect("name of the program");
    let mut times = fields.split_whitespace().skip(FIELDS_BEFORE_USER_TIME).map(str::parse::<u32>);
    let mut next = || times.next().expect("field").expect("number");
    CLOCK_TICK * (next() + next())
}

fn resident_bytes(id: u64) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("resident memory");
    let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse().expect("number");
    kilobytes * 1024
}
