use std::{
    collections::BTreeSet,
    net::{IpAddr, Ipv4Addr},
};

use assert_matches::assert_matches;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{call::Destination, *};
use crate::{
    ledger::{KeptAnswer, request_digest},
    manifest::{DrainScope, Manifest, Region, Service, ServiceKind, Target, Weighing},
    prelude::*,
    quarantine::{QuarantineMark, QuarantineVerdict},
    selection::LoadReport,
    timeline::EventKind,
    view::{HostView, Tenure, View},
};

mod hedge;

const START: Moment = Duration::from_secs(100);

/// The only host of one zone, which owns two targets of each service with one slot each.
struct Host {
    calls: CallId,
    now: Moment,
    rng: ChaCha8Rng,
    router: Router,
}

impl Host {
    fn new() -> Self {
        let mut host = Self {
            calls: 0,
            now: START,
            rng: ChaCha8Rng::seed_from_u64(1),
            router: Router::new("a-1".into(), 1, RouterLimits::default()),
        };
        host.handle(Event::Tick);
        host.handle(Event::Viewed { view: Arc::new(view(START + Duration::from_secs(3600))) });
        for target in ["read-1", "read-2", "book-1", "book-2"] {
            host.advance(Duration::from_millis(1));
            let report = LoadReport { busy: 0, draining: false, slots: 1 };
            host.handle(Event::Reported { report, target: target.into() });
        }
        host
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        self.router.handle(event, self.now, &mut self.rng)
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
    }

    fn arrival(&mut self, service: &str) -> Arrival {
        self.calls += 1;
        Arrival {
            binding: None,
            body_len: 1,
            call: self.calls,
            client: IpAddr::V4(Ipv4Addr::LOCALHOST),
            deadline: self.now + Duration::from_secs(5),
            digest: request_digest("POST", "/", b"x"),
            fingerprint: u128::from(self.calls),
            key: None,
            member: "member".into(),
            request: format!("r-{}", self.calls).into(),
            service: service.into(),
            via: Via::Caller,
        }
    }

    fn booking(&mut self, key: &str) -> Arrival {
        let binding = Some(self.router.binding());
        Arrival { binding, key: Some(key.into()), ..self.arrival("book") }
    }

    /// Delivers the arrival and returns the attempt that it was dispatched as.
    fn dispatch(&mut self, arrival: Arrival) -> AttemptId {
        let actions = self.handle(Event::Arrived(arrival));
        dispatched_attempt(&actions).unwrap_or_else(|| panic!("not sent: {actions:?}"))
    }

    fn fail(&mut self, attempt: AttemptId, error: ErrorKind) -> Vec<Action> {
        let latency = Duration::from_millis(5);
        let outcome = Outcome::Failed { error, latency, passed: false };
        self.handle(Event::Ended { attempt, outcome })
    }

    fn interrupt(&mut self, attempt: AttemptId) -> Vec<Action> {
        let (error, latency) = (ErrorKind::AnswerBroken, Duration::from_millis(5));
        self.handle(Event::Ended { attempt, outcome: Outcome::Interrupted { error, latency } })
    }

    fn answer(&mut self, attempt: AttemptId) -> Vec<Action> {
        let kept = KeptAnswer { body: "ok".into(), headers: Vec::new(), status: 200 };
        let latency = Duration::from_millis(5);
        let outcome = Outcome::Answered { kept: Some(Arc::new(kept)), latency, status: 200 };
        self.handle(Event::Ended { attempt, outcome })
    }
}

fn view(valid_until: Moment) -> View {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let target = |name: &str| Target { address, name: name.into(), slots: 1, zone: "a".into() };
    let service = |name: &str, kind| Service {
        connections: 10,
        kind,
        max_body: 100,
        name: name.into(),
        shift_cap: 0.5,
        targets: vec![target(&format!("{name}-1")), target(&format!("{name}-2"))],
        timeout_ms: 1000,
    };
    let own = HostView {
        address,
        adopted: Vec::new(),
        generation: 0,
        id: "a-1".into(),
        incarnation: 1,
        leaving: false,
        region: "r".into(),
        rpc: address,
        zone: "a".into(),
    };
    View {
        baselines: Vec::new(),
        drains: BTreeSet::new(),
        hosts: vec![own.clone()],
        manifest: Arc::new(Manifest {
            client_blocks: Default::default(),
            drains: Vec::new(),
            member: "member".into(),
            regions: vec![Region { name: "r".into(), reserve: 0.0, zones: vec!["a".into()] }],
            sequence: 1,
            services: vec![
                service("read", ServiceKind::Read),
                service("book", ServiceKind::Booking),
            ],
            weighing: Weighing::Latency,
        }),
        own,
        silent_regions: BTreeSet::new(),
        tenure: Tenure { owners: vec!["a-1".into()], provisional: BTreeSet::new(), valid_until },
    }
}

fn dispatched_attempt(actions: &[Action]) -> Option<AttemptId> {
    actions.iter().find_map(|action| match action {
        Action::Dispatch { attempt, .. } => Some(*attempt),
        _ => None,
    })
}

fn error_answer(actions: &[Action]) -> Option<ErrorKind> {
    actions.iter().find_map(|action| match action {
        Action::Answer { answer: Answer::Error { error, .. }, .. } => Some(*error),
        _ => None,
    })
}

// A read may be sent to a second target after any failure, a booking only after one that proves
// that it did not run. A booking sent again after its first byte could run twice.
#[test]
fn bookings_are_retried_only_if_they_did_not_run() {
    let cases = [
        ("read", ErrorKind::ConnectFailed, true),
        ("read", ErrorKind::DispatchLost, true),
        ("read", ErrorKind::DispatchTimeout, true),
        ("book", ErrorKind::ConnectFailed, true),
        ("book", ErrorKind::Shed, true),
        ("book", ErrorKind::AnswerBroken, false),
        ("book", ErrorKind::DispatchLost, false),
        ("book", ErrorKind::DispatchTimeout, false),
    ];
    for (service, failure, again) in cases {
        let mut host = Host::new();
        let arrival = if service == "book" { host.booking("k") } else { host.arrival(service) };
        let first = host.dispatch(arrival);
        let actions = host.fail(first, failure);
        assert_eq!(dispatched_attempt(&actions).is_some(), again, "{service}, {failure:?}");
        if !again {
            assert_eq!(error_answer(&actions), Some(failure), "{service}");
        }
    }
}

// A file breaks off after its head. The rest is requested by one more attempt, at the other target,
// after the first slot is released. There is no such attempt past the deadline, with the other
// target drained, or after the caller has disconnected. The call is never reported as `not run`,
// since the caller holds a part of the answer.
#[test]
fn resuming_a_file_obeys_the_limits_of_any_attempt() {
    let mut host = Host::new();
    let file = host.arrival("read");
    let first = host.dispatch(file);
    let actions = host.interrupt(first);
    let second = dispatched_attempt(&actions).expect("the rest is asked for");
    assert_eq!(host.router.in_flight_by_target().iter().map(|busy| busy.requests).sum::<u32>(), 1);
    assert_eq!(
        error_answer(&host.fail(second, ErrorKind::ConnectFailed)),
        Some(ErrorKind::StreamCut)
    );
    assert_eq!(host.router.slot_usage()[0].busy, 0);

    let mut late = Host::new();
    let file = late.arrival("read");
    let first = late.dispatch(file);
    late.advance(Duration::from_secs(6));
    assert_eq!(error_answer(&late.interrupt(first)), Some(ErrorKind::StreamCut));

    let mut drained = Host::new();
    let file = drained.arrival("read");
    let first = drained.dispatch(file);
    let scopes = ["read-1", "read-2"].map(|target| DrainScope::Target(target.into()));
    let until = drained.now + Duration::from_secs(60);
    let view = View { drains: scopes.into(), ..view(until) };
    drained.handle(Event::Viewed { view: Arc::new(view) });
    let told = error_answer(&drained.interrupt(first)).map(|error| error.response().ran);
    assert_eq!(told, Some(Ran::Unknown));

    let mut left = Host::new();
    let file = left.arrival("read");
    let first = left.dispatch(file);
    let second = dispatched_attempt(&left.interrupt(first)).expect("the rest is asked for");
    let actions = left.handle(Event::Cancelled { call: 1 });
    assert!(actions.contains(&Action::Cancel { attempt: second }));
    assert_eq!(left.router.slot_usage()[0].busy, 0);
}

// Targets interrupt every file. Without the retry budget each file would be requested up to three
// times, and the load that caused the interruptions would grow by its own failures.
#[test]
fn resumptions_use_the_retry_budget() {
    let mut host = Host::new();
    let mut resumptions = 0;
    for _ in 0..20 {
        let file = host.arrival("read");
        let mut next = dispatched_attempt(&host.handle(Event::Arrived(file)));
        while let Some(running) = next {
            next = dispatched_attempt(&host.interrupt(running));
            resumptions += u32::from(next.is_some());
        }
    }
    assert!((1..=5).contains(&resumptions), "{resumptions}");
}

// A suspect read runs alone, crashes its target and is refused from then on. Its caller is told of
// the crash at once. If queued for another target, it would wait until its deadline and be reported
// as `not run`, though it ran.
#[test]
fn a_newly_quarantined_request_is_not_queued() {
    let mut host = Host::new();
    let read = host.arrival("read");
    let left = Duration::from_secs(50);
    let mark =
        QuarantineMark { fingerprint: read.fingerprint, left, verdict: QuarantineVerdict::Suspect };
    host.handle(Event::Marked { marks: vec![mark] });
    let attempt = host.dispatch(read.clone());
    assert_eq!(
        error_answer(&host.fail(attempt, ErrorKind::DispatchLost)),
        Some(ErrorKind::DispatchLost)
    );
    let verdict = host.router.mark(read.fingerprint, host.now).map(|mark| mark.verdict);
    assert_eq!(verdict, Some(QuarantineVerdict::Refused));
    let again = Arrival { call: 99, request: "again".into(), ..read };
    assert_eq!(error_answer(&host.handle(Event::Arrived(again))), Some(ErrorKind::Quarantined));
}

// A second copy of a booking arrives while the first one runs. It waits, and both callers get the
// same answer; a later third copy gets it from the ledger.
#[test]
fn copies_of_a_booking_share_one_run() {
    let mut host = Host::new();
    let first = host.booking("k");
    let attempt_id = host.dispatch(first);
    let second = host.booking("k");
    let actions = host.handle(Event::Arrived(second));
    assert_eq!((dispatched_attempt(&actions), error_answer(&actions)), (None, None));
    let actions = host.answer(attempt_id);
    let answers = actions.iter().filter(|action| matches!(action, Action::Answer { .. }));
    assert_eq!(answers.count(), 2);
    let third = host.booking("k");
    let actions = host.handle(Event::Arrived(third));
    assert_matches!(actions.as_slice(), [.., Action::Answer { answer: Answer::Kept { .. }, .. }]);
}

// The host was paused past the end of its lease on its targets. Another host may have filled their
// slots, so nothing is sent until the lease is renewed; then the queued requests are sent.
#[test]
fn nothing_is_sent_without_a_valid_lease() {
    let mut host = Host::new();
    host.handle(Event::Viewed { view: Arc::new(view(host.now + Duration::from_secs(4))) });
    host.advance(Duration::from_secs(4));
    let arrival = host.arrival("read");
    let actions = host.handle(Event::Arrived(arrival));
    assert_eq!((dispatched_attempt(&actions), error_answer(&actions)), (None, None));
    let actions =
        host.handle(Event::Viewed { view: Arc::new(view(host.now + Duration::from_secs(4))) });
    assert!(dispatched_attempt(&actions).is_some());
}

// The owner of a binding is unknown or unreachable, or a peer wrongly takes this host for the
// owner, which then doesn't forward the request. An earlier copy may have run, so the error must
// not say `not run`.
#[test]
fn a_missing_ledger_owner_is_never_reported_as_not_run() {
    let stranger = Binding { generation: 0, host: "a-2".into(), incarnation: 9 };
    for via in [Via::Caller, Via::LedgerHop] {
        let mut host = Host::new();
        let arrival = Arrival { binding: Some(stranger.clone()), via, ..host.booking("k") };
        let kind = error_answer(&host.handle(Event::Arrived(arrival)));
        assert_eq!(kind.map(|kind| kind.response().ran), Some(Ran::Unknown), "{via:?}");
    }
    let mut host = Host::new();
    let mut known = view(host.now + Duration::from_secs(4));
    let owner = HostView { id: "a-2".into(), incarnation: 9, ..known.own.clone() };
    known.hosts.push(owner);
    host.handle(Event::Viewed { view: Arc::new(known) });
    let arrival = Arrival { binding: Some(stranger), ..host.booking("k") };
    let sent_on = Arrival { call: 99, via: Via::LedgerHop, ..arrival.clone() };
    assert_eq!(error_answer(&host.handle(Event::Arrived(sent_on))), Some(ErrorKind::OwnerGone));
    let actions = host.handle(Event::Arrived(arrival));
    let hop = actions.iter().find_map(|action| match action {
        Action::Forward { attempt, via: Via::LedgerHop, .. } => Some(*attempt),
        _ => None,
    });
    let actions = host.fail(hop.expect("it is carried to the owner"), ErrorKind::ConnectFailed);
    assert_eq!(error_answer(&actions), Some(ErrorKind::OwnerUnreachable));
}

// A stopping host gets a new booking and a new read. Neither is sent; the booking's binding is
// closed permanently, so its caller may use another one. A running request still gets its answer.
#[test]
fn a_stopping_host_finishes_running_requests_and_refuses_new_ones() {
    let mut host = Host::new();
    let running = host.booking("k-1");
    let running = host.dispatch(running);
    host.handle(Event::Leave);
    let booking = host.booking("k-2");
    assert_eq!(error_answer(&host.handle(Event::Arrived(booking))), Some(ErrorKind::BindingClosed));
    let read = host.arrival("read");
    assert_eq!(error_answer(&host.handle(Event::Arrived(read))), Some(ErrorKind::HostLeaving));
    let actions = host.answer(running);
    let passed = Action::Answer { answer: Answer::Pass, call: 1 };
    assert!(actions.contains(&passed));
    assert_eq!(host.router.pending_calls(), 0);
}

// A booking arrives before the manifest that adds its service, or is larger than the manifest
// allows. Its ledger refuses the key permanently, so that `not run` stays true if an earlier copy
// arrives late, under a manifest that would allow it.
#[test]
fn a_booking_that_the_manifest_forbids_is_refused_permanently() {
    let mut host = Host::new();
    let known = host.router.view.clone().unwrap();
    let mut closed = Manifest::clone(&known.manifest);
    closed.services.retain(|service| &*service.name != "book");
    let without = View { manifest: Arc::new(closed), ..View::clone(&known) };
    host.handle(Event::Viewed { view: Arc::new(without) });
    let early = host.booking("k-1");
    assert_eq!(error_answer(&host.handle(Event::Arrived(early))), Some(ErrorKind::ServiceUnknown));
    host.handle(Event::Viewed { view: known });
    let large = Arrival { body_len: 101, ..host.booking("k-2") };
    assert_eq!(error_answer(&host.handle(Event::Arrived(large))), Some(ErrorKind::BodyTooLarge));
    for key in ["k-1", "k-2"] {
        let late = host.booking(key);
        let actions = host.handle(Event::Arrived(late));
        assert_eq!(
            (dispatched_attempt(&actions), error_answer(&actions)),
            (None, Some(ErrorKind::KeyRefused))
        );
    }
}

// Another host asks for a slot for a booking whose ledger entry it holds, and this host's manifest
// does not contain the service. The refusal concerns this attempt only and proves that it did not
// run; `unknown` would keep the holder of the entry from trying the next target.
#[test]
fn a_refused_slot_hop_proves_that_the_attempt_did_not_run() {
    let mut host = Host::new();
    let attempt = Arrival { service: "new".into(), via: Via::SlotHop, ..host.booking("k") };
    assert_eq!(
        error_answer(&host.handle(Event::Arrived(attempt))),
        Some(ErrorKind::ServiceUnknown)
    );
}

// A read with a superfluous key and a booking without its binding arrive, also at a host that has
// no manifest yet. Only a request that may be a booking gets an error that says that an earlier
// copy may have run.
#[test]
fn only_possible_bookings_are_answered_as_unknown() {
    let mut host = Host::new();
    let read = Arrival { key: Some("k".into()), deadline: host.now, ..host.arrival("read") };
    assert_eq!(error_answer(&host.handle(Event::Arrived(read))), Some(ErrorKind::DeadlinePassed));
    let part = Arrival { key: Some("k".into()), ..host.arrival("book") };
    assert_eq!(
        error_answer(&host.handle(Event::Arrived(part))),
        Some(ErrorKind::BookingIncomplete)
    );
    host.router = Router::new("a-1".into(), 1, RouterLimits::default());
    let early = Arrival { key: Some("k".into()), ..host.arrival("book") };
    assert_eq!(
        error_answer(&host.handle(Event::Arrived(early))),
        Some(ErrorKind::OwnerUnreachable)
    );
    let bare = host.arrival("read");
    assert_eq!(error_answer(&host.handle(Event::Arrived(bare))), Some(ErrorKind::NoManifest));
}

// A host has two queued bookings, one from its caller and one from the host that holds its ledger
// entry. Then the host stops, and another one takes over its targets, so no slot will become free
// here. Left in the queue until their deadlines, both would end as `unknown`. One must be forwarded
// to the new owner at once, and the other refused as `not run`.
#[test]
fn requests_queued_at_a_host_that_loses_its_targets_are_rerouted() {
    let mut host = Host::new();
    for key in ["k-1", "k-2"] {
        let running = host.booking(key);
        host.dispatch(running);
    }
    let own = host.booking("k-3");
    let hop = Arrival { via: Via::SlotHop, ..host.booking("k-4") };
    let (own_call, hop_call) = (own.call, hop.call);
    for waiting in [own, hop] {
        let actions = host.handle(Event::Arrived(waiting));
        assert_eq!((dispatched_attempt(&actions), error_answer(&actions)), (None, None));
    }
    let mut given_up = view(Moment::ZERO);
    let successor = HostView { id: "a-2".into(), incarnation: 2, ..given_up.own.clone() };
    given_up.hosts.push(successor);
    given_up.tenure.owners = vec!["a-2".into()];
    let actions = host.handle(Event::Viewed { view: Arc::new(given_up) });
    let forwarded = actions.iter().any(|action| {
        matches!(action, Action::Forward { call, via: Via::SlotHop, .. } if *call == own_call)
    });
    assert!(forwarded, "{actions:?}");
    let refused = actions.iter().find_map(|action| match action {
        Action::Answer { answer: Answer::Error { error, .. }, call } if *call == hop_call => {
            Some(error.response().ran)
        }
        _ => None,
    });
    assert_eq!(refused, Some(Ran::No));
}

// A booking is still queued, or has to be retried, shortly before its deadline. Sent to a target,
// it would run for a caller that has timed out, and its outcome would be `unknown`. So it is
// refused as `not run`, early enough for the caller to be told.
#[test]
fn a_booking_is_not_started_shortly_before_its_deadline() {
    let mut host = Host::new();
    for key in ["k-1", "k-2"] {
        let running = host.booking(key);
        host.dispatch(running);
    }
    let waiting = host.booking("k-3");
    let deadline = waiting.deadline;
    host.handle(Event::Arrived(waiting));
    host.advance(Duration::from_millis(4_550));
    let actions = host.handle(Event::Tick);
    assert_eq!(error_answer(&actions), Some(ErrorKind::DeadlinePassed));
    assert!(host.now < deadline);

    let mut host = Host::new();
    let late = host.booking("k-1");
    let running = host.dispatch(late);
    host.advance(Duration::from_millis(4_550));
    let actions = host.fail(running, ErrorKind::ConnectFailed);
    assert_eq!(
        (dispatched_attempt(&actions), error_answer(&actions)),
        (None, Some(ErrorKind::DeadlinePassed))
    );
}

/// Names of the invariants that are recorded as broken.
fn broken_invariants(actions: &[Action]) -> Vec<Arc<str>> {
    let name = |action: &Action| match action {
        Action::Note { kind: EventKind::InvariantBroken { name, .. }, .. } => Some(name.clone()),
        _ => None,
    };
    actions.iter().filter_map(name).collect()
}

// A booking has two attempts at once, is sent without a ledger entry, or is answered by another
// owner although it has an entry here. No input leads to these states; each is forced to check that
// its invariant is recorded as broken.
#[test]
fn broken_booking_invariants_are_recorded() {
    let mut host = Host::new();
    let booking = host.booking("k-1");
    let call = booking.call;
    host.dispatch(booking);
    let now = host.now;
    host.router.start_attempt(call, Destination::LedgerOwner, now);
    assert_eq!(broken_invariants(&host.handle(Event::Tick)), ["one-attempt-a-booking".into()]);

    let mut host = Host::new();
    let booking = host.booking("k-1");
    let call = booking.call;
    let attempt = host.dispatch(booking);
    host.router.calls.get_mut(&call).unwrap().in_ledger = false;
    assert_eq!(
        broken_invariants(&host.fail(attempt, ErrorKind::ConnectFailed)),
        ["entry-before-dispatch".into()]
    );

    let mut host = Host::new();
    let booking = host.booking("k-1");
    let attempt = host.dispatch(booking);
    host.router.attempts.get_mut(&attempt).unwrap().destination = Destination::LedgerOwner;
    assert_eq!(broken_invariants(&host.answer(attempt)), ["one-owner-a-booking".into()]);
}
