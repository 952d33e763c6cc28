//! Division of a service's targets in a region into groups, the same on every host.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::GroupNumber;
use crate::placement::{ObjectTag, TargetTag};

/// Slots of a group. An owner then sends and receives about 400 answers a second if a request takes
/// a quarter of a second, which is about half of what a host may spend on control messages. Much
/// smaller groups would have too few slots to even out the load of single objects.
const SLOTS_PER_GROUP: f64 = 96.0;

/// Number of groups of a service with this many slots in a region.
pub fn group_count(slots: f64) -> GroupNumber {
    (slots / SLOTS_PER_GROUP).ceil().clamp(1.0, f64::from(GroupNumber::MAX)) as GroupNumber
}

/// The group of a target. When the number of groups changes by one, few targets change their group.
pub fn group_of(target: TargetTag, count: GroupNumber) -> GroupNumber {
    ranked(target, count).0
}

/// The group of an object, and the one to ask if that is full.
pub fn object_groups(object: ObjectTag, count: GroupNumber) -> (GroupNumber, Option<GroupNumber>) {
    ranked(object, count)
}

/// The first and the second group of a tag by rendezvous hash.
fn ranked(tag: u32, count: GroupNumber) -> (GroupNumber, Option<GroupNumber>) {
    let weight = |group: GroupNumber| xxh3_64_with_seed(&tag.to_le_bytes(), u64::from(group));
    let mut first = (weight(0), 0);
    let mut second = None;
    for group in 1..count {
        let candidate = (weight(group), group);
        if first < candidate {
            second = Some(first);
            first = candidate;
        } else if second < Some(candidate) {
            second = Some(candidate);
        }
    }
    (first.1, second.map(|(_, group)| group))
}
