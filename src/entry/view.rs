//! Snapshot that the control side publishes for the traffic side.

use std::collections::HashMap;

use arc_swap::ArcSwapOption;

use super::{Declaration, UsableTargets};
use crate::{
    fleet::CrashReport,
    placement::{
        InitialState, LimitReport, NameTag, ObjectTag, SentTotals, ServiceRegion, SlowdownReport,
        TargetTag,
    },
    prelude::*,
    quota::TeamCounts,
};

/// State of the control side on which decisions about requests are based.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// When the view was published.
    pub published_at: Moment,
    pub declaration: Option<Arc<Declaration>>,
    /// When the declaration was last confirmed to be the latest in the store; `None` if it never
    /// was, or another host knows a later one.
    pub declaration_checked_at: Option<Moment>,
    /// Whether a later declaration is known to exist or may be lost, so that an unknown route may be a
    /// new one.
    pub is_declaration_behind: bool,
    /// Whether most of the other live hosts were running when this host started.
    pub peers_started_earlier: bool,
    /// Number of hosts that are live or may be partitioned, including this one.
    pub known_hosts: usize,
    /// This host and other live hosts, except those that are leaving.
    pub hosts: Arc<[LiveHost]>,
    /// Requests that other hosts have in flight, by tag of the target.
    pub in_flight_elsewhere: HashMap<u32, u32>,
    /// Slots that callers of other hosts need, by service and the region that has to serve them.
    pub demand: HashMap<ServiceRegion, f64>,
    /// Crashes of targets that other hosts hold against requests.
    pub crashes: Vec<CrashReport>,
    /// What hosts learned earlier, read from the store at the start; `None` if there is nothing to
    /// begin from.
    pub learned: Option<Arc<InitialState>>,
    /// Limits of targets that other hosts reported.
    pub limits: HashMap<TargetTag, LimitReport>,
    /// Objects that other hosts recently requested from targets.
    pub recent_objects: Vec<(TargetTag, ObjectTag)>,
    /// Requests that other hosts of the own region sent to each region.
    pub sent: SentTotals,
    /// Slow targets that other hosts reported.
    pub slow_targets: HashMap<TargetTag, SlowdownReport>,
    pub targets: UsableTargets,
    /// Requests of teams that other hosts reported.
    pub team_counts: BTreeMap<NameTag, TeamCounts>,
}

/// A host that accepts requests from callers.
#[derive(Clone, Debug, PartialEq)]
pub struct LiveHost {
    pub callers: SocketAddr,
    /// Processor time that the host may use, in hundredths of a core.
    pub capacity: u16,
    pub host: HostId,
    /// Whether the host gets too little CPU time.
    pub is_strained: bool,
    /// Whether at least one target accepts connections of the host.
    pub reaches_targets: bool,
    pub region: RegionId,
    /// Address on which the host serves requests of other hosts; `None` if it serves none.
    pub relay: Option<SocketAddr>,
    pub zone: ZoneId,
}

/// The published view.
pub type ViewCell = Arc<ArcSwapOption<View>>;
