//! Which regions run what part of the requests.

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

/// Load pattern: a region with a tenth of the slots and a third of the callers. What it can't run
/// goes where there is room, in proportion.
#[test]
fn surplus_goes_where_there_is_room() {
    let loads = [load("north", 6.0, 12.0), load("south", 30.0, 10.0), load("west", 30.0, 10.0)];
    let shares = RegionShares::new(home(), &loads, &Tuning::default(), secs(0.0));
    assert!((shares.get(&home()) - 0.25).abs() < 0.01, "{shares:?}");
    assert!((shares.get(&"south".into()) - 0.375).abs() < 0.01);
    assert!((shares.get(&"west".into()) - 0.375).abs() < 0.01);
}

/// Load pattern: callers' numbers jump. Shares follow, but never faster than the bound, however
/// often they are worked out.
#[test]
fn shares_move_within_the_bound() {
    let calm = [load("north", 30.0, 5.0), load("south", 30.0, 5.0)];
    let storm = [load("north", 30.0, 60.0), load("south", 30.0, 1.0)];
    let mut shares = RegionShares::new(home(), &calm, &Tuning::default(), secs(0.0));
    assert_eq!(shares.get(&home()), 1.0);
    let mut seen = vec![shares.get(&home())];
    for step in 1..=100 {
        shares.step(&storm, 0.15, &Tuning::default(), secs(0.5 * f64::from(step)));
        seen.push(shares.get(&home()));
    }
    for window in seen.windows(5) {
        assert!((window[0] - window[4]).abs() < 0.15, "{window:?}");
    }
    assert!(seen.last().is_some_and(|last| (last - 0.5).abs() < 0.05), "{seen:?}");
}

/// A region loses its last target: nothing can run there, so its part goes at once.
#[test]
fn a_region_without_targets_keeps_no_share() {
    let both = [load("north", 6.0, 30.0), load("south", 60.0, 5.0)];
    let mut shares = RegionShares::new(home(), &both, &Tuning::default(), secs(0.0));
    assert!(0.5 < shares.get(&"south".into()));
    shares.step(&[load("north", 6.0, 30.0)], 0.15, &Tuning::default(), secs(0.5));
    assert_eq!(shares.get(&"south".into()), 0.0);
    assert_eq!(shares.get(&home()), 1.0);
}

/// Places keep their region while the shares hold, and each region gets the places of its share.
#[test]
fn places_are_divided_by_the_shares() {
    let loads = [load("north", 6.0, 12.0), load("south", 60.0, 10.0)];
    let shares = RegionShares::new(home(), &loads, &Tuning::default(), secs(0.0));
    let places = (0..1000).map(|place| f64::from(place) / 1000.0);
    let north = places.filter(|place| shares.region_at(*place) == Some(&home())).count();
    let wanted = shares.get(&home()) * 1000.0;
    assert!((north as f64 - wanted).abs() < 2.0, "{north} of {wanted}");
}

/// Before anything was measured, or without any slot, a request has a region all the same.
#[test]
fn there_is_always_a_region() {
    let unknown = RegionLoad { demand: None, region: home(), slots: 0.0 };
    let shares = RegionShares::new(home(), &[unknown], &Tuning::default(), secs(0.0));
    assert_eq!(shares.region_at(0.999), Some(&home()));
    let shares = RegionShares::new(home(), &[], &Tuning::default(), secs(0.0));
    assert_eq!(shares.region_at(0.0), Some(&home()));
}
