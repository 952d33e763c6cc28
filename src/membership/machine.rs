//! Membership state machine of one host; does no I/O and takes the time as an argument.

use std::collections::BTreeSet;

use rand::{Rng, seq::IndexedRandom, seq::SliceRandom};

use super::{
    contacts::Contacts,
    digest::{HostEntry, ZoneEntry, ZoneSummary},
    event::MembershipEvent,
    limits::MembershipLimits,
    payload::{Payload, PayloadHashes, ReceivedPayload, hash_of},
    roster::Roster,
    zones::Zones,
};
use crate::{prelude::*, view::HostView};

/// On average one tick in this many also contacts a host that is not known to be live, to detect
/// its return.
const PROBE_ONE_IN: u32 = 4;

/// A gap of this many ticks between two calls of `tick` means that this host was paused, not that
/// its peers were silent.
const PAUSE_TICKS: u32 = 3;

/// Maximum number of stopped incarnations that a host answers for; the oldest are dropped first.
/// Callers resend a binding for minutes, and far fewer hosts of a zone stop in that time.
const MAX_ADOPTED: usize = 64;

/// One host's knowledge of the other hosts.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) events: Vec<MembershipEvent>,
    pub(super) received: ReceivedPayload,
    pub(super) contacts: Contacts,
    pub(super) limits: MembershipLimits,
    pub(super) payload: Payload,
    pub(super) payload_hashes: PayloadHashes,
    pub(super) own: HostEntry,
    /// What each peer requested in its last response; included in the next digest sent to it.
    pub(super) peer_requests: BTreeMap<HostId, PeerRequest>,
    pub(super) roster: Roster,
    /// Hash of the roster, cached since most exchanges change only heartbeats.
    pub(super) roster_hash: u64,
    /// Whether a peer has accepted this incarnation.
    pub(super) accepted: bool,
    pub(super) superseded: bool,
    pub(super) zone_beat: u64,
    /// Hash of the live hosts of the own zone.
    pub(super) zone_hash: u64,
    pub(super) zones: Zones,
    last_tick: Option<Moment>,
    /// Hosts of the zone that are contacted in rotation, one at each tick.
    preferred: Vec<HostId>,
    preferred_next: usize,
    /// Peers of the zone still to be contacted in this round. Each is contacted once a round, which
    /// bounds the time between two exchanges with the same peer.
    round: Vec<HostId>,
}

/// State that a peer requested.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerRequest {
    pub drains: bool,
    pub hosts: bool,
    pub marks: bool,
    pub tenure: bool,
    pub zones: Vec<ZoneId>,
}

impl PeerRequest {
    pub fn asks_for_anything(&self) -> bool {
        self.drains || self.hosts || self.marks || self.tenure || !self.zones.is_empty()
    }
}

impl Membership {
    /// Creates the state of a host that knows only itself.
    pub fn new(own: HostView, limits: MembershipLimits) -> Self {
        let own = HostEntry { age_ms: 0, beat: 1, epoch: 0, revision: 0, view: own };
        let mut membership = Self {
            events: Vec::new(),
            received: ReceivedPayload::default(),
            contacts: Contacts::default(),
            last_tick: None,
            limits,
            payload: Payload::default(),
            payload_hashes: PayloadHashes::default(),
            peer_requests: BTreeMap::new(),
            own,
            preferred: Vec::new(),
            preferred_next: 0,
            roster: Roster::default(),
            roster_hash: 0,
            round: Vec::new(),
            accepted: false,
            superseded: false,
            zone_beat: 1,
            zone_hash: 0,
            zones: Zones::default(),
        };
        membership.rehash();
        membership
    }

    /// Sets the start time of this process in milliseconds of wall-clock time. Of two processes
    /// under one host name, the one that started later stays. If the clocks are wrong, the new
    /// process learns of the old one's start time from its peers and raises its own above it.
    pub fn with_start_time(mut self, wall_millis: u64) -> Self {
        self.own.epoch = wall_millis;
        self.rehash();
        self
    }

    /// Adds hosts that may be live, learnt from another source than their own heartbeats. They are
    /// contacted, but not counted as live before they are heard.
    pub fn add_contacts(&mut self, hosts: impl IntoIterator<Item = HostView>) {
        let unknown = hosts.into_iter().filter(|host| !self.is_live(host)).collect::<Vec<_>>();
        self.contacts.add(unknown);
    }

    /// Adds RPC addresses to contact at start, and again whenever no other host responds.
    pub fn add_seeds(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let own = self.own.view.rpc;
        self.contacts.add_seeds(&self.own.view, addresses.into_iter().filter(|rpc| *rpc != own));
    }

    /// Sets the hosts of the zone that this one has to exchange with often: each tick includes one
    /// of them, in rotation, among its partners. The other partners stay random, so that changes
    /// still spread through the zone.
    pub fn set_preferred(&mut self, hosts: Vec<HostId>) {
        self.preferred = hosts;
    }

    /// Returns this host as its peers see it.
    pub fn own(&self) -> &HostView {
        &self.own.view
    }

    /// Whether a process that started later runs under this host's name, so that this one must
    /// stop.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Sets the payload that this host's exchanges carry.
    pub fn set_payload(&mut self, payload: Payload) {
        self.payload = payload;
        self.payload_hashes = PayloadHashes::of(&self.payload);
    }

    /// Takes the payload received from peers since the last call.
    pub fn take_received(&mut self) -> ReceivedPayload {
        std::mem::take(&mut self.received)
    }

    /// Announces the ledger generation that new bindings name.
    pub fn set_generation(&mut self, generation: Generation) {
        self.own.view.generation = generation;
        self.bump_revision();
    }

    /// Announces that this host answers for a stopped incarnation whose ledger it took over.
    pub fn adopt(&mut self, stopped: Incarnation) {
        if !self.own.view.adopted.contains(&stopped) {
            self.own.view.adopted.push(stopped);
            let excess = self.own.view.adopted.len().saturating_sub(MAX_ADOPTED);
            self.own.view.adopted.drain(..excess);
            self.bump_revision();
        }
    }

    /// Sets the stopped incarnations that this host answers for, newest last.
    pub fn set_adopted(&mut self, mut adopted: Vec<Incarnation>) {
        let excess = adopted.len().saturating_sub(MAX_ADOPTED);
        adopted.drain(..excess);
        if self.own.view.adopted != adopted {
            self.own.view.adopted = adopted;
            self.own.revision += 1;
        }
    }

    /// Announces that this host is stopping.
    pub fn leave(&mut self) {
        self.own.view.leaving = true;
        self.bump_revision();
    }

    /// Returns the hosts to exchange with at this tick.
    pub fn choose_partners(&mut self, _now: Moment, rng: &mut impl Rng) -> Vec<HostView> {
        if self.superseded {
            return Vec::new();
        }
        let mut partners = self.zone_partners(rng);
        partners.extend(self.other_zone_partner(rng));
        let contact = self.contacts.next_unconfirmed(&self.own.view.zone, rng);
        let idle = partners.is_empty() && contact.is_none();
        partners.extend(contact);
        if idle || rng.random_ratio(1, PROBE_ONE_IN) {
            partners.extend(self.probe(rng));
        }
        partners
    }

    /// Increments this host's heartbeat, and suspects or forgets hosts that were silent for too
    /// long. Called once a second.
    pub fn tick(&mut self, now: Moment) -> Vec<MembershipEvent> {
        self.discount_own_pause(now);
        self.own.beat += 1;
        self.zone_beat += 1;
        self.roster.tick(now, &self.limits, &mut self.events);
        self.zones.tick(now, &self.limits, &mut self.events);
        self.rehash_if_changed();
        std::mem::take(&mut self.events)
    }

    /// Returns all live hosts of the member including this one, sorted by name.
    pub fn hosts(&self, _now: Moment) -> Vec<HostView> {
        let mut hosts = self.zone_hosts();
        hosts.extend(self.zones.live().cloned());
        hosts.sort_by(|a, b| a.id.cmp(&b.id));
        hosts
    }

    /// Returns the number of live hosts including this one.
    pub fn host_count(&self) -> usize {
        self.roster.live().count() + self.zones.live().count() + 1
    }

    /// Returns the regions of which no zone was heard within the suspicion time.
    pub fn silent_regions(&self, _now: Moment) -> BTreeSet<RegionId> {
        let mut regions = self.zones.silent_regions();
        regions.remove(&self.own.view.region);
        regions
    }

    /// Returns the zones that were not heard within the suspicion time, and for how long.
    pub fn silent_zones(&self, now: Moment) -> BTreeMap<ZoneId, Duration> {
        let zones = self.zones.silent();
        zones.map(|(zone, heard)| (zone.clone(), now.saturating_sub(heard))).collect()
    }

    /// Returns the suspected hosts of the own zone.
    pub fn suspected(&self) -> Vec<HostView> {
        self.roster.suspected().cloned().collect()
    }

    /// Returns the live hosts of the own zone including this one, sorted by name.
    pub(super) fn zone_hosts(&self) -> Vec<HostView> {
        let mut hosts: Vec<_> = self.roster.live().cloned().collect();
        hosts.push(self.own.view.clone());
        hosts.sort_by(|a, b| a.id.cmp(&b.id));
        hosts
    }

    pub(super) fn zone_entry(&self) -> ZoneEntry {
        ZoneEntry { hosts: self.zone_hosts(), summary: self.zone_summary() }
    }

    pub(super) fn zone_summary(&self) -> ZoneSummary {
        let zone = self.own.view.zone.clone();
        ZoneSummary { beat: self.zone_beat, hash: self.zone_hash, zone }
    }

    pub(super) fn rehash_if_changed(&mut self) {
        if self.roster.take_changed() {
            self.rehash();
        }
    }

    pub(super) fn rehash(&mut self) {
        self.roster_hash = self.roster.hash(&self.own);
        self.zone_hash = hash_of(&self.zone_hosts());
    }

    fn bump_revision(&mut self) {
        self.own.revision += 1;
        self.rehash();
    }

    /// Excludes a pause of this host from the silence of its peers. Without this, a host that
    /// resumes after a pause would suspect all its peers and take over their targets.
    fn discount_own_pause(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.last_tick.unwrap_or(now));
        self.last_tick = Some(now);
        if self.limits.tick * PAUSE_TICKS <= elapsed {
            let pause = elapsed.saturating_sub(self.limits.tick);
            self.roster.shift_last_heard(pause);
            self.zones.shift_last_heard(pause);
        }
    }

    fn zone_partners(&mut self, rng: &mut impl Rng) -> Vec<HostView> {
        let mut partners: Vec<HostView> = self.preferred_partner().into_iter().collect();
        let wanted = self.limits.partners_in_zone.min(self.roster.live().count());
        let mut refilled = false;
        while partners.len() < wanted {
            let Some(id) = self.round.pop() else {
                if refilled {
                    break;
                }
                refilled = true;
                self.round = self.roster.live().map(|host| host.id.clone()).collect();
                self.round.shuffle(rng);
                continue;
            };
            let record = self.roster.get(&id).filter(|record| !record.suspected);
            let Some(record) = record else { continue };
            if partners.iter().all(|partner| partner.id != id) {
                partners.push(record.view.clone());
            }
        }
        partners
    }

    fn preferred_partner(&mut self) -> Option<HostView> {
        self.preferred_next = self.preferred_next.wrapping_add(1);
        let id = self.preferred.get(self.preferred_next % self.preferred.len().max(1))?;
        let record = self.roster.get(id).filter(|record| !record.suspected)?;
        Some(record.view.clone())
    }

    fn other_zone_partner(&self, rng: &mut impl Rng) -> Option<HostView> {
        let zones = self.zones.hosts_where(false);
        zones.choose(rng)?.choose(rng).cloned()
    }

    /// Picks a host that is suspected, forgotten or in a silent zone, or a seed address.
    fn probe(&self, rng: &mut impl Rng) -> Option<HostView> {
        let mut silent: Vec<&HostView> = self.roster.suspected().collect();
        silent.extend(self.roster.forgotten());
        silent.extend(self.zones.hosts_where(true).into_iter().flatten());
        silent.extend(self.contacts.seeds().filter(|seed| !self.is_live(seed)));
        silent.choose(rng).copied().cloned()
    }

    fn is_live(&self, host: &HostView) -> bool {
        let live = |other: &HostView| other.id == host.id || other.rpc == host.rpc;
        live(&self.own.view) || self.roster.live().any(live) || self.zones.live().any(live)
    }
}
