//! Entries of another writer in the instance list.

use platform::{
    http::{HttpTimeouts, PlatformClient},
    instances::InstanceList,
};
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const SOUND: &str =
    r#"{"address": "127.0.0.1:9", "role": "agent", "data_centre": "a", "state": "live"}"#;
/// Levels of nesting that overflow the stack of a recursive parser.
const DEEP: usize = 100_000;

fn nested() -> String {
    format!("{}{}", "[".repeat(DEEP), "]".repeat(DEEP))
}

// Guards against one odd entry that hides all others, so that changes are no longer followed.
#[test_case(&nested(); "nested")]
#[test_case(&SOUND.replace("127.0.0.1:9", "127.0.0.1:99999"); "port out of range")]
#[test_case(&SOUND.replace("\"a\"", "1e999"); "number out of range")]
#[test_case(&SOUND.replace("live", "asleep"); "unknown state")]
#[test_case("null"; "null")]
#[tokio::test]
async fn odd_entry_hides_no_other(odd: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = PlatformClient::new(listener.local_addr().unwrap(), HttpTimeouts::default());
    let body = format!(r#"{{"instances": [{odd}, {SOUND}]}}"#);
    let length = body.len();
    let served = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
        let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
        stream.write_all(response.as_bytes()).await.unwrap();
    });
    let listing = client.list().await.unwrap();
    assert_eq!((listing.instances.len(), listing.unreadable), (1, 1));
    served.await.unwrap();
}
