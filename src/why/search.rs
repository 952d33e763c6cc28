//! Finds the lines that matter for one request.

use std::{
    collections::{BTreeSet, VecDeque},
    fs::File,
    io::{self, BufRead, BufReader},
    path::{Path, PathBuf},
};

use crate::{
    event_log::{Event, Line},
    prelude::*,
};

/// Most lines of the request itself that are kept: one attempt has some twenty at most, and its id
/// may be that of a caller who repeats it.
const MAX_REQUEST_LINES: usize = 1_000;

/// Most lines about one subject, on one host, that are kept from before the request.
const MAX_LINES_BEFORE: usize = 3;

/// Most lines of context that are kept in all.
const MAX_CONTEXT_LINES: usize = 2_000;

/// Time after the request's last line in which a change of belief may still explain it: a lost
/// target is told after a connection is tried again.
const CONTEXT_AFTER: Duration = Duration::from_secs(2);

/// Longest line that is read; a longer one is none of ours.
const MAX_LINE_BYTES: u64 = 64 * 1024;

/// Result of reading logs.
pub type Result<T> = std::result::Result<T, ReadError>;

/// A log could not be read.
#[derive(Debug, thiserror::Error)]
#[error("{path}: {source}; name files that hold the hosts' standard output", path = path.display())]
pub struct ReadError {
    path: PathBuf,
    source: io::Error,
}

/// What the logs hold of one request.
#[derive(Debug, Default)]
pub struct LogMatches {
    /// What the hosts believed then: their last word before about each thing that the request
    /// touched, and what changed while it ran.
    pub context: Vec<Line>,
    /// Lines of the request, as they were found.
    pub request: Vec<Line>,
    /// Hosts that dropped lines while the request may have run, with what they dropped. All hosts'
    /// where the request was not found.
    pub dropped: Vec<Line>,
    /// Lines that are no events.
    pub unparsed: u64,
    /// Lines that were read.
    pub total_lines: u64,
}

/// Finds what is known of the request with this id.
pub fn find_request(id: &str, files: &[PathBuf]) -> Result<LogMatches> {
    let mut matches = LogMatches::default();
    for path in files {
        for_each_line(path, |line| matches.add(id, line))?;
    }
    let scope = RequestScope::of(&matches.request);
    let mut context = ContextLines::default();
    for path in files {
        for_each_line(path, |line| {
            if let Ok(line) = line {
                context.add(line, &scope);
            }
        })?;
    }
    matches.dropped = context.dropped;
    matches.context = context.before.into_values().flatten().chain(context.during).collect();
    Ok(matches)
}

impl LogMatches {
    fn add(&mut self, id: &str, line: std::result::Result<Line, NotAnEvent>) {
        self.total_lines += 1;
        let Ok(line) = line else {
            self.unparsed += 1;
            return;
        };
        if line.request.attempt.as_deref() == Some(id) && self.request.len() < MAX_REQUEST_LINES {
            self.request.push(line);
        }
    }
}

/// Where and when the request ran, and what it touched.
#[derive(Debug, Default)]
struct RequestScope {
    /// First and last line of each host, by its wall clock.
    hosts: BTreeMap<HostId, (u64, u64)>,
    services: BTreeSet<ServiceId>,
    targets: BTreeSet<TargetId>,
}

impl RequestScope {
    fn of(lines: &[Line]) -> Self {
        let mut scope = Self::default();
        for line in lines {
            let at = line.at_ms;
            let host = scope.hosts.entry(line.host.clone()).or_insert((at, at));
            *host = (host.0.min(at), host.1.max(at));
            scope.services.extend(service(&line.event).cloned());
            scope.targets.extend(target(&line.event).cloned());
        }
        scope
    }
}

/// The service that an event is about.
fn service(event: &Event) -> Option<&ServiceId> {
    match event {
        Event::Answered { service, .. }
        | Event::AttemptEnded { service, .. }
        | Event::CallerLeft { service, .. }
        | Event::NotPlaced { service, .. }
        | Event::RetryDenied { service, .. }
        | Event::Sent { service, .. }
        | Event::SharesMoved { service, .. }
        | Event::StreamBroken { service, .. }
        | Event::Taken { service, .. } => Some(service),
        _ => None,
    }
}

/// The target that an event is about.
fn target(event: &Event) -> Option<&TargetId> {
    match event {
        Event::Answered { target, .. } => target.as_ref(),
        Event::AttemptEnded { target, .. }
        | Event::Sent { target, .. }
        | Event::StreamBroken { target, .. } => Some(target),
        _ => None,
    }
}

/// What a change of belief is about; two lines about one subject replace each other.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Subject {
    Declaration,
    Host,
    Peer(HostId),
    Service(ServiceId),
    Store,
    Target(TargetId),
    Zone(ZoneId),
}

impl RequestScope {
    /// The subject of a change that may have mattered to the request.
    fn subject(&self, event: &Event) -> Option<Subject> {
        match event {
            Event::DeclarationInForce { .. } | Event::DeclarationStale { .. } => {
                Some(Subject::Declaration)
            }
            Event::Started { .. }
            | Event::Stopped { .. }
            | Event::Stopping { .. }
            | Event::Reloaded { .. } => Some(Subject::Host),
            Event::StoreLost { .. }
            | Event::StoreRegained { .. }
            | Event::HostUnanswering { .. }
            | Event::WatchBegun { .. }
            | Event::WatchEnded => Some(Subject::Store),
            Event::HostLost { peer, .. } => Some(Subject::Peer(peer.clone())),
            Event::ZoneEvacuated { zone, .. } | Event::ZoneTakenBack { zone, .. } => {
                Some(Subject::Zone(zone.clone()))
            }
            Event::SharesMoved { service, .. } if self.services.contains(service) => {
                Some(Subject::Service(service.clone()))
            }
            Event::TargetGone { target, .. }
            | Event::TargetKept { target, .. }
            | Event::TargetKnown { target, .. }
            | Event::TargetPaused { target, .. }
            | Event::TargetTrusted { target }
            | Event::CrashCounted { target, .. }
                if self.targets.contains(target) =>
            {
                Some(Subject::Target(target.clone()))
            }
            _ => None,
        }
    }
}

/// Lines of context, bounded.
#[derive(Debug, Default)]
struct ContextLines {
    before: BTreeMap<(HostId, Subject), VecDeque<Line>>,
    dropped: Vec<Line>,
    during: Vec<Line>,
}

impl ContextLines {
    fn add(&mut self, line: Line, scope: &RequestScope) {
        let times = scope.hosts.get(&line.host);
        if matches!(line.event, Event::LinesDropped { .. }) {
            let near = |(first, last): &(u64, u64)| {
                *first <= line.at_ms && line.at_ms <= last + CONTEXT_AFTER.as_millis() as u64
            };
            let matters = scope.hosts.is_empty() || times.is_some_and(near);
            if matters && self.dropped.len() < MAX_CONTEXT_LINES {
                self.dropped.push(line);
            }
            return;
        }
        let Some((first, last)) = times else { return };
        let Some(subject) = scope.subject(&line.event) else { return };
        if line.at_ms < *first {
            // What a host heard of others long ago, and forgot by a new start, explains nothing.
            if matches!(line.event, Event::Started { .. }) {
                self.before.retain(|(host, _), _| *host != line.host);
            }
            let kept = self.before.entry((line.host.clone(), subject)).or_default();
            if MAX_LINES_BEFORE <= kept.len() {
                kept.pop_front();
            }
            kept.push_back(line);
        } else if line.at_ms <= last + CONTEXT_AFTER.as_millis() as u64
            && self.during.len() < MAX_CONTEXT_LINES
        {
            self.during.push(line);
        }
    }
}

/// A line that is no event.
struct NotAnEvent;

/// Hands on each line. Collectors put a time or a name before a line: it is read from its first
/// brace.
fn for_each_line(
    path: &Path,
    mut f: impl FnMut(std::result::Result<Line, NotAnEvent>),
) -> Result<()> {
    let fail = |source| ReadError { path: path.to_owned(), source };
    let mut reader = BufReader::new(File::open(path).map_err(fail)?);
    let mut text = Vec::new();
    loop {
        text.clear();
        let mut limited = io::Read::take(&mut reader, MAX_LINE_BYTES);
        if limited.read_until(b'\n', &mut text).map_err(fail)? == 0 {
            return Ok(());
        }
        let json = text.iter().position(|byte| *byte == b'{').map(|at| &text[at..]);
        let line = json.and_then(|json| serde_json::from_slice(json).ok());
        f(line.ok_or(NotAnEvent));
    }
}
