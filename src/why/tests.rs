use std::{fs, path::PathBuf, sync::atomic::AtomicU64};

use super::*;
use crate::{
    entry::StorePart,
    event_log::{AttemptEnd, AttemptReason, End, Event, Line, PauseReason, RequestKey, Source},
    prelude::*,
};

/// A file of log lines that goes with the test.
struct Log(PathBuf);

impl Log {
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

impl Drop for Log {
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
        left_ms: 1_500,
        end,
        first_byte_ms: None,
        detail: "connection reset".into(),
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

fn story(id: &str, logs: &[&Log]) -> RequestHistory {
    let files: Vec<PathBuf> = logs.iter().map(|log| log.0.clone()).collect();
    RequestHistory::new(id, &find_request(id, &files).expect("the logs can be read"))
}

/// A booking's target went down under it. Its id alone leads to the lost attempt, to the target's
/// pause and to what the caller was told, in the order in which they came.
#[test]
fn a_lost_answer_leads_to_the_target_that_went_down() {
    let log = Log::of(&[
        line("a", 1_000, None, paused("t-9")),
        line("a", 5_000, Some("b-1"), taken()),
        line("a", 5_001, Some("b-1"), sent("t-1")),
        line("a", 5_010, Some("other"), sent("t-2")),
        line("a", 5_031, Some("b-1"), ended("t-1", AttemptEnd::Lost)),
        line("a", 5_032, Some("b-1"), answered(End::Failed, Some(ErrorKind::DispatchLost))),
        line("a", 5_040, None, paused("t-1")),
        line("a", 9_000, None, paused("t-1")),
    ]);
    let story = story("b-1", &[&log]);
    assert_eq!(story.cause.verdict, Verdict::Failed);
    let kinds: Vec<&str> = story.lines.iter().map(|told| told.line.event.kind().name()).collect();
    assert_eq!(kinds, ["taken", "sent", "attempt-ended", "answered", "target-paused"]);
    assert_eq!(story.lines[4].after_ms, 40);
    let behind = story.cause.behind.join("\n");
    assert!(behind.contains("t-1 was lost after the request was sent"), "{behind}");
    assert!(behind.contains("t-1 was paused at 40 ms, nobody answered at its address"), "{behind}");
    assert!(story.cause.what.contains("whether it ran: unknown"), "{}", story.cause.what);
    assert!(render_text(&story).contains("cause: 502"), "{}", render_text(&story));
}

/// A read is late since its target had to work for an object that it did not know. The host had
/// thought it even: the story says so, with the load and the time that was expected.
#[test]
fn a_late_answer_names_what_was_expected_of_its_target() {
    let log = Log::of(&[
        line("a", 5_000, Some("r-1"), taken()),
        line("a", 5_001, Some("r-1"), sent("t-1")),
        line("a", 5_900, Some("r-1"), answered(End::Late, None)),
    ]);
    let story = story("r-1", &[&log]);
    assert_eq!(story.cause.verdict, Verdict::Late);
    let behind = story.cause.behind.join("\n");
    assert!(behind.contains("2 requests on 3 slots"), "{behind}");
    assert!(behind.contains("expected after 120 ms, 50 % likely to know the object"), "{behind}");
}

/// A refusal in an overload: the cause gives the inputs of the decision.
#[test]
fn a_refusal_names_the_inputs_that_decided_it() {
    let evacuated =
        Event::ZoneEvacuated { source: Source::Watch, store_version: 7, zone: "north-b".into() };
    let log = Log::of(&[
        line("a", 900, None, evacuated),
        line("a", 5_000, Some("r-1"), taken()),
        line("a", 5_000, Some("r-1"), not_placed()),
        line("a", 5_001, Some("r-1"), answered(End::Refused, Some(ErrorKind::NoSlots))),
    ]);
    let story = story("r-1", &[&log]);
    assert_eq!(story.cause.verdict, Verdict::Refused);
    let behind = story.cause.behind.join("\n");
    assert!(behind.contains("of 4 targets 2 took nothing"), "{behind}");
    assert!(behind.contains("t-4, which knows the object"), "{behind}");
    assert!(behind.contains("after 1300 ms, against 900 ms"), "{behind}");
    assert!(behind.contains("north-b was evacuated at -4100 ms"), "{behind}");
}

/// A caller's copies of one request came to two hosts. Their files are merged by time, whatever
/// their order, and lines that a collector put a name before are read all the same.
#[test]
fn the_hosts_files_are_merged() {
    let refused =
        |host, at| line(host, at, Some("r-1"), answered(End::Refused, Some(ErrorKind::Shed)));
    let late = [
        line("b", 7_000, Some("r-1"), taken()),
        line("b", 7_900, Some("r-1"), answered(End::Late, None)),
    ];
    let first = Log::of(&[line("a", 5_000, Some("r-1"), taken()), refused("a", 5_010)]);
    let prefixed: String = late
        .iter()
        .map(|line| format!("12.5 host-b | {}\n", serde_json::to_string(line).expect("a form")))
        .collect();
    let second = Log::write(&(prefixed + "no event\n{\"half\":"));
    let story = story("r-1", &[&second, &first]);
    let hosts: Vec<&str> = story.lines.iter().map(|told| &*told.line.host).collect();
    assert_eq!(hosts, ["a", "a", "b", "b"]);
    assert_eq!(story.cause.verdict, Verdict::Late);
}

/// Nobody logged the id; lines were dropped meanwhile. Both are said.
#[test]
fn an_unknown_id_is_said_to_be_unknown() {
    let dropped = Event::LinesDropped { counts: [("answered".into(), 40)].into() };
    let log = Log::of(&[line("a", 1_000, Some("r-1"), taken()), line("a", 1_500, None, dropped)]);
    let story = story("nobody", &[&log]);
    assert_eq!(story.cause.verdict, Verdict::NotFound);
    assert!(story.cause.behind[0].starts_with("40 lines were dropped"), "{:?}", story.cause);
    assert_eq!(story.dropped["answered"], 40);
}

/// The host was killed while it served the request: there is no last line, and its next start says
/// why.
#[test]
fn a_killed_host_leaves_an_unfinished_story() {
    let started =
        Event::Started { build: "1".into(), region: "north".into(), zone: "north-a".into() };
    let log = Log::of(&[
        line("a", 1_000, Some("r-1"), taken()),
        line("a", 1_001, Some("r-1"), sent("t-1")),
        line("a", 2_500, None, started),
    ]);
    let story = story("r-1", &[&log]);
    assert_eq!(story.cause.verdict, Verdict::Unfinished);
    assert!(story.cause.behind[0].contains("started anew 1500 ms later"), "{:?}", story.cause);
}

/// A host's log of a million changes of belief: the memory is bounded by what the request touched.
#[test]
fn context_is_bounded() {
    let lost = |at| {
        let event = Event::StoreLost { part: StorePart::Targets, reason: "away".into() };
        line("a", at, None, event)
    };
    let mut lines: Vec<Line> = (0..5_000).map(lost).collect();
    lines.push(line("a", 5_000, Some("r-1"), taken()));
    lines.extend((5_000..6_500).map(lost));
    lines.extend((5_000..6_500).map(lost));
    let log = Log::of(&lines);
    let found = find_request("r-1", std::slice::from_ref(&log.0)).expect("the log can be read");
    assert_eq!(found.context.len(), 3 + 2_000);
    assert_eq!(found.total_lines, 8_001);
}

/// Every way in which a request can end has its verdict.
#[test]
fn each_end_has_its_verdict() {
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
        let log = Log::of(&[
            line("a", 1_000, Some("r-1"), taken()),
            line("a", 1_001, Some("r-1"), event),
        ]);
        assert_eq!(story("r-1", &[&log]).cause.verdict, verdict);
    }
}

proptest::proptest! {
    /// Logs are cut, mixed and damaged on their way. Whatever they hold, reading them ends, counts
    /// every line and never fails.
    #[test]
    fn damaged_logs_are_read(noise in proptest::collection::vec(0_u8..=255, 0..200), at in 0..400_usize) {
        let whole = [line("a", 1_000, Some("r-1"), taken()), line("a", 1_001, Some("r-1"), sent("t-1"))];
        let mut text: Vec<u8> = Vec::new();
        for line in &whole {
            serde_json::to_writer(&mut text, line).expect("it has a form");
            text.push(b'\n');
        }
        let at = at.min(text.len());
        text.splice(at..at, noise);
        let log = Log::write("");
        fs::write(&log.0, &text).expect("a temporary file");
        let found = find_request("r-1", std::slice::from_ref(&log.0)).expect("the log can be read");
        proptest::prop_assert!(found.request.len() <= 2);
        proptest::prop_assert!(found.unparsed <= found.total_lines);
    }
}
