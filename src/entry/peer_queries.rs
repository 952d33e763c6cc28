//! Whom a host asks for what others know of the store, and when.
//!
//! Most hosts do not watch the store: they see by a heartbeat that another host knows more, and ask
//! it. One question is under way at a time, since each copy of an answer that is already late makes
//! the next one later.

use xxhash_rust::xxh3::Xxh3Default;

use super::{
    Stamp, StorePart,
    sync::{self, QueryError},
};
use crate::{fleet::StateSource, prelude::*};

/// A watcher that knows less than another host for longer asks it: the store's own word takes less
/// time where it comes at all. Hosts that do not watch ask at once.
const WATCHER_QUERY_DELAY: Duration = Duration::from_millis(400);

/// Pause after a round in which every host that knows more failed to answer.
const ROUND_PAUSE: Duration = Duration::from_millis(500);

/// Time after an unanswered question in which this host follows the store itself. Twice the longest
/// question, and longer than a watcher lingers, so that a crowded link is not asked again at once.
const UNANSWERED_PERIOD: Duration = Duration::from_secs(8);

/// Time after which a host that only busy hosts could answer follows the store itself, while a
/// declaration can still be in force in time.
const MAX_BUSY: Duration = Duration::from_millis(1_500);

/// A question that was not heard of for longer counts as failed; above the client's own timeout.
const QUERY_EXPIRY: Duration = Duration::from_secs(2);

/// What became of a question.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueryOutcome {
    Answered,
    /// The host is at its limit of concurrent answers.
    Busy,
    Failed,
}

/// Questions to other hosts.
#[derive(Debug)]
pub struct PeerQueries {
    /// Since when all queried hosts were busy.
    busy_since: Option<Moment>,
    /// How many were asked.
    sent_count: u64,
    /// Hosts that failed to answer in this round.
    failed_peers: Vec<SocketAddr>,
    /// Since when another host has known more.
    behind_since: Option<Moment>,
    not_before: Moment,
    /// Control listener of this host.
    own_addr: SocketAddr,
    /// When the question under way was sent.
    in_flight_since: Option<Moment>,
    /// When a question was last left without an answer.
    unanswered_at: Option<Moment>,
}

impl QueryOutcome {
    /// The end that a result stands for.
    pub fn of<T>(answer: &sync::Result<T>) -> Self {
        match answer {
            Ok(_) => Self::Answered,
            Err(QueryError::Busy) => Self::Busy,
            Err(_) => Self::Failed,
        }
    }

    /// As metrics name it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Busy => "busy",
            Self::Failed => "failed",
        }
    }
}

impl PeerQueries {
    /// Questions of the host whose control listener is `own`.
    pub fn new(own: SocketAddr) -> Self {
        Self {
            busy_since: None,
            sent_count: 0,
            failed_peers: Vec::new(),
            behind_since: None,
            not_before: Moment::ZERO,
            own_addr: own,
            in_flight_since: None,
            unanswered_at: None,
        }
    }

    /// The host to ask now, of those that are known to know something; `watches` says that the store tells this host too.
    pub fn next_peer<'a>(
        &mut self,
        own: &Stamp,
        others: impl Iterator<Item = (&'a RegionId, StateSource)>,
        region: &RegionId,
        watches: bool,
        now: Moment,
    ) -> Option<SocketAddr> {
        let is_ahead = |informed: &StateSource| {
            StorePart::ALL.iter().any(|part| informed.stamp.is_ahead_of(own, *part))
        };
        let ahead: Vec<_> = others.filter(|(_, informed)| is_ahead(informed)).collect();
        if ahead.is_empty() {
            self.busy_since = None;
            self.behind_since = None;
            self.failed_peers.clear();
            return None;
        }
        let since = *self.behind_since.get_or_insert(now);
        let awaits_store =
            watches && own.declared != 0 && now.saturating_sub(since) < WATCHER_QUERY_DELAY;
        let is_in_flight =
            self.in_flight_since.is_some_and(|at| now.saturating_sub(at) < QUERY_EXPIRY);
        if awaits_store || is_in_flight || now < self.not_before {
            return None;
        }
        let candidates = ahead.iter().filter(|(_, it)| !self.failed_peers.contains(&it.control));
        // The nearest ones answer soonest.
        let nearest =
            |(of, it): &&(&RegionId, StateSource)| (*of == region, self.weight(it.control));
        let Some((_, informed)) = candidates.max_by_key(nearest) else {
            self.failed_peers.clear();
            self.not_before = now + ROUND_PAUSE;
            return None;
        };
        let addr = informed.control;
        self.sent_count += 1;
        self.in_flight_since = Some(now);
        Some(addr)
    }

    /// Spreads the questions of all hosts, and of one host, over those that can answer.
    fn weight(&self, addr: SocketAddr) -> u64 {
        let mut weight = Xxh3Default::new();
        weight.update(self.own_addr.to_string().as_bytes());
        weight.update(addr.to_string().as_bytes());
        weight.update(&self.sent_count.to_le_bytes());
        weight.digest()
    }

    /// The question to the host at `addr` has ended.
    pub fn record_outcome(&mut self, addr: SocketAddr, end: QueryOutcome, now: Moment) {
        self.in_flight_since = None;
        match end {
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

    /// Whether others know more and do not tell: this host has to follow the store itself.
    ///
    /// Without it a host behind crowded links went on asking the same watcher for five seconds,
    /// sent work to a target that was retiring and used an old declaration all the while.
    pub fn is_unanswered(&self, now: Moment) -> bool {
        self.unanswered_at.is_some_and(|at| now.saturating_sub(at) < UNANSWERED_PERIOD)
    }
}
