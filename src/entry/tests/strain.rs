//! Tests of the detection of hosts that get too little CPU time.

use super::secs;
use crate::{entry::strain::StrainDetector, prelude::*};

const TICK: Duration = Duration::from_millis(100);

/// Runs ticks that are `apart` seconds apart for `span` seconds; returns how often the state
/// changed.
fn run(strain: &mut StrainDetector, now: &mut Duration, apart: f64, span: f64) -> usize {
    let until = *now + secs(span);
    let mut changes = 0;
    while *now < until {
        *now += secs(apart);
        changes += usize::from(strain.record_tick(TICK, *now));
    }
    changes
}

/// A host becomes five times slower, so that its ticks are half a second apart. It is strained
/// within three seconds, stays strained, and recovers within three seconds once its ticks are on
/// time again.
#[test]
fn a_slow_host_becomes_strained_and_recovers() {
    let (mut strain, mut now) = (StrainDetector::default(), secs(100.0));
    assert_eq!(run(&mut strain, &mut now, 0.1, 5.0), 0);
    assert_eq!(run(&mut strain, &mut now, 0.5, 3.0), 1);
    assert!(strain.is_strained());
    assert_eq!(run(&mut strain, &mut now, 0.4, 5.0), 0);
    assert_eq!(run(&mut strain, &mut now, 0.11, 3.0), 1);
    assert!(!strain.is_strained());
}

/// Bursts of load delay the ticks of a small host by up to a tenth of a second. Another host is
/// frozen for ten seconds and works normally afterwards. Neither is strained.
#[test]
fn bursts_and_one_long_pause_do_not_strain_a_host() {
    let (mut strain, mut now) = (StrainDetector::default(), secs(100.0));
    assert_eq!(run(&mut strain, &mut now, 0.2, 20.0), 0);
    let (mut strain, mut now) = (StrainDetector::default(), secs(100.0));
    run(&mut strain, &mut now, 0.1, 2.0);
    assert_eq!(run(&mut strain, &mut now, 10.0, 1.0), 0);
    assert_eq!(run(&mut strain, &mut now, 0.1, 2.0), 0);
}
