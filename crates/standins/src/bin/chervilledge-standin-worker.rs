//! Worker's stand-in as a process.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use chervilledge_policy::id::Name;
use chervilledge_standins::worker::{self, Settings};
use getopts::{Matches, Options};
use serde_json::json;

const USAGE: &str = "\
Serve a worker's backend server and its tasks.

Prints one JSON line with its address when it is ready.

Usage: chervilledge-standin-worker [options]

Example: chervilledge-standin-worker --listen 127.0.0.1:7200 --worker hobart-1 --slowdown orders=1.5";

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "listen", "address to listen on; port 0 takes a free port", "ADDRESS");
    options.optopt("", "worker", "name of the worker", "NAME");
    options.optopt("", "slots", "requests at the same time", "COUNT");
    options.optopt("", "connections", "connections at the same time", "COUNT");
    options.optopt("", "processor-millicores", "processor time, in thousandths of a core", "COUNT");
    options.optopt("", "memory-bytes", "memory, in bytes", "BYTES");
    options.optopt("", "accelerators", "accelerators", "COUNT");
    options.optopt("", "usage-lag-ms", "age of the reported usage, in milliseconds", "MS");
    options.optopt("", "seed", "chooses the slowdown of kinds that aren't named", "NUMBER");
    options.optmulti("", "slowdown", "factor by which tasks of a kind slow requests down; repeatable", "KIND=FACTOR");
    options.optflag("h", "help", "print this text");
    options
}

fn settings(matches: &Matches) -> Result<Settings, Box<dyn Error>> {
    let mut settings = Settings::default();
    if let Some(worker) = matches.opt_str("worker") {
        settings.worker = Name::from(worker);
    }
    let capacity = &mut settings.capacity;
    capacity.slots = matches.opt_get_default("slots", capacity.slots)?;
    capacity.connections = matches.opt_get_default("connections", capacity.connections)?;
    let resources = &mut capacity.resources;
    resources.processor_millicores = matches.opt_get_default("processor-millicores", resources.processor_millicores)?;
    resources.memory_bytes = matches.opt_get_default("memory-bytes", resources.memory_bytes)?;
    resources.accelerators = matches.opt_get_default("accelerators", resources.accelerators)?;
    if let Some(lag_ms) = matches.opt_get("usage-lag-ms")? {
        settings.usage_lag = Duration::from_millis(lag_ms);
    }
    settings.seed = matches.opt_get_default("seed", settings.seed)?;
    for slowdown in matches.opt_strs("slowdown") {
        let (kind, factor) = slowdown.split_once('=').ok_or("a slowdown is written as KIND=FACTOR")?;
        settings.slowdowns.insert(Name::from(kind), factor.parse()?);
    }
    Ok(settings)
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let options = options();
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        print!("{}", options.usage(USAGE));
        return Ok(());
    }
    let address = matches.opt_get_default("listen", SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let handle = worker::bind(address, settings(&matches)?).await?;
    println!("{}", json!({ "address": handle.address() }));
    tokio::signal::ctrl_c().await?;
    Ok(())
}
