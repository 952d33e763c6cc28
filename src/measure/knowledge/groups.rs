//! Owners of groups of targets, which are asked before each request.

use std::collections::VecDeque;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    group::{Group, Reply},
    load::{Arrival, Size},
    service::Service,
    target::Run,
    way::{Knowledge, Placement},
};
use crate::placement::ObjectTag;

/// Maximum number of targets in a group.
pub(super) const MAX_GROUP_TARGETS: usize = 16;

/// Round trip between a host and an owner, in milliseconds.
const ROUND_TRIP_MS: u64 = 1;

/// Time until an owner knows that a request ended, in milliseconds; half a round trip, rounded up.
const RELEASE_DELAY_MS: u64 = 1;

/// Bytes of the headers of UDP and IP of one message.
const HEADER_BYTES: u64 = 28;

/// Bytes of an ask, a reply and an end of request, without headers.
const ASK_BYTES: u64 = 42;
const REPLY_BYTES: u64 = 16;
const RELEASE_BYTES: u64 = 14;

/// The end of a request, on its way to the owner. Times are in milliseconds since the start.
#[derive(Debug)]
struct Release {
    due: u64,
    ended: u64,
    is_answered: bool,
    run: Run,
}

/// The owners of all groups.
pub(super) struct GroupOwners {
    /// Bytes sent by host.
    bytes: Vec<u64>,
    /// Group of each target.
    group_of: Vec<usize>,
    groups: Vec<Group>,
    /// Host that owns each group.
    owners: Vec<usize>,
    releases: VecDeque<Release>,
}

impl GroupOwners {
    /// Owners that know of no requests.
    pub fn new(size: Size, service: Service) -> Self {
        let group_of = assign(&service);
        let count = group_of.iter().max().map_or(0, |last| last + 1);
        let members = |group: usize| {
            (0..size.targets).filter(|target| group_of[*target] == group).collect::<Vec<_>>()
        };
        Self {
            bytes: vec![0; size.hosts],
            groups: (0..count).map(|group| Group::new(service.clone(), members(group))).collect(),
            owners: (0..count).map(|group| owner(group, size.hosts)).collect(),
            group_of,
            releases: VecDeque::new(),
        }
    }

    /// The owners hear of the requests that ended.
    fn advance(&mut self, now: u64) {
        while self.releases.front().is_some_and(|it| it.due <= now) {
            let Some(Release { ended, is_answered, run, .. }) = self.releases.pop_front() else {
                return;
            };
            self.groups[self.group_of[run.target]].release(&run, is_answered, ended);
        }
    }

    /// The groups that a host asks for an object, the first one first.
    fn groups_of(&self, object: ObjectTag) -> [usize; 2] {
        let mut weighted: Vec<(u64, usize)> =
            (0..self.groups.len()).map(|group| (weight(group as u64, object), group)).collect();
        weighted.sort_unstable_by(|a, b| b.cmp(a));
        let second = weighted.get(1).unwrap_or(&weighted[0]);
        [weighted[0].1, second.1]
    }

    /// Asks the owner of a group; adds the time that this takes to `took_ms`.
    fn ask(&mut self, group: usize, arrival: &Arrival, may_wait: bool, took_ms: &mut u64) -> Reply {
        let owner = self.owners[group];
        if owner != arrival.host {
            self.bytes[arrival.host] += HEADER_BYTES + ASK_BYTES;
            self.bytes[owner] += HEADER_BYTES + REPLY_BYTES;
            *took_ms += ROUND_TRIP_MS;
        }
        self.groups[group].place(arrival.object, may_wait, *took_ms)
    }
}

impl Knowledge for GroupOwners {
    fn place(&mut self, arrival: &Arrival, now: u64) -> (u64, Option<Placement>) {
        self.advance(now);
        let groups = self.groups_of(arrival.object);
        let mut took_ms = 0;
        let mut shortest = (None, groups[0]);
        for group in groups {
            match self.ask(group, arrival, false, &mut took_ms) {
                Reply::Placed(placement) => return (took_ms, Some(placement)),
                Reply::Full { expected: None } => {}
                Reply::Full { expected: Some(expected) } => {
                    if shortest.0.is_none_or(|least| expected < least) {
                        shortest = (Some(expected), group);
                    }
                }
            }
        }
        // Both groups are full. The request waits in the one with the shorter expected answer time.
        let (Some(_), group) = shortest else { return (took_ms, None) };
        match self.ask(group, arrival, true, &mut took_ms) {
            Reply::Placed(placement) => (took_ms, Some(placement)),
            Reply::Full { .. } => (took_ms, None),
        }
    }

    fn ended(&mut self, run: &Run, _load: usize, is_answered: bool, now: u64) {
        let owner = self.owners[self.group_of[run.target]];
        if owner != run.host {
            self.bytes[run.host] += HEADER_BYTES + RELEASE_BYTES;
        }
        let due = now + RELEASE_DELAY_MS;
        self.releases.push_back(Release { due, is_answered, run: run.clone(), ended: now });
    }

    fn bytes(&self) -> &[u64] {
        &self.bytes
    }
}

/// Group of each target: the one with the highest rendezvous weight among those that have room. The
/// room is the mean number of targets, rounded up, so that the groups have nearly the same size.
pub(super) fn assign(service: &Service) -> Vec<usize> {
    let targets = &service.targets;
    let groups = targets.len().div_ceil(MAX_GROUP_TARGETS);
    let max_targets = targets.len().div_ceil(groups);
    let mut order: Vec<usize> = (0..targets.len()).collect();
    order.sort_unstable_by_key(|position| targets[*position].tag);
    let mut sizes = vec![0; groups];
    let mut group_of = vec![0; targets.len()];
    for position in order {
        let open = (0..groups).filter(|group| sizes[*group] < max_targets);
        let group = open.max_by_key(|group| weight(*group as u64, targets[position].tag));
        group_of[position] = group.unwrap_or_default();
        sizes[group_of[position]] += 1;
    }
    group_of
}

/// Host that owns a group.
fn owner(group: usize, hosts: usize) -> usize {
    (0..hosts).max_by_key(|host| weight(*host as u64, group as u32)).unwrap_or_default()
}

/// Rendezvous weight.
fn weight(node: u64, key: u32) -> u64 {
    xxh3_64_with_seed(&node.to_le_bytes(), u64::from(key))
}
