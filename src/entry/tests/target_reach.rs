//! How a host finds out that it reaches no target.

use super::secs;
use crate::entry::target_reach::{Reach, ReachChange, TargetReach};

/// A host for which connections to three targets have failed and no probe succeeded.
fn cut_off() -> TargetReach {
    let mut reach = TargetReach::default();
    assert!(!reach.record_failure(1, 40, secs(1.0)));
    assert!(!reach.record_failure(2, 40, secs(1.1)));
    assert!(reach.record_failure(3, 40, secs(1.2)));
    assert_eq!(reach.next_round(), Some((secs(1.2), 6)));
    let change = reach.record_round(0, 6, secs(1.3));
    assert_eq!(change, Some(ReachChange::CutOff { since: secs(1.0), failed: 3 }));
    reach
}

/// Guards against a host that takes the loss of a few targets for the loss of its own links.
#[test]
fn a_host_that_reaches_another_target_is_not_cut_off() {
    let mut reach = TargetReach::default();
    (1..=3).for_each(|target| _ = reach.record_failure(target, 40, secs(1.0)));
    assert_eq!(reach.reach(), Reach::Suspected);
    assert_eq!(reach.record_round(1, 6, secs(1.1)), None);
    assert_eq!((reach.reach(), reach.next_round()), (Reach::Reachable, None));
    (1..=4)
        .for_each(|target| assert!(!reach.record_failure(target, 40, secs(2.0)), "checked lately"));
    assert!(reach.record_failure(5, 40, secs(4.2)));
}

/// Guards against suspicions that are raised by single targets, old failures or failures between
/// successes: each would cost new connections.
#[test]
fn failures_of_one_target_or_between_successes_raise_no_suspicion() {
    let mut reach = TargetReach::default();
    assert!((0..9).all(|_| !reach.record_failure(1, 40, secs(1.0))));
    assert!(!reach.record_failure(2, 40, secs(1.0)));
    reach.record_connected(secs(1.1));
    assert!(!reach.record_failure(3, 40, secs(1.2)) && !reach.record_failure(4, 40, secs(1.3)));
    assert!(!reach.record_failure(5, 40, secs(6.4)), "the failures before are too old");
}

/// Guards against a small deployment in which the fewest targets for a suspicion do not exist.
#[test]
fn failures_of_all_targets_raise_a_suspicion_however_few_there_are() {
    let mut reach = TargetReach::default();
    assert!(!reach.record_failure(1, 2, secs(1.0)));
    assert!(reach.record_failure(2, 2, secs(1.1)));
}

/// Guards against kept connections that hide that new ones are refused.
#[test]
fn responses_on_kept_connections_do_not_refute_refused_ones() {
    let mut reach = TargetReach::default();
    for target in 1..=2 {
        reach.record_failure(target, 40, secs(1.0));
        reach.record_response(secs(1.1));
    }
    assert!(reach.record_failure(3, 40, secs(1.2)));
}

/// Guards against links that swallow everything: no connection fails, requests just wait.
#[test]
fn unanswered_requests_at_several_targets_raise_a_suspicion() {
    let waiting = |targets| (0..targets).map(|target| (target, secs(2.0)));
    let mut reach = TargetReach::default();
    reach.record_response(secs(1.9));
    assert!(!reach.check_silence(waiting(3), secs(2.9)), "most requests may take that long");
    assert!(!reach.check_silence(waiting(2), secs(3.1)), "two targets may be slow");
    let mut answered = TargetReach::default();
    answered.record_response(secs(2.5));
    assert!(!answered.check_silence(waiting(3), secs(3.1)), "a target answered meanwhile");
    assert!(reach.check_silence(waiting(3), secs(3.1)));
}

/// Guards against a state that flaps with links that come and go, and against a host that stays cut
/// off after its links are back.
#[test]
fn a_host_returns_after_two_good_rounds() {
    let mut reach = cut_off();
    assert_eq!(reach.next_round(), Some((secs(1.6), 3)));
    for (round, reached) in [(0, 3), (1, 1), (2, 3), (3, 0)] {
        let now = secs(2.0 + f64::from(round));
        assert_eq!(reach.record_round(reached, 3, now), None, "round {round}");
    }
    assert_eq!(reach.record_round(2, 3, secs(7.0)), None);
    let returned = reach.record_round(3, 3, secs(7.3));
    assert_eq!(returned, Some(ReachChange::Returned { after: secs(6.0) }));
    assert_eq!(reach.reach(), Reach::Reachable);
}
