//! Heartbeats and state queries to other hosts, and the records of hosts in the store.

use std::sync::atomic::Ordering;

use xtra::WeakAddress;

use super::{
    EntryControl, HEARTBEAT_INTERVAL, HostRecordWritten, HostRecordsRead, ListedHosts,
    PeerQueryResult, StoreUpdate, unix_time_ms,
};
use crate::{
    entry::{
        Protocol, Stamp, StorePart, peer_queries::QueryOutcome, stale_records::HostRecord,
        sync::Query,
    },
    event_log::Event,
    fleet::{Load, Message, Outgoing, OwnState},
    prelude::*,
    store::{Entry, Expect, FollowEvent, Platform, PlatformError, new_operation_id},
};

/// Length of the time slots into which the wall clock is divided. The hosts of a zone take turns,
/// by slot, to send the zone's report.
const REPORT_SLOT_MS: u64 = HEARTBEAT_INTERVAL.as_millis() as u64;

/// Pause after a failure to write this host's record, or to read the records of all hosts.
pub(super) const RECORD_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Time from the start until this host's record is written. By then the host knows whether enough
/// hosts of its zone have records.
pub(super) const FIRST_WRITE_RECORD_DELAY: Duration = Duration::from_millis(1_500);

/// Number of hosts in a zone that keep records in the store. A host that starts needs one live host
/// to find all others; if all hosts had records, the start of a fleet would need as many writes as
/// it has hosts.
const RECORDED_HOSTS_PER_ZONE: usize = 3;

/// Interval at which the records of all hosts are read. Between the reads, heartbeats carry the
/// addresses of other hosts.
const READ_RECORDS_INTERVAL: Duration = Duration::from_secs(60);
/// Interval of the reads while no other host is live.
const ISOLATED_READ_RECORDS_INTERVAL: Duration = Duration::from_secs(2);
/// Time from the start until the first read. By then another host may have sent the addresses of
/// the others, which makes the read unnecessary.
pub(super) const FIRST_READ_RECORDS_DELAY: Duration = Duration::from_millis(1_000);

impl EntryControl {
    fn own_state(&self) -> OwnState {
        OwnState {
            declaration_checked_at: self.declaration_checked_at,
            leaving: self.leaving,
            load: Load::clone(&self.parts.load.load()),
            reaches_store: self.election.reaches_store(self.now()),
            reaches_targets: self.parts.reaches_targets.load(Ordering::Relaxed),
            stamp: self.known_state.stamp(self.objects.served_revisions()),
            strained: self.parts.strained.load(Ordering::Relaxed),
        }
    }

    /// Sends the heartbeats, reports and probes that are due.
    pub(super) fn send_heartbeats(&mut self) {
        let messages =
            self.fleet.tick(self.own_state(), unix_time_ms() / REPORT_SLOT_MS, self.now());
        self.send(messages);
    }

    /// Sends a change to other hosts at once.
    pub(super) fn announce(&mut self) {
        let messages =
            self.fleet.announce(self.own_state(), unix_time_ms() / REPORT_SLOT_MS, self.now());
        self.send(messages);
    }

    pub(super) fn send(&self, messages: Vec<Outgoing>) {
        for Outgoing { message, to } in messages {
            let bytes = match message.encode() {
                Ok(bytes) => bytes,
                Err(error) => return log::error!("cannot encode a datagram: {error}"),
            };
            for addr in to {
                if let Err(error) = self.parts.socket.try_send_to(&bytes, addr) {
                    log::debug!("cannot send a datagram to {addr}: {error}");
                }
            }
        }
    }

    /// Whether a message shows that another host has newer data.
    pub(super) fn is_behind(&self, message: &Message) -> bool {
        let own = self.known_state.stamp(self.objects.revisions());
        let is_newer =
            |stamp: &Stamp| StorePart::ALL.iter().any(|part| stamp.is_ahead_of(&own, *part));
        message.stamps().any(is_newer)
    }

    /// Queries another host that has newer data, if a query is due.
    pub(super) fn query_peer(&mut self, own: &WeakAddress<Self>) {
        let now = self.now();
        let own_stamp = self.known_state.stamp(self.objects.revisions());
        let region = &self.parts.settings.region;
        let is_watcher = !self.followers.is_empty();
        let sources = self.fleet.state_sources(now);
        let Some(addr) = self.peer_queries.next_peer(&own_stamp, sources, region, is_watcher, now)
        else {
            return;
        };
        self.send_query(addr, Query::since(own_stamp.revisions), own);
    }

    /// Queries a host for all that differs in some parts, because their history there doesn't reach
    /// back to this host's revisions, or because applying the changes did not make them equal.
    pub(super) fn compare_with_peer(
        &mut self,
        addr: SocketAddr,
        parts: &[StorePart],
        own: &WeakAddress<Self>,
    ) {
        let digests = |part: &StorePart| (*part, self.objects.part(*part).digests());
        let digests = parts.iter().map(digests).collect();
        let query = Query { since: self.objects.revisions(), digests };
        self.peer_queries.record_sent(self.now());
        self.send_query(addr, query, own);
    }

    fn send_query(&self, addr: SocketAddr, query: Query, own: &WeakAddress<Self>) {
        let now = self.now();
        let (peer_client, own) = (self.peer_client.clone(), own.clone());
        let (events, metrics) = (self.parts.events.clone(), self.parts.metrics.clone());
        let clock = self.parts.clock.clone();
        tokio::spawn(async move {
            let result = peer_client.query(addr, &query).await;
            let outcome = QueryOutcome::of(&result);
            metrics.record_state_query(clock.now().saturating_sub(now), outcome.name());
            if let Err(error) = &result {
                let reason = error.to_string().into();
                events.record(None, Event::HostUnanswering { addr, reason });
            }
            let _ = own.send(PeerQueryResult { addr, query, result }).await;
        });
    }

    /// Writes this host's record and reads the records of all hosts when due. Does nothing if
    /// enough other hosts of the zone keep records.
    pub(super) fn sync_host_records(&mut self, own: &WeakAddress<Self>) {
        let now = self.now();
        let prefixes = self.parts.protocol.store_prefixes();
        let store = self.parts.store.clone();
        if RECORDED_HOSTS_PER_ZONE <= self.fleet.rank_in_zone(now) {
            return;
        }
        if self.write_record_at.is_some_and(|at| at <= now) {
            self.write_record_at = Some(now + RECORD_RETRY_PAUSE * 4);
            let key = format!("{}{}", prefixes.hosts, self.parts.settings.host);
            let value = self.parts.protocol.encode_host(self.parts.settings.listen.gossip);
            let own = own.clone();
            let store = store.clone();
            tokio::spawn(async move {
                let result = write_record(&*store, &key, value).await;
                if let Err(error) = &result {
                    log::info!("cannot write this host's record to the store: {error}");
                }
                let _ = own.send(HostRecordWritten(result.is_ok())).await;
            });
        }
        if self.read_records_at <= now {
            self.read_records_at = now + READ_RECORDS_INTERVAL;
            let is_alone = self.fleet.live(now).next().is_none();
            if self.fleet.is_new() && !is_alone {
                return;
            }
            if is_alone {
                self.read_records_at = now + ISOLATED_READ_RECORDS_INTERVAL;
            }
            let protocol = self.parts.protocol.clone();
            let own = own.clone();
            tokio::spawn(async move {
                let hosts = store.list_allow_stale(prefixes.hosts).await;
                if let Err(error) = &hosts {
                    log::info!("cannot read the records of hosts from the store: {error}");
                }
                let record = |entry: &Entry| decode_record(&*protocol, entry);
                let records = hosts.ok().map(|hosts| ListedHosts {
                    is_complete: hosts.gap.is_none(),
                    records: hosts.entries.iter().filter_map(record).collect(),
                });
                let _ = own.send(HostRecordsRead(records)).await;
            });
        }
    }

    /// Lists the targets in the store while this host knows none. Most listings may be seconds old,
    /// since these cost the store least.
    pub(super) fn check_missing_targets(&mut self, own: &WeakAddress<Self>) {
        let (now, known) = (self.now(), self.objects.part(StorePart::Targets).revision());
        let is_listed = known != 0;
        let has_targets = !is_listed || self.known_state.has_targets();
        let Some(missing_for) = self.missing_targets.check(has_targets, now) else { return };
        self.record_event(Event::TargetsMissing { for_ms: missing_for.as_millis() as u64 });
        let prefix = self.parts.protocol.store_prefixes().targets;
        let (store, own) = (self.parts.store.clone(), own.clone());
        tokio::spawn(async move {
            let listing = match store.list_allow_stale(prefix).await {
                Ok(old) if !old.entries.is_empty() && old.version < known => {
                    store.list(prefix).await
                }
                listing => listing,
            };
            match listing {
                Ok(listing) => {
                    let update = FollowEvent::Listed(listing);
                    let _ = own.send(StoreUpdate(StorePart::Targets, update)).await;
                }
                Err(error) => log::info!("cannot list the targets in the store: {error}"),
            }
        });
    }

    /// Removes records of hosts that have been silent for long, and has this host's record written
    /// again if it is missing.
    pub(super) fn reconcile_host_records(&mut self, listed: &ListedHosts) {
        let ListedHosts { is_complete, records } = listed;
        let now = self.now();
        let own = self.parts.settings.listen.gossip;
        if *is_complete && !records.iter().any(|record| record.gossip == own) {
            self.write_record_at.get_or_insert(now);
        }
        let live = self.fleet.live(now).map(|peer| peer.info.gossip).collect();
        for record in self.stale_records.find_stale(records, &live, own, now) {
            let store = self.parts.store.clone();
            tokio::spawn(async move {
                let expect = Expect::Version(record.version);
                match store.delete(&record.key, expect, new_operation_id()).await {
                    Ok(_) => log::info!("removed the record {:?} of a silent host", record.key),
                    Err(error) => log::info!("cannot remove the record {:?}: {error}", record.key),
                }
            });
        }
    }
}

/// Decodes a host's record; an invalid one is logged and ignored.
fn decode_record(protocol: &dyn Protocol, entry: &Entry) -> Option<HostRecord> {
    match protocol.decode_host(&entry.object.value) {
        Ok(gossip) => {
            Some(HostRecord { gossip, key: entry.key.clone(), version: entry.object.version })
        }
        Err(error) => {
            log::warn!("ignoring the host record {:?}: {error}", entry.key);
            None
        }
    }
}

/// Creates a host's record, or replaces an existing one.
async fn write_record(
    store: &dyn Platform,
    key: &str,
    value: bytes::Bytes,
) -> crate::store::Result<()> {
    match store.put(key, Expect::Absent, value.clone(), new_operation_id()).await {
        Err(PlatformError::Conflict { current: Some(version) }) => {
            // The record was written by an earlier process of this host.
            store.put(key, Expect::Version(version), value, new_operation_id()).await.map(|_| ())
        }
        other => other.map(|_| ()),
    }
}
