//! Addresses of this machine for listeners that a test starts later.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Mutex, PoisonError};

use tokio::net::TcpSocket;

/// Sockets that are bound without listening: the kernel gives their ports to nobody who doesn't ask for them by number.
static RESERVED: Mutex<Vec<TcpSocket>> = Mutex::new(Vec::new());

/// Address at which nothing listens yet, reserved until the process ends.
pub fn free_address() -> SocketAddr {
    let socket = TcpSocket::new_v4().expect("a socket");
    // A listener can be bound beside a socket that doesn't listen only if both have this option, as those of tokio do.
    socket.set_reuseaddr(true).expect("reuse of the address");
    socket.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).expect("a free port");
    let address = socket.local_addr().expect("its address");
    RESERVED.lock().unwrap_or_else(PoisonError::into_inner).push(socket);
    address
}
