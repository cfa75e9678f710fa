//! HTTP calls to the platform; failures tell whether the request may have been sent.

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

use crate::gate::{Admission, CircuitBreaker, Config};

/// Maximum size of an answer body, in bytes.
const ANSWER_LIMIT_BYTES: usize = 64 << 20;
/// Retry delay when a refusal has no retry header.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Parses the retry delay of a refusal.
pub(crate) fn retry_after(answer: &Answer) -> Duration {
    let header = |name: &str| answer.headers.get(name)?.to_str().ok()?.parse().ok();
    header("retry-after-ms")
        .map(Duration::from_millis)
        .or_else(|| header("retry-after").map(Duration::from_secs))
        .unwrap_or(DEFAULT_RETRY_AFTER)
}

/// Failure of a call, by whether the platform may have received it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    /// No byte of the request was sent.
    NeverSent,
    /// The connection was lost after the request may have been sent.
    Lost,
    /// No complete answer within the timeout.
    TimedOut,
}

/// Connections to the platform, with a limit on concurrent calls.
#[derive(Debug)]
pub(crate) struct Transport {
    address: SocketAddr,
    client: Client,
    permits: Semaphore,
    breaker: Mutex<CircuitBreaker>,
    call_timeout: Duration,
    clock: Clock,
    rng: Mutex<SmallRng>,
}

impl Transport {
    pub(crate) fn open(address: SocketAddr, config: Config, clock: Clock, seed: u64) -> Self {
        let client = chervilledge_client::open(chervilledge_client::Bounds {
            // Shorter than the call timeout, to distinguish a failed connect from a lost answer.
            connect_timeout: config.call_timeout / 2,
            answer_bytes_max: ANSWER_LIMIT_BYTES,
        });
        let permits = Semaphore::new(config.concurrent_calls as usize);
        let breaker = Mutex::new(CircuitBreaker::new(config));
        let rng = Mutex::new(SmallRng::seed_from_u64(seed));
        Self { address, client, permits, breaker, call_timeout: config.call_timeout, clock, rng }
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
        let admission = self.breaker().admit(self.clock.now()).ok_or(Failure::NeverSent)?;
        let permit = timeout_at(deadline, self.permits.acquire_many(admission.weight)).await;
        let Ok(Ok(_permit)) = permit else {
            return Err(Failure::NeverSent);
        };
        // The platform may have become unavailable while the call waited for its permit.
        if !admission.is_probe && self.is_away() {
            return Err(Failure::NeverSent);
        }
        let patience = Patience::at_once(deadline.saturating_duration_since(Instant::now()));
        let answer = self.client.call(self.address, method, path, headers, body, patience).await;
        let result = answer.map_err(failure);
        self.record_result(admission, result.is_ok());
        result
    }

    /// Returns whether calls are rejected locally because the platform is unavailable.
    pub(crate) fn is_away(&self) -> bool {
        self.breaker().is_away()
    }

    /// Returns a random number from 0 to 1.
    pub(crate) fn random_fraction(&self) -> f64 {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner).random()
    }

    fn breaker(&self) -> MutexGuard<'_, CircuitBreaker> {
        self.breaker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_result(&self, admission: Admission, answered: bool) {
        let jitter = self.random_fraction();
        let mut breaker = self.breaker();
        let was_away = breaker.is_away();
        if answered {
            breaker.record_answer();
        } else {
            breaker.record_failure(self.clock.now(), admission, jitter);
        }
        if breaker.is_away() != was_away {
            log::warn!(away = breaker.is_away(); "platform_availability");
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
