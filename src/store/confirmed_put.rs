//! A conditional write that is retried until its outcome is known.

use backon::{BackoffBuilder, ExponentialBuilder};
use bytes::Bytes;

use super::{Expect, OperationId, Platform, PlatformError, Result, Version, VersionedObject};
use crate::prelude::*;

/// Retries before the outcome is reported as unknown.
const MAX_RETRIES: usize = 6;
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Outcome of a write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PutOutcome {
    /// The precondition does not hold, and the current object is not from this write. `uncertain`
    /// means that an attempt of this write got no answer: it may have taken effect and then have
    /// been overwritten.
    Conflict { current: Option<VersionedObject>, uncertain: bool },
    /// This write took effect and was the last one of the object when that was confirmed.
    Written(Version),
}

/// Writes an object. When an answer is lost, reads the object back and compares its operation id to
/// find out whether the write took effect.
///
/// Retrying is safe: all attempts have the same precondition, and the first one that takes effect
/// changes the version, so that the others are refused. The same holds for an attempt that is still
/// on its way through the network.
pub async fn put_confirmed(
    platform: &dyn Platform,
    key: &str,
    expect: Expect,
    value: Bytes,
    operation: OperationId,
) -> Result<PutOutcome> {
    let mut uncertain = false;
    let mut delays = ExponentialBuilder::new()
        .with_min_delay(MIN_RETRY_DELAY)
        .with_max_delay(MAX_RETRY_DELAY)
        .with_max_times(MAX_RETRIES)
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
        let min_delay = match err {
            PlatformError::RateLimited { retry_after } => retry_after.min(MAX_RETRY_DELAY),
            _ => Duration::ZERO,
        };
        tokio::time::sleep(delay.max(min_delay)).await;
    }
}
