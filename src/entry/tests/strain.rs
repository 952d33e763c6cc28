//! Hosts that get too little of their processor.

use super::secs;
use crate::{entry::strain::StrainDetector, prelude::*};

const TICK: Duration = Duration::from_millis(100);

/// Ticks that come that far apart, for that long, from the moment on; what changed meanwhile.
fn run(strain: &mut StrainDetector, now: &mut Duration, apart: f64, span: f64) -> usize {
    let until = *now + secs(span);
    let mut changes = 0;
    while *now < until {
        *now += secs(apart);
        changes += usize::from(strain.record_tick(TICK, *now));
    }
    changes
}

/// A host turns five times slower: its ticks come half a second apart. It says so within two
/// seconds, stays at it, and takes it back within three once its ticks are in time again.
#[test]
fn a_slow_host_says_so_and_recovers() {
    let (mut strain, mut now) = (StrainDetector::default(), secs(100.0));
    assert_eq!(run(&mut strain, &mut now, 0.1, 5.0), 0);
    assert_eq!(run(&mut strain, &mut now, 0.5, 3.0), 1);
    assert!(strain.is_strained());
    assert_eq!(run(&mut strain, &mut now, 0.4, 5.0), 0);
    assert_eq!(run(&mut strain, &mut now, 0.11, 3.0), 1);
    assert!(!strain.is_strained());
}

/// A small host works off bursts, and ticks come up to a tenth of a second late. Another was frozen
/// for ten seconds and is well when it wakes. Neither is strained.
#[test]
fn bursts_and_one_long_pause_are_no_strain() {
    let (mut strain, mut now) = (StrainDetector::default(), secs(100.0));
    assert_eq!(run(&mut strain, &mut now, 0.2, 20.0), 0);
    let (mut strain, mut now) = (StrainDetector::default(), secs(100.0));
    run(&mut strain, &mut now, 0.1, 2.0);
    assert_eq!(run(&mut strain, &mut now, 10.0, 1.0), 0);
    assert_eq!(run(&mut strain, &mut now, 0.1, 2.0), 0);
}
