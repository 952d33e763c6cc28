//! What the control actor does with each message.

use std::io;

use bytes::Bytes;
use xtra::{Actor, Handler};

use super::{
    Datagram, EntryControl, HostsListed, Leave, Registered, Reload, StateAnswer, StateQuery,
    StoreUpdate, Tick, gossip_seeds, peering::REGISTER_PAUSE,
};
use crate::{
    entry::{EntrySettings, peer_queries::QueryOutcome},
    event_log::{Event, Source},
    fleet::Message,
    prelude::*,
};

impl Actor for EntryControl {
    type Stop = ();

    async fn stopped(self) -> Self::Stop {}
}

impl Handler<StoreUpdate> for EntryControl {
    type Return = ();

    async fn handle(&mut self, StoreUpdate(part, told): StoreUpdate, _: &mut xtra::Context<Self>) {
        if self.told(part, told) {
            self.publish();
            // Hosts that do not watch hear of it now, not with the next heartbeat.
            self.announce();
        }
    }
}

impl Handler<Datagram> for EntryControl {
    type Return = ();

    async fn handle(&mut self, Datagram(bytes): Datagram, cx: &mut xtra::Context<Self>) {
        let message: Message = match postcard::from_bytes(&bytes) {
            Ok(message) => message,
            Err(error) => return log::debug!("a datagram can't be read: {error}"),
        };
        let received = self.fleet.receive(message, self.now());
        for (peer, zone) in received.new_hosts {
            self.record(Event::HostHeard { peer, zone });
        }
        self.send(received.send);
        if self.followers.is_empty() {
            self.ask(&cx.mailbox().address());
        }
    }
}

impl Handler<Tick> for EntryControl {
    type Return = ();

    async fn handle(&mut self, Tick { due }: Tick, cx: &mut xtra::Context<Self>) {
        let now = self.now();
        self.parts.metrics.control_waited(now.saturating_sub(due));
        for target in self.known_state.expire_lapsed(now) {
            self.target_gone(target, Source::Listing);
        }
        for peer in self.fleet.detect_lost(now) {
            self.record(Event::HostLost {
                peer: peer.info.host,
                silent_ms: now.saturating_sub(peer.last_heard).as_millis() as u64,
                zone: peer.zone,
            });
        }
        self.send_due();
        let own = cx.mailbox().address();
        self.watch(&own);
        self.ask(&own);
        self.register(&own);
        self.publish();
    }
}

impl Handler<Leave> for EntryControl {
    type Return = ();

    async fn handle(&mut self, Leave: Leave, _: &mut xtra::Context<Self>) {
        self.leaving = true;
        self.announce();
        self.publish();
    }
}

impl Handler<Reload> for EntryControl {
    type Return = ();

    async fn handle(&mut self, Reload(settings): Reload, _: &mut xtra::Context<Self>) {
        let EntrySettings { bounds, seeds, zones, .. } = settings;
        let known = EntrySettings::clone(&self.parts.settings);
        self.parts.settings = Arc::new(EntrySettings { bounds, seeds, zones, ..known });
        let seeds = gossip_seeds(&self.parts.settings);
        self.fleet.reload(seeds, self.parts.settings.zones.clone());
    }
}

impl Handler<StateQuery> for EntryControl {
    type Return = io::Result<Bytes>;

    async fn handle(
        &mut self,
        StateQuery(since): StateQuery,
        _: &mut xtra::Context<Self>,
    ) -> Self::Return {
        let known = self.known_state.revisions();
        let before = self.response_cache.compressed_bytes();
        let answer = self.response_cache.response(&self.raw, known, since);
        self.parts.metrics.state_answered(self.response_cache.compressed_bytes() - before);
        answer
    }
}

impl Handler<StateAnswer> for EntryControl {
    type Return = ();

    async fn handle(
        &mut self,
        StateAnswer { addr, since, received }: StateAnswer,
        cx: &mut xtra::Context<Self>,
    ) {
        let now = self.now();
        self.questions.record_outcome(addr, QueryOutcome::of(&received), now);
        let Ok(received) = received else {
            let own = cx.mailbox().address();
            self.watch(&own);
            return self.ask(&own);
        };
        self.told_at = now;
        let mine = self.known_state.revisions();
        for difference in &received.diff.parts {
            let (part, revision) = (difference.part, difference.revision);
            if mine.of(part) < revision {
                let objects = difference.apply_to(&self.raw);
                self.listed(part, objects, Source::Host);
                self.known_state.record_revision(part, revision);
                self.response_cache.cache_received(&received, part, &self.raw, since);
            }
        }
        self.publish();
    }
}

impl Handler<HostsListed> for EntryControl {
    type Return = ();

    async fn handle(&mut self, HostsListed(hosts): HostsListed, _: &mut xtra::Context<Self>) {
        match hosts {
            Some(records) => {
                let now = self.now();
                self.fleet.replace_contacts(records.iter().map(|record| record.gossip), now);
                self.tidy(&records);
            }
            None => self.list_hosts_at = self.now() + REGISTER_PAUSE,
        }
    }
}

impl Handler<Registered> for EntryControl {
    type Return = ();

    async fn handle(&mut self, Registered(done): Registered, _: &mut xtra::Context<Self>) {
        self.register_at = if done { None } else { Some(self.now() + REGISTER_PAUSE) };
    }
}
