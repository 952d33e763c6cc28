//! What hosts have in attempt at targets and what their callers ask for.

use std::{
    collections::{BTreeSet, HashMap},
    hash::Hash,
};

use crate::{
    placement::{NameTag, ObjectTag, ServiceRegion, SlowdownReport, TargetTag, WindowCounts},
    prelude::*,
    quota::TeamCounts,
};

/// Most runs that are told of a zone together: with its other figures they stay in a few packets.
const RECENT_OBJECTS_MAX: usize = 256;

/// What one host, or all hosts of a zone together, tell of their requests.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Requests that crash targets: fingerprint and crashes seen.
    pub crashes: Vec<(u64, u8)>,
    /// Busy slots that callers ask for, by hash of the service.
    pub demand: Vec<(NameTag, f32)>,
    /// Requests in attempt by target.
    pub in_flight: Vec<(TargetTag, u16)>,
    /// Objects that targets were lately asked for.
    pub recent_objects: Vec<(TargetTag, ObjectTag)>,
    /// Requests that were sent, by service and region, in the last window of shifts and the one
    /// before.
    pub sent: Vec<(ServiceRegion, WindowCounts)>,
    /// Targets that take longer than they should.
    pub slow: Vec<(TargetTag, SlowdownReport)>,
    /// Arrived and admitted requests of teams with a limit, by hash of the team.
    pub teams: Vec<(NameTag, TeamCounts)>,
}

impl Load {
    /// That of several hosts together.
    pub fn sum<'a>(loads: impl Iterator<Item = &'a Load> + Clone) -> Self {
        let recent_objects: BTreeSet<_> =
            loads.clone().flat_map(|load| &load.recent_objects).copied().collect();
        Self {
            crashes: summed(loads.clone().flat_map(|load| &load.crashes), u8::saturating_add),
            demand: summed(loads.clone().flat_map(|load| &load.demand), |a, b| a + b),
            in_flight: summed(loads.clone().flat_map(|load| &load.in_flight), u16::saturating_add),
            recent_objects: recent_objects.into_iter().take(RECENT_OBJECTS_MAX).collect(),
            sent: summed(loads.clone().flat_map(|load| &load.sent), |a, b| {
                (a.0.saturating_add(b.0), a.1.saturating_add(b.1))
            }),
            slow: summed(loads.clone().flat_map(|load| &load.slow), SlowdownReport::merge),
            teams: summed(loads.flat_map(|load| &load.teams), |a, b| {
                (a.0.saturating_add(b.0), a.1.saturating_add(b.1))
            }),
        }
    }
}

fn summed<'a, K, N>(pairs: impl Iterator<Item = &'a (K, N)>, add: impl Fn(N, N) -> N) -> Vec<(K, N)>
where
    K: Copy + Eq + Hash + Ord + 'a,
    N: Copy + 'a,
{
    let mut sums: HashMap<K, N> = HashMap::new();
    for (key, count) in pairs {
        sums.entry(*key).and_modify(|sum| *sum = add(*sum, *count)).or_insert(*count);
    }
    let mut sums: Vec<(K, N)> = sums.into_iter().collect();
    sums.sort_unstable_by_key(|(key, _)| *key);
    sums
}
