//! Exchanges with peers: who is alive, and what travels along.

use xtra::WeakAddress;

use super::{
    actor::Control,
    messages::{Exchanged, Leave, Marked, Merged, Turn},
};
use crate::{
    manifest::DrainScope,
    membership::{Digest, Payload},
    prelude::*,
    routing::Event,
    tenure,
    timeline::EventKind,
    view::HostView,
};

impl Control {
    /// Begins this second's exchanges. A host that knows nobody asks the addresses of its settings.
    pub(super) fn exchange(&mut self, me: WeakAddress<Self>) {
        let now = self.now();
        let partners = self.parts.membership.choose_partners(now, &mut self.parts.rng);
        if partners.is_empty() || self.parts.membership.hosts(now).len() == 1 {
            let digest = self.parts.membership.digest(now);
            for seed in self.parts.seeds.clone() {
                self.ask(me.clone(), seed, digest.clone(), Turn::First);
            }
        }
        for partner in partners {
            let digest = self.parts.membership.digest_for(&partner, now);
            self.ask(me.clone(), partner.rpc, digest, Turn::First);
        }
    }

    fn ask(&self, me: WeakAddress<Self>, to: SocketAddr, digest: Digest, turn: Turn) {
        let link = self.parts.link.clone();
        let sent = self.now();
        Self::beside(me, async move {
            let answer = link.exchange(to, &digest).await;
            Some(Merged { answer, sent, turn })
        });
    }

    /// Sets what this host's digests tell the others.
    pub(super) fn tell_notes(&mut self) {
        let traffic = self.parts.traffic.clone();
        let (marks, rates, binding, adopted) = traffic.with_steer(|steer, now| {
            (steer.marks(now), steer.baselines(now), steer.binding(), steer.adopted())
        });
        let at = wall_millis();
        let hosts = self.parts.membership.hosts(self.now());
        let own = self.parts.membership.own().clone();
        let unsteady = self.is_region_unsteady(&own);
        self.baselines.update_own(&own, &hosts, rates, unsteady, at);
        let membership = &mut self.parts.membership;
        if membership.own().generation != binding.generation {
            membership.set_generation(binding.generation);
        }
        membership.set_adopted(adopted);
        membership.set_payload(Payload {
            baselines: self.baselines.entries(),
            drains: self.drains.records(),
            marks,
            sequence: self.parts.store.sequence().unwrap_or_default(),
            tenure: self.tenure.holder_list().clone(),
        });
    }

    /// Gives what came along with exchanges to those it is for.
    pub(super) fn take_heard(&mut self, me: WeakAddress<Self>) {
        let heard = self.parts.membership.take_received();
        for note in heard.baselines {
            self.baselines.apply(note, wall_millis());
        }
        if let Some(list) = heard.tenure {
            self.tenure_on(tenure::Event::ListReceived(list), &me);
            // Answers until the next tick would still ask for the list that has just come.
            self.tell_notes();
        }
        if self.drains.merge(&heard.drains, wall_millis()) {
            self.start_drains();
            self.tell_notes();
            self.exchange(me.clone());
        }
        if !heard.marks.is_empty() {
            let known = self.parts.membership.marks_hash();
            self.parts.traffic.feed(Event::Marked { marks: heard.marks });
            self.tell_notes();
            if heard.marks_from_other_zone && known != self.parts.membership.marks_hash() {
                self.spread_in_zone(&me);
            }
        }
        if let Some((sequence, holder)) = heard.manifest {
            self.pull_manifest(me, sequence, holder);
        }
    }

    /// Whether something of the own region is being emptied, so that its traffic says little.
    fn is_region_unsteady(&self, own: &HostView) -> bool {
        let hosts = self.parts.membership.hosts(self.now());
        let of_region =
            |id: &HostId| hosts.iter().any(|host| host.id == *id && host.region == own.region);
        let manifest = self.parts.store.current().map(|(manifest, _)| manifest);
        let region_of = |zone: &ZoneId| {
            let region = manifest.as_ref().and_then(|manifest| manifest.region_of(zone));
            region.is_some_and(|region| region.name == own.region)
        };
        own.leaving
            || self.drains.in_force().iter().any(|scope| match scope {
                DrainScope::Host(id) => of_region(id),
                DrainScope::Region(region) => *region == own.region,
                DrainScope::Target(_) => false,
                DrainScope::Zone(zone) => region_of(zone),
            })
    }
}

impl xtra::Handler<Exchanged> for Control {
    type Return = Digest;

    async fn handle(&mut self, asked: Exchanged, cx: &mut xtra::Context<Self>) -> Digest {
        let now = self.now();
        let answer = self.parts.membership.receive(&asked.0, now);
        self.take_heard(cx.mailbox().address());
        self.publish();
        answer
    }
}

impl xtra::Handler<Merged> for Control {
    type Return = ();

    async fn handle(&mut self, merged: Merged, cx: &mut xtra::Context<Self>) {
        let now = self.now();
        let Ok(digest) = merged.answer else { return };
        let from = digest.from.view.clone();
        let fence = digest.tenure_fence;
        self.hear_peer(&digest, &cx.mailbox().address());
        let events = self.parts.membership.apply_response(digest, now);
        self.note_members(events);
        if from.zone == self.parts.membership.own().zone {
            let host = from.id.clone();
            let acknowledged = tenure::Event::Acknowledged { fence, host, sent: merged.sent };
            self.tenure_on(acknowledged, &cx.mailbox().address());
        }
        // A peer whose answer goes on asking, since it can't take what it is given, would otherwise
        // be asked again as fast as it answers: some thousand exchanges a second between two hosts.
        // One follow-up saves the wait for the next tick; whatever is left waits for that.
        if merged.turn == Turn::First && self.parts.membership.has_request_from(&from.id) {
            let digest = self.parts.membership.digest_for(&from, now);
            self.ask(cx.mailbox().address(), from.rpc, digest, Turn::FollowUp);
        }
        self.take_heard(cx.mailbox().address());
        self.publish();
    }
}

impl xtra::Handler<Leave> for Control {
    type Return = ();

    async fn handle(&mut self, _leave: Leave, cx: &mut xtra::Context<Self>) {
        self.parts.membership.leave();
        self.tenure_on(tenure::Event::Leave, &cx.mailbox().address());
        // The view goes first: by the old one, queued requests would still be sent to targets that
        // this host has just given up its right to.
        self.publish();
        self.parts.traffic.feed(Event::Leave);
        self.note(EventKind::HostLeft { host: self.parts.membership.own().id.clone() });
        self.spread(&cx.mailbox().address());
    }
}

impl xtra::Handler<Marked> for Control {
    type Return = ();

    async fn handle(&mut self, _marked: Marked, cx: &mut xtra::Context<Self>) {
        self.tell_notes();
        self.spread(&cx.mailbox().address());
    }
}

impl Control {
    /// Tells the whole zone and one host of each other zone now: with the next heartbeats alone,
    /// a stopping host or a drained target would get new work for another second or two, and a
    /// request that crashes targets would be run by the next host before it is known there.
    pub(super) fn spread(&mut self, me: &WeakAddress<Self>) {
        let now = self.now();
        let own = self.parts.membership.own().clone();
        let mut zones = std::collections::BTreeSet::new();
        for host in self.parts.membership.hosts(now) {
            let first = zones.insert(host.zone.clone());
            if host.zone == own.zone || first {
                self.tell(me, &host);
            }
        }
    }

    /// Tells the zone what came from another one. Only the host that another zone told does so: if
    /// each passed it on to each, the messages would grow with the square of the zone.
    fn spread_in_zone(&mut self, me: &WeakAddress<Self>) {
        let now = self.now();
        let own = self.parts.membership.own().zone.clone();
        for host in self.parts.membership.hosts(now).iter().filter(|host| host.zone == own) {
            self.tell(me, host);
        }
    }

    fn tell(&mut self, me: &WeakAddress<Self>, host: &HostView) {
        if host.id != self.parts.membership.own().id {
            let now = self.now();
            let digest = self.parts.membership.push_digest_for(host, now);
            self.ask(me.clone(), host.rpc, digest, Turn::First);
        }
    }
}

/// Wall-clock time in milliseconds; compared between hosts only to find the newer of two notes.
pub(super) fn wall_millis() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
