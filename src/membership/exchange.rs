//! The exchange: what a host tells, answers and takes over.

use super::{
    digest::{Digest, HostEntry},
    event::MembershipEvent,
    machine::{Membership, Owed},
};
use crate::{prelude::*, view::HostView};

impl Membership {
    /// What this host tells any peer.
    pub fn digest(&self, now: Moment) -> Digest {
        let mut digest = self.head(now);
        digest.beats = self.roster.beats(&self.own);
        digest.zones = self.zones.summaries().collect();
        digest.zones.push(self.zone_summary());
        digest
    }

    /// What this host tells that peer: leaves out what the peer has no use for, and adds what it
    /// asked for in its last answer.
    pub fn digest_for(&mut self, to: &HostView, now: Moment) -> Digest {
        let mut digest = self.digest(now);
        if to.zone != self.own.view.zone {
            digest.beats.clear();
        }
        let owed = self.owed.remove(&to.id).unwrap_or_default();
        self.give(&owed, &mut digest, now);
        digest
    }

    /// The same with drains and marks, without waiting for the peer to ask for them.
    pub fn news_for(&mut self, to: &HostView, now: Moment) -> Digest {
        let owed = self.owed.entry(to.id.clone()).or_default();
        owed.drains = true;
        owed.marks = true;
        self.digest_for(to, now)
    }

    /// Hash of the marks that this host holds.
    pub fn marks_hash(&self) -> u64 {
        self.notes_hashes.marks
    }

    /// Whether that peer asked for more in its answer; a second exchange at once then saves it the
    /// wait for the next tick.
    pub fn owes(&self, peer: &HostId) -> bool {
        self.owed.contains_key(peer)
    }

    /// Takes over what a peer tells, and answers with what the peer lacks.
    pub fn receive(&mut self, digest: &Digest, now: Moment) -> Digest {
        self.take(digest, now);
        let mut answer = self.head(now);
        let near = self.is_near(digest);
        if near && digest.roster == answer.roster {
            answer.beats = self.roster.beats(&self.own);
        } else if near {
            answer.hosts = self.roster.entries(now).collect();
            answer.wants_hosts = digest.hosts.is_empty();
        }
        self.answer_zones(digest, &mut answer);
        let owed = Owed {
            drains: digest.drains_hash != answer.drains_hash,
            hosts: digest.wants_hosts && near,
            marks: digest.marks_hash != answer.marks_hash,
            tenure: near && digest.tenure_fence < answer.tenure_fence,
            zones: digest.wants.clone(),
        };
        self.give(&owed, &mut answer, now);
        if digest.baselines_at < answer.baselines_at {
            let newer = self.notes.baselines.iter().filter(|note| digest.baselines_at < note.at);
            answer.baselines = newer.cloned().collect();
        }
        answer
    }

    /// Takes over a peer's answer.
    pub fn merge(&mut self, delta: Digest, now: Moment) -> Vec<MembershipEvent> {
        let epoch = self.own.epoch;
        self.take(&delta, now);
        self.settled |= epoch == self.own.epoch;
        let owed = Owed {
            drains: delta.drains_hash != self.notes_hashes.drains,
            hosts: delta.wants_hosts,
            marks: delta.marks_hash != self.notes_hashes.marks,
            tenure: self.is_near(&delta) && delta.tenure_fence < self.notes.tenure.fence,
            zones: delta.wants,
        };
        if owed.is_something() {
            self.owed.insert(delta.from.view.id.clone(), owed);
        }
        std::mem::take(&mut self.events)
    }

    fn head(&self, _now: Moment) -> Digest {
        Digest {
            baselines: Vec::new(),
            baselines_at: self.notes.baselines_at(),
            beats: Vec::new(),
            drains: Vec::new(),
            drains_hash: self.notes_hashes.drains,
            from: self.own.clone(),
            hosts: Vec::new(),
            marks: Vec::new(),
            marks_hash: self.notes_hashes.marks,
            roster: self.roster_hash,
            sequence: self.notes.sequence,
            tenure: None,
            tenure_fence: self.notes.tenure.fence,
            wants: Vec::new(),
            wants_hosts: false,
            zone_hosts: Vec::new(),
            zones: Vec::new(),
        }
    }

    fn is_near(&self, digest: &Digest) -> bool {
        digest.from.view.zone == self.own.view.zone
    }

    fn give(&self, owed: &Owed, digest: &mut Digest, now: Moment) {
        if owed.drains {
            digest.drains = self.notes.drains.clone();
        }
        if owed.marks {
            digest.marks = self.notes.marks.clone();
        }
        if owed.tenure {
            digest.tenure = Some(self.notes.tenure.clone());
        }
        if owed.hosts && digest.hosts.is_empty() {
            digest.hosts = self.roster.entries(now).collect();
        }
        for zone in &owed.zones {
            let entry = if *zone == self.own.view.zone {
                Some(self.zone_entry())
            } else {
                self.zones.entry(zone)
            };
            let known = digest.zone_hosts.iter().any(|entry| entry.summary.zone == *zone);
            digest.zone_hosts.extend(entry.filter(|_| !known));
        }
    }

    fn answer_zones(&self, digest: &Digest, answer: &mut Digest) {
        self.zones.answer(&digest.from.view.zone, &digest.zones, answer);
        let own = self.zone_summary();
        match digest.zones.iter().find(|zone| zone.zone == own.zone) {
            _ if self.is_near(digest) => answer.zones.push(own),
            Some(theirs) if theirs.hash == own.hash => answer.zones.push(own),
            _ => answer.zone_hosts.push(self.zone_entry()),
        }
        let lacked = digest.zones.iter().filter(|zone| zone.zone != self.own.view.zone);
        let lacked = lacked.filter(|zone| self.zones.lacks(zone));
        answer.wants = lacked.map(|zone| zone.zone.clone()).collect();
    }

    fn take(&mut self, digest: &Digest, now: Moment) {
        if !digest.is_plausible() {
            return;
        }
        if self.is_near(digest) {
            self.take_hosts(digest, now);
        }
        self.hints.forget(&digest.from.view);
        self.take_zones(digest, now);
        self.take_notes(digest);
    }

    fn take_hosts(&mut self, digest: &Digest, now: Moment) {
        let hosts = digest.hosts.iter().take(self.limits.max_entries);
        for entry in std::iter::once(&digest.from).chain(hosts) {
            if entry.view.id == self.own.view.id {
                self.meet_namesake(entry);
            } else if entry.view.zone == self.own.view.zone {
                self.roster.merge(entry.clone(), now, &self.limits, &mut self.events);
            }
        }
        self.rehash_if_changed();
        if digest.roster == self.roster_hash {
            self.roster.hear(&self.own.view.id, &digest.beats, now, &mut self.events);
            self.rehash_if_changed();
        }
    }

    /// Another process under this host's name: either this host's predecessor, of which peers still
    /// tell, or its successor. A host that its peers have accepted before can only be the older of
    /// the two if the other has the higher epoch.
    fn meet_namesake(&mut self, entry: &HostEntry) {
        if entry.view.incarnation == self.own.view.incarnation || entry.epoch < self.own.epoch {
            return;
        }
        if self.settled && self.own.epoch < entry.epoch {
            if !std::mem::replace(&mut self.superseded, true) {
                self.events.push(MembershipEvent::Superseded);
            }
            return;
        }
        self.own.epoch = entry.epoch + 1;
        self.rehash();
    }

    fn take_zones(&mut self, digest: &Digest, now: Moment) {
        let own_zone = self.own.view.zone.clone();
        for entry in digest.zone_hosts.iter().take(self.limits.max_entries) {
            let zone = &entry.summary.zone;
            if *zone == own_zone {
                self.zone_beat = self.zone_beat.max(entry.summary.beat);
                self.hint(entry.hosts.iter().cloned());
            } else if entry.hosts.iter().all(|host| host.zone == *zone) {
                self.zones.adopt(entry.clone(), now, &mut self.events);
            }
        }
        for summary in digest.zones.iter().take(self.limits.max_entries) {
            if summary.zone == own_zone {
                self.zone_beat = self.zone_beat.max(summary.beat);
            } else {
                self.zones.hear(summary, now, &mut self.events);
            }
        }
    }

    fn take_notes(&mut self, digest: &Digest) {
        let known = self.heard.manifest.as_ref().map_or(0, |(sequence, _)| *sequence);
        if self.notes.sequence.max(known) < digest.sequence {
            self.heard.manifest = Some((digest.sequence, digest.from.view.rpc));
        }
        if let Some(tenure) = digest.tenure.as_ref().filter(|_| self.is_near(digest)) {
            let known = self.heard.tenure.as_ref().map_or(self.notes.tenure.fence, |t| t.fence);
            if known < tenure.fence {
                self.heard.tenure = Some(tenure.clone());
            }
        }
        let bound = self.limits.max_entries;
        self.heard.drains.extend(digest.drains.iter().take(bound).cloned());
        self.heard.from_afar |= !self.is_near(digest) && !digest.marks.is_empty();
        self.heard.marks.extend(digest.marks.iter().take(bound).cloned());
        self.heard.baselines.extend(digest.baselines.iter().take(bound).cloned());
    }
}
