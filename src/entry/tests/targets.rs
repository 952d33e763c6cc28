//! Conditions of targets, cold ones, and requests that crash them.

use super::{known, secs};
use crate::{
    admission::RetryBudget,
    base::ManualClock,
    entry::{
        CrashSuspects, Idempotency, LiveHost, Route, TrafficState, traffic_state::retry_allowance,
    },
    event_log::NoEvents,
    placement::{ColdTargetLimiter, HealthSignal, SlowdownReport, TargetHealth, is_cold_sender},
    platform::{PlatformProtocol, standin::loopback_settings},
    prelude::*,
};

const WORK: Duration = Duration::from_millis(100);

/// A target fails twice in a row and is left alone for a while, then tried with one request; when
/// that fails too, it is left alone for longer.
#[test]
fn a_failing_target_is_left_alone_and_tried_again() {
    let mut condition = TargetHealth::default();
    condition.record_attempt(HealthSignal::Failed, WORK, secs(1.0));
    assert!(!condition.is_paused(secs(1.1)), "one failure can be chance");
    condition.record_attempt(HealthSignal::Failed, WORK, secs(1.1));
    assert!(condition.is_paused(secs(1.5)));
    assert!(!condition.is_paused(secs(1.7)) && condition.is_half_open(secs(1.7)));
    condition.record_attempt(HealthSignal::Failed, WORK, secs(1.7));
    assert!(condition.is_paused(secs(2.5)));
    condition.record_attempt(HealthSignal::Answered(WORK), WORK, secs(3.0));
    assert!(!condition.is_paused(secs(3.0)) && !condition.is_half_open(secs(3.0)));
}

/// An address that nobody answers at is left alone after one attempt.
#[test]
fn an_unreachable_target_is_left_alone_at_once() {
    let mut condition = TargetHealth::default();
    condition.record_attempt(HealthSignal::Unreachable, WORK, secs(1.0));
    assert!(condition.is_paused(secs(1.2)));
}

/// Slow answers, and attempts given up for slowness, stretch what is expected of a target; that is
/// forgotten when nothing more is heard of it, or it would never be tried again.
#[test]
fn slowness_counts_and_is_forgotten() {
    let mut condition = TargetHealth::default();
    for _ in 0..10 {
        condition.record_attempt(HealthSignal::Answered(WORK * 8), WORK, secs(1.0));
    }
    assert!(5.0 < condition.slowdown(secs(1.0)));
    assert!(condition.slowdown(secs(30.0)) < 1.1);
    let mut given_up = TargetHealth::default();
    given_up.record_attempt(HealthSignal::Cancelled(WORK / 2), WORK, secs(1.0));
    assert_eq!(given_up.slowdown(secs(1.0)), 1.0);
    given_up.record_attempt(HealthSignal::Cancelled(WORK * 5), WORK, secs(1.0));
    assert!(1.0 < given_up.slowdown(secs(1.0)));
}

/// A host sees a target only by attempts that it gave up for slowness, hours after its own start.
/// They count from when they ended, not from a first answer that never came.
#[test]
fn slowness_counts_without_any_answer() {
    let mut condition = TargetHealth::default();
    condition.record_attempt(HealthSignal::Cancelled(WORK * 5), WORK, secs(9_000.0));
    assert!(4.0 < condition.slowdown(secs(9_000.1)));
    assert!(condition.slowdown(secs(9_030.0)) < 1.1);
}

/// Other hosts tell that a target is slow. One run may be chance; more count in full, until runs of
/// this host or of others say that it is well again.
#[test]
fn what_others_tell_of_slowness_counts() {
    let one = SlowdownReport::single(4.0);
    let three = one.merge(one).merge(one);
    let mut condition = TargetHealth::default();
    assert_eq!(condition.slowdown_with_report(Some(three), secs(1.0)), 4.0);
    assert_eq!(condition.slowdown_with_report(Some(one), secs(1.0)), 2.0);
    assert_eq!(condition.report(Some(three), secs(1.0)), None, "nothing seen, nothing told");
    (0..6).for_each(|_| condition.record_run(WORK, WORK, secs(1.0)));
    assert!(condition.slowdown_with_report(Some(three), secs(1.2)) < 2.5);
    assert!(condition.report(Some(three), secs(1.2)).is_some(), "it is said to be well");
    assert_eq!(condition.report(None, secs(1.2)), None);
    assert_eq!(condition.slowdown_with_report(Some(three), secs(3.0)), 4.0, "long ago");
    condition.record_run(WORK * 30, WORK, secs(3.0));
    assert!(condition.report(None, secs(3.1)).is_some_and(|told| told.is_slow()));
    assert_eq!(condition.report(None, secs(9.0)), None);
}

/// Twelve hosts send to one cold target as fast as they may, not asking each other. Together they
/// stay below its rate.
#[test]
fn hosts_together_keep_a_cold_targets_rate() {
    let target = known("t-1", "north");
    let host = |at: usize| LiveHost {
        callers: "127.0.0.1:1".parse().expect("an address"),
        host: format!("h-{at}").into(),
        is_strained: false,
        region: if at < 6 { "north" } else { "south" }.into(),
        zone: "x".into(),
    };
    let hosts: Vec<LiveHost> = (0..12).map(host).collect();
    let mut rates: Vec<ColdTargetLimiter> = (0..12).map(|_| ColdTargetLimiter::default()).collect();
    let mut sent = Vec::new();
    for tick in 0..10_000 {
        let now = secs(f64::from(tick) / 1000.0);
        for (host, rate) in hosts.iter().zip(&mut rates) {
            if is_cold_sender(&target, &host.host, &hosts) && rate.has_token(&target, 6.0, now) {
                rate.take_token(&target);
                sent.push(now);
            }
        }
    }
    let most = sent
        .iter()
        .map(|from| sent.iter().filter(|at| *from <= **at && **at < *from + secs(1.0)).count());
    let most = most.max().unwrap_or_default();
    assert!((3..=6).contains(&most), "{most} in one second");
    let senders = hosts.iter().filter(|host| is_cold_sender(&target, &host.host, &hosts));
    assert!(senders.clone().all(|host| &*host.region == "north"));
    assert_eq!(senders.count(), 2);
}

/// The region's hosts are all lost: others may send to its cold targets.
#[test]
fn a_cold_target_without_near_hosts_has_senders() {
    let target = known("t-1", "north");
    let far = LiveHost {
        is_strained: false,
        callers: "127.0.0.1:1".parse().expect("an address"),
        host: "h".into(),
        region: "south".into(),
        zone: "x".into(),
    };
    assert!(is_cold_sender(&target, &"h".into(), &[far]));
}

/// A request crashes three targets, by what hosts know together: it is refused everywhere. One that
/// merely ran beside it comes to a good end and is not.
#[test]
fn a_request_that_crashes_targets_is_refused() {
    let mut crash_suspects = CrashSuspects::default();
    crash_suspects.record_crash(7, secs(1.0));
    crash_suspects.record_crash(7, secs(2.0));
    assert!(crash_suspects.may_run(7, 0));
    assert!(!crash_suspects.may_run(7, 1));
    crash_suspects.record_crash(8, secs(2.0));
    crash_suspects.clear(8, 2, secs(3.0));
    assert!(crash_suspects.may_run(8, 2));
    assert_eq!(crash_suspects.reported_crashes(), [(7, 2)]);
    crash_suspects.record_crash(7, secs(3.0));
    assert!(!crash_suspects.may_run(7, 0));
    crash_suspects.tick(secs(70.0));
    assert!(crash_suspects.may_run(7, 0) && crash_suspects.is_empty());
}

/// More fingerprints than are kept: the oldest go, the memory is bounded.
#[test]
fn crashes_are_remembered_within_a_bound() {
    let mut crash_suspects = CrashSuspects::default();
    for print in 0..2000 {
        crash_suspects.record_crash(print, secs(print as f64 / 1000.0));
    }
    assert_eq!(crash_suspects.reported_crashes().len(), 512);
}

/// Load pattern: every request fails, at every host. Retries of all hosts together stay below the
/// declared share and slack in any window, whatever these are.
#[test]
fn hosts_together_keep_the_retry_budget() {
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
                budget.allow(retry_allowance(&bounds, 12));
                budget.noted(now);
                firsts += 1;
                retries += u32::from(budget.take(now));
            }
        }
        let most = f64::from(firsts) * retry_ratio + retry_slack;
        assert!(f64::from(retries) <= most, "{retries} of {most}");
        assert!(most * 0.4 < f64::from(retries), "{retries} of {most}");
    }
}

/// Two hosts' routes have one prefix and different splits. Each route's parts get their weights, to
/// within one request, however the requests are mixed.
#[test]
fn parts_of_a_split_get_their_weights() {
    let clock = Arc::new(ManualClock::default());
    let settings = loopback_settings("h", "z", "r", &[("z", "r")], "127.0.0.1:1".parse().unwrap());
    let view = Arc::new(arc_swap::ArcSwapOption::empty());
    let bounds = Arc::new(arc_swap::ArcSwap::from_pointee(settings.bounds.clone()));
    let (protocol, events) = (Arc::new(PlatformProtocol), Arc::new(NoEvents));
    let state = TrafficState::new(Arc::new(settings), bounds, clock, protocol, view, events);
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
    let (even, skew) = (route("x", [50.0, 50.0]), route("y", [90.0, 10.0]));
    let mut counts = [0, 0];
    for _ in 0..200 {
        counts[0] += usize::from(state.pick_service(&even).as_deref() == Some("s"));
        counts[1] += usize::from(state.pick_service(&skew).as_deref() == Some("s"));
    }
    assert!(counts[0].abs_diff(100) <= 1 && counts[1].abs_diff(180) <= 1, "{counts:?}");
}
