use std::io::Write;

use flate2::{Compression, write::GzEncoder};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::*;
use crate::manifest::Part;

/// Id of the part that `Host` has.
const LARGE: &str = "large";

pub(super) fn part(id: &str) -> Option<Part> {
    let text = "10.1.2.0/24 zagreb\n".repeat(4_000);
    (id == LARGE).then(|| Part { text: text.into() })
}

fn gzip(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(bytes).unwrap();
    encoder.finish().unwrap()
}

/// Responds to one call with `body`, declared as gzip.
async fn respond_once(body: Vec<u8>) -> SocketAddr {
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
        // The client closes first, after it has read or refused the response.
        let _ = stream.read(&mut buf).await;
    });
    to
}

async fn request_part(to: SocketAddr) -> Result<PartReply> {
    client("peer-key", "agency").part(to, &PartRequest { id: LARGE.into() }).await
}

/// Length of the whole HTTP response to a call, before decompression.
async fn response_len(to: SocketAddr, more_headers: &str) -> usize {
    let request = PartRequest { id: LARGE.into() };
    let message = Envelope::encode(&"agency".into(), &request).unwrap();
    let call = serde_json::json!({
        "id": 1, "jsonrpc": "2.0", "method": "part", "params": { "message": message },
    });
    post(to, more_headers, call.to_string().as_bytes()).await.len()
}

// Each change sends a part of a manifest to every host of the fleet, so it is sent compressed and
// must decompress to the same content. A host of the previous release does not accept compressed
// responses and gets it uncompressed.
#[tokio::test]
async fn compresses_large_responses_on_request() {
    let server = bind().await;
    let to = server.local_addr();
    assert_eq!(request_part(to).await.unwrap().part, part(LARGE));
    let len = part(LARGE).unwrap().text.len();
    let plain = response_len(to, "").await;
    assert!(len < plain, "{plain} bytes");
    let compressed = response_len(to, "accept-encoding: gzip\r\n").await;
    assert!(compressed < len / 10, "{compressed} bytes");
}

// A faulty or compromised peer responds with a few kilobytes that decompress to far more than the
// message limit. The client must stop at the limit and report it, or it would run out of memory.
#[tokio::test]
async fn rejects_response_that_decompresses_past_limit() {
    let bomb = format!("{{\"jsonrpc\":\"2.0\",\"id\":0,\"result\":\"{}\"}}", "a".repeat(64 << 20));
    let bomb = gzip(bomb.as_bytes());
    assert!(bomb.len() < 128 << 10);
    let why = assert_matches!(
        request_part(respond_once(bomb).await).await,
        Err(PeerError::Unreachable { why, .. }) => why
    );
    assert!(why.contains("limit"), "{why}");
}

// Compressed bytes arrive damaged, truncated or not at all. The client must return an error and
// never a partial response, so that the caller can ask another host.
#[tokio::test]
async fn rejects_damaged_compressed_response() {
    let whole = gzip(&response_json());
    let mut damaged = whole.clone();
    let middle = damaged.len() / 2;
    damaged[middle] ^= 0xff;
    let mut wrong_checksum = whole.clone();
    let checksum = wrong_checksum.len() - 6;
    wrong_checksum[checksum] ^= 0xff;
    let truncated = whole[..whole.len() - 9].to_vec();
    for body in [damaged, wrong_checksum, truncated, b"no gzip at all".to_vec(), Vec::new()] {
        assert_matches!(
            request_part(respond_once(body).await).await,
            Err(PeerError::Unreachable { .. })
        );
    }
    assert_eq!(request_part(respond_once(whole).await).await.unwrap().part, part(LARGE));
}

/// Valid response to the first call of a client, uncompressed.
fn response_json() -> Vec<u8> {
    let reply = PartReply { part: part(LARGE) };
    let result = Envelope::encode(&"agency".into(), &reply).unwrap();
    serde_json::json!({ "id": 0, "jsonrpc": "2.0", "result": result }).to_string().into_bytes()
}

/// Responds to one call per element of `responses`; returns which requests were compressed.
async fn scripted_peer(
    responses: Vec<PeerResponse>,
) -> (SocketAddr, tokio::task::JoinHandle<Vec<bool>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let to = listener.local_addr().unwrap();
    let were_compressed = tokio::spawn(async move {
        let mut were_compressed = Vec::new();
        let mut id = 0;
        for response in responses {
            let (mut stream, _) = listener.accept().await.unwrap();
            were_compressed.push(read_request(&mut stream).await);
            let result = Envelope::encode(&"agency".into(), &digest()).unwrap();
            let json = serde_json::json!({ "id": id, "jsonrpc": "2.0", "result": result });
            let plain = json.to_string().into_bytes();
            let (status, encoding, body) = match response {
                PeerResponse::Gzip => ("200 OK", "content-encoding: gzip\r\n", gzip(&plain)),
                PeerResponse::Plain => ("200 OK", "", plain),
                PeerResponse::Refused => ("400 Bad Request", "", Vec::new()),
            };
            let head = format!(
                "HTTP/1.1 {status}\r\ncontent-type: application/json\r\nconnection: close\r\n\
                 {encoding}content-length: {}\r\n\r\n",
                body.len(),
            );
            stream.write_all(&[head.as_bytes(), &body].concat()).await.unwrap();
            // A refused request closes the connection; request ids start again on the next one.
            id = if status.starts_with("200") { id + 1 } else { 0 };
        }
        were_compressed
    });
    (to, were_compressed)
}

#[derive(Clone, Copy)]
enum PeerResponse {
    Gzip,
    Plain,
    Refused,
}

/// Reads one whole request and returns whether it was compressed.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut request = Vec::new();
    loop {
        let mut buf = vec![0; 4096];
        let count = stream.read(&mut buf).await.unwrap();
        request.extend_from_slice(&buf[..count]);
        let text = String::from_utf8_lossy(&request).into_owned();
        let Some((head, _)) = text.split_once("\r\n\r\n") else { continue };
        let len = head.lines().find_map(|line| line.strip_prefix("content-length: ")).unwrap();
        if head.len() + 4 + len.parse::<usize>().unwrap() <= request.len() {
            return head.contains("content-encoding: gzip");
        }
    }
}

// During a rolling upgrade or downgrade a host may not accept compressed requests. It is sent one
// only after a compressed response, and after a refusal the next request is uncompressed.
#[tokio::test]
async fn compresses_requests_only_for_hosts_that_accept_it() {
    use PeerResponse::{Gzip, Plain, Refused};
    let (to, were_compressed) = scripted_peer(vec![Plain, Gzip, Gzip, Refused, Gzip]).await;
    let client = client("peer-key", "agency");
    for _ in 0..3 {
        assert_eq!(client.exchange(to, &digest()).await, Ok(digest()));
    }
    assert_matches!(client.exchange(to, &digest()).await, Err(PeerError::Unreachable { .. }));
    assert_eq!(client.exchange(to, &digest()).await, Ok(digest()));
    assert_eq!(were_compressed.await.unwrap(), [false, false, true, true, false]);
}

// Against the real server, the second request is compressed and gets the same response as the
// first.
#[tokio::test]
async fn server_accepts_compressed_requests() {
    let server = bind().await;
    let to = server.local_addr();
    let client = client("peer-key", "agency");
    let first = client.exchange(to, &digest()).await.unwrap();
    assert_eq!(client.exchange(to, &digest()).await.unwrap(), first);
    let body = gzip(&exchange_request(&digest()));
    let response = post(to, "content-encoding: gzip\r\n", &body).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

// Requests that decompress to far more than the message limit, are damaged or have an unsupported
// encoding are refused, and the server keeps serving others.
#[tokio::test]
async fn rejects_undecodable_compressed_requests() {
    let server = bind().await;
    let to = server.local_addr();
    let bomb = gzip(&[exchange_request(&digest()), vec![b' '; 64 << 20]].concat());
    assert!(bomb.len() < 128 << 10);
    let mut damaged = gzip(&exchange_request(&digest()));
    let middle = damaged.len() / 2;
    damaged[middle] ^= 0xff;
    for (encoding, body) in [("gzip", bomb), ("gzip", damaged), ("br", exchange_request(&digest()))]
    {
        let response = post(to, &format!("content-encoding: {encoding}\r\n"), &body).await;
        assert!(
            !response.starts_with("HTTP/1.1 200") || response.contains("\"error\""),
            "{response}"
        );
    }
    assert!(client("peer-key", "agency").exchange(to, &digest()).await.is_ok());
}

fn exchange_request(digest: &Digest) -> Vec<u8> {
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
    let mut response = Vec::new();
    // The server may close the connection before it has read a refused request completely.
    let _ = stream.read_to_end(&mut response).await;
    String::from_utf8_lossy(&response).into_owned()
}
