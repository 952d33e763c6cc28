//! Goes on with an interrupted file from another target.
//!
//! Two targets may hold different editions of a file. Joining parts of both gives a file that
//! never was, and a dome would run it. So a part is joined only when the other target proves that
//! it is of the same edition: an equal strong ETag, and exactly the range that is missing. Else the
//! stream ends with an error, and the caller's connection is ended uncleanly.

use async_trait::async_trait;
use bytes::Bytes;
use futures::{StreamExt, stream::BoxStream};
use http::{HeaderMap, Method};

use super::{Failure, Reply, ReplyBody, Result};
use crate::{
    base::{HeaderLine, header},
    prelude::*,
};

/// Where an interrupted file may go on.
#[async_trait]
pub trait Alternatives: Send {
    /// The answer of another target to the same request with these lines added, or `None` when no
    /// target may be asked any more. `failure` is why the answer before it was of no use.
    async fn next(&mut self, failure: Failure, lines: &[HeaderLine]) -> Option<Reply>;
}

/// Whether a request asks for a whole file. Only its answer can be told from a part: the rest of a
/// part that the caller asked for would need another range than the missing one.
pub fn asks_for_whole(method: &Method, headers: &HeaderMap) -> bool {
    method == Method::GET && !headers.contains_key(http::header::RANGE)
}

/// What names one edition of a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Edition {
    etag: Arc<str>,
    length: u64,
}

impl Edition {
    /// The edition of a whole file with a strong validator.
    pub fn of(status: u16, headers: &[HeaderLine]) -> Option<Self> {
        let etag = strong(header(headers, "etag")?)?;
        let length = header(headers, "content-length")?.parse().ok()?;
        (status == 200).then(|| Self { etag: etag.into(), length })
    }

    /// The lines that ask for the rest of this edition from `start` on.
    fn ask(&self, start: u64) -> [HeaderLine; 2] {
        let range = HeaderLine::new("range", format!("bytes={start}-"));
        [range, HeaderLine::new("if-range", self.etag.clone())]
    }

    /// Whether the reply is the rest of this edition from `start` on.
    fn is_rest(&self, reply: &Reply, start: u64) -> bool {
        let range = format!("bytes {start}-{}/{}", self.length.saturating_sub(1), self.length);
        reply.status == 206
            && header(&reply.headers, "etag").and_then(strong) == Some(&self.etag)
            && header(&reply.headers, "content-range") == Some(&range)
    }
}

/// An ETag that promises equal bytes; a weak one does not.
fn strong(etag: &str) -> Option<&str> {
    (etag.starts_with('"') && etag.ends_with('"') && 2 < etag.len()).then_some(etag)
}

/// The body of a streamed answer; it goes on from other targets where its edition allows it.
pub struct ResumedBody<A> {
    alternatives: A,
    chunks: BoxStream<'static, Result<Bytes>>,
    edition: Option<Edition>,
    received: u64,
}

impl<A: Alternatives> ResumedBody<A> {
    /// A body that has not begun; without an edition it never goes on elsewhere.
    pub fn new(
        chunks: BoxStream<'static, Result<Bytes>>,
        edition: Option<Edition>,
        alternatives: A,
    ) -> Self {
        Self { alternatives, chunks, edition, received: 0 }
    }

    /// What the body goes on from.
    pub fn alternatives(&mut self) -> &mut A {
        &mut self.alternatives
    }

    /// The next chunk; `None` only behind the last byte of a whole body. An error is final.
    pub async fn chunk(&mut self) -> Option<Result<Bytes>> {
        loop {
            let failure = match self.chunks.next().await {
                Some(Ok(chunk)) => return Some(self.count(chunk)),
                Some(Err(failure)) => failure,
                None if self.is_whole() => return None,
                None => Failure::Broken,
            };
            match self.rest(failure).await {
                Some(chunks) => self.chunks = chunks,
                None => return Some(Err(failure)),
            }
        }
    }

    /// A target that sends more than it announced is not to be trusted with the rest either.
    fn count(&mut self, chunk: Bytes) -> Result<Bytes> {
        self.received += chunk.len() as u64;
        match &self.edition {
            Some(edition) if edition.length < self.received => Err(Failure::Broken),
            _ => Ok(chunk),
        }
    }

    /// Without an edition the upstream alone tells a whole body from a short one.
    fn is_whole(&self) -> bool {
        self.edition.as_ref().is_none_or(|edition| edition.length == self.received)
    }

    /// The missing rest from the first target that has the same edition.
    async fn rest(&mut self, mut failure: Failure) -> Option<BoxStream<'static, Result<Bytes>>> {
        let edition = self.edition.as_ref()?;
        let lines = edition.ask(self.received);
        loop {
            let reply = self.alternatives.next(failure, &lines).await?;
            failure = Failure::Broken;
            if !edition.is_rest(&reply, self.received) {
                continue;
            }
            if let ReplyBody::Stream(chunks) = reply.body {
                return Some(chunks);
            }
        }
    }
}
