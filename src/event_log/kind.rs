//! Name, rate-limit key, priority and description of each kind of event.

use super::{
    End, Event, EventKind,
    event::{AttemptEnd, RelayEnd},
};

/// Decides which lines are dropped first when the queue is full.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Priority {
    /// Steps of requests without errors; dropped first.
    Low,
    /// Failures and changes of the host's state.
    High,
}

impl Event {
    pub fn kind(&self) -> EventKind {
        self.into()
    }

    /// Together with the kind, the key that lines are rate-limited by. Refusals are limited per
    /// error, so that a frequent error does not hide a rare one.
    pub fn rate_key(&self) -> &'static str {
        match self {
            Event::Answered { error: Some(error), .. }
            | Event::NotPlaced { error, .. }
            | Event::Refused { error, .. } => (*error).into(),
            Event::Answered { end, .. } => (*end).into(),
            Event::AttemptEnded { end, .. } => (*end).into(),
            Event::RelayEnded { end, .. } => (*end).into(),
            other => other.kind().into(),
        }
    }

    pub fn priority(&self) -> Priority {
        match self {
            Event::Answered { end: End::Served, .. }
            | Event::AttemptEnded { end: AttemptEnd::Answered | AttemptEnd::Cancelled, .. }
            | Event::CallerLeft { .. }
            | Event::Note { .. }
            | Event::RelayEnded { end: RelayEnd::Answered | RelayEnd::Cancelled, .. }
            | Event::Relayed { .. }
            | Event::Sent { .. }
            | Event::Taken { .. } => Priority::Low,
            _ => Priority::High,
        }
    }
}

impl EventKind {
    /// Name in the log.
    pub fn name(self) -> &'static str {
        self.into()
    }

    /// One-line description for the operators' reference.
    pub fn doc(self) -> &'static str {
        match self {
            EventKind::Answered => "the answer to a request, with its time and whether it ran",
            EventKind::AttemptEnded => "an attempt at one target ended",
            EventKind::CallerLeft => "the caller closed its connection before it had an answer",
            EventKind::CrashCleared => "a suspect request came to a good end",
            EventKind::CrashCounted => "a target went down under a request",
            EventKind::DeclarationInForce => "a newer declaration took effect",
            EventKind::DeclarationStale => "an older declaration was told and left out",
            EventKind::EntryUnreadable => {
                "an object of the store can't be read and counts for nothing"
            }
            EventKind::HostHeard => "another host lives",
            EventKind::HostLost => "another host fell silent",
            EventKind::HostUnanswering => "another host did not tell what it knows of the store",
            EventKind::LearnedIgnored => {
                "values that hosts learned earlier were not used at the start, and why"
            }
            EventKind::LearnedRead => "estimates begin from values that hosts learned earlier",
            EventKind::LearnedUnwritten => "learned values could not be written to the store",
            EventKind::LearnedWritten => "learned values were written to the store",
            EventKind::LinesDropped => "lines of this log that were dropped, by kind",
            EventKind::ListingIncomplete => {
                "a listing of the store ended early, and what was read is used"
            }
            EventKind::Note => "a line of a library",
            EventKind::NotPlaced => "no target could take a request in time",
            EventKind::OwnerSilent => "the owner of a group of targets did not answer",
            EventKind::PartsChanged => "other optional parts of the decisions are in use, and why",
            EventKind::Refused => "a request was refused before a target was looked for",
            EventKind::Relayed => "another host is asked to serve a request",
            EventKind::RelayEnded => "an attempt to have another host serve a request ended",
            EventKind::Reloaded => "the settings were read again",
            EventKind::RetryDenied => "a further attempt was wanted and not allowed",
            EventKind::Sent => "a request goes to a target",
            EventKind::SharesMoved => "a service's requests move between regions",
            EventKind::Started => "the host starts",
            EventKind::Stopped => "the host has stopped",
            EventKind::Stopping => "a planned stop begins",
            EventKind::StoreListed => "the store listed all objects of a part",
            EventKind::StoreLost => "the store does not answer",
            EventKind::StoreRegained => "the store answers again",
            EventKind::StoreRestored => {
                "the store came back from a copy that may lack the latest writes"
            }
            EventKind::StrainChanged => {
                "the host gets too little of its processor and leaves look-ups, or enough again"
            }
            EventKind::StreamBroken => "a large answer broke off on its way",
            EventKind::Taken => "a request was accepted",
            EventKind::TargetGone => "a target's entry is gone",
            EventKind::TargetKept => "a lapsed target is used a little longer",
            EventKind::TargetKnown => "a target's entry is new or has changed",
            EventKind::TargetLeaving => "a target said in an answer that it leaves",
            EventKind::TargetLimited => {
                "what this host knows of a target's limit of requests has changed"
            }
            EventKind::TargetPaused => "a target gets nothing for a while",
            EventKind::TargetResting => "a target refused a request and named a time to pause",
            EventKind::TargetTrusted => "a paused target answered again",
            EventKind::TargetsMissing => "this host knows no target and lists those in the store",
            EventKind::TargetsReachable => "this host reaches targets again",
            EventKind::TargetsUnreachable => "this host reaches no target at all",
            EventKind::UnknownHeader => {
                "a target's answer had a header of the platform that this release does not know"
            }
            EventKind::WatchBegun => "this host follows the store",
            EventKind::WatchEnded => "this host leaves the store to others",
            EventKind::ZoneEvacuated => "a zone's targets are to get nothing",
            EventKind::ZoneTakenBack => "a zone's targets may be used again",
        }
    }
}
