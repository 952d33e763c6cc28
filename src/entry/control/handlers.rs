//! Message handlers of the control actor.

use std::io;

use bytes::Bytes;
use xtra::{Actor, Handler};

use super::{
    Datagram, EntryControl, HostRecordWritten, HostRecordsRead, Leave, PeerQueryResult, Reload,
    StateQuery, StoreUpdate, Tick, gossip_seeds, peering::RECORD_RETRY_PAUSE,
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

    async fn handle(
        &mut self,
        StoreUpdate(part, update): StoreUpdate,
        _: &mut xtra::Context<Self>,
    ) {
        if self.apply_update(part, update) {
            self.publish_view();
            // Hosts that do not watch learn of the change at once, not with the next heartbeat.
            self.announce();
        }
    }
}

impl Handler<Datagram> for EntryControl {
    type Return = ();

    async fn handle(&mut self, Datagram(bytes): Datagram, cx: &mut xtra::Context<Self>) {
        let message = match Message::decode(&bytes) {
            Ok(message) => message,
            Err(error) => return log::debug!("cannot decode a datagram: {error}"),
        };
        let shows_newer_state = self.is_behind(&message);
        let received = self.fleet.receive(message, self.now());
        for (peer, zone) in received.new_hosts {
            self.record_event(Event::HostHeard { peer, zone });
        }
        self.send(received.send);
        if shows_newer_state && self.followers.is_empty() {
            self.query_peer(&cx.mailbox().address());
        }
    }
}

impl Handler<Tick> for EntryControl {
    type Return = ();

    async fn handle(&mut self, Tick { due }: Tick, cx: &mut xtra::Context<Self>) {
        let now = self.now();
        self.parts.metrics.observe_control_wait(now.saturating_sub(due));
        for target in self.known_state.expire_lapsed(now) {
            self.record_target_gone(target, Source::Listing);
        }
        for target in self.known_state.expire_leaves(now) {
            self.record_target_known(&target, Source::Listing);
        }
        for zone in self.known_state.expire_kept_evacuations(now) {
            self.record_zone_taken_back(zone, Source::Listing);
        }
        for peer in self.fleet.detect_lost(now) {
            self.record_event(Event::HostLost {
                peer: peer.info.host,
                silent_ms: now.saturating_sub(peer.last_heard).as_millis() as u64,
                zone: peer.zone,
            });
        }
        self.send_heartbeats();
        let own = cx.mailbox().address();
        self.update_followers(&own);
        self.query_peer(&own);
        self.sync_host_records(&own);
        self.sync_learned_state(&own);
        self.check_missing_targets(&own);
        self.publish_view();
    }
}

impl Handler<Leave> for EntryControl {
    type Return = ();

    async fn handle(&mut self, Leave: Leave, _: &mut xtra::Context<Self>) {
        self.leaving = true;
        self.announce();
        self.publish_view();
    }
}

impl Handler<Reload> for EntryControl {
    type Return = ();

    async fn handle(&mut self, Reload(settings): Reload, _: &mut xtra::Context<Self>) {
        let EntrySettings { bounds, seeds, zones, .. } = settings;
        let current = EntrySettings::clone(&self.parts.settings);
        self.parts.settings = Arc::new(EntrySettings { bounds, seeds, zones, ..current });
        let seeds = gossip_seeds(&self.parts.settings);
        self.fleet.reload(seeds, self.parts.settings.zones.clone());
    }
}

impl Handler<StateQuery> for EntryControl {
    type Return = io::Result<Bytes>;

    async fn handle(
        &mut self,
        StateQuery(query): StateQuery,
        _: &mut xtra::Context<Self>,
    ) -> Self::Return {
        let known = self.objects.served_revisions();
        let bytes_before = self.response_cache.compressed_bytes();
        let response = self.response_cache.response(&self.objects, known, &query);
        self.parts
            .metrics
            .record_state_response(self.response_cache.compressed_bytes() - bytes_before);
        response
    }
}

impl Handler<PeerQueryResult> for EntryControl {
    type Return = ();

    async fn handle(
        &mut self,
        PeerQueryResult { addr, query, result }: PeerQueryResult,
        cx: &mut xtra::Context<Self>,
    ) {
        let now = self.now();
        self.peer_queries.record_outcome(addr, QueryOutcome::of(&result), now);
        let Ok(received) = result else {
            let own = cx.mailbox().address();
            self.update_followers(&own);
            return self.query_peer(&own);
        };
        self.state_received_at = now;
        let mut differing = received.too_old.clone();
        for diff in &received.parts {
            let part = diff.part;
            if self.apply_difference(diff, &query) {
                let is_compared = query.compares(part);
                self.response_cache.cache_received(&received, part, &self.objects, &query);
                let differs = self.objects.part(part).digest() != diff.digest;
                if differs && is_compared {
                    log::warn!("{part:?} still differs from that of {addr} after a comparison");
                } else if differs {
                    differing.push(part);
                }
            }
        }
        self.publish_view();
        if !differing.is_empty() {
            self.compare_with_peer(addr, &differing, &cx.mailbox().address());
        }
    }
}

impl Handler<HostRecordsRead> for EntryControl {
    type Return = ();

    async fn handle(
        &mut self,
        HostRecordsRead(listed): HostRecordsRead,
        _: &mut xtra::Context<Self>,
    ) {
        match listed {
            Some(listed) => {
                let now = self.now();
                let contacts = listed.records.iter().map(|record| record.gossip);
                match listed.is_complete {
                    true => self.fleet.replace_contacts(contacts, now),
                    false => self.fleet.add_listed_contacts(contacts, now),
                }
                self.reconcile_host_records(&listed);
            }
            None => self.read_records_at = self.now() + RECORD_RETRY_PAUSE,
        }
    }
}

impl Handler<HostRecordWritten> for EntryControl {
    type Return = ();

    async fn handle(
        &mut self,
        HostRecordWritten(is_written): HostRecordWritten,
        _: &mut xtra::Context<Self>,
    ) {
        self.write_record_at =
            if is_written { None } else { Some(self.now() + RECORD_RETRY_PAUSE) };
    }
}
