//! What of the placement can be weighed or switched off.

/// Weights and switches of the placement. Hosts run with the default; tests and measurements set
/// others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Part of a region's slots that its own callers fill before any go elsewhere. Queues are short
    /// up to there, and a region that is half free can take in what another one loses.
    pub home_utilization: f64,
    /// Whether hosts learn how many objects targets keep; an assumption serves otherwise.
    pub learn_cache_capacity: bool,
    /// Longest time that a new request may be expected to take, as a multiple of its route's
    /// objective. A late answer is worth more to a caller than a refusal, until it makes those
    /// behind it late too.
    pub max_objective_multiple: f64,
    /// What each rank by hash is charged, in seconds: enough for hosts to agree where nothing else
    /// tells targets apart, and less than any wait.
    pub rank_cost_secs: f64,
    /// Part of the largest allowed shift that a host uses in one span: requests are few in it, and
    /// their chance order adds to the shift that is seen.
    pub shift_fraction: f64,
    /// Whether hosts use what others tell of the objects that they asked targets for.
    pub use_reported_runs: bool,
    /// Whether hosts use what others tell of slow targets.
    pub use_reported_slowness: bool,
    /// Whether an object's first target by hash may be taken to know it where nothing was heard.
    pub assume_primary_cached: bool,
    /// What a run at a target that does not know the object is charged beyond its own time, as a
    /// multiple of the time that knowing it would have saved: it keeps a slot that long, and the
    /// target forgets another object for it.
    pub miss_cost_factor: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            home_utilization: 0.4,
            learn_cache_capacity: true,
            max_objective_multiple: 2.0,
            rank_cost_secs: 0.01,
            shift_fraction: 0.7,
            use_reported_runs: true,
            use_reported_slowness: true,
            assume_primary_cached: true,
            miss_cost_factor: 2.0,
        }
    }
}
