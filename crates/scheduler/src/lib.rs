//! Entry, placer and agent of a cell.
//!
//! Scheduling decisions are made in `chervilledge-cell`; this crate drives them with links, rows and timers. The
//! platform's protocols are accessed through the closures of [`store::Store`] and [`worker::Calls`].

pub mod agent;
pub mod candidate;
pub mod clock;
pub mod entry;
pub mod feed;
pub mod logs;
pub mod message;
pub mod metrics;
pub mod outage;
pub mod panics;
pub mod peer;
pub mod placer;
pub mod progress_rows;
pub mod repeat;
pub mod roster;
pub mod rows;
pub mod scan;
pub mod settings;
pub mod store;
pub mod submit;
pub mod worker;
