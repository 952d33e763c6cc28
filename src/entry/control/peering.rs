//! What this host tells others and asks of them and of the store.

use std::sync::atomic::Ordering;

use xtra::WeakAddress;

use super::{
    EntryControl, HEARTBEAT_INTERVAL, HostRecordWritten, HostRecordsRead, PeerQueryResult,
    unix_time_ms,
};
use crate::{
    entry::{Protocol, peer_queries::QueryOutcome, stale_records::HostRecord},
    event_log::Event,
    fleet::{Load, Outgoing, OwnState},
    prelude::*,
    store::{Entry, Expect, Platform, PlatformError, new_operation},
};

/// Length of a turn at sending the zone's report, in milliseconds of the time of day.
const REPORT_TURN_MS: u64 = HEARTBEAT_INTERVAL.as_millis() as u64;

/// Pause before the own record is written again after a failure.
pub(super) const RECORD_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Time from the start to the writing of the own record: by then a host knows whether its zone has
/// enough of them.
pub(super) const FIRST_REGISTER_DELAY: Duration = Duration::from_millis(1_500);

/// Hosts of a zone that keep records. Who starts needs one living host to find all others; with
/// records of all, each start of a fleet would write to the store once a host.
const RECORDED_HOSTS_PER_ZONE: usize = 3;

/// Pause between two readings of the hosts' records, and the time from the start to the first:
/// heartbeats tell the rest, and a host that was heard by then tells of the others.
const LIST_HOSTS_INTERVAL: Duration = Duration::from_secs(60);
/// Pause between two readings while nobody is heard.
const ISOLATED_LIST_HOSTS_INTERVAL: Duration = Duration::from_secs(2);
pub(super) const FIRST_LIST_HOSTS_DELAY: Duration = Duration::from_millis(1_000);

impl EntryControl {
    fn own_state(&self) -> OwnState {
        OwnState {
            declared_checked_at: self.declaration_checked_at,
            leaving: self.leaving,
            load: Load::clone(&self.parts.load.load()),
            reaches_store: self.election.reaches_store(self.now()),
            stamp: self.known_state.stamp(),
            strained: self.parts.strained.load(Ordering::Relaxed),
        }
    }

    /// Tells other hosts what is due now.
    pub(super) fn send_heartbeats(&mut self) {
        let messages =
            self.fleet.tick(self.own_state(), unix_time_ms() / REPORT_TURN_MS, self.now());
        self.send(messages);
    }

    /// Tells other hosts what they must know at once.
    pub(super) fn announce(&mut self) {
        let messages =
            self.fleet.announce(self.own_state(), unix_time_ms() / REPORT_TURN_MS, self.now());
        self.send(messages);
    }

    pub(super) fn send(&self, messages: Vec<Outgoing>) {
        for Outgoing { message, to } in messages {
            let bytes = match postcard::to_allocvec(&message) {
                Ok(bytes) => bytes,
                Err(error) => return log::error!("a datagram can't be encoded: {error}"),
            };
            for addr in to {
                if let Err(error) = self.parts.socket.try_send_to(&bytes, addr) {
                    log::debug!("datagram to {addr}: {error}");
                }
            }
        }
    }

    /// Asks another host that knows more.
    pub(super) fn query_peer(&mut self, own: &WeakAddress<Self>) {
        let now = self.now();
        let own_stamp = self.known_state.stamp();
        let region = &self.parts.settings.region;
        let is_watcher = !self.followers.is_empty();
        let sources = self.fleet.state_sources(now);
        let Some(addr) = self.peer_queries.next_peer(&own_stamp, sources, region, is_watcher, now)
        else {
            return;
        };
        let (peer_client, own) = (self.peer_client.clone(), own.clone());
        let (events, metrics) = (self.parts.events.clone(), self.parts.metrics.clone());
        let clock = self.parts.clock.clone();
        tokio::spawn(async move {
            let since = own_stamp.revisions;
            let result = peer_client.query(addr, since).await;
            let outcome = QueryOutcome::of(&result);
            metrics.queried(clock.now().saturating_sub(now), outcome.name());
            if let Err(error) = &result {
                let reason = error.to_string().into();
                events.record(None, Event::HostUnanswering { addr, reason });
            }
            let _ = own.send(PeerQueryResult { addr, since, result }).await;
        });
    }

    /// Writes this host's record, or reads all.
    pub(super) fn sync_host_records(&mut self, own: &WeakAddress<Self>) {
        let now = self.now();
        let prefixes = self.parts.protocol.store_prefixes();
        let store = self.parts.store.clone();
        if RECORDED_HOSTS_PER_ZONE <= self.fleet.rank_in_zone(now) {
            return;
        }
        if self.register_at.is_some_and(|at| at <= now) {
            self.register_at = Some(now + RECORD_RETRY_PAUSE * 4);
            let key = format!("{}{}", prefixes.hosts, self.parts.settings.host);
            let value = self.parts.protocol.encode_host(self.parts.settings.listen.gossip);
            let own = own.clone();
            let store = store.clone();
            tokio::spawn(async move {
                let result = write_record(&*store, &key, value).await;
                if let Err(error) = &result {
                    log::info!("this host's record is not written: {error}");
                }
                let _ = own.send(HostRecordWritten(result.is_ok())).await;
            });
        }
        if self.list_hosts_at <= now {
            self.list_hosts_at = now + LIST_HOSTS_INTERVAL;
            let is_alone = self.fleet.live(now).next().is_none();
            if self.fleet.is_new() && !is_alone {
                return;
            }
            if is_alone {
                self.list_hosts_at = now + ISOLATED_LIST_HOSTS_INTERVAL;
            }
            let protocol = self.parts.protocol.clone();
            let own = own.clone();
            tokio::spawn(async move {
                let hosts = store.list_lagging(prefixes.hosts).await;
                if let Err(error) = &hosts {
                    log::info!("the hosts' records are not read: {error}");
                }
                let record = |entry: &Entry| decode_record(&*protocol, entry);
                let hosts =
                    hosts.ok().map(|hosts| hosts.entries.iter().filter_map(record).collect());
                let _ = own.send(HostRecordsRead(hosts)).await;
            });
        }
    }

    /// Removes records of hosts that are gone, and writes the own one again if it is missing.
    pub(super) fn reconcile_host_records(&mut self, records: &[HostRecord]) {
        let now = self.now();
        let own = self.parts.settings.listen.gossip;
        if !records.iter().any(|record| record.gossip == own) {
            self.register_at.get_or_insert(now);
        }
        let live = self.fleet.live(now).map(|peer| peer.info.gossip).collect();
        for record in self.stale_records.find_stale(records, &live, own, now) {
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

fn decode_record(protocol: &dyn Protocol, entry: &Entry) -> Option<HostRecord> {
    match protocol.decode_host(&entry.object.value) {
        Ok(gossip) => {
            Some(HostRecord { gossip, key: entry.key.clone(), version: entry.object.version })
        }
        Err(error) => {
            log::warn!("{} is left out: {error}", entry.key);
            None
        }
    }
}

async fn write_record(
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
