//! One token bucket per team, replicated on every host.
//!
//! A host takes tokens from its copy for the requests that it admits itself, and for those that
//! other hosts admit at the rate that they last reported. Copies differ by the reports still in
//! transit. When the arrival rate exceeds the limit, requests are admitted with a probability that
//! leaves room for admissions that other hosts have not reported yet.

use std::collections::HashMap;

use super::{
    PeerState, Quota, REPORT_WINDOW, TeamCounts, Verdict, retry_after,
    window::{CountWindow, rate},
};
use crate::{entry::TeamLimit, placement::NameTag, prelude::*};

/// Twice the time for which admissions by other hosts stay unreported, in seconds. The factor of
/// two damps oscillation: copies that correct the full difference at once would overshoot.
const UNREPORTED_SECS: f64 = 1.4;

/// Capacity beyond the burst, as seconds of the rate and as requests. The guaranteed bound allows a
/// tenth of five seconds and twenty requests.
const SLACK_SECS: f64 = 0.1;
const SLACK_REQUESTS: f64 = 5.0;

/// Standard deviations subtracted from the local arrivals before a surge is inferred from them.
const SURGE_DEVIATIONS: f64 = 2.0;

/// Time within which all hosts have reported a surge that reaches every host.
const SURGE_REPORT_DELAY: Duration = Duration::from_millis(1_200);

/// Highest bucket level at which the admitted rate may balance the limit, as a fraction of the
/// capacity.
const MAX_BALANCE_FRACTION: f64 = 0.8;

/// Largest debt of a bucket, in seconds of the rate.
const MAX_DEBT_SECS: f64 = 5.0;

/// Period after the start in which a host does not rely on reports, and the minimum number of hosts
/// among which it then divides the limit evenly.
const STARTUP_PERIOD: Duration = Duration::from_millis(1_000);
const MIN_STARTUP_HOSTS: usize = 64;

/// Minimum capacity, in requests. It lets a host with a small share admit single requests; a value
/// below one keeps hosts without reports of each other from all admitting a request at once.
const MIN_CAPACITY: f64 = 0.75;

/// Level to which a host fills its buckets when it joins running hosts, as a fraction of the
/// capacity.
const JOIN_FRACTION: f64 = 0.5;

/// Fraction of the limit at which a team is considered to be at its limit, so that the copies on
/// other hosts are empty.
const AT_LIMIT_FRACTION: f64 = 0.9;

/// The bucket copies of one host.
#[derive(Debug)]
pub struct SharedBuckets {
    buckets: HashMap<NameTag, Bucket>,
    /// Whether this host has received reports from hosts that started before it.
    has_joined: bool,
    peers: PeerState,
    started: Moment,
}

#[derive(Debug)]
struct Bucket {
    /// When the local arrivals began to imply a rate higher than the reported one.
    surge_since: Option<Moment>,
    /// Number of available tokens; negative while the bucket is in debt.
    level: f64,
    limit: TeamLimit,
    /// Time up to which refill and reported admissions are included in `level`.
    updated: Moment,
    window: CountWindow,
}

impl SharedBuckets {
    /// Creates the buckets of a host that starts at `now`.
    pub fn new(now: Moment) -> Self {
        let peers = PeerState { live_hosts: 1, known_hosts: 1, ..PeerState::default() };
        Self { buckets: HashMap::new(), has_joined: false, peers, started: now }
    }

    /// Fills the buckets to about the level of the copies on running hosts.
    fn fill_on_join(&mut self, now: Moment) {
        if self.started + STARTUP_PERIOD <= now {
            return;
        }
        let inputs: Vec<_> = self.buckets.keys().map(|team| self.inputs(*team, now)).collect();
        for (bucket, inputs) in self.buckets.values_mut().zip(inputs) {
            if AT_LIMIT_FRACTION * bucket.limit.rate <= rate(inputs.peer_counts.1) {
                continue;
            }
            let level = inputs.capacity(&bucket.limit) * JOIN_FRACTION;
            bucket.level = bucket.level.max(level);
        }
    }

    fn inputs(&self, team: NameTag, now: Moment) -> Inputs {
        if !self.has_joined && now < self.started + STARTUP_PERIOD {
            let hosts = self.peers.known_hosts.max(MIN_STARTUP_HOSTS);
            return Inputs { live_hosts: 1, peer_counts: (0, 0), share: 1.0 / hosts as f64 };
        }
        let live_hosts = self.peers.live_hosts.max(1);
        // Silent hosts may be partitioned rather than down, and still admit requests.
        let share = live_hosts as f64 / self.peers.known_hosts.max(live_hosts) as f64;
        let peer_counts = self.peers.counts.get(&team).copied().unwrap_or_default();
        Inputs { live_hosts, peer_counts, share }
    }
}

/// Inputs of a decision other than the bucket itself.
#[derive(Clone, Copy, Debug)]
struct Inputs {
    /// Number of live hosts, including this one.
    live_hosts: usize,
    /// Counts reported by other hosts.
    peer_counts: TeamCounts,
    /// Fraction of the limit available to this host and the hosts that it receives reports from.
    share: f64,
}

impl Inputs {
    /// Maximum level of a bucket with the given limit.
    fn capacity(&self, limit: &TeamLimit) -> f64 {
        (capacity(limit) * self.share).max(MIN_CAPACITY)
    }
}

impl Bucket {
    fn refill(&mut self, inputs: Inputs, now: Moment) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let gained = (self.limit.rate * inputs.share - rate(inputs.peer_counts.1)) * elapsed;
        let min = -MAX_DEBT_SECS * self.limit.rate;
        self.level = (self.level + gained).clamp(min, inputs.capacity(&self.limit));
    }

    /// The probability with which the next request is admitted.
    fn admission_probability(&mut self, inputs: Inputs, now: Moment) -> f64 {
        let own = f64::from(self.window.counts(now).0);
        let reported_rate = rate(inputs.peer_counts.0) + own / REPORT_WINDOW.as_secs_f64();
        // Assumes that every live host receives at least the lower confidence bound of the local
        // rate, so that a surge takes effect before other hosts report it.
        let own_rate_min =
            (own - SURGE_DEVIATIONS * own.sqrt()).max(0.0) / REPORT_WINDOW.as_secs_f64();
        let surge_rate = own_rate_min * inputs.live_hosts as f64;
        if surge_rate <= reported_rate {
            self.surge_since = None;
        }
        // A surge that the other hosts do not report in time is limited to this host.
        let is_surge = now < *self.surge_since.get_or_insert(now) + SURGE_REPORT_DELAY;
        let arrival_rate = if is_surge { reported_rate.max(surge_rate) } else { reported_rate };
        let refill = self.limit.rate * inputs.share;
        let excess = (arrival_rate - refill).max(0.0);
        // Only arrivals at other hosts can lead to unreported admissions.
        let peer_fraction = match is_surge && reported_rate < surge_rate {
            true => 1.0 - 1.0 / inputs.live_hosts as f64,
            false => rate(inputs.peer_counts.0) / arrival_rate.max(f64::MIN_POSITIVE),
        };
        let unreported_max =
            MAX_BALANCE_FRACTION * inputs.capacity(&self.limit) * arrival_rate / refill;
        let unreported = (excess * UNREPORTED_SECS * peer_fraction).min(unreported_max);
        self.level / (1.0 + unreported)
    }
}

fn capacity(limit: &TeamLimit) -> f64 {
    limit.burst + limit.rate * SLACK_SECS + SLACK_REQUESTS
}

impl Quota for SharedBuckets {
    fn set_limits(&mut self, limits: &BTreeMap<NameTag, TeamLimit>, now: Moment) {
        self.buckets.retain(|team, _| limits.contains_key(team));
        for (team, limit) in limits {
            let new = || Bucket {
                surge_since: None,
                level: 0.0,
                limit: *limit,
                updated: now,
                window: CountWindow::default(),
            };
            self.buckets.entry(*team).or_insert_with(new).limit = *limit;
        }
    }

    fn admit(&mut self, team: NameTag, draw: f64, now: Moment) -> Verdict {
        let inputs = self.inputs(team, now);
        let Some(bucket) = self.buckets.get_mut(&team) else { return Verdict::Admitted };
        bucket.refill(inputs, now);
        bucket.window.record_arrival(now);
        if draw < bucket.admission_probability(inputs, now) {
            bucket.level -= 1.0;
            bucket.window.record_admission(now);
            return Verdict::Admitted;
        }
        let refill = bucket.limit.rate * inputs.share;
        Verdict::Limited { retry_after: retry_after(bucket.level, refill, draw) }
    }

    fn charge(&mut self, team: NameTag, now: Moment) {
        if let Some(bucket) = self.buckets.get_mut(&team) {
            bucket.level -= 1.0;
            bucket.window.record_admission(now);
        }
    }

    fn refund(&mut self, team: NameTag) {
        if let Some(bucket) = self.buckets.get_mut(&team) {
            bucket.level += 1.0;
            bucket.window.undo_admission();
        }
    }

    fn update_peers(&mut self, peers: &PeerState, now: Moment) {
        // The previous reports apply to the time up to now.
        let previous: Vec<_> = self.buckets.keys().map(|team| self.inputs(*team, now)).collect();
        for (bucket, inputs) in self.buckets.values_mut().zip(previous) {
            bucket.refill(inputs, now);
        }
        self.peers.clone_from(peers);
        if peers.started_earlier && !std::mem::replace(&mut self.has_joined, true) {
            self.fill_on_join(now);
        }
    }

    fn report(&self, now: Moment) -> Vec<(NameTag, TeamCounts)> {
        report(self.buckets.iter().map(|(team, bucket)| (*team, &bucket.window)), now)
    }
}

/// Non-zero counts of the given windows, sorted by team.
pub(super) fn report<'a>(
    windows: impl Iterator<Item = (NameTag, &'a CountWindow)>,
    now: Moment,
) -> Vec<(NameTag, TeamCounts)> {
    let counts = windows.map(|(team, window)| (team, window.counts(now)));
    let mut report: Vec<_> = counts.filter(|(_, counts)| *counts != (0, 0)).collect();
    report.sort_unstable();
    report
}
