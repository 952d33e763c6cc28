//! What a request's lines come to: the verdict, the cause, and the setting or event behind it.

use super::HistoryLine;
use crate::{
    event_log::{AttemptEnd, End, Event, PauseReason},
    prelude::*,
};

/// How the request ended, as far as the logs tell.
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
    /// It has no last line: the host ended, or the line was dropped.
    Unfinished,
}

/// The cause, in a sentence each.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Cause {
    pub verdict: Verdict,
    pub what: String,
    /// The settings, limits or events behind it.
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

/// Names the cause. The last line of the request decides, since each host's part ends with one.
pub fn determine(lines: &[HistoryLine], dropped: &BTreeMap<Arc<str>, u64>) -> Cause {
    let request: Vec<&Event> =
        lines.iter().filter(|told| told.is_request).map(|told| &told.line.event).collect();
    let Some(first) = request.first() else { return not_found_cause(dropped) };
    let ends = |event: &&&Event| {
        matches!(event, Event::Answered { .. } | Event::Refused { .. } | Event::CallerLeft { .. })
    };
    let broken = request.iter().find(|event| matches!(event, Event::StreamBroken { .. }));
    if let Some(Event::StreamBroken { reason, target, .. }) = broken {
        let what = format!("the answer of {target} broke off on its way: {reason}");
        return Cause::new(Verdict::Failed, what).behind(target_changes(lines, target));
    }
    match request.iter().rfind(ends) {
        Some(Event::Refused { error, status, team, .. }) => {
            let team = team.iter().map(|team| format!("made for team {team}"));
            Cause::new(Verdict::Refused, format!("refused with {status}, {error}")).behind(team)
        }
        Some(Event::CallerLeft { sent, took_ms, .. }) => {
            let what = format!("the caller closed its connection after {took_ms} ms");
            Cause::new(Verdict::CallerLeft, what).behind([format!("attempts by then: {sent}")])
        }
        Some(answered @ Event::Answered { .. }) => answer_cause(answered, &request, lines),
        _ => unfinished_cause(first, lines, dropped),
    }
}

fn not_found_cause(dropped: &BTreeMap<Arc<str>, u64>) -> Cause {
    let what = "no line of these logs names the request: it reached none of these hosts, or came \
                at another time";
    let lost: u64 = dropped.values().sum();
    let reasons = (0 < lost).then(|| format!("{lost} lines were dropped; it may be among them"));
    Cause::new(Verdict::NotFound, what).behind(reasons)
}

fn unfinished_cause(
    first: &Event,
    lines: &[HistoryLine],
    dropped: &BTreeMap<Arc<str>, u64>,
) -> Cause {
    let what =
        format!("the story ends without an answer; it begins with `{}`", first.kind().name());
    let stop = lines.iter().filter(|told| !told.is_request).find_map(|told| {
        let at = told.after_ms;
        match &told.line.event {
            Event::Stopping { .. } if 0 <= at => Some(format!("the host stopped {at} ms later")),
            Event::Started { .. } if 0 <= at => {
                Some(format!("the host started anew {at} ms later: it was killed"))
            }
            _ => None,
        }
    });
    let lost: u64 = dropped.values().sum();
    let lost = (0 < lost).then(|| format!("{lost} lines were dropped meanwhile"));
    Cause::new(Verdict::Unfinished, what).behind(stop.into_iter().chain(lost))
}

fn answer_cause(answered: &Event, request: &[&Event], lines: &[HistoryLine]) -> Cause {
    let Event::Answered { end, error, objective_ms, ran, sent, status, target, took_ms, .. } =
        answered
    else {
        return Cause::new(Verdict::Unfinished, "no answer");
    };
    let by = target.as_ref().map_or_else(|| "the host".to_owned(), |target| target.to_string());
    match end {
        End::Served => Cause::new(
            Verdict::Served,
            format!("{by} answered {status} after {took_ms} ms, within {objective_ms} ms"),
        ),
        End::Late => {
            let what = format!(
                "{by} answered {status} after {took_ms} ms; the objective is {objective_ms} ms"
            );
            Cause::new(Verdict::Late, what).behind(latency_reasons(request, lines))
        }
        End::TargetFailed => {
            let what = format!("{by} itself answered {status}; the host passed it on");
            Cause::new(Verdict::TargetFailed, what).behind(attempt_failures(request, lines))
        }
        End::Refused => {
            let why = error.map_or_else(String::new, |error| format!(": {error}"));
            let what = format!("not run, refused with {status} after {took_ms} ms{why}");
            Cause::new(Verdict::Refused, what)
                .behind(placement_failures(request))
                .behind(attempt_failures(request, lines))
                .behind(capacity_changes(lines))
        }
        End::Failed => {
            let why = error.map_or_else(String::new, |error| format!(": {error}"));
            let what = format!(
                "{status} after {took_ms} ms and {sent} attempts; whether it ran: {ran}{why}"
            );
            Cause::new(Verdict::Failed, what).behind(attempt_failures(request, lines))
        }
    }
}

/// Why no target took it.
fn placement_failures(request: &[&Event]) -> Vec<String> {
    let told = request.iter().filter_map(|event| match event {
        Event::NotPlaced {
            candidates,
            cold,
            crowded,
            expected_ms,
            free_elsewhere,
            limit_ms,
            region,
            shut,
            view_age_ms,
            ..
        } => {
            let crowded = match (crowded, expected_ms) {
                (Some(target), Some(expected)) => format!(
                    "{target}, which knows the object, was expected to answer after {expected} ms, \
                     against {limit_ms} ms that an answer may take"
                ),
                _ => format!("no target in {region} had room"),
            };
            Some(format!(
                "{crowded}; of {candidates} targets {shut} took nothing (paused, full or at their \
                 cold rate; {cold} cold); {free_elsewhere} had a free slot in other regions, beyond \
                 what `max_shift` lets go there now; other hosts' load known {view_age_ms} ms ago"
            ))
        }
        Event::RetryDenied { limit, sent, .. } => {
            Some(format!("no further attempt after {sent}: limit `{limit}`"))
        }
        _ => None,
    });
    told.collect()
}

/// What went wrong at targets.
fn attempt_failures(request: &[&Event], lines: &[HistoryLine]) -> Vec<String> {
    let mut reasons = Vec::new();
    for event in request {
        match event {
            Event::AttemptEnded { connect_ms, detail, end, target, took_ms, .. } => {
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
                    AttemptEnd::Failed => "failed it",
                    AttemptEnd::Lost => "was lost after the request was sent",
                    AttemptEnd::Shed => "had no room",
                    AttemptEnd::Unreachable => "could not be reached",
                    AttemptEnd::WrongTarget => "is no longer at its address",
                };
                reasons.push(format!("{target} {end} after {took_ms} ms: {detail}"));
                reasons.extend(target_changes(lines, target));
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

/// An attempt that was given up: the caller's time was over, or another attempt was faster.
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
                " in {region}{cold}; expected after {expected_ms} ms of {left_ms} ms left, with \
                 {load} requests on {slots} slots"
            ))
        }
        _ => None,
    });
    let connect = connect_ms
        .map_or_else(String::new, |took| format!("; a new connection took {took} ms of it"));
    let sent = sent.unwrap_or_default();
    format!("{of} had not answered after {took_ms} ms{sent}{connect}")
}

/// Why a success was late.
fn latency_reasons(request: &[&Event], lines: &[HistoryLine]) -> Vec<String> {
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
                     answer expected after {expected_ms} ms, {knows_percent} % likely to know the \
                     object"
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

/// What the hosts believed of one target around then.
fn target_changes(lines: &[HistoryLine], of: &TargetId) -> Vec<String> {
    let told = lines.iter().filter(|told| !told.is_request).filter_map(|told| {
        let at = told.after_ms;
        match &told.line.event {
            Event::TargetGone { target, .. } if target == of => {
                Some(format!("{target}'s entry was gone at {at} ms"))
            }
            Event::TargetPaused { failures, reason, target, .. } if target == of => {
                let why = match reason {
                    PauseReason::Failing => "after failures in a row",
                    PauseReason::Unreachable => "nobody answered at its address",
                };
                Some(format!("{target} was paused at {at} ms, {why} ({failures})"))
            }
            Event::TargetKnown { ready: false, target, .. } if target == of => {
                Some(format!("{target} was draining from {at} ms on"))
            }
            Event::CrashCounted { crashes, target, .. } if target == of => Some(format!(
                "{target} went down at {at} ms under requests (crash {crashes} of one)"
            )),
            _ => None,
        }
    });
    told.collect()
}

/// Changes that left fewer targets than usual.
fn capacity_changes(lines: &[HistoryLine]) -> Vec<String> {
    let told = lines.iter().filter(|told| !told.is_request && told.after_ms <= 0);
    let told = told.filter_map(|told| {
        let at = told.after_ms;
        match &told.line.event {
            Event::ZoneEvacuated { zone, .. } => Some(format!("{zone} was evacuated at {at} ms")),
            Event::ZoneTakenBack { zone, .. } => {
                Some(format!("{zone} was taken back at {at} ms; its targets are cold at first"))
            }
            Event::StoreLost { reason, .. } => {
                Some(format!("the store was lost at {at} ms: {reason}"))
            }
            _ => None,
        }
    });
    told.collect()
}
