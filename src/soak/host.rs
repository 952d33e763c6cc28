//! One host: its process, if it runs, and what was done to it.

use std::collections::BTreeSet;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    fixture::{HOSTS, MEMBER, host_id, host_view, key, limits, zone_of_host},
    message::{Copy, Intent, Origin, Process},
};
use crate::{
    ledger::SealedLedger,
    manifest::ManifestStore,
    membership::{BaselineEntry, Membership, MembershipLimits, Payload},
    prelude::*,
    routing::{AttemptId, CallId, Router},
    tenure::{TenureManager, ZoneHost},
    view::View,
};

/// A host, with or without a process.
#[derive(Default)]
pub(super) struct HostSlot {
    pub(super) paused_until: Moment,
    pub(super) running: Option<Running>,
    /// Until when something was done to it, to its zone or to the platform.
    pub(super) troubled_until: Moment,
}

/// A call and who waits for it.
#[derive(Clone, Debug)]
pub(super) struct CallInfo {
    pub(super) copy: Copy,
    pub(super) origin: Origin,
}

/// How far a planned stop has come.
#[derive(Clone, Debug)]
pub(super) struct Stop {
    pub(super) acknowledged: bool,
    pub(super) asked: Vec<usize>,
    /// Closed once, as the real host does: each successor is offered the same.
    pub(super) sealed: Option<Arc<SealedLedger>>,
    pub(super) since: Moment,
}

/// One process: the real decisions, and the little that the shell remembers.
pub(super) struct Running {
    /// Where its own clock is zero.
    pub(super) base: Moment,
    pub(super) baselines: BTreeMap<(RegionId, ServiceId), BaselineEntry>,
    pub(super) calls: BTreeMap<CallId, CallInfo>,
    /// Takes no connection any more.
    pub(super) closed: bool,
    /// Attempts under way; to which host, if not to a target.
    pub(super) flights: BTreeMap<AttemptId, Option<usize>>,
    pub(super) id: Process,
    pub(super) keeper: TenureManager,
    pub(super) membership: Membership,
    pub(super) next_call: CallId,
    /// Whose answer the attempt brought that has just ended.
    pub(super) passing: Option<Intent>,
    pub(super) rng: ChaCha8Rng,
    pub(super) steer: Router,
    pub(super) stop: Option<Stop>,
    pub(super) store: ManifestStore,
}

impl Running {
    pub(super) fn start(host: usize, now: Moment, rng: &mut impl Rng) -> Self {
        let incarnation = rng.random();
        let view = host_view(host, incarnation);
        let zone: ZoneId = view.zone.clone();
        let wall = now.as_millis() as u64;
        let mut membership =
            Membership::new(view, MembershipLimits::default()).with_start_time(wall);
        membership.add_seeds((0..HOSTS).map(|host| host_view(host, 0).rpc));
        Self {
            base: now - Duration::from_secs(rng.random_range(0..5_000)),
            baselines: BTreeMap::new(),
            calls: BTreeMap::new(),
            closed: false,
            flights: BTreeMap::new(),
            id: Process { host, incarnation },
            keeper: TenureManager::new(host_id(host), incarnation, zone),
            membership,
            next_call: 0,
            passing: None,
            rng: ChaCha8Rng::seed_from_u64(rng.random()),
            steer: Router::new(host_id(host), incarnation, limits()),
            stop: None,
            store: ManifestStore::new(MEMBER.into(), key().verifying_key()),
        }
    }

    /// The time by its own clock.
    pub(super) fn local(&self, now: Moment) -> Moment {
        now - self.base
    }

    pub(super) fn zone_hosts(&self, local: Moment) -> Vec<ZoneHost> {
        let own = &self.membership.own().zone;
        let hosts = self.membership.hosts(local);
        hosts
            .iter()
            .filter(|host| host.zone == *own)
            .map(|host| ZoneHost {
                host: host.id.clone(),
                incarnation: host.incarnation,
                leaving: host.leaving,
            })
            .collect()
    }

    /// What this host holds for the others to know.
    pub(super) fn notes(&mut self, now: Moment) -> Payload {
        let local = self.local(now);
        let own = self.membership.own().region.clone();
        for baseline in self.steer.baselines(local).into_iter().filter(|base| base.home == own) {
            let id = (baseline.home.clone(), baseline.service.clone());
            self.baselines.insert(id, BaselineEntry { at: now.as_millis() as u64, baseline });
        }
        Payload {
            baselines: self.baselines.values().cloned().collect(),
            drains: Vec::new(),
            marks: self.steer.marks(local),
            sequence: self.store.sequence().unwrap_or_default(),
            tenure: self.keeper.holder_list().clone(),
        }
    }

    /// What the decisions are shown; nothing without a manifest.
    pub(super) fn view(&self, local: Moment) -> Option<View> {
        let (manifest, _) = self.store.current()?;
        Some(View {
            baselines: self.baselines.values().map(|note| note.baseline.clone()).collect(),
            drains: BTreeSet::new(),
            hosts: self.membership.hosts(local),
            manifest,
            own: self.membership.own().clone(),
            silent_regions: self.membership.silent_regions(local),
            tenure: self.keeper.tenure(local),
        })
    }
}

/// The other hosts in the order in which a stopping one asks them to take its ledger.
pub(super) fn successors(host: usize) -> Vec<usize> {
    let mut others: Vec<usize> = (0..HOSTS).filter(|other| *other != host).collect();
    others.sort_by_key(|other| zone_of_host(*other) != zone_of_host(host));
    others
}
