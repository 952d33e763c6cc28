//! What the control actor does with each message.

use std::io;

use bytes::Bytes;
use xtra::{Actor, Handler};

use super::{
    Datagram, EntryControl, HostsListed, Leave, Registered, Reload, Share, Shared, Tick, Told,
    talk::{FAR_HEARTBEATS, REGISTER_PAUSE},
};
use crate::{
    entry::{EntrySettings, Heartbeat, Part},
    event_log::{Event, Source},
    prelude::*,
};

impl Actor for EntryControl {
    type Stop = ();

    async fn stopped(self) -> Self::Stop {}
}

impl Handler<Told> for EntryControl {
    type Return = ();

    async fn handle(&mut self, Told(part, told): Told, _: &mut xtra::Context<Self>) {
        if self.told(part, told) {
            self.publish();
            // Hosts that do not watch hear of it now, not with the next heartbeat.
            self.send_heartbeats();
        }
    }
}

impl Handler<Datagram> for EntryControl {
    type Return = ();

    async fn handle(&mut self, Datagram(bytes): Datagram, cx: &mut xtra::Context<Self>) {
        let heartbeat: Heartbeat = match postcard::from_bytes(&bytes) {
            Ok(heartbeat) => heartbeat,
            Err(error) => return log::debug!("a datagram is no heartbeat: {error}"),
        };
        if heartbeat.host == self.parts.settings.host {
            return;
        }
        let now = self.now();
        let region = self.parts.settings.region_of(&heartbeat.zone);
        let told: Vec<SocketAddr> = heartbeat.peers.clone();
        let host = heartbeat.host.clone();
        let zone = heartbeat.zone.clone();
        if self.peers.heard(heartbeat, region, now) {
            self.record(Event::HostHeard { peer: host, zone });
        }
        if self.followers.is_empty() {
            self.ask(&cx.mailbox().address());
        }
        for addr in told {
            if !self.listed_hosts.contains(&addr) && self.listed_hosts.len() < 4096 {
                self.listed_hosts.push(addr);
            }
        }
    }
}

impl Handler<Tick> for EntryControl {
    type Return = ();

    async fn handle(&mut self, Tick: Tick, cx: &mut xtra::Context<Self>) {
        let now = self.now();
        for target in self.known_state.tick(now) {
            self.target_gone(target, Source::Listing);
        }
        for peer in self.peers.tick(now) {
            self.record(Event::HostLost {
                peer: peer.heartbeat.host,
                silent_ms: now.saturating_sub(peer.heard).as_millis() as u64,
                zone: peer.heartbeat.zone,
            });
        }
        self.send_heartbeats();
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
        self.turn = self.turn.next_multiple_of(FAR_HEARTBEATS) - 1;
        self.send_heartbeats();
        self.publish();
    }
}

impl Handler<Reload> for EntryControl {
    type Return = ();

    async fn handle(&mut self, Reload(settings): Reload, _: &mut xtra::Context<Self>) {
        let EntrySettings { bounds, seeds, zones, .. } = settings;
        let known = EntrySettings::clone(&self.parts.settings);
        self.parts.settings = Arc::new(EntrySettings { bounds, seeds, zones, ..known });
    }
}

impl Handler<Share> for EntryControl {
    type Return = io::Result<Bytes>;

    async fn handle(&mut self, Share(since): Share, _: &mut xtra::Context<Self>) -> Self::Return {
        let known = self.known_state.revisions();
        self.last_answer.packed(&self.raw, known, since)
    }
}

impl Handler<Shared> for EntryControl {
    type Return = ();

    async fn handle(&mut self, Shared { addr, told }: Shared, cx: &mut xtra::Context<Self>) {
        let now = self.now();
        self.questions.ended(addr, told.is_some(), now);
        let Some(told) = told else {
            let own = cx.mailbox().address();
            self.watch(&own);
            return self.ask(&own);
        };
        self.told_at = now;
        let mine = self.known_state.revisions();
        for part in Part::ALL {
            if mine.of(part) < told.revisions.of(part) {
                let objects = told.applied(part, &self.raw);
                self.listed(part, objects, Source::Host);
                self.known_state.saw(part, told.revisions.of(part));
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
                self.listed_hosts = records.iter().map(|record| record.gossip).collect();
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
