//! The service that all ways place requests of, and the call of the real `placement::choose`.

use super::load::{SLOTS, Size};
use crate::{
    entry::{KnownTarget, TargetEntry},
    placement::{
        Candidate, CandidateEstimate, Choice, FirstRunRule, Forecast, ObjectTag, PlacementQuery,
        ServiceEstimates, Tuning, choose,
    },
    prelude::*,
};

/// Answer time that callers expect.
pub(super) const OBJECTIVE: Duration = Duration::from_millis(400);

/// Time after which callers give up.
const DEADLINE: Duration = Duration::from_secs(2);

/// The targets of one service in one region and one zone.
#[derive(Clone, Debug)]
pub(super) struct Service {
    pub region: RegionId,
    pub targets: Arc<[Arc<KnownTarget>]>,
    tuning: Tuning,
    zone: ZoneId,
}

impl Service {
    /// `limit` is the maximum expected answer time, in objectives.
    pub fn new(size: Size, limit: f64) -> Self {
        let (region, zone): (RegionId, ZoneId) = ("north".into(), "north-a".into());
        Self {
            targets: (0..size.targets).map(|index| known(index, &region, &zone)).collect(),
            region,
            tuning: Tuning { max_objective_multiple: limit, ..Tuning::default() },
            zone,
        }
    }

    /// A candidate without anything known but the load and the object's depth.
    pub fn candidate(&self, index: usize, load: f64, depth: Option<usize>) -> Candidate<'_> {
        Candidate {
            available_in: None,
            cold: false,
            depth,
            is_recheck_due: false,
            load,
            unavailable: false,
            slowdown: 1.0,
            target: &self.targets[index],
            round_trip: Duration::ZERO,
        }
    }

    /// Selects one of the candidates. `elapsed` is the time since the request reached the host.
    pub fn choose(
        &self,
        candidates: &[Candidate<'_>],
        estimates: ServiceEstimates,
        object: ObjectTag,
        elapsed: Duration,
    ) -> Choice {
        let query = PlacementQuery {
            home_region: &self.region,
            estimates,
            first_runs: FirstRunRule::Unlimited,
            max_answer: None,
            time_left: DEADLINE.saturating_sub(elapsed),
            may_spill: false,
            object: Some(object),
            objective: OBJECTIVE,
            region: &self.region,
            tuning: self.tuning,
            zone: &self.zone,
        };
        choose(candidates, &query, object)
    }
}

/// Expectations of a request that is sent to the candidate.
pub(super) fn forecast(
    estimate: &CandidateEstimate,
    candidate: &Candidate<'_>,
    object: ObjectTag,
) -> Forecast {
    Forecast {
        depth: candidate.depth,
        expected: estimate.expected(),
        has_free_slot: candidate.load < f64::from(SLOTS),
        is_primary_guess: estimate.is_primary_guess,
        object: Some(object),
        round_trip: candidate.round_trip,
        hit_probability: estimate.hit_probability,
    }
}

fn known(index: usize, region: &RegionId, zone: &ZoneId) -> Arc<KnownTarget> {
    let entry = TargetEntry {
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        cold_for: Duration::ZERO,
        id: format!("t-{index}").into(),
        ready: true,
        service: "desk".into(),
        slots: SLOTS,
        started: 1,
        zone: zone.clone(),
    };
    let tag = crate::placement::name_tag(&entry.id);
    Arc::new(KnownTarget { cold_until: Moment::ZERO, entry, region: region.clone(), tag })
}
