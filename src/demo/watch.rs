//! Looks at hosts and targets while the load runs.

use std::time::Instant;

use super::{
    cluster::Cluster,
    promise::{Promise, Tally},
};
use crate::prelude::*;

/// Time between two looks.
const PERIOD: Duration = Duration::from_millis(100);

/// Time for an accepted manifest to be in force at every reachable host.
pub const IN_FORCE: Duration = Duration::from_secs(19);

/// Lowest spare share of slots seen, by region.
pub type Headroom = BTreeMap<RegionId, f64>;

/// An accepted manifest and when.
#[derive(Clone, Copy, Debug)]
pub struct AcceptedAt {
    pub at: Instant,
    pub sequence: Sequence,
}

/// What the watch has seen.
#[derive(Debug, Default)]
pub struct Watch {
    pub accepted: Vec<AcceptedAt>,
    pub headroom: Headroom,
    /// Longest time from acceptance to the last host.
    pub slowest: Option<Duration>,
    held: BTreeMap<HostId, Held>,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    incarnation: Incarnation,
    sequence: Sequence,
}

impl Watch {
    /// Looks every 100 ms until `stop` resolves.
    pub async fn run(
        watch: Arc<tokio::sync::Mutex<Self>>,
        cluster: Arc<Cluster>,
        tally: Arc<Tally>,
    ) {
        let mut interval = tokio::time::interval(PERIOD);
        loop {
            interval.tick().await;
            let mut watch = watch.lock().await;
            watch.look_at_targets(&cluster, &tally);
            watch.look_at_hosts(&cluster, &tally).await;
        }
    }

    fn look_at_targets(&mut self, cluster: &Cluster, tally: &Tally) {
        let mut regions: BTreeMap<RegionId, Slots> = BTreeMap::new();
        for running in &cluster.targets {
            let slots = regions.entry(running.place.region.clone()).or_default();
            slots.busy += running.standin.busy();
            slots.all += running.standin.slots();
        }
        for (region, slots) in regions {
            tally.check(Promise::NoRegionOverloaded, slots.busy <= slots.all, || {
                format!("{region}: {} requests for {} slots", slots.busy, slots.all)
            });
            let spare = 1.0 - f64::from(slots.busy) / f64::from(slots.all.max(1));
            let lowest = self.headroom.entry(region).or_insert(1.0);
            *lowest = lowest.min(spare);
        }
    }

    async fn look_at_hosts(&mut self, cluster: &Cluster, tally: &Tally) {
        let seats = cluster.seats.lock().await;
        let now = Instant::now();
        let mut lowest = Sequence::MAX;
        for seat in seats.iter() {
            let Some(daemon) = &seat.daemon else { continue };
            let sequence = daemon.sequence().unwrap_or_default();
            let incarnation = daemon.view().incarnation;
            let held = self.held.insert(seat.name.clone(), Held { incarnation, sequence });
            let before = held.filter(|held| held.incarnation == incarnation);
            let reverted = before.is_some_and(|held| sequence < held.sequence);
            tally.check(Promise::ManifestInForce, !reverted, || {
                format!("{} went back to {sequence}", seat.name)
            });
            if !cluster.links.is_cut(&seat.place.zone) && sequence != 0 {
                lowest = lowest.min(sequence);
            }
        }
        self.settle(lowest, now, tally);
    }

    /// Accepted manifests that every reachable host now holds, or should have held by now.
    fn settle(&mut self, lowest: Sequence, now: Instant, tally: &Tally) {
        let slowest = &mut self.slowest;
        self.accepted.retain(|accepted| {
            let took = now.saturating_duration_since(accepted.at);
            if lowest < accepted.sequence && took < IN_FORCE {
                return true;
            }
            tally.check(Promise::ManifestInForce, accepted.sequence <= lowest, || {
                format!("manifest {} not in force after {took:?}", accepted.sequence)
            });
            *slowest = Some(slowest.unwrap_or_default().max(took));
            false
        });
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Slots {
    all: u32,
    busy: u32,
}
