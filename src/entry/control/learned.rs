//! Reads what hosts of the region learned earlier from the store, and writes what this host learned.

use std::sync::atomic::Ordering;

use bytes::Bytes;
use xtra::{Handler, WeakAddress};

use super::{EntryControl, LearnedStateRead, LearnedStateWritten, unix_time_ms};
use crate::{
    entry::MeasuredCell,
    event_log::Event,
    fleet::Peer,
    placement::{InitialState, LearnedState, LearnedWrites, ReadState, is_learned_writer},
    prelude::*,
    store::{Expect, Platform, PlatformError, Result, Version, VersionedObject, new_operation_id},
};

/// Interval at which a host looks whether a write is due. With a thousand hosts, the election of
/// the writer takes as many hashes.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The region's object in the store, as this host knows it.
pub(super) struct LearnedRecord {
    check_at: Moment,
    /// What the traffic side begins from.
    initial: Option<Arc<InitialState>>,
    is_read_begun: bool,
    measured: MeasuredCell,
    /// What was read. It is checked when the declaration is known.
    unchecked: Option<Bytes>,
    /// The version that a write replaces; `None` if there is no object as far as this host knows.
    version: Option<Version>,
    writes: LearnedWrites,
}

impl LearnedRecord {
    /// Creates the record of a host that starts now.
    pub fn new(measured: MeasuredCell, now: Moment) -> Self {
        Self {
            check_at: now + CHECK_INTERVAL,
            initial: None,
            is_read_begun: false,
            measured,
            unchecked: None,
            version: None,
            writes: LearnedWrites::new(now),
        }
    }

    /// What the traffic side begins from; `None` if nothing was read that may be used.
    pub fn initial(&self) -> Option<Arc<InitialState>> {
        self.initial.clone()
    }
}

impl EntryControl {
    /// Reads the region's learned values after the start, and writes them when due.
    pub(super) fn sync_learned_state(&mut self, own: &WeakAddress<Self>) {
        let now = self.now();
        let Some(learned) = &mut self.learned else { return };
        if !learned.is_read_begun {
            learned.is_read_begun = true;
            return self.read_learned_state(own);
        }
        if now < learned.check_at {
            return;
        }
        learned.check_at = now + CHECK_INTERVAL;
        let Some(declaration) = self.known_state.declaration() else { return };
        let is_known = |service: &ServiceId| declaration.has_service(service);
        let measured = learned.measured.load();
        let due = learned.writes.due(&measured, is_known, unix_time_ms(), now);
        if let Some(state) = due.filter(|_| self.is_learned_writer()) {
            self.write_learned_state(state, own);
        }
    }

    fn learned_key(&self) -> String {
        let prefix = self.parts.protocol.store_prefixes().learned;
        format!("{prefix}{}", self.parts.settings.region)
    }

    /// Reads the region's object. A listing that may be seconds old is enough and costs the store
    /// least.
    fn read_learned_state(&self, own: &WeakAddress<Self>) {
        let key = self.learned_key();
        let prefix = self.parts.protocol.store_prefixes().learned;
        let (store, own) = (self.parts.store.clone(), own.clone());
        tokio::spawn(async move {
            let result = read_learned_object(&*store, prefix, &key).await;
            let read = result.map(|object| object.map(|object| (object.value, object.version)));
            let _ = own.send(LearnedStateRead(read)).await;
        });
    }

    /// Whether this host writes for its region, of the live hosts that can.
    fn is_learned_writer(&self) -> bool {
        let now = self.now();
        let settings = &self.parts.settings;
        let reaches_targets = self.parts.reaches_targets.load(Ordering::Relaxed);
        if self.leaving || !reaches_targets || !self.election.reaches_store(now) {
            return false;
        }
        let can_write = |peer: &&Peer| {
            let info = &peer.info;
            peer.region == settings.region
                && info.reaches_store
                && info.reaches_targets
                && !info.leaving
        };
        let rivals = self.fleet.live(now).filter(can_write).map(|peer| &peer.info.host);
        is_learned_writer(&settings.region, &settings.host, rivals)
    }

    /// Writes the region's object, if it is the one that this host knows. A conflict shows that
    /// another host has written since; then this host tries again after the usual pause.
    fn write_learned_state(&mut self, state: LearnedState, own: &WeakAddress<Self>) {
        let (now, key) = (self.now(), self.learned_key());
        let Some(learned) = &mut self.learned else { return };
        learned.writes.record_attempt(now);
        let expect = learned.version.map_or(Expect::Absent, Expect::Version);
        let (store, own) = (self.parts.store.clone(), own.clone());
        tokio::spawn(async move {
            let text = state.encode();
            let bytes = text.len();
            let result = store.put(&key, expect, text.into(), new_operation_id()).await;
            let _ = own.send(LearnedStateWritten { bytes, result, state }).await;
        });
    }

    /// Checks what was read once the declaration is known, and has the traffic side begin from it.
    pub(super) fn check_learned_state(&mut self) {
        let Some(declaration) = self.known_state.declaration().cloned() else { return };
        let Some(learned) = &mut self.learned else { return };
        let Some(text) = learned.unchecked.take() else { return };
        let now_ms = unix_time_ms();
        let is_known = |service: &ServiceId| declaration.has_service(service);
        let ReadState { ignored, state } = match LearnedState::decode(&text, is_known, now_ms) {
            Ok(read) => read,
            Err(error) => return self.record_learned_ignored(error.to_string(), None),
        };
        if !state.services.is_empty() {
            learned.writes.record_stored(state.clone());
            learned.initial =
                Some(Arc::new(InitialState { read_ms: now_ms, state: state.clone() }));
        }
        for (service, error) in ignored {
            self.record_learned_ignored(error.to_string(), Some(service));
        }
        if !state.services.is_empty() {
            let age_ms = state.max_age(now_ms).as_millis() as u64;
            self.record_event(Event::LearnedRead { age_ms, services: state.services.len() });
        }
    }

    fn record_learned_ignored(&self, reason: String, service: Option<ServiceId>) {
        self.record_event(Event::LearnedIgnored { reason: reason.into(), service });
    }
}

/// Reads an object by a listing; by its key if the listing ended before it.
async fn read_learned_object(
    store: &dyn Platform,
    prefix: &str,
    key: &str,
) -> Result<Option<VersionedObject>> {
    let listing = store.list_allow_stale(prefix).await?;
    let listed = listing.entries.into_iter().find(|entry| *entry.key == *key);
    match (listed, listing.gap) {
        (None, Some(_)) => store.get(key).await,
        (listed, _) => Ok(listed.map(|entry| entry.object)),
    }
}

impl Handler<LearnedStateRead> for EntryControl {
    type Return = ();

    async fn handle(
        &mut self,
        LearnedStateRead(result): LearnedStateRead,
        _: &mut xtra::Context<Self>,
    ) {
        let read = match result {
            Ok(Some(read)) => read,
            Ok(None) => return self.record_learned_ignored("the store has none".into(), None),
            Err(error) => return self.record_learned_ignored(error.to_string(), None),
        };
        let (object, version) = read;
        let Some(learned) = &mut self.learned else { return };
        learned.version = Some(version);
        match self.parts.protocol.written_value(&object) {
            Ok(text) => learned.unchecked = Some(text),
            Err(error) => return self.record_learned_ignored(error.to_string(), None),
        }
        self.publish_view();
    }
}

impl Handler<LearnedStateWritten> for EntryControl {
    type Return = ();

    async fn handle(
        &mut self,
        LearnedStateWritten { bytes, result, state }: LearnedStateWritten,
        _: &mut xtra::Context<Self>,
    ) {
        let Some(learned) = &mut self.learned else { return };
        match result {
            // The store's client returns 0 if the object that was to be replaced does not exist.
            Ok(0) => {
                learned.version = None;
                let reason = "the store no longer has the object".into();
                self.record_event(Event::LearnedUnwritten { reason });
            }
            Ok(version) => {
                learned.version = Some(version);
                let services = state.services.len();
                learned.writes.record_stored(state);
                self.record_event(Event::LearnedWritten { bytes, services });
            }
            Err(error) => {
                if let PlatformError::Conflict { current } = &error {
                    learned.version = *current;
                }
                self.record_event(Event::LearnedUnwritten { reason: error.to_string().into() });
            }
        }
    }
}
