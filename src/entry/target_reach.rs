//! Whether this host reaches any target at all.
//!
//! A host whose links to the targets are cut sees the same as one whose targets all went down. It
//! suspects the former when connections to several targets fail in a row, and finds out by connecting
//! to targets all over the fleet. What single targets do is left to their health.

use std::collections::BTreeMap;

use crate::{placement::TargetTag, prelude::*};

/// Number of targets with failures, and none with a success in between, that raise a suspicion; all
/// targets if there are fewer.
const SUSPECT_TARGETS: usize = 3;

/// Time for which a failure counts.
const FAILURE_RETENTION: Duration = Duration::from_secs(5);

/// Time after which an unanswered request counts as a failure, if no target has answered since.
/// Longer than most requests take under load.
const SILENCE: Duration = Duration::from_secs(1);

/// Targets that are probed to confirm a suspicion, and in each round while the host is cut off.
const CONFIRMING_PROBES: usize = 6;
const RETURN_PROBES: usize = 3;

/// Pause between two rounds of probes while the host is cut off.
const RETURN_INTERVAL: Duration = Duration::from_millis(300);

/// Consecutive successful rounds after which a host is no longer cut off, so that a link that comes
/// and goes does not change its state with each round.
const RETURN_ROUNDS: u32 = 2;

/// Time after a refuted suspicion in which none is raised, since each costs new connections.
const RECHECK_PAUSE: Duration = Duration::from_secs(3);

/// What the host believes of its links to targets.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Reach {
    #[default]
    Reachable,
    /// Probes are to show whether any target is reached.
    Suspected,
    /// No probed target was reached.
    CutOff,
}

/// Change of what the host believes, caused by a round of probes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReachChange {
    CutOff {
        /// When the first of the failures occurred.
        since: Moment,
        /// Number of targets with failures.
        failed: usize,
    },
    Returned {
        /// Time since the host was found to be cut off.
        after: Duration,
    },
}

/// State machine that tells whether a host reaches any target.
#[derive(Debug, Default)]
pub struct TargetReach {
    /// Targets with failures since the last success, and when these occurred.
    failed: BTreeMap<TargetTag, Moment>,
    /// When a target last answered or accepted a connection.
    heard_at: Moment,
    /// When the host was found to be cut off.
    cut_off_at: Moment,
    good_rounds: u32,
    next_round_at: Moment,
    reach: Reach,
    /// No suspicion is raised before this time.
    trusted_until: Moment,
}

impl TargetReach {
    /// What the host believes now.
    pub fn reach(&self) -> Reach {
        self.reach
    }

    /// Records that a target accepted a connection.
    pub fn record_connected(&mut self, now: Moment) {
        self.failed.clear();
        self.heard_at = now;
    }

    /// Records the response of a target. It does not show that new connections are accepted.
    pub fn record_response(&mut self, now: Moment) {
        self.heard_at = now;
    }

    /// Records a failed connection to one of `known` usable targets. Returns whether that raises a
    /// suspicion.
    pub fn record_failure(&mut self, target: TargetTag, known: usize, now: Moment) -> bool {
        self.failed.retain(|_, at| now.saturating_sub(*at) < FAILURE_RETENTION);
        self.failed.insert(target, now);
        self.suspect_if(SUSPECT_TARGETS.min(known) <= self.failed.len(), now)
    }

    /// Checks the requests that wait for a response: their targets, and since when. Returns whether
    /// that raises a suspicion.
    pub fn check_silence(
        &mut self,
        waiting: impl Iterator<Item = (TargetTag, Moment)>,
        now: Moment,
    ) -> bool {
        let is_silent =
            |since: &Moment| self.heard_at < *since && SILENCE <= now.saturating_sub(*since);
        let silent = waiting.filter(|(_, since)| is_silent(since));
        let silent: BTreeMap<TargetTag, Moment> = silent.collect();
        if silent.len() < SUSPECT_TARGETS {
            return false;
        }
        let is_suspected = self.suspect_if(true, now);
        if is_suspected {
            self.failed.extend(silent);
        }
        is_suspected
    }

    fn suspect_if(&mut self, has_failures: bool, now: Moment) -> bool {
        let is_suspected =
            has_failures && self.reach == Reach::Reachable && self.trusted_until <= now;
        if is_suspected {
            self.reach = Reach::Suspected;
            self.next_round_at = now;
        }
        is_suspected
    }

    /// When the next round of probes is due, and how many targets it probes; `None` while the host
    /// reaches targets.
    pub fn next_round(&self) -> Option<(Moment, usize)> {
        match self.reach {
            Reach::Reachable => None,
            Reach::Suspected => Some((self.next_round_at, CONFIRMING_PROBES)),
            Reach::CutOff => Some((self.next_round_at, RETURN_PROBES)),
        }
    }

    /// Whether connections to a target failed recently; others are probed first.
    pub fn has_failed(&self, target: TargetTag) -> bool {
        self.failed.contains_key(&target)
    }

    /// Records a round of probes that reached some of the probed targets.
    pub fn record_round(
        &mut self,
        reached: usize,
        probed: usize,
        now: Moment,
    ) -> Option<ReachChange> {
        self.next_round_at = now + RETURN_INTERVAL;
        match self.reach {
            Reach::Reachable => None,
            Reach::Suspected if 0 < reached || probed == 0 => {
                self.reach = Reach::Reachable;
                self.trusted_until = now + RECHECK_PAUSE;
                self.failed.clear();
                None
            }
            Reach::Suspected => {
                self.reach = Reach::CutOff;
                self.cut_off_at = now;
                self.good_rounds = 0;
                let since = self.failed.values().min().copied().unwrap_or(now);
                Some(ReachChange::CutOff { since, failed: self.failed.len() })
            }
            Reach::CutOff => {
                let is_good = probed <= reached * 2;
                self.good_rounds = if is_good { self.good_rounds + 1 } else { 0 };
                if self.good_rounds < RETURN_ROUNDS {
                    return None;
                }
                self.reach = Reach::Reachable;
                self.failed.clear();
                Some(ReachChange::Returned { after: now.saturating_sub(self.cut_off_at) })
            }
        }
    }
}
