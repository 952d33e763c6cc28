use std::{fs, path::PathBuf, sync::atomic::AtomicU64};

use super::*;
use crate::{
    entry::StorePart,
    event_log::{AttemptEnd, AttemptReason, End, Event, Line, PauseReason, RequestKey, Source},
    prelude::*,
};

/// A temporary log file, removed on drop.
struct LogFile(PathBuf);

impl LogFile {
    fn write(text: &str) -> Self {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let count = COUNT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let name = format!("lavenderplank-why-{}-{count}.log", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::write(&path, text).expect("a temporary file");
        Self(path)
    }

    fn of(lines: &[Line]) -> Self {
        let text = |line: &Line| serde_json::to_string(line).expect("it has a form") + "\n";
        Self::write(&lines.iter().map(text).collect::<String>())
    }
}

impl Drop for LogFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

fn line(host: &str, at_ms: u64, request: Option<&str>, event: Event) -> Line {
    let request = RequestKey { attempt: request.map(Into::into), own: request.map(|_| 1) };
    Line { at_ms, up_ms: at_ms, host: host.into(), request, event }
}

fn taken() -> Event {
    Event::Taken {
        relayed: false,
        body_bytes: 0,
        declaration: 3,
        fingerprint: 1,
        idempotent: true,
        left_ms: 2_000,
        route: "x/a/".into(),
        service: "desk".into(),
        team: None,
    }
}

fn sent(target: &str) -> Event {
    Event::Sent {
        attempt: 1,
        cold: false,
        declaration: 3,
        expected_ms: 120,
        knows_percent: 50,
        left_ms: 1_900,
        load: 2,
        reason: AttemptReason::First,
        region: "north".into(),
        service: "desk".into(),
        slots: 3,
        target: target.into(),
        view_age_ms: 40,
        zone: "north-a".into(),
    }
}

fn ended(target: &str, end: AttemptEnd) -> Event {
    Event::AttemptEnded {
        connect_ms: Some(5),
        connection: None,
        dispatch_ms: None,
        left_ms: 1_500,
        end,
        first_byte_ms: None,
        detail: "connection reset".into(),
        response_to: None,
        service: "desk".into(),
        target: target.into(),
        took_ms: 30,
    }
}

fn answered(end: End, error: Option<ErrorKind>) -> Event {
    Event::Answered {
        error,
        end,
        objective_ms: 400,
        ran: error.map_or(Ran::Yes, |error| error.response().ran),
        retry_after_ms: None,
        sent: 1,
        service: "desk".into(),
        status: 502,
        target: error.is_none().then(|| "t-1".into()),
        took_ms: 900,
    }
}

fn not_placed() -> Event {
    Event::NotPlaced {
        candidates: 4,
        cold: 1,
        crowded: Some("t-4".into()),
        declaration: 3,
        error: ErrorKind::NoSlots,
        expected_ms: Some(1_300),
        free_elsewhere: 1,
        limit_ms: 900,
        rationed: false,
        region: "north".into(),
        room_in_ms: Some(1_300),
        service: "desk".into(),
        shut: 2,
        view_age_ms: 80,
        work_ms: 250,
    }
}

fn paused(target: &str) -> Event {
    let reason = PauseReason::Unreachable;
    Event::TargetPaused { failures: 2, pause_ms: 500, reason, target: target.into() }
}

fn history(id: &str, logs: &[&LogFile]) -> RequestHistory {
    let files: Vec<PathBuf> = logs.iter().map(|log| log.0.clone()).collect();
    RequestHistory::new(id, &find_request(id, &files).expect("the logs can be read"))
}

/// A target crashes while it runs a booking. The history contains the lost attempt, the pause of
/// the target and the response to the caller, in order.
#[test]
fn lost_response_is_traced_to_crashed_target() {
    let log = LogFile::of(&[
        line("a", 1_000, None, paused("t-9")),
        line("a", 5_000, Some("b-1"), taken()),
        line("a", 5_001, Some("b-1"), sent("t-1")),
        line("a", 5_010, Some("other"), sent("t-2")),
        line("a", 5_031, Some("b-1"), ended("t-1", AttemptEnd::Lost)),
        line("a", 5_032, Some("b-1"), answered(End::Failed, Some(ErrorKind::DispatchLost))),
        line("a", 5_040, None, paused("t-1")),
        line("a", 9_000, None, paused("t-1")),
    ]);
    let history = history("b-1", &[&log]);
    assert_eq!(history.cause.verdict, Verdict::Failed);
    let kinds: Vec<&str> =
        history.lines.iter().map(|entry| entry.line.event.kind().name()).collect();
    assert_eq!(kinds, ["taken", "sent", "attempt-ended", "answered", "target-paused"]);
    assert_eq!(history.lines[4].after_ms, 40);
    let behind = history.cause.behind.join("\n");
    assert!(behind.contains("t-1 lost the connection after the request was sent"), "{behind}");
    assert!(behind.contains("t-1 was paused at 40 ms, unreachable at its address"), "{behind}");
    assert!(history.cause.what.contains("whether it ran: unknown"), "{}", history.cause.what);
    assert!(
        render_text(&history).contains("cause: failed with status 502"),
        "{}",
        render_text(&history)
    );
}

/// A read is late because its target did not have the object cached. The reasons contain the inputs
/// of the placement: the load, the expected time and the estimated hit probability.
#[test]
fn late_response_names_placement_inputs() {
    let log = LogFile::of(&[
        line("a", 5_000, Some("r-1"), taken()),
        line("a", 5_001, Some("r-1"), sent("t-1")),
        line("a", 5_900, Some("r-1"), answered(End::Late, None)),
    ]);
    let history = history("r-1", &[&log]);
    assert_eq!(history.cause.verdict, Verdict::Late);
    let behind = history.cause.behind.join("\n");
    assert!(behind.contains("2 requests on 3 slots"), "{behind}");
    assert!(
        behind.contains(
            "response expected after 120 ms, 50 % probability that it has the object cached"
        ),
        "{behind}"
    );
}

/// A request is refused in an overload. The reasons contain the inputs of that decision.
#[test]
fn refusal_names_placement_inputs() {
    let evacuated =
        Event::ZoneEvacuated { source: Source::Watch, store_version: 7, zone: "north-b".into() };
    let log = LogFile::of(&[
        line("a", 900, None, evacuated),
        line("a", 5_000, Some("r-1"), taken()),
        line("a", 5_000, Some("r-1"), not_placed()),
        line("a", 5_001, Some("r-1"), answered(End::Refused, Some(ErrorKind::NoSlots))),
    ]);
    let history = history("r-1", &[&log]);
    assert_eq!(history.cause.verdict, Verdict::Refused);
    let behind = history.cause.behind.join("\n");
    assert!(behind.contains("of 4 targets 2 were unavailable"), "{behind}");
    assert!(behind.contains("the best target t-4 was expected to respond"), "{behind}");
    assert!(behind.contains("after 1300 ms, which exceeds the limit of 900 ms"), "{behind}");
    assert!(behind.contains("north-b was evacuated at -4100 ms"), "{behind}");
}

/// Guards against names in the store that act on the operator's terminal or forge lines.
#[test]
fn control_characters_of_names_are_escaped() {
    let zone: ZoneId = "north\u{1b}[2J\ncause: none\u{9b}".into();
    let evacuated =
        Event::ZoneEvacuated { source: Source::Watch, store_version: 7, zone: zone.clone() };
    let log = LogFile::of(&[
        line("a", 900, None, evacuated),
        line("a", 5_000, Some("r-1"), taken()),
        line("a", 5_000, Some("r-1"), not_placed()),
        line("a", 5_001, Some("r-1"), answered(End::Refused, Some(ErrorKind::NoSlots))),
    ]);
    let text = render_text(&history("r-1", &[&log]));
    assert!(text.contains("north\\u{1b}[2J\\ncause: none\\u{9b}"), "{text}");
    assert!(text.chars().all(|c| c == '\n' || !c.is_control()), "{text}");
}

/// Copies of a request reach two hosts. The files are merged by time, whatever their order, and
/// lines that a collector has prefixed with a name are parsed.
#[test]
fn files_of_several_hosts_are_merged() {
    let refused =
        |host, at| line(host, at, Some("r-1"), answered(End::Refused, Some(ErrorKind::Shed)));
    let late = [
        line("b", 7_000, Some("r-1"), taken()),
        line("b", 7_900, Some("r-1"), answered(End::Late, None)),
    ];
    let first = LogFile::of(&[line("a", 5_000, Some("r-1"), taken()), refused("a", 5_010)]);
    let prefixed: String = late
        .iter()
        .map(|line| format!("12.5 host-b | {}\n", serde_json::to_string(line).expect("a form")))
        .collect();
    let second = LogFile::write(&(prefixed + "no event\n{\"half\":"));
    let history = history("r-1", &[&second, &first]);
    let hosts: Vec<&str> = history.lines.iter().map(|entry| &*entry.line.host).collect();
    assert_eq!(hosts, ["a", "a", "b", "b"]);
    assert_eq!(history.cause.verdict, Verdict::Late);
}

/// No line has the ID, and lines were dropped. The verdict is `NotFound`, and the dropped lines are
/// named as a possible reason.
#[test]
fn unknown_id_is_not_found() {
    let dropped = Event::LinesDropped { counts: [("answered".into(), 40)].into() };
    let log =
        LogFile::of(&[line("a", 1_000, Some("r-1"), taken()), line("a", 1_500, None, dropped)]);
    let history = history("nobody", &[&log]);
    assert_eq!(history.cause.verdict, Verdict::NotFound);
    assert!(history.cause.behind[0].starts_with("40 lines were dropped"), "{:?}", history.cause);
    assert_eq!(history.dropped["answered"], 40);
}

/// The host is killed while it serves a request: there is no final line, and the next start of the
/// host explains why.
#[test]
fn killed_host_leaves_request_unfinished() {
    let started =
        Event::Started { build: "1".into(), region: "north".into(), zone: "north-a".into() };
    let log = LogFile::of(&[
        line("a", 1_000, Some("r-1"), taken()),
        line("a", 1_001, Some("r-1"), sent("t-1")),
        line("a", 2_500, None, started),
    ]);
    let history = history("r-1", &[&log]);
    assert_eq!(history.cause.verdict, Verdict::Unfinished);
    assert!(
        history.cause.behind[0].contains("the host restarted 1500 ms after the first line"),
        "{:?}",
        history.cause
    );
}

/// A log with thousands of state changes: the number of context lines is limited.
#[test]
fn context_lines_are_limited() {
    let lost = |at| {
        let event = Event::StoreLost { part: StorePart::Targets, reason: "away".into() };
        line("a", at, None, event)
    };
    let mut lines: Vec<Line> = (0..5_000).map(lost).collect();
    lines.push(line("a", 5_000, Some("r-1"), taken()));
    lines.extend((5_000..6_500).map(lost));
    lines.extend((5_000..6_500).map(lost));
    let log = LogFile::of(&lines);
    let found = find_request("r-1", std::slice::from_ref(&log.0)).expect("the log can be read");
    assert_eq!(found.context.len(), 3 + 2_000);
    assert_eq!(found.total_lines, 8_001);
}

/// Each outcome of a request has its verdict.
#[test]
fn each_outcome_has_its_verdict() {
    let table = [
        (answered(End::Served, None), Verdict::Served),
        (answered(End::Late, None), Verdict::Late),
        (answered(End::TargetFailed, None), Verdict::TargetFailed),
        (answered(End::Refused, Some(ErrorKind::NoTarget)), Verdict::Refused),
        (answered(End::Failed, Some(ErrorKind::DispatchTimeout)), Verdict::Failed),
        (Event::CallerLeft { sent: 1, service: "desk".into(), took_ms: 9 }, Verdict::CallerLeft),
        (
            Event::Refused {
                declaration: 3,
                error: ErrorKind::ServiceUnknown,
                retry_after_ms: None,
                status: 404,
                team: Some("lyra".into()),
                took_ms: 0,
            },
            Verdict::Refused,
        ),
        (sent("t-1"), Verdict::Unfinished),
    ];
    for (event, verdict) in table {
        let log = LogFile::of(&[
            line("a", 1_000, Some("r-1"), taken()),
            line("a", 1_001, Some("r-1"), event),
        ]);
        assert_eq!(history("r-1", &[&log]).cause.verdict, verdict);
    }
}

proptest::proptest! {
    /// Collectors may truncate, interleave or corrupt logs. Reading them must neither fail nor loop
    /// forever, whatever they contain.
    #[test]
    fn corrupt_logs_are_read(noise in proptest::collection::vec(0_u8..=255, 0..200), at in 0..400_usize) {
        let whole = [line("a", 1_000, Some("r-1"), taken()), line("a", 1_001, Some("r-1"), sent("t-1"))];
        let mut text: Vec<u8> = Vec::new();
        for line in &whole {
            serde_json::to_writer(&mut text, line).expect("it has a form");
            text.push(b'\n');
        }
        let at = at.min(text.len());
        text.splice(at..at, noise);
        let log = LogFile::write("");
        fs::write(&log.0, &text).expect("a temporary file");
        let found = find_request("r-1", std::slice::from_ref(&log.0)).expect("the log can be read");
        proptest::prop_assert!(found.request.len() <= 2);
        proptest::prop_assert!(found.unparsed <= found.total_lines);
    }
}
