//! Writers of the time line.

mod chrome;
mod html;
mod jsonl;
#[cfg(test)]
mod tests;
mod text;

pub use self::jsonl::{ReadError, read_lines};

use std::io;

use super::Event;

/// How the time line is written.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, clap::ValueEnum)]
pub enum Format {
    /// Chrome trace format, for trace viewers.
    Chrome,
    /// Self-contained page with one lane a process.
    Html,
    /// One JSON object a line.
    Jsonl,
    /// Aligned columns.
    #[default]
    Text,
}

impl Format {
    /// Whether events can be written as they come; the others need all of them first.
    pub fn is_streaming(self) -> bool {
        matches!(self, Format::Jsonl | Format::Text)
    }
}

/// Writes events, which stand in causal order.
pub fn write(format: Format, events: &[Event], out: &mut dyn io::Write) -> io::Result<()> {
    match format {
        Format::Chrome => chrome::write(events, out),
        Format::Html => html::write(events, out),
        Format::Jsonl => jsonl::write(events, out),
        Format::Text => text::write(events, out),
    }
}

/// The fields of the kind as `name=value` pairs, without the kind's name.
fn details(event: &Event) -> String {
    let Ok(serde_json::Value::Object(fields)) = serde_json::to_value(&event.kind) else {
        return String::new();
    };
    let pairs =
        fields.iter().filter(|(name, _)| *name != "kind").map(|(name, value)| match value {
            serde_json::Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        });
    pairs.collect::<Vec<_>>().join(" ")
}
