//! Tests of updates, listings and outages of the store.

use super::{secs, target_entry};
use crate::{
    entry::{
        Declaration, KnownState, KnownTarget, Revisions, ServiceRules, TargetEntry,
        known_state::{Removal, TargetChanges},
    },
    prelude::*,
};

fn region() -> RegionId {
    "north".into()
}

fn listed(ids: &[&str]) -> Vec<(crate::entry::TargetEntry, RegionId)> {
    ids.iter().map(|id| (target_entry(id, "north-a"), region())).collect()
}

fn usable_targets(known_state: &mut KnownState) -> Vec<Arc<KnownTarget>> {
    let usable = known_state.usable_targets().values();
    usable.flat_map(|targets| targets.iter().cloned()).collect()
}

fn usable_ids(known_state: &mut KnownState) -> Vec<String> {
    usable_targets(known_state).iter().map(|known| known.entry.id.to_string()).collect()
}

/// A store that answers with old data, or another host that is behind, provides an older
/// declaration. With it, callers would be served by routes that operators have replaced.
#[test]
fn an_older_declaration_is_ignored() {
    let mut known_state = KnownState::default();
    let of = |version| Declaration { version, ..Declaration::default() };
    assert!(known_state.apply_declaration(of(4)));
    assert!(!known_state.apply_declaration(of(4)));
    assert!(!known_state.apply_declaration(of(3)));
    assert_eq!(known_state.stamp(Revisions::default()).declared, 4);
    assert!(known_state.apply_declaration(of(9)));
}

/// In an outage of several seconds, entries lapse because their targets cannot write. If these
/// targets were dropped at once, a service could lose all of them although they are alive.
#[test]
fn targets_that_lapsed_in_an_outage_are_kept_for_a_grace_period() {
    let mut known_state = KnownState::default();
    known_state.apply_target_listing(listed(&["t-1", "t-2"]), secs(1.0));
    known_state.store_failed(secs(10.0));
    known_state.store_failed(secs(14.0));
    known_state.apply_target_listing(listed(&["t-1"]), secs(15.0));
    assert_eq!(usable_ids(&mut known_state), ["t-1", "t-2"]);
    known_state.expire_lapsed(secs(17.0));
    assert_eq!(usable_ids(&mut known_state), ["t-1", "t-2"]);
    known_state.expire_lapsed(secs(17.3));
    assert_eq!(usable_ids(&mut known_state), ["t-1"]);
}

/// A lapsed entry that is written again in time is kept. A second listing must not extend the grace
/// period of another lapsed entry.
#[test]
fn an_entry_that_is_rewritten_in_time_is_kept() {
    let mut known_state = KnownState::default();
    known_state.apply_target_listing(listed(&["t-1", "t-2"]), secs(1.0));
    known_state.store_failed(secs(10.0));
    known_state.apply_target_listing(listed(&[]), secs(15.0));
    known_state.apply_target(target_entry("t-2", "north-a"), region(), secs(16.0));
    known_state.store_failed(secs(16.1));
    known_state.apply_target_listing(listed(&["t-2"]), secs(16.2));
    known_state.expire_lapsed(secs(17.3));
    assert_eq!(usable_ids(&mut known_state), ["t-2"]);
}

/// A target leaves while the watch has to start again with a listing. Without an outage its missing
/// entry cannot have lapsed, so the target must get no more requests.
#[test]
fn without_an_outage_a_target_with_a_missing_entry_is_dropped_at_once() {
    let mut known_state = KnownState::default();
    known_state.apply_target_listing(listed(&["t-1", "t-2"]), secs(1.0));
    known_state.apply_target_listing(listed(&["t-1"]), secs(5.0));
    assert_eq!(usable_ids(&mut known_state), ["t-1"]);
    known_state.store_failed(secs(6.0));
    known_state.apply_target_listing(listed(&[]), secs(6.5));
    assert!(usable_ids(&mut known_state).is_empty());
}

/// A removal after the grace period takes effect at once, also for an entry that was missing from
/// the listing after the outage.
#[test]
fn a_removal_after_the_grace_period_takes_effect_at_once() {
    let mut known_state = KnownState::default();
    known_state.apply_target_listing(listed(&["t-1"]), secs(1.0));
    known_state.store_failed(secs(10.0));
    known_state.apply_target_listing(listed(&[]), secs(15.0));
    assert_eq!(known_state.remove_target(&"t-1".into(), secs(20.0)), Removal::Gone);
    assert!(usable_ids(&mut known_state).is_empty());
}

/// Draining targets and targets of evacuated zones get no new requests, and the stamp shows the
/// change to other hosts.
#[test]
fn draining_and_evacuated_targets_are_not_usable() {
    let mut known_state = KnownState::default();
    known_state.apply_target_listing(listed(&["t-1"]), secs(1.0));
    known_state.apply_target(target_entry("t-2", "north-b"), region(), secs(1.0));
    let before = known_state.stamp(Revisions::default());
    let draining = crate::entry::TargetEntry { ready: false, ..target_entry("t-1", "north-a") };
    assert!(known_state.apply_target(draining, region(), secs(2.0)));
    assert_eq!(usable_ids(&mut known_state), ["t-2"]);
    assert!(known_state.set_evacuated("north-b".into(), true, secs(1.0)));
    assert!(usable_ids(&mut known_state).is_empty());
    assert_ne!(known_state.stamp(Revisions::default()).targets, before.targets);
    assert_ne!(known_state.stamp(Revisions::default()).evacuations, before.evacuations);
    assert!(known_state.set_evacuated("north-b".into(), false, secs(2.0)));
    assert_eq!(usable_ids(&mut known_state), ["t-2"]);
}

/// A target restarts under the same id. What hosts learned of the earlier start must not apply to
/// it.
#[test]
fn a_restarted_target_gets_another_tag() {
    let mut known_state = KnownState::default();
    known_state.apply_target_listing(listed(&["t-1"]), secs(1.0));
    let tag = |known_state: &mut KnownState| usable_targets(known_state)[0].tag;
    let before = tag(&mut known_state);
    let again = crate::entry::TargetEntry { started: 2, ..target_entry("t-1", "north-a") };
    assert!(known_state.apply_target(again, region(), secs(2.0)));
    assert_ne!(tag(&mut known_state), before);
}

/// Every listing contains the entry of a cold target again. If each one restarted the cold time, a
/// target would stay cold as long as other targets come and go.
#[test]
fn listings_do_not_restart_the_cold_time() {
    let mut known_state = KnownState::default();
    let cold = crate::entry::TargetEntry { cold_for: secs(3.0), ..target_entry("t-1", "north-a") };
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

/// The targets of an evacuated zone became cold, and the store has lost their reports of that. At
/// the full rate of all hosts they would crash. Therefore they are treated as cold for the declared
/// time after the evacuation, however a host learns that it has ended.
#[test]
fn targets_are_treated_as_cold_after_an_evacuation() {
    let rules = ServiceRules { cold_rate: 4.7, cold_start: Some(secs(2.5)), max_connections: 9 };
    let services = BTreeMap::from([("desk".into(), rules)]);
    type Return = fn(&mut KnownState);
    let ways: [Return; 2] = [
        |known_state| assert!(known_state.set_evacuated("north-a".into(), false, secs(9.0))),
        |known_state| {
            let changes =
                known_state.apply_evacuation_listing(Default::default(), false, secs(9.0));
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
        known_state.apply_target(target_entry("t-2", "north-b"), region(), secs(1.0));
        let cold = |known_state: &mut KnownState, now| -> Vec<String> {
            let usable = usable_targets(known_state);
            let cold = usable.iter().filter(|known| known.is_cold(now));
            cold.map(|known| known.entry.id.to_string()).collect()
        };
        assert!(known_state.set_evacuated("north-a".into(), true, secs(2.0)));
        take_back(&mut known_state);
        assert_eq!(cold(&mut known_state, secs(9.0)), ["t-1"]);
        // An update without a cold time does not end it.
        known_state.apply_target(
            TargetEntry { slots: 4, ..target_entry("t-1", "north-a") },
            region(),
            secs(9.5),
        );
        assert_eq!(cold(&mut known_state, secs(11.4)), ["t-1"]);
        assert!(cold(&mut known_state, secs(11.6)).is_empty());
    }
}

/// Right after an outage the watch of the store reports that a target's entry has lapsed. The
/// target is alive and rewrites it two seconds later; without the grace period its service would
/// have no target until then. A target whose entry is not rewritten is dropped after the grace
/// period.
#[test]
fn a_removal_right_after_an_outage_is_delayed() {
    let mut known_state = KnownState::default();
    known_state.apply_target_listing(listed(&["t-1", "t-2", "t-3"]), secs(1.0));
    known_state.store_failed(secs(10.0));
    assert!(known_state.store_answered(secs(15.0)));
    for id in ["t-1", "t-2"] {
        assert_eq!(known_state.remove_target(&id.into(), secs(15.1)), Removal::Kept);
    }
    known_state.apply_target(target_entry("t-1", "north-a"), region(), secs(16.9));
    assert_eq!(usable_ids(&mut known_state), ["t-1", "t-2", "t-3"]);
    assert_eq!(known_state.expire_lapsed(secs(17.3)), [TargetId::from("t-2")]);
    assert_eq!(usable_ids(&mut known_state), ["t-1", "t-3"]);
    assert_eq!(known_state.remove_target(&"t-3".into(), secs(17.3)), Removal::Gone);
    assert_eq!(known_state.remove_target(&"t-9".into(), secs(17.3)), Removal::Unknown);
    // No entry can lapse in a short outage.
    known_state.store_failed(secs(20.0));
    assert!(!known_state.store_answered(secs(21.0)));
    assert_eq!(known_state.remove_target(&"t-1".into(), secs(21.0)), Removal::Gone);
}

/// Guards against targets that are used on after they left: the first response about targets since an
/// outage came long after the store's return, and reported a removal that had nothing to do with it.
#[test]
fn the_grace_of_lapsed_entries_runs_from_the_return_of_the_store() {
    let mut known_state = KnownState::default();
    known_state.apply_target_listing(listed(&["t-1", "t-2", "t-3"]), secs(1.0));
    known_state.store_failed(secs(10.0));
    known_state.store_reached(Some(secs(12.0)));
    assert_eq!(known_state.remove_target(&"t-1".into(), secs(14.1)), Removal::Kept);
    assert_eq!(known_state.remove_target(&"t-2".into(), secs(14.3)), Removal::Gone);
    assert_eq!(known_state.expire_lapsed(secs(14.3)), [TargetId::from("t-1")]);
    // Single calls that failed are no outage, however late the next response comes.
    known_state.store_failed(secs(20.0));
    known_state.store_reached(Some(secs(12.0)));
    assert_eq!(known_state.remove_target(&"t-3".into(), secs(25.0)), Removal::Gone);
}

/// A host reads the lists of hundreds of targets ten times a second. Rebuilding and hashing all of
/// them each time would take most of a small host's CPU time, so after a change of one target all
/// other targets must be reused.
#[test]
fn unchanged_targets_are_reused() {
    let ids: Vec<String> = (0..900).map(|at| format!("t-{at:03}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut known_state = KnownState::default();
    known_state.apply_target_listing(listed(&ids), secs(1.0));
    let other = TargetEntry { service: "hall".into(), ..target_entry("u-1", "north-a") };
    known_state.apply_target(other, region(), secs(1.0));
    let before = known_state.usable_targets().clone();
    let draining = TargetEntry { ready: false, ..target_entry("t-500", "north-a") };
    known_state.apply_target(draining.clone(), region(), secs(2.0));
    let after = known_state.usable_targets().clone();
    let hall = ServiceId::from("hall");
    assert!(Arc::ptr_eq(&before[&hall], &after[&hall]), "a service without a change is kept");
    let kept = |known: &&Arc<KnownTarget>| {
        before[&known.entry.service].iter().any(|it| Arc::ptr_eq(it, known))
    };
    assert_eq!(after.values().flat_map(|targets| targets.iter()).filter(kept).count(), 900);
    assert_eq!(after[&draining.service].len(), 899);

    // The stamp does not depend on the order in which a host learns of targets.
    let mut backwards = KnownState::default();
    for id in ids.iter().rev().filter(|id| **id != "t-500") {
        backwards.apply_target(target_entry(id, "north-a"), region(), secs(1.0));
    }
    backwards.apply_target(
        TargetEntry { service: "hall".into(), ..target_entry("u-1", "north-a") },
        region(),
        secs(1.0),
    );
    assert_ne!(backwards.stamp(Revisions::default()), known_state.stamp(Revisions::default()));
    backwards.apply_target(draining, region(), secs(1.0));
    assert_eq!(backwards.stamp(Revisions::default()), known_state.stamp(Revisions::default()));
}

fn listed_as(id: &str, ready: bool, started: u64) -> (TargetEntry, RegionId) {
    (TargetEntry { ready, started, ..target_entry(id, "north-a") }, region())
}

/// Guards against targets that are dropped because a restored store lacks their entries, however short
/// its outage was.
#[test]
fn targets_that_a_restored_store_lacks_are_kept_for_a_grace_period() {
    let mut known_state = KnownState::default();
    known_state.apply_target_listing(listed(&["t-1", "t-2"]), secs(1.0));
    known_state.store_restored(secs(10.0));
    known_state.apply_target_listing(listed(&["t-1"]), secs(10.0));
    assert_eq!(usable_ids(&mut known_state), ["t-1", "t-2"]);
    known_state.expire_lapsed(secs(12.3));
    assert_eq!(usable_ids(&mut known_state), ["t-1"]);
}

/// Guards against requests to a target that leaves, because a restored store holds its entry from
/// before. It is used again once it has started again.
#[test]
fn a_restored_store_does_not_undo_the_leave_of_a_target() {
    let mut known_state = KnownState::default();
    let leaving = vec![listed_as("t-1", false, 1), listed_as("t-2", true, 1)];
    known_state.apply_target_listing(leaving, secs(1.0));
    known_state.store_restored(secs(10.0));
    let copy = || vec![listed_as("t-1", true, 1), listed_as("t-2", true, 1)];
    known_state.apply_target_listing(copy(), secs(10.0));
    known_state.expire_leaves(secs(100.0));
    known_state.apply_target_listing(copy(), secs(100.0));
    assert_eq!(usable_ids(&mut known_state), ["t-2"]);
    known_state.apply_target_listing(vec![listed_as("t-1", true, 2)], secs(101.0));
    assert_eq!(usable_ids(&mut known_state), ["t-1"]);
}

/// Guards against requests to a target whose entry was removed and is back in the copy. A live target
/// writes it again and is used after a while.
#[test]
fn a_removed_target_that_a_copy_lists_is_not_used_at_once() {
    let mut known_state = KnownState::default();
    known_state.apply_target_listing(listed(&["t-1", "t-2"]), secs(1.0));
    assert_eq!(known_state.remove_target(&"t-1".into(), secs(5.0)), Removal::Gone);
    known_state.store_restored(secs(10.0));
    known_state.apply_target_listing(listed(&["t-1", "t-2"]), secs(10.0));
    known_state.expire_leaves(secs(19.9));
    assert_eq!(usable_ids(&mut known_state), ["t-2"]);
    assert_eq!(known_state.expire_leaves(secs(20.1)), ["t-1".into()]);
    assert_eq!(usable_ids(&mut known_state), ["t-1", "t-2"]);
}

/// Guards against requests to an evacuated zone that a restored store lacks: operators write the
/// evacuation again within seconds, or do not want it any more.
#[test]
fn a_restored_store_does_not_end_an_evacuation_at_once() {
    let zones = |zones: &[&str]| zones.iter().map(|zone| ZoneId::from(*zone)).collect();
    for is_written_again in [false, true] {
        let mut known_state = KnownState::default();
        known_state.apply_evacuation_listing(zones(&["north-a"]), false, secs(1.0));
        let changes = known_state.apply_evacuation_listing(zones(&[]), true, secs(10.0));
        assert!(changes.taken_back.is_empty() && known_state.is_evacuated(&"north-a".into()));
        if is_written_again {
            known_state.set_evacuated("north-a".into(), true, secs(12.0));
        }
        assert!(known_state.expire_kept_evacuations(secs(14.9)).is_empty());
        let ended = known_state.expire_kept_evacuations(secs(15.1));
        assert_eq!(ended.is_empty(), is_written_again);
        assert_eq!(known_state.is_evacuated(&"north-a".into()), is_written_again);
    }
}
