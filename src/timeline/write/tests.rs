use super::*;
use crate::{
    prelude::*,
    timeline::{EventKind, HybridTime},
};

fn events() -> Vec<Event> {
    let kinds = [
        (Some("r<1>"), EventKind::Arrived { hops: 0, service: "status".into() }),
        (Some("r<1>"), EventKind::Dispatched { target: "s'1\"".into() }),
        (Some("r<1>"), EventKind::Answered { ran: Ran::Yes, status: 200 }),
        (None, EventKind::Stopped),
    ];
    let build = |(index, (request, kind)): (usize, (Option<&str>, EventKind))| Event {
        at: HybridTime { millis: 86_400_000 + 61_000 + 7 * index as u64, count: index as u32 },
        host: "zg-1".into(),
        incarnation: u64::MAX,
        kind,
        member: "agency".into(),
        request: request.map(Into::into),
    };
    kinds.into_iter().enumerate().map(build).collect()
}

fn written(format: Format) -> String {
    let mut out = Vec::new();
    write(format, &events(), &mut out).unwrap();
    String::from_utf8(out).unwrap()
}

#[test]
fn text_is_aligned() {
    let text = written(Format::Text);
    let lines: Vec<_> = text.lines().collect();
    assert_eq!(lines.len(), 4);
    assert!(lines[0].starts_with("00:01:01.000+0   agency/zg-1 "), "{text}");
    let column = lines[0].find("arrived");
    assert_eq!(lines[1].find("dispatched"), column);
    assert!(lines[2].ends_with("ran=yes status=200"));
}

#[test]
fn json_lines_round_trip() {
    let text = written(Format::Jsonl);
    assert_eq!(read_lines(text.as_bytes()).unwrap(), events());
}

#[test]
fn broken_json_lines_name_their_line() {
    let text = written(Format::Jsonl) + "{\"at\":";
    let error = read_lines(text.as_bytes()).unwrap_err();
    assert!(error.to_string().starts_with("line 5: not an event"), "{error}");
}

#[test]
fn chrome_has_names_marks_and_spans() {
    let value: serde_json::Value = serde_json::from_str(&written(Format::Chrome)).unwrap();
    let marks = value["traceEvents"].as_array().unwrap();
    let phases: Vec<_> = marks.iter().map(|mark| mark["ph"].as_str().unwrap()).collect();
    assert_eq!(phases, ["M", "i", "i", "i", "i", "X"]);
    assert_eq!(marks[5]["dur"], 14_002);
}

// A caller of a rival member picks its own request ids. An operator opens the page: no id may
// become markup in the operator's browser.
#[test]
fn html_is_escaped_and_needs_nothing_else() {
    let page = written(Format::Html);
    assert!(!page.contains("r<1>"));
    assert!(page.contains("r&lt;1&gt;"));
    assert!(page.contains("target=s&#39;1&quot;"));
    assert!(!page.contains("http://") && !page.contains("https://"));
    assert_eq!(page.matches("<circle").count(), 4);
}
