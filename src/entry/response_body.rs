//! Reads bodies of responses within bounds: a server may send bytes that never end.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http::StatusCode;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::{KnownTarget, TrafficState, attempt::OutboundRequest, upstream::TargetConnection};
use crate::{
    event_log::{Event, RequestKey},
    placement::{Forecast, HealthSignal},
    prelude::*,
};

/// Bytes of a body from which on no more is held in memory.
pub(super) const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Longest time from the head of a refusal or failure until its body is no longer waited for: several
/// round trips between regions, with a lost packet.
const MAX_BUFFERING_TIME: Duration = Duration::from_secs(1);

/// Result of reading a body; an error means that it broke off.
pub type Result<T> = std::result::Result<T, hyper::Error>;

/// A body as far as it was read.
pub(super) enum ReadBody {
    Whole(Bytes),
    /// The body is too large, or takes too long, to be buffered whole.
    Unfinished {
        start: Bytes,
        rest: Incoming,
    },
}

/// Reads the body of a response. A success is buffered if it is known to be small, so that the
/// request can be retried if it breaks off; a larger one is left unread.
pub(super) async fn buffer_body(status: StatusCode, body: Incoming) -> Result<ReadBody> {
    if !status.is_success() {
        return read_within_bounds(body).await;
    }
    let is_small = |size: u64| size <= MAX_BUFFERED_BYTES as u64;
    if !body.size_hint().exact().is_some_and(is_small) {
        return Ok(ReadBody::Unfinished { start: Bytes::new(), rest: body });
    }
    Ok(ReadBody::Whole(body.collect().await?.to_bytes()))
}

/// Reads a body until it ends, or has exceeded the bounds of bytes or time.
pub(super) async fn read_within_bounds(mut body: Incoming) -> Result<ReadBody> {
    let mut bytes = BytesMut::new();
    let mut read = async || -> Result<bool> {
        while let Some(frame) = body.frame().await.transpose()? {
            // Trailers are hop-by-hop and are not passed on.
            let Ok(data) = frame.into_data() else { continue };
            bytes.extend_from_slice(&data);
            if MAX_BUFFERED_BYTES < bytes.len() {
                return Ok(false);
            }
        }
        Ok(true)
    };
    let is_whole = tokio::time::timeout(MAX_BUFFERING_TIME, read()).await.unwrap_or(Ok(false))?;
    let bytes = bytes.freeze();
    Ok(match is_whole {
        true => ReadBody::Whole(bytes),
        false => ReadBody::Unfinished { start: bytes, rest: body },
    })
}

impl TrafficState {
    /// Returns a connection to the pool at the end of a refusal's body. The body is read in the
    /// background: what the target said is in the head, and the request goes on at once.
    pub(super) fn keep_after_refusal(
        self: &Rc<Self>,
        request: &OutboundRequest,
        target: &Arc<KnownTarget>,
        (body, connection): (Incoming, TargetConnection),
        keep_alive: Option<Duration>,
    ) {
        if body.is_end_stream() {
            let now = self.clock.now();
            return self.pool.borrow_mut().put(target.tag, connection, keep_alive, now);
        }
        let (state, target) = (self.clone(), target.clone());
        let (key, service) = (request.key.clone(), request.service.clone());
        tokio::task::spawn_local(async move {
            match read_within_bounds(body).await {
                Ok(ReadBody::Whole(_)) => {
                    let now = state.clock.now();
                    state.pool.borrow_mut().put(target.tag, connection, keep_alive, now);
                }
                Ok(ReadBody::Unfinished { .. }) => {
                    let reason = "the body of a refusal did not end";
                    state.record_broken_body(&key, &service, &target, &Forecast::default(), reason);
                }
                Err(error) => log::debug!("{}: a refusal broke off: {error}", target.entry.id),
            }
        });
    }

    /// Records that the body of a streamed answer was received completely.
    pub(super) fn record_body_end(&self, target: &KnownTarget) {
        let mut target_health = self.target_health.borrow_mut();
        let health = target_health.entry(target.tag).or_default();
        if health.record_complete(self.clock.now()).is_some() {
            let target = target.entry.id.clone();
            self.events.record(None, Event::TargetTrusted { target });
        }
    }

    /// Records that a body broke off, or did not end. Counts as a failure of its target.
    pub(super) fn record_broken_body(
        &self,
        key: &RequestKey,
        service: &ServiceId,
        target: &KnownTarget,
        forecast: &Forecast,
        reason: &str,
    ) {
        let event = Event::StreamBroken {
            reason: reason.into(),
            service: service.clone(),
            target: target.entry.id.clone(),
        };
        self.record(key, event);
        self.record_attempt_end(target, service, forecast, HealthSignal::Failed);
    }
}
