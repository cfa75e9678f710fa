//! Helpers that start the platform stand-in and open clients, shared by the tests of this package.

#![allow(dead_code, reason = "no test file uses all of it")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use chervilledge_policy::clock::Clock;
use chervilledge_policy::id::BootId;
use chervilledge_standins::platform;
use chervilledge_store::client::{self, Client, Settings};

/// Starts a platform stand-in with the given settings.
pub async fn start_store(settings: platform::Settings) -> platform::Handle {
    platform::bind(SocketAddr::from(([127, 0, 0, 1], 0)), settings).await.unwrap()
}

/// Opens a client whose call timeout is long enough for a busy machine.
pub fn open_client(store: &platform::Handle, boot: u64) -> Client {
    open_client_with(store.address(), boot, Duration::from_secs(20))
}

/// Opens a client with the given call timeout.
pub fn open_client_with(address: SocketAddr, boot: u64, call_timeout: Duration) -> Client {
    open_client_from(Settings { address, call_timeout, ..Settings::default() }, boot)
}

/// Opens a client with the given settings.
pub fn open_client_from(settings: Settings, boot: u64) -> Client {
    let origin = Instant::now();
    client::open(settings, BootId(boot), Clock::new(move || origin.elapsed()))
}
