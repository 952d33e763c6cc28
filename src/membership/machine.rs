//! The state machine of one host.

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

/// One tick in this many also asks a host that does not answer, to find out when it is back.
const PROBE_ONE_IN: u32 = 4;

/// A pause longer than this many ticks is this host's own, not the silence of its peers.
const PAUSE_TICKS: u32 = 3;

/// Stopped incarnations that a host answers for; the oldest go first. Callers send a binding again
/// for minutes, and far fewer hosts of a zone stop in that time.
const MAX_ADOPTED: usize = 64;

/// What one host knows of the others.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) events: Vec<MembershipEvent>,
    pub(super) received: ReceivedPayload,
    pub(super) contacts: Contacts,
    pub(super) limits: MembershipLimits,
    pub(super) payload: Payload,
    pub(super) payload_hashes: PayloadHashes,
    pub(super) own: HostEntry,
    /// What a peer asked for in its last answer; goes into the next digest for it.
    pub(super) peer_requests: BTreeMap<HostId, PeerRequest>,
    pub(super) roster: Roster,
    /// Hash of the roster, kept since most exchanges change heartbeats only.
    pub(super) roster_hash: u64,
    /// Whether a peer has accepted this incarnation.
    pub(super) accepted: bool,
    pub(super) superseded: bool,
    pub(super) zone_beat: u64,
    /// Hash of the live hosts of the own zone.
    pub(super) zone_hash: u64,
    pub(super) zones: Zones,
    last_tick: Option<Moment>,
    /// Hosts of the zone that are asked by turns, one at each tick.
    preferred: Vec<HostId>,
    preferred_next: usize,
    /// Peers of the zone still to be asked in this round; each is asked once in a round, so that
    /// the time between two exchanges with one peer is bounded.
    round: Vec<HostId>,
}

/// What a peer asked for.
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
    /// A host that knows only itself.
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

    /// Sets the wall-clock milliseconds of this start: of two processes under one host name, the
    /// one that started later stays. With the clocks wrong the new one learns it from its peers.
    pub fn with_start_time(mut self, wall_millis: u64) -> Self {
        self.own.epoch = wall_millis;
        self.rehash();
        self
    }

    /// Names hosts that may live, from the settings or from the platform's list. They are asked,
    /// but not counted as live before they answer.
    pub fn add_contacts(&mut self, hosts: impl IntoIterator<Item = HostView>) {
        let unknown = hosts.into_iter().filter(|host| !self.is_live(host)).collect::<Vec<_>>();
        self.contacts.add(unknown);
    }

    /// Names RPC addresses to start from, and to go back to when nobody else answers.
    pub fn add_seeds(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let own = self.own.view.rpc;
        self.contacts.add_seeds(&self.own.view, addresses.into_iter().filter(|rpc| *rpc != own));
    }

    /// Names hosts of the zone that this one has to hear from often: one of them, by turns, is among
    /// the partners of each tick. The rest of the partners stay random, so that news still spreads.
    pub fn set_preferred(&mut self, hosts: Vec<HostId>) {
        self.preferred = hosts;
    }

    /// This host as its peers see it.
    pub fn own(&self) -> &HostView {
        &self.own.view
    }

    /// Whether a later process runs under this host's name; this one must stop.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Sets what this host holds for the others to know.
    pub fn set_payload(&mut self, payload: Payload) {
        self.payload = payload;
        self.payload_hashes = PayloadHashes::of(&self.payload);
    }

    /// Takes what came along in exchanges for other slices.
    pub fn take_received(&mut self) -> ReceivedPayload {
        std::mem::take(&mut self.received)
    }

    /// Tells the peers that new bindings name another ledger generation.
    pub fn set_generation(&mut self, generation: Generation) {
        self.own.view.generation = generation;
        self.bump_revision();
    }

    /// Tells the peers that this host answers for a stopped incarnation whose ledger it took over.
    pub fn adopt(&mut self, stopped: Incarnation) {
        if !self.own.view.adopted.contains(&stopped) {
            self.own.view.adopted.push(stopped);
            let past = self.own.view.adopted.len().saturating_sub(MAX_ADOPTED);
            self.own.view.adopted.drain(..past);
            self.bump_revision();
        }
    }

    /// Sets the stopped incarnations that this host answers for; the newest last.
    pub fn set_adopted(&mut self, mut adopted: Vec<Incarnation>) {
        let past = adopted.len().saturating_sub(MAX_ADOPTED);
        adopted.drain(..past);
        if self.own.view.adopted != adopted {
            self.own.view.adopted = adopted;
            self.own.revision += 1;
        }
    }

    /// Tells the peers that this host is stopping.
    pub fn leave(&mut self) {
        self.own.view.leaving = true;
        self.bump_revision();
    }

    /// Whom to exchange with at this tick.
    pub fn choose_partners(&mut self, _now: Moment, rng: &mut impl Rng) -> Vec<HostView> {
        if self.superseded {
            return Vec::new();
        }
        let mut partners = self.zone_partners(rng);
        partners.extend(self.other_zone_partner(rng));
        let named = self.contacts.next_unconfirmed(&self.own.view.zone, rng);
        let idle = partners.is_empty() && named.is_none();
        partners.extend(named);
        if idle || rng.random_ratio(1, PROBE_ONE_IN) {
            partners.extend(self.probe(rng));
        }
        partners
    }

    /// Moves this host's heartbeat on, and suspects and forgets by silence. Once a second.
    pub fn tick(&mut self, now: Moment) -> Vec<MembershipEvent> {
        self.discount_own_pause(now);
        self.own.beat += 1;
        self.zone_beat += 1;
        self.roster.tick(now, &self.limits, &mut self.events);
        self.zones.tick(now, &self.limits, &mut self.events);
        self.rehash_if_changed();
        std::mem::take(&mut self.events)
    }

    /// All live hosts of the member including this one, sorted by name.
    pub fn hosts(&self, _now: Moment) -> Vec<HostView> {
        let mut hosts = self.zone_hosts();
        hosts.extend(self.zones.live().cloned());
        hosts.sort_by(|a, b| a.id.cmp(&b.id));
        hosts
    }

    /// Number of live hosts including this one.
    pub fn host_count(&self) -> usize {
        self.roster.live().count() + self.zones.live().count() + 1
    }

    /// Regions of which no zone was heard for the suspicion time.
    pub fn silent_regions(&self, _now: Moment) -> BTreeSet<RegionId> {
        let mut regions = self.zones.silent_regions();
        regions.remove(&self.own.view.region);
        regions
    }

    /// Zones that were not heard for the suspicion time, and for how long.
    pub fn silent_zones(&self, now: Moment) -> BTreeMap<ZoneId, Duration> {
        let zones = self.zones.silent();
        zones.map(|(zone, heard)| (zone.clone(), now.saturating_sub(heard))).collect()
    }

    /// Hosts of the own zone that are suspected.
    pub fn suspected(&self) -> Vec<HostView> {
        self.roster.suspected().cloned().collect()
    }

    /// Live hosts of the own zone including this one, sorted by name.
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

    /// A host that was paused has heard nobody, which says nothing of the others: without this it
    /// would suspect all peers when it resumes, and take over their targets.
    fn discount_own_pause(&mut self, now: Moment) {
        let since = now.saturating_sub(self.last_tick.unwrap_or(now));
        self.last_tick = Some(now);
        if self.limits.tick * PAUSE_TICKS <= since {
            let pause = since.saturating_sub(self.limits.tick);
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

    /// A host that does not answer, or one of the addresses to start from.
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
