//! A drain as replicated between hosts and stored on the platform.

use crate::{manifest::DrainScope, prelude::*, timeline::HybridTime};

/// Identifies a drain; unique within its member. Chosen by the client that orders the drain.
pub type DrainId = Arc<str>;

/// How long the record of an undone drain is kept, by hosts and on the platform. A host that was
/// disconnected for longer and still holds the drain as active would reinstate it.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// A drain ordered by an operator.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DrainRecord {
    /// When it was ordered.
    pub at: HybridTime,
    /// The operator who ordered it, as named by their token.
    pub by: Arc<str>,
    pub id: DrainId,
    pub scope: DrainScope,
    /// Whether it is stored on the platform.
    #[serde(default)]
    pub settled: bool,
    /// When it came into force; `None` while it waits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started: Option<HybridTime>,
    /// Host that received the order, and that decides when the drain may start.
    pub taken_by: HostId,
    /// Sequence of the manifest in force when it was ordered.
    pub under: Sequence,
    /// Set once the drain is undone. The record stays as a tombstone, so that a host that was
    /// disconnected and still holds the drain as active cannot reinstate it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub undone: Option<Undrain>,
}

impl DrainRecord {
    /// Whether it has not been undone.
    pub fn is_active(&self) -> bool {
        self.undone.is_none()
    }

    /// Whether it keeps new requests away now.
    pub fn is_in_force(&self) -> bool {
        self.is_active() && self.started.is_some()
    }

    /// Whether it was undone so long ago that the record can be deleted.
    pub fn is_expired_tombstone(&self, wall_millis: u64) -> bool {
        let Some(undone) = &self.undone else { return false };
        let age = Duration::from_millis(wall_millis.saturating_sub(undone.at.millis));
        TOMBSTONE_RETENTION <= age
    }

    /// Merges another copy of the same record. Merging copies gives the same result in any order,
    /// because each field only changes in one direction.
    pub fn merge(&mut self, other: &DrainRecord) {
        self.settled |= other.settled;
        self.started = earliest(self.started, other.started);
        self.undone = earliest(self.undone.take(), other.undone.clone());
        let order = |record: &DrainRecord| {
            (
                record.at,
                record.by.clone(),
                record.scope.clone(),
                record.taken_by.clone(),
                record.under,
            )
        };
        // The orders differ only if two clients chose the same id.
        if order(other) < order(self) {
            (self.at, self.by, self.scope, self.taken_by, self.under) = order(other);
        }
    }
}

fn earliest<T: Ord>(a: Option<T>, b: Option<T>) -> Option<T> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

/// Who undid a drain, and when.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Undrain {
    pub at: HybridTime,
    pub by: Arc<str>,
}
