//! The limits of the target, and whether the sums of all roles keep them.

use serde::Serialize;

use super::{
    figure::{Basis, Load, Resource, RoleCost},
    target,
};

/// A resource, its limit and what all roles together use.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Limit {
    pub basis: Basis,
    pub limit: f64,
    pub resource: Resource,
    pub used: f64,
}

impl Limit {
    /// Whether the sum keeps the limit.
    pub fn is_kept(&self) -> bool {
        self.used <= self.limit
    }
}

/// Every limit of the target, held against the roles.
pub fn limits(roles: &[RoleCost]) -> Vec<Limit> {
    let limit = |(resource, limit)| {
        let loads: Vec<&Load> = roles
            .iter()
            .flat_map(|role| &role.loads)
            .filter(|load| load.resource == resource)
            .collect();
        let measured = loads.iter().all(|load| load.basis == Basis::Measured);
        let basis = if measured { Basis::Measured } else { Basis::WorkedOut };
        Limit { basis, limit, resource, used: loads.iter().fold(0.0, |sum, load| sum + load.value) }
    };
    [
        (Resource::ControlCpu, target::CONTROL_CPU),
        (Resource::Memory, target::CONTROL_MEMORY),
        (Resource::ControlWire, target::CONTROL_WIRE),
        (Resource::InForce, target::IN_FORCE.as_secs_f64()),
        (Resource::PlatformWrites, target::PLATFORM_WRITES),
        (Resource::PlatformReads, target::PLATFORM_READS),
    ]
    .map(limit)
    .into()
}
