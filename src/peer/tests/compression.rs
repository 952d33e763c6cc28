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

/// Length of the whole answer to a call, as it comes over the wire.
async fn raw_answer(to: SocketAddr, more_headers: &str) -> usize {
    let request = PartRequest { id: LARGE.into() };
    let message = Envelope::encode(&"agency".into(), &request).unwrap();
    let call = serde_json::json!({
        "id": 1, "jsonrpc": "2.0", "method": "part", "params": { "message": message },
    });
    post(to, more_headers, call.to_string().as_bytes()).await.len()
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
    assert!(len < plain, "{plain} bytes");
    let packed = raw_answer(to, "accept-encoding: gzip\r\n").await;
    assert!(packed < len / 10, "{packed} bytes");
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
    let result = Envelope::encode(&"agency".into(), &reply).unwrap();
    serde_json::json!({ "id": 0, "jsonrpc": "2.0", "result": result }).to_string().into_bytes()
}

/// Answers calls in turn, as the list says, and tells which questions came compressed.
async fn peer(answers: Vec<PeerAnswer>) -> (SocketAddr, tokio::task::JoinHandle<Vec<bool>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let to = listener.local_addr().unwrap();
    let seen = tokio::spawn(async move {
        let mut seen = Vec::new();
        let mut id = 0;
        for answer in answers {
            let (mut stream, _) = listener.accept().await.unwrap();
            seen.push(read_question(&mut stream).await);
            let result = Envelope::encode(&"agency".into(), &digest()).unwrap();
            let json = serde_json::json!({ "id": id, "jsonrpc": "2.0", "result": result });
            let plain = json.to_string().into_bytes();
            let (status, encoding, body) = match answer {
                PeerAnswer::Packed => ("200 OK", "content-encoding: gzip\r\n", packed(&plain)),
                PeerAnswer::Plain => ("200 OK", "", plain),
                PeerAnswer::Refused => ("400 Bad Request", "", Vec::new()),
            };
            let head = format!(
                "HTTP/1.1 {status}\r\ncontent-type: application/json\r\nconnection: close\r\n\
                 {encoding}content-length: {}\r\n\r\n",
                body.len(),
            );
            stream.write_all(&[head.as_bytes(), &body].concat()).await.unwrap();
            // A refusal ends the connection, and the next one counts its questions anew.
            id = if status.starts_with("200") { id + 1 } else { 0 };
        }
        seen
    });
    (to, seen)
}

#[derive(Clone, Copy)]
enum PeerAnswer {
    Packed,
    Plain,
    Refused,
}

/// Reads one question to its end; whether it was compressed.
async fn read_question(stream: &mut TcpStream) -> bool {
    let mut question = Vec::new();
    loop {
        let mut buf = vec![0; 4096];
        let count = stream.read(&mut buf).await.unwrap();
        question.extend_from_slice(&buf[..count]);
        let text = String::from_utf8_lossy(&question).into_owned();
        let Some((head, _)) = text.split_once("\r\n\r\n") else { continue };
        let len = head.lines().find_map(|line| line.strip_prefix("content-length: ")).unwrap();
        if head.len() + 4 + len.parse::<usize>().unwrap() <= question.len() {
            return head.contains("content-encoding: gzip");
        }
    }
}

// During a rolling upgrade, or back again, a host does not read compressed questions. It is only
// sent one after it has answered compressed; one that refuses gets the next one plain.
#[tokio::test]
async fn questions_are_compressed_only_for_hosts_that_read_them() {
    use PeerAnswer::{Packed, Plain, Refused};
    let (to, seen) = peer(vec![Plain, Packed, Packed, Refused, Packed]).await;
    let client = client("peer-key", "agency");
    for _ in 0..3 {
        assert_eq!(client.exchange(to, &digest()).await, Ok(digest()));
    }
    assert_matches!(client.exchange(to, &digest()).await, Err(PeerError::Unreachable { .. }));
    assert_eq!(client.exchange(to, &digest()).await, Ok(digest()));
    assert_eq!(seen.await.unwrap(), [false, false, true, true, false]);
}

// The same over a real server: the second question comes compressed and is answered as the first.
#[tokio::test]
async fn a_host_reads_compressed_questions() {
    let server = bind().await;
    let to = server.local_addr();
    let client = client("peer-key", "agency");
    let first = client.exchange(to, &digest()).await.unwrap();
    assert_eq!(client.exchange(to, &digest()).await.unwrap(), first);
    let body = packed(&question(&digest()));
    let answer = post(to, "content-encoding: gzip\r\n", &body).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

// Somebody sends a few kilobytes that unpack to far more than a message may have, damaged bytes, or
// a form that this host does not know. Each is refused, and the host goes on answering.
#[tokio::test]
async fn compressed_questions_that_cannot_be_read_are_refused() {
    let server = bind().await;
    let to = server.local_addr();
    let bomb = packed(&[question(&digest()), vec![b' '; 64 << 20]].concat());
    assert!(bomb.len() < 128 << 10);
    let mut damaged = packed(&question(&digest()));
    let middle = damaged.len() / 2;
    damaged[middle] ^= 0xff;
    for (encoding, body) in [("gzip", bomb), ("gzip", damaged), ("br", question(&digest()))] {
        let answer = post(to, &format!("content-encoding: {encoding}\r\n"), &body).await;
        assert!(!answer.starts_with("HTTP/1.1 200") || answer.contains("\"error\""), "{answer}");
    }
    assert!(client("peer-key", "agency").exchange(to, &digest()).await.is_ok());
}

fn question(digest: &Digest) -> Vec<u8> {
    let message = Envelope::encode(&"agency".into(), digest).unwrap();
    let params = serde_json::json!({ "message": message });
    let call = serde_json::json!({
        "id": 1, "jsonrpc": "2.0", "method": "exchange", "params": params,
    });
    call.to_string().into_bytes()
}

async fn post(to: SocketAddr, more_headers: &str, body: &[u8]) -> String {
    let head = format!(
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\n\
         authorization: Bearer peer-key\r\nconnection: close\r\n{more_headers}\
         content-length: {}\r\n\r\n",
        body.len(),
    );
    let mut stream = TcpStream::connect(to).await.unwrap();
    stream.write_all(&[head.as_bytes(), body].concat()).await.unwrap();
    let mut answer = Vec::new();
    // A refused question may be cut off before it is read whole.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}
