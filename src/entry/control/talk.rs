//! What this host tells others and asks of them and of the store.

use std::collections::BTreeSet;

use xtra::WeakAddress;

use super::{EntryControl, HostsListed, Registered, Shared};
use crate::{
    entry::{Heartbeat, Protocol, records::HostRecord},
    event_log::Event,
    prelude::*,
    store::{Entry, Expect, Platform, PlatformError, new_operation},
};

/// Beats between two to a host of another region, which needs to know little more than that this
/// one lives.
pub(super) const FAR_HEARTBEATS: u64 = 5;

/// Beats between two greetings of addresses that nobody was heard from.
const GREET_HEARTBEATS: u64 = 10;

/// Addresses of other hosts in one heartbeat: enough to find all within a second or two.
const TOLD_PEERS: usize = 3;

/// Pause before the own record is written again after a failure.
pub(super) const REGISTER_PAUSE: Duration = Duration::from_secs(2);

/// Pause between two readings of the hosts' records, and the time from the start to the first:
/// heartbeats tell the rest, and a host that was heard by then tells of the others.
const LIST_HOSTS_PAUSE: Duration = Duration::from_secs(60);
pub(super) const LIST_HOSTS_FIRST: Duration = Duration::from_millis(1_000);

/// Beats in which a new host greets all the time, and the number between two greetings then.
pub(super) const NEW_HEARTBEATS: u64 = 20;
const NEW_GREET_HEARTBEATS: u64 = 2;

impl EntryControl {
    pub(super) fn heartbeat(&mut self) -> Heartbeat {
        self.turn += 1;
        let settings = &self.parts.settings;
        let report = self.parts.report.load();
        let all: Vec<SocketAddr> = self.peers.addresses().collect();
        let first = self.turn as usize * TOLD_PEERS;
        let told =
            all.iter().cycle().skip(first % all.len().max(1)).take(TOLD_PEERS.min(all.len()));
        Heartbeat {
            callers: settings.listen.callers,
            control: settings.listen.control,
            crashes: report.crashes.clone(),
            demand: report.demand.clone(),
            gossip: settings.listen.gossip,
            host: settings.host.clone(),
            leaving: self.leaving,
            peers: told.copied().collect(),
            reaches_store: self.election.reaches_store(self.now()),
            running: report.running.clone(),
            runs: report.runs.clone(),
            stamp: self.known_state.stamp(),
            start: self.start,
            turn: self.turn,
            zone: settings.zone.clone(),
        }
    }

    /// Sends a heartbeat to all whose turn it is.
    pub(super) fn send_heartbeats(&mut self) {
        let now = self.now();
        let heartbeat = self.heartbeat();
        let bytes = match postcard::to_allocvec(&heartbeat) {
            Ok(bytes) => bytes,
            Err(error) => return log::error!("a heartbeat can't be encoded: {error}"),
        };
        let far = self.turn.is_multiple_of(FAR_HEARTBEATS);
        let region = &self.parts.settings.region;
        let mut to: BTreeSet<SocketAddr> = self
            .peers
            .live(now)
            .filter(|peer| far || peer.region == *region)
            .map(|peer| peer.heartbeat.gossip)
            .collect();
        let greet =
            if self.turn < NEW_HEARTBEATS { NEW_GREET_HEARTBEATS } else { GREET_HEARTBEATS };
        if self.turn % greet == 1 {
            let port = self.parts.settings.listen.gossip.port();
            let seeds = self.parts.settings.seeds.iter();
            to.extend(seeds.map(|seed| SocketAddr::new(seed.ip(), port)));
            to.extend(self.listed_hosts.iter().copied());
            to.extend(self.peers.addresses());
        }
        to.remove(&self.parts.settings.listen.gossip);
        for addr in to {
            if let Err(error) = self.parts.socket.try_send_to(&bytes, addr) {
                log::debug!("heartbeat to {addr}: {error}");
            }
        }
    }

    /// Asks another host that knows more.
    pub(super) fn ask(&mut self, own: &WeakAddress<Self>) {
        let now = self.now();
        let mine = self.known_state.stamp();
        let region = &self.parts.settings.region;
        let watches = !self.followers.is_empty();
        let live = self.peers.live(now);
        let Some(addr) = self.questions.next(&mine, live, region, watches, now) else { return };
        let (peer_client, own) = (self.peer_client.clone(), own.clone());
        let events = self.parts.events.clone();
        tokio::spawn(async move {
            let answer = peer_client.ask(addr, mine.revisions).await;
            if let Err(error) = &answer {
                let reason = error.to_string().into();
                events.record(None, Event::HostUnanswering { addr, reason });
            }
            let _ = own.send(Shared { addr, told: answer.ok() }).await;
        });
    }

    /// Writes this host's record, or reads all.
    pub(super) fn register(&mut self, own: &WeakAddress<Self>) {
        let now = self.now();
        let keys = self.parts.protocol.keys();
        let store = self.parts.store.clone();
        if self.register_at.is_some_and(|at| at <= now) {
            self.register_at = Some(now + REGISTER_PAUSE * 4);
            let key = format!("{}{}", keys.hosts, self.parts.settings.host);
            let value = self.parts.protocol.host_object(self.parts.settings.listen.gossip);
            let own = own.clone();
            let store = store.clone();
            tokio::spawn(async move {
                let done = put_record(&*store, &key, value).await;
                if let Err(error) = &done {
                    log::info!("this host's record is not written: {error}");
                }
                let _ = own.send(Registered(done.is_ok())).await;
            });
        }
        if self.list_hosts_at <= now {
            self.list_hosts_at = now + LIST_HOSTS_PAUSE;
            let is_first = self.turn <= NEW_HEARTBEATS;
            if is_first && self.peers.live(now).next().is_some() {
                return;
            }
            let protocol = self.parts.protocol.clone();
            let own = own.clone();
            tokio::spawn(async move {
                let hosts = store.list(keys.hosts).await;
                if let Err(error) = &hosts {
                    log::info!("the hosts' records are not read: {error}");
                }
                let record = |entry: &Entry| record(&*protocol, entry);
                let hosts =
                    hosts.ok().map(|hosts| hosts.entries.iter().filter_map(record).collect());
                let _ = own.send(HostsListed(hosts)).await;
            });
        }
    }

    /// Removes records of hosts that are gone, and writes the own one again if it is missing.
    pub(super) fn tidy(&mut self, records: &[HostRecord]) {
        let now = self.now();
        let own = self.parts.settings.listen.gossip;
        if !records.iter().any(|record| record.gossip == own) {
            self.register_at.get_or_insert(now);
        }
        let heard = self.peers.live(now).map(|peer| peer.heartbeat.gossip).collect();
        for record in self.records.stale(records, &heard, own, now) {
            let store = self.parts.store.clone();
            tokio::spawn(async move {
                let expect = Expect::Version(record.version);
                match store.delete(&record.key, expect, new_operation()).await {
                    Ok(_) => log::info!("{} is gone for long; its record is removed", record.key),
                    Err(error) => log::info!("{} is not removed: {error}", record.key),
                }
            });
        }
    }
}

fn record(protocol: &dyn Protocol, entry: &Entry) -> Option<HostRecord> {
    match protocol.host(&entry.object.value) {
        Ok(gossip) => {
            Some(HostRecord { gossip, key: entry.key.clone(), version: entry.object.version })
        }
        Err(error) => {
            log::warn!("{} is left out: {error}", entry.key);
            None
        }
    }
}

async fn put_record(
    store: &dyn Platform,
    key: &str,
    value: bytes::Bytes,
) -> crate::store::Result<()> {
    match store.put(key, Expect::Absent, value.clone(), new_operation()).await {
        Err(PlatformError::Conflict { current: Some(version) }) => {
            // The record of this host's last start.
            store.put(key, Expect::Version(version), value, new_operation()).await.map(|_| ())
        }
        other => other.map(|_| ()),
    }
}
