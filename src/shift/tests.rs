use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::{base::invariant, prelude::*};

fn query(cap: f64, regions_silent: bool) -> ShiftQuery {
    ShiftQuery { home: "zagreb".into(), cap, regions_silent, service: "status".into() }
}

/// Ten seconds of 100 requests per second, all served at home.
fn serve_at_home(limiter: &mut ShiftLimiter, query: &ShiftQuery, from: Moment) {
    for step in 0..1000 {
        limiter.record_arrival(
            &query.service,
            &query.home,
            from + Duration::from_millis(10) * step,
        );
    }
}

/// Ten seconds of 100 requests per second, for all of which a shift is requested. Returns how many
/// shifts are allowed.
fn shift_all(limiter: &mut ShiftLimiter, query: &ShiftQuery, from: Moment) -> u32 {
    let mut allowed = 0;
    for step in 0..1000 {
        let now = from + Duration::from_millis(10) * step;
        limiter.record_arrival(&query.service, &query.home, now);
        if limiter.allow(query, now) {
            allowed += 1;
            limiter.record_feedback(&query.service, &query.home, true, now);
        }
    }
    allowed
}

#[test]
fn shifts_ramp_up_to_the_cap_and_no_further() {
    let mut limiter = ShiftLimiter::new(Duration::ZERO);
    let query = query(0.3, false);
    serve_at_home(&mut limiter, &query, at(0));
    let ramping = shift_all(&mut limiter, &query, at(10));
    assert!((50..270).contains(&ramping), "{ramping}");
    let steady = shift_all(&mut limiter, &query, at(20));
    assert!((270..=300).contains(&steady), "{steady}");
    assert!(crate::base::invariant::take_violations().is_empty());
}

#[test]
fn receiver_preserves_its_reserve() {
    assert!(accept_foreign(5, 12, 0.25));
    assert!(!accept_foreign(3, 12, 0.25));
    assert!(!accept_foreign(0, 12, 0.0));
    assert!(!accept_foreign(12, 12, 1.0));
}

#[test]
fn refunded_shift_can_be_used_again() {
    let mut limiter = ShiftLimiter::new(Duration::ZERO);
    let query = query(0.1, false);
    serve_at_home(&mut limiter, &query, at(0));
    assert!(limiter.allow(&query, at(10)));
    let more = (0..9).filter(|_| limiter.allow(&query, at(10))).count();
    assert!(more < 9, "the ramp starts below the cap");
    limiter.refund(&query.service, &query.home, at(11));
    assert!(limiter.allow(&query, at(11)));
    assert!(!limiter.allow(&query, at(11)));
    (0..30).for_each(|_| limiter.refund(&query.service, &query.home, at(12)));
    assert_eq!(limiter.request_rates(at(30)), [], "the window is empty, and nothing panics");
}

#[test]
fn resends_do_not_raise_the_cap() {
    // A region loses its targets, and refused callers resend until four times the requests arrive.
    // If the cap were a share of all arrivals, refusing more would allow more: at 30 % of four
    // times the traffic, everything would be shifted.
    let mut limiter = ShiftLimiter::new(Duration::ZERO);
    let query = query(0.3, false);
    serve_at_home(&mut limiter, &query, at(0));
    let mut shifted = 0;
    for step in 0..8000 {
        let now = at(10) + Duration::from_micros(2500) * step;
        limiter.record_arrival(&query.service, &query.home, now);
        if limiter.allow(&query, now) {
            shifted += u32::from(at(20) <= now);
            limiter.record_feedback(&query.service, &query.home, true, now);
        }
    }
    assert!((250..=300).contains(&shifted), "{shifted} of 1000 callers");
}

#[test]
fn earlier_traffic_does_not_allow_a_burst() {
    // Traffic is high for ten seconds and then almost stops. If only the window were checked, its
    // hundreds of earlier requests would allow all of the few remaining ones to shift. With credit
    // per arrival that does not accumulate, every later interval is under the cap as well.
    let mut limiter = ShiftLimiter::new(Duration::ZERO);
    let query = query(0.3, false);
    shift_all(&mut limiter, &query, at(0));
    (0..700).for_each(|_| limiter.record_arrival(&query.service, &query.home, at(10)));
    let mut shifted = 0;
    for step in 0..50 {
        let now = at(11) + Duration::from_millis(100) * step;
        limiter.record_arrival(&query.service, &query.home, now);
        shifted += u32::from(limiter.allow(&query, now));
    }
    assert!(shifted <= 15 + 2, "{shifted} of 50 shifted at a cap of 30 %");
    assert!(invariant::take_violations().is_empty());
}

#[test]
fn cap_holds_while_regions_are_partitioned() {
    // Two regions are partitioned, and each considers the other down. The home hosts keep shifting
    // to a third region, while callers with outdated look-ups reach the other side directly. The
    // two sides cannot coordinate; each uses half of the cap, so the sum over all receivers stays
    // under it.
    let mut home = ShiftLimiter::new(Duration::ZERO);
    let mut receivers = [(); 4].map(|()| ShiftLimiter::new(Duration::ZERO));
    let query = query(0.3, true);
    let direct = direct_query(100.0, 4);
    serve_at_home(&mut home, &query, at(0));
    let initially_shifted = shift_all(&mut home, &query, at(10));
    let shifted = shift_all(&mut home, &query, at(20));
    let mut served = [0; 2];
    for step in 0..8000_u32 {
        let now = Duration::from_micros(2500) * step;
        let receiver = &mut receivers[step as usize % 4];
        if receiver.allow_direct(&direct, now) {
            served[usize::from(at(10) <= now)] += 1;
            receiver.record_feedback(&direct.service, &direct.home, true, now);
        }
    }
    assert!(
        initially_shifted <= 150 && (130..=150).contains(&shifted),
        "{initially_shifted}, {shifted} by home hosts"
    );
    let [ramping, steady] = served;
    assert!(ramping <= 150 && (130..=150 + 4).contains(&steady), "{ramping}, {steady} directly");
    assert!(invariant::take_violations().is_empty());
}

#[test]
fn restarted_receiver_has_no_credit() {
    // Receivers restart one after the other while a region is down. If each started with credit for
    // one request, every restart would serve one more, and a crash loop would exceed the cap.
    let mut limiter = ShiftLimiter::new(at(100));
    assert!(!limiter.allow_direct(&direct_query(2.0, 1), at(101)));
    assert!(limiter.allow_direct(&direct_query(2.0, 1), at(104)));
}

#[test]
fn bad_answers_back_off_without_oscillation() {
    // The receiving region sheds whenever more than half of the cap is in use, so the ramp backs
    // off each time it grows past that. Without growing pauses it would oscillate every few
    // seconds, at the expense of the receiving region's own callers.
    for pause in [true, false] {
        let mut limiter =
            ShiftLimiter::with_options(ShiftOptions { pause, ..Default::default() }, at(0));
        let query = query(0.4, false);
        let (mut recent, mut sum) = (std::collections::VecDeque::new(), 0);
        for step in 0..30_000 {
            let now = Duration::from_millis(10) * step;
            limiter.record_arrival(&query.service, &query.home, now);
            let allowed = limiter.allow(&query, now);
            recent.push_back(allowed);
            sum += usize::from(allowed);
            if 100 < recent.len() {
                sum -= usize::from(recent.pop_front().unwrap());
            }
            if allowed {
                limiter.record_feedback(&query.service, &query.home, sum <= 20, now);
            }
        }
        let reversals = limiter.reversals(&query.service, &query.home);
        let fired = invariant::take_violations()
            .iter()
            .any(|broken| broken.name == "shift-reversals-bounded");
        assert_eq!(fired, !pause, "{reversals} reversals");
    }
}

#[test]
fn slow_answers_limit_shifts() {
    // The receiving region answers everything, but twenty times slower than the home region: it is
    // overloaded. Few requests are shifted until its answers become faster.
    let shifted = |millis| {
        let mut limiter = ShiftLimiter::new(Duration::ZERO);
        let query = query(0.3, false);
        let end = |millis, shifted| CompletedRequest {
            latency: Some(Duration::from_millis(millis)),
            refused: false,
            shifted,
        };
        let mut count = 0;
        for step in 0..2000 {
            let now = Duration::from_millis(10) * step;
            limiter.record_arrival(&query.service, &query.home, now);
            let allowed = limiter.allow(&query, now);
            count += u32::from(allowed);
            let end = if allowed { end(millis, true) } else { end(50, false) };
            limiter.record_completion(&query.service, &query.home, end, now);
        }
        count
    };
    let (fast, slow) = (shifted(160), shifted(1000));
    assert!(slow * 5 < fast, "{slow} slow ones, {fast} fast ones");
}

#[test]
fn occasional_refusals_do_not_limit_shifts() {
    // The receiving region serves one in four shifted requests at once and has no free slot outside
    // its reserve for the others. If the home region backed off, it would lose requests that the
    // other region can serve. Only when nearly all are refused do shifts stay few.
    let served = |one_of: u32| {
        let mut limiter = ShiftLimiter::new(Duration::ZERO);
        let query = query(0.3, false);
        let (mut attempted, mut served) = (0, 0);
        for step in 0..2000 {
            let now = Duration::from_millis(10) * step;
            limiter.record_arrival(&query.service, &query.home, now);
            if !limiter.allow(&query, now) {
                continue;
            }
            attempted += 1;
            let refused = attempted % one_of != 1;
            let latency = (!refused).then_some(Duration::from_millis(160));
            served += u32::from(!refused);
            if refused {
                limiter.refund(&query.service, &query.home, now);
            }
            let end = CompletedRequest { latency, refused, shifted: true };
            limiter.record_completion(&query.service, &query.home, end, now);
        }
        (attempted, served)
    };
    let (some, none) = (served(4), served(40));
    assert!(100 < some.1 && none.0 * 4 < some.0, "{some:?}, {none:?}");
}

#[test]
fn disabled_caps_break_the_invariants() {
    let rules = ShiftOptions { caps: false, ..Default::default() };
    let mut limiter = ShiftLimiter::with_options(rules, Duration::ZERO);
    shift_all(&mut limiter, &query(0.3, false), at(0));
    (0..50).for_each(|_| assert!(limiter.allow_direct(&direct_query(10.0, 1), at(20))));
    let broken = invariant::take_violations();
    for name in ["shift-under-cap", "direct-shift-under-cap"] {
        assert!(broken.iter().any(|broken| broken.name == name), "{name}");
    }
}

#[test]
fn refused_callers_retry_at_spread_times() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut limiter = ShiftLimiter::new(Duration::ZERO);
    let query = query(0.1, false);
    shift_all(&mut limiter, &query, at(0));
    let times: Vec<f64> = (0..1000)
        .map(|_| limiter.retry_after(&query.service, &query.home, at(10), &mut rng).as_secs_f64())
        .collect();
    let within = |from: f64| times.iter().filter(move |&&time| from <= time && time < from + 1.0);
    let busiest = (1..20).map(|from| within(f64::from(from)).count()).max().unwrap();
    assert!(busiest < 250, "{busiest} of 1000 retry within one second");
}

fn direct_query(baseline: f64, receivers: u32) -> DirectQuery {
    DirectQuery { baseline, cap: 0.3, home: "zagreb".into(), receivers, service: "status".into() }
}

fn at(secs: u64) -> Moment {
    Duration::from_secs(secs)
}
