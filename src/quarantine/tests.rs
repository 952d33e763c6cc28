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
    here.record_start(bad, &a, secs(0));
    here.record_start(good, &a, secs(0));
    here.record_end(bad, &a, true, secs(1));
    here.record_end(good, &a, true, secs(1));
    assert_eq!(here.run_mode(bad, secs(1)), RunMode::Exclusive);
    assert_eq!(here.run_mode(good, secs(1)), RunMode::Exclusive);

    here.record_start(good, &b, secs(2));
    assert_eq!(here.record_end(good, &b, false, secs(3)), None);
    assert_eq!(here.run_mode(good, secs(3)), RunMode::Normal);

    here.record_start(bad, &c, secs(3));
    let mark = here.record_end(bad, &c, true, secs(4)).unwrap();
    assert_eq!(mark.verdict, QuarantineVerdict::Refused);
    assert_eq!(here.run_mode(bad, secs(5)), RunMode::Refused { until: secs(64) });

    let mut there = Quarantine::new(QuarantineLimits::default());
    there.merge_mark(&mark, secs(1000));
    assert_eq!(there.run_mode(bad, secs(1001)), RunMode::Refused { until: secs(1060) });
    assert!(invariant::take().is_empty());
}

#[test]
fn mark_travels_as_json() {
    let mark = QuarantineMark {
        fingerprint: u128::MAX - 1,
        left: secs(3),
        verdict: QuarantineVerdict::Refused,
    };
    let text = serde_json::to_string(&mark).unwrap();
    assert_eq!(serde_json::from_str::<QuarantineMark>(&text).unwrap(), mark);
}

#[test]
fn peers_repeating_each_other_keep_no_suspicion_alive() {
    // Two hosts exchange marks every second over a slow link. Each hears its own mark back with a
    // little more time left than its own; a suspicion must end near its time all the same.
    let mut hosts = [(); 2].map(|()| Quarantine::new(QuarantineLimits::default()));
    let target: TargetId = "a".into();
    hosts[0].record_start(1, &target, secs(0));
    hosts[0].record_end(1, &target, true, secs(0));
    for second in 1..100 {
        for from in [0, 1] {
            let marks = hosts[from].marks(secs(second));
            let arrival = secs(second) + Duration::from_millis(900);
            marks.iter().for_each(|mark| hosts[1 - from].merge_mark(mark, arrival));
        }
    }
    for host in hosts {
        assert_eq!(host.run_mode(1, secs(64)), RunMode::Normal);
    }
}

#[test]
fn cleared_request_stays_cleared() {
    // A request was suspect and then gave a whole answer here. A peer that has not seen the answer
    // still spreads the suspicion; believing it would make the request run alone again and again.
    let target: TargetId = "a".into();
    let mut here = Quarantine::new(QuarantineLimits::default());
    here.record_start(1, &target, secs(0));
    let mark = here.record_end(1, &target, true, secs(0)).unwrap();
    here.record_start(1, &target, secs(1));
    here.record_end(1, &target, false, secs(1));
    here.merge_mark(&mark, secs(2));
    assert_eq!(here.run_mode(1, secs(2)), RunMode::Normal);
    here.merge_mark(&QuarantineMark { verdict: QuarantineVerdict::Refused, ..mark }, secs(2));
    assert_eq!(here.run_mode(1, secs(2)), RunMode::Refused { until: secs(62) });
}

#[test]
fn shed_or_cancelled_run_proves_nothing() {
    let target: TargetId = "a".into();
    let mut here = Quarantine::new(QuarantineLimits::default());
    here.record_start(1, &target, secs(0));
    here.record_end(1, &target, true, secs(0));
    here.record_start(1, &target, secs(1));
    here.record_inconclusive_end(1, &target);
    assert_eq!(here.run_mode(1, secs(1)), RunMode::Exclusive);
}

#[test]
fn refusal_doubles_and_suspicions_make_room_for_it() {
    let target: TargetId = "a".into();
    let limits = QuarantineLimits { records: 8, ..QuarantineLimits::default() };
    let mut here = Quarantine::new(limits);
    let mut now = secs(0);
    let mut times = Vec::new();
    for _ in 0..6 {
        here.record_start(1, &target, now);
        here.record_end(1, &target, true, now);
        if let RunMode::Refused { until } = here.run_mode(1, now) {
            times.push((until - now).as_secs());
            now = until;
        }
    }
    assert_eq!(times, [60, 120, 240, 480, 480]);
    let until = now - secs(1);
    for other in 2..100 {
        here.record_start(other, &target, until);
        here.record_end(other, &target, true, until);
    }
    assert_eq!(here.len(), 8);
    assert_eq!(here.run_mode(1, until), RunMode::Refused { until: now });
}

#[test]
fn broken_safeguards_are_seen() {
    let target: TargetId = "a".into();
    let names = || invariant::take().iter().map(|broken| broken.name).collect::<Vec<_>>();
    let mut here = Quarantine::new(QuarantineLimits { records: 2, ..Default::default() });
    here.record_start(1, &target, secs(0));
    here.record_end(1, &target, true, secs(0));
    here.record_start(2, &target, secs(0));
    here.record_start(1, &target, secs(0));
    assert_eq!(names(), ["suspect-runs-alone"]);
    here.record_end(2, &target, false, secs(0));
    here.record_end(1, &target, true, secs(0));
    here.record_start(1, &target, secs(0));
    here.record_end(1, &target, true, secs(0));
    here.record_start(1, &target, secs(1));
    assert_eq!(names(), ["quarantine-not-run"]);
    (10..12).for_each(|other| here.put_unasked(other, secs(9)));
    assert_eq!(names(), ["quarantine-bounded"]);
}

#[test]
fn fingerprint_ignores_nothing_that_matters() {
    let (member, service): (MemberId, ServiceId) = ("agency".into(), "intake".into());
    let base = fingerprint(&member, &service, "POST", "/a", b"b");
    assert_eq!(base, fingerprint(&member, &service, "POST", "/a", b"b"));
    let others = [
        fingerprint(&"other".into(), &service, "POST", "/a", b"b"),
        fingerprint(&member, &"status".into(), "POST", "/a", b"b"),
        fingerprint(&member, &service, "PUT", "/a", b"b"),
        fingerprint(&member, &service, "POST", "/ab", b""),
    ];
    assert!(!others.contains(&base));
}
