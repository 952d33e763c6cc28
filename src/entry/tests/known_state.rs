//! News, losses and returns of the store's objects.

use super::{entry, secs};
use crate::{
    entry::{
        Declaration, KnownState, KnownTarget, ServiceRules, TargetEntry,
        known_state::{Removal, TargetChanges},
    },
    prelude::*,
};

fn region() -> RegionId {
    "north".into()
}

fn listed(ids: &[&str]) -> Vec<(crate::entry::TargetEntry, RegionId)> {
    ids.iter().map(|id| (entry(id, "north-a"), region())).collect()
}

fn usable_targets(known_state: &mut KnownState) -> Vec<Arc<KnownTarget>> {
    let usable = known_state.usable_targets().values();
    usable.flat_map(|targets| targets.iter().cloned()).collect()
}

fn usable(known_state: &mut KnownState) -> Vec<String> {
    usable_targets(known_state).iter().map(|known| known.entry.id.to_string()).collect()
}

/// A store that answers with old data, or another host that is behind, names an older declaration.
/// Callers would be served by routes that operators have replaced.
#[test]
fn a_declaration_only_rises() {
    let mut known_state = KnownState::default();
    let of = |version| Declaration { version, ..Declaration::default() };
    assert!(known_state.apply_declaration(of(4)));
    assert!(!known_state.apply_declaration(of(4)));
    assert!(!known_state.apply_declaration(of(3)));
    assert_eq!(known_state.stamp().declared, 4);
    assert!(known_state.apply_declaration(of(9)));
}

/// The store was away for seconds and lost entries whose targets could not write. Dropped at once,
/// all targets of a service could be gone although every one of them lives.
#[test]
fn entries_that_lapsed_with_the_store_are_used_a_little_longer() {
    let mut known_state = KnownState::default();
    known_state.apply_target_listing(listed(&["t-1", "t-2"]), secs(1.0));
    known_state.store_failed(secs(10.0));
    known_state.store_failed(secs(14.0));
    known_state.apply_target_listing(listed(&["t-1"]), secs(15.0));
    assert_eq!(usable(&mut known_state), ["t-1", "t-2"]);
    known_state.expire_lapsed(secs(17.0));
    assert_eq!(usable(&mut known_state), ["t-1", "t-2"]);
    known_state.expire_lapsed(secs(17.3));
    assert_eq!(usable(&mut known_state), ["t-1"]);
}

/// One of them is written again in time and stays; a second listing does not prolong the wait of
/// the other.
#[test]
fn an_entry_that_comes_back_stays() {
    let mut known_state = KnownState::default();
    known_state.apply_target_listing(listed(&["t-1", "t-2"]), secs(1.0));
    known_state.store_failed(secs(10.0));
    known_state.apply_target_listing(listed(&[]), secs(15.0));
    known_state.apply_target(entry("t-2", "north-a"), region(), secs(16.0));
    known_state.store_failed(secs(16.1));
    known_state.apply_target_listing(listed(&["t-2"]), secs(16.2));
    known_state.expire_lapsed(secs(17.3));
    assert_eq!(usable(&mut known_state), ["t-2"]);
}

/// The store forgot its history for an instant while a target left. Its entry is missing from the
/// next listing and could not have lapsed: the target gets nothing more.
#[test]
fn without_an_outage_a_missing_entry_is_gone_at_once() {
    let mut known_state = KnownState::default();
    known_state.apply_target_listing(listed(&["t-1", "t-2"]), secs(1.0));
    known_state.apply_target_listing(listed(&["t-1"]), secs(5.0));
    assert_eq!(usable(&mut known_state), ["t-1"]);
    known_state.store_failed(secs(6.0));
    known_state.apply_target_listing(listed(&[]), secs(6.5));
    assert!(usable(&mut known_state).is_empty());
}

/// A removal that the store tells is one, also while other entries are waited for.
#[test]
fn a_removal_is_not_waited_for() {
    let mut known_state = KnownState::default();
    known_state.apply_target_listing(listed(&["t-1"]), secs(1.0));
    known_state.store_failed(secs(10.0));
    known_state.apply_target_listing(listed(&[]), secs(15.0));
    assert_eq!(known_state.remove_target(&"t-1".into(), secs(20.0)), Removal::Gone);
    assert!(usable(&mut known_state).is_empty());
}

/// Draining targets and those of evacuated zones take no new work; hosts can tell by the stamp.
#[test]
fn draining_and_evacuated_targets_are_not_usable() {
    let mut known_state = KnownState::default();
    known_state.apply_target_listing(listed(&["t-1"]), secs(1.0));
    known_state.apply_target(entry("t-2", "north-b"), region(), secs(1.0));
    let before = known_state.stamp();
    let draining = crate::entry::TargetEntry { ready: false, ..entry("t-1", "north-a") };
    assert!(known_state.apply_target(draining, region(), secs(2.0)));
    assert_eq!(usable(&mut known_state), ["t-2"]);
    assert!(known_state.set_evacuated("north-b".into(), true, secs(1.0)));
    assert!(usable(&mut known_state).is_empty());
    assert_ne!(known_state.stamp().targets, before.targets);
    assert_ne!(known_state.stamp().evacuations, before.evacuations);
    assert!(known_state.set_evacuated("north-b".into(), false, secs(2.0)));
    assert_eq!(usable(&mut known_state), ["t-2"]);
}

/// A target starts again under its id: what was known of the earlier start does not count.
#[test]
fn the_same_id_started_again_is_another_target() {
    let mut known_state = KnownState::default();
    known_state.apply_target_listing(listed(&["t-1"]), secs(1.0));
    let tag = |known_state: &mut KnownState| usable_targets(known_state)[0].tag;
    let before = tag(&mut known_state);
    let again = crate::entry::TargetEntry { started: 2, ..entry("t-1", "north-a") };
    assert!(known_state.apply_target(again, region(), secs(2.0)));
    assert_ne!(tag(&mut known_state), before);
}

/// A cold target's entry is read again with every listing. Its cold time runs from when it was
/// first read: counted anew each time, a target would stay cold as long as others come and go.
#[test]
fn an_entry_that_is_read_again_stays_cold_no_longer() {
    let mut known_state = KnownState::default();
    let cold = crate::entry::TargetEntry { cold_for: secs(3.0), ..entry("t-1", "north-a") };
    let is_cold = |known_state: &mut KnownState, now| usable_targets(known_state)[0].is_cold(now);
    known_state.apply_target_listing(vec![(cold.clone(), region())], secs(1.0));
    assert_eq!(
        known_state.apply_target_listing(vec![(cold.clone(), region())], secs(3.0)),
        TargetChanges::default()
    );
    assert!(is_cold(&mut known_state, secs(3.9)) && !is_cold(&mut known_state, secs(4.0)));
    let colder = crate::entry::TargetEntry { cold_for: secs(2.0), ..cold };
    assert_eq!(
        known_state.apply_target_listing(vec![(colder, region())], secs(5.0)),
        TargetChanges::default()
    );
    assert!(is_cold(&mut known_state, secs(6.9)) && !is_cold(&mut known_state, secs(7.0)));
}

/// A zone is taken back after an evacuation. Its targets got cold meanwhile, and the store has lost
/// their word of it: at full rate from all hosts they would crash. For the declared time they are
/// taken for cold, however a host learns of the return.
#[test]
fn targets_of_a_zone_that_was_taken_back_are_taken_for_cold() {
    let rules = ServiceRules { cold_rate: 4.7, cold_start: Some(secs(2.5)), max_connections: 9 };
    let services = BTreeMap::from([("desk".into(), rules)]);
    type Return = fn(&mut KnownState);
    let ways: [Return; 2] = [
        |known_state| assert!(known_state.set_evacuated("north-a".into(), false, secs(9.0))),
        |known_state| {
            let changes = known_state.apply_evacuation_listing(Default::default(), secs(9.0));
            assert_eq!(changes.taken_back, [ZoneId::from("north-a")]);
        },
    ];
    for take_back in ways {
        let mut known_state = KnownState::default();
        known_state.apply_declaration(Declaration {
            services: services.clone(),
            version: 1,
            ..Declaration::default()
        });
        known_state.apply_target_listing(listed(&["t-1"]), secs(1.0));
        known_state.apply_target(entry("t-2", "north-b"), region(), secs(1.0));
        let cold = |known_state: &mut KnownState, now| -> Vec<String> {
            let usable = usable_targets(known_state);
            let cold = usable.iter().filter(|known| known.is_cold(now));
            cold.map(|known| known.entry.id.to_string()).collect()
        };
        assert!(known_state.set_evacuated("north-a".into(), true, secs(2.0)));
        take_back(&mut known_state);
        assert_eq!(cold(&mut known_state, secs(9.0)), ["t-1"]);
        // An older word that says nothing of cold does not end it.
        known_state.apply_target(
            TargetEntry { slots: 4, ..entry("t-1", "north-a") },
            region(),
            secs(9.5),
        );
        assert_eq!(cold(&mut known_state, secs(11.4)), ["t-1"]);
        assert!(cold(&mut known_state, secs(11.6)).is_empty());
    }
}

/// The store returns after an outage, and the first thing that its watch tells is that a target's
/// entry has lapsed. The target lives and writes it again two seconds later: without the wait its
/// service would have no target until then. One that does not come back is gone in time.
#[test]
fn a_removal_right_after_an_outage_waits() {
    let mut known_state = KnownState::default();
    known_state.apply_target_listing(listed(&["t-1", "t-2", "t-3"]), secs(1.0));
    known_state.store_failed(secs(10.0));
    assert!(known_state.store_answered(secs(15.0)));
    for id in ["t-1", "t-2"] {
        assert_eq!(known_state.remove_target(&id.into(), secs(15.1)), Removal::Kept);
    }
    known_state.apply_target(entry("t-1", "north-a"), region(), secs(16.9));
    assert_eq!(usable(&mut known_state), ["t-1", "t-2", "t-3"]);
    assert_eq!(known_state.expire_lapsed(secs(17.3)), [TargetId::from("t-2")]);
    assert_eq!(usable(&mut known_state), ["t-1", "t-3"]);
    assert_eq!(known_state.remove_target(&"t-3".into(), secs(17.3)), Removal::Gone);
    assert_eq!(known_state.remove_target(&"t-9".into(), secs(17.3)), Removal::Unknown);
    // A short silence can't have let an entry lapse.
    known_state.store_failed(secs(20.0));
    assert!(!known_state.store_answered(secs(21.0)));
    assert_eq!(known_state.remove_target(&"t-1".into(), secs(21.0)), Removal::Gone);
}

/// Hundreds of targets, one of which drains, and the host looks at all of them ten times a second.
/// Built anew and hashed each time, they would take most of a small host's processor; all but the
/// changed one stay what they were.
#[test]
fn one_changed_target_costs_one_target() {
    let ids: Vec<String> = (0..900).map(|at| format!("t-{at:03}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut known_state = KnownState::default();
    known_state.apply_target_listing(listed(&ids), secs(1.0));
    let other = TargetEntry { service: "hall".into(), ..entry("u-1", "north-a") };
    known_state.apply_target(other, region(), secs(1.0));
    let before = known_state.usable_targets().clone();
    let draining = TargetEntry { ready: false, ..entry("t-500", "north-a") };
    known_state.apply_target(draining.clone(), region(), secs(2.0));
    let after = known_state.usable_targets().clone();
    let hall = ServiceId::from("hall");
    assert!(Arc::ptr_eq(&before[&hall], &after[&hall]), "a service without a change is kept");
    let kept = |known: &&Arc<KnownTarget>| {
        before[&known.entry.service].iter().any(|it| Arc::ptr_eq(it, known))
    };
    assert_eq!(after.values().flat_map(|targets| targets.iter()).filter(kept).count(), 900);
    assert_eq!(after[&draining.service].len(), 899);

    // Whatever the order in which hosts hear of targets, the same targets give the same stamp.
    let mut backwards = KnownState::default();
    for id in ids.iter().rev().filter(|id| **id != "t-500") {
        backwards.apply_target(entry(id, "north-a"), region(), secs(1.0));
    }
    backwards.apply_target(
        TargetEntry { service: "hall".into(), ..entry("u-1", "north-a") },
        region(),
        secs(1.0),
    );
    assert_ne!(backwards.stamp(), known_state.stamp());
    backwards.apply_target(draining, region(), secs(1.0));
    assert_eq!(backwards.stamp(), known_state.stamp());
}
