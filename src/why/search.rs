//! Finds the log lines that are relevant to a request.

use std::{
    collections::{BTreeSet, VecDeque},
    io,
    path::{Path, PathBuf},
};

use crate::{
    event_log::{Event, Line, for_each_json},
    prelude::*,
};

/// Maximum number of lines of the request itself. An attempt has about twenty at most, but callers
/// may reuse an ID.
const MAX_REQUEST_LINES: usize = 1_000;

/// Maximum number of lines per host and subject from before the request.
const MAX_LINES_BEFORE: usize = 3;

/// Maximum number of context lines from during and shortly after the request, and of lines about
/// dropped lines.
const MAX_CONTEXT_LINES: usize = 2_000;

/// Period after the last line of the request whose state changes may still explain its outcome: the
/// loss of a target is only logged after another connection attempt.
const CONTEXT_AFTER: Duration = Duration::from_secs(2);

/// Result of reading logs.
pub type Result<T> = std::result::Result<T, ReadError>;

/// A log could not be read.
#[derive(Debug, thiserror::Error)]
#[error("{path}: {source}; pass files with the hosts' standard output", path = path.display())]
pub struct ReadError {
    path: PathBuf,
    source: io::Error,
}

/// The log lines that are relevant to a request.
#[derive(Debug, Default)]
pub struct LogMatches {
    /// State changes of the hosts: the last ones before the request about each subject that
    /// concerns it, and those while it ran or shortly after.
    pub context: Vec<Line>,
    /// Lines of the request, in the order of the files.
    pub request: Vec<Line>,
    /// `LinesDropped` events from the time that the request may have run; those of all hosts if the
    /// request was not found.
    pub dropped: Vec<Line>,
    /// Number of lines that are not events.
    pub unparsed: u64,
    /// Number of lines read.
    pub total_lines: u64,
}

/// Searches the files for lines that are relevant to the request with this ID.
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

/// The hosts, times, services and targets that the request involved.
#[derive(Debug, Default)]
struct RequestScope {
    /// Times of the first and last line of each host, by its wall clock.
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
        | Event::Relayed { service, .. }
        | Event::RelayEnded { service, .. }
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

/// What a state change is about. Of the lines about the same subject from before the request, only
/// the last few are kept.
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
    /// The subject of a state change that may have affected the request.
    fn subject(&self, event: &Event) -> Option<Subject> {
        match event {
            Event::DeclarationInForce { .. } | Event::DeclarationStale { .. } => {
                Some(Subject::Declaration)
            }
            Event::Started { .. }
            | Event::LearnedRead { .. }
            | Event::Stopped { .. }
            | Event::Stopping { .. }
            | Event::TargetsReachable { .. }
            | Event::TargetsUnreachable { .. }
            | Event::Reloaded { .. } => Some(Subject::Host),
            Event::StoreLost { .. }
            | Event::ListingIncomplete { .. }
            | Event::StoreListed { .. }
            | Event::StoreRegained { .. }
            | Event::StoreRestored { .. }
            | Event::TargetsMissing { .. }
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
            | Event::TargetLeaving { target }
            | Event::TargetLimited { target, .. }
            | Event::TargetPaused { target, .. }
            | Event::TargetResting { target, .. }
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

/// State changes around the time of the request, limited in number.
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
            let is_near = |(first, last): &(u64, u64)| {
                *first <= line.at_ms && line.at_ms <= last + CONTEXT_AFTER.as_millis() as u64
            };
            let is_relevant = scope.hosts.is_empty() || times.is_some_and(is_near);
            if is_relevant && self.dropped.len() < MAX_CONTEXT_LINES {
                self.dropped.push(line);
            }
            return;
        }
        let Some((first, last)) = times else { return };
        let Some(subject) = scope.subject(&line.event) else { return };
        if line.at_ms < *first {
            // A restarted host has lost its earlier state, so earlier changes explain nothing.
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

/// A line that is not an event.
pub struct NotAnEvent;

/// Calls `f` for each line.
pub fn for_each_line(
    path: &Path,
    mut f: impl FnMut(std::result::Result<Line, NotAnEvent>),
) -> Result<()> {
    for_each_json(path, |json| {
        let line = json.and_then(|json| serde_json::from_slice(json).ok());
        f(line.ok_or(NotAnEvent));
    })
    .map_err(|source| ReadError { path: path.to_owned(), source })
}
