//! The closed list of events, with the inputs that decided each.
//!
//! Times end in `_ms` and are whole milliseconds; ages count back from the event.

use strum::{EnumDiscriminants, EnumIter, IntoStaticStr};

use crate::{
    base::{ErrorKind, Ran},
    entry::{DeclarationVersion, StorePart},
    prelude::*,
};

/// Everything that an entry host tells of.
#[derive(Clone, Debug, Deserialize, EnumDiscriminants, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
#[strum_discriminants(
    name(EventKind),
    derive(Deserialize, EnumIter, Hash, IntoStaticStr, Ord, PartialOrd, Serialize),
    strum(serialize_all = "kebab-case"),
    serde(rename_all = "kebab-case")
)]
pub enum Event {
    /// An answer went to the caller, or began to.
    Answered {
        /// The host's own reason; `None` where it is the target's answer.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        error: Option<ErrorKind>,
        end: End,
        /// Time within which the answer is worth most.
        objective_ms: u64,
        /// Whether the request ran, as the answer says.
        ran: Ran,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        retry_after_ms: Option<u64>,
        /// Attempts that reached a target, or may have.
        sent: u32,
        service: ServiceId,
        status: u16,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        target: Option<TargetId>,
        took_ms: u64,
    },
    /// One attempt at a target ended.
    AttemptEnded {
        /// Time to the connection; `None` where one was kept or none came about.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        connect_ms: Option<u64>,
        /// What was left of the caller's time.
        left_ms: u64,
        end: AttemptEnd,
        /// Time to the head of the answer.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        first_byte_ms: Option<u64>,
        /// The target's status, or what went wrong.
        detail: Arc<str>,
        service: ServiceId,
        target: TargetId,
        took_ms: u64,
    },
    /// The caller left; work for it was cancelled.
    CallerLeft { sent: u32, service: ServiceId, took_ms: u64 },
    /// A request that may crash targets came to a good end.
    CrashCleared { fingerprint: u64 },
    /// A target went down under a request.
    CrashCounted { crashes: u8, fingerprint: u64, target: TargetId },
    /// A declaration took the place of an older one.
    DeclarationInForce {
        before: DeclarationVersion,
        routes: usize,
        source: Source,
        /// The store's version up to which declarations are known.
        store_version: u64,
        version: DeclarationVersion,
    },
    /// A declaration was not taken, since a newer one is in force.
    DeclarationStale { known: DeclarationVersion, source: Source, version: DeclarationVersion },
    /// An object of the store could not be read.
    EntryUnreadable { name: Arc<str>, part: StorePart, reason: Arc<str>, source: Source },
    /// Another host was heard, first or again.
    HostHeard { peer: HostId, zone: ZoneId },
    /// Another host fell silent.
    HostLost { peer: HostId, silent_ms: u64, zone: ZoneId },
    /// Another host did not tell what it knows of the store.
    HostUnanswering { addr: SocketAddr, reason: Arc<str> },
    /// Lines that were dropped since the last such line, by kind of event.
    LinesDropped { counts: BTreeMap<Arc<str>, u64> },
    /// A line of a library or of code without a request.
    Note { level: Arc<str>, module: Arc<str>, text: Arc<str> },
    /// No target was found for a request.
    NotPlaced {
        /// Targets that the route allows and that were not tried yet.
        candidates: usize,
        /// Of these, how many are cold.
        cold: usize,
        /// The target that it should have gone to, which is too crowded.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        crowded: Option<TargetId>,
        declaration: DeclarationVersion,
        error: ErrorKind,
        /// Expected time of the answer there.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        expected_ms: Option<u64>,
        /// Of the candidates, how many have a free slot in regions that the request may not use.
        free_elsewhere: usize,
        /// Longest expected time that was acceptable.
        limit_ms: u64,
        /// The region that the shares name for it.
        region: RegionId,
        /// Expected wait for a slot there.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        room_in_ms: Option<u64>,
        service: ServiceId,
        /// Of the candidates, how many take nothing now: paused, full or at their cold rate.
        shut: usize,
        /// Age of what is known of other hosts' requests.
        view_age_ms: u64,
        /// Usual time of an answer.
        work_ms: u64,
    },
    /// A request was refused before a target was looked for.
    Refused {
        declaration: DeclarationVersion,
        error: ErrorKind,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        retry_after_ms: Option<u64>,
        status: u16,
        /// The team of the request, if known.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        team: Option<TeamId>,
        took_ms: u64,
    },
    /// The settings were read again.
    Reloaded { end: ReloadEnd, detail: Arc<str> },
    /// A further attempt was wanted and not allowed.
    RetryDenied { limit: Arc<str>, sent: u32, service: ServiceId },
    /// A request goes to a target.
    Sent {
        /// Which attempt it is, from 1.
        attempt: u32,
        cold: bool,
        declaration: DeclarationVersion,
        /// Expected time of the answer.
        expected_ms: u64,
        /// How likely the target was taken to know the object, in percent; 100 without an object.
        #[serde(default)]
        knows_percent: u8,
        left_ms: u64,
        /// Requests in flight at the target, of all hosts, before this one.
        load: u32,
        reason: AttemptReason,
        region: RegionId,
        service: ServiceId,
        slots: u32,
        target: TargetId,
        view_age_ms: u64,
        zone: ZoneId,
    },
    /// The parts of a service's requests that each region runs have moved.
    SharesMoved { service: ServiceId, shares: BTreeMap<RegionId, f64> },
    /// The host starts.
    Started { build: Arc<str>, region: RegionId, zone: ZoneId },
    /// The host has stopped.
    Stopped { open: usize, took_ms: u64 },
    /// A planned stop begins.
    Stopping { grace_ms: u64, open: usize },
    /// The store does not answer.
    StoreLost { part: StorePart, reason: Arc<str> },
    /// The store answers again.
    StoreRegained { away_ms: u64, part: StorePart },
    /// The host gets too little of its processor, or enough again.
    StrainChanged { delay_ms: u64, is_strained: bool },
    /// A large answer broke off after its head had gone out.
    StreamBroken { reason: Arc<str>, service: ServiceId, target: TargetId },
    /// A request was accepted.
    Taken {
        body_bytes: usize,
        declaration: DeclarationVersion,
        /// Hash of method, path and body: the same for a caller's copies.
        fingerprint: u64,
        idempotent: bool,
        left_ms: u64,
        route: Arc<str>,
        service: ServiceId,
        /// The team on whose behalf the request runs.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        team: Option<TeamId>,
    },
    /// A target's entry is gone.
    TargetGone { source: Source, store_version: u64, target: TargetId },
    /// A target's entry lapsed while the store was away; it is used until it should be back.
    TargetKept { for_ms: u64, target: TargetId },
    /// A target's entry is new or has changed.
    TargetKnown {
        cold_ms: u64,
        ready: bool,
        service: ServiceId,
        slots: u32,
        source: Source,
        store_version: u64,
        target: TargetId,
        zone: ZoneId,
    },
    /// A target gets nothing for a while.
    TargetPaused { failures: u32, pause_ms: u64, reason: PauseReason, target: TargetId },
    /// A target that was paused answered again.
    TargetTrusted { target: TargetId },
    /// This host follows the store itself.
    WatchBegun { reason: WatchReason },
    /// This host leaves the store to other hosts.
    WatchEnded,
    /// A zone's targets are to get nothing.
    ZoneEvacuated { source: Source, store_version: u64, zone: ZoneId },
    /// A zone's targets may be used again; they are taken for cold at first.
    ZoneTakenBack { source: Source, store_version: u64, zone: ZoneId },
}

/// How an answer stands to what was asked.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum End {
    /// Success within the objective.
    Served,
    /// Success after it.
    Late,
    /// The target's own failure.
    TargetFailed,
    /// Refused; it has not run.
    Refused,
    /// It may have run.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptEnd {
    Answered,
    Cancelled,
    /// The target failed it.
    Failed,
    /// It may have run; the answer is lost.
    Lost,
    /// The target had no room.
    Shed,
    Unreachable,
    /// The address belongs to another target.
    WrongTarget,
}

/// Why a request goes to a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptReason {
    First,
    /// The attempt before is slow.
    Hedge,
    /// The attempt before failed or did not run.
    Retry,
}

/// Why a target is paused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PauseReason {
    /// Failures in a row.
    Failing,
    Unreachable,
}

/// What became of new settings.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReloadEnd {
    InForce,
    /// They can't be read; the old ones stand.
    Refused,
    Unchanged,
}

/// Who told it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// Another host.
    Host,
    /// The store, by a listing.
    Listing,
    /// The store, by a watch.
    Watch,
}

/// Why a host follows the store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WatchReason {
    /// It is one of its region's watchers.
    Elected,
    /// Other hosts know more and do not tell.
    Unanswered,
}
