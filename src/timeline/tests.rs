use super::*;
use crate::prelude::*;

fn at(millis: u64, count: u32) -> HybridTime {
    HybridTime { millis, count }
}

fn recorder(host: &str, capacity: usize) -> Recorder {
    Recorder::new("agency".into(), host.into(), 1, capacity)
}

fn dispatched(target: &str) -> EventKind {
    EventKind::Dispatched { target: target.into() }
}

#[test]
fn time_never_goes_back_and_follows_causes() {
    let mut clock = HybridClock::default();
    assert_eq!(clock.tick(10), at(10, 0));
    assert_eq!(clock.tick(9), at(10, 1));
    clock.observe(at(50, 3), 11);
    assert_eq!(clock.tick(12), at(50, 4));
    assert_eq!(clock.tick(60), at(60, 0));
}

// A host whose date is wrong by a day sends its time along with a message. If it were followed,
// every event of the fleet would carry that date from then on, and `--from` would find nothing.
#[test]
fn a_wrong_date_is_not_followed() {
    let mut clock = HybridClock::default();
    clock.observe(at(86_400_000, 0), 1_000);
    assert_eq!(clock.tick(1_000), at(1_000, 0));
}

#[test]
fn the_ring_keeps_the_newest() {
    let recorder = recorder("zg-1", 3);
    for target in ["a", "b", "c", "d", "e"] {
        recorder.record(None, dispatched(target));
    }
    let kinds: Vec<_> =
        recorder.events(&Filter::default()).into_iter().map(|event| event.kind).collect();
    assert_eq!(kinds, ["c", "d", "e"].map(dispatched));
    assert_eq!(recorder.dropped(), 2);
}

#[test]
fn pages_join_without_gap_or_repeat() {
    let recorder = recorder("zg-1", 100);
    for target in 0..10 {
        recorder.record(None, dispatched(&target.to_string()));
    }
    let mut filter = Filter { limit: Some(3), ..Filter::default() };
    let mut seen = Vec::new();
    loop {
        let page = recorder.events(&filter);
        let Some(last) = page.last() else { break };
        filter.from = Some(last.at.next());
        seen.extend(page);
    }
    assert_eq!(seen, recorder.events(&Filter::default()));
    assert_eq!(seen.len(), 10);
}

#[test]
fn filters_hold_all_conditions() {
    let recorder = recorder("zg-1", 100);
    recorder.record(Some(&"r1".into()), dispatched("a"));
    recorder.record(Some(&"r2".into()), dispatched("a"));
    recorder.record(Some(&"r1".into()), dispatched("b"));
    recorder.record(Some(&"r1".into()), EventKind::Answered { ran: Ran::Yes, status: 200 });
    let request = Some("r1".into());
    for (filter, found) in [
        (Filter::default(), 4),
        (Filter { request: request.clone(), ..Filter::default() }, 3),
        (Filter { target: Some("a".into()), ..Filter::default() }, 2),
        (Filter { request, target: Some("a".into()), ..Filter::default() }, 1),
        (Filter { kind: Some("answered".into()), ..Filter::default() }, 1),
        (Filter { member: Some("planetarium".into()), ..Filter::default() }, 0),
        (Filter { from: Some(at(u64::MAX, 0)), ..Filter::default() }, 0),
        (Filter { until: Some(at(1, 0)), ..Filter::default() }, 0),
    ] {
        assert_eq!(recorder.events(&filter).len(), found, "{filter:?}");
    }
}

#[test]
fn look_ups_are_sampled_and_nothing_is_kept_when_off() {
    let (on, off) = (recorder("zg-1", 100), Recorder::off());
    for _ in 0..2 * LOOKUP_SAMPLING {
        on.record(None, EventKind::LookedUp { service: "status".into() });
        off.record(None, EventKind::Started);
    }
    assert_eq!(on.events(&Filter::default()).len(), 2);
    assert!(!off.is_on());
    assert_eq!(off.events(&Filter::default()), []);
}

#[test]
fn merged_events_stand_in_causal_order() {
    let (sender, receiver) = (recorder("zg-1", 9), recorder("st-1", 9));
    for _ in 0..3 {
        sender.record(None, EventKind::Forwarded { to: "st-1".into() });
        receiver.observe(sender.stamp());
        receiver.record(None, EventKind::Arrived { hops: 1, service: "status".into() });
        sender.observe(receiver.stamp());
    }
    let all = Filter::default();
    let events = merge(vec![receiver.events(&all), sender.events(&all), sender.events(&all)]);
    let names: Vec<_> = events.iter().map(|event| event.kind.name()).collect();
    assert_eq!(names, ["forwarded", "arrived", "forwarded", "arrived", "forwarded", "arrived"]);
}

#[test]
fn every_kind_has_its_serialized_name() {
    let kinds = [
        EventKind::Started,
        EventKind::DrainEnded { scope: crate::manifest::DrainScope::Zone("z".into()) },
        EventKind::LeaseTaken { fence: 1, zone: "z".into() },
        EventKind::ManifestInForce { sequence: 1 },
        dispatched("a"),
    ];
    for kind in kinds {
        let value = serde_json::to_value(&kind).unwrap();
        assert_eq!(value["kind"], kind.name());
        assert!(EventKind::NAMES.contains(&kind.name()));
    }
}

#[test]
fn a_kind_of_a_newer_version_is_still_an_event() {
    let kind: EventKind = serde_json::from_str(r#"{"kind":"new-one","x":[1]}"#).unwrap();
    assert_eq!(kind, EventKind::Unknown);
}
