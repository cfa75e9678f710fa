//! Directory of one test, in which the command runs.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

use serde_json::Value;

/// Directory of one test.
#[derive(Debug)]
pub struct WorkDir {
    path: PathBuf,
}

impl WorkDir {
    /// Makes an empty directory; the name must be unique among all tests.
    pub fn new(name: &str) -> Self {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        if path.exists() {
            fs::remove_dir_all(&path).expect("an old directory can be removed");
        }
        fs::create_dir_all(&path).expect("a directory can be made");
        Self { path }
    }

    /// Makes a directory with the fitters' documents below `documents`.
    pub fn with_fitters(name: &str) -> Self {
        let dir = Self::new(name);
        let examples = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("examples/fitters");
        fs::create_dir_all(dir.path.join("documents")).expect("a directory can be made");
        for entry in fs::read_dir(examples).expect("the examples are there") {
            let entry = entry.expect("an entry of the directory");
            let to = dir.path.join("documents").join(entry.file_name());
            fs::copy(entry.path(), to).expect("the example can be copied");
        }
        dir
    }

    /// Writes a file.
    pub fn write(&self, name: &str, text: &str) {
        fs::write(self.path.join(name), text).expect("a file can be written");
    }

    /// Tells whether a file exists.
    pub fn has(&self, name: &str) -> bool {
        self.path.join(name).exists()
    }

    /// Changes the JSON of a file.
    pub fn edit(&self, name: &str, edit: impl FnOnce(&mut Value)) {
        let text = fs::read_to_string(self.path.join(name)).expect("the file is there");
        let mut value = serde_json::from_str(&text).expect("the file is JSON");
        edit(&mut value);
        self.write(name, &value.to_string());
    }

    /// Runs the command with arguments that are separated by spaces.
    pub fn run(&self, arguments: &str) -> Run {
        let mut command = Command::new(env!("CARGO_BIN_EXE_chervilledge"));
        command.current_dir(&self.path).args(arguments.split_whitespace());
        Run::from(command.output().expect("the command starts"))
    }
}

/// Result of one run.
#[derive(Debug)]
pub struct Run {
    /// Exit status.
    pub status: i32,
    /// Standard output.
    pub out: String,
    /// Standard error output.
    pub err: String,
}

impl Run {
    /// Standard output as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.out).expect("the output is JSON")
    }
}

impl From<Output> for Run {
    fn from(output: Output) -> Self {
        let text = |bytes| String::from_utf8(bytes).expect("the output is text");
        Self { status: output.status.code().unwrap_or(-1), out: text(output.stdout), err: text(output.stderr) }
    }
}
