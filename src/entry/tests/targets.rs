//! Health of targets, rate limits of cold targets, requests that crash targets, and retry budgets.

use super::{known_target, secs};
use crate::{
    admission::RetryBudget,
    base::ManualClock,
    entry::{
        Idempotency, KnownTarget, LiveHost, Route, TrafficState, traffic_state::retry_allowance,
        unknown_headers::UnknownHeaders,
    },
    event_log::{Event, EventSink, RequestKey},
    placement::{
        ColdTargetLimiter, HealthSignal, SENDERS_PER_TARGET, SlowdownReport, TargetHealth,
        paced_rank,
    },
    platform::standin::{loopback_settings, loopback_traffic},
    prelude::*,
};

fn is_sender(target: &KnownTarget, host: &HostId, hosts: &[LiveHost]) -> bool {
    paced_rank(target, host, hosts).is_some_and(|rank| rank < SENDERS_PER_TARGET)
}

const WORK: Duration = Duration::from_millis(100);

/// A target that fails twice in a row is paused, then probed with a single request. If that fails
/// too, it is paused for longer.
#[test]
fn failing_target_is_paused_then_probed() {
    let mut health = TargetHealth::default();
    health.record_attempt(HealthSignal::Failed, WORK, secs(1.0));
    assert!(!health.is_paused(secs(1.1)), "a single failure does not pause the target");
    health.record_attempt(HealthSignal::Failed, WORK, secs(1.1));
    assert!(health.is_paused(secs(1.5)));
    assert!(!health.is_paused(secs(1.7)) && health.is_half_open(secs(1.7)));
    health.record_attempt(HealthSignal::Failed, WORK, secs(1.7));
    assert!(health.is_paused(secs(2.5)));
    health.record_attempt(HealthSignal::Answered(WORK), WORK, secs(3.0));
    assert!(!health.is_paused(secs(3.0)) && !health.is_half_open(secs(3.0)));
}

/// A target that cannot be reached is paused after one attempt.
#[test]
fn unreachable_target_is_paused_at_once() {
    let mut health = TargetHealth::default();
    health.record_attempt(HealthSignal::Unreachable, WORK, secs(1.0));
    assert!(health.is_paused(secs(1.2)));
}

/// Slow answers, and attempts cancelled because they took too long, raise a target's slowdown. It
/// decays while no attempts are made; otherwise the target would never be tried again.
#[test]
fn slowdown_rises_and_decays() {
    let mut health = TargetHealth::default();
    for _ in 0..10 {
        health.record_attempt(HealthSignal::Answered(WORK * 8), WORK, secs(1.0));
    }
    assert!(5.0 < health.slowdown(secs(1.0)));
    assert!(health.slowdown(secs(30.0)) < 1.1);
    let mut cancelled = TargetHealth::default();
    cancelled.record_attempt(HealthSignal::Cancelled(WORK / 2), WORK, secs(1.0));
    assert_eq!(cancelled.slowdown(secs(1.0)), 1.0);
    cancelled.record_attempt(HealthSignal::Cancelled(WORK * 5), WORK, secs(1.0));
    assert!(1.0 < cancelled.slowdown(secs(1.0)));
}

/// Hours after the host's start, all its attempts at a target are cancelled for slowness. The
/// slowdown decays from the time when they ended, not from that of a first answer, which never
/// came.
#[test]
fn slowdown_rises_without_any_answer() {
    let mut health = TargetHealth::default();
    health.record_attempt(HealthSignal::Cancelled(WORK * 5), WORK, secs(9_000.0));
    assert!(4.0 < health.slowdown(secs(9_000.1)));
    assert!(health.slowdown(secs(9_030.0)) < 1.1);
}

/// Other hosts report that a target is slow. A report of a single run counts in part, since it may
/// be coincidence; more runs count in full, until runs of this host or of others show that
/// the target has recovered.
#[test]
fn reported_slowdown_is_applied() {
    let one = SlowdownReport::single(4.0);
    let three = one.merge(one).merge(one);
    let mut health = TargetHealth::default();
    assert_eq!(health.slowdown_with_report(Some(three), secs(1.0)), 4.0);
    assert_eq!(health.slowdown_with_report(Some(one), secs(1.0)), 2.0);
    assert_eq!(
        health.report(Some(three), secs(1.0)),
        None,
        "without runs of its own, a host reports nothing"
    );
    (0..6).for_each(|_| health.record_run(WORK, WORK, secs(1.0)));
    assert!(health.slowdown_with_report(Some(three), secs(1.2)) < 2.5);
    assert!(health.report(Some(three), secs(1.2)).is_some(), "the recovery is reported");
    assert_eq!(health.report(None, secs(1.2)), None);
    assert_eq!(
        health.slowdown_with_report(Some(three), secs(3.0)),
        4.0,
        "own runs are too old to count"
    );
    health.record_run(WORK * 30, WORK, secs(3.0));
    assert!(health.report(None, secs(3.1)).is_some_and(|report| report.is_slow()));
    assert_eq!(health.report(None, secs(9.0)), None);
}

/// Twelve hosts send to one cold target as fast as their limiters allow, without coordination.
/// Together they stay within its rate.
#[test]
fn hosts_together_stay_within_rate_of_cold_target() {
    let target = known_target("t-1", "north");
    let host = |at: usize| LiveHost {
        callers: "127.0.0.1:1".parse().expect("an address"),
        host: format!("h-{at}").into(),
        capacity: 10,
        is_strained: false,
        reaches_targets: true,
        relay: None,
        region: if at < 6 { "north" } else { "south" }.into(),
        zone: "x".into(),
    };
    let hosts: Vec<LiveHost> = (0..12).map(host).collect();
    let mut limiters: Vec<ColdTargetLimiter> =
        (0..12).map(|_| ColdTargetLimiter::default()).collect();
    let mut sent = Vec::new();
    for tick in 0..10_000 {
        let now = secs(f64::from(tick) / 1000.0);
        for (host, limiter) in hosts.iter().zip(&mut limiters) {
            if is_sender(&target, &host.host, &hosts) && limiter.has_token(&target, 6.0, now) {
                limiter.take_token(&target);
                sent.push(now);
            }
        }
    }
    let peak = sent
        .iter()
        .map(|from| sent.iter().filter(|at| *from <= **at && **at < *from + secs(1.0)).count());
    let peak = peak.max().unwrap_or_default();
    assert!((3..=6).contains(&peak), "{peak} in one second");
    let senders = hosts.iter().filter(|host| is_sender(&target, &host.host, &hosts));
    assert!(senders.clone().all(|host| &*host.region == "north"));
    assert_eq!(senders.count(), 2);
}

/// If a region has no live hosts, hosts of other regions may send to its cold targets.
#[test]
fn cold_target_without_hosts_in_region_has_senders() {
    let target = known_target("t-1", "north");
    let far = LiveHost {
        capacity: 10,
        is_strained: false,
        reaches_targets: true,
        relay: None,
        callers: "127.0.0.1:1".parse().expect("an address"),
        host: "h".into(),
        region: "south".into(),
        zone: "x".into(),
    };
    assert!(is_sender(&target, &"h".into(), &[far]));
}

/// Guards against a cold or limited target that gets nothing because the hosts that may send to it
/// reach no target.
#[test]
fn hosts_that_reach_no_target_are_no_paced_senders() {
    let target = known_target("t-1", "north");
    let hosts = |cut_off: &[String]| -> Vec<LiveHost> {
        let host = |at: usize| {
            let name = format!("h-{at}");
            LiveHost {
                callers: "127.0.0.1:1".parse().expect("an address"),
                capacity: 10,
                host: name.as_str().into(),
                is_strained: false,
                reaches_targets: !cut_off.contains(&name),
                region: "north".into(),
                relay: None,
                zone: "x".into(),
            }
        };
        (0..6).map(host).collect()
    };
    let senders = |hosts: &[LiveHost]| -> Vec<String> {
        let senders = hosts.iter().filter(|host| is_sender(&target, &host.host, hosts));
        senders.map(|host| host.host.to_string()).collect()
    };
    let usual = senders(&hosts(&[]));
    let replaced = senders(&hosts(&usual));
    assert_eq!((usual.len(), replaced.len()), (2, 2));
    assert!(replaced.iter().all(|host| !usual.contains(host)));
    let all: Vec<String> = (0..6).map(|at| format!("h-{at}")).collect();
    assert_eq!(senders(&hosts(&all)), usual, "someone has to find out when it is reached again");
}

/// Guards against a host that goes on refusing requests after its links are back, because the pauses
/// of its targets have grown meanwhile.
#[test]
fn failures_while_cut_off_do_not_pause_targets_afterwards() {
    let mut health = TargetHealth::default();
    for at in [1.0, 2.0, 4.0] {
        health.record_attempt(HealthSignal::Unreachable, WORK, secs(at));
    }
    health.forget_failures();
    assert!(!health.is_paused(secs(4.1)) && !health.is_half_open(secs(4.1)));
    assert_eq!(health.slowdown(secs(4.1)), 1.0);
}

/// Load pattern: every request fails at every host. The retries of all hosts together stay within
/// the configured ratio and slack, for various values of both.
#[test]
fn hosts_together_stay_within_retry_budget() {
    for (retry_ratio, retry_slack) in [(0.2, 60.0), (0.05, 10.0), (0.5, 0.0)] {
        let mut bounds = crate::entry::tests::bounds();
        bounds.retry_ratio = retry_ratio;
        bounds.retry_slack = retry_slack;
        let mut budgets: Vec<RetryBudget> = (0..12).map(|_| RetryBudget::new()).collect();
        let mut firsts = 0;
        let mut retries = 0;
        for tick in 0..1000 {
            let now = secs(f64::from(tick) / 100.0);
            for budget in &mut budgets {
                budget.set_allowance(retry_allowance(&bounds, 12));
                budget.record_first_attempt(now);
                firsts += 1;
                retries += u32::from(budget.take_retry(now));
            }
        }
        let allowed = f64::from(firsts) * retry_ratio + retry_slack;
        assert!(f64::from(retries) <= allowed, "{retries} of {allowed}");
        assert!(allowed * 0.4 < f64::from(retries), "{retries} of {allowed}");
    }
}

/// Two routes, of different host names, share a prefix and have different splits. Each route's
/// services get their weights to within one request, however the requests are interleaved.
#[test]
fn services_of_a_split_get_their_weights() {
    let clock = Arc::new(ManualClock::default());
    let settings = loopback_settings("h", "z", "r", &[("z", "r")], "127.0.0.1:1".parse().unwrap());
    let view = Arc::new(arc_swap::ArcSwapOption::empty());
    let state = TrafficState::new(loopback_traffic(settings, clock, view));
    let route = |host: &str, weights: [f64; 2]| Route {
        max_attempts: 1,
        key: format!("{host}/a/").into(),
        objective: secs(1.0),
        prefix: "/a/".into(),
        priority: 0,
        public: false,
        allowed_regions: Vec::new(),
        idempotency: Idempotency::Idempotent,
        split: vec![("s".into(), weights[0]), ("t".into(), weights[1])],
        sticky: true,
        timeout: secs(1.0),
    };
    let (even, skewed) = (route("x", [50.0, 50.0]), route("y", [90.0, 10.0]));
    let mut counts = [0, 0];
    for _ in 0..200 {
        counts[0] += usize::from(state.pick_service(&even).as_deref() == Some("s"));
        counts[1] += usize::from(state.pick_service(&skewed).as_deref() == Some("s"));
    }
    assert!(counts[0].abs_diff(100) <= 1 && counts[1].abs_diff(180) <= 1, "{counts:?}");
}

/// A header that this release does not know is logged once, and its responses are counted. The
/// number of names is bounded.
#[test]
fn unknown_headers_are_reported_once() {
    let name = |at: u32| format!("news-{at}").parse::<http::HeaderName>().expect("a name");
    let (log, known) = (KeptEvents::default(), UnknownHeaders::default());
    let record = |names: &[&http::HeaderName]| {
        known.record(names, &http::HeaderMap::new(), &"t-1".into(), &log);
    };
    (0..3).for_each(|_| record(&[&name(1), &name(2)]));
    record(&[]);
    assert_eq!((known.responses(), log.0.lock().expect("no holder panics").len()), (3, 2));
    (0..100).for_each(|at| record(&[&name(at)]));
    assert_eq!(log.0.lock().expect("no holder panics").len(), 32);
}

#[derive(Default)]
struct KeptEvents(std::sync::Mutex<Vec<Event>>);

impl EventSink for KeptEvents {
    fn record(&self, _: Option<&RequestKey>, event: Event) {
        self.0.lock().expect("no holder panics").push(event);
    }
}
