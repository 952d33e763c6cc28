//! Demand of requests that only some regions may serve.

use std::rc::Rc;

use super::{known_target, secs};
use crate::{
    base::ManualClock,
    entry::{Idempotency, LiveHost, Route, Team, TrafficState, View, place::PlacementRequest},
    placement::name_tag,
    platform::standin::{loopback_settings, loopback_traffic},
    prelude::*,
};

fn route() -> Route {
    Route {
        max_attempts: 1,
        key: "x/a/".into(),
        objective: secs(1.0),
        prefix: "/a/".into(),
        priority: 0,
        public: false,
        allowed_regions: Vec::new(),
        idempotency: Idempotency::Idempotent,
        split: vec![("desk".into(), 1.0)],
        sticky: true,
        timeout: secs(1.0),
    }
}

fn team(allowed_regions: &[&str]) -> Team {
    Team {
        limit: None,
        name: "team".into(),
        priority: None,
        allowed_regions: allowed_regions.iter().map(|region| RegionId::from(*region)).collect(),
    }
}

fn view() -> View {
    let host = |region: &str| LiveHost {
        callers: "127.0.0.1:1".parse().expect("an address"),
        host: region.into(),
        capacity: 10,
        is_strained: false,
        reaches_targets: true,
        relay: None,
        region: region.into(),
        zone: format!("{region}-a").into(),
    };
    let target = |at: usize| known_target(&format!("t-{at:02}"), ["north", "south"][at % 2]);
    let targets: Vec<_> = (0..20).map(target).collect();
    View {
        hosts: vec![host("north"), host("south")].into(),
        targets: [("desk".into(), targets.into())].into(),
        ..View::default()
    }
}

fn south_host(clock: Arc<ManualClock>) -> Rc<TrafficState> {
    let zones = [("north-a", "north"), ("south-a", "south")];
    let store = "127.0.0.1:1".parse().expect("an address");
    let settings = loopback_settings("h", "south-a", "south", &zones, store);
    let cell = Arc::new(arc_swap::ArcSwapOption::new(Some(Arc::new(view()))));
    TrafficState::new(loopback_traffic(settings, clock, cell))
}

/// Guards against a region whose callers are moved away because a team that only another region may
/// serve sends many times its usual rate: its requests would count as demand of the region that
/// receives them, and the moved callers add to the shift.
#[test]
fn demand_of_a_team_with_home_regions_counts_at_home() {
    let clock = Arc::new(ManualClock::default());
    let state = south_host(clock.clone());
    let (route, away) = (route(), team(&["north"]));
    let request = |object: u32| PlacementRequest {
        deadline: clock.now() + secs(1.0),
        object: Some(object.wrapping_mul(0x9e37_79b9)),
        route: Arc::new(route.clone()),
        service: "desk".into(),
        team: None,
        tried_targets: Vec::new(),
    };
    for step in 0..40 {
        clock.advance(secs(0.5));
        (0..5).for_each(|_| state.count_arrival(&"desk".into(), &route, None));
        if 10 <= step {
            (0..500).for_each(|_| state.count_arrival(&"desk".into(), &route, Some(&away)));
        }
        let regions = (0..50).map(|object| state.place(&view(), &request(object)).region);
        let moved = regions.filter(|region| **region != *"south").count();
        assert_eq!(moved, 0, "step {step}");
        state.tick();
    }
    let demand: BTreeMap<_, _> = state.load().demand.into_iter().collect();
    let slots = |region: &str| demand[&(name_tag("desk"), name_tag(region))];
    assert!(50.0 * slots("south") < slots("north"), "{demand:?}");
}

/// Guards against demand that no region counts, or each one in full, where several other regions
/// may serve a team; and against leaving the region that received the request if it is one of them.
#[test]
fn demand_is_divided_among_the_allowed_regions() {
    let clock = Arc::new(ManualClock::default());
    let state = south_host(clock.clone());
    let demand_of = |regions: &[&str]| {
        let (route, team) = (route(), team(regions));
        (0..100).for_each(|_| state.count_arrival(&"desk".into(), &route, Some(&team)));
        clock.advance(secs(0.5));
        state.tick();
        let demand: BTreeMap<_, _> = state.load().demand.into_iter().collect();
        let slots = |region| demand.get(&(name_tag("desk"), name_tag(region))).copied();
        (slots("north").unwrap_or_default(), slots("south").unwrap_or_default())
    };
    let (north, south) = demand_of(&["north", "south"]);
    assert!(north == 0.0 && 0.0 < south);
    let (north, _) = demand_of(&["north"]);
    assert!(0.0 < north);
}
