//! All measurements in one run.

use serde::Serialize;

use super::{
    exchange, failures,
    failures::FailureCost,
    figure::{Load, Resource, RoleCost, Scale},
    ledgers,
    limits::{Limit, limits},
    lookups, manifests,
    memory::{self, Memory},
    operators, ownership, platform, requests, target, time_line,
};
use crate::manifest::MEAN_BLOCKS_PER_PART;

/// What a run gives.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub failures: Vec<FailureCost>,
    pub limits: Vec<Limit>,
    pub roles: Vec<RoleCost>,
}

type Measure = fn(Scale) -> RoleCost;

/// Measures every role; `progress` is told the name of each before it begins.
pub fn run(scale: Scale, mut progress: impl FnMut(&str)) -> Report {
    progress("memory");
    let memory = memory::measure(scale);
    let parts: [(&str, Measure); 9] = [
        ("look-up", lookups::measure),
        ("request path", requests::measure),
        ("owner of targets", ownership::measure),
        ("relay and manifest in force", manifests::measure),
        ("peer exchange", exchange::measure),
        ("ledger", ledgers::measure),
        ("time line", time_line::measure),
        ("operator's view", operators::measure),
        ("platform", platform::measure),
    ];
    let measure = |(name, measure): (&str, Measure)| {
        progress(name);
        measure(scale)
    };
    let mut roles: Vec<RoleCost> = parts.into_iter().map(measure).collect();
    add_memory(&mut roles, memory);
    progress("failures");
    Report { failures: failures::costs(scale), limits: limits(&roles), roles }
}

/// Memory belongs to the roles that hold it.
fn add_memory(roles: &mut [RoleCost], memory: Memory) {
    let Memory { answers, blocks, entries, membership, ring } = memory;
    let adopted = ledgers::adopted(&entries);
    let parts = [
        ("ledger", ledgers::bounded(&entries, &answers), vec![entries, answers]),
        (
            "look-up",
            Load::measured(
                Resource::Memory,
                blocks.value,
                "the tables are all that is kept of the blocks",
            ),
            vec![blocks.clone()],
        ),
        (
            "relay and manifest in force",
            Load::worked_out(
                Resource::Memory,
                blocks.value * MEAN_BLOCKS_PER_PART as f64 / target::BLOCKS as f64,
                "while a change is taken over the old table of one part stands beside the new one",
            ),
            Vec::new(),
        ),
        (
            "peer exchange",
            Load::measured(Resource::Memory, membership.value, "what a host knows of the others"),
            vec![membership],
        ),
        ("time line", time_line::bounded(&ring), vec![ring]),
        ("ledger", adopted, Vec::new()),
    ];
    for (name, load, figures) in parts {
        let Some(role) = roles.iter_mut().find(|role| role.role == name) else { continue };
        role.loads.push(load);
        role.figures.extend(figures);
    }
}
