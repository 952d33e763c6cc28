//! What fails, and when.

use rand::{Rng, seq::IndexedRandom};

use super::fixture::{HOSTS, REGIONS, TARGETS, ZONES};
use crate::prelude::*;

/// Every kind of failure that the system is made for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A target's answers come late, get lost, or belong to another request.
    AnswersAstray,
    HostKilled,
    /// The process stands still past its lease, and goes on unaware.
    HostPaused,
    /// Targets' load reports stop, and those that come mislead.
    MeasurementsStopped,
    /// Two pipelines of one member write a manifest at the same time.
    OperatorsRace,
    /// A host stops as planned and is replaced.
    PlannedStop,
    PlatformDown,
    /// Writes take effect and their answers are lost.
    PlatformLosesAnswers,
    PlatformSlow,
    /// A request that crashes each target that runs it; its caller sends it again.
    PoisonRequest,
    RegionLost,
    /// A rival sends its requests and its manifest here.
    RivalTraffic,
    Surge,
    TargetDrained,
    TargetKilled,
    /// A zone is cut off from all others and from the platform.
    ZoneCut,
}

impl FaultKind {
    /// Every kind.
    pub const ALL: [FaultKind; 16] = [
        FaultKind::AnswersAstray,
        FaultKind::HostKilled,
        FaultKind::HostPaused,
        FaultKind::MeasurementsStopped,
        FaultKind::OperatorsRace,
        FaultKind::PlannedStop,
        FaultKind::PlatformDown,
        FaultKind::PlatformLosesAnswers,
        FaultKind::PlatformSlow,
        FaultKind::PoisonRequest,
        FaultKind::RegionLost,
        FaultKind::RivalTraffic,
        FaultKind::Surge,
        FaultKind::TargetDrained,
        FaultKind::TargetKilled,
        FaultKind::ZoneCut,
    ];
}

/// One failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Fault {
    /// From the start of the run.
    pub at: Duration,
    pub kind: FaultKind,
    pub lasts: Duration,
    /// Which host, target, zone or region; taken modulo their number.
    pub which: usize,
}

impl Fault {
    pub(super) fn host(&self) -> usize {
        self.which % HOSTS
    }

    pub(super) fn region(&self) -> usize {
        self.which % REGIONS.len()
    }

    pub(super) fn target(&self) -> usize {
        self.which % TARGETS
    }

    pub(super) fn zone(&self) -> usize {
        self.which % ZONES.len()
    }

    pub(super) fn overlaps(&self, other: &Fault) -> bool {
        self.at < other.at + other.lasts && other.at < self.at + self.lasts
    }
}

/// Failures of a run of that length: some alone, some together, some twice, and quiet times
/// between, in which the system has to come back.
pub(super) fn schedule(length: Duration, rng: &mut impl Rng) -> Vec<Fault> {
    let mut faults = Vec::new();
    let clusters = rng.random_range(1..=2);
    for cluster in 0..clusters {
        let start = length.mul_f64((0.12 + 0.8 * f64::from(cluster)) / f64::from(clusters));
        if rng.random_ratio(1, 2) {
            faults.push(Fault { kind: FaultKind::PlannedStop, ..draw(start, rng) });
        }
        for _ in 0..rng.random_range(3..8) {
            let fault = draw(start, rng);
            faults.push(fault);
            if rng.random_ratio(1, 5) {
                let at = fault.at + fault.lasts.mul_f64(rng.random_range(0.2..1.5));
                faults.push(Fault { at, ..fault });
            }
        }
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}

fn draw(start: Duration, rng: &mut impl Rng) -> Fault {
    let kind = *FaultKind::ALL.choose(rng).expect("the list is not empty");
    let at = start + Duration::from_millis(rng.random_range(0..5_000));
    let lasts = Duration::from_millis(rng.random_range(500..9_000));
    Fault { at, kind, lasts, which: rng.random_range(0..240) }
}
