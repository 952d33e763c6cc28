//! What targets state of themselves, on the way of a request that is already placed.

use super::{known_target, secs};
use crate::{
    base::ManualClock,
    entry::{
        KnownTarget, LiveHost, ReplyMetadata, TrafficState, View,
        target_statements::{Readiness, TargetAnswer, unusable_slots},
    },
    placement::{Forecast, LimitReport, NamedLimit, TargetIndex, TargetStatement},
    platform::standin::{loopback_settings, loopback_traffic},
    prelude::*,
};

/// A host `h` of region `north`, alone, with a clock that is set by hand.
fn state(clock: Arc<ManualClock>) -> std::rc::Rc<TrafficState> {
    let store = "127.0.0.1:1".parse().expect("an address");
    let settings = loopback_settings("h", "north-a", "north", &[("north-a", "north")], store);
    let host = LiveHost {
        callers: store,
        host: "h".into(),
        capacity: 10,
        is_strained: false,
        reaches_targets: true,
        relay: None,
        region: "north".into(),
        zone: "north-a".into(),
    };
    let view = View { hosts: [host].into(), ..View::default() };
    let view = Arc::new(arc_swap::ArcSwapOption::from_pointee(view));
    TrafficState::new(loopback_traffic(settings, clock, view))
}

fn reply(statement: TargetStatement) -> ReplyMetadata {
    ReplyMetadata { statement, ..ReplyMetadata::default() }
}

/// Records the target's answer to a request of this host.
fn answered(state: &TrafficState, target: &KnownTarget, reply: &ReplyMetadata) {
    state.record_notices(target, reply);
    let (sent_at, statement) = (state.clock.now(), reply.statement);
    state.confirm_rested(target, sent_at);
    state.record_answer(target, &TargetAnswer { sent_at, statement });
}

fn resting(secs: u64) -> ReplyMetadata {
    let rest = Some(Duration::from_secs(secs));
    reply(TargetStatement { rest, ..TargetStatement::default() })
}

fn limited(limit: f64) -> ReplyMetadata {
    let limit = Some(NamedLimit::PerSecond(limit));
    reply(TargetStatement { limit, ..TargetStatement::default() })
}

/// Guards against requests that were placed before the target's statement and are sent after it.
#[test]
fn placed_requests_are_withheld_after_a_statement() {
    let clock = Arc::new(ManualClock::default());
    let (state, target) = (state(clock.clone()), known_target("t-1", "north"));
    let placed = state.start_attempt(&target, 1, Forecast::default(), None);
    assert!(state.may_still_send(&target, &placed));
    answered(&state, &target, &resting(3));
    assert!(!state.may_still_send(&target, &placed));
    clock.advance(secs(3.0));
    assert!(state.may_still_send(&target, &placed), "the rest is over");
    answered(&state, &target, &limited(2.0));
    assert!(!state.may_still_send(&target, &placed), "the limit leaves no request yet");
    clock.advance(secs(10.0));
    assert!(state.may_still_send(&target, &placed));
    assert!(!state.may_still_send(&target, &placed), "the request took the only token");
    let leaving = reply(TargetStatement { is_leaving: true, ..TargetStatement::default() });
    answered(&state, &target, &leaving);
    clock.advance(secs(10.0));
    assert!(!state.may_still_send(&target, &placed));
}

/// Guards against a limit that a told host forgets when the hosts that report it are gone.
#[test]
fn a_limit_outlasts_the_hosts_that_report_it() {
    let clock = Arc::new(ManualClock::default());
    let (state, target) = (state(clock.clone()), known_target("t-1", "north"));
    let view = state.view().expect("a view");
    let is_limited = || state.readiness(&view, &target) != Readiness::Ready;
    answered(&state, &target, &limited(0.1));
    clock.advance(secs(5.0));
    let report = LimitReport { age_ms: 100, limit: Some(0.1), number: 1 };
    let reporting = View { limits: [(target.tag, report)].into(), ..View::clone(&view) };
    state.update_notices(&reporting);
    assert!(is_limited());
    clock.advance(secs(2.0));
    state.update_notices(&view);
    assert!(is_limited(), "the reporters are silent, the target has said nothing else");
}

/// Guards against attempts that are taken for paced although the limit left no request for them.
#[test]
fn an_attempt_without_a_token_is_not_sent() {
    let (state, target) = (state(Arc::default()), known_target("t-1", "north"));
    answered(&state, &target, &limited(1.0));
    for fingerprint in 0..50 {
        let placed = state.start_attempt(&target, fingerprint, Forecast::default(), None);
        assert!(!state.may_still_send(&target, &placed));
    }
}

/// Guards against statements of another target that has taken over the address.
#[test]
fn statements_of_another_target_do_not_count() {
    let (state, target) = (state(Arc::default()), known_target("t-1", "north"));
    answered(&state, &target, &ReplyMetadata { wrong_target: true, ..resting(3) });
    assert!(state.target_notices.borrow().is_empty());
}

/// After its rest a target may still be overloaded; it gets one request at a time until it answers.
#[test]
fn a_rested_target_is_probed() {
    let clock = Arc::new(ManualClock::default());
    let (state, target) = (state(clock.clone()), known_target("t-1", "north"));
    let view = state.view().expect("a view");
    answered(&state, &target, &resting(3));
    assert_eq!(state.readiness(&view, &target), Readiness::Later(Some(secs(3.0))));
    clock.advance(secs(3.0));
    assert_eq!(state.readiness(&view, &target), Readiness::Ready);
    let _probe = state.start_attempt(&target, 1, Forecast::default(), None);
    assert_eq!(state.readiness(&view, &target), Readiness::Later(None));
    answered(&state, &target, &ReplyMetadata::default());
    assert_eq!(state.readiness(&view, &target), Readiness::Ready);
}

/// Guards against a region that counts on slots of limited, resting and leaving targets, and draws
/// requests that it has to refuse.
#[test]
fn slots_of_such_targets_are_missing_from_the_region() {
    let state = state(Arc::default());
    let targets: Vec<_> = (0..4).map(|at| known_target(&format!("t-{at}"), "north")).collect();
    let mut index = TargetIndex::default();
    index.update(&targets.clone().into());
    answered(&state, &targets[0], &resting(3));
    answered(&state, &targets[1], &limited(2.0));
    let leaving = reply(TargetStatement { is_leaving: true, ..TargetStatement::default() });
    answered(&state, &targets[2], &leaving);
    let notices = state.target_notices.borrow();
    let unusable = unusable_slots(&index, &notices, secs(0.5), Moment::ZERO);
    let north: f64 = unusable.values().sum();
    assert!((north - (3.0 + 3.0 - 0.9 + 3.0)).abs() < 1e-9, "{unusable:?}");
}
