//! JSON-line logs.

use std::fmt;
use std::path::Path;

use flexi_logger::{FileSpec, FlexiLoggerError, Logger, LoggerHandle};

/// Default filter of log levels; the environment variable `RUST_LOG` goes before it.
const DEFAULT_FILTER: &str = "info";

/// Logs can't be written.
#[derive(Debug)]
pub struct Error(FlexiLoggerError);

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "logs can't be written: {}", self.0)
    }
}

impl std::error::Error for Error {}

/// Running logger; logging stops when it is dropped.
#[expect(missing_debug_implementations, reason = "the library's handle has none")]
pub struct Logs(LoggerHandle);

impl Logs {
    /// Writes what is buffered.
    pub fn flush(&self) {
        self.0.flush();
    }
}

/// Starts logging to a file in `directory`, or to standard error.
///
/// # Errors
///
/// [`Error`] when the file can't be written or a logger runs already.
pub fn open(directory: Option<&Path>, name: &str) -> Result<Logs, Error> {
    let logger = Logger::try_with_env_or_str(DEFAULT_FILTER).map_err(Error)?.format(flexi_logger::json_format);
    let logger = match directory {
        Some(directory) => {
            let file = FileSpec::default().directory(directory).basename(name).suppress_timestamp();
            logger.log_to_file(file).append()
        }
        None => logger.log_to_stderr(),
    };
    logger.start().map(Logs).map_err(Error)
}
