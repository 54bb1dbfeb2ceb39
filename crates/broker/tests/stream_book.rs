//! Streams that a broker keeps for gateways.

use std::time::Duration;

use broker::stream_book::{StreamBook, StreamKeeper, StreamStart};
use decisions::software_version::SoftwareVersion;

fn start(stream: u64, keep: Duration) -> StreamStart {
    StreamStart {
        stream,
        software: SoftwareVersion::new("v1"),
        keep,
    }
}

// Guards against a stream that the gateways lose with the one that served it.
#[test]
fn recorded_stream_is_found_until_its_caller_has_left() {
    let book = StreamBook::new();
    book.record_streams(vec![
        start(1, Duration::from_mins(1)),
        start(2, Duration::ZERO),
    ]);
    assert_eq!(book.find_stream(1), Some(SoftwareVersion::new("v1")));
    assert_eq!(book.find_stream(2), None);
    assert_eq!(book.find_stream(3), None);
}
