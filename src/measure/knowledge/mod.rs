//! Model of the ways of knowing a target's load, with the real placement decisions.
//!
//! Hosts of one region place requests on targets of one service. The same arrivals are placed in
//! each way, so that the ways are compared under the same load. Time advances in milliseconds.

mod group;
mod groups;
mod hosts;
mod known_runs;
mod load;
mod loads;
mod report;
mod reports;
mod service;
mod simulation;
mod stated;
mod table;
mod target;
#[cfg(test)]
mod tests;
mod way;

pub use self::{
    load::Size,
    report::{Choice, Report, Row, run},
    table::splice,
    way::Way,
};
