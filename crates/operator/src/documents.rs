//! Base document and overlays as the operators write them, before and after their acceptance.

use std::collections::BTreeMap;
use std::fmt;

use chervilledge_policy::id::Name;
use chervilledge_policy::rollout::{Checksum, Stamp};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::config::Document;
use crate::overlay;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Base document and one overlay a site.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Documents {
    /// Document that holds at every site.
    pub base: Value,
    /// Differences of the sites by the site's name; a site without differences has none.
    pub overlays: BTreeMap<Name, Value>,
}

impl Documents {
    /// Canonical text: keys ordered, no white space; equal documents have equal texts.
    #[must_use]
    pub fn canonical(&self) -> String {
        serde_json::json!({ "base": self.base, "overlays": self.overlays }).to_string()
    }

    /// Checksum of the canonical text, by 64-bit FNV-1a.
    ///
    /// It tells documents apart that differ by accident; it is no protection against forgery.
    #[must_use]
    pub fn checksum(&self) -> Checksum {
        Checksum(fnv1a(self.canonical().as_bytes()))
    }

    /// Merged document of a site, neither typed nor checked.
    #[must_use]
    pub fn merged(&self, site: &str) -> Value {
        match self.overlays.get(site) {
            Some(overlay) => overlay::merge(&self.base, overlay),
            None => self.base.clone(),
        }
    }

    /// Configuration in force at a site.
    ///
    /// # Errors
    ///
    /// The site is unknown, or the documents were never checked and have faults.
    pub fn for_site(&self, site: &str) -> Result<Document, SiteError> {
        let document: Document =
            serde_json::from_value(self.merged(site)).map_err(|error| SiteError::Invalid(error.to_string()))?;
        if document.sites.contains_key(site) { Ok(document) } else { Err(SiteError::UnknownSite(site.into())) }
    }
}

/// Reason why a site's configuration can't be given.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SiteError {
    /// The base document has no such site.
    UnknownSite(Name),
    /// The documents have faults; the first one is given.
    Invalid(String),
}

impl fmt::Display for SiteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownSite(site) => write!(f, "site {site} isn't in the base document"),
            Self::Invalid(fault) => write!(f, "the documents have faults: {fault}"),
        }
    }
}

impl std::error::Error for SiteError {}

/// Accepted version of the configuration with its documents.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Accepted {
    /// Version, one higher than the version that it was planned against.
    pub version: u64,
    /// Checksum of `documents`.
    pub checksum: Checksum,
    /// Documents of the version.
    pub documents: Documents,
    /// Operator who accepted the plan.
    pub accepted_by: Name,
    /// Time of the acceptance as the operator's machine gave it, in RFC 3339; for reading only, never compared.
    pub accepted_at: Name,
    /// Checksum of the accepted plan.
    pub plan: Checksum,
}

impl Accepted {
    /// Version and checksum, as processes report them.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        Stamp { version: self.version, checksum: self.checksum }
    }

    /// Tells whether the documents match the checksum.
    #[must_use]
    pub fn is_intact(&self) -> bool {
        self.documents.checksum() == self.checksum
    }
}

/// 64-bit FNV-1a hash.
pub(crate) fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}
