//! Team limits on one host, and on several hosts with delayed reports.

mod model;
mod share;

use assert_matches::assert_matches;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use share::{ShareBuckets, ShareBy};

use super::{PeerState, Quota, SharedBuckets, TeamCounts, TeamLimit, Verdict};
use crate::prelude::*;

const TEAM: u32 = 7;
const LIMIT: TeamLimit = TeamLimit { burst: 10.0, rate: 10.0 };

fn secs(secs: f64) -> Moment {
    Duration::from_secs_f64(secs)
}

fn peers(live_hosts: usize, known_hosts: usize, counts: TeamCounts) -> PeerState {
    let counts = [(TEAM, counts)].into();
    PeerState { started_earlier: false, live_hosts, known_hosts, counts }
}

fn with_limit(mut quota: impl Quota, limit: TeamLimit, now: Moment) -> impl Quota {
    quota.set_limits(&[(TEAM, limit)].into(), now);
    quota
}

/// Buckets that have received the same reports for ten seconds.
fn warmed_up(peers: &PeerState) -> impl Quota + use<> {
    let mut quota = with_limit(SharedBuckets::new(secs(0.0)), LIMIT, secs(0.0));
    (0..100).for_each(|tick| quota.update_peers(peers, secs(f64::from(tick) / 10.0)));
    quota
}

/// Counts admitted requests when `batch` arrive at once every tenth of a second for `span` seconds.
fn admitted(quota: &mut impl Quota, batch: usize, from: f64, span: f64) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let ticks = (0..(span * 10.0) as usize).map(|tick| secs(from + tick as f64 / 10.0));
    let admitted = |now| {
        let verdicts = (0..batch).map(|_| quota.admit(TEAM, rng.random(), now));
        verdicts.filter(|verdict| *verdict == Verdict::Admitted).count()
    };
    ticks.map(admitted).sum()
}

/// Guards against a single host that admits more, or far less, than the limit.
#[test]
fn single_host_stays_within_the_limit() {
    let mut quota = warmed_up(&peers(1, 1, (0, 0)));
    assert_eq!(admitted(&mut quota, 1, 10.0, 5.0), 50, "no request below the limit is rejected");
    let over = admitted(&mut quota, 5, 15.0, 10.0);
    assert!((95..=125).contains(&over), "{over}");
}

/// Guards against a host that ignores admissions by other hosts and grants the whole limit itself.
#[test]
fn admissions_by_other_hosts_count() {
    // The other host admits eight requests per second.
    let mut quota = warmed_up(&peers(2, 2, (30, 4)));
    let here = admitted(&mut quota, 5, 10.0, 20.0);
    assert!((30..=62).contains(&here), "{here}");
}

/// Guards against a network partition in which each side admits the whole limit.
#[test]
fn silent_hosts_keep_their_share() {
    let mut quota = warmed_up(&peers(10, 40, (0, 0)));
    let here = admitted(&mut quota, 5, 10.0, 20.0);
    assert!((40..=62).contains(&here), "{here}");
}

/// Guards against a restart of all hosts after which each one admits the whole burst.
#[test]
fn a_newly_started_host_admits_few_requests() {
    let mut quota = with_limit(SharedBuckets::new(secs(10.0)), LIMIT, secs(10.0));
    let here = admitted(&mut quota, 5, 10.0, 1.0);
    assert!(here <= 2, "{here}");
}

/// Guards against a joining host that rejects requests of a team far below its limit.
#[test]
fn a_joining_host_admits_unused_capacity() {
    let mut quota = with_limit(SharedBuckets::new(secs(10.0)), LIMIT, secs(10.0));
    quota.update_peers(&PeerState { started_earlier: true, ..peers(72, 72, (3, 3)) }, secs(10.2));
    assert_eq!(admitted(&mut quota, 1, 10.2, 0.3), 3);
}

/// Guards against a limit that counts requests that no target ran.
#[test]
fn requests_that_did_not_run_are_refunded() {
    let mut quota = warmed_up(&peers(1, 1, (0, 0)));
    for _ in 0..20 {
        assert_eq!(quota.admit(TEAM, 0.0, secs(10.0)), Verdict::Admitted);
        quota.refund(TEAM);
    }
    assert_eq!(quota.report(secs(10.0)), [(TEAM, (20, 0))]);
}

/// Guards against a lowered limit that applies only after the previous burst is used up.
#[test]
fn a_lowered_limit_applies_immediately() {
    let high = TeamLimit { burst: 1e3, rate: 1e3 };
    let mut quota = with_limit(SharedBuckets::new(secs(0.0)), high, secs(0.0));
    quota.update_peers(&peers(1, 1, (0, 0)), secs(9.9));
    let mut quota = with_limit(quota, LIMIT, secs(10.0));
    let here = admitted(&mut quota, 5, 10.0, 5.0);
    assert!(here <= 72, "{here}");
}

/// Guards against a removed limit that is still enforced.
#[test]
fn a_removed_limit_is_not_enforced() {
    let mut quota = warmed_up(&peers(1, 1, (0, 0)));
    quota.set_limits(&BTreeMap::new(), secs(10.0));
    assert_eq!(admitted(&mut quota, 50, 10.0, 5.0), 2_500);
}

/// Guards against a `Retry-After` that ends before the bucket has a token.
#[test]
fn retry_after_covers_the_refill_time() {
    let limit = TeamLimit { burst: 0.0, rate: 2.0 };
    let mut quota = with_limit(ShareBuckets::new(ShareBy::Host), limit, secs(1.0));
    assert_eq!(quota.admit(TEAM, 0.5, secs(1.0)), Verdict::Admitted);
    let limited = quota.admit(TEAM, 0.5, secs(1.0));
    assert_matches!(limited, Verdict::Limited { retry_after } if retry_after == secs(0.5));
}
