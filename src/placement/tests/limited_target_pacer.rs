//! When a host may send to a limited target.

use std::ops::Range;

use super::secs;
use crate::placement::{LimitedTargetPacer, Pace};

const TAG: u32 = 7;

fn pace(rank: usize, limit: f64) -> Pace {
    let may_be_split = false;
    Pace { confirmed_at: secs(10.0), hosts: 10, limit, may_be_split, rank: Some(rank) }
}

/// Times at which hosts of these ranks charge requests, if each has one every 50 ms.
fn charged(ranks: Range<usize>, limit: f64, until: f64) -> Vec<(f64, usize)> {
    let mut pacers: Vec<_> = ranks.map(|rank| (rank, LimitedTargetPacer::default())).collect();
    let mut charged = Vec::new();
    for step in 0..((until - 10.0) * 20.0) as u32 {
        let at = 10.0 + f64::from(step) / 20.0;
        for (rank, pacer) in &mut pacers {
            if pacer.charge(TAG, &pace(*rank, limit), secs(at)) {
                charged.push((at, *rank));
            }
        }
    }
    charged
}

/// Guards against a target that is spared for good since its two senders are never asked for its
/// service.
#[test]
fn other_hosts_take_turns_to_ask_a_silent_target() {
    let charged = charged(2..10, 2.0, 23.0);
    assert!(charged.iter().all(|(at, _)| 13.0 <= *at), "{charged:?}");
    let mut asked: Vec<usize> = charged.iter().map(|(_, rank)| *rank).collect();
    assert_eq!(asked.len(), 9, "one request a second: {charged:?}");
    asked.sort_unstable();
    asked.dedup();
    assert_eq!(asked, (2..10).collect::<Vec<_>>());
}

/// Guards against turns that break the limit while the senders send.
#[test]
fn turns_and_senders_together_keep_the_limit() {
    for limit in [0.2, 0.5, 2.2, 20.0] {
        let charged = charged(0..10, limit, 70.0);
        let in_window = |from: f64| {
            charged.iter().filter(|(at, _)| from <= *at && *at < from + 4.0).count() as f64
        };
        let peak = charged.iter().map(|(at, _)| in_window(*at)).fold(0.0, f64::max);
        assert!(peak <= 1.5 * limit * 4.0 + 5.0, "limit {limit}: {peak}");
    }
}

/// Guards against a limit that four senders break together: two in each half of the hosts.
#[test]
fn the_senders_of_two_halves_together_keep_the_limit() {
    for limit in [0.0, 0.2, 0.5, 2.2, 8.0, 20.0] {
        let mut pacers: Vec<_> = (0..4).map(|_| LimitedTargetPacer::default()).collect();
        let mut sent = Vec::new();
        for step in 0..60_000_u32 {
            let now = secs(f64::from(step) / 1_000.0);
            let pace = Pace { confirmed_at: now, may_be_split: true, ..pace(0, limit) };
            for pacer in &mut pacers {
                // All have saved up a request when the flood begins.
                if pacer.may_send(TAG, &pace, now) && 40_000 <= step {
                    assert!(pacer.charge(TAG, &pace, now));
                    sent.push(step);
                }
            }
        }
        let in_window =
            |from: u32| sent.iter().filter(|at| (from..from + 4_000).contains(at)).count() as f64;
        let peak = sent.iter().map(|at| in_window(*at)).fold(0.0, f64::max);
        assert!(peak <= 1.5 * limit * 4.0 + 5.0, "limit {limit}: {peak}");
    }
}

/// Guards against hosts that send beside the two senders while these hear of the target.
#[test]
fn other_hosts_send_nothing_to_a_target_that_answers() {
    let mut pacer = LimitedTargetPacer::default();
    for step in 0..1_000 {
        let now = secs(f64::from(step) / 20.0);
        let pace = Pace { confirmed_at: now.saturating_sub(secs(2.0)), ..pace(2, 8.0) };
        assert!(!pacer.charge(TAG, &pace, now));
    }
}
