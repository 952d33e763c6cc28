//! The policy against its baselines, in virtual time.
//!
//! The real machine of every host decides; callers, delays and targets are modelled. One seed draws
//! the same callers and the same work for every contender, so that their figures compare.

mod agenda;
mod backend;
mod carry;
mod contender;
mod cost;
mod experiment;
mod plot;
mod report;
mod result;
mod scenario;
mod summary;
#[cfg(test)]
mod tests;
mod world;

pub use self::{
    contender::Contender,
    cost::{Cost, costs},
    plot::{PlotError, plots},
    report::{Choice, Report, run},
    result::Row,
    scenario::Scenario,
    summary::{Spread, Summary, Verdict},
    world::Member,
};
