//! Goes on with an interrupted file from another target.
//!
//! Two targets may hold different editions of a file. Joining parts of both gives a file that
//! never was, and a dome would run it. So a part is joined only when the other target proves that
//! it is of the same version: an equal strong ETag, and exactly the range that is missing. Else the
//! stream ends with an error, and the caller's connection is ended uncleanly.

use async_trait::async_trait;
use bytes::Bytes;
use futures::{StreamExt, stream::BoxStream};
use http::{HeaderMap, Method};

use super::{ForwardError, Result, TargetBody, TargetResponse};
use crate::{
    base::{HeaderLine, header},
    prelude::*,
};

/// Where an interrupted file may go on.
#[async_trait]
pub trait FallbackTargets: Send {
    /// The answer of another target to the same request with these headers added, or `None` when no
    /// target may be asked any more. `error` is why the answer before it was of no use.
    async fn next_response(
        &mut self,
        error: ForwardError,
        headers: &[HeaderLine],
    ) -> Option<TargetResponse>;
}

/// Whether a request asks for a whole file. Only its answer can be told from a part: the rest of a
/// part that the caller asked for would need another range than the missing one.
pub fn requests_whole_file(method: &Method, headers: &HeaderMap) -> bool {
    method == Method::GET && !headers.contains_key(http::header::RANGE)
}

/// What names one version of a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FileVersion {
    etag: Arc<str>,
    length: u64,
}

impl FileVersion {
    /// The version of a whole file with a strong validator.
    pub fn from_response(status: u16, headers: &[HeaderLine]) -> Option<Self> {
        let etag = strong_etag(header(headers, "etag")?)?;
        let length = header(headers, "content-length")?.parse().ok()?;
        (status == 200).then(|| Self { etag: etag.into(), length })
    }

    /// The headers that ask for the rest of this version from `start` on.
    fn range_request(&self, start: u64) -> [HeaderLine; 2] {
        let range = HeaderLine::new("range", format!("bytes={start}-"));
        [range, HeaderLine::new("if-range", self.etag.clone())]
    }

    /// Whether the response is the rest of this version from `start` on.
    fn is_remainder(&self, response: &TargetResponse, start: u64) -> bool {
        let range = format!("bytes {start}-{}/{}", self.length.saturating_sub(1), self.length);
        response.status == 206
            && header(&response.headers, "etag").and_then(strong_etag) == Some(&self.etag)
            && header(&response.headers, "content-range") == Some(&range)
    }
}

/// An ETag that promises equal bytes; a weak one does not.
fn strong_etag(etag: &str) -> Option<&str> {
    (etag.starts_with('"') && etag.ends_with('"') && 2 < etag.len()).then_some(etag)
}

/// The body of a streamed answer; it goes on from other targets where its version allows it.
pub struct ResumableBody<A> {
    fallbacks: A,
    chunks: BoxStream<'static, Result<Bytes>>,
    version: Option<FileVersion>,
    received: u64,
}

impl<A: FallbackTargets> ResumableBody<A> {
    /// A body that has not begun; without an version it never goes on elsewhere.
    pub fn new(
        chunks: BoxStream<'static, Result<Bytes>>,
        version: Option<FileVersion>,
        fallbacks: A,
    ) -> Self {
        Self { fallbacks, chunks, version, received: 0 }
    }

    /// What the body goes on from.
    pub fn fallbacks(&mut self) -> &mut A {
        &mut self.fallbacks
    }

    /// The next chunk; `None` only behind the last byte of a whole body. An error is final.
    pub async fn next_chunk(&mut self) -> Option<Result<Bytes>> {
        loop {
            let error = match self.chunks.next().await {
                Some(Ok(chunk)) => return Some(self.record_chunk(chunk)),
                Some(Err(error)) => error,
                None if self.is_complete() => return None,
                None => ForwardError::InvalidResponse,
            };
            match self.resume(error).await {
                Some(chunks) => self.chunks = chunks,
                None => return Some(Err(error)),
            }
        }
    }

    /// A target that sends more than it announced is not to be trusted with the rest either.
    fn record_chunk(&mut self, chunk: Bytes) -> Result<Bytes> {
        self.received += chunk.len() as u64;
        match &self.version {
            Some(version) if version.length < self.received => Err(ForwardError::InvalidResponse),
            _ => Ok(chunk),
        }
    }

    /// Without an version the upstream alone tells a whole body from a short one.
    fn is_complete(&self) -> bool {
        self.version.as_ref().is_none_or(|version| version.length == self.received)
    }

    /// The missing rest from the first target that has the same version.
    async fn resume(
        &mut self,
        mut error: ForwardError,
    ) -> Option<BoxStream<'static, Result<Bytes>>> {
        let version = self.version.as_ref()?;
        let headers = version.range_request(self.received);
        loop {
            let response = self.fallbacks.next_response(error, &headers).await?;
            error = ForwardError::InvalidResponse;
            if !version.is_remainder(&response, self.received) {
                continue;
            }
            if let TargetBody::Stream(chunks) = response.body {
                return Some(chunks);
            }
        }
    }
}
