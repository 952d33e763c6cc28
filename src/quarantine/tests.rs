use super::*;
use crate::{base::invariant, prelude::*};

fn secs(secs: u64) -> Moment {
    Duration::from_secs(secs)
}

#[test]
fn guilty_request_is_refused_and_innocent_one_cleared() {
    // Two requests run on a target when it crashes; one of them is the cause. Both are sent again,
    // each alone. The innocent one is answered and runs freely again; the other one crashes its
    // target a second time and is refused, here and where the mark is learnt.
    let (bad, good) = (1, 2);
    let [a, b, c]: [TargetId; 3] = ["a".into(), "b".into(), "c".into()];
    let mut here = Quarantine::new(QuarantineLimits::default());
    here.started(bad, &a, secs(0));
    here.started(good, &a, secs(0));
    here.ended(bad, &a, true, secs(1));
    here.ended(good, &a, true, secs(1));
    assert_eq!(here.standing(bad, secs(1)), Standing::Alone);
    assert_eq!(here.standing(good, secs(1)), Standing::Alone);

    here.started(good, &b, secs(2));
    assert_eq!(here.ended(good, &b, false, secs(3)), None);
    assert_eq!(here.standing(good, secs(3)), Standing::Clear);

    here.started(bad, &c, secs(3));
    let mark = here.ended(bad, &c, true, secs(4)).unwrap();
    assert_eq!(mark.verdict, Verdict::Refused);
    assert_eq!(here.standing(bad, secs(5)), Standing::Refused { until: secs(64) });

    let mut there = Quarantine::new(QuarantineLimits::default());
    there.learn(&mark, secs(1000));
    assert_eq!(there.standing(bad, secs(1001)), Standing::Refused { until: secs(1060) });
    assert!(invariant::take().is_empty());
}

#[test]
fn mark_travels_as_json() {
    let mark = Mark { fingerprint: u128::MAX - 1, left: secs(3), verdict: Verdict::Refused };
    let text = serde_json::to_string(&mark).unwrap();
    assert_eq!(serde_json::from_str::<Mark>(&text).unwrap(), mark);
}
