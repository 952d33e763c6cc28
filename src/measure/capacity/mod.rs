//! What each role costs at the size that the system has to reach.
//!
//! Each cost is measured at four sizes or more on one machine, a straight line is fitted, and the
//! line is followed to the target's size. What can't be measured on one machine is worked out from
//! constants of the code, and marked so.

mod exchange;
mod failures;
mod figure;
mod fit;
pub(super) mod fleet;
pub(super) mod gauge;
pub(super) mod ledgers;
mod limits;
mod lookups;
mod manifests;
mod memory;
mod operators;
mod ownership;
mod page;
mod platform;
mod report;
mod requests;
mod rpc;
mod target;
#[cfg(test)]
mod tests;
mod time_line;

pub use self::{
    figure::{Basis, Figure, Load, Resource, RoleCost, Scale},
    fit::{Fit, Point, fit},
    page::splice,
    report::{Report, run},
};
