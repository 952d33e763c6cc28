//! What traffic each home region last had, for the regions that may have to stand in for it.

use super::notes::BaselineNote;
use crate::{
    prelude::*,
    view::{Baseline, HostView},
};

/// Time between two notes of one baseline. Each note goes to every host of the fleet: one a second
/// would cost more than all else that the exchanges carry.
const RENEW_EVERY: Duration = Duration::from_secs(10);

/// Most that a baseline falls from one note to the next. Callers leave a region that is failing
/// before its last host is silent; without the bound the region would be remembered as idle, and
/// those who stand in for it would refuse its callers.
const SLOWEST_FALL: f64 = 0.9;

/// A note from a clock that is further ahead than this is not taken: it could not be replaced until
/// that time has come.
const MAX_AHEAD: Duration = Duration::from_secs(60);

/// Baselines of all home regions, the newest note of each.
#[derive(Clone, Debug, Default)]
pub struct Baselines {
    notes: BTreeMap<Of, BaselineNote>,
}

/// Which traffic a baseline is of.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Of {
    home: RegionId,
    service: ServiceId,
}

impl Baselines {
    /// Notes the traffic of the own region, as one of its hosts measured it.
    ///
    /// The first host of the region speaks for all: look-ups spread a region's callers evenly over
    /// its hosts, so its own rate times their number is the region's. What it sees of callers from
    /// other regions is no baseline of theirs. While the region is `unsteady` (something of it is
    /// drained or leaving) the last notes stay.
    pub fn author(
        &mut self,
        own: &HostView,
        hosts: &[HostView],
        rates: Vec<Baseline>,
        unsteady: bool,
        wall_millis: u64,
    ) {
        let of_region = hosts.iter().filter(|host| host.region == own.region && !host.leaving);
        let first = of_region.clone().min_by_key(|host| &host.id);
        if unsteady || first.is_none_or(|first| first.id != own.id) {
            return;
        }
        let hosts = of_region.count() as f64;
        for rate in rates.into_iter().filter(|rate| rate.home == own.region) {
            let of = Of { home: rate.home.clone(), service: rate.service.clone() };
            let last = self.notes.get(&of);
            if last.is_some_and(|last| wall_millis < last.at + RENEW_EVERY.as_millis() as u64) {
                continue;
            }
            let least = last.map_or(0.0, |last| last.baseline.rate * SLOWEST_FALL);
            let rate = (rate.rate * hosts).max(least);
            let baseline = Baseline { home: of.home.clone(), rate, service: of.service.clone() };
            self.notes.insert(of, BaselineNote { at: wall_millis, baseline });
        }
    }

    /// Takes over a note if it is newer than the known one.
    pub fn learn(&mut self, note: BaselineNote, wall_millis: u64) {
        if wall_millis + MAX_AHEAD.as_millis() as u64 <= note.at {
            return;
        }
        let baseline = &note.baseline;
        let of = Of { home: baseline.home.clone(), service: baseline.service.clone() };
        if self.notes.get(&of).is_none_or(|last| last.at < note.at) {
            self.notes.insert(of, note);
        }
    }

    /// All notes, for the exchanges.
    pub fn notes(&self) -> Vec<BaselineNote> {
        self.notes.values().cloned().collect()
    }

    /// All baselines.
    pub fn baselines(&self) -> Vec<Baseline> {
        self.notes.values().map(|note| note.baseline.clone()).collect()
    }
}
