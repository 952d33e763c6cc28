use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::{base::invariant, manifest::Weighing, prelude::*};

fn secs(secs: u64) -> Moment {
    Duration::from_secs(secs)
}

fn candidate(target: &str, in_flight: u32, limit: u32, tier: Tier) -> Candidate {
    Candidate { in_flight, limit, target: target.into(), tier }
}

#[test]
fn nearest_tier_with_room_is_preferred() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut selector = Selector::new(Policy::Weighed(Weighing::Latency));
    let candidates = [
        candidate("far", 0, 3, Tier::Foreign),
        candidate("full", 3, 3, Tier::Zone),
        candidate("near", 2, 3, Tier::Region),
    ];
    assert_eq!(selector.pick(&"shows".into(), &candidates, secs(0), &mut rng), Some(2));
}

#[test]
fn ejected_targets_are_used_if_there_are_no_others() {
    // Every target of a service fails three times in a row because a shared dependency is down.
    // If all were ejected, every request would be refused, even after recovery. With no healthy
    // target left, the ejected ones are used.
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut selector = Selector::new(Policy::Weighed(Weighing::Latency));
    let candidates = [candidate("a", 0, 3, Tier::Zone), candidate("b", 0, 3, Tier::Zone)];
    for target in ["a", "b"] {
        let target: TargetId = target.into();
        for _ in 0..3 {
            selector.record_end(&target, HealthSignal::Failed, secs(1), secs(1));
        }
        assert!(selector.is_ejected(&target, secs(1)));
        assert!(selector.pick(&"shows".into(), &candidates, secs(1), &mut rng).is_some());
    }
}

#[test]
fn cold_targets_ramp_up_and_reports_only_lower_the_limit() {
    let mut selector = Selector::new(Policy::LeastInFlight);
    let target: TargetId = "a".into();
    assert_eq!(selector.concurrency_limit(&target, 3, secs(0)), 1);
    succeed(&mut selector, "a", 6, 20, secs(1));
    assert_eq!(selector.concurrency_limit(&target, 3, secs(1)), 3);
    let cases = [
        (LoadReport { busy: 0, draining: false, slots: 100 }, 3, "a report never raises the limit"),
        (LoadReport { busy: 9, draining: false, slots: 0 }, 3, "0 slots: the number is not known"),
        (LoadReport { busy: 9, draining: false, slots: 1 }, 2, "half of the slots is the minimum"),
        (LoadReport { busy: 0, draining: true, slots: 3 }, 0, "draining: no new requests"),
        (LoadReport { busy: 0, draining: false, slots: 3 }, 1, "cold again after draining"),
    ];
    for (report, limit, why) in cases {
        selector.record_report(&target, report, secs(1));
        assert_eq!(selector.concurrency_limit(&target, 3, secs(1)), limit, "{why}");
    }
}

#[test]
fn shed_request_lowers_the_limit_below_the_current_concurrency() {
    // A target sheds at three requests although the manifest gives it three slots. Its limit drops
    // to two, no matter how long it had run well before, until successes raise it to three again.
    let mut selector = Selector::new(Policy::LeastInFlight);
    let target: TargetId = "a".into();
    succeed(&mut selector, "a", 500, 20, secs(1));
    (0..3).for_each(|_| selector.record_start(&target, secs(1)));
    selector.record_end(&target, HealthSignal::Shed, Duration::ZERO, secs(1));
    assert_eq!(selector.concurrency_limit(&target, 3, secs(1)), 2);
    succeed(&mut selector, "a", 3, 20, secs(1));
    assert_eq!(selector.concurrency_limit(&target, 3, secs(1)), 3);
}

#[test]
fn repeated_ejections_last_longer() {
    // A target refuses every connection, and each attempt at it is wasted. After three failures it
    // is ejected for 2 s, readmitted with a concurrency of one, fails once and is ejected for 4 s.
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for (eject, picks) in [(true, 0), (false, 100)] {
        let options = SelectorOptions { eject, ..SelectorOptions::default() };
        let mut selector = Selector::with_options(Policy::LeastInFlight, options);
        let candidates = [candidate("bad", 0, 3, Tier::Zone), candidate("good", 1, 3, Tier::Zone)];
        let bad: TargetId = "bad".into();
        (0..3)
            .for_each(|_| selector.record_end(&bad, HealthSignal::Failed, Duration::ZERO, secs(1)));
        let mut pick = |selector: &mut Selector, now| {
            selector.pick(&"shows".into(), &candidates, now, &mut rng) == Some(0)
        };
        let picked = (0..100).filter(|_| pick(&mut selector, secs(2))).count();
        assert_eq!(picked, picks);
        assert!(pick(&mut selector, secs(3)), "readmitted");
        selector.record_end(&bad, HealthSignal::Failed, Duration::ZERO, secs(3));
        assert_eq!(pick(&mut selector, secs(6)), !eject, "ejected for twice as long");
        let changes = selector.take_changes();
        assert_eq!(changes.len(), if eject { 3 } else { 0 }, "{changes:?}");
    }
}

#[test]
fn slow_target_gets_few_requests_and_is_retried() {
    // One of two targets answers, but ten times slower. Round robin sends it half of the requests;
    // by latency it gets none while the other target has room. It must be tried again later,
    // because nothing else would show that it has recovered.
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let candidates = [candidate("slow", 0, 3, Tier::Zone), candidate("fast", 0, 3, Tier::Zone)];
    for (policy, share) in [(Policy::RoundRobin, 50), (Policy::Weighed(Weighing::Latency), 0)] {
        let mut selector = Selector::new(policy);
        succeed(&mut selector, "slow", 20, 500, secs(1));
        succeed(&mut selector, "fast", 20, 50, secs(1));
        let mut slow_at = |selector: &mut Selector, now| {
            selector.pick(&"shows".into(), &candidates, now, &mut rng) == Some(0)
        };
        let slow = (0..100).filter(|_| slow_at(&mut selector, secs(1))).count();
        assert_eq!(slow, share, "{policy:?}");
        succeed(&mut selector, "fast", 1, 50, secs(60));
        assert!((0..2).any(|_| slow_at(&mut selector, secs(60))), "{policy:?}");
    }
}

#[test]
fn missing_reports_do_not_divert_traffic() {
    // All load reports stop arriving. Trust in the reports of all targets decays alike, so the
    // choice between them stays even and the limits do not change.
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut selector = Selector::new(Policy::Weighed(Weighing::Headroom));
    for target in ["a", "b"] {
        succeed(&mut selector, target, 10, 20, secs(1));
        let report = LoadReport { busy: 1, draining: false, slots: 3 };
        selector.record_report(&target.into(), report, secs(1));
    }
    let limit = selector.concurrency_limit(&"a".into(), 3, secs(200));
    assert_eq!(limit, 3);
    let candidates = [candidate("a", 1, limit, Tier::Zone), candidate("b", 1, limit, Tier::Zone)];
    let picks = (0..1000)
        .filter(|_| selector.pick(&"shows".into(), &candidates, secs(200), &mut rng) == Some(0));
    assert!((400..600).contains(&picks.count()));
}

#[test]
fn choosing_a_full_target_breaks_the_invariant() {
    super::selector::check_has_room(&candidate("a", 3, 3, Tier::Zone));
    assert_eq!(invariant::take_violations()[0].name, "selection-has-room");
}

fn succeed(selector: &mut Selector, target: &str, count: u32, millis: u64, now: Moment) {
    let target: TargetId = target.into();
    for _ in 0..count {
        selector.record_start(&target, now);
        selector.record_end(&target, HealthSignal::Succeeded, Duration::from_millis(millis), now);
    }
}

// A target is slow, and each of its requests is cancelled because a faster target has answered. As
// none of them ends otherwise, their durations must count, or the target would be considered fast.
// Cancellation is not a failure: three in a row do not eject the target.
#[test]
fn cancelled_requests_reveal_a_slow_target() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut selector = Selector::new(Policy::Weighed(Weighing::Latency));
    let candidates = [candidate("slow", 0, 3, Tier::Zone), candidate("fast", 0, 3, Tier::Zone)];
    for target in ["slow", "fast"] {
        succeed(&mut selector, target, 6, 20, secs(1));
    }
    for _ in 0..3 {
        selector.record_end(
            &"slow".into(),
            HealthSignal::Cancelled,
            Duration::from_millis(100),
            secs(1),
        );
    }
    assert!(!selector.is_ejected(&"slow".into(), secs(1)));
    for _ in 0..20 {
        assert_eq!(selector.pick(&"shows".into(), &candidates, secs(1), &mut rng), Some(1));
    }
}
