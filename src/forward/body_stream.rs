//! Streams the body of a response and bounds how long its target may be slow.

use std::time::Instant;

use bytes::Bytes;
use futures::{Stream, stream};
use hyper::body::Incoming;

use super::{ForwardError, Result, connection_limits::Permit};
use crate::{base, prelude::*};

/// Rate in bytes per second below which a body counts as slow.
const MIN_BYTES_PER_SEC: u32 = 1024;

/// The body of a response, and what is left of the time for which it may be slow.
///
/// Only the time in which the target is awaited counts: a file may take longer than its caller's time,
/// and its caller may be slow.
pub(super) struct BodyStream {
    max_silence: Duration,
    /// Holds the connection until the last chunk.
    _permit: Permit,
    rest: Incoming,
    slow_time: Duration,
    max_slow_time: Duration,
}

impl BodyStream {
    /// A body that may be slow for what is left of its caller's time and one silence.
    pub fn new(
        rest: Incoming,
        callers_time: Duration,
        max_silence: Duration,
        permit: Permit,
    ) -> Self {
        let slow_time = callers_time + max_silence;
        Self { max_silence, _permit: permit, rest, slow_time, max_slow_time: slow_time }
    }

    /// Returns the chunks. The stream ends after an error.
    pub fn into_chunks(self) -> impl Stream<Item = Result<Bytes>> + Send + 'static {
        stream::unfold(Some(self), |body| async {
            let mut body = body?;
            match body.next_chunk().await {
                Ok(chunk) => chunk.map(|chunk| (Ok(chunk), Some(body))),
                Err(error) => Some((Err(error), None)),
            }
        })
    }

    async fn next_chunk(&mut self) -> Result<Option<Bytes>> {
        let started = Instant::now();
        let wait = self.max_silence.min(self.slow_time);
        let chunk = tokio::time::timeout(wait, base::next_chunk(&mut self.rest))
            .await
            .map_err(|_| ForwardError::Timeout { sent: true })?
            .map_err(|_| ForwardError::InvalidResponse)?;
        let bytes = chunk.as_ref().map_or(0, Bytes::len);
        let earned = Duration::from_secs(bytes as u64) / MIN_BYTES_PER_SEC;
        let left = self.slow_time.saturating_sub(started.elapsed()) + earned;
        self.slow_time = left.min(self.max_slow_time);
        Ok(chunk)
    }
}
