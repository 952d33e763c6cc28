//! One drain as hosts tell it to each other.

use crate::{manifest::DrainScope, prelude::*, timeline::HybridTime};

/// Name of one drain, unique within its member; the host that takes the order draws it.
pub type DrainId = Arc<str>;

/// How long a drain that was taken back is remembered. A host that was cut off for longer and still
/// holds it as active would bring it back; the platform's copy is remembered as long.
const TOMBSTONE_KEPT: Duration = Duration::from_secs(24 * 3600);

/// One drain that an operator ordered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DrainRecord {
    /// When it was ordered.
    pub at: HybridTime,
    /// Who ordered it, as the operator's token names them.
    pub by: Arc<str>,
    pub id: DrainId,
    pub scope: DrainScope,
    /// Whether the platform holds it.
    #[serde(default)]
    pub settled: bool,
    /// When it came in force; `None` while it waits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started: Option<HybridTime>,
    /// Host that took the order, and that decides when it may start.
    pub taken_by: HostId,
    /// Sequence of the manifest in force when it was ordered.
    pub under: Sequence,
    /// Set once an operator took it back. It stays as a tombstone, so that a host that was cut off
    /// and still holds the drain cannot bring it back.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub undone: Option<Undrain>,
}

impl DrainRecord {
    /// Whether nobody took it back.
    pub fn is_active(&self) -> bool {
        self.undone.is_none()
    }

    /// Whether it keeps new work away now.
    pub fn is_in_force(&self) -> bool {
        self.is_active() && self.started.is_some()
    }

    /// Whether it was taken back so long ago that no host need remember it.
    pub fn is_expired_tombstone(&self, wall_millis: u64) -> bool {
        let Some(undone) = &self.undone else { return false };
        let age = Duration::from_millis(wall_millis.saturating_sub(undone.at.millis));
        TOMBSTONE_KEPT <= age
    }

    /// Takes over what another copy knows. The result is the same in whatever order copies meet:
    /// each field only ever moves one way.
    pub fn merge(&mut self, other: &DrainRecord) {
        self.settled |= other.settled;
        self.started = earlier(self.started, other.started);
        self.undone = earlier(self.undone.take(), other.undone.clone());
        let order = |record: &DrainRecord| {
            (
                record.at,
                record.by.clone(),
                record.scope.clone(),
                record.taken_by.clone(),
                record.under,
            )
        };
        // Only if two clients drew the same id.
        if order(other) < order(self) {
            (self.at, self.by, self.scope, self.taken_by, self.under) = order(other);
        }
    }
}

fn earlier<T: Ord>(a: Option<T>, b: Option<T>) -> Option<T> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

/// Who took a drain back, and when.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Undrain {
    pub at: HybridTime,
    pub by: Arc<str>,
}
