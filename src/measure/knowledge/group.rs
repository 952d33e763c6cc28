//! One group of targets, with what its owner knows.

use super::{
    load::SLOTS,
    service::{Service, forecast},
    target::Run,
    way::Placement,
};
use crate::{
    placement::{CachedObjects, Choice, ObjectTag, ServiceEstimates},
    prelude::*,
};

/// What an owner answers.
#[derive(Clone, Debug)]
pub(super) enum Reply {
    /// All slots of the group are busy, or the expected answer time exceeds its limit. `expected`
    /// is the expected answer time if the request may wait in the group.
    Full {
        expected: Option<Duration>,
    },
    Placed(Placement),
}

/// A group with exact counts of the requests that its owner placed.
#[derive(Debug)]
pub(super) struct Group {
    cached_objects: CachedObjects,
    estimates: ServiceEstimates,
    /// Requests in flight by target, in the order of `targets`.
    loads: Vec<u32>,
    service: Service,
    /// Positions of the group's targets, ascending.
    targets: Vec<usize>,
}

impl Group {
    /// A group of the targets at these positions, in ascending order.
    pub fn new(service: Service, targets: Vec<usize>) -> Self {
        Self {
            cached_objects: CachedObjects::default(),
            estimates: ServiceEstimates::default(),
            loads: vec![0; targets.len()],
            service,
            targets,
        }
    }

    /// Places a request whose caller has waited for `elapsed_ms`. A full group takes it only if it
    /// may wait.
    pub fn place(&mut self, object: ObjectTag, may_wait: bool, elapsed_ms: u64) -> Reply {
        let candidate = |(position, load): (&usize, &u32)| {
            let depth = self.cached_objects.depth(self.service.targets[*position].tag, object);
            self.service.candidate(*position, f64::from(*load), depth)
        };
        let candidates: Vec<_> = self.targets.iter().zip(&self.loads).map(candidate).collect();
        let elapsed = Duration::from_millis(elapsed_ms);
        let choice = self.service.choose(&candidates, self.estimates, object, elapsed);
        let Choice::Send(estimate) = choice else { return Reply::Full { expected: None } };
        if !may_wait && self.is_full() {
            return Reply::Full { expected: Some(estimate.expected()) };
        }
        let forecast = forecast(&estimate, &candidates[estimate.index], object);
        let target = self.targets[estimate.index];
        self.estimates.work.record_sent(estimate.work);
        self.loads[estimate.index] += 1;
        self.cached_objects.record_use(self.service.targets[target].tag, object);
        Reply::Placed(Placement { forecast, target })
    }

    /// A request of the group ended, at `ended` milliseconds since the start.
    pub fn release(&mut self, run: &Run, is_answered: bool, ended: u64) {
        if let Ok(index) = self.targets.binary_search(&run.target) {
            self.loads[index] -= 1;
        }
        if is_answered {
            let took = Duration::from_millis(ended - run.sent);
            self.estimates.record_answer(&run.forecast, took, true);
        }
    }

    fn is_full(&self) -> bool {
        self.loads.iter().all(|load| SLOTS <= *load)
    }
}
