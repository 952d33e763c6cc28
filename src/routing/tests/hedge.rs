use super::*;
use crate::quarantine::{QuarantineMark, QuarantineVerdict};

/// Reads after which a host has a latency estimate.
const READS_PER_ESTIMATE: usize = 64;
/// Reads sent to a new host before a test.
const WARM_UP_READS: usize = READS_PER_ESTIMATE;

/// A host whose reads and bookings have taken 5 ms so far.
fn host_with_latencies() -> Host {
    let mut host = Host::new();
    for number in 0..WARM_UP_READS {
        // Two at a time; otherwise the target that answered first would get all of them.
        let arrivals =
            [host.arrival("read"), host.arrival("read"), host.booking(&number.to_string())];
        let attempts = arrivals.map(|arrival| host.dispatch(arrival));
        attempts.into_iter().for_each(|attempt| drop(host.answer(attempt)));
    }
    host
}

/// The same host, with two slots on each read target and the given reserve in its region.
fn host_with_two_slots(reserve: f64) -> Host {
    let mut host = host_with_latencies();
    let mut two_slots = view(host.now + Duration::from_secs(3600));
    let mut manifest = (*two_slots.manifest).clone();
    for target in &mut manifest.services[0].targets {
        target.slots = 2;
    }
    manifest.regions[0].reserve = reserve;
    two_slots.manifest = Arc::new(manifest);
    host.handle(Event::Viewed { view: Arc::new(two_slots) });
    for target in ["read-1", "read-2"] {
        let report = LoadReport { busy: 0, draining: false, slots: 2 };
        host.handle(Event::Reported { report, target: target.into() });
    }
    host
}

/// Advances the clock and returns the actions of the next tick.
fn tick_after(host: &mut Host, time: Duration) -> Vec<Action> {
    host.advance(time);
    host.handle(Event::Tick)
}

/// Starts a slow read and returns its first attempt and its hedge.
fn hedged_read(host: &mut Host) -> (AttemptId, AttemptId) {
    let read = host.arrival("read");
    let first = host.dispatch(read);
    let actions = tick_after(host, Duration::from_millis(20));
    (first, dispatched_attempt(&actions).expect("a slow read is hedged"))
}

fn is_hedged(host: &mut Host, arrival: Arrival) -> bool {
    host.dispatch(arrival);
    dispatched_attempt(&tick_after(host, Duration::from_millis(20))).is_some()
}

fn cancelled_attempts(actions: &[Action]) -> Vec<AttemptId> {
    let attempts = actions.iter().filter_map(|action| match action {
        Action::Cancel { attempt } => Some(*attempt),
        _ => None,
    });
    attempts.collect()
}

fn passed_answers(actions: &[Action]) -> usize {
    let passed = |action: &&Action| matches!(action, Action::Answer { answer: Answer::Pass, .. });
    actions.iter().filter(passed).count()
}

fn dispatch_target(actions: &[Action]) -> Option<TargetId> {
    actions.iter().find_map(|action| match action {
        Action::Dispatch { target, .. } => Some(target.clone()),
        _ => None,
    })
}

fn slots_in_use(host: &Host) -> u32 {
    host.router.slot_usage().iter().map(|usage| usage.busy).sum()
}

// A target is slow, so the read runs on a second one too. The first answer is passed to the caller,
// once; the other attempt is cancelled and its slot released at once. Its late answer is ignored.
#[test]
fn the_first_complete_answer_wins() {
    for second_wins in [false, true] {
        let mut host = host_with_latencies();
        let (first, second) = hedged_read(&mut host);
        let (winner, loser) = if second_wins { (second, first) } else { (first, second) };
        let actions = host.answer(winner);
        assert_eq!((passed_answers(&actions), cancelled_attempts(&actions)), (1, vec![loser]));
        assert_eq!((slots_in_use(&host), host.router.pending_calls()), (0, 0));
        assert_eq!(passed_answers(&host.answer(loser)), 0);
    }
}

// One attempt fails while the other runs: the caller is not told yet, and gets the answer of the
// other. It gets an error only when both have failed.
#[test]
fn one_failure_waits_for_the_other_attempt() {
    for first_fails in [false, true] {
        for other_answers in [false, true] {
            let mut host = host_with_latencies();
            let (first, second) = hedged_read(&mut host);
            let (fails, other) = if first_fails { (first, second) } else { (second, first) };
            let actions = host.fail(fails, ErrorKind::DispatchTimeout);
            assert_eq!((error_answer(&actions), dispatched_attempt(&actions)), (None, None));
            if other_answers {
                assert_eq!(passed_answers(&host.answer(other)), 1);
            } else {
                let actions = host.fail(other, ErrorKind::DispatchTimeout);
                assert_eq!(error_answer(&actions), Some(ErrorKind::DispatchTimeout));
            }
            assert_eq!((slots_in_use(&host), host.router.pending_calls()), (0, 0));
        }
    }
}

// The caller disconnects during a hedge. Both attempts are cancelled and both slots released.
#[test]
fn a_disconnected_caller_cancels_both_attempts() {
    let mut host = host_with_latencies();
    let (first, second) = hedged_read(&mut host);
    let call = host.calls;
    let actions = host.handle(Event::Cancelled { call });
    assert_eq!(cancelled_attempts(&actions), [first, second]);
    assert_eq!((slots_in_use(&host), host.router.pending_calls()), (0, 0));
}

// A read crashes its target while it also runs on a second one beside other requests. It is now a
// suspect and is cancelled there; if it crashed that target too, the other requests would be lost.
#[test]
fn a_crash_cancels_the_other_attempt() {
    let mut host = host_with_latencies();
    let (first, second) = hedged_read(&mut host);
    let actions = host.fail(first, ErrorKind::DispatchLost);
    assert_eq!(cancelled_attempts(&actions), [second]);
    assert_eq!(slots_in_use(&host), 0);
}

// Every read is slow. If each were hedged, a service that slows down under load would get twice the
// load; so hedges are limited to half of the retry budget.
#[test]
fn hedges_use_at_most_half_of_the_retry_budget() {
    let mut host = host_with_latencies();
    let mut hedges = 0;
    for _ in 0..40 {
        let read = host.arrival("read");
        let first = host.dispatch(read);
        let actions = tick_after(&mut host, Duration::from_millis(20));
        hedges += usize::from(dispatched_attempt(&actions).is_some());
        host.answer(first);
    }
    // Half of the budget, which is three plus a tenth of the first attempts: 168 reads and 64
    // bookings by the end.
    assert!(0 < hedges && hedges <= 13, "{hedges}");
}

// A booking is slow. A second attempt could book twice.
#[test]
fn a_booking_is_never_hedged() {
    let mut host = host_with_latencies();
    let booking = host.booking("k");
    assert!(!is_hedged(&mut host, booking));
}

// A read is slow, but must not be hedged: the other target is draining, only the reserve is free,
// the read is a suspect, it came from another host, which decides about hedges, or the host is
// stopping.
#[test]
fn reads_are_hedged_only_where_a_second_attempt_is_allowed() {
    let mut host = host_with_latencies();
    let read = host.arrival("read");
    assert!(is_hedged(&mut host, read));

    let mut draining = host_with_latencies();
    let read = draining.arrival("read");
    draining.dispatch(read);
    for target in ["read-1", "read-2"] {
        let report = LoadReport { busy: 0, draining: true, slots: 1 };
        draining.handle(Event::Reported { report, target: target.into() });
    }
    assert_eq!(dispatched_attempt(&tick_after(&mut draining, Duration::from_millis(20))), None);

    let mut reserved = host_with_latencies();
    let mut with_reserve = view(reserved.now + Duration::from_secs(3600));
    let mut manifest = (*with_reserve.manifest).clone();
    manifest.regions[0].reserve = 0.5;
    with_reserve.manifest = Arc::new(manifest);
    reserved.handle(Event::Viewed { view: Arc::new(with_reserve) });
    let read = reserved.arrival("read");
    assert!(!is_hedged(&mut reserved, read));

    let mut with_suspect = host_with_latencies();
    let read = with_suspect.arrival("read");
    let left = Duration::from_secs(60);
    let mark =
        QuarantineMark { fingerprint: read.fingerprint, left, verdict: QuarantineVerdict::Suspect };
    with_suspect.handle(Event::Marked { marks: vec![mark] });
    assert!(!is_hedged(&mut with_suspect, read));

    let mut owner = host_with_latencies();
    let read = Arrival { via: Via::SlotHop, ..owner.arrival("read") };
    assert!(!is_hedged(&mut owner, read));

    let mut leaving = host_with_latencies();
    let read = leaving.arrival("read");
    leaving.dispatch(read);
    leaving.handle(Event::Leave);
    assert_eq!(dispatched_attempt(&tick_after(&mut leaving, Duration::from_millis(20))), None);
}

// Another host sends a hedge, and only the reserve is free, or the request is a suspect that has to
// wait until it can run alone. A first attempt would run or wait; the hedge is refused at once,
// since it is useless when late and other requests need the slots.
#[test]
fn an_owner_refuses_a_hedge_that_has_to_wait() {
    for (reserve, is_suspect) in [(0.5, false), (0.0, true)] {
        let mut host = host_with_two_slots(reserve);
        for _ in 0..2 {
            let read = host.arrival("read");
            host.dispatch(read);
        }
        let mut hedge = Arrival { via: Via::HedgeHop, ..host.arrival("read") };
        let left = Duration::from_secs(60);
        if is_suspect {
            hedge.fingerprint = 77;
            let mark =
                QuarantineMark { fingerprint: 77, left, verdict: QuarantineVerdict::Suspect };
            host.handle(Event::Marked { marks: vec![mark] });
        }
        let request = Arrival { call: 1_000, via: Via::SlotHop, ..hedge.clone() };
        assert_eq!(error_answer(&host.handle(Event::Arrived(hedge))), Some(ErrorKind::NoSlots));
        assert_eq!(error_answer(&host.handle(Event::Arrived(request))), None);
    }
}

// Both attempts of another host's read arrive here, at the owner of the slow target and of a fast
// one. The owner does not know yet which target is slow, and must not choose the same one again.
#[test]
fn an_owner_runs_a_hedge_on_another_target() {
    for seed in 0..16 {
        let mut host = host_with_two_slots(0.0);
        host.rng = ChaCha8Rng::seed_from_u64(seed);
        let other = host.arrival("read");
        host.dispatch(other);
        let first = Arrival { via: Via::SlotHop, ..host.arrival("read") };
        let hedge = Arrival { call: 1_000, via: Via::HedgeHop, ..first.clone() };
        let actions = [first, hedge].map(|arrival| host.handle(Event::Arrived(arrival)));
        let targets = actions.map(|actions| dispatch_target(&actions));
        assert_ne!(targets[0], targets[1]);
        assert!(targets[1].is_some());
    }
}

// The head of a file is passed to the caller. From then on only this attempt may go on: the other
// one is cancelled, and a slow body is not hedged.
#[test]
fn no_hedge_after_the_answer_has_begun() {
    let mut host = host_with_latencies();
    let (first, second) = hedged_read(&mut host);
    let actions = host.handle(Event::Begun { attempt: first });
    assert_eq!(cancelled_attempts(&actions), [second]);
    host.handle(Event::Begun { attempt: second });
    assert_eq!((host.router.is_running(first), host.router.is_running(second)), (true, false));

    let mut host = host_with_latencies();
    let read = host.arrival("read");
    let only = host.dispatch(read);
    host.handle(Event::Begun { attempt: only });
    assert_eq!(dispatched_attempt(&tick_after(&mut host, Duration::from_millis(20))), None);
}

// A caller reads a file for a minute and disconnects. The target had answered at once. If the
// caller's reading time counted as the target's latency, the target would get almost no further
// requests.
#[test]
fn a_slow_reader_does_not_count_as_a_slow_target() {
    let mut host = host_with_latencies();
    let read = host.arrival("read");
    let call = read.call;
    let actions = host.handle(Event::Arrived(read));
    let target = dispatch_target(&actions).expect("it is sent");
    host.handle(Event::Begun { attempt: dispatched_attempt(&actions).expect("it is sent") });
    host.advance(Duration::from_secs(60));
    let before = host.router.selector.mean_latency(&target);
    host.handle(Event::Cancelled { call });
    assert_eq!(host.router.selector.mean_latency(&target), before);
}

// A service becomes permanently slower, and only the second attempts answer. If cancelled first
// attempts were not counted, the hedge delay would never rise and every read would be hedged.
#[test]
fn cancelled_first_attempts_raise_the_hedge_delay() {
    let mut host = host_with_latencies();
    for _ in 0..READS_PER_ESTIMATE {
        host.advance(Duration::from_secs(11));
        let read = host.arrival("read");
        let first = host.dispatch(read);
        let actions = tick_after(&mut host, Duration::from_millis(50));
        host.answer(dispatched_attempt(&actions).unwrap_or(first));
    }
    // The budget's window is empty again.
    host.advance(Duration::from_secs(11));
    let read = host.arrival("read");
    assert!(!is_hedged(&mut host, read));
}
