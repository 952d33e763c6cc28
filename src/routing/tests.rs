use std::{
    collections::BTreeSet,
    net::{IpAddr, Ipv4Addr},
};

use assert_matches::assert_matches;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{call::Place, *};
use crate::{
    ledger::{KeptAnswer, body_digest},
    manifest::{DrainScope, Manifest, Region, Service, ServiceKind, Target, Weighing},
    prelude::*,
    quarantine::{Mark, Verdict},
    selection::LoadReport,
    timeline::EventKind,
    view::{HostView, Tenure, View},
};

mod hedge;

const START: Moment = Duration::from_secs(100);

/// One host of one zone with two targets of each service, of one slot each.
struct Host {
    calls: CallId,
    now: Moment,
    rng: ChaCha8Rng,
    steer: Router,
}

impl Host {
    fn new() -> Self {
        let mut host = Self {
            calls: 0,
            now: START,
            rng: ChaCha8Rng::seed_from_u64(1),
            steer: Router::new("a-1".into(), 1, RouterLimits::default()),
        };
        host.on(Event::Tick);
        host.on(Event::Viewed { view: Arc::new(view(START + Duration::from_secs(3600))) });
        for target in ["read-1", "read-2", "book-1", "book-2"] {
            host.pass(Duration::from_millis(1));
            let report = LoadReport { busy: 0, draining: false, slots: 1 };
            host.on(Event::Reported { report, target: target.into() });
        }
        host
    }

    fn on(&mut self, event: Event) -> Vec<Action> {
        self.steer.handle(event, self.now, &mut self.rng)
    }

    fn pass(&mut self, time: Duration) {
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
            digest: body_digest("POST", "/", b"x"),
            fingerprint: u128::from(self.calls),
            key: None,
            member: "member".into(),
            request: format!("r-{}", self.calls).into(),
            service: service.into(),
            via: Via::Caller,
        }
    }

    fn booking(&mut self, key: &str) -> Arrival {
        let binding = Some(self.steer.binding());
        Arrival { binding, key: Some(key.into()), ..self.arrival("book") }
    }

    /// Sends the arrival and gives the attempt that it led to.
    fn dispatch(&mut self, arrival: Arrival) -> AttemptId {
        let actions = self.on(Event::Arrived(arrival));
        attempt(&actions).unwrap_or_else(|| panic!("not sent: {actions:?}"))
    }

    fn fail(&mut self, attempt: AttemptId, error: ErrorKind) -> Vec<Action> {
        let latency = Duration::from_millis(5);
        let outcome = Outcome::Failed { error, latency, passed: false };
        self.on(Event::Ended { attempt, outcome })
    }

    fn interrupt(&mut self, attempt: AttemptId) -> Vec<Action> {
        let (error, latency) = (ErrorKind::AnswerBroken, Duration::from_millis(5));
        self.on(Event::Ended { attempt, outcome: Outcome::Interrupted { error, latency } })
    }

    fn answer(&mut self, attempt: AttemptId) -> Vec<Action> {
        let kept = KeptAnswer { body: "ok".into(), headers: Vec::new(), status: 200 };
        let latency = Duration::from_millis(5);
        let outcome = Outcome::Answered { kept: Some(Arc::new(kept)), latency, status: 200 };
        self.on(Event::Ended { attempt, outcome })
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

fn attempt(actions: &[Action]) -> Option<AttemptId> {
    actions.iter().find_map(|action| match action {
        Action::Dispatch { attempt, .. } => Some(*attempt),
        _ => None,
    })
}

fn error(actions: &[Action]) -> Option<ErrorKind> {
    actions.iter().find_map(|action| match action {
        Action::Answer { answer: Answer::Error { error, .. }, .. } => Some(*error),
        _ => None,
    })
}

// A read may be sent to a second target after any failure, a booking only after one that proves
// that it did not run. Sent again after its first byte, it could run twice.
#[test]
fn only_what_may_repeat_is_sent_again() {
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
        assert_eq!(attempt(&actions).is_some(), again, "{service}, {failure:?}");
        if !again {
            assert_eq!(error(&actions), Some(failure), "{service}");
        }
    }
}

// A file breaks off behind its head. The rest is one more attempt, at the other target, and the
// slot of the first is free by then. Past the time limit, with the other target drained, or after
// the caller has left there is none; and nobody is told that what the caller holds was not run.
#[test]
fn the_rest_of_a_file_is_an_attempt_like_any_other() {
    let mut host = Host::new();
    let file = host.arrival("read");
    let first = host.dispatch(file);
    let actions = host.interrupt(first);
    let second = attempt(&actions).expect("the rest is asked for");
    assert_eq!(host.steer.in_flight_by_target().iter().map(|busy| busy.requests).sum::<u32>(), 1);
    assert_eq!(error(&host.fail(second, ErrorKind::ConnectFailed)), Some(ErrorKind::StreamCut));
    assert_eq!(host.steer.slot_usage()[0].busy, 0);

    let mut late = Host::new();
    let file = late.arrival("read");
    let first = late.dispatch(file);
    late.pass(Duration::from_secs(6));
    assert_eq!(error(&late.interrupt(first)), Some(ErrorKind::StreamCut));

    let mut drained = Host::new();
    let file = drained.arrival("read");
    let first = drained.dispatch(file);
    let scopes = ["read-1", "read-2"].map(|target| DrainScope::Target(target.into()));
    let until = drained.now + Duration::from_secs(60);
    let view = View { drains: scopes.into(), ..view(until) };
    drained.on(Event::Viewed { view: Arc::new(view) });
    let told = error(&drained.interrupt(first)).map(|error| error.row().ran);
    assert_eq!(told, Some(Ran::Unknown));

    let mut left = Host::new();
    let file = left.arrival("read");
    let first = left.dispatch(file);
    let second = attempt(&left.interrupt(first)).expect("the rest is asked for");
    let actions = left.on(Event::Cancelled { call: 1 });
    assert!(actions.contains(&Action::Cancel { attempt: second }));
    assert_eq!(left.steer.slot_usage()[0].busy, 0);
}

// Targets break off every file that they begin. Without the retry budget each would be asked for up
// to three times, and the load that made them break would grow by its own failures.
#[test]
fn rests_are_paid_out_of_the_retry_budget() {
    let mut host = Host::new();
    let mut rests = 0;
    for _ in 0..20 {
        let file = host.arrival("read");
        let mut next = attempt(&host.on(Event::Arrived(file)));
        while let Some(under_way) = next {
            next = attempt(&host.interrupt(under_way));
            rests += u32::from(next.is_some());
        }
    }
    assert!((1..=5).contains(&rests), "{rests}");
}

// A read that is suspect runs alone, crashes its target and is refused from then on. Its caller hears
// of the crash at once; left in the queue for another target it would wait out its time limit, and be
// told `not run` of a request that ran.
#[test]
fn a_request_that_has_just_proved_guilty_does_not_wait() {
    let mut host = Host::new();
    let read = host.arrival("read");
    let left = Duration::from_secs(50);
    let mark = Mark { fingerprint: read.fingerprint, left, verdict: Verdict::Suspect };
    host.on(Event::Marked { marks: vec![mark] });
    let attempt = host.dispatch(read.clone());
    assert_eq!(error(&host.fail(attempt, ErrorKind::DispatchLost)), Some(ErrorKind::DispatchLost));
    let verdict = host.steer.mark(read.fingerprint, host.now).map(|mark| mark.verdict);
    assert_eq!(verdict, Some(Verdict::Refused));
    let again = Arrival { call: 99, request: "again".into(), ..read };
    assert_eq!(error(&host.on(Event::Arrived(again))), Some(ErrorKind::Quarantined));
}

// A second copy of a booking arrives while the first one runs. It waits, and both callers get the
// one answer; a third copy that comes later gets it from the ledger.
#[test]
fn copies_of_a_booking_share_one_run() {
    let mut host = Host::new();
    let first = host.booking("k");
    let attempt_id = host.dispatch(first);
    let second = host.booking("k");
    let actions = host.on(Event::Arrived(second));
    assert_eq!((attempt(&actions), error(&actions)), (None, None));
    let actions = host.answer(attempt_id);
    let answers = actions.iter().filter(|action| matches!(action, Action::Answer { .. }));
    assert_eq!(answers.count(), 2);
    let third = host.booking("k");
    let actions = host.on(Event::Arrived(third));
    assert_matches!(actions.as_slice(), [.., Action::Answer { answer: Answer::Kept { .. }, .. }]);
}

// The host was paused and its right to its targets ran out meanwhile. Another host may have filled
// their slots, so nothing is sent until the right is confirmed again; then what waited goes out.
#[test]
fn nothing_is_sent_without_the_right() {
    let mut host = Host::new();
    host.on(Event::Viewed { view: Arc::new(view(host.now + Duration::from_secs(4))) });
    host.pass(Duration::from_secs(4));
    let arrival = host.arrival("read");
    let actions = host.on(Event::Arrived(arrival));
    assert_eq!((attempt(&actions), error(&actions)), (None, None));
    let actions =
        host.on(Event::Viewed { view: Arc::new(view(host.now + Duration::from_secs(4))) });
    assert!(attempt(&actions).is_some());
}

// The owner of a binding is not known, is known and cannot be reached, or this host is told that it
// is the owner and is not: then it sends the request no further. An earlier copy may have run, so
// nobody may say `not run`.
#[test]
fn a_missing_owner_is_never_not_run() {
    let stranger = Binding { generation: 0, host: "a-2".into(), incarnation: 9 };
    for via in [Via::Caller, Via::LedgerHop] {
        let mut host = Host::new();
        let arrival = Arrival { binding: Some(stranger.clone()), via, ..host.booking("k") };
        let kind = error(&host.on(Event::Arrived(arrival)));
        assert_eq!(kind.map(|kind| kind.row().ran), Some(Ran::Unknown), "{via:?}");
    }
    let mut host = Host::new();
    let mut known = view(host.now + Duration::from_secs(4));
    let owner = HostView { id: "a-2".into(), incarnation: 9, ..known.own.clone() };
    known.hosts.push(owner);
    host.on(Event::Viewed { view: Arc::new(known) });
    let arrival = Arrival { binding: Some(stranger), ..host.booking("k") };
    let sent_on = Arrival { call: 99, via: Via::LedgerHop, ..arrival.clone() };
    assert_eq!(error(&host.on(Event::Arrived(sent_on))), Some(ErrorKind::OwnerGone));
    let actions = host.on(Event::Arrived(arrival));
    let hop = actions.iter().find_map(|action| match action {
        Action::Forward { attempt, via: Via::LedgerHop, .. } => Some(*attempt),
        _ => None,
    });
    let actions = host.fail(hop.expect("it is carried to the owner"), ErrorKind::ConnectFailed);
    assert_eq!(error(&actions), Some(ErrorKind::OwnerUnreachable));
}

// A stopping host gets new work of both kinds. Nothing new is sent; a booking's binding is closed
// for good, so its caller may go on with another; what already runs still gets its answer.
#[test]
fn a_stopping_host_ends_what_runs_and_takes_nothing_new() {
    let mut host = Host::new();
    let running = host.booking("k-1");
    let running = host.dispatch(running);
    host.on(Event::Leave);
    let booking = host.booking("k-2");
    assert_eq!(error(&host.on(Event::Arrived(booking))), Some(ErrorKind::BindingClosed));
    let read = host.arrival("read");
    assert_eq!(error(&host.on(Event::Arrived(read))), Some(ErrorKind::HostLeaving));
    let actions = host.answer(running);
    let passed = Action::Answer { answer: Answer::Pass, call: 1 };
    assert!(actions.contains(&passed));
    assert_eq!(host.steer.pending_calls(), 0);
}

// A booking comes before the manifest that opens its service, or is larger than this manifest
// allows. Its ledger refuses the key for good, so that `not run` stays true when an earlier copy
// arrives late, under a manifest by which it could run.
#[test]
fn a_booking_unfit_for_the_manifest_is_refused_by_its_ledger_for_good() {
    let mut host = Host::new();
    let known = host.steer.view.clone().unwrap();
    let mut closed = Manifest::clone(&known.manifest);
    closed.services.retain(|service| &*service.name != "book");
    let without = View { manifest: Arc::new(closed), ..View::clone(&known) };
    host.on(Event::Viewed { view: Arc::new(without) });
    let early = host.booking("k-1");
    assert_eq!(error(&host.on(Event::Arrived(early))), Some(ErrorKind::ServiceUnknown));
    host.on(Event::Viewed { view: known });
    let large = Arrival { body_len: 101, ..host.booking("k-2") };
    assert_eq!(error(&host.on(Event::Arrived(large))), Some(ErrorKind::BodyTooLarge));
    for key in ["k-1", "k-2"] {
        let late = host.booking(key);
        let actions = host.on(Event::Arrived(late));
        assert_eq!((attempt(&actions), error(&actions)), (None, Some(ErrorKind::KeyRefused)));
    }
}

// Another host asks for a slot here, for a booking whose entry it holds, and this host's manifest
// does not know the service. Its refusal is about this one attempt and proves that it did not run;
// `unknown` would keep the holder of the entry from trying the next target.
#[test]
fn a_refused_slot_is_proof_for_the_holder_of_the_entry() {
    let mut host = Host::new();
    let attempt = Arrival { service: "new".into(), via: Via::SlotHop, ..host.booking("k") };
    assert_eq!(error(&host.on(Event::Arrived(attempt))), Some(ErrorKind::ServiceUnknown));
}

// A host that has just started has no manifest, and a read with a stray key comes as well as a
// booking that lost its binding. Only what can be a booking is answered with doubt.
#[test]
fn doubt_is_kept_for_what_can_be_a_booking() {
    let mut host = Host::new();
    let read = Arrival { key: Some("k".into()), deadline: host.now, ..host.arrival("read") };
    assert_eq!(error(&host.on(Event::Arrived(read))), Some(ErrorKind::DeadlinePassed));
    let part = Arrival { key: Some("k".into()), ..host.arrival("book") };
    assert_eq!(error(&host.on(Event::Arrived(part))), Some(ErrorKind::BookingIncomplete));
    host.steer = Router::new("a-1".into(), 1, RouterLimits::default());
    let early = Arrival { key: Some("k".into()), ..host.arrival("book") };
    assert_eq!(error(&host.on(Event::Arrived(early))), Some(ErrorKind::OwnerUnreachable));
    let bare = host.arrival("read");
    assert_eq!(error(&host.on(Event::Arrived(bare))), Some(ErrorKind::NoManifest));
}

// A host gets two bookings more than it has slots, one from its caller and one from the host that
// holds its entry, and both wait. Then it stops, and its targets go to another host: no slot will
// be free here again. Left in the queue until their deadlines, both ended as `unknown`; now one
// goes to the new owner at once and the other is refused with proof.
#[test]
fn what_waits_at_a_host_that_loses_its_targets_goes_on_at_once() {
    let mut host = Host::new();
    for key in ["k-1", "k-2"] {
        let running = host.booking(key);
        host.dispatch(running);
    }
    let own = host.booking("k-3");
    let hop = Arrival { via: Via::SlotHop, ..host.booking("k-4") };
    let (own_call, hop_call) = (own.call, hop.call);
    for waiting in [own, hop] {
        let actions = host.on(Event::Arrived(waiting));
        assert_eq!((attempt(&actions), error(&actions)), (None, None));
    }
    let mut given_up = view(Moment::ZERO);
    let successor = HostView { id: "a-2".into(), incarnation: 2, ..given_up.own.clone() };
    given_up.hosts.push(successor);
    given_up.tenure.owners = vec!["a-2".into()];
    let actions = host.on(Event::Viewed { view: Arc::new(given_up) });
    let forwarded = actions.iter().any(|action| {
        matches!(action, Action::Forward { call, via: Via::SlotHop, .. } if *call == own_call)
    });
    assert!(forwarded, "{actions:?}");
    let refused = actions.iter().find_map(|action| match action {
        Action::Answer { answer: Answer::Error { error, .. }, call } if *call == hop_call => {
            Some(error.row().ran)
        }
        _ => None,
    });
    assert_eq!(refused, Some(Ran::No));
}

// A booking waits for a slot until almost no time is left, or gets its slot then. Sent to a target,
// it would run for a caller that has hung up and be `unknown` to all; so it is refused with proof,
// early enough for the caller to hear it.
#[test]
fn a_booking_is_not_started_in_its_last_moments() {
    let mut host = Host::new();
    for key in ["k-1", "k-2"] {
        let running = host.booking(key);
        host.dispatch(running);
    }
    let waiting = host.booking("k-3");
    let deadline = waiting.deadline;
    host.on(Event::Arrived(waiting));
    host.pass(Duration::from_millis(4_550));
    let actions = host.on(Event::Tick);
    assert_eq!(error(&actions), Some(ErrorKind::DeadlinePassed));
    assert!(host.now < deadline);

    let mut host = Host::new();
    let late = host.booking("k-1");
    let running = host.dispatch(late);
    host.pass(Duration::from_millis(4_550));
    let actions = host.fail(running, ErrorKind::ConnectFailed);
    assert_eq!((attempt(&actions), error(&actions)), (None, Some(ErrorKind::DeadlinePassed)));
}

/// Names of the invariants that were noted as broken.
fn fired(actions: &[Action]) -> Vec<Arc<str>> {
    let name = |action: &Action| match action {
        Action::Note { kind: EventKind::InvariantBroken { name, .. }, .. } => Some(name.clone()),
        _ => None,
    };
    actions.iter().filter_map(name).collect()
}

// A booking is sent twice at a time, or without its entry, or is answered by another owner although
// it has an entry here. No input leads there; each state is forced, to see that it would be noted.
#[test]
fn broken_safeguards_of_bookings_are_noted() {
    let mut host = Host::new();
    let booking = host.booking("k-1");
    let call = booking.call;
    host.dispatch(booking);
    let now = host.now;
    host.steer.new_attempt(call, Place::Owner, now);
    assert_eq!(fired(&host.on(Event::Tick)), ["one-attempt-a-booking".into()]);

    let mut host = Host::new();
    let booking = host.booking("k-1");
    let call = booking.call;
    let attempt = host.dispatch(booking);
    host.steer.calls.get_mut(&call).unwrap().in_ledger = false;
    assert_eq!(
        fired(&host.fail(attempt, ErrorKind::ConnectFailed)),
        ["entry-before-dispatch".into()]
    );

    let mut host = Host::new();
    let booking = host.booking("k-1");
    let attempt = host.dispatch(booking);
    host.steer.attempts.get_mut(&attempt).unwrap().place = Place::Owner;
    assert_eq!(fired(&host.answer(attempt)), ["one-owner-a-booking".into()]);
}
