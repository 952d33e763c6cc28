//! The state machine of one host.

use std::collections::BTreeSet;

use super::{
    CALL_LOST_AFTER, PAUSE, READ_WHEN_CONFIRMED, READ_WHEN_LAPSING, UNHEARD_GRACE, UNWATCHED_AFTER,
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

/// Keeps one host's right to the targets of its zone.
#[derive(Clone, Debug)]
pub struct TenureKeeper {
    /// When the last exchange that each host answered was sent.
    pub(super) acknowledged: BTreeMap<HostId, Moment>,
    /// When the last platform read that listed this host was sent.
    pub(super) confirmed_by_read: Option<Moment>,
    /// Hosts that were removed from the list, and until when their right may still hold.
    pub(super) fading: BTreeMap<HostId, Moment>,
    pub(super) hosts: Vec<ZoneHost>,
    /// Until when a former owner may not know of this host's place in the list.
    pub(super) joining_until: Moment,
    pub(super) last_tick: Moment,
    pub(super) leaving: bool,
    pub(super) own: Holder,
    /// Since when each silent host is so.
    silent_since: BTreeMap<HostId, Moment>,
    /// The newest list known.
    pub(super) tenure: ZoneTenure,
    /// Since when each listed host is listed and was not heard.
    pub(super) unheard: BTreeMap<HostId, Moment>,
    pub(super) last_read: Option<LastRead>,
    pending: Option<Pending>,
    /// Whether the last `tenure` gave a right.
    pub(super) held: bool,
    /// When this host's ticks last stood still, until its right is confirmed again.
    pub(super) woken: Option<Moment>,
    version: KnownVersion,
    zone: ZoneId,
}

/// The platform's version of the newest list known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum KnownVersion {
    Absent,
    Read(Version),
    /// The list came from a peer, or a write had no answer.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct LastRead {
    pub(super) at: Moment,
    pub(super) failed: bool,
    pub(super) sent: Moment,
}

#[derive(Clone, Debug)]
enum Pending {
    Read { since: Moment },
    Write { object: ZoneTenure, since: Moment },
}

impl TenureKeeper {
    /// A host that knows no list yet.
    pub fn new(host: HostId, incarnation: Incarnation, zone: ZoneId) -> Self {
        Self {
            acknowledged: BTreeMap::new(),
            confirmed_by_read: None,
            fading: BTreeMap::new(),
            held: false,
            hosts: Vec::new(),
            joining_until: Moment::ZERO,
            last_read: None,
            last_tick: Moment::ZERO,
            leaving: false,
            own: Holder { host, incarnation },
            pending: None,
            silent_since: BTreeMap::new(),
            tenure: ZoneTenure::default(),
            unheard: BTreeMap::new(),
            version: KnownVersion::Unknown,
            woken: None,
            zone,
        }
    }

    /// The hosts of which this one needs an answer at least every other second.
    pub fn witnesses(&self) -> Vec<HostId> {
        self.tenure.witnesses(&self.own.host)
    }

    /// The newest list known, for peers that have an older one.
    pub fn list(&self) -> &ZoneTenure {
        &self.tenure
    }

    /// Takes one input.
    pub fn on(&mut self, event: Event, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Acknowledged { fence, host, sent } => self.acknowledged(fence, host, sent),
            Event::Heard(list) => {
                if self.learn(list, now) {
                    self.version = KnownVersion::Unknown;
                }
            }
            Event::Hosts(hosts) => self.hosts = hosts,
            Event::Leave => {
                self.leaving = true;
                actions.extend(self.next_call(now));
            }
            Event::Read { result, sent } => {
                self.read(result, sent, now);
                // At once, while what was read is still so: hosts that start together would
                // otherwise overtake each other for as many seconds as they are.
                actions.extend(self.write(now));
            }
            Event::Tick => {
                self.note_pause(now);
                self.last_tick = now;
                self.expire(now);
                self.watch_silence(now);
                actions.extend(self.next_call(now));
            }
            Event::Written { result, .. } => self.written(result, now),
        }
        self.forget_pause();
        actions.extend(self.note_right(now));
        actions
    }

    /// Ticks come once a second; a gap means that the process stood still or the machine slept.
    fn note_pause(&mut self, now: Moment) {
        let first = self.last_tick == Moment::ZERO;
        if !first && self.last_tick + PAUSE <= now {
            self.woken = Some(now);
        }
    }

    fn forget_pause(&mut self) {
        let confirmed = self.confirmed_at();
        if self.woken.is_some_and(|woken| Some(woken) <= confirmed) {
            self.woken = None;
        }
    }

    /// An answer from a host that knows no newer list confirms that it had not removed this host
    /// when it answered.
    fn acknowledged(&mut self, fence: u64, host: HostId, sent: Moment) {
        if fence <= self.tenure.fence {
            let last = self.acknowledged.entry(host).or_default();
            *last = sent.max(*last);
        }
    }

    fn read(&mut self, result: ReadResult, sent: Moment, now: Moment) {
        if matches!(self.pending, Some(Pending::Read { .. })) {
            self.pending = None;
        }
        let failed = result == ReadResult::Failed;
        self.last_read = Some(LastRead { at: now, failed, sent });
        match result {
            ReadResult::Absent => self.version = KnownVersion::Absent,
            ReadResult::Failed => {}
            ReadResult::Found(list, version) => {
                let fence = list.fence;
                let lists_own = list.lists(&self.own);
                self.learn(list, now);
                // A late answer to an older read says nothing of the newest list.
                if fence == self.tenure.fence {
                    self.version = KnownVersion::Read(version);
                    if lists_own {
                        self.confirmed_by_read = self.confirmed_by_read.max(Some(sent));
                    }
                }
            }
        }
    }

    fn written(&mut self, result: WriteResult, now: Moment) {
        let Some(Pending::Write { object, .. }) = self.pending.take() else { return };
        match result {
            WriteResult::Written(version) => {
                let fence = object.fence;
                self.learn(object, now);
                if fence == self.tenure.fence {
                    self.version = KnownVersion::Read(version);
                }
            }
            WriteResult::Conflict | WriteResult::Failed => self.version = KnownVersion::Unknown,
        }
    }

    /// Takes over a newer list; says whether it was newer.
    fn learn(&mut self, list: ZoneTenure, now: Moment) -> bool {
        if list.fence <= self.tenure.fence {
            return false;
        }
        let old = std::mem::replace(&mut self.tenure, list);
        self.note_changes(&old, now);
        true
    }

    fn note_changes(&mut self, old: &ZoneTenure, now: Moment) {
        let new = &self.tenure;
        invariant::hold(old.fence < new.fence, "tenure-fence-rises", || {
            format!("from {} to {}", old.fence, new.fence)
        });
        for holder in &old.hosts {
            let left = self.hosts.iter().any(|host| host.host == holder.host && host.leaving);
            if new.incarnation_of(&holder.host).is_none() && holder.host != self.own.host && !left {
                self.fading.insert(holder.host.clone(), now + old.settling());
            }
        }
        for holder in &new.hosts {
            self.fading.remove(&holder.host);
            if !old.lists(holder) {
                self.unheard.insert(holder.host.clone(), now);
                self.acknowledged.remove(&holder.host);
            }
        }
        // Hosts that still use the former list may send to what now falls to this host, for as
        // long as their right can last. In an empty zone there is nobody to wait for.
        let joined = new.lists(&self.own) && !old.lists(&self.own);
        let shared = new.hosts.iter().any(|holder| *holder != self.own);
        if joined && (shared || !old.hosts.is_empty()) {
            self.joining_until = now + new.settling().max(old.settling());
        }
    }

    fn expire(&mut self, now: Moment) {
        self.fading.retain(|_, until| now < *until);
        let hosts = &self.hosts;
        self.unheard.retain(|host, _| !hosts.iter().any(|live| live.host == *host));
        let since = match &self.pending {
            Some(Pending::Read { since } | Pending::Write { since, .. }) => *since,
            None => return,
        };
        if since + CALL_LOST_AFTER <= now {
            self.pending = None;
            self.version = KnownVersion::Unknown;
            self.last_read = Some(LastRead { at: now, failed: true, sent: since });
        }
    }

    fn next_call(&mut self, now: Moment) -> Option<Action> {
        if self.pending.is_some() {
            return None;
        }
        if let Some(write) = self.write(now) {
            return Some(write);
        }
        let hurry = self.wanted(now) != self.tenure.hosts || self.lapses_soon(now);
        let every = if hurry { READ_WHEN_LAPSING } else { READ_WHEN_CONFIRMED };
        if self.last_read.is_some_and(|read| now < read.at + every) {
            return None;
        }
        self.pending = Some(Pending::Read { since: now });
        Some(Action::Read)
    }

    fn write(&mut self, now: Moment) -> Option<Action> {
        let wanted = self.wanted(now);
        if self.pending.is_some() || wanted == self.tenure.hosts || self.platform_failed(now) {
            return None;
        }
        let expect = match self.version {
            KnownVersion::Absent => Expect::Absent,
            KnownVersion::Read(version) => Expect::Version(version),
            KnownVersion::Unknown => return None,
        };
        let object = ZoneTenure { fence: self.tenure.fence + 1, hosts: wanted };
        self.pending = Some(Pending::Write { object: object.clone(), since: now });
        Some(Action::Write { expect, object })
    }

    fn watch_silence(&mut self, now: Moment) {
        let silent = self.silent(now);
        self.silent_since.retain(|host, _| silent.contains(host));
        for host in silent {
            self.silent_since.entry(host).or_insert(now);
        }
    }

    /// The list as it should be: silent hosts that this one watches out, this host in or, if it is leaving, out. A host
    /// only ever adds itself.
    fn wanted(&self, now: Moment) -> Vec<Holder> {
        let removes = |host: &HostId| {
            let long = self.silent_since.get(host).is_some_and(|at| *at + UNWATCHED_AFTER <= now);
            long || self.tenure.witnesses(host).contains(&self.own.host)
        };
        let mut silent = self.silent(now);
        silent.retain(removes);
        let mut wanted: Vec<Holder> = self
            .tenure
            .hosts
            .iter()
            .filter(|holder| holder.host != self.own.host && !silent.contains(&holder.host))
            .cloned()
            .collect();
        if !self.leaving {
            wanted.push(self.own.clone());
        }
        wanted.sort();
        wanted
    }

    /// Listed hosts that the membership does not hear.
    pub(super) fn silent(&self, now: Moment) -> BTreeSet<HostId> {
        let listed = self.tenure.hosts.iter().map(|holder| &holder.host);
        let others = listed.filter(|host| **host != self.own.host);
        let silent = others.filter(|host| {
            let live = self.hosts.iter().any(|live| live.host == **host);
            let grace = self.unheard.get(*host).is_some_and(|since| now < *since + UNHEARD_GRACE);
            !live && !grace
        });
        silent.cloned().collect()
    }

    /// Whether the platform failed the last call, and that lately.
    pub(super) fn platform_failed(&self, now: Moment) -> bool {
        self.last_read.is_some_and(|read| read.failed && now < read.at + CALL_LOST_AFTER * 2)
    }

    fn note_right(&mut self, now: Moment) -> Option<Action> {
        let held = now < self.tenure(now).valid_until;
        if held == std::mem::replace(&mut self.held, held) {
            return None;
        }
        let zone = self.zone.clone();
        Some(Action::Note(match held {
            true => EventKind::LeaseTaken { fence: self.tenure.fence, zone },
            false => EventKind::LeaseLost { zone },
        }))
    }
}
