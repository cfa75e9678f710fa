//! What the benchmarks share.

#![allow(dead_code, reason = "each benchmark uses a part")]

pub mod figure;
pub mod light;
pub mod process;
