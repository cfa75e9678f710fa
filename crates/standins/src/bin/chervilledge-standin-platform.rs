//! Platform's stand-in as a process.

use std::error::Error;
use std::net::SocketAddr;

use chervilledge_standins::platform::{self, Settings};
use getopts::Options;
use serde_json::json;

const USAGE: &str = "\
Serve the platform's table service and object store from memory.

Prints one JSON line with its address when it is ready.

Usage: chervilledge-standin-platform [options]

Example: chervilledge-standin-platform --listen 127.0.0.1:7100 --writes-per-s 300";

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut options = Options::new();
    options.optopt("", "listen", "address to listen on; port 0 takes a free port", "ADDRESS");
    options.optopt("", "writes-per-s", "transactions carried in a second", "COUNT");
    options.optopt("", "reads-per-s", "reads carried in a second", "COUNT");
    options.optflag("h", "help", "print this text");
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        print!("{}", options.usage(USAGE));
        return Ok(());
    }
    let address = matches.opt_get_default("listen", SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let mut settings = Settings::default();
    settings.writes_per_s = matches.opt_get_default("writes-per-s", settings.writes_per_s)?;
    settings.reads_per_s = matches.opt_get_default("reads-per-s", settings.reads_per_s)?;
    let handle = platform::bind(address, settings).await?;
    println!("{}", json!({ "address": handle.address() }));
    tokio::signal::ctrl_c().await?;
    Ok(())
}
