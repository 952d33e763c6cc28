//! Election of the hosts that watch the store.
//!
//! A pending watch counts as a call to the store, and each watcher calls again after every change.
//! Therefore only two hosts of a region watch, of the live ones that reach the store: those with the
//! most processor time, chosen by hash among equals. The others learn of changes by heartbeats and query a host that has them. A host that
//! knows of no other live host watches the store itself.

use xxhash_rust::xxh3::xxh3_64;

use crate::{fleet::Peer, prelude::*};

/// Number of watchers in a region: if one fails, the other still gets changes until the failure is
/// detected.
const WATCHERS_PER_REGION: usize = 2;

/// Number of hosts of a region that list the store when they start without any state. The others
/// get it from them, compressed: if a thousand hosts listed ten thousand targets at once, the
/// store's link would take half a minute.
const STARTING_WATCHERS_PER_REGION: usize = 32;

/// Time after the start in which a host learns of others before it lists the store. Its first
/// probes are answered within it.
const DISCOVERY_TIME: Duration = Duration::from_millis(200);

/// Time after the start after which a host without any state lists the store itself.
const MAX_STATE_WAIT: Duration = Duration::from_secs(3);

/// Time for which a watcher goes on watching although enough hosts are ranked ahead of it. The set
/// of live hosts changes often right after a start.
const STEP_DOWN_DELAY: Duration = Duration::from_secs(3);

/// Time after the start in which a surplus watcher stops at once: otherwise all hosts that start
/// together would watch.
const STARTUP_PERIOD: Duration = Duration::from_millis(1_500);

/// Time after which a host that did not reach the store may be elected again.
const STORE_RETRY_DELAY: Duration = Duration::from_secs(8);

/// This host, as the election ranks it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Processor time that the host may use, in hundredths of a core. Hosts with more are preferred,
    /// since watchers send what has changed to the others.
    pub capacity: u16,
    pub host: &'a HostId,
    /// Whether the host has received the store's state, from wherever.
    pub has_state: bool,
    pub region: &'a RegionId,
}

/// Decides whether this host watches the store.
#[derive(Debug, Default)]
pub struct WatcherElection {
    is_watcher: bool,
    is_standby: bool,
    /// When the store first failed to answer since its last answer.
    store_lost_at: Option<Moment>,
    /// Since when enough hosts have been ranked ahead of this watcher.
    surplus_since: Option<Moment>,
    started_at: Moment,
}

impl WatcherElection {
    /// Creates the election of a host that starts now.
    pub fn new(now: Moment) -> Self {
        Self { started_at: now, ..Self::default() }
    }

    /// Decides again and returns whether this host watches; `peers` are the live hosts of all
    /// regions.
    pub fn decide<'a>(
        &mut self,
        candidate: Candidate<'_>,
        peers: impl Iterator<Item = &'a Peer>,
        now: Moment,
    ) -> bool {
        let age = now.saturating_sub(self.started_at);
        let rank = |host: &HostId, capacity| (capacity, xxh3_64(host.as_bytes()), host.clone());
        let own = rank(candidate.host, candidate.capacity);
        let is_ahead = |peer: &&Peer| {
            peer.region == *candidate.region
                && peer.info.reaches_store
                && own < rank(&peer.info.host, peer.info.capacity)
        };
        if !candidate.has_state && !self.is_watcher && age < DISCOVERY_TIME {
            return false;
        }
        let watchers = match candidate.has_state {
            true => WATCHERS_PER_REGION,
            false => STARTING_WATCHERS_PER_REGION,
        };
        let ranked_ahead = peers.filter(is_ahead).take(watchers).count();
        let is_waiting_in_vain = !candidate.has_state && self.has_waited(now);
        let is_elected = ranked_ahead < watchers || is_waiting_in_vain;
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

    /// Whether a host without any state has waited long enough for others to send it.
    pub fn has_waited(&self, now: Moment) -> bool {
        MAX_STATE_WAIT <= now.saturating_sub(self.started_at)
    }

    /// Whether another host of the region is ranked ahead. A standby watcher covers a failure of
    /// that host and may receive updates later.
    pub fn is_standby(&self) -> bool {
        self.is_standby
    }

    /// Records that the store answered.
    pub fn store_answered(&mut self) {
        self.store_lost_at = None;
    }

    /// Records that the store did not answer.
    pub fn store_failed(&mut self, now: Moment) {
        self.store_lost_at.get_or_insert(now);
    }

    /// Whether this host is assumed to reach the store.
    pub fn reaches_store(&self, now: Moment) -> bool {
        let long_ago = |at: Moment| STORE_RETRY_DELAY <= now.saturating_sub(at) && !self.is_watcher;
        self.store_lost_at.is_none_or(long_ago)
    }
}
