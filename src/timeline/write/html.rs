//! Events as one page without outside parts: a lane a process, and a table below.

use std::{
    collections::BTreeMap,
    fmt::{self, Write as _},
    io,
};

use super::details;
use crate::timeline::{Event, EventKind};

const LANE: usize = 34;
const LEFT: usize = 220;
const RADIUS: usize = 4;
const WIDTH: usize = 1_400;

const HEAD: &str = r#"<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Time line</title><style>
body { font: 13px sans-serif; margin: 1em }
svg text { font: 12px sans-serif }
table { border-collapse: collapse; margin-top: 1em }
td, th { padding: 1px 8px; text-align: left; border-bottom: 1px solid #ddd }
.lane { stroke: #ccc } .work { fill: #4477aa } .good { fill: #228833 }
.bad { fill: #cc3311 } .move { fill: #aa8800 } .hidden { opacity: .08 }
tr.hidden { display: none }
</style></head><body>
<h1>Time line</h1>
<p><label>Show only lines that contain <input id="find" size="40"></label></p>
"#;

const TAIL: &str = r#"<script>
const find = document.getElementById('find');
find.addEventListener('input', () => {
  for (const item of document.querySelectorAll('[data-text]')) {
    item.classList.toggle('hidden', !item.dataset.text.includes(find.value));
  }
});
</script></body></html>
"#;

pub(super) fn write(events: &[Event], out: &mut dyn io::Write) -> io::Result<()> {
    let mut page = String::from(HEAD);
    // Writing to a string never fails.
    let _ = lanes(events, &mut page).and_then(|()| table(events, &mut page));
    page.push_str(TAIL);
    out.write_all(page.as_bytes())
}

fn lanes(events: &[Event], page: &mut String) -> fmt::Result {
    let mut rows: BTreeMap<String, usize> = BTreeMap::new();
    for event in events {
        rows.entry(process(event)).or_default();
    }
    for (index, row) in rows.values_mut().enumerate() {
        *row = index * LANE + LANE / 2;
    }
    let start = events.first().map_or(0, |event| event.at.millis);
    let span = events.last().map_or(1, |event| event.at.millis.saturating_sub(start)).max(1);
    let (width, height) = (LEFT + WIDTH + LANE, rows.len() * LANE);
    writeln!(page, r#"<svg width="{width}" height="{height}">"#)?;
    for (name, y) in &rows {
        writeln!(page, r#"<text x="0" y="{y}">{}</text>"#, Escaped(name))?;
        let end = LEFT + WIDTH;
        writeln!(page, r#"<line class="lane" x1="{LEFT}" x2="{end}" y1="{y}" y2="{y}"/>"#)?;
    }
    for event in events {
        let offset = event.at.millis.saturating_sub(start) as f64 / span as f64;
        let x = LEFT as f64 + offset * WIDTH as f64;
        let y = rows[&process(event)];
        let (class, text) = (class(&event.kind), summary(event));
        writeln!(
            page,
            r#"<circle class="{class}" cx="{x:.1}" cy="{y}" r="{RADIUS}" data-text="{0}"><title>{0}</title></circle>"#,
            Escaped(&text),
        )?;
    }
    writeln!(page, "</svg>")
}

fn table(events: &[Event], page: &mut String) -> fmt::Result {
    writeln!(page, "<table><tr><th>ms<th>process<th>request<th>kind<th>details</tr>")?;
    let start = events.first().map_or(0, |event| event.at.millis);
    for event in events {
        writeln!(
            page,
            r#"<tr data-text="{}"><td>{}+{}<td>{}<td>{}<td>{}<td>{}</tr>"#,
            Escaped(&summary(event)),
            event.at.millis.saturating_sub(start),
            event.at.count,
            Escaped(&process(event)),
            Escaped(event.request.as_deref().unwrap_or_default()),
            event.kind.name(),
            Escaped(&details(event)),
        )?;
    }
    writeln!(page, "</table>")
}

fn process(event: &Event) -> String {
    format!("{}/{}", event.member, event.host)
}

fn summary(event: &Event) -> String {
    let request = event.request.as_deref().unwrap_or("-");
    format!("{} {request} {} {}", process(event), event.kind.name(), details(event))
}

fn class(kind: &EventKind) -> &'static str {
    match kind {
        EventKind::Answered { .. } | EventKind::HostJoined { .. } => "good",
        EventKind::TargetReturned { .. } | EventKind::HandoverDone { .. } => "good",
        EventKind::Ended { error: None, .. } => "good",
        EventKind::Ended { .. } | EventKind::HandoverLost { .. } => "bad",
        EventKind::HostSuspected { .. } | EventKind::LeaseLost { .. } => "bad",
        EventKind::InvariantBroken { .. } | EventKind::Quarantined { .. } => "bad",
        EventKind::ManifestRefused { .. } | EventKind::Refused { .. } => "bad",
        EventKind::TargetEjected { .. } => "bad",
        EventKind::Arrived { .. } | EventKind::Dispatched { .. } => "work",
        EventKind::Forwarded { .. } | EventKind::LookedUp { .. } => "work",
        _ => "move",
    }
}

/// Text that cannot end an element or an attribute: names come from other members' callers.
struct Escaped<'a>(&'a str);

impl fmt::Display for Escaped<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for char in self.0.chars() {
            match char {
                '"' => f.write_str("&quot;")?,
                '&' => f.write_str("&amp;")?,
                '\'' => f.write_str("&#39;")?,
                '<' => f.write_str("&lt;")?,
                '>' => f.write_str("&gt;")?,
                char => f.write_char(char)?,
            }
        }
        Ok(())
    }
}
