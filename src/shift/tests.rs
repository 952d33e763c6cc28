use super::*;
use crate::prelude::*;

fn ask(cap: f64, regions_silent: bool) -> ShiftAsk {
    ShiftAsk { home: "zagreb".into(), cap, regions_silent, service: "status".into() }
}

/// Ten seconds of 100 requests a second that all want to leave; returns how many may.
fn flood(caps: &mut ShiftCaps, ask: &ShiftAsk, from: Moment) -> u32 {
    let mut allowed = 0;
    for step in 0..1000 {
        let now = from + Duration::from_millis(10) * step;
        caps.arrived(&ask.service, &ask.home, now);
        if caps.allow(ask, now) {
            allowed += 1;
            caps.feedback(&ask.service, &ask.home, true, now);
        }
    }
    allowed
}

#[test]
fn shifts_ramp_up_to_the_cap_and_no_further() {
    let mut caps = ShiftCaps::new(Duration::ZERO);
    let ask = ask(0.3, false);
    let ramping = flood(&mut caps, &ask, Duration::ZERO);
    assert!((50..250).contains(&ramping), "{ramping}");
    let steady = flood(&mut caps, &ask, Duration::from_secs(10));
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
    let mut caps = ShiftCaps::new(Duration::ZERO);
    let ask = ask(1.0, false);
    let at = Duration::from_secs;
    (0..10).for_each(|_| caps.arrived(&ask.service, &ask.home, at(0)));
    assert!(caps.allow(&ask, at(0)));
    assert!(!caps.allow(&ask, at(0)), "a first step is a tenth of the cap");
    caps.undo(&ask.service, &ask.home, at(1));
    assert!(caps.allow(&ask, at(1)));
    caps.undo(&ask.service, &ask.home, at(20));
    assert_eq!(caps.rates(at(30)).len(), 1, "the window is empty, and nothing panics");
}
