//! Chooses the target that runs a request of an entry host.
//!
//! Pure decision logic: time, load and answers are passed in as values; nothing here reads clocks
//! or does I/O. A target that has an object cached answers requests about it several times faster
//! than one that does not. Hosts estimate from answers how long both kinds of request take
//! (`work_time`), which objects each target has cached (`cached_objects`, `cache_capacity`), how
//! far away the regions are (`round_trips`), and which targets are slow or failing
//! (`target_health`).
//!
//! What hosts learned of a service outlives them in the store (`learned`, `learned_writes`).
//!
//! `region_shares` selects the region, within the traffic that all hosts of the own region may
//! still shift (`sent_requests`). `target_index` makes a shortlist of targets, and `choose` selects
//! one.
//!
//! Used by entry hosts, on the users' platform. Hosts started with `run` use `crate::selection`,
//! which has a `Candidate` and a `HealthSignal` of its own.

mod cache_capacity;
mod cached_objects;
mod choose;
mod cold_target_limiter;
mod first_runs;
mod forecast;
mod learned;
mod learned_text;
mod learned_writes;
mod limited_target_pacer;
mod paced_senders;
mod region_shares;
mod round_trips;
mod sent_requests;
mod service_estimates;
mod slowdown_report;
mod target_health;
mod target_index;
mod target_limits;
mod target_notices;
#[cfg(test)]
mod tests;
mod tuning;
mod work_time;

pub use self::{
    cache_capacity::CacheCapacity,
    cached_objects::CachedObjects,
    choose::{Candidate, CandidateEstimate, Choice, PlacementQuery, choose},
    cold_target_limiter::ColdTargetLimiter,
    first_runs::{FirstRunBudget, FirstRunRule, SlotUse},
    forecast::Forecast,
    learned::{InitialState, LearnedService, LearnedState},
    learned_text::{LearnedError, ReadState},
    learned_writes::{LearnedWrites, is_learned_writer},
    limited_target_pacer::{LimitedTargetPacer, Pace, paced_rate, request_interval},
    paced_senders::{PacedSenderCache, SENDERS_PER_TARGET, paced_rank},
    region_shares::{RegionLoad, RegionShares},
    round_trips::RoundTrips,
    sent_requests::{SHIFT_WINDOW, SentCounter, SentTotals, ServiceRegion, WindowCounts},
    service_estimates::ServiceEstimates,
    slowdown_report::SlowdownReport,
    target_health::{HealthChange, HealthSignal, TargetHealth},
    target_index::{ShortlistQuery, TargetIndex},
    target_limits::{LimitChange, LimitReport, NamedLimit, TargetLimits},
    target_notices::{NoticeCounts, Rest, TargetNotices, TargetStatement},
    tuning::Tuning,
    work_time::{InitialTimes, WorkTime},
};

/// Hash of a target's id and start; the same on every host.
pub type TargetTag = u32;

/// Hash of a name, such as that of a service, region or team, used in messages between hosts.
pub type NameTag = u32;

pub fn name_tag(name: &str) -> NameTag {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as NameTag
}

/// Hash of the object that a request is about; the same on every host.
pub type ObjectTag = u32;
