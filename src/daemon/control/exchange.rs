//! Exchanges with peers: who is alive, and what travels along.

use xtra::WeakAddress;

use super::{
    actor::ControlActor,
    messages::{ExchangeRequest, ExchangeResult, ExchangeRound, Leave, MarkAdded},
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

impl ControlActor {
    /// Begins this second's exchanges. A host that knows nobody asks the addresses of its settings.
    pub(super) fn start_exchanges(&mut self, address: WeakAddress<Self>) {
        let now = self.now();
        let partners = self.deps.membership.choose_partners(now, &mut self.deps.rng);
        if partners.is_empty() || self.deps.membership.hosts(now).len() == 1 {
            let digest = self.deps.membership.digest(now);
            for seed in self.deps.seeds.clone() {
                self.start_exchange(address.clone(), seed, digest.clone(), ExchangeRound::First);
            }
        }
        for partner in partners {
            let digest = self.deps.membership.digest_for(&partner, now);
            self.start_exchange(address.clone(), partner.rpc, digest, ExchangeRound::First);
        }
    }

    fn start_exchange(
        &self,
        address: WeakAddress<Self>,
        to: SocketAddr,
        digest: Digest,
        round: ExchangeRound,
    ) {
        let link = self.deps.link.clone();
        let sent = self.now();
        Self::spawn_call(address, async move {
            let answer = link.exchange(to, &digest).await;
            Some(ExchangeResult { result: answer, sent, round })
        });
    }

    /// Sets what this host's digests tell the others.
    pub(super) fn update_payload(&mut self) {
        let traffic = self.deps.traffic.clone();
        let (marks, rates, binding, adopted) = traffic.with_router(|router, now| {
            (router.marks(now), router.baselines(now), router.binding(), router.adopted())
        });
        let at = unix_time_ms();
        let hosts = self.deps.membership.hosts(self.now());
        let own = self.deps.membership.own().clone();
        let unsteady = self.is_region_unsteady(&own);
        self.baselines.update_own(&own, &hosts, rates, unsteady, at);
        let membership = &mut self.deps.membership;
        if membership.own().generation != binding.generation {
            membership.set_generation(binding.generation);
        }
        membership.set_adopted(adopted);
        membership.set_payload(Payload {
            baselines: self.baselines.entries(),
            drains: self.drains.records(),
            marks,
            sequence: self.deps.store.sequence().unwrap_or_default(),
            tenure: self.tenure.holder_list().clone(),
        });
    }

    /// Gives what came along with exchanges to those it is for.
    pub(super) fn apply_received(&mut self, address: WeakAddress<Self>) {
        let received = self.deps.membership.take_received();
        for note in received.baselines {
            self.baselines.apply(note, unix_time_ms());
        }
        if let Some(list) = received.tenure {
            self.handle_tenure_event(tenure::Event::ListReceived(list), &address);
            // Answers until the next tick would still ask for the list that has just come.
            self.update_payload();
        }
        if self.drains.merge(&received.drains, unix_time_ms()) {
            self.start_drains();
            self.update_payload();
            self.start_exchanges(address.clone());
        }
        if !received.marks.is_empty() {
            let known = self.deps.membership.marks_hash();
            self.deps.traffic.handle_event(Event::Marked { marks: received.marks });
            self.update_payload();
            if received.marks_from_other_zone && known != self.deps.membership.marks_hash() {
                self.push_to_zone(&address);
            }
        }
        if let Some((sequence, holder)) = received.manifest {
            self.fetch_manifest(address, sequence, holder);
        }
    }

    /// Whether something of the own region is being emptied, so that its traffic says little.
    fn is_region_unsteady(&self, own: &HostView) -> bool {
        let hosts = self.deps.membership.hosts(self.now());
        let of_region =
            |id: &HostId| hosts.iter().any(|host| host.id == *id && host.region == own.region);
        let manifest = self.deps.store.current().map(|(manifest, _)| manifest);
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

impl xtra::Handler<ExchangeRequest> for ControlActor {
    type Return = Digest;

    async fn handle(&mut self, request: ExchangeRequest, cx: &mut xtra::Context<Self>) -> Digest {
        let now = self.now();
        let answer = self.deps.membership.receive(&request.0, now);
        self.apply_received(cx.mailbox().address());
        self.publish();
        answer
    }
}

impl xtra::Handler<ExchangeResult> for ControlActor {
    type Return = ();

    async fn handle(&mut self, response: ExchangeResult, cx: &mut xtra::Context<Self>) {
        let now = self.now();
        let Ok(digest) = response.result else { return };
        let from = digest.from.view.clone();
        let fence = digest.tenure_fence;
        self.record_peer_without_manifest(&digest, &cx.mailbox().address());
        let events = self.deps.membership.apply_response(digest, now);
        self.record_membership_events(events);
        if from.zone == self.deps.membership.own().zone {
            let host = from.id.clone();
            let acknowledged = tenure::Event::Acknowledged { fence, host, sent: response.sent };
            self.handle_tenure_event(acknowledged, &cx.mailbox().address());
        }
        // A peer whose answer goes on asking, since it can't take what it is given, would otherwise
        // be asked again as fast as it answers: some thousand exchanges a second between two hosts.
        // One follow-up saves the wait for the next tick; whatever is left waits for that.
        if response.round == ExchangeRound::First && self.deps.membership.has_request_from(&from.id)
        {
            let digest = self.deps.membership.digest_for(&from, now);
            self.start_exchange(cx.mailbox().address(), from.rpc, digest, ExchangeRound::FollowUp);
        }
        self.apply_received(cx.mailbox().address());
        self.publish();
    }
}

impl xtra::Handler<Leave> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _leave: Leave, cx: &mut xtra::Context<Self>) {
        self.deps.membership.leave();
        self.handle_tenure_event(tenure::Event::Leave, &cx.mailbox().address());
        // The view goes first: by the old one, queued requests would still be sent to targets that
        // this host has just given up its right to.
        self.publish();
        self.deps.traffic.handle_event(Event::Leave);
        self.record(EventKind::HostLeft { host: self.deps.membership.own().id.clone() });
        self.push_to_peers(&cx.mailbox().address());
    }
}

impl xtra::Handler<MarkAdded> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _marked: MarkAdded, cx: &mut xtra::Context<Self>) {
        self.update_payload();
        self.push_to_peers(&cx.mailbox().address());
    }
}

impl ControlActor {
    /// Tells the whole zone and one host of each other zone now: with the next heartbeats alone,
    /// a stopping host or a drained target would get new work for another second or two, and a
    /// request that crashes targets would be run by the next host before it is known there.
    pub(super) fn push_to_peers(&mut self, address: &WeakAddress<Self>) {
        let now = self.now();
        let own = self.deps.membership.own().clone();
        let mut zones = std::collections::BTreeSet::new();
        for host in self.deps.membership.hosts(now) {
            let first = zones.insert(host.zone.clone());
            if host.zone == own.zone || first {
                self.push_to(address, &host);
            }
        }
    }

    /// Tells the zone what came from another one. Only the host that another zone told does so: if
    /// each passed it on to each, the messages would grow with the square of the zone.
    fn push_to_zone(&mut self, address: &WeakAddress<Self>) {
        let now = self.now();
        let own = self.deps.membership.own().zone.clone();
        for host in self.deps.membership.hosts(now).iter().filter(|host| host.zone == own) {
            self.push_to(address, host);
        }
    }

    fn push_to(&mut self, address: &WeakAddress<Self>, host: &HostView) {
        if host.id != self.deps.membership.own().id {
            let now = self.now();
            let digest = self.deps.membership.push_digest_for(host, now);
            self.start_exchange(address.clone(), host.rpc, digest, ExchangeRound::First);
        }
    }
}

/// Wall-clock time in milliseconds; compared between hosts only to find the newer of two notes.
pub(super) fn unix_time_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
