//! Operators' command: one module for each subcommand.

use std::io::{self, ErrorKind, Write};

mod accept;
mod args;
mod cancel;
mod check;
mod client;
mod drain;
mod dump;
mod error;
mod explain;
mod history;
mod jobs;
pub mod late;
mod plan;
mod status;
mod submit;
pub mod timestamp;
mod trace;
mod workers;

pub use error::{Error, exit_status};

const USAGE: &str = "\
Usage: chervilledge COMMAND [ARGUMENTS] [OPTIONS]

Reviews, accepts and observes the configuration of the scheduler, and shows what the scheduler does.

Commands:
    check      Find every fault of a directory of documents
    plan       Show what documents would change at each site
    accept     Accept a plan
    history    List accepted versions or print one of them
    status     Show which processes don't enforce the accepted version yet
    workers    List the workers
    drain      Tell a worker to take no new work
    submit     Submit a job
    jobs       List the jobs or show one of them
    cancel     Cancel jobs or a task
    explain    Tell what happened to a request or a task and why
    dump       Print the state of a process
    trace      Follow a job, a task or a worker through the logs of many processes

Options:
    -h, --help       Show this text; after a command, show that command's text
    -V, --version    Show the version

The exit status is 0 on success. Otherwise it is the code's first digit followed by its last digit, or by 9 for codes
whose remainder exceeds 9: code 4002 gives 42. With --json the code itself is in the output.

Example:
    chervilledge check examples/fitters
";

type Run = fn(&[String], &mut dyn Write) -> Result<(), Error>;

const COMMANDS: &[(&str, Run)] = &[
    ("accept", accept::run),
    ("cancel", cancel::run),
    ("check", check::run),
    ("drain", drain::run),
    ("dump", dump::run),
    ("explain", explain::run),
    ("history", history::run),
    ("jobs", jobs::run),
    ("plan", plan::run),
    ("status", status::run),
    ("submit", submit::run),
    ("trace", trace::run),
    ("workers", workers::run),
];

/// Runs the command with its arguments and gives the exit status.
#[must_use]
pub fn main(argv: &[String]) -> u8 {
    let mut out = io::stdout().lock();
    match dispatch(argv, &mut out).and_then(|()| Ok(out.flush()?)) {
        Ok(()) => 0,
        // Whoever read the output has seen enough.
        Err(Error::Output(error)) if error.kind() == ErrorKind::BrokenPipe => 0,
        Err(error) => {
            if args::wants_json(argv) {
                error.write_json(&mut out);
            }
            eprintln!("chervilledge: {error}");
            exit_status(error.code())
        }
    }
}

fn dispatch(argv: &[String], out: &mut dyn Write) -> Result<(), Error> {
    let Some((name, rest)) = argv.split_first() else {
        return Err(Error::Usage(format!("a command is required\n\n{USAGE}")));
    };
    match name.as_str() {
        "-h" | "--help" => Ok(out.write_all(USAGE.as_bytes())?),
        "-V" | "--version" => Ok(writeln!(out, "chervilledge {}", env!("CARGO_PKG_VERSION"))?),
        name => match COMMANDS.iter().find(|(known, _)| *known == name) {
            Some((_, run)) => run(rest, out),
            None => Err(Error::Usage(format!("unknown command {name:?}\n\n{USAGE}"))),
        },
    }
}
