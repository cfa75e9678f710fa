//! `chervilledge trace`.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::path::{Path, PathBuf};

use serde_json::{Map, Value, json};

use super::args;
use super::error::Error;

const USAGE: &str = "\
Usage: chervilledge trace ID [FILE ...] [OPTIONS]

Follows a job, a task or a worker through the logs of many processes: every line that names ID, in the order of time.
Reads the files, or standard input without any. What stands before a line's first brace is passed over.

Options:
    --json        Write the lines as they are
    -h, --help    Show this text

Example:
    cat logs/*.log | chervilledge trace 5c0e7a21d94b36f8
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
    let Some(matches) = args::parse(argv, &args::options(), USAGE, out)? else { return Ok(()) };
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
