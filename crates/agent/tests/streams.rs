//! Readers of an output stream: windows, acks and several sessions.

use agent::streams::OutputStream;
use decisions::ids;
use peers::message;

const REQUEST: ids::RequestId = ids::RequestId {
    entry: ids::Incarnation(1),
    sequence: 1,
};

fn text(text: &str) -> message::StreamPart {
    message::StreamPart::Text {
        text: text.into(),
        tokens: 1,
    }
}

const ONE: ids::SessionId = ids::SessionId(1);
const OTHER: ids::SessionId = ids::SessionId(2);

fn ack(received: u64, consumed: u64) -> message::StreamAck {
    message::StreamAck {
        request: REQUEST,
        received,
        consumed,
        is_closed: false,
    }
}

/// Indexes of the parts that a session is sent next.
fn taken(stream: &OutputStream, session: ids::SessionId) -> Vec<u64> {
    let mut events = Vec::new();
    stream.take_unsent(session, 1024, usize::MAX, &mut events);
    events.iter().map(|event| event.index).collect()
}

async fn is_blocked(stream: &OutputStream) -> bool {
    let second = std::time::Duration::from_secs(1);
    let push = tokio::time::timeout(second, stream.push(text("b")));
    push.await.is_err()
}

async fn fill(stream: &OutputStream) {
    for _ in 0..message::STREAM_WINDOW {
        assert!(!is_blocked(stream).await, "the window is full too early");
    }
}

// Guards against a lost poll reply that leaves a gap in the answer.
#[tokio::test]
async fn parts_that_were_not_received_are_sent_again() {
    let stream = OutputStream::new(REQUEST, ONE, false);
    for part in ["a", "b", "c"] {
        assert!(stream.push(text(part)).await);
    }
    assert_eq!(taken(&stream, ONE), [0, 1, 2]);
    stream.acknowledge(ONE, &ack(1, 0));
    assert_eq!(taken(&stream, ONE), [1, 2]);
}

// Guards against a slow caller whose answer grows without bound at the agent.
#[tokio::test(start_paused = true)]
async fn full_window_makes_the_producer_wait() {
    let stream = OutputStream::new(REQUEST, ONE, false);
    fill(&stream).await;
    assert!(is_blocked(&stream).await);
    taken(&stream, ONE);
    stream.acknowledge(ONE, &ack(1, 1));
    assert!(!is_blocked(&stream).await);
}

// Guards against a second reader that takes the stream away from the first.
#[tokio::test]
async fn each_session_reads_a_kept_stream_whole() {
    let stream = OutputStream::new(REQUEST, ONE, true);
    assert!(stream.push(text("a")).await);
    assert_eq!(taken(&stream, ONE), [0]);
    assert!(stream.attach(OTHER));
    assert!(stream.push(text("b")).await);
    assert_eq!(stream.mark_ready_all(), [ONE, OTHER]);
    assert_eq!(taken(&stream, ONE), [1]);
    assert_eq!(taken(&stream, OTHER), [0, 1]);
}

// Guards against a slow reader that delays the other one or gets more than its window, and
// against one that holds the engine after its session or its caller is gone.
#[tokio::test(start_paused = true)]
async fn slow_reader_holds_neither_the_other_nor_the_engine() {
    let stream = OutputStream::new(REQUEST, ONE, true);
    stream.attach(OTHER);
    fill(&stream).await;
    assert!(is_blocked(&stream).await);
    taken(&stream, ONE);
    stream.acknowledge(ONE, &ack(message::STREAM_WINDOW, message::STREAM_WINDOW));
    fill(&stream).await;
    assert_eq!(taken(&stream, OTHER).len() as u64, message::STREAM_WINDOW);
    stream.detach(ONE);
    assert!(is_blocked(&stream).await);
    let mut gone = ack(0, 0);
    gone.is_closed = true;
    stream.acknowledge(OTHER, &gone);
    assert!(!is_blocked(&stream).await);
}

// Guards against an ack of an earlier reader that makes a new one miss the answer.
#[tokio::test]
async fn late_ack_of_an_earlier_reader_is_ignored() {
    let stream = OutputStream::new(REQUEST, ONE, true);
    assert!(stream.push(text("a")).await);
    taken(&stream, ONE);
    stream.attach(ONE);
    stream.acknowledge(ONE, &ack(1, 1));
    assert_eq!(taken(&stream, ONE), [0]);
}
