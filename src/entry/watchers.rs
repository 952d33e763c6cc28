//! Which hosts watch the store.
//!
//! A waiting watch counts as a call, and every change makes each watcher call again. So two hosts
//! of a region watch, chosen by hash among the living that reach the store; the others hear of
//! changes by heartbeats and ask. A host that hears nobody watches itself.

use xxhash_rust::xxh3::xxh3_64;

use crate::{fleet::Peer, prelude::*};

/// Watchers in a region: while one is lost unnoticed, the other still tells.
const WATCHERS: usize = 2;

/// Time for which a host goes on watching when others seem to be enough: who lives changes often
/// right after a start.
const LINGER: Duration = Duration::from_secs(3);

/// Time after a start in which it does not go on: all that start at once would watch.
const NEW: Duration = Duration::from_millis(1_500);

/// Time after which a host that did not reach the store may be chosen again.
const UNREACHED: Duration = Duration::from_secs(8);

/// Whether this host watches.
#[derive(Debug, Default)]
pub struct WatcherElection {
    is_on: bool,
    is_second: bool,
    lost_at: Option<Moment>,
    spare_since: Option<Moment>,
    started: Moment,
}

impl WatcherElection {
    /// A host that starts now.
    pub fn new(now: Moment) -> Self {
        Self { started: now, ..Self::default() }
    }

    /// Decides anew; `peers` are the living hosts of all regions.
    pub fn decide<'a>(
        &mut self,
        host: &HostId,
        region: &RegionId,
        peers: impl Iterator<Item = &'a Peer>,
        now: Moment,
    ) -> bool {
        let weight = |host: &HostId| (xxh3_64(host.as_bytes()), host.clone());
        let own = weight(host);
        let before = peers.filter(|peer| {
            peer.region == *region && peer.info.reaches_store && own < weight(&peer.info.host)
        });
        let better = before.take(WATCHERS).count();
        let needed = better < WATCHERS;
        self.is_second = 0 < better;
        if needed {
            self.is_on = true;
            self.spare_since = None;
        } else if self.is_on {
            let since = *self.spare_since.get_or_insert(now);
            let is_new = now.saturating_sub(self.started) < NEW;
            self.is_on = !is_new && now.saturating_sub(since) < LINGER;
        }
        self.is_on
    }

    /// Whether another host of the region watches in the first place. It stands by for the first
    /// one's loss and may be later with all that it is told.
    pub fn is_second(&self) -> bool {
        self.is_second
    }

    /// The store answered.
    pub fn reached(&mut self) {
        self.lost_at = None;
    }

    /// The store did not answer.
    pub fn lost(&mut self, now: Moment) {
        self.lost_at.get_or_insert(now);
    }

    /// Whether the store is thought to answer this host.
    pub fn reaches_store(&self, now: Moment) -> bool {
        let long_ago = |at: Moment| UNREACHED <= now.saturating_sub(at) && !self.is_on;
        self.lost_at.is_none_or(long_ago)
    }
}
