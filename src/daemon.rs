//! Frame of a daemon: command line, logs, signals and exit status.

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use getopts::Options;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit status after a wrong command line or faulty settings.
pub const EXIT_USAGE: u8 = 2;

/// Exit status after a failure at run time.
pub const EXIT_FAILURE: u8 = 1;

/// Exit status after a second signal to end.
pub const EXIT_SIGNALLED: u8 = 130;

/// What the command line asks of a daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Check the settings file and end.
    Check(PathBuf),
    /// Print the usage text and end.
    Help,
    /// Run with the settings file.
    Run(PathBuf),
}

/// Reads a daemon's command line.
///
/// # Errors
///
/// One line that names the fault.
pub fn read_arguments(arguments: impl IntoIterator<Item = OsString>) -> Result<Order, String> {
    let mut options = Options::new();
    options.optopt("", "settings", "", "FILE");
    options.optflag("", "check", "");
    options.optflag("h", "help", "");
    let matches = options.parse(arguments).map_err(|error| error.to_string())?;
    if matches.opt_present("help") {
        return Ok(Order::Help);
    }
    let Some(file) = matches.opt_str("settings") else {
        return Err("--settings FILE is missing".to_owned());
    };
    let file = PathBuf::from(file);
    Ok(if matches.opt_present("check") { Order::Check(file) } else { Order::Run(file) })
}

/// Runs a daemon: `check` reads its settings, `run` runs it to its end.
pub fn main<T, E: std::fmt::Display>(
    usage: &str,
    check: impl FnOnce(&Path) -> Result<T, E>,
    run: impl FnOnce(T) -> ExitCode,
) -> ExitCode {
    let order = match read_arguments(std::env::args_os().skip(1)) {
        Ok(order) => order,
        Err(error) => return fail(EXIT_USAGE, &format!("{error}\n\n{usage}")),
    };
    let (file, is_run) = match order {
        Order::Help => {
            print!("{usage}");
            return ExitCode::SUCCESS;
        }
        Order::Check(file) => (file, false),
        Order::Run(file) => (file, true),
    };
    match check(&file) {
        Err(error) => fail(EXIT_USAGE, &error.to_string()),
        Ok(settings) if is_run => run(settings),
        Ok(_) => ExitCode::SUCCESS,
    }
}

/// Prints an error and gives the exit status.
#[must_use]
pub fn fail(status: u8, text: &str) -> ExitCode {
    eprintln!("{text}");
    ExitCode::from(status)
}

/// Signals that end a process.
#[derive(Debug)]
pub struct EndSignals {
    terminate: Signal,
    interrupt: Signal,
}

/// Starts to listen for the signals that end a process.
///
/// # Errors
///
/// The error of the operating system.
pub fn end_signals() -> std::io::Result<EndSignals> {
    Ok(EndSignals { terminate: signal(SignalKind::terminate())?, interrupt: signal(SignalKind::interrupt())? })
}

impl EndSignals {
    /// Waits for the next signal.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Runs a daemon's future on a runtime of its own with `threads` threads.
///
/// One thread spends less on a request than several that wake each other, and suffices for what a small instance
/// carries.
pub fn block_on(threads: usize, run: impl Future<Output = ExitCode>) -> ExitCode {
    let mut builder = if threads <= 1 {
        tokio::runtime::Builder::new_current_thread()
    } else {
        tokio::runtime::Builder::new_multi_thread()
    };
    match builder.worker_threads(threads.max(1)).enable_all().build() {
        Ok(runtime) => runtime.block_on(run),
        Err(error) => fail(EXIT_FAILURE, &format!("runtime can't be started: {error}")),
    }
}

/// Waits for a signal to end, then runs `drain`; a second signal ends at once.
pub async fn run_until_signal(drain: impl Future<Output = ()>) -> ExitCode {
    let mut signals = match end_signals() {
        Ok(signals) => signals,
        Err(error) => return fail(EXIT_FAILURE, &format!("signals can't be received: {error}")),
    };
    signals.next().await;
    log::info!(event = "drain_asked"; "");
    tokio::select! {
        () = drain => ExitCode::SUCCESS,
        () = signals.next() => ExitCode::from(EXIT_SIGNALLED),
    }
}
