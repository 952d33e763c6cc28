//! Small scripted runs that the shipped traces are made from.
//!
//! Each script plays the parts around the decisions by hand: callers, targets, and the messages
//! between a few hosts. The statements about each run are written here, not derived from it, so
//! that making the traces anew can't turn a wrong decision into an expected one.

mod flash;
mod late;
mod paused;
mod platform_away;
mod poison;
mod region_lost;
mod script;
mod site_drained;
#[cfg(test)]
mod tests;
mod world;

use super::SteerTrace;

/// A script that makes one trace.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub make: fn() -> SteerTrace,
    /// Name of the trace's file, without its extension.
    pub name: &'static str,
}

/// Every scenario.
pub const ALL: [Scenario; 7] = [
    Scenario { make: flash::make, name: "flash-of-callers" },
    Scenario { make: late::make, name: "late-and-crossed-answers" },
    Scenario { make: paused::make, name: "paused-leaseholder" },
    Scenario { make: platform_away::make, name: "platform-away" },
    Scenario { make: poison::make, name: "poison-request" },
    Scenario { make: region_lost::make, name: "region-lost" },
    Scenario { make: site_drained::make, name: "site-drained" },
];
