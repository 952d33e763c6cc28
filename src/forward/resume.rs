//! Resumes an interrupted file download from another target.
//!
//! Two targets may have different versions of a file, and a file joined from parts of both would be
//! corrupt. So a part is appended only if the other target proves that it has the same version: an
//! equal strong ETag, and exactly the missing range. Otherwise the stream ends with an error, and
//! the caller's connection is aborted.

use async_trait::async_trait;
use bytes::Bytes;
use futures::{StreamExt, stream::BoxStream};
use http::{HeaderMap, Method};

use super::{ForwardError, Result, TargetBody, TargetResponse};
use crate::{
    base::{HeaderLine, header},
    prelude::*,
};

/// Targets from which an interrupted file may be resumed.
#[async_trait]
pub trait FallbackTargets: Send {
    /// Returns the response of another target to the same request with `headers` added, or `None`
    /// if no target is left. `error` tells why the previous response could not be used.
    async fn next_response(
        &mut self,
        error: ForwardError,
        headers: &[HeaderLine],
    ) -> Option<TargetResponse>;
}

/// Whether a request is for a whole file. Only such a response can be resumed: if the caller itself
/// asked for a range, the request for the missing bytes would need another range than the one
/// computed here.
pub fn requests_whole_file(method: &Method, headers: &HeaderMap) -> bool {
    method == Method::GET && !headers.contains_key(http::header::RANGE)
}

/// Identifies one version of a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FileVersion {
    etag: Arc<str>,
    length: u64,
}

impl FileVersion {
    /// Returns the version of a whole file, if the response has a strong ETag.
    pub fn from_response(status: u16, headers: &[HeaderLine]) -> Option<Self> {
        let etag = strong_etag(header(headers, "etag")?)?;
        let length = header(headers, "content-length")?.parse().ok()?;
        (status == 200).then(|| Self { etag: etag.into(), length })
    }

    /// Returns the headers that request the remainder of this version from `start` on.
    fn range_request(&self, start: u64) -> [HeaderLine; 2] {
        let range = HeaderLine::new("range", format!("bytes={start}-"));
        [range, HeaderLine::new("if-range", self.etag.clone())]
    }

    /// Whether the response is the remainder of this version from `start` on.
    fn is_remainder(&self, response: &TargetResponse, start: u64) -> bool {
        let range = format!("bytes {start}-{}/{}", self.length.saturating_sub(1), self.length);
        response.status == 206
            && header(&response.headers, "etag").and_then(strong_etag) == Some(&self.etag)
            && header(&response.headers, "content-range") == Some(&range)
    }
}

/// Returns the ETag if it is a strong one. A weak ETag does not guarantee equal bytes.
fn strong_etag(etag: &str) -> Option<&str> {
    (etag.starts_with('"') && etag.ends_with('"') && 2 < etag.len()).then_some(etag)
}

/// The body of a streamed response that is resumed from other targets if its version is known.
pub struct ResumableBody<A> {
    fallbacks: A,
    chunks: BoxStream<'static, Result<Bytes>>,
    version: Option<FileVersion>,
    received: u64,
}

impl<A: FallbackTargets> ResumableBody<A> {
    /// Creates a body of which nothing has been read. Without a version it is never resumed.
    pub fn new(
        chunks: BoxStream<'static, Result<Bytes>>,
        version: Option<FileVersion>,
        fallbacks: A,
    ) -> Self {
        Self { fallbacks, chunks, version, received: 0 }
    }

    /// Returns the targets from which the body is resumed.
    pub fn fallbacks(&mut self) -> &mut A {
        &mut self.fallbacks
    }

    /// Returns the next chunk; `None` only after the last byte of a complete body. An error is
    /// final.
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

    /// Counts the bytes of a chunk. More bytes than the announced length are an error, because then
    /// the rest of the response can't be trusted either.
    fn record_chunk(&mut self, chunk: Bytes) -> Result<Bytes> {
        self.received += chunk.len() as u64;
        match &self.version {
            Some(version) if version.length < self.received => Err(ForwardError::InvalidResponse),
            _ => Ok(chunk),
        }
    }

    /// Whether all bytes were received. Without a version only the upstream detects a truncated
    /// body.
    fn is_complete(&self) -> bool {
        self.version.as_ref().is_none_or(|version| version.length == self.received)
    }

    /// Returns the missing remainder from the first target that has the same version.
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
