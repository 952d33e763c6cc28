//! Snapshots from logs.

use super::{HeadroomReport, LogReader, Lost, Snapshot, loss, render_headroom, zone};
use crate::{
    event_log::{AttemptEnd, AttemptReason, End, Event, Line, RequestKey, Source},
    prelude::*,
};

/// Start of the logs, in milliseconds since the Unix epoch; the start of a window.
const START_MS: u64 = 1_700_000_000_000;

fn line(host: &str, at_ms: u64, event: Event) -> Line {
    let request = RequestKey::default();
    Line { at_ms: START_MS + at_ms, up_ms: at_ms, host: host.into(), request, event }
}

fn started(zone: &str, region: &str) -> Event {
    Event::Started { build: "0".into(), region: region.into(), zone: zone.into() }
}

fn known(target: &str, zone: &str, ready: bool) -> Event {
    Event::TargetKnown {
        cold_ms: 0,
        ready,
        service: "desk".into(),
        slots: 3,
        source: Source::Listing,
        store_version: 1,
        target: target.into(),
        zone: zone.into(),
    }
}

fn gone(target: &str) -> Event {
    Event::TargetGone { source: Source::Watch, store_version: 2, target: target.into() }
}

fn sent(target: &str, zone: &str, region: &str) -> Event {
    Event::Sent {
        attempt: 1,
        cold: false,
        declaration: 1,
        expected_ms: 100,
        knows_percent: 50,
        left_ms: 1_000,
        load: 0,
        reason: AttemptReason::First,
        region: region.into(),
        service: "desk".into(),
        slots: 3,
        target: target.into(),
        view_age_ms: 0,
        zone: zone.into(),
    }
}

fn ended(target: &str, took_ms: u64) -> Event {
    Event::AttemptEnded {
        connect_ms: None,
        connection: None,
        dispatch_ms: None,
        left_ms: 500,
        end: AttemptEnd::Answered,
        first_byte_ms: Some(took_ms),
        detail: "200".into(),
        response_to: None,
        service: "desk".into(),
        target: target.into(),
        took_ms,
    }
}

fn answered() -> Event {
    Event::Answered {
        error: None,
        end: End::Served,
        objective_ms: 400,
        ran: Ran::Yes,
        retry_after_ms: None,
        sent: 1,
        service: "desk".into(),
        status: 200,
        target: None,
        took_ms: 500,
    }
}

fn read(lines: impl IntoIterator<Item = Line>) -> Snapshot {
    let mut reader = LogReader::default();
    lines.into_iter().for_each(|line| reader.add(line));
    reader.finish()
}

/// Logs of a host of the north: two more requests of half a second in each window of 2 s than in
/// the one before, the first of which is not complete.
fn rising(windows: u64) -> Vec<Line> {
    let mut lines = vec![
        line("h", 0, started("north-a", "north")),
        line("h", 1, known("t-1", "north-a", true)),
        line("h", 2, known("t-2", "south-a", true)),
    ];
    for window in 0..windows {
        for request in 0..2 * (window + 1) {
            let at = window * 2_000 + 10 * request + 5;
            lines.push(line("h", at, sent("t-2", "south-a", "south")));
            lines.push(line("h", at, ended("t-2", 500)));
            lines.push(line("h", at, answered()));
        }
    }
    lines
}

/// Guards against a demand at the wrong region, or one that counts the last window, which is not
/// complete; and against a forecast that does not follow the course.
#[test]
fn logs_give_slots_demand_and_forecast() {
    let snapshot = read(rising(8));
    let desk = &snapshot.services["desk"];
    assert_eq!((desk.slots(), desk.zones["south-a"].slots), (6.0, 3.0));
    // The last complete window is the seventh: 14 requests of half a second in 2 s.
    let demand = desk.demand.as_ref().expect("it is known")["north"];
    assert!((demand.now - 3.5).abs() < 1e-9, "{demand:?}");
    let forecast = demand.forecast.expect("there is a course");
    assert!((forecast - 6.0).abs() < 1e-9, "{demand:?}");
    assert_eq!(desk.zones["south-a"].busy, Some(3.0), "no more than the slots of the target");
    assert_eq!(desk.zones["north-a"].busy, Some(0.0));
    assert_eq!(&*snapshot.regions["south-a"], "south");
    let report = HeadroomReport::new(&snapshot);
    assert_eq!(loss(&report, &zone("north-a")).services[0].forecast_short, Some(3.0));
    assert!(loss(&report, &Lost::Region("south".into())).is_short());
}

/// Guards against a forecast out of too short logs, without a word.
#[test]
fn short_logs_have_no_forecast_and_say_so() {
    let snapshot = read(rising(3));
    let demand = snapshot.services["desk"].total_demand().expect("it is known");
    assert_eq!(demand.forecast, None);
    let text = render_headroom(&HeadroomReport::new(&snapshot));
    assert!(text.contains("not known: forecast: the logs cover 1 complete windows"), "{text}");
    let snapshot = read(rising(1));
    assert_eq!(snapshot.services["desk"].demand, None);
}

/// Guards against targets that count although they are gone, not ready or in an evacuated zone;
/// the newest line decides, in whatever order the files of the hosts are given.
#[test]
fn only_usable_targets_count() {
    let lines = [
        line("a", 100, gone("t-1")),
        line("b", 50, known("t-1", "north-a", true)),
        line("b", 50, known("t-2", "north-a", false)),
        line("b", 60, sent("t-3", "north-b", "north")),
        line("b", 70, known("t-4", "south-a", true)),
        line("a", 200, known("t-5", "north-a", true)),
        line("b", 150, gone("t-5")),
        line("a", 300, evacuated("south-a")),
    ];
    let snapshot = read(lines.clone());
    let desk = &snapshot.services["desk"];
    assert_eq!(desk.slots(), 6.0, "{desk:?}");
    assert!(desk.zones.contains_key("north-a") && desk.zones.contains_key("north-b"));
    let mut reversed = lines;
    reversed.reverse();
    assert_eq!(read(reversed).services["desk"].zones, desk.zones);
}

fn evacuated(zone: &str) -> Event {
    Event::ZoneEvacuated { source: Source::Watch, store_version: 3, zone: zone.into() }
}

/// Guards against figures that are too low without a word: lines were dropped, are torn, or come
/// from a host whose region is unknown.
#[test]
fn what_logs_lack_is_said() {
    let mut reader = LogReader::default();
    rising(8).into_iter().skip(1).for_each(|line| reader.add(line));
    reader.add(line("h", 1, Event::LinesDropped { counts: [("sent".into(), 7)].into() }));
    reader.add_unparsed();
    let snapshot = reader.finish();
    let unknown = snapshot.unknown.join("\n");
    for part in ["7 lines were dropped", "1 of ", "region of hosts h:", "zones north-a:"] {
        assert!(unknown.contains(part), "{part} is not in\n{unknown}");
    }
    assert!(reader.has_events());
}

/// Guards against a host whose clock is ahead: the newest windows then have its lines only, and the
/// demand of all others is left out.
#[test]
fn a_clock_that_is_ahead_is_said() {
    let mut lines = rising(8);
    lines.push(line("late", 86_400_000, gone("t-9")));
    lines.push(line("late", 86_400_000, ended("t-9", 1)));
    let snapshot = read(lines);
    assert!(snapshot.unknown.iter().any(|it| it.contains("clock of one is ahead")), "{snapshot:?}");
}

/// Guards against state that grows with the number of requests.
#[test]
fn only_the_last_windows_are_kept() {
    let mut reader = LogReader::default();
    for window in 0..10_000 {
        reader.add(line("h", window * 2_000, answered()));
    }
    assert!(reader.windows.len() <= 7, "{}", reader.windows.len());
}
