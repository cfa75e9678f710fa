//! Documents of the fitters' example.

use std::path::PathBuf;
use std::sync::LazyLock;

use chervilledge_operator::check;
use chervilledge_operator::documents::Documents;
use serde_json::json;

/// Read once for the many cases.
static FITTERS: LazyLock<Documents> = LazyLock::new(|| {
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/fitters");
    let texts = check::read_dir(&dir).expect("the examples are there");
    check::check_texts(&texts).expect("the examples have no fault").documents
});

/// Documents as they are.
pub fn fitters() -> Documents {
    FITTERS.clone()
}

/// Documents with another latency target of the portal.
pub fn with_target(latency_target_ms: u64) -> Documents {
    let mut documents = fitters();
    documents.base["services"]["portal"]["latency_target_ms"] = json!(latency_target_ms);
    documents
}
