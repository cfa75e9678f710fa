//! HTTP towards callers.
//!
//! The first segment of a path names the service. An answer that the scheduler gives itself is JSON with a numbered
//! code, tells in [`OUTCOME_HEADER`] whether the request was run, and says in `Retry-After` when to come back.

pub mod answer;
pub mod body;
pub mod budget;
pub mod listener;
pub mod request;

pub use answer::{Outcome, Refusal};

/// Header field that tells what became of a request that has no answer of a backend server.
pub const OUTCOME_HEADER: &str = "x-chervilledge-outcome";

/// Header field with the identifier of a request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header field with the time that a caller waits, in milliseconds.
pub const TIMEOUT_HEADER: &str = "x-timeout-ms";

/// Header field with the caller's own key for a request that must run at most once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
