//! Settling the drains on the platform.

use bytes::Bytes;

use super::record::{DrainRecord, Undrain};
use crate::{
    prelude::*,
    store::{Expect, Platform, PlatformError, Settled, new_operation, put_settled},
};

/// Writes against other hosts before giving up until the next time.
const ATTEMPTS: u32 = 5;

/// Key of the object that holds a member's drains.
pub fn object_key(member: &MemberId) -> String {
    format!("drains/{member}")
}

/// What the platform should hold, given what it holds and what a host holds. Of two drains of one
/// scope the one on the platform stays, else the one ordered first; the other is taken back. The
/// platform's conditional update makes that one order for everybody. Drains taken back long ago are
/// left out.
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
        if let Some(known) = all.get_mut(&record.id) {
            known.merge(record);
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

/// Brings the platform's object up to what this host holds, and gives what it then holds, for
/// `Drains::merge`. Writes nothing if nothing is lacking.
pub async fn sync_with_platform(
    platform: &dyn Platform,
    key: &str,
    own: &[DrainRecord],
    wall_millis: u64,
) -> Result<Vec<DrainRecord>, PlatformError> {
    for _ in 0..ATTEMPTS {
        let object = platform.get(key).await?;
        let held: Vec<DrainRecord> = match &object {
            Some(object) => serde_json::from_slice(&object.value).map_err(broken)?,
            None => Vec::new(),
        };
        let wanted = merge_with_platform(&held, own, wall_millis);
        if wanted == held {
            return Ok(held);
        }
        let value = Bytes::from(serde_json::to_vec(&wanted).map_err(broken)?);
        let expect = Expect::unchanged(object.as_ref());
        match put_settled(platform, key, expect, value, new_operation()).await? {
            Settled::Written(_) => return Ok(wanted),
            Settled::Conflict { .. } => {}
        }
    }
    Err(PlatformError::Unavailable {
        detail: "the drains are being changed by many hosts".into(),
        maybe_done: false,
    })
}

fn broken(error: serde_json::Error) -> PlatformError {
    PlatformError::Refused { detail: format!("the drains cannot be read: {error}").into() }
}
