//! Scheduler for colocated latency-critical and batch work.
