//! What `drain` and `undrain` are about.

use crate::{manifest::DrainScope, prelude::*};

/// What to take out of use: exactly one of these.
#[derive(Debug, clap::Args)]
#[group(required = true, multiple = false)]
pub struct ScopeArgs {
    /// An entry host.
    #[arg(long, value_name = "NAME")]
    entry_host: Option<HostId>,
    /// A region, with all its zones.
    #[arg(long, value_name = "NAME")]
    region: Option<RegionId>,
    /// A target.
    #[arg(long, value_name = "NAME")]
    target: Option<TargetId>,
    /// An availability zone, with its hosts and targets.
    #[arg(long, value_name = "NAME")]
    zone: Option<ZoneId>,
}

impl ScopeArgs {
    /// The one that was given.
    pub fn scope(&self) -> Option<DrainScope> {
        let host = self.entry_host.clone().map(DrainScope::Host);
        let region = || self.region.clone().map(DrainScope::Region);
        let target = || self.target.clone().map(DrainScope::Target);
        let zone = || self.zone.clone().map(DrainScope::Zone);
        host.or_else(region).or_else(target).or_else(zone)
    }
}

/// Who gives an order.
#[derive(Debug, clap::Args)]
pub struct ByArgs {
    /// Who orders it, as others will see it.
    #[arg(long, value_name = "NAME", env = "USER", default_value = "operator")]
    pub by: Arc<str>,
}
