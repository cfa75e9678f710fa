//! Operators' command.

use std::process::ExitCode;

fn main() -> ExitCode {
    let argv: Vec<String> = std::env::args().skip(1).collect();
    ExitCode::from(chervilledge::cmd::main(&argv))
}
