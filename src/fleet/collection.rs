//! Collection of the states of a large zone's hosts.
//!
//! Load pattern: a hundred hosts in a zone, each with a tenth of a core. If each sent its state to
//! every other, the messages of a host would grow with the zone. Instead, one host collects all
//! states of a round and sends their sum to the others. Another host collects each round, so that
//! no host has a lasting role, and the loss of one costs the round.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::prelude::*;

/// Number of hosts up to which each host of a zone sends its state to every other one. That is
/// faster than a collection, and costs no more in a small zone.
pub const MESH_HOSTS: usize = 24;

/// Number of hosts for each of which a round is one tick longer. Bounds the bytes that a host
/// receives from its zone.
const HOSTS_PER_ROUND_TICK: usize = 40;

/// Longest round in ticks. Three lost reports in a row must not make hosts look lost.
const MAX_ROUND_TICKS: u64 = 4;

/// Time between two reports to other regions, less half a tick: reports are sent at ticks.
const CROSS_REGION_INTERVAL: Duration = Duration::from_millis(450);

/// Time for which states are collected. All hosts send theirs within one tick of the start of the
/// round.
const COLLECT_TIME: Duration = Duration::from_millis(150);

/// Time after which the standby collector of a round takes over.
const TAKEOVER_TIME: Duration = Duration::from_millis(350);

/// A round of a zone with a given number of hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Round {
    number: u64,
    ticks: u64,
}

impl Round {
    /// The round of the time slot, which is one tick long.
    pub fn at(slot: u64, hosts: usize) -> Self {
        let ticks = (hosts.div_ceil(HOSTS_PER_ROUND_TICK) as u64).clamp(1, MAX_ROUND_TICKS);
        Self { number: slot / ticks, ticks }
    }

    /// Number of the round, by which receivers of reports rotate.
    pub fn number(self) -> u64 {
        self.number
    }

    /// Picks the collector of the round and its standby: the two hosts with the highest weighted
    /// rendezvous hash. Hosts that know slightly different sets of hosts mostly pick the same ones.
    /// Each host collects in proportion to its capacity.
    pub fn collectors<'a, T>(
        self,
        hosts: impl Iterator<Item = (&'a HostId, u16, T)>,
    ) -> (Option<T>, Option<T>) {
        let scored = hosts.map(|(host, capacity, it)| (self.score(host, capacity), it));
        let mut scored: Vec<(f64, T)> = scored.collect();
        scored.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut best = scored.into_iter().map(|(_, it)| it);
        (best.next(), best.next())
    }

    /// Exponentially distributed with the capacity as its rate, so that the lowest score is that of
    /// a host with a probability in proportion to its capacity.
    fn score(self, host: &HostId, capacity: u16) -> f64 {
        let hash = xxh3_64_with_seed(host.as_bytes(), self.number);
        let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        -uniform.ln() / f64::from(capacity.max(1))
    }
}

/// The states that this host has collected and not sent yet.
#[derive(Clone, Copy, Debug, Default)]
pub struct Collection {
    collector_since: Option<Moment>,
    /// When a report of this zone was last sent to other regions, as far as this host knows.
    cross_region_at: Moment,
    standby_since: Option<Moment>,
}

impl Collection {
    /// Records a state that this host received as the collector of a round.
    pub fn record(&mut self, now: Moment) {
        self.collector_since.get_or_insert(now);
    }

    /// Records a state that this host received as the standby of a round.
    pub fn record_standby(&mut self, now: Moment) {
        self.standby_since.get_or_insert(now);
    }

    /// Records the report of another collector, which makes the one of the standby needless.
    pub fn record_report(&mut self, is_cross_region: bool, now: Moment) {
        self.standby_since = None;
        if is_cross_region {
            self.cross_region_at = now;
        }
    }

    /// Whether the report that is sent now goes to other regions too. The collectors of some rounds
    /// may be lost, so the rounds of these reports are not fixed beforehand.
    pub fn is_cross_region_due(&mut self, now: Moment) -> bool {
        let is_due = CROSS_REGION_INTERVAL <= now.saturating_sub(self.cross_region_at);
        if is_due {
            self.cross_region_at = now;
        }
        is_due
    }

    /// Whether the collected states are to be sent now; if so, begins the next collection.
    pub fn is_due(&mut self, now: Moment) -> bool {
        let has_passed = |since: Option<Moment>, time: Duration| {
            since.is_some_and(|since| time <= now.saturating_sub(since))
        };
        let is_due = has_passed(self.collector_since, COLLECT_TIME)
            || has_passed(self.standby_since, TAKEOVER_TIME);
        if is_due {
            (self.collector_since, self.standby_since) = (None, None);
        }
        is_due
    }
}
