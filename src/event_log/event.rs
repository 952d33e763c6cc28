//! The events that a host logs, each with the inputs of the decision it reports.
//!
//! Fields that end in `_ms` are whole milliseconds; ages are relative to the time of the event.

use strum::{EnumDiscriminants, EnumIter, IntoStaticStr};

use crate::{
    base::{ErrorKind, Ran},
    entry::{DeclarationVersion, StorePart},
    prelude::*,
};

/// An event in the log of an entry host.
#[derive(Clone, Debug, Deserialize, EnumDiscriminants, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
#[strum_discriminants(
    name(EventKind),
    derive(Deserialize, EnumIter, Hash, IntoStaticStr, Ord, PartialOrd, Serialize),
    strum(serialize_all = "kebab-case"),
    serde(rename_all = "kebab-case")
)]
pub enum Event {
    /// The response to the caller was sent, or its streaming began.
    Answered {
        /// The host's error; `None` if the target's response was passed on.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        error: Option<ErrorKind>,
        end: End,
        /// Latency objective of the request.
        objective_ms: u64,
        /// Whether the request was run, as reported to the caller.
        ran: Ran,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        retry_after_ms: Option<u64>,
        /// Number of attempts that reached a target or may have reached one.
        sent: u32,
        service: ServiceId,
        status: u16,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        target: Option<TargetId>,
        took_ms: u64,
    },
    /// An attempt at a target ended.
    AttemptEnded {
        /// Time to establish the connection; `None` if one was reused or none was established.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        connect_ms: Option<u64>,
        /// The connection that carried the request last; `None` if there was none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        connection: Option<ConnectionUse>,
        /// Time from the decision until the request was handed to its connection; `None` if it was
        /// not.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        dispatch_ms: Option<u64>,
        /// Time left until the caller's deadline.
        left_ms: u64,
        end: AttemptEnd,
        /// Time until the response head arrived.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        first_byte_ms: Option<u64>,
        /// The target's status code, or the error.
        detail: Arc<str>,
        /// Attempt id in the response if it is not the request's; empty if the response has none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        response_to: Option<Arc<str>>,
        service: ServiceId,
        target: TargetId,
        took_ms: u64,
    },
    /// The caller closed its connection; its request was cancelled.
    CallerLeft { sent: u32, service: ServiceId, took_ms: u64 },
    /// A request suspected of crashing targets completed without a crash.
    CrashCleared { fingerprint: u64 },
    /// A target crashed while it ran a request.
    CrashCounted { crashes: u8, fingerprint: u64, target: TargetId },
    /// A declaration replaced an older one.
    DeclarationInForce {
        before: DeclarationVersion,
        routes: usize,
        source: Source,
        /// Store version up to which the host has read declarations.
        store_version: u64,
        version: DeclarationVersion,
    },
    /// A declaration was ignored because a newer one is in force.
    DeclarationStale { known: DeclarationVersion, source: Source, version: DeclarationVersion },
    /// A store object could not be decoded.
    EntryUnreadable { name: Arc<str>, part: StorePart, reason: Arc<str>, source: Source },
    /// Another host was discovered, or is reachable again.
    HostHeard { peer: HostId, zone: ZoneId },
    /// Another host has stopped sending heartbeats.
    HostLost { peer: HostId, silent_ms: u64, zone: ZoneId },
    /// Another host did not answer a query for its store state.
    HostUnanswering { addr: SocketAddr, reason: Arc<str> },
    /// Values that hosts learned earlier were not used at the start: those of one service, or all.
    LearnedIgnored {
        reason: Arc<str>,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        service: Option<ServiceId>,
    },
    /// Estimates begin from values that hosts learned earlier.
    LearnedRead {
        /// Age of the oldest of these values.
        age_ms: u64,
        /// Number of services.
        services: usize,
    },
    /// Learned values could not be written to the store.
    LearnedUnwritten { reason: Arc<str> },
    /// Learned values were written to the store for the region.
    LearnedWritten {
        bytes: usize,
        /// Number of services.
        services: usize,
    },
    /// Number of lines dropped since the previous event of this kind, by kind of event.
    LinesDropped { counts: BTreeMap<Arc<str>, u64> },
    /// A listing of the store ended early. The objects that it lacks count as unknown, not as removed.
    ListingIncomplete {
        /// Number of objects that were read.
        objects: usize,
        part: StorePart,
        reason: Arc<str>,
    },
    /// A message logged through the `log` macros, by this crate or by a library.
    Note { level: Arc<str>, module: Arc<str>, text: Arc<str> },
    /// No target could take a request.
    NotPlaced {
        /// Number of targets that the route allows and that have not been tried yet.
        candidates: usize,
        /// Number of candidates that are cold.
        cold: usize,
        /// The best candidate, which could not respond in time.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        crowded: Option<TargetId>,
        declaration: DeclarationVersion,
        error: ErrorKind,
        /// Expected response time at that target.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        expected_ms: Option<u64>,
        /// Number of candidates with a free slot in regions that the request may not use.
        free_elsewhere: usize,
        /// Longest acceptable expected response time.
        limit_ms: u64,
        /// Targets were left out since they do not have the object cached and slots are short.
        #[serde(default, skip_serializing_if = "is_false")]
        rationed: bool,
        /// Region that the traffic shares assign to the request.
        region: RegionId,
        /// Expected wait for a slot at that target.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        room_in_ms: Option<u64>,
        service: ServiceId,
        /// Number of candidates that accept no request now: paused, full or at their cold rate
        /// limit.
        shut: usize,
        /// Age of the data on other hosts' requests in flight.
        view_age_ms: u64,
        /// Mean time that a target works on a request.
        work_ms: u64,
    },
    /// The owner of a group of targets did not answer. Requests are placed without it for a while.
    OwnerSilent { owner: HostId, waited_ms: u64 },
    /// Other optional parts of the decisions than before are in use.
    PartsChanged { parts: BTreeMap<Arc<str>, PartNote> },
    /// A request was refused before target selection.
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
    /// This host reaches no target, and another host is asked to serve a request.
    Relayed {
        /// Attempt number, starting at 1.
        attempt: u32,
        left_ms: u64,
        reason: AttemptReason,
        service: ServiceId,
        to: HostId,
    },
    /// The attempt to have another host serve a request ended.
    RelayEnded {
        /// The connection that carried the request last; `None` if there was none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        connection: Option<ConnectionUse>,
        end: RelayEnd,
        /// The status code, or the error.
        detail: Arc<str>,
        /// Attempt id in the response if it is not the request's; empty if the response has none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        response_to: Option<Arc<str>>,
        service: ServiceId,
        to: HostId,
        took_ms: u64,
    },
    /// The settings file was reloaded.
    Reloaded { end: ReloadEnd, detail: Arc<str> },
    /// A retry or hedge was suppressed by a limit.
    RetryDenied { limit: Arc<str>, sent: u32, service: ServiceId },
    /// A request was sent to a target.
    Sent {
        /// Attempt number, starting at 1.
        attempt: u32,
        cold: bool,
        declaration: DeclarationVersion,
        /// Expected response time.
        expected_ms: u64,
        /// Estimated probability that the target has the object cached, in percent; 100 if the
        /// request names no object.
        #[serde(default)]
        knows_percent: u8,
        left_ms: u64,
        /// Requests in flight at the target, from all hosts, without this one.
        load: u32,
        reason: AttemptReason,
        region: RegionId,
        service: ServiceId,
        slots: u32,
        target: TargetId,
        view_age_ms: u64,
        zone: ZoneId,
    },
    /// The fractions of a service's requests that each region runs have changed.
    SharesMoved { service: ServiceId, shares: BTreeMap<RegionId, f64> },
    /// The host started.
    Started { build: Arc<str>, region: RegionId, zone: ZoneId },
    /// The host has stopped.
    Stopped { open: usize, took_ms: u64 },
    /// A graceful shutdown began.
    Stopping { grace_ms: u64, open: usize },
    /// The store listed all objects of a part.
    StoreListed {
        /// Whether the listing was applied. One that is older than what the host knows is not.
        is_applied: bool,
        objects: usize,
        part: StorePart,
        /// Revision up to which the listing shows all changes.
        store_version: u64,
    },
    /// The store stopped answering.
    StoreLost { part: StorePart, reason: Arc<str> },
    /// The store is answering again.
    StoreRegained { away_ms: u64, part: StorePart },
    /// The store was restored from a copy since this host received one of its parts.
    StoreRestored {
        part: StorePart,
        /// Number of restores that the store states.
        restores: u64,
    },
    /// The host became short of CPU time, or has enough again.
    StrainChanged { delay_ms: u64, is_strained: bool },
    /// A streamed response broke off after its head had been sent.
    StreamBroken { reason: Arc<str>, service: ServiceId, target: TargetId },
    /// A request was accepted.
    Taken {
        body_bytes: usize,
        declaration: DeclarationVersion,
        /// Hash of method, path and body; equal for repeated copies of a request.
        fingerprint: u64,
        idempotent: bool,
        left_ms: u64,
        /// Another host that reaches no target passed the request on.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        relayed: bool,
        route: Arc<str>,
        service: ServiceId,
        /// The team on whose behalf the request runs.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        team: Option<TeamId>,
    },
    /// A target's entry was removed.
    TargetGone { source: Source, store_version: u64, target: TargetId },
    /// A target's entry expired while the store was unreachable; the target stays in use for a
    /// grace period.
    TargetKept { for_ms: u64, target: TargetId },
    /// A target's entry was added or changed.
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
    /// A target said in a response that it leaves.
    TargetLeaving { target: TargetId },
    /// This host knows of another limit of a target for the requests of all hosts together, or of
    /// none any more.
    TargetLimited {
        /// Requests per second; `None` if the limit has ended.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        per_second: Option<f32>,
        #[serde(default)]
        source: LimitSource,
        target: TargetId,
    },
    /// A target is paused: it gets no requests for `pause_ms`.
    TargetPaused { failures: u32, pause_ms: u64, reason: PauseReason, target: TargetId },
    /// A target refused a request and takes none of this host for `rest_ms`.
    TargetResting { rest_ms: u64, target: TargetId },
    /// A paused target answered and is in use again.
    TargetTrusted { target: TargetId },
    /// This host has known no target for `for_ms` and lists those in the store.
    TargetsMissing { for_ms: u64 },
    /// This host reaches targets again, after it had reached none.
    TargetsReachable {
        /// Time since it was found to reach none.
        after_ms: u64,
    },
    /// This host reaches no target: all of its links to them are cut, or all are down.
    TargetsUnreachable {
        /// Number of targets with failed connections.
        failed: usize,
        /// Number of targets that were probed then, all without success.
        probed: usize,
        /// Time since the first failure.
        since_ms: u64,
    },
    /// A target's response had a header that the platform defines but this release does not know.
    /// Logged once for each name.
    UnknownHeader { name: Arc<str>, target: TargetId, value: Arc<str> },
    /// This host began to watch the store.
    WatchBegun { reason: WatchReason },
    /// This host stopped watching the store and relies on other hosts.
    WatchEnded,
    /// A zone was evacuated: its targets get no requests.
    ZoneEvacuated { source: Source, store_version: u64, zone: ZoneId },
    /// The evacuation of a zone was undone; its targets count as cold at first.
    ZoneTakenBack { source: Source, store_version: u64, zone: ZoneId },
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum End {
    /// Success within the objective.
    Served,
    /// Success after the objective.
    Late,
    /// The target's response reports a failure.
    TargetFailed,
    /// Refused; the request was not run.
    Refused,
    /// Failed; the request may have been run.
    Failed,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptEnd {
    Answered,
    Cancelled,
    /// The target reported a failure.
    Failed,
    /// The response was lost; the request may have been run.
    Lost,
    /// The target was overloaded and did not run it.
    Shed,
    Unreachable,
    /// The request was not sent: the target limited its requests, asked for a rest or said that it
    /// leaves after the request was placed.
    Withheld,
    /// The address belongs to another target.
    WrongTarget,
}

/// Why a request was sent to a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptReason {
    First,
    /// The previous attempt is slow.
    Hedge,
    /// The previous attempt failed or was not run.
    Retry,
}

/// Whether an optional part is in use, and why.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartNote {
    pub is_on: bool,
    pub reason: Arc<str>,
}

/// Why a target is paused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PauseReason {
    /// Consecutive failures.
    Failing,
    Unreachable,
}

/// From what a host knows of a target's limit, or that there is none.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LimitSource {
    /// A signed response of the target to the request that was sent.
    #[default]
    Response,
    /// A response that lacks the target's signature or belongs to another request.
    UnmatchedResponse,
    /// A report of another host.
    Report,
}

/// Outcome of an attempt to have another host serve a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RelayEnd {
    /// It passed on the response of a target.
    Answered,
    Cancelled,
    /// Its response was lost; the request may have been run.
    Lost,
    /// It answered by itself.
    Refused,
    Unreachable,
}

/// Outcome of a settings reload.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReloadEnd {
    InForce,
    /// The new settings are invalid; the old ones stay in force.
    Refused,
    Unchanged,
}

/// Where the information came from.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// Another host.
    Host,
    /// A listing of the store.
    Listing,
    /// A watch on the store.
    Watch,
}

/// Why a host watches the store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WatchReason {
    /// It was elected as one of its region's watchers.
    Elected,
    /// Hosts with newer data do not answer queries.
    Unanswered,
}

/// What a connection to a target or host carried for one request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConnectionUse {
    /// Number of the connection in this process, from 1.
    pub number: u64,
    /// Number of the request on the connection, from 1.
    pub request: u64,
    /// Bytes of the request that were written.
    pub written: u64,
}

fn is_false(value: &bool) -> bool {
    !value
}
