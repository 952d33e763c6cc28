//! Exchanges with peers, which carry membership and the state attached to it.

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
    /// Starts one round of exchanges. A host that knows no other contacts the seeds in its
    /// settings.
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
            let result = link.exchange(to, &digest).await;
            Some(ExchangeResult { result, sent, round })
        });
    }

    /// Updates the state that this host's digests carry.
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

    /// Applies the state received with exchanges.
    pub(super) fn apply_received(&mut self, address: WeakAddress<Self>) {
        let received = self.deps.membership.take_received();
        for entry in received.baselines {
            self.baselines.apply(entry, unix_time_ms());
        }
        if let Some(list) = received.tenure {
            self.handle_tenure_event(tenure::Event::ListReceived(list), &address);
            // Otherwise responses until the next tick would still request the list just received.
            self.update_payload();
        }
        if self.drains.merge(&received.drains, unix_time_ms()) {
            self.start_drains();
            self.update_payload();
            self.start_exchanges(address.clone());
        }
        if !received.marks.is_empty() {
            let old_hash = self.deps.membership.marks_hash();
            self.deps.traffic.handle_event(Event::Marked { marks: received.marks });
            self.update_payload();
            if received.marks_from_other_zone && old_hash != self.deps.membership.marks_hash() {
                self.push_to_zone(&address);
            }
        }
        if let Some((sequence, holder)) = received.manifest {
            self.fetch_manifest(address, sequence, holder);
        }
    }

    /// Whether hosts or zones of the own region are drained or leaving, so that its request rates
    /// are not representative.
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
        let response = self.deps.membership.receive(&request.0, now);
        self.apply_received(cx.mailbox().address());
        self.publish();
        response
    }
}

impl xtra::Handler<ExchangeResult> for ControlActor {
    type Return = ();

    async fn handle(&mut self, exchange: ExchangeResult, cx: &mut xtra::Context<Self>) {
        let now = self.now();
        let Ok(digest) = exchange.result else { return };
        let from = digest.from.view.clone();
        let fence = digest.tenure_fence;
        self.record_peer_without_manifest(&digest, &cx.mailbox().address());
        let events = self.deps.membership.apply_response(digest, now);
        self.record_membership_events(events);
        if from.zone == self.deps.membership.own().zone {
            let host = from.id.clone();
            let acknowledged = tenure::Event::Acknowledged { fence, host, sent: exchange.sent };
            self.handle_tenure_event(acknowledged, &cx.mailbox().address());
        }
        // A peer that cannot apply what it receives keeps requesting it. With unlimited follow-ups
        // two such hosts would make some thousand exchanges a second. One follow-up saves the wait
        // for the next tick; the remainder waits for that.
        if exchange.round == ExchangeRound::First && self.deps.membership.has_request_from(&from.id)
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
        // Publish the view first: with the old one, queued requests would still be sent to targets
        // whose lease this host has just given up.
        self.publish();
        self.deps.traffic.handle_event(Event::Leave);
        self.record(EventKind::HostLeft { host: self.deps.membership.own().id.clone() });
        self.push_to_peers(&cx.mailbox().address());
    }
}

impl xtra::Handler<MarkAdded> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _mark: MarkAdded, cx: &mut xtra::Context<Self>) {
        self.update_payload();
        self.push_to_peers(&cx.mailbox().address());
    }
}

impl ControlActor {
    /// Pushes this host's state to its whole zone and one host of each other zone. With the next
    /// heartbeats alone, a stopping host or a drained target would receive requests for another
    /// second or two, and the next host would run a request that crashes targets before its mark
    /// arrives there.
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

    /// Pushes this host's state to its zone. Only the host that received news from another zone
    /// does this: if every host forwarded it, the messages would grow with the square of the zone's
    /// size.
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

/// Wall-clock time in milliseconds; compared between hosts only to find the newer of two entries.
pub(super) fn unix_time_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
