//! Formats the history of a request as text.

use std::fmt::Write;

use super::{HistoryEntry, RequestHistory};
use crate::event_log::Event;

/// Formats the whole history.
pub fn render_text(history: &RequestHistory) -> String {
    let mut text = format!("request {}\n", history.id);
    if !history.lines.is_empty() {
        text.push_str("\n       ms  host\n");
    }
    for entry in &history.lines {
        let mark = if entry.is_request { ' ' } else { '~' };
        let _ = writeln!(
            text,
            "{:>9} {mark}{:<18} {}",
            entry.after_ms,
            entry.line.host,
            format_event(entry)
        );
    }
    if !history.dropped.is_empty() {
        let counts: Vec<String> =
            history.dropped.iter().map(|(kind, count)| format!("{kind} {count}")).collect();
        let _ = writeln!(text, "\ndropped lines: {}", counts.join(", "));
    }
    let _ = write!(text, "\ncause: {}\n", history.cause.what);
    for reason in &history.cause.behind {
        let _ = writeln!(text, "  - {reason}");
    }
    if history.lines.iter().any(|entry| !entry.is_request) {
        text.push_str(
            "\n~ changes of the host's state; times are relative to the request's first line\n",
        );
    }
    text
}

/// Formats an event: its kind, then its fields as in the log.
fn format_event(entry: &HistoryEntry) -> String {
    let event: &Event = &entry.line.event;
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
