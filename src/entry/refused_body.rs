//! Bodies of requests that were answered before they had arrived.
//!
//! The HTTP library closes a connection with unread bytes. That resets it, and a caller that still
//! sends may lose the answer.

use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::body_memory::MAX_BODY_BYTES;
use crate::prelude::*;

/// Time in which a caller can read its answer while its body is read on.
const DISCARD_TIME: Duration = Duration::from_secs(2);

/// Reads the rest of a body in the background, within bounds, and keeps none of it.
pub fn discard(body: Incoming) {
    tokio::task::spawn_local(tokio::time::timeout(DISCARD_TIME, read_on(body)));
}

async fn read_on(mut body: Incoming) {
    let mut bytes = 0;
    while bytes <= MAX_BODY_BYTES {
        let Some(Ok(frame)) = body.frame().await else { return };
        bytes += frame.data_ref().map_or(0, |data| data.len());
    }
}
