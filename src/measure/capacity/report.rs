//! All measurements in one run.

use serde::Serialize;

use super::{
    figure::{RoleCost, Scale},
    ledgers,
    limits::{Limit, limits},
    lookups, manifests, time_line,
};

/// What a run gives.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub limits: Vec<Limit>,
    pub roles: Vec<RoleCost>,
}

type Measure = fn(Scale) -> RoleCost;

/// Measures every role; `progress` is told the name of each before it begins.
pub fn run(scale: Scale, mut progress: impl FnMut(&str)) -> Report {
    let parts: [(&str, Measure); 4] = [
        ("look-up", lookups::measure),
        ("relay and manifest in force", manifests::measure),
        ("ledger", ledgers::measure),
        ("time line", time_line::measure),
    ];
    let measure = |(name, measure): (&str, Measure)| {
        progress(name);
        measure(scale)
    };
    let roles: Vec<RoleCost> = parts.into_iter().map(measure).collect();
    Report { limits: limits(&roles), roles }
}
