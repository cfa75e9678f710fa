//! Idempotency keys: a request with a key runs at most once, whichever entries its caller's retries reach.
//!
//! A key is claimed by a conditional row before the request is handed to a worker. The row goes away once the request
//! is proved not run, and stays otherwise, so that a retry is told what became of the first attempt.

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

/// Prefix of the rows of keys.
const KEYS_PREFIX: &str = "keys/";

/// Longest time for a claim; a caller is told at once that the request was not run.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for which the row of a key is kept.
const KEEP: Duration = Duration::from_hours(24);

/// Time between two looks for rows that are too old.
const SWEEP_INTERVAL: Duration = Duration::from_mins(1);

/// Rows that one look covers at most.
const SWEEP_ROWS: usize = 200;

/// End of a request that was given up before its claim was known.
const RELEASE: End = End::NotRun { code: Code::KeyUnavailable, retry_after: Duration::ZERO };

/// What became of the request that claimed a key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum State {
    /// In progress, or its entry died.
    Claimed,
    /// The whole answer was sent.
    Answered,
    /// The request may have been run.
    Unknown,
}

/// Row of a key.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct KeyRow {
    request: RequestId,
    /// Checksum of method, target and body; the same key with another request is a mistake of the caller.
    fingerprint: String,
    state: State,
    /// Time of the claim on the entry's wall clock; only used to delete rows after a day.
    claimed_unix_s: u64,
}

/// Reason why a request with a key isn't handed to a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refused {
    /// Neither this request nor an earlier one with the key is in progress or was run, as far as is known here.
    NotRun(Code),
    /// An earlier request with the key may have been run; this one wasn't.
    Earlier(Code),
}

/// Claims keys.
#[derive(Clone, Debug)]
pub struct Keys {
    platform: Client,
    group: Group,
}

/// Key that was claimed.
#[derive(Debug)]
pub struct Claim {
    keys: Keys,
    key: Name,
    row: KeyRow,
    version: u64,
}

impl Keys {
    /// Makes a claimer whose writes go through `group`.
    #[must_use]
    pub fn new(platform: Client, group: Group) -> Self {
        Self { platform, group }
    }

    /// Claims the key of a request.
    ///
    /// # Errors
    ///
    /// Why the request isn't to be handed to a worker.
    pub async fn claim(
        &self,
        service: &str,
        key: &str,
        request: RequestId,
        fingerprint: u64,
    ) -> Result<Claim, Refused> {
        let key = Name::from(format!("{KEYS_PREFIX}{service}/{key}"));
        let row = KeyRow {
            request,
            fingerprint: format!("{fingerprint:016x}"),
            state: State::Claimed,
            claimed_unix_s: unix_now_s(),
        };
        let (answer, answered) = oneshot::channel();
        tokio::spawn(self.clone().claim_or_release(key, row, answer));
        match tokio::time::timeout(CLAIM_TIMEOUT, answered).await {
            Ok(Ok(Ok(claim))) => Ok(claim),
            Ok(Ok(Err(Some(row)))) => Err(earlier(&row, fingerprint)),
            _ => Err(Refused::NotRun(Code::KeyUnavailable)),
        }
    }

    /// Writes a claim, and releases it when it takes effect after its request was given up.
    async fn claim_or_release(self, key: Name, row: KeyRow, answer: oneshot::Sender<Result<Claim, Option<Row>>>) {
        let claimed = self.write_claim(key, row).await;
        if let Err(Ok(late)) = answer.send(claimed) {
            late.write_end(RELEASE).await;
        }
    }

    /// Writes a claim; gives the row that is there already, or `None` when the platform is away.
    async fn write_claim(self, key: Name, row: KeyRow) -> Result<Claim, Option<Row>> {
        let write = Write::put(Name::clone(&key), Expect::Absent, json(&row));
        let submitted = self.group.submit(vec![write]).await;
        let mut outcome = submitted.outcome;
        if let (Outcome::Unknown, Some(write_id)) = (&outcome, submitted.write_id) {
            outcome = self.platform.resolve(write_id, &key).await.outcome(1);
        }
        match outcome {
            Outcome::Done(versions) => {
                let version = versions.first().copied().unwrap_or_default();
                Ok(Claim { keys: self, key, row, version })
            }
            Outcome::NotDone(Reason::Conflict(conflict)) => Err(conflict.current),
            _ => Err(None),
        }
    }

    /// Starts to delete the rows of keys after their time.
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

    /// Looks at the rows after a key; gives the last one, or `None` at the end.
    async fn sweep(&self, after: Option<Name>) -> Option<Name> {
        let rows = self.platform.scan(KEYS_PREFIX, after, SWEEP_ROWS).await.ok()?;
        let now_s = unix_now_s();
        for row in rows.iter().filter(|row| is_old(row, now_s)) {
            let delete = Write::delete(Name::clone(&row.key), Expect::Version(row.version));
            // A row that can't be deleted now is deleted at a later look.
            drop(self.group.submit(vec![delete]).await);
        }
        (rows.len() == SWEEP_ROWS).then(|| rows.last().map(|row| Name::clone(&row.key))).flatten()
    }
}

impl Claim {
    /// Notes in the background how the request ended.
    pub fn end(self, end: End) {
        tokio::spawn(async move { self.write_end(end).await });
    }

    async fn write_end(mut self, end: End) {
        let expect = Expect::Version(self.version);
        let write = match end {
            End::NotRun { .. } => Write::delete(Name::clone(&self.key), expect),
            End::Answered => self.mark(State::Answered, expect),
            End::Unknown { .. } => self.mark(State::Unknown, expect),
        };
        let submitted = self.keys.group.submit(vec![write]).await;
        if let Some(code) = submitted.outcome.code() {
            // The row goes on to say that the request is in progress, which refuses retries.
            log::warn!(event = "key_not_updated", key = &*self.key, code = code.number(); "");
        }
    }

    fn mark(&mut self, state: State, expect: Expect) -> Write {
        self.row.state = state;
        Write::put(Name::clone(&self.key), expect, json(&self.row))
    }
}

/// Tells a retry what became of the earlier request with its key.
fn earlier(row: &Row, fingerprint: u64) -> Refused {
    let Ok(row) = serde_json::from_value::<KeyRow>(row.value.clone()) else {
        return Refused::Earlier(Code::KeyInUse);
    };
    if row.fingerprint != format!("{fingerprint:016x}") {
        return Refused::NotRun(Code::KeyInUse);
    }
    match row.state {
        State::Answered => Refused::Earlier(Code::KeyAnswered),
        State::Claimed | State::Unknown => Refused::Earlier(Code::KeyInUse),
    }
}

fn is_old(row: &Row, now_s: u64) -> bool {
    serde_json::from_value::<KeyRow>(row.value.clone())
        .is_ok_and(|row| now_s.saturating_sub(row.claimed_unix_s) > KEEP.as_secs())
}

fn json(row: &KeyRow) -> Value {
    serde_json::json!(row)
}

fn unix_now_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}
