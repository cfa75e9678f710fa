//! Check of a whole configuration: every fault at once, and nothing taken if there is any.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::Path;

use chervilledge_policy::capacity::Resources;
use chervilledge_policy::code::Code;
use chervilledge_policy::id::Name;
use serde_json::Value;

use crate::config::{Document, Site};
use crate::documents::Documents;
use crate::fault::{Fault, Faults, element, field};
use crate::shape::{BASE, OVERLAY, Walk};
use crate::strict;

/// Name of the base document among the texts.
pub const BASE_DOCUMENT: &str = "base";
/// Largest canonical text of all documents together, so that one row holds them.
pub const DOCUMENTS_LIMIT_BYTES: usize = 256 * 1024;
/// Ending of the files that hold documents.
const FILE_SUFFIX: &str = ".json";

/// Documents without any fault, with the configuration that each site gets from them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Checked {
    /// The documents.
    pub documents: Documents,
    /// Configuration in force at each site.
    pub sites: BTreeMap<Name, Document>,
}

/// Reads the texts of a directory: `base.json` and one file for each overlay, by name without the ending.
///
/// # Errors
///
/// The directory or one of the files can't be read. Files with other endings are left alone.
pub fn read_dir(dir: &Path) -> io::Result<BTreeMap<Name, String>> {
    let mut texts = BTreeMap::new();
    for entry in fs::read_dir(dir)? {
        let entry = entry?;
        let name = entry.file_name();
        if let Some(stem) = name.to_str().and_then(|name| name.strip_suffix(FILE_SUFFIX)) {
            texts.insert(Name::from(stem), fs::read_to_string(entry.path())?);
        }
    }
    Ok(texts)
}

/// Checks texts, by the name of their document.
///
/// # Errors
///
/// Every fault of all documents; faults between documents are looked for once each document has none of its own.
pub fn check_texts(texts: &BTreeMap<Name, String>) -> Result<Checked, Vec<Fault>> {
    let mut faults = Faults::default();
    let mut values: BTreeMap<Name, Value> = BTreeMap::new();
    for (name, text) in texts {
        if let Some(value) = strict::parse(name, text, &mut faults) {
            values.insert(Name::clone(name), value);
        }
    }
    let base = values.remove(BASE_DOCUMENT);
    if base.is_none() && !texts.contains_key(BASE_DOCUMENT) {
        faults.push(BASE_DOCUMENT, "$", Code::MissingField, "the base document is required");
    }
    check_values(base, values, faults)
}

/// Checks documents that are parsed already, such as those that an operator sends.
///
/// # Errors
///
/// Every fault of all documents.
pub fn check(documents: &Documents) -> Result<Checked, Vec<Fault>> {
    check_values(Some(documents.base.clone()), documents.overlays.clone(), Faults::default())
}

fn check_values(
    base: Option<Value>,
    overlays: BTreeMap<Name, Value>,
    mut faults: Faults,
) -> Result<Checked, Vec<Fault>> {
    for (site, overlay) in &overlays {
        Walk { document: site, partial: true, faults: &mut faults }.value(overlay, &OVERLAY, "$");
    }
    let Some(base) = base else { return Err(faults.finish()) };
    Walk { document: BASE_DOCUMENT, partial: false, faults: &mut faults }.value(&base, &BASE, "$");
    for (site, overlay) in &overlays {
        check_references(&base, site, overlay, &mut faults);
    }
    let documents = Documents { base, overlays };
    check_size(&documents, &mut faults);
    if !faults.is_empty() {
        return Err(faults.finish());
    }
    check_meaning(documents, faults)
}

fn check_size(documents: &Documents, faults: &mut Faults) {
    let size = documents.canonical().len();
    if size > DOCUMENTS_LIMIT_BYTES {
        let text = format!("the documents have {size} bytes, {DOCUMENTS_LIMIT_BYTES} are allowed");
        faults.push(BASE_DOCUMENT, "$", Code::DocumentTooLarge, text);
    }
}

/// Refuses an overlay for an unknown site, and names that the base document lacks.
fn check_references(base: &Value, site: &Name, overlay: &Value, faults: &mut Faults) {
    let known = |section: &str, name: &str| base.get(section).is_some_and(|names| names.get(name).is_some());
    if !known("sites", site) {
        faults.push(site, "$", Code::UnknownSite, "the base document has no such site");
    }
    for section in ["services", "teams", "batch_kinds"] {
        let Some(Value::Object(names)) = overlay.get(section) else { continue };
        for name in names.keys().filter(|name| !known(section, name)) {
            let path = field(&field("$", section), name);
            faults.push(site, path, Code::UnknownName, "an overlay only changes what the base document has");
        }
    }
}

fn check_meaning(documents: Documents, mut faults: Faults) -> Result<Checked, Vec<Fault>> {
    let mut sites = BTreeMap::new();
    for site in site_names(&documents.base) {
        match documents.for_site(&site) {
            Ok(document) => {
                sites.insert(site, document);
            }
            Err(error) => faults.push(BASE_DOCUMENT, "$", Code::ConfigurationInvalid, error.to_string()),
        }
    }
    if sites.is_empty() {
        faults.push(BASE_DOCUMENT, "$.sites", Code::OutOfRange, "at least one site is required");
    }
    for (site, document) in &sites {
        let mut scope = Scope { site, overlay: documents.overlays.get(site), faults: &mut faults };
        scope.services(document);
        scope.colocation(document);
        scope.quotas(document);
    }
    if let Some(document) = sites.values().next() {
        check_failure_domains(document, &mut faults);
    }
    check_batch_kinds(&sites, &documents, &mut faults);
    if faults.is_empty() { Ok(Checked { documents, sites }) } else { Err(faults.finish()) }
}

fn site_names(base: &Value) -> Vec<Name> {
    let sites = base.get("sites").and_then(Value::as_object);
    sites.map(|sites| sites.keys().map(|site| Name::from(site.as_str())).collect()).unwrap_or_default()
}

/// A failure domain belongs to one site only.
fn check_failure_domains(document: &Document, faults: &mut Faults) {
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    for (name, site) in &document.sites {
        for (index, domain) in site.failure_domains.iter().enumerate() {
            if let Some(owner) = owners.insert(domain, name) {
                let path = element(&format!("$.sites.{name}.failure_domains"), index);
                faults.push(BASE_DOCUMENT, path, Code::Duplicate, format!("{domain} belongs to site {owner}"));
            }
        }
    }
}

/// A batch kind must fit on a worker of some site; elsewhere its tasks are refused one by one.
fn check_batch_kinds(sites: &BTreeMap<Name, Document>, documents: &Documents, faults: &mut Faults) {
    let Some(names) = sites.values().next().map(|document| document.batch_kinds.keys()) else { return };
    for name in names {
        let fits = |(site, document): (&Name, &Document)| {
            let workers = document.sites.get(site).into_iter().flat_map(|site| site.worker_shapes.values());
            let kind = document.batch_kinds.get(name);
            kind.is_some_and(|kind| workers.into_iter().any(|shape| shape.resources.covers(&kind.resources)))
        };
        if !sites.iter().any(fits) {
            let path = format!("$.batch_kinds.{name}.resources");
            let changed = |overlay: &Value| overlay.pointer(&format!("/batch_kinds/{name}/resources")).is_some();
            let origin = documents.overlays.iter().find(|(_, overlay)| changed(overlay));
            let document = origin.map_or(BASE_DOCUMENT, |(site, _)| site);
            faults.push(document, path, Code::ExceedsWorker, "no worker of any site can hold one task");
        }
    }
}

/// Check of what one site gets.
struct Scope<'a> {
    site: &'a str,
    overlay: Option<&'a Value>,
    faults: &'a mut Faults,
}

impl Scope<'_> {
    fn services(&mut self, document: &Document) {
        let site_workers = document.sites.get(self.site).map_or(0, workers_of);
        for (name, service) in &document.services {
            if service.connections < service.slots {
                let text = format!("{} connections can't fill {} slots", service.connections, service.slots);
                self.push(&["services", name], &["connections", "slots"], Code::Contradiction, text);
            }
            if u64::from(service.workers) > site_workers {
                let text = format!("{} has {site_workers} workers, {} are wanted", self.site, service.workers);
                self.push(&["services", name], &["workers"], Code::Contradiction, text);
            }
        }
    }

    fn colocation(&mut self, document: &Document) {
        let bounds = &document.colocation;
        let fields = &["evict_at_percent", "resume_at_percent", "throttle_at_percent"];
        let (resume, throttle, evict) = (bounds.resume_at_percent, bounds.throttle_at_percent, bounds.evict_at_percent);
        if resume >= throttle {
            let text = format!("resume_at_percent {resume} must be below throttle_at_percent {throttle}");
            self.push(&["colocation"], fields, Code::Contradiction, text);
        }
        if throttle >= evict {
            let text = format!("throttle_at_percent {throttle} must be below evict_at_percent {evict}");
            self.push(&["colocation"], fields, Code::Contradiction, text);
        }
    }

    /// The quotas of all teams together must fit on the site's workers.
    fn quotas(&mut self, document: &Document) {
        let held = document.sites.get(self.site).map_or([0; 3], capacity_of);
        let mut granted = [0; 3];
        for team in document.teams.values() {
            add(&mut granted, &team.quota.resources(), 1);
        }
        for (index, resource) in ["processor_millicores", "memory_bytes", "accelerators"].iter().enumerate() {
            let (granted, held) = (granted[index], held[index]);
            if granted > held {
                let text = format!("{resource}: the teams get {granted} together, {} has {held}", self.site);
                self.push(&["teams"], &[], Code::QuotaExceedsSite, text);
            }
        }
    }

    /// Reports a fault in the overlay if it sets one of the fields, else in the base document.
    fn push(&mut self, place: &[&str], fields: &[&str], code: Code, text: String) {
        let set = self.overlay.and_then(|overlay| place.iter().try_fold(overlay, |value, key| value.get(key)));
        let concerned = set.is_some_and(|set| fields.is_empty() || fields.iter().any(|field| set.get(field).is_some()));
        let document = if concerned { self.site } else { BASE_DOCUMENT };
        let path = place.iter().fold("$".to_owned(), |path, key| field(&path, key));
        self.faults.push(document, path, code, text);
    }
}

fn workers_of(site: &Site) -> u64 {
    site.worker_shapes.values().map(|shape| u64::from(shape.workers)).sum()
}

/// Amounts of all workers of a site; wide enough that no sum overflows.
fn capacity_of(site: &Site) -> [u128; 3] {
    let mut held = [0; 3];
    for shape in site.worker_shapes.values() {
        add(&mut held, &shape.resources, shape.workers);
    }
    held
}

fn add(sums: &mut [u128; 3], resources: &Resources, times: u32) {
    let amounts = [resources.processor_millicores, resources.memory_bytes, u64::from(resources.accelerators)];
    for (sum, amount) in sums.iter_mut().zip(amounts) {
        *sum += u128::from(amount) * u128::from(times);
    }
}
