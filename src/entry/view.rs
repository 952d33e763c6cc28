//! What the control side publishes for the traffic side.

use std::collections::HashMap;

use arc_swap::ArcSwapOption;

use super::{Declaration, UsableTargets};
use crate::{
    placement::{NameTag, ObjectTag, SentTotals, SlowdownReport, TargetTag},
    prelude::*,
    quota::TeamCounts,
};

/// Everything that a request's decisions read of the control side.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// When it was published.
    pub published_at: Moment,
    pub declared: Option<Arc<Declaration>>,
    /// When the declaration was last confirmed to be the latest in the store; `None` if it never was,
    /// or another host knows a later one.
    pub declared_checked_at: Option<Moment>,
    /// Whether most of the other live hosts were running when this host started.
    pub peers_started_earlier: bool,
    /// Number of hosts that are live or may be partitioned, including this one.
    pub known_hosts: usize,
    /// Other living hosts and this one, by region and name.
    pub hosts: Vec<LiveHost>,
    /// Requests that other hosts have in attempt, by target's tag.
    pub in_flight_elsewhere: HashMap<u32, u32>,
    /// Busy slots asked for, by region and hash of the service; this host's share is left out.
    pub demand: HashMap<(RegionId, u32), f64>,
    /// Crashes that other hosts saw, by fingerprint.
    pub crashes: HashMap<u64, u8>,
    /// Objects that other hosts lately asked targets for.
    pub recent_objects: Vec<(TargetTag, ObjectTag)>,
    /// What other hosts of the own region sent to each region.
    pub sent: SentTotals,
    /// What other hosts tell of slow targets.
    pub slow_targets: HashMap<TargetTag, SlowdownReport>,
    pub targets: UsableTargets,
    /// Requests of teams that other hosts reported.
    pub team_counts: BTreeMap<NameTag, TeamCounts>,
}

/// A host that takes callers.
#[derive(Clone, Debug, PartialEq)]
pub struct LiveHost {
    pub callers: SocketAddr,
    pub host: HostId,
    /// It gets too little of its processor.
    pub is_strained: bool,
    pub region: RegionId,
    pub zone: ZoneId,
}

/// The published view.
pub type ViewCell = Arc<ArcSwapOption<View>>;
