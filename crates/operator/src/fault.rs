//! Faults of documents, each with its place.

use std::fmt;

use chervilledge_policy::code::Code;
use chervilledge_policy::id::Name;
use serde::{Deserialize, Serialize};

/// Faults that are listed at most; a document with more of them is hardly a configuration.
const FAULTS_LISTED: usize = 200;

/// Longest document name or path that a fault gives.
const PLACE_MAX_CHARS: usize = 400;

/// Fault of a document.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fault {
    /// Document: `base`, or the name of the overlay's site.
    pub document: Name,
    /// JSON path of the value, such as `$.services.portal.slots`.
    pub path: String,
    /// Kind of fault.
    pub code: Code,
    /// What was expected and what was found.
    pub text: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.json {}: {}: {}", self.document, self.path, self.code, self.text)
    }
}

/// Faults found so far.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    listed: Vec<Fault>,
    found: usize,
}

impl Faults {
    pub(crate) fn push(&mut self, document: &str, path: impl Into<String>, code: Code, text: impl Into<String>) {
        let (document, path) = (clipped(document).into(), clipped(&path.into()).to_owned());
        let fault = Fault { document, path, code, text: text.into() };
        if self.listed.contains(&fault) {
            return;
        }
        self.found += 1;
        if self.listed.len() < FAULTS_LISTED {
            self.listed.push(fault);
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.found == 0
    }

    /// Every fault in the order of document and path, or the end of the list named as such.
    pub(crate) fn finish(mut self) -> Vec<Fault> {
        self.listed.sort();
        let unlisted = self.found - self.listed.len();
        if unlisted > 0 {
            let text = format!("{unlisted} further faults aren't listed");
            self.listed.push(Fault {
                document: "base".into(),
                path: "$".into(),
                code: Code::ConfigurationInvalid,
                text,
            });
        }
        self.listed
    }
}

/// Start of a text, so that names of any length leave a list of bounded size.
fn clipped(text: &str) -> &str {
    text.char_indices().nth(PLACE_MAX_CHARS).map_or(text, |(end, _)| &text[..end])
}

/// Path of a field below `path`.
pub(crate) fn field(path: &str, key: &str) -> String {
    let plain = !key.is_empty() && key.chars().all(|c| c.is_ascii_alphanumeric() || c == '_' || c == '-');
    if plain { format!("{path}.{key}") } else { format!("{path}[{key:?}]") }
}

/// Path of a list's element below `path`.
pub(crate) fn element(path: &str, index: usize) -> String {
    format!("{path}[{index}]")
}
