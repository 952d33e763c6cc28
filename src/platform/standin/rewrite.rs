//! Responses that a target spoils before it sends them.

use std::io;

use bytes::Bytes;
use tokio::{
    io::{AsyncWrite, AsyncWriteExt},
    time::sleep,
};

use crate::prelude::*;

/// Pause between the pieces of a response, and before its connection closes.
const PAUSE: Duration = Duration::from_millis(10);

/// Replaces a text in a response, and adds one to its end.
#[derive(Clone, Debug, Default)]
pub struct Rewrite {
    /// The connection closes after the response.
    pub closes: bool,
    pub end: Arc<str>,
    pub from: Arc<str>,
    /// Sends the response in two pieces that part in the middle of its head.
    pub in_pieces: bool,
    pub to: Arc<str>,
}

impl Rewrite {
    /// Replaces the first `from`.
    pub fn new(from: impl AsRef<str>, to: impl AsRef<str>) -> Self {
        Self { from: from.as_ref().into(), to: to.as_ref().into(), ..Self::default() }
    }

    /// Adds `end` to the response.
    pub fn with_end(self, end: impl AsRef<str>) -> Self {
        Self { end: end.as_ref().into(), ..self }
    }

    /// The rewritten response; one without the text to replace stays as it is.
    pub fn apply(&self, response: &[u8]) -> Bytes {
        let from = self.from.as_bytes();
        let at = response.windows(from.len().max(1)).position(|window| window == from);
        let Some(at) = at else { return Bytes::copy_from_slice(response) };
        let rest = &response[at + from.len()..];
        [&response[..at], self.to.as_bytes(), rest, self.end.as_bytes()].concat().into()
    }

    /// Sends the rewritten response; returns whether the connection stays open.
    pub(super) async fn send(
        &self,
        stream: &mut (impl AsyncWrite + Unpin),
        response: &[u8],
    ) -> io::Result<bool> {
        let response = self.apply(response);
        let head = response.windows(4).position(|window| window == b"\r\n\r\n");
        if self.in_pieces {
            let middle = head.unwrap_or(response.len()) / 2;
            stream.write_all(&response[..middle]).await?;
            sleep(PAUSE).await;
            stream.write_all(&response[middle..]).await?;
        } else {
            stream.write_all(&response).await?;
        }
        if self.closes {
            sleep(PAUSE).await;
        }
        Ok(!self.closes)
    }
}
