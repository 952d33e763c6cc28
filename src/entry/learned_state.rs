//! What the traffic thread learned of services, and what it begins from after a start.
//!
//! The control thread reads learned values from the store and publishes them in the view; it writes
//! what the traffic thread stores in a cell once a second. Requests wait for neither.

use arc_swap::ArcSwap;

use super::TrafficState;
use crate::{
    placement::{InitialState, LearnedService, LearnedState, NameTag, name_tag},
    prelude::*,
};

/// Time after the values were taken for which they count as measured, and for which their shares
/// are used. By then the host has measured the services that callers use, and the shares that
/// hosts of the region send are known. Without an end, a host with times that are too long would
/// refuse all requests and never measure others.
const INITIAL_PERIOD: Duration = Duration::from_secs(10);

/// Interval at which measurements are passed on to the control thread.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(1);

/// What the traffic thread has measured of services, for the control thread.
pub type MeasuredCell = Arc<ArcSwap<LearnedState>>;

/// The traffic thread's use of the values that were read at the start.
#[derive(Debug, Default)]
pub(super) struct LearnedUse {
    /// The values, while they are used.
    initial: Option<Arc<InitialState>>,
    /// When they were taken from the view.
    taken_at: Option<Moment>,
    published_at: Moment,
}

impl TrafficState {
    /// Takes the values that the control thread has read, and passes on what was measured. Called
    /// several times a second.
    pub fn exchange_learned_state(&self, measured: &MeasuredCell) {
        let now = self.clock.now();
        let mut learned = self.learned.borrow_mut();
        match learned.taken_at {
            Some(taken_at) => {
                if taken_at + INITIAL_PERIOD <= now && learned.initial.take().is_some() {
                    self.distrust_initial_times();
                }
            }
            None => {
                if let Some(initial) = self.view().and_then(|view| view.learned.clone()) {
                    self.begin_from(&initial);
                    (learned.initial, learned.taken_at) = (Some(initial), Some(now));
                }
            }
        }
        if PUBLISH_INTERVAL <= now.saturating_sub(learned.published_at) {
            learned.published_at = now;
            measured.store(Arc::new(self.measured_state()));
        }
    }

    /// Begins the estimates of services that this host has not measured yet. Values that arrive
    /// late, because the store was slow, replace no measurement.
    fn begin_from(&self, initial: &InitialState) {
        let mut services = self.services.borrow_mut();
        for (service, learned) in &initial.state.services {
            let estimates = &mut services.entry(service.clone()).or_default().estimates;
            if !estimates.work.has_own_run() {
                *estimates = learned.initial_estimates(initial.read_ms);
            }
        }
    }

    fn distrust_initial_times(&self) {
        let mut services = self.services.borrow_mut();
        services.values_mut().for_each(|state| state.estimates.work.distrust_initial());
    }

    fn measured_state(&self) -> LearnedState {
        let services = self.services.borrow();
        let learned = services.iter().filter_map(|(name, state)| {
            let learned = LearnedService::of(&state.estimates, state.shares.as_ref())?;
            Some((name.clone(), learned))
        });
        LearnedState { services: learned.collect() }
    }

    /// Shares to begin from for a service, by hash of the region: those of the requests that hosts
    /// of the region sent lately or, if those are too few, the learned ones.
    pub(super) fn initial_shares(&self, service: &ServiceId) -> Option<BTreeMap<NameTag, f64>> {
        let sent = self.sent_totals.borrow().shares(name_tag(service));
        sent.or_else(|| {
            let learned = self.learned.borrow();
            learned.initial.as_ref()?.state.services.get(service)?.share_tags()
        })
    }
}
