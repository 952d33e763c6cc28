//! What one host knows and does.

use crate::{drain::DrainRecord, prelude::*, view::HostView};

/// What one host knows and does. Every field past `own` has a default, so that hosts of another
/// release still answer usefully.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HostStatus {
    /// Whether calls to the platform are held back after failures.
    #[serde(default)]
    pub breaker_open: bool,
    #[serde(default)]
    pub drains: Vec<DrainStatus>,
    /// Targets that get no work since they failed.
    #[serde(default)]
    pub ejected: Vec<TargetId>,
    /// Live hosts, this one included; empty if whoever asked did not want them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub hosts: Vec<HostView>,
    pub own: HostView,
    /// Milliseconds since the platform last answered; `None` if it never did.
    #[serde(default)]
    pub platform_age_ms: Option<u64>,
    /// Sequence of the manifest in force; `None` without one.
    #[serde(default)]
    pub sequence: Option<Sequence>,
    #[serde(default)]
    pub services: Vec<ServiceStatus>,
    #[serde(default)]
    pub silent_zones: Vec<SilentZone>,
    #[serde(default)]
    pub tenure: Option<TenureStatus>,
}

impl HostStatus {
    /// A host that knows only itself.
    pub fn new(own: HostView) -> Self {
        Self {
            breaker_open: false,
            drains: Vec::new(),
            ejected: Vec::new(),
            hosts: Vec::new(),
            own,
            platform_age_ms: None,
            sequence: None,
            services: Vec::new(),
            silent_zones: Vec::new(),
            tenure: None,
        }
    }
}

/// One drain and how far it has come.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DrainStatus {
    /// Requests that still run on what is drained, as far as this host knows.
    #[serde(default)]
    pub in_flight: u64,
    pub record: DrainRecord,
    /// Time from the order to the last request's end, once it has come.
    #[serde(default)]
    pub took_ms: Option<u64>,
    /// Why it waits, if it does.
    #[serde(default)]
    pub waits: Option<Arc<str>>,
}

/// Use of one service at one host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceStatus {
    /// Most of a home region's requests that may be served by other regions, from 0 to 1.
    pub cap: f64,
    /// Requests that this host has running.
    pub in_flight: u64,
    pub service: ServiceId,
    /// Share that is served by other regions now, from 0 to 1.
    pub shifted: f64,
    /// Slots of the targets that this host owns.
    pub slots: u64,
}

/// A zone that this host does not hear.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SilentZone {
    pub for_ms: u64,
    pub zone: ZoneId,
}

/// This host's right to its targets.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TenureStatus {
    /// Number of the last change of the zone's hosts on the platform.
    pub fence: u64,
    pub owners: Vec<HostId>,
    #[serde(default)]
    pub provisional: Vec<HostId>,
    /// Milliseconds that the right still holds; 0 once lapsed.
    pub valid_ms: u64,
}
