//! Options that several subcommands share.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

use chervilledge_operator::secret::{Secrets, Source};
use getopts::{Matches, Options};

use super::client::Client;
use super::error::Error;

/// Options that every subcommand has.
pub(crate) fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "").optflag("", "json", "");
    options
}

/// Options of a subcommand that asks an entry.
pub(crate) fn entry_options() -> Options {
    let mut options = options();
    options.optopt("", "entry", "", "ADDRESS").optopt("", "secret-file", "", "FILE");
    options
}

/// Parses the arguments; none if the help was asked for and is written.
pub(crate) fn parse(
    argv: &[String],
    options: &Options,
    usage: &str,
    out: &mut dyn Write,
) -> Result<Option<Matches>, Error> {
    let matches = options.parse(argv).map_err(|error| Error::Usage(format!("{error}\n\n{usage}")))?;
    if matches.opt_present("help") {
        out.write_all(usage.as_bytes())?;
        return Ok(None);
    }
    Ok(Some(matches))
}

/// The only free argument.
pub(crate) fn one_argument(matches: &Matches, usage: &str) -> Result<PathBuf, Error> {
    match matches.free.as_slice() {
        [argument] => Ok(PathBuf::from(argument)),
        others => Err(Error::Usage(format!("one argument is required, {} were given\n\n{usage}", others.len()))),
    }
}

/// The only free argument, as the end of a path.
pub(crate) fn path_argument(matches: &Matches, usage: &str) -> Result<String, Error> {
    let argument = one_argument(matches, usage)?.to_string_lossy().into_owned();
    let is_plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/');
    if !argument.is_empty() && argument.chars().all(is_plain) {
        return Ok(argument);
    }
    Err(Error::Usage(format!("{argument:?} has characters that no name or identifier has\n\n{usage}")))
}

/// Refuses free arguments.
pub(crate) fn no_argument(matches: &Matches, usage: &str) -> Result<(), Error> {
    match matches.free.first() {
        None => Ok(()),
        Some(argument) => Err(Error::Usage(format!("unexpected argument {argument:?}\n\n{usage}"))),
    }
}

/// Client of the entry that the options name.
pub(crate) fn client(matches: &Matches, usage: &str) -> Result<Client, Error> {
    let address = required(matches, "entry", usage)?;
    let address: SocketAddr = address.parse().map_err(|error| {
        Error::Usage(format!("--entry {address:?}: {error}, an IP address with a port is expected\n\n{usage}"))
    })?;
    let file = PathBuf::from(required(matches, "secret-file", usage)?);
    Client::open(address, Secrets::open(&[Source::File(file)])?)
}

/// Value of an option that can't be left out.
pub(crate) fn required(matches: &Matches, name: &str, usage: &str) -> Result<String, Error> {
    matches.opt_str(name).ok_or_else(|| Error::Usage(format!("--{name} is required\n\n{usage}")))
}

/// Tells whether a script reads the output.
pub(crate) fn wants_json(argv: &[String]) -> bool {
    argv.iter().take_while(|argument| *argument != "--").any(|argument| argument == "--json")
}
