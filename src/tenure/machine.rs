//! Tenure state machine of one host; does no I/O and takes the time as an argument.

use std::collections::BTreeSet;

use super::{
    CALL_TIMEOUT, CONFIRMED_READ_INTERVAL, FALLBACK_REMOVAL_AFTER, FIRST_CONTACT_GRACE,
    PAUSE_THRESHOLD, UNCONFIRMED_READ_INTERVAL,
    action::Action,
    event::{Event, ReadResult, WriteResult, ZoneHost},
    object::{Holder, ZoneTenure},
};
use crate::{
    base::invariant,
    prelude::*,
    store::{Expect, Version},
    timeline::EventKind,
};

/// Maintains one host's lease on its share of the targets of its zone.
#[derive(Clone, Debug)]
pub struct TenureManager {
    /// For each host, when the newest exchange to which it responded was sent.
    pub(super) last_acknowledged: BTreeMap<HostId, Moment>,
    /// When the newest platform read that listed this host was sent.
    pub(super) confirmed_by_read: Option<Moment>,
    /// Hosts that were removed from the list, and until when their lease may still be valid.
    pub(super) removed_until: BTreeMap<HostId, Moment>,
    pub(super) hosts: Vec<ZoneHost>,
    /// Until when a former owner may not know that this host has joined the list.
    pub(super) joining_until: Moment,
    pub(super) last_tick: Moment,
    pub(super) leaving: bool,
    pub(super) own: Holder,
    /// When each silent host became silent.
    silent_since: BTreeMap<HostId, Moment>,
    /// The newest known list.
    pub(super) list: ZoneTenure,
    /// For each listed host that has not been heard since it was listed, when it was first listed.
    pub(super) unheard_since: BTreeMap<HostId, Moment>,
    pub(super) last_read: Option<LastRead>,
    pending: Option<Pending>,
    /// Whether the lease was valid after the last event.
    pub(super) holds_lease: bool,
    /// When this host resumed after a pause, until its lease is confirmed again.
    pub(super) resumed_at: Option<Moment>,
    version: KnownVersion,
    zone: ZoneId,
}

/// The platform's version of the newest known list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum KnownVersion {
    Absent,
    Read(Version),
    /// The list came from a peer, a write did not succeed, or a call timed out.
    Unknown,
}

/// The last read that ended, or the last call that timed out.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastRead {
    pub(super) finished_at: Moment,
    pub(super) failed: bool,
    pub(super) sent_at: Moment,
}

/// The platform call that is in flight.
#[derive(Clone, Debug)]
enum Pending {
    Read { since: Moment },
    Write { object: ZoneTenure, since: Moment },
}

impl TenureManager {
    /// Creates the state of a host that knows no list yet.
    pub fn new(host: HostId, incarnation: Incarnation, zone: ZoneId) -> Self {
        Self {
            last_acknowledged: BTreeMap::new(),
            confirmed_by_read: None,
            removed_until: BTreeMap::new(),
            holds_lease: false,
            hosts: Vec::new(),
            joining_until: Moment::ZERO,
            last_read: None,
            last_tick: Moment::ZERO,
            leaving: false,
            own: Holder { host, incarnation },
            pending: None,
            silent_since: BTreeMap::new(),
            list: ZoneTenure::default(),
            unheard_since: BTreeMap::new(),
            version: KnownVersion::Unknown,
            resumed_at: None,
            zone,
        }
    }

    /// Returns the hosts whose responses confirm the lease; each has to respond at least every
    /// other second.
    pub fn witnesses(&self) -> Vec<HostId> {
        self.list.witnesses(&self.own.host)
    }

    /// Returns the newest known list, for peers that have an older one.
    pub fn holder_list(&self) -> &ZoneTenure {
        &self.list
    }

    /// Handles an event, and returns the actions to carry out.
    pub fn handle(&mut self, event: Event, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Acknowledged { fence, host, sent } => {
                self.record_acknowledgement(fence, host, sent)
            }
            Event::ListReceived(list) => {
                if self.apply_list(list, now) {
                    self.version = KnownVersion::Unknown;
                }
            }
            Event::LiveHosts(hosts) => self.hosts = hosts,
            Event::Leave => {
                self.leaving = true;
                actions.extend(self.next_call(now));
            }
            Event::ReadDone { result, sent } => {
                self.apply_read(result, sent, now);
                // Written at once, while the version that was read is still current. Of hosts that
                // start together only one would otherwise succeed each second, as the others would
                // write with a version that is out of date.
                actions.extend(self.start_write(now));
            }
            Event::Tick => {
                self.detect_pause(now);
                self.last_tick = now;
                self.expire(now);
                self.track_silence(now);
                actions.extend(self.next_call(now));
            }
            Event::WriteDone { result, .. } => self.apply_write(result, now),
        }
        self.clear_pause();
        actions.extend(self.lease_change(now));
        actions
    }

    /// Detects a gap in the ticks, which come once a second: the process or the machine was
    /// suspended.
    fn detect_pause(&mut self, now: Moment) {
        let first = self.last_tick == Moment::ZERO;
        if !first && self.last_tick + PAUSE_THRESHOLD <= now {
            self.resumed_at = Some(now);
        }
    }

    fn clear_pause(&mut self) {
        let confirmed = self.confirmed_at();
        if self.resumed_at.is_some_and(|resumed| Some(resumed) <= confirmed) {
            self.resumed_at = None;
        }
    }

    /// Records a response from a host. If that host knows no newer list, the response confirms that
    /// it had not removed this host by then.
    fn record_acknowledgement(&mut self, fence: u64, host: HostId, sent: Moment) {
        if fence <= self.list.fence {
            let last = self.last_acknowledged.entry(host).or_default();
            *last = sent.max(*last);
        }
    }

    fn apply_read(&mut self, result: ReadResult, sent: Moment, now: Moment) {
        if matches!(self.pending, Some(Pending::Read { .. })) {
            self.pending = None;
        }
        let failed = result == ReadResult::Failed;
        self.last_read = Some(LastRead { finished_at: now, failed, sent_at: sent });
        match result {
            ReadResult::Absent => self.version = KnownVersion::Absent,
            ReadResult::Failed => {}
            ReadResult::Found(list, version) => {
                let fence = list.fence;
                let lists_own = list.contains(&self.own);
                self.apply_list(list, now);
                // A late response to an older read does not describe the newest list.
                if fence == self.list.fence {
                    self.version = KnownVersion::Read(version);
                    if lists_own {
                        self.confirmed_by_read = self.confirmed_by_read.max(Some(sent));
                    }
                }
            }
        }
    }

    fn apply_write(&mut self, result: WriteResult, now: Moment) {
        let Some(Pending::Write { object, .. }) = self.pending.take() else { return };
        match result {
            WriteResult::Written(version) => {
                let fence = object.fence;
                self.apply_list(object, now);
                if fence == self.list.fence {
                    self.version = KnownVersion::Read(version);
                }
            }
            WriteResult::Conflict | WriteResult::Failed => self.version = KnownVersion::Unknown,
        }
    }

    /// Replaces the list if `list` is newer, and returns whether it was.
    fn apply_list(&mut self, list: ZoneTenure, now: Moment) -> bool {
        if list.fence <= self.list.fence {
            return false;
        }
        let old = std::mem::replace(&mut self.list, list);
        self.apply_list_changes(&old, now);
        true
    }

    fn apply_list_changes(&mut self, old: &ZoneTenure, now: Moment) {
        let new = &self.list;
        invariant::check(old.fence < new.fence, "tenure-fence-rises", || {
            format!("from {} to {}", old.fence, new.fence)
        });
        for holder in &old.hosts {
            let left = self.hosts.iter().any(|host| host.host == holder.host && host.leaving);
            if new.incarnation_of(&holder.host).is_none() && holder.host != self.own.host && !left {
                self.removed_until.insert(holder.host.clone(), now + old.takeover_delay());
            }
        }
        for holder in &new.hosts {
            self.removed_until.remove(&holder.host);
            if !old.contains(holder) {
                self.unheard_since.insert(holder.host.clone(), now);
                self.last_acknowledged.remove(&holder.host);
            }
        }
        // Hosts that still use the former list may send to targets that now belong to this host,
        // until their leases expire. In an empty zone there is no host to wait for.
        let joined = new.contains(&self.own) && !old.contains(&self.own);
        let shared = new.hosts.iter().any(|holder| *holder != self.own);
        if joined && (shared || !old.hosts.is_empty()) {
            self.joining_until = now + new.takeover_delay().max(old.takeover_delay());
        }
    }

    fn expire(&mut self, now: Moment) {
        self.removed_until.retain(|_, until| now < *until);
        let hosts = &self.hosts;
        self.unheard_since.retain(|host, _| !hosts.iter().any(|live| live.host == *host));
        let since = match &self.pending {
            Some(Pending::Read { since } | Pending::Write { since, .. }) => *since,
            None => return,
        };
        if since + CALL_TIMEOUT <= now {
            self.pending = None;
            self.version = KnownVersion::Unknown;
            self.last_read = Some(LastRead { finished_at: now, failed: true, sent_at: since });
        }
    }

    fn next_call(&mut self, now: Moment) -> Option<Action> {
        if self.pending.is_some() {
            return None;
        }
        if let Some(write) = self.start_write(now) {
            return Some(write);
        }
        let read_soon = self.desired_holders(now) != self.list.hosts || self.expires_soon(now);
        let interval = if read_soon { UNCONFIRMED_READ_INTERVAL } else { CONFIRMED_READ_INTERVAL };
        if self.last_read.is_some_and(|read| now < read.finished_at + interval) {
            return None;
        }
        self.pending = Some(Pending::Read { since: now });
        Some(Action::Read)
    }

    fn start_write(&mut self, now: Moment) -> Option<Action> {
        let desired = self.desired_holders(now);
        if self.pending.is_some() || desired == self.list.hosts || self.platform_failed(now) {
            return None;
        }
        let expect = match self.version {
            KnownVersion::Absent => Expect::Absent,
            KnownVersion::Read(version) => Expect::Version(version),
            KnownVersion::Unknown => return None,
        };
        let object = ZoneTenure { fence: self.list.fence + 1, hosts: desired };
        self.pending = Some(Pending::Write { object: object.clone(), since: now });
        Some(Action::Write { expect, object })
    }

    fn track_silence(&mut self, now: Moment) {
        let silent = self.silent_hosts(now);
        self.silent_since.retain(|host, _| silent.contains(host));
        for host in silent {
            self.silent_since.entry(host).or_insert(now);
        }
    }

    /// Returns the list as this host would write it: without the silent hosts that it may remove,
    /// and with itself unless it is leaving. A host adds no other host.
    fn desired_holders(&self, now: Moment) -> Vec<Holder> {
        let may_remove = |host: &HostId| {
            let silent_long =
                self.silent_since.get(host).is_some_and(|at| *at + FALLBACK_REMOVAL_AFTER <= now);
            silent_long || self.list.witnesses(host).contains(&self.own.host)
        };
        let mut silent = self.silent_hosts(now);
        silent.retain(may_remove);
        let mut desired: Vec<Holder> = self
            .list
            .hosts
            .iter()
            .filter(|holder| holder.host != self.own.host && !silent.contains(&holder.host))
            .cloned()
            .collect();
        if !self.leaving {
            desired.push(self.own.clone());
        }
        desired.sort();
        desired
    }

    /// Returns the other listed hosts that the membership does not count as live.
    pub(super) fn silent_hosts(&self, now: Moment) -> BTreeSet<HostId> {
        let listed = self.list.hosts.iter().map(|holder| &holder.host);
        let others = listed.filter(|host| **host != self.own.host);
        let silent = others.filter(|host| {
            let live = self.hosts.iter().any(|live| live.host == **host);
            let grace = self
                .unheard_since
                .get(*host)
                .is_some_and(|since| now < *since + FIRST_CONTACT_GRACE);
            !live && !grace
        });
        silent.cloned().collect()
    }

    /// Whether the last platform read failed, or the last call timed out, less than twice
    /// `CALL_TIMEOUT` ago.
    pub(super) fn platform_failed(&self, now: Moment) -> bool {
        self.last_read.is_some_and(|read| read.failed && now < read.finished_at + CALL_TIMEOUT * 2)
    }

    fn lease_change(&mut self, now: Moment) -> Option<Action> {
        let held = now < self.tenure(now).valid_until;
        if held == std::mem::replace(&mut self.holds_lease, held) {
            return None;
        }
        let zone = self.zone.clone();
        Some(Action::Note(match held {
            true => EventKind::LeaseTaken { fence: self.list.fence, zone },
            false => EventKind::LeaseLost { zone },
        }))
    }
}
