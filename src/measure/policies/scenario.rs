//! What happens while it is measured.

use crate::prelude::*;

/// When the event of a scenario comes, after the start.
pub(super) const EVENT_AT: Duration = Duration::from_secs(20);
/// How long the hosts that are left take to see that a region is gone.
pub(super) const SUSPICION: Duration = Duration::from_secs(3);
/// From when reports are late, where they are.
const LATE_FROM: Duration = Duration::from_secs(10);
/// How long a flash of callers lasts.
pub(super) const FLASH: Duration = Duration::from_secs(10);

/// One load with one kind of trouble.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize, clap::ValueEnum,
)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// Half of the slots busy.
    Half,
    /// Four fifths busy.
    High,
    /// Nineteen twentieths busy.
    Full,
    /// Hosts and targets of a region are gone at half load.
    RegionLost,
    /// The targets of a region are gone, its hosts are not: a large shift to cold caches.
    ColdShift,
    /// One target in five answers ten times slower.
    SlowTargets,
    /// Load reports are five seconds old at four fifths of the load.
    LateReports,
    /// Two thirds of the load endpoints lie at four fifths of the load.
    LyingReports,
    /// Callers of one region triple for ten seconds at half load.
    Flash,
}

impl Scenario {
    /// Every scenario.
    pub const ALL: [Scenario; 9] = [
        Scenario::Half,
        Scenario::High,
        Scenario::Full,
        Scenario::RegionLost,
        Scenario::ColdShift,
        Scenario::SlowTargets,
        Scenario::LateReports,
        Scenario::LyingReports,
        Scenario::Flash,
    ];

    /// Its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Scenario::Half => "50 % load",
            Scenario::High => "80 % load",
            Scenario::Full => "95 % load",
            Scenario::RegionLost => "region lost",
            Scenario::ColdShift => "cold shift",
            Scenario::SlowTargets => "slow targets",
            Scenario::LateReports => "reports 5 s late",
            Scenario::LyingReports => "lying endpoints",
            Scenario::Flash => "flash",
        }
    }

    /// Share of the slots that the load keeps busy, without any trouble.
    pub(super) fn load(self) -> f64 {
        match self {
            Scenario::High | Scenario::LateReports | Scenario::LyingReports => 0.8,
            Scenario::Full => 0.95,
            Scenario::Flash
            | Scenario::Half
            | Scenario::RegionLost
            | Scenario::ColdShift
            | Scenario::SlowTargets => 0.5,
        }
    }

    /// How old a report is that is taken at `now`. Reports are late from `LATE_FROM` on only:
    /// hosts that start without reports hold their slots back, which is not what is measured.
    pub(super) fn report_lag(self, now: Moment) -> Duration {
        if self == Scenario::LateReports && LATE_FROM <= now {
            Duration::from_secs(5)
        } else {
            Duration::from_millis(200)
        }
    }
}
