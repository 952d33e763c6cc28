//! Carries out the platform calls of the tenure state machine.

use bytes::Bytes;

use super::{
    action::Action,
    event::{Event, ReadResult, WriteResult},
    object::ZoneTenure,
};
use crate::{
    prelude::*,
    store::{Platform, PutOutcome, new_operation_id, put_confirmed},
};

/// Carries out a read or write, and returns the event that reports its result to the manager. The
/// time is taken before the call is sent: a response may be arbitrarily late, and a lease counted
/// from its arrival could last longer than the response justifies.
pub async fn perform(
    action: Action,
    platform: &dyn Platform,
    key: &str,
    clock: &dyn Clock,
) -> Option<Event> {
    let sent = clock.now();
    match action {
        Action::Note(_) => None,
        Action::Read => Some(Event::ReadDone { result: read(platform, key).await, sent }),
        Action::Write { expect, object } => {
            let value = Bytes::from(serde_json::to_vec(&object).ok()?);
            let settled = put_confirmed(platform, key, expect, value, new_operation_id()).await;
            let result = match settled {
                Ok(PutOutcome::Conflict { .. }) => WriteResult::Conflict,
                Ok(PutOutcome::Written(version)) => WriteResult::Written(version),
                Err(_) => WriteResult::Failed,
            };
            Some(Event::WriteDone { result, sent })
        }
    }
}

async fn read(platform: &dyn Platform, key: &str) -> ReadResult {
    let Ok(object) = platform.get(key).await else { return ReadResult::Failed };
    let Some(object) = object else { return ReadResult::Absent };
    match serde_json::from_slice::<ZoneTenure>(&object.value) {
        Ok(tenure) => ReadResult::Found(tenure, object.version),
        Err(_) => ReadResult::Failed,
    }
}
