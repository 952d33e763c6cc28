//! Exchanges: builds requests and responses, and applies those received.

use super::{
    digest::{Digest, HostEntry},
    event::MembershipEvent,
    machine::{Membership, PeerRequest},
};
use crate::{prelude::*, view::HostView};

impl Membership {
    /// Returns the digest that suits any peer.
    pub fn digest(&self, now: Moment) -> Digest {
        let mut digest = self.digest_header(now);
        digest.beats = self.roster.beats(&self.own);
        digest.zones = self.zones.summaries().collect();
        digest.zones.push(self.zone_summary());
        digest
    }

    /// Returns the digest for a peer: without heartbeats for a peer of another zone, and with what
    /// the peer requested in its last response.
    pub fn digest_for(&mut self, to: &HostView, now: Moment) -> Digest {
        let mut digest = self.digest(now);
        if to.zone != self.own.view.zone {
            digest.beats.clear();
        }
        let request = self.peer_requests.remove(&to.id).unwrap_or_default();
        self.add_requested(&request, &mut digest, now);
        digest
    }

    /// Returns the digest for a peer with drains and marks, which the peer need not have requested.
    pub fn push_digest_for(&mut self, to: &HostView, now: Moment) -> Digest {
        let request = self.peer_requests.entry(to.id.clone()).or_default();
        request.drains = true;
        request.marks = true;
        self.digest_for(to, now)
    }

    /// Returns the hash of this host's marks.
    pub fn marks_hash(&self) -> u64 {
        self.payload_hashes.marks
    }

    /// Whether that peer requested more in its last response. A second exchange at once then saves
    /// it the wait until the next tick.
    pub fn has_request_from(&self, peer: &HostId) -> bool {
        self.peer_requests.contains_key(peer)
    }

    /// Applies a peer's request, and returns a response with what the peer lacks.
    pub fn receive(&mut self, digest: &Digest, now: Moment) -> Digest {
        self.apply(digest, now);
        let mut response = self.digest_header(now);
        let near = self.is_from_own_zone(digest);
        if near && digest.roster == response.roster {
            response.beats = self.roster.beats(&self.own);
        } else if near {
            response.hosts = self.roster.entries(now).collect();
            response.wants_hosts = digest.hosts.is_empty();
        }
        self.add_zones(digest, &mut response);
        let request = PeerRequest {
            drains: digest.drains_hash != response.drains_hash,
            hosts: digest.wants_hosts && near,
            marks: digest.marks_hash != response.marks_hash,
            tenure: near && digest.tenure_fence < response.tenure_fence,
            zones: digest.wants.clone(),
        };
        self.add_requested(&request, &mut response, now);
        if digest.baselines_at < response.baselines_at {
            let newer =
                self.payload.baselines.iter().filter(|entry| digest.baselines_at < entry.at);
            response.baselines = newer.cloned().collect();
        }
        response
    }

    /// Applies a peer's response, and returns the membership events since the last call of this or
    /// `tick`.
    pub fn apply_response(&mut self, response: Digest, now: Moment) -> Vec<MembershipEvent> {
        let epoch = self.own.epoch;
        self.apply(&response, now);
        self.accepted |= epoch == self.own.epoch;
        let request = PeerRequest {
            drains: response.drains_hash != self.payload_hashes.drains,
            hosts: response.wants_hosts,
            marks: response.marks_hash != self.payload_hashes.marks,
            tenure: self.is_from_own_zone(&response)
                && response.tenure_fence < self.payload.tenure.fence,
            zones: response.wants,
        };
        if request.asks_for_anything() {
            self.peer_requests.insert(response.from.view.id.clone(), request);
        }
        std::mem::take(&mut self.events)
    }

    fn digest_header(&self, _now: Moment) -> Digest {
        Digest {
            baselines: Vec::new(),
            baselines_at: self.payload.baselines_at(),
            beats: Vec::new(),
            drains: Vec::new(),
            drains_hash: self.payload_hashes.drains,
            from: self.own.clone(),
            hosts: Vec::new(),
            marks: Vec::new(),
            marks_hash: self.payload_hashes.marks,
            roster: self.roster_hash,
            sequence: self.payload.sequence,
            tenure: None,
            tenure_fence: self.payload.tenure.fence,
            wants: Vec::new(),
            wants_hosts: false,
            zone_hosts: Vec::new(),
            zones: Vec::new(),
        }
    }

    fn is_from_own_zone(&self, digest: &Digest) -> bool {
        digest.from.view.zone == self.own.view.zone
    }

    fn add_requested(&self, request: &PeerRequest, digest: &mut Digest, now: Moment) {
        if request.drains {
            digest.drains = self.payload.drains.clone();
        }
        if request.marks {
            digest.marks = self.payload.marks.clone();
        }
        if request.tenure {
            digest.tenure = Some(self.payload.tenure.clone());
        }
        if request.hosts && digest.hosts.is_empty() {
            digest.hosts = self.roster.entries(now).collect();
        }
        for zone in &request.zones {
            let entry = if *zone == self.own.view.zone {
                Some(self.zone_entry())
            } else {
                self.zones.entry(zone)
            };
            let known = digest.zone_hosts.iter().any(|entry| entry.summary.zone == *zone);
            digest.zone_hosts.extend(entry.filter(|_| !known));
        }
    }

    fn add_zones(&self, digest: &Digest, response: &mut Digest) {
        self.zones.add_missing(&digest.from.view.zone, &digest.zones, response);
        let own = self.zone_summary();
        match digest.zones.iter().find(|zone| zone.zone == own.zone) {
            _ if self.is_from_own_zone(digest) => response.zones.push(own),
            Some(theirs) if theirs.hash == own.hash => response.zones.push(own),
            _ => response.zone_hosts.push(self.zone_entry()),
        }
        let missing = digest.zones.iter().filter(|zone| zone.zone != self.own.view.zone);
        let missing = missing.filter(|zone| self.zones.lacks(zone));
        response.wants = missing.map(|zone| zone.zone.clone()).collect();
    }

    fn apply(&mut self, digest: &Digest, now: Moment) {
        if !digest.is_plausible() {
            return;
        }
        if self.is_from_own_zone(digest) {
            self.apply_hosts(digest, now);
        }
        self.contacts.remove(&digest.from.view);
        self.apply_zones(digest, now);
        self.collect_payload(digest);
    }

    fn apply_hosts(&mut self, digest: &Digest, now: Moment) {
        let hosts = digest.hosts.iter().take(self.limits.max_entries);
        for entry in std::iter::once(&digest.from).chain(hosts) {
            if entry.view.id == self.own.view.id {
                self.resolve_name_conflict(entry);
            } else if entry.view.zone == self.own.view.zone {
                self.roster.merge(entry.clone(), now, &self.limits, &mut self.events);
            }
        }
        self.rehash_if_changed();
        if digest.roster == self.roster_hash {
            self.roster.apply_beats(&self.own.view.id, &digest.beats, now, &mut self.events);
            self.rehash_if_changed();
        }
    }

    /// Handles an entry under this host's name. If it describes another process, that is either a
    /// predecessor that peers still know or a successor. With a higher epoch it is a successor if a
    /// peer has already accepted this process. Otherwise it is taken for a predecessor, and this
    /// process raises its own epoch above it. Entries with a lower epoch are ignored.
    fn resolve_name_conflict(&mut self, entry: &HostEntry) {
        if entry.view.incarnation == self.own.view.incarnation || entry.epoch < self.own.epoch {
            return;
        }
        if self.accepted && self.own.epoch < entry.epoch {
            if !std::mem::replace(&mut self.superseded, true) {
                self.events.push(MembershipEvent::Superseded);
            }
            return;
        }
        self.own.epoch = entry.epoch + 1;
        self.rehash();
    }

    fn apply_zones(&mut self, digest: &Digest, now: Moment) {
        let own_zone = self.own.view.zone.clone();
        for entry in digest.zone_hosts.iter().take(self.limits.max_entries) {
            let zone = &entry.summary.zone;
            if *zone == own_zone {
                self.zone_beat = self.zone_beat.max(entry.summary.beat);
                self.add_contacts(entry.hosts.iter().cloned());
            } else if entry.hosts.iter().all(|host| host.zone == *zone) {
                self.zones.apply_entry(entry.clone(), now, &mut self.events);
            }
        }
        for summary in digest.zones.iter().take(self.limits.max_entries) {
            if summary.zone == own_zone {
                self.zone_beat = self.zone_beat.max(summary.beat);
            } else {
                self.zones.apply_summary(summary, now, &mut self.events);
            }
        }
    }

    fn collect_payload(&mut self, digest: &Digest) {
        let known = self.received.manifest.as_ref().map_or(0, |(sequence, _)| *sequence);
        if self.payload.sequence.max(known) < digest.sequence {
            self.received.manifest = Some((digest.sequence, digest.from.view.rpc));
        }
        if let Some(tenure) = digest.tenure.as_ref().filter(|_| self.is_from_own_zone(digest)) {
            let known =
                self.received.tenure.as_ref().map_or(self.payload.tenure.fence, |t| t.fence);
            if known < tenure.fence {
                self.received.tenure = Some(tenure.clone());
            }
        }
        let bound = self.limits.max_entries;
        self.received.drains.extend(digest.drains.iter().take(bound).cloned());
        self.received.marks_from_other_zone |=
            !self.is_from_own_zone(digest) && !digest.marks.is_empty();
        self.received.marks.extend(digest.marks.iter().take(bound).cloned());
        self.received.baselines.extend(digest.baselines.iter().take(bound).cloned());
    }
}
