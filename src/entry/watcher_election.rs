//! Which hosts watch the store.
//!
//! A waiting watch counts as a call, and every change makes each watcher call again. So two hosts
//! of a region watch, chosen by hash among the living that reach the store; the others hear of
//! changes by heartbeats and ask. A host that hears nobody watches itself.

use xxhash_rust::xxh3::xxh3_64;

use crate::{fleet::Peer, prelude::*};

/// Watchers in a region: while one is lost unnoticed, the other still tells.
const WATCHERS_PER_REGION: usize = 2;

/// Time for which a host goes on watching when others seem to be enough: who lives changes often
/// right after a start.
const STEP_DOWN_DELAY: Duration = Duration::from_secs(3);

/// Time after a start in which it does not go on: all that start at once would watch.
const STARTUP_PERIOD: Duration = Duration::from_millis(1_500);

/// Time after which a host that did not reach the store may be chosen again.
const STORE_RETRY_DELAY: Duration = Duration::from_secs(8);

/// Whether this host watches.
#[derive(Debug, Default)]
pub struct WatcherElection {
    is_watcher: bool,
    is_standby: bool,
    store_lost_at: Option<Moment>,
    surplus_since: Option<Moment>,
    started_at: Moment,
}

impl WatcherElection {
    /// A host that starts now.
    pub fn new(now: Moment) -> Self {
        Self { started_at: now, ..Self::default() }
    }

    /// Decides anew; `peers` are the living hosts of all regions.
    pub fn decide<'a>(
        &mut self,
        host: &HostId,
        region: &RegionId,
        peers: impl Iterator<Item = &'a Peer>,
        now: Moment,
    ) -> bool {
        let rank = |host: &HostId| (xxh3_64(host.as_bytes()), host.clone());
        let own = rank(host);
        let ahead = peers.filter(|peer| {
            peer.region == *region && peer.info.reaches_store && own < rank(&peer.info.host)
        });
        let ranked_ahead = ahead.take(WATCHERS_PER_REGION).count();
        let is_elected = ranked_ahead < WATCHERS_PER_REGION;
        self.is_standby = 0 < ranked_ahead;
        if is_elected {
            self.is_watcher = true;
            self.surplus_since = None;
        } else if self.is_watcher {
            let since = *self.surplus_since.get_or_insert(now);
            let is_starting = now.saturating_sub(self.started_at) < STARTUP_PERIOD;
            self.is_watcher = !is_starting && now.saturating_sub(since) < STEP_DOWN_DELAY;
        }
        self.is_watcher
    }

    /// Whether another host of the region watches in the first place. It stands by for the first
    /// one's loss and may be later with all that it is told.
    pub fn is_standby(&self) -> bool {
        self.is_standby
    }

    /// The store answered.
    pub fn store_answered(&mut self) {
        self.store_lost_at = None;
    }

    /// The store did not answer.
    pub fn store_failed(&mut self, now: Moment) {
        self.store_lost_at.get_or_insert(now);
    }

    /// Whether the store is thought to answer this host.
    pub fn reaches_store(&self, now: Moment) -> bool {
        let long_ago = |at: Moment| STORE_RETRY_DELAY <= now.saturating_sub(at) && !self.is_watcher;
        self.store_lost_at.is_none_or(long_ago)
    }
}
