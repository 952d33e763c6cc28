//! Adjustable parameters of placement.

/// Weights and switches of placement. Hosts use the defaults; tests set others to show what a
/// mechanism contributes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Fraction of a region's slots that its own callers use before requests go to other regions.
    /// Queues stay short up to this level, and a region that is half idle can absorb the load that
    /// another one loses.
    pub home_utilization: f64,
    /// Whether hosts estimate how many objects targets cache; otherwise they use a fixed default.
    pub learn_cache_capacity: bool,
    /// Maximum expected answer time of a new request, as a multiple of its route's objective. A
    /// late answer is worth more to a caller than a refusal, until it delays the requests behind it
    /// too.
    pub max_objective_multiple: f64,
    /// Cost of each rank in hash order, in seconds: enough for hosts to choose the same target when
    /// nothing else distinguishes the candidates, and less than any queue wait.
    pub rank_cost_secs: f64,
    /// Fraction of the maximum shift that a host uses in one window: a window holds few requests,
    /// and their random order adds to the observed shift.
    pub shift_fraction: f64,
    /// Whether hosts use the reports of others on which targets received requests for which
    /// objects.
    pub use_reported_runs: bool,
    /// Whether hosts use the reports of others on slow targets.
    pub use_reported_slowness: bool,
    /// Whether an object's primary target, the first in hash order, may be assumed to have it
    /// cached when no request for the object is known.
    pub assume_primary_cached: bool,
    /// Extra cost of a cache miss beyond its own time, as a multiple of the time that a hit saves:
    /// a miss occupies a slot that much longer and evicts another object.
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
