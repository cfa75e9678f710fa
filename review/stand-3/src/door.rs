//! TCP forwarder in front of a worker: while it is shut, its port has no listener and no connection is open.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Forwarder that can be shut and opened again at the same address.
pub struct Door {
    address: SocketAddr,
    target: SocketAddr,
    accept: Mutex<Option<JoinHandle<()>>>,
    open: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

impl Door {
    pub async fn bind(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let door = Self { address, target, accept: Mutex::new(None), open: Arc::default() };
        door.serve(listener);
        door
    }

    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    fn serve(&self, listener: TcpListener) {
        let (target, open) = (self.target, Arc::clone(&self.open));
        let task = tokio::spawn(async move {
            while let Ok((mut near, _)) = listener.accept().await {
                let link = tokio::spawn(async move {
                    let Ok(mut far) = TcpStream::connect(target).await else { return };
                    let _set = (near.set_nodelay(true), far.set_nodelay(true));
                    let _ended = tokio::io::copy_bidirectional(&mut near, &mut far).await;
                });
                let mut open = open.lock().unwrap_or_else(PoisonError::into_inner);
                open.retain(|link| !link.is_finished());
                open.push(link);
            }
        });
        *self.accept.lock().unwrap_or_else(PoisonError::into_inner) = Some(task);
    }

    /// Ends the listener and every connection.
    pub fn shut(&self) {
        if let Some(task) = self.accept.lock().unwrap_or_else(PoisonError::into_inner).take() {
            task.abort();
        }
        for link in self.open.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
            link.abort();
        }
    }

    /// Listens again.
    pub async fn reopen(&self) {
        for _ in 0..200 {
            if let Ok(listener) = TcpListener::bind(self.address).await {
                self.serve(listener);
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}
