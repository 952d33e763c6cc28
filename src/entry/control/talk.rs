//! What this host tells others and asks of them and of the store.

use std::collections::BTreeSet;

use xtra::WeakAddress;

use super::{Enrolled, EntryControl, Roll, Shared};
use crate::{
    entry::{Beat, Part},
    prelude::*,
    store::{Entry, Expect, Platform, PlatformError, new_operation},
};

/// Beats between two to a host of another region, which needs to know little more than that this
/// one lives.
pub(super) const FAR_BEATS: u64 = 5;

/// Beats between two greetings of addresses that nobody was heard from.
const GREET_BEATS: u64 = 10;

/// Addresses of other hosts in one beat: enough to find all within a second or two.
const TOLD_PEERS: usize = 3;

/// A watcher that knows less than another host for longer asks it: the store's own word takes less
/// time where it comes at all. Hosts that do not watch ask at once.
const LAG: Duration = Duration::from_millis(400);

/// Pause between two questions to other hosts while they are not answered.
const ASK_PAUSE: Duration = Duration::from_millis(500);

/// Pause before the own record is written again after a failure.
pub(super) const ENROL_PAUSE: Duration = Duration::from_secs(2);

/// Pause between two readings of the hosts' records, and the time from the start to the first:
/// beats tell the rest, and a host that was heard by then tells of the others.
const ROLL_PAUSE: Duration = Duration::from_secs(60);
pub(super) const ROLL_FIRST: Duration = Duration::from_millis(1_000);

/// Beats in which a new host greets all the time, and the number between two greetings then.
pub(super) const NEW_BEATS: u64 = 20;
const NEW_GREET_BEATS: u64 = 2;

impl EntryControl {
    pub(super) fn beat(&mut self) -> Beat {
        self.turn += 1;
        let settings = &self.parts.settings;
        let report = self.parts.report.load();
        let all: Vec<SocketAddr> = self.peers.addresses().collect();
        let first = self.turn as usize * TOLD_PEERS;
        let told =
            all.iter().cycle().skip(first % all.len().max(1)).take(TOLD_PEERS.min(all.len()));
        Beat {
            callers: settings.listen.callers,
            control: settings.listen.control,
            crashes: report.crashes.clone(),
            demand: report.demand.clone(),
            gossip: settings.listen.gossip,
            host: settings.host.clone(),
            leaving: self.leaving,
            peers: told.copied().collect(),
            reaches_store: self.watching.reaches_store(self.now()),
            running: report.running.clone(),
            stamp: self.beliefs.stamp(),
            start: self.start,
            turn: self.turn,
            zone: settings.zone.clone(),
        }
    }

    /// Sends a beat to all whose turn it is.
    pub(super) fn send_beats(&mut self) {
        let now = self.now();
        let beat = self.beat();
        let bytes = match postcard::to_allocvec(&beat) {
            Ok(bytes) => bytes,
            Err(error) => return log::error!("a beat can't be encoded: {error}"),
        };
        let far = self.turn.is_multiple_of(FAR_BEATS);
        let region = &self.parts.settings.region;
        let mut to: BTreeSet<SocketAddr> = self
            .peers
            .live(now)
            .filter(|peer| far || peer.region == *region)
            .map(|peer| peer.beat.gossip)
            .collect();
        let greet = if self.turn < NEW_BEATS { NEW_GREET_BEATS } else { GREET_BEATS };
        if self.turn % greet == 1 {
            let port = self.parts.settings.listen.gossip.port();
            let seeds = self.parts.settings.seeds.iter();
            to.extend(seeds.map(|seed| SocketAddr::new(seed.ip(), port)));
            to.extend(self.rolled.iter().copied());
            to.extend(self.peers.addresses());
        }
        to.remove(&self.parts.settings.listen.gossip);
        for addr in to {
            if let Err(error) = self.parts.socket.try_send_to(&bytes, addr) {
                log::debug!("beat to {addr}: {error}");
            }
        }
    }

    /// Asks another host that knows more.
    pub(super) fn ask(&mut self, own: &WeakAddress<Self>) {
        let now = self.now();
        let mine = self.beliefs.stamp();
        let region = &self.parts.settings.region;
        let ahead = self.peers.live(now).filter(|peer| {
            Part::ALL.into_iter().any(|part| peer.beat.stamp.is_ahead_of(&mine, part))
        });
        // The nearest one answers soonest.
        let Some(peer) = ahead.max_by_key(|peer| peer.region == *region) else {
            self.lags_since = None;
            return;
        };
        let since = *self.lags_since.get_or_insert(now);
        let patient = !self.followers.is_empty() && mine.declared != 0;
        if (patient && now.saturating_sub(since) < LAG) || now < self.ask_at {
            return;
        }
        self.ask_at = now + ASK_PAUSE;
        let (asker, addr, own) = (self.asker.clone(), peer.beat.control, own.clone());
        tokio::spawn(async move {
            let answer = asker.ask(addr, mine.revisions).await;
            if let Err(error) = &answer {
                log::info!("host {addr} does not tell what it knows: {error}");
            }
            let _ = own.send(Shared(answer.ok())).await;
        });
    }

    /// Writes this host's record, or reads all.
    pub(super) fn enrol(&mut self, own: &WeakAddress<Self>) {
        let now = self.now();
        let keys = self.parts.dialect.keys();
        let store = self.parts.store.clone();
        if self.enrol_at.is_some_and(|at| at <= now) {
            self.enrol_at = Some(now + ENROL_PAUSE * 4);
            let key = format!("{}{}", keys.hosts, self.parts.settings.host);
            let value = self.parts.dialect.host_object(self.parts.settings.listen.gossip);
            let own = own.clone();
            let store = store.clone();
            tokio::spawn(async move {
                let done = put_record(&*store, &key, value).await;
                if let Err(error) = &done {
                    log::info!("this host's record is not written: {error}");
                }
                let _ = own.send(Enrolled(done.is_ok())).await;
            });
        }
        if self.roll_at <= now {
            self.roll_at = now + ROLL_PAUSE;
            let is_first = self.turn <= NEW_BEATS;
            if is_first && self.peers.live(now).next().is_some() {
                return;
            }
            let dialect = self.parts.dialect.clone();
            let own = own.clone();
            tokio::spawn(async move {
                let roll = store.list(keys.hosts).await;
                if let Err(error) = &roll {
                    log::info!("the hosts' records are not read: {error}");
                }
                let read = |entry: &Entry| dialect.host(&entry.object.value).ok();
                let roll = roll.ok().map(|roll| roll.entries.iter().filter_map(read).collect());
                let _ = own.send(Roll(roll)).await;
            });
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
