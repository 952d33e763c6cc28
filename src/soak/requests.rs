//! Requests on their way: host to host, host to target, and back.

use std::net::IpAddr;

use bytes::Bytes;
use rand::Rng;

use super::{
    FaultKind,
    checker::Promise,
    fixture::{
        ATTEMPT_TIMEOUT, BOOKINGS, MEMBER, READS, RIVAL, SLOTS, client, host_number,
        region_of_zone, target_id, target_number, zone_of_host, zone_of_target,
    },
    host::CallInfo,
    message::{Copy, Intent, Item, Origin, Place, Process, Told},
    target::Work,
    world::World,
};
use crate::{
    ledger::{KeptAnswer, request_digest},
    manifest::DrainScope,
    prelude::*,
    quarantine::fingerprint,
    routing::{Action, Answer, Arrival, AttemptId, CallId, Event, Outcome},
    selection::LoadReport,
};

/// Until a retired target must be left alone everywhere.
const RETIRED_AFTER: Duration = Duration::from_secs(19);
/// One in so many answers does not reach its caller.
const LOST_ANSWERS: u32 = 30;
const LATENCY: Duration = Duration::from_millis(40);
/// After trouble, owners of targets may differ for a lease and a suspicion; then they agree.
const OWNERS_AGREE_AFTER: Duration = Duration::from_secs(12);

impl World {
    pub(super) fn arrive(&mut self, copy: Copy, host: usize, origin: Origin) {
        let open = self.hosts[host].running.as_ref().is_some_and(|running| !running.closed);
        if !open {
            return self.break_off(host, origin, false);
        }
        let now = self.now;
        let caller = self.callers[copy.intent].clone();
        let Some(running) = self.hosts[host].running.as_mut() else { return };
        let call = running.next_call;
        running.next_call += 1;
        let arrival = arrival(call, &copy, &caller, running.local(now));
        running.calls.insert(call, CallInfo { copy, origin });
        self.steer(host, Event::Arrived(arrival));
    }

    pub(super) fn cancel(&mut self, host: usize, origin: Origin) {
        let Some(running) = self.hosts[host].running.as_ref() else { return };
        let call = running.calls.iter().find(|(_, info)| info.origin == origin);
        let Some(call) = call.map(|(call, _)| *call) else { return };
        self.steer(host, Event::Cancelled { call });
    }

    /// Gives the decisions of a host one event and carries out what they say.
    pub(super) fn steer(&mut self, host: usize, event: Event) {
        let now = self.now;
        let Some(running) = self.hosts[host].running.as_mut() else { return };
        let local = running.local(now);
        let actions = running.steer.handle(event, local, &mut running.rng);
        self.checker.check(Promise::Invariant, true, String::new);
        for action in actions {
            self.act(host, action);
        }
    }

    fn act(&mut self, host: usize, action: Action) {
        match action {
            Action::Answer { answer, call } => self.answer(host, call, answer),
            Action::Cancel { attempt } => {
                let Some(running) = self.hosts[host].running.as_mut() else { return };
                let flight = running.flights.remove(&attempt);
                let process = running.id;
                if let Some(to) = flight.flatten() {
                    self.cancel_at(process, attempt, to);
                }
            }
            Action::Dispatch { attempt, call, target, timeout, .. } => {
                self.dispatch(host, call, attempt, &target, timeout);
            }
            Action::Forward { attempt, call, host: to, timeout, via, .. } => {
                let Some(running) = self.hosts[host].running.as_mut() else { return };
                let Some(info) = running.calls.get(&call) else { return };
                let copy = Copy { deadline: timeout, via, ..info.copy.clone() };
                self.forward(host, host_number(&to), attempt, copy, timeout);
            }
            Action::Note { kind, request } => self.note(host, &kind, request.as_ref()),
        }
    }

    fn forward(
        &mut self,
        host: usize,
        to: usize,
        attempt: AttemptId,
        copy: Copy,
        timeout: Duration,
    ) {
        let Some(running) = self.hosts[host].running.as_mut() else { return };
        running.flights.insert(attempt, Some(to));
        let process = running.id;
        let origin = Origin::Host { attempt, process };
        if self.is_cut(Place::Host(host), Place::Host(to)) {
            return self.fail(process, attempt, ErrorKind::ConnectFailed, LATENCY * 10);
        }
        self.fail(process, attempt, ErrorKind::DispatchTimeout, timeout);
        let item = Item::Arrive { copy, host: to, origin };
        if self.rng.random_ratio(1, 60) {
            let late = Duration::from_millis(self.rng.random_range(500..4_000));
            return self.push(late, item);
        }
        self.send_to(Place::Host(host), Place::Host(to), item);
    }

    fn dispatch(
        &mut self,
        host: usize,
        call: CallId,
        attempt: AttemptId,
        target: &TargetId,
        timeout: Duration,
    ) {
        self.check_dispatch(host, target);
        let Some(running) = self.hosts[host].running.as_mut() else { return };
        let Some(info) = running.calls.get(&call) else { return };
        let (by, copy) = (running.id, info.copy.clone());
        running.flights.insert(attempt, None);
        let target = target_number(target);
        let item = Item::AtTarget { attempt, by, copy, target };
        self.fail(by, attempt, ErrorKind::DispatchTimeout, timeout.min(ATTEMPT_TIMEOUT));
        self.send_to(Place::Host(host), Place::Zone(zone_of_target(target)), item);
    }

    fn check_dispatch(&mut self, host: usize, target: &TargetId) {
        let now = self.now;
        let quiet = self.is_quiet(host, RETIRED_AFTER);
        let settled = self.platform.accepted_at + RETIRED_AFTER < now;
        let retired = self.platform.drained().is_some_and(|drained| target_id(drained) == *target);
        let Some(running) = self.hosts[host].running.as_ref() else { return };
        let right = running.keeper.tenure(running.local(now));
        let held = running.local(now) < right.valid_until;
        let scope = DrainScope::Target(target.clone());
        let knows =
            running.store.current().is_some_and(|(manifest, _)| manifest.drains.contains(&scope));
        self.checker.check(Promise::RightHeld, held, || {
            format!("host {host} sent to {target} after its right had run out")
        });
        let idle = !(knows || retired && settled && quiet);
        self.checker.check(Promise::RetiredTargetIdle, idle, || {
            format!("host {host} sent new work to {target}, which is retired")
        });
    }

    pub(super) fn fail(
        &mut self,
        process: Process,
        attempt: AttemptId,
        error: ErrorKind,
        after: Duration,
    ) {
        let outcome = Outcome::Failed { error, latency: after, passed: false };
        self.push(after, Item::Ended { attempt, body: None, outcome, process });
    }

    pub(super) fn ended(
        &mut self,
        process: Process,
        attempt: AttemptId,
        outcome: Outcome,
        body: Option<Intent>,
    ) {
        let Some(running) = self.running(process) else { return };
        let Some(flight) = running.flights.remove(&attempt) else { return };
        running.passing = body;
        let timed_out = matches!(
            &outcome,
            Outcome::Failed { error: ErrorKind::DispatchTimeout, .. } if body.is_none()
        );
        if let Some(to) = flight.filter(|_| timed_out) {
            self.cancel_at(process, attempt, to);
        }
        self.steer(process.host, Event::Ended { attempt, outcome });
    }

    fn cancel_at(&mut self, process: Process, attempt: AttemptId, to: usize) {
        let origin = Origin::Host { attempt, process };
        let cancel = Item::Cancel { host: to, origin };
        self.send_to(Place::Host(process.host), Place::Host(to), cancel);
    }

    fn answer(&mut self, host: usize, call: CallId, answer: Answer) {
        let Some(running) = self.hosts[host].running.as_mut() else { return };
        let Some(info) = running.calls.remove(&call) else { return };
        let body = match &answer {
            Answer::Error { .. } => None,
            Answer::Kept { kept } => {
                std::str::from_utf8(&kept.body).ok().and_then(|text| text.parse().ok())
            }
            Answer::Pass => running.passing,
        };
        match info.origin {
            Origin::Caller { intent, send } => {
                // The host has answered and the caller does not know: what it sends next may find
                // the host gone, and a successor that has to know what became of the request.
                if self.rng.random_ratio(1, LOST_ANSWERS) {
                    return self.lose_answer(host, info.origin);
                }
                let told = Told::Answer(answer, body);
                let to = Place::Caller { region: self.callers[intent].region };
                self.send_to(Place::Host(host), to, Item::Told { intent, send, told });
            }
            Origin::Host { attempt, process } => {
                let outcome = outcome_of(&answer, body, self.callers[info.copy.intent].booking);
                let item = Item::Ended { attempt, body, outcome, process };
                self.send_to(Place::Host(host), Place::Host(process.host), item);
            }
        }
    }

    /// The caller's connection breaks under the answer, or stays silent until the caller hangs up.
    fn lose_answer(&mut self, host: usize, origin: Origin) {
        if self.rng.random_bool(0.5) {
            self.break_off(host, origin, true);
        }
    }

    /// The connection over which a call came breaks, or is refused.
    pub(super) fn break_off(&mut self, host: usize, origin: Origin, sent: bool) {
        match origin {
            Origin::Caller { intent, send } => {
                let to = Place::Caller { region: self.callers[intent].region };
                let told = Told::Nothing;
                self.send_to(Place::Host(host), to, Item::Told { intent, send, told });
            }
            Origin::Host { attempt, process } => {
                let error = if sent { ErrorKind::DispatchLost } else { ErrorKind::ConnectFailed };
                self.fail(process, attempt, error, LATENCY);
            }
        }
    }

    pub(super) fn at_target(&mut self, copy: Copy, attempt: AttemptId, by: Process, target: usize) {
        let now = self.now;
        if now < self.targets[target].dead_until {
            return self.fail(by, attempt, ErrorKind::ConnectFailed, LATENCY);
        }
        let full = self.targets[target].is_full();
        if self.all_quiet(OWNERS_AGREE_AFTER) {
            self.checker.check(Promise::NoOverload, !full, || {
                format!("target {} got more than its {SLOTS} slots", target_id(target))
            });
        }
        if full {
            return self.fail(by, attempt, ErrorKind::Shed, LATENCY / 10);
        }
        let caller = self.callers[copy.intent].clone();
        self.checker.check(Promise::MemberKept, !caller.rival, || {
            format!("a rival's request {} ran at {}", copy.intent, target_id(target))
        });
        let zone = zone_of_target(target);
        if let Some(pair) = copy.binding.clone().zip(copy.key.clone()) {
            self.checker.ran(copy.intent, pair);
        }
        if region_of_zone(zone) != caller.region {
            self.checker.ran_away(caller.region, caller.booking, now);
        }
        let place = format!("runs at {}", target_id(target));
        self.line_of(by.host, Some(copy.intent), &place);
        if caller.poison {
            self.targets[target].start(Work { attempt, by, copy, crossed: false, lost: true });
            return self.crash_target(target);
        }
        let astray = self
            .active_faults()
            .any(|fault| fault.kind == FaultKind::AnswersAstray && fault.zone() == zone);
        let crossed = astray && self.rng.random_ratio(1, 4);
        let lost = self.rng.random_ratio(if astray { 20 } else { 1 }, 100);
        let late = astray && self.rng.random_ratio(1, 4);
        let most = if late { 4_000 } else { 90 };
        let takes = Duration::from_millis(self.rng.random_range(10..most));
        let work = self.targets[target].start(Work { attempt, by, copy, crossed, lost });
        self.push(takes, Item::TargetDone { target, work });
    }

    pub(super) fn target_done(&mut self, target: usize, work: u64) {
        let Some(work) = self.targets[target].running.remove(&work) else { return };
        let (attempt, process) = (work.attempt, work.by);
        if work.lost {
            return self.fail(process, attempt, ErrorKind::DispatchLost, Duration::ZERO);
        }
        if work.crossed {
            return self.fail(process, attempt, ErrorKind::AnswerBroken, Duration::ZERO);
        }
        let booking = self.callers[work.copy.intent].booking;
        let outcome = outcome_of(&Answer::Pass, Some(work.copy.intent), booking);
        let item = Item::Ended { attempt, body: Some(work.copy.intent), outcome, process };
        let from = Place::Zone(zone_of_target(target));
        self.send_to(from, Place::Host(process.host), item);
    }

    pub(super) fn crash_target(&mut self, target: usize) {
        let back = Duration::from_millis(1_500);
        let lost = self.targets[target].crash(self.now + back);
        for work in lost {
            self.fail(work.by, work.attempt, ErrorKind::DispatchLost, LATENCY / 10);
        }
        for host in 0..self.hosts.len() {
            if zone_of_host(host) == zone_of_target(target) {
                self.trouble(host, back);
            }
        }
        self.push(back, Item::TargetBack { target });
    }

    pub(super) fn target_back(&mut self, target: usize) {
        self.digest(&format!("{} is back", target_id(target)));
    }

    /// The target's load report reaches the hosts of its zone.
    pub(super) fn report(&mut self, target: usize) {
        self.push(Duration::from_secs(1), Item::Report { target });
        let running = self.targets[target].running.len() as u32;
        let misled = self.is_active(FaultKind::MeasurementsStopped);
        if misled && self.rng.random_ratio(3, 4) {
            return;
        }
        let busy = if misled { self.rng.random_range(0..=SLOTS) } else { running };
        let zone = zone_of_target(target);
        for host in (0..self.hosts.len()).filter(|host| zone_of_host(*host) == zone) {
            if self.now < self.hosts[host].paused_until {
                continue;
            }
            let report = LoadReport { busy, draining: false, slots: SLOTS };
            self.steer(host, Event::Reported { report, target: target_id(target) });
        }
    }
}

fn arrival(call: CallId, copy: &Copy, caller: &super::callers::Caller, local: Moment) -> Arrival {
    let member: MemberId = if caller.rival { RIVAL } else { MEMBER }.into();
    let service: ServiceId = if caller.booking { BOOKINGS } else { READS }.into();
    let body = copy.intent.to_string();
    let client: IpAddr = client(caller.region);
    Arrival {
        binding: copy.binding.clone(),
        body_len: body.len() as u64,
        call,
        client,
        deadline: local + copy.deadline,
        digest: request_digest("POST", "/", body.as_bytes()),
        fingerprint: fingerprint(&member, &service, "POST", "/", body.as_bytes()),
        key: copy.key.clone(),
        member,
        request: body.as_str().into(),
        service,
        via: copy.via,
    }
}

fn outcome_of(answer: &Answer, body: Option<Intent>, booking: bool) -> Outcome {
    if let Answer::Error { error, .. } = answer {
        return Outcome::Refused { error: *error, latency: LATENCY };
    }
    let body = body.map(|intent| intent.to_string()).unwrap_or_default();
    let kept = KeptAnswer { body: Bytes::from(body), headers: Vec::new(), status: 200 };
    let kept = booking.then(|| Arc::new(kept));
    Outcome::Answered { kept, latency: LATENCY, status: 200 }
}
