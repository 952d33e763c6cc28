use super::*;
use crate::quarantine::{Mark, Verdict};

/// Reads that teach a host what is usual.
const TAUGHT: usize = 64;
/// Reads that warm a host up.
const WARM: usize = TAUGHT;

/// A host that knows that its reads and bookings take 5 ms.
fn warm_host() -> Host {
    let mut host = Host::new();
    for number in 0..WARM {
        // Two at a time, or the target that answered first would get them all.
        let arrivals =
            [host.arrival("read"), host.arrival("read"), host.booking(&number.to_string())];
        let attempts = arrivals.map(|arrival| host.dispatch(arrival));
        attempts.into_iter().for_each(|attempt| drop(host.answer(attempt)));
    }
    host
}

/// The same, with two slots on each target.
fn roomy_host(reserve: f64) -> Host {
    let mut host = warm_host();
    let mut roomy = view(host.now + Duration::from_secs(3600));
    let mut manifest = (*roomy.manifest).clone();
    for target in &mut manifest.services[0].targets {
        target.slots = 2;
    }
    manifest.regions[0].reserve = reserve;
    roomy.manifest = Arc::new(manifest);
    host.on(Event::Viewed { view: Arc::new(roomy) });
    for target in ["read-1", "read-2"] {
        let report = LoadReport { busy: 0, draining: false, slots: 2 };
        host.on(Event::Reported { report, target: target.into() });
    }
    host
}

/// What the host does when nothing came back for a while.
fn tick_after(host: &mut Host, time: Duration) -> Vec<Action> {
    host.pass(time);
    host.on(Event::Tick)
}

/// A read that is under way for longer than usual, and the host's second attempt at it.
fn hedged(host: &mut Host) -> (AttemptId, AttemptId) {
    let read = host.arrival("read");
    let first = host.dispatch(read);
    let actions = tick_after(host, Duration::from_millis(20));
    (first, attempt(&actions).expect("a slow read is hedged"))
}

fn is_hedged(host: &mut Host, arrival: Arrival) -> bool {
    host.dispatch(arrival);
    attempt(&tick_after(host, Duration::from_millis(20))).is_some()
}

fn cancelled(actions: &[Action]) -> Vec<AttemptId> {
    let attempts = actions.iter().filter_map(|action| match action {
        Action::Cancel { attempt } => Some(*attempt),
        _ => None,
    });
    attempts.collect()
}

fn passed(actions: &[Action]) -> usize {
    let passed = |action: &&Action| matches!(action, Action::Answer { answer: Answer::Pass, .. });
    actions.iter().filter(passed).count()
}

fn dispatched_to(actions: &[Action]) -> Option<TargetId> {
    actions.iter().find_map(|action| match action {
        Action::Dispatch { target, .. } => Some(target.clone()),
        _ => None,
    })
}

fn busy(host: &Host) -> u32 {
    host.steer.slot_usage().iter().map(|usage| usage.busy).sum()
}

// A target is slow, so the read runs on a second one too. Whichever answers first is passed to the
// caller, once; the other is stopped and its slot is free at once. What it still says is too late.
#[test]
fn the_first_whole_answer_wins() {
    for second_wins in [false, true] {
        let mut host = warm_host();
        let (first, second) = hedged(&mut host);
        let (winner, loser) = if second_wins { (second, first) } else { (first, second) };
        let actions = host.answer(winner);
        assert_eq!((passed(&actions), cancelled(&actions)), (1, vec![loser]));
        assert_eq!((busy(&host), host.steer.pending_calls()), (0, 0));
        assert_eq!(passed(&host.answer(loser)), 0);
    }
}

// One attempt fails while the other runs: the caller hears nothing yet, and gets the other's
// answer. Only when both have failed is it told so.
#[test]
fn one_failure_waits_for_the_other_attempt() {
    for first_fails in [false, true] {
        for other_answers in [false, true] {
            let mut host = warm_host();
            let (first, second) = hedged(&mut host);
            let (fails, other) = if first_fails { (first, second) } else { (second, first) };
            let actions = host.fail(fails, ErrorKind::DispatchTimeout);
            assert_eq!((error(&actions), attempt(&actions)), (None, None));
            if other_answers {
                assert_eq!(passed(&host.answer(other)), 1);
            } else {
                let actions = host.fail(other, ErrorKind::DispatchTimeout);
                assert_eq!(error(&actions), Some(ErrorKind::DispatchTimeout));
            }
            assert_eq!((busy(&host), host.steer.pending_calls()), (0, 0));
        }
    }
}

// The caller leaves while two targets work for it. Both are stopped and both slots are free.
#[test]
fn a_caller_that_leaves_stops_both() {
    let mut host = warm_host();
    let (first, second) = hedged(&mut host);
    let call = host.calls;
    let actions = host.on(Event::Cancelled { call });
    assert_eq!(cancelled(&actions), [first, second]);
    assert_eq!((busy(&host), host.steer.pending_calls()), (0, 0));
}

// The read crashes its target while it runs on a second one, beside others. It is a suspect now:
// it is stopped there, or the others would be lost with that target.
#[test]
fn a_crash_stops_the_other_attempt() {
    let mut host = warm_host();
    let (first, second) = hedged(&mut host);
    let actions = host.fail(first, ErrorKind::DispatchLost);
    assert_eq!(cancelled(&actions), [second]);
    assert_eq!(busy(&host), 0);
}

// Every read is slow. Were each sent twice, a service that slows down under load would get twice
// the load; so second attempts stop at half of the retry budget.
#[test]
fn hedges_stop_at_half_of_the_budget() {
    let mut host = warm_host();
    let mut hedges = 0;
    for _ in 0..40 {
        let read = host.arrival("read");
        let first = host.dispatch(read);
        let actions = tick_after(&mut host, Duration::from_millis(20));
        hedges += usize::from(attempt(&actions).is_some());
        host.answer(first);
    }
    // A tenth of the first attempts and three, halved: 168 reads and 64 bookings by the end.
    assert!(0 < hedges && hedges <= 13, "{hedges}");
}

// A booking takes long. A second attempt would book twice.
#[test]
fn a_booking_is_never_hedged() {
    let mut host = warm_host();
    let booking = host.booking("k");
    assert!(!is_hedged(&mut host, booking));
}

// A read is slow, and no second attempt may be made: the other target retires, or only the reserve
// is left, or the read is under suspicion, or another host has it and decides, or the host stops.
#[test]
fn a_hedge_needs_a_target_to_spare() {
    let mut host = warm_host();
    let read = host.arrival("read");
    assert!(is_hedged(&mut host, read));

    let mut retiring = warm_host();
    let read = retiring.arrival("read");
    retiring.dispatch(read);
    for target in ["read-1", "read-2"] {
        let report = LoadReport { busy: 0, draining: true, slots: 1 };
        retiring.on(Event::Reported { report, target: target.into() });
    }
    assert_eq!(attempt(&tick_after(&mut retiring, Duration::from_millis(20))), None);

    let mut reserved = warm_host();
    let mut kept = view(reserved.now + Duration::from_secs(3600));
    let mut manifest = (*kept.manifest).clone();
    manifest.regions[0].reserve = 0.5;
    kept.manifest = Arc::new(manifest);
    reserved.on(Event::Viewed { view: Arc::new(kept) });
    let read = reserved.arrival("read");
    assert!(!is_hedged(&mut reserved, read));

    let mut wary = warm_host();
    let read = wary.arrival("read");
    let left = Duration::from_secs(60);
    let mark = Mark { fingerprint: read.fingerprint, left, verdict: Verdict::Suspect };
    wary.on(Event::Marked { marks: vec![mark] });
    assert!(!is_hedged(&mut wary, read));

    let mut owner = warm_host();
    let read = Arrival { via: Via::SlotHop, ..owner.arrival("read") };
    assert!(!is_hedged(&mut owner, read));

    let mut leaving = warm_host();
    let read = leaving.arrival("read");
    leaving.dispatch(read);
    leaving.on(Event::Leave);
    assert_eq!(attempt(&tick_after(&mut leaving, Duration::from_millis(20))), None);
}

// Another host wants a second attempt here, and only the reserve is left, or it has to wait until
// it may run alone. A request would run or wait; the hedge is refused at once, since it is no use
// late and others' requests need the slots.
#[test]
fn an_owner_refuses_a_hedge_that_has_to_wait() {
    for (reserve, is_suspect) in [(0.5, false), (0.0, true)] {
        let mut host = roomy_host(reserve);
        for _ in 0..2 {
            let read = host.arrival("read");
            host.dispatch(read);
        }
        let mut hedge = Arrival { via: Via::HedgeHop, ..host.arrival("read") };
        let left = Duration::from_secs(60);
        if is_suspect {
            hedge.fingerprint = 77;
            let mark = Mark { fingerprint: 77, left, verdict: Verdict::Suspect };
            host.on(Event::Marked { marks: vec![mark] });
        }
        let request = Arrival { call: 1_000, via: Via::SlotHop, ..hedge.clone() };
        assert_eq!(error(&host.on(Event::Arrived(hedge))), Some(ErrorKind::NoSlots));
        assert_eq!(error(&host.on(Event::Arrived(request))), None);
    }
}

// Both attempts of another host's read come to this one, which owns the slow target and a fast one.
// It knows nothing yet of the slow one, and must still not choose it again.
#[test]
fn an_owner_runs_a_hedge_on_another_target() {
    for seed in 0..16 {
        let mut host = roomy_host(0.0);
        host.rng = ChaCha8Rng::seed_from_u64(seed);
        let other = host.arrival("read");
        host.dispatch(other);
        let first = Arrival { via: Via::SlotHop, ..host.arrival("read") };
        let hedge = Arrival { call: 1_000, via: Via::HedgeHop, ..first.clone() };
        let actions = [first, hedge].map(|arrival| host.on(Event::Arrived(arrival)));
        let targets = actions.map(|actions| dispatched_to(&actions));
        assert_ne!(targets[0], targets[1]);
        assert!(targets[1].is_some());
    }
}

// The head of a file goes to the caller. From then on only this attempt may send: its rival is
// stopped, and a slow body brings no new one.
#[test]
fn nothing_is_hedged_behind_a_head() {
    let mut host = warm_host();
    let (first, second) = hedged(&mut host);
    let actions = host.on(Event::Begun { attempt: first });
    assert_eq!(cancelled(&actions), [second]);
    host.on(Event::Begun { attempt: second });
    assert_eq!((host.steer.is_running(first), host.steer.is_running(second)), (true, false));

    let mut host = warm_host();
    let read = host.arrival("read");
    let only = host.dispatch(read);
    host.on(Event::Begun { attempt: only });
    assert_eq!(attempt(&tick_after(&mut host, Duration::from_millis(20))), None);
}

// A caller reads a file for a minute and leaves. The target had answered at once; were the caller's
// time taken for the target's, it would get next to no work for having served a slow reader.
#[test]
fn a_slow_reader_is_no_slow_target() {
    let mut host = warm_host();
    let read = host.arrival("read");
    let call = read.call;
    let actions = host.on(Event::Arrived(read));
    let target = dispatched_to(&actions).expect("it is sent");
    host.on(Event::Begun { attempt: attempt(&actions).expect("it is sent") });
    host.pass(Duration::from_secs(60));
    let before = host.steer.selector.latency(&target);
    host.on(Event::Cancelled { call });
    assert_eq!(host.steer.selector.latency(&target), before);
}

// A service gets slower for good. Only the second attempts answer, and were the first ones not
// counted for having been given up, the usual time would stay what it was and every read be hedged.
#[test]
fn given_up_attempts_teach_what_is_usual() {
    let mut host = warm_host();
    for _ in 0..TAUGHT {
        host.pass(Duration::from_secs(11));
        let read = host.arrival("read");
        let first = host.dispatch(read);
        let actions = tick_after(&mut host, Duration::from_millis(50));
        host.answer(attempt(&actions).unwrap_or(first));
    }
    // The budget's window is empty again.
    host.pass(Duration::from_secs(11));
    let read = host.arrival("read");
    assert!(!is_hedged(&mut host, read));
}
