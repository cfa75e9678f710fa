//! Errors of the command, each with its code.

use std::fmt;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;

use chervilledge_operator::accept::Summary;
use chervilledge_operator::fault::Fault;
use chervilledge_operator::secret;
use chervilledge_policy::code::Code;
use serde_json::{Value, json};

/// Reason why the command failed.
#[derive(Debug)]
pub enum Error {
    /// The command line is wrong.
    Usage(String),
    /// A file can't be read or written.
    File {
        /// File or directory.
        path: PathBuf,
        /// What the system answered.
        fault: String,
    },
    /// The secret can't be taken.
    Secret(secret::Error),
    /// A file doesn't hold what the command expects.
    Content {
        /// File.
        path: PathBuf,
        /// What is wrong with it.
        fault: String,
    },
    /// The documents have faults.
    Faults(Vec<Fault>),
    /// The plan doesn't belong to the documents beside it.
    PlanMismatch(PathBuf),
    /// Another plan was accepted first.
    Conflict(Summary),
    /// The entry refused the request.
    Refused {
        /// Code of the refusal.
        code: Code,
        /// Particulars.
        detail: Value,
    },
    /// The entry can't be reached, or its answer broke off or makes no sense.
    Entry {
        /// Address of the entry.
        address: SocketAddr,
        /// What happened.
        fault: String,
    },
    /// The plan may be accepted now or later.
    Unknown,
    /// The output can't be written.
    Output(io::Error),
}

impl Error {
    /// Code of the error.
    #[must_use]
    pub fn code(&self) -> Code {
        match self {
            Self::Usage(_) => Code::Usage,
            Self::File { .. } | Self::Output(_) => Code::FileUnreadable,
            Self::Secret(_) | Self::Content { .. } => Code::SettingsInvalid,
            Self::Faults(_) => Code::ConfigurationInvalid,
            Self::PlanMismatch(_) => Code::PlanMismatch,
            Self::Conflict(_) => Code::PlanConflict,
            Self::Refused { code, .. } => *code,
            Self::Entry { .. } => Code::EntryUnreachable,
            Self::Unknown => Code::WriteUnknown,
        }
    }

    /// Writes the error as JSON; what can't be written is left to the text on the standard error output.
    pub(crate) fn write_json(&self, out: &mut dyn Write) {
        let code = self.code();
        let document = json!({ "code": code.number(), "text": code.text(), "detail": self.detail() });
        if writeln!(out, "{document}").is_err() {
            log::debug!(event = "output_closed"; "");
        }
    }

    fn detail(&self) -> Value {
        match self {
            Self::Faults(faults) => json!({ "faults": faults }),
            Self::Conflict(winner) => json!({ "winner": winner }),
            Self::Refused { detail, .. } => detail.clone(),
            other => json!(other.to_string()),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(text) => f.write_str(text),
            Self::File { path, fault } | Self::Content { path, fault } => write!(f, "{}: {fault}", path.display()),
            Self::Secret(error) => error.fmt(f),
            Self::Faults(faults) => write_faults(f, faults),
            Self::PlanMismatch(path) => write!(f, "{}: {}", path.display(), Code::PlanMismatch),
            Self::Conflict(winner) => write!(
                f,
                "{}: version {} by {} at {}, plan {}; make a new plan",
                Code::PlanConflict,
                winner.version,
                winner.accepted_by,
                winner.accepted_at,
                winner.plan
            ),
            Self::Refused { code, detail: Value::Null } => code.fmt(f),
            Self::Refused { code, detail: Value::String(detail) } => write!(f, "{code}: {detail}"),
            Self::Refused { code, detail } => write!(f, "{code}: {detail}"),
            Self::Entry { address, fault } => write!(f, "entry {address}: {fault}"),
            Self::Unknown => write!(f, "{}; repeat the command to learn the outcome", Code::WriteUnknown),
            Self::Output(error) => write!(f, "output: {error}"),
        }
    }
}

fn write_faults(f: &mut fmt::Formatter<'_>, faults: &[Fault]) -> fmt::Result {
    write!(f, "{}, nothing is taken:", Code::ConfigurationInvalid)?;
    faults.iter().try_for_each(|fault| write!(f, "\n{fault}"))
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Output(error)
    }
}

impl From<secret::Error> for Error {
    fn from(error: secret::Error) -> Self {
        Self::Secret(error)
    }
}

/// Exit status of a code: its first digit, then its last one, or 9 if the remainder exceeds 9.
#[must_use]
pub fn exit_status(code: Code) -> u8 {
    let (class, remainder) = (code.number() / 1000, code.number() % 1000);
    u8::try_from(class * 10 + remainder.min(9)).unwrap_or(u8::MAX)
}
