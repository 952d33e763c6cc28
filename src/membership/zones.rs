//! The other zones, each as last described by one of its own hosts.

use super::{
    digest::{Digest, ZoneEntry, ZoneSummary},
    event::MembershipEvent,
    limits::MembershipLimits,
};
use crate::{prelude::*, view::HostView};

/// State of another zone.
#[derive(Clone, Debug)]
struct Zone {
    last_heard: Moment,
    hosts: Vec<HostView>,
    region: RegionId,
    /// Whether the zone was not heard within the suspicion time.
    silent: bool,
    summary: ZoneSummary,
}

/// All other zones.
#[derive(Clone, Debug, Default)]
pub(super) struct Zones {
    zones: BTreeMap<ZoneId, Zone>,
}

impl Zones {
    pub fn summaries(&self) -> impl Iterator<Item = ZoneSummary> + '_ {
        self.zones.values().map(|zone| zone.summary.clone())
    }

    /// Returns the hosts of the zones that are not silent.
    pub fn live(&self) -> impl Iterator<Item = &HostView> {
        self.zones.values().filter(|zone| !zone.silent).flat_map(|zone| &zone.hosts)
    }

    /// Returns, by zone, the hosts of the zones whose silence is as given.
    pub fn hosts_where(&self, silent: bool) -> Vec<&[HostView]> {
        let zones = self.zones.values().filter(|zone| zone.silent == silent);
        zones.map(|zone| &zone.hosts[..]).filter(|hosts| !hosts.is_empty()).collect()
    }

    /// Returns the silent zones, and when each was last heard.
    pub fn silent(&self) -> impl Iterator<Item = (&ZoneId, Moment)> {
        self.zones.iter().filter(|(_, zone)| zone.silent).map(|(id, zone)| (id, zone.last_heard))
    }

    /// Returns the regions of which all known zones are silent.
    pub fn silent_regions(&self) -> std::collections::BTreeSet<RegionId> {
        let mut regions = BTreeMap::new();
        for zone in self.zones.values() {
            *regions.entry(zone.region.clone()).or_insert(true) &= zone.silent;
        }
        regions.into_iter().filter_map(|(region, silent)| silent.then_some(region)).collect()
    }

    pub fn entry(&self, zone: &ZoneId) -> Option<ZoneEntry> {
        let zone = self.zones.get(zone)?;
        Some(ZoneEntry { hosts: zone.hosts.clone(), summary: zone.summary.clone() })
    }

    /// Whether `theirs` is newer than the known state of the zone and lists other hosts.
    pub fn lacks(&self, theirs: &ZoneSummary) -> bool {
        let Some(own) = self.zones.get(&theirs.zone) else { return true };
        own.summary.beat < theirs.beat && own.summary.hash != theirs.hash
    }

    /// Applies a newer counter of a zone whose hosts have not changed.
    pub fn apply_summary(
        &mut self,
        theirs: &ZoneSummary,
        now: Moment,
        events: &mut Vec<MembershipEvent>,
    ) {
        let Some(zone) = self.zones.get_mut(&theirs.zone) else { return };
        if theirs.beat <= zone.summary.beat || theirs.hash != zone.summary.hash {
            return;
        }
        zone.summary.beat = theirs.beat;
        zone.last_heard = now;
        if std::mem::take(&mut zone.silent) {
            events.extend(zone.hosts.iter().map(|host| MembershipEvent::Returned(host.id.clone())));
        }
    }

    /// Replaces the state of a zone, if `entry` is newer.
    pub fn apply_entry(
        &mut self,
        entry: ZoneEntry,
        now: Moment,
        events: &mut Vec<MembershipEvent>,
    ) {
        let ZoneEntry { hosts, summary } = entry;
        let Some(region) = hosts.first().map(|host| host.region.clone()) else { return };
        let old = self.zones.get(&summary.zone);
        if old.is_some_and(|old| summary.beat <= old.summary.beat) {
            return;
        }
        let old = old.map(|zone| zone.hosts.clone()).unwrap_or_default();
        push_host_changes(&old, &hosts, events);
        let zone = Zone { last_heard: now, hosts, region, silent: false, summary };
        self.zones.insert(zone.summary.zone.clone(), zone);
    }

    /// Suspects the hosts of zones that have become silent, and forgets zones that were silent for
    /// `forget_zone_after`.
    pub fn tick(
        &mut self,
        now: Moment,
        limits: &MembershipLimits,
        events: &mut Vec<MembershipEvent>,
    ) {
        let host_count = self.zones.values().map(|zone| zone.hosts.len()).sum();
        let suspect_after = limits.suspect_zone_after + limits.slack(host_count);
        for zone in self.zones.values_mut() {
            if zone.silent || now.saturating_sub(zone.last_heard) < suspect_after {
                continue;
            }
            zone.silent = true;
            let hosts = zone.hosts.iter().map(|host| MembershipEvent::Suspected(host.id.clone()));
            events.extend(hosts);
        }
        self.zones.retain(|_, zone| {
            let keep = now.saturating_sub(zone.last_heard) < limits.forget_zone_after;
            if !keep {
                events.extend(zone.hosts.drain(..).map(MembershipEvent::Left));
            }
            keep
        });
    }

    /// Excludes a pause of this host from the silence of the zones.
    pub fn shift_last_heard(&mut self, pause: Duration) {
        self.zones.values_mut().for_each(|zone| zone.last_heard += pause);
    }

    /// Adds to `response` what the sender of `theirs`, a host of zone `from`, lacks of these zones.
    ///
    /// Two hosts of one zone that do not know each other yet publish different descriptions of it,
    /// and either may have the higher counter. The sender therefore gets any differing description
    /// of its own zone, so that the two hosts find each other.
    pub fn add_missing(&self, from: &ZoneId, theirs: &[ZoneSummary], response: &mut Digest) {
        let theirs: BTreeMap<_, _> = theirs.iter().map(|zone| (&zone.zone, zone)).collect();
        for (id, own) in &self.zones {
            match theirs.get(id) {
                Some(theirs) if own.summary.hash != theirs.hash && id == from => {
                    response.zone_hosts.extend(self.entry(id));
                }
                Some(theirs) if own.summary.beat <= theirs.beat => {}
                Some(theirs) if own.summary.hash == theirs.hash => {
                    response.zones.push(own.summary.clone());
                }
                _ => response.zone_hosts.extend(self.entry(id)),
            }
        }
    }
}

fn push_host_changes(old: &[HostView], new: &[HostView], events: &mut Vec<MembershipEvent>) {
    let same = |a: &HostView, b: &HostView| a.id == b.id && a.incarnation == b.incarnation;
    let left = |view: &&HostView| match new.iter().find(|other| same(other, view)) {
        Some(other) => other.leaving && !view.leaving,
        None => !view.leaving,
    };
    events.extend(old.iter().filter(left).cloned().map(MembershipEvent::Left));
    let joined = new.iter().filter(|view| !old.iter().any(|other| same(other, view)));
    events.extend(joined.cloned().map(MembershipEvent::Joined));
}
