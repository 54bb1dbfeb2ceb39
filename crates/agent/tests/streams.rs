//! Readers of an output stream: windows, acks and several sessions.

use agent::streams::OutputStream;
use decisions::ids;
use peers::message;

const REQUEST: ids::RequestId = ids::RequestId {
    entry: ids::Incarnation(1),
    sequence: 1,
};

fn text_part(text: &str) -> message::StreamPart {
    message::StreamPart::Text {
        text: text.into(),
        tokens: 1,
    }
}

const FIRST_SESSION: ids::SessionId = ids::SessionId(1);
const SECOND_SESSION: ids::SessionId = ids::SessionId(2);

fn ack(received: u64, consumed: u64) -> message::StreamAck {
    message::StreamAck {
        request: REQUEST,
        received,
        consumed,
        is_closed: false,
    }
}

/// Takes the unsent parts of a session and returns their indexes.
fn take_indexes(stream: &OutputStream, session: ids::SessionId) -> Vec<u64> {
    let mut events = Vec::new();
    stream.take_unsent(session, 1024, usize::MAX, &mut events);
    events.iter().map(|event| event.index).collect()
}

async fn is_blocked(stream: &OutputStream) -> bool {
    let second = std::time::Duration::from_secs(1);
    let push = tokio::time::timeout(second, stream.push(text_part("b")));
    push.await.is_err()
}

async fn fill_window(stream: &OutputStream) {
    for _ in 0..message::STREAM_WINDOW {
        assert!(
            !is_blocked(stream).await,
            "the window is full before STREAM_WINDOW parts"
        );
    }
}

// Guards against a lost poll reply that leaves a gap in the response.
#[tokio::test]
async fn unreceived_parts_are_resent() {
    let stream = OutputStream::new(REQUEST, FIRST_SESSION, false);
    for part in ["a", "b", "c"] {
        assert!(stream.push(text_part(part)).await);
    }
    assert_eq!(take_indexes(&stream, FIRST_SESSION), [0, 1, 2]);
    stream.acknowledge(FIRST_SESSION, &ack(1, 0));
    assert_eq!(take_indexes(&stream, FIRST_SESSION), [1, 2]);
}

// Guards against a slow caller whose buffered response grows without bound.
#[tokio::test(start_paused = true)]
async fn full_window_blocks_the_producer() {
    let stream = OutputStream::new(REQUEST, FIRST_SESSION, false);
    fill_window(&stream).await;
    assert!(is_blocked(&stream).await);
    take_indexes(&stream, FIRST_SESSION);
    stream.acknowledge(FIRST_SESSION, &ack(1, 1));
    assert!(!is_blocked(&stream).await);
}

// Guards against a second reader that takes parts from the first.
#[tokio::test]
async fn each_session_reads_the_whole_kept_stream() {
    let stream = OutputStream::new(REQUEST, FIRST_SESSION, true);
    assert!(stream.push(text_part("a")).await);
    assert_eq!(take_indexes(&stream, FIRST_SESSION), [0]);
    assert!(stream.attach(SECOND_SESSION));
    assert!(stream.push(text_part("b")).await);
    assert_eq!(stream.mark_ready_all(), [FIRST_SESSION, SECOND_SESSION]);
    assert_eq!(take_indexes(&stream, FIRST_SESSION), [1]);
    assert_eq!(take_indexes(&stream, SECOND_SESSION), [0, 1]);
}

// Guards against a slow reader that delays the other one or receives more than its window, and
// against one that blocks the engine after its session or its caller is lost.
#[tokio::test(start_paused = true)]
async fn slow_reader_blocks_neither_other_reader_nor_engine() {
    let stream = OutputStream::new(REQUEST, FIRST_SESSION, true);
    stream.attach(SECOND_SESSION);
    fill_window(&stream).await;
    assert!(is_blocked(&stream).await);
    take_indexes(&stream, FIRST_SESSION);
    stream.acknowledge(
        FIRST_SESSION,
        &ack(message::STREAM_WINDOW, message::STREAM_WINDOW),
    );
    fill_window(&stream).await;
    assert_eq!(
        take_indexes(&stream, SECOND_SESSION).len() as u64,
        message::STREAM_WINDOW
    );
    stream.detach(FIRST_SESSION);
    assert!(is_blocked(&stream).await);
    let mut closed = ack(0, 0);
    closed.is_closed = true;
    stream.acknowledge(SECOND_SESSION, &closed);
    assert!(!is_blocked(&stream).await);
}

// Guards against an ack of a previous reader that makes a new one skip parts.
#[tokio::test]
async fn late_ack_of_previous_reader_is_ignored() {
    let stream = OutputStream::new(REQUEST, FIRST_SESSION, true);
    assert!(stream.push(text_part("a")).await);
    take_indexes(&stream, FIRST_SESSION);
    stream.attach(FIRST_SESSION);
    stream.acknowledge(FIRST_SESSION, &ack(1, 1));
    assert_eq!(take_indexes(&stream, FIRST_SESSION), [0]);
}
