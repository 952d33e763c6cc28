//! Admission of team requests, so that all hosts together stay within the limit of each team.
//!
//! Time, random draws and the reports of other hosts are passed in as values. A host decides
//! without asking another one. Each host reports how many requests of a team recently arrived and
//! were admitted; the error of a decision is bounded by what other hosts have not reported yet.
//!
//! Load pattern: one team sends many times its limit to all hosts at once, while many other teams
//! send a few requests per second, each to a different host.

mod bucket;
#[cfg(test)]
mod tests;
mod window;

pub use self::bucket::SharedBuckets;

use crate::{entry::TeamLimit, placement::NameTag, prelude::*};

/// Period covered by the counts that hosts report for a team.
pub const REPORT_WINDOW: Duration = Duration::from_millis(500);

/// Shortest and longest `Retry-After` of a rejected request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Requests of a team within the report window: arrived, and admitted.
pub type TeamCounts = (u32, u32);

/// Result of an admission check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    Admitted,
    /// The team is at its limit; the bucket should have a token after `retry_after`.
    Limited {
        retry_after: Duration,
    },
}

/// What this host knows about the other hosts.
#[derive(Clone, Debug, Default)]
pub struct PeerState {
    /// Whether most of the other live hosts were running when this host started.
    pub started_earlier: bool,
    /// Number of live hosts, including this one.
    pub live_hosts: usize,
    /// Number of live hosts and of silent hosts that may still admit requests.
    pub known_hosts: usize,
    /// Sums of the counts reported by other hosts, by team.
    pub counts: BTreeMap<NameTag, TeamCounts>,
}

/// Decides which requests of teams with a limit are admitted.
pub trait Quota {
    /// Replaces the limits. Teams without a limit are not restricted.
    fn set_limits(&mut self, limits: &BTreeMap<NameTag, TeamLimit>, now: Moment);

    /// Decides on one request. `draw` is uniformly distributed between 0 and 1.
    fn admit(&mut self, team: NameTag, draw: f64, now: Moment) -> Verdict;

    /// Charges a further attempt of an admitted request.
    fn charge(&mut self, team: NameTag, now: Moment);

    /// Refunds an admitted request that did not run.
    fn refund(&mut self, team: NameTag);

    /// Replaces the state of the other hosts.
    fn update_peers(&mut self, peers: &PeerState, now: Moment);

    /// Returns the counts that this host reports to other hosts.
    fn report(&self, now: Moment) -> Vec<(NameTag, TeamCounts)>;
}

/// Time until the bucket should have a token, with jitter.
fn retry_after(level: f64, refill: f64, draw: f64) -> Duration {
    let missing = (1.0 - level).max(0.0);
    let wait = missing / refill.max(f64::MIN_POSITIVE);
    let spread = 0.75 + draw / 2.0;
    let max = MAX_RETRY_AFTER.as_secs_f64();
    Duration::from_secs_f64((wait * spread).clamp(MIN_RETRY_AFTER.as_secs_f64(), max))
}
