//! `chervilledge check`.

use std::io::Write;
use std::path::Path;

use chervilledge_operator::check::{self, Checked};
use serde_json::json;

use super::args;
use super::error::Error;

const USAGE: &str = "\
Usage: chervilledge check DIR [OPTIONS]

Finds every fault of the documents in DIR: base.json and one overlay for each site that differs from it, named
SITE.json. Nothing is sent anywhere.

Options:
    --json        Write JSON
    -h, --help    Show this text

Example:
    chervilledge check examples/fitters
";

/// Runs the subcommand.
pub(crate) fn run(argv: &[String], out: &mut dyn Write) -> Result<(), Error> {
    let Some(matches) = args::parse(argv, &args::options(), USAGE, out)? else { return Ok(()) };
    let checked = read_checked(&args::one_argument(&matches, USAGE)?)?;
    let checksum = checked.documents.checksum();
    if matches.opt_present("json") {
        let sites: Vec<_> = checked.sites.keys().collect();
        return Ok(writeln!(out, "{}", json!({ "checksum": checksum, "sites": sites }))?);
    }
    let sites: Vec<&str> = checked.sites.keys().map(|site| &**site).collect();
    Ok(writeln!(out, "No fault. Checksum {checksum}, sites: {}.", sites.join(", "))?)
}

/// Reads and checks the documents of a directory.
pub(crate) fn read_checked(dir: &Path) -> Result<Checked, Error> {
    let texts = check::read_dir(dir).map_err(|error| Error::File { path: dir.to_owned(), fault: error.to_string() })?;
    check::check_texts(&texts).map_err(Error::Faults)
}
