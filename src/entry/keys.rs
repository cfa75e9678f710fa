//! Idempotency keys: a request with a key runs at most once, whichever entries its caller's retries reach.
//!
//! A key is claimed by a conditional write of its row before the request is sent to a worker. The row is deleted if the
//! request is proved not to have run, and kept otherwise, so that a retry learns the outcome of the first attempt.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use chervilledge_policy::code::Code;
use chervilledge_policy::id::{Name, RequestId};
use chervilledge_policy::request::End;
use chervilledge_store::client::Client;
use chervilledge_store::error::{Outcome, Reason};
use chervilledge_store::group::Group;
use chervilledge_store::table::{Expect, Row, Write};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Key prefix of the rows of idempotency keys.
const KEYS_PREFIX: &str = "keys/";

/// Time limit for a claim, after which the caller is told that the request was not run.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for which the row of a key is kept.
const KEY_RETENTION: Duration = Duration::from_hours(24);

/// Mean time between two sweeps for expired rows.
const SWEEP_INTERVAL: Duration = Duration::from_mins(1);

/// Maximum number of rows per sweep.
const SWEEP_ROWS: usize = 200;

/// End recorded for a request that was given up before its claim took effect.
const UNUSED_CLAIM_END: End = End::NotRun { code: Code::KeyUnavailable, retry_after: Duration::ZERO };

/// State of the request that claimed a key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum KeyState {
    /// The request is in progress, or its entry has died.
    Claimed,
    /// The answer was sent completely.
    Answered,
    /// The request may have been run.
    Unknown,
}

/// Row of a key.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct KeyRow {
    request: RequestId,
    /// Checksum of service, method, target and body; reuse of the key for another request is a caller's mistake.
    fingerprint: String,
    state: KeyState,
    /// Time of the claim by the entry's wall clock, only used to delete rows after a day.
    claimed_unix_s: u64,
}

/// Reason why a request with a key isn't sent to a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimRefused {
    /// As far as this entry knows, no request with the key is in progress or has run.
    NotRun(Code),
    /// An earlier request with the key may have run; this one hasn't.
    EarlierRequest(Code),
}

/// Claims and sweeps idempotency keys.
#[derive(Clone, Debug)]
pub struct Keys {
    platform: Client,
    group: Group,
}

/// Claimed idempotency key.
#[derive(Debug)]
pub struct KeyClaim {
    keys: Keys,
    key: Name,
    row: KeyRow,
    version: u64,
}

impl Keys {
    /// Creates an instance whose writes go through the group commit `group`.
    #[must_use]
    pub fn new(platform: Client, group: Group) -> Self {
        Self { platform, group }
    }

    /// Claims the key of a request.
    ///
    /// # Errors
    ///
    /// The reason why the request isn't sent to a worker.
    pub async fn claim(
        &self,
        service: &str,
        key: &str,
        request: RequestId,
        fingerprint: u64,
    ) -> Result<KeyClaim, ClaimRefused> {
        let key = Name::from(format!("{KEYS_PREFIX}{service}/{key}"));
        let row = KeyRow {
            request,
            fingerprint: format!("{fingerprint:016x}"),
            state: KeyState::Claimed,
            claimed_unix_s: unix_now_s(),
        };
        let (claimed_sender, claimed_receiver) = oneshot::channel();
        tokio::spawn(self.clone().claim_or_release(key, row, claimed_sender));
        match tokio::time::timeout(CLAIM_TIMEOUT, claimed_receiver).await {
            Ok(Ok(Ok(claim))) => Ok(claim),
            Ok(Ok(Err(Some(row)))) => Err(refusal_of_repeat(&row, fingerprint)),
            _ => Err(ClaimRefused::NotRun(Code::KeyUnavailable)),
        }
    }

    /// Writes a claim, and releases it if it takes effect after its request was given up.
    async fn claim_or_release(
        self,
        key: Name,
        row: KeyRow,
        claimed_sender: oneshot::Sender<Result<KeyClaim, Option<Row>>>,
    ) {
        let claimed = self.write_claim(key, row).await;
        if let Err(Ok(late_claim)) = claimed_sender.send(claimed) {
            late_claim.write_end(UNUSED_CLAIM_END).await;
        }
    }

    /// Writes a claim; fails with the existing row, or with `None` if the platform is unavailable.
    async fn write_claim(self, key: Name, row: KeyRow) -> Result<KeyClaim, Option<Row>> {
        let write = Write::put(Name::clone(&key), Expect::Absent, row_value(&row));
        let submitted = self.group.submit(vec![write]).await;
        let mut outcome = submitted.outcome;
        if let (Outcome::Unknown, Some(write_id)) = (&outcome, submitted.write_id) {
            outcome = self.platform.resolve(write_id, &key).await.outcome(1);
        }
        match outcome {
            Outcome::Done(versions) => {
                let version = versions.first().copied().unwrap_or_default();
                Ok(KeyClaim { keys: self, key, row, version })
            }
            Outcome::NotDone(Reason::Conflict(conflict)) => Err(conflict.current),
            _ => Err(None),
        }
    }

    /// Spawns a task that deletes expired rows.
    #[must_use]
    pub fn spawn_sweeps(&self) -> JoinHandle<()> {
        let keys = self.clone();
        tokio::spawn(async move {
            let mut after = None;
            loop {
                tokio::time::sleep(SWEEP_INTERVAL.mul_f64(rand::random_range(0.5..1.5))).await;
                after = keys.sweep(after).await;
            }
        })
    }

    /// Deletes expired rows among those after a key; returns the last key read, or `None` at the end.
    async fn sweep(&self, after: Option<Name>) -> Option<Name> {
        let rows = self.platform.scan(KEYS_PREFIX, after, SWEEP_ROWS).await.ok()?;
        let now_s = unix_now_s();
        for row in rows.iter().filter(|row| is_expired(row, now_s)) {
            let delete = Write::delete(Name::clone(&row.key), Expect::Version(row.version));
            // A row that can't be deleted now is deleted by a later sweep.
            drop(self.group.submit(vec![delete]).await);
        }
        (rows.len() == SWEEP_ROWS).then(|| rows.last().map(|row| Name::clone(&row.key))).flatten()
    }
}

impl KeyClaim {
    /// Records the end of the request in the background.
    pub fn record_end(self, end: End) {
        tokio::spawn(async move { self.write_end(end).await });
    }

    async fn write_end(mut self, end: End) {
        let expect = Expect::Version(self.version);
        let write = match end {
            End::NotRun { .. } => Write::delete(Name::clone(&self.key), expect),
            End::Answered => self.set_state(KeyState::Answered, expect),
            End::Unknown { .. } => self.set_state(KeyState::Unknown, expect),
        };
        let submitted = self.keys.group.submit(vec![write]).await;
        if let Some(code) = submitted.outcome.code() {
            // The row still says that the request is in progress, so retries are refused.
            log::warn!(event = "key_not_updated", key = &*self.key, code = code.number(); "");
        }
    }

    fn set_state(&mut self, state: KeyState, expect: Expect) -> Write {
        self.row.state = state;
        Write::put(Name::clone(&self.key), expect, row_value(&self.row))
    }
}

/// Returns the refusal for a request whose key is already claimed.
fn refusal_of_repeat(row: &Row, fingerprint: u64) -> ClaimRefused {
    let Ok(row) = serde_json::from_value::<KeyRow>(row.value.clone()) else {
        return ClaimRefused::EarlierRequest(Code::KeyInUse);
    };
    if row.fingerprint != format!("{fingerprint:016x}") {
        return ClaimRefused::NotRun(Code::KeyInUse);
    }
    match row.state {
        KeyState::Answered => ClaimRefused::EarlierRequest(Code::KeyAnswered),
        KeyState::Claimed | KeyState::Unknown => ClaimRefused::EarlierRequest(Code::KeyInUse),
    }
}

fn is_expired(row: &Row, now_s: u64) -> bool {
    serde_json::from_value::<KeyRow>(row.value.clone())
        .is_ok_and(|row| now_s.saturating_sub(row.claimed_unix_s) > KEY_RETENTION.as_secs())
}

fn row_value(row: &KeyRow) -> Value {
    serde_json::json!(row)
}

fn unix_now_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}
