//! A write whose outcome is known in the end.

use backon::{BackoffBuilder, ExponentialBuilder};
use bytes::Bytes;

use super::{Expect, OperationId, Platform, PlatformError, Result, Version, VersionedObject};
use crate::prelude::*;

/// Attempts before the outcome is given up as unknown.
const ATTEMPTS: usize = 6;
const FIRST_DELAY: Duration = Duration::from_millis(50);
const LONGEST_DELAY: Duration = Duration::from_secs(1);

/// What became of a write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PutOutcome {
    /// The object is not as expected, and this write is not the last one. `uncertain` says that an
    /// attempt of this write had no answer: it may have taken effect and then been replaced.
    Conflict { current: Option<VersionedObject>, uncertain: bool },
    /// This write took effect; nobody has replaced it since.
    Written(Version),
}

/// Writes and, when the answer is lost, reads back the operation id instead of guessing.
///
/// Sending the write again is safe: each attempt carries the same condition, and the first one to
/// take effect changes the version, so that no other can. An attempt still on its way through the
/// network is refused for the same reason.
pub async fn put_confirmed(
    platform: &dyn Platform,
    key: &str,
    expect: Expect,
    value: Bytes,
    operation: OperationId,
) -> Result<PutOutcome> {
    let mut uncertain = false;
    let mut delays = ExponentialBuilder::new()
        .with_min_delay(FIRST_DELAY)
        .with_max_delay(LONGEST_DELAY)
        .with_max_times(ATTEMPTS)
        .with_jitter()
        .build();
    loop {
        let err = match platform.put(key, expect, value.clone(), operation.clone()).await {
            Ok(version) => return Ok(PutOutcome::Written(version)),
            Err(err) => err,
        };
        uncertain |= err.may_have_applied();
        let is_conflict = matches!(err, PlatformError::Conflict { .. });
        if !is_conflict && !err.is_transient() {
            return Err(err);
        }
        if is_conflict || uncertain {
            match platform.get(key).await {
                Ok(Some(object)) if object.operation == operation => {
                    return Ok(PutOutcome::Written(object.version));
                }
                Ok(current) => {
                    let version = current.as_ref().map(|object| object.version);
                    if !expect.is_met_by(version) {
                        return Ok(PutOutcome::Conflict { current, uncertain });
                    }
                }
                Err(err) if err.is_transient() => {}
                Err(err) => return Err(err),
            }
        }
        let Some(delay) = delays.next() else {
            let detail = err.to_string().into();
            return Err(PlatformError::Unavailable { detail, may_have_applied: uncertain });
        };
        let least = match err {
            PlatformError::RateLimited { retry_after } => retry_after.min(LONGEST_DELAY),
            _ => Duration::ZERO,
        };
        tokio::time::sleep(delay.max(least)).await;
    }
}
