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
fn nearest_tier_with_room_comes_first() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut selector = Selector::new(Policy::Weighed(Weighing::Latency));
    let pool = [
        candidate("far", 0, 3, Tier::Foreign),
        candidate("full", 3, 3, Tier::Zone),
        candidate("near", 2, 3, Tier::Region),
    ];
    assert_eq!(selector.pick(&"shows".into(), &pool, secs(0), &mut rng), Some(2));
}

#[test]
fn ejection_never_empties_a_pool() {
    // The caller sees answers go on: every target of a service fails three times in a row (a
    // shared dependency is down). Ejecting them all would refuse everything, also after recovery,
    // so with no sound target left the ejected ones are used.
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut selector = Selector::new(Policy::Weighed(Weighing::Latency));
    let pool = [candidate("a", 0, 3, Tier::Zone), candidate("b", 0, 3, Tier::Zone)];
    for target in ["a", "b"] {
        let target: TargetId = target.into();
        for _ in 0..3 {
            selector.record_end(&target, HealthSignal::Failed, secs(1), secs(1));
        }
        assert!(selector.is_ejected(&target, secs(1)));
        assert!(selector.pick(&"shows".into(), &pool, secs(1), &mut rng).is_some());
    }
}

#[test]
fn cold_targets_ramp_and_reports_only_lower() {
    let mut selector = Selector::new(Policy::LeastInFlight);
    let target: TargetId = "a".into();
    assert_eq!(selector.concurrency_limit(&target, 3, secs(0)), 1);
    succeed(&mut selector, "a", 6, 20, secs(1));
    assert_eq!(selector.concurrency_limit(&target, 3, secs(1)), 3);
    let cases = [
        (LoadReport { busy: 0, draining: false, slots: 100 }, 3, "a report never raises the limit"),
        (LoadReport { busy: 9, draining: false, slots: 0 }, 3, "0 slots: it does not say"),
        (LoadReport { busy: 9, draining: false, slots: 1 }, 2, "half is the least"),
        (LoadReport { busy: 0, draining: true, slots: 3 }, 0, "draining: no new work"),
        (LoadReport { busy: 0, draining: false, slots: 3 }, 1, "back from a drain it is cold"),
    ];
    for (report, limit, why) in cases {
        selector.record_report(&target, report, secs(1));
        assert_eq!(selector.concurrency_limit(&target, 3, secs(1)), limit, "{why}");
    }
}

#[test]
fn shed_lowers_the_limit_below_what_ran() {
    // A target sheds although the manifest grants it three slots. Its own word at the time of use
    // counts: two stay, however long it had run well before, and successes earn the third back.
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
fn failing_target_is_out_for_longer_each_time() {
    // A target refuses every connection. Callers would each lose an attempt to it; after three it
    // is out for 2 s, comes back with a concurrency of one, fails once and is out for 4 s.
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for (eject, picks) in [(true, 0), (false, 100)] {
        let rules = SelectorOptions { eject, ..SelectorOptions::default() };
        let mut selector = Selector::with_options(Policy::LeastInFlight, rules);
        let pool = [candidate("bad", 0, 3, Tier::Zone), candidate("good", 1, 3, Tier::Zone)];
        let bad: TargetId = "bad".into();
        (0..3)
            .for_each(|_| selector.record_end(&bad, HealthSignal::Failed, Duration::ZERO, secs(1)));
        let mut pick = |selector: &mut Selector, now| {
            selector.pick(&"shows".into(), &pool, now, &mut rng) == Some(0)
        };
        let picked = (0..100).filter(|_| pick(&mut selector, secs(2))).count();
        assert_eq!(picked, picks);
        assert!(pick(&mut selector, secs(3)), "tried again");
        selector.record_end(&bad, HealthSignal::Failed, Duration::ZERO, secs(3));
        assert_eq!(pick(&mut selector, secs(6)), !eject, "out for twice as long");
        let changes = selector.take_changes();
        assert_eq!(changes.len(), if eject { 3 } else { 0 }, "{changes:?}");
    }
}

#[test]
fn slow_target_gets_little_and_is_tried_again() {
    // One of two targets answers ten times slower, but answers. Round robin sends it half of the
    // callers; by latency it gets none of them while the other has room. It must be tried again
    // later, for nothing else would tell that it has recovered.
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let pool = [candidate("slow", 0, 3, Tier::Zone), candidate("fast", 0, 3, Tier::Zone)];
    for (policy, share) in [(Policy::RoundRobin, 50), (Policy::Weighed(Weighing::Latency), 0)] {
        let mut selector = Selector::new(policy);
        succeed(&mut selector, "slow", 20, 500, secs(1));
        succeed(&mut selector, "fast", 20, 50, secs(1));
        let mut slow_at = |selector: &mut Selector, now| {
            selector.pick(&"shows".into(), &pool, now, &mut rng) == Some(0)
        };
        let slow = (0..100).filter(|_| slow_at(&mut selector, secs(1))).count();
        assert_eq!(slow, share, "{policy:?}");
        succeed(&mut selector, "fast", 1, 50, secs(60));
        assert!((0..2).any(|_| slow_at(&mut selector, secs(60))), "{policy:?}");
    }
}

#[test]
fn lost_reports_take_no_traffic_away() {
    // Every load report stops arriving. Trust in each target decays alike, so the choice between
    // them stays even and every limit stays where it was.
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut selector = Selector::new(Policy::Weighed(Weighing::Headroom));
    for target in ["a", "b"] {
        succeed(&mut selector, target, 10, 20, secs(1));
        let report = LoadReport { busy: 1, draining: false, slots: 3 };
        selector.record_report(&target.into(), report, secs(1));
    }
    let limit = selector.concurrency_limit(&"a".into(), 3, secs(200));
    assert_eq!(limit, 3);
    let pool = [candidate("a", 1, limit, Tier::Zone), candidate("b", 1, limit, Tier::Zone)];
    let picks =
        (0..1000).filter(|_| selector.pick(&"shows".into(), &pool, secs(200), &mut rng) == Some(0));
    assert!((400..600).contains(&picks.count()));
}

#[test]
fn choice_without_room_breaks_the_invariant() {
    super::selector::check_room(&candidate("a", 3, 3, Tier::Zone));
    assert_eq!(invariant::take()[0].name, "selection-has-room");
}

fn succeed(selector: &mut Selector, target: &str, count: u32, millis: u64, now: Moment) {
    let target: TargetId = target.into();
    for _ in 0..count {
        selector.record_start(&target, now);
        selector.record_end(&target, HealthSignal::Succeeded, Duration::from_millis(millis), now);
    }
}

// A target is slow, and each request on it is given up for the answer of a faster one. Nothing of
// it ever ends, so what is known of it must come from there, or it would pass for a fast one. It
// is no failure either: three in a row do not eject it.
#[test]
fn requests_that_were_given_up_show_a_slow_target() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut selector = Selector::new(Policy::Weighed(Weighing::Latency));
    let pool = [candidate("slow", 0, 3, Tier::Zone), candidate("fast", 0, 3, Tier::Zone)];
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
        assert_eq!(selector.pick(&"shows".into(), &pool, secs(1), &mut rng), Some(1));
    }
}
