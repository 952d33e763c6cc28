//! Load pattern: a target names a limit far below the requests that all hosts would send it. Most
//! hosts learn of it late, some restart, freeze or are cut off meanwhile, and in the end the target
//! no longer names a limit.

use std::collections::{HashMap, VecDeque};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::known;
use crate::{
    entry::{KnownTarget, LiveHost, TeamLimit},
    placement::{
        LimitReport, LimitedTargetPacer, NamedLimit, TargetNotices, TargetTag, is_paced_sender,
        paced_rate,
    },
    prelude::*,
    quota::{PeerState, Quota, SharedBuckets, Verdict},
};

const STEP: Duration = Duration::from_millis(50);

/// Time between a request and its response.
const RESPONSE_TIME: Duration = Duration::from_millis(100);

/// A host that passed on a limit is bound by it after this time.
const NOTICE_PERIOD: Duration = Duration::from_millis(500);

/// Window in which requests are counted, and time after the first naming from which they count.
const WINDOW: Duration = Duration::from_secs(4);

/// When the target names its limit, for how long, and when the run ends.
const NAMED_AT: Duration = Duration::from_secs(2);
const ENDED_AT: Duration = Duration::from_secs(18);
const RUN_TIME: Duration = Duration::from_secs(28);

/// How the hosts divide a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    /// Two hosts send, as the system does.
    Senders,
    /// Each host that knows the limit sends its part of it.
    EqualShares,
    /// The hosts share a bucket by the counts that they report, like the quota of a team.
    SharedBucket,
}

/// What befalls a host. Those that are hit are not counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Trouble {
    None,
    /// Loses all that it knows.
    Restart,
    /// Does nothing for a while, and is then missing from the lists of live hosts.
    Freeze,
    /// Gets no reports for a while, and knows only itself.
    Cut,
}

/// Requests for the service at each host, at least.
const REQUESTS_PER_S: f64 = 0.5;

const TROUBLE_AT: Duration = Duration::from_secs(8);
const TROUBLE_TIME: Duration = Duration::from_secs(5);

struct Host {
    bucket: SharedBuckets,
    /// Delay of the reports that reach this host.
    delay: usize,
    live: LiveHost,
    notices: TargetNotices,
    pacer: LimitedTargetPacer,
    /// An equal share's tokens, and when they were last refilled.
    share: (f64, Moment),
    told_at: Option<Moment>,
    trouble: Trouble,
}

impl Host {
    fn new(at: usize, rng: &mut ChaCha8Rng) -> Self {
        let trouble = match at % 10 {
            3 if at != 3 => Trouble::Restart,
            5 => Trouble::Freeze,
            7 => Trouble::Cut,
            _ => Trouble::None,
        };
        Self {
            bucket: SharedBuckets::new(Moment::ZERO),
            delay: rng.random_range(4..60),
            live: LiveHost {
                callers: "127.0.0.1:1".parse().expect("an address"),
                host: format!("h-{at}").into(),
                capacity: 10,
                is_strained: false,
                reaches_targets: true,
                relay: None,
                region: if at.is_multiple_of(3) { "north" } else { "south" }.into(),
                zone: "x".into(),
            },
            notices: TargetNotices::default(),
            pacer: LimitedTargetPacer::default(),
            share: (1.0, Moment::ZERO),
            told_at: None,
            trouble,
        }
    }

    fn is_in_trouble(&self, kind: Trouble, now: Moment) -> bool {
        self.trouble == kind && (TROUBLE_AT..TROUBLE_AT + TROUBLE_TIME).contains(&now)
    }
}

/// Result of a run.
#[derive(Debug)]
struct Outcome {
    /// Largest count of requests in one window, less what is allowed.
    excess: f64,
    /// Requests per second while the limit held, as a fraction of the limit.
    used: f64,
    /// Hosts that still believe in the limit ten seconds after its end.
    holding_on: usize,
}

struct Model {
    /// Whether each host may send to the target, by the list of all hosts and by that of the hosts
    /// without trouble.
    senders: [Vec<bool>; 2],
    hosts: Vec<Host>,
    limit: f64,
    /// Reports and counts of all hosts at past steps, the newest first.
    past: VecDeque<(Reports, u32)>,
    target: Arc<KnownTarget>,
    way: Way,
}

type Reports = HashMap<TargetTag, LimitReport>;

impl Model {
    fn new(way: Way, hosts: usize, limit: f64, rng: &mut ChaCha8Rng) -> Self {
        let mut hosts: Vec<Host> = (0..hosts).map(|at| Host::new(at, rng)).collect();
        let team_limit = TeamLimit { burst: 0.0, rate: limit };
        let target = known("t-1", "north");
        for host in &mut hosts {
            let limits = [(target.tag, team_limit)].into_iter().collect();
            host.bucket.set_limits(&limits, Moment::ZERO);
        }
        let all: Vec<LiveHost> = hosts.iter().map(|host| host.live.clone()).collect();
        let is_reachable = |host: &&Host| !matches!(host.trouble, Trouble::Freeze | Trouble::Cut);
        let reachable: Vec<LiveHost> =
            hosts.iter().filter(is_reachable).map(|host| host.live.clone()).collect();
        let senders = [all, reachable].map(|live| {
            let sends = |host: &Host| is_paced_sender(&target, &host.live.host, &live);
            hosts.iter().map(sends).collect()
        });
        Self { senders, hosts, limit, past: VecDeque::new(), target, way }
    }

    fn run(mut self, rng: &mut ChaCha8Rng) -> Outcome {
        let demand = REQUESTS_PER_S.max(20.0 / self.hosts.len() as f64);
        // Without a limit, the target gets this part of the requests of each host.
        let usual_part = ((self.limit * 8.0).max(20.0) / demand / self.hosts.len() as f64).min(1.0);
        let mut counted: Vec<Moment> = Vec::new();
        let mut all: Vec<Moment> = Vec::new();
        let mut responses: VecDeque<(Moment, usize, bool)> = VecDeque::new();
        let mut now = Moment::ZERO;
        while now < RUN_TIME {
            while responses.front().is_some_and(|(at, ..)| *at <= now) {
                let Some((_, host, limited)) = responses.pop_front() else { break };
                self.deliver_response(host, limited, now);
            }
            self.share_reports(now);
            for at in 0..self.hosts.len() {
                let is_placed = rng.random::<f64>() < demand * STEP.as_secs_f64()
                    && (self.hosts[at].notices.is_recheck_due(self.target.tag, now)
                        || rng.random::<f64>() < usual_part);
                if is_placed && self.sends(at, rng, now) {
                    let host = &self.hosts[at];
                    let was_told = host.told_at.is_some_and(|told| told + NOTICE_PERIOD <= now);
                    if was_told && host.trouble == Trouble::None {
                        counted.push(now);
                    }
                    all.push(now);
                    let limited = (NAMED_AT..ENDED_AT).contains(&now);
                    responses.push_back((now + RESPONSE_TIME, at, limited));
                }
            }
            now += STEP;
        }
        let bound = NAMED_AT + WINDOW;
        let in_bound = |at: &&Moment| bound <= **at && **at < ENDED_AT;
        let bounded: Vec<Moment> = counted.iter().filter(in_bound).copied().collect();
        let in_window = |from: &Moment| {
            bounded.iter().filter(|at| *from <= **at && **at < *from + WINDOW).count()
        };
        let peak = bounded.iter().map(in_window).max().unwrap_or_default();
        let served = all.iter().filter(in_bound).count();
        let holds_on = |host: &&Host| host.notices.limit(self.target.tag).is_some();
        Outcome {
            excess: peak as f64 - (1.5 * self.limit * 4.0 + 5.0),
            used: served as f64 / (ENDED_AT - bound).as_secs_f64() / self.limit,
            holding_on: self.hosts.iter().filter(holds_on).count(),
        }
    }

    fn deliver_response(&mut self, at: usize, limited: bool, now: Moment) {
        let host = &mut self.hosts[at];
        if limited {
            host.told_at.get_or_insert(now);
        }
        let named = limited.then_some(NamedLimit::PerSecond(self.limit));
        host.notices.record_limit(self.target.tag, named, now);
    }

    /// Each host gets what all reported some time ago.
    fn share_reports(&mut self, now: Moment) {
        let mut newest = Reports::new();
        let mut admitted = 0;
        for host in &self.hosts {
            if host.is_in_trouble(Trouble::Freeze, now) || host.is_in_trouble(Trouble::Cut, now) {
                continue;
            }
            for (tag, report) in host.notices.reports(now) {
                let kept = newest.entry(tag).or_insert(report);
                *kept = kept.newest(report);
            }
            if self.way != Way::SharedBucket {
                continue;
            }
            let counts = host.bucket.report(now);
            admitted += counts.iter().map(|(_, (_, admitted))| admitted).sum::<u32>();
        }
        self.past.push_front((newest, admitted));
        self.past.truncate(64);
        let live_hosts = self.hosts.len();
        for host in &mut self.hosts {
            if host.is_in_trouble(Trouble::Freeze, now) || host.is_in_trouble(Trouble::Cut, now) {
                continue;
            }
            if host.is_in_trouble(Trouble::Restart, now) && now == TROUBLE_AT {
                (host.notices, host.pacer) = Default::default();
            }
            let Some((reports, admitted)) = self.past.get(host.delay) else { continue };
            host.notices.apply_reports(reports, now);
            if self.way != Way::SharedBucket {
                continue;
            }
            let own: u32 = host.bucket.report(now).iter().map(|(_, (_, own))| own).sum();
            let elsewhere = admitted.saturating_sub(own);
            let peers = PeerState {
                started_earlier: false,
                live_hosts,
                known_hosts: live_hosts,
                counts: [(self.target.tag, (elsewhere * 8, elsewhere))].into_iter().collect(),
            };
            host.bucket.update_peers(&peers, now);
        }
    }

    /// Whether a request that a host places at the target is sent there.
    fn sends(&mut self, at: usize, rng: &mut ChaCha8Rng, now: Moment) -> bool {
        let is_sender = self.is_sender(at, now);
        let target = self.target.clone();
        let hosts = self.hosts.len() as f64;
        let host = &mut self.hosts[at];
        if host.is_in_trouble(Trouble::Freeze, now) {
            return false;
        }
        let Some(limit) = host.notices.limit(target.tag) else { return true };
        match self.way {
            Way::Senders => {
                let sends = is_sender && host.pacer.has_token(target.tag, limit, now);
                if sends {
                    host.pacer.take_token(target.tag);
                }
                sends
            }
            Way::EqualShares => {
                let (tokens, refilled_at) = host.share;
                let gained =
                    now.saturating_sub(refilled_at).as_secs_f64() * paced_rate(limit) / hosts;
                let tokens = (tokens + gained).min(1.0);
                let sends = 1.0 <= tokens;
                host.share = (if sends { tokens - 1.0 } else { tokens }, now);
                sends
            }
            Way::SharedBucket => {
                host.bucket.admit(target.tag, rng.random(), now) == Verdict::Admitted
            }
        }
    }

    /// Whether a host takes itself for one that may send to the target.
    fn is_sender(&self, at: usize, now: Moment) -> bool {
        let host = &self.hosts[at];
        if host.is_in_trouble(Trouble::Cut, now) {
            return true;
        }
        let known_at = now.saturating_sub(STEP * host.delay as u32);
        let has_trouble = (TROUBLE_AT..TROUBLE_AT + TROUBLE_TIME).contains(&known_at);
        self.senders[usize::from(has_trouble)][at]
    }
}

const FLEETS: [usize; 5] = [2, 12, 69, 195, 985];
const LIMITS: [f64; 5] = [0.2, 0.5, 2.2, 8.0, 20.0];

fn outcome(way: Way, hosts: usize, limit: f64, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    Model::new(way, hosts, limit, &mut rng).run(&mut rng)
}

/// Guards against a limit that each host keeps for itself: the sum over all hosts that were told
/// stays within the bound at any size of the fleet, and some requests are served.
#[test]
fn all_hosts_together_keep_the_limit_of_a_target() {
    for hosts in FLEETS {
        for limit in LIMITS {
            let outcome = outcome(Way::Senders, hosts, limit, 1);
            assert!(outcome.excess <= 0.0, "{hosts} hosts, limit {limit}: {outcome:?}");
            // A smaller limit leaves a sender less than one request in the time that counts.
            assert!(limit < 0.5 || 0.0 < outcome.used, "{hosts} hosts, limit {limit}: {outcome:?}");
        }
    }
}

/// Guards against a limit that outlives its naming at hosts that send nothing to the target.
#[test]
fn all_hosts_learn_that_a_limit_has_ended() {
    for hosts in FLEETS {
        for limit in [0.5, 8.0] {
            let outcome = outcome(Way::Senders, hosts, limit, 2);
            assert_eq!(outcome.holding_on, 0, "{hosts} hosts, limit {limit}: {outcome:?}");
        }
    }
}

/// Guards against a share of the limit for each host, which rounds up to one request a host, and
/// against a bucket shared by reports, which are late where each host sends little.
#[test]
fn shares_of_all_hosts_overload_the_target_of_a_large_fleet() {
    let used = |way| outcome(way, 985, 0.5, 1).used;
    assert!(used(Way::Senders) <= 1.5);
    assert!(1.5 < used(Way::EqualShares));
    assert!(1.5 < used(Way::SharedBucket));
}
