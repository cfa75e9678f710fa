//! `chervilledge plan`.

use std::fs;
use std::io::Write;
use std::path::{Path, PathBuf};

use chervilledge_operator::documents::{Accepted, Documents};
use chervilledge_operator::plan::Plan;
use getopts::Matches;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::args;
use super::check::read_checked;
use super::error::Error;

const USAGE: &str = "\
Usage: chervilledge plan DIR --entry ADDRESS --secret-file FILE [OPTIONS]
       chervilledge plan DIR --against FILE [OPTIONS]
       chervilledge plan DIR --first [OPTIONS]

Checks the documents in DIR and shows what they would change at each site, one line for each change:

    + path: value            added
    - path: value            removed
    ~ path: old -> new       changed

Nothing is changed. The plan holds against one accepted version only.

Options:
    --entry ADDRESS       Compare with the version that this entry knows, as IP:PORT
    --secret-file FILE    File with an operators' secret of the entry
    --against FILE        Compare with an accepted version, as 'history VERSION' prints it
    --first               Compare with nothing, for the first acceptance
    --output FILE         Write the plan for 'accept'; not written if nothing changes
    --json                Write JSON
    -h, --help            Show this text

Example:
    chervilledge plan examples/fitters --entry 10.1.0.5:7100 --secret-file operator.secret --output plan.json
";

/// File that `accept` takes.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PlanFile {
    /// Reviewed plan.
    pub(crate) plan: Plan,
    /// Proposed documents.
    pub(crate) documents: Documents,
}

/// Runs the subcommand.
pub(crate) fn run(argv: &[String], out: &mut dyn Write) -> Result<(), Error> {
    let mut options = args::entry_options();
    options.optopt("", "against", "", "FILE").optflag("", "first", "").optopt("", "output", "", "FILE");
    let Some(matches) = args::parse(argv, &options, USAGE, out)? else { return Ok(()) };
    let documents = read_checked(&args::one_argument(&matches, USAGE)?)?.documents;
    let plan = Plan::new(base(&matches)?.as_ref(), &documents);
    if matches.opt_present("json") {
        writeln!(out, "{}", serde_json::json!(plan))?;
    } else {
        write!(out, "{plan}")?;
    }
    let file = PlanFile { plan, documents };
    match matches.opt_str("output") {
        Some(path) if !file.plan.changes.is_empty() => write_plan(&PathBuf::from(path), &file),
        _ => Ok(()),
    }
}

/// Accepted version to compare with.
fn base(matches: &Matches) -> Result<Option<Accepted>, Error> {
    let sources = ["entry", "against", "first"].map(|name| matches.opt_present(name));
    match sources {
        [true, false, false] => from_entry(matches),
        [false, true, false] => read_accepted(Path::new(&args::required(matches, "against", USAGE)?)).map(Some),
        [false, false, true] => Ok(None),
        _ => Err(Error::Usage(format!("one of --entry, --against and --first is required\n\n{USAGE}"))),
    }
}

fn from_entry(matches: &Matches) -> Result<Option<Accepted>, Error> {
    let client = args::client(matches, USAGE)?;
    let answer = client.get("/config")?;
    let accepted = answer.get("accepted").cloned().unwrap_or(Value::Null);
    serde_json::from_value(accepted).map_err(|error| client.fault(format!("answer: {error}")))
}

fn read_accepted(path: &Path) -> Result<Accepted, Error> {
    let accepted: Accepted = read_json(path)?;
    if accepted.is_intact() {
        return Ok(accepted);
    }
    Err(Error::Content { path: path.to_owned(), fault: "the checksum doesn't belong to the documents".to_owned() })
}

fn write_plan(path: &Path, file: &PlanFile) -> Result<(), Error> {
    let text = serde_json::json!(file).to_string() + "\n";
    fs::write(path, text).map_err(|error| Error::File { path: path.to_owned(), fault: error.to_string() })
}

/// Reads a file of JSON.
pub(crate) fn read_json<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text =
        fs::read_to_string(path).map_err(|error| Error::File { path: path.to_owned(), fault: error.to_string() })?;
    serde_json::from_str(&text).map_err(|error| Error::Content { path: path.to_owned(), fault: error.to_string() })
}
