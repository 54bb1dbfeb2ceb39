//! Splitting of event streams.

use bytes::Bytes;
use gateway::sse::{EventOverflow, EventSplitter};
use test_case::test_case;

const LIMIT: usize = 64;
const STREAM: &[u8] =
    b": hello\n\nid: 1\ndata: a\n\n\n\n: c\n\nid: 2\ndata: b\r\n\r\nid: 3\ndata: c\n\n";

/// Events of the bytes when they arrive in pieces of a length.
fn split(bytes: &[u8], length: usize) -> Result<Vec<Bytes>, EventOverflow> {
    let mut splitter = EventSplitter::new(LIMIT);
    let mut parts = Vec::new();
    for piece in bytes.chunks(length) {
        parts.extend(splitter.push(piece)?);
    }
    assert_eq!(splitter.finish(), None);
    Ok(parts)
}

// Guards against events that are cut, lost or repeated because of the way in which bytes arrive.
#[test]
fn any_pieces_give_the_same_bytes() {
    for length in 1..=STREAM.len() {
        let parts = split(STREAM, length).unwrap();
        assert_eq!(parts.concat(), STREAM, "pieces of {length}");
        for part in parts {
            assert!(part.ends_with(b"\n\n") || part.ends_with(b"\r\n\r\n"));
        }
    }
}

// Guards against a stream that is resumed after an event that its caller never got.
#[test]
fn newest_id_is_that_of_the_last_complete_event() {
    let mut splitter = EventSplitter::new(LIMIT);
    assert_eq!(splitter.last_id(), None);
    splitter.push(b"id: 7\ndata: a\n\nid: 8\ndata: ").unwrap();
    assert_eq!(splitter.last_id(), Some(7));
    assert!(splitter.has_partial());
    splitter.discard_partial();
    assert!(!splitter.has_partial());
    splitter.push(b"id: 8\ndata: b\n\n").unwrap();
    assert_eq!(splitter.last_id(), Some(8));
}

// Guards against a stream that looks complete although it ended within an event, be it in a comment
// line or in the line end after one.
#[test_case(b"id: 2\ndata: b\n\n"; "fields")]
#[test_case(b": keep-alive\nid: 2\ndata: b\n\n"; "a comment before the fields")]
#[test_case(b"id: 2\n: keep-alive\ndata: b\n\n"; "a comment between the fields")]
#[test_case(b": keep-alive\r\nid: 2\r\ndata: b\r\n\r\n"; "lines that end with a carriage return")]
#[test_case(b": keep-alive\n\n"; "a comment alone")]
#[test_case(b"\r\n"; "a blank line with a carriage return")]
fn any_part_of_an_event_is_partial(event: &[u8]) {
    for length in 1..event.len() {
        let mut splitter = EventSplitter::new(LIMIT);
        splitter.push(b"id: 1\ndata: a\n\n").unwrap();
        splitter.push(&event[..length]).unwrap();
        assert!(splitter.has_partial(), "{length} bytes");
        splitter.push(&event[length..]).unwrap();
        assert!(!splitter.has_partial(), "{length} bytes and the rest");
    }
}

// Guards against bytes without end that are kept or passed on.
#[test_case(b"data: no end "; "event")]
#[test_case(b": comment\n\n"; "comments")]
#[test_case(b"\n"; "blank lines")]
#[test_case(b"\r\n\r\n"; "blank lines with carriage returns")]
fn bytes_without_an_event_exceed_the_limit(repeated: &[u8]) {
    for length in [1, 7, 100] {
        let bytes = repeated.repeat(2 * LIMIT);
        let error = split(&bytes, length).unwrap_err();
        assert!(error.bytes > LIMIT && error.bytes <= LIMIT + length);
    }
}

// Guards against comments that reach the caller without an event.
#[test]
fn comments_wait_for_the_next_event() {
    let mut splitter = EventSplitter::new(LIMIT);
    let first = splitter.push(b"id: 1\ndata: a\n\n: c\n\n\n").unwrap();
    assert_eq!(first.unwrap(), "id: 1\ndata: a\n\n");
    assert!(!splitter.has_partial());
    let second = splitter.push(b"data: b\n\n").unwrap();
    assert_eq!(second.unwrap(), ": c\n\n\ndata: b\n\n");
}

// Guards against counting the bytes of earlier events.
#[test]
fn long_streams_of_short_events_are_within_the_limit() {
    let bytes = b": c\n\nid: 1\ndata: x\n\n".repeat(100);
    assert_eq!(split(&bytes, 5).unwrap().concat(), bytes);
}
