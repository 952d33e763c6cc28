//! Request load that hosts report to each other.

use std::{
    collections::{BTreeSet, HashMap},
    hash::Hash,
};

use super::crash_report::{CrashReport, merge_crash_reports};
use crate::{
    placement::{
        LimitReport, NameTag, ObjectTag, ServiceRegion, SlowdownReport, TargetTag, WindowCounts,
    },
    prelude::*,
    quota::TeamCounts,
};

/// Maximum number of recent objects in a zone's sum. Keeps a zone report within a few packets.
const MAX_RECENT_OBJECTS: usize = 256;

/// Maximum number of limits of targets in a zone's sum, for the same reason.
const MAX_LIMITS: usize = 128;

/// Requests of one host, or the sum over all hosts of a zone.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Crashes of targets that are held against requests.
    pub crashes: Vec<CrashReport>,
    /// Number of busy slots that the requests of callers require, by service and the region that
    /// has to serve them.
    pub demand: Vec<(ServiceRegion, f32)>,
    /// Number of requests in flight, by target.
    pub in_flight: Vec<(TargetTag, u16)>,
    /// Limits that targets named or ended in responses to hosts.
    pub limits: Vec<(TargetTag, LimitReport)>,
    /// Objects that were recently requested from each target.
    pub recent_objects: Vec<(TargetTag, ObjectTag)>,
    /// Requests sent in the latest traffic-shift window and in the one before, by service and
    /// region.
    pub sent: Vec<(ServiceRegion, WindowCounts)>,
    /// Targets that respond more slowly than expected.
    pub slow_targets: Vec<(TargetTag, SlowdownReport)>,
    /// Arrived and admitted requests of teams with a limit, by hash of the team.
    pub team_counts: Vec<(NameTag, TeamCounts)>,
}

impl Load {
    /// Adds up the loads of several hosts.
    pub fn sum<'a>(loads: impl Iterator<Item = &'a Load> + Clone) -> Self {
        let recent_objects: BTreeSet<_> =
            loads.clone().flat_map(|load| &load.recent_objects).copied().collect();
        Self {
            crashes: merge_crash_reports(loads.clone().flat_map(|load| &load.crashes).copied()),
            demand: sum_by_key(loads.clone().flat_map(|load| &load.demand), |a, b| a + b),
            in_flight: sum_by_key(
                loads.clone().flat_map(|load| &load.in_flight),
                u16::saturating_add,
            ),
            limits: latest_limits(loads.clone()),
            recent_objects: recent_objects.into_iter().take(MAX_RECENT_OBJECTS).collect(),
            sent: sum_by_key(loads.clone().flat_map(|load| &load.sent), |a, b| {
                (a.0.saturating_add(b.0), a.1.saturating_add(b.1))
            }),
            slow_targets: sum_by_key(
                loads.clone().flat_map(|load| &load.slow_targets),
                SlowdownReport::merge,
            ),
            team_counts: sum_by_key(loads.flat_map(|load| &load.team_counts), |a, b| {
                (a.0.saturating_add(b.0), a.1.saturating_add(b.1))
            }),
        }
    }
}

impl Load {
    /// Removes one host's part from a sum that contains it. Crashes, recent objects and limits stay:
    /// to know of one's own twice changes nothing.
    pub fn subtract(&mut self, part: &Load) {
        let pair =
            |a: (u32, u32), b: (u32, u32)| (a.0.saturating_sub(b.0), a.1.saturating_sub(b.1));
        subtract_by_key(&mut self.demand, &part.demand, |a, b| (a - b).max(0.0));
        subtract_by_key(&mut self.in_flight, &part.in_flight, u16::saturating_sub);
        subtract_by_key(&mut self.sent, &part.sent, pair);
        subtract_by_key(&mut self.slow_targets, &part.slow_targets, SlowdownReport::without);
        subtract_by_key(&mut self.team_counts, &part.team_counts, pair);
        self.in_flight.retain(|(_, count)| 0 < *count);
        self.slow_targets.retain(|(_, report)| report.has_runs());
    }
}

/// The latest report on each target, up to `MAX_LIMITS`.
fn latest_limits<'a>(
    loads: impl Iterator<Item = &'a Load> + Clone,
) -> Vec<(TargetTag, LimitReport)> {
    let mut latest = sum_by_key(loads.flat_map(|load| &load.limits), LimitReport::latest);
    latest.sort_by_key(|(_, report)| report.age_ms);
    latest.truncate(MAX_LIMITS);
    latest.sort_unstable_by_key(|(tag, _)| *tag);
    latest
}

/// Subtracts `part` from `sums`, which are sorted by key.
fn subtract_by_key<K: Copy + Ord, N: Copy>(
    sums: &mut [(K, N)],
    part: &[(K, N)],
    subtract: impl Fn(N, N) -> N,
) {
    for (key, count) in part {
        if let Ok(at) = sums.binary_search_by_key(key, |(key, _)| *key) {
            sums[at].1 = subtract(sums[at].1, *count);
        }
    }
}

fn sum_by_key<'a, K, N>(
    pairs: impl Iterator<Item = &'a (K, N)>,
    add: impl Fn(N, N) -> N,
) -> Vec<(K, N)>
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
