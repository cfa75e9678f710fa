//! `chervilledge trace`.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::path::{Path, PathBuf};

use serde_json::{Map, Value, json};

use super::args;
use super::error::Error;
use super::late::Late;

const USAGE: &str = "\
Usage: chervilledge trace ID [FILE ...] [OPTIONS]
       chervilledge trace --late [FILE ...] [OPTIONS]

Follows a job, a task or a worker through the logs of many processes: every line that names ID, in the order of time.
Reads the files, or standard input without any. What stands before a line's first brace is passed over.

With --late, tells for each queue what the time of completed jobs was spent on that missed their objective: in each step,
that of the task that ended last. Reads the same files.

Options:
    --late        Tell why jobs were late
    --json        Write the lines as they are; with --late, the sums
    -h, --help    Show this text

Examples:
    cat logs/*.log | chervilledge trace 5c0e7a21d94b36f8
    chervilledge trace --late logs/*.log
";

/// Fields that have a column of their own, or say nothing that the others don't.
const COLUMNS: [&str; 5] = ["at", "event", "level", "node", "role"];

/// Line that names the identifier.
struct Line {
    at: String,
    fields: Map<String, Value>,
}

/// Runs the subcommand.
pub(crate) fn run(argv: &[String], out: &mut dyn Write) -> Result<(), Error> {
    let mut options = args::options();
    options.optflag("", "late", "");
    let Some(matches) = args::parse(argv, &options, USAGE, out)? else { return Ok(()) };
    if matches.opt_present("late") {
        return run_late(&matches.free, matches.opt_present("json"), out);
    }
    let Some((id, files)) = matches.free.split_first() else {
        return Err(Error::Usage(format!("an identifier is required\n\n{USAGE}")));
    };
    let mut lines = Vec::new();
    if files.is_empty() {
        collect(&mut lines, id, Path::new("-"), io::stdin().lock())?;
    }
    for path in files.iter().map(PathBuf::from) {
        let file = File::open(&path).map_err(|error| fault(&path, &error))?;
        collect(&mut lines, id, &path, BufReader::new(file))?;
    }
    lines.sort_by(|left, right| left.at.cmp(&right.at));
    for line in &lines {
        if matches.opt_present("json") {
            writeln!(out, "{}", json!(line.fields))?;
        } else {
            write_line(line, out)?;
        }
    }
    Ok(())
}

fn run_late(files: &[String], is_json: bool, out: &mut dyn Write) -> Result<(), Error> {
    let mut late = Late::default();
    if files.is_empty() {
        late.read(&mut io::stdin().lock()).map_err(|error| fault(Path::new("-"), &error))?;
    }
    for path in files.iter().map(PathBuf::from) {
        File::open(&path).and_then(|mut file| late.read(&mut file)).map_err(|error| fault(&path, &error))?;
    }
    let report = late.finish();
    if is_json { Ok(writeln!(out, "{}", report.json())?) } else { Ok(report.write(out)?) }
}

fn collect(lines: &mut Vec<Line>, id: &str, path: &Path, reader: impl BufRead) -> Result<(), Error> {
    for text in reader.lines() {
        let text = text.map_err(|error| fault(path, &error))?;
        if !text.contains(id) {
            continue;
        }
        let Some(start) = text.find('{') else { continue };
        // Lines that other programs have written, or that were cut off.
        let Ok(Value::Object(fields)) = serde_json::from_str(&text[start..]) else { continue };
        let at = fields.get("at").and_then(Value::as_str).unwrap_or_default().to_owned();
        lines.push(Line { at, fields });
    }
    Ok(())
}

fn write_line(line: &Line, out: &mut dyn Write) -> Result<(), Error> {
    let text = |name: &str| line.fields.get(name).and_then(Value::as_str).unwrap_or("-");
    write!(out, "{:<13}{:<20}{:<16}", line.at, text("node"), text("event"))?;
    for (name, value) in line.fields.iter().filter(|(name, _)| !COLUMNS.contains(&name.as_str())) {
        match value {
            Value::String(text) => write!(out, " {name}={text}")?,
            other => write!(out, " {name}={other}")?,
        }
    }
    Ok(writeln!(out)?)
}

fn fault(path: &Path, error: &io::Error) -> Error {
    Error::File { path: path.to_owned(), fault: error.to_string() }
}
