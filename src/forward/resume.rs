//! Goes on with an interrupted file from another target.
//!
//! Two targets may hold different editions of a file. Joining parts of both gives a file that
//! never was, and a dome would run it. So a part is joined only when the other target proves that
//! it is of the same edition: an equal strong ETag, and exactly the range that is missing. Else the
//! stream ends with an error, and the caller's connection is ended uncleanly.

use async_trait::async_trait;
use bytes::Bytes;
use futures::{
    StreamExt,
    stream::{self, BoxStream},
};

use super::{Attempt, Failure, Reply, ReplyBody, Result, Upstream};
use crate::{
    base::{HeaderLine, header},
    prelude::*,
};

/// Where an interrupted file may go on.
#[async_trait]
pub trait Alternatives: Send {
    /// The same request to another target, or `None` when there is none left.
    async fn next(&mut self) -> Option<Attempt>;
}

/// Gives `first` with a body that goes on from other targets when it breaks off.
pub fn resuming(
    upstream: Arc<dyn Upstream>,
    first: Reply,
    alternatives: Box<dyn Alternatives>,
) -> Reply {
    let Some(edition) = Edition::of(&first) else { return first };
    let ReplyBody::Stream(chunks) = first.body else { return first };
    let file = File { alternatives, chunks, edition, received: 0, upstream };
    let body = stream::unfold(Some(file), |file| async move { file?.step().await });
    Reply { body: ReplyBody::Stream(body.boxed()), ..first }
}

/// What names one edition of a file.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Edition {
    etag: Arc<str>,
    length: u64,
}

impl Edition {
    /// The edition of a whole file with a strong validator.
    fn of(reply: &Reply) -> Option<Self> {
        let etag = strong(header(&reply.headers, "etag")?)?;
        let length = header(&reply.headers, "content-length")?.parse().ok()?;
        (reply.status == 200).then(|| Self { etag: etag.into(), length })
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

struct File {
    alternatives: Box<dyn Alternatives>,
    chunks: BoxStream<'static, Result<Bytes>>,
    edition: Edition,
    received: u64,
    upstream: Arc<dyn Upstream>,
}

impl File {
    /// The next chunk; after an error there is no next step.
    async fn step(mut self) -> Option<(Result<Bytes>, Option<Self>)> {
        loop {
            let failure = match self.chunks.next().await {
                Some(Ok(chunk)) => {
                    self.received += chunk.len() as u64;
                    if self.edition.length < self.received {
                        return Some((Err(Failure::Broken), None));
                    }
                    return Some((Ok(chunk), Some(self)));
                }
                Some(Err(failure)) => failure,
                None if self.received == self.edition.length => return None,
                None => Failure::Broken,
            };
            match self.rest().await {
                Some(chunks) => self.chunks = chunks,
                None => return Some((Err(failure), None)),
            }
        }
    }

    /// The missing rest from the first target that has the same edition.
    async fn rest(&mut self) -> Option<BoxStream<'static, Result<Bytes>>> {
        while let Some(mut attempt) = self.alternatives.next().await {
            attempt.headers.retain(|line| !matches!(&*line.name, "if-range" | "range"));
            let range = format!("bytes={}-", self.received);
            attempt.headers.push(HeaderLine::new("range", range));
            attempt.headers.push(HeaderLine::new("if-range", self.edition.etag.clone()));
            attempt.whole = false;
            let Ok(reply) = self.upstream.send(attempt).await else { continue };
            if !self.edition.is_rest(&reply, self.received) {
                continue;
            }
            if let ReplyBody::Stream(chunks) = reply.body {
                return Some(chunks);
            }
        }
        None
    }
}
