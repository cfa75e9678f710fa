//! One HTTP call to the platform, with what its failure proves.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use chervilledge_client::{Answer, Client, Patience};
use chervilledge_policy::clock::Clock;
use http::{HeaderMap, Method};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::Semaphore;
use tokio::time::{Instant, timeout_at};

use crate::gate::{Admission, Bounds, Gate};

/// Largest answer that is read, in bytes.
const ANSWER_LIMIT_BYTES: usize = 64 << 20;
/// Wait when a refusal doesn't name one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reads the wait that a refusal asks for.
pub(crate) fn retry_after(answer: &Answer) -> Duration {
    let header = |name: &str| answer.headers.get(name)?.to_str().ok()?.parse().ok();
    header("retry-after-ms")
        .map(Duration::from_millis)
        .or_else(|| header("retry-after").map(Duration::from_secs))
        .unwrap_or(DEFAULT_RETRY_AFTER)
}

/// Failure of a call, by what it proves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    /// Nothing left the process.
    NeverSent,
    /// The connection was lost after the call may have been sent.
    Lost,
    /// No whole answer within the timeout.
    TimedOut,
}

/// Connections to the platform, with a limit on concurrent calls.
#[derive(Debug)]
pub(crate) struct Transport {
    address: SocketAddr,
    client: Client,
    permits: Semaphore,
    gate: Mutex<Gate>,
    call_timeout: Duration,
    clock: Clock,
    rng: Mutex<SmallRng>,
}

impl Transport {
    pub(crate) fn open(address: SocketAddr, bounds: Bounds, clock: Clock, seed: u64) -> Self {
        let client = chervilledge_client::open(chervilledge_client::Bounds {
            // Ends before the call does, so that a failed connect is told apart from a lost answer.
            connect_timeout: bounds.call_timeout / 2,
            answer_bytes_max: ANSWER_LIMIT_BYTES,
        });
        let permits = Semaphore::new(bounds.concurrent_calls as usize);
        let gate = Mutex::new(Gate::new(bounds));
        let rng = Mutex::new(SmallRng::seed_from_u64(seed));
        Self { address, client, permits, gate, call_timeout: bounds.call_timeout, clock, rng }
    }

    /// Sends one request and reads the whole answer.
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<Answer, Failure> {
        let deadline = Instant::now() + self.call_timeout;
        let admission = self.gate().admit(self.clock.now()).ok_or(Failure::NeverSent)?;
        let permit = timeout_at(deadline, self.permits.acquire_many(admission.weight)).await;
        let Ok(Ok(_permit)) = permit else {
            return Err(Failure::NeverSent);
        };
        // The platform may have gone away while the call waited for its permit.
        if !admission.probe && self.is_away() {
            return Err(Failure::NeverSent);
        }
        let patience = Patience::at_once(deadline.saturating_duration_since(Instant::now()));
        let answer = self.client.call(self.address, method, path, headers, body, patience).await;
        let result = answer.map_err(failure);
        self.take_note(admission, result.is_ok());
        result
    }

    /// Tells whether calls are held back because the platform is away.
    pub(crate) fn is_away(&self) -> bool {
        self.gate().is_away()
    }

    /// Draws a number from 0 to 1.
    pub(crate) fn draw(&self) -> f64 {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner).random()
    }

    fn gate(&self) -> MutexGuard<'_, Gate> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_note(&self, admission: Admission, answered: bool) {
        let jitter = self.draw();
        let mut gate = self.gate();
        let was_away = gate.is_away();
        if answered {
            gate.answered();
        } else {
            gate.failed(self.clock.now(), admission, jitter);
        }
        if gate.is_away() != was_away {
            log::warn!(away = gate.is_away(); "platform_availability");
        }
    }
}

const fn failure(failure: chervilledge_client::Failure) -> Failure {
    match failure {
        chervilledge_client::Failure::NotThere | chervilledge_client::Failure::NeverSent => Failure::NeverSent,
        chervilledge_client::Failure::Broken => Failure::Lost,
        chervilledge_client::Failure::Silent => Failure::TimedOut,
    }
}
