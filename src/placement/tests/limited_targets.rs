//! Load pattern: a target names a limit far below the requests that all hosts would send it. Most
//! hosts learn of it late, some restart, freeze or are cut off meanwhile, and in the end the target
//! no longer names a limit.

use std::{
    collections::{HashMap, VecDeque},
    ops::Range,
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::known;
use crate::{
    entry::{KnownTarget, LiveHost, TeamLimit},
    placement::{
        LimitReport, LimitedTargetPacer, NamedLimit, Pace, SENDERS_PER_TARGET, TargetNotices,
        TargetTag, paced_rank, paced_rate,
    },
    prelude::*,
    quota::{PeerState, Quota, SharedBuckets, Verdict},
};

const STEP: Duration = Duration::from_millis(50);

/// Time between a request and its response, at least.
const RESPONSE_TIME: Duration = Duration::from_millis(100);

/// Longest time that an overloaded target takes.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(1_500);

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

/// What befalls all hosts together, besides the trouble of single ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Incident {
    None,
    /// The two hosts that send, and so report, freeze. They are not counted.
    SendersLost,
    /// Some responses are not the target's own, or to another request, and name no limit.
    Spoiled,
    /// The same, soon after the end of the limit and for good.
    SendersLostAtEnd,
    /// Two halves of the hosts know only themselves until the limit ends. All are counted.
    Split,
}

impl Incident {
    /// When hosts are in trouble.
    fn period(self) -> Range<Moment> {
        match self {
            Self::None | Self::SendersLost | Self::Spoiled => TROUBLE_AT..TROUBLE_AT + TROUBLE_TIME,
            Self::SendersLostAtEnd => ENDED_AT + Duration::from_secs(1)..RUN_TIME,
            Self::Split => TROUBLE_AT..ENDED_AT,
        }
    }
}

/// What a response says of the limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reply {
    Limited,
    /// Names no limit, and is not the target's own answer to the request.
    Spoiled,
    Unlimited,
}

/// A response on its way to a host.
struct Response {
    at: Moment,
    host: usize,
    reply: Reply,
    sent_at: Moment,
}

/// Fraction of the responses that are spoiled.
const SPOILED_FRACTION: f64 = 0.05;

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

/// Requests for the service at each host of a small fleet in an incident.
const BUSY_REQUESTS_PER_S: f64 = 20.0;

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
    trouble_period: Range<Moment>,
}

impl Host {
    fn new(at: usize, trouble_period: Range<Moment>, rng: &mut ChaCha8Rng) -> Self {
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
            trouble_period,
        }
    }

    fn is_in_trouble(&self, kind: Trouble, now: Moment) -> bool {
        self.trouble == kind && self.trouble_period.contains(&now)
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
    /// Rank of each host and length of its list of live hosts, usually and during the trouble.
    ranks: [Vec<(Option<usize>, usize)>; 2],
    hosts: Vec<Host>,
    incident: Incident,
    limit: f64,
    /// Reports of both halves of the hosts and counts of all at past steps, the newest first.
    past: VecDeque<([Reports; 2], u32)>,
    /// Responses on their way.
    responses: Vec<Response>,
    target: Arc<KnownTarget>,
    way: Way,
}

type Reports = HashMap<TargetTag, LimitReport>;

impl Model {
    fn new(way: Way, incident: Incident, hosts: usize, limit: f64, rng: &mut ChaCha8Rng) -> Self {
        let mut hosts: Vec<Host> =
            (0..hosts).map(|at| Host::new(at, incident.period(), rng)).collect();
        let team_limit = TeamLimit { burst: 0.0, rate: limit };
        let target = known("t-1", "north");
        for host in &mut hosts {
            let limits = [(target.tag, team_limit)].into_iter().collect();
            host.bucket.set_limits(&limits, Moment::ZERO);
        }
        let live = |hosts: &[Host]| -> Vec<LiveHost> {
            hosts.iter().map(|host| host.live.clone()).collect()
        };
        let all = live(&hosts);
        let rank = |host: &Host, live: &[LiveHost]| {
            (paced_rank(&target, &host.live.host, live), live.len())
        };
        let usual: Vec<(Option<usize>, usize)> =
            hosts.iter().map(|host| rank(host, &all)).collect();
        let is_sender = |rank: Option<usize>| rank.is_some_and(|it| it < SENDERS_PER_TARGET);
        match incident {
            Incident::SendersLost | Incident::SendersLostAtEnd => {
                let senders = hosts.iter_mut().zip(&usual).filter(|(_, it)| is_sender(it.0));
                senders.for_each(|(host, _)| host.trouble = Trouble::Freeze);
            }
            Incident::Split => hosts.iter_mut().for_each(|host| host.trouble = Trouble::None),
            Incident::None | Incident::Spoiled => {}
        }
        let is_reachable = |host: &Host| !matches!(host.trouble, Trouble::Freeze | Trouble::Cut);
        let known_to = |at: usize| -> Vec<LiveHost> {
            let is_known = |(other, host): &(usize, &Host)| match incident {
                Incident::Split => half(*other) == half(at),
                _ => is_reachable(host),
            };
            let known = hosts.iter().enumerate().filter(is_known);
            known.map(|(_, host)| host.live.clone()).collect()
        };
        let by_half = [known_to(0), known_to(1)];
        let in_trouble =
            hosts.iter().enumerate().map(|(at, host)| rank(host, &by_half[half(at)])).collect();
        Self {
            ranks: [usual, in_trouble],
            hosts,
            incident,
            limit,
            past: VecDeque::new(),
            responses: Vec::new(),
            target,
            way,
        }
    }

    fn run(mut self, rng: &mut ChaCha8Rng) -> Outcome {
        let demand = match self.incident {
            Incident::None => REQUESTS_PER_S.max(20.0 / self.hosts.len() as f64),
            _ => BUSY_REQUESTS_PER_S,
        };
        // Without a limit, the target gets this part of the requests of each host.
        let usual_part =
            ((self.limit * 16.0).max(20.0) / demand / self.hosts.len() as f64).min(1.0);
        let mut counted: Vec<Moment> = Vec::new();
        let mut all: Vec<Moment> = Vec::new();
        let mut now = Moment::ZERO;
        while now < RUN_TIME {
            self.deliver_responses(now);
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
                    let response = self.response_to(at, rng, now);
                    self.responses.push(response);
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
        let holds_on = |host: &&Host| {
            !host.is_in_trouble(Trouble::Freeze, now - STEP)
                && host.notices.limit(self.target.tag).is_some()
        };
        Outcome {
            excess: peak as f64 - (1.5 * self.limit * 4.0 + 5.0),
            used: served as f64 / (ENDED_AT - bound).as_secs_f64() / self.limit,
            holding_on: self.hosts.iter().filter(holds_on).count(),
        }
    }

    /// The response to a request that a host sends now. An overloaded target takes its time.
    fn response_to(&self, at: usize, rng: &mut ChaCha8Rng, now: Moment) -> Response {
        let (max_time, spoiled) = match self.incident {
            Incident::None => (RESPONSE_TIME, 0.0),
            Incident::Spoiled => (MAX_RESPONSE_TIME, SPOILED_FRACTION),
            _ => (MAX_RESPONSE_TIME, 0.0),
        };
        let took = RESPONSE_TIME.max(max_time.mul_f64(rng.random()));
        let reply = match (NAMED_AT..ENDED_AT).contains(&(now + took)) {
            true if rng.random_bool(spoiled) => Reply::Spoiled,
            true => Reply::Limited,
            false => Reply::Unlimited,
        };
        Response { at: now + took, host: at, reply, sent_at: now }
    }

    fn deliver_responses(&mut self, now: Moment) {
        let responses = std::mem::take(&mut self.responses);
        let (due, later): (Vec<Response>, Vec<Response>) =
            responses.into_iter().partition(|response| response.at <= now);
        self.responses = later;
        for Response { host: at, reply, sent_at, .. } in due {
            let host = &mut self.hosts[at];
            if reply == Reply::Limited {
                host.told_at.get_or_insert(now);
            }
            let named = (reply == Reply::Limited).then_some(NamedLimit::PerSecond(self.limit));
            let sent_at = (reply != Reply::Spoiled).then_some(sent_at);
            host.notices.record_limit(self.target.tag, named, sent_at, now);
        }
    }

    /// Each host gets what all reported some time ago.
    fn share_reports(&mut self, now: Moment) {
        let mut newest = [Reports::new(), Reports::new()];
        let mut admitted = 0;
        let is_split = self.is_split(now);
        for (at, host) in self.hosts.iter().enumerate() {
            if host.is_in_trouble(Trouble::Freeze, now) || host.is_in_trouble(Trouble::Cut, now) {
                continue;
            }
            for (half_of, newest) in newest.iter_mut().enumerate() {
                if is_split && half_of != half(at) {
                    continue;
                }
                for (tag, report) in host.notices.reports(now) {
                    let kept = newest.entry(tag).or_insert(report);
                    *kept = kept.latest(report);
                }
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
        for (at, host) in self.hosts.iter_mut().enumerate() {
            if host.is_in_trouble(Trouble::Freeze, now) || host.is_in_trouble(Trouble::Cut, now) {
                continue;
            }
            if host.is_in_trouble(Trouble::Restart, now) && now == host.trouble_period.start {
                (host.notices, host.pacer) = Default::default();
            }
            let Some((reports, admitted)) = self.past.get(host.delay) else { continue };
            host.notices.apply_reports(&reports[half(at)], now);
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

    fn is_split(&self, now: Moment) -> bool {
        self.incident == Incident::Split && self.incident.period().contains(&now)
    }

    /// Whether a request that a host places at the target is sent there.
    fn sends(&mut self, at: usize, rng: &mut ChaCha8Rng, now: Moment) -> bool {
        let (rank, live_hosts) = self.rank(at, now);
        let target = self.target.clone();
        let hosts = self.hosts.len();
        let host = &mut self.hosts[at];
        if host.is_in_trouble(Trouble::Freeze, now) {
            return false;
        }
        let Some(limit) = host.notices.limit(target.tag) else { return true };
        match self.way {
            Way::Senders => {
                let confirmed_at = host.notices.limit_confirmed_at(target.tag).unwrap_or(now);
                let may_be_split = live_hosts < hosts;
                let pace = Pace { confirmed_at, hosts: live_hosts, limit, may_be_split, rank };
                host.pacer.charge(target.tag, &pace, now)
            }
            Way::EqualShares => {
                let (tokens, refilled_at) = host.share;
                let gained = now.saturating_sub(refilled_at).as_secs_f64() * paced_rate(limit)
                    / hosts as f64;
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

    /// A host's rank among the live hosts that it knows, and their number.
    fn rank(&self, at: usize, now: Moment) -> (Option<usize>, usize) {
        let host = &self.hosts[at];
        if host.is_in_trouble(Trouble::Cut, now) {
            return (Some(0), 1);
        }
        let known_at = now.saturating_sub(STEP * host.delay as u32);
        let has_trouble = self.incident.period().contains(&known_at);
        self.ranks[usize::from(has_trouble)][at]
    }
}

/// The half of the hosts that one belongs to.
fn half(at: usize) -> usize {
    at / 3 % 2
}

const FLEETS: [usize; 5] = [2, 12, 69, 195, 985];
const LIMITS: [f64; 5] = [0.2, 0.5, 2.2, 8.0, 20.0];

fn outcome(way: Way, hosts: usize, limit: f64, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    Model::new(way, Incident::None, hosts, limit, &mut rng).run(&mut rng)
}

/// The runs of an incident that break the bound, with several sizes, limits and seeds.
fn broken_runs(incident: Incident) -> Vec<(usize, f64, u64, f64)> {
    let runs = runs(incident).into_iter();
    let runs = runs.map(|(hosts, limit, seed, outcome)| (hosts, limit, seed, outcome.excess));
    runs.filter(|(.., excess)| 0.0 < *excess).collect()
}

fn runs(incident: Incident) -> Vec<(usize, f64, u64, Outcome)> {
    let mut runs = Vec::new();
    for hosts in [4, 12, 24, 69] {
        for limit in [0.5, 2.2, 8.0, 20.0] {
            for seed in 0..SEEDS {
                let mut rng = ChaCha8Rng::seed_from_u64(seed);
                let model = Model::new(Way::Senders, incident, hosts, limit, &mut rng);
                runs.push((hosts, limit, seed, model.run(&mut rng)));
            }
        }
    }
    runs
}

/// Seeds of each run with an incident.
const SEEDS: u64 = 20;

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

/// Guards against a limit that told hosts forget when the hosts that report it are lost.
#[test]
fn the_limit_is_kept_while_the_hosts_that_report_it_are_lost() {
    assert_eq!(broken_runs(Incident::SendersLost), []);
}

/// Guards against a limit that ends by responses that are not the target's own.
#[test]
fn the_limit_is_kept_while_responses_are_spoiled() {
    assert_eq!(broken_runs(Incident::Spoiled), []);
}

/// Guards against hosts that spare a target for good when those that could tell them of the end of its
/// limit are lost.
#[test]
fn all_hosts_learn_of_the_end_from_others_than_the_lost_senders() {
    let runs = runs(Incident::SendersLostAtEnd).into_iter();
    let holding_on = runs.filter(|(.., outcome)| 0 < outcome.holding_on);
    let holding_on = holding_on.map(|(hosts, limit, seed, it)| (hosts, limit, seed, it.holding_on));
    assert_eq!(holding_on.collect::<Vec<_>>(), []);
}

/// Guards against more than two senders while the hosts do not agree on who is live.
#[test]
fn the_limit_is_kept_while_halves_of_the_hosts_are_cut_off() {
    assert_eq!(broken_runs(Incident::Split), []);
}
