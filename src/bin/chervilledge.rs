//! Operators' command.

fn main() {}
