//! Checks of responses that arrive in pieces of any size.

use std::io;

use assert_matches::assert_matches;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};

use super::{BrokenResponse, CheckedStream};
use crate::prelude::*;

const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";

/// A checked connection and its server.
fn connection(answers_head: bool) -> (CheckedStream<DuplexStream>, DuplexStream) {
    let (stream, server) = tokio::io::duplex(1 << 20);
    (CheckedStream::new(stream, Arc::new(answers_head.into())), server)
}

/// Reads what the server sends in these pieces until it closes the connection.
async fn read(answers_head: bool, pieces: &[&[u8]], buf_size: usize) -> io::Result<Vec<u8>> {
    let (mut stream, mut server) = connection(answers_head);
    let (mut read, mut buf) = (Vec::new(), vec![0; buf_size]);
    for piece in pieces {
        server.write_all(piece).await.expect("room");
        let until = read.len() + piece.len();
        while read.len() < until {
            let size = stream.read(&mut buf).await?;
            read.extend_from_slice(&buf[..size]);
        }
    }
    drop(server);
    stream.read_to_end(&mut read).await?;
    Ok(read)
}

fn broken(result: io::Result<Vec<u8>>) -> Option<BrokenResponse> {
    BrokenResponse::find_in(&result.expect_err("a broken response"))
}

/// Guards against verdicts that depend on how a response is cut into reads.
#[tokio::test]
async fn sound_responses_pass_in_pieces_of_any_size() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
                   5\r\nhello\r\n0a;x=y\r\n0123456789\r\n0\r\nTrailer: 1\r\nOther: 2\r\n\r\n";
    for response in [
        format!("{HEAD}hello"),
        format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: a\r\n\r\n{HEAD}hello"),
        chunked.to_owned(),
        "HTTP/1.1 200 OK\r\n\r\nhello until the end\r\n5\r\nhello\r\n".to_owned(),
        "HTTP/1.0 200 OK\n\nhello".to_owned(),
        "HTTP/1.1 204 No Content\r\n\r\n".to_owned(),
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n".to_owned(),
    ] {
        for size in 1..=response.len() {
            let pieces: Vec<&[u8]> = response.as_bytes().chunks(size).collect();
            let whole = read(false, &pieces, 64).await.expect("a sound response");
            assert_eq!(String::from_utf8_lossy(&whole), response, "{size}");
            let whole = read(false, &[response.as_bytes()], size).await;
            assert_eq!(whole.expect("a sound response"), response.as_bytes(), "{size}");
        }
    }
}

/// Guards against a surplus that is missed because the read before it ends with the response.
#[tokio::test]
async fn a_surplus_is_seen_with_buffers_of_any_size() {
    let response = format!("{HEAD}hello!");
    for size in 1..=response.len() {
        let result = read(false, &[response.as_bytes()], size).await;
        assert_eq!(broken(result), Some(BrokenResponse::Surplus), "{size}");
    }
}

/// Guards against a response that is lost because its server sends another one behind it.
#[tokio::test]
async fn a_response_passes_although_another_one_follows() {
    let response = format!("{HEAD}hello");
    for size in [16, 64, response.len(), 1_024] {
        let (mut stream, mut server) = connection(false);
        server.write_all(format!("{response}{response}").as_bytes()).await.expect("room");
        let (mut read, mut buf) = (Vec::new(), vec![0; size]);
        while read.len() < response.len() {
            let size = stream.read(&mut buf).await.expect("the first response");
            read.extend_from_slice(&buf[..size]);
        }
        assert_eq!(read, response.as_bytes());
        let error = stream.read(&mut buf).await.expect_err("the second response");
        assert_eq!(BrokenResponse::find_in(&error), Some(BrokenResponse::SecondResponse));
    }
}

/// Guards against a body that is awaited behind the response to a `HEAD` request.
#[tokio::test]
async fn responses_to_head_have_no_body() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for head in [HEAD, chunked] {
        assert_eq!(
            read(true, &[head.as_bytes(), head.as_bytes()], 64).await.expect("heads").len(),
            2 * head.len()
        );
        let result = read(true, &[format!("{head}hello").as_bytes()], 256).await;
        assert_eq!(broken(result), Some(BrokenResponse::Surplus));
    }
}

/// Guards against a body in chunks that waits for the end of its connection, since its head has lost the
/// transfer coding.
#[tokio::test]
async fn chunks_that_are_not_announced_end_the_connection_at_once() {
    let (mut stream, mut server) = connection(false);
    let response = b"HTTP/1.1 200 OK\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    server.write_all(response).await.expect("room");
    let error = stream.read(&mut [0; 1_024]).await.expect_err("chunks");
    assert_eq!(BrokenResponse::find_in(&error), Some(BrokenResponse::LostCoding));
}

/// Guards against a head that is kept in memory without bounds.
#[tokio::test]
async fn a_head_without_end_is_not_kept() {
    let line = b"X: y\r\n".repeat(1_000);
    let mut pieces: Vec<&[u8]> = vec![b"HTTP/1.1 200 OK\r\n"];
    pieces.extend((0..100).map(|_| &line[..]));
    assert_matches!(
        broken(read(false, &pieces, 8_192).await),
        Some(BrokenResponse::HeadTooLarge | BrokenResponse::Head(_))
    );
}
