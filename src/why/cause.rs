//! Determines from the log lines of a request its outcome, the cause, and the contributing limits
//! and events.

use super::HistoryEntry;
use crate::{
    event_log::{AttemptEnd, ConnectionUse, End, Event, PauseReason, RelayEnd},
    prelude::*,
};

/// Outcome of a request, as far as it was logged.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    CallerLeft,
    Failed,
    Late,
    NotFound,
    Refused,
    Served,
    TargetFailed,
    /// No final line was found: the host stopped, or the line was dropped.
    Unfinished,
}

/// The outcome of a request and its explanation.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Cause {
    pub verdict: Verdict,
    /// One sentence that describes the outcome.
    pub what: String,
    /// The limits and events that contributed to it, one sentence each.
    pub behind: Vec<String>,
}

impl Cause {
    fn new(verdict: Verdict, what: impl Into<String>) -> Self {
        Self { verdict, what: what.into(), behind: Vec::new() }
    }

    fn behind(mut self, reasons: impl IntoIterator<Item = String>) -> Self {
        self.behind.extend(reasons);
        self
    }
}

/// Determines the cause from the last final line of the request, since it may have reached several
/// hosts and each logs one.
pub fn determine(lines: &[HistoryEntry], dropped: &BTreeMap<Arc<str>, u64>) -> Cause {
    let request: Vec<&Event> =
        lines.iter().filter(|entry| entry.is_request).map(|entry| &entry.line.event).collect();
    let Some(first) = request.first() else { return not_found(dropped) };
    let ends = |event: &&&Event| {
        matches!(event, Event::Answered { .. } | Event::Refused { .. } | Event::CallerLeft { .. })
    };
    let broken = request.iter().find(|event| matches!(event, Event::StreamBroken { .. }));
    if let Some(Event::StreamBroken { reason, target, .. }) = broken {
        let what = format!("the response of {target} broke off: {reason}");
        return Cause::new(Verdict::Failed, what).behind(target_changes(lines, target));
    }
    match request.iter().rfind(ends) {
        Some(Event::Refused { error, status, team, .. }) => {
            let team = team.iter().map(|team| format!("requested by team {team}"));
            Cause::new(Verdict::Refused, format!("refused with status {status}: {error}"))
                .behind(team)
        }
        Some(Event::CallerLeft { sent, took_ms, .. }) => {
            let what = format!("the caller closed its connection after {took_ms} ms");
            Cause::new(Verdict::CallerLeft, what)
                .behind([format!("attempts sent before that: {sent}")])
        }
        Some(answered @ Event::Answered { .. }) => answer_cause(answered, &request, lines),
        _ => unfinished(first, lines, dropped),
    }
}

fn not_found(dropped: &BTreeMap<Arc<str>, u64>) -> Cause {
    let what = "the logs contain no line of this request: it did not reach these hosts, or the \
                logs cover another time";
    let lost: u64 = dropped.values().sum();
    let reasons =
        (0 < lost).then(|| format!("{lost} lines were dropped; the request may be among them"));
    Cause::new(Verdict::NotFound, what).behind(reasons)
}

fn unfinished(first: &Event, lines: &[HistoryEntry], dropped: &BTreeMap<Arc<str>, u64>) -> Cause {
    let what =
        format!("the request has no final line; its first event is `{}`", first.kind().name());
    let stop = lines.iter().filter(|entry| !entry.is_request).find_map(|entry| {
        let at = entry.after_ms;
        match &entry.line.event {
            Event::Stopping { .. } if 0 <= at => {
                Some(format!("the host began to stop {at} ms after the first line"))
            }
            Event::Started { .. } if 0 <= at => {
                Some(format!("the host restarted {at} ms after the first line: it was killed"))
            }
            _ => None,
        }
    });
    let lost: u64 = dropped.values().sum();
    let lost = (0 < lost).then(|| format!("{lost} lines were dropped during the request"));
    Cause::new(Verdict::Unfinished, what).behind(stop.into_iter().chain(lost))
}

fn answer_cause(answered: &Event, request: &[&Event], lines: &[HistoryEntry]) -> Cause {
    let Event::Answered { end, error, objective_ms, ran, sent, status, target, took_ms, .. } =
        answered
    else {
        return Cause::new(Verdict::Unfinished, "no answer");
    };
    let by = target.as_ref().map_or_else(|| "the host".to_owned(), |target| target.to_string());
    match end {
        End::Served => Cause::new(
            Verdict::Served,
            format!(
                "{by} answered {status} after {took_ms} ms, within the objective of \
                 {objective_ms} ms"
            ),
        ),
        End::Late => {
            let what = format!(
                "{by} answered {status} after {took_ms} ms, later than the objective of \
                 {objective_ms} ms"
            );
            Cause::new(Verdict::Late, what).behind(latency_reasons(request, lines))
        }
        End::TargetFailed => {
            let what = format!("{by} answered {status}; the host passed the response on");
            Cause::new(Verdict::TargetFailed, what).behind(attempt_failures(request, lines))
        }
        End::Refused => {
            let why = error.map_or_else(String::new, |error| format!(": {error}"));
            let what = format!("not run, refused with status {status} after {took_ms} ms{why}");
            Cause::new(Verdict::Refused, what)
                .behind(placement_failures(request))
                .behind(attempt_failures(request, lines))
                .behind(capacity_changes(lines))
        }
        End::Failed => {
            let why = error.map_or_else(String::new, |error| format!(": {error}"));
            let what = format!(
                "failed with status {status} after {took_ms} ms and {sent} attempts; whether it \
                 ran: {ran}{why}"
            );
            Cause::new(Verdict::Failed, what).behind(attempt_failures(request, lines))
        }
    }
}

/// Why no target could take the request.
fn placement_failures(request: &[&Event]) -> Vec<String> {
    let reasons = request.iter().filter_map(|event| match event {
        Event::NotPlaced {
            candidates,
            cold,
            crowded,
            expected_ms,
            free_elsewhere,
            limit_ms,
            rationed,
            region,
            shut,
            view_age_ms,
            ..
        } => {
            let crowded = match (crowded, expected_ms) {
                (Some(target), Some(expected)) => format!(
                    "the best target {target} was expected to respond after {expected} ms, which \
                     exceeds the limit of {limit_ms} ms"
                ),
                _ => format!("no target in {region} had a free slot"),
            };
            let rationed = match rationed {
                true => {
                    "; targets without the object were left out, since the region is short of slots \
                     and a first run takes several times as long"
                }
                false => "",
            };
            Some(format!(
                "{crowded}{rationed}; of {candidates} targets {shut} were unavailable (paused, full or at \
                 their cold rate limit) and {cold} were cold; {free_elsewhere} had a free slot in \
                 other regions, beyond what `max_shift` allows now; the load data of other hosts \
                 was {view_age_ms} ms old"
            ))
        }
        Event::RetryDenied { limit, sent, .. } => {
            Some(format!("no further attempt after {sent}: limit `{limit}`"))
        }
        _ => None,
    });
    reasons.collect()
}

/// Failed and cancelled attempts, with the state changes of their targets.
fn attempt_failures(request: &[&Event], lines: &[HistoryEntry]) -> Vec<String> {
    let mut reasons = Vec::new();
    for event in request {
        match event {
            Event::AttemptEnded {
                connect_ms,
                connection,
                detail,
                dispatch_ms,
                end,
                response_to,
                target,
                took_ms,
                ..
            } => {
                let end = match end {
                    AttemptEnd::Answered => continue,
                    AttemptEnd::Cancelled => {
                        reasons.push(describe_cancelled_attempt(
                            request,
                            target,
                            *took_ms,
                            *connect_ms,
                        ));
                        continue;
                    }
                    AttemptEnd::Failed => "reported a failure",
                    AttemptEnd::Lost => "lost the connection after the request was sent",
                    AttemptEnd::Shed => "was overloaded",
                    AttemptEnd::Unreachable => "was unreachable",
                    AttemptEnd::Withheld => "took no more requests",
                    AttemptEnd::WrongTarget => "is no longer at its address",
                };
                let other = describe_other_response(response_to.as_deref());
                let carried = describe_use(connection.as_ref(), *dispatch_ms);
                reasons
                    .push(format!("{target} {end} after {took_ms} ms: {detail}{other}{carried}"));
                reasons.extend(target_changes(lines, target));
            }
            Event::RelayEnded { connection, detail, end, response_to, to, took_ms, .. }
                if *end != RelayEnd::Answered =>
            {
                let end: &str = end.into();
                let other = describe_other_response(response_to.as_deref());
                let carried = describe_use(connection.as_ref(), None);
                reasons.push(format!(
                    "this host reached no target; {to} was asked: {end} after {took_ms} ms: \
                     {detail}{other}{carried}"
                ));
            }
            Event::RetryDenied { limit, sent, .. } => {
                reasons.push(format!("no further attempt after {sent}: limit `{limit}`"));
            }
            _ => {}
        }
    }
    let mut seen = std::collections::BTreeSet::new();
    reasons.retain(|reason| seen.insert(reason.clone()));
    reasons
}

fn describe_other_response(response_to: Option<&str>) -> String {
    match response_to {
        None => String::new(),
        Some("") => ", by a response that names no request".to_owned(),
        Some(id) => format!(", by a response to {id}"),
    }
}

/// What was written of a request, on which connection and when.
fn describe_use(connection: Option<&ConnectionUse>, dispatch_ms: Option<u64>) -> String {
    let Some(ConnectionUse { number, request, written }) = connection else {
        return String::new();
    };
    let at = dispatch_ms.map_or_else(String::new, |at| format!(" at {at} ms"));
    format!("; dispatched{at} as request {request} on connection {number}, {written} bytes written")
}

/// Describes an attempt that was cancelled: the deadline passed, or another attempt was faster.
fn describe_cancelled_attempt(
    request: &[&Event],
    of: &TargetId,
    took_ms: u64,
    connect_ms: Option<u64>,
) -> String {
    let sent = request.iter().find_map(|event| match event {
        Event::Sent { cold, expected_ms, left_ms, load, region, slots, target, .. }
            if target == of =>
        {
            let cold = if *cold { ", cold" } else { "" };
            Some(format!(
                " in {region}{cold}; response expected after {expected_ms} ms with {left_ms} ms \
                 left, {load} requests on {slots} slots"
            ))
        }
        _ => None,
    });
    let connect = connect_ms
        .map_or_else(String::new, |took| format!("; of these, connecting took {took} ms"));
    let sent = sent.unwrap_or_default();
    format!("{of} had not answered after {took_ms} ms{sent}{connect}")
}

/// Why a successful response was late.
fn latency_reasons(request: &[&Event], lines: &[HistoryEntry]) -> Vec<String> {
    let mut reasons = attempt_failures(request, lines);
    for event in request {
        match event {
            Event::Sent {
                cold,
                expected_ms,
                knows_percent,
                load,
                reason,
                region,
                slots,
                target,
                ..
            } => {
                let cold = if *cold { ", cold" } else { "" };
                let reason = serde_json::to_value(reason).unwrap_or_default();
                let reason = reason.as_str().unwrap_or_default().to_owned();
                reasons.push(format!(
                    "{reason}: {target} in {region}{cold}, {load} requests on {slots} slots, \
                     response expected after {expected_ms} ms, {knows_percent} % probability that \
                     it has the object cached"
                ));
            }
            Event::AttemptEnded {
                connect_ms,
                end: AttemptEnd::Answered,
                first_byte_ms,
                target,
                ..
            } => {
                let connect = connect_ms.map_or("none".to_owned(), |took| format!("{took} ms"));
                let first = first_byte_ms.map_or("none".to_owned(), |took| format!("{took} ms"));
                reasons.push(format!("{target}: new connection {connect}, first byte {first}"));
            }
            _ => {}
        }
    }
    reasons
}

/// State changes of a target around the time of the request.
fn target_changes(lines: &[HistoryEntry], of: &TargetId) -> Vec<String> {
    let reasons = lines.iter().filter(|entry| !entry.is_request).filter_map(|entry| {
        let at = entry.after_ms;
        match &entry.line.event {
            Event::TargetGone { target, .. } if target == of => {
                Some(format!("the entry of {target} was removed at {at} ms"))
            }
            Event::TargetLeaving { target } if target == of => {
                Some(format!("{target} said at {at} ms that it leaves"))
            }
            Event::TargetLimited { per_second: Some(limit), target, .. } if target == of => {
                Some(format!("{target} limited its requests to {limit} a second at {at} ms"))
            }
            Event::TargetResting { rest_ms, target } if target == of => {
                Some(format!("{target} asked for a rest of {rest_ms} ms at {at} ms"))
            }
            Event::TargetPaused { failures, reason, target, .. } if target == of => {
                let why = match reason {
                    PauseReason::Failing => "after consecutive failures",
                    PauseReason::Unreachable => "unreachable at its address",
                };
                Some(format!("{target} was paused at {at} ms, {why} (failures: {failures})"))
            }
            Event::TargetKnown { ready: false, target, .. } if target == of => {
                Some(format!("{target} was draining as of {at} ms"))
            }
            Event::CrashCounted { crashes, target, .. } if target == of => Some(format!(
                "{target} crashed at {at} ms while running requests (crash {crashes} of \
                 one of them)"
            )),
            _ => None,
        }
    });
    reasons.collect()
}

/// State changes before the request that reduced the number of usable targets.
fn capacity_changes(lines: &[HistoryEntry]) -> Vec<String> {
    let reasons = lines.iter().filter(|entry| !entry.is_request && entry.after_ms <= 0);
    let reasons = reasons.filter_map(|entry| {
        let at = entry.after_ms;
        match &entry.line.event {
            Event::ZoneEvacuated { zone, .. } => Some(format!("{zone} was evacuated at {at} ms")),
            Event::ZoneTakenBack { zone, .. } => Some(format!(
                "the evacuation of {zone} was undone at {at} ms; its targets are cold at first"
            )),
            Event::StoreLost { reason, .. } => {
                Some(format!("the store stopped answering at {at} ms: {reason}"))
            }
            _ => None,
        }
    });
    reasons.collect()
}
