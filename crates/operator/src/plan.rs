//! Plan: what the proposed documents change at each site, against one accepted version.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use chervilledge_policy::id::Name;
use chervilledge_policy::rollout::{Checksum, Stamp};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};

use crate::documents::{Accepted, Documents, fnv1a};
use crate::fault::field;

/// Plan that an operator reviews and accepts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Number of the plan: the version that its acceptance makes.
    pub number: u64,
    /// Version that the plan was made against; none before the first acceptance.
    pub base: Option<Stamp>,
    /// Checksum of the proposed documents.
    pub documents: Checksum,
    /// Checksum of the base version, the proposed documents and the changes.
    pub checksum: Checksum,
    /// Changes in the order of their path.
    pub changes: Vec<Change>,
}

/// One changed value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Path of the value, without the leading `$`.
    pub path: String,
    /// Value so far; none if it is added.
    pub from: Option<Value>,
    /// Proposed value; none if it is removed.
    pub to: Option<Value>,
    /// Sites where it changes; empty for a change of the sites themselves.
    pub sites: Vec<Name>,
    /// The change holds at every site.
    pub everywhere: bool,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.from, &self.to) {
            (Some(from), Some(to)) => write!(f, "~ {}: {from} -> {to}", self.path)?,
            (Some(from), None) => write!(f, "- {}: {from}", self.path)?,
            (None, Some(to)) => write!(f, "+ {}: {to}", self.path)?,
            (None, None) => write!(f, "= {}", self.path)?,
        }
        match (self.everywhere, self.sites.is_empty()) {
            (_, true) => Ok(()),
            (true, false) => f.write_str(" (every site)"),
            (false, false) => write!(f, " ({})", self.sites.join(", ")),
        }
    }
}

impl Plan {
    /// Compares proposed documents with the accepted ones.
    #[must_use]
    pub fn new(current: Option<&Accepted>, proposed: &Documents) -> Self {
        let changes = changes(current.map(|accepted| &accepted.documents), proposed);
        let base = current.map(Accepted::stamp);
        let documents = proposed.checksum();
        let checksum = Checksum(fnv1a(json!([base, documents, changes]).to_string().as_bytes()));
        Self { number: next_version(base), base, documents, checksum, changes }
    }
}

/// Version that follows the base version.
pub(crate) fn next_version(base: Option<Stamp>) -> u64 {
    base.map_or(1, |base| base.version + 1)
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Plan {} checksum {} against ", self.number, self.checksum)?;
        match self.base {
            Some(base) => writeln!(f, "version {} ({})", base.version, base.checksum)?,
            None => writeln!(f, "no accepted version")?,
        }
        for change in &self.changes {
            writeln!(f, "{change}")?;
        }
        match self.changes.len() {
            0 => writeln!(f, "No changes."),
            1 => writeln!(f, "1 change."),
            changes => writeln!(f, "{changes} changes."),
        }
    }
}

/// Value before and after, at one path.
type Difference = (String, Option<Value>, Option<Value>);

fn changes(current: Option<&Documents>, proposed: &Documents) -> Vec<Change> {
    let nowhere = Value::Object(Map::new());
    let before = current.map_or(&nowhere, |current| section(&current.base, &nowhere));
    let mut differences = Vec::new();
    compare(Some(before), Some(section(&proposed.base, &nowhere)), "sites", &mut differences);
    let mut changes: Vec<Change> = differences
        .into_iter()
        .map(|(path, from, to)| Change { path, from, to, sites: Vec::new(), everywhere: true })
        .collect();
    changes.extend(site_changes(current, proposed));
    changes.sort_by(|left, right| left.path.cmp(&right.path).then_with(|| left.sites.cmp(&right.sites)));
    changes
}

fn section<'a>(base: &'a Value, nowhere: &'a Value) -> &'a Value {
    base.get("sites").unwrap_or(nowhere)
}

/// Changes of what the sites get, with equal changes of several sites as one.
fn site_changes(current: Option<&Documents>, proposed: &Documents) -> Vec<Change> {
    let sites = sites(proposed);
    let mut grouped: BTreeMap<(String, String, String), Change> = BTreeMap::new();
    for site in &sites {
        for (path, from, to) in site_differences(current, proposed, site) {
            let key = (path.clone(), format!("{from:?}"), format!("{to:?}"));
            let change = Change { path, from, to, sites: Vec::new(), everywhere: false };
            grouped.entry(key).or_insert(change).sites.push(Name::clone(site));
        }
    }
    let mut changes: Vec<Change> = grouped.into_values().collect();
    for change in &mut changes {
        change.everywhere = change.sites.len() == sites.len();
    }
    changes
}

fn sites(documents: &Documents) -> BTreeSet<Name> {
    let sites = documents.base.get("sites").and_then(Value::as_object);
    sites.into_iter().flat_map(|sites| sites.keys()).map(|site| Name::from(site.as_str())).collect()
}

fn site_differences(current: Option<&Documents>, proposed: &Documents, site: &Name) -> Vec<Difference> {
    let known = current.filter(|current| sites(current).contains(site));
    let before = known.map(|current| without_sites(current.merged(site)));
    let after = without_sites(proposed.merged(site));
    let mut differences = Vec::new();
    compare(before.as_ref(), Some(&after), "", &mut differences);
    differences
}

fn without_sites(mut document: Value) -> Value {
    if let Some(fields) = document.as_object_mut() {
        fields.remove("sites");
    }
    document
}

/// Collects the values that differ, down to the fields that aren't objects.
fn compare(before: Option<&Value>, after: Option<&Value>, path: &str, differences: &mut Vec<Difference>) {
    if before == after {
        return;
    }
    let empty = Map::new();
    let (Some(old), Some(new)) = (fields(before, &empty), fields(after, &empty)) else {
        differences.push((path.to_owned(), before.cloned(), after.cloned()));
        return;
    };
    if old.is_empty() && new.is_empty() {
        differences.push((path.to_owned(), before.cloned(), after.cloned()));
    }
    let keys: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for key in keys {
        compare(old.get(key), new.get(key), &below(path, key), differences);
    }
}

/// Fields of an object, none for an absent value.
fn fields<'a>(value: Option<&'a Value>, empty: &'a Map<String, Value>) -> Option<&'a Map<String, Value>> {
    value.map_or(Some(empty), Value::as_object)
}

fn below(path: &str, key: &str) -> String {
    field(path, key).trim_start_matches('.').to_owned()
}
