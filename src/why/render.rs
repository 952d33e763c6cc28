//! The story as text for people.

use std::fmt::Write;

use super::{HistoryLine, RequestHistory};
use crate::event_log::Event;

/// The whole story.
pub fn render_text(story: &RequestHistory) -> String {
    let mut text = format!("request {}\n", story.id);
    if !story.lines.is_empty() {
        text.push_str("\n       ms  host\n");
    }
    for told in &story.lines {
        let mark = if told.is_request { ' ' } else { '~' };
        let _ = writeln!(
            text,
            "{:>9} {mark}{:<18} {}",
            told.after_ms,
            told.line.host,
            format_event(told)
        );
    }
    if !story.dropped.is_empty() {
        let counts: Vec<String> =
            story.dropped.iter().map(|(kind, count)| format!("{kind} {count}")).collect();
        let _ = writeln!(text, "\ndropped lines: {}", counts.join(", "));
    }
    let _ = write!(text, "\ncause: {}\n", story.cause.what);
    for reason in &story.cause.behind {
        let _ = writeln!(text, "  - {reason}");
    }
    if story.lines.iter().any(|told| !told.is_request) {
        text.push_str("\n~ what the host believed; times count from the request's first line\n");
    }
    text
}

/// One event: its kind, then its fields as they are in the log.
fn format_event(told: &HistoryLine) -> String {
    let event: &Event = &told.line.event;
    let Ok(serde_json::Value::Object(fields)) = serde_json::to_value(event) else {
        return event.kind().name().to_owned();
    };
    let mut text = event.kind().name().to_owned();
    for (name, value) in fields.iter().filter(|(name, value)| *name != "event" && !value.is_null())
    {
        match value {
            serde_json::Value::String(value) => _ = write!(text, " {name}={value}"),
            value => _ = write!(text, " {name}={value}"),
        }
    }
    text
}
