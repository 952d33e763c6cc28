//! Shares of requests that regions run.

use super::secs;
use crate::{
    placement::{RegionLoad, RegionShares, Tuning},
    prelude::*,
};

fn load(region: &str, slots: f64, demand: f64) -> RegionLoad {
    RegionLoad { demand: Some(demand), region: region.into(), slots }
}

fn home() -> RegionId {
    "north".into()
}

/// A region has a tenth of the slots and a third of the demand. The surplus goes to other regions
/// in proportion to their spare slots.
#[test]
fn surplus_goes_to_regions_with_spare_slots() {
    let loads = [load("north", 6.0, 12.0), load("south", 30.0, 10.0), load("west", 30.0, 10.0)];
    let shares = RegionShares::new(home(), &loads, &Tuning::default(), secs(0.0));
    assert!((shares.get(&home()) - 0.25).abs() < 0.01, "{shares:?}");
    assert!((shares.get(&"south".into()) - 0.375).abs() < 0.01);
    assert!((shares.get(&"west".into()) - 0.375).abs() < 0.01);
}

/// Demand jumps. Shares follow, but never faster than the maximum shift, however often they are
/// updated.
#[test]
fn shares_move_within_the_maximum_shift() {
    let low = [load("north", 30.0, 5.0), load("south", 30.0, 5.0)];
    let high = [load("north", 30.0, 60.0), load("south", 30.0, 1.0)];
    let mut shares = RegionShares::new(home(), &low, &Tuning::default(), secs(0.0));
    assert_eq!(shares.get(&home()), 1.0);
    let mut history = vec![shares.get(&home())];
    for step in 1..=100 {
        shares.step(&high, 0.15, &Tuning::default(), secs(0.5 * f64::from(step)));
        history.push(shares.get(&home()));
    }
    for window in history.windows(5) {
        assert!((window[0] - window[4]).abs() < 0.15, "{window:?}");
    }
    assert!(history.last().is_some_and(|last| (last - 0.5).abs() < 0.05), "{history:?}");
}

/// When a region loses its last target, its share moves at once, since nothing can run there.
#[test]
fn a_region_without_targets_keeps_no_share() {
    let both = [load("north", 6.0, 30.0), load("south", 60.0, 5.0)];
    let mut shares = RegionShares::new(home(), &both, &Tuning::default(), secs(0.0));
    assert!(0.5 < shares.get(&"south".into()));
    shares.step(&[load("north", 6.0, 30.0)], 0.15, &Tuning::default(), secs(0.5));
    assert_eq!(shares.get(&"south".into()), 0.0);
    assert_eq!(shares.get(&home()), 1.0);
}

/// Each region covers as many positions as its share.
#[test]
fn regions_cover_positions_by_their_shares() {
    let loads = [load("north", 6.0, 12.0), load("south", 60.0, 10.0)];
    let shares = RegionShares::new(home(), &loads, &Tuning::default(), secs(0.0));
    let positions = (0..1000).map(|position| f64::from(position) / 1000.0);
    let north = positions.filter(|position| shares.region_at(*position) == Some(&home())).count();
    let expected = shares.get(&home()) * 1000.0;
    assert!((north as f64 - expected).abs() < 2.0, "{north} of {expected}");
}

/// Requests have a region even if no demand is measured and no region has slots.
#[test]
fn there_is_always_a_region() {
    let unmeasured = RegionLoad { demand: None, region: home(), slots: 0.0 };
    let shares = RegionShares::new(home(), &[unmeasured], &Tuning::default(), secs(0.0));
    assert_eq!(shares.region_at(0.999), Some(&home()));
    let shares = RegionShares::new(home(), &[], &Tuning::default(), secs(0.0));
    assert_eq!(shares.region_at(0.0), Some(&home()));
}
