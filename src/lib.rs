//! Scheduler for colocated latency-critical and batch work.

pub mod cmd;
