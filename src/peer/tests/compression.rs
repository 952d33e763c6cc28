use std::io::Write;

use flate2::{Compression, write::GzEncoder};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::*;
use crate::manifest::Part;

/// The part that `Host` gives for this name.
const LARGE: &str = "large";

pub(super) fn part(id: &str) -> Option<Part> {
    let text = "10.1.2.0/24 zagreb\n".repeat(4_000);
    (id == LARGE).then(|| Part { text: text.into() })
}

fn packed(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(bytes).unwrap();
    encoder.finish().unwrap()
}

/// Answers one call with `body`, said to be compressed.
async fn answering(body: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let to = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = vec![0; 64 * 1024];
        let _ = stream.read(&mut buf).await;
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-encoding: gzip\r\n\
             content-length: {}\r\n\r\n",
            body.len(),
        );
        let _ = stream.write_all(&[head.as_bytes(), &body].concat()).await;
        // The caller closes first, when it has read or refused the answer.
        let _ = stream.read(&mut buf).await;
    });
    to
}

async fn ask(to: SocketAddr) -> Result<PartReply> {
    client("peer-key", "agency").part(to, &PartRequest { id: LARGE.into() }).await
}

/// The whole answer to a call, as its bytes come over the wire.
async fn raw_answer(to: SocketAddr, more_headers: &str) -> Vec<u8> {
    let request = PartRequest { id: LARGE.into() };
    let message = Envelope::seal(&"agency".into(), &request).unwrap();
    let call = serde_json::json!({
        "id": 1, "jsonrpc": "2.0", "method": "part", "params": { "message": message },
    });
    let body = call.to_string();
    let head = format!(
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\n\
         authorization: Bearer peer-key\r\nconnection: close\r\n{more_headers}\
         content-length: {}\r\n\r\n",
        body.len(),
    );
    let mut stream = TcpStream::connect(to).await.unwrap();
    stream.write_all(&[head.as_bytes(), body.as_bytes()].concat()).await.unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.unwrap();
    answer
}

// A part of a manifest goes to each host of the fleet at each change. It goes compressed, and comes
// out as it was. A host of the release before does not ask for that and gets it plain.
#[tokio::test]
async fn large_answers_are_compressed_for_those_who_ask() {
    let server = bind().await;
    let to = server.local_addr();
    assert_eq!(ask(to).await.unwrap().part, part(LARGE));
    let len = part(LARGE).unwrap().text.len();
    let plain = raw_answer(to, "").await;
    assert!(len < plain.len(), "{} bytes", plain.len());
    let packed = raw_answer(to, "accept-encoding: gzip\r\n").await;
    assert!(packed.len() < len / 10, "{} bytes", packed.len());
}

// A faulty peer, or one that was taken over, answers with a few kilobytes that unpack to far more
// than a message may have. The caller stops at the limit of a message and is told so; without that,
// its memory would be gone.
#[tokio::test]
async fn an_answer_that_unpacks_past_the_limit_is_refused() {
    let bomb = format!("{{\"jsonrpc\":\"2.0\",\"id\":0,\"result\":\"{}\"}}", "a".repeat(64 << 20));
    let bomb = packed(bomb.as_bytes());
    assert!(bomb.len() < 128 << 10);
    let why = assert_matches!(ask(answering(bomb).await).await, Err(PeerError::Unreachable { why, .. }) => why);
    assert!(why.contains("limit"), "{why}");
}

// Compressed bytes come damaged, cut short, or are none. The caller gets an error, never a part of
// an answer, and asks another host.
#[tokio::test]
async fn damaged_compressed_answers_are_refused() {
    let whole = packed(&raw_json());
    let mut damaged = whole.clone();
    let middle = damaged.len() / 2;
    damaged[middle] ^= 0xff;
    let mut wrong_sum = whole.clone();
    let sum = wrong_sum.len() - 6;
    wrong_sum[sum] ^= 0xff;
    let cut = whole[..whole.len() - 9].to_vec();
    for body in [damaged, wrong_sum, cut, b"no gzip at all".to_vec(), Vec::new()] {
        assert_matches!(ask(answering(body).await).await, Err(PeerError::Unreachable { .. }));
    }
    assert_eq!(ask(answering(whole).await).await.unwrap().part, part(LARGE));
}

/// A right answer to the first call of a client, unpacked.
fn raw_json() -> Vec<u8> {
    let reply = PartReply { part: part(LARGE) };
    let result = Envelope::seal(&"agency".into(), &reply).unwrap();
    serde_json::json!({ "id": 0, "jsonrpc": "2.0", "result": result }).to_string().into_bytes()
}
