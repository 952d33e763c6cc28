//! Which optional parts of the decisions are in use on this host, and why.

use crate::prelude::*;

/// Hosts of a region from which on a host places less than a sixth of the requests that its targets
/// get. Reports of the others, which are older than most requests last, then say more of a target's
/// load than the host's own requests do.
const MIN_REGION_HOSTS: usize = 6;

/// Objective up to which reports between hosts, which are up to half a second old, are older than a
/// request in time lasts. They are good enough to choose by where requests last longer.
const MAX_OBJECTIVE: Duration = Duration::from_millis(500);

/// Setting of one part.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum PartSwitch {
    /// In use where the deployment calls for it.
    #[default]
    Auto,
    Off,
    On,
}

/// Settings of all parts.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default)]
pub struct PartSettings {
    /// The ration of first runs; see `placement::FirstRunBudget`.
    pub first_runs: PartSwitch,
    /// Measurements that are kept in the store; see `learned_state`.
    pub learned_state: PartSwitch,
    /// Slots that a group's owner hands out; see `crate::reservation`.
    pub reservations: PartSwitch,
    /// Return times counted over all callers that were refused; see `admission::ReturnSchedule`.
    pub returns: PartSwitch,
}

/// Why a part is in use, or not.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PartReason {
    /// The region has had fewer hosts than the part needs to be worthwhile.
    FewHosts,
    /// All routes have longer objectives than the part is made for.
    LongObjectives,
    /// The region has had enough hosts at a time, and a route has a short objective.
    ManyHosts,
    /// The part is in use only where the settings ask for it.
    OptIn,
    /// The part that it builds on is not in use.
    NeedsReservations,
    /// The settings say so.
    Settings,
}

/// State of one part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PartState {
    pub is_on: bool,
    pub reason: PartReason,
}

/// What the parts in use follow from, besides the settings.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Deployment {
    /// Largest number of live hosts that the own region has had at a time. It only grows while a host
    /// runs, so that a loss of hosts switches nothing off.
    pub region_hosts: usize,
    /// Shortest objective of all routes; `None` while no declaration is known.
    pub shortest_objective: Option<Duration>,
}

impl PartState {
    fn of(switch: PartSwitch, deployment: Deployment) -> Self {
        let is_short = deployment.shortest_objective.is_some_and(|it| it <= MAX_OBJECTIVE);
        match switch {
            PartSwitch::Auto if deployment.region_hosts < MIN_REGION_HOSTS => {
                Self { is_on: false, reason: PartReason::FewHosts }
            }
            PartSwitch::Auto if is_short => Self { is_on: true, reason: PartReason::ManyHosts },
            PartSwitch::Auto => Self { is_on: false, reason: PartReason::LongObjectives },
            PartSwitch::Off => Self { is_on: false, reason: PartReason::Settings },
            PartSwitch::On => Self { is_on: true, reason: PartReason::Settings },
        }
    }

    /// The state of a part that `auto` leaves out.
    fn opt_in(switch: PartSwitch) -> Self {
        match switch {
            PartSwitch::Auto => Self { is_on: false, reason: PartReason::OptIn },
            set => Self::of(set, Deployment::default()),
        }
    }

    /// The state if the part can be in use only while `base` is.
    fn on_top_of(self, base: Self) -> Self {
        match self.is_on && !base.is_on {
            true => Self { is_on: false, reason: PartReason::NeedsReservations },
            false => self,
        }
    }
}

/// The parts in use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Parts {
    pub first_runs: PartState,
    pub learned_state: PartState,
    pub reservations: PartState,
    pub returns: PartState,
}

impl Parts {
    /// The parts that the settings and the deployment call for.
    pub fn new(settings: &PartSettings, deployment: Deployment) -> Self {
        let reservations = PartState::of(settings.reservations, deployment);
        Self {
            first_runs: PartState::of(settings.first_runs, deployment),
            learned_state: PartState::opt_in(settings.learned_state),
            reservations,
            returns: PartState::of(settings.returns, deployment).on_top_of(reservations),
        }
    }

    /// All parts with their names in the settings.
    pub fn iter(&self) -> impl Iterator<Item = (&'static str, PartState)> {
        [
            ("first_runs", self.first_runs),
            ("learned_state", self.learned_state),
            ("reservations", self.reservations),
            ("returns", self.returns),
        ]
        .into_iter()
    }
}
