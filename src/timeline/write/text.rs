//! Events as aligned columns.

use std::{fmt, io};

use super::details;
use crate::timeline::{Event, HybridTime};

const MILLIS_PER_DAY: u64 = 86_400_000;

/// Width of the process column where no name is longer.
const MIN_PROCESS: usize = 20;

/// Width of the request column; ids are often UUIDs.
const REQUEST: usize = 36;

pub(super) fn write(events: &[Event], out: &mut dyn io::Write) -> io::Result<()> {
    let process = events.iter().map(|event| process_name(event).len()).max().unwrap_or_default();
    let process = process.max(MIN_PROCESS);
    for event in events {
        let request = event.request.as_deref().unwrap_or("-");
        let line = format!(
            "{} {:process$} {request:REQUEST$} {:18} {}",
            Clock(event.at),
            process_name(event),
            event.kind.name(),
            details(event),
        );
        writeln!(out, "{}", line.trim_end())?;
    }
    Ok(())
}

fn process_name(event: &Event) -> String {
    format!("{}/{}", event.member, event.host)
}

/// Time of day in UTC, with the logical count behind it.
struct Clock(HybridTime);

impl fmt::Display for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = self.0.millis % MILLIS_PER_DAY;
        let (secs, millis) = (millis / 1_000, millis % 1_000);
        let (hours, minutes, secs) = (secs / 3_600, secs / 60 % 60, secs % 60);
        write!(f, "{hours:02}:{minutes:02}:{secs:02}.{millis:03}+{:<3}", self.0.count)
    }
}
