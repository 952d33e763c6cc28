//! The promises of the brief and how often each was checked and broken.

use std::sync::Mutex;

use crate::prelude::*;

/// What must always hold.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    AtMostOnce,
    GracefulStop,
    ManifestInForce,
    NotRunIsTrue,
    NoRegionOverloaded,
    RetiringGetsNoWork,
    ShiftUnderCap,
    WholeAnswer,
}

impl Promise {
    /// All of them, in the order of the report.
    pub const ALL: [Promise; 8] = [
        Promise::ShiftUnderCap,
        Promise::NoRegionOverloaded,
        Promise::WholeAnswer,
        Promise::NotRunIsTrue,
        Promise::AtMostOnce,
        Promise::RetiringGetsNoWork,
        Promise::GracefulStop,
        Promise::ManifestInForce,
    ];

    /// For people.
    pub fn label(self) -> &'static str {
        match self {
            Promise::AtMostOnce => "what may not be repeated ran at most once",
            Promise::GracefulStop => "a planned stop cut off nothing",
            Promise::ManifestInForce => "an accepted manifest is in force and never reverts",
            Promise::NotRunIsTrue => "what was told not run did not run",
            Promise::NoRegionOverloaded => "no region was overloaded",
            Promise::RetiringGetsNoWork => "a retiring target got no new work after 3 s",
            Promise::ShiftUnderCap => "traffic shifts stayed under their cap",
            Promise::WholeAnswer => "callers got whole answers to their own requests",
        }
    }
}

/// Checks of one promise.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Count {
    pub broken: u64,
    pub checked: u64,
    /// The first failures, in words.
    pub details: Vec<String>,
}

/// Most failures that are told in words.
const MAX_DETAILS: usize = 5;

/// Checks of all promises.
#[derive(Debug, Default)]
pub struct Tally {
    counts: Mutex<BTreeMap<Promise, Count>>,
}

impl Tally {
    /// Counts one check.
    pub fn check(&self, promise: Promise, held: bool, detail: impl FnOnce() -> String) {
        let mut counts = self.counts.lock().expect("no holder panics");
        let count = counts.entry(promise).or_default();
        count.checked += 1;
        if held {
            return;
        }
        count.broken += 1;
        if count.details.len() < MAX_DETAILS {
            count.details.push(detail());
        }
    }

    /// What was counted for one promise.
    pub fn count(&self, promise: Promise) -> Count {
        self.counts.lock().expect("no holder panics").get(&promise).cloned().unwrap_or_default()
    }
}
