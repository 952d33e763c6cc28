//! The move of requests between regions after a step, within the bound on shifts.

use super::{
    Snapshot,
    loss::MIN_SHORTAGE,
    simulation::{HomeRun, MIN_FRACTION, Missing, Simulation, moved},
};
use crate::prelude::*;

/// Bound on shifts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShiftBound {
    /// Maximum fraction of a region's requests that change their region from one window to the
    /// next.
    pub max_shift: f64,
}

/// How the requests of one region move.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Move {
    /// Fraction that moves at once, whatever the bound, because the region that ran it has no slots
    /// left.
    pub at_once: f64,
    pub home: RegionId,
    /// Fraction of the requests that change the region in all.
    pub moved: f64,
    /// Windows at the pace of hosts, which use a part of the bound; `None` if it takes more than
    /// `MAX_WINDOWS`.
    pub windows: Option<u32>,
    /// Windows that the bound itself needs at least; `None` if the bound is zero.
    pub windows_at_bound: Option<u32>,
}

impl Move {
    fn new(run: &HomeRun, bound: ShiftBound) -> Self {
        let moved = moved(&run.start, &run.desired);
        let bounded = (moved - run.at_once - MIN_FRACTION).max(0.0);
        let at_bound = if 0.0 < bounded { (bounded / bound.max_shift).ceil() } else { 0.0 };
        Self {
            at_once: run.at_once,
            home: run.home.clone(),
            moved,
            windows: run.windows(),
            windows_at_bound: at_bound.is_finite().then_some(at_bound as u32),
        }
    }
}

/// How the requests of one service move.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Transition {
    /// Slots missing when the requests have moved.
    pub final_short: f64,
    pub moves: Vec<Move>,
    pub service: ServiceId,
    /// Number of windows in which more slots are missing than in the end.
    pub short_windows: u32,
    /// Most slots missing in one window, over the regions together.
    pub worst_short: f64,
}

impl Transition {
    /// Whether the requests move before slots are missing, other than those that are missing in the
    /// end.
    pub fn is_in_time(&self) -> bool {
        self.short_windows == 0
    }

    /// Plays the move of the requests for some services; those with unknown demand are left out.
    pub(super) fn play(
        services: &[ServiceId],
        before: &Snapshot,
        after: &Snapshot,
        bound: ShiftBound,
    ) -> Vec<Self> {
        let mut simulation = Simulation::new(before, after, bound.max_shift);
        let missing = simulation.play();
        let transition = |service: &ServiceId| {
            let missing = missing.get(service)?;
            // Nothing moves where no region has slots left: all requests are refused.
            let has_slots = 0.0 < after.services.get(service)?.slots();
            let runs = simulation.runs.iter().filter(|run| run.service == *service && has_slots);
            let moves = runs.map(|run| Move::new(run, bound)).collect();
            Some(Self::new(service, moves, missing))
        };
        services.iter().filter_map(transition).collect()
    }

    fn new(service: &ServiceId, moves: Vec<Move>, missing: &Missing) -> Self {
        let final_short = missing.in_the_end;
        let is_short = |short: &&f64| MIN_SHORTAGE <= **short - final_short;
        Self {
            final_short,
            moves,
            service: service.clone(),
            short_windows: missing.windows.iter().filter(is_short).count() as u32,
            worst_short: missing.windows.iter().copied().fold(final_short, f64::max),
        }
    }
}
