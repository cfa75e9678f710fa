//! Worker's stand-in as a process.

use std::error::Error;
use std::net::SocketAddr;

use chervilledge_policy::id::Name;
use chervilledge_standins::worker::{self, Settings};
use getopts::Options;
use serde_json::json;

const USAGE: &str = "\
Serve a worker's backend server and its tasks.

Prints one JSON line with its address when it is ready.

Usage: chervilledge-standin-worker [options]

Example: chervilledge-standin-worker --listen 127.0.0.1:7200 --worker hobart-1";

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut options = Options::new();
    options.optopt("", "listen", "address to listen on; port 0 takes a free port", "ADDRESS");
    options.optopt("", "worker", "name of the worker", "NAME");
    options.optflag("h", "help", "print this text");
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        print!("{}", options.usage(USAGE));
        return Ok(());
    }
    let address = matches.opt_get_default("listen", SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let mut settings = Settings::default();
    if let Some(worker) = matches.opt_str("worker") {
        settings.worker = Name::from(worker);
    }
    let handle = worker::bind(address, settings).await?;
    println!("{}", json!({ "address": handle.address() }));
    tokio::signal::ctrl_c().await?;
    Ok(())
}
