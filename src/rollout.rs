//! Configuration that a process enforces.

use std::sync::{Arc, Mutex};

use chervilledge_link::message::Configuration;
use chervilledge_operator::config::Document;
use chervilledge_operator::documents::Accepted;
use chervilledge_policy::code::Code;
use chervilledge_policy::id::Name;
use chervilledge_policy::rollout::{Rollout, Source, Stamp, Verdict};
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::sync::lock;

/// Configuration in force, with the form in which it is handed on.
#[derive(Debug)]
pub struct InForce {
    /// Version and checksum.
    pub stamp: Stamp,
    /// Documents merged for the process's site.
    pub document: Document,
    /// The accepted version as JSON.
    pub accepted: Name,
}

#[derive(Debug, Default)]
struct Inner {
    rollout: Rollout,
    in_force: Option<Arc<InForce>>,
    /// Versions that were refused because their documents can't be enforced here.
    refused: u64,
}

/// Configuration that a process enforces: the highest version that it has seen.
#[derive(Debug)]
pub struct Enforced {
    site: Name,
    inner: Mutex<Inner>,
    changed: watch::Sender<Option<Stamp>>,
}

impl Enforced {
    /// Starts without any accepted version, for a process of `site`.
    #[must_use]
    pub fn new(site: Name) -> Self {
        Self { site, inner: Mutex::default(), changed: watch::Sender::new(None) }
    }

    /// Configuration in force.
    ///
    /// # Errors
    ///
    /// [`Code::NoConfiguration`] until an accepted version is known.
    pub fn in_force(&self) -> Result<Arc<InForce>, Code> {
        lock(&self.inner).in_force.clone().ok_or(Code::NoConfiguration)
    }

    /// Version in force.
    #[must_use]
    pub fn stamp(&self) -> Option<Stamp> {
        lock(&self.inner).rollout.enforced()
    }

    /// Follows the version in force.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Option<Stamp>> {
        self.changed.subscribe()
    }

    /// Tells whether a version that was announced goes before the one in force.
    #[must_use]
    pub fn lacks(&self, announced: Stamp) -> bool {
        lock(&self.inner).rollout.compare(announced) == Verdict::Adopt
    }

    /// Form in which the version in force is handed on.
    #[must_use]
    pub fn to_hand_on(&self) -> Option<Configuration> {
        let in_force = lock(&self.inner).in_force.clone()?;
        Some(Configuration { stamp: in_force.stamp, accepted: Name::clone(&in_force.accepted) })
    }

    /// The accepted version in force.
    #[must_use]
    pub fn accepted(&self) -> Option<Accepted> {
        let in_force = lock(&self.inner).in_force.clone()?;
        serde_json::from_str(&in_force.accepted).ok()
    }

    /// Copy of the rule's state.
    #[must_use]
    pub fn rollout(&self) -> Rollout {
        lock(&self.inner).rollout.clone()
    }

    /// Takes in a version that came as JSON text.
    pub fn offer_text(&self, text: &str, source: Source) {
        match serde_json::from_str(text) {
            Ok(value) => self.offer_value(value, source),
            Err(error) => self.refuse(&error.to_string()),
        }
    }

    /// Takes in a version that came as JSON.
    pub fn offer_value(&self, value: Value, source: Source) {
        // A poll mostly gives the version in force; its documents need no second look.
        if stamp_of(&value).is_some_and(|stamp| self.is_settled(stamp)) {
            return;
        }
        match serde_json::from_value(value) {
            Ok(accepted) => self.offer(&accepted, source),
            Err(error) => self.refuse(&error.to_string()),
        }
    }

    /// Takes in an accepted version.
    pub fn offer(&self, accepted: &Accepted, source: Source) {
        let stamp = accepted.stamp();
        // The stamp is judged first, since the documents take milliseconds to hash.
        if self.is_settled(stamp) {
            return;
        }
        if !accepted.is_intact() {
            return self.refuse("the documents don't match their checksum");
        }
        if !self.lacks(stamp) {
            return self.note_contradiction(stamp, source);
        }
        match accepted.documents.for_site(&self.site) {
            Ok(document) => self.enforce(accepted, document, source),
            Err(error) => self.refuse(&error.to_string()),
        }
    }

    /// Tells whether a version is the one in force or an older one.
    fn is_settled(&self, stamp: Stamp) -> bool {
        matches!(lock(&self.inner).rollout.compare(stamp), Verdict::Current | Verdict::Older)
    }

    /// Reports two documents under one version.
    fn note_contradiction(&self, stamp: Stamp, source: Source) {
        let verdict = lock(&self.inner).rollout.offer(stamp, source);
        if verdict == Verdict::Contradiction {
            let code = Code::VersionContradiction.number();
            log::error!(event = "configuration_contradiction", code = code, refused:% = stamp; "");
        }
    }

    fn enforce(&self, accepted: &Accepted, document: Document, source: Source) {
        let stamp = accepted.stamp();
        let text = serde_json::json!(accepted).to_string();
        let mut inner = lock(&self.inner);
        // Another thread may have enforced a higher version meanwhile.
        if inner.rollout.offer(stamp, source) != Verdict::Adopt {
            return;
        }
        inner.in_force = Some(Arc::new(InForce { stamp, document, accepted: Name::from(text) }));
        self.changed.send_replace(Some(stamp));
        drop(inner);
        log::info!(event = "configuration_enforced", version = stamp.version, source:? = source; "");
    }

    fn refuse(&self, fault: &str) {
        lock(&self.inner).refused += 1;
        let code = Code::ConfigurationInvalid;
        log::error!(event = "configuration_refused", code = code.number(), fault = fault; "");
    }

    /// Dumps the state as JSON.
    #[must_use]
    pub fn dump(&self) -> Value {
        let inner = lock(&self.inner);
        json!({ "site": self.site, "rollout": inner.rollout, "refused": inner.refused })
    }
}

/// Version and checksum of an accepted version, without a look at its documents.
fn stamp_of(accepted: &Value) -> Option<Stamp> {
    let stamp = json!({ "version": accepted.get("version")?, "checksum": accepted.get("checksum")? });
    serde_json::from_value(stamp).ok()
}
