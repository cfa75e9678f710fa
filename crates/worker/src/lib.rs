//! HTTP clients for the backend server and the worker's task runtime.

pub mod backend;
pub mod runtime;
