use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::{base::invariant, prelude::*};

fn ask(cap: f64, regions_silent: bool) -> ShiftQuery {
    ShiftQuery { home: "zagreb".into(), cap, regions_silent, service: "status".into() }
}

/// Ten seconds of 100 requests a second that are served at home.
fn quiet(caps: &mut ShiftLimiter, ask: &ShiftQuery, from: Moment) {
    for step in 0..1000 {
        caps.record_arrival(&ask.service, &ask.home, from + Duration::from_millis(10) * step);
    }
}

/// Ten seconds of 100 requests a second that all want to leave; returns how many may.
fn flood(caps: &mut ShiftLimiter, ask: &ShiftQuery, from: Moment) -> u32 {
    let mut allowed = 0;
    for step in 0..1000 {
        let now = from + Duration::from_millis(10) * step;
        caps.record_arrival(&ask.service, &ask.home, now);
        if caps.allow(ask, now) {
            allowed += 1;
            caps.record_feedback(&ask.service, &ask.home, true, now);
        }
    }
    allowed
}

#[test]
fn shifts_ramp_up_to_the_cap_and_no_further() {
    let mut caps = ShiftLimiter::new(Duration::ZERO);
    let ask = ask(0.3, false);
    quiet(&mut caps, &ask, at(0));
    let ramping = flood(&mut caps, &ask, at(10));
    assert!((50..270).contains(&ramping), "{ramping}");
    let steady = flood(&mut caps, &ask, at(20));
    assert!((270..=300).contains(&steady), "{steady}");
    assert!(crate::base::invariant::take().is_empty());
}

#[test]
fn receiver_keeps_its_reserve() {
    assert!(accept_foreign(5, 12, 0.25));
    assert!(!accept_foreign(3, 12, 0.25));
    assert!(!accept_foreign(0, 12, 0.0));
    assert!(!accept_foreign(12, 12, 1.0));
}

#[test]
fn undone_shift_leaves_room_for_another() {
    let mut caps = ShiftLimiter::new(Duration::ZERO);
    let ask = ask(0.1, false);
    quiet(&mut caps, &ask, at(0));
    assert!(caps.allow(&ask, at(10)));
    let more = (0..9).filter(|_| caps.allow(&ask, at(10))).count();
    assert!(more < 9, "a first step");
    caps.refund(&ask.service, &ask.home, at(11));
    assert!(caps.allow(&ask, at(11)));
    assert!(!caps.allow(&ask, at(11)));
    (0..30).for_each(|_| caps.refund(&ask.service, &ask.home, at(12)));
    assert_eq!(caps.request_rates(at(30)), [], "the window is empty, and nothing panics");
}

#[test]
fn resends_raise_no_cap() {
    // A region loses its targets; refused callers come back a few times each, so four times the
    // requests arrive. A cap that takes its share of those lets more callers through the more it
    // refuses: at 30 % of four times the traffic, everything would shift.
    let mut caps = ShiftLimiter::new(Duration::ZERO);
    let ask = ask(0.3, false);
    quiet(&mut caps, &ask, at(0));
    let mut shifted = 0;
    for step in 0..8000 {
        let now = at(10) + Duration::from_micros(2500) * step;
        caps.record_arrival(&ask.service, &ask.home, now);
        if caps.allow(&ask, now) {
            shifted += u32::from(at(20) <= now);
            caps.record_feedback(&ask.service, &ask.home, true, now);
        }
    }
    assert!((250..=300).contains(&shifted), "{shifted} of 1000 callers");
}

#[test]
fn old_traffic_pays_for_no_burst() {
    // Callers are many for ten seconds and then almost gone. A cap over the window alone would let
    // the few that are left all shift at once: hundreds of old requests pay for them. Credit that
    // each arrival earns, and that is not saved up, keeps every later span under the cap too.
    let mut caps = ShiftLimiter::new(Duration::ZERO);
    let ask = ask(0.3, false);
    flood(&mut caps, &ask, at(0));
    (0..700).for_each(|_| caps.record_arrival(&ask.service, &ask.home, at(10)));
    let mut shifted = 0;
    for step in 0..50 {
        let now = at(11) + Duration::from_millis(100) * step;
        caps.record_arrival(&ask.service, &ask.home, now);
        shifted += u32::from(caps.allow(&ask, now));
    }
    assert!(shifted <= 15 + 2, "{shifted} of 50 shifted at a cap of 30 %");
    assert!(invariant::take().is_empty());
}

#[test]
fn cap_holds_between_silent_regions() {
    // Two regions lose each other, each believing the other gone. The home hosts go on shifting to
    // a third region while callers that still hold old look-ups come to the other side directly.
    // Neither can ask; each takes half of the cap, so the sum over all receivers stays under it.
    let mut home = ShiftLimiter::new(Duration::ZERO);
    let mut receivers = [(); 4].map(|()| ShiftLimiter::new(Duration::ZERO));
    let ask = ask(0.3, true);
    let direct = direct(100.0, 4);
    quiet(&mut home, &ask, at(0));
    let warm = flood(&mut home, &ask, at(10));
    let shifted = flood(&mut home, &ask, at(20));
    let mut served = [0; 2];
    for step in 0..8000_u32 {
        let now = Duration::from_micros(2500) * step;
        let receiver = &mut receivers[step as usize % 4];
        if receiver.allow_direct(&direct, now) {
            served[usize::from(at(10) <= now)] += 1;
            receiver.record_feedback(&direct.service, &direct.home, true, now);
        }
    }
    assert!(warm <= 150 && (130..=150).contains(&shifted), "{warm}, {shifted} by home hosts");
    let [ramping, steady] = served;
    assert!(ramping <= 150 && (130..=150 + 4).contains(&steady), "{ramping}, {steady} directly");
    assert!(invariant::take().is_empty());
}

#[test]
fn restarted_receiver_has_no_credit() {
    // Receivers restart one after the other while a region is away. If each began with a request's
    // worth of credit, every restart would serve one more and a crash loop would pass the cap.
    let mut caps = ShiftLimiter::new(at(100));
    assert!(!caps.allow_direct(&direct(2.0, 1), at(101)));
    assert!(caps.allow_direct(&direct(2.0, 1), at(104)));
}

#[test]
fn bad_answers_back_off_without_swinging() {
    // The receiving region sheds whenever more than half of the cap is in use. Each time the shift
    // grows past that it backs off; without a pause that grows it would swing every few seconds
    // and the receiving region's own callers would feel each swing.
    for pause in [true, false] {
        let mut caps =
            ShiftLimiter::with_options(ShiftOptions { pause, ..Default::default() }, at(0));
        let ask = ask(0.4, false);
        let (mut recent, mut sum) = (std::collections::VecDeque::new(), 0);
        for step in 0..30_000 {
            let now = Duration::from_millis(10) * step;
            caps.record_arrival(&ask.service, &ask.home, now);
            let allowed = caps.allow(&ask, now);
            recent.push_back(allowed);
            sum += usize::from(allowed);
            if 100 < recent.len() {
                sum -= usize::from(recent.pop_front().unwrap());
            }
            if allowed {
                caps.record_feedback(&ask.service, &ask.home, sum <= 20, now);
            }
        }
        let reversals = caps.reversals(&ask.service, &ask.home);
        let fired = invariant::take().iter().any(|broken| broken.name == "shift-reversals-bounded");
        assert_eq!(fired, !pause, "{reversals} reversals");
    }
}

#[test]
fn slow_answers_hold_a_shift_back() {
    // The receiving region answers everything, but twenty times slower than home does: it is
    // choking on what it gets. The shift stays small until answers come faster.
    let shifted = |millis| {
        let mut caps = ShiftLimiter::new(Duration::ZERO);
        let ask = ask(0.3, false);
        let end = |millis, shifted| CompletedRequest {
            latency: Some(Duration::from_millis(millis)),
            refused: false,
            shifted,
        };
        let mut count = 0;
        for step in 0..2000 {
            let now = Duration::from_millis(10) * step;
            caps.record_arrival(&ask.service, &ask.home, now);
            let allowed = caps.allow(&ask, now);
            count += u32::from(allowed);
            let end = if allowed { end(millis, true) } else { end(50, false) };
            caps.record_completion(&ask.service, &ask.home, end, now);
        }
        count
    };
    let (fast, slow) = (shifted(160), shifted(1000));
    assert!(slow * 5 < fast, "{slow} slow ones, {fast} fast ones");
}

#[test]
fn some_refusals_do_not_hold_a_shift_back() {
    // The receiving region serves one shifted request of four at once and has no spare slot for
    // the others: its reserve protects it. Backing off then, the home region lost requests that the
    // other one had room for. Only where next to all are refused does the shift stay small.
    let served = |one_of: u32| {
        let mut caps = ShiftLimiter::new(Duration::ZERO);
        let ask = ask(0.3, false);
        let (mut asked, mut served) = (0, 0);
        for step in 0..2000 {
            let now = Duration::from_millis(10) * step;
            caps.record_arrival(&ask.service, &ask.home, now);
            if !caps.allow(&ask, now) {
                continue;
            }
            asked += 1;
            let refused = asked % one_of != 1;
            let latency = (!refused).then_some(Duration::from_millis(160));
            served += u32::from(!refused);
            if refused {
                caps.refund(&ask.service, &ask.home, now);
            }
            let end = CompletedRequest { latency, refused, shifted: true };
            caps.record_completion(&ask.service, &ask.home, end, now);
        }
        (asked, served)
    };
    let (some, none) = (served(4), served(40));
    assert!(100 < some.1 && none.0 * 4 < some.0, "{some:?}, {none:?}");
}

#[test]
fn without_caps_the_invariants_fire() {
    let rules = ShiftOptions { caps: false, ..Default::default() };
    let mut caps = ShiftLimiter::with_options(rules, Duration::ZERO);
    flood(&mut caps, &ask(0.3, false), at(0));
    (0..50).for_each(|_| assert!(caps.allow_direct(&direct(10.0, 1), at(20))));
    let broken = invariant::take();
    for name in ["shift-under-cap", "direct-shift-under-cap"] {
        assert!(broken.iter().any(|broken| broken.name == name), "{name}");
    }
}

#[test]
fn refused_callers_come_back_spread() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut caps = ShiftLimiter::new(Duration::ZERO);
    let ask = ask(0.1, false);
    flood(&mut caps, &ask, at(0));
    let times: Vec<f64> = (0..1000)
        .map(|_| caps.retry_after(&ask.service, &ask.home, at(10), &mut rng).as_secs_f64())
        .collect();
    let within = |from: f64| times.iter().filter(move |&&time| from <= time && time < from + 1.0);
    let busiest = (1..20).map(|from| within(f64::from(from)).count()).max().unwrap();
    assert!(busiest < 250, "{busiest} of 1000 come back within one second");
}

fn direct(baseline: f64, receivers: u32) -> DirectQuery {
    DirectQuery { baseline, cap: 0.3, home: "zagreb".into(), receivers, service: "status".into() }
}

fn at(secs: u64) -> Moment {
    Duration::from_secs(secs)
}
