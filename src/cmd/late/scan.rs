//! Search for the log lines that matter, at about the rate at which they can be read.
//!
//! Only lines of [`EVENTS`] are found and given to the caller; all others are passed over without looking for their ends.

use std::io::{self, ErrorKind, Read};

/// Bytes that are read at once, and the longest line that is found; lines of the log have some hundred bytes.
pub const BLOCK_BYTES: usize = 1 << 20;
/// What stands before the name of a line's event. Lines are written without spaces, and quotes within texts are escaped.
const MARK: &[u8] = br#""event":""#;
/// Ends of the marks of lines that matter, with the quote that closes the name.
const EVENTS: [&[u8]; 4] = [br#"job_ended""#, br#"placed""#, br#"run_ended""#, br#"stop_ordered""#];
/// For each byte that may stand where a mark's last byte is expected, by how much the search moves on (Horspool).
const STEPS: [u8; 256] = steps();

#[expect(clippy::cast_possible_truncation, reason = "the mark is short, and the position is below its length")]
const fn steps() -> [u8; 256] {
    let mut steps = [MARK.len() as u8; 256];
    let mut position = 0;
    while position + 1 < MARK.len() {
        steps[MARK[position] as usize] = (MARK.len() - 1 - position) as u8;
        position += 1;
    }
    steps
}

/// Gives every line that matters to `take`, without its end. The last line may lack its end.
///
/// # Errors
///
/// The first error of the reader.
pub fn lines(reader: &mut dyn Read, take: &mut dyn FnMut(&[u8])) -> io::Result<()> {
    let mut block = vec![0; BLOCK_BYTES];
    // Bytes of a line that isn't whole yet, at the block's start.
    let mut begun = 0;
    let mut is_too_long = false;
    loop {
        let read = match reader.read(&mut block[begun..]) {
            Ok(0) => break,
            Ok(read) => read,
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Err(error) => return Err(error),
        };
        let filled = begun + read;
        let Some(end) = block[begun..filled].iter().rposition(|byte| *byte == b'\n') else {
            // The line goes on in the next block. One that exceeds a block isn't ours, and its rest is passed over.
            is_too_long |= filled == block.len();
            begun = if is_too_long { 0 } else { filled };
            continue;
        };
        let end = begun + end + 1;
        let mut whole = &block[..end];
        if is_too_long {
            let rest = whole.iter().position(|byte| *byte == b'\n').map_or(end, |end| end + 1);
            whole = &whole[rest..];
            is_too_long = false;
        }
        find_lines(whole, take);
        block.copy_within(end..filled, 0);
        begun = filled - end;
    }
    if !is_too_long {
        find_lines(&block[..begun], take);
    }
    Ok(())
}

fn find_lines(text: &[u8], take: &mut dyn FnMut(&[u8])) {
    let mut from = 0;
    while let Some(found) = find_mark(&text[from..]) {
        let name = from + found + MARK.len();
        if !EVENTS.iter().any(|event| text[name..].starts_with(event)) {
            from = name;
            continue;
        }
        let start = text[from..name].iter().rposition(|byte| *byte == b'\n').map_or(from, |end| from + end + 1);
        let end = text[name..].iter().position(|byte| *byte == b'\n').map_or(text.len(), |end| name + end);
        take(&text[start..end]);
        from = end;
    }
}

fn find_mark(text: &[u8]) -> Option<usize> {
    let last = MARK.len() - 1;
    let mut at = last;
    while let Some(&byte) = text.get(at) {
        if byte == MARK[last] && text[at - last..].starts_with(MARK) {
            return Some(at - last);
        }
        at += usize::from(STEPS[usize::from(byte)]);
    }
    None
}
