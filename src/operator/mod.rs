//! The operators' view of a host and of the fleet.

mod explain;
mod explanation;
mod gather;
mod render;
mod status;
mod table;
#[cfg(test)]
mod tests;

pub use self::{
    explain::explain,
    explanation::{Explanation, Step},
    gather::{FleetStatus, HostAnswer, gather},
    render::{render_explanation, render_status},
    status::{DrainStatus, HostStatus, ServiceStatus, SilentZone, TenureStatus},
    table::Table,
};
