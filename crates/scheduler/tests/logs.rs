//! Grouping of log lines into writes.

use chervilledge_scheduler::logs::{FIELD_BYTES_MAX, bounded, chunks};
use rstest::rstest;

/// Number of bytes that a pipe accepts atomically.
const PIPE_BUF: usize = 4_096;

fn line(length: usize) -> Vec<u8> {
    let mut line = vec![b'x'; length - 1];
    line.push(b'\n');
    line
}

/// A write larger than a pipe accepts atomically may be split in the middle of a line.
#[rstest]
#[case::one(&[300])]
#[case::many(&[300; 200])]
#[case::exact(&[2_048, 2_048, 1, 4_096, 1])]
#[case::long(&[300, 9_000, 300])]
fn no_line_is_cut_between_two_writes(#[case] lengths: &[usize]) {
    let lines: Vec<Vec<u8>> = lengths.iter().map(|length| line(*length)).collect();
    let chunks = chunks(&lines);
    assert_eq!(chunks.concat(), lines.concat());
    for chunk in chunks {
        assert!(chunk.ends_with(b"\n"));
        assert!(chunk.len() <= PIPE_BUF || lines.contains(&chunk), "{} bytes", chunk.len());
    }
}

/// An error that quotes a text of a megabyte would push out the lines of other events.
#[rstest]
#[case::ascii("x")]
#[case::three_bytes("\u{20ac}")]
fn no_malformed_text_makes_a_long_line(#[case] character: &str) {
    let text = serde_json::json!(character.repeat(1 << 20));
    let error = serde_json::from_value::<u64>(text).expect_err("no number").to_string();
    assert!(error.len() > FIELD_BYTES_MAX);
    assert!((FIELD_BYTES_MAX - 2..=FIELD_BYTES_MAX).contains(&bounded(error).len()));
}
