//! The operators' view of a host and of the fleet.

mod explanation;
mod status;

pub use self::{
    explanation::{Explanation, Step},
    status::{DrainStatus, HostStatus, ServiceStatus, SilentZone, TenureStatus},
};
