//! What of the placement can be weighed or switched off.

/// Weights and switches of the placement. Hosts run with the default; tests and measurements set
/// others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Part of a region's slots that its own callers fill before any go elsewhere. Queues are short
    /// up to there, and a region that is half free can take in what another one loses.
    pub fill: f64,
    /// Whether hosts learn how many objects targets keep; an assumption serves otherwise.
    pub learn_keeps: bool,
    /// Longest time that a new request may be expected to take, as a multiple of its route's
    /// objective. A late answer is worth more to a caller than a refusal, until it makes those
    /// behind it late too.
    pub patience: f64,
    /// What each rank by hash is charged, in seconds: enough for hosts to agree where nothing else
    /// tells targets apart, and less than any wait.
    pub rank_charge: f64,
    /// Part of the largest allowed shift that a host uses in one span: requests are few in it, and
    /// their chance order adds to the shift that is seen.
    pub shift_part: f64,
    /// Whether hosts use what others tell of the objects that they asked targets for.
    pub told_runs: bool,
    /// Whether hosts use what others tell of slow targets.
    pub told_slow: bool,
    /// Whether an object's first target by hash may be taken to know it where nothing was heard.
    pub trusts_homes: bool,
    /// What a run at a target that does not know the object is charged beyond its own time, as a
    /// multiple of the time that knowing it would have saved: it keeps a slot that long, and the
    /// target forgets another object for it.
    pub unknown_charge: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            fill: 0.4,
            learn_keeps: true,
            patience: 2.0,
            rank_charge: 0.01,
            shift_part: 0.7,
            told_runs: true,
            told_slow: true,
            trusts_homes: true,
            unknown_charge: 2.0,
        }
    }
}
