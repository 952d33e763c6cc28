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
            without_controls(&format_event(entry))
        );
    }
    if !history.dropped.is_empty() {
        let counts: Vec<String> =
            history.dropped.iter().map(|(kind, count)| format!("{kind} {count}")).collect();
        let _ = writeln!(text, "\ndropped lines: {}", counts.join(", "));
    }
    let _ = write!(text, "\ncause: {}\n", without_controls(&history.cause.what));
    for reason in &history.cause.behind {
        let _ = writeln!(text, "  - {}", without_controls(reason));
    }
    if history.lines.iter().any(|entry| !entry.is_request) {
        text.push_str(
            "\n~ changes of the host's state; times are relative to the request's first line\n",
        );
    }
    text
}

/// Escapes control characters. Names in the store are those that another writer chose, and must not
/// act on the terminal or look like lines of their own.
fn without_controls(text: &str) -> String {
    let escape = |c: char| match c.is_control() {
        true => c.escape_default().to_string(),
        false => c.to_string(),
    };
    text.chars().map(escape).collect()
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
