//! Scheduling of state queries: which other host this host queries for changes of the store, and
//! when.
//!
//! Most hosts do not watch the store. They see by heartbeats that another host has newer data, and
//! query it. Only one query is in flight at a time, since further responses on a congested link
//! would delay each other.

use xxhash_rust::xxh3::Xxh3Default;

use super::{
    Stamp, StorePart,
    sync::{self, QueryError},
};
use crate::{fleet::StateSource, prelude::*};

/// Time for which a host that watches the store waits for an update from the store before it
/// queries another host that has newer data. Hosts that do not watch query at once.
const WATCHER_QUERY_DELAY: Duration = Duration::from_millis(400);

/// Pause after a round in which every host with newer data failed to answer.
const ROUND_PAUSE: Duration = Duration::from_millis(500);

/// Time after a failed query for which this host watches the store itself. Several times the query
/// timeout, and longer than `STEP_DOWN_DELAY` of the watcher election, so that a congested link is
/// not loaded with queries again at once.
const UNANSWERED_PERIOD: Duration = Duration::from_secs(8);

/// Time for which all queried hosts may be busy before this host watches the store itself. Short
/// enough for a new declaration to be in force in time.
const MAX_BUSY: Duration = Duration::from_millis(1_500);

/// Time after which a query without a result no longer blocks the next one. Longer than the
/// timeout of any query.
const QUERY_EXPIRY: Duration = Duration::from_secs(4);

/// Outcome of a query.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueryOutcome {
    Answered,
    /// The host is at its limit of concurrent responses.
    Busy,
    Failed,
}

/// Scheduler of queries to other hosts.
#[derive(Debug)]
pub struct PeerQueries {
    /// Since when all queried hosts were busy.
    busy_since: Option<Moment>,
    /// Number of queries sent.
    sent_count: u64,
    /// Hosts whose queries failed, or that were busy, in this round.
    failed_peers: Vec<SocketAddr>,
    /// Since when another host has had newer data.
    behind_since: Option<Moment>,
    /// No query is sent before this time.
    not_before: Moment,
    /// Address of this host's control listener.
    own_addr: SocketAddr,
    /// When the query in flight was sent.
    in_flight_since: Option<Moment>,
    /// When a query last failed, or when all queried hosts had been busy for `MAX_BUSY`.
    unanswered_at: Option<Moment>,
}

impl QueryOutcome {
    /// The outcome that a result stands for.
    pub fn of<T>(result: &sync::Result<T>) -> Self {
        match result {
            Ok(_) => Self::Answered,
            Err(QueryError::Busy) => Self::Busy,
            Err(_) => Self::Failed,
        }
    }

    /// Label value in the metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Busy => "busy",
            Self::Failed => "failed",
        }
    }
}

impl PeerQueries {
    /// Creates the scheduler of the host whose control listener is at `own_addr`.
    pub fn new(own_addr: SocketAddr) -> Self {
        Self {
            busy_since: None,
            sent_count: 0,
            failed_peers: Vec::new(),
            behind_since: None,
            not_before: Moment::ZERO,
            own_addr,
            in_flight_since: None,
            unanswered_at: None,
        }
    }

    /// Picks the host to query now, if any. `own_stamp` is the stamp of this host, `others` are the
    /// stamps known of other hosts, and `watches` is whether this host watches the store itself.
    pub fn next_peer<'a>(
        &mut self,
        own_stamp: &Stamp,
        others: impl Iterator<Item = (&'a RegionId, StateSource)>,
        region: &RegionId,
        watches: bool,
        now: Moment,
    ) -> Option<SocketAddr> {
        let is_ahead = |source: &StateSource| {
            StorePart::ALL.iter().any(|part| source.stamp.is_ahead_of(own_stamp, *part))
        };
        let ahead: Vec<_> = others.filter(|(_, source)| is_ahead(source)).collect();
        if ahead.is_empty() {
            self.busy_since = None;
            self.behind_since = None;
            self.failed_peers.clear();
            return None;
        }
        let since = *self.behind_since.get_or_insert(now);
        let awaits_store =
            watches && own_stamp.declared != 0 && now.saturating_sub(since) < WATCHER_QUERY_DELAY;
        let is_in_flight =
            self.in_flight_since.is_some_and(|at| now.saturating_sub(at) < QUERY_EXPIRY);
        if awaits_store || is_in_flight || now < self.not_before {
            return None;
        }
        let candidates = ahead.iter().filter(|(_, it)| !self.failed_peers.contains(&it.control));
        // Hosts of the own region answer fastest.
        let nearest =
            |(of, it): &&(&RegionId, StateSource)| (*of == region, self.weight(it.control));
        let Some((_, source)) = candidates.max_by_key(nearest) else {
            self.failed_peers.clear();
            self.not_before = now + ROUND_PAUSE;
            return None;
        };
        let addr = source.control;
        self.record_sent(now);
        Some(addr)
    }

    /// Records that a query was sent.
    pub fn record_sent(&mut self, now: Moment) {
        self.sent_count += 1;
        self.in_flight_since = Some(now);
    }

    /// Hash that spreads the queries of each host, and of different hosts, over the candidates.
    fn weight(&self, addr: SocketAddr) -> u64 {
        let mut hasher = Xxh3Default::new();
        hasher.update(self.own_addr.to_string().as_bytes());
        hasher.update(addr.to_string().as_bytes());
        hasher.update(&self.sent_count.to_le_bytes());
        hasher.digest()
    }

    /// Records the outcome of the query to the host at `addr`.
    pub fn record_outcome(&mut self, addr: SocketAddr, outcome: QueryOutcome, now: Moment) {
        self.in_flight_since = None;
        match outcome {
            QueryOutcome::Answered => {
                self.busy_since = None;
                self.failed_peers.clear();
                self.unanswered_at = None;
            }
            QueryOutcome::Busy => {
                self.failed_peers.push(addr);
                let since = *self.busy_since.get_or_insert(now);
                if MAX_BUSY <= now.saturating_sub(since) {
                    self.unanswered_at = Some(now);
                }
            }
            QueryOutcome::Failed => {
                self.failed_peers.push(addr);
                self.unanswered_at = Some(now);
            }
        }
    }

    /// Whether hosts with newer data recently failed to answer, so that this host has to watch the
    /// store itself.
    ///
    /// Otherwise a host behind congested links would query the same watcher for five seconds, and
    /// meanwhile use an old declaration and send requests to a target that is shutting down.
    pub fn is_unanswered(&self, now: Moment) -> bool {
        self.unanswered_at.is_some_and(|at| now.saturating_sub(at) < UNANSWERED_PERIOD)
    }
}
