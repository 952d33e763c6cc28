//! Which target runs a request of an entry host.
//!
//! Decisions only: time, load and answers come in as values, and nothing here reads clocks or does
//! I/O. What the decisions go by is learnt from answers: how long a request takes at a target that
//! knows its object and at one that does not (`work_time`), which objects each target still knows
//! (`held_objects`), how far away the regions are (`round_trips`), which targets are slow or failing
//! (`condition`). `choose` weighs the targets of a region, of which `target_index` names the few that matter; `shares` decides on the region, within what
//! `sent` says that all hosts of the own region may still move.

mod cache_capacity;
mod cached_objects;
mod choose;
mod cold_target_limiter;
mod forecast;
mod region_shares;
mod round_trips;
mod sent_requests;
mod service_estimates;
mod slowdown_report;
mod target_health;
mod target_index;
#[cfg(test)]
mod tests;
mod tuning;
mod work_time;

pub use self::{
    cache_capacity::CacheCapacity,
    cached_objects::CachedObjects,
    choose::{Candidate, CandidateEstimate, Choice, PlacementQuery, choose},
    cold_target_limiter::{ColdTargetLimiter, is_cold_sender},
    forecast::Forecast,
    region_shares::{RegionLoad, RegionShares},
    round_trips::RoundTrips,
    sent_requests::{SHIFT_WINDOW, SentCounter, SentTotals, ServiceRegion, WindowCounts},
    service_estimates::ServiceEstimates,
    slowdown_report::SlowdownReport,
    target_health::{HealthChange, HealthSignal, TargetHealth},
    target_index::{ShortlistQuery, TargetIndex},
    tuning::Tuning,
    work_time::WorkTime,
};

/// Hash of a target's id and start; the same on every host.
pub type TargetTag = u32;

/// Hash of a service's or a region's name, as hosts tell each other.
pub type NameTag = u32;

/// The tag of a name.
pub fn name_tag(name: &str) -> NameTag {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as NameTag
}

/// Hash of the object that requests are about; the same on every host.
pub type ObjectTag = u32;
