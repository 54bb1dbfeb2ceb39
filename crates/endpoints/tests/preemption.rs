//! Preemption of a generation of the stand-in engine over HTTP.

use std::time;

use decisions::{ids, units};
use endpoints::{
    client::{GenerationCall, ModelEngine, TokenEvent, TokenStream},
    http_engine::HttpEngine,
    stand_in::{EngineOptions, StandInEngine, token_text},
};
use futures::StreamExt;

/// Timeout of the whole test, far above its duration, so that a lost token fails it.
const TEST_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Tokens of the long generation, which would occupy its batch slot for longer than
/// [`TEST_TIMEOUT`].
const LONG_TOKENS: u32 = 100_000;
const SHORT_TOKENS: u32 = 20;

fn generation(sequence: u64, tokens: u32) -> GenerationCall {
    GenerationCall {
        request: ids::RequestId {
            entry: ids::Incarnation(1),
            sequence,
        },
        path: "/v1/completions",
        adapter: "notes@3".parse().unwrap(),
        priority: units::Priority::Normal,
        body: format!(r#"{{"max_tokens": {tokens}}}"#).into_bytes(),
    }
}

async fn take_text(stream: &mut TokenStream, count: usize) -> String {
    let mut texts = String::new();
    for event in stream.take(count).collect::<Vec<_>>().await {
        if let TokenEvent::Text { text, .. } = event.unwrap() {
            texts.push_str(&text);
        }
    }
    texts
}

// Guards against a preempted generation that keeps its batch slot, and against one that loses or
// repeats tokens when it is resumed.
#[tokio::test]
async fn preempted_generation_frees_its_batch_slot_and_resumes() {
    let options = EngineOptions {
        batch_limit: 1,
        ..EngineOptions::default()
    };
    let stand_in = StandInEngine::start(options).await.unwrap();
    let engine = HttpEngine::new(stand_in.address());
    let texts = |tokens: u32| -> String {
        (0..tokens)
            .map(|index| token_text("notes@3", "", index))
            .collect()
    };
    let steps = async {
        let adapter = "notes@3".parse().unwrap();
        engine.load_adapter(&adapter, 1).await.unwrap();
        let (long, short) = (generation(1, LONG_TOKENS), generation(2, SHORT_TOKENS));
        let mut stream = engine.generate(long.clone()).await.unwrap();
        let first = take_text(&mut stream, 3).await;
        engine.preempt(long.request).await.unwrap();
        drop(stream);
        let mut stream = engine.generate(short).await.unwrap();
        assert_eq!(
            take_text(&mut stream, usize::MAX).await,
            texts(SHORT_TOKENS)
        );
        let mut stream = engine.resume(&long, 3).await.unwrap();
        assert_eq!(first + &take_text(&mut stream, 5).await, texts(8));
        // Otherwise the long generation would have ended before the short one got its batch slot.
        assert_eq!(engine.status().await.unwrap().running, 1);
    };
    tokio::time::timeout(TEST_TIMEOUT, steps)
        .await
        .expect("a batch slot is never freed");
    let counts = stand_in.counts();
    assert_eq!(
        (counts.generations, counts.preempted, counts.largest_batch),
        (2, 1, 1)
    );
}
