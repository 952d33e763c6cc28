//! Tests of authorization by key, and of the validation of teams.

use arc_swap::ArcSwapOption;
use assert_matches::assert_matches;

use super::{bounds, secs};
use crate::{
    base::ManualClock,
    entry::{
        Access, Bounds, CallerKey, Declaration, Idempotency, KeyDigest, Route, Team, TeamError,
        TeamLimit, Teams, TrafficState, View,
    },
    platform::standin::{loopback_settings, loopback_traffic},
    prelude::*,
};

fn team(name: &str) -> Team {
    Team { limit: None, name: name.into(), priority: None, allowed_regions: Vec::new() }
}

fn key(text: &str) -> CallerKey {
    CallerKey::One(KeyDigest::of(text.as_bytes()))
}

fn declaration() -> Declaration {
    let keys = |all: &[&str]| all.iter().map(|key| KeyDigest::of(key.as_bytes())).collect();
    let teams = vec![(team("lyra"), keys(&["k-1", "k-2"])), (team("vega"), keys(&["k-3"]))];
    Declaration { teams: Teams::new(teams).expect("distinct keys"), ..Declaration::default() }
}

fn route(public: bool) -> Route {
    Route {
        max_attempts: 1,
        key: "x/".into(),
        prefix: "/".into(),
        objective: secs(1.0),
        priority: 0,
        public,
        allowed_regions: Vec::new(),
        idempotency: Idempotency::NonIdempotent,
        split: Vec::new(),
        sticky: false,
        timeout: secs(1.0),
    }
}

fn access(key: &CallerKey, age: Option<f64>) -> Access {
    Access::check(&declaration(), &route(false), key, age.map(secs), &bounds())
}

/// Guards against attributing a caller to the wrong team or accepting it without a key.
#[test]
fn each_key_identifies_only_its_team() {
    for (text, name) in [("k-1", "lyra"), ("k-2", "lyra"), ("k-3", "vega")] {
        let granted = access(&key(text), Some(0.0));
        assert_matches!(granted, Access::Granted(Some(team)) if &*team.name == name);
    }
    assert_eq!(access(&key("k-4"), Some(0.0)), Access::Unknown);
    assert_eq!(access(&key(""), Some(0.0)), Access::Unknown);
    assert_eq!(access(&CallerKey::Missing, None), Access::Unknown);
}

/// Guards against a caller that hides a stolen key behind its own.
#[test]
fn multiple_keys_are_rejected() {
    assert_eq!(access(&CallerKey::Multiple, Some(0.0)), Access::Unknown);
}

/// Guards against permanent rejection of a new key that the host has not received yet.
#[test]
fn unknown_keys_are_rejected_only_by_a_recent_declaration() {
    assert_eq!(access(&key("k-4"), Some(6.0)), Access::Unknown);
    assert_eq!(access(&key("k-4"), Some(6.1)), Access::Unchecked);
    assert_eq!(access(&key("k-4"), None), Access::Unchecked);
}

/// Guards against rejecting known callers during an outage of the store and, with strict
/// revocation, against accepting revoked keys on a disconnected host.
#[test]
fn known_keys_work_without_the_store_unless_revocation_is_strict() {
    assert_matches!(access(&key("k-1"), None), Access::Granted(Some(_)));
    let strict = Bounds { revoke: Some(secs(3.0)), strict_revocation: Some(true), ..bounds() };
    let access = |age| Access::check(&declaration(), &route(false), &key("k-1"), age, &strict);
    assert_matches!(access(Some(secs(3.0))), Access::Granted(Some(_)));
    assert_eq!(access(Some(secs(3.1))), Access::Unchecked);
    assert_eq!(access(None), Access::Unchecked);
}

/// Guards against requiring a key on public routes or in deployments without teams.
#[test]
fn public_routes_and_deployments_without_teams_need_no_key() {
    let public =
        |key: &CallerKey| Access::check(&declaration(), &route(true), key, None, &bounds());
    assert_eq!(public(&CallerKey::Missing), Access::Granted(None));
    assert_eq!(public(&key("k-4")), Access::Granted(None));
    assert_matches!(public(&key("k-3")), Access::Granted(Some(team)) if &*team.name == "vega");
    let none = Declaration::default();
    let granted = Access::check(&none, &route(false), &CallerKey::Missing, None, &bounds());
    assert_eq!(granted, Access::Granted(None));
}

/// Guards against a declaration that attributes one team's callers to another.
#[test]
fn duplicate_teams_and_shared_keys_are_rejected() {
    let keys = |text: &str| vec![KeyDigest::of(text.as_bytes())];
    let shared = Teams::new(vec![(team("a"), keys("k")), (team("b"), keys("k"))]);
    assert_matches!(shared, Err(TeamError::SharedKey { .. }));
    let duplicate = Teams::new(vec![(team("a"), keys("k")), (team("a"), keys("l"))]);
    assert_matches!(duplicate, Err(TeamError::DuplicateTeam { .. }));
    let repeated = vec![(team("a"), [keys("k"), keys("k")].concat())];
    assert_matches!(Teams::new(repeated), Ok(_));
}

/// Guards against negative or non-finite limits.
#[test]
fn team_limits_must_be_finite_and_not_negative() {
    let limit = |rate, burst| TeamLimit::new(&"a".into(), rate, burst);
    assert_eq!(limit(0.0, 5.0), Ok(None));
    assert_eq!(limit(2.0, 5.0), Ok(Some(TeamLimit { burst: 5.0, rate: 2.0 })));
    for invalid in [-1.0, f64::NAN, f64::INFINITY] {
        assert_matches!(limit(invalid, 1.0), Err(TeamError::InvalidRate { .. }));
        assert_matches!(limit(1.0, invalid), Err(TeamError::InvalidBurst { .. }));
    }
}

/// A request that still holds an older view must not put the limits of that view back in force.
#[test]
fn an_older_view_does_not_restore_its_limits() {
    let settings = loopback_settings("h", "z", "r", &[("z", "r")], "127.0.0.1:1".parse().unwrap());
    let (clock, view) = (Arc::new(ManualClock::default()), Arc::new(ArcSwapOption::empty()));
    let state = TrafficState::new(loopback_traffic(settings, clock, view));
    let view = |version, limit| {
        let teams = Teams::new(vec![(Team { limit, ..team("lyra") }, Vec::new())]);
        let teams = teams.expect("one team");
        let declaration = Declaration { teams, version, ..Declaration::default() };
        View { declaration: Some(Arc::new(declaration)), ..View::default() }
    };
    let older = view(1, Some(TeamLimit { burst: 0.0, rate: 0.001 }));
    let newer = view(2, None);
    for view in [&newer, &older, &older] {
        assert!(state.admit(view, &team("lyra")).is_ok());
    }
}
