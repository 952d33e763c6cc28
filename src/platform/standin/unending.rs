//! Responses of a target's stand-in that never end.

use std::time::Duration;

use bytes::BytesMut;
use tokio::{io::AsyncWriteExt, net::TcpStream};

/// Bytes of one piece of a part that never ends, but for informational responses.
const PIECE_BYTES: usize = 4 * 1024;

/// The part of a response that never ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnendingPart {
    Body,
    /// An extension of the body's first chunk.
    ChunkExtension,
    Head,
    /// Informational responses before the head.
    Informational,
    Trailers,
}

/// A response that never ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unending {
    pub part: UnendingPart,
    /// Pause between two small pieces; zero to send as fast as the peer reads.
    pub pause: Duration,
}

impl Unending {
    /// Sends a response with its part that never ends in place of the rest, until the peer closes the
    /// connection.
    pub async fn send(self, stream: &mut TcpStream, response: &[u8]) {
        let length = b"Content-Length";
        let end = response.windows(length.len()).position(|bytes| bytes == length);
        let head = &response[..end.unwrap_or(response.len())];
        let size = if self.pause.is_zero() { PIECE_BYTES } else { 1 };
        let filler = "x".repeat(size);
        let chunked = "Transfer-Encoding: chunked\r\n\r\n";
        let chunk = format!("{size:x}\r\n{filler}\r\n");
        let (start, piece) = match self.part {
            UnendingPart::Body => ([head, chunked.as_bytes()].concat(), chunk),
            UnendingPart::ChunkExtension => ([head, chunked.as_bytes(), b"1;"].concat(), filler),
            UnendingPart::Head => (head.to_vec(), format!("X-Filler: {filler}\r\n")),
            UnendingPart::Informational => {
                (Vec::new(), "HTTP/1.1 100 Continue\r\n\r\n".repeat(size.div_ceil(32)))
            }
            UnendingPart::Trailers => {
                ([head, chunked.as_bytes(), b"0\r\n"].concat(), format!("X-Filler: {filler}\r\n"))
            }
        };
        let mut next = BytesMut::from(&*start);
        while stream.write_all(&next).await.is_ok() {
            if !self.pause.is_zero() {
                tokio::time::sleep(self.pause).await;
            }
            next = BytesMut::from(piece.as_bytes());
        }
    }
}
