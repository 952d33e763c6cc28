//! Synchronization of the drains with the platform.

use bytes::Bytes;

use super::record::{DrainRecord, Undrain};
use crate::{
    prelude::*,
    store::{Expect, Platform, PlatformError, PutOutcome, new_operation_id, put_confirmed},
};

/// Attempts to write while other hosts write too, before giving up until the next time.
const MAX_WRITE_ATTEMPTS: u32 = 5;

/// Key of the platform object that holds a member's drains.
pub fn object_key(member: &MemberId) -> String {
    format!("drains/{member}")
}

/// The records that the platform should hold, given its records and a host's. Of two active drains
/// of the same scope the one on the platform stays, or else the one ordered first; the other is
/// undone. The platform's conditional update ensures that all hosts see the same result. Expired
/// tombstones are left out.
pub fn merge_with_platform(
    platform: &[DrainRecord],
    own: &[DrainRecord],
    wall_millis: u64,
) -> Vec<DrainRecord> {
    let mut all: BTreeMap<_, DrainRecord> =
        platform.iter().map(|record| (record.id.clone(), record.clone())).collect();
    let mut own: Vec<_> = own.iter().collect();
    own.sort_by(|a, b| (a.at, &a.id).cmp(&(b.at, &b.id)));
    for record in own {
        if let Some(existing) = all.get_mut(&record.id) {
            existing.merge(record);
            continue;
        }
        let mut record = record.clone();
        let rival = all.values().find(|other| other.is_active() && other.scope == record.scope);
        if let Some(rival) = rival.filter(|_| record.is_active()) {
            let by = format!("drain {} of {}, which came first", rival.id, rival.by).into();
            record.undone = Some(Undrain { at: record.at, by });
        }
        all.insert(record.id.clone(), record);
    }
    for record in all.values_mut() {
        record.settled = true;
    }
    all.into_values().filter(|record| !record.is_expired_tombstone(wall_millis)).collect()
}

/// Merges this host's records into the platform's object and returns the result, for
/// `DrainSet::record_platform_copy`. Writes nothing if the object is up to date.
pub async fn sync_with_platform(
    platform: &dyn Platform,
    key: &str,
    own: &[DrainRecord],
    wall_millis: u64,
) -> Result<Vec<DrainRecord>, PlatformError> {
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let object = platform.get(key).await?;
        let held: Vec<DrainRecord> = match &object {
            Some(object) => serde_json::from_slice(&object.value).map_err(unreadable)?,
            None => Vec::new(),
        };
        let merged = merge_with_platform(&held, own, wall_millis);
        if merged == held {
            return Ok(held);
        }
        let value = Bytes::from(serde_json::to_vec(&merged).map_err(unreadable)?);
        let expect = Expect::unchanged(object.as_ref());
        match put_confirmed(platform, key, expect, value, new_operation_id()).await? {
            PutOutcome::Written(_) => return Ok(merged),
            PutOutcome::Conflict { .. } => {}
        }
    }
    Err(PlatformError::Unavailable {
        detail: "other hosts changed the drains during every attempt to write them".into(),
        may_have_applied: false,
    })
}

fn unreadable(error: serde_json::Error) -> PlatformError {
    PlatformError::Refused { detail: format!("the drains cannot be read: {error}").into() }
}
