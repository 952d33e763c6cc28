//! The ways of knowing a target's load.

use super::{
    groups::GroupOwners,
    hosts::Hosts,
    load::{Arrival, Size},
    reports::Reports,
    service::Service,
    stated::StatedLoads,
    target::Run,
};
use crate::{placement::Forecast, prelude::*};

/// A way of knowing a target's load.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Way {
    /// Each host has exact knowledge of all targets at no cost.
    Oracle,
    /// One owner per group of targets, asked by a datagram.
    Owners,
    /// The loads of other hosts are 100 ms old.
    Reports,
    /// Targets state their load in each answer.
    Stated,
    /// The loads of other hosts are sent on change and 20 ms old.
    Updates20,
    /// The loads of other hosts are sent on change and 50 ms old.
    Updates50,
}

impl Way {
    /// Every way, in the order of the table.
    pub const ALL: [Self; 6] =
        [Self::Reports, Self::Owners, Self::Updates20, Self::Updates50, Self::Stated, Self::Oracle];

    /// Its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Oracle => "oracle: exact, at no cost",
            Self::Owners => "(a) owners of groups",
            Self::Reports => "(0) reports, 100 ms old",
            Self::Stated => "(c) stated in answers",
            Self::Updates20 => "(b) updates, 20 ms old",
            Self::Updates50 => "(b) updates, 50 ms old",
        }
    }

    pub(super) fn open(self, size: Size, service: Service) -> Box<dyn Knowledge> {
        match self {
            Self::Oracle => Box::new(Hosts::oracle(size, service, Reports::exact(size))),
            Self::Owners => Box::new(GroupOwners::new(size, service)),
            Self::Reports => Box::new(Hosts::new(size, service, Reports::heartbeats(size))),
            Self::Stated => Box::new(Hosts::new(size, service, StatedLoads::new(size))),
            Self::Updates20 => Box::new(Hosts::new(size, service, Reports::on_change(size, 20))),
            Self::Updates50 => Box::new(Hosts::new(size, service, Reports::on_change(size, 50))),
        }
    }
}

/// The target that a request is sent to.
#[derive(Clone, Debug)]
pub(super) struct Placement {
    pub forecast: Forecast,
    /// Position of the target.
    pub target: usize,
}

/// What is known of the targets in one way, and the decisions that are made with it. Times are in
/// milliseconds since the start and do not decrease from call to call.
pub(super) trait Knowledge {
    /// Places a request that reached a host. Returns the time that this takes, in milliseconds, and
    /// the target, unless the request is refused.
    fn place(&mut self, arrival: &Arrival, now: u64) -> (u64, Option<Placement>);

    /// The host has the answer of a request, or its refusal by the target, which then has `load`
    /// requests.
    fn ended(&mut self, run: &Run, load: usize, is_answered: bool, now: u64);

    /// Bytes of control messages that each host sent; in way (c), those that it received.
    fn bytes(&self) -> &[u64];
}
