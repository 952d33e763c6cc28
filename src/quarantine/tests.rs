use super::*;
use crate::{base::invariant, prelude::*};

fn secs(secs: u64) -> Moment {
    Duration::from_secs(secs)
}

#[test]
fn crashing_request_is_refused_and_harmless_one_cleared() {
    // Two requests run on a target when it crashes; one of them is the cause. Both are resent, each
    // alone. The harmless one is answered and runs without restriction again. The other one crashes
    // a second target and is refused on this host and on a peer that receives the mark.
    let (crashing, harmless) = (1, 2);
    let [a, b, c]: [TargetId; 3] = ["a".into(), "b".into(), "c".into()];
    let mut quarantine = Quarantine::new(QuarantineLimits::default());
    quarantine.record_start(crashing, &a, secs(0));
    quarantine.record_start(harmless, &a, secs(0));
    quarantine.record_end(crashing, &a, true, secs(1));
    quarantine.record_end(harmless, &a, true, secs(1));
    assert_eq!(quarantine.run_mode(crashing, secs(1)), RunMode::Exclusive);
    assert_eq!(quarantine.run_mode(harmless, secs(1)), RunMode::Exclusive);

    quarantine.record_start(harmless, &b, secs(2));
    assert_eq!(quarantine.record_end(harmless, &b, false, secs(3)), None);
    assert_eq!(quarantine.run_mode(harmless, secs(3)), RunMode::Normal);

    quarantine.record_start(crashing, &c, secs(3));
    let mark = quarantine.record_end(crashing, &c, true, secs(4)).unwrap();
    assert_eq!(mark.verdict, QuarantineVerdict::Refused);
    assert_eq!(quarantine.run_mode(crashing, secs(5)), RunMode::Refused { until: secs(64) });

    let mut peer = Quarantine::new(QuarantineLimits::default());
    peer.merge_mark(&mark, secs(1000));
    assert_eq!(peer.run_mode(crashing, secs(1001)), RunMode::Refused { until: secs(1060) });
    assert!(invariant::take_violations().is_empty());
}

#[test]
fn mark_survives_a_json_round_trip() {
    let mark = QuarantineMark {
        fingerprint: u128::MAX - 1,
        left: secs(3),
        verdict: QuarantineVerdict::Refused,
    };
    let text = serde_json::to_string(&mark).unwrap();
    assert_eq!(serde_json::from_str::<QuarantineMark>(&text).unwrap(), mark);
}

#[test]
fn echoed_marks_do_not_extend_a_suspicion() {
    // Two hosts exchange marks every second over a slow link. Each receives its own mark back with
    // a little more time left than its record has; the suspicion must still end close to its time.
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
    // A suspect request got a complete answer on this host. A peer that has not seen the answer
    // still reports the suspicion; merging it would make the request run alone again and again.
    let target: TargetId = "a".into();
    let mut quarantine = Quarantine::new(QuarantineLimits::default());
    quarantine.record_start(1, &target, secs(0));
    let mark = quarantine.record_end(1, &target, true, secs(0)).unwrap();
    quarantine.record_start(1, &target, secs(1));
    quarantine.record_end(1, &target, false, secs(1));
    quarantine.merge_mark(&mark, secs(2));
    assert_eq!(quarantine.run_mode(1, secs(2)), RunMode::Normal);
    quarantine.merge_mark(&QuarantineMark { verdict: QuarantineVerdict::Refused, ..mark }, secs(2));
    assert_eq!(quarantine.run_mode(1, secs(2)), RunMode::Refused { until: secs(62) });
}

#[test]
fn inconclusive_end_keeps_the_suspicion() {
    let target: TargetId = "a".into();
    let mut quarantine = Quarantine::new(QuarantineLimits::default());
    quarantine.record_start(1, &target, secs(0));
    quarantine.record_end(1, &target, true, secs(0));
    quarantine.record_start(1, &target, secs(1));
    quarantine.record_inconclusive_end(1, &target);
    assert_eq!(quarantine.run_mode(1, secs(1)), RunMode::Exclusive);
}

#[test]
fn refusals_double_and_outlast_suspicions_at_the_limit() {
    let target: TargetId = "a".into();
    let limits = QuarantineLimits { records: 8, ..QuarantineLimits::default() };
    let mut quarantine = Quarantine::new(limits);
    let mut now = secs(0);
    let mut times = Vec::new();
    for _ in 0..6 {
        quarantine.record_start(1, &target, now);
        quarantine.record_end(1, &target, true, now);
        if let RunMode::Refused { until } = quarantine.run_mode(1, now) {
            times.push((until - now).as_secs());
            now = until;
        }
    }
    assert_eq!(times, [60, 120, 240, 480, 480]);
    let until = now - secs(1);
    for other in 2..100 {
        quarantine.record_start(other, &target, until);
        quarantine.record_end(other, &target, true, until);
    }
    assert_eq!(quarantine.len(), 8);
    assert_eq!(quarantine.run_mode(1, until), RunMode::Refused { until: now });
}

#[test]
fn broken_invariants_are_recorded() {
    let target: TargetId = "a".into();
    let names =
        || invariant::take_violations().iter().map(|broken| broken.name).collect::<Vec<_>>();
    let mut quarantine = Quarantine::new(QuarantineLimits { records: 2, ..Default::default() });
    quarantine.record_start(1, &target, secs(0));
    quarantine.record_end(1, &target, true, secs(0));
    quarantine.record_start(2, &target, secs(0));
    quarantine.record_start(1, &target, secs(0));
    assert_eq!(names(), ["suspect-runs-alone"]);
    quarantine.record_end(2, &target, false, secs(0));
    quarantine.record_end(1, &target, true, secs(0));
    quarantine.record_start(1, &target, secs(0));
    quarantine.record_end(1, &target, true, secs(0));
    quarantine.record_start(1, &target, secs(1));
    assert_eq!(names(), ["quarantine-not-run"]);
    (10..12).for_each(|other| quarantine.insert_unbounded(other, secs(9)));
    assert_eq!(names(), ["quarantine-bounded"]);
}

#[test]
fn fingerprint_covers_all_parts_of_a_request() {
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
