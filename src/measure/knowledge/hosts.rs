//! Hosts that each choose a target on their own.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    known_runs::KnownRuns,
    load::{Arrival, Size},
    loads::Loads,
    reports::HEARTBEAT_MS,
    service::{Service, forecast},
    target::Run,
    way::{Knowledge, Placement},
};
use crate::{
    placement::{Choice, ObjectTag, ServiceEstimates, ShortlistQuery, TargetIndex},
    prelude::*,
};

/// Seed of the shortlists.
const SEED: u64 = 2;

/// Hosts with what each of them learned.
pub(super) struct Hosts {
    estimates: Vec<ServiceEstimates>,
    index: TargetIndex,
    loads: Box<dyn Loads>,
    rng: ChaCha8Rng,
    runs: KnownRuns,
    service: Service,
    /// Whether hosts choose from a shortlist first.
    uses_shortlist: bool,
}

impl Hosts {
    /// Hosts that choose as entry hosts do, with runs of others that are reported in heartbeats.
    pub fn new(size: Size, service: Service, loads: impl Loads + 'static) -> Self {
        let runs = KnownRuns::new(size.hosts, HEARTBEAT_MS);
        Self::open(size, service, Box::new(loads), runs, true)
    }

    /// Hosts that know the runs of others at once and choose from all targets.
    pub fn oracle(size: Size, service: Service, loads: impl Loads + 'static) -> Self {
        Self::open(size, service, Box::new(loads), KnownRuns::new(size.hosts, 0), false)
    }

    fn open(
        size: Size,
        service: Service,
        loads: Box<dyn Loads>,
        runs: KnownRuns,
        uses_shortlist: bool,
    ) -> Self {
        let mut index = TargetIndex::default();
        index.update(&service.targets);
        Self {
            estimates: vec![ServiceEstimates::default(); size.hosts],
            index,
            loads,
            rng: ChaCha8Rng::seed_from_u64(SEED),
            runs,
            service,
            uses_shortlist,
        }
    }

    /// Chooses one of the targets at these positions.
    fn choose(&mut self, arrival: &Arrival, positions: &[usize]) -> Option<Placement> {
        let Arrival { host, object, .. } = *arrival;
        let candidate = |position: &usize| {
            let load = f64::from(self.loads.load(host, *position));
            let depth = self.runs.depth(host, self.service.targets[*position].tag, object);
            self.service.candidate(*position, load, depth)
        };
        let candidates: Vec<_> = positions.iter().map(candidate).collect();
        let estimates = self.estimates[host];
        let choice = self.service.choose(&candidates, estimates, object, Duration::ZERO);
        let Choice::Send(estimate) = choice else { return None };
        self.estimates[host].work.record_sent(estimate.work);
        let chosen = &candidates[estimate.index];
        let target = positions[estimate.index];
        Some(Placement { forecast: forecast(&estimate, chosen, object), target })
    }

    fn shortlist(&mut self, host: usize, object: ObjectTag) -> Vec<usize> {
        let query = ShortlistQuery {
            holders: &self.runs.holders(host, object),
            object: Some(object),
            regions: std::slice::from_ref(&self.service.region),
            offset: self.rng.random(),
        };
        self.index.shortlist(&query)
    }
}

impl Knowledge for Hosts {
    fn place(&mut self, arrival: &Arrival, now: u64) -> (u64, Option<Placement>) {
        self.loads.advance(now);
        self.runs.advance(now);
        let mut placement = None;
        if self.uses_shortlist {
            let shortlist = self.shortlist(arrival.host, arrival.object);
            placement = self.choose(arrival, &shortlist);
        }
        if placement.is_none() {
            let all: Vec<usize> = (0..self.service.targets.len()).collect();
            placement = self.choose(arrival, &all);
        }
        if let Some(placement) = &placement {
            let tag = self.service.targets[placement.target].tag;
            self.loads.sent(arrival.host, placement.target);
            self.runs.record_use(arrival.host, tag, arrival.object, now);
        }
        (0, placement)
    }

    fn ended(&mut self, run: &Run, load: usize, is_answered: bool, now: u64) {
        self.loads.advance(now);
        self.loads.ended(run.host, run.target, load);
        if is_answered {
            let took = Duration::from_millis(now - run.sent);
            self.estimates[run.host].record_answer(&run.forecast, took, true);
        }
    }

    fn bytes(&self) -> &[u64] {
        self.loads.bytes()
    }
}
