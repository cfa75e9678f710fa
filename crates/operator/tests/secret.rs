//! Shared secrets.

use std::fs;
use std::path::PathBuf;

use chervilledge_operator::secret::{Error, SECRET_MAX_BYTES, SECRET_MIN_BYTES, Secrets, Source};
use rstest::rstest;

const VALUE: &str = "a-secret-0123456789";

#[rstest]
#[case::shortest(&"x".repeat(SECRET_MIN_BYTES), true)]
#[case::too_short(&"x".repeat(SECRET_MIN_BYTES - 1), false)]
#[case::longest(&"x".repeat(SECRET_MAX_BYTES), true)]
#[case::too_long(&"x".repeat(SECRET_MAX_BYTES + 1), false)]
#[case::white_space("a secret 0123456789", false)]
#[case::not_ascii("a-sécret-0123456789", false)]
fn secrets_have_a_form(#[case] value: &str, #[case] taken: bool) {
    let secrets = Secrets::new(vec![VALUE.to_owned(), value.to_owned()]);
    assert_eq!(secrets.err(), (!taken).then_some(Error::Malformed { index: 1 }));
}

#[test]
fn no_secret_is_no_open_door() {
    assert_eq!(Secrets::open(&[]).err(), Some(Error::Empty));
}

#[test]
fn a_secret_is_read_from_a_file() {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("secret");
    fs::write(&path, format!("{VALUE}\n")).expect("a file can be written");
    let secrets = Secrets::open(&[Source::File(path)]).expect("a well-formed secret");
    assert_eq!(secrets.presented(), VALUE);
    let absent = Secrets::open(&[Source::File("absent".into())]);
    assert!(matches!(absent, Err(Error::File { .. })));
}

#[rstest]
#[case::right(b"Bearer a-secret-0123456789", true)]
#[case::scheme_in_lower_case(b"bearer a-secret-0123456789", true)]
#[case::other_scheme(b"Basic  a-secret-0123456789", false)]
#[case::longer(b"Bearer a-secret-0123456789x", false)]
#[case::bare(b"a-secret-0123456789", false)]
#[case::empty(b"", false)]
fn the_header_carries_a_bearer_secret(#[case] header: &[u8], #[case] accepted: bool) {
    let secrets = Secrets::new(vec![VALUE.to_owned()]).expect("a well-formed secret");
    assert_eq!(secrets.accepts_bearer(header), accepted);
}

#[test]
fn secrets_are_redacted() {
    let source = Source::Value(VALUE.to_owned());
    let secrets = Secrets::open(std::slice::from_ref(&source)).expect("a well-formed secret");
    let malformed = Secrets::new(vec!["secret!".to_owned()]).expect_err("too short");
    let text = format!("{source:?} {secrets:?} {malformed:?} {malformed}");
    assert!(!text.contains("a-secret") && !text.contains("secret!"), "{text}");
}
