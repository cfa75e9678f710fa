//! Entry's operators' listener over a table in memory.

#[path = "../../crates/operator/tests/support/table.rs"]
pub mod table;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};

use chervilledge_operator::api::{self, Entry};
use chervilledge_operator::documents::Accepted;
use chervilledge_operator::listen::{self, Handle, Routes, Settings};
use chervilledge_operator::secret::Secrets;
use serde_json::Value;
use table::Table;
use tokio::runtime::Runtime;

use super::work_dir::WorkDir;

/// Secret of the listener.
pub const SECRET: &str = "operator-secret-0123";

/// Listener that runs until it is dropped.
#[derive(Debug)]
pub struct Fixture {
    /// Table behind the listener.
    pub table: Table,
    handle: Handle,
    _runtime: Runtime,
}

impl Fixture {
    /// Binds a listener that answers `GET /status` with `status`.
    pub fn bind(status: Value) -> Self {
        let table = Table::default();
        let enforced: Arc<Mutex<Option<Accepted>>> = Arc::default();
        let (reader, writer) = (Arc::clone(&enforced), enforced);
        let entry = Entry {
            store: table.store(),
            enforced: Arc::new(move || reader.lock().expect("no panic under the lock").clone()),
            adopt: Arc::new(move |accepted| *writer.lock().expect("no panic under the lock") = Some(accepted)),
            status: Arc::new(move || status.clone()),
        };
        let settings = Settings::new(Secrets::new(vec![SECRET.to_owned()]).expect("a well-formed secret"));
        let routes = api::routes(Routes::new(), &entry).state(|| serde_json::json!({ "role": "entry" }));
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let runtime = Runtime::new().expect("a runtime");
        let handle = runtime.block_on(listen::bind(address, settings, routes)).expect("a free port");
        Self { table, handle, _runtime: runtime }
    }

    /// Options that name this listener; writes the secret into the directory.
    pub fn options(&self, dir: &WorkDir) -> String {
        dir.write("secret", &format!("{SECRET}\n"));
        format!("--entry {} --secret-file secret", self.handle.address())
    }
}
