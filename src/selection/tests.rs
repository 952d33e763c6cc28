use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::{manifest::Weighing, prelude::*};

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
            selector.ended(&target, Signal::Failed, secs(1), secs(1));
        }
        assert!(selector.ejected(&target, secs(1)));
        assert!(selector.pick(&"shows".into(), &pool, secs(1), &mut rng).is_some());
    }
}

#[test]
fn cold_targets_ramp_and_reports_only_lower() {
    let mut selector = Selector::new(Policy::LeastInFlight);
    let target: TargetId = "a".into();
    assert_eq!(selector.limit(&target, 3, secs(0)), 1);
    for _ in 0..6 {
        selector.ended(&target, Signal::Succeeded, Duration::from_millis(20), secs(1));
    }
    assert_eq!(selector.limit(&target, 3, secs(1)), 3);
    let lie = LoadReport { busy: 0, draining: false, slots: 100 };
    selector.report(&target, lie, secs(1));
    assert_eq!(selector.limit(&target, 3, secs(1)), 3, "a report never raises the limit");
    selector.report(&target, LoadReport { slots: 0, ..lie }, secs(1));
    assert_eq!(selector.limit(&target, 3, secs(1)), 2, "nor takes it below half");
    selector.report(&target, LoadReport { draining: true, ..lie }, secs(2));
    assert_eq!(selector.limit(&target, 3, secs(2)), 0);
}
